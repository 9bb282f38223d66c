package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"
)

// soakClient opens one session after another.
type soakClient struct {
	number  int
	model   *model
	rng     *rand.Rand
	front   func() *soakNode // an open balancer, nil where there is none
	next    func() uint64    // session IDs
	done    <-chan struct{}
	signals *moments
	maxRest time.Duration // between two sessions
}

func (c *soakClient) run() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(c.maxRest)))):
		}
		if node := c.front(); node != nil {
			c.open(node)
		}
	}
}

var soakClasses = []string{"feed", "pay"}

// open opens a session and plays it to its end.
func (c *soakClient) open(node *soakNode) {
	address, linkDelay := node.address, time.Duration(0)
	if c.rng.Float64() < soakOverLink {
		address, linkDelay = node.link.address(), soakLinkDelay
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // never accepted
	}
	defer func() { _ = conn.Close() }()
	class := soakClasses[c.rng.IntN(len(soakClasses))]
	s := &soakSession{id: c.next(), class: class, node: node.Name, nonIdempotent: class == "pay", pause: slowPause(c.rng.Float64()), linkDelay: linkDelay}
	switch draw := c.rng.Float64(); {
	case linkDelay > 0: // the link's own kernel would wait for a small buffer
	case draw < 0.2 && s.pause == 0: // a slow reader would take a burst for longer than the soak lasts
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	case draw < 0.5:
		_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	}
	node.enter(s)
	defer node.leave(s)
	c.model.add(s)
	request := fmt.Sprintf("OPEN %x %x c=%s,t=acme,d=%d,g=%x\r\n", s.id, c.rng.Uint64(), class, soakDeadline.Milliseconds(), c.number)
	s.openedAt = time.Now()
	if err := c.writeInParts(conn, request); err != nil {
		return
	}
	s.mu.Lock()
	s.openedAt = time.Now()
	s.mu.Unlock()
	if c.rng.Float64() < 0.05 { // leaves before its answer
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
		s.endOwn(conn, endOrderly)
		return
	}
	r := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	answer, err := r.ReadString('\n')
	s.mu.Lock()
	if err != nil {
		s.end, s.endAt = kindOfEnd(err), time.Now()
	} else {
		s.answer, s.answeredAt = answer, time.Now()
	}
	s.mu.Unlock()
	if err == nil && strings.HasPrefix(answer, "UP ") {
		c.talk(conn, r, s)
	}
}

// writeInParts writes a line, sometimes byte after byte or in halves.
func (c *soakClient) writeInParts(conn net.Conn, line string) error {
	if c.rng.Float64() < 0.1 {
		half := len(line) / 2
		if _, err := io.WriteString(conn, line[:half]); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
		line = line[half:]
	}
	_, err := io.WriteString(conn, line)
	return err
}

// endOwn ends the session from the client's side.
func (s *soakSession) endOwn(conn net.Conn, how connEnd) {
	for end := time.Now().Add(time.Second); how == endReset && unacknowledgedBytes(conn) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			how = endOrderly
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != endNone || !s.movedAt.IsZero() {
		return
	}
	s.ownEnd, s.ownEndAt = how, time.Now()
	if how == endReset {
		resetConn(conn)
	} else {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
}

// talk writes lines over an established session until it ends, or the client ends it.
func (c *soakClient) talk(conn net.Conn, r *bufio.Reader, s *soakSession) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.readLines(r, s.pause)
	}()
	leave := time.After(time.Duration(500+c.rng.IntN(5000)) * time.Millisecond)
	var signalled <-chan struct{} // nil: never
	if c.rng.Float64() < soakWithSignal {
		signalled = c.signals.next()
	}
	for line := 0; ; line++ {
		select {
		case <-ended:
			return
		case <-c.done:
			s.endOwn(conn, endOrderly)
			<-ended
			return
		case <-signalled:
			c.leave(conn, s)
			<-ended
			return
		case <-leave:
			c.leave(conn, s)
			<-ended
			return
		case <-time.After(time.Duration(20+c.rng.IntN(300)) * time.Millisecond):
			c.writeLine(conn, s, fmt.Sprintf("C %d %s\r\n", line, strings.Repeat("y", c.rng.IntN(100))))
		}
	}
}

// leave ends the session, sometimes right behind a burst of lines.
func (c *soakClient) leave(conn net.Conn, s *soakSession) {
	if c.rng.Float64() < 0.3 {
		c.burst(conn, s)
	}
	how := endOrderly
	if c.rng.Float64() < 0.4 {
		how = endReset
	}
	s.endOwn(conn, how)
}

// burst writes lines one right after the other.
func (c *soakClient) burst(conn net.Conn, s *soakSession) {
	for number := range soakBulk {
		line := fmt.Sprintf("C b%d %s\r\n", number, strings.Repeat("y", bulkSize))
		_, err := io.WriteString(conn, line)
		s.recordWritten(line, err)
		if err != nil {
			return
		}
	}
}

// writeLine writes a line and records it once its last byte is written.
func (c *soakClient) writeLine(conn net.Conn, s *soakSession, line string) {
	s.recordWritten(line, c.writeInParts(conn, line))
}

// recordWritten records a line of the client, or how writing it failed.
func (s *soakSession) recordWritten(line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, syscall.ECONNRESET) { // the reader only sees an orderly end then
		s.writeWasReset = true
	}
	if err == nil {
		s.written = append(s.written, timedLine{text: line, at: time.Now()})
	}
}

// readLines records what the client receives until its connection ends. A slow reader pauses now and then.
func (s *soakSession) readLines(r *bufio.Reader, pause time.Duration) {
	for pacer := newPacer(pause); ; {
		pacer.wait()
		line, err := r.ReadString('\n')
		s.mu.Lock()
		switch {
		case errors.Is(err, net.ErrClosed): // by its own reset
		case err != nil:
			s.end, s.endAt = kindOfEnd(err), time.Now()
			if errors.Is(err, syscall.ETIMEDOUT) {
				s.end = endNone
			}
		case line == "MOVE\r\n":
			s.movedAt = time.Now()
		default:
			s.received = append(s.received, timedLine{text: line, at: time.Now(), readingSince: pacer.readingSince})
		}
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}
