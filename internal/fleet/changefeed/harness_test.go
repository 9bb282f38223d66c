package changefeed

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// harness joins followers and relays without any delay: what one hands out comes to the other at once, but for what a test holds back.
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
	down        bool // dials fail, connections are gone
	blackholed  bool // dials and messages to it are swallowed
	stopped     bool // nothing of it runs; what comes waits
	waiting     []func()
	partitioned bool // it hears nothing of the log
}

type testSubscriber struct {
	core    *Subscriber
	id      string
	conns   map[string]uint64
	stopped bool
	waiting []func()
	updates []Update
}

// newHarness makes relays r0, r1, .. in zones z0, z1, .. of the sites named; the source knows them as members.
func newHarness(t testing.TB, sites ...string) *harness {
	r := &harness{t: t, source: NewLog(LogConfig{MaxChanges: 1000, MaxBytes: 1 << 20}), publishers: map[string]*testPublisher{}, sent: map[string]int{}}
	r.drop = func(string, string, *Message) bool { return false }
	items := []Item{{Key: FleetKey, Value: []byte("f")}}
	for i, site := range sites {
		id := fmt.Sprintf("r%d", i)
		items = append(items, memberItem(t, shardmap.Member{ID: id, Addr: id, Machine: id, Zone: fmt.Sprintf("z%d", i), Site: site}))
		r.addresses = append(r.addresses, id)
	}
	r.put(items...)
	for _, a := range r.addresses {
		r.publishers[a] = &testPublisher{address: a}
		r.start(a, PublisherConfig{})
	}
	return r
}

func memberItem(t testing.TB, m shardmap.Member) Item {
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return Item{Key: MemberPrefix + m.ID, Value: text}
}

// start makes a relay's process anew, with what the source has.
func (r *harness) start(addr string, cfg PublisherConfig) {
	s := r.publishers[addr]
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
	s.log = NewLog(LogConfig{MaxChanges: 1000, MaxBytes: 1 << 20})
	if err := s.log.Install(*r.source.Snapshot()); err != nil {
		r.t.Fatal(err)
	}
	s.core, s.conns, s.down = NewPublisher(cfg, s.log, r.now), map[uint64]*testSubscriber{}, false
}

// kill ends a relay's process.
func (r *harness) kill(addr string) {
	s := r.publishers[addr]
	s.down = true
	gone := s.conns
	s.conns = map[uint64]*testSubscriber{}
	for _, num := range sortedConns(gone) {
		c := gone[num]
		if c.conns[addr] == num {
			delete(c.conns, addr)
			c.do(func() { c.core.ConnectionClosed(addr) })
			r.drainSubscriber(c)
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

func (r *harness) newSubscriber(id, site string) *testSubscriber {
	c := &testSubscriber{id: id, conns: map[string]uint64{}, core: NewSubscriber(SubscriberConfig{ID: id, Incarnation: 1, Site: site, Zone: "own", Seeds: r.addresses, Seed: rendezvousScore(id, "")}, r.now)}
	r.subscribers = append(r.subscribers, c)
	return c
}

func (r *harness) put(items ...Item) Change {
	c, err := r.source.Append(items)
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

// replicateTo brings the source's changes to a relay, as the control tier does.
func (r *harness) replicateTo(s *testPublisher) {
	cs, ok := r.source.ChangesSince(s.log.Version(), s.log.Digest())
	if !ok {
		if err := s.log.Install(*r.source.Snapshot()); err != nil {
			r.t.Fatal(err)
		}
	}
	for _, c := range cs {
		if err := s.log.Apply(*c); err != nil {
			r.t.Fatal(err)
		}
	}
	s.core.LogChanged()
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

// run lets time pass in beats of 100 ms; the relays hear of the log at each.
func (r *harness) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 100 * time.Millisecond
		for _, a := range r.addresses {
			s := r.publishers[a]
			if s.down || s.stopped {
				continue
			}
			s.core.Tick(r.now)
			for _, what := range s.waiting {
				what()
			}
			s.waiting = nil
			if !s.partitioned {
				r.replicateTo(s)
				s.core.ConfirmVersion(r.now, r.source.Version())
			}
			r.drainPublisher(s)
		}
		for _, c := range r.subscribers {
			if c.stopped {
				continue
			}
			c.core.Tick(r.now)
			for _, what := range c.waiting {
				what()
			}
			c.waiting = nil
			r.drainSubscriber(c)
		}
	}
}

// drainPublisher does what a relay hands out.
func (r *harness) drainPublisher(s *testPublisher) {
	out := s.core.Ready()
	r.events = append(r.events, out.Events...)
	for _, one := range out.Sends {
		c := s.conns[one.Conn]
		if c == nil {
			continue
		}
		m := one.Message.Content
		r.countSent(&m)
		if c.conns[s.address] != one.Conn || r.drop(s.address, c.id, &m) {
			continue
		}
		c.do(func() {
			if c.conns[s.address] == one.Conn {
				_ = c.core.Step(s.address, m)
			}
		})
		if !c.stopped {
			r.drainSubscriber(c)
		}
	}
	for _, num := range out.Close {
		c := s.conns[num]
		delete(s.conns, num)
		if c != nil && c.conns[s.address] == num {
			delete(c.conns, s.address)
			c.do(func() { c.core.ConnectionClosed(s.address) })
			if !c.stopped {
				r.drainSubscriber(c)
			}
		}
	}
}

// drainSubscriber does what a follower hands out.
func (r *harness) drainSubscriber(c *testSubscriber) {
	out := c.core.Ready()
	r.events = append(r.events, out.Events...)
	for _, a := range out.Updates {
		if n := len(c.updates); n > 0 && a.Version <= c.updates[n-1].Version {
			r.t.Fatalf("%s went back from %d to %d", c.id, c.updates[n-1].Version, a.Version)
		}
		c.updates = append(c.updates, a)
	}
	for _, one := range out.Sends {
		m := one.Message
		s, num := r.publishers[one.Addr], c.conns[one.Addr]
		r.countSent(&m)
		if num == 0 || s.blackholed || r.drop(c.id, one.Addr, &m) {
			continue
		}
		s.do(func() {
			if m.Hello != nil {
				_ = s.core.Connected(r.now, num, *m.Hello)
			} else {
				_ = s.core.Step(r.now, num, m)
			}
		})
		if !s.stopped {
			r.drainPublisher(s)
		}
	}
	for _, a := range out.Close {
		s, num := r.publishers[a], c.conns[a]
		delete(c.conns, a)
		if num != 0 && !s.blackholed {
			delete(s.conns, num)
			s.do(func() { s.core.ConnectionClosed(num) })
		}
	}
	for _, a := range out.Dial {
		s := r.publishers[a]
		switch {
		case s == nil || s.down:
			c.core.DialFailed(a)
		case s.blackholed:
			continue
		default:
			r.lastConn++
			num := r.lastConn
			c.conns[a], s.conns[num] = num, c
			c.core.Connected(a)
		}
		r.drainSubscriber(c)
	}
}

func (r *harness) countSent(m *Message) {
	switch {
	case m.Snapshot != nil:
		r.sent["snapshot"]++
	case m.Change != nil:
		r.sent["change"]++
	case m.SyncRequest != nil:
		r.sent["want"]++
	case m.RenewResponse != nil:
		r.sent["renewed"]++
	}
}

func (r *harness) countEvents(kind EventKind) (n int) {
	for _, l := range r.events {
		if l.Kind == kind {
			n++
		}
	}
	return n
}

// requireUpToDate fails unless a follower has all that the source has, and knows it.
func (r *harness) requireUpToDate(c *testSubscriber) {
	r.t.Helper()
	if c.core.State().Version() != r.source.Version() || c.core.State().Digest() != r.source.Digest() {
		r.t.Fatalf("%s is at %d (%016x), the source at %d (%016x)", c.id, c.core.State().Version(), c.core.State().Digest(), r.source.Version(), r.source.Digest())
	}
	if age, known := c.core.Age(r.now); !c.core.IsCurrent(r.now) {
		r.t.Fatalf("%s is not current: %v, %v", c.id, age, known)
	}
}

func configItem(n int) Item {
	return Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, n%7), Value: fmt.Appendf(nil, "v%d", n)}
}
