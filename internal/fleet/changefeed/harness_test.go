package changefeed

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// harness connects subscriber and publisher cores in virtual time. A message reaches its receiver without delay, unless a test drops it or
// the receiver is suspended.
type harness struct {
	t           testing.TB
	now         time.Duration
	source      *Log
	publishers  map[string]*testPublisher // publishers by address
	addresses   []string                  // addresses of the publishers, in the order of their creation
	subscribers []*testSubscriber
	lastConn    uint64
	dropMessage func(from, to string, m *Message) bool // reports whether a message is lost
	events      []Event
	sentByKind  map[string]int // number of messages sent, by kind
}

// testPublisher is a publisher core with its log, its connections and the faults that a test injects.
type testPublisher struct {
	address       string
	log           *Log
	core          *Publisher
	conns         map[uint64]*testSubscriber
	isDown        bool // whether the process has ended: dials fail, connections are closed
	isBlackholed  bool // whether dials to the publisher never complete and messages to it are dropped
	isSuspended   bool // whether the process is suspended: events are queued
	queuedEvents  []func()
	isPartitioned bool // whether the publisher receives no changes and no confirmations
}

// testSubscriber is a subscriber core with its connections and the updates that it has returned.
type testSubscriber struct {
	core         *Subscriber
	id           string
	conns        map[string]uint64
	isSuspended  bool
	queuedEvents []func()
	updates      []Update
}

// newHarness returns a harness with publishers r0, r1, ... in zones z0, z1, ... of the given sites. The source's state names them as
// members.
func newHarness(t testing.TB, sites ...string) *harness {
	h := &harness{t: t, source: NewLog(LogConfig{MaxChanges: 1000, MaxBytes: 1 << 20}), publishers: map[string]*testPublisher{}, sentByKind: map[string]int{}}
	h.dropMessage = func(string, string, *Message) bool { return false }
	items := []Item{{Key: FleetKey, Value: []byte("f")}}
	for i, site := range sites {
		id := fmt.Sprintf("r%d", i)
		items = append(items, memberItem(t, shardmap.Member{ID: id, Addr: id, Machine: id, Zone: fmt.Sprintf("z%d", i), Site: site}))
		h.addresses = append(h.addresses, id)
	}
	h.appendItems(items...)
	for _, a := range h.addresses {
		h.publishers[a] = &testPublisher{address: a}
		h.startPublisher(a, PublisherConfig{})
	}
	return h
}

// memberItem returns the item of a member.
func memberItem(t testing.TB, m shardmap.Member) Item {
	value, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return Item{Key: MemberPrefix + m.ID, Value: value}
}

// startPublisher starts or restarts a publisher's process with the source's state.
func (h *harness) startPublisher(addr string, cfg PublisherConfig) {
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
	pub.core, pub.conns, pub.isDown = NewPublisher(cfg, pub.log, h.now), map[uint64]*testSubscriber{}, false
}

// killPublisher ends a publisher's process and closes its connections.
func (h *harness) killPublisher(addr string) {
	pub := h.publishers[addr]
	pub.isDown = true
	closed := pub.conns
	pub.conns = map[uint64]*testSubscriber{}
	for _, connID := range sortedConns(closed) {
		sub := closed[connID]
		if sub.conns[addr] == connID {
			delete(sub.conns, addr)
			sub.handleOrQueue(func() { sub.core.ConnectionClosed(addr) })
			h.drainSubscriber(sub)
		}
	}
}

// sortedConns returns the IDs of connections in ascending order.
func sortedConns(m map[uint64]*testSubscriber) []uint64 {
	var all []uint64
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// newSubscriber adds a subscriber whose seeds are all publishers.
func (h *harness) newSubscriber(id, site string) *testSubscriber {
	sub := &testSubscriber{id: id, conns: map[string]uint64{}, core: NewSubscriber(SubscriberConfig{ID: id, Incarnation: 1, Site: site, Zone: "own", Seeds: h.addresses, Seed: rendezvousScore(id, "")}, h.now)}
	h.subscribers = append(h.subscribers, sub)
	return sub
}

// appendItems appends a change to the source's log.
func (h *harness) appendItems(items ...Item) Change {
	change, err := h.source.Append(items)
	if err != nil {
		h.t.Fatal(err)
	}
	return change
}

// replicateTo replicates the source's changes or snapshot to a publisher, as the control tier does.
func (h *harness) replicateTo(pub *testPublisher) {
	changes, ok := h.source.ChangesSince(pub.log.Version(), pub.log.Digest())
	if !ok {
		if err := pub.log.Install(*h.source.Snapshot()); err != nil {
			h.t.Fatal(err)
		}
	}
	for _, change := range changes {
		if err := pub.log.Apply(*change); err != nil {
			h.t.Fatal(err)
		}
	}
	pub.core.LogChanged()
}

// handleOrQueue handles an event now, or queues it while the subscriber is suspended.
func (s *testSubscriber) handleOrQueue(handle func()) {
	if s.isSuspended {
		s.queuedEvents = append(s.queuedEvents, handle)
		return
	}
	handle()
}

// handleOrQueue handles an event now, or queues it while the publisher is suspended.
func (p *testPublisher) handleOrQueue(handle func()) {
	if p.isSuspended {
		p.queuedEvents = append(p.queuedEvents, handle)
		return
	}
	handle()
}

// run advances the time in ticks of 100 ms. At each tick the publishers receive the source's changes and a confirmation.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * time.Millisecond
		for _, a := range h.addresses {
			pub := h.publishers[a]
			if pub.isDown || pub.isSuspended {
				continue
			}
			pub.core.Tick(h.now)
			for _, handle := range pub.queuedEvents {
				handle()
			}
			pub.queuedEvents = nil
			if !pub.isPartitioned {
				h.replicateTo(pub)
				pub.core.ConfirmVersion(h.now, h.source.Version())
			}
			h.drainPublisher(pub)
		}
		for _, sub := range h.subscribers {
			if sub.isSuspended {
				continue
			}
			sub.core.Tick(h.now)
			for _, handle := range sub.queuedEvents {
				handle()
			}
			sub.queuedEvents = nil
			h.drainSubscriber(sub)
		}
	}
}

// drainPublisher performs a publisher's pending actions.
func (h *harness) drainPublisher(pub *testPublisher) {
	out := pub.core.Ready()
	h.events = append(h.events, out.Events...)
	for _, send := range out.Sends {
		sub := pub.conns[send.Conn]
		if sub == nil {
			continue
		}
		m := send.Message.Content
		h.countSent(&m)
		if sub.conns[pub.address] != send.Conn || h.dropMessage(pub.address, sub.id, &m) {
			continue
		}
		sub.handleOrQueue(func() {
			if sub.conns[pub.address] == send.Conn {
				_ = sub.core.Step(pub.address, m)
			}
		})
		if !sub.isSuspended {
			h.drainSubscriber(sub)
		}
	}
	for _, connID := range out.CloseConns {
		sub := pub.conns[connID]
		delete(pub.conns, connID)
		if sub != nil && sub.conns[pub.address] == connID {
			delete(sub.conns, pub.address)
			sub.handleOrQueue(func() { sub.core.ConnectionClosed(pub.address) })
			if !sub.isSuspended {
				h.drainSubscriber(sub)
			}
		}
	}
}

// drainSubscriber performs a subscriber's pending actions. It fails the test if a subscriber goes back to an older version.
func (h *harness) drainSubscriber(sub *testSubscriber) {
	out := sub.core.Ready()
	h.events = append(h.events, out.Events...)
	for _, update := range out.Updates {
		if n := len(sub.updates); n > 0 && update.Version <= sub.updates[n-1].Version {
			h.t.Fatalf("%s went back from version %d to %d", sub.id, sub.updates[n-1].Version, update.Version)
		}
		sub.updates = append(sub.updates, update)
	}
	for _, send := range out.Sends {
		m := send.Message
		pub, connID := h.publishers[send.Addr], sub.conns[send.Addr]
		h.countSent(&m)
		if connID == 0 || pub.isBlackholed || h.dropMessage(sub.id, send.Addr, &m) {
			continue
		}
		pub.handleOrQueue(func() {
			if m.Hello != nil {
				_ = pub.core.Connected(h.now, connID, *m.Hello)
			} else {
				_ = pub.core.Step(h.now, connID, m)
			}
		})
		if !pub.isSuspended {
			h.drainPublisher(pub)
		}
	}
	for _, a := range out.CloseAddrs {
		pub, connID := h.publishers[a], sub.conns[a]
		delete(sub.conns, a)
		if connID != 0 && !pub.isBlackholed {
			delete(pub.conns, connID)
			pub.handleOrQueue(func() { pub.core.ConnectionClosed(connID) })
		}
	}
	for _, a := range out.DialAddrs {
		pub := h.publishers[a]
		switch {
		case pub == nil || pub.isDown:
			sub.core.DialFailed(a)
		case pub.isBlackholed:
			continue
		default:
			h.lastConn++
			connID := h.lastConn
			sub.conns[a], pub.conns[connID] = connID, sub
			sub.core.Connected(a)
		}
		h.drainSubscriber(sub)
	}
}

// countSent counts a message by its kind.
func (h *harness) countSent(m *Message) {
	switch {
	case m.Snapshot != nil:
		h.sentByKind["snapshot"]++
	case m.Change != nil:
		h.sentByKind["change"]++
	case m.SyncRequest != nil:
		h.sentByKind["want"]++
	case m.RenewResponse != nil:
		h.sentByKind["renewed"]++
	}
}

// countEvents returns the number of events of a kind.
func (h *harness) countEvents(kind EventKind) (n int) {
	for _, event := range h.events {
		if event.Kind == kind {
			n++
		}
	}
	return n
}

// requireUpToDate fails the test unless a subscriber has the source's state and is current.
func (h *harness) requireUpToDate(sub *testSubscriber) {
	h.t.Helper()
	if sub.core.State().Version() != h.source.Version() || sub.core.State().Digest() != h.source.Digest() {
		h.t.Fatalf("%s is at version %d (digest %016x), the source at version %d (digest %016x)", sub.id, sub.core.State().Version(), sub.core.State().Digest(), h.source.Version(), h.source.Digest())
	}
	if age, known := sub.core.Age(h.now); !sub.core.IsCurrent(h.now) {
		h.t.Fatalf("%s is not current: age %v, known: %v", sub.id, age, known)
	}
}

// configItem returns the nth of a series of items with seven different keys.
func configItem(n int) Item {
	return Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, n%7), Value: fmt.Appendf(nil, "v%d", n)}
}

// newSyncedPair returns a harness with two publishers of one site and a subscriber that is up to date and follows both.
func newSyncedPair(t *testing.T) (*harness, *testSubscriber) {
	h := newHarness(t, "s", "s")
	sub := h.newSubscriber("b0", "s")
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	if got := sub.core.Publishers(); len(got) != 2 {
		t.Fatalf("the subscriber follows %v, want two publishers", got)
	}
	return h, sub
}

// siteNames returns the sites of publishers that are spread over three sites.
func siteNames(publishers int) []string {
	var all []string
	for i := range publishers {
		all = append(all, fmt.Sprintf("s%d", i%3))
	}
	return all
}
