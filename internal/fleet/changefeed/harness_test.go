package changefeed

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// harness connects subscribers and publishers without delay: what one sends reaches the other at once, unless a test drops it.
type harness struct {
	t           testing.TB
	now         time.Duration
	source      *Log
	publishers  map[string]*testPublisher // by address
	addresses   []string                  // in order
	subscribers []*testSubscriber
	lastConn    uint64
	drop        func(from, to string, m *Message) bool // true: the message is lost
	events      []Event
	sent        map[string]int // messages, by kind
}

type testPublisher struct {
	address     string
	log         *Log
	core        *Publisher
	conns       map[uint64]*testSubscriber
	down        bool // dials fail, connections are closed
	blackholed  bool // dials and messages to it are dropped
	stopped     bool // it is suspended; events wait
	waiting     []func()
	partitioned bool // it receives nothing of the log
}

type testSubscriber struct {
	core    *Subscriber
	id      string
	conns   map[string]uint64
	stopped bool
	waiting []func()
	updates []Update
}

// newHarness returns publishers r0, r1, ... in zones z0, z1, ... of the given sites; the source names them as members.
func newHarness(t testing.TB, sites ...string) *harness {
	h := &harness{t: t, source: NewLog(LogConfig{MaxChanges: 1000, MaxBytes: 1 << 20}), publishers: map[string]*testPublisher{}, sent: map[string]int{}}
	h.drop = func(string, string, *Message) bool { return false }
	items := []Item{{Key: FleetKey, Value: []byte("f")}}
	for i, site := range sites {
		id := fmt.Sprintf("r%d", i)
		items = append(items, memberItem(t, shardmap.Member{ID: id, Addr: id, Machine: id, Zone: fmt.Sprintf("z%d", i), Site: site}))
		h.addresses = append(h.addresses, id)
	}
	h.put(items...)
	for _, a := range h.addresses {
		h.publishers[a] = &testPublisher{address: a}
		h.start(a, PublisherConfig{})
	}
	return h
}

func memberItem(t testing.TB, m shardmap.Member) Item {
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return Item{Key: MemberPrefix + m.ID, Value: text}
}

// start starts a publisher's process anew, with the source's state.
func (h *harness) start(addr string, cfg PublisherConfig) {
	pub := h.publishers[addr]
	cfg.ID = addr
	if cfg.MaxSubscribers == 0 {
		cfg.MaxSubscribers = 10000
	}
	if cfg.WindowBytes == 0 {
		cfg.WindowBytes = 64 << 10
	}
	if cfg.SnapshotBytesPerSecond == 0 {
		cfg.SnapshotBytesPerSecond = 100 << 20
	}
	pub.log = NewLog(LogConfig{MaxChanges: 1000, MaxBytes: 1 << 20})
	if err := pub.log.Install(*h.source.Snapshot()); err != nil {
		h.t.Fatal(err)
	}
	pub.core, pub.conns, pub.down = NewPublisher(cfg, pub.log, h.now), map[uint64]*testSubscriber{}, false
}

// kill ends a publisher's process.
func (h *harness) kill(addr string) {
	pub := h.publishers[addr]
	pub.down = true
	closed := pub.conns
	pub.conns = map[uint64]*testSubscriber{}
	for _, num := range sortedConns(closed) {
		sub := closed[num]
		if sub.conns[addr] == num {
			delete(sub.conns, addr)
			sub.do(func() { sub.core.ConnectionClosed(addr) })
			h.drainSubscriber(sub)
		}
	}
}

func sortedConns(m map[uint64]*testSubscriber) []uint64 {
	var all []uint64
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (h *harness) newSubscriber(id, site string) *testSubscriber {
	sub := &testSubscriber{id: id, conns: map[string]uint64{}, core: NewSubscriber(SubscriberConfig{ID: id, Incarnation: 1, Site: site, Zone: "own", Seeds: h.addresses, Seed: rendezvousScore(id, "")}, h.now)}
	h.subscribers = append(h.subscribers, sub)
	return sub
}

func (h *harness) put(items ...Item) Change {
	sub, err := h.source.Append(items)
	if err != nil {
		h.t.Fatal(err)
	}
	return sub
}

// replicateTo brings the source's changes to a publisher, as the control tier does.
func (h *harness) replicateTo(pub *testPublisher) {
	cs, ok := h.source.ChangesSince(pub.log.Version(), pub.log.Digest())
	if !ok {
		if err := pub.log.Install(*h.source.Snapshot()); err != nil {
			h.t.Fatal(err)
		}
	}
	for _, sub := range cs {
		if err := pub.log.Apply(*sub); err != nil {
			h.t.Fatal(err)
		}
	}
	pub.core.LogChanged()
}

func (c *testSubscriber) do(what func()) {
	if c.stopped {
		c.waiting = append(c.waiting, what)
		return
	}
	what()
}

func (s *testPublisher) do(what func()) {
	if s.stopped {
		s.waiting = append(s.waiting, what)
		return
	}
	what()
}

// run advances the time in ticks of 100 ms; the publishers receive the log at each.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * time.Millisecond
		for _, a := range h.addresses {
			pub := h.publishers[a]
			if pub.down || pub.stopped {
				continue
			}
			pub.core.Tick(h.now)
			for _, what := range pub.waiting {
				what()
			}
			pub.waiting = nil
			if !pub.partitioned {
				h.replicateTo(pub)
				pub.core.ConfirmVersion(h.now, h.source.Version())
			}
			h.drainPublisher(pub)
		}
		for _, sub := range h.subscribers {
			if sub.stopped {
				continue
			}
			sub.core.Tick(h.now)
			for _, what := range sub.waiting {
				what()
			}
			sub.waiting = nil
			h.drainSubscriber(sub)
		}
	}
}

// drainPublisher carries out a publisher's actions.
func (h *harness) drainPublisher(pub *testPublisher) {
	out := pub.core.Ready()
	h.events = append(h.events, out.Events...)
	for _, one := range out.Sends {
		sub := pub.conns[one.Conn]
		if sub == nil {
			continue
		}
		m := one.Message.Content
		h.countSent(&m)
		if sub.conns[pub.address] != one.Conn || h.drop(pub.address, sub.id, &m) {
			continue
		}
		sub.do(func() {
			if sub.conns[pub.address] == one.Conn {
				_ = sub.core.Step(pub.address, m)
			}
		})
		if !sub.stopped {
			h.drainSubscriber(sub)
		}
	}
	for _, num := range out.CloseConns {
		sub := pub.conns[num]
		delete(pub.conns, num)
		if sub != nil && sub.conns[pub.address] == num {
			delete(sub.conns, pub.address)
			sub.do(func() { sub.core.ConnectionClosed(pub.address) })
			if !sub.stopped {
				h.drainSubscriber(sub)
			}
		}
	}
}

// drainSubscriber carries out a subscriber's actions.
func (h *harness) drainSubscriber(sub *testSubscriber) {
	out := sub.core.Ready()
	h.events = append(h.events, out.Events...)
	for _, a := range out.Updates {
		if n := len(sub.updates); n > 0 && a.Version <= sub.updates[n-1].Version {
			h.t.Fatalf("%s went back from %d to %d", sub.id, sub.updates[n-1].Version, a.Version)
		}
		sub.updates = append(sub.updates, a)
	}
	for _, one := range out.Sends {
		m := one.Message
		pub, num := h.publishers[one.Addr], sub.conns[one.Addr]
		h.countSent(&m)
		if num == 0 || pub.blackholed || h.drop(sub.id, one.Addr, &m) {
			continue
		}
		pub.do(func() {
			if m.Hello != nil {
				_ = pub.core.Connected(h.now, num, *m.Hello)
			} else {
				_ = pub.core.Step(h.now, num, m)
			}
		})
		if !pub.stopped {
			h.drainPublisher(pub)
		}
	}
	for _, a := range out.CloseAddrs {
		pub, num := h.publishers[a], sub.conns[a]
		delete(sub.conns, a)
		if num != 0 && !pub.blackholed {
			delete(pub.conns, num)
			pub.do(func() { pub.core.ConnectionClosed(num) })
		}
	}
	for _, a := range out.DialAddrs {
		pub := h.publishers[a]
		switch {
		case pub == nil || pub.down:
			sub.core.DialFailed(a)
		case pub.blackholed:
			continue
		default:
			h.lastConn++
			num := h.lastConn
			sub.conns[a], pub.conns[num] = num, sub
			sub.core.Connected(a)
		}
		h.drainSubscriber(sub)
	}
}

func (h *harness) countSent(m *Message) {
	switch {
	case m.Snapshot != nil:
		h.sent["snapshot"]++
	case m.Change != nil:
		h.sent["change"]++
	case m.SyncRequest != nil:
		h.sent["want"]++
	case m.RenewResponse != nil:
		h.sent["renewed"]++
	}
}

func (h *harness) countEvents(kind EventKind) (n int) {
	for _, l := range h.events {
		if l.Kind == kind {
			n++
		}
	}
	return n
}

// requireUpToDate fails unless a subscriber has the source's state and is current.
func (h *harness) requireUpToDate(sub *testSubscriber) {
	h.t.Helper()
	if sub.core.State().Version() != h.source.Version() || sub.core.State().Digest() != h.source.Digest() {
		h.t.Fatalf("%s is at %d (%016x), the source at %d (%016x)", sub.id, sub.core.State().Version(), sub.core.State().Digest(), h.source.Version(), h.source.Digest())
	}
	if age, known := sub.core.Age(h.now); !sub.core.IsCurrent(h.now) {
		h.t.Fatalf("%s is not current: %v, %v", sub.id, age, known)
	}
}

func configItem(n int) Item {
	return Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, n%7), Value: fmt.Appendf(nil, "v%d", n)}
}

// newSyncedPair returns two publishers of one site and a subscriber that is up to date.
func newSyncedPair(t *testing.T) (*harness, *testSubscriber) {
	h := newHarness(t, "s", "s")
	sub := h.newSubscriber("b0", "s")
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	if got := sub.core.Publishers(); len(got) != 2 {
		t.Fatalf("it follows %v", got)
	}
	return h, sub
}

func siteNames(publishers int) []string {
	var all []string
	for i := range publishers {
		all = append(all, fmt.Sprintf("s%d", i%3))
	}
	return all
}
