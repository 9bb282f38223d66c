// This file relays the lines of a session, runs its attempts and health checks, and ends it.

package reference

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"time"

	"sabletally/internal/protocol"
	"sabletally/policy"
)

// relayFromClient relays the client's lines to the server until the client's connection ends.
func (h *Host) relayFromClient(s *session, r *bufio.Reader) {
	for {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			h.update(func() { h.clientDisconnected(s) })
			return
		}
		h.mu.Lock()
		server := s.server
		if !s.established {
			server = nil
		} else if s.unansweredSince.IsZero() {
			s.unansweredSince = time.Now()
			time.AfterFunc(silenceTimeout, func() { h.update(func() { h.checkSilence(s) }) })
		}
		h.mu.Unlock()
		if server != nil {
			_, _ = server.Write(raw)
		}
	}
}

// checkSilence migrates a client whose server leaves a line unanswered for silenceTimeout.
func (h *Host) checkSilence(s *session) {
	switch {
	case s.ended || !s.established || s.unansweredSince.IsZero():
	case time.Since(s.unansweredSince) >= silenceTimeout && time.Since(s.answeredAt) >= silenceTimeout:
		h.migrateSession(s, policy.Reset)
	default:
		time.AfterFunc(silenceTimeout/4, func() { h.update(func() { h.checkSilence(s) }) })
	}
}

// endSession removes a session; callbacks of its attempts are ignored from then on.
func (h *Host) endSession(s *session) {
	s.ended, s.generation = true, s.generation+1
	delete(h.sessions, s.id)
}

// answer sends the final answer and ends the session; a host that AnswersTwice sends two answers at some sessions.
func (h *Host) answer(s *session, text []byte) {
	h.endSession(s)
	if h.broken == AnswersTwice && s.id%sessionsPerBreak == 0 {
		text = append(bytes.Clone(text), protocol.FailLine...)
	}
	_, _ = s.client.Write(text)
	closeGracefully(s.client)
}

// closeGracefully closes the sending side at once and the connection a second later, so that the client can read the last line.
func closeGracefully(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// closeServer cancels a dial in progress and closes the connection to the server.
func (s *session) closeServer() {
	if s.cancelDial != nil {
		s.cancelDial()
		s.cancelDial = nil
	}
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// migrateSession tells the client to migrate and ends the session; outcome is reported to the policy.
func (h *Host) migrateSession(s *session, outcome policy.Outcome) {
	id, attempt := s.id, s.attempts-1
	h.endSession(s)
	_, _ = s.client.Write(protocol.MigrateLine)
	closeGracefully(s.client)
	s.closeServer()
	h.decider.AttemptEnded(id, attempt, true, outcome)
}

// clientDisconnected ends a session whose client has disconnected.
func (h *Host) clientDisconnected(s *session) {
	if s.ended {
		_ = s.client.Close()
		return
	}
	id, attempt, hasServer := s.id, s.attempts-1, s.inAttempt || s.established
	if !s.established {
		h.decider.ClientDisconnected(id)
	}
	h.endSession(s)
	s.closeServer()
	_ = s.client.Close()
	if hasServer {
		h.decider.AttemptEnded(id, attempt, true, policy.Cancelled)
	}
}

// startAttempt starts an attempt at an endpoint, which times out after timeout. A host of kind TwoAttempts also sends a copy of the
// request to another endpoint at some sessions.
func (h *Host) startAttempt(s *session, id policy.EndpointID, timeout time.Duration) {
	s.attempts++
	s.generation++
	s.inAttempt, s.endpoint, s.attemptAt = true, id, time.Now()
	generation := s.generation
	time.AfterFunc(timeout, func() {
		h.update(func() {
			if s.generation == generation && s.inAttempt {
				h.attemptEnded(s, policy.TimedOut)
			}
		})
	})
	ctx, cancel := context.WithTimeout(context.Background(), max(h.settings.ConnectTimeout, 50*time.Millisecond))
	s.cancelDial = cancel
	go h.dial(ctx, s, generation, h.addresses[id], timeout)
	if h.broken == TwoAttempts && s.id%sessionsPerBreak == 0 {
		for other, address := range h.addresses {
			if other != id && h.states[other] == policy.Ready {
				go sendCopy(address, s.request.WithTimeout(timeout))
				break
			}
		}
	}
}

// sendCopy sends a copy of the first line to a server and ignores the answer.
func sendCopy(address string, text []byte) {
	if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
		_, _ = c.Write(text)
		time.AfterFunc(time.Second, func() { _ = c.Close() })
	}
}

// dial connects to the endpoint of an attempt, sends the request and relays the server's lines.
func (h *Host) dial(ctx context.Context, s *session, generation int, address string, timeout time.Duration) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	proceed := false
	h.update(func() {
		if proceed = s.generation == generation && s.inAttempt; !proceed {
			return
		}
		switch {
		case err != nil:
			h.attemptEnded(s, policy.ConnectFailed)
			proceed = false
		case h.states[s.endpoint] != policy.Ready: // the endpoint list has changed during the dial
			h.attemptEnded(s, policy.NeverSent)
			proceed = false
		default:
			s.server = nc
			_, _ = nc.Write(s.request.WithTimeout(timeout - time.Since(s.attemptAt)))
		}
	})
	if !proceed {
		if nc != nil {
			_ = nc.Close()
		}
		return
	}
	h.relayFromServer(s, nc)
}

// relayFromServer handles and relays the server's lines until the server's connection ends or another one replaces it.
func (h *Host) relayFromServer(s *session, nc net.Conn) {
	r := bufio.NewReaderSize(nc, protocol.MaxLineBytes)
	for {
		raw, err := r.ReadSlice('\n')
		stopReading := false
		h.mu.Lock()
		current := s.server == nc
		established := s.established
		if current && err == nil && established {
			s.answeredAt, s.unansweredSince = time.Now(), time.Time{}
			if bytes.HasPrefix(raw, protocol.MigrateLine) || bytes.HasPrefix(raw, []byte("BYE")) {
				s.migrating = true
			}
		}
		h.mu.Unlock()
		if !current {
			return
		}
		if established && err == nil {
			_, _ = s.client.Write(raw)
			continue
		}
		h.update(func() {
			if s.server != nc || s.ended {
				stopReading = true
				return
			}
			stopReading = h.handleServerLine(s, bytes.Clone(raw), err)
		})
		if stopReading {
			return
		}
	}
}

// handleServerLine handles a server's line before the session is established, or the end of its connection. It reports whether reading
// should stop.
func (h *Host) handleServerLine(s *session, raw []byte, err error) bool {
	line := protocol.Decode(raw)
	switch {
	case err != nil && s.established:
		id, attempt, outcome := s.id, s.attempts-1, policy.Reset
		if s.migrating {
			outcome = policy.Cancelled
		}
		h.endSession(s)
		s.closeServer()
		closeGracefully(s.client)
		h.decider.AttemptEnded(id, attempt, true, outcome)
	case err != nil:
		h.attemptEnded(s, policy.Reset)
	case line.Kind == protocol.KindEstablished:
		s.generation++
		s.inAttempt, s.established, s.answeredAt = false, true, time.Now()
		h.decider.AttemptEstablished(s.id, s.attempts-1, time.Since(s.attemptAt))
		if h.broken == AnswersTwice && s.id%sessionsPerBreak == 0 {
			raw = append(raw, []byte("BUSY 100\r\n")...)
		}
		_, _ = s.client.Write(raw)
		return false
	case line.Kind == protocol.KindLoad:
		h.decider.RecordLoad(s.id, s.attempts-1, line.Value)
		return false
	case line.Kind == protocol.KindRejected:
		h.attemptEnded(s, policy.Rejected)
	default:
		h.attemptEnded(s, policy.Failed)
	}
	return true
}

// attemptEnded ends the attempt of a session that is not established and reports the outcome to the policy.
func (h *Host) attemptEnded(s *session, outcome policy.Outcome) {
	s.generation++
	s.inAttempt = false
	s.closeServer()
	h.decider.AttemptEnded(s.id, s.attempts-1, false, outcome)
}

// checkHealth runs a health check of an endpoint in the background and reports its outcome and load to the policy.
func (h *Host) checkHealth(id policy.EndpointID) {
	address := h.addresses[id]
	go func() {
		outcome, report := policy.ConnectFailed, policy.NoLoadReport
		if c, err := net.DialTimeout("tcp", address, max(h.settings.ConnectTimeout, 50*time.Millisecond)); err == nil {
			_ = c.SetDeadline(time.Now().Add(healthCheckTimeout))
			request := protocol.PingLine
			if h.settings.Policy.HasLoadReports {
				request = protocol.LoadReportRequest
			}
			_, _ = c.Write(request)
			raw, err := bufio.NewReader(c).ReadBytes('\n')
			_ = c.Close()
			if line := protocol.Decode(raw); err == nil && line.Kind == protocol.KindPong {
				outcome = policy.Succeeded
				if demand, found := line.Fields["x0"]; found {
					report.Demand = demand
				}
			} else {
				outcome = policy.TimedOut
			}
		}
		h.update(func() {
			h.decider.HealthCheckEnded(id, outcome)
			h.decider.RecordLoadReport(id, report)
		})
	}()
}
