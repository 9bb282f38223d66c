package balancer

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/policy"
)

// TestLoadIsEstimatedFromProbeTimes guards against wrong load estimates for idle, loaded, overloaded and warming servers on machines of
// different speeds.
func TestLoadIsEstimatedFromProbeTimes(t *testing.T) {
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 2, SlowStartWindow: 20 * time.Second}}
	l := &Loop{log: zap.NewNop(), deployment: dep, policy: policy.New(dep.Policy, 7), startTime: time.Now(),
		now: 30 * time.Second, messageObjective: 200 * time.Millisecond, servers: map[policy.EndpointID]*upstream{}}
	for id := range policy.EndpointID(5) {
		l.servers[id] = &upstream{id: id}
	}
	ms := time.Millisecond
	probe := func(id policy.EndpointID, each ...time.Duration) (load float64, known bool) {
		for _, took := range each {
			load, known = l.estimateLoad(l.servers[id], took)
		}
		return load, known
	}
	for id := range policy.EndpointID(3) {
		if load, known := probe(id, 7*ms, 8*ms, 7*ms, 1*ms, 7*ms, 8*ms); !known || load > 0.4 {
			t.Errorf("load %v, known %v for an idle server", load, known)
		}
	}
	if load, _ := probe(0, 16*ms, 8*ms); load > 0.4 {
		t.Errorf("load %v after one probe that waited for another", load)
	}
	if load, _ := probe(2, 2400*time.Microsecond, 3*ms, 2600*time.Microsecond); load > 0.4 {
		t.Errorf("load %v for a fast server probed from a busy balancer", load)
	}
	if load, _ := probe(0, 90*ms); load < 1.05 {
		t.Errorf("load %v after one probe that is longer than other balancers' probes can explain", load)
	}
	probe(0, 8*ms, 8*ms)
	if load, _ := probe(0, 10*ms, 10*ms); load < 0.6 || load > 0.85 {
		t.Errorf("load %v for a loaded server", load)
	}
	if load, _ := probe(0, 22*ms, 20*ms); load < 1.05 {
		t.Errorf("load %v for an overloaded server", load)
	}
	if load, _ := probe(3, 11*ms, 11*ms, 12*ms); load > 0.4 {
		t.Errorf("load %v for an idle server on a slow machine", load)
	}
	if load, _ := probe(4, 30*ms, 31*ms, 32*ms); load < 0.85 {
		t.Errorf("load %v for a server that was overloaded from the start", load)
	}
	for id, want := range map[policy.EndpointID]float64{0: 1, 2: 2.5, 3: 0.7} { // probes of their machines take 8, 3 and 12 ms
		server := l.servers[id]
		server.entry.Weight = 1
		if got := server.weight(); got < want/1.5 || got > want*1.5 {
			t.Errorf("server %d has weight %v, want about %v", id, got, want)
		}
	}
	l.servers[1].entry.StartedAt = l.startTime.Add(15 * time.Second)
	if _, known := probe(1, 40*ms); known {
		t.Error("a load was estimated for a server that is warming up")
	}
}

// TestAnOverloadedServersFirstProbeIsReestimated guards against sessions that are sent to a server which is overloaded when a balancer
// starts. The overloaded server is probed first; the probes of the others show how slow it is, and the policy must avoid it without a second
// probe. A long probe after short ones must be repeated in the next round.
func TestAnOverloadedServersFirstProbeIsReestimated(t *testing.T) {
	ms := time.Millisecond
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 2, CanHealthCheck: true, HasLoadReports: true, MaxAttempts: 3,
		Classes: []policy.Class{{SetupObjective: 300 * ms, MessageObjective: 250 * ms}}}}
	l := &Loop{log: zap.NewNop(), policy: policy.New(dep.Policy, 7), startTime: time.Now(), servers: map[policy.EndpointID]*upstream{}}
	l.applySettings(dep)
	var list []policy.Endpoint
	for id := range policy.EndpointID(4) {
		l.servers[id] = &upstream{id: id, entry: discovery.Endpoint{UID: fmt.Sprint(id), Weight: 1}}
		list = append(list, policy.Endpoint{ID: id, Weight: 1, StartedAt: policy.StartedLongAgo})
	}
	l.policy.UpdateEndpoints(list, true)
	probe := func(id policy.EndpointID, took time.Duration) {
		load, _ := l.estimateLoad(l.servers[id], took)
		l.policy.RecordLoadReport(id, policy.LoadReport{Demand: load, Backlog: -1, Utilization: -1})
	}
	for id, took := range []time.Duration{47, 7, 8, 7} {
		probe(policy.EndpointID(id), took*ms)
	}
	next := func() (attempts map[policy.EndpointID]int, probed map[policy.EndpointID]bool) {
		attempts, probed = map[policy.EndpointID]int{}, map[policy.EndpointID]bool{}
		for d, ok := l.policy.Next(); ok; d, ok = l.policy.Next() {
			switch d.Action {
			case policy.StartAttempt:
				attempts[d.Endpoint]++
				l.policy.AttemptEstablished(d.Session, 0, ms)
			case policy.HealthCheck:
				probed[d.Endpoint] = true
				l.policy.HealthCheckEnded(d.Endpoint, policy.Succeeded)
			}
		}
		return attempts, probed
	}
	for id := range policy.SessionID(40) {
		l.policy.AddSession(policy.SessionRequest{ID: id + 1, Key: uint64(id + 1), Timeout: time.Second})
	}
	if attempts, _ := next(); attempts[0] > 0 || attempts[1] == 0 || attempts[2] == 0 || attempts[3] == 0 {
		t.Fatalf("attempts by server are %v, want none at the overloaded server 0 and some at each other", attempts)
	}
	at := time.Second
	for _, c := range []struct {
		took time.Duration
		want bool
	}{{7, false}, {8, false}, {28, true}} {
		for probed := map[policy.EndpointID]bool{}; !probed[1]; at += 10 * ms { // the loop ends with the server's regular probe
			l.policy.AdvanceClock(at)
			l.now = at
			_, probed = next()
		}
		probe(1, c.took*ms)
		l.policy.AdvanceClock(at + 260*ms) // next round of probes; the server's next regular probe is at least 700 ms away
		if _, probed := next(); probed[1] != c.want {
			t.Fatalf("after a probe of %d ms, probed again is %t", c.took, probed[1])
		}
	}
}

// TestMachineSpeedIsEstimatedFromAFewProbes guards against a median probe time that stays at that of the first probes, by which all machines
// would be four times as fast as the median. The first probes of a new balancer are slow because it is starting. Soon after, the speed of
// each machine must be known.
func TestMachineSpeedIsEstimatedFromAFewProbes(t *testing.T) {
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 80, Classes: []policy.Class{{MessageObjective: time.Second}}}}
	l := &Loop{log: zap.NewNop(), policy: policy.New(dep.Policy, 7), startTime: time.Now(), servers: map[policy.EndpointID]*upstream{}}
	l.applySettings(dep)
	took, want := []time.Duration{4, 4, 10, 10, 10, 10, 20}, []int{3, 3, 0, 0, 0, 0, -1} // no machine is slower than a quarter of the fastest one's speed
	for i := range took {
		l.servers[policy.EndpointID(i)] = &upstream{id: policy.EndpointID(i), entry: discovery.Endpoint{UID: fmt.Sprint(i), Weight: 1}}
	}
	for id := range policy.EndpointID(5) {
		l.estimateLoad(l.servers[id], 200*time.Millisecond)
	}
	for n := range 3 * len(took) {
		l.estimateLoad(l.servers[policy.EndpointID(n/3)], took[n/3]*time.Millisecond)
	}
	for i := range want {
		if got := l.servers[policy.EndpointID(i)].speedStep; got != want[i] {
			t.Errorf("server %d, whose probes take %d ms, has speed step %d, want %d", i, took[i], got, want[i])
		}
	}
}
