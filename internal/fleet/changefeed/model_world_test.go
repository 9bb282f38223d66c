package changefeed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// The kinds of violations. The text of a violation begins with its kind.
const (
	violationWentBack       = "a subscriber went back"
	violationMixedState     = "a state that was never agreed"
	violationFalselyCurrent = "current beyond the lease"
	violationNotConverged   = "a subscriber does not converge"
)

// injectedFault is a fault that the model injects around a subscriber, to show that the exploration finds the resulting violation.
type injectedFault string

const (
	noFault                injectedFault = ""
	faultDigestUnchecked   injectedFault = "digest not checked"
	faultSnapshotOverNewer injectedFault = "snapshot over a newer state"
	faultLeaseIgnored      injectedFault = "lease ignored"
)

// modelWorld is a small system for exhaustive exploration: two publishers, a few subscribers, and a source that agrees on a few versions.
type modelWorld struct {
	now         time.Duration
	source      *Log
	agreedAt    []time.Duration // time at which each version was agreed
	digests     []uint64        // digest of each agreed version
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

// modelPublisher is a publisher core with its log.
type modelPublisher struct {
	address     string
	log         *Log
	core        *Publisher
	isSuspended bool
	incarnation int
}

// modelSubscriber is a subscriber core with its connections by address.
type modelSubscriber struct {
	id             string
	core           *Subscriber
	isSuspended    bool
	incarnation    uint64
	appliedVersion uint64
	conns          map[string]*modelConn
}

// direction is the direction of a message on a connection.
type direction int

const (
	toPublisher direction = iota
	toSubscriber
)

var directions = []direction{toPublisher, toSubscriber}

// modelConn is a connection with the messages in transit.
type modelConn struct {
	id        uint64
	publisher int
	inTransit [2][]*Message // messages by direction; nil marks the end of the connection
	isOpen    bool          // the publisher has not closed the connection and has not restarted
}

// newModelWorld returns a world in which all subscribers have the first version and no message is in transit.
func newModelWorld(t testing.TB, subscribers int, remaining budget, fault injectedFault) *modelWorld {
	w := &modelWorld{source: NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20}), remaining: remaining, fault: fault, agreedAt: []time.Duration{0}, digests: []uint64{0}}
	w.agreeNextVersion(Item{Key: FleetKey, Value: []byte("f")},
		memberItem(t, shardmap.Member{ID: "r0", Addr: "r0", Zone: "z0", Site: "s"}), memberItem(t, shardmap.Member{ID: "r1", Addr: "r1", Zone: "z1", Site: "s"}))
	for i := range w.publishers {
		w.publishers[i] = &modelPublisher{address: fmt.Sprintf("r%d", i)}
		w.startPublisher(i)
	}
	for i := range subscribers {
		sub := &modelSubscriber{id: fmt.Sprintf("b%d", i)}
		w.subscribers = append(w.subscribers, sub)
		w.startSubscriber(i)
	}
	for range 12 { // enough ticks for all subscribers to get the first version and for all messages to arrive
		w.tick()
		w.replicateTo(0)
		w.replicateTo(1)
		w.deliverAll()
	}
	w.remaining = remaining
	return w
}

// agreeNextVersion appends a version to the source's log.
func (w *modelWorld) agreeNextVersion(items ...Item) {
	change, err := w.source.Append(items)
	if err != nil {
		panic(err)
	}
	w.agreedAt = append(w.agreedAt, w.now)
	w.digests = append(w.digests, change.DigestAfter)
}

// startPublisher starts or restarts a publisher. After a restart it has the version that it had before.
func (w *modelWorld) startPublisher(i int) {
	pub := w.publishers[i]
	log := NewLog(LogConfig{MaxChanges: 2, MaxBytes: 1 << 20}) // the log is so short that three versions truncate it
	from := w.source
	if pub.log != nil {
		from = pub.log
	}
	if err := log.Install(*from.Snapshot()); err != nil {
		panic(err)
	}
	pub.incarnation++
	pub.log, pub.isSuspended = log, false
	pub.core = NewPublisher(PublisherConfig{ID: pub.address, MaxSubscribers: 10, WindowBytes: 1 << 10, SnapshotBytesPerSecond: 1 << 20, Seed: uint64(pub.incarnation)}, log, w.now)
}

// startSubscriber starts or restarts a subscriber with an empty state.
func (w *modelWorld) startSubscriber(i int) {
	sub := w.subscribers[i]
	sub.incarnation++
	sub.appliedVersion, sub.isSuspended, sub.conns = 0, false, map[string]*modelConn{}
	sub.core = NewSubscriber(SubscriberConfig{ID: sub.id, Incarnation: sub.incarnation, Site: "s", Seeds: []string{"r0", "r1"}, Seed: sub.incarnation}, w.now)
}

// recordViolation records the first violation.
func (w *modelWorld) recordViolation(name, format string, args ...any) {
	if w.violation == "" {
		w.violation = name + ": " + fmt.Sprintf(format, args...)
	}
}

// tick advances the time by one second and calls Tick of each process that is not suspended.
func (w *modelWorld) tick() {
	w.now += time.Second
	for i, pub := range w.publishers {
		if !pub.isSuspended {
			pub.core.Tick(w.now)
			w.drainPublisher(i)
		}
	}
	for _, sub := range w.subscribers {
		w.checkSubscriber(sub)
		if !sub.isSuspended {
			sub.core.Tick(w.now)
			w.drainSubscriber(sub)
			w.checkSubscriber(sub)
		}
	}
}

// replicateTo replicates all agreed versions to a publisher and confirms the newest one.
func (w *modelWorld) replicateTo(i int) {
	pub := w.publishers[i]
	changes, ok := w.source.ChangesSince(pub.log.Version(), pub.log.Digest())
	if !ok {
		panic("the source's log is truncated")
	}
	for _, change := range changes {
		if err := pub.log.Apply(*change); err != nil {
			w.recordViolation(violationMixedState, "publisher %d: %v", i, err)
		}
	}
	pub.core.LogChanged()
	pub.core.ConfirmVersion(w.now, w.source.Version())
	w.drainPublisher(i)
}

// findConn returns an open connection by its ID, and its subscriber.
func (w *modelWorld) findConn(connID uint64) (*modelSubscriber, *modelConn) {
	for _, sub := range w.subscribers {
		for _, a := range []string{"r0", "r1"} {
			if conn := sub.conns[a]; conn != nil && conn.id == connID {
				return sub, conn
			}
		}
	}
	return nil, nil
}

// drainPublisher performs a publisher's pending actions.
func (w *modelWorld) drainPublisher(i int) {
	out := w.publishers[i].core.Ready()
	for _, s := range out.Sends {
		if _, conn := w.findConn(s.Conn); conn != nil {
			conn.inTransit[toSubscriber] = append(conn.inTransit[toSubscriber], &s.Message.Content)
		}
	}
	for _, connID := range out.CloseConns {
		if _, conn := w.findConn(connID); conn != nil {
			conn.isOpen = false
			conn.inTransit[toSubscriber] = append(conn.inTransit[toSubscriber], nil)
		}
	}
}

// drainSubscriber performs a subscriber's pending actions.
func (w *modelWorld) drainSubscriber(sub *modelSubscriber) {
	out := sub.core.Ready()
	for _, update := range out.Updates {
		w.checkUpdate(sub, update)
	}
	for _, event := range out.Events {
		if event.IsAlert() {
			w.recordViolation(violationMixedState, "%v", event)
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
		sub.conns[a] = &modelConn{id: w.lastConn, publisher: int(a[1] - '0'), isOpen: true}
		sub.core.Connected(a)
		w.drainSubscriber(sub)
	}
}

// closeConn closes a connection at the subscriber's end. Messages that the subscriber sent before still arrive.
func (w *modelWorld) closeConn(sub *modelSubscriber, conn *modelConn) {
	pub := w.publishers[conn.publisher]
	delete(sub.conns, pub.address)
	if conn.isOpen {
		for _, m := range conn.inTransit[toPublisher] {
			w.deliverToPublisher(conn, m)
		}
		pub.core.ConnectionClosed(conn.id)
		w.drainPublisher(conn.publisher)
	}
}

// checkUpdate verifies that a subscriber's updates go forward and leave no version out.
func (w *modelWorld) checkUpdate(sub *modelSubscriber, update Update) {
	switch {
	case update.Version <= sub.appliedVersion:
		w.recordViolation(violationWentBack, "%s from version %d to %d", sub.id, sub.appliedVersion, update.Version)
	case !update.Complete && update.Version != sub.appliedVersion+1:
		w.recordViolation(violationMixedState, "%s from version %d to %d by a change", sub.id, sub.appliedVersion, update.Version)
	}
	sub.appliedVersion = update.Version
}

// checkSubscriber verifies that a subscriber's state is an agreed one, and that the age that it reports is not too low.
func (w *modelWorld) checkSubscriber(sub *modelSubscriber) {
	state := sub.core.State()
	fresh := NewState() // recomputes the digest from the items instead of using the incrementally updated one
	if _, _, err := fresh.evaluateItems(state.Items("")); err != nil {
		w.recordViolation(violationMixedState, "%s: %v", sub.id, err)
	}
	sum, _, _ := fresh.evaluateItems(state.Items(""))
	if got := sum + mixBits(state.Version()); state.Version() >= uint64(len(w.digests)) || got != w.digests[state.Version()] {
		w.recordViolation(violationMixedState, "%s at version %d", sub.id, state.Version())
		return
	}
	current := sub.core.IsCurrent(w.now)
	if w.fault == faultLeaseIgnored {
		current = sub.core.hasConfirmation
	}
	if current && w.versionAt(w.now-DefaultLease) > state.Version() {
		w.recordViolation(violationFalselyCurrent, "%s at version %d, version %d was agreed a lease ago", sub.id, state.Version(), w.versionAt(w.now-DefaultLease))
	}
	if age, known := sub.core.Age(w.now); known && w.versionAt(w.now-age) > state.Version() {
		w.recordViolation(violationFalselyCurrent, "%s at version %d, confirmed %v ago, when version %d was agreed", sub.id, state.Version(), age, w.versionAt(w.now-age))
	}
}

// versionAt returns the newest version that was agreed before a time, not counting one that was agreed at exactly that time.
func (w *modelWorld) versionAt(at time.Duration) (version uint64) {
	for i, agreedAt := range w.agreedAt {
		if agreedAt < at {
			version = uint64(i)
		}
	}
	return version
}

// deliverToPublisher delivers a message to a publisher, unless the connection is closed there.
func (w *modelWorld) deliverToPublisher(conn *modelConn, m *Message) {
	pub := w.publishers[conn.publisher]
	switch {
	case !conn.isOpen:
	case m.Hello != nil:
		_ = pub.core.Connected(w.now, conn.id, *m.Hello)
	default:
		_ = pub.core.Step(w.now, conn.id, *m)
	}
	w.drainPublisher(conn.publisher)
}

// deliverToSubscriber delivers a message to a subscriber, with the injected fault.
func (w *modelWorld) deliverToSubscriber(sub *modelSubscriber, addr string, m Message) {
	state := sub.core.state
	switch {
	case w.fault == faultDigestUnchecked && m.Change != nil && m.Change.Version == state.Version()+1:
		change := *m.Change
		if next, err := state.nextChange(change.Items); err == nil {
			change.DigestBefore = next.DigestBefore
			change.DigestAfter = next.DigestAfter
		}
		m.Change = &change
	case w.fault == faultSnapshotOverNewer && m.Snapshot != nil && m.Snapshot.Version < state.Version():
		*state = *NewState()
	}
	_ = sub.core.Step(addr, m)
}

// deliverNext delivers the first message in one direction of a connection, corrupted if requested.
func (w *modelWorld) deliverNext(sub *modelSubscriber, addr string, dir direction, corrupt bool) {
	conn := sub.conns[addr]
	m := conn.inTransit[dir][0]
	conn.inTransit[dir] = conn.inTransit[dir][1:]
	if corrupt {
		corrupted := *m.Change
		corrupted.Items = slices.Clone(corrupted.Items)
		corrupted.Items[0].Value = []byte("corrupted")
		m = &Message{Change: &corrupted}
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
	w.checkSubscriber(sub)
}

// deliverAll delivers all messages in transit, and the messages that they cause.
func (w *modelWorld) deliverAll() {
	for range 10000 {
		delivered := false
		for _, sub := range w.subscribers {
			for _, a := range []string{"r0", "r1"} {
				for _, dir := range directions {
					if conn := sub.conns[a]; conn != nil && len(conn.inTransit[dir]) > 0 {
						delivered = true
						w.deliverNext(sub, a, dir, false)
					}
				}
			}
		}
		if !delivered {
			return
		}
	}
	w.recordViolation(violationNotConverged, "messages are still in transit after 10000 rounds")
}

// checkConverges ends all suspensions and verifies that all subscribers become current with the newest version and follow both publishers.
func (w *modelWorld) checkConverges() {
	for i, pub := range w.publishers {
		pub.isSuspended = false
		w.replicateTo(i)
	}
	for _, sub := range w.subscribers {
		sub.isSuspended = false
	}
	for range 60 {
		w.tick()
		w.replicateTo(0)
		w.replicateTo(1)
		w.deliverAll()
	}
	for _, sub := range w.subscribers {
		if sub.core.State().Version() != w.source.Version() || !sub.core.IsCurrent(w.now) || len(sub.core.Publishers()) != 2 {
			w.recordViolation(violationNotConverged, "%s is at version %d of %d and follows %v", sub.id, sub.core.State().Version(), w.source.Version(), sub.core.Publishers())
		}
	}
}
