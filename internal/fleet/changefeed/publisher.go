package changefeed

import (
	"cmp"
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Spans and bounds that relays and followers share.
const (
	DefaultLease  = 5 * time.Second // the usual one: a follower that is not heard for so long is gone, knowledge that old is not current
	RenewInterval = time.Second     // a follower's renewals at each relay, by chance a quarter more or less

	pauseThreshold            = time.Second      // a beat that comes so late tells that this process was stopped
	maxUnreadResponses        = 16               // answers to one follower that it has not said to have read; more are not given
	maxUnackedMessages        = 1024             // messages to one follower that it has not acknowledged
	maxDistinctSnapshots      = 4                // different snapshots that are out unacknowledged at a time
	ackTimeout                = 30 * time.Second // a follower that acknowledges nothing for so long while something is out is let go
	fullRetryAfter            = 15 * time.Second // until a follower that found no room may come again, by chance up to as much more
	drainRetryAfter           = 30 * time.Second // the same of a relay that ends
	protocolRetryAfter        = 60 * time.Second // the same of one that speaks an older form
	maxPublisherConfirmations = 8                // of freshness, for versions that are still to come
	maxNameBytes              = 256              // bytes of each name in a Hello
)

// PublisherConfig is what a relay begins with.
type PublisherConfig struct {
	ID                     string // its own, in lines
	Fleet                  string // empty: as the log has it
	MaxSubscribers         int    // followers at once; one more is sent elsewhere. This, and Window, bound the relay's memory
	WindowBytes            int    // bytes that are out unacknowledged to one follower; a message that is larger goes out alone
	SnapshotBytesPerSecond int    // a second, of snapshots to all followers together
	Lease                  time.Duration
	Seed                   uint64
}

// PublisherSend is one message to one connection. Those to one connection go out in the order in which they are handed out.
type PublisherSend struct {
	Conn    uint64
	Message *SharedMessage
}

// PublisherReady is what is to be done, in this order: the sends, then the ends of connections, after what was sent to them.
type PublisherReady struct {
	Sends  []PublisherSend
	Close  []uint64
	Events []Event
}

// Publisher is one control process's side of the feed. It is one goroutine's, which also owns the log.
//
// A beat costs what is due in it; a change costs each of the relay's own followers once.
type Publisher struct {
	config               PublisherConfig
	log                  *Log
	rng                  *rand.Rand
	now                  time.Duration
	resumedAt            time.Duration // since then this process has not been stopped: nobody's silence before counts
	latest               confirmation  // the newest that was known to be all there was
	confirmed            bool
	pendingConfirmations []confirmation // what the leader has said of versions that are still to come here

	sessions          map[uint64]*session
	sessionsByID      map[string]*session
	order             *list.List // all peers, in the order in which they came
	expiries          expiryQueue
	snapshotQueue     []*session // that wait for a snapshot
	snapshotBudget    float64    // bytes of snapshots that may go out now
	snapshotsInFlight map[uint64]*inflightSnapshot
	draining          bool

	ready PublisherReady
	Stats PublisherStats
}

// confirmation is a time at which nothing newer than a version was agreed.
type confirmation struct {
	at      time.Duration
	version uint64
	digest  uint64
}

// inflightSnapshot is a snapshot that is out, and to how many.
type inflightSnapshot struct{ by int }

// PublisherStats counts what a relay did.
type PublisherStats struct {
	Changes, Snapshots                           uint64 // sent
	Bytes                                        uint64 // of them, as Size counts
	Accepted, LeaseExpiries, SlowSubscribers     uint64
	RejectedFull, RejectedForeign, RejectedNewer uint64 // sent elsewhere, or away
	MalformedMessages                            uint64 // messages
}

// session is one follower's connection.
type session struct {
	connID           uint64
	hello            Hello
	position         *list.Element
	lastReceived     time.Duration
	nextExpiryCheck  time.Duration // when to look whether its lease has ended,
	heapIndex        int           // and its place among those
	ackedVersion     uint64        // acknowledged
	ackedDigest      uint64
	sentVersion      uint64 // the version up to which it was sent, or said itself to be
	sentDigest       uint64
	standby          bool
	awaitingResume   bool // the ring no longer reaches it: its next word tells whether it still needs a snapshot
	forceSnapshot    bool // it asked for a snapshot, whatever the ring has
	awaitingSnapshot bool
	inFlight         []inFlightMessage
	inFlightBytes    int           // of out
	lastProgress     time.Duration // the last time that it acknowledged something, or that nothing was out
	lastAnswered     uint64        // the newest renewal that was answered
	lastResponse     uint64        // and that it said to have read the answer of
	syncPending      bool          // a Want was taken since then
}

type inFlightMessage struct {
	version    uint64
	size       int
	isSnapshot bool
}

// expiryQueue are all peers by when to look whether they are still heard.
type expiryQueue []*session

func (l expiryQueue) Len() int { return len(l) }
func (l expiryQueue) Less(i, j int) bool {
	return l[i].nextExpiryCheck < l[j].nextExpiryCheck || l[i].nextExpiryCheck == l[j].nextExpiryCheck && l[i].connID < l[j].connID
}
func (l expiryQueue) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].heapIndex, l[j].heapIndex = i, j
}
func (l *expiryQueue) Push(x any) {
	p := x.(*session)
	p.heapIndex = len(*l)
	*l = append(*l, p)
}
func (l *expiryQueue) Pop() any {
	n := len(*l) - 1
	last := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	return last
}

// NewPublisher begins without followers, and knows of no freshness.
func NewPublisher(cfg PublisherConfig, log *Log, now time.Duration) *Publisher {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultLease
	}
	return &Publisher{config: cfg, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 0xfeed)), now: now, resumedAt: now, sessions: map[uint64]*session{},
		sessionsByID: map[string]*session{}, order: list.New(), snapshotBudget: float64(cfg.SnapshotBytesPerSecond), snapshotsInFlight: map[uint64]*inflightSnapshot{}}
}

// Ready hands out what is to be done, once.
func (r *Publisher) Ready() PublisherReady {
	out := r.ready
	r.ready = PublisherReady{}
	return out
}

func (r *Publisher) fleet() string { return cmp.Or(r.config.Fleet, r.log.Fleet()) }

// ---- What comes in. Each time is read after what it comes with: an answer that is older than it says would make old knowledge young.

// Tick is a beat, some ten of them a second.
func (r *Publisher) Tick(now time.Duration) {
	if now-r.now > pauseThreshold {
		r.resumedAt = now
		r.emit(Event{Kind: EventResumed, Duration: now - r.now})
	}
	r.advance(now)
	for len(r.expiries) > 0 && r.expiries[0].nextExpiryCheck <= now {
		p := r.expiries[0]
		end := max(p.lastReceived, r.resumedAt) + r.config.Lease
		slow := max(p.lastProgress, r.resumedAt) + ackTimeout
		switch {
		case end <= now:
			r.Stats.LeaseExpiries++
			r.emit(Event{Kind: EventLeaseExpired, PeerID: p.hello.ID, Duration: now - p.lastReceived})
			r.closeSession(p)
		case len(p.inFlight) > 0 && slow <= now:
			r.Stats.SlowSubscribers++
			r.emit(Event{Kind: EventSlowSubscriber, PeerID: p.hello.ID, Duration: now - p.lastProgress})
			r.closeSession(p)
		default:
			p.nextExpiryCheck = end
			heap.Fix(&r.expiries, p.heapIndex)
		}
	}
	r.sendSnapshots()
}

// advance takes the time, and gives snapshots what may go out since.
func (r *Publisher) advance(now time.Duration) {
	if now > r.now {
		pace := float64(r.config.SnapshotBytesPerSecond)
		r.snapshotBudget = min(r.snapshotBudget+pace*(now-r.now).Seconds(), pace)
		r.now = now
	}
}

// LogChanged tells that the log has changed.
func (r *Publisher) LogChanged() {
	r.confirm()
	for e := r.order.Front(); e != nil; e = e.Next() {
		r.sendChanges(e.Value.(*session))
	}
	r.sendSnapshots()
}

// ConfirmVersion tells that at a time of this clock, read before the question to the log's leader went out, nothing newer than a version was
// agreed (read index). It counts from when the log here has that version.
func (r *Publisher) ConfirmVersion(at time.Duration, version uint64) {
	if len(r.pendingConfirmations) < maxPublisherConfirmations { // a log that lags so far has no use for more than the first of them
		r.pendingConfirmations = append(r.pendingConfirmations, confirmation{at: at, version: version})
	}
	r.confirm()
}

func (r *Publisher) confirm() {
	r.pendingConfirmations = slices.DeleteFunc(r.pendingConfirmations, func(c confirmation) bool {
		if c.version > r.log.Version() {
			return r.now-c.at > r.config.Lease // of no use any more
		}
		if !r.confirmed || c.at > r.latest.at {
			r.confirmed, r.latest = true, c
		}
		return true
	})
}

// Connected is a follower's first message on a connection. An error has been answered, and ends the connection.
func (r *Publisher) Connected(now time.Duration, conn uint64, h Hello) error {
	r.advance(now)
	if r.sessions[conn] != nil {
		return r.rejectMalformed(conn, fmt.Errorf("%w: a second hello", ErrMalformedMessage))
	}
	if h.ID == "" || h.ProtocolVersion < 1 || len(h.ID) > maxNameBytes || len(h.Name) > maxNameBytes || len(h.Machine) > maxNameBytes || len(h.Zone) > maxNameBytes || len(h.Site) > maxNameBytes {
		return r.rejectMalformed(conn, fmt.Errorf("%w: a hello without an ID or form, or with a name over %d bytes", ErrMalformedMessage, maxNameBytes))
	}
	if fleet := r.fleet(); h.Fleet != "" && fleet != "" && h.Fleet != fleet {
		r.Stats.RejectedForeign++
		r.emit(Event{Kind: EventForeignFleet, PeerID: h.ID, Detail: h.Fleet})
		return r.reject(conn, protocolRetryAfter, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, h.Fleet, fleet))
	}
	if h.ProtocolVersion > ProtocolVersion {
		r.Stats.RejectedNewer++
		r.emit(Event{Kind: EventNewerProtocol, PeerID: h.ID, Detail: fmt.Sprint(h.ProtocolVersion)})
		return r.reject(conn, protocolRetryAfter, fmt.Errorf("%w: form %d, this process speaks %d", ErrMalformedMessage, h.ProtocolVersion, ProtocolVersion))
	}
	old := r.sessionsByID[h.ID]
	if old != nil && h.Incarnation < old.hello.Incarnation {
		return r.rejectMalformed(conn, fmt.Errorf("%w: a hello of life %d, %d has begun", ErrMalformedMessage, h.Incarnation, old.hello.Incarnation))
	}
	if r.draining {
		return r.reject(conn, drainRetryAfter, errDraining)
	}
	if old != nil {
		r.closeSession(old)
	}
	if len(r.sessions) >= r.config.MaxSubscribers {
		r.Stats.RejectedFull++
		return r.reject(conn, fullRetryAfter, fmt.Errorf("%w: %d followers", ErrFull, len(r.sessions)))
	}
	r.Stats.Accepted++
	p := &session{connID: conn, hello: h, lastReceived: now, ackedVersion: h.Version, ackedDigest: h.Digest, sentVersion: h.Version, sentDigest: h.Digest, standby: h.Standby, lastProgress: now, nextExpiryCheck: now + r.config.Lease}
	p.position = r.order.PushBack(p)
	r.sessions[conn], r.sessionsByID[h.ID] = p, p
	heap.Push(&r.expiries, p)
	p.awaitingResume = true // its version is of this moment
	r.resume(p)
	r.sendSnapshots()
	return nil
}

var errDraining = fmt.Errorf("%w: this process ends", ErrFull)

// reject sends who has just come elsewhere.
func (r *Publisher) reject(conn uint64, wait time.Duration, why error) error {
	r.send(conn, Message{Reject: &Reject{RetryAfter: wait + r.jitter(wait), Reason: why.Error()}})
	r.ready.Close = append(r.ready.Close, conn)
	return why
}

func (r *Publisher) rejectMalformed(conn uint64, why error) error {
	r.Stats.MalformedMessages++
	r.emit(Event{Kind: EventMalformedMessage, Detail: why.Error()})
	if p := r.sessions[conn]; p != nil {
		r.closeSession(p)
	} else {
		r.ready.Close = append(r.ready.Close, conn)
	}
	return why
}

// Step takes a message from a connection that is open. An error ends the connection.
func (r *Publisher) Step(now time.Duration, conn uint64, m Message) error {
	r.advance(now)
	p := r.sessions[conn]
	if p == nil {
		return nil // let go meanwhile
	}
	p.lastReceived = now
	switch {
	case m.RenewRequest != nil:
		r.acknowledge(p, m.RenewRequest.Version, m.RenewRequest.Digest)
		p.noteResponse(m.RenewRequest.LastResponse)
		if n := m.RenewRequest.Sequence; n > p.lastAnswered && n-p.lastResponse <= maxUnreadResponses {
			p.lastAnswered = n
			a := RenewResponse{Sequence: n, Version: r.log.Version(), Digest: r.log.Digest(), SentVersion: p.sentVersion, AgeKnown: r.confirmed, Standby: p.standby}
			if r.confirmed {
				a.Age = max(0, now-r.latest.at)
			}
			r.send(conn, Message{RenewResponse: &a})
		}
	case m.Ack != nil:
		r.acknowledge(p, m.Ack.Version, m.Ack.Digest)
	case m.SyncRequest != nil:
		p.noteResponse(m.SyncRequest.LastResponse)
		if p.syncPending && !p.standby {
			return nil // it has not read yet what came of the one before: its next renewal tells whether it still wants it
		}
		p.syncPending, p.standby, p.forceSnapshot = true, false, m.SyncRequest.ForceSnapshot
		r.releaseAll(p)
		p.ackedVersion, p.ackedDigest, p.sentVersion, p.sentDigest = m.SyncRequest.Version, m.SyncRequest.Digest, m.SyncRequest.Version, m.SyncRequest.Digest
		p.awaitingResume = true
		r.resume(p)
	case m.Disconnect != nil:
		r.closeSession(p)
	case m.Operation != nil, m.PutRequest != nil, m.OperationResult != nil, m.PutResponse != nil:
	default:
		return r.rejectMalformed(conn, fmt.Errorf("%w: nothing in it that this process knows", ErrMalformedMessage))
	}
	r.sendSnapshots()
	return nil
}

// ConnectionClosed tells that a connection is gone. One that this relay ended itself need not be told.
func (r *Publisher) ConnectionClosed(conn uint64) {
	if p := r.sessions[conn]; p != nil {
		r.removeSession(p)
	}
	r.sendSnapshots()
}

// Drain tells that this process will end: all followers go elsewhere, each by its own ranking, and nobody is taken any more.
func (r *Publisher) Drain() {
	r.draining = true
	for e := r.order.Front(); e != nil; {
		p := e.Value.(*session)
		e = e.Next()
		r.send(p.connID, Message{Reject: &Reject{RetryAfter: drainRetryAfter + r.jitter(drainRetryAfter), Reason: errDraining.Error()}})
		r.closeSession(p)
	}
}

// ---- What goes out.

func (r *Publisher) send(conn uint64, m Message) {
	r.ready.Sends = append(r.ready.Sends, PublisherSend{Conn: conn, Message: &SharedMessage{Content: m}})
}

func (r *Publisher) emit(l Event) {
	if len(r.ready.Events) < maxEvents {
		r.ready.Events = append(r.ready.Events, l)
	}
}

func (r *Publisher) jitter(d time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(d))
}

// closeSession lets a follower go, its connection with it.
func (r *Publisher) closeSession(p *session) {
	r.ready.Close = append(r.ready.Close, p.connID)
	r.removeSession(p)
}

func (r *Publisher) removeSession(p *session) {
	r.releaseAll(p)
	if p.awaitingSnapshot {
		r.snapshotQueue = slices.DeleteFunc(r.snapshotQueue, func(q *session) bool { return q == p })
	}
	heap.Remove(&r.expiries, p.heapIndex)
	r.order.Remove(p.position)
	delete(r.sessions, p.connID)
	if r.sessionsByID[p.hello.ID] == p {
		delete(r.sessionsByID, p.hello.ID)
	}
}

func (p *session) noteResponse(number uint64) {
	if number > p.lastResponse && number <= p.lastAnswered {
		p.lastResponse, p.syncPending = number, false
	}
}

// acknowledge takes an acknowledgement.
func (r *Publisher) acknowledge(p *session, version, digest uint64) {
	if version < p.ackedVersion {
		return // late
	}
	p.ackedVersion, p.ackedDigest = version, digest
	n := 0
	for n < len(p.inFlight) && p.inFlight[n].version <= version {
		r.release(p, p.inFlight[n])
		n++
	}
	if p.inFlight = slices.Delete(p.inFlight, 0, n); n > 0 || len(p.inFlight) == 0 {
		p.lastProgress = r.now
	}
	if version > p.sentVersion { // by way of another relay
		p.sentVersion, p.sentDigest = version, digest
	}
	r.resume(p)
}

func (r *Publisher) release(p *session, o inFlightMessage) {
	p.inFlightBytes -= o.size
	if o.isSnapshot {
		if h := r.snapshotsInFlight[o.version]; h != nil {
			if h.by--; h.by == 0 {
				delete(r.snapshotsInFlight, o.version)
			}
		}
	}
}

func (r *Publisher) releaseAll(p *session) {
	for _, o := range p.inFlight {
		r.release(p, o)
	}
	p.inFlight, p.lastProgress = p.inFlight[:0], r.now
}

// resume goes on with a follower that has just said what it has: where the ring no longer reaches it, that was no matter of
// moments, and it waits for a snapshot.
func (r *Publisher) resume(p *session) {
	if !p.awaitingResume {
		r.sendChanges(p)
		return
	}
	if len(p.inFlight) > 0 { // it takes what is out first
		return
	}
	p.awaitingResume = false
	if p.standby {
		return
	}
	if p.forceSnapshot || !r.log.canReplayFrom(p.sentVersion, p.sentDigest) {
		if !p.awaitingSnapshot {
			p.awaitingSnapshot = true
			r.snapshotQueue = append(r.snapshotQueue, p)
		}
		return
	}
	r.sendChanges(p)
}

// sendChanges sends a follower the changes that it lacks, as many as its window takes.
func (r *Publisher) sendChanges(p *session) {
	if p.standby || p.awaitingSnapshot || p.awaitingResume {
		return
	}
	for p.sentVersion < r.log.Version() {
		if !r.log.canReplayFrom(p.sentVersion, p.sentDigest) {
			p.awaitingResume = true
			return
		}
		e := r.log.entryAfter(p.sentVersion)
		if !r.hasWindow(p, e.size) {
			return
		}
		r.deliver(p, e.message, e.size, e.change.Version, e.change.DigestAfter, false)
		r.Stats.Changes++
	}
}

func (r *Publisher) hasWindow(p *session, size int) bool {
	return len(p.inFlight) == 0 || p.inFlightBytes+size <= r.config.WindowBytes && len(p.inFlight) < maxUnackedMessages
}

func (r *Publisher) deliver(p *session, out *SharedMessage, size int, version, digest uint64, snap bool) {
	if len(p.inFlight) == 0 {
		p.lastProgress = r.now
	}
	p.inFlight = append(p.inFlight, inFlightMessage{version, size, snap})
	p.inFlightBytes += size
	p.sentVersion, p.sentDigest = version, digest
	r.Stats.Bytes += uint64(size)
	r.ready.Sends = append(r.ready.Sends, PublisherSend{Conn: p.connID, Message: out})
}

// sendSnapshots sends snapshots to those that wait for one, in the order in which they came, as many as the pace allows.
func (r *Publisher) sendSnapshots() {
	n := 0
	for ; n < len(r.snapshotQueue) && r.snapshotBudget > 0; n++ {
		p := r.snapshotQueue[n]
		p.awaitingSnapshot = false
		if !p.forceSnapshot && r.log.canReplayFrom(p.sentVersion, p.sentDigest) { // meanwhile it was brought up to date by another
			r.sendChanges(p)
			continue
		}
		if p.sentVersion >= r.log.Version() { // there is nothing newer: what differs at one version, the follower finds by the next renewal
			p.forceSnapshot = false
			continue
		}
		out := r.log.snapshotNewerThan(p.sentVersion)
		s := out.Content.Snapshot
		if r.snapshotsInFlight[s.Version] == nil && len(r.snapshotsInFlight) >= maxDistinctSnapshots {
			p.awaitingSnapshot = true
			break
		}
		if r.snapshotsInFlight[s.Version] == nil {
			r.snapshotsInFlight[s.Version] = &inflightSnapshot{}
		}
		r.snapshotsInFlight[s.Version].by++
		size := s.Size()
		r.snapshotBudget -= float64(size)
		p.forceSnapshot = false
		r.releaseAll(p)
		r.deliver(p, out, size, s.Version, s.Digest, true)
		r.Stats.Snapshots++
		r.sendChanges(p)
	}
	r.snapshotQueue = slices.Delete(r.snapshotQueue, 0, n)
}

// ---- What it looks like.

// SubscriberCounts is a relay's followers by state.
type SubscriberCounts struct {
	Connected        int
	Current          int    // that have acknowledged the newest version
	AwaitingSnapshot int    // for a snapshot
	Standby          int    // that another relay brings up to date
	Blocked          int    // whose window is full
	LowestVersion    uint64 // version that is acknowledged; the log's own where nobody is here
}

// SubscriberCounts goes through all of them: for operators, not for each beat.
func (r *Publisher) SubscriberCounts() SubscriberCounts {
	f := SubscriberCounts{Connected: len(r.sessions), LowestVersion: r.log.Version()}
	for e := r.order.Front(); e != nil; e = e.Next() {
		p := e.Value.(*session)
		f.LowestVersion = min(f.LowestVersion, p.ackedVersion)
		switch {
		case p.ackedVersion >= r.log.Version():
			f.Current++
		case p.awaitingSnapshot:
			f.AwaitingSnapshot++
		case p.standby:
			f.Standby++
		case p.sentVersion < r.log.Version(): // what comes next has no room in its window, or is behind what is out
			f.Blocked++
		}
	}
	return f
}

// Age is how long ago the log here is known to have missed nothing; false where that is not known.
func (r *Publisher) Age(now time.Duration) (time.Duration, bool) {
	return now - r.latest.at, r.confirmed
}
