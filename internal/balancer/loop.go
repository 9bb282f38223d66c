// Package balancer balances clients' long-lived connections over servers: it accepts clients, dials servers, and owns the sessions
// between them and the counters.
//
// One goroutine, the loop, owns the policy and the table of sessions. It gathers events, hands them to the policy in one go and
// carries out the policy's decisions. It never waits for a socket, a dial or discovery: all of these post events to it. It never
// chooses a server, a retry or a delay itself: the policy does.
package balancer

import (
	"context"
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
	maxSleep       = time.Second
	stallThreshold = 300 * time.Millisecond // a turn that is later than this had the process stopped, or without a processor
)

// Loop is one running balancer. Its unexported fields belong to the loop's goroutine, unless they say otherwise.
type Loop struct {
	Counters

	log        *zap.Logger
	deployment *deployment.Settings
	policy     *policy.Balancer
	startTime  time.Time
	now        time.Duration // since startTime

	mu    sync.Mutex
	inbox []event // guarded by mu
	wake  chan struct{}

	timers        timers
	timerSequence int

	// Sessions.
	sessions           map[policy.SessionID]*session
	sessionsByClientID map[uint64]*session // by the ID that the client gave
	lastSessionID      policy.SessionID
	openSessions       int
	idle               *idleConns
	relay              *relay.Relay
	fleet              *fleet.Fleet // replicates sessions of some classes; nil where there is none

	// Descriptors of connections.
	descriptors     atomic.Int64
	descriptorLimit int64
	peerDescriptors atomic.Int64 // held by the other process of a hot restart

	// Servers.
	servers           map[policy.EndpointID]*upstream
	serversByUID      map[string]*upstream
	watch             *discovery.Watch
	stopWatch         context.CancelFunc // ends watch
	initialList       discovery.List     // from before the start, until discovery is followed
	hasCurrentList    bool               // discovery has answered since the start
	freshListDeadline time.Duration      // until then a fresh list is waited for
	deferred          []func()           // what waits for it
	messageObjective  time.Duration      // the shortest one of all classes, 0 where there is none
	medianProbeTime   time.Duration      // of an unloaded median machine, 0 until it is known

	// Readiness.
	ready              bool
	readyDue           bool // it would be ready but for awaitsServiceState
	awaitsServiceState bool // the state that operators set before the start is not known yet
	pendingPings       []*conn
	becameReady        chan struct{} // closed once it is ready
	serviceMu          sync.Mutex
	service            serviceState // guarded by serviceMu

	// Gossip with the other balancers; nil where there is none. openedGossip and sharesListener belong to whoever calls Reconfigure.
	gossip         *loadgossip.Transport
	openedGossip   *loadgossip.Transport
	sharesListener bool // another process of this balancer may run beside this one

	// Hot restart.
	handover        *handover // nil where this process takes no part in one
	successorLinked atomic.Bool
	listener        atomic.Pointer[Listener] // nil where it is not shared with other processes
}

// New makes a balancer with these settings. known is the endpoint list from before the start, maxDescriptors how many descriptors the
// process may hold.
func New(log *zap.Logger, settings *deployment.Settings, seed uint64, known discovery.List, maxDescriptors int) (*Loop, error) {
	workers := (runtime.GOMAXPROCS(0) - 1) / 2
	l := &Loop{
		log:                log,
		policy:             policy.New(withProbeReports(settings), seed),
		startTime:          time.Now(),
		wake:               make(chan struct{}, 1),
		descriptorLimit:    int64(max(maxDescriptors-ReservedDescriptors(workers), 2)),
		servers:            map[policy.EndpointID]*upstream{},
		serversByUID:       map[string]*upstream{},
		sessions:           map[policy.SessionID]*session{},
		sessionsByClientID: map[uint64]*session{},
		idle:               newIdleConns(),
		initialList:        known,
		becameReady:        make(chan struct{}),
	}
	l.applySettings(settings)
	var err error
	if l.relay, err = relay.New(workers, relayHandler{l}, &l.descriptors); err != nil {
		return nil, err
	}
	l.applyList(known, true)
	if known.Complete && len(known.Endpoints) > 0 {
		l.after(freshListTimeout, l.markReady)
	}
	l.after(readyTimeout, l.markReady)
	l.after(slowReportInterval, l.reportSlowServers)
	l.after(silenceCheckInterval, l.migrateSilent)
	l.after(expireInterval, l.expireSilent)
	return l, nil
}

// post hands an event to the loop. It does not wait.
func (l *Loop) post(e event) {
	l.mu.Lock()
	l.inbox = append(l.inbox, e)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until done is closed.
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

// runOnce handles the events that are here and the timers that are due, then carries out the policy's decisions.
func (l *Loop) runOnce() {
	l.mu.Lock()
	events := l.inbox
	l.inbox = nil
	l.mu.Unlock()
	l.advanceClock()
	for _, e := range events {
		l.recoverPanics(e.client(), func() { l.handleEvent(e) })
	}
	l.runTimers()
	for {
		decision, ok := l.policy.Next()
		if !ok {
			return
		}
		var c *conn
		if session := l.sessions[decision.Session]; session != nil {
			c = session.client
		}
		l.recoverPanics(c, func() { l.execute(decision) })
	}
}

// advanceClock sets the loop's and the policy's clock, and finds out whether the process was stopped.
func (l *Loop) advanceClock() {
	due := l.nextWakeup()
	l.now = time.Since(l.startTime)
	l.policy.AdvanceClock(l.now)
	if late := l.now - due; late > stallThreshold {
		l.Stalls.Add(1)
		l.log.Warn("stopped, or starved", zap.Duration("for", late))
		l.requestFreshList()
	}
}

// nextWakeup returns when the loop has to run next if no event arrives.
func (l *Loop) nextWakeup() time.Duration {
	at := l.now + maxSleep
	if wakeup, ok := l.policy.NextWakeup(); ok {
		at = min(at, wakeup)
	}
	if len(l.timers) > 0 {
		at = min(at, l.timers[0].at)
	}
	return at
}

// handleEvent handles one event.
func (l *Loop) handleEvent(e event) {
	if e.run != nil {
		e.run()
		return
	}
	c := e.conn
	c.queuedBytes.Add(-int64(e.size))
	for _, line := range e.lines {
		l.handleLine(c, line)
	}
	if e.disconnect != nil && !c.finished {
		l.clientDisconnected(c, e.disconnect)
	}
}

// handleLine handles a line of a client whose session, if it has one, is not relayed.
func (l *Loop) handleLine(c *conn, line protocol.Line) {
	if line.Err != nil {
		l.BadLines.Add(1)
	}
	switch {
	case c.handingOver:
		c.handoverInput = append(c.handoverInput, line.Raw...)
	case c.finished:
	case c.session != nil:
		l.unexpectedLine(c.session)
	default:
		l.handleFirstLine(c, line)
	}
}

// execute carries out a decision of the policy.
func (l *Loop) execute(decision policy.Decision) {
	switch decision.Action {
	case policy.HealthCheck:
		l.startProbe(decision.Endpoint)
		return
	case policy.SendGossip:
		if l.gossip != nil {
			l.gossip.Broadcast(decision.Gossip)
		}
		return
	}
	session := l.sessions[decision.Session]
	if session == nil {
		return
	}
	switch decision.Action {
	case policy.StartAttempt:
		l.startAttempt(session, decision.Endpoint, decision.Duration)
	case policy.Reject:
		l.Rejected.Add(1)
		l.withdraw(session)
		l.endUnserved(session, protocol.RejectLine(decision.Duration))
	case policy.Fail:
		l.Failed.Add(1)
		l.endUnserved(session, protocol.FailLine)
	case policy.Migrate:
		l.migrate(session, policy.Cancelled)
	}
}

// reportPanic counts and logs a panic.
func (l *Loop) reportPanic(at string, what any) {
	l.Panics.Add(1)
	l.log.Error("panic", zap.String("at", at), zap.Any("what", what), zap.ByteString("stack", debug.Stack()))
}

// recoverPanics runs a function. A panic in it costs the connection that it is about, if there is one, and nothing else.
func (l *Loop) recoverPanics(c *conn, run func()) {
	defer func() {
		if p := recover(); p != nil {
			l.reportPanic("the loop", p)
			if c != nil {
				l.endAfterPanic(c)
			}
		}
	}()
	run()
}

// endAfterPanic ends a connection, and its session, after a panic.
func (l *Loop) endAfterPanic(c *conn) {
	if session := c.session; session != nil && session.pair != nil {
		if session.pair.Abort() && l.isCurrent(session) {
			l.recoverPanics(nil, func() { l.establishedEnded(session, policy.Cancelled) })
		}
		return
	}
	if c.finished {
		return
	}
	l.recoverPanics(nil, func() {
		l.clientDisconnected(c, &DisconnectError{Stage: StageWritten, Abrupt: true, Cause: errPanic})
	})
	if !c.finished { // a second panic
		c.finished = true
		c.abort()
	}
}
