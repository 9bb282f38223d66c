package simulation

import (
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/policy"
)

// connectTries is how many balancers a client looks at to find one that is alive and not draining.
const connectTries = 5

// client is one client.
type client struct {
	load.Client
	session      *session
	failures     int // in a row
	waitingSince time.Duration
}

// connect has a client open a session at a random balancer.
func (w *world) connect(c *client) {
	if w.now >= c.Until {
		return
	}
	b := w.balancers[w.rng.IntN(len(w.balancers))]
	for range connectTries {
		if b.alive && !b.draining {
			break
		}
		b = w.balancers[w.rng.IntN(len(w.balancers))]
	}
	if !b.alive {
		w.retryLater(c, load.Failed, 0)
		return
	}
	w.lastSession++
	s := &session{number: w.lastSession, client: c, balancer: b}
	c.session = s
	limit := w.Deadlines[c.Class]
	w.record(history.Event{Kind: history.RequestSent, Session: s.number, Balancer: b.index, Class: int16(c.Class), Duration: limit})
	w.after(limit, func() { // the client's own deadline
		if c.session == s && s.state < established {
			w.disconnect(c)
			w.retryLater(c, load.Failed, 0)
		}
	})
	w.after(w.ClientDelay, func() {
		if c.session != s || !b.alive {
			return
		}
		b.lastID++
		s.id = b.lastID
		b.sessions[s.id] = s
		b.decider.AdvanceClock(w.now - b.start)
		b.decider.AddSession(policy.SessionRequest{ID: s.id, Key: c.Key, Group: c.Group, Tenant: c.Tenant, Class: c.Class,
			Timeout: limit - 2*w.ClientDelay - time.Millisecond})
		w.runDecisions(b)
	})
}

// disconnect ends a client's connection from its side.
func (w *world) disconnect(c *client) {
	s := c.session
	if c.session = nil; s == nil {
		return
	}
	w.record(history.Event{Kind: history.ClientClosed, Session: s.number})
	w.after(w.ClientDelay, func() {
		b := s.balancer
		if !b.alive || b.sessions[s.id] != s {
			return
		}
		id, try, stage := s.id, s.attempts-1, s.state
		w.endSession(s)
		w.releaseUpstream(s)
		b.decider.AdvanceClock(w.now - b.start)
		if stage != established {
			b.decider.ClientDisconnected(id)
		}
		if stage == established || stage == attempting {
			b.decider.AttemptEnded(id, try, true, policy.Cancelled)
		}
		w.runDecisions(b)
	})
}

// balancerLost ends a session whose balancer has ended.
func (w *world) balancerLost(s *session, how load.Ending) {
	s.state = ended
	s.generation++
	w.after(w.ClientDelay, func() {
		if s.client.session == s {
			w.record(history.Event{Kind: history.ConnectionEnded, Session: s.number})
			w.retryLater(s.client, how, 0)
		}
	})
}

// retryLater has a client connect again after its backoff.
func (w *world) retryLater(c *client, how load.Ending, advice time.Duration) {
	if c.session != nil {
		c.waitingSince = w.now
	}
	c.session = nil
	if how == load.Rejected || how == load.Failed {
		c.failures++
	}
	w.after(w.Retry.Delay(how, c.failures, advice, w.rng.Float64()), func() {
		if c.session == nil {
			w.connect(c)
		}
	})
}

// finish has a client leave for good.
func (w *world) finish(c *client) {
	w.activeClients--
	w.disconnect(c)
}
