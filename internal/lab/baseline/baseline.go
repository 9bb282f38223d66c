// Package baseline has policies to compare ours with: random choice, least connections and a plain consistent
// hash, each without our departures. They keep the drains, the outer limit and the one try, as any balancer must,
// and nothing else. They must never be linked into the balancer that ships.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sabletally/policy"
)

// Decider is what a host needs of a policy; *policy.Balancer is one.
type Decider interface {
	AdvanceClock(now time.Duration)
	UpdateEndpoints(lines []policy.Endpoint, whole bool)
	AddSession(a policy.SessionRequest)
	AttemptEstablished(id policy.SessionID, try int, took time.Duration)
	AttemptEnded(id policy.SessionID, try int, finished bool, how policy.Outcome)
	ClientDisconnected(id policy.SessionID)
	RecordLoad(id policy.SessionID, try int, load float64)
	RecordLatency(server policy.EndpointID, delay time.Duration)
	HealthCheckEnded(server policy.EndpointID, how policy.Outcome)
	RecordLoadReport(server policy.EndpointID, r policy.LoadReport)
	StartDraining(from, by time.Duration)
	Next() (policy.Decision, bool)
	NextWakeup() (time.Duration, bool)
}

// Names are the policies that New knows; Ours is the module that ships.
const (
	Ours   = "ours"
	Random = "random"
	Least  = "least"
	Hash   = "hash"
)

// Names lists them.
var Names = []string{Ours, Random, Least, Hash}

// New makes a policy by its name.
func New(name string, dep *policy.Config, seed uint64) (Decider, error) {
	if name == Ours {
		return policy.New(dep, seed), nil
	}
	p := &baseline{config: dep, rng: rand.New(rand.NewPCG(seed, 0xba5e)), sessions: map[policy.SessionID]*session{},
		index: map[policy.EndpointID]int{}}
	switch name {
	case Random:
		p.score = func(*session, int) float64 { return p.rng.Float64() }
	case Least:
		p.score = func(_ *session, i int) float64 { return -float64(p.sessionCount[i]) + 0.5*p.rng.Float64() }
	case Hash:
		p.score = func(c *session, i int) float64 { return hash(c.affinityKey, uint64(p.endpoints[i])) }
	default:
		return nil, fmt.Errorf("policy %q is not known; there are %v", name, Names)
	}
	return p, nil
}

// hash is rendezvous hashing's score.
func hash(a, b uint64) float64 {
	x := (a ^ b*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return float64(x^x>>32) / math.MaxUint64
}

// session is one that waits, is out or stands.
type session struct {
	id          policy.SessionID
	affinityKey uint64
	deadline    time.Duration
	objective   time.Duration
	idempotent  bool // a try that may have run may be repeated
	attempts    int
	server      int
	inAttempt   bool
	tried       []int
	neverSent   bool // no try may have run
}

// baseline is any of the baselines: a preference over the ready servers that were not tried yet.
type baseline struct {
	config       *policy.Config
	rng          *rand.Rand
	now          time.Duration
	score        func(c *session, server int) float64
	sessions     map[policy.SessionID]*session
	queue        []*session
	endpoints    []policy.EndpointID
	index        map[policy.EndpointID]int
	ready        []bool
	sessionCount []int
	migrateAt    time.Duration
	draining     bool // new sessions are rejected, and at leaveFrom all are moved
	migrated     bool
	decisions    []policy.Decision
}

func (p *baseline) AdvanceClock(now time.Duration) { p.now = now }

func (p *baseline) UpdateEndpoints(lines []policy.Endpoint, whole bool) {
	if whole {
		clear(p.ready)
	}
	for _, l := range lines {
		i, known := p.index[l.ID]
		if !known {
			i = len(p.endpoints)
			p.index[l.ID] = i
			p.endpoints, p.ready, p.sessionCount = append(p.endpoints, l.ID), append(p.ready, false), append(p.sessionCount, 0)
		}
		p.ready[i] = l.State == policy.Ready
	}
}

func (p *baseline) AddSession(a policy.SessionRequest) {
	g := p.config.Classes[a.Class]
	c := &session{id: a.ID, affinityKey: a.Group, deadline: p.now + a.Timeout, objective: g.SetupObjective, idempotent: g.Idempotency == policy.Idempotent,
		server: -1, neverSent: true}
	if c.affinityKey == 0 {
		c.affinityKey = a.Key
	}
	p.sessions[a.ID] = c
	p.queue = append(p.queue, c)
}

func (p *baseline) AttemptEstablished(id policy.SessionID, _ int, _ time.Duration) {
	if c := p.sessions[id]; c != nil {
		c.inAttempt = false
	}
}

func (p *baseline) AttemptEnded(id policy.SessionID, _ int, finished bool, how policy.Outcome) {
	c := p.sessions[id]
	if c == nil || c.server < 0 {
		return
	}
	p.sessionCount[c.server]--
	c.server = -1
	if how != policy.Rejected && how != policy.ConnectFailed && how != policy.NeverSent {
		c.neverSent = false
	}
	if finished || !c.inAttempt {
		delete(p.sessions, id)
		return
	}
	c.inAttempt = false
	p.queue = append(p.queue, c)
}

func (p *baseline) ClientDisconnected(id policy.SessionID) {
	if c := p.sessions[id]; c != nil && c.server < 0 {
		delete(p.sessions, id)
		p.queue = slices.DeleteFunc(p.queue, func(o *session) bool { return o == c })
	}
}

func (p *baseline) RecordLoad(policy.SessionID, int, float64)             {}
func (p *baseline) RecordLatency(policy.EndpointID, time.Duration)        {}
func (p *baseline) HealthCheckEnded(policy.EndpointID, policy.Outcome)    {}
func (p *baseline) RecordLoadReport(policy.EndpointID, policy.LoadReport) {}
func (p *baseline) StartDraining(from, _ time.Duration)                   { p.draining, p.migrateAt = true, from }

// finish gives a session its final answer.
func (p *baseline) finish(c *session, do policy.Action) policy.Decision {
	delete(p.sessions, c.id)
	return policy.Decision{Action: do, Session: c.id, Duration: p.retryAfter(do)}
}

func (p *baseline) retryAfter(do policy.Action) time.Duration {
	if do != policy.Reject || !p.config.CanSendRetryAfter {
		return 0
	}
	return time.Duration((0.5 + p.rng.Float64()/2) * float64(p.config.MaxRetryAfter))
}

func (p *baseline) Next() (policy.Decision, bool) {
	for len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		if p.sessions[c.id] != c {
			continue
		}
		return p.decide(c), true
	}
	if p.draining && !p.migrated && p.now >= p.migrateAt {
		p.migrated = true
		var ids []policy.SessionID
		for id, c := range p.sessions {
			if !c.inAttempt && c.server >= 0 {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		for _, id := range ids {
			p.decisions = append(p.decisions, policy.Decision{Action: policy.Migrate, Session: id})
		}
	}
	if len(p.decisions) == 0 {
		return policy.Decision{}, false
	}
	d := p.decisions[0]
	p.decisions = p.decisions[1:]
	return d, true
}

// decide decides on a session.
func (p *baseline) decide(c *session) policy.Decision {
	best, score := -1, 0.0
	if !p.draining && c.attempts < p.config.MaxAttempts && (c.neverSent || c.idempotent) && p.now < c.deadline {
		for i, ready := range p.ready {
			if !ready || slices.Contains(c.tried, i) {
				continue
			}
			if s := p.score(c, i); best < 0 || s > score {
				best, score = i, s
			}
		}
	}
	switch {
	case best >= 0:
	case c.neverSent || c.idempotent:
		return p.finish(c, policy.Reject)
	default:
		return p.finish(c, policy.Fail)
	}
	left := c.deadline - p.now
	c.attempts++
	c.server, c.inAttempt, c.tried = best, true, append(c.tried, best)
	p.sessionCount[best]++
	return policy.Decision{Action: policy.StartAttempt, Session: c.id, Endpoint: p.endpoints[best], Duration: max(left/2, min(left, c.objective))}
}

func (p *baseline) NextWakeup() (time.Duration, bool) {
	if p.draining && !p.migrated {
		return p.migrateAt, true
	}
	return 0, false
}
