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

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/history"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// These tests force a crossing: two things that happen at once are held, by the loop that only the test turns or by a lock
// that it holds, until they stand in the order that is wanted.

const crossBound = 20 * time.Second

// crossing is a loop that the test turns, with one circuit whose try has just come up: its client and its server are real sockets.
type crossing struct {
	t       *testing.T
	l       *Loop
	session *session
	client  net.Conn    // the client's end
	up      *relay.Conn // to the server
	asked   chan string // the server's first line
	want    chan bool   // the test wants the server's connection for itself, once its line has come
	mine    chan net.Conn
	told    chan string // all that the server was told, once its connection has ended
}

// pipe is a connection of two ends over loopback.
func pipe(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	d, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = d.Close()
	})
	return c.(*net.TCPConn), d.(*net.TCPConn)
}

func descriptor(t *testing.T, c *net.TCPConn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	_ = raw.Control(func(at uintptr) { fd, err = unix.FcntlInt(at, unix.F_DUPFD_CLOEXEC, 3) })
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	return fd
}

func cross(t *testing.T, effect policy.Idempotency) *crossing {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := alone(t, listener.Addr().String(), effect)
	x := &crossing{t: t, l: l, want: make(chan bool, 1), mine: make(chan net.Conn, 1), asked: make(chan string, 4), told: make(chan string, 4)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = c.SetDeadline(time.Now().Add(crossBound))
				r := bufio.NewReader(c)
				got, _ := r.ReadString('\n')
				if got != "" {
					x.asked <- got
				}
				select {
				case <-x.want: // the test answers itself
					x.mine <- c
					return
				default:
				}
				rest, _ := io.ReadAll(r)
				_ = c.Close()
				x.told <- got + string(rest)
			}()
		}
	}()
	near, far := pipe(t)
	nc, err := netpoll.NewFDConnection(descriptor(t, far))
	if err != nil {
		t.Fatal(err)
	}
	l.descriptors.Add(1)
	c := newConn(nc, l, &l.descriptors)
	c.idle = l.idle
	_ = nc.SetOnRequest(c.onReadable)
	x.client = near
	_, _ = io.WriteString(near, "OPEN 1 2 c=feed,d=20000\r\n")
	x.until("the try's connection is up", func() bool {
		if session := l.sessions[1]; session != nil {
			x.session = session
			// Its event stands in the inbox and is taken out: the test says when it is seen.
			return x.take(func(ev event) bool { return ev.session == session })
		}
		return false
	})
	return x
}

// until turns the loop until something holds.
func (x *crossing) until(what string, is func() bool) {
	x.t.Helper()
	for end := time.After(crossBound); !is(); {
		select {
		case <-x.l.wake:
			if x.session == nil {
				x.l.runOnce()
			}
		case <-time.After(time.Millisecond):
		case <-end:
			x.t.Fatalf("not so within %v: %s", crossBound, what)
		}
	}
}

// turns turns the loop, as Run would, until something holds.
func (x *crossing) turns(what string, is func() bool) {
	x.t.Helper()
	for end := time.After(crossBound); !is(); {
		select {
		case <-x.l.wake:
		case <-time.After(time.Millisecond): // the loop's own alarm
		case <-end:
			x.t.Fatalf("not so within %v: %s", crossBound, what)
		}
		x.l.runOnce()
	}
}

// take takes an event out of the inbox.
func (x *crossing) take(is func(event) bool) bool {
	if x.up = x.session.dial.conn.Load(); x.up == nil { // it may be up before who dials knows it
		return false
	}
	x.l.mu.Lock()
	defer x.l.mu.Unlock()
	for i, ev := range x.l.inbox {
		if is(ev) {
			x.l.inbox = append(x.l.inbox[:i], x.l.inbox[i+1:]...)
			return true
		}
	}
	return false
}

// has tells whether an event stands in the inbox.
func (x *crossing) has(is func(event) bool) bool {
	x.l.mu.Lock()
	defer x.l.mu.Unlock()
	for _, ev := range x.l.inbox {
		if is(ev) {
			return true
		}
	}
	return false
}

// see has the loop see that the try's connection is up, as its event would.
func (x *crossing) see() {
	x.session.dial.finished = true
	x.l.now = time.Since(x.l.startTime)
	x.l.upstreamDialed(x.session, x.session.generation, x.up, nil)
}

// settled turns the loop until the server's connection has ended, and answers what the server was told.
func (x *crossing) settled() string {
	x.t.Helper()
	for end := time.After(crossBound); ; {
		select {
		case <-x.l.wake:
			x.l.runOnce()
		case got := <-x.told:
			return got
		case <-end:
			x.t.Fatal("the server's connection does not end")
		}
	}
}

// TestAClientThatLeftBeforeTheLineIsWritten has a client leave while its try's connection comes up; the loop sees that first,
// and the client's end, which it has been posted or nobody has read, only later. Nothing of it may go to the server. Guards the
// operators' word: what a client that has left was waiting for is not sent on.
func TestAClientThatLeftBeforeTheLineIsWritten(t *testing.T) {
	for _, how := range []string{"end", "half-close", "reset", "unread bytes and end"} {
		t.Run(how, func(t *testing.T) {
			x := cross(t, policy.Idempotent)
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
			x.until("its end is here", func() bool { return x.has(func(ev event) bool { return ev.conn == c && ev.disconnect != nil }) })
			x.see()
			if got := x.settled(); got != "" {
				t.Errorf("the server was told %q", got)
			}
			if n := len(x.l.sessions); n != 0 {
				t.Errorf("%d circuits are left", n)
			}
		})
	}
}

// TestATryWhoseTimeIsUpIsNotSent has the process stopped while a connection comes up, past the try's time: it is seen first.
func TestATryWhoseTimeIsUpIsNotSent(t *testing.T) {
	x := cross(t, policy.NonIdempotent)
	x.session.attemptDeadline = time.Since(x.l.startTime)
	x.see()
	if got := x.settled(); got != "" {
		t.Errorf("the server was told %q", got)
	}
	if n := x.l.Outcomes[policy.NeverSent].Load(); n != 1 {
		t.Errorf("%d ended as never sent", n)
	}
}

// TestAStallBetweenTheLookAndTheWrite holds the goroutine that writes a line until the list has said that the server drains:
// the line is not written by what was seen before.
func TestAStallBetweenTheLookAndTheWrite(t *testing.T) {
	x := cross(t, policy.Idempotent)
	c := x.session.client
	c.mu.Lock() // it looks at the client last
	x.see()
	held := time.Now()
	x.l.applyList(discovery.List{Whole: true, Servers: []discovery.Server{{UID: "s-1", Endpoint: x.session.upstream.address, Heft: 1, State: policy.Draining}}}, false)
	x.until("the look is old", func() bool { return time.Since(held) > maxCheckAge })
	c.mu.Unlock()
	if got := x.settled(); got != "" {
		t.Errorf("a draining server was told %q", got)
	}
	_ = x.client.SetReadDeadline(time.Now().Add(crossBound))
	if got, err := bufio.NewReader(x.client).ReadString('\n'); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("the client got %q, %v", got, err)
	}
}

// TestNothingIsSentBeforeDiscoveryIsHeard starts with a list by which a server is ready that drains by discovery's, and stops a
// loop in between: each time the agent's word, which counts as told, is heard before a line is written. Where discovery is
// silent the line goes after a while all the same.
func TestNothingIsSentBeforeDiscoveryIsHeard(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		for _, silent := range []bool{false, true} {
			x := cross(t, policy.Idempotent)
			agent, err := emulator.NewAgent(0, &emulator.Clock{}, history.New(0), func(string) int { return 0 })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(agent.Close)
			if silent {
				agent.Misbehave(emulator.Mute)
			}
			agent.Set(emulator.Endpoint{UID: "s-1", Address: x.session.upstream.address, State: emulator.Terminating, Weight: 1})
			ctx, stop := context.WithCancel(context.Background())
			t.Cleanup(stop)
			heard := x.l.Lists.Load()
			if stalled { // the loop was there before: it is followed already, and its newest word is not in yet
				x.l.watch = discovery.New(agent.Addr(), 1, false, func(list discovery.List) {
					x.l.post(event{run: func() { x.l.applyList(list, false) }})
				}, func(error) {})
				x.l.startTime = x.l.startTime.Add(-2 * time.Second) // stopped for so long, and the try's time is not up
				x.l.post(event{run: x.see})
			} else {
				x.l.FollowDiscovery(ctx, agent.Addr())
				x.l.post(event{run: x.see})
			}
			x.l.runOnce()
			if x.l.Lists.Load() != heard || len(x.l.deferred) != 1 {
				t.Fatalf("%d lists heard before, %d lines wait", x.l.Lists.Load()-heard, len(x.l.deferred))
			}
			if stalled {
				go x.l.watch.Run(ctx)
			}
			if silent {
				x.turns("a silent discovery is waited for no longer", func() bool { return len(x.asked) > 0 })
				_ = x.client.Close()
			}
			if got := x.settled(); (got != "") != silent {
				t.Errorf("stalled %v, silent %v: the server was told %q", stalled, silent, got)
			}
		}
	}
}

// TestACircuitThatCantBeMadeAPairIsAnswered has no descriptor left for the hand-over of a circuit that is up: its client is told
// in time, and the loop does not try for ever.
func TestACircuitThatCantBeMadeAPairIsAnswered(t *testing.T) {
	x := cross(t, policy.NonIdempotent)
	c := x.session.client
	c.mu.Lock()
	c.writing = true // a writer that hangs looks the same: the hand-over has to wait
	c.mu.Unlock()
	x.session.dial.finished, x.session.dial, x.session.upstreamConn = true, nil, x.up
	x.l.now = time.Since(x.l.startTime)
	x.l.sessionEstablished(x.session, protocol.Decode([]byte("UP 1\r\n")))
	began := time.Now()
	x.turns("it is tried no more", func() bool { return len(x.l.sessions) == 0 })
	if took := time.Since(began); took < relayStartTimeout/2 {
		t.Errorf("given up after %v", took)
	}
	c.mu.Lock()
	if got := string(c.outgoing); got != "ERR\r\n" || !c.closingWrite {
		t.Errorf("the client gets %q, ending %v", got, c.closingWrite)
	}
	c.mu.Unlock()
	if got := x.settled(); got != "" {
		t.Errorf("the server was told %q", got)
	}
}

// TestWhatCrossesTheHandOver has a circuit come to stand and holds the hand-over of its client until something else has happened:
// an end on either side, the list's word that the server drains, the end of the process. The server's line reaches a client that
// is there, both sides end, and nothing is left behind.
func TestWhatCrossesTheHandOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		do    func(x *crossing, server net.Conn)
		after string // what the client reads, to the end
	}{
		{"the client ends", func(x *crossing, _ net.Conn) { _ = x.client.Close() }, ""},
		{"the client resets", func(x *crossing, _ net.Conn) { _ = x.client.(*net.TCPConn).SetLinger(0); _ = x.client.Close() }, ""},
		{"the server ends", func(_ *crossing, server net.Conn) { _ = server.Close() }, "UP 1\r\n"},
		{"the server says more and ends", func(_ *crossing, server net.Conn) {
			_, _ = io.WriteString(server, "M 1\r\nUP 2\r\nBYE\r\n")
			_ = server.Close()
		}, "UP 1\r\nM 1\r\nUP 2\r\nBYE\r\n"},
		{"the server resets", func(_ *crossing, server net.Conn) { _ = server.(*net.TCPConn).SetLinger(0); _ = server.Close() }, "?"},
		{"the server drains", func(x *crossing, _ net.Conn) {
			x.l.post(event{run: func() {
				x.l.applyList(discovery.List{Whole: true, Servers: []discovery.Server{{UID: "s-1", Endpoint: x.session.upstream.address, Heft: 1, State: policy.Draining},
					{UID: "s-2", Endpoint: x.session.upstream.address, Heft: 1}}}, false) // nobody is moved to nowhere
			}})
		}, "UP 1\r\nMOVE\r\n"},
		{"the process is told to end", func(x *crossing, _ net.Conn) { x.l.Shutdown(0, 100*time.Millisecond, func() {}) }, "UP 1\r\nMOVE\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := cross(t, policy.Idempotent)
			x.want <- true
			x.see()
			x.turns("the server gets its line", func() bool { return len(x.mine) > 0 })
			server := <-x.mine
			_, _ = io.WriteString(server, "UP 1\r\n")
			conn := x.session.client
			conn.mu.Lock() // the hand-over waits for it
			x.until("it stands", func() bool {
				if !x.session.established {
					x.l.runOnce()
				}
				return x.session.established
			})
			c.do(x, server)
			if c.after != "" {
				for range 3 { // what has been posted is taken in while the hand-over waits
					x.l.runOnce()
				}
			}
			conn.mu.Unlock()
			got := make(chan string, 1)
			go func() {
				_ = x.client.SetReadDeadline(time.Now().Add(crossBound))
				all, _ := io.ReadAll(x.client)
				got <- string(all)
			}()
			x.turns("no circuit and no descriptor is left", func() bool { return len(x.l.sessions) == 0 && x.l.descriptors.Load() == 0 })
			if text := <-got; c.after != "?" && c.after != "" && text != c.after {
				t.Errorf("the client got %q", text)
			}
			_ = server.SetDeadline(time.Now().Add(crossBound))
			if _, err := io.ReadAll(server); err != nil && strings.Contains(err.Error(), "timeout") {
				t.Error("the server's side is open")
			}
			if n := x.l.Panics.Load(); n != 0 || x.l.openSessions != 0 {
				t.Errorf("%d panics, %d open", n, x.l.openSessions)
			}
		})
	}
}

// TestATryThatNeverWentOutHasNotRun has a try's time run out while its line waits to be written: one that must not run twice is
// nacked, as trying again is harmless.
func TestATryThatNeverWentOutHasNotRun(t *testing.T) {
	x := cross(t, policy.NonIdempotent)
	x.l.freshListDeadline = time.Hour // discovery is waited for
	x.see()
	x.l.startTime = x.l.startTime.Add(-x.session.attemptDeadline)
	x.l.runOnce()
	if got := x.settled(); got != "" {
		t.Errorf("the server was told %q", got)
	}
	x.l.runOnce()
	_ = x.client.SetReadDeadline(time.Now().Add(crossBound))
	if got, err := bufio.NewReader(x.client).ReadString('\n'); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("the client got %q, %v", got, err)
	}
}

// TestAClientForWhomThereIsNoRoomReadsSo has a client's line lie here before it is accepted, and no descriptor be left that could be
// shed: it reads its nack and a plain end.
func TestAClientForWhomThereIsNoRoomReadsSo(t *testing.T) {
	dep := &deployment.Settings{Policy: &policy.Config{Balancers: 1, Classes: []policy.Class{{}}}}
	l, err := New(zap.NewNop(), dep, 7, discovery.List{Whole: true}, 1024)
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
	_ = c.SetDeadline(time.Now().Add(crossBound))
	_, _ = io.WriteString(c, "OPEN 1 2 c=feed,d=20000\r\n")
	serve(l, door)
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), "BUSY") || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
}

// TestEachTwoEventsInEachOrder walks all pairs of what may happen to a circuit whose line is out, in both orders, with the end of the
// process behind them, for a circuit that may run again and one that must not. Whatever crosses: a client that is there gets one
// final answer and an end; a circuit that must not run twice is asked once where it may have run; a second try comes only once
// the first connection has ended; and nothing is left in the loop.
func TestEachTwoEventsInEachOrder(t *testing.T) {
	type act struct {
		name string
		left bool // the client takes no answer any more
		do   func(x *crossing, server *net.TCPConn)
	}
	acts := []act{
		{"the client ends", true, func(x *crossing, _ *net.TCPConn) { _ = x.client.Close() }},
		{"the client resets", true, func(x *crossing, _ *net.TCPConn) { _ = x.client.(*net.TCPConn).SetLinger(0); _ = x.client.Close() }},
		{"the client says more", false, func(x *crossing, _ *net.TCPConn) { _, _ = io.WriteString(x.client, "M 1\r\n") }},
		{"up", false, func(_ *crossing, server *net.TCPConn) { _, _ = io.WriteString(server, "UP 1\r\n") }},
		{"up and more", false, func(_ *crossing, server *net.TCPConn) { _, _ = io.WriteString(server, "UP 1\r\nLOAD 1\r\nUP 2\r\n") }},
		{"turned away", false, func(_ *crossing, server *net.TCPConn) { _, _ = io.WriteString(server, "BUSY\r\n") }},
		{"an error", false, func(_ *crossing, server *net.TCPConn) { _, _ = io.WriteString(server, "ERR\r\n") }},
		{"the server ends", false, func(_ *crossing, server *net.TCPConn) { _ = server.CloseWrite() }},
		{"the server resets", false, func(_ *crossing, server *net.TCPConn) { _ = server.SetLinger(0); _ = server.Close() }},
		{"the server drains", false, func(x *crossing, _ *net.TCPConn) {
			x.l.post(event{run: func() {
				x.l.applyList(discovery.List{Whole: true, Servers: []discovery.Server{{UID: "s-1", Endpoint: x.session.upstream.address, Heft: 1, State: policy.Draining}}}, false)
			}})
		}},
		{"the try's time is up", false, func(x *crossing, _ *net.TCPConn) {
			x.l.post(event{run: func() {
				if x.l.sessions[x.session.id] == x.session && x.session.attemptActive {
					x.l.attemptTimedOut(x.session, nil)
				}
			}})
		}},
		{"the process is told to end", false, func(x *crossing, _ *net.TCPConn) { x.l.Shutdown(0, 20*time.Millisecond, func() {}) }},
	}
	for _, effect := range []policy.Idempotency{policy.Idempotent, policy.NonIdempotent} {
		for _, first := range acts {
			for _, second := range acts {
				t.Run(first.name+", "+second.name, func(t *testing.T) {
					t.Parallel()
					x := cross(t, effect)
					x.want <- true
					x.see()
					x.turns("the server gets its line", func() bool { return len(x.mine) > 0 })
					server := (<-x.mine).(*net.TCPConn)
					defer func() { _ = server.Close() }() // and not before: one that nobody holds would be closed
					_ = server.SetDeadline(time.Now().Add(crossBound))
					_ = x.client.SetDeadline(time.Now().Add(crossBound))
					asked := len(x.asked)
					for _, a := range []act{first, second} {
						if a.do(x, server); !a.left {
							x.l.runOnce() // with what is here by now, or the next time
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
					x.turns("no circuit is left, and its client has an end", func() bool { return over.Load() && len(x.l.sessions) == 0 })
					if n := len(x.asked) - asked; n > 0 && effect == policy.NonIdempotent && first.name != "turned away" && second.name != "turned away" {
						t.Errorf("asked %d times more, and it may have run", n)
					}
					if n := x.l.Panics.Load(); n != 0 || x.l.openSessions != 0 || len(x.l.sessionsByClientID) != 0 {
						t.Errorf("%d panics, %d open, %d ids", n, x.l.openSessions, len(x.l.sessionsByClientID))
					}
					if first.left || second.left {
						return
					}
					lines := strings.SplitAfter(string(got), "\r\n")
					// An UP, then what its server says and an end or a MOVE; or one other answer.
					ok := lines[0] == "UP 1\r\n" || len(lines) == 2 && lines[1] == "" && (strings.HasPrefix(lines[0], "BUSY") || strings.HasPrefix(lines[0], "ERR"))
					is := func(name string) bool { return first.name == name || second.name == name }
					if lines[0] == "UP 1\r\n" && !is("the server ends") && !is("the server resets") && !is("the client says more") {
						ok = strings.HasSuffix(string(got), "\r\nMOVE\r\n")
					}
					// A reset goes on as it came, and takes along what was not read; a client that says more before its answer is bad,
					// and may be reset.
					if may := is("the server resets") || is("the client says more"); (!may || len(got) > 0) && !ok || !may && err != nil {
						t.Errorf("the client got %q, %v", got, err)
					}
				})
			}
		}
	}
}
