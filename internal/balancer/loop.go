// Package balancer is the balancer on sockets: connections, the loop and the counters.
//
// This file owns the loop: one goroutine that owns the module and the table of circuits. It gathers what is
// ready, hands it to the module in one go, and carries out what comes back. It must never wait for a socket,
// a dial or discovery: all of these post to it. Another protocol fits before it by posting its own events.
package balancer

import (
	"container/heap"
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/fleet"
	"sabletally/internal/loadgossip"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

const (
	readyWithin = 2 * time.Second        // ready after that without a list
	readySoon   = 250 * time.Millisecond // and after that with the one known at the start: what is newer comes at once
	stalledFor  = 300 * time.Millisecond // a turn that comes so late had the process stopped, or starved
	spareFds    = 8                      // so-many-th of the rest, kept for clients that are only told to come again
)

// Loop is one running balancer.
type Loop struct {
	log    *zap.Logger
	dep    *deployment.Settings
	bal    *policy.Balancer
	start  time.Time
	now    time.Duration
	goal   time.Duration // the shortest message goal, 0 where none is told
	middle time.Duration // what a probe of the middle machine takes, once it is known
	Counters

	mu     sync.Mutex
	inbox  []event
	wake   chan struct{}
	fds    atomic.Int64 // descriptors of connections
	most   int64        // of those at most, less
	beside atomic.Int64 // what the other process of an upgrade holds

	link     *loadgossip.Transport // to the other balancers, nil where they are not told
	linked   *loadgossip.Transport // the newest one that was opened, and whether another process of this balancer may run
	shared   bool                  // beside it, which only Reconfigure looks at
	fleet    *fleet.Fleet          // holds circuits of some grades for others; nil where there is none
	relays   *relay.Shards
	watch    *discovery.Watch
	unwatch  context.CancelFunc // ends it
	known    discovery.List     // the list from before the start, until it is followed
	servers  map[policy.EndpointID]*server
	byUID    map[string]*server
	circuits map[policy.SessionID]*circuit
	byAsk    map[uint64]*circuit // by the id that the client gave it
	door     *door
	open     int
	last     policy.SessionID
	timers   timers
	order    int
	listed   bool          // discovery has answered since the start
	hearBy   time.Duration // until then no line goes to a server before discovery has been heard,
	unsent   []func()      // and these wait for that
	ready    bool          // clients are welcome
	awaits   bool          // not before its operators' word of before is heard,
	due      bool          // though it would be ready
	pinged   []*conn       // ask whether it is so

	welcomed chan struct{}        // closed once it is ready
	gate     atomic.Pointer[Gate] // the listener, where it is shared with another process

	wanted  sync.Mutex
	service service // under it

	succession *succession // nil where this process can have no heir
	heired     atomic.Bool // it has one now
}

// server is what the sockets need to know of one server.
type server struct {
	id       policy.EndpointID
	address  string
	state    policy.EndpointState
	timed    timed // what probes took
	pace     int   // how fast its machine is by them, in steps over the middle one
	noted    bool  // the newest note was one of slow messages
	listedAs discovery.Server
}

// timer runs a function of the loop at a time.
type timer struct {
	at    time.Duration
	order int
	do    func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// New makes a balancer from what it was told at its start; sockets is the most descriptors it may hold.
func New(log *zap.Logger, dep *deployment.Settings, seed uint64, known discovery.List, sockets int) (*Loop, error) {
	shards := (runtime.GOMAXPROCS(0) - 1) / 2
	l := &Loop{
		log: log, bal: policy.New(onSockets(dep), seed), start: time.Now(),
		wake: make(chan struct{}, 1), most: int64(max(sockets-KeptFds(shards), 2)),
		servers: map[policy.EndpointID]*server{}, byUID: map[string]*server{},
		circuits: map[policy.SessionID]*circuit{}, byAsk: map[uint64]*circuit{}, door: newDoor(),
		known: known, welcomed: make(chan struct{}),
	}
	l.settings(dep)
	var err error
	if l.relays, err = relay.New(shards, told{l}, &l.fds); err != nil {
		return nil, err
	}
	l.list(known, true)
	if known.Whole && len(known.Servers) > 0 {
		l.after(readySoon, l.welcome)
	}
	l.after(readyWithin, l.welcome)
	l.after(beat, l.beat)
	l.after(silentEach, l.silent)
	l.after(sweepEach, l.sweep)
	return l, nil
}

// Follow has the loop follow discovery's list at an address, in place of the one before: that one is ended, and
// what it still has to say is void, or an old list would win over the new one's.
func (l *Loop) Follow(ctx context.Context, address string) {
	l.post(event{do: func() {
		if l.unwatch != nil {
			l.unwatch()
		}
		var w *discovery.Watch
		of := func(do func()) {
			l.post(event{do: func() {
				if l.watch == w {
					do()
				}
			}})
		}
		w = discovery.New(address, l.dep.Policy.Balancers, l.dep.PollEndpointList,
			func(list discovery.List) { of(func() { l.list(list, false) }) },
			func(err error) { of(func() { l.unlisted(err) }) })
		if l.unwatch == nil { // another discovery counts its lists by itself
			w.From(l.known)
			l.known = discovery.List{}
		}
		first := l.unwatch == nil
		ctx, l.unwatch = context.WithCancel(ctx)
		if l.watch = w; first {
			l.hear()
		}
		go w.Run(ctx)
	}})
}

// post hands an event to the loop.
func (l *Loop) post(ev event) {
	l.mu.Lock()
	l.inbox = append(l.inbox, ev)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Loop) panicked(at string, what any) {
	l.Panics.Add(1)
	l.log.Error("panic", zap.String("at", at), zap.Any("what", what), zap.ByteString("stack", debug.Stack()))
}

// after has the loop run do in a while.
func (l *Loop) after(d time.Duration, do func()) {
	l.order++
	heap.Push(&l.timers, timer{l.now + d, l.order, do})
}

// Run is the loop; it ends when done does.
func (l *Loop) Run(done <-chan struct{}) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-done:
			return
		case <-l.wake:
		case <-alarm.C:
		}
		l.turn()
		alarm.Reset(max(0, l.next()-time.Since(l.start)))
	}
}

// turn takes in what is ready, then carries out what the module decides.
func (l *Loop) turn() {
	l.mu.Lock()
	batch := l.inbox
	l.inbox = nil
	l.mu.Unlock()
	due := l.next()
	l.now = time.Since(l.start)
	l.bal.AdvanceClock(l.now)
	if l.now-due > stalledFor {
		l.Stalls.Add(1)
		l.log.Warn("stopped, or starved", zap.Duration("for", l.now-due))
		l.hear()
	}
	for _, ev := range batch {
		c := ev.conn
		if ev.of != nil {
			c = ev.of.client
		}
		l.guard(c, func() { l.happened(ev) })
	}
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(timer)
		l.guard(nil, t.do)
	}
	for {
		d, ok := l.bal.Next()
		if !ok {
			return
		}
		var c *conn
		if cir := l.circuits[d.Session]; cir != nil {
			c = cir.client
		}
		l.guard(c, func() { l.carryOut(d) })
	}
}

// next is when the loop has something to do if nothing comes in.
func (l *Loop) next() time.Duration {
	at := l.now + time.Second
	if w, ok := l.bal.NextWakeup(); ok {
		at = min(at, w)
	}
	if len(l.timers) > 0 {
		at = min(at, l.timers[0].at)
	}
	return at
}

// guard stops a panic at the connection it was about.
func (l *Loop) guard(c *conn, do func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		l.panicked("the loop", p)
		if c == nil {
			return
		}
		if cir := c.circuit; cir != nil && cir.pair != nil {
			if cir.pair.Abort() && l.circuits[cir.id] == cir {
				l.guard(nil, func() { l.stoodEnded(cir, policy.Cancelled) })
			}
		} else if !c.over { // a second panic, while this one is cleared away, ends the connection alone
			l.guard(nil, func() { l.broken(c, &Broken{Stage: Asked, Abrupt: true, Cause: errPanic}) })
			if !c.over {
				c.over = true
				c.abort()
			}
		}
	}()
	do()
}

func (l *Loop) happened(ev event) {
	if ev.do != nil {
		ev.do()
		return
	}
	c := ev.conn
	c.waits.Add(-int64(ev.size))
	for _, ln := range ev.lines {
		if ln.Bad != nil {
			l.BadLines.Add(1)
		}
		switch {
		case c.passing:
			c.first = append(c.first, ln.Raw...)
		case c.over:
		case c.circuit != nil:
			l.clientLine(c.circuit)
		default:
			l.firstLine(c, ln)
		}
	}
	if ev.broken != nil && !c.over {
		l.broken(c, ev.broken)
	}
}

func (l *Loop) carryOut(d policy.Decision) {
	switch d.Action {
	case policy.HealthCheck:
		l.ask(d.Endpoint)
		return
	case policy.SendGossip:
		if l.link != nil {
			l.link.Broadcast(d.Gossip)
		}
		return
	}
	c := l.circuits[d.Session]
	if c == nil {
		return
	}
	switch d.Action {
	case policy.StartAttempt:
		l.try(c, d.Endpoint, d.Duration)
	case policy.Reject:
		l.Nacked.Add(1)
		l.withdraw(c)
		l.answer(c, protocol.Turned(d.Duration))
	case policy.Fail:
		l.BrokenOff.Add(1)
		l.answer(c, protocol.ErrLine)
	case policy.Migrate:
		l.move(c, policy.Cancelled)
	}
}

// ---- The list of servers.

// list takes a list of servers; known: from before the start.
func (l *Loop) list(list discovery.List, known bool) {
	named := map[policy.EndpointID]bool{}
	lines := make([]policy.Endpoint, 0, len(list.Servers))
	for _, s := range list.Servers {
		id := policy.EndpointID(protocol.Hash(s.UID))
		named[id] = true
		sv := l.servers[id]
		if sv == nil {
			sv = &server{id: id}
			l.servers[id], l.byUID[s.UID] = sv, sv
		}
		if s.Endpoint != "" {
			sv.address = s.Endpoint
		}
		if sv.listedAs != s {
			l.log.Info("listed", zap.String("server", s.UID), zap.String("address", s.Endpoint),
				zap.Uint8("state", uint8(s.State)), zap.Time("boot", s.Boot))
		}
		if !sv.listedAs.Boot.Equal(s.Boot) { // another process, maybe on another machine
			sv.timed, sv.pace = timed{}, 0
		}
		sv.state, sv.listedAs = s.State, s
		zone, told := l.dep.Zones[s.Zone]
		if !told {
			zone = len(l.dep.Zones)
		}
		started := policy.StartedLongAgo
		if !s.Boot.IsZero() {
			started = s.Boot.Sub(l.start)
		}
		lines = append(lines, policy.Endpoint{
			ID: id, Zone: zone, FailureDomain: s.Cell, MachineType: protocol.Hash(s.Model), State: s.State, Weight: sv.heft(), StartedAt: started,
		})
	}
	if list.Whole {
		for id, sv := range l.servers {
			if !named[id] {
				sv.state, sv.listedAs = policy.Removed, discovery.Server{}
			}
		}
	}
	l.bal.UpdateEndpoints(lines, list.Whole || known)
	if !known {
		l.log.Debug("list", zap.Uint64("rev", list.Rev), zap.Bool("whole", list.Whole), zap.Int("entries", len(list.Servers)))
		l.Lists.Add(1)
		l.keepList(list.Rev)
		l.hearBy = l.now
		l.heardOf()
		if !l.listed {
			l.listed = true
			l.welcome()
		}
	}
}

// hear has nothing go to a server before its own machine's agent has said what it has, which counts as told: after a start, or
// while the process was stopped. Where it is silent that is not waited for. Guards against a first line to a server that
// drains since, by a word that nobody here has read yet.
func (l *Loop) hear() {
	if l.watch == nil || l.dep.PollEndpointList {
		return
	}
	l.watch.Again()
	l.hearBy = l.now + readySoon
	l.after(readySoon, l.heardOf)
}

// unheard tells whether that is waited for; do then runs once it is over.
func (l *Loop) unheard(do func()) bool {
	if l.now >= l.hearBy {
		return false
	}
	l.unsent = append(l.unsent, do)
	return true
}

// heardOf goes on with what waits, unless it has to wait again.
func (l *Loop) heardOf() {
	if l.now < l.hearBy {
		return
	}
	all := l.unsent
	l.unsent = nil
	for _, do := range all {
		l.guard(nil, do)
	}
}

func (l *Loop) unlisted(err error) {
	l.ListErrors.Add(1)
	l.log.Warn("no list", zap.Error(err))
}

// welcome answers that the balancer is ready, once the newest list is here or has not come for long.
func (l *Loop) welcome() {
	if l.ready || l.awaits {
		l.due = true
		return
	}
	l.ready = true
	close(l.welcomed)
	l.tellReady()
	l.log.Info("ready", zap.Bool("listed", l.listed), zap.Int("servers", len(l.servers)))
	for _, c := range l.pinged {
		for ; c.pings > 0; c.pings-- {
			c.send(l.pong())
		}
		c.asks.Store(false)
	}
	l.pinged = nil
}

// Report logs the counters.
func (l *Loop) Report(why string) {
	fields := append([]zap.Field{zap.String("why", why)}, l.Counters.fields()...)
	l.Relayed.Store(l.relays.Lines.Load())
	l.log.Info("counters", append(fields, zap.Int64("descriptors", l.fds.Load()))...)
}

// String names a circuit in the log.
func (c *circuit) String() string { return fmt.Sprintf("%d (%x)", c.id, c.ask.ID) }
