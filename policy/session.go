package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// SessionID identifies a session.
type SessionID uint64

// SessionRequest describes a session as the host submits it.
type SessionRequest struct {
	ID      SessionID
	Key     uint64 // hash key of the client, which orders its endpoints; 0 if unknown
	Group   uint64 // sessions of one group share endpoints, 0 for none
	Tenant  int    // index into Config.Tenants
	Class   int    // index into Config.Classes
	Timeout time.Duration
	Load    float64 // usual load in microseconds of work a second, 0 if unknown
}

// Outcome is how an attempt, a session or a health check ended.
type Outcome uint8

// The outcomes. Hosts use their order in tables.
const (
	Succeeded     Outcome = iota
	Failed                // the endpoint returned an error; the request may have run
	Rejected              // the endpoint is full or draining; the request has not run
	TimedOut              // the request may have run or still be running
	ConnectFailed         // the request has not run
	Reset                 // the connection was reset; the request may have run
	Cancelled             // by the client; the request may have run
	NeverSent             // the request has not run
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

// mayHaveRun reports whether the request may have had an effect at the endpoint.
func (o Outcome) mayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NeverSent
}

// sessionState is the state of a session's newest attempt.
type sessionState uint8

const (
	stateIdle        sessionState = iota // no attempt is under way
	stateAttempting                      // an attempt is under way
	stateEstablished                     // an attempt has established the session
)

// session is one session from its arrival to its end.
type session struct {
	id          SessionID
	clientKey   uint64
	affinityKey uint64 // the group, or the client's key where there is none
	class       *Class
	classIndex  int
	tenantIndex int
	deadline    time.Duration // never once established
	load        float64

	state        sessionState
	hasAnswer    bool // the final answer has been given
	migrating    bool // a migration is planned
	attempts     int
	maxAttempts  int
	attempted    []*endpoint
	attemptedAt  time.Duration // the newest attempt
	endpoint     *endpoint     // of the newest attempt, nil before the first
	position     int           // in endpoint.sessions
	pool         *pool         // that the newest attempt was placed by
	mayHaveRunOn *endpoint     // the first endpoint at which the request may have run, nil while there is none
	mayHaveRunAt time.Duration // when that attempt began

	polledEndpoint        *endpoint     // whose load report was last waited for
	reportDeadline        time.Duration // until which a report is waited for, 0 before the first poll
	polls                 int           // load reports that were waited for
	countedInWarmupDemand bool          // counted in recentCounts.warmupDemand
}

func (s *session) isActive() bool { return s.state != stateIdle }

func (s *session) hasAttempted(e *endpoint) bool {
	return slices.Contains(s.attempted, e)
}

// AddSession takes a session, which is now owed one final answer.
func (b *Balancer) AddSession(request SessionRequest) {
	b.queue = append(b.queue, b.newSession(request))
	b.gossip.newSessions++
}

// AdoptSession takes a session that is established already. Its first attempt counts as made.
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
		deadline:    b.now + request.Timeout,
		load:        cmp.Or(request.Load, b.loadByClass[classIndex].mean, 1),
		maxAttempts: b.config.MaxAttempts,
	}
	b.sessions[s.id] = s
	return s
}

// activeSession returns a session if the attempt is its newest one and has not ended, else nil.
func (b *Balancer) activeSession(id SessionID, attempt int) *session {
	s := b.sessions[id]
	if s == nil || !s.isActive() || attempt != s.attempts-1 {
		return nil
	}
	return s
}

// assign adds a session to an endpoint; unassign takes it away.
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

// AttemptEstablished reports that an attempt, counted from 0, has established its session after a time.
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

// AttemptEnded reports the end of an attempt, or of the session that it established. If final, the client has
// its answer and no further attempt is wanted.
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
		return
	}
	b.queue = append(b.queue, s)
}

// ClientDisconnected reports that a session's client is gone, so that it is owed no answer.
func (b *Balancer) ClientDisconnected(id SessionID) {
	s := b.sessions[id]
	if s == nil {
		return
	}
	s.hasAnswer = true // an active attempt still gets its AttemptEnded; decide skips what is queued
	if !s.isActive() {
		delete(b.sessions, id)
	}
}

// isLoadValid reports whether a load is a finite number that is not negative.
func isLoadValid(load float64) bool { return load >= 0 && load < math.Inf(1) }

// RecordLoad records the present load of an established session, in microseconds of work a second.
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
