package balancer

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/relay"
	"sabletally/policy"
)

// steppedLoop is a loop whose iterations the test runs, with one session whose attempt has just been connected. The client and the server
// are real sockets.
type steppedLoop struct {
	t              *testing.T
	l              *Loop
	session        *session
	client         net.Conn      // client's end of its connection
	upstreamConn   *relay.Conn   // attempt's connection to the server
	firstLines     chan string   // first lines that servers have received
	wantServerConn chan bool     // a value makes the next server pass its connection to the test after the first line
	serverConns    chan net.Conn // server connections that are passed to the test
	serverInputs   chan string   // everything that a server has received, sent when its connection has ended
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

// detachDescriptor closes a connection and returns a duplicate of its descriptor.
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

// newSteppedLoop returns a stepped loop after its session's attempt has connected and before the loop has handled that.
func newSteppedLoop(t *testing.T, effect policy.Idempotency) *steppedLoop {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := newLoopWithServer(t, listener.Addr().String(), effect)
	sl := &steppedLoop{t: t, l: l, wantServerConn: make(chan bool, 1), serverConns: make(chan net.Conn, 1), firstLines: make(chan string, 4), serverInputs: make(chan string, 4)}
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
					sl.firstLines <- got
				}
				select {
				case <-sl.wantServerConn: // the test takes over the connection
					sl.serverConns <- c
					return
				default:
				}
				rest, _ := io.ReadAll(r)
				_ = c.Close()
				sl.serverInputs <- got + string(rest)
			}()
		}
	}()
	near, far := tcpPipe(t)
	newUnreadConn(t, l, detachDescriptor(t, far)).startReading(l.nextPoller())
	sl.client = near
	_, _ = io.WriteString(near, "OPEN 1 2 c=feed,d=20000\r\n")
	sl.waitUntil("the attempt is connected", func() bool {
		if session := l.sessions[1]; session != nil {
			sl.session = session
			// The event is removed from the inbox, so that the test decides when the loop handles it.
			return sl.takeEvent(func(ev event) bool { return ev.session == session })
		}
		return false
	})
	return sl
}

// waitUntil waits until a condition holds. It steps the loop only while there is no session.
func (sl *steppedLoop) waitUntil(what string, condition func() bool) {
	sl.t.Helper()
	for end := time.After(testTimeout); !condition(); {
		select {
		case <-sl.l.wake:
			if sl.session == nil {
				sl.l.runOnce()
			}
		case <-time.After(time.Millisecond):
		case <-end:
			sl.t.Fatalf("timed out after %v waiting until %s", testTimeout, what)
		}
	}
}

// runUntil steps the loop, as Run would, until a condition holds.
func (sl *steppedLoop) runUntil(what string, condition func() bool) {
	sl.t.Helper()
	for end := time.After(testTimeout); !condition(); {
		select {
		case <-sl.l.wake:
		case <-time.After(time.Millisecond): // stands for the loop's timer
		case <-end:
			sl.t.Fatalf("timed out after %v waiting until %s", testTimeout, what)
		}
		sl.l.runOnce()
	}
}

// takeEvent removes the first event for which a condition holds from the inbox, and reports whether there was one.
func (sl *steppedLoop) takeEvent(condition func(event) bool) bool {
	if sl.upstreamConn = sl.session.dial.conn.Load(); sl.upstreamConn == nil { // the event may precede the store by the dialing goroutine
		return false
	}
	sl.l.mu.Lock()
	defer sl.l.mu.Unlock()
	for i, ev := range sl.l.inbox {
		if condition(ev) {
			sl.l.inbox = append(sl.l.inbox[:i], sl.l.inbox[i+1:]...)
			return true
		}
	}
	return false
}

// hasEvent reports whether an event for which a condition holds is in the inbox.
func (sl *steppedLoop) hasEvent(condition func(event) bool) bool {
	sl.l.mu.Lock()
	defer sl.l.mu.Unlock()
	for _, ev := range sl.l.inbox {
		if condition(ev) {
			return true
		}
	}
	return false
}

// handleConnected has the loop handle the attempt's connection, as the removed event would.
func (sl *steppedLoop) handleConnected() {
	sl.session.dial.finished = true
	sl.l.now = time.Since(sl.l.startTime)
	sl.l.upstreamDialed(sl.session, sl.session.generation, sl.upstreamConn, nil)
}

// serverInput steps the loop until the server's connection has ended, and returns what the server received.
func (sl *steppedLoop) serverInput() string {
	sl.t.Helper()
	for end := time.After(testTimeout); ; {
		select {
		case <-sl.l.wake:
			sl.l.runOnce()
		case got := <-sl.serverInputs:
			return got
		case <-end:
			sl.t.Fatal("the server's connection did not end")
		}
	}
}
