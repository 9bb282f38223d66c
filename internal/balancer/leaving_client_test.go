package balancer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/discovery"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// newUnreadConn returns the connection of a client's descriptor, which no poller reads. It is closed after the test.
func newUnreadConn(t *testing.T, l *Loop, fd int) *conn {
	t.Helper()
	c := l.addClient(fd)
	l.Accepted.Add(-1)
	l.idleConns.remove(c)
	t.Cleanup(c.close)
	return c
}

// countingServer is a server that counts the connections and lines that reach it.
type countingServer struct {
	t              *testing.T
	listener       net.Listener
	reply          string // answer to each first line, sent once mayReply is closed; "" for no answer
	mayReply       chan struct{}
	mu             sync.Mutex
	accepted       int
	lines          []string
	markerAddress  string   // local address of the connection that connectionCount makes
	markerAccepted chan int // number of connections accepted before that connection
}

func newCountingServer(t *testing.T, reply string) *countingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &countingServer{t: t, listener: listener, reply: reply, mayReply: make(chan struct{}), markerAccepted: make(chan int, 1)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if c.RemoteAddr().String() == s.markerAddress {
				s.markerAccepted <- s.accepted
				s.mu.Unlock()
				_ = c.Close()
				continue
			}
			s.accepted++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *countingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	got, err := r.ReadString('\n')
	if err != nil {
		return
	}
	s.mu.Lock()
	s.lines = append(s.lines, got)
	s.mu.Unlock()
	if s.reply != "" {
		select {
		case <-s.mayReply:
			_, _ = io.WriteString(c, s.reply)
		case <-time.After(testTimeout):
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// connectionCount returns the number of connections that were started so far. It makes a connection of its own, which follows them in the
// accept queue.
func (s *countingServer) connectionCount() int {
	s.t.Helper()
	// The lock is held until the address is set, so that the accept loop recognises the connection.
	s.mu.Lock()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.mu.Unlock()
		s.t.Fatal(err)
	}
	s.markerAddress = c.LocalAddr().String()
	s.mu.Unlock()
	defer func() { _ = c.Close() }()
	select {
	case n := <-s.markerAccepted:
		return n
	case <-time.After(testTimeout):
		s.t.Fatal("the server does not accept connections")
		return 0
	}
}

func (s *countingServer) lineCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lines)
}

// leavingClient is a loop that the test steps, with a client that is about to disconnect.
type leavingClient struct {
	*steppedLoop
	server *countingServer
	conn   *conn
	client *net.TCPConn
	ending string
}

// clientEndings are the ways in which a client disconnects. On the wire, a cancelled call is one of the first three.
var clientEndings = []string{"end", "half-close", "reset", "unread bytes and end", "unread bytes and reset", "more unread bytes than have room, and end"}

func newLeavingClient(t *testing.T, ending, reply string) *leavingClient {
	t.Helper()
	s := newCountingServer(t, reply)
	l := newLoopWithServer(t, s.listener.Addr().String(), policy.Idempotent)
	lc := &leavingClient{steppedLoop: &steppedLoop{t: t, l: l}, server: s, ending: ending}
	near, far := tcpPipe(t)
	lc.client = near
	lc.conn = newUnreadConn(t, l, detachDescriptor(t, far))
	return lc
}

// applyServers applies an endpoint list with the given number of servers, all at one address and in the same state.
func (lc *leavingClient) applyServers(many int, state policy.EndpointState) {
	var all []discovery.Endpoint
	for i := range many {
		all = append(all, discovery.Endpoint{UID: fmt.Sprint("s-", i+1), Address: lc.server.listener.Addr().String(), Weight: 1, State: state})
	}
	lc.l.applyList(discovery.List{Complete: true, Endpoints: all}, false)
}

// receiveLine posts a line of the client, which the loop handles in its next iteration.
func (lc *leavingClient) receiveLine(text string) {
	line := protocol.Decode([]byte(text))
	if line.Err != nil {
		lc.t.Fatal(line.Err)
	}
	lc.conn.phase.Store(expectNothing)
	lc.l.post(event{conn: lc.conn, lines: []protocol.Line{line}})
}

// leave has the client disconnect, and returns disconnectGrace later without having stepped the loop.
func (lc *leavingClient) leave() {
	lc.t.Helper()
	leaveAndWait(lc.t, lc.ending, lc.client, lc.conn.fd)
}

// leaveAndWait has a client disconnect and waits for disconnectGrace, and until the kernel has received the end, except where a flood hides
// it. fd is the descriptor of the connection's other end.
func leaveAndWait(t *testing.T, ending string, client *net.TCPConn, fd int) {
	t.Helper()
	flood := strings.HasPrefix(ending, "more")
	if flood {
		_ = client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		for {
			if _, err := client.Write(make([]byte, 64<<10)); err != nil {
				break
			}
		}
	}
	if strings.HasPrefix(ending, "unread") {
		_, _ = io.WriteString(client, strings.Repeat("x", 100))
		for _, n := kernelState(t, fd); n < 100; _, n = kernelState(t, fd) {
			time.Sleep(time.Millisecond)
		}
	}
	endConnection(ending, client)
	began := time.Now()
	for st, n := kernelState(t, fd); time.Since(began) <= disconnectGrace || !flood && st == unix.BPF_TCP_ESTABLISHED; st, n = kernelState(t, fd) {
		if flood && (st != unix.BPF_TCP_ESTABLISHED || n == 0) {
			t.Fatalf("state %d with %d unread bytes: the end was received", st, n)
		}
		if time.Since(began) > testTimeout {
			t.Fatal("the kernel has not received the client's end")
		}
		time.Sleep(time.Millisecond)
	}
}

// endConnection ends a client's connection in one of the ways of clientEndings.
func endConnection(ending string, client *net.TCPConn) {
	switch {
	case ending == "half-close":
		_ = client.CloseWrite()
	case strings.HasSuffix(ending, "reset"):
		_ = client.SetLinger(0)
		_ = client.Close()
	default:
		_ = client.Close()
	}
}

// kernelState returns a connection's TCP state and the number of its unread bytes.
func kernelState(t *testing.T, fd int) (state uint8, unread int) {
	t.Helper()
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		t.Fatal(err)
	}
	if unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ); err != nil {
		t.Fatal(err)
	}
	return info.State, unread
}

// expectNoMoreAttempts steps the loop until the client's session has ended. It checks that there were only the given numbers of connections
// and of written lines, those from before the client disconnected.
func (lc *leavingClient) expectNoMoreAttempts(attempts, lines int) {
	lc.t.Helper()
	lc.runUntil("no session is left", func() bool { return len(lc.l.sessions) == 0 })
	if n := lc.server.connectionCount(); n != attempts {
		lc.t.Errorf("%d connections, %d of them before the client disconnected", n, attempts)
	}
	if n := lc.server.lineCount(); n != lines {
		lc.t.Errorf("%d lines written, %d of them before the client disconnected", n, lines)
	}
	if n := lc.l.Panics.Load(); n != 0 {
		lc.t.Errorf("%d panics", n)
	}
}

// admit steps the loop until the client's session is in the session table.
func (lc *leavingClient) admit() *session {
	lc.t.Helper()
	lc.receiveLine(fmt.Sprintf(openLine, 1))
	lc.runUntil("the session is admitted", func() bool { return len(lc.l.sessions) == 1 })
	return lc.l.sessions[lc.l.lastSessionID]
}

// connectUnhandled waits until an attempt is connected and removes that event from the loop's inbox.
func (lc *leavingClient) connectUnhandled() *session {
	lc.t.Helper()
	session := lc.admit()
	lc.session = session
	lc.waitUntil("the attempt is connected", func() bool { return lc.takeEvent(func(ev event) bool { return ev.session == session }) })
	return session
}
