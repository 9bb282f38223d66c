package balancer

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/history"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// The tests in this file force the order of two concurrent events: they hold both back, by a loop that only the test steps or by a lock.

const testTimeout = 20 * time.Second

// TestAClientThatLeftBeforeTheRequestIsWritten guards against a request that is written for a client which has disconnected. The client
// disconnects while its attempt is being connected, and the loop handles the connection first: the client's end is posted but not handled,
// or not even read.
func TestAClientThatLeftBeforeTheRequestIsWritten(t *testing.T) {
	for _, ending := range []string{"end", "half-close", "reset", "unread bytes and end"} {
		t.Run(ending, func(t *testing.T) {
			sl := newSteppedLoop(t, policy.Idempotent)
			switch tcp := sl.client.(*net.TCPConn); ending {
			case "half-close":
				_ = tcp.CloseWrite()
			case "reset":
				_ = tcp.SetLinger(0)
				_ = tcp.Close()
			case "unread bytes and end":
				_, _ = io.WriteString(tcp, strings.Repeat("x", 100))
				_ = tcp.Close()
			default:
				_ = tcp.Close()
			}
			c := sl.session.client
			sl.waitUntil("the client's end is posted", func() bool { return sl.hasEvent(func(ev event) bool { return ev.conn == c && ev.disconnect != nil }) })
			sl.handleConnected()
			if got := sl.serverInput(); got != "" {
				t.Errorf("the server received %q", got)
			}
			if n := len(sl.l.sessions); n != 0 {
				t.Errorf("%d sessions are left, want none", n)
			}
		})
	}
}

// TestAWriteAfterTheCloseFails guards against a write to a client whose connection is closed between the writer's check and its write, and
// whose descriptor may belong to another connection after that. Each write must fail.
func TestAWriteAfterTheCloseFails(t *testing.T) {
	sl := newSteppedLoop(t, policy.Idempotent)
	c := sl.session.client
	_ = sl.client.(*net.TCPConn).SetLinger(0)
	_ = sl.client.Close()
	sl.waitUntil("the client's end is posted", func() bool { return sl.hasEvent(func(ev event) bool { return ev.conn == c && ev.disconnect != nil }) })
	for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if err := c.writeNow([]byte("ERR\r\n")); err == nil {
			t.Fatal("a write to a closed connection succeeded")
		}
	}
	if stage := c.currentStage(); stage != StageConnected {
		t.Errorf("the connection is at stage %v", stage)
	}
}

// TestATimedOutAttemptIsNotSent guards against a request that is sent after its attempt's deadline. The process is stopped while the attempt
// is being connected, until after the deadline, and the loop handles the connection before the timeout.
func TestATimedOutAttemptIsNotSent(t *testing.T) {
	sl := newSteppedLoop(t, policy.NonIdempotent)
	sl.session.attemptDeadline = time.Since(sl.l.startTime)
	sl.handleConnected()
	if got := sl.serverInput(); got != "" {
		t.Errorf("the server received %q", got)
	}
	if n := sl.l.Outcomes[policy.NeverSent].Load(); n != 1 {
		t.Errorf("%d attempts ended as never sent, want 1", n)
	}
}

// TestAStallBetweenCheckAndWrite guards against a request that is written to a draining server after a stall. The goroutine that writes the
// request is held until the endpoint list marks the server as draining: the loop's earlier check must not count any more.
func TestAStallBetweenCheckAndWrite(t *testing.T) {
	sl := newSteppedLoop(t, policy.Idempotent)
	c := sl.session.client
	c.mu.Lock() // blocks the check of the client, the last one before the write
	sl.handleConnected()
	held := time.Now()
	sl.l.applyList(discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: sl.session.upstream.address, Weight: 1, State: policy.Draining}}}, false)
	sl.waitUntil("the loop's check is too old", func() bool { return time.Since(held) > maxCheckAge })
	c.mu.Unlock()
	if got := sl.serverInput(); got != "" {
		t.Errorf("the draining server received %q", got)
	}
	_ = sl.client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := bufio.NewReader(sl.client).ReadString('\n'); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("the client received %q, %v", got, err)
	}
}

// TestNothingIsSentBeforeAFreshList guards against requests that are sent by an outdated endpoint list, after a start and after a stall. A
// server is ready in the known list and draining in discovery's list, which must be applied before a request is written. If discovery does
// not answer, the request must be sent after freshListTimeout.
func TestNothingIsSentBeforeAFreshList(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			sl := newSteppedLoop(t, policy.Idempotent)
			agent, err := emulator.NewAgent(0, &emulator.Clock{}, history.New(0), func(string) int { return 0 })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(agent.Close)
			if silent {
				agent.Misbehave(emulator.Unresponsive)
			}
			agent.Set(emulator.Endpoint{UID: "s-1", Address: sl.session.upstream.address, State: emulator.Terminating, Weight: 1})
			ctx, stop := context.WithCancel(context.Background())
			t.Cleanup(stop)
			before := sl.l.Lists.Load()
			if stalled { // the loop follows discovery already, whose newest list has not arrived
				sl.l.watch = discovery.New(agent.Addr(), 1, false, func(list discovery.List) {
					sl.l.post(event{run: func() { sl.l.applyList(list, false) }})
				}, func(error) {})
				sl.l.startTime = sl.l.startTime.Add(-2 * time.Second) // simulates a stall of 2 s, which ends before the attempt's deadline
				sl.l.post(event{run: sl.handleConnected})
			} else {
				sl.l.FollowDiscovery(ctx, agent.Addr())
				sl.l.post(event{run: sl.handleConnected})
			}
			sl.l.runOnce()
			if sl.l.Lists.Load() != before || len(sl.l.deferredRequests) != 1 {
				t.Fatalf("%d lists were applied, %d requests wait; want 0 and 1", sl.l.Lists.Load()-before, len(sl.l.deferredRequests))
			}
			if stalled {
				go sl.l.watch.Run(ctx)
			}
			if silent {
				sl.runUntil("the request is sent without a fresh list", func() bool { return len(sl.firstLines) > 0 })
				_ = sl.client.Close()
			}
			if got := sl.serverInput(); (got != "") != silent {
				t.Errorf("stalled %v, silent %v: the server received %q", stalled, silent, got)
			}
		}
	}
}

// TestASessionThatCantBeRelayedIsAnswered guards against a client that gets no answer because no descriptor is free to relay its established
// session. The loop must give up after relayStartTimeout and send the client a final answer.
func TestASessionThatCantBeRelayedIsAnswered(t *testing.T) {
	sl := newSteppedLoop(t, policy.NonIdempotent)
	c := sl.session.client
	c.mu.Lock()
	c.writing = true // has the same effect as a lack of descriptors: the detach has to be retried
	c.mu.Unlock()
	sl.session.dial.finished, sl.session.dial, sl.session.upstreamConn = true, nil, sl.upstreamConn
	sl.l.now = time.Since(sl.l.startTime)
	sl.l.sessionEstablished(sl.session, protocol.Decode([]byte("UP 1\r\n")))
	began := time.Now()
	sl.runUntil("the session has ended", func() bool { return len(sl.l.sessions) == 0 })
	if took := time.Since(began); took < relayStartTimeout/2 {
		t.Errorf("the session ended after only %v", took)
	}
	c.mu.Lock()
	if got := string(c.outgoing); got != "ERR\r\n" || !c.closingWrite {
		t.Errorf("%q is queued for the client, closing %v", got, c.closingWrite)
	}
	c.mu.Unlock()
	if got := sl.serverInput(); got != "" {
		t.Errorf("the server received %q", got)
	}
}

// TestEventsDuringTheRelayStart guards against lost lines and leaked sessions or descriptors when something happens between the
// establishment of a session and the start of its relay: an end on either side, a list that marks the server as draining, or a shutdown. A
// client that has not disconnected must get the server's line, and both sides must end.
func TestEventsDuringTheRelayStart(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(sl *steppedLoop, server net.Conn)
		after string // everything that the client must read; "" if it has disconnected, "?" if any input is allowed
	}{
		{"the client ends", func(sl *steppedLoop, _ net.Conn) { _ = sl.client.Close() }, ""},
		{"the client resets", func(sl *steppedLoop, _ net.Conn) { _ = sl.client.(*net.TCPConn).SetLinger(0); _ = sl.client.Close() }, ""},
		{"the server ends", func(_ *steppedLoop, server net.Conn) { _ = server.Close() }, "UP 1\r\n"},
		{"the server says more and ends", func(_ *steppedLoop, server net.Conn) {
			_, _ = io.WriteString(server, "M 1\r\nUP 2\r\nBYE\r\n")
			_ = server.Close()
		}, "UP 1\r\nM 1\r\nUP 2\r\nBYE\r\n"},
		{"the server resets", func(_ *steppedLoop, server net.Conn) { _ = server.(*net.TCPConn).SetLinger(0); _ = server.Close() }, "?"},
		{"the server drains", func(sl *steppedLoop, _ net.Conn) {
			sl.l.post(event{run: func() {
				sl.l.applyList(discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: sl.session.upstream.address, Weight: 1, State: policy.Draining},
					{UID: "s-2", Address: sl.session.upstream.address, Weight: 1}}}, false) // a session is migrated only if another server is ready
			}})
		}, "UP 1\r\nMOVE\r\n"},
		{"the process is shut down", func(sl *steppedLoop, _ net.Conn) { sl.l.Shutdown(0, 100*time.Millisecond, func() {}) }, "UP 1\r\nMOVE\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sl := newSteppedLoop(t, policy.Idempotent)
			sl.wantServerConn <- true
			sl.handleConnected()
			sl.runUntil("the server has the request", func() bool { return len(sl.serverConns) > 0 })
			server := <-sl.serverConns
			_, _ = io.WriteString(server, "UP 1\r\n")
			conn := sl.session.client
			conn.mu.Lock() // blocks the detach
			sl.waitUntil("the session is established", func() bool {
				if !sl.session.established {
					sl.l.runOnce()
				}
				return sl.session.established
			})
			c.do(sl, server)
			if c.after != "" {
				for range 3 { // handles the posted events while the detach is blocked
					sl.l.runOnce()
				}
			}
			conn.mu.Unlock()
			got := make(chan string, 1)
			go func() {
				_ = sl.client.SetReadDeadline(time.Now().Add(testTimeout))
				all, _ := io.ReadAll(sl.client)
				got <- string(all)
			}()
			sl.runUntil("no session and no descriptor is left", func() bool { return len(sl.l.sessions) == 0 && sl.l.descriptors.Load() == 0 })
			if text := <-got; c.after != "?" && c.after != "" && text != c.after {
				t.Errorf("the client received %q", text)
			}
			_ = server.SetDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadAll(server); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Error("the server's side is still open")
			}
			if n := sl.l.Panics.Load(); n != 0 || sl.l.openSessions != 0 {
				t.Errorf("%d panics, %d open sessions; want none", n, sl.l.openSessions)
			}
		})
	}
}

// TestAnUnsentAttemptIsRejected guards against a non-idempotent session that is failed although a retry would be harmless. Its attempt times
// out while the request waits to be written, so the session must be rejected.
func TestAnUnsentAttemptIsRejected(t *testing.T) {
	sl := newSteppedLoop(t, policy.NonIdempotent)
	sl.l.freshListDeadline = time.Hour // makes the request wait for a fresh list
	sl.handleConnected()
	sl.l.startTime = sl.l.startTime.Add(-sl.session.attemptDeadline)
	sl.l.runOnce()
	if got := sl.serverInput(); got != "" {
		t.Errorf("the server received %q", got)
	}
	sl.l.runOnce()
	_ = sl.client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := bufio.NewReader(sl.client).ReadString('\n'); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("the client received %q, %v", got, err)
	}
}

// TestAClientWithoutADescriptorIsRejected guards against a client that is reset instead of rejected when no descriptor is free and no
// connection can be evicted. The client's line arrives before the client is accepted.
func TestAClientWithoutADescriptorIsRejected(t *testing.T) {
	testRejectionWithoutADescriptor(t, "OPEN 1 2 c=feed,d=20000\r\n")
}

// TestAClientThatSaysMoreIsRejectedWithoutADescriptor guards against a rejection that is lost to a reset, as a close with unread input
// becomes one: the client has sent more input after its request.
func TestAClientThatSaysMoreIsRejectedWithoutADescriptor(t *testing.T) {
	testRejectionWithoutADescriptor(t, "OPEN 1 2 c=feed,d=20000\r\n"+strings.Repeat("M 1\r\n", 4000))
}

// testRejectionWithoutADescriptor checks that a client that sends text is rejected and its connection closed in order.
func testRejectionWithoutADescriptor(t *testing.T, text string) {
	t.Helper()
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 1, Classes: []policy.Class{{}}}}
	l, err := New(zap.NewNop(), dep, 7, discovery.List{Complete: true}, 1024)
	if err != nil {
		t.Fatal(err)
	}
	l.descriptors.Store(l.availableDescriptors())
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text)
	serve(l, listener)
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), "BUSY") || err != nil {
		t.Fatalf("the client received %q, %v", got, err)
	}
}

// TestAllPairsOfEvents guards against orders of events in which a session is answered twice or never, sent again after it may have been
// served, or left in the loop. It covers all pairs of events that may happen to a session whose request is sent, in both orders and followed
// by a shutdown, for an idempotent and a non-idempotent session. In every order, a client that has not disconnected gets one final answer
// and an end, a non-idempotent request that may have been served is not sent again, a second attempt starts only after the first connection
// has ended, and no session is left.
func TestAllPairsOfEvents(t *testing.T) {
	type act struct {
		name string
		left bool // whether the client disconnects, so that it gets no answer
		do   func(sl *steppedLoop, server *net.TCPConn)
	}
	acts := []act{
		{"the client ends", true, func(sl *steppedLoop, _ *net.TCPConn) { _ = sl.client.Close() }},
		{"the client resets", true, func(sl *steppedLoop, _ *net.TCPConn) {
			_ = sl.client.(*net.TCPConn).SetLinger(0)
			_ = sl.client.Close()
		}},
		{"the client says more", false, func(sl *steppedLoop, _ *net.TCPConn) { _, _ = io.WriteString(sl.client, "M 1\r\n") }},
		{"up", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "UP 1\r\n") }},
		{"up and more", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "UP 1\r\nLOAD 1\r\nUP 2\r\n") }},
		{"rejected", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "BUSY\r\n") }},
		{"an error", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "ERR\r\n") }},
		{"the server ends", false, func(_ *steppedLoop, server *net.TCPConn) { _ = server.CloseWrite() }},
		{"the server resets", false, func(_ *steppedLoop, server *net.TCPConn) { _ = server.SetLinger(0); _ = server.Close() }},
		{"the server drains", false, func(sl *steppedLoop, _ *net.TCPConn) {
			sl.l.post(event{run: func() {
				sl.l.applyList(discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: sl.session.upstream.address, Weight: 1, State: policy.Draining}}}, false)
			}})
		}},
		{"the attempt times out", false, func(sl *steppedLoop, _ *net.TCPConn) {
			sl.l.post(event{run: func() {
				if sl.l.sessions[sl.session.id] == sl.session && sl.session.attemptActive {
					sl.l.attemptTimedOut(sl.session, nil)
				}
			}})
		}},
		{"the process is shut down", false, func(sl *steppedLoop, _ *net.TCPConn) { sl.l.Shutdown(0, 20*time.Millisecond, func() {}) }},
	}
	for _, effect := range []policy.Idempotency{policy.Idempotent, policy.NonIdempotent} {
		for _, first := range acts {
			for _, second := range acts {
				t.Run(first.name+", "+second.name, func(t *testing.T) {
					t.Parallel()
					sl := newSteppedLoop(t, effect)
					sl.wantServerConn <- true
					sl.handleConnected()
					sl.runUntil("the server has the request", func() bool { return len(sl.serverConns) > 0 })
					server := (<-sl.serverConns).(*net.TCPConn)
					defer func() { _ = server.Close() }() // closes it only here, as a garbage-collected connection would be closed too early
					_ = server.SetDeadline(time.Now().Add(testTimeout))
					_ = sl.client.SetDeadline(time.Now().Add(testTimeout))
					asked := len(sl.firstLines)
					for _, a := range []act{first, second} {
						if a.do(sl, server); !a.left {
							sl.l.runOnce() // handles the event if it has arrived already, otherwise a later iteration does
						}
					}
					sl.l.Shutdown(0, 20*time.Millisecond, func() {})
					var got []byte
					var err error
					var over atomic.Bool
					go func() {
						defer over.Store(true)
						if !first.left && !second.left {
							got, err = io.ReadAll(sl.client)
						}
					}()
					sl.runUntil("no session is left and the client's connection has ended", func() bool { return over.Load() && len(sl.l.sessions) == 0 })
					if n := len(sl.firstLines) - asked; n > 0 && effect == policy.NonIdempotent && first.name != "rejected" && second.name != "rejected" {
						t.Errorf("the request, which may have been served, was sent again %d times", n)
					}
					if n := sl.l.Panics.Load(); n != 0 || sl.l.openSessions != 0 || len(sl.l.sessionsByClientID) != 0 {
						t.Errorf("%d panics, %d open sessions, %d client IDs; want none", n, sl.l.openSessions, len(sl.l.sessionsByClientID))
					}
					if first.left || second.left {
						return
					}
					lines := strings.SplitAfter(string(got), "\r\n")
					// Either UP, followed by the server's lines and an end or MOVE, or a single BUSY or ERR.
					ok := lines[0] == "UP 1\r\n" || len(lines) == 2 && lines[1] == "" && (strings.HasPrefix(lines[0], "BUSY") || strings.HasPrefix(lines[0], "ERR"))
					is := func(name string) bool { return first.name == name || second.name == name }
					if lines[0] == "UP 1\r\n" && !is("the server ends") && !is("the server resets") && !is("the client says more") {
						ok = strings.HasSuffix(string(got), "\r\nMOVE\r\n")
					}
					// A reset is forwarded as a reset, which discards unread input. A client that sends more before its answer may be reset.
					if may := is("the server resets") || is("the client says more"); (!may || len(got) > 0) && !ok || !may && err != nil {
						t.Errorf("the client received %q, %v", got, err)
					}
				})
			}
		}
	}
}
