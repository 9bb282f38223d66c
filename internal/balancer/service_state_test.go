package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"sabletally/internal/discovery"
	"sabletally/internal/hotrestart"
	"sabletally/policy"
)

// TestTheNewestServiceStateIsInForce guards against an announcement of the other process that replaces a newer request, or that is dropped although
// it is the newer one.
func TestTheNewestServiceStateIsInForce(t *testing.T) {
	in := hotrestart.State{RequestedAt: 5 * time.Second}
	out := hotrestart.State{OutOfService: true, RequestedAt: 5 * time.Second}
	drained := serviceState{outOfService: true, requestedAt: 3 * time.Second}
	for name, c := range map[string]struct {
		state           serviceState
		announced       hotrestart.State
		fromPredecessor bool
		want            serviceState
	}{
		"no request yet":               {serviceState{}, out, true, serviceState{outOfService: true, inherited: true, requestedAt: 5 * time.Second}},
		"drained by the successor":     {serviceState{}, out, false, serviceState{outOfService: true, requestedAt: 5 * time.Second}},
		"back into service":            {drained, in, true, serviceState{requestedAt: 5 * time.Second}},
		"an older announcement":        {serviceState{requestedAt: 6 * time.Second}, out, true, serviceState{requestedAt: 6 * time.Second}},
		"the same request again":       {serviceState{requestedAt: 5 * time.Second}, out, true, serviceState{requestedAt: 5 * time.Second}},
		"a process without a request":  {drained, hotrestart.State{}, true, drained},
		"a shutdown goes on":           {serviceState{shuttingDown: true}, out, false, serviceState{shuttingDown: true, outOfService: true, requestedAt: 5 * time.Second}},
		"an announcement is under way": {serviceState{announcements: 2}, in, false, serviceState{announcements: 2, requestedAt: 5 * time.Second}},
	} {
		if got := c.state.merge(&c.announced, c.fromPredecessor); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
	repeated := drained.request(true, 7*time.Second)
	if got := repeated.merge(&in, false); got != repeated { // the repeated request is the latest, although it changed nothing here
		t.Errorf("a request that was repeated: %+v, want %+v", got, repeated)
	}
}

// TestARequestIsRejectedOnceTheProcessHasShutDown guards against an operator's request that is answered with yes and is never passed on to the
// successor, as the process is about to exit.
func TestARequestIsRejectedOnceTheProcessHasShutDown(t *testing.T) {
	f := newHandoverFixture(t, 0)
	f.dialHangingSuccessor()
	f.shutDownOld()
	f.expectOldEnded()
	for name, request := range map[string]func() error{"out": f.oldLoop.OutOfService, "in": f.oldLoop.InService} {
		if err := request(); !errors.Is(err, errShuttingDown) {
			t.Errorf("%s: %v, want %v", name, err, errShuttingDown)
		}
	}
}

// TestAnEarlierReleasesDrainIsTakenOver guards against a drain that is lost in an upgrade from a release that does not send the time of the request.
func TestAnEarlierReleasesDrainIsTakenOver(t *testing.T) {
	f := newHandoverFixture(t, 0)
	successor := f.oldLoop
	announce := func(state hotrestart.State) {
		runIn(successor, func() { successor.mergeServiceState(&state, true) })
	}
	announce(hotrestart.State{OutOfService: true})
	if !successor.isOutOfService() || successor.Ready() != nil {
		t.Errorf("out of service: %v, ready: %v; want true and nil", successor.isOutOfService(), successor.Ready())
	}
	if err := successor.InService(); err != nil {
		t.Fatal(err)
	}
	announce(hotrestart.State{OutOfService: true})
	if successor.isOutOfService() {
		t.Error("the predecessor's state has replaced a request to this process")
	}
}

// TestARepeatedRequestKeepsTheDrainsTime guards against a drain that an operator, or the other process, prolongs by asking for it again.
func TestARepeatedRequestKeepsTheDrainsTime(t *testing.T) {
	drained := serviceState{}.request(true, 3*time.Second)
	repeated := drained.request(true, 5*time.Second)
	if repeated.drainSince != 3*time.Second || repeated.requestedAt != 5*time.Second {
		t.Errorf("requested at 3s and 5s: %+v", repeated)
	}
	if got := drained.merge(repeated.announcement(), false); got != repeated {
		t.Errorf("the other process has %+v, want %+v", got, repeated)
	}
	if again := repeated.request(false, 6*time.Second).request(true, 7*time.Second); again.drainSince != 7*time.Second {
		t.Errorf("drained again at 7s: %+v", again)
	}
}

// TestTheStateOfManyServersArrives hands over the state of more servers than one message has room for. It guards against a message that the link
// refuses, with the service state in it.
func TestTheStateOfManyServersArrives(t *testing.T) {
	const servers = 5000
	f := newHandoverFixture(t, 0)
	if err := f.oldLoop.OutOfService(); err != nil {
		t.Fatal(err)
	}
	runIn(f.oldLoop, func() {
		for n := range servers {
			server := &upstream{id: policy.EndpointID(1000 + n), entry: discovery.Endpoint{UID: fmt.Sprintf("server-%06d", n)}}
			server.probeTimes = probeTimes{last: time.Second, previous: time.Second, shortest: []time.Duration{time.Second, time.Second, time.Second}}
			f.oldLoop.servers[server.id] = server
		}
	})
	successor := f.dialHangingSuccessor()
	_ = successor.SetDeadline(time.Now().Add(testTimeout))
	text := make([]byte, 256<<10)
	named := map[string]bool{}
	for len(named) < servers {
		n, err := successor.Read(text)
		if err != nil {
			t.Fatalf("%v after %d of %d servers", err, len(named), servers)
		}
		var m hotrestart.Message
		if err := json.Unmarshal(text[:n], &m); err != nil {
			t.Fatal(err)
		}
		if m.State == nil {
			continue
		}
		if !m.State.OutOfService {
			t.Fatal("a part of the state does not say that the balancer is out of service")
		}
		for _, times := range m.State.Servers {
			named[times.UID] = true
		}
	}
}
