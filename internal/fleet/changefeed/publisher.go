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

	stallFrom     = time.Second      // a beat that comes so late tells that this process was stopped
	unheardMost   = 16               // answers to one follower that it has not said to have read; more are not given
	unackedMost   = 1024             // messages to one follower that it has not acknowledged
	snapshotsMost = 4                // different snapshots that are out unacknowledged at a time
	takeWithin    = 30 * time.Second // a follower that acknowledges nothing for so long while something is out is let go
	fullWait      = 15 * time.Second // until a follower that found no room may come again, by chance up to as much more
	leaveWait     = 30 * time.Second // the same of a relay that ends
	formWait      = 60 * time.Second // the same of one that speaks an older form
	claimsMost    = 8                // of freshness, for versions that are still to come
	nameMost      = 256              // bytes of each name in a Hello
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
	cfg    PublisherConfig
	log    *Log
	rng    *rand.Rand
	now    time.Duration
	awake  time.Duration // since then this process has not been stopped: nobody's silence before counts
	fresh  asOf          // the newest that was known to be all there was
	known  bool
	claims []asOf // what the leader has said of versions that are still to come here

	peers  map[uint64]*peer
	byID   map[string]*peer
	order  *list.List // all peers, in the order in which they came
	leases leases
	queue  []*peer // that wait for a snapshot
	budget float64 // bytes of snapshots that may go out now
	out    map[uint64]*inflightSnapshot
	leaves bool

	ready PublisherReady
	Stats PublisherStats
}

// asOf is a time at which nothing newer than a version was agreed.
type asOf struct {
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

// peer is one follower's connection.
type peer struct {
	conn    uint64
	hello   Hello
	at      *list.Element
	heard   time.Duration
	due     time.Duration // when to look whether its lease has ended,
	index   int           // and its place among those
	version uint64        // acknowledged
	digest  uint64
	sent    uint64 // the version up to which it was sent, or said itself to be
	sentSum uint64
	parked  bool
	behind  bool // the ring no longer reaches it: its next word tells whether it still needs a snapshot
	whole   bool // it asked for a snapshot, whatever the ring has
	queued  bool
	out     []inflight
	bytes   int           // of out
	taken   time.Duration // the last time that it acknowledged something, or that nothing was out
	answers uint64        // the newest renewal that was answered
	read    uint64        // and that it said to have read the answer of
	asked   bool          // a Want was taken since then
}

type inflight struct {
	version uint64
	size    int
	snap    bool
}

// leases are all peers by when to look whether they are still heard.
type leases []*peer

func (l leases) Len() int { return len(l) }
func (l leases) Less(i, j int) bool {
	return l[i].due < l[j].due || l[i].due == l[j].due && l[i].conn < l[j].conn
}
func (l leases) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}
func (l *leases) Push(x any) {
	p := x.(*peer)
	p.index = len(*l)
	*l = append(*l, p)
}
func (l *leases) Pop() any {
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
	return &Publisher{cfg: cfg, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 0xfeed)), now: now, awake: now, peers: map[uint64]*peer{},
		byID: map[string]*peer{}, order: list.New(), budget: float64(cfg.SnapshotBytesPerSecond), out: map[uint64]*inflightSnapshot{}}
}

// Ready hands out what is to be done, once.
func (r *Publisher) Ready() PublisherReady {
	out := r.ready
	r.ready = PublisherReady{}
	return out
}

func (r *Publisher) fleet() string { return cmp.Or(r.cfg.Fleet, r.log.Fleet()) }

// ---- What comes in. Each time is read after what it comes with: an answer that is older than it says would make old knowledge young.

// Tick is a beat, some ten of them a second.
func (r *Publisher) Tick(now time.Duration) {
	if now-r.now > stallFrom {
		r.awake = now
		r.line(Event{Kind: EventResumed, Duration: now - r.now})
	}
	r.tick(now)
	for len(r.leases) > 0 && r.leases[0].due <= now {
		p := r.leases[0]
		end := max(p.heard, r.awake) + r.cfg.Lease
		slow := max(p.taken, r.awake) + takeWithin
		switch {
		case end <= now:
			r.Stats.LeaseExpiries++
			r.line(Event{Kind: EventLeaseExpired, PeerID: p.hello.ID, Duration: now - p.heard})
			r.end(p)
		case len(p.out) > 0 && slow <= now:
			r.Stats.SlowSubscribers++
			r.line(Event{Kind: EventSlowSubscriber, PeerID: p.hello.ID, Duration: now - p.taken})
			r.end(p)
		default:
			p.due = end
			heap.Fix(&r.leases, p.index)
		}
	}
	r.serve()
}

// tick takes the time, and gives snapshots what may go out since.
func (r *Publisher) tick(now time.Duration) {
	if now > r.now {
		pace := float64(r.cfg.SnapshotBytesPerSecond)
		r.budget = min(r.budget+pace*(now-r.now).Seconds(), pace)
		r.now = now
	}
}

// LogChanged tells that the log has changed.
func (r *Publisher) LogChanged() {
	r.claim()
	for e := r.order.Front(); e != nil; e = e.Next() {
		r.pump(e.Value.(*peer))
	}
	r.serve()
}

// ConfirmVersion tells that at a time of this clock, read before the question to the log's leader went out, nothing newer than a version was
// agreed (read index). It counts from when the log here has that version.
func (r *Publisher) ConfirmVersion(at time.Duration, version uint64) {
	if len(r.claims) < claimsMost { // a log that lags so far has no use for more than the first of them
		r.claims = append(r.claims, asOf{at: at, version: version})
	}
	r.claim()
}

func (r *Publisher) claim() {
	r.claims = slices.DeleteFunc(r.claims, func(c asOf) bool {
		if c.version > r.log.Version() {
			return r.now-c.at > r.cfg.Lease // of no use any more
		}
		if !r.known || c.at > r.fresh.at {
			r.known, r.fresh = true, c
		}
		return true
	})
}

// Connected is a follower's first message on a connection. An error has been answered, and ends the connection.
func (r *Publisher) Connected(now time.Duration, conn uint64, h Hello) error {
	r.tick(now)
	if r.peers[conn] != nil {
		return r.bad(conn, fmt.Errorf("%w: a second hello", ErrMalformedMessage))
	}
	if h.ID == "" || h.ProtocolVersion < 1 || len(h.ID) > nameMost || len(h.Name) > nameMost || len(h.Machine) > nameMost || len(h.Zone) > nameMost || len(h.Site) > nameMost {
		return r.bad(conn, fmt.Errorf("%w: a hello without an ID or form, or with a name over %d bytes", ErrMalformedMessage, nameMost))
	}
	if fleet := r.fleet(); h.Fleet != "" && fleet != "" && h.Fleet != fleet {
		r.Stats.RejectedForeign++
		r.line(Event{Kind: EventForeignFleet, PeerID: h.ID, Detail: h.Fleet})
		return r.turnAway(conn, formWait, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, h.Fleet, fleet))
	}
	if h.ProtocolVersion > ProtocolVersion {
		r.Stats.RejectedNewer++
		r.line(Event{Kind: EventNewerProtocol, PeerID: h.ID, Detail: fmt.Sprint(h.ProtocolVersion)})
		return r.turnAway(conn, formWait, fmt.Errorf("%w: form %d, this process speaks %d", ErrMalformedMessage, h.ProtocolVersion, ProtocolVersion))
	}
	old := r.byID[h.ID]
	if old != nil && h.Incarnation < old.hello.Incarnation {
		return r.bad(conn, fmt.Errorf("%w: a hello of life %d, %d has begun", ErrMalformedMessage, h.Incarnation, old.hello.Incarnation))
	}
	if r.leaves {
		return r.turnAway(conn, leaveWait, errLeaves)
	}
	if old != nil {
		r.end(old)
	}
	if len(r.peers) >= r.cfg.MaxSubscribers {
		r.Stats.RejectedFull++
		return r.turnAway(conn, fullWait, fmt.Errorf("%w: %d followers", ErrFull, len(r.peers)))
	}
	r.Stats.Accepted++
	p := &peer{conn: conn, hello: h, heard: now, version: h.Version, digest: h.Digest, sent: h.Version, sentSum: h.Digest, parked: h.Standby, taken: now, due: now + r.cfg.Lease}
	p.at = r.order.PushBack(p)
	r.peers[conn], r.byID[h.ID] = p, p
	heap.Push(&r.leases, p)
	p.behind = true // its version is of this moment
	r.asks(p)
	r.serve()
	return nil
}

var errLeaves = fmt.Errorf("%w: this process ends", ErrFull)

// turnAway sends who has just come elsewhere.
func (r *Publisher) turnAway(conn uint64, wait time.Duration, why error) error {
	r.send(conn, Message{Reject: &Reject{RetryAfter: wait + r.chance(wait), Reason: why.Error()}})
	r.ready.Close = append(r.ready.Close, conn)
	return why
}

func (r *Publisher) bad(conn uint64, why error) error {
	r.Stats.MalformedMessages++
	r.line(Event{Kind: EventMalformedMessage, Detail: why.Error()})
	if p := r.peers[conn]; p != nil {
		r.end(p)
	} else {
		r.ready.Close = append(r.ready.Close, conn)
	}
	return why
}

// Step takes a message from a connection that is open. An error ends the connection.
func (r *Publisher) Step(now time.Duration, conn uint64, m Message) error {
	r.tick(now)
	p := r.peers[conn]
	if p == nil {
		return nil // let go meanwhile
	}
	p.heard = now
	switch {
	case m.RenewRequest != nil:
		r.acked(p, m.RenewRequest.Version, m.RenewRequest.Digest)
		p.heardOf(m.RenewRequest.LastResponse)
		if n := m.RenewRequest.Sequence; n > p.answers && n-p.read <= unheardMost {
			p.answers = n
			a := RenewResponse{Sequence: n, Version: r.log.Version(), Digest: r.log.Digest(), SentVersion: p.sent, AgeKnown: r.known, Standby: p.parked}
			if r.known {
				a.Age = max(0, now-r.fresh.at)
			}
			r.send(conn, Message{RenewResponse: &a})
		}
	case m.Ack != nil:
		r.acked(p, m.Ack.Version, m.Ack.Digest)
	case m.SyncRequest != nil:
		p.heardOf(m.SyncRequest.LastResponse)
		if p.asked && !p.parked {
			return nil // it has not read yet what came of the one before: its next renewal tells whether it still wants it
		}
		p.asked, p.parked, p.whole = true, false, m.SyncRequest.ForceSnapshot
		r.clear(p)
		p.version, p.digest, p.sent, p.sentSum = m.SyncRequest.Version, m.SyncRequest.Digest, m.SyncRequest.Version, m.SyncRequest.Digest
		p.behind = true
		r.asks(p)
	case m.Disconnect != nil:
		r.end(p)
	case m.Operation != nil, m.PutRequest != nil, m.OperationResult != nil, m.PutResponse != nil:
	default:
		return r.bad(conn, fmt.Errorf("%w: nothing in it that this process knows", ErrMalformedMessage))
	}
	r.serve()
	return nil
}

// ConnectionClosed tells that a connection is gone. One that this relay ended itself need not be told.
func (r *Publisher) ConnectionClosed(conn uint64) {
	if p := r.peers[conn]; p != nil {
		r.drop(p)
	}
	r.serve()
}

// Drain tells that this process will end: all followers go elsewhere, each by its own ranking, and nobody is taken any more.
func (r *Publisher) Drain() {
	r.leaves = true
	for e := r.order.Front(); e != nil; {
		p := e.Value.(*peer)
		e = e.Next()
		r.send(p.conn, Message{Reject: &Reject{RetryAfter: leaveWait + r.chance(leaveWait), Reason: errLeaves.Error()}})
		r.end(p)
	}
}

// ---- What goes out.

func (r *Publisher) send(conn uint64, m Message) {
	r.ready.Sends = append(r.ready.Sends, PublisherSend{Conn: conn, Message: &SharedMessage{Content: m}})
}

func (r *Publisher) line(l Event) {
	if len(r.ready.Events) < linesMost {
		r.ready.Events = append(r.ready.Events, l)
	}
}

func (r *Publisher) chance(d time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(d))
}

// end lets a follower go, its connection with it.
func (r *Publisher) end(p *peer) {
	r.ready.Close = append(r.ready.Close, p.conn)
	r.drop(p)
}

func (r *Publisher) drop(p *peer) {
	r.clear(p)
	if p.queued {
		r.queue = slices.DeleteFunc(r.queue, func(q *peer) bool { return q == p })
	}
	heap.Remove(&r.leases, p.index)
	r.order.Remove(p.at)
	delete(r.peers, p.conn)
	if r.byID[p.hello.ID] == p {
		delete(r.byID, p.hello.ID)
	}
}

func (p *peer) heardOf(number uint64) {
	if number > p.read && number <= p.answers {
		p.read, p.asked = number, false
	}
}

// acked takes an acknowledgement.
func (r *Publisher) acked(p *peer, version, digest uint64) {
	if version < p.version {
		return // late
	}
	p.version, p.digest = version, digest
	n := 0
	for n < len(p.out) && p.out[n].version <= version {
		r.took(p, p.out[n])
		n++
	}
	if p.out = slices.Delete(p.out, 0, n); n > 0 || len(p.out) == 0 {
		p.taken = r.now
	}
	if version > p.sent { // by way of another relay
		p.sent, p.sentSum = version, digest
	}
	r.asks(p)
}

func (r *Publisher) took(p *peer, o inflight) {
	p.bytes -= o.size
	if o.snap {
		if h := r.out[o.version]; h != nil {
			if h.by--; h.by == 0 {
				delete(r.out, o.version)
			}
		}
	}
}

func (r *Publisher) clear(p *peer) {
	for _, o := range p.out {
		r.took(p, o)
	}
	p.out, p.taken = p.out[:0], r.now
}

// asks goes on with a follower that has just said what it has: where the ring no longer reaches it, that was no matter of
// moments, and it waits for a snapshot.
func (r *Publisher) asks(p *peer) {
	if !p.behind {
		r.pump(p)
		return
	}
	if len(p.out) > 0 { // it takes what is out first
		return
	}
	p.behind = false
	if p.parked {
		return
	}
	if p.whole || !r.log.reaches(p.sent, p.sentSum) {
		if !p.queued {
			p.queued = true
			r.queue = append(r.queue, p)
		}
		return
	}
	r.pump(p)
}

// pump sends a follower the changes that it lacks, as many as its window takes.
func (r *Publisher) pump(p *peer) {
	if p.parked || p.queued || p.behind {
		return
	}
	for p.sent < r.log.Version() {
		if !r.log.reaches(p.sent, p.sentSum) {
			p.behind = true
			return
		}
		e := r.log.after(p.sent)
		if !r.room(p, e.size) {
			return
		}
		r.hand(p, e.out, e.size, e.change.Version, e.change.DigestAfter, false)
		r.Stats.Changes++
	}
}

func (r *Publisher) room(p *peer, size int) bool {
	return len(p.out) == 0 || p.bytes+size <= r.cfg.WindowBytes && len(p.out) < unackedMost
}

func (r *Publisher) hand(p *peer, out *SharedMessage, size int, version, digest uint64, snap bool) {
	if len(p.out) == 0 {
		p.taken = r.now
	}
	p.out = append(p.out, inflight{version, size, snap})
	p.bytes += size
	p.sent, p.sentSum = version, digest
	r.Stats.Bytes += uint64(size)
	r.ready.Sends = append(r.ready.Sends, PublisherSend{Conn: p.conn, Message: out})
}

// serve sends snapshots to those that wait for one, in the order in which they came, as many as the pace allows.
func (r *Publisher) serve() {
	n := 0
	for ; n < len(r.queue) && r.budget > 0; n++ {
		p := r.queue[n]
		p.queued = false
		if !p.whole && r.log.reaches(p.sent, p.sentSum) { // meanwhile it was brought up to date by another
			r.pump(p)
			continue
		}
		if p.sent >= r.log.Version() { // there is nothing newer: what differs at one version, the follower finds by the next renewal
			p.whole = false
			continue
		}
		out := r.log.snapshotOver(p.sent)
		s := out.Content.Snapshot
		if r.out[s.Version] == nil && len(r.out) >= snapshotsMost {
			p.queued = true
			break
		}
		if r.out[s.Version] == nil {
			r.out[s.Version] = &inflightSnapshot{}
		}
		r.out[s.Version].by++
		size := s.Size()
		r.budget -= float64(size)
		p.whole = false
		r.clear(p)
		r.hand(p, out, size, s.Version, s.Digest, true)
		r.Stats.Snapshots++
		r.pump(p)
	}
	r.queue = slices.Delete(r.queue, 0, n)
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
	f := SubscriberCounts{Connected: len(r.peers), LowestVersion: r.log.Version()}
	for e := r.order.Front(); e != nil; e = e.Next() {
		p := e.Value.(*peer)
		f.LowestVersion = min(f.LowestVersion, p.version)
		switch {
		case p.version >= r.log.Version():
			f.Current++
		case p.queued:
			f.AwaitingSnapshot++
		case p.parked:
			f.Standby++
		case p.sent < r.log.Version(): // what comes next has no room in its window, or is behind what is out
			f.Blocked++
		}
	}
	return f
}

// Age is how long ago the log here is known to have missed nothing; false where that is not known.
func (r *Publisher) Age(now time.Duration) (time.Duration, bool) { return now - r.fresh.at, r.known }
