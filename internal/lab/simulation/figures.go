// This file samples the servers at fixed intervals: figures for the meter, and latency reports for the balancers.

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
	// slowMessageDivisor sets which messages are reported as slow: those that take more than the latency objective divided by it.
	slowMessageDivisor = 3
	// shedDivisor sets the share of its sessions, one in 20, that an overloaded server drops in each interval.
	shedDivisor = 20
)

// collectFigures advances the servers' models and adds the figures of one interval to the meter. Servers whose backlog exceeds
// ShedBacklog drop sessions.
func (w *world) collectFigures() {
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
	worst, mean, spread := report.LoadSummary(w.loads)
	w.meter.Tick(w.now, figureInterval, served, float64(w.activeClients), worst, mean, spread)
}

// reportSlowMessages reports the message latency of slow servers to the balancers that have sessions there, and once more when a
// server is no longer slow.
func (w *world) reportSlowMessages() {
	for _, srv := range w.servers {
		if srv.down || srv.silent || len(srv.sessionsByBalancer) == 0 {
			continue
		}
		latency := srv.Message(w.now)
		slow := latency > w.MessageObjective/slowMessageDivisor
		indexes := make([]int32, 0, len(srv.sessionsByBalancer))
		for index := range srv.sessionsByBalancer {
			if slow || srv.slowReported[index] {
				indexes = append(indexes, index)
			}
		}
		slices.Sort(indexes)
		for _, index := range indexes {
			if srv.slowReported[index] = slow; !slow {
				delete(srv.slowReported, index)
			}
			if b := w.balancers[index]; b.alive {
				b.decider.AdvanceClock(w.now - b.start)
				b.decider.RecordLatency(srv.id, latency)
				w.runDecisions(b)
			}
		}
	}
}
