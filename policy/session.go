package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// SessionID identifies a session.
type SessionID uint64

// SessionRequest describes a session that the host adds to the Balancer.
type SessionRequest struct {
	ID      SessionID
	Key     uint64        // hash key of the client, which determines the ranking of endpoints; 0 if unknown
	Group   uint64        // sessions of the same group share endpoints; 0 for no group
	Tenant  int           // index into Config.Tenants
	Class   int           // index into Config.Classes
	Timeout time.Duration // time until the deadline by which the session must be established
	Load    float64       // usual load in microseconds of work per second, 0 if unknown

	RequestID uint64 // ID that the client chose for the request
	HasID     bool   // RequestID is known, and nothing else keeps the request from running again under it
}

// Outcome tells how an attempt, a session or a health check ended.
type Outcome uint8

// The outcomes. Hosts index tables by these values, so their order must not change.
const (
	Succeeded     Outcome = iota // the session or the health check ended normally
	Failed                       // the endpoint returned an error; the request may have run
	Rejected                     // the endpoint is full or draining; the request has not run
	TimedOut                     // the timeout has passed; the request may have run or may still be running
	ConnectFailed                // the endpoint could not be reached; the request has not run
	Reset                        // the connection was reset; the request may have run
	Cancelled                    // the client cancelled; the request may have run
	NeverSent                    // the request was not sent and has not run
)

var outcomeNames = [...]string{
	Succeeded:     "succeeded",
	Failed:        "failed",
	Rejected:      "rejected",
	TimedOut:      "timed out",
	ConnectFailed: "connect failed",
	Reset:         "reset",
	Cancelled:     "cancelled",
	NeverSent:     "never sent",
}

func (o Outcome) String() string { return outcomeNames[o] }

// mayHaveRun reports whether the request may have taken effect at the endpoint.
func (o Outcome) mayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NeverSent
}

// sessionState is the state of the newest attempt of a session.
type sessionState uint8

const (
	stateIdle        sessionState = iota // no attempt is in progress
	stateAttempting                      // an attempt is in progress
	stateEstablished                     // the attempt has established the session
)

// session is the state of one session from its arrival to its end.
type session struct {
	id          SessionID
	clientKey   uint64
	affinityKey uint64 // hash key of the group, or clientKey if there is no group
	class       *Class
	classIndex  int
	tenantIndex int
	requestID   uint64
	runsOnce    bool          // later requests with requestID are refused once the request may have run
	deadline    time.Duration // time by which the session must be established; never once it is
	load        float64       // newest known or usual load, in microseconds of work per second

	state              sessionState
	hasAnswer          bool // the final answer is decided, or the client no longer waits for one
	migrationPlanned   bool
	attempts           int
	maxAttempts        int
	attemptedEndpoints []*endpoint   // endpoints of all attempts, in order
	attemptedAt        time.Duration // start of the newest attempt
	endpoint           *endpoint     // endpoint of the newest attempt, nil before the first one
	position           int           // index in endpoint.sessions
	pool               *pool         // pool that placed the newest attempt
	mayHaveRunOn       *endpoint     // first endpoint at which the request may have run, nil if there is none
	mayHaveRunAt       time.Duration // start of the attempt at mayHaveRunOn

	polledEndpoint        *endpoint     // endpoint whose load report the session last waited for
	reportDeadline        time.Duration // end of the wait for the load report of polledEndpoint, reset to 0 by the next decision
	polls                 int           // number of load reports that the session has waited for
	countedInWarmupDemand bool          // the session is counted in recentCounts.warmupDemand
}

// isActive reports whether the session is established or has an attempt in progress.
func (s *session) isActive() bool { return s.state != stateIdle }

func (s *session) hasAttempted(e *endpoint) bool {
	return slices.Contains(s.attemptedEndpoints, e)
}

// AddSession adds a new session, which will get exactly one final answer.
func (b *Balancer) AddSession(request SessionRequest) {
	b.queue = append(b.queue, b.newSession(request))
	b.gossip.newSessions++
}

// AdoptSession adds a session that is already established at an endpoint. Its first attempt counts as made.
func (b *Balancer) AdoptSession(request SessionRequest, id EndpointID) {
	s := b.newSession(request)
	s.deadline = never
	s.attempts = 1
	s.state = stateEstablished
	b.assign(s, b.endpointFor(id))
}

func (b *Balancer) newSession(request SessionRequest) *session {
	classIndex := min(request.Class, len(b.config.Classes)-1)
	s := &session{
		id:          request.ID,
		clientKey:   cmp.Or(request.Key, uint64(request.ID)),
		affinityKey: cmp.Or(request.Group, request.Key, uint64(request.ID)),
		class:       &b.config.Classes[classIndex],
		classIndex:  classIndex,
		tenantIndex: min(request.Tenant, len(b.config.Tenants)),
		requestID:   request.RequestID,
		runsOnce:    b.MustRunOnce(request),
		deadline:    b.now + request.Timeout,
		load:        cmp.Or(request.Load, b.loadByClass[classIndex].mean, 1),
		maxAttempts: b.config.MaxAttempts,
	}
	b.sessions[s.id] = s
	return s
}

// activeSession returns the session if the given attempt is its newest one and has not ended, or nil.
func (b *Balancer) activeSession(id SessionID, attempt int) *session {
	s := b.sessions[id]
	if s == nil || !s.isActive() || attempt != s.attempts-1 {
		return nil
	}
	return s
}

// assign adds a session to an endpoint and to the counts of active sessions.
func (b *Balancer) assign(s *session, e *endpoint) {
	s.endpoint = e
	s.position = len(e.sessions)
	s.pool = b.newestPool()
	s.pool.sessions++
	e.sessions = append(e.sessions, s)
	e.load += s.load
	b.activeSessions++
	b.activeByGroup[s.affinityKey]++
	b.activeByTenant[s.tenantIndex]++
}

// unassign removes a session from its endpoint and from the counts of active sessions.
func (b *Balancer) unassign(s *session) {
	e := s.endpoint
	last := e.sessions[len(e.sessions)-1]
	e.sessions[s.position] = last
	last.position = s.position
	e.sessions[len(e.sessions)-1] = nil
	e.sessions = e.sessions[:len(e.sessions)-1]
	e.load = max(0, e.load-s.load)
	b.activeSessions--
	b.activeByTenant[s.tenantIndex]--
	b.activeByGroup[s.affinityKey]--
	if b.activeByGroup[s.affinityKey] == 0 {
		delete(b.activeByGroup, s.affinityKey)
	}
	s.pool.sessions--
	if s.pool.sessions == 0 && s.pool != b.newestPool() {
		b.dropPools()
	}
}

// AttemptEstablished records that an attempt, counted from 0, has established its session, and how long the
// setup took.
func (b *Balancer) AttemptEstablished(id SessionID, attempt int, setupTime time.Duration) {
	s := b.activeSession(id, attempt)
	if s == nil || s.state != stateAttempting {
		return
	}
	b.pendingAttempts--
	s.state = stateEstablished
	s.deadline = never
	s.endpoint.failures *= establishedFailureFactor
	b.recordEstablished(s.class, setupTime)
}

// AttemptEnded records the end of an attempt, or of the session that it established. If final is set, the client
// has its answer and no further attempt is needed.
func (b *Balancer) AttemptEnded(id SessionID, attempt int, final bool, outcome Outcome) {
	s := b.activeSession(id, attempt)
	if s == nil {
		return
	}
	b.recordOutcome(s, outcome)
	wasEstablished := s.state == stateEstablished
	if !wasEstablished {
		b.pendingAttempts--
		b.recordAttemptFailure(outcome)
	}
	b.unassign(s)
	s.state = stateIdle
	if outcome.mayHaveRun() && s.mayHaveRunOn == nil {
		s.mayHaveRunOn = s.endpoint
		s.mayHaveRunAt = s.attemptedAt
	}
	if final || wasEstablished || s.hasAnswer || outcome == Succeeded {
		s.hasAnswer = true
		delete(b.sessions, id)
		b.recordRequestID(s)
		return
	}
	b.queue = append(b.queue, s)
}

// ClientDisconnected records that the client of a session has disconnected, so that it gets no answer.
func (b *Balancer) ClientDisconnected(id SessionID) {
	s := b.sessions[id]
	if s == nil {
		return
	}
	s.hasAnswer = true // a pending attempt still gets its AttemptEnded; decideSession ignores a queued session
	if !s.isActive() {
		delete(b.sessions, id)
		b.recordRequestID(s)
	}
}

// isLoadValid reports whether a load is finite and not negative.
func isLoadValid(load float64) bool { return load >= 0 && load < math.Inf(1) }

// RecordLoad records the current load of an established session, in microseconds of work per second.
func (b *Balancer) RecordLoad(id SessionID, attempt int, load float64) {
	s := b.activeSession(id, attempt)
	if s == nil || !isLoadValid(load) {
		return
	}
	s.endpoint.load = max(0, s.endpoint.load+load-s.load)
	s.load = load
	b.sessionLoad.add(load)
	b.loadByClass[s.classIndex].add(load)
}
