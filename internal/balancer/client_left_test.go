package balancer

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/idempotency"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// These tests have clients leave while their sessions wait. Nobody reads such a client: only the kernel knows of its end, however late the
// loop is. What has begun by then goes on or ends; nothing may begin.

const (
	clientGoneFor = 100 * time.Millisecond // nothing may begin later than this after a client has left
	openLine      = "OPEN %x 2 c=feed,d=20000\r\n"
)

// TestNoAttemptBeginsForAClientThatLeft goes over the places where a session waits and the ways in which its client leaves, each time 0.1 s
// before the loop, which does not know of it, goes on. Neither a connection nor a request may begin.
func TestNoAttemptBeginsForAClientThatLeft(t *testing.T) {
	places := []struct {
		name string
		run  func(t *testing.T, how string)
	}{
		{"before its line is handled", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.receiveLine(fmt.Sprintf(openLine, 1))
			y.leave()
			y.l.runOnce()
			y.expectNothingMore(0, 0)
		}},
		{"between the decision and the dial", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.receiveLine(fmt.Sprintf(openLine, 1))
			y.l.handleEvent(y.l.inbox[0])
			y.l.inbox = nil
			y.conn.mu.Lock() // the last check is made under it
			y.l.runOnce()
			if len(y.l.sessions) != 1 || y.l.sessions[y.l.lastSessionID].attempts != 1 {
				t.Fatal("no attempt was decided")
			}
			y.leave()
			y.conn.mu.Unlock()
			y.expectNothingMore(0, 0)
		}},
		{"for its turn, until its server has reported its load", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.l.deployment.Policy.CanHealthCheck = true
			y.l.policy.Reconfigure(withProbeReports(y.l.deployment), []int{0}, nil)
			y.applyServers(1, policy.Ready)
			session := y.admitted()
			if session.attempts != 0 {
				t.Fatal("it does not wait")
			}
			y.runUntil("the server is probed", func() bool { return y.server.lineCount() == 1 })
			y.leave()
			y.runUntil("its turn comes", func() bool { return session.attempts == 1 })
			y.expectNothingMore(1, 1) // the probe
		}},
		{"for an attempt's answer, and another attempt follows", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "BUSY\r\n")
			y.applyServers(3, policy.Ready)
			session := y.admitted()
			y.runUntil("the line is there", func() bool { return y.server.lineCount() == 1 })
			y.session = session
			close(y.server.mayReply)
			y.waitUntil("the answer is here", func() bool { return y.hasEvent(func(ev event) bool { return ev.session == session }) })
			y.leave()
			y.l.runOnce()
			if session.attempts < 2 {
				t.Fatal("no other attempt was decided")
			}
			y.expectNothingMore(1, 1)
		}},
		{"for a dial, and another attempt follows", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.applyServers(3, policy.Ready)
			session := y.connectedUnhandled()
			y.leave()
			y.l.attemptEnded(session, policy.ConnectFailed, nil)
			y.l.runOnce()
			if session.attempts < 2 {
				t.Fatal("no other attempt was decided")
			}
			y.expectNothingMore(1, 0)
		}},
		{"for the write", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.connectedUnhandled()
			y.leave()
			y.handleConnected()
			y.expectNothingMore(1, 0)
		}},
		{"for a write that is late", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.connectedUnhandled()
			y.conn.mu.Lock() // the client is checked last
			y.handleConnected()
			y.leave()
			y.conn.mu.Unlock()
			y.expectNothingMore(1, 0)
		}},
		{"for a fresh list", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.connectedUnhandled()
			y.l.freshListDeadline = time.Hour
			y.handleConnected()
			if len(y.l.deferred) != 1 {
				t.Fatal("it does not wait")
			}
			y.leave()
			y.l.freshListDeadline = y.l.now
			y.l.runDeferred()
			y.expectNothingMore(1, 0)
		}},
		{"for the fleet's verdict", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			session := y.connectedUnhandled()
			session.record = &idempotencyRecord{requestInFlight: true}
			y.handleConnected()
			if session.record.onWriteAllowed == nil {
				t.Fatal("it does not wait")
			}
			y.leave()
			y.l.writeDecided(session, session.generation, fleet.IdempotencyDecision{Decision: idempotency.Proceed, WriteDeadline: boottime.Now() + time.Hour})
			y.expectNothingMore(1, 0)
		}},
		{"to go back to its server", func(t *testing.T, how string) {
			y := newLeavingClient(t, how, "")
			y.receiveLine("OPEN 1 2 c=feed,d=20000,at=s-2\r\n") // which is listed later
			y.runUntil("it is admitted", func() bool { return len(y.l.sessions) == 1 })
			y.leave()
			y.applyServers(2, policy.Ready)
			y.l.reattach(y.l.sessions[y.l.lastSessionID])
			y.expectNothingMore(0, 0)
		}},
	}
	for _, p := range places {
		for _, how := range clientEndings {
			t.Run(p.name+"/"+how, func(t *testing.T) {
				t.Parallel()
				p.run(t, how)
			})
		}
	}
}

// TestAClientThatLeavesDuringItsHandover has a client leave while its connection is handed over with its first line. The new process's loop
// handles the line before the end.
func TestAClientThatLeavesDuringItsHandover(t *testing.T) {
	for _, how := range clientEndings[:5] { // input of the sixth is read here, so that what it has sent is known
		t.Run(how, func(t *testing.T) {
			y := newLeavingClient(t, how, "")
			near, far := tcpPipe(t)
			fd := detachDescriptor(t, far)
			leaveBy(t, how, near, fd)
			y.l.takeOverClient(fd, fmt.Appendf(nil, openLine, 2))
			y.l.mu.Lock()
			y.l.inbox = y.l.inbox[:1]
			if got := y.l.inbox[0].lines; len(got) != 1 || got[0].Kind != protocol.KindOpen {
				t.Errorf("%v", got)
			}
			y.l.mu.Unlock()
			y.l.runOnce()
			y.expectNothingMore(0, 0)
		})
	}
}

// TestACancelledDialDoesNotBegin cancels a dial, as the end of its attempt would, before the goroutine that dials has begun.
func TestACancelledDialDoesNotBegin(t *testing.T) {
	y := newLeavingClient(t, "end", "")
	y.receiveLine(fmt.Sprintf(openLine, 1))
	y.l.handleEvent(y.l.inbox[0])
	y.l.inbox = nil
	y.conn.mu.Lock() // the last check is made under it
	y.l.runOnce()
	session := y.l.sessions[y.l.lastSessionID]
	if session == nil || session.dial == nil {
		t.Fatal("no attempt was decided")
	}
	dialed := session.dial
	session.dial.cancel()
	y.conn.mu.Unlock()
	y.runUntil("the dial is over", func() bool { return dialed.finished || dialed.conn.Load() != nil })
	if n := y.server.attempts(); n != 0 {
		t.Errorf("%d attempts", n)
	}
}

// TestNoAttemptBeginsForManyClientsThatLeft has 5,000 clients leave at once, in all ways: the first line of some waits for the loop, others
// wait for a rejection by a server, upon which another attempt would follow.
func TestNoAttemptBeginsForManyClientsThatLeft(t *testing.T) {
	const many, tried = 5000, 1500
	s := newCountingServer(t, "BUSY\r\n")
	l := newLoopWithServer(t, s.listener.Addr().String(), policy.Idempotent)
	l.descriptorLimit = 3 * many
	y := &leavingClient{steppedLoop: &steppedLoop{t: t, l: l}, server: s}
	y.applyServers(3, policy.Ready)
	clients, conns := make([]*net.TCPConn, many), make([]*conn, many)
	for i := range many {
		near, far := tcpPipe(t)
		u := &unpolledConn{fd: detachDescriptor(t, far)}
		t.Cleanup(func() { _ = u.Close() })
		l.descriptors.Add(1)
		y.conn = newConn(u, l, &l.descriptors)
		y.conn.idle = l.idle
		clients[i], conns[i] = near, y.conn
		y.receiveLine(fmt.Sprintf(openLine, i+1))
		if i == tried-1 {
			y.runUntil("the first have been sent", func() bool { return s.lineCount() == tried })
		}
	}
	began := time.Now()
	for i, c := range clients {
		how := clientEndings[i%5]
		if strings.HasPrefix(how, "unread") {
			_, _ = io.WriteString(c, strings.Repeat("x", 100))
		}
		endBy(how, c)
	}
	for _, c := range conns {
		for st, _ := kernelState(t, c.fd()); st == unix.BPF_TCP_ESTABLISHED; st, _ = kernelState(t, c.fd()) {
			if time.Since(began) > testTimeout {
				t.Fatal("the kernel does not hear of an end")
			}
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(clientGoneFor)
	close(s.mayReply)
	y.session = &session{}
	y.waitUntil("the servers' answers are here", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.inbox) >= many
	})
	before := l.Attempts.Load()
	l.runOnce()
	decided := l.Attempts.Load() - before
	y.expectNothingMore(tried, tried)
	if t.Logf("%d attempts were decided for them", decided); decided < many-tried {
		t.Error("too few to show anything")
	}
}
