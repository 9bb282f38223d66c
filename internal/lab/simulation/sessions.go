package simulation

import (
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/model"
	"sabletally/policy"
)

// sessionState is how far a session has come.
type sessionState uint8

const (
	awaitingAttempt sessionState = iota // no answer yet, no attempt out
	attempting                          // an attempt is out
	established
	ended
)

// String names a state.
func (s sessionState) String() string {
	return [...]string{"awaiting attempt", "attempting", "established", "ended"}[s]
}

// session is one client connection at a balancer.
type session struct {
	number     uint64 // unique in the run
	id         policy.SessionID
	client     *client
	balancer   *balancer
	server     *server          // of the newest attempt
	upstream   *upstreamSession // at that server, once the attempt has arrived there
	state      sessionState
	attempts   int
	generation int           // changes with each attempt and state, so that late events are told apart
	attemptAt  time.Duration // when the newest attempt was decided
}

// isAttempting reports whether the attempt of a generation is still out at a balancer that is alive.
func (s *session) isAttempting(generation int) bool {
	return s.generation == generation && s.balancer.alive && s.state == attempting
}

// upstreamSession is a server's side of an attempt, from its arrival until the server sees its end.
type upstreamSession struct {
	session *session
	server  *server
	slot    int // in server.sessions, -1 once it has ended there
	served  bool
}

// reject gives a session a final answer other than success.
func (w *world) reject(s *session, text string, how load.Ending, advice time.Duration) {
	w.endSession(s)
	w.after(w.ClientDelay, func() {
		if s.client.session != s {
			return
		}
		w.record(history.Event{Kind: history.AnswerReceived, Session: s.number, Balancer: s.balancer.index, Text: text})
		w.retryLater(s.client, how, advice)
	})
}

func (w *world) endSession(s *session) {
	s.state = ended
	s.generation++
	delete(s.balancer.sessions, s.id)
}

// releaseUpstream has a session's server see its end, if a server holds it.
func (w *world) releaseUpstream(s *session) {
	up := s.upstream
	if s.upstream = nil; up == nil || up.slot < 0 {
		return
	}
	w.stopServing(up)
	w.after(w.networkDelay(s.balancer, up.server), func() {
		if up.slot >= 0 {
			w.removeUpstream(up)
			w.record(history.Event{Kind: history.AttemptEnded, Session: s.number, Server: int32(up.server.index), Text: "peer"})
		}
	})
}

// moveSession has a client move to another balancer or server.
func (w *world) moveSession(s *session, how policy.Outcome) {
	w.meter.Migrate(w.now)
	id, attempt, b := s.id, s.attempts-1, s.balancer
	w.endSession(s)
	w.releaseUpstream(s)
	w.after(w.ClientDelay, func() {
		if s.client.session == s {
			w.record(history.Event{Kind: history.MigrateReceived, Session: s.number})
			w.record(history.Event{Kind: history.ConnectionEnded, Session: s.number})
			w.retryLater(s.client, load.Moved, 0)
		}
	})
	b.decider.AdvanceClock(w.now - b.start)
	b.decider.AttemptEnded(id, attempt, true, how)
	w.runDecisions(b)
}

// startAttempt dials a server; no server holds the attempt until its line has arrived.
func (w *world) startAttempt(s *session, srv *server, within time.Duration) {
	w.meter.Attempt()
	s.attempts++
	s.generation++
	s.state, s.attemptAt, s.server, s.upstream = attempting, w.now, srv, nil
	generation, b := s.generation, s.balancer
	w.after(within, func() {
		if s.isAttempting(generation) {
			w.endAttempt(s, policy.TimedOut)
		}
	})
	way := w.networkDelay(b, srv)
	switch {
	case srv.silent:
		w.after(w.ConnectTimeout, func() {
			if s.isAttempting(generation) {
				w.endAttempt(s, policy.ConnectFailed)
			}
		})
		return
	case srv.down:
		w.after(2*way, func() {
			if s.isAttempting(generation) {
				w.endAttempt(s, policy.ConnectFailed)
			}
		})
		return
	}
	w.after(2*way, func() { // the connection is up
		if !s.isAttempting(generation) {
			return
		}
		if b.endpoints[srv.index].State != policy.Ready { // the list has changed during the dial
			w.endAttempt(s, policy.NeverSent)
			return
		}
		w.after(way, func() {
			if s.isAttempting(generation) {
				w.receiveAttempt(s, srv)
			}
		})
	})
}

// receiveAttempt has a server read and answer a first line.
func (w *world) receiveAttempt(s *session, srv *server) {
	if srv.down {
		w.answerAttempt(s, srv, 0, policy.Reset)
		return
	}
	if srv.silent {
		return
	}
	w.record(history.Event{Kind: history.AttemptReceived, Session: s.number, Server: int32(srv.index), Balancer: s.balancer.index, Class: int16(s.client.Class)})
	answer, took := srv.Admit(w.now, s.client.Load, s.client.Group, w.rng.Float64())
	switch answer {
	case model.Overloaded:
		if !srv.down {
			srv.down = true
			w.record(history.Event{Kind: history.ServerOverloaded, Session: s.number, Server: int32(srv.index)})
			w.endSessions(srv)
		}
		w.recordAttemptEnd(s, srv, "server")
		w.answerAttempt(s, srv, 0, policy.Reset)
	case model.Busy:
		w.recordAttemptEnd(s, srv, "refused")
		w.answerAttempt(s, srv, 0, policy.Rejected)
	case model.Err:
		w.recordAttemptEnd(s, srv, "failed")
		w.answerAttempt(s, srv, srv.Type.Setup, policy.Failed)
	default:
		w.runAttempt(s, srv, took)
	}
}

// runAttempt has a server set a session up, which takes a time and a call to the store.
func (w *world) runAttempt(s *session, srv *server, took time.Duration) {
	up := w.addUpstream(s, srv)
	generation := s.generation
	storeTook, stored := w.Store.Call(w.now)
	receipt := float64(s.number)
	w.after(took+storeTook, func() {
		if up.slot < 0 || srv.silent {
			return
		}
		if !stored {
			w.removeUpstream(up)
			w.recordAttemptEnd(s, srv, "failed")
			w.answerAttemptOf(s, srv, generation, 0, policy.Failed)
			return
		}
		w.record(history.Event{Kind: history.EffectApplied, Session: s.number, Server: int32(srv.index), Number: receipt})
		w.after(w.networkDelay(s.balancer, srv), func() {
			if s.isAttempting(generation) {
				w.establish(s, receipt)
			}
		})
	})
}

// addUpstream enters an attempt in its server's table.
func (w *world) addUpstream(s *session, srv *server) *upstreamSession {
	up := &upstreamSession{session: s, server: srv, slot: len(srv.sessions)}
	s.upstream = up
	srv.sessions = append(srv.sessions, up)
	srv.holders[s.balancer.index]++
	if group := s.client.Group; group > 0 {
		if w.groupSessions[group] == nil {
			w.groupSessions[group] = map[int]int{}
		}
		w.groupSessions[group][srv.index]++
	}
	return up
}

// answerAttempt brings a server's answer to the balancer if the session's newest attempt is still out then.
func (w *world) answerAttempt(s *session, srv *server, delay time.Duration, outcome policy.Outcome) {
	w.answerAttemptOf(s, srv, s.generation, delay, outcome)
}

// answerAttemptOf is answerAttempt for the attempt of a generation.
func (w *world) answerAttemptOf(s *session, srv *server, generation int, delay time.Duration, outcome policy.Outcome) {
	w.after(delay+w.networkDelay(s.balancer, srv), func() {
		if s.isAttempting(generation) {
			w.endAttempt(s, outcome)
		}
	})
}

func (w *world) recordAttemptEnd(s *session, srv *server, by string) {
	w.record(history.Event{Kind: history.AttemptEnded, Session: s.number, Server: int32(srv.index), Text: by})
}

// establish tells the balancer and the client that the session is set up.
func (w *world) establish(s *session, receipt float64) {
	b := s.balancer
	s.generation++
	s.state = established
	generation := s.generation
	b.decider.AdvanceClock(w.now - b.start)
	b.decider.AttemptEstablished(s.id, s.attempts-1, w.now-s.attemptAt)
	b.decider.RecordLoad(s.id, s.attempts-1, w.reportedLoad(s))
	w.after(w.ClientDelay, func() {
		if s.client.session != s {
			return
		}
		w.record(history.Event{Kind: history.AnswerReceived, Session: s.number, Balancer: b.index, Text: "up", Number: receipt})
		w.meter.Setup(w.now, w.now-s.client.waitingSince)
		s.client.failures = 0
		if up := s.upstream; s.generation == generation && up != nil && up.slot >= 0 {
			up.served = true
			up.server.served++
			w.meter.Open(1)
		}
	})
	w.runDecisions(b)
}

// reportedLoad is a session's load as servers report it: microseconds of work a second.
func (w *world) reportedLoad(s *session) float64 {
	return s.client.Load * 1e6 / float64(s.server.Type.SessionsPerCore)
}

// endAttempt ends an attempt, or the session that it established.
func (w *world) endAttempt(s *session, how policy.Outcome) {
	b, id, attempt, wasEstablished := s.balancer, s.id, s.attempts-1, s.state == established
	w.releaseUpstream(s)
	b.decider.AdvanceClock(w.now - b.start)
	if wasEstablished {
		w.endSession(s)
		movedByServer := how == policy.Cancelled
		w.after(w.ClientDelay, func() {
			if s.client.session != s {
				return
			}
			if movedByServer {
				w.record(history.Event{Kind: history.MigrateReceived, Session: s.number})
			}
			w.record(history.Event{Kind: history.ConnectionEnded, Session: s.number})
			if movedByServer {
				w.retryLater(s.client, load.Moved, 0)
			} else {
				w.retryLater(s.client, load.Broken, 0)
			}
		})
	} else {
		s.generation++
		s.state = awaitingAttempt
	}
	b.decider.AttemptEnded(id, attempt, wasEstablished, how)
	w.runDecisions(b)
}

// checkHealth probes a server and reports the outcome and its load.
func (w *world) checkHealth(b *balancer, srv *server) {
	w.meter.HealthCheck()
	way := w.networkDelay(b, srv)
	tell := func(how policy.Outcome, r policy.LoadReport) {
		if b.alive {
			b.decider.AdvanceClock(w.now - b.start)
			b.decider.HealthCheckEnded(srv.id, how)
			b.decider.RecordLoadReport(srv.id, r)
			w.runDecisions(b)
		}
	}
	switch {
	case srv.silent:
		w.after(w.ConnectTimeout, func() { tell(policy.ConnectFailed, policy.NoLoadReport) })
	case srv.down:
		w.after(2*way, func() { tell(policy.ConnectFailed, policy.NoLoadReport) })
	default:
		w.after(3*way, func() {
			srv.Advance(w.now)
			r := policy.NoLoadReport
			if w.Deployment.HasLoadReports {
				r.Demand, r.Backlog = srv.Utilization(w.now)*(0.95+0.1*w.rng.Float64()), srv.Backlog().Seconds()
			}
			w.after(way, func() { tell(policy.Succeeded, r) })
		})
	}
}
