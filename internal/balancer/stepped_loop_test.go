package balancer

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"sabletally/internal/relay"
	"sabletally/policy"
)

// steppedLoop is a loop that the test steps, with one session whose attempt is just connected. Its client and its server are real sockets.
type steppedLoop struct {
	t              *testing.T
	l              *Loop
	session        *session
	client         net.Conn    // the client's end
	upstreamConn   *relay.Conn // to the server
	firstLines     chan string // of servers
	wantServerConn chan bool   // the test wants to be the server itself, once its line has arrived
	serverConns    chan net.Conn
	serverInputs   chan string // all that a server received, once its connection has ended
}

// tcpPipe returns both ends of a TCP connection.
func tcpPipe(t *testing.T) (near, far *net.TCPConn) {
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

func detachDescriptor(t *testing.T, c *net.TCPConn) int {
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

func newSteppedLoop(t *testing.T, effect policy.Idempotency) *steppedLoop {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := newLoopWithServer(t, listener.Addr().String(), effect)
	x := &steppedLoop{t: t, l: l, wantServerConn: make(chan bool, 1), serverConns: make(chan net.Conn, 1), firstLines: make(chan string, 4), serverInputs: make(chan string, 4)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				r := bufio.NewReader(c)
				got, _ := r.ReadString('\n')
				if got != "" {
					x.firstLines <- got
				}
				select {
				case <-x.wantServerConn: // the test is the server itself
					x.serverConns <- c
					return
				default:
				}
				rest, _ := io.ReadAll(r)
				_ = c.Close()
				x.serverInputs <- got + string(rest)
			}()
		}
	}()
	near, far := tcpPipe(t)
	nc, err := netpoll.NewFDConnection(detachDescriptor(t, far))
	if err != nil {
		t.Fatal(err)
	}
	l.descriptors.Add(1)
	c := newConn(nc, l, &l.descriptors)
	c.idle = l.idle
	_ = nc.SetOnRequest(c.onReadable)
	x.client = near
	_, _ = io.WriteString(near, "OPEN 1 2 c=feed,d=20000\r\n")
	x.waitUntil("the attempt's connection is up", func() bool {
		if session := l.sessions[1]; session != nil {
			x.session = session
			// Its event is taken out of the inbox: the test decides when it is handled.
			return x.takeEvent(func(ev event) bool { return ev.session == session })
		}
		return false
	})
	return x
}

// waitUntil steps the loop until a condition holds; without a step once there is a session.
func (x *steppedLoop) waitUntil(what string, is func() bool) {
	x.t.Helper()
	for end := time.After(testTimeout); !is(); {
		select {
		case <-x.l.wake:
			if x.session == nil {
				x.l.runOnce()
			}
		case <-time.After(time.Millisecond):
		case <-end:
			x.t.Fatalf("not so within %v: %s", testTimeout, what)
		}
	}
}

// runUntil steps the loop, as Run would, until a condition holds.
func (x *steppedLoop) runUntil(what string, is func() bool) {
	x.t.Helper()
	for end := time.After(testTimeout); !is(); {
		select {
		case <-x.l.wake:
		case <-time.After(time.Millisecond): // as the loop's timer would
		case <-end:
			x.t.Fatalf("not so within %v: %s", testTimeout, what)
		}
		x.l.runOnce()
	}
}

// takeEvent takes an event out of the inbox.
func (x *steppedLoop) takeEvent(is func(event) bool) bool {
	if x.upstreamConn = x.session.dial.conn.Load(); x.upstreamConn == nil { // the connection may be up before the dialing goroutine has stored it
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

// hasEvent reports whether an event is in the inbox.
func (x *steppedLoop) hasEvent(is func(event) bool) bool {
	x.l.mu.Lock()
	defer x.l.mu.Unlock()
	for _, ev := range x.l.inbox {
		if is(ev) {
			return true
		}
	}
	return false
}

// handleConnected has the loop handle the attempt's connection, as its event would.
func (x *steppedLoop) handleConnected() {
	x.session.dial.finished = true
	x.l.now = time.Since(x.l.startTime)
	x.l.upstreamDialed(x.session, x.session.generation, x.upstreamConn, nil)
}

// serverInput steps the loop until the server's connection has ended, and returns what the server received.
func (x *steppedLoop) serverInput() string {
	x.t.Helper()
	for end := time.After(testTimeout); ; {
		select {
		case <-x.l.wake:
			x.l.runOnce()
		case got := <-x.serverInputs:
			return got
		case <-end:
			x.t.Fatal("the server's connection does not end")
		}
	}
}
