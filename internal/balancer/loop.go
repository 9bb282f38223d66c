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
	readyTimeout     = 2 * time.Second        // ready after that without a list
	freshListTimeout = 250 * time.Millisecond // and after that with the one known at the start: what is newer comes at once
	stallThreshold   = 300 * time.Millisecond // a turn that comes so late had the process stopped, or starved
	rejectReserve    = 8                      // so-many-th of the rest, kept for clients that are only told to come again
)

// Loop is one running balancer.
type Loop struct {
	log              *zap.Logger
	deployment       *deployment.Settings
	policy           *policy.Balancer
	startTime        time.Time
	now              time.Duration
	messageObjective time.Duration // the shortest message goal, 0 where none is told
	medianProbeTime  time.Duration // what a probe of the middle machine takes, once it is known
	Counters

	mu              sync.Mutex
	inbox           []event
	wake            chan struct{}
	descriptors     atomic.Int64 // descriptors of connections
	descriptorLimit int64        // of those at most, less
	peerDescriptors atomic.Int64 // what the other process of an upgrade holds

	gossip             *loadgossip.Transport // to the other balancers, nil where they are not told
	openedGossip       *loadgossip.Transport // the newest one that was opened, and whether another process of this balancer may run
	sharesListener     bool                  // beside it, which only Reconfigure looks at
	fleet              *fleet.Fleet          // holds circuits of some grades for others; nil where there is none
	relay              *relay.Relay
	watch              *discovery.Watch
	stopWatch          context.CancelFunc // ends it
	initialList        discovery.List     // the list from before the start, until it is followed
	servers            map[policy.EndpointID]*upstream
	serversByUID       map[string]*upstream
	sessions           map[policy.SessionID]*session
	sessionsByClientID map[uint64]*session // by the id that the client gave it
	idle               *idleConns
	openSessions       int
	lastSessionID      policy.SessionID
	timers             timers
	timerSequence      int
	hasCurrentList     bool          // discovery has answered since the start
	freshListDeadline  time.Duration // until then no line goes to a server before discovery has been heard,
	deferred           []func()      // and these wait for that
	ready              bool          // clients are welcome
	awaitsServiceState bool          // not before its operators' word of before is heard,
	readyDue           bool          // though it would be ready
	pendingPings       []*conn       // ask whether it is so

	becameReady chan struct{}            // closed once it is ready
	listener    atomic.Pointer[Listener] // the listener, where it is shared with another process

	serviceMu sync.Mutex
	service   serviceState // under it

	handover        *handover   // nil where this process can have no heir
	successorLinked atomic.Bool // it has one now
}

// upstream is what the sockets need to know of one server.
type upstream struct {
	id           policy.EndpointID
	address      string
	state        policy.EndpointState
	probeTimes   probeTimes // what probes took
	speedStep    int        // how fast its machine is by them, in steps over the middle one
	reportedSlow bool       // the newest note was one of slow messages
	listed       discovery.Server
}

// timer runs a function of the loop at a time.
type timer struct {
	at       time.Duration
	sequence int
	run      func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
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
		log: log, policy: policy.New(withProbeReports(dep), seed), startTime: time.Now(),
		wake: make(chan struct{}, 1), descriptorLimit: int64(max(sockets-ReservedDescriptors(shards), 2)),
		servers: map[policy.EndpointID]*upstream{}, serversByUID: map[string]*upstream{},
		sessions: map[policy.SessionID]*session{}, sessionsByClientID: map[uint64]*session{}, idle: newIdleConns(),
		initialList: known, becameReady: make(chan struct{}),
	}
	l.applySettings(dep)
	var err error
	if l.relay, err = relay.New(shards, relayHandler{l}, &l.descriptors); err != nil {
		return nil, err
	}
	l.applyList(known, true)
	if known.Whole && len(known.Servers) > 0 {
		l.after(freshListTimeout, l.markReady)
	}
	l.after(readyTimeout, l.markReady)
	l.after(slowReportInterval, l.reportSlowServers)
	l.after(silenceCheckInterval, l.migrateSilent)
	l.after(expireInterval, l.expireSilent)
	return l, nil
}

// FollowDiscovery has the loop follow discovery's list at an address, in place of the one before: that one is ended, and
// what it still has to say is void, or an old list would win over the new one's.
func (l *Loop) FollowDiscovery(ctx context.Context, address string) {
	l.post(event{run: func() {
		if l.stopWatch != nil {
			l.stopWatch()
		}
		var w *discovery.Watch
		of := func(do func()) {
			l.post(event{run: func() {
				if l.watch == w {
					do()
				}
			}})
		}
		w = discovery.New(address, l.deployment.Policy.Balancers, l.deployment.PollEndpointList,
			func(list discovery.List) { of(func() { l.applyList(list, false) }) },
			func(err error) { of(func() { l.discoveryFailed(err) }) })
		if l.stopWatch == nil { // another discovery counts its lists by itself
			w.From(l.initialList)
			l.initialList = discovery.List{}
		}
		first := l.stopWatch == nil
		ctx, l.stopWatch = context.WithCancel(ctx)
		if l.watch = w; first {
			l.requestFreshList()
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

func (l *Loop) reportPanic(at string, what any) {
	l.Panics.Add(1)
	l.log.Error("panic", zap.String("at", at), zap.Any("what", what), zap.ByteString("stack", debug.Stack()))
}

// after has the loop run do in a while.
func (l *Loop) after(d time.Duration, do func()) {
	l.timerSequence++
	heap.Push(&l.timers, timer{l.now + d, l.timerSequence, do})
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
		l.runOnce()
		alarm.Reset(max(0, l.nextWakeup()-time.Since(l.startTime)))
	}
}

// runOnce takes in what is ready, then carries out what the module decides.
func (l *Loop) runOnce() {
	l.mu.Lock()
	batch := l.inbox
	l.inbox = nil
	l.mu.Unlock()
	due := l.nextWakeup()
	l.now = time.Since(l.startTime)
	l.policy.AdvanceClock(l.now)
	if l.now-due > stallThreshold {
		l.Stalls.Add(1)
		l.log.Warn("stopped, or starved", zap.Duration("for", l.now-due))
		l.requestFreshList()
	}
	for _, ev := range batch {
		c := ev.conn
		if ev.session != nil {
			c = ev.session.client
		}
		l.recoverPanics(c, func() { l.handleEvent(ev) })
	}
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(timer)
		l.recoverPanics(nil, t.run)
	}
	for {
		d, ok := l.policy.Next()
		if !ok {
			return
		}
		var c *conn
		if cir := l.sessions[d.Session]; cir != nil {
			c = cir.client
		}
		l.recoverPanics(c, func() { l.execute(d) })
	}
}

// nextWakeup is when the loop has something to do if nothing comes in.
func (l *Loop) nextWakeup() time.Duration {
	at := l.now + time.Second
	if w, ok := l.policy.NextWakeup(); ok {
		at = min(at, w)
	}
	if len(l.timers) > 0 {
		at = min(at, l.timers[0].at)
	}
	return at
}

// recoverPanics stops a panic at the connection it was about.
func (l *Loop) recoverPanics(c *conn, do func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		l.reportPanic("the loop", p)
		if c == nil {
			return
		}
		if cir := c.session; cir != nil && cir.pair != nil {
			if cir.pair.Abort() && l.sessions[cir.id] == cir {
				l.recoverPanics(nil, func() { l.establishedEnded(cir, policy.Cancelled) })
			}
		} else if !c.finished { // a second panic, while this one is cleared away, ends the connection alone
			l.recoverPanics(nil, func() { l.clientDisconnected(c, &DisconnectError{Stage: StageWritten, Abrupt: true, Cause: errPanic}) })
			if !c.finished {
				c.finished = true
				c.abort()
			}
		}
	}()
	do()
}

func (l *Loop) handleEvent(ev event) {
	if ev.run != nil {
		ev.run()
		return
	}
	c := ev.conn
	c.queuedBytes.Add(-int64(ev.size))
	for _, ln := range ev.lines {
		if ln.Bad != nil {
			l.BadLines.Add(1)
		}
		switch {
		case c.handingOver:
			c.handoverInput = append(c.handoverInput, ln.Raw...)
		case c.finished:
		case c.session != nil:
			l.unexpectedLine(c.session)
		default:
			l.handleFirstLine(c, ln)
		}
	}
	if ev.disconnect != nil && !c.finished {
		l.clientDisconnected(c, ev.disconnect)
	}
}

func (l *Loop) execute(d policy.Decision) {
	switch d.Action {
	case policy.HealthCheck:
		l.startProbe(d.Endpoint)
		return
	case policy.SendGossip:
		if l.gossip != nil {
			l.gossip.Broadcast(d.Gossip)
		}
		return
	}
	c := l.sessions[d.Session]
	if c == nil {
		return
	}
	switch d.Action {
	case policy.StartAttempt:
		l.startAttempt(c, d.Endpoint, d.Duration)
	case policy.Reject:
		l.Rejected.Add(1)
		l.withdraw(c)
		l.endUnserved(c, protocol.Turned(d.Duration))
	case policy.Fail:
		l.Failed.Add(1)
		l.endUnserved(c, protocol.ErrLine)
	case policy.Migrate:
		l.migrate(c, policy.Cancelled)
	}
}

// ---- The list of servers.

// applyList takes a list of servers; known: from before the start.
func (l *Loop) applyList(list discovery.List, known bool) {
	named := map[policy.EndpointID]bool{}
	lines := make([]policy.Endpoint, 0, len(list.Servers))
	for _, s := range list.Servers {
		id := policy.EndpointID(protocol.Hash(s.UID))
		named[id] = true
		sv := l.servers[id]
		if sv == nil {
			sv = &upstream{id: id}
			l.servers[id], l.serversByUID[s.UID] = sv, sv
		}
		if s.Endpoint != "" {
			sv.address = s.Endpoint
		}
		if sv.listed != s {
			l.log.Info("listed", zap.String("server", s.UID), zap.String("address", s.Endpoint),
				zap.Uint8("state", uint8(s.State)), zap.Time("boot", s.Boot))
		}
		if !sv.listed.Boot.Equal(s.Boot) { // another process, maybe on another machine
			sv.probeTimes, sv.speedStep = probeTimes{}, 0
		}
		sv.state, sv.listed = s.State, s
		zone, told := l.deployment.Zones[s.Zone]
		if !told {
			zone = len(l.deployment.Zones)
		}
		started := policy.StartedLongAgo
		if !s.Boot.IsZero() {
			started = s.Boot.Sub(l.startTime)
		}
		lines = append(lines, policy.Endpoint{
			ID: id, Zone: zone, FailureDomain: s.Cell, MachineType: protocol.Hash(s.Model), State: s.State, Weight: sv.weight(), StartedAt: started,
		})
	}
	if list.Whole {
		for id, sv := range l.servers {
			if !named[id] {
				sv.state, sv.listed = policy.Removed, discovery.Server{}
			}
		}
	}
	l.policy.UpdateEndpoints(lines, list.Whole || known)
	if !known {
		l.log.Debug("list", zap.Uint64("rev", list.Rev), zap.Bool("whole", list.Whole), zap.Int("entries", len(list.Servers)))
		l.Lists.Add(1)
		l.saveList(list.Rev)
		l.freshListDeadline = l.now
		l.runDeferred()
		if !l.hasCurrentList {
			l.hasCurrentList = true
			l.markReady()
		}
	}
}

// requestFreshList has nothing go to a server before its own machine's agent has said what it has, which counts as told: after a start, or
// while the process was stopped. Where it is silent that is not waited for. Guards against a first line to a server that
// drains since, by a word that nobody here has read yet.
func (l *Loop) requestFreshList() {
	if l.watch == nil || l.deployment.PollEndpointList {
		return
	}
	l.watch.Again()
	l.freshListDeadline = l.now + freshListTimeout
	l.after(freshListTimeout, l.runDeferred)
}

// deferUntilFresh tells whether that is waited for; do then runs once it is over.
func (l *Loop) deferUntilFresh(do func()) bool {
	if l.now >= l.freshListDeadline {
		return false
	}
	l.deferred = append(l.deferred, do)
	return true
}

// runDeferred goes on with what waits, unless it has to wait again.
func (l *Loop) runDeferred() {
	if l.now < l.freshListDeadline {
		return
	}
	all := l.deferred
	l.deferred = nil
	for _, do := range all {
		l.recoverPanics(nil, do)
	}
}

func (l *Loop) discoveryFailed(err error) {
	l.ListErrors.Add(1)
	l.log.Warn("no list", zap.Error(err))
}

// markReady answers that the balancer is ready, once the newest list is here or has not come for long.
func (l *Loop) markReady() {
	if l.ready || l.awaitsServiceState {
		l.readyDue = true
		return
	}
	l.ready = true
	close(l.becameReady)
	l.notifyReady()
	l.log.Info("ready", zap.Bool("listed", l.hasCurrentList), zap.Int("servers", len(l.servers)))
	for _, c := range l.pendingPings {
		for ; c.unansweredPings > 0; c.unansweredPings-- {
			c.send(l.readinessLine())
		}
		c.awaitsPong.Store(false)
	}
	l.pendingPings = nil
}

// LogCounters logs the counters.
func (l *Loop) LogCounters(why string) {
	fields := append([]zap.Field{zap.String("why", why)}, l.Counters.fields()...)
	l.ForwardedLines.Store(l.relay.ForwardedLines.Load())
	l.log.Info("counters", append(fields, zap.Int64("descriptors", l.descriptors.Load()))...)
}

// String names a circuit in the log.
func (c *session) String() string { return fmt.Sprintf("%d (%x)", c.id, c.request.ID) }
