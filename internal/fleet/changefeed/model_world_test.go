package changefeed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// The kinds of violations.
const (
	violationWentBack       = "a subscriber went back"
	violationMixedState     = "a state that was never agreed"
	violationFalselyCurrent = "current beyond the lease"
	violationNotConverged   = "a subscriber does not converge"
)

// injectedFault is a fault injected around a subscriber.
type injectedFault string

const (
	noFault                injectedFault = ""
	faultDigestUnchecked   injectedFault = "digest not checked"
	faultSnapshotOverNewer injectedFault = "snapshot over a newer state"
	faultLeaseIgnored      injectedFault = "lease ignored"
)

// modelWorld is a small world for exhaustive exploration: two publishers, some subscribers, and a source of a few versions.
type modelWorld struct {
	now         time.Duration
	source      *Log
	agreedAt    []time.Duration // when each version was agreed
	digests     []uint64
	publishers  [2]*modelPublisher
	subscribers []*modelSubscriber
	lastConn    uint64
	remaining   budget
	fault       injectedFault
	violation   string
}

// budget limits how often each kind of move may still happen.
type budget struct {
	versions    int
	ticks       int
	sleeps      int
	losses      int
	duplicates  int
	suspensions int
	restarts    int
	corruptions int
}

type modelPublisher struct {
	address     string
	log         *Log
	core        *Publisher
	stopped     bool
	incarnation int
}

type modelSubscriber struct {
	id             string
	core           *Subscriber
	stopped        bool
	incarnation    uint64
	appliedVersion uint64
	conns          map[string]*modelConn
}

// direction is a direction of a connection.
type direction int

const (
	toPublisher direction = iota
	toSubscriber
)

var directions = []direction{toPublisher, toSubscriber}

type modelConn struct {
	id        uint64
	publisher int
	inTransit [2][]*Message // by direction; nil is the connection's end
	open      bool          // at the publisher
}

func newModelWorld(t testing.TB, subscribers int, left budget, broken injectedFault) *modelWorld {
	w := &modelWorld{source: NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20}), remaining: left, fault: broken, agreedAt: []time.Duration{0}, digests: []uint64{0}}
	w.agree(Item{Key: FleetKey, Value: []byte("f")},
		memberItem(t, shardmap.Member{ID: "r0", Addr: "r0", Zone: "z0", Site: "s"}), memberItem(t, shardmap.Member{ID: "r1", Addr: "r1", Zone: "z1", Site: "s"}))
	for i := range w.publishers {
		w.publishers[i] = &modelPublisher{address: fmt.Sprintf("r%d", i)}
		w.startPublisher(i)
	}
	for i := range subscribers {
		f := &modelSubscriber{id: fmt.Sprintf("b%d", i)}
		w.subscribers = append(w.subscribers, f)
		w.startSubscriber(i)
	}
	for range 12 { // all at the first version, nothing in transit
		w.tick()
		w.replicateTo(0)
		w.replicateTo(1)
		w.deliverAll()
	}
	w.remaining = left
	return w
}

func (w *modelWorld) agree(items ...Item) {
	change, err := w.source.Append(items)
	if err != nil {
		panic(err)
	}
	w.agreedAt = append(w.agreedAt, w.now)
	w.digests = append(w.digests, change.DigestAfter)
}

func (w *modelWorld) startPublisher(i int) {
	pub := w.publishers[i]
	log := NewLog(LogConfig{MaxChanges: 2, MaxBytes: 1 << 20}) // so short that three versions truncate it
	from := w.source
	if pub.log != nil {
		from = pub.log
	}
	if err := log.Install(*from.Snapshot()); err != nil {
		panic(err)
	}
	pub.incarnation++
	pub.log, pub.stopped = log, false
	pub.core = NewPublisher(PublisherConfig{ID: pub.address, MaxSubscribers: 10, WindowBytes: 1 << 10, SnapshotBytesPerSecond: 1 << 20, Seed: uint64(pub.incarnation)}, log, w.now)
}

func (w *modelWorld) startSubscriber(i int) {
	sub := w.subscribers[i]
	sub.incarnation++
	sub.appliedVersion, sub.stopped, sub.conns = 0, false, map[string]*modelConn{}
	sub.core = NewSubscriber(SubscriberConfig{ID: sub.id, Incarnation: sub.incarnation, Site: "s", Seeds: []string{"r0", "r1"}, Seed: sub.incarnation}, w.now)
}

func (w *modelWorld) fail(name, format string, args ...any) {
	if w.violation == "" {
		w.violation = name + ": " + fmt.Sprintf(format, args...)
	}
}

// tick advances the time by a second, with one tick of each process that is not suspended.
func (w *modelWorld) tick() {
	w.now += time.Second
	for i, pub := range w.publishers {
		if !pub.stopped {
			pub.core.Tick(w.now)
			w.drainPublisher(i)
		}
	}
	for _, sub := range w.subscribers {
		w.check(sub)
		if !sub.stopped {
			sub.core.Tick(w.now)
			w.drainSubscriber(sub)
			w.check(sub)
		}
	}
}

// replicateTo brings all agreed versions to a publisher.
func (w *modelWorld) replicateTo(i int) {
	pub := w.publishers[i]
	changes, ok := w.source.ChangesSince(pub.log.Version(), pub.log.Digest())
	if !ok {
		panic("the source's log is truncated")
	}
	for _, change := range changes {
		if err := pub.log.Apply(*change); err != nil {
			w.fail(violationMixedState, "publisher %d: %v", i, err)
		}
	}
	pub.core.LogChanged()
	pub.core.ConfirmVersion(w.now, w.source.Version())
	w.drainPublisher(i)
}

func (w *modelWorld) findConn(num uint64) (*modelSubscriber, *modelConn) {
	for _, sub := range w.subscribers {
		for _, a := range []string{"r0", "r1"} {
			if conn := sub.conns[a]; conn != nil && conn.id == num {
				return sub, conn
			}
		}
	}
	return nil, nil
}

func (w *modelWorld) drainPublisher(i int) {
	out := w.publishers[i].core.Ready()
	for _, s := range out.Sends {
		if _, conn := w.findConn(s.Conn); conn != nil {
			conn.inTransit[toSubscriber] = append(conn.inTransit[toSubscriber], &s.Message.Content)
		}
	}
	for _, num := range out.CloseConns {
		if _, conn := w.findConn(num); conn != nil {
			conn.open = false
			conn.inTransit[toSubscriber] = append(conn.inTransit[toSubscriber], nil)
		}
	}
}

func (w *modelWorld) drainSubscriber(sub *modelSubscriber) {
	out := sub.core.Ready()
	for _, a := range out.Updates {
		w.checkUpdate(sub, a)
	}
	for _, l := range out.Events {
		if l.IsAlert() {
			w.fail(violationMixedState, "%v", l)
		}
	}
	for _, s := range out.Sends {
		if conn := sub.conns[s.Addr]; conn != nil {
			conn.inTransit[toPublisher] = append(conn.inTransit[toPublisher], &s.Message)
		}
	}
	for _, a := range out.CloseAddrs {
		if conn := sub.conns[a]; conn != nil {
			w.closeConn(sub, conn)
		}
	}
	for _, a := range out.DialAddrs {
		w.lastConn++
		sub.conns[a] = &modelConn{id: w.lastConn, publisher: int(a[1] - '0'), open: true}
		sub.core.Connected(a)
		w.drainSubscriber(sub)
	}
}

// closeConn closes a connection at the subscriber's end: what it has sent before still arrives.
func (w *modelWorld) closeConn(sub *modelSubscriber, conn *modelConn) {
	pub := w.publishers[conn.publisher]
	delete(sub.conns, pub.address)
	if conn.open {
		for _, m := range conn.inTransit[toPublisher] {
			w.deliverToPublisher(conn, m)
		}
		pub.core.ConnectionClosed(conn.id)
		w.drainPublisher(conn.publisher)
	}
}

func (w *modelWorld) checkUpdate(sub *modelSubscriber, a Update) {
	switch {
	case a.Version <= sub.appliedVersion:
		w.fail(violationWentBack, "%s from %d to %d", sub.id, sub.appliedVersion, a.Version)
	case !a.Complete && a.Version != sub.appliedVersion+1:
		w.fail(violationMixedState, "%s from %d to %d by a change", sub.id, sub.appliedVersion, a.Version)
	}
	sub.appliedVersion = a.Version
}

// check verifies a subscriber's state, and what it reports of its age.
func (w *modelWorld) check(sub *modelSubscriber) {
	st := sub.core.State()
	fresh := NewState() // by what is there, not by the digest that was carried forward
	if _, _, err := fresh.evaluateItems(st.Items("")); err != nil {
		w.fail(violationMixedState, "%s: %v", sub.id, err)
	}
	sum, _, _ := fresh.evaluateItems(st.Items(""))
	if got := sum + mixBits(st.Version()); st.Version() >= uint64(len(w.digests)) || got != w.digests[st.Version()] {
		w.fail(violationMixedState, "%s at version %d", sub.id, st.Version())
		return
	}
	current := sub.core.IsCurrent(w.now)
	if w.fault == faultLeaseIgnored {
		current = sub.core.hasConfirmation
	}
	if current && w.versionAt(w.now-DefaultLease) > st.Version() {
		w.fail(violationFalselyCurrent, "%s at version %d, %d was agreed a lease ago", sub.id, st.Version(), w.versionAt(w.now-DefaultLease))
	}
	if age, known := sub.core.Age(w.now); known && w.versionAt(w.now-age) > st.Version() {
		w.fail(violationFalselyCurrent, "%s at version %d as of %v ago, %d was agreed then", sub.id, st.Version(), age, w.versionAt(w.now-age))
	}
}

// versionAt returns the version that was agreed before a time; one that was agreed at that very time does not count.
func (w *modelWorld) versionAt(at time.Duration) (v uint64) {
	for i, t := range w.agreedAt {
		if t < at {
			v = uint64(i)
		}
	}
	return v
}

// deliverToPublisher delivers a message to a publisher.
func (w *modelWorld) deliverToPublisher(conn *modelConn, m *Message) {
	pub := w.publishers[conn.publisher]
	switch {
	case !conn.open:
	case m.Hello != nil:
		_ = pub.core.Connected(w.now, conn.id, *m.Hello)
	default:
		_ = pub.core.Step(w.now, conn.id, *m)
	}
	w.drainPublisher(conn.publisher)
}

// deliverToSubscriber delivers a message to a subscriber, through the injected fault.
func (w *modelWorld) deliverToSubscriber(sub *modelSubscriber, addr string, m Message) {
	st := sub.core.state
	switch {
	case w.fault == faultDigestUnchecked && m.Change != nil && m.Change.Version == st.Version()+1:
		change := *m.Change
		if next, err := st.nextChange(change.Items); err == nil {
			change.DigestBefore = next.DigestBefore
			change.DigestAfter = next.DigestAfter
		}
		m.Change = &change
	case w.fault == faultSnapshotOverNewer && m.Snapshot != nil && m.Snapshot.Version < st.Version():
		*st = *NewState()
	}
	_ = sub.core.Step(addr, m)
}

// deliverNext delivers the first message in one direction of a connection, corrupted if requested.
func (w *modelWorld) deliverNext(sub *modelSubscriber, addr string, dir direction, corrupt bool) {
	conn := sub.conns[addr]
	m := conn.inTransit[dir][0]
	conn.inTransit[dir] = conn.inTransit[dir][1:]
	if corrupt {
		h := *m.Change
		h.Items = slices.Clone(h.Items)
		h.Items[0].Value = []byte("corrupted")
		m = &Message{Change: &h}
	}
	switch {
	case dir == toPublisher:
		w.deliverToPublisher(conn, m)
	case m == nil:
		delete(sub.conns, addr)
		sub.core.ConnectionClosed(addr)
	default:
		w.deliverToSubscriber(sub, addr, *m)
	}
	w.drainSubscriber(sub)
	w.check(sub)
}

// deliverAll delivers all messages in transit, and those that follow from them.
func (w *modelWorld) deliverAll() {
	for range 10000 {
		some := false
		for _, sub := range w.subscribers {
			for _, a := range []string{"r0", "r1"} {
				for _, dir := range directions {
					if conn := sub.conns[a]; conn != nil && len(conn.inTransit[dir]) > 0 {
						some = true
						w.deliverNext(sub, a, dir, false)
					}
				}
			}
		}
		if !some {
			return
		}
	}
	w.fail(violationNotConverged, "there is no end of messages")
}

// checkConverges ends all faults and verifies that all subscribers become current with the newest version.
func (w *modelWorld) checkConverges() {
	for i, pub := range w.publishers {
		pub.stopped = false
		w.replicateTo(i)
	}
	for _, sub := range w.subscribers {
		sub.stopped = false
	}
	for range 60 {
		w.tick()
		w.replicateTo(0)
		w.replicateTo(1)
		w.deliverAll()
	}
	for _, sub := range w.subscribers {
		if sub.core.State().Version() != w.source.Version() || !sub.core.IsCurrent(w.now) || len(sub.core.Publishers()) != 2 {
			w.fail(violationNotConverged, "%s is at version %d of %d and follows %v", sub.id, sub.core.State().Version(), w.source.Version(), sub.core.Publishers())
		}
	}
}
