// This file runs the clients: they connect, disconnect, and connect again after a failure.

package simulation

import (
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/policy"
)

// maxConnectAttempts is the number of balancers that a client draws to find one that is alive and not draining.
const maxConnectAttempts = 5

// client is one client of the generated load, with its current session.
type client struct {
	load.Client
	session      *session      // nil while it is not connected
	failures     int           // consecutive sessions that were rejected or failed
	waitingSince time.Duration // time of its arrival or of the end of its last session; set-up times are measured from it
}

// connect lets a client open a session at a random balancer.
func (w *world) connect(c *client) {
	if w.now >= c.Until {
		return
	}
	b := w.balancers[w.rng.IntN(len(w.balancers))]
	for range maxConnectAttempts {
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
	deadline := w.Deadlines[c.Class]
	w.record(history.Event{Kind: history.RequestSent, Session: s.number, Balancer: b.index, Class: int16(c.Class), Duration: deadline})
	w.after(deadline, func() { // the client enforces its deadline itself too
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
			Timeout: deadline - 2*w.ClientDelay - time.Millisecond})
		w.runDecisions(b)
	})
}

// disconnect closes a client's connection from the client's side. The balancer learns of it after the network delay.
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
		id, attempt, state := s.id, s.attempts-1, s.state
		w.endSession(s)
		w.releaseUpstream(s)
		b.decider.AdvanceClock(w.now - b.start)
		if state != established {
			b.decider.ClientDisconnected(id)
		}
		if state == established || state == attempting {
			b.decider.AttemptEnded(id, attempt, true, policy.Cancelled)
		}
		w.runDecisions(b)
	})
}

// breakSession ends a session whose balancer has ended. The client learns of it after the network delay and connects again.
func (w *world) breakSession(s *session, ending load.Ending) {
	s.state = ended
	s.generation++
	w.after(w.ClientDelay, func() {
		if s.client.session == s {
			w.record(history.Event{Kind: history.ConnectionEnded, Session: s.number})
			w.retryLater(s.client, ending, 0)
		}
	})
}

// retryLater lets a client connect again after its backoff, which depends on how its session ended, on its number of failures and on
// the Retry-After that it was sent, 0 if none.
func (w *world) retryLater(c *client, ending load.Ending, retryAfter time.Duration) {
	if c.session != nil {
		c.waitingSince = w.now
	}
	c.session = nil
	if ending == load.Rejected || ending == load.Failed {
		c.failures++
	}
	w.after(w.Retry.Delay(ending, c.failures, retryAfter, w.rng.Float64()), func() {
		if c.session == nil {
			w.connect(c)
		}
	})
}

// finish disconnects a client for good at the end of its lifetime.
func (w *world) finish(c *client) {
	w.activeClients--
	w.disconnect(c)
}
