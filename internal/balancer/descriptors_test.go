package balancer

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// newFullLoop returns a loop with 64 descriptors that the test steps, and one server that does not answer.
func newFullLoop(t *testing.T) (*leavingClient, *Loop) {
	t.Helper()
	s := newCountingServer(t, "")
	dep := &deployment.Settings{
		Policy: &policy.Config{Balancers: 1, MaxAttempts: 4, OverloadMultiple: 3, OverloadWindow: time.Second, SlowStartFloor: 1, SlowStartWindow: time.Second, CanHealthCheck: true,
			Classes: []policy.Class{{SetupObjective: time.Second, PriorityWeight: 1, Idempotency: policy.Idempotent}}},
		Classes: map[string]int{"feed": 0}, Deadlines: []time.Duration{20 * time.Second},
	}
	known := discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: s.listener.Addr().String(), Weight: 1}}}
	l, err := New(zap.NewNop(), dep, 7, known, 64)
	if err != nil {
		t.Fatal(err)
	}
	return &leavingClient{steppedLoop: &steppedLoop{t: t, l: l}, server: s}, l
}

// connectClient connects a client and has the loop handle its request, without executing the policy's decisions.
func (lc *leavingClient) connectClient(id int) {
	lc.t.Helper()
	near, far := tcpPipe(lc.t)
	lc.client, lc.conn = near, newUnreadConn(lc.t, lc.l, detachDescriptor(lc.t, far))
	lc.conn.startReading(lc.l.nextPoller())
	line := protocol.Decode(fmt.Appendf(nil, openLine, id))
	lc.conn.phase.Store(expectNothing)
	lc.l.now = time.Since(lc.l.startTime)
	lc.l.policy.AdvanceClock(lc.l.now)
	lc.l.handleEvent(event{conn: lc.conn, lines: []protocol.Line{line}})
}

// TestConcurrentSessionsKeepReservedDescriptors guards against dials that use reserved descriptors. As many sessions as descriptors allow are
// admitted before the first of them is dialed. Each session must be sent to the server or answered.
func TestConcurrentSessionsKeepReservedDescriptors(t *testing.T) {
	lc, l := newFullLoop(t)
	l.deployment.Policy.CanHealthCheck = false
	l.policy.Reconfigure(withProbeReports(l.deployment), []int{0}, nil)
	many := int(l.descriptorLimit-l.descriptorLimit/rejectReserveDivisor) - 1
	for i := range many {
		lc.connectClient(i + 1)
	}
	if n := len(l.sessions); n != many || int(l.descriptors.Load()) != many {
		t.Fatalf("%d sessions, want %d; they hold %d descriptors", n, many, l.descriptors.Load())
	}
	room, most := int(l.descriptorLimit)-many, int64(0)
	lc.runUntil("each is sent or answered", func() bool {
		most = max(most, l.descriptors.Load())
		return lc.server.lineCount()+int(l.Rejected.Load()+l.Failed.Load()) == many
	})
	if n := lc.server.connectionCount(); n > room || n == 0 || most > l.descriptorLimit {
		t.Errorf("%d dials with descriptors for %d; at most %d descriptors of %d were held", n, room, most, l.descriptorLimit)
	}
	if n := l.Failed.Load(); n != 0 {
		t.Errorf("%d sessions failed that were never sent", n)
	}
}

// TestAProbeWithoutADescriptorDoesNotEjectItsServer guards against a healthy server that is ejected because no descriptor was free for its
// probe.
func TestAProbeWithoutADescriptorDoesNotEjectItsServer(t *testing.T) {
	lc, l := newFullLoop(t)
	lc.connectClient(1)
	l.descriptors.Add(64)
	lc.runUntil("the probe is over, and the session is answered", func() bool { return l.Probes.Load() == 1 && len(l.sessions) == 0 })
	if n := lc.server.connectionCount(); n != 0 {
		t.Fatalf("%d dials without a descriptor", n)
	}
	l.descriptors.Add(-64)
	for i := range 4 {
		lc.connectClient(i + 2)
	}
	before := l.Rejected.Load()
	lc.runUntil("the server is sent all of them", func() bool { return lc.server.lineCount() >= 4 || l.Rejected.Load() > before })
	if l.Rejected.Load() > before {
		t.Error("the server was ejected")
	}
}

// TestProbesHaveDescriptorsOfTheirOwn guards against probes that are not sent while connections hold all their descriptors, and against
// probes that exceed their own share of descriptors.
func TestProbesHaveDescriptorsOfTheirOwn(t *testing.T) {
	lc, l := newFullLoop(t)
	l.descriptors.Store(l.descriptorLimit)
	for range probeDescriptors + 3 {
		l.startProbe(policy.EndpointID(protocol.Hash("s-1")))
	}
	lc.runUntil("the probes within the share have arrived and the others have ended", func() bool { return lc.server.lineCount() == probeDescriptors && l.DescriptorShortages.Load() == 3 })
	if n := lc.server.connectionCount(); n != probeDescriptors {
		t.Errorf("%d probes were sent, want %d", n, probeDescriptors)
	}
}
