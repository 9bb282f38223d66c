// Package baseline implements policies that the shipped one is compared with: random choice, least connections and rendezvous hashing.
// They respect drains, deadlines and idempotency, as any balancer must, and do nothing else. They must never be linked into the
// balancer that ships.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sabletally/policy"
)

// Decider is the interface between a policy and its host. *policy.Balancer implements it.
type Decider interface {
	AdvanceClock(now time.Duration)
	UpdateEndpoints(endpoints []policy.Endpoint, complete bool)
	AddSession(request policy.SessionRequest)
	AttemptEstablished(id policy.SessionID, attempt int, took time.Duration)
	AttemptEnded(id policy.SessionID, attempt int, finished bool, outcome policy.Outcome)
	ClientDisconnected(id policy.SessionID)
	RecordLoad(id policy.SessionID, attempt int, load float64)
	RecordLatency(server policy.EndpointID, delay time.Duration)
	HealthCheckEnded(server policy.EndpointID, outcome policy.Outcome)
	RecordLoadReport(server policy.EndpointID, report policy.LoadReport)
	StartDraining(migrateAt, endBy time.Duration)
	Next() (policy.Decision, bool)
	NextWakeup() (time.Duration, bool)
}

// The names of the policies.
const (
	Ours           = "ours"   // the shipped policy
	Random         = "random" // a random endpoint
	LeastSessions  = "least"  // the endpoint with the fewest sessions of this balancer
	RendezvousHash = "hash"   // rendezvous hashing by group or key
)

// Names lists the names of all policies.
var Names = []string{Ours, Random, LeastSessions, RendezvousHash}

// New returns the policy with a name.
func New(name string, config *policy.Config, seed uint64) (Decider, error) {
	if name == Ours {
		return policy.New(config, seed), nil
	}
	b := &baseline{
		config:   config,
		rng:      rand.New(rand.NewPCG(seed, 0xba5e)),
		sessions: map[policy.SessionID]*session{},
		index:    map[policy.EndpointID]int{},
	}
	switch name {
	case Random:
		b.score = func(*session, int) float64 { return b.rng.Float64() }
	case LeastSessions:
		b.score = func(_ *session, server int) float64 { return -float64(b.sessionCount[server]) + 0.5*b.rng.Float64() }
	case RendezvousHash:
		b.score = func(s *session, server int) float64 {
			return rendezvousScore(s.affinityKey, uint64(b.endpoints[server]))
		}
	default:
		return nil, fmt.Errorf("policy %q is not known; there are %v", name, Names)
	}
	return b, nil
}

// rendezvousScore returns the score of a key and an endpoint in rendezvous hashing, from [0, 1].
func rendezvousScore(a, b uint64) float64 {
	x := (a ^ b*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return float64(x^x>>32) / math.MaxUint64
}

// noServer is the server index of a session without a server.
const noServer = -1

// session is a session that waits, is in an attempt or is established.
type session struct {
	id          policy.SessionID
	affinityKey uint64
	deadline    time.Duration // time, by the policy's clock, by which the set-up must be complete
	objective   time.Duration // objective of the set-up time
	idempotent  bool          // whether an attempt that may have had an effect may be retried
	attempts    int           // number of attempts so far
	server      int           // index of the current server, or noServer
	inAttempt   bool
	tried       []int // indices of the servers of all attempts
	neverSent   bool  // whether it is certain that no attempt has had an effect
}

// canRetry reports whether a further attempt is safe.
func (s *session) canRetry() bool { return s.neverSent || s.idempotent }

// baseline implements Decider: it ranks the ready servers that a session has not tried yet by a score.
type baseline struct {
	config       *policy.Config
	rng          *rand.Rand
	now          time.Duration
	score        func(s *session, server int) float64 // the server with the highest score is chosen
	sessions     map[policy.SessionID]*session
	queue        []*session                // sessions that wait for a decision
	endpoints    []policy.EndpointID       // endpoints, by server index
	index        map[policy.EndpointID]int // server indices, by endpoint
	ready        []bool                    // whether each server is ready, by server index
	sessionCount []int                     // sessions and attempts of each server, by server index
	draining     bool                      // whether new sessions are rejected, and all others migrate at migrateAt
	migrateAt    time.Duration
	migrated     bool              // whether the migrations were decided
	decisions    []policy.Decision // migrations that Next has not returned yet
}

func (b *baseline) AdvanceClock(now time.Duration) { b.now = now }

func (b *baseline) UpdateEndpoints(endpoints []policy.Endpoint, complete bool) {
	if complete {
		clear(b.ready)
	}
	for _, endpoint := range endpoints {
		i, known := b.index[endpoint.ID]
		if !known {
			i = len(b.endpoints)
			b.index[endpoint.ID] = i
			b.endpoints = append(b.endpoints, endpoint.ID)
			b.ready = append(b.ready, false)
			b.sessionCount = append(b.sessionCount, 0)
		}
		b.ready[i] = endpoint.State == policy.Ready
	}
}

func (b *baseline) AddSession(request policy.SessionRequest) {
	class := b.config.Classes[request.Class]
	s := &session{
		id:          request.ID,
		affinityKey: request.Group,
		deadline:    b.now + request.Timeout,
		objective:   class.SetupObjective,
		idempotent:  class.Idempotency == policy.Idempotent,
		server:      noServer,
		neverSent:   true,
	}
	if s.affinityKey == 0 {
		s.affinityKey = request.Key
	}
	b.sessions[request.ID] = s
	b.queue = append(b.queue, s)
}

func (b *baseline) AttemptEstablished(id policy.SessionID, _ int, _ time.Duration) {
	if s := b.sessions[id]; s != nil {
		s.inAttempt = false
	}
}

func (b *baseline) AttemptEnded(id policy.SessionID, _ int, finished bool, outcome policy.Outcome) {
	s := b.sessions[id]
	if s == nil || s.server == noServer {
		return
	}
	b.sessionCount[s.server]--
	s.server = noServer
	if outcome != policy.Rejected && outcome != policy.ConnectFailed && outcome != policy.NeverSent {
		s.neverSent = false
	}
	if finished || !s.inAttempt {
		delete(b.sessions, id)
		return
	}
	s.inAttempt = false
	b.queue = append(b.queue, s)
}

func (b *baseline) ClientDisconnected(id policy.SessionID) {
	if s := b.sessions[id]; s != nil && s.server == noServer {
		delete(b.sessions, id)
		b.queue = slices.DeleteFunc(b.queue, func(other *session) bool { return other == s })
	}
}

func (b *baseline) RecordLoad(policy.SessionID, int, float64) {}

func (b *baseline) RecordLatency(policy.EndpointID, time.Duration) {}

func (b *baseline) HealthCheckEnded(policy.EndpointID, policy.Outcome) {}

func (b *baseline) RecordLoadReport(policy.EndpointID, policy.LoadReport) {}

func (b *baseline) StartDraining(migrateAt, _ time.Duration) {
	b.draining = true
	b.migrateAt = migrateAt
}

// finish ends a session and returns the decision for its final answer.
func (b *baseline) finish(s *session, action policy.Action) policy.Decision {
	delete(b.sessions, s.id)
	return policy.Decision{Action: action, Session: s.id, Duration: b.retryAfter(action)}
}

// retryAfter returns a random Retry-After for a rejection, or 0 if none is sent.
func (b *baseline) retryAfter(action policy.Action) time.Duration {
	if action != policy.Reject || !b.config.CanSendRetryAfter {
		return 0
	}
	return time.Duration((0.5 + b.rng.Float64()/2) * float64(b.config.MaxRetryAfter))
}

func (b *baseline) Next() (policy.Decision, bool) {
	for len(b.queue) > 0 {
		s := b.queue[0]
		b.queue = b.queue[1:]
		if b.sessions[s.id] == s {
			return b.decide(s), true
		}
	}
	if b.draining && !b.migrated && b.now >= b.migrateAt {
		b.migrateAll()
	}
	if len(b.decisions) == 0 {
		return policy.Decision{}, false
	}
	decision := b.decisions[0]
	b.decisions = b.decisions[1:]
	return decision, true
}

// migrateAll decides that all established sessions migrate, in the order of their IDs.
func (b *baseline) migrateAll() {
	b.migrated = true
	var ids []policy.SessionID
	for id, s := range b.sessions {
		if !s.inAttempt && s.server != noServer {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		b.decisions = append(b.decisions, policy.Decision{Action: policy.Migrate, Session: id})
	}
}

// decide starts an attempt at the best server, or ends the session if none is possible.
func (b *baseline) decide(s *session) policy.Decision {
	server := noServer
	if !b.draining && s.attempts < b.config.MaxAttempts && s.canRetry() && b.now < s.deadline {
		server = b.bestServer(s)
	}
	switch {
	case server != noServer:
		return b.startAttempt(s, server)
	case s.canRetry():
		return b.finish(s, policy.Reject)
	default:
		return b.finish(s, policy.Fail)
	}
}

// bestServer returns the ready server with the highest score that the session has not tried, or noServer.
func (b *baseline) bestServer(s *session) int {
	best, bestScore := noServer, 0.0
	for i, ready := range b.ready {
		if !ready || slices.Contains(s.tried, i) {
			continue
		}
		if score := b.score(s, i); best == noServer || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// startAttempt returns the decision to start an attempt. Its timeout is half of the remaining time, or the set-up objective if that is
// longer, so that time remains for a further attempt.
func (b *baseline) startAttempt(s *session, server int) policy.Decision {
	s.attempts++
	s.server = server
	s.inAttempt = true
	s.tried = append(s.tried, server)
	b.sessionCount[server]++
	remaining := s.deadline - b.now
	timeout := max(remaining/2, min(remaining, s.objective))
	return policy.Decision{Action: policy.StartAttempt, Session: s.id, Endpoint: b.endpoints[server], Duration: timeout}
}

func (b *baseline) NextWakeup() (time.Duration, bool) {
	if b.draining && !b.migrated {
		return b.migrateAt, true
	}
	return 0, false
}
