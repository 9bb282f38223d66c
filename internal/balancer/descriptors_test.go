package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// newFullLoop returns a loop with 64 descriptors that the test steps, and one server that answers nothing.
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

// arrive connects a client and has the loop handle its line, without the policy's decisions.
func (y *leavingClient) arrive(id int) {
	y.t.Helper()
	near, far := tcpPipe(y.t)
	nc, err := netpoll.NewFDConnection(detachDescriptor(y.t, far))
	if err != nil {
		y.t.Fatal(err)
	}
	y.l.descriptors.Add(1)
	y.client, y.conn = near, newConn(nc, y.l, &y.l.descriptors)
	y.conn.idle = y.l.idle
	_ = nc.SetOnRequest(y.conn.onReadable)
	line := protocol.Decode(fmt.Appendf(nil, openLine, id))
	y.conn.phase.Store(expectNothing)
	y.l.now = time.Since(y.l.startTime)
	y.l.policy.AdvanceClock(y.l.now)
	y.l.handleEvent(event{conn: y.conn, lines: []protocol.Line{line}})
}

// TestConcurrentSessionsKeepReservedDescriptors admits as many sessions as there are descriptors for before the first of them is dialed: the
// dials take no reserved descriptors, and each session is answered.
func TestConcurrentSessionsKeepReservedDescriptors(t *testing.T) {
	y, l := newFullLoop(t)
	l.deployment.Policy.CanHealthCheck = false
	l.policy.Reconfigure(withProbeReports(l.deployment), []int{0}, nil)
	many := int(l.descriptorLimit-l.descriptorLimit/rejectReserveDivisor) - 1
	for i := range many {
		y.arrive(i + 1)
	}
	if n := len(l.sessions); n != many || int(l.descriptors.Load()) != many {
		t.Fatalf("%d sessions of %d, %d descriptors", n, many, l.descriptors.Load())
	}
	room, most := int(l.descriptorLimit)-many, int64(0)
	y.runUntil("each is sent or answered", func() bool {
		most = max(most, l.descriptors.Load())
		return y.server.lineCount()+int(l.Rejected.Load()+l.Failed.Load()) == many
	})
	if n := y.server.attempts(); n > room || n == 0 || most > l.descriptorLimit {
		t.Errorf("%d dials with room for %d, %d descriptors of %d", n, room, most, l.descriptorLimit)
	}
	if n := l.Failed.Load(); n != 0 {
		t.Errorf("%d failed that were never sent", n)
	}
}

// TestAProbeWithoutADescriptorDoesNotEjectItsServer has no descriptor left for a probe: its server must not be ejected for that.
func TestAProbeWithoutADescriptorDoesNotEjectItsServer(t *testing.T) {
	y, l := newFullLoop(t)
	y.arrive(1)
	l.descriptors.Add(64)
	y.runUntil("the probe is over, and the session is answered", func() bool { return l.Probes.Load() == 1 && len(l.sessions) == 0 })
	if n := y.server.attempts(); n != 0 {
		t.Fatalf("%d dials without a descriptor", n)
	}
	l.descriptors.Add(-64)
	for i := range 4 {
		y.arrive(i + 2)
	}
	before := l.Rejected.Load()
	y.runUntil("the server is sent all of them", func() bool { return y.server.lineCount() >= 4 || l.Rejected.Load() > before })
	if l.Rejected.Load() > before {
		t.Error("the server is ejected")
	}
}

// TestProbesHaveDescriptorsOfTheirOwn has connections hold all descriptors that they may: probes are dialed all the same, but no more of them
// than have descriptors of their own.
func TestProbesHaveDescriptorsOfTheirOwn(t *testing.T) {
	y, l := newFullLoop(t)
	l.descriptors.Store(l.descriptorLimit)
	for range probeDescriptors + 3 {
		l.startProbe(policy.EndpointID(protocol.Hash("s-1")))
	}
	y.runUntil("the probes within the share are there, and the others are over", func() bool { return y.server.lineCount() == probeDescriptors && l.DescriptorShortages.Load() == 3 })
	if n := y.server.attempts(); n != probeDescriptors {
		t.Errorf("%d probes with a share of %d", n, probeDescriptors)
	}
}
