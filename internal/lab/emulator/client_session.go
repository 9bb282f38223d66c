// This file emulates a client's side of one session: it sends lines at their times and records answers and the end.

package emulator

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/protocol"
)

// clientSession is a client's side of one connection.
type clientSession struct {
	client   *runningClient
	conn     net.Conn
	reader   *bufio.Reader
	id       uint64 // session ID that the client sends in its first line
	balancer int    // index of the balancer that the client has dialed

	mu         sync.Mutex
	unanswered map[time.Duration]bool // due times of the lines that are sent and not answered
	ended      chan load.Ending       // receives one value when read returns: the way in which the session ended
}

// newClientSession returns a session with a new ID over a connection to a balancer.
func newClientSession(r *runningClient, conn net.Conn, balancer int) *clientSession {
	return &clientSession{
		client:     r,
		conn:       conn,
		reader:     bufio.NewReaderSize(conn, maxLine),
		id:         r.clients.lastID.Add(1),
		balancer:   balancer,
		unanswered: map[time.Duration]bool{},
		ended:      make(chan load.Ending, 1),
	}
}

// record adds an event of the session to the history, with the current time if the event has none.
func (s *clientSession) record(kind history.Kind, event history.Event) {
	c := s.client.clients
	if event.At == 0 {
		event.At = c.Clock.Now()
	}
	event.Kind = kind
	event.Session = s.id
	event.Balancer = int32(s.balancer)
	event.Class = int16(s.client.Class)
	event.Server = -1
	c.Log.Add(event)
}

// sendRequest writes the first line.
func (s *clientSession) sendRequest(deadline time.Duration) error {
	r := s.client
	group := ""
	if r.Group > 0 {
		group = fmt.Sprintf(",g=%x", r.Group)
	}
	text := fmt.Sprintf("OPEN %x %x c=%s,d=%d%s,h=%.4f\r\n", s.id, r.Key, r.clients.ClassNames[r.Class], deadline.Milliseconds(), group, r.Load)
	if r.clients.FragmentLines.Load() {
		text = writeInFragments(s.conn, text)
	}
	_, err := s.conn.Write([]byte(text))
	return err
}

// readSecondAnswers reads on after a rejection or failure and records each further final answer, which the checker reports.
func (s *clientSession) readSecondAnswers() {
	_ = s.conn.SetReadDeadline(time.Now().Add(readAfterAnswer))
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return
		}
		s.recordSecondAnswer(line)
	}
}

// recordSecondAnswer records a line if it is a final answer.
func (s *clientSession) recordSecondAnswer(line []byte) {
	if answer, isAnswer := finalAnswer(line); isAnswer {
		s.record(history.AnswerReceived, history.Event{Text: answer})
	}
}

// finalAnswer returns the event text of a final answer, and whether the line is one.
func finalAnswer(line []byte) (string, bool) {
	switch {
	case bytes.HasPrefix(line, []byte("UP ")):
		return "up", true
	case bytes.HasPrefix(line, []byte("BUSY")):
		return "busy", true
	case bytes.HasPrefix(line, []byte("ERR")):
		return "err", true
	}
	return "", false
}

// run sends a line whenever one is due, whether or not the previous one was answered, until the session ends.
func (s *clientSession) run(ctx context.Context) (ending load.Ending) {
	r := s.client
	clock := r.clients.Clock
	_ = s.conn.SetReadDeadline(time.Time{})
	go s.read()
	defer func() { s.countUnanswered(ending) }()
	next := time.NewTimer(0)
	defer next.Stop()
	until := time.NewTimer(time.Until(clock.At(r.Until)))
	defer until.Stop()
	var dropped <-chan time.Time
	for {
		next.Reset(max(0, time.Until(clock.At(r.nextDue))))
		select {
		case ending := <-s.ended:
			return ending
		case <-ctx.Done():
			return s.leave()
		case <-until.C:
			return s.leave()
		case delay := <-r.drop:
			dropped = time.After(delay)
		case <-dropped:
			return s.leave()
		case <-next.C:
			s.sendLine()
		}
	}
}

// sendLine sends the line that is due now, unless the client wants no session any more at that time.
func (s *clientSession) sendLine() {
	r := s.client
	due := r.nextDue
	r.nextDue += r.clients.MessageInterval
	if due >= r.Until {
		return
	}
	s.mu.Lock()
	s.unanswered[due] = true
	s.mu.Unlock()
	_, _ = s.conn.Write(fmt.Appendf(nil, "M %d\r\n", int64(due))) // read sees a failure as the end of the connection
}

// leave closes the session from the client's side.
func (s *clientSession) leave() load.Ending {
	s.record(history.ClientClosed, history.Event{})
	_ = s.conn.Close()
	<-s.ended
	return load.Dropped
}

// read handles the lines that arrive until the connection ends.
func (s *clientSession) read() {
	c := s.client.clients
	ending := load.Broken
	for {
		line, err := s.reader.ReadSlice('\n')
		now := c.Clock.Now()
		if err != nil {
			s.recordEnd(err)
			s.ended <- ending
			return
		}
		switch {
		case bytes.HasPrefix(line, []byte("M ")):
			s.handleEcho(line, now)
		case bytes.HasPrefix(line, protocol.MigrateLine):
			ending = load.Moved
			c.Meter.Migrate(now)
			s.record(history.MigrateReceived, history.Event{})
		default:
			s.recordSecondAnswer(line)
		}
	}
}

// recordEnd records how the connection ended, unless the client has closed it itself.
func (s *clientSession) recordEnd(err error) {
	text := "end"
	if IsAbruptClose(err) {
		text = "reset"
	}
	if !errors.Is(err, net.ErrClosed) {
		s.record(history.ConnectionEnded, history.Event{Text: text})
	}
}

// handleEcho counts the answer to a line, and records an answer that took more than a second from the server to the client.
func (s *clientSession) handleEcho(line []byte, now time.Duration) {
	c := s.client.clients
	due, sent := parseEcho(line)
	if sent > 0 && now-sent > time.Second {
		s.record(history.LineDelayed, history.Event{Duration: now - sent})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unanswered[due] {
		delete(s.unanswered, due)
		c.Meter.Message(due, now-due, c.MessageInterval, now-due <= c.MessageObjective)
	}
}

// countUnanswered counts the lines without an answer as not served. If the client itself has closed the session, lines whose
// objective has not passed yet are not counted.
func (s *clientSession) countUnanswered(ending load.Ending) {
	c := s.client.clients
	s.mu.Lock()
	defer s.mu.Unlock()
	for due := range s.unanswered {
		if ending != load.Dropped || c.Clock.Now()-due > c.MessageObjective {
			c.Meter.Message(due, 0, c.MessageInterval, false)
		}
	}
	clear(s.unanswered)
}

// parseEcho decodes a server's answer to a line: the time at which the line was due and the time at which the answer was sent.
func parseEcho(raw []byte) (due, sent time.Duration) {
	for i, word := range bytes.Fields(raw) {
		if i == 1 {
			n, _ := strconv.ParseInt(string(word), 10, 64)
			due = time.Duration(n)
		}
		if at, found := bytes.CutPrefix(word, []byte("t=")); found {
			n, _ := strconv.ParseInt(string(at), 10, 64)
			sent = time.Duration(n)
		}
	}
	return due, sent
}
