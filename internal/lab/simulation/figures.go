package simulation

import (
	"slices"
	"time"

	"sabletally/internal/lab/report"
	"sabletally/policy"
)

const (
	figureInterval      = 250 * time.Millisecond
	slowMessageInterval = time.Second
	// slowMessageDivisor: messages are reported that take over this part of the latency objective.
	slowMessageDivisor = 3
	// shedDivisor is the part of its sessions that an overloaded server drops at a time.
	shedDivisor = 20
)

// takeFigures adds the figures of one interval to the meter.
func (w *world) takeFigures() {
	served := 0.0
	w.loads = w.loads[:0]
	for _, srv := range w.servers {
		if srv.down {
			continue
		}
		srv.Advance(w.now)
		if !srv.silent {
			served += float64(srv.served) * srv.Served(w.now, w.MessageObjective)
		}
		if srv.state == policy.Ready {
			w.loads = append(w.loads, srv.Utilization(w.now))
		}
		if w.ShedBacklog > 0 && srv.Backlog() > w.ShedBacklog {
			for range max(1, len(srv.sessions)/shedDivisor) {
				if len(srv.sessions) > 0 && srv.sessions[len(srv.sessions)-1].served {
					w.endFromServer(srv.sessions[len(srv.sessions)-1], policy.Reset)
				}
			}
		}
	}
	worst, mean, spread := report.Loads(w.loads)
	w.meter.Tick(w.now, figureInterval, served, float64(w.activeClients), worst, mean, spread)
}

// reportSlowMessages tells the balancers of slow servers how long messages take.
func (w *world) reportSlowMessages() {
	for _, srv := range w.servers {
		if srv.down || srv.silent || len(srv.holders) == 0 {
			continue
		}
		took := srv.Message(w.now)
		slow := took > w.MessageObjective/slowMessageDivisor
		holders := make([]int32, 0, len(srv.holders))
		for index := range srv.holders {
			if slow || srv.slowReported[index] {
				holders = append(holders, index)
			}
		}
		slices.Sort(holders)
		for _, index := range holders {
			if srv.slowReported[index] = slow; !slow {
				delete(srv.slowReported, index)
			}
			if holder := w.balancers[index]; holder.alive {
				holder.decider.AdvanceClock(w.now - holder.start)
				holder.decider.RecordLatency(srv.id, took)
				w.runDecisions(holder)
			}
		}
	}
}
