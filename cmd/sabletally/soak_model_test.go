package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds that the balancer's rules give, and a slack of 50 ms for the sockets of the test.
const (
	soakSlack                = 50 * time.Millisecond
	maxLineDelay             = time.Second
	maxEndDelay              = time.Second
	maxSilence               = 7 * time.Second
	maxAttemptAfterClientEnd = 100 * time.Millisecond // from a client's end until the last attempt for it may start
	soakDrainGrace           = 750 * time.Millisecond
	soakDeadline             = 1800 * time.Millisecond
	soakKillDelay            = soakDeadline + 700*time.Millisecond // time from SIGTERM to SIGKILL
	soakAcceptAfterTerm      = 300 * time.Millisecond              // time after SIGTERM in which clients still connect to the balancer
)

// connEnd is how a connection ended, as seen or caused by one of its peers.
type connEnd uint8

const (
	endNone connEnd = iota
	endOrderly
	endReset
)

func (e connEnd) String() string { return [...]string{"no end", "an orderly end", "a reset"}[e] }

// soakTimeLayout formats times as the balancers' logs do.
const soakTimeLayout = "15:04:05.000"

// timedLine is a line and the time at which it was written or read. For a slow reader, readingSince is when its last pause ended; it is the
// zero time otherwise.
type timedLine struct {
	text         string
	at           time.Time
	readingSince time.Time
}

// soakAttempt is one connection of a balancer to a server over which a session request arrived.
type soakAttempt struct {
	conn      net.Conn
	server    string
	startedAt time.Time
	pause     time.Duration // length of the server's pauses in reading, 0 for none
	answer    string
	written   []timedLine // lines of the server after its answer
	// endArrived is set when the server finds that its kernel has received the balancer's end, which it may not have read yet.
	// writtenBeforeEnd is the number of lines that it had written by then.
	endArrived       bool
	endArrivedAt     time.Time
	writtenBeforeEnd int
	received         []string
	tcp              string  // retransmissions that the server's kernel reported before the server ended the connection
	sentEnd          connEnd // how the server ended the connection
	sentEndAt        time.Time
	receivedEnd      connEnd // how the server saw the balancer end the connection
	receivedEndAt    time.Time
}

// soakSession records everything that the client and the servers of a session did and saw.
type soakSession struct {
	id            uint64
	class         string
	node          string
	nonIdempotent bool
	pause         time.Duration // length of the client's pauses in reading, 0 for none
	linkDelay     time.Duration // allowance for the delay of the link between client and balancer, 0 without a link

	mu            sync.Mutex
	openedAt      time.Time
	answer        string
	answeredAt    time.Time
	attempts      []*soakAttempt
	written       []timedLine // lines that the client wrote
	received      []timedLine // lines that the client received, without the answer and MOVE
	migratedAt    time.Time
	sentEnd       connEnd // how the client ended the connection
	sentEndAt     time.Time
	receivedEnd   connEnd // how the client saw the balancer end the connection
	receivedEndAt time.Time
	// writeWasReset is set if a write of the client met a reset; reads get EOF after that.
	writeWasReset   bool
	connectedAtKill bool      // the session was neither ended nor migrated when its balancer was killed
	killedAt        time.Time // when the balancer was killed, the zero time if the client was not connected then
}

// model records the sessions of a soak and checks them against the balancer's rules.
type model struct {
	mu         sync.Mutex
	sessions   map[uint64]*soakSession
	draining   map[string]time.Time // by server, the time since which it is listed as draining
	violations []string
	stalls     []stall
	// balancerStalls are the periods in which a balancer's thread waited for a processor.
	balancerStalls []stall
	delays         []boundedDelay // checked at the end, when all stalls are known
}

// boundedDelay is the delay between two events of a session and the longest that the rules allow.
type boundedDelay struct {
	session  *soakSession
	from, to time.Time
	bound    time.Duration
	what     string
}

func newModel() *model {
	return &model{sessions: map[uint64]*soakSession{}, draining: map[string]time.Time{}}
}

// checkDelayLater stores a delay for checkDelays, as a check needs to know all stalls.
func (m *model) checkDelayLater(delay boundedDelay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delays = append(m.delays, delay)
}

func (m *model) checkDelays() {
	for _, d := range m.delays {
		if m.isLate(d.from, d.to, d.bound) {
			m.addViolation(d.session, "%s after %v", d.what, d.to.Sub(d.from))
		}
	}
}

func (m *model) addViolation(s *soakSession, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf("session %x of %s at %s (over a link: %t): ", s.id, s.class, s.node, s.linkDelay > 0)+fmt.Sprintf(format, args...))
}

func (m *model) addSession(s *soakSession) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s.id] = s
}

func (m *model) findSession(id uint64) *soakSession {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[id]
}

// setReady records that a server is listed as ready again, or as draining from now on.
func (m *model) setReady(server string, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ready {
		delete(m.draining, server)
	} else {
		m.draining[server] = time.Now()
	}
}

func (m *model) drainingSince(server string) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, is := m.draining[server]
	return at, is
}

// attemptStarted records an attempt and checks that the session's earlier attempts and its client's end allowed it.
func (m *model) attemptStarted(s *soakSession, a *soakAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, before := range s.attempts {
		if before.isInProgress() {
			m.addViolation(s, "an attempt at %s while the one at %s is in progress", a.server, before.server)
		}
		if s.nonIdempotent && !strings.HasPrefix(before.answer, "BUSY") {
			m.addViolation(s, "a second non-idempotent attempt at %s, after %q of %s", a.server, before.answer, before.server)
		}
	}
	if s.sentEnd != endNone {
		m.checkDelayLater(boundedDelay{s, s.sentEndAt, a.startedAt, maxAttemptAfterClientEnd + s.linkDelay, "its client ended the session, an attempt started"})
	}
	if at, gone := m.drainingSince(a.server); gone {
		m.checkDelayLater(boundedDelay{s, at, a.startedAt, soakDrainGrace, a.server + " was listed as draining, the session was sent there"})
	}
	s.attempts = append(s.attempts, a)
}

// isInProgress reports whether neither side has ended the attempt's connection.
func (a *soakAttempt) isInProgress() bool {
	ended, err := isEndedByPeer(a.conn)
	return a.sentEnd == endNone && !ended && err == nil // an error means that the server has closed its connection
}

// check checks all sessions after they have ended, and returns the violations of the whole run.
func (m *model) check() []string {
	m.mu.Lock()
	sessions := make([]*soakSession, 0, len(m.sessions))
	for _, s := range m.sessions {
		sessions = append(sessions, s)
	}
	m.mu.Unlock()
	m.checkDelays()
	slices.SortFunc(sessions, func(a, b *soakSession) int { return a.openedAt.Compare(b.openedAt) })
	for _, s := range sessions {
		m.checkAnswer(s)
		if a := s.establishedAttempt(); a != nil {
			m.checkLinesToClient(s, a)
			m.checkLinesToServer(s, a)
			m.checkEnds(s, a)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.violations
}

// establishedAttempt returns the attempt whose success answer the client received, nil if there is none.
func (s *soakSession) establishedAttempt() *soakAttempt {
	for _, a := range s.attempts {
		if a.answer != "" && a.answer == s.answer && strings.HasPrefix(a.answer, "UP ") {
			return a
		}
	}
	return nil
}

// checkAnswer checks that the client got an answer in time, and that a success came from a server.
func (m *model) checkAnswer(s *soakSession) {
	switch {
	case s.sentEnd != endNone && s.answer == "":
	case s.answer == "":
		m.addViolation(s, "no answer, %v after %v, connected when its balancer was killed: %t", s.receivedEnd, s.receivedEndAt.Sub(s.openedAt), s.connectedAtKill)
	case m.isLate(s.openedAt, s.answeredAt, soakDeadline+s.linkDelay):
		m.addViolation(s, "answered %q after %v", s.answer, s.answeredAt.Sub(s.openedAt))
	case strings.HasPrefix(s.answer, "UP ") && s.establishedAttempt() == nil:
		m.addViolation(s, "answered %q, which no server sent", s.answer)
	}
}

// checkLinesToClient checks that the client received each line of its server once, in order and in time.
func (m *model) checkLinesToClient(s *soakSession, a *soakAttempt) {
	for i, line := range s.received {
		if i >= len(a.written) || a.written[i].text != line.text {
			m.addViolation(s, "its client got %.40q as line %d, which %s did not write there", line.text, i, a.server)
			return
		}
		writtenAt, from := a.written[i].at, a.written[i].at
		if line.readingSince.After(from) {
			from = line.readingSince
		}
		if m.isLate(from, line.at, maxLineDelay+s.linkDelay) {
			m.addViolation(s, "line %d of %d of %s, written at %v, took %v; the session began at %v, its server sent %v at %v, %s", i, len(a.written),
				a.server, writtenAt.Format(soakTimeLayout), line.at.Sub(from), s.openedAt.Format(soakTimeLayout), a.sentEnd, a.sentEndAt.Format(soakTimeLayout), a.tcp)
		}
	}
	expected := len(a.written)
	// A server that pauses or was stalled may have gone on writing long after the balancer's end, which it had not read yet.
	if a.endArrived && (a.pause > 0 || m.wasStalledBefore(a.endArrivedAt)) {
		expected = a.writtenBeforeEnd
	}
	if s.sentEnd != endReset && len(s.received) < expected {
		m.addViolation(s, "%d of %d lines of %s lost; the server saw %v and sent %v, the client saw %v %v after its own end, migrated: %t, killed %v after that end",
			expected-len(s.received), expected, a.server, a.receivedEnd, a.sentEnd, s.receivedEnd, s.receivedEndAt.Sub(s.sentEndAt), !s.migratedAt.IsZero(), s.killedAt.Sub(s.sentEndAt))
	}
}

// checkLinesToServer checks that the server received the client's lines in order, and all of them if the client ended the session.
func (m *model) checkLinesToServer(s *soakSession, a *soakAttempt) {
	for i, line := range a.received {
		if i >= len(s.written) || s.written[i].text != line {
			m.addViolation(s, "%s got %.40q as line %d, which the client did not write there", a.server, line, i)
			return
		}
	}
	serverStayed := a.sentEnd == endNone || a.sentEndAt.Sub(s.sentEndAt) > maxLineDelay
	mayHaveMigrated := !s.migratedAt.IsZero() || s.sentEnd == endReset && a.receivedEnd == endOrderly // after its own reset the client can't read MOVE
	if s.sentEnd != endNone && !mayHaveMigrated && serverStayed && len(a.received) < len(s.written) {
		m.addViolation(s, "%d of %d lines of its client lost before its end; %s saw %v", len(s.written)-len(a.received), len(s.written), a.server, a.receivedEnd)
	}
}

// checkEnds checks that an end by one side reached the other in time, and that no session ended without one or MOVE.
func (m *model) checkEnds(s *soakSession, a *soakAttempt) {
	if s.writeWasReset {
		s.receivedEnd = endReset
	}
	switch {
	case s.sentEnd != endNone && a.sentEnd == endNone:
		if a.receivedEnd == endNone || a.pause == 0 && m.isLate(s.sentEndAt, a.receivedEndAt, maxEndDelay+s.linkDelay) {
			m.addViolation(s, "its client sent %v, %s saw %v after %v", s.sentEnd, a.server, a.receivedEnd, a.receivedEndAt.Sub(s.sentEndAt))
		}
	case s.sentEnd != endNone:
	case !s.migratedAt.IsZero():
	case a.sentEnd == endNone:
		m.addViolation(s, "ended by %v without MOVE while %s still served it, connected when its balancer was killed: %t", s.receivedEnd, a.server, s.connectedAtKill)
	case s.pause == 0 && m.isLate(a.sentEndAt, s.receivedEndAt, maxEndDelay+s.linkDelay):
		m.addViolation(s, "%s sent %v, its client saw %v after %v", a.server, a.sentEnd, s.receivedEnd, s.receivedEndAt.Sub(a.sentEndAt))
	case s.receivedEnd != a.sentEnd:
		m.addViolation(s, "%s sent %v, its client saw %v", a.server, a.sentEnd, s.receivedEnd)
	}
}
