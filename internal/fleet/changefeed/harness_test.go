package changefeed

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// rig joins followers and relays without any delay: what one hands out comes to the other at once, but for what a test holds back.
type rig struct {
	t      testing.TB
	now    time.Duration
	source *Log
	relays map[string]*station // by address
	addrs  []string            // in order
	all    []*client
	conns  uint64
	hold   func(from, to string, m *Message) bool // true: the message is lost
	lines  []Event
	sent   map[string]int // messages, by kind
}

type station struct {
	addr    string
	log     *Log
	relay   *Publisher
	conns   map[uint64]*client
	down    bool // dials fail, connections are gone
	mute    bool // dials and messages to it are swallowed
	stopped bool // nothing of it runs; what comes waits
	waiting []func()
	stale   bool // it hears nothing of the log
}

type client struct {
	f       *Subscriber
	id      string
	conns   map[string]uint64
	stopped bool
	waiting []func()
	applied []Update
}

// newRig makes relays r0, r1, .. in zones z0, z1, .. of the sites named; the source knows them as members.
func newRig(t testing.TB, sites ...string) *rig {
	r := &rig{t: t, source: NewLog(LogConfig{MaxChanges: 1000, MaxBytes: 1 << 20}), relays: map[string]*station{}, sent: map[string]int{}}
	r.hold = func(string, string, *Message) bool { return false }
	items := []Item{{Key: FleetKey, Value: []byte("f")}}
	for i, site := range sites {
		id := fmt.Sprintf("r%d", i)
		items = append(items, memberItem(t, shardmap.Member{ID: id, Addr: id, Machine: id, Zone: fmt.Sprintf("z%d", i), Site: site}))
		r.addrs = append(r.addrs, id)
	}
	r.put(items...)
	for _, a := range r.addrs {
		r.relays[a] = &station{addr: a}
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
func (r *rig) start(addr string, cfg PublisherConfig) {
	s := r.relays[addr]
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
	s.relay, s.conns, s.down = NewPublisher(cfg, s.log, r.now), map[uint64]*client{}, false
}

// kill ends a relay's process.
func (r *rig) kill(addr string) {
	s := r.relays[addr]
	s.down = true
	gone := s.conns
	s.conns = map[uint64]*client{}
	for _, num := range sortedConns(gone) {
		c := gone[num]
		if c.conns[addr] == num {
			delete(c.conns, addr)
			c.do(func() { c.f.ConnectionClosed(addr) })
			r.client(c)
		}
	}
}

func sortedConns(m map[uint64]*client) []uint64 {
	var all []uint64
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (r *rig) follower(id, site string) *client {
	c := &client{id: id, conns: map[string]uint64{}, f: NewSubscriber(SubscriberConfig{ID: id, Incarnation: 1, Site: site, Zone: "own", Seeds: r.addrs, Seed: score(id, "")}, r.now)}
	r.all = append(r.all, c)
	return c
}

func (r *rig) put(items ...Item) Change {
	c, err := r.source.Append(items)
	if err != nil {
		r.t.Fatal(err)
	}
	return c
}

// tell brings the source's changes to a relay, as the control tier does.
func (r *rig) tell(s *station) {
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
	s.relay.LogChanged()
}

func (c *client) do(what func()) {
	if c.stopped {
		c.waiting = append(c.waiting, what)
		return
	}
	what()
}

func (s *station) do(what func()) {
	if s.stopped {
		s.waiting = append(s.waiting, what)
		return
	}
	what()
}

// run lets time pass in beats of 100 ms; the relays hear of the log at each.
func (r *rig) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 100 * time.Millisecond
		for _, a := range r.addrs {
			s := r.relays[a]
			if s.down || s.stopped {
				continue
			}
			s.relay.Tick(r.now)
			for _, what := range s.waiting {
				what()
			}
			s.waiting = nil
			if !s.stale {
				r.tell(s)
				s.relay.ConfirmVersion(r.now, r.source.Version())
			}
			r.station(s)
		}
		for _, c := range r.all {
			if c.stopped {
				continue
			}
			c.f.Tick(r.now)
			for _, what := range c.waiting {
				what()
			}
			c.waiting = nil
			r.client(c)
		}
	}
}

// station does what a relay hands out.
func (r *rig) station(s *station) {
	out := s.relay.Ready()
	r.lines = append(r.lines, out.Events...)
	for _, one := range out.Sends {
		c := s.conns[one.Conn]
		if c == nil {
			continue
		}
		m := one.Message.Content
		r.note(&m)
		if c.conns[s.addr] != one.Conn || r.hold(s.addr, c.id, &m) {
			continue
		}
		c.do(func() {
			if c.conns[s.addr] == one.Conn {
				_ = c.f.Step(s.addr, m)
			}
		})
		if !c.stopped {
			r.client(c)
		}
	}
	for _, num := range out.Close {
		c := s.conns[num]
		delete(s.conns, num)
		if c != nil && c.conns[s.addr] == num {
			delete(c.conns, s.addr)
			c.do(func() { c.f.ConnectionClosed(s.addr) })
			if !c.stopped {
				r.client(c)
			}
		}
	}
}

// client does what a follower hands out.
func (r *rig) client(c *client) {
	out := c.f.Ready()
	r.lines = append(r.lines, out.Events...)
	for _, a := range out.Updates {
		if n := len(c.applied); n > 0 && a.Version <= c.applied[n-1].Version {
			r.t.Fatalf("%s went back from %d to %d", c.id, c.applied[n-1].Version, a.Version)
		}
		c.applied = append(c.applied, a)
	}
	for _, one := range out.Sends {
		m := one.Message
		s, num := r.relays[one.Addr], c.conns[one.Addr]
		r.note(&m)
		if num == 0 || s.mute || r.hold(c.id, one.Addr, &m) {
			continue
		}
		s.do(func() {
			if m.Hello != nil {
				_ = s.relay.Connected(r.now, num, *m.Hello)
			} else {
				_ = s.relay.Step(r.now, num, m)
			}
		})
		if !s.stopped {
			r.station(s)
		}
	}
	for _, a := range out.Close {
		s, num := r.relays[a], c.conns[a]
		delete(c.conns, a)
		if num != 0 && !s.mute {
			delete(s.conns, num)
			s.do(func() { s.relay.ConnectionClosed(num) })
		}
	}
	for _, a := range out.Dial {
		s := r.relays[a]
		switch {
		case s == nil || s.down:
			c.f.DialFailed(a)
		case s.mute:
			continue
		default:
			r.conns++
			num := r.conns
			c.conns[a], s.conns[num] = num, c
			c.f.Connected(a)
		}
		r.client(c)
	}
}

func (r *rig) note(m *Message) {
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

func (r *rig) said(kind EventKind) (n int) {
	for _, l := range r.lines {
		if l.Kind == kind {
			n++
		}
	}
	return n
}

// newest fails unless a follower has all that the source has, and knows it.
func (r *rig) newest(c *client) {
	r.t.Helper()
	if c.f.State().Version() != r.source.Version() || c.f.State().Digest() != r.source.Digest() {
		r.t.Fatalf("%s is at %d (%016x), the source at %d (%016x)", c.id, c.f.State().Version(), c.f.State().Digest(), r.source.Version(), r.source.Digest())
	}
	if age, known := c.f.Age(r.now); !c.f.IsCurrent(r.now) {
		r.t.Fatalf("%s is not current: %v, %v", c.id, age, known)
	}
}

func config(n int) Item {
	return Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, n%7), Value: fmt.Appendf(nil, "v%d", n)}
}
