// Package publisher is a control process's side of the connections that balancers follow it by: it owns their goroutines, what waits to
// be written to each, and the operations that they have asked. It must never wait for a slow follower, and never be waited for by
// the member's own core.
package publisher

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	beat     = 100 * time.Millisecond
	tellEach = 200 * time.Millisecond
	handEach = 100 * time.Millisecond // new versions go out at once, and the next ones so much later, all in one write to each follower

	window        = 256 << 10 // bytes that are out unacknowledged to one follower
	snapshotBytes = 32 << 20  // a second, to all of them
	changesMost   = 4096      // of the newest changes that are kept, and their bytes
	changesBytes  = 16 << 20

	opsEach = 256  // operations of one follower that are under way, its puts among them
	opsAll  = 8192 // of all together
	leaveIn = 500 * time.Millisecond
)

// ExtraStreams is how many streams there may be beyond the followers that are taken: those are told when to come again.
const ExtraStreams = 64

// Backend is where operations and puts are asked.
type Backend interface {
	Submit(op replication.Operation, within time.Duration, done func(replication.Result))
	Put(p shardmap.Put, within time.Duration, done func(shardmap.PutResult))
}

// StreamSource is where followers' streams come from.
type StreamSource interface {
	Follows() <-chan net.Conn
	Done() <-chan struct{}
}

// Options is what it begins with.
type Options struct {
	ID             string // this member's
	Fleet          string // its name in the files
	MaxSubscribers int    // followers
	Seed           uint64
	Streams        StreamSource
	Now            func() time.Duration // a clock that goes on while the process is stopped
	Log            *zap.Logger
}

// Status is what was known at the newest turn.
type Status struct {
	Subscribers                    changefeed.SubscriberCounts
	Stats                          changefeed.PublisherStats
	Version                        uint64
	Digest                         uint64
	Age                            time.Duration // of what is published, at the moment of the call
	AgeKnown                       bool          // whether it is known
	Sent, Received                 int64         // bytes
	Writes                         int64         // to followers, each of all that waited for one
	Operations, RejectedOperations int64         // operations and puts that were asked, and that found no room
	Overflowed                     int64         // connections whose queue was full
}

// Server is one control process's.
type Server struct {
	opt  Options
	hold Backend

	news        sync.Mutex // what the member's core has told
	whole       *changefeed.Snapshot
	fresh       []*changefeed.Change
	asOf        time.Duration
	asOfVersion uint64
	known       bool
	claimed     time.Duration // the relay was told of it
	hand        time.Duration // no new versions are handed on before
	wake        chan struct{}

	mu    sync.Mutex // the relay and what belongs to it
	log   *changefeed.Log
	state trimmed // of log
	relay *changefeed.Publisher
	conns map[uint64]*conn
	last  uint64 // connection's number
	ops   map[string]asked
	told  time.Duration

	sent, got, writes, asks, busy, overflow atomic.Int64
	status                                  atomic.Pointer[published]
	done                                    chan struct{}
	once                                    sync.Once
	all                                     sync.WaitGroup
}

// published is a status, with when its state was all there was.
type published struct {
	Status
	asOf time.Duration
}

// asked is who has an operation under way, and under which number.
type asked struct {
	conn   *conn
	number uint64
}

// New makes one. It takes what the member's core tells from the first moment on, and followers from Serve on.
func New(opt Options) *Server {
	p := &Server{opt: opt, wake: make(chan struct{}, 1), conns: map[uint64]*conn{}, ops: map[string]asked{}, done: make(chan struct{})}
	p.log = changefeed.NewLog(changefeed.LogConfig{MaxChanges: changesMost, MaxBytes: changesBytes})
	p.state.log = p.log
	p.relay = changefeed.NewPublisher(changefeed.PublisherConfig{ID: opt.ID, MaxSubscribers: opt.MaxSubscribers, WindowBytes: window, SnapshotBytesPerSecond: snapshotBytes, Lease: changefeed.DefaultLease, Seed: opt.Seed},
		p.log, opt.Now())
	p.status.Store(&published{})
	return p
}

// Start takes followers, beside the caller, until the wire ends or Close.
func (p *Server) Start(h Backend) {
	p.hold = h
	p.all.Add(2)
	go p.run()
	go p.accept()
}

// StateChanged takes what the member's core tells of the agreed state; it never waits. False where too much of it waits: it has to be told of
// the whole then.
func (p *Server) StateChanged(whole *changefeed.Snapshot, changes []*changefeed.Change) bool {
	p.news.Lock()
	if whole != nil {
		p.whole, p.fresh = whole, nil
	}
	room := len(p.fresh)+len(changes) <= changesMost
	if room {
		p.fresh = append(p.fresh, changes...)
	}
	p.news.Unlock()
	p.poke()
	return room
}

// VersionConfirmed takes the time up to which nothing newer than a version was agreed; it never waits. It counts from when that version is
// published.
func (p *Server) VersionConfirmed(asOf time.Duration, version uint64) {
	p.news.Lock()
	news := !p.known || asOf > p.asOf
	p.asOf, p.asOfVersion, p.known = asOf, version, true
	p.news.Unlock()
	if news {
		p.poke()
	}
}

func (p *Server) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Status is what was known at the newest turn; the age is of this moment.
func (p *Server) Status() Status {
	s := p.status.Load()
	out := s.Status
	out.Age = p.opt.Now() - s.asOf
	out.Sent, out.Received, out.Writes, out.Operations, out.RejectedOperations, out.Overflowed = p.sent.Load(), p.got.Load(), p.writes.Load(), p.asks.Load(), p.busy.Load(), p.overflow.Load()
	return out
}

// Get is a key's value in what is published, not to be changed, and that state's version.
func (p *Server) Get(key string) ([]byte, uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, is := p.log.State().Get(key)
	return v, p.log.Version(), is
}

// Drain sends all followers elsewhere and takes no more; it waits until they are told, leaveIn at most.
func (p *Server) Drain() {
	p.mu.Lock()
	p.relay.Drain()
	p.carryOut()
	p.mu.Unlock()
	for end := time.Now().Add(leaveIn); time.Now().Before(end); time.Sleep(beat / 10) {
		p.mu.Lock()
		left := len(p.conns)
		p.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// Close ends it; the wire has to be closed before.
func (p *Server) Close() {
	p.once.Do(func() {
		close(p.done)
		p.mu.Lock()
		for _, c := range p.conns {
			_ = c.c.Close()
		}
		p.mu.Unlock()
		p.all.Wait()
	})
}

// ---- The relay.

func (p *Server) run() {
	defer p.all.Done()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	later := time.NewTimer(beat)
	defer later.Stop()
	for {
		wait := time.Duration(0)
		select {
		case <-p.done:
			return
		case <-p.wake:
			wait = p.turn(false)
		case <-later.C:
			wait = p.turn(false)
		case <-tick.C:
			wait = p.turn(true)
		}
		if wait > 0 {
			later.Reset(wait)
		}
	}
}

// turn answers how long what is new still has to wait, 0 where nothing does.
func (p *Server) turn(ticks bool) (wait time.Duration) {
	now := p.opt.Now()
	p.news.Lock()
	asOf, version, known := p.asOf, p.asOfVersion, p.known && p.asOf != p.claimed
	p.claimed = p.asOf
	var whole *changefeed.Snapshot
	var changes []*changefeed.Change
	switch news := p.whole != nil || len(p.fresh) > 0; {
	case news && now < p.hand:
		wait = p.hand - now
	case news:
		whole, changes, p.whole, p.fresh = p.whole, p.fresh, nil, nil
		p.hand = now + handEach
	}
	p.news.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now = p.opt.Now(); ticks { // read after the lock was waited for
		p.relay.Tick(now)
	}
	if whole != nil || len(changes) > 0 {
		p.take(whole, changes)
		p.relay.LogChanged()
	}
	if known {
		p.relay.ConfirmVersion(asOf, version)
	}
	p.carryOut()
	if now-p.told >= tellEach || p.told == 0 {
		p.told = now
		s := &published{Status: Status{Subscribers: p.relay.SubscriberCounts(), Stats: p.relay.Stats, Version: p.log.Version(), Digest: p.log.Digest()}}
		var age time.Duration
		age, s.AgeKnown = p.relay.Age(now)
		s.asOf = now - age
		p.status.Store(s)
	}
	return wait
}

// take follows the core's state. What does not fit is told, and leaves the state as it was: nothing is published then but what was.
func (p *Server) take(whole *changefeed.Snapshot, changes []*changefeed.Change) {
	if whole != nil {
		if err := p.state.install(whole); err != nil {
			p.opt.Log.Error("fleet: the agreed state is not published", zap.Uint64("version", whole.Version), zap.Error(err))
		}
	}
	for _, one := range changes {
		if err := p.state.apply(one); err != nil {
			p.opt.Log.Error("fleet: the agreed state is not published", zap.Uint64("version", one.Version), zap.Error(err))
		}
	}
}

// carryOut does what the relay asks for. mu is held.
func (p *Server) carryOut() {
	r := p.relay.Ready()
	heads := map[*changefeed.SharedMessage][]byte{} // each made once for all who are sent it
	var words [][]byte
	for i, s := range r.Sends {
		head, is := heads[s.Message]
		if !is {
			head = framing.Header(s.Message.Encoded())
			heads[s.Message] = head
		}
		words = append(words, head, s.Message.Encoded())
		if i+1 < len(r.Sends) && r.Sends[i+1].Conn == s.Conn {
			continue // what follows on the same connection goes out in the same write
		}
		if c := p.conns[s.Conn]; c != nil {
			c.put(words...)
		}
		words = words[:0]
	}
	for _, id := range r.Close {
		if c := p.conns[id]; c != nil {
			c.end()
		}
	}
	for _, l := range r.Events {
		say(p.opt.Log, l)
	}
}

func say(log *zap.Logger, l changefeed.Event) {
	fields := []zap.Field{zap.String("follower", l.PeerID), zap.Duration("for", l.Duration), zap.String("is", l.Detail)}
	switch l.Kind {
	case changefeed.EventResumed:
		log.Warn("fleet: this process was stopped: followers are given time anew", fields...)
	case changefeed.EventLeaseExpired:
		log.Warn("fleet: follower is not heard any more", fields...)
	case changefeed.EventSlowSubscriber:
		log.Warn("fleet: follower takes nothing", fields...)
	case changefeed.EventForeignFleet:
		log.Warn("fleet: follower of another fleet", fields...)
	case changefeed.EventNewerProtocol:
		log.Warn("fleet: follower of a newer program", fields...)
	default:
		log.Warn("fleet: follower's words can't be read", append(fields, zap.Stringer("said", l))...)
	}
}

// ---- Connections.

func (p *Server) accept() {
	defer p.all.Done()
	for {
		select {
		case <-p.opt.Streams.Done():
			return
		case <-p.done:
			return
		case nc := <-p.opt.Streams.Follows():
			p.all.Add(1)
			go func() {
				defer p.all.Done()
				err := p.serve(nc)
				if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
					p.opt.Log.Debug("fleet: a follower's connection", zap.Error(err))
				}
			}()
		}
	}
}

// ---- Operations.

// ask has a follower's operation done where this member's are. One that is asked for again while it is under way is answered to who
// asked last.
func (p *Server) ask(c *conn, number uint64, op replication.Operation, within time.Duration) {
	p.mu.Lock()
	_, again := p.ops[op.ID]
	full := !again && (c.ops.Load() >= opsEach || len(p.ops) >= opsAll)
	if !full {
		if was := p.ops[op.ID].conn; was != nil {
			was.ops.Add(-1)
		}
		p.ops[op.ID] = asked{c, number}
		c.ops.Add(1)
	}
	p.mu.Unlock()
	p.asks.Add(1)
	switch {
	case full:
		p.busy.Add(1)
		c.result(number, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeRejected, Reason: replication.ReasonBusy})
	case !again:
		p.hold.Submit(op, within, func(r replication.Result) {
			p.mu.Lock()
			a := p.ops[op.ID]
			delete(p.ops, op.ID)
			p.mu.Unlock()
			a.conn.ops.Add(-1)
			a.conn.result(a.number, r)
		})
	}
}

// change passes a put on to the log's leader.
func (p *Server) change(c *conn, m *changefeed.PutRequest) {
	answer := func(d shardmap.PutResult) {
		c.say(&changefeed.Message{PutResponse: &changefeed.PutResponse{OperationID: d.OperationID, Version: d.Version, RejectReason: d.Rejection}})
	}
	p.asks.Add(1)
	if c.ops.Add(1) > opsEach {
		c.ops.Add(-1)
		p.busy.Add(1)
		answer(shardmap.PutResult{OperationID: m.OperationID, Rejection: "busy: too many changes of this follower wait"})
		return
	}
	p.hold.Put(shardmap.Put{Key: m.Key, Value: m.Value, Delete: m.Delete, OperationID: m.OperationID, Conditional: !m.Unconditional, ExpectedVersion: m.IfVersion}, putWithin, func(d shardmap.PutResult) {
		c.ops.Add(-1)
		answer(d)
	})
}
