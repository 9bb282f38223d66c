// Package simulation runs balancers, model servers, clients and the endpoint list in virtual time: hundreds to
// thousands of balancers of one policy in one goroutine. The same seed gives the same events, byte for byte. It must
// never use the wall clock, a goroutine or the order of a map.
package simulation

import (
	"math/rand/v2"
	"time"

	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/eventqueue"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/report"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

const (
	// checkSlack is by how much an end and the next attempt may overtake each other in the network.
	checkSlack = 5 * time.Millisecond
	maxEvents  = 40 << 20
)

// world is a run under way.
type world struct {
	topology.World
	policy         string
	now            time.Duration
	queue          eventqueue.Queue
	rng            *rand.Rand
	balancers      []*balancer
	servers        []*server
	serverIndex    map[policy.EndpointID]int
	clients        []*client
	log            *history.Log
	lastSession    uint64
	discoveryUp    bool
	discoveryDelay time.Duration // added to the delivery of the endpoint list
	pendingUpdates []func()      // deliveries that wait until discovery is up
	meter          *report.Meter
	activeClients  int
	loads          []float64              // scratch of takeFigures
	groupSessions  map[uint64]map[int]int // by group and server index
	balancerSeeds  *rand.Rand
}

// Run runs a world to its end and returns its figures, its events and the checker's verdict.
func Run(setup topology.World, name string, seed uint64) (report.Run, []history.Event, checker.Verdict, error) {
	w := &world{World: setup, policy: name, rng: rand.New(rand.NewPCG(seed, 0x3071d)), balancerSeeds: rand.New(rand.NewPCG(seed, 0x5eed)),
		serverIndex: map[policy.EndpointID]int{}, log: history.New(maxEvents), discoveryUp: true, groupSessions: map[uint64]map[int]int{}}
	w.Deployment.Balancers = setup.Balancers
	steps, _, err := faults.Expand(setup.Faults, len(setup.Machines), setup.Balancers, seed)
	if err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	if _, err := baseline.New(name, &w.Deployment, 1); err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	end := setup.Load.Length
	w.meter = report.NewMeter(setup.Load.WarmupTime, end)
	for i, srv := range setup.Machines {
		w.addServer(srv, i, -time.Hour)
	}
	for number := range setup.Balancers {
		w.balancers = append(w.balancers, nil)
		w.startBalancer(number)
	}
	for _, drawn := range load.Generate(setup.Load, seed) {
		s := &client{Client: drawn, waitingSince: drawn.At}
		w.clients = append(w.clients, s)
		w.at(s.At, func() {
			w.activeClients++
			w.connect(s)
		})
		w.at(s.Until, func() { w.finish(s) })
	}
	for _, st := range steps {
		w.at(st.At, func() { w.applyStep(st) })
	}
	for at := figureInterval; at <= end; at += figureInterval {
		w.at(at, w.takeFigures)
	}
	for at := slowMessageInterval; at <= end; at += slowMessageInterval {
		w.at(at, w.reportSlowMessages)
	}
	for at, ok := w.queue.NextAt(); ok && at <= end; at, ok = w.queue.NextAt() {
		var action func()
		w.now, action = w.queue.Next()
		action()
	}
	w.now = end
	run := w.meter.Run()
	run.Arm, run.Seed = name, seed
	for _, at := range w.groupSessions {
		run.Groups++
		run.GroupServers += len(at)
	}
	events := w.log.Events()
	places := make([]checker.Place, len(w.servers))
	for i, srv := range w.servers {
		places[i] = checker.Place{Zone: srv.zone, FailureDomain: srv.cell}
	}
	verdict := checker.Check(setup.Rules(checkSlack, places), events, w.log.Dropped(), end)
	run.SetVerdict(verdict)
	return run, events, verdict, nil
}

func (w *world) at(at time.Duration, do func()) {
	w.queue.Schedule(max(at, w.now), do)
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) record(e history.Event) {
	e.At = w.now
	w.log.Add(e)
}

func (w *world) randomBetween(r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(w.rng.Float64()*float64(r[1]-r[0]))
}
