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

// soakClient opens one session after another until done is closed.
type soakClient struct {
	number       int
	model        *model
	rng          *rand.Rand
	pickNode     func() *soakNode // returns a balancer in rotation, nil if there is none
	nextID       func() uint64    // returns the ID of the next session
	done         <-chan struct{}
	signals      *broadcaster
	maxThinkTime time.Duration // maximum wait between two sessions
}

func (c *soakClient) run() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(c.maxThinkTime)))):
		}
		if node := c.pickNode(); node != nil {
			c.open(node)
		}
	}
}

var soakClasses = []string{"feed", "pay"}

// open opens a session and runs it until it ends.
func (c *soakClient) open(node *soakNode) {
	address, linkDelay := node.address, time.Duration(0)
	if c.rng.Float64() < soakLinkShare {
		address, linkDelay = node.link.address(), soakLinkDelay
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // not recorded: the balancer did not accept the connection
	}
	defer func() { _ = conn.Close() }()
	class := soakClasses[c.rng.IntN(len(soakClasses))]
	s := &soakSession{id: c.nextID(), class: class, node: node.Name, nonIdempotent: class == "pay", pause: drawPause(c.rng.Float64()), linkDelay: linkDelay}
	switch draw := c.rng.Float64(); {
	case linkDelay > 0: // keeps the default buffer: a small one would make the link's kernel wait as well
	case draw < 0.2 && s.pause == 0: // not for a slow reader: it would need longer for a burst than the soak lasts
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	case draw < 0.5:
		_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	}
	node.addSession(s)
	defer node.removeSession(s)
	c.model.addSession(s)
	request := fmt.Sprintf("OPEN %x %x c=%s,t=acme,d=%d,g=%x\r\n", s.id, c.rng.Uint64(), class, soakDeadline.Milliseconds(), c.number)
	s.openedAt = time.Now()
	if err := c.writeInParts(conn, request); err != nil {
		return
	}
	s.mu.Lock()
	s.openedAt = time.Now()
	s.mu.Unlock()
	if c.rng.Float64() < 0.05 { // the client ends the session before it has an answer
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
		s.sendEnd(conn, endOrderly)
		return
	}
	r := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	answer, err := r.ReadString('\n')
	s.mu.Lock()
	if err != nil {
		s.receivedEnd, s.receivedEndAt = connEndOf(err), time.Now()
	} else {
		s.answer, s.answeredAt = answer, time.Now()
	}
	s.mu.Unlock()
	if err == nil && strings.HasPrefix(answer, "UP ") {
		c.runSession(conn, r, s)
	}
}

// writeInParts writes a line, one time in ten in two halves with a pause between them.
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

// sendEnd ends the session from the client's side, unless it has ended or been migrated. A reset waits until the balancer's kernel has
// acknowledged all bytes, and becomes an orderly end if that takes more than a second.
func (s *soakSession) sendEnd(conn net.Conn, how connEnd) {
	for end := time.Now().Add(time.Second); how == endReset && unacknowledgedBytes(conn) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			how = endOrderly
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivedEnd != endNone || !s.migratedAt.IsZero() {
		return
	}
	s.sentEnd, s.sentEndAt = how, time.Now()
	if how == endReset {
		resetConn(conn)
	} else {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
}

// runSession writes lines over an established session until the balancer or the client ends it.
func (c *soakClient) runSession(conn net.Conn, r *bufio.Reader, s *soakSession) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.readLines(r, s.pause)
	}()
	leave := time.After(time.Duration(500+c.rng.IntN(5000)) * time.Millisecond)
	var signalled <-chan struct{} // a nil channel never fires
	if c.rng.Float64() < soakSignalShare {
		signalled = c.signals.next()
	}
	for line := 0; ; line++ {
		select {
		case <-ended:
			return
		case <-c.done:
			s.sendEnd(conn, endOrderly)
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

// leave ends the session, sometimes immediately after a burst of lines.
func (c *soakClient) leave(conn net.Conn, s *soakSession) {
	if c.rng.Float64() < 0.3 {
		c.burst(conn, s)
	}
	how := endOrderly
	if c.rng.Float64() < 0.4 {
		how = endReset
	}
	s.sendEnd(conn, how)
}

// burst writes soakBurstLines lines without pauses.
func (c *soakClient) burst(conn net.Conn, s *soakSession) {
	for number := range soakBurstLines {
		line := fmt.Sprintf("C b%d %s\r\n", number, strings.Repeat("y", burstLineSize))
		_, err := io.WriteString(conn, line)
		s.recordWritten(line, err)
		if err != nil {
			return
		}
	}
}

// writeLine writes a line and records it after its last byte is written.
func (c *soakClient) writeLine(conn net.Conn, s *soakSession, line string) {
	s.recordWritten(line, c.writeInParts(conn, line))
}

// recordWritten records a line that the client wrote, or that its write met a reset.
func (s *soakSession) recordWritten(line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, syscall.ECONNRESET) { // the kernel reports the reset to the write only; the read gets EOF
		s.writeWasReset = true
	}
	if err == nil {
		s.written = append(s.written, timedLine{text: line, at: time.Now()})
	}
}

// readLines records the lines that the client receives until its connection ends. A slow reader pauses between periods of reading.
func (s *soakSession) readLines(r *bufio.Reader, pause time.Duration) {
	for pacer := newPacer(pause); ; {
		pacer.wait()
		line, err := r.ReadString('\n')
		s.mu.Lock()
		switch {
		case errors.Is(err, net.ErrClosed): // the client itself has reset the connection
		case err != nil:
			s.receivedEnd, s.receivedEndAt = connEndOf(err), time.Now()
			if errors.Is(err, syscall.ETIMEDOUT) {
				s.receivedEnd = endNone
			}
		case line == "MOVE\r\n":
			s.migratedAt = time.Now()
		default:
			s.received = append(s.received, timedLine{text: line, at: time.Now(), readingSince: pacer.readingSince})
		}
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}
