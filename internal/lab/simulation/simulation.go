// Package simulation runs balancers, modeled servers, clients and the endpoint list in virtual time: hundreds to thousands of balancers
// with one policy in one goroutine. The same seed gives the same events, byte for byte. It must never depend on the wall clock, on
// goroutines or on the iteration order of maps.
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
	// checkSlack is the time by which the end of an attempt and the next attempt may overtake each other in the network.
	checkSlack = 5 * time.Millisecond
	// maxEvents is the capacity of the event log.
	maxEvents = 40 << 20
)

// world is the state of a run in progress.
type world struct {
	topology.World
	policy         string        // name of the policy of all balancers
	now            time.Duration // virtual time since the start of the run
	queue          eventqueue.Queue
	rng            *rand.Rand
	balancers      []*balancer
	servers        []*server
	serverIndex    map[policy.EndpointID]int
	clients        []*client
	log            *history.Log
	lastSession    uint64
	discoveryUp    bool
	discoveryDelay time.Duration // added to each delivery of the endpoint list
	pendingUpdates []func()      // deliveries that wait until discovery is reachable
	meter          *report.Meter
	activeClients  int                    // clients that have arrived and not finished
	loads          []float64              // buffer of collectFigures
	groupSessions  map[uint64]map[int]int // number of sessions by group and server index
	balancerSeeds  *rand.Rand
}

// Run runs a world with balancers of the named policy to its end, and returns its figures, its events and the checker's verdict. It
// fails if the policy or a kind of fault is unknown.
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
		c := &client{Client: drawn, waitingSince: drawn.At}
		w.clients = append(w.clients, c)
		w.at(c.At, func() {
			w.activeClients++
			w.connect(c)
		})
		w.at(c.Until, func() { w.finish(c) })
	}
	for _, step := range steps {
		w.at(step.At, func() { w.applyStep(step) })
	}
	for at := figureInterval; at <= end; at += figureInterval {
		w.at(at, w.collectFigures)
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
	for _, byServer := range w.groupSessions {
		run.Groups++
		run.GroupServers += len(byServer)
	}
	events := w.log.Events()
	places := make([]checker.Place, len(w.servers))
	for i, srv := range w.servers {
		places[i] = checker.Place{Zone: srv.zone, FailureDomain: srv.failureDomain}
	}
	verdict := checker.Check(setup.Rules(checkSlack, places), events, w.log.Dropped(), end)
	run.SetVerdict(verdict)
	return run, events, verdict, nil
}

// at schedules an action at a time of the run, or now if that has passed.
func (w *world) at(at time.Duration, action func()) {
	w.queue.Schedule(max(at, w.now), action)
}

// after schedules an action after a duration.
func (w *world) after(d time.Duration, action func()) { w.at(w.now+d, action) }

// record adds an event to the log, with the current time.
func (w *world) record(e history.Event) {
	e.At = w.now
	w.log.Add(e)
}

// randomBetween draws a duration uniformly between two bounds.
func (w *world) randomBetween(bounds [2]time.Duration) time.Duration {
	return bounds[0] + time.Duration(w.rng.Float64()*float64(bounds[1]-bounds[0]))
}
