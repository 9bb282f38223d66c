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

// These tests force an order of two things that happen at the same time: both are held, by a loop that only the test steps or by a lock that
// it holds.

const testTimeout = 20 * time.Second

// TestAClientThatLeftBeforeTheRequestIsWritten has a client leave while its attempt's connection comes up. The loop handles that first, and the
// client's end, which is posted or unread, only later. The request must not be written: its client has left.
func TestAClientThatLeftBeforeTheRequestIsWritten(t *testing.T) {
	for _, how := range []string{"end", "half-close", "reset", "unread bytes and end"} {
		t.Run(how, func(t *testing.T) {
			x := newSteppedLoop(t, policy.Idempotent)
			switch tcp := x.client.(*net.TCPConn); how {
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
			c := x.session.client
			x.waitUntil("its end is here", func() bool { return x.hasEvent(func(ev event) bool { return ev.conn == c && ev.disconnect != nil }) })
			x.handleConnected()
			if got := x.serverInput(); got != "" {
				t.Errorf("the server was sent %q", got)
			}
			if n := len(x.l.sessions); n != 0 {
				t.Errorf("%d sessions are left", n)
			}
		})
	}
}

// TestAWriteAfterTheCloseFails has netpoll close a client's connection between the writer's check and its write, and free its buffers at any
// moment after: each write fails and none panics.
func TestAWriteAfterTheCloseFails(t *testing.T) {
	x := newSteppedLoop(t, policy.Idempotent)
	c := x.session.client
	_ = x.client.(*net.TCPConn).SetLinger(0)
	_ = x.client.Close()
	x.waitUntil("its end is here", func() bool { return x.hasEvent(func(ev event) bool { return ev.conn == c && ev.disconnect != nil }) })
	for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if err := c.writeNow([]byte("ERR\r\n")); err == nil {
			t.Fatal("a write succeeds")
		}
	}
	if stage := c.currentStage(); stage != StageConnected {
		t.Errorf("its stage is %v", stage)
	}
}

// TestATimedOutAttemptIsNotSent has the process stopped while a connection comes up, until after the attempt's deadline. The loop handles the
// connection first.
func TestATimedOutAttemptIsNotSent(t *testing.T) {
	x := newSteppedLoop(t, policy.NonIdempotent)
	x.session.attemptDeadline = time.Since(x.l.startTime)
	x.handleConnected()
	if got := x.serverInput(); got != "" {
		t.Errorf("the server was sent %q", got)
	}
	if n := x.l.Outcomes[policy.NeverSent].Load(); n != 1 {
		t.Errorf("%d ended as never sent", n)
	}
}

// TestAStallBetweenCheckAndWrite holds the goroutine that writes a request until the endpoint list says that the server drains: the request is
// not written by the earlier check.
func TestAStallBetweenCheckAndWrite(t *testing.T) {
	x := newSteppedLoop(t, policy.Idempotent)
	c := x.session.client
	c.mu.Lock() // the client is checked last
	x.handleConnected()
	held := time.Now()
	x.l.applyList(discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: x.session.upstream.address, Weight: 1, State: policy.Draining}}}, false)
	x.waitUntil("the check is old", func() bool { return time.Since(held) > maxCheckAge })
	c.mu.Unlock()
	if got := x.serverInput(); got != "" {
		t.Errorf("a draining server was sent %q", got)
	}
	_ = x.client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := bufio.NewReader(x.client).ReadString('\n'); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("the client got %q, %v", got, err)
	}
}

// TestNothingIsSentBeforeAFreshList starts with a list by which a server is ready, while by discovery's it is draining, and stops a loop in
// between: each time discovery's list is applied before a request is written. Where discovery is silent the request is sent after a while.
func TestNothingIsSentBeforeAFreshList(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			x := newSteppedLoop(t, policy.Idempotent)
			agent, err := emulator.NewAgent(0, &emulator.Clock{}, history.New(0), func(string) int { return 0 })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(agent.Close)
			if silent {
				agent.Misbehave(emulator.Unresponsive)
			}
			agent.Set(emulator.Endpoint{UID: "s-1", Address: x.session.upstream.address, State: emulator.Terminating, Weight: 1})
			ctx, stop := context.WithCancel(context.Background())
			t.Cleanup(stop)
			before := x.l.Lists.Load()
			if stalled { // the loop ran before: it follows discovery, whose newest list is not here yet
				x.l.watch = discovery.New(agent.Addr(), 1, false, func(list discovery.List) {
					x.l.post(event{run: func() { x.l.applyList(list, false) }})
				}, func(error) {})
				x.l.startTime = x.l.startTime.Add(-2 * time.Second) // stopped for so long, which is before the attempt's deadline
				x.l.post(event{run: x.handleConnected})
			} else {
				x.l.FollowDiscovery(ctx, agent.Addr())
				x.l.post(event{run: x.handleConnected})
			}
			x.l.runOnce()
			if x.l.Lists.Load() != before || len(x.l.deferred) != 1 {
				t.Fatalf("%d lists applied before, %d requests wait", x.l.Lists.Load()-before, len(x.l.deferred))
			}
			if stalled {
				go x.l.watch.Run(ctx)
			}
			if silent {
				x.runUntil("a silent discovery is waited for no longer", func() bool { return len(x.firstLines) > 0 })
				_ = x.client.Close()
			}
			if got := x.serverInput(); (got != "") != silent {
				t.Errorf("stalled %v, silent %v: the server was sent %q", stalled, silent, got)
			}
		}
	}
}

// TestASessionThatCantBeRelayedIsAnswered has no descriptor left to relay an established session: its client gets an answer in time, and the loop
// gives up.
func TestASessionThatCantBeRelayedIsAnswered(t *testing.T) {
	x := newSteppedLoop(t, policy.NonIdempotent)
	c := x.session.client
	c.mu.Lock()
	c.writing = true // a writer that hangs looks the same: the detach has to wait
	c.mu.Unlock()
	x.session.dial.finished, x.session.dial, x.session.upstreamConn = true, nil, x.upstreamConn
	x.l.now = time.Since(x.l.startTime)
	x.l.sessionEstablished(x.session, protocol.Decode([]byte("UP 1\r\n")))
	began := time.Now()
	x.runUntil("it is given up", func() bool { return len(x.l.sessions) == 0 })
	if took := time.Since(began); took < relayStartTimeout/2 {
		t.Errorf("given up after %v", took)
	}
	c.mu.Lock()
	if got := string(c.outgoing); got != "ERR\r\n" || !c.closingWrite {
		t.Errorf("the client gets %q, ending %v", got, c.closingWrite)
	}
	c.mu.Unlock()
	if got := x.serverInput(); got != "" {
		t.Errorf("the server was sent %q", got)
	}
}

// TestEventsDuringTheRelayStart holds the start of an established session's relay until something else has happened: an end on either side, a list
// by which the server drains, a shutdown. The server's line reaches a client that is there, both sides end, and nothing is left behind.
func TestEventsDuringTheRelayStart(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(x *steppedLoop, server net.Conn)
		after string // what the client reads, to the end
	}{
		{"the client ends", func(x *steppedLoop, _ net.Conn) { _ = x.client.Close() }, ""},
		{"the client resets", func(x *steppedLoop, _ net.Conn) { _ = x.client.(*net.TCPConn).SetLinger(0); _ = x.client.Close() }, ""},
		{"the server ends", func(_ *steppedLoop, server net.Conn) { _ = server.Close() }, "UP 1\r\n"},
		{"the server says more and ends", func(_ *steppedLoop, server net.Conn) {
			_, _ = io.WriteString(server, "M 1\r\nUP 2\r\nBYE\r\n")
			_ = server.Close()
		}, "UP 1\r\nM 1\r\nUP 2\r\nBYE\r\n"},
		{"the server resets", func(_ *steppedLoop, server net.Conn) { _ = server.(*net.TCPConn).SetLinger(0); _ = server.Close() }, "?"},
		{"the server drains", func(x *steppedLoop, _ net.Conn) {
			x.l.post(event{run: func() {
				x.l.applyList(discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: x.session.upstream.address, Weight: 1, State: policy.Draining},
					{UID: "s-2", Address: x.session.upstream.address, Weight: 1}}}, false) // otherwise there is no server to migrate to
			}})
		}, "UP 1\r\nMOVE\r\n"},
		{"the process is shut down", func(x *steppedLoop, _ net.Conn) { x.l.Shutdown(0, 100*time.Millisecond, func() {}) }, "UP 1\r\nMOVE\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newSteppedLoop(t, policy.Idempotent)
			x.wantServerConn <- true
			x.handleConnected()
			x.runUntil("the server gets its line", func() bool { return len(x.serverConns) > 0 })
			server := <-x.serverConns
			_, _ = io.WriteString(server, "UP 1\r\n")
			conn := x.session.client
			conn.mu.Lock() // the detach waits for it
			x.waitUntil("it is established", func() bool {
				if !x.session.established {
					x.l.runOnce()
				}
				return x.session.established
			})
			c.do(x, server)
			if c.after != "" {
				for range 3 { // what has been posted is handled while the detach waits
					x.l.runOnce()
				}
			}
			conn.mu.Unlock()
			got := make(chan string, 1)
			go func() {
				_ = x.client.SetReadDeadline(time.Now().Add(testTimeout))
				all, _ := io.ReadAll(x.client)
				got <- string(all)
			}()
			x.runUntil("no session and no descriptor is left", func() bool { return len(x.l.sessions) == 0 && x.l.descriptors.Load() == 0 })
			if text := <-got; c.after != "?" && c.after != "" && text != c.after {
				t.Errorf("the client got %q", text)
			}
			_ = server.SetDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadAll(server); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Error("the server's side is open")
			}
			if n := x.l.Panics.Load(); n != 0 || x.l.openSessions != 0 {
				t.Errorf("%d panics, %d open", n, x.l.openSessions)
			}
		})
	}
}

// TestAnUnsentAttemptIsRejected has an attempt time out while its request waits to be written: also a non-idempotent one is rejected, as a retry is
// harmless.
func TestAnUnsentAttemptIsRejected(t *testing.T) {
	x := newSteppedLoop(t, policy.NonIdempotent)
	x.l.freshListDeadline = time.Hour // a fresh list is waited for
	x.handleConnected()
	x.l.startTime = x.l.startTime.Add(-x.session.attemptDeadline)
	x.l.runOnce()
	if got := x.serverInput(); got != "" {
		t.Errorf("the server was sent %q", got)
	}
	x.l.runOnce()
	_ = x.client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := bufio.NewReader(x.client).ReadString('\n'); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("the client got %q, %v", got, err)
	}
}

// TestAClientWithoutADescriptorIsRejected has a client's line arrive before it is accepted, and no connection that could be evicted: the client
// reads its rejection and an orderly end.
func TestAClientWithoutADescriptorIsRejected(t *testing.T) {
	testRejectionWithoutADescriptor(t, "OPEN 1 2 c=feed,d=20000\r\n")
}

// Guards against a rejection that a reset overtakes: what a client had sent behind its request was left unread at the close.
func TestAClientThatSaysMoreIsRejectedWithoutADescriptor(t *testing.T) {
	testRejectionWithoutADescriptor(t, "OPEN 1 2 c=feed,d=20000\r\n"+strings.Repeat("M 1\r\n", 4000))
}

func testRejectionWithoutADescriptor(t *testing.T, text string) {
	t.Helper()
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 1, Classes: []policy.Class{{}}}}
	l, err := New(zap.NewNop(), dep, 7, discovery.List{Complete: true}, 1024)
	if err != nil {
		t.Fatal(err)
	}
	l.descriptors.Store(l.availableDescriptors())
	door, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", door.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text)
	serve(l, door)
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), "BUSY") || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
}

// TestAllPairsOfEvents has all pairs of what may happen to a session whose request is sent, in both orders, with a shutdown behind them, for an
// idempotent and a non-idempotent session. Whatever the order: a client that is there gets one final answer and an end; a non-idempotent
// request that may have been served is not sent again; a second attempt comes only once the first connection has ended; and nothing is left in
// the loop.
func TestAllPairsOfEvents(t *testing.T) {
	type act struct {
		name string
		left bool // the client takes no answer any more
		do   func(x *steppedLoop, server *net.TCPConn)
	}
	acts := []act{
		{"the client ends", true, func(x *steppedLoop, _ *net.TCPConn) { _ = x.client.Close() }},
		{"the client resets", true, func(x *steppedLoop, _ *net.TCPConn) { _ = x.client.(*net.TCPConn).SetLinger(0); _ = x.client.Close() }},
		{"the client says more", false, func(x *steppedLoop, _ *net.TCPConn) { _, _ = io.WriteString(x.client, "M 1\r\n") }},
		{"up", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "UP 1\r\n") }},
		{"up and more", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "UP 1\r\nLOAD 1\r\nUP 2\r\n") }},
		{"rejected", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "BUSY\r\n") }},
		{"an error", false, func(_ *steppedLoop, server *net.TCPConn) { _, _ = io.WriteString(server, "ERR\r\n") }},
		{"the server ends", false, func(_ *steppedLoop, server *net.TCPConn) { _ = server.CloseWrite() }},
		{"the server resets", false, func(_ *steppedLoop, server *net.TCPConn) { _ = server.SetLinger(0); _ = server.Close() }},
		{"the server drains", false, func(x *steppedLoop, _ *net.TCPConn) {
			x.l.post(event{run: func() {
				x.l.applyList(discovery.List{Complete: true, Endpoints: []discovery.Endpoint{{UID: "s-1", Address: x.session.upstream.address, Weight: 1, State: policy.Draining}}}, false)
			}})
		}},
		{"the attempt times out", false, func(x *steppedLoop, _ *net.TCPConn) {
			x.l.post(event{run: func() {
				if x.l.sessions[x.session.id] == x.session && x.session.attemptActive {
					x.l.attemptTimedOut(x.session, nil)
				}
			}})
		}},
		{"the process is shut down", false, func(x *steppedLoop, _ *net.TCPConn) { x.l.Shutdown(0, 20*time.Millisecond, func() {}) }},
	}
	for _, effect := range []policy.Idempotency{policy.Idempotent, policy.NonIdempotent} {
		for _, first := range acts {
			for _, second := range acts {
				t.Run(first.name+", "+second.name, func(t *testing.T) {
					t.Parallel()
					x := newSteppedLoop(t, effect)
					x.wantServerConn <- true
					x.handleConnected()
					x.runUntil("the server gets its line", func() bool { return len(x.serverConns) > 0 })
					server := (<-x.serverConns).(*net.TCPConn)
					defer func() { _ = server.Close() }() // not before: a connection that is garbage-collected is closed
					_ = server.SetDeadline(time.Now().Add(testTimeout))
					_ = x.client.SetDeadline(time.Now().Add(testTimeout))
					asked := len(x.firstLines)
					for _, a := range []act{first, second} {
						if a.do(x, server); !a.left {
							x.l.runOnce() // with what has arrived by now, or next time
						}
					}
					x.l.Shutdown(0, 20*time.Millisecond, func() {})
					var got []byte
					var err error
					var over atomic.Bool
					go func() {
						defer over.Store(true)
						if !first.left && !second.left {
							got, err = io.ReadAll(x.client)
						}
					}()
					x.runUntil("no session is left, and its client has an end", func() bool { return over.Load() && len(x.l.sessions) == 0 })
					if n := len(x.firstLines) - asked; n > 0 && effect == policy.NonIdempotent && first.name != "rejected" && second.name != "rejected" {
						t.Errorf("sent %d times more, and it may have been served", n)
					}
					if n := x.l.Panics.Load(); n != 0 || x.l.openSessions != 0 || len(x.l.sessionsByClientID) != 0 {
						t.Errorf("%d panics, %d open, %d ids", n, x.l.openSessions, len(x.l.sessionsByClientID))
					}
					if first.left || second.left {
						return
					}
					lines := strings.SplitAfter(string(got), "\r\n")
					// UP, then what the server says and an end or MOVE; or one other answer.
					ok := lines[0] == "UP 1\r\n" || len(lines) == 2 && lines[1] == "" && (strings.HasPrefix(lines[0], "BUSY") || strings.HasPrefix(lines[0], "ERR"))
					is := func(name string) bool { return first.name == name || second.name == name }
					if lines[0] == "UP 1\r\n" && !is("the server ends") && !is("the server resets") && !is("the client says more") {
						ok = strings.HasSuffix(string(got), "\r\nMOVE\r\n")
					}
					// A reset is forwarded as a reset and loses what was not read. A client that sends more before its answer may be reset.
					if may := is("the server resets") || is("the client says more"); (!may || len(got) > 0) && !ok || !may && err != nil {
						t.Errorf("the client got %q, %v", got, err)
					}
				})
			}
		}
	}
}
