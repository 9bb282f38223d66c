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
	Incarnation         uint64 // grows with each start under an ID
	Machine, Zone, Site string
	Seeds               []netip.AddrPort // control processes
	Seed                uint64
	LocalAddr           netip.Addr           // connections are made from there; none: from anywhere
	Now                 func() time.Duration // a clock that goes on while the process is stopped
	Log                 *zap.Logger

	// OnUpdate is told of each step of the state, in order, by one goroutine at a time: the items that changed or, where whole, all that
	// there are. It must not wait. Nil: nobody is told.
	OnUpdate func(version uint64, items []changefeed.Item, whole bool)
}

// Status is what is known at one moment.
type Status struct {
	Fleet          string // its ID
	Version        uint64
	Digest         uint64
	Keys, Bytes    int
	Current        bool          // what is known may be taken for all there is
	Age            time.Duration // so long ago it was; only where Known
	AgeKnown       bool
	Publishers     []string // that are followed
	Sent, Received int64    // bytes
	Waiting        int      // operations and puts
	Stats          changefeed.SubscriberStats
}

// Client is one follower.
type Client struct {
	opt Options

	mu    sync.Mutex // all of this
	core  *changefeed.Subscriber
	conns map[string]*conn // by address; those that are dialed as well
	asks  map[uint64]*ask
	puts  map[string]*ask // by operation: those of asks that are puts
	last  uint64          // ask's number
	clock time.Duration   // the core was told
	news  []changefeed.Update
	tells bool // somebody tells of news
	over  bool
	timer *time.Timer

	ctx  context.Context // of dials
	stop context.CancelFunc

	sent, got atomic.Int64
	all       sync.WaitGroup
}

// Open begins, beside the caller.
func Open(opt Options) *Client {
	seeds := make([]string, 0, len(opt.Seeds))
	for _, a := range opt.Seeds {
		seeds = append(seeds, a.String())
	}
	now := opt.Now()
	ctx, stop := context.WithCancel(context.Background())
	f := &Client{opt: opt, conns: map[string]*conn{}, asks: map[uint64]*ask{}, puts: map[string]*ask{}, ctx: ctx, stop: stop}
	f.core = changefeed.NewSubscriber(changefeed.SubscriberConfig{ID: opt.ID, Name: opt.Name, Incarnation: opt.Incarnation, Machine: opt.Machine, Zone: opt.Zone, Site: opt.Site,
		Seeds: seeds, Lease: changefeed.DefaultLease, Seed: opt.Seed}, now)
	f.mu.Lock()
	f.timer = time.AfterFunc(0, f.beat)
	f.mu.Unlock()
	return f
}

// Status answers at once.
func (f *Client) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, st := f.opt.Now(), f.core.State()
	s := Status{Fleet: st.Fleet(), Version: st.Version(), Digest: st.Digest(), Keys: st.Len(), Bytes: st.Bytes(), Current: f.core.IsCurrent(now),
		Publishers: f.core.Publishers(), Sent: f.sent.Load(), Received: f.got.Load(), Waiting: len(f.asks), Stats: f.core.Stats}
	s.Age, s.AgeKnown = f.core.Age(now)
	return s
}

// IsCurrent tells whether what is known may be taken for all there is, as of this moment.
func (f *Client) IsCurrent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.IsCurrent(f.opt.Now())
}

// Get is a key's value, not to be changed.
func (f *Client) Get(key string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.State().Get(key)
}

// Close says goodbye and ends it. Who still waits is told that it is not known.
func (f *Client) Close() {
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	f.over = true
	f.timer.Stop()
	f.stop()
	f.core.Disconnect()
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

func (f *Client) beat() {
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
func (f *Client) tick(must bool) {
	if now := f.opt.Now(); must || now-f.clock >= beatMin {
		f.clock = now
		f.core.Tick(now)
	}
}

func (f *Client) carryOut() {
	r := f.core.Ready()
	if f.opt.OnUpdate != nil {
		f.news = append(f.news, r.Updates...)
	}
	for _, s := range r.Sends {
		if c := f.conns[s.Addr]; c != nil {
			c.put(changefeed.Encode(&s.Message))
		}
	}
	for _, addr := range r.Close {
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
	for _, l := range r.Events {
		f.say(l)
	}
}

// tell hands out news, without the lock.
func (f *Client) tell() {
	if f.opt.OnUpdate == nil {
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
			f.opt.OnUpdate(a.Version, a.Items, a.Complete)
		}
		f.mu.Lock()
	}
	f.tells = false
}

func (f *Client) say(l changefeed.Event) {
	fields := []zap.Field{zap.String("at", l.Addr), zap.Uint64("version", l.Version), zap.Duration("for", l.Duration), zap.String("is", l.Detail)}
	log := f.opt.Log
	switch l.Kind {
	case changefeed.EventResumed:
		log.Warn("fleet: this process was stopped", zap.Duration("for", l.Duration))
	case changefeed.EventSubscribed:
		log.Info("fleet: follows", zap.String("at", l.Addr), zap.String("id", l.PeerID))
	case changefeed.EventUnsubscribed:
		log.Info("fleet: follows no more", zap.String("at", l.Addr), zap.String("is", l.Detail))
	case changefeed.EventStale:
		log.Warn("fleet: not current", zap.Uint64("version", l.Version), zap.Duration("for", l.Duration))
	case changefeed.EventCurrent:
		log.Info("fleet: current", zap.Uint64("version", l.Version), zap.Duration("after", l.Duration))
	case changefeed.EventDigestMismatch:
		log.Warn("fleet: state does not match: a snapshot is asked for", fields...)
	case changefeed.EventHistoryConflict:
		log.Error("fleet: two histories: one version of the agreed state with other contents", fields...)
	case changefeed.EventForeignFleet:
		log.Warn("fleet: control process of another fleet", fields...)
	default:
		log.Warn("fleet: what a control process sends is refused", append(fields, zap.Stringer("said", l))...)
	}
}

// ---- Connections.

// conn is the way to one control process: dialed, or open.
type conn struct {
	of   *Client
	addr string

	mu      sync.Mutex
	c       net.Conn // nil while it is dialed
	queue   [][]byte
	writing bool
	marked  bool // the first byte went out; the writer's
	last    bool // nothing more is taken: what waits is written, and it ends
}

// opened has a connection that came through be told to the core, unless it was given up meanwhile.
func (f *Client) opened(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over || f.conns[c.addr] != c {
		return false
	}
	f.tick(true)
	c.put(framing.Encode(framing.Greeting{Fleet: f.opt.Fleet}))
	f.core.Connected(c.addr)
	f.carryOut()
	f.resend()
	return true
}

// closed tells the core of a dial that failed, or of a connection's end.
func (f *Client) closed(c *conn, dialed bool) {
	f.mu.Lock()
	if f.conns[c.addr] == c {
		delete(f.conns, c.addr)
		f.tick(false)
		if dialed {
			f.core.ConnectionClosed(c.addr)
		} else {
			f.core.DialFailed(c.addr)
		}
		f.carryOut()
		f.moved(c)
	}
	f.mu.Unlock()
	f.tell()
}

// heard takes a message; it answers false where the connection has been given up.
func (f *Client) heard(c *conn, m changefeed.Message) bool {
	var done func()
	f.mu.Lock()
	is := !f.over && f.conns[c.addr] == c
	if is {
		f.tick(false)
		_ = f.core.Step(c.addr, m) // what follows from an error is done by the core, and told
		switch {
		case m.OperationResult != nil:
			done = f.result(m.OperationResult)
		case m.PutResponse != nil:
			done = f.putDone(m.PutResponse)
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

func (f *Client) progress(c *conn) {
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
	answered   func(*changefeed.PutResponse, replication.Result)
}

// Submit has an operation done by the control processes. done is called once, from another goroutine, within the span or a little
// later; it must not wait. Where no answer comes it is Unknown, or Refused if nobody was asked. An operation whose connection ends is
// asked again over another, which is safe, as it is known by its ID.
func (f *Client) Submit(op replication.Operation, within time.Duration, done func(replication.Result)) {
	a := &ask{op: op.ID}
	a.unanswered = func() {
		r := replication.Result{OperationID: op.ID, Outcome: replication.OutcomeUnknown}
		if !a.sent {
			r.Outcome, r.Reason = replication.OutcomeRejected, replication.ReasonBusy
		}
		done(r)
	}
	a.answered = func(_ *changefeed.PutResponse, r replication.Result) { done(r) }
	f.ask(a, within, func(number uint64) changefeed.Message {
		return changefeed.Message{Operation: &changefeed.Payload{RequestID: number, Body: framing.Encode(framing.OperationRequest{Operation: op, Timeout: within})}}
	})
}

// Put asks for a change of an operators' item. done is called as with Ask; Refused says why where it did not take hold, or is not
// known to have. Asked again with the same operation it is answered with the same version.
func (f *Client) Put(p changefeed.PutRequest, within time.Duration, done func(changefeed.PutResponse)) {
	a := &ask{op: p.OperationID}
	a.unanswered = func() {
		why := "no answer in time: it may have taken hold; ask again as the same operation"
		if !a.sent {
			why = "no control process is followed, or too many changes wait"
		}
		done(changefeed.PutResponse{OperationID: p.OperationID, RejectReason: why})
	}
	a.answered = func(d *changefeed.PutResponse, _ replication.Result) { done(*d) }
	f.mu.Lock()
	twice := f.puts[p.OperationID] != nil
	if !twice {
		f.puts[p.OperationID] = a
	}
	f.mu.Unlock()
	if twice {
		done(changefeed.PutResponse{OperationID: p.OperationID, RejectReason: "it is under way already"})
		return
	}
	f.ask(a, within, func(uint64) changefeed.Message { return changefeed.Message{PutRequest: &p} })
}

func (f *Client) ask(a *ask, within time.Duration, word func(uint64) changefeed.Message) {
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
func (f *Client) forget(a *ask) bool {
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
func (f *Client) send(a *ask) {
	for _, addr := range f.core.Publishers() {
		if c := f.conns[addr]; c != nil {
			a.on, a.sent = c, true
			c.put(a.text)
			return
		}
	}
}

// resend asks for what was asked nowhere yet.
func (f *Client) resend() {
	for _, a := range f.asks {
		if a.on == nil {
			f.send(a)
		}
	}
}

// moved asks elsewhere for what was asked on a connection that is no more.
func (f *Client) moved(c *conn) {
	for _, a := range f.asks {
		if a.on == c {
			a.on = nil
			f.send(a)
		}
	}
}

func (f *Client) result(o *changefeed.Payload) func() {
	a := f.asks[o.RequestID]
	var r replication.Result
	if a == nil || f.puts[a.op] == a || framing.Decode(o.Body, &r) != nil || r.OperationID != a.op {
		return nil
	}
	f.forget(a)
	a.timer.Stop()
	return func() { a.answered(nil, r) }
}

func (f *Client) putDone(d *changefeed.PutResponse) func() {
	a := f.puts[d.OperationID]
	if a == nil || !f.forget(a) {
		return nil
	}
	a.timer.Stop()
	return func() { a.answered(d, replication.Result{}) }
}
