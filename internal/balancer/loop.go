// Package balancer balances clients' long-lived connections over servers: it accepts clients, dials servers, and owns the sessions
// between them and the counters.
//
// One goroutine, the event loop, owns the policy and the session table. It collects events, passes them to the policy as a batch and
// executes the policy's decisions. It never blocks on a socket, a dial or discovery: all of these post events to it. It never chooses
// a server, a retry or a delay itself: the policy does.
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
	"sabletally/internal/poller"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

const (
	// maxSleep is the longest time between two iterations of the loop.
	maxSleep = time.Second
	// stallThreshold is how late an iteration may be before the process counts as stalled: stopped, or without CPU time.
	stallThreshold = 300 * time.Millisecond
)

// Loop is one running balancer. Only the loop's goroutine accesses its unexported fields, except where a field's comment says
// otherwise.
type Loop struct {
	Counters

	log        *zap.Logger
	deployment *deployment.Settings
	policy     *policy.Balancer
	startTime  time.Time
	now        time.Duration // loop clock: time since startTime, as of the current iteration

	mu    sync.Mutex
	inbox []event       // guarded by mu
	wake  chan struct{} // holds a value while the inbox may have events

	timers        timers
	timerSequence int

	// Sessions.
	sessions           map[policy.SessionID]*session
	sessionsByClientID map[uint64]*session // sessions by the ID in the client's request
	peerRequestIDs     map[uint64]struct{} // IDs of open sessions of the other process of a hot restart
	announcements      requestIDAnnouncements
	lastSessionID      policy.SessionID
	openSessions       int
	idleConns          *idleConns
	pollers            []*poller.Poller // pollers of clients' connections before they are relayed
	pollerCounter      atomic.Uint32    // selects the poller of the next connection, round robin
	relay              *relay.Relay
	fleet              *fleet.Fleet // replicates the sessions of some classes; nil without a fleet

	// File descriptors of connections.
	descriptors     atomic.Int64 // descriptors that this process's connections hold
	descriptorLimit int64        // maximum of descriptors and peerDescriptors together
	peerDescriptors atomic.Int64 // descriptors that the other process of a hot restart holds

	// Servers.
	servers           map[policy.EndpointID]*upstream
	serversByUID      map[string]*upstream
	watch             *discovery.Watch
	stopWatch         context.CancelFunc // stops watch
	initialList       discovery.List     // endpoint list from before the start, from which the first watch starts; then empty
	listPosition      listPosition       // position of the endpoint list in force
	discoveryAddress  string             // address of the discovery service that is followed
	hasCurrentList    bool               // whether discovery has answered since the start
	freshListDeadline time.Duration      // loop time until which requests wait for a fresh endpoint list
	deferredRequests  []func()           // functions that wait for a fresh endpoint list
	messageObjective  time.Duration      // shortest message objective of all classes, 0 if no class has one
	medianProbeTime   time.Duration      // probe time of the median machine without load, 0 while it is unknown

	// Readiness.
	ready              bool
	readyDue           bool          // whether the balancer is ready but for awaitsServiceState and awaitsPredecessor
	awaitsPredecessor  bool          // the predecessor's state is still unknown
	awaitsServiceState bool          // the service state that operators set before the start is still unknown
	pendingPings       []*conn       // clients whose PING is answered once the balancer is ready
	becameReady        chan struct{} // closed when the balancer becomes ready
	serviceMu          sync.Mutex
	service            serviceState // guarded by serviceMu

	// Gossip with the other balancers. Only the goroutine that calls Reconfigure accesses openedGossip and sharesListener.
	gossip         *loadgossip.Transport // transport in use, nil without gossip
	openedGossip   *loadgossip.Transport // transport opened last; becomes gossip when the new settings are applied
	sharesListener bool                  // another process of this balancer may run at the same time

	// Hot restart.
	handover        *handover                // nil if this process takes part in no hot restart
	successorLinked atomic.Bool              // whether a successor is connected
	listener        atomic.Pointer[Listener] // listener that other processes share, nil if it is not shared
}

// New creates a balancer. known is the endpoint list from before the start, maxDescriptors the number of descriptors that the process
// may hold.
func New(log *zap.Logger, settings *deployment.Settings, seed uint64, known discovery.List, maxDescriptors int) (*Loop, error) {
	cores := (runtime.GOMAXPROCS(0) - 1) / 2
	l := &Loop{
		log:                log,
		policy:             policy.New(withProbeReports(settings), seed),
		startTime:          time.Now(),
		wake:               make(chan struct{}, 1),
		descriptorLimit:    int64(max(maxDescriptors-ReservedDescriptors(cores), 2)),
		servers:            map[policy.EndpointID]*upstream{},
		serversByUID:       map[string]*upstream{},
		sessions:           map[policy.SessionID]*session{},
		sessionsByClientID: map[uint64]*session{},
		peerRequestIDs:     map[uint64]struct{}{},
		idleConns:          newIdleConns(),
		initialList:        known,
		becameReady:        make(chan struct{}),
	}
	l.applySettings(settings)
	var err error
	if l.relay, err = relay.New(cores, relayHandler{l}, &l.descriptors); err != nil {
		return nil, err
	}
	for range PollerCount(cores) {
		p, err := poller.New()
		if err != nil {
			return nil, err
		}
		l.pollers = append(l.pollers, p)
	}
	l.applyList(known, true)
	if known.Complete && len(known.Endpoints) > 0 {
		l.after(freshListTimeout, l.markReady)
	}
	l.after(readyTimeout, l.markReady)
	l.after(slowReportInterval, l.reportSlowServers)
	l.after(silenceCheckInterval, l.migrateFromSilentServers)
	l.after(expireInterval, l.expireSilentClients)
	return l, nil
}

// post queues an event for the loop. It does not block.
func (l *Loop) post(e event) {
	l.mu.Lock()
	l.inbox = append(l.inbox, e)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs the event loop until done is closed.
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

// runOnce runs one iteration: it handles the queued events and the timers that are due, then executes the policy's decisions.
func (l *Loop) runOnce() {
	l.mu.Lock()
	events := l.inbox
	l.inbox = nil
	l.mu.Unlock()
	l.advanceClock()
	for _, e := range events {
		l.recoverPanics(e.panickedClient(), func() { l.handleEvent(e) })
	}
	l.runTimers()
	l.sendAnnouncements()
	for {
		decision, ok := l.policy.Next()
		if !ok {
			l.sendAnnouncements()
			l.ForgottenIDs.Store(l.policy.ForgottenRequestIDs())
			return
		}
		var c *conn
		if session := l.sessions[decision.Session]; session != nil {
			c = session.client
		}
		l.recoverPanics(c, func() { l.execute(decision) })
	}
}

// advanceClock sets the loop's and the policy's clock, and detects whether the process has stalled.
func (l *Loop) advanceClock() {
	due := l.nextWakeup()
	l.now = time.Since(l.startTime)
	l.policy.AdvanceClock(l.now)
	if late := l.now - due; late > stallThreshold {
		l.Stalls.Add(1)
		l.log.Warn("event loop stalled", zap.Duration("for", late))
		l.requestFreshList()
	}
}

// nextWakeup returns the loop time of the next iteration if no event arrives before it.
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
	c.queuedBytes.Add(-int64(e.lineBytes))
	for _, line := range e.lines {
		l.handleLine(c, line)
	}
	if e.disconnect == nil {
		return
	}
	l.stop(c.lingerTimer)
	if !c.finished {
		l.clientDisconnected(c, e.disconnect)
	}
}

// handleLine handles a line from a client that has no session or whose session is not relayed yet.
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

// execute executes a decision of the policy.
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
		l.startAttempt(session, decision)
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

// reportPanic counts and logs a recovered panic.
func (l *Loop) reportPanic(at string, what any) {
	l.Panics.Add(1)
	l.log.Error("panic", zap.String("at", at), zap.Any("what", what), zap.ByteString("stack", debug.Stack()))
}

// recoverPanics calls run and recovers from a panic in it. A panic ends c, if it is not nil, and nothing else.
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

// endAfterPanic ends a client's connection and its session after a panic.
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
	if !c.finished { // ending the connection has panicked too
		c.finished = true
		c.abort()
	}
}
