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

// In the tests of this file, clients disconnect while their sessions wait. Nothing is read from such a client, so only the kernel knows that
// it has disconnected. Whatever was started before may continue or end, but nothing may be started for the session any more.

const (
	disconnectGrace = 100 * time.Millisecond // time after a client's end from which nothing may be started for it
	openLine        = "OPEN %x 2 c=feed,d=20000\r\n"
)

// TestNoAttemptBeginsForAClientThatLeft guards against connections and requests that are started for a client which has disconnected. It
// covers all points at which a session waits and all ways in which a client disconnects, each time 0.1 s before the loop continues.
func TestNoAttemptBeginsForAClientThatLeft(t *testing.T) {
	places := []struct {
		name string
		run  func(t *testing.T, ending string)
	}{
		{"before its line is handled", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.receiveLine(fmt.Sprintf(openLine, 1))
			lc.leave()
			lc.l.runOnce()
			lc.expectNoMoreAttempts(0, 0)
		}},
		{"between the decision and the dial", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.receiveLine(fmt.Sprintf(openLine, 1))
			lc.l.handleEvent(lc.l.inbox[0])
			lc.l.inbox = nil
			lc.conn.mu.Lock() // blocks the check of the client, the last one before the dial
			lc.l.runOnce()
			if len(lc.l.sessions) != 1 || lc.l.sessions[lc.l.lastSessionID].attempts != 1 {
				t.Fatal("no attempt was decided")
			}
			lc.leave()
			lc.conn.mu.Unlock()
			lc.expectNoMoreAttempts(0, 0)
		}},
		{"for its turn, until its server has reported its load", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.l.deployment.Policy.CanHealthCheck = true
			lc.l.policy.Reconfigure(withProbeReports(lc.l.deployment), []int{0}, nil)
			lc.applyServers(1, policy.Ready)
			session := lc.admit()
			if session.attempts != 0 {
				t.Fatal("the session does not wait")
			}
			lc.runUntil("the server is probed", func() bool { return lc.server.lineCount() == 1 })
			lc.leave()
			lc.runUntil("an attempt is decided", func() bool { return session.attempts == 1 })
			lc.expectNoMoreAttempts(1, 1) // the connection and the line are those of the probe
		}},
		{"for an attempt's answer, and another attempt follows", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "BUSY\r\n")
			lc.applyServers(3, policy.Ready)
			session := lc.admit()
			lc.runUntil("the server has the request", func() bool { return lc.server.lineCount() == 1 })
			lc.session = session
			close(lc.server.mayReply)
			lc.waitUntil("the answer is posted", func() bool { return lc.hasEvent(func(ev event) bool { return ev.session == session }) })
			lc.leave()
			lc.l.runOnce()
			if session.attempts < 2 {
				t.Fatal("no other attempt was decided")
			}
			lc.expectNoMoreAttempts(1, 1)
		}},
		{"for a dial, and another attempt follows", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.applyServers(3, policy.Ready)
			session := lc.connectUnhandled()
			lc.leave()
			lc.l.attemptEnded(session, policy.ConnectFailed, nil)
			lc.l.runOnce()
			if session.attempts < 2 {
				t.Fatal("no other attempt was decided")
			}
			lc.expectNoMoreAttempts(1, 0)
		}},
		{"for the write", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.connectUnhandled()
			lc.leave()
			lc.handleConnected()
			lc.expectNoMoreAttempts(1, 0)
		}},
		{"for a write that is late", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.connectUnhandled()
			lc.conn.mu.Lock() // blocks the check of the client, the last one before the write
			lc.handleConnected()
			lc.leave()
			lc.conn.mu.Unlock()
			lc.expectNoMoreAttempts(1, 0)
		}},
		{"for a fresh list", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.connectUnhandled()
			lc.l.freshListDeadline = time.Hour
			lc.handleConnected()
			if len(lc.l.deferredRequests) != 1 {
				t.Fatal("the session does not wait")
			}
			lc.leave()
			lc.l.freshListDeadline = lc.l.now
			lc.l.runDeferred()
			lc.expectNoMoreAttempts(1, 0)
		}},
		{"for the fleet's verdict", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			session := lc.connectUnhandled()
			session.record = &idempotencyRecord{requestInFlight: true}
			lc.handleConnected()
			if session.record.onWriteAllowed == nil {
				t.Fatal("the session does not wait")
			}
			lc.leave()
			lc.l.writeDecided(session, session.generation, fleet.IdempotencyDecision{Decision: idempotency.Proceed, WriteDeadline: boottime.Now() + time.Hour})
			lc.expectNoMoreAttempts(1, 0)
		}},
		{"to go back to its server", func(t *testing.T, ending string) {
			lc := newLeavingClient(t, ending, "")
			lc.receiveLine("OPEN 1 2 c=feed,d=20000,at=s-2\r\n") // s-2 is listed later
			lc.runUntil("the session is admitted", func() bool { return len(lc.l.sessions) == 1 })
			lc.leave()
			lc.applyServers(2, policy.Ready)
			lc.l.reattach(lc.l.sessions[lc.l.lastSessionID])
			lc.expectNoMoreAttempts(0, 0)
		}},
	}
	for _, p := range places {
		for _, ending := range clientEndings {
			t.Run(p.name+"/"+ending, func(t *testing.T) {
				t.Parallel()
				p.run(t, ending)
			})
		}
	}
}

// TestAClientThatLeavesDuringItsHandover guards against an attempt for a client that disconnects while its connection is handed over with
// its first line. The new process's loop handles the line before the client's end.
func TestAClientThatLeavesDuringItsHandover(t *testing.T) {
	for _, ending := range clientEndings[:5] { // the sixth does not apply, as the input is read here and the loop knows of it
		t.Run(ending, func(t *testing.T) {
			lc := newLeavingClient(t, ending, "")
			near, far := tcpPipe(t)
			fd := detachDescriptor(t, far)
			leaveAndWait(t, ending, near, fd)
			lc.l.takeOverClient(fd, fmt.Appendf(nil, openLine, 2))
			lc.l.mu.Lock()
			lc.l.inbox = lc.l.inbox[:1]
			if got := lc.l.inbox[0].lines; len(got) != 1 || got[0].Kind != protocol.KindOpen {
				t.Errorf("the first event has the lines %v, want the request", got)
			}
			lc.l.mu.Unlock()
			lc.l.runOnce()
			lc.expectNoMoreAttempts(0, 0)
		})
	}
}

// TestACancelledDialDoesNotBegin guards against a connection for a dial that is cancelled, by the end of its attempt, before the goroutine
// that dials has started.
func TestACancelledDialDoesNotBegin(t *testing.T) {
	lc := newLeavingClient(t, "end", "")
	lc.receiveLine(fmt.Sprintf(openLine, 1))
	lc.l.handleEvent(lc.l.inbox[0])
	lc.l.inbox = nil
	lc.conn.mu.Lock() // blocks the check of the client, the last one before the dial
	lc.l.runOnce()
	session := lc.l.sessions[lc.l.lastSessionID]
	if session == nil || session.dial == nil {
		t.Fatal("no attempt was decided")
	}
	dialed := session.dial
	lc.waitUntil("the dial is about to check the client", func() bool { return lc.l.descriptors.Load() == 2 })
	session.dial.cancel()
	lc.conn.mu.Unlock()
	lc.waitUntil("the dial has ended", func() bool { return lc.l.descriptors.Load() == 1 || dialed.conn.Load() != nil })
	if n := lc.server.connectionCount(); n != 0 {
		t.Errorf("%d connections, want none", n)
	}
}

// TestNoAttemptBeginsForManyClientsThatLeft guards against attempts for clients that disconnect while the loop is busy. 5,000 clients
// disconnect at once, in different ways. The first lines of some wait for the loop, others wait for a server's rejection, after which
// another attempt would follow.
func TestNoAttemptBeginsForManyClientsThatLeft(t *testing.T) {
	const many, attempted = 5000, 1500
	s := newCountingServer(t, "BUSY\r\n")
	l := newLoopWithServer(t, s.listener.Addr().String(), policy.Idempotent)
	l.descriptorLimit = 3 * many
	lc := &leavingClient{steppedLoop: &steppedLoop{t: t, l: l}, server: s}
	lc.applyServers(3, policy.Ready)
	clients, conns := make([]*net.TCPConn, many), make([]*conn, many)
	for i := range many {
		near, far := tcpPipe(t)
		lc.conn = newUnreadConn(t, l, detachDescriptor(t, far))
		clients[i], conns[i] = near, lc.conn
		lc.receiveLine(fmt.Sprintf(openLine, i+1))
		if i == attempted-1 {
			lc.runUntil("the first requests have been sent", func() bool { return s.lineCount() == attempted })
		}
	}
	began := time.Now()
	for i, c := range clients {
		ending := clientEndings[i%5]
		if strings.HasPrefix(ending, "unread") {
			_, _ = io.WriteString(c, strings.Repeat("x", 100))
		}
		endConnection(ending, c)
	}
	for _, c := range conns {
		for st, _ := kernelState(t, c.fd); st == unix.BPF_TCP_ESTABLISHED; st, _ = kernelState(t, c.fd) {
			if time.Since(began) > testTimeout {
				t.Fatal("the kernel has not received a client's end")
			}
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(disconnectGrace)
	close(s.mayReply)
	lc.session = &session{}
	lc.waitUntil("the servers' answers are posted", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.inbox) >= many
	})
	before := l.Attempts.Load()
	l.runOnce()
	decided := l.Attempts.Load() - before
	lc.expectNoMoreAttempts(attempted, attempted)
	if t.Logf("%d attempts were decided for the disconnected clients", decided); decided < many-attempted {
		t.Error("too few attempts were decided for a meaningful test")
	}
}
