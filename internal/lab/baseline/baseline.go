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
	p := &simple{dep: dep, rng: rand.New(rand.NewPCG(seed, 0xba5e)), sessions: map[policy.SessionID]*session{},
		index: map[policy.EndpointID]int{}}
	switch name {
	case Random:
		p.prefer = func(*session, int) float64 { return p.rng.Float64() }
	case Least:
		p.prefer = func(_ *session, i int) float64 { return -float64(p.held[i]) + 0.5*p.rng.Float64() }
	case Hash:
		p.prefer = func(c *session, i int) float64 { return hash(c.place, uint64(p.id[i])) }
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
	id       policy.SessionID
	place    uint64
	until    time.Duration
	goal     time.Duration
	repeat   bool // a try that may have run may be repeated
	attempts int
	server   int
	out      bool
	tried    []int
	nothing  bool // no try may have run
}

// simple is any of the baselines: a preference over the ready servers that were not tried yet.
type simple struct {
	dep       *policy.Config
	rng       *rand.Rand
	now       time.Duration
	prefer    func(c *session, server int) float64
	sessions  map[policy.SessionID]*session
	queue     []*session
	id        []policy.EndpointID
	index     map[policy.EndpointID]int
	ready     []bool
	held      []int
	leaveFrom time.Duration
	draining  bool // new sessions are rejected, and at leaveFrom all are moved
	moved     bool
	due       []policy.Decision
}

func (p *simple) AdvanceClock(now time.Duration) { p.now = now }

func (p *simple) UpdateEndpoints(lines []policy.Endpoint, whole bool) {
	if whole {
		clear(p.ready)
	}
	for _, l := range lines {
		i, known := p.index[l.ID]
		if !known {
			i = len(p.id)
			p.index[l.ID] = i
			p.id, p.ready, p.held = append(p.id, l.ID), append(p.ready, false), append(p.held, 0)
		}
		p.ready[i] = l.State == policy.Ready
	}
}

func (p *simple) AddSession(a policy.SessionRequest) {
	g := p.dep.Classes[a.Class]
	c := &session{id: a.ID, place: a.Group, until: p.now + a.Timeout, goal: g.SetupObjective, repeat: g.Idempotency == policy.Idempotent,
		server: -1, nothing: true}
	if c.place == 0 {
		c.place = a.Key
	}
	p.sessions[a.ID] = c
	p.queue = append(p.queue, c)
}

func (p *simple) AttemptEstablished(id policy.SessionID, _ int, _ time.Duration) {
	if c := p.sessions[id]; c != nil {
		c.out = false
	}
}

func (p *simple) AttemptEnded(id policy.SessionID, _ int, finished bool, how policy.Outcome) {
	c := p.sessions[id]
	if c == nil || c.server < 0 {
		return
	}
	p.held[c.server]--
	c.server = -1
	if how != policy.Rejected && how != policy.ConnectFailed && how != policy.NeverSent {
		c.nothing = false
	}
	if finished || !c.out {
		delete(p.sessions, id)
		return
	}
	c.out = false
	p.queue = append(p.queue, c)
}

func (p *simple) ClientDisconnected(id policy.SessionID) {
	if c := p.sessions[id]; c != nil && c.server < 0 {
		delete(p.sessions, id)
		p.queue = slices.DeleteFunc(p.queue, func(o *session) bool { return o == c })
	}
}

func (p *simple) RecordLoad(policy.SessionID, int, float64)             {}
func (p *simple) RecordLatency(policy.EndpointID, time.Duration)        {}
func (p *simple) HealthCheckEnded(policy.EndpointID, policy.Outcome)    {}
func (p *simple) RecordLoadReport(policy.EndpointID, policy.LoadReport) {}
func (p *simple) StartDraining(from, _ time.Duration)                   { p.draining, p.leaveFrom = true, from }

// answer gives a session its final answer.
func (p *simple) answer(c *session, do policy.Action) policy.Decision {
	delete(p.sessions, c.id)
	return policy.Decision{Action: do, Session: c.id, Duration: p.retryAfter(do)}
}

func (p *simple) retryAfter(do policy.Action) time.Duration {
	if do != policy.Reject || !p.dep.CanSendRetryAfter {
		return 0
	}
	return time.Duration((0.5 + p.rng.Float64()/2) * float64(p.dep.MaxRetryAfter))
}

func (p *simple) Next() (policy.Decision, bool) {
	for len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		if p.sessions[c.id] != c {
			continue
		}
		return p.decide(c), true
	}
	if p.draining && !p.moved && p.now >= p.leaveFrom {
		p.moved = true
		var ids []policy.SessionID
		for id, c := range p.sessions {
			if !c.out && c.server >= 0 {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		for _, id := range ids {
			p.due = append(p.due, policy.Decision{Action: policy.Migrate, Session: id})
		}
	}
	if len(p.due) == 0 {
		return policy.Decision{}, false
	}
	d := p.due[0]
	p.due = p.due[1:]
	return d, true
}

// decide decides on a session.
func (p *simple) decide(c *session) policy.Decision {
	best, score := -1, 0.0
	if !p.draining && c.attempts < p.dep.MaxAttempts && (c.nothing || c.repeat) && p.now < c.until {
		for i, ready := range p.ready {
			if !ready || slices.Contains(c.tried, i) {
				continue
			}
			if s := p.prefer(c, i); best < 0 || s > score {
				best, score = i, s
			}
		}
	}
	switch {
	case best >= 0:
	case c.nothing || c.repeat:
		return p.answer(c, policy.Reject)
	default:
		return p.answer(c, policy.Fail)
	}
	left := c.until - p.now
	c.attempts++
	c.server, c.out, c.tried = best, true, append(c.tried, best)
	p.held[best]++
	return policy.Decision{Action: policy.StartAttempt, Session: c.id, Endpoint: p.id[best], Duration: max(left/2, min(left, c.goal))}
}

func (p *simple) NextWakeup() (time.Duration, bool) {
	if p.draining && !p.moved {
		return p.leaveFrom, true
	}
	return 0, false
}
