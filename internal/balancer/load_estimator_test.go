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
			t.Errorf("an idle server: %v, %v", load, known)
		}
	}
	if load, _ := probe(0, 16*ms, 8*ms); load > 0.4 {
		t.Errorf("one probe that waited for another: %v", load)
	}
	if load, _ := probe(2, 2400*time.Microsecond, 3*ms, 2600*time.Microsecond); load > 0.4 {
		t.Errorf("a fast server and a busy machine of our own: %v", load)
	}
	if load, _ := probe(0, 90*ms); load < 1.05 {
		t.Errorf("one probe that no other probe explains: %v", load)
	}
	probe(0, 8*ms, 8*ms)
	if load, _ := probe(0, 10*ms, 10*ms); load < 0.6 || load > 0.85 {
		t.Errorf("a loaded server: %v", load)
	}
	if load, _ := probe(0, 22*ms, 20*ms); load < 1.05 {
		t.Errorf("an overloaded server: %v", load)
	}
	if load, _ := probe(3, 11*ms, 11*ms, 12*ms); load > 0.4 {
		t.Errorf("an idle server on a slow machine: %v", load)
	}
	if load, _ := probe(4, 30*ms, 31*ms, 32*ms); load < 0.85 {
		t.Errorf("a server that was overloaded from the start: %v", load)
	}
	for id, want := range map[policy.EndpointID]float64{0: 1, 2: 2.5, 3: 0.7} { // of machines of 8, 3 and 12 ms
		server := l.servers[id]
		server.listed.Weight = 1
		if got := server.weight(); got < want/1.5 || got > want*1.5 {
			t.Errorf("server %d of weight %v, wanted about %v", id, got, want)
		}
	}
	l.servers[1].listed.StartedAt = l.startTime.Add(15 * time.Second)
	if _, known := probe(1, 40*ms); known {
		t.Error("a load is estimated from a warming server's probes")
	}
}

// TestAnOverloadedServersFirstProbeIsReestimated has a fleet that is overloaded when a balancer starts: the slow server is probed first, the
// others show what is usual, and the policy avoids the slow one without a second probe. A long probe after short ones is repeated in the next
// round.
func TestAnOverloadedServersFirstProbeIsReestimated(t *testing.T) {
	ms := time.Millisecond
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 2, CanHealthCheck: true, HasLoadReports: true, MaxAttempts: 3,
		Classes: []policy.Class{{SetupObjective: 300 * ms, MessageObjective: 250 * ms}}}}
	l := &Loop{log: zap.NewNop(), policy: policy.New(dep.Policy, 7), startTime: time.Now(), servers: map[policy.EndpointID]*upstream{}}
	l.applySettings(dep)
	var list []policy.Endpoint
	for id := range policy.EndpointID(4) {
		l.servers[id] = &upstream{id: id, listed: discovery.Endpoint{UID: fmt.Sprint(id), Weight: 1}}
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
		t.Fatalf("%v", attempts)
	}
	at := time.Second
	for _, x := range []struct {
		took time.Duration
		want bool
	}{{7, false}, {8, false}, {28, true}} {
		for probed := map[policy.EndpointID]bool{}; !probed[1]; at += 10 * ms { // until its own turn
			l.policy.AdvanceClock(at)
			l.now = at
			_, probed = next()
		}
		probe(1, x.took*ms)
		l.policy.AdvanceClock(at + 260*ms) // the next round: its own turn is not before 700 ms
		if _, probed := next(); probed[1] != x.want {
			t.Fatalf("probed again after %d ms: %t", x.took, probed[1])
		}
	}
}

// TestMachineSpeedIsEstimatedFromAFewProbes has slow first probes, as those of a new balancer are by its own start. One probe of each server
// later the speed of each machine is known. With a median that stays as it was first, all machines would be four times as fast as it.
func TestMachineSpeedIsEstimatedFromAFewProbes(t *testing.T) {
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 80, Classes: []policy.Class{{MessageObjective: time.Second}}}}
	l := &Loop{log: zap.NewNop(), policy: policy.New(dep.Policy, 7), startTime: time.Now(), servers: map[policy.EndpointID]*upstream{}}
	l.applySettings(dep)
	took, want := []time.Duration{4, 4, 10, 10, 10, 10, 20}, []int{3, 3, 0, 0, 0, 0, -1} // none is under a quarter of the fastest
	for i := range took {
		l.servers[policy.EndpointID(i)] = &upstream{id: policy.EndpointID(i), listed: discovery.Endpoint{UID: fmt.Sprint(i), Weight: 1}}
	}
	for id := range policy.EndpointID(5) {
		l.estimateLoad(l.servers[id], 200*time.Millisecond)
	}
	for n := range 3 * len(took) {
		l.estimateLoad(l.servers[policy.EndpointID(n/3)], took[n/3]*time.Millisecond)
	}
	for i := range want {
		if got := l.servers[policy.EndpointID(i)].speedStep; got != want[i] {
			t.Errorf("server %d, whose probes take %d ms, has speed step %d, not %d", i, took[i], got, want[i])
		}
	}
}
