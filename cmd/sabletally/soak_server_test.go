package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// soakServer accepts sessions and draws at random how it answers, serves and ends each of them.
type soakServer struct {
	uid      string
	listener net.Listener
	model    *model
	signals  *broadcaster

	mu  sync.Mutex
	rng *rand.Rand
}

// randomFloat returns a random number in [0, 1).
func (v *soakServer) randomFloat() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rng.Float64()
}

// randomDuration returns a random duration in [0, most).
func (v *soakServer) randomDuration(most time.Duration) time.Duration {
	return time.Duration(v.randomFloat() * float64(most))
}

func (v *soakServer) serve() {
	for {
		c, err := v.listener.Accept()
		if err != nil {
			return
		}
		go v.handle(c)
	}
}

// handle answers health checks on a connection until a session request arrives, and serves that session.
func (v *soakServer) handle(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		switch {
		case err != nil:
			return
		case line == "PING\r\n":
			_, _ = io.WriteString(c, "PONG\r\n")
			continue
		}
		fields := strings.Fields(line)
		id, _ := strconv.ParseUint(fields[1], 16, 64)
		if s := v.model.findSession(id); s != nil {
			v.serveSession(c, r, s)
		}
		return
	}
}

// serveSession answers a session request. An established session is served until its connection ends.
func (v *soakServer) serveSession(c net.Conn, r *bufio.Reader, s *soakSession) {
	a := &soakAttempt{conn: c, server: v.uid, startedAt: time.Now(), pause: drawPause(v.randomFloat())}
	v.model.attemptStarted(s, a)
	answer := fmt.Sprintf("UP %s %d\r\n", v.uid, len(s.attempts))
	switch draw := v.randomFloat(); {
	case draw < 0.05:
		answer = "BUSY\r\n"
	case draw < 0.08:
		answer = "ERR\r\n"
	case draw < 0.11: // resets the connection without an answer
		s.mu.Lock()
		a.sentEnd, a.sentEndAt = endReset, time.Now()
		s.mu.Unlock()
		resetConn(c)
		return
	case draw < 0.13: // never answers
		_, _ = io.Copy(io.Discard, r)
		return
	}
	time.Sleep(v.randomDuration(30 * time.Millisecond))
	s.mu.Lock()
	a.answer = answer
	if !strings.HasPrefix(answer, "UP ") {
		a.sentEnd, a.sentEndAt = endOrderly, time.Now()
	}
	s.mu.Unlock()
	if _, err := io.WriteString(c, answer); err != nil || !strings.HasPrefix(answer, "UP ") {
		return
	}
	t := &serverSession{server: v, conn: c, session: s, attempt: a, ended: make(chan struct{}), echoes: make(chan string, maxSoakLines)}
	go t.read(r)
	go t.echo()
	t.run()
	<-t.ended
}

// serverSession is the server's side of an established session.
type serverSession struct {
	server  *soakServer
	conn    net.Conn
	session *soakSession
	attempt *soakAttempt
	ended   chan struct{} // closed after the balancer's end was read
	echoes  chan string   // lines of the client that echo writes back while read goes on

	writeMu sync.Mutex
	done    bool // the server has ended the session and writes nothing more
	torn    bool // a line was written in part, so that nothing may follow it
	lines   int
}

// echo writes the client's lines back until the connection ends.
func (t *serverSession) echo() {
	for line := range t.echoes {
		t.write(strings.Replace(line, "C ", "M ", 1))
	}
}

// read records the client's lines and passes them to echo until the balancer ends the connection. It does not wait for writes.
func (t *serverSession) read(r *bufio.Reader) {
	defer close(t.ended)
	defer close(t.echoes)
	for pacer := newPacer(t.attempt.pause); ; {
		pacer.wait()
		line, err := r.ReadString('\n')
		if err != nil {
			t.recordEnd(err)
			return
		}
		t.session.mu.Lock()
		t.attempt.received = append(t.attempt.received, line)
		t.session.mu.Unlock()
		t.echoes <- line
	}
}

// recordEnd records the balancer's end and closes the connection, after the line that is being written is complete or its write has failed.
func (t *serverSession) recordEnd(err error) {
	t.session.mu.Lock()
	if t.attempt.sentEnd == endNone {
		t.attempt.receivedEnd, t.attempt.receivedEndAt = connEndOf(err), time.Now()
	}
	t.session.mu.Unlock()
	_ = t.conn.SetWriteDeadline(time.Now().Add(2 * maxLineGap))
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	t.done = true
	_ = t.conn.Close()
}

// write writes one line, sometimes in two parts, and records it after its last byte is written.
func (t *serverSession) write(line string) {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	if t.done || t.torn {
		return
	}
	t.recordArrivedEnd()
	if len(line) < burstLineSize && t.server.randomFloat() < 0.1 {
		half := len(line) / 2
		_, _ = io.WriteString(t.conn, line[:half])
		time.Sleep(t.server.randomDuration(maxLineGap))
		if _, err := io.WriteString(t.conn, line[half:]); err != nil {
			t.torn = true
			return
		}
	} else if _, err := io.WriteString(t.conn, line); err != nil {
		t.torn = true
		return
	}
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	t.attempt.written = append(t.attempt.written, timedLine{text: line, at: time.Now()})
}

// writeUnfinished writes the start of a line and marks the session as torn: the rest never follows.
func (t *serverSession) writeUnfinished(text string) {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	if !t.done {
		_, _ = io.WriteString(t.conn, text) // on a broken connection the reader fails too and records the end
		t.torn = true
	}
}

// recordArrivedEnd records if the balancer's end has reached this server's kernel, whether it has been read or not.
func (t *serverSession) recordArrivedEnd() {
	if t.attempt.endArrived {
		return
	}
	ended, err := isEndedByPeer(t.conn)
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	if ended || err != nil {
		t.attempt.endArrived = true
		t.attempt.endArrivedAt = time.Now()
		t.attempt.writtenBeforeEnd = len(t.attempt.written)
	}
}

// burstLineSize is the payload of a line of a burst, in bytes.
const burstLineSize = 280

func (t *serverSession) writeNumbered(size int) {
	t.write(fmt.Sprintf("L %d %s\r\n", t.lines, strings.Repeat("x", size)))
	t.lines++
}

// run writes lines and bursts for a random time and then ends the session, or leaves its end to the client or to a migration.
func (t *serverSession) run() {
	v := t.server
	lifetime := 300*time.Millisecond + v.randomDuration(3*time.Second)
	var signalled <-chan struct{} // a nil channel never fires
	if v.randomFloat() < soakSignalShare {
		signalled = v.signals.next()
	}
	for end := time.Now().Add(lifetime); time.Now().Before(end); {
		select {
		case <-t.ended:
			return
		case <-signalled:
			end = time.Now()
			continue
		case <-time.After(v.randomDuration(200 * time.Millisecond)):
		}
		if v.randomFloat() < soakBurstShare {
			t.burst(100+int(v.randomFloat()*soakBurstLines), smallLine)
		}
		t.writeNumbered(int(v.randomDuration(200)))
	}
	switch draw := v.randomFloat(); {
	case draw < 0.4: // the client or a migration ends the session
	case draw < 0.65:
		t.finish(endOrderly, func() { t.write("BYE\r\n") })
	case draw < 0.70:
		t.finish(endReset, func() { t.burst(3, 5) })
	case draw < 0.75:
		t.finish(endReset, func() {
			t.burst(3, 5)
			t.writeUnfinished("L and no more")
		})
	case draw < 0.85:
		t.finish(endReset, func() { t.burst(soakBurstLines, burstLineSize) })
	default:
		t.finish(endOrderly, func() { t.burst(soakBurstLines, burstLineSize) })
	}
}

// burst writes lines without pauses, or with pauses of up to 25 ms if there are fewer than ten.
func (t *serverSession) burst(lines, size int) {
	for range lines {
		t.writeNumbered(size)
		if lines < 10 {
			time.Sleep(t.server.randomDuration(25 * time.Millisecond))
		}
	}
}

// finish writes the last lines and ends the connection. A reset would discard bytes that the balancer's kernel has not acknowledged: it waits
// for them, and becomes an orderly end if that takes more than a second.
func (t *serverSession) finish(how connEnd, last func()) {
	last()
	for end := time.Now().Add(time.Second); !t.sendEnd(how); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			how = endOrderly
		}
	}
}

// sendEnd ends the connection and returns true. It returns false if a reset has to wait for unacknowledged bytes.
func (t *serverSession) sendEnd(how connEnd) bool {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	if how == endReset && unacknowledgedBytes(t.conn) > 0 {
		return false
	}
	t.session.mu.Lock()
	defer t.session.mu.Unlock()
	if t.done {
		return true
	}
	t.done = true
	t.attempt.tcp = retransmissions(t.conn)
	t.attempt.sentEnd, t.attempt.sentEndAt = how, time.Now()
	if how == endReset {
		resetConn(t.conn)
	} else {
		_ = t.conn.(*net.TCPConn).CloseWrite()
	}
	return true
}

// retransmissions describes a connection's retransmissions. They show whether a late line was delayed by the balancer or was dropped by a full
// receive buffer and sent again.
func retransmissions(c net.Conn) string {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err.Error()
	}
	text := ""
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			text = fmt.Sprintf("%d segments retransmitted, retransmission timeout %v, %d unacknowledged", info.Total_retrans, time.Duration(info.Rto)*time.Microsecond, info.Unacked)
		}
	})
	return text
}
