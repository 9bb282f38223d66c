// Package subscriber is a balancer's side of the control tier: it runs a feed.Follower on sockets, and passes operations to the control
// processes that it follows. It owns the connections and what waits for an answer. It must never be waited for by the balancer's loop,
// and never promise anything by itself.
//
// One of them costs a goroutine for each connection, which is in most cases two, and one while something is being written; thousands
// fit in a process.
package subscriber

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
	"sabletally/internal/fleet/replication"
)

const (
	beat     = 200 * time.Millisecond
	beatMin  = 10 * time.Millisecond // between two looks at the clock for the core
	asksMost = 4096                  // operations and puts that wait for an answer
	byeIn    = 500 * time.Millisecond
)

// Options is what it begins with.
type Options struct {
	Fleet               string // its name in the files
	Name, ID            string
	Life                uint64 // grows with each start under an ID
	Machine, Zone, Site string
	Seeds               []netip.AddrPort // control processes
	Seed                uint64
	From                netip.Addr           // connections are made from there; none: from anywhere
	Now                 func() time.Duration // a clock that goes on while the process is stopped
	Log                 *zap.Logger

	// Applied is told of each step of the state, in order, by one goroutine at a time: the items that changed or, where whole, all that
	// there are. It must not wait. Nil: nobody is told.
	Applied func(version uint64, items []changefeed.Item, whole bool)
}

// Status is what is known at one moment.
type Status struct {
	Fleet       string // its ID
	Version     uint64
	Digest      uint64
	Keys, Bytes int
	Current     bool          // what is known may be taken for all there is
	Age         time.Duration // so long ago it was; only where Known
	Known       bool
	Relays      []string // that are followed
	Sent, Got   int64    // bytes
	Waiting     int      // operations and puts
	Count       changefeed.FollowerCount
}

// Follow is one follower.
type Follow struct {
	opt Options

	mu    sync.Mutex // all of this
	core  *changefeed.Follower
	conns map[string]*conn // by address; those that are dialed as well
	asks  map[uint64]*ask
	puts  map[string]*ask // by operation: those of asks that are puts
	last  uint64          // ask's number
	clock time.Duration   // the core was told
	news  []changefeed.Applied
	tells bool // somebody tells of news
	over  bool
	timer *time.Timer

	ctx  context.Context // of dials
	stop context.CancelFunc

	sent, got atomic.Int64
	all       sync.WaitGroup
}

// Open begins, beside the caller.
func Open(opt Options) *Follow {
	seeds := make([]string, 0, len(opt.Seeds))
	for _, a := range opt.Seeds {
		seeds = append(seeds, a.String())
	}
	now := opt.Now()
	ctx, stop := context.WithCancel(context.Background())
	f := &Follow{opt: opt, conns: map[string]*conn{}, asks: map[uint64]*ask{}, puts: map[string]*ask{}, ctx: ctx, stop: stop}
	f.core = changefeed.NewFollower(changefeed.FollowerConfig{ID: opt.ID, Name: opt.Name, Life: opt.Life, Machine: opt.Machine, Zone: opt.Zone, Site: opt.Site,
		Seeds: seeds, Lease: changefeed.Lease, Seed: opt.Seed}, now)
	f.mu.Lock()
	f.timer = time.AfterFunc(0, f.beat)
	f.mu.Unlock()
	return f
}

// Status answers at once.
func (f *Follow) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, st := f.opt.Now(), f.core.State()
	s := Status{Fleet: st.Fleet(), Version: st.Version(), Digest: st.Digest(), Keys: st.Len(), Bytes: st.Bytes(), Current: f.core.Current(now),
		Relays: f.core.Relays(), Sent: f.sent.Load(), Got: f.got.Load(), Waiting: len(f.asks), Count: f.core.Count}
	s.Age, s.Known = f.core.Age(now)
	return s
}

// Current tells whether what is known may be taken for all there is, as of this moment.
func (f *Follow) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Current(f.opt.Now())
}

// Get is a key's value, not to be changed.
func (f *Follow) Get(key string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.State().Get(key)
}

// Close says goodbye and ends it. Who still waits is told that it is not known.
func (f *Follow) Close() {
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	f.over = true
	f.timer.Stop()
	f.stop()
	f.core.Leave()
	f.carryOut()
	for _, c := range f.conns {
		c.end()
	}
	var left []*ask
	for _, a := range f.asks {
		left = append(left, a)
	}
	clear(f.asks)
	clear(f.puts)
	f.mu.Unlock()
	for _, a := range left {
		a.timer.Stop()
		a.unanswered()
	}
	f.all.Wait()
}

// ---- The core, under the lock.

func (f *Follow) beat() {
	f.mu.Lock()
	if !f.over {
		f.tick(true)
		f.carryOut()
		f.timer.Reset(beat)
	}
	f.mu.Unlock()
	f.tell()
}

// tick tells the core of the time, so that a question is never taken for a later one than it is.
func (f *Follow) tick(must bool) {
	if now := f.opt.Now(); must || now-f.clock >= beatMin {
		f.clock = now
		f.core.Clock(now)
	}
}

func (f *Follow) carryOut() {
	r := f.core.Ready()
	if f.opt.Applied != nil {
		f.news = append(f.news, r.Applied...)
	}
	for _, s := range r.Sends {
		if c := f.conns[s.Addr]; c != nil {
			c.put(changefeed.Encode(&s.Msg))
		}
	}
	for _, addr := range r.Hang {
		if c := f.conns[addr]; c != nil {
			delete(f.conns, addr)
			c.end()
			f.moved(c)
		}
	}
	if !f.over {
		for _, addr := range r.Dial {
			c := &conn{of: f, addr: addr}
			f.conns[addr] = c
			f.all.Add(1)
			go c.run()
		}
	}
	for _, l := range r.Lines {
		f.say(l)
	}
}

// tell hands out news, without the lock.
func (f *Follow) tell() {
	if f.opt.Applied == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tells {
		return // who does finds these as well
	}
	for f.tells = true; len(f.news) > 0; {
		news := f.news
		f.news = nil
		f.mu.Unlock()
		for _, a := range news {
			f.opt.Applied(a.Version, a.Items, a.Whole)
		}
		f.mu.Lock()
	}
	f.tells = false
}

func (f *Follow) say(l changefeed.Line) {
	fields := []zap.Field{zap.String("at", l.Addr), zap.Uint64("version", l.Version), zap.Duration("for", l.For), zap.String("is", l.Text)}
	log := f.opt.Log
	switch l.Kind {
	case changefeed.Woke:
		log.Warn("fleet: this process was stopped", zap.Duration("for", l.For))
	case changefeed.Follows:
		log.Info("fleet: follows", zap.String("at", l.Addr), zap.String("id", l.Peer))
	case changefeed.Leaves:
		log.Info("fleet: follows no more", zap.String("at", l.Addr), zap.String("is", l.Text))
	case changefeed.Stands:
		log.Warn("fleet: not current", zap.Uint64("version", l.Version), zap.Duration("for", l.For))
	case changefeed.Again:
		log.Info("fleet: current", zap.Uint64("version", l.Version), zap.Duration("after", l.For))
	case changefeed.Mismatch:
		log.Warn("fleet: state does not match: a snapshot is asked for", fields...)
	case changefeed.Conflict:
		log.Error("fleet: two histories: one version of the agreed state with other contents", fields...)
	case changefeed.Stranger:
		log.Warn("fleet: control process of another fleet", fields...)
	default:
		log.Warn("fleet: what a control process sends is refused", append(fields, zap.Stringer("said", l))...)
	}
}

// ---- Connections.

// conn is the way to one control process: dialed, or open.
type conn struct {
	of   *Follow
	addr string

	mu      sync.Mutex
	c       net.Conn // nil while it is dialed
	queue   [][]byte
	writing bool
	marked  bool // the first byte went out; the writer's
	last    bool // nothing more is taken: what waits is written, and it ends
}

// opened has a connection that came through be told to the core, unless it was given up meanwhile.
func (f *Follow) opened(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over || f.conns[c.addr] != c {
		return false
	}
	f.tick(true)
	c.put(framing.Encode(framing.Greeting{Fleet: f.opt.Fleet}))
	f.core.Opened(c.addr)
	f.carryOut()
	f.resend()
	return true
}

// closed tells the core of a dial that failed, or of a connection's end.
func (f *Follow) closed(c *conn, dialed bool) {
	f.mu.Lock()
	if f.conns[c.addr] == c {
		delete(f.conns, c.addr)
		f.tick(false)
		if dialed {
			f.core.Closed(c.addr)
		} else {
			f.core.Failed(c.addr)
		}
		f.carryOut()
		f.moved(c)
	}
	f.mu.Unlock()
	f.tell()
}

// heard takes a message; it answers false where the connection has been given up.
func (f *Follow) heard(c *conn, m changefeed.Msg) bool {
	var done func()
	f.mu.Lock()
	is := !f.over && f.conns[c.addr] == c
	if is {
		f.tick(false)
		_ = f.core.Step(c.addr, m) // what follows from an error is done by the core, and told
		switch {
		case m.Result != nil:
			done = f.result(m.Result)
		case m.PutDone != nil:
			done = f.putDone(m.PutDone)
		}
		f.carryOut()
	}
	f.mu.Unlock()
	if done != nil {
		done()
	}
	f.tell()
	return is
}

func (f *Follow) progress(c *conn) {
	f.mu.Lock()
	if f.conns[c.addr] == c {
		f.tick(false)
		f.core.Progress(c.addr)
	}
	f.mu.Unlock()
}

// ---- What waits for an answer.

// ask is one operation, or one put.
type ask struct {
	number     uint64
	text       []byte // the message, as it is sent again
	on         *conn  // it was sent there; nil: nowhere yet
	sent       bool   // once at least
	op         string
	timer      *time.Timer
	unanswered func()
	answered   func(*changefeed.PutDone, replication.Result)
}

// Ask has an operation done by the control processes. done is called once, from another goroutine, within the span or a little
// later; it must not wait. Where no answer comes it is Unknown, or Refused if nobody was asked. An operation whose connection ends is
// asked again over another, which is safe, as it is known by its ID.
func (f *Follow) Ask(op replication.Operation, within time.Duration, done func(replication.Result)) {
	a := &ask{op: op.ID}
	a.unanswered = func() {
		r := replication.Result{OperationID: op.ID, Outcome: replication.OutcomeUnknown}
		if !a.sent {
			r.Outcome, r.Reason = replication.OutcomeRejected, replication.ReasonBusy
		}
		done(r)
	}
	a.answered = func(_ *changefeed.PutDone, r replication.Result) { done(r) }
	f.ask(a, within, func(number uint64) changefeed.Msg {
		return changefeed.Msg{Op: &changefeed.Opaque{Number: number, Body: framing.Encode(framing.Ask{Op: op, Within: within})}}
	})
}

// Put asks for a change of an operators' item. done is called as with Ask; Refused says why where it did not take hold, or is not
// known to have. Asked again with the same operation it is answered with the same version.
func (f *Follow) Put(p changefeed.Put, within time.Duration, done func(changefeed.PutDone)) {
	a := &ask{op: p.Op}
	a.unanswered = func() {
		why := "no answer in time: it may have taken hold; ask again as the same operation"
		if !a.sent {
			why = "no control process is followed, or too many changes wait"
		}
		done(changefeed.PutDone{Op: p.Op, Refused: why})
	}
	a.answered = func(d *changefeed.PutDone, _ replication.Result) { done(*d) }
	f.mu.Lock()
	twice := f.puts[p.Op] != nil
	if !twice {
		f.puts[p.Op] = a
	}
	f.mu.Unlock()
	if twice {
		done(changefeed.PutDone{Op: p.Op, Refused: "it is under way already"})
		return
	}
	f.ask(a, within, func(uint64) changefeed.Msg { return changefeed.Msg{Put: &p} })
}

func (f *Follow) ask(a *ask, within time.Duration, word func(uint64) changefeed.Msg) {
	f.mu.Lock()
	if f.over || len(f.asks) >= asksMost {
		delete(f.puts, a.op)
		f.mu.Unlock()
		a.unanswered()
		return
	}
	f.last++
	a.number = f.last
	m := word(a.number)
	a.text = changefeed.Encode(&m)
	f.asks[a.number] = a
	a.timer = time.AfterFunc(within, func() {
		f.mu.Lock()
		is := f.forget(a)
		f.mu.Unlock()
		if is {
			a.unanswered()
		}
	})
	f.send(a)
	f.mu.Unlock()
}

// forget ends one; false where it has ended.
func (f *Follow) forget(a *ask) bool {
	if f.asks[a.number] != a {
		return false
	}
	delete(f.asks, a.number)
	if f.puts[a.op] == a {
		delete(f.puts, a.op)
	}
	return true
}

// send asks the first that is followed.
func (f *Follow) send(a *ask) {
	for _, addr := range f.core.Relays() {
		if c := f.conns[addr]; c != nil {
			a.on, a.sent = c, true
			c.put(a.text)
			return
		}
	}
}

// resend asks for what was asked nowhere yet.
func (f *Follow) resend() {
	for _, a := range f.asks {
		if a.on == nil {
			f.send(a)
		}
	}
}

// moved asks elsewhere for what was asked on a connection that is no more.
func (f *Follow) moved(c *conn) {
	for _, a := range f.asks {
		if a.on == c {
			a.on = nil
			f.send(a)
		}
	}
}

func (f *Follow) result(o *changefeed.Opaque) func() {
	a := f.asks[o.Number]
	var r replication.Result
	if a == nil || f.puts[a.op] == a || framing.Decode(o.Body, &r) != nil || r.OperationID != a.op {
		return nil
	}
	f.forget(a)
	a.timer.Stop()
	return func() { a.answered(nil, r) }
}

func (f *Follow) putDone(d *changefeed.PutDone) func() {
	a := f.puts[d.Op]
	if a == nil || !f.forget(a) {
		return nil
	}
	a.timer.Stop()
	return func() { a.answered(d, replication.Result{}) }
}
