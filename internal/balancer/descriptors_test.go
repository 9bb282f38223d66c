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

// full is a loop of 64 descriptors that the test turns, before one server that answers nothing.
func full(t *testing.T) (*leaver, *Loop) {
	t.Helper()
	s := count(t, "")
	dep := &deployment.Settings{
		Policy: &policy.Config{Balancers: 1, MaxAttempts: 4, OverloadMultiple: 3, OverloadWindow: time.Second, SlowStartFloor: 1, SlowStartWindow: time.Second, CanHealthCheck: true,
			Classes: []policy.Class{{SetupObjective: time.Second, PriorityWeight: 1, Idempotency: policy.Idempotent}}},
		Classes: map[string]int{"feed": 0}, Deadlines: []time.Duration{20 * time.Second},
	}
	known := discovery.List{Whole: true, Servers: []discovery.Server{{UID: "s-1", Endpoint: s.listener.Addr().String(), Heft: 1}}}
	l, err := New(zap.NewNop(), dep, 7, known, 64)
	if err != nil {
		t.Fatal(err)
	}
	return &leaver{crossing: &crossing{t: t, l: l}, s: s}, l
}

// arrive has a client connect and the loop hear of its line, but not decide.
func (y *leaver) arrive(id int) {
	y.t.Helper()
	near, far := pipe(y.t)
	nc, err := netpoll.NewFDConnection(descriptor(y.t, far))
	if err != nil {
		y.t.Fatal(err)
	}
	y.l.descriptors.Add(1)
	y.client, y.c = near, newConn(nc, y.l, &y.l.descriptors)
	y.c.idle = y.l.idle
	_ = nc.SetOnRequest(y.c.onReadable)
	line := protocol.Decode(fmt.Appendf(nil, asks, id))
	y.c.phase.Store(expectNothing)
	y.l.now = time.Since(y.l.startTime)
	y.l.policy.AdvanceClock(y.l.now)
	y.l.handleEvent(event{conn: y.c, lines: []protocol.Line{line}})
}

// TestCircuitsTakenAtOnceLeaveWhatIsKept has as many circuits taken before the first of them is dialed as there is room for: what they
// dial holds none of the descriptors that the program keeps, and none of them hangs.
func TestCircuitsTakenAtOnceLeaveWhatIsKept(t *testing.T) {
	y, l := full(t)
	l.deployment.Policy.CanHealthCheck = false
	l.policy.Reconfigure(withProbeReports(l.deployment), []int{0}, nil)
	many := int(l.descriptorLimit-l.descriptorLimit/rejectReserve) - 1
	for i := range many {
		y.arrive(i + 1)
	}
	if n := len(l.sessions); n != many || int(l.descriptors.Load()) != many {
		t.Fatalf("%d circuits of %d, %d descriptors", n, many, l.descriptors.Load())
	}
	room, most := int(l.descriptorLimit)-many, int64(0)
	y.turns("each is sent or answered", func() bool {
		most = max(most, l.descriptors.Load())
		return y.s.told()+int(l.Rejected.Load()+l.Failed.Load()) == many
	})
	if n := y.s.attempts(); n > room || n == 0 || most > l.descriptorLimit {
		t.Errorf("%d dials with room for %d, %d descriptors of %d", n, room, most, l.descriptorLimit)
	}
	if n := l.Failed.Load(); n != 0 {
		t.Errorf("%d broken off that never ran", n)
	}
}

// TestAProbeWithoutADescriptorSaysNothingOfItsServer has no descriptor left for a probe: its server is not set aside for that.
func TestAProbeWithoutADescriptorSaysNothingOfItsServer(t *testing.T) {
	y, l := full(t)
	y.arrive(1)
	l.descriptors.Add(64)
	y.turns("the probe is over, and the circuit is answered", func() bool { return l.Probes.Load() == 1 && len(l.sessions) == 0 })
	if n := y.s.attempts(); n != 0 {
		t.Fatalf("%d dials without a descriptor", n)
	}
	l.descriptors.Add(-64)
	for i := range 4 {
		y.arrive(i + 2)
	}
	before := l.Rejected.Load()
	y.turns("the server is sent all of them", func() bool { return y.s.told() >= 4 || l.Rejected.Load() > before })
	if l.Rejected.Load() > before {
		t.Error("the server is set aside")
	}
}

// TestProbesHaveAShareOfTheirOwn has connections hold all that they may: a probe is dialed all the same, and no more of them than the share.
func TestProbesHaveAShareOfTheirOwn(t *testing.T) {
	y, l := full(t)
	l.descriptors.Store(l.descriptorLimit)
	for range probeDescriptors + 3 {
		l.startProbe(policy.EndpointID(protocol.Hash("s-1")))
	}
	y.turns("the probes within the share are there, and the others are over", func() bool { return y.s.told() == probeDescriptors && l.DescriptorShortages.Load() == 3 })
	if n := y.s.attempts(); n != probeDescriptors {
		t.Errorf("%d probes with a share of %d", n, probeDescriptors)
	}
}
