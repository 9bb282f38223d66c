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

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"sabletally/internal/discovery"
	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/idempotency"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// These tests have clients go while their circuits wait. Nobody reads such a client: its end is the kernel's word alone, however
// late the loop is. What has begun by then goes on or ends; nothing may begin.

const (
	goneFor = 100 * time.Millisecond // after that nothing may begin
	asks    = "OPEN %x 2 c=feed,d=20000\r\n"
)

// unread is a client's connection that no poller reads.
type unread struct {
	netpoll.Connection
	fd   int
	once sync.Once
	told []netpoll.CloseCallback
}

func (u *unread) Fd() int                             { return u.fd }
func (u *unread) SetWriteTimeout(time.Duration) error { return nil }
func (u *unread) Writer() netpoll.Writer              { return netpoll.NewWriter(u) }
func (u *unread) Write(b []byte) (int, error)         { return unix.Write(u.fd, b) }
func (u *unread) AddCloseCallback(do netpoll.CloseCallback) error {
	u.told = append(u.told, do)
	return nil
}

func (u *unread) Close() error {
	u.once.Do(func() {
		for _, do := range u.told {
			_ = do(u)
		}
		_ = unix.Close(u.fd)
	})
	return nil
}

// counted counts what is begun at a server.
type counted struct {
	t      *testing.T
	ln     net.Listener
	says   string        // to each line,
	may    chan struct{} // once this is closed
	mu     sync.Mutex
	begun  int
	lines  []string
	fence  string // an address of the test's own
	passed chan int
}

func count(t *testing.T, says string) *counted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &counted{t: t, ln: ln, says: says, may: make(chan struct{}), passed: make(chan int, 1)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if c.RemoteAddr().String() == s.fence {
				s.passed <- s.begun
				s.mu.Unlock()
				_ = c.Close()
				continue
			}
			s.begun++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *counted) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(crossBound))
	r := bufio.NewReader(c)
	got, err := r.ReadString('\n')
	if err != nil {
		return
	}
	s.mu.Lock()
	s.lines = append(s.lines, got)
	s.mu.Unlock()
	if s.says != "" {
		select {
		case <-s.may:
			_, _ = io.WriteString(c, s.says)
		case <-time.After(crossBound):
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// attempts is how many connections were begun up to now: one of the test's own stands behind them in the queue.
func (s *counted) attempts() int {
	s.t.Helper()
	// Under the lock, so that it is known as the test's by the time that it is accepted.
	s.mu.Lock()
	c, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		s.mu.Unlock()
		s.t.Fatal(err)
	}
	s.fence = c.LocalAddr().String()
	s.mu.Unlock()
	defer func() { _ = c.Close() }()
	select {
	case n := <-s.passed:
		return n
	case <-time.After(crossBound):
		s.t.Fatal("nothing is accepted")
		return 0
	}
}

func (s *counted) told() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lines)
}

// leaver is a loop that the test turns, with a client that is about to go.
type leaver struct {
	*crossing
	s      *counted
	c      *conn
	client *net.TCPConn
	how    string
}

// ends are the ways in which a client goes; a cancelled call is one of the first three on the wire.
var ends = []string{"end", "half-close", "reset", "unread bytes and end", "unread bytes and reset", "more unread bytes than have room, and end"}

func leaving(t *testing.T, how, says string) *leaver {
	t.Helper()
	s := count(t, says)
	l := alone(t, s.ln.Addr().String(), policy.Idempotent)
	y := &leaver{crossing: &crossing{t: t, l: l}, s: s, how: how}
	near, far := pipe(t)
	y.client = near
	u := &unread{fd: descriptor(t, far)}
	t.Cleanup(func() { _ = u.Close() })
	l.descriptors.Add(1)
	y.c = newConn(u, l, &l.descriptors)
	y.c.idle = l.idle
	return y
}

// list has so many servers at the one address, in a state.
func (y *leaver) list(many int, state policy.EndpointState) {
	var all []discovery.Server
	for i := range many {
		all = append(all, discovery.Server{UID: fmt.Sprint("s-", i+1), Endpoint: y.s.ln.Addr().String(), Heft: 1, State: state})
	}
	y.l.applyList(discovery.List{Whole: true, Servers: all}, false)
}

// says has the loop read the client's line at its next turn.
func (y *leaver) says(text string) {
	ln := protocol.Decode([]byte(text))
	if ln.Bad != nil {
		y.t.Fatal(ln.Bad)
	}
	y.c.phase.Store(expectNothing)
	y.l.post(event{conn: y.c, lines: []protocol.Line{ln}})
}

// leave has the client go, and the loop be late by more than it may.
func (y *leaver) leave() {
	y.t.Helper()
	leave(y.t, y.how, y.client, y.c.fd())
}

// leave has a client go whose connection's other end is a descriptor, and waits for 0.1 s and for the kernel to know.
func leave(t *testing.T, how string, client *net.TCPConn, fd int) {
	t.Helper()
	flood := strings.HasPrefix(how, "more")
	if flood {
		_ = client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		for {
			if _, err := client.Write(make([]byte, 64<<10)); err != nil {
				break
			}
		}
	}
	if strings.HasPrefix(how, "unread") {
		_, _ = io.WriteString(client, strings.Repeat("x", 100))
		for _, n := kernel(t, fd); n < 100; _, n = kernel(t, fd) {
			time.Sleep(time.Millisecond)
		}
	}
	goes(how, client)
	began := time.Now()
	for st, n := kernel(t, fd); time.Since(began) <= goneFor || !flood && st == unix.BPF_TCP_ESTABLISHED; st, n = kernel(t, fd) {
		if flood && (st != unix.BPF_TCP_ESTABLISHED || n == 0) {
			t.Fatalf("state %d with %d bytes unread: its end has come", st, n)
		}
		if time.Since(began) > crossBound {
			t.Fatal("the kernel does not hear of its end")
		}
		time.Sleep(time.Millisecond)
	}
}

func goes(how string, client *net.TCPConn) {
	switch {
	case how == "half-close":
		_ = client.CloseWrite()
	case strings.HasSuffix(how, "reset"):
		_ = client.SetLinger(0)
		_ = client.Close()
	default:
		_ = client.Close()
	}
}

// kernel is a connection's state and how much of it nobody has read.
func kernel(t *testing.T, fd int) (state uint8, unread int) {
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

// nothing waits until the loop has done with the client and wants nothing begun beside what was.
func (y *leaver) nothing(attempts, lines int) {
	y.t.Helper()
	y.turns("no circuit is left", func() bool { return len(y.l.sessions) == 0 })
	if n := y.s.attempts(); n != attempts {
		y.t.Errorf("%d attempts, %d of them before it went", n, attempts)
	}
	if n := y.s.told(); n != lines {
		y.t.Errorf("%d lines written, %d of them before it went", n, lines)
	}
	if n := y.l.Panics.Load(); n != 0 {
		y.t.Errorf("%d panics", n)
	}
}

// taken turns the loop until the client's circuit is in the table.
func (y *leaver) taken() *session {
	y.t.Helper()
	y.says(fmt.Sprintf(asks, 1))
	y.turns("it is taken", func() bool { return len(y.l.sessions) == 1 })
	return y.l.sessions[y.l.lastSessionID]
}

// up has a try's connection come up and hides that from the loop.
func (y *leaver) upUnseen() *session {
	y.t.Helper()
	cir := y.taken()
	y.cir = cir
	y.until("the try's connection is up", func() bool { return y.take(func(ev event) bool { return ev.session == cir }) })
	return cir
}

// TestNothingBeginsForAClientThatHasGone goes over the places where a request waits and the ways in which its client goes, each time
// 0.1 s before the loop goes on, which knows nothing of that. Neither a connection nor a line may begin.
func TestNothingBeginsForAClientThatHasGone(t *testing.T) {
	places := []struct {
		name string
		run  func(t *testing.T, how string)
	}{
		{"before its line is read", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.says(fmt.Sprintf(asks, 1))
			y.leave()
			y.l.runOnce()
			y.nothing(0, 0)
		}},
		{"between the decision and the dial", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.says(fmt.Sprintf(asks, 1))
			y.l.handleEvent(y.l.inbox[0])
			y.l.inbox = nil
			y.c.mu.Lock() // the last look is taken under it
			y.l.runOnce()
			if len(y.l.sessions) != 1 || y.l.sessions[y.l.lastSessionID].attempts != 1 {
				t.Fatal("no try was decided")
			}
			y.leave()
			y.c.mu.Unlock()
			y.nothing(0, 0)
		}},
		{"for its turn, until its server has told its load", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.l.deployment.Policy.CanHealthCheck = true
			y.l.policy.Reconfigure(withProbeReports(y.l.deployment), []int{0}, nil)
			y.list(1, policy.Ready)
			cir := y.taken()
			if cir.attempts != 0 {
				t.Fatal("it does not wait")
			}
			y.turns("the server is asked", func() bool { return y.s.told() == 1 })
			y.leave()
			y.turns("its turn comes", func() bool { return cir.attempts == 1 })
			y.nothing(1, 1) // the probe
		}},
		{"for a try's answer, and another try follows", func(t *testing.T, how string) {
			y := leaving(t, how, "BUSY\r\n")
			y.list(3, policy.Ready)
			cir := y.taken()
			y.turns("the line is there", func() bool { return y.s.told() == 1 })
			y.cir = cir
			close(y.s.may)
			y.until("the answer is here", func() bool { return y.has(func(ev event) bool { return ev.session == cir }) })
			y.leave()
			y.l.runOnce()
			if cir.attempts < 2 {
				t.Fatal("no other try was decided")
			}
			y.nothing(1, 1)
		}},
		{"for a dial, and another try follows", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.list(3, policy.Ready)
			cir := y.upUnseen()
			y.leave()
			y.l.attemptEnded(cir, policy.ConnectFailed, nil)
			y.l.runOnce()
			if cir.attempts < 2 {
				t.Fatal("no other try was decided")
			}
			y.nothing(1, 0)
		}},
		{"for the write", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.upUnseen()
			y.leave()
			y.see()
			y.nothing(1, 0)
		}},
		{"for a write that is late", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.upUnseen()
			y.c.mu.Lock() // it looks at the client last
			y.see()
			y.leave()
			y.c.mu.Unlock()
			y.nothing(1, 0)
		}},
		{"for discovery to be heard", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.upUnseen()
			y.l.freshListDeadline = time.Hour
			y.see()
			if len(y.l.deferred) != 1 {
				t.Fatal("it does not wait")
			}
			y.leave()
			y.l.freshListDeadline = y.l.now
			y.l.runDeferred()
			y.nothing(1, 0)
		}},
		{"for the holders' promise", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			cir := y.upUnseen()
			cir.record = &idempotencyRecord{requesting: true}
			y.see()
			if cir.record.onWriteAllowed == nil {
				t.Fatal("it does not wait")
			}
			y.leave()
			y.l.writeDecided(cir, cir.generation, fleet.IdempotencyDecision{Decision: idempotency.Proceed, WriteDeadline: boottime.Now() + time.Hour})
			y.nothing(1, 0)
		}},
		{"to go back to its server", func(t *testing.T, how string) {
			y := leaving(t, how, "")
			y.says("OPEN 1 2 c=feed,d=20000,at=s-2\r\n") // which the list has later
			y.turns("it is taken", func() bool { return len(y.l.sessions) == 1 })
			y.leave()
			y.list(2, policy.Ready)
			y.l.reattach(y.l.sessions[y.l.lastSessionID])
			y.nothing(0, 0)
		}},
	}
	for _, p := range places {
		for _, how := range ends {
			t.Run(p.name+"/"+how, func(t *testing.T) {
				t.Parallel()
				p.run(t, how)
			})
		}
	}
}

// TestAClientThatLeavesOnItsWayToAnHeir has a client go while its connection, with its first line, is passed to the next process,
// whose loop hears of the line and not yet of the end.
func TestAClientThatLeavesOnItsWayToAnHeir(t *testing.T) {
	for _, how := range ends[:5] { // the sixth is read here, and what it has sent is known
		t.Run(how, func(t *testing.T) {
			y := leaving(t, how, "")
			near, far := pipe(t)
			fd := descriptor(t, far)
			leave(t, how, near, fd)
			y.l.takeOverClient(fd, fmt.Appendf(nil, asks, 2))
			y.l.mu.Lock()
			y.l.inbox = y.l.inbox[:1]
			if got := y.l.inbox[0].lines; len(got) != 1 || got[0].Kind != protocol.Open {
				t.Errorf("%v", got)
			}
			y.l.mu.Unlock()
			y.l.runOnce()
			y.nothing(0, 0)
		})
	}
}

// TestADialThatIsCancelledBeforeItBeginsDoesNot cancels one, as its try's end would, before the goroutine that dials has come to it.
func TestADialThatIsCancelledBeforeItBeginsDoesNot(t *testing.T) {
	y := leaving(t, "end", "")
	y.says(fmt.Sprintf(asks, 1))
	y.l.handleEvent(y.l.inbox[0])
	y.l.inbox = nil
	y.c.mu.Lock() // the last look is taken under it
	y.l.runOnce()
	cir := y.l.sessions[y.l.lastSessionID]
	if cir == nil || cir.dial == nil {
		t.Fatal("no try was decided")
	}
	dialed := cir.dial
	cir.dial.cancel()
	y.c.mu.Unlock()
	y.turns("the dial is over", func() bool { return dialed.finished || dialed.conn.Load() != nil })
	if n := y.s.attempts(); n != 0 {
		t.Errorf("%d attempts", n)
	}
}

// TestNothingBeginsForManyThatHaveGone has 5,000 clients go at once: of some the first line waits for the loop, of others a server's
// no, upon which another try would follow. Each goes in one of the ways.
func TestNothingBeginsForManyThatHaveGone(t *testing.T) {
	const many, tried = 5000, 1500
	s := count(t, "BUSY\r\n")
	l := alone(t, s.ln.Addr().String(), policy.Idempotent)
	l.descriptorLimit = 3 * many
	y := &leaver{crossing: &crossing{t: t, l: l}, s: s}
	y.list(3, policy.Ready)
	clients, conns := make([]*net.TCPConn, many), make([]*conn, many)
	for i := range many {
		near, far := pipe(t)
		u := &unread{fd: descriptor(t, far)}
		t.Cleanup(func() { _ = u.Close() })
		l.descriptors.Add(1)
		y.c = newConn(u, l, &l.descriptors)
		y.c.idle = l.idle
		clients[i], conns[i] = near, y.c
		y.says(fmt.Sprintf(asks, i+1))
		if i == tried-1 {
			y.turns("the first have been sent", func() bool { return s.told() == tried })
		}
	}
	began := time.Now()
	for i, c := range clients {
		how := ends[i%5]
		if strings.HasPrefix(how, "unread") {
			_, _ = io.WriteString(c, strings.Repeat("x", 100))
		}
		goes(how, c)
	}
	for _, c := range conns {
		for st, _ := kernel(t, c.fd()); st == unix.BPF_TCP_ESTABLISHED; st, _ = kernel(t, c.fd()) {
			if time.Since(began) > crossBound {
				t.Fatal("the kernel does not hear of an end")
			}
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(goneFor)
	close(s.may)
	y.cir = &session{}
	y.until("the servers' answers are here", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.inbox) >= many
	})
	before := l.Attempts.Load()
	l.runOnce()
	decided := l.Attempts.Load() - before
	y.nothing(tried, tried)
	if t.Logf("%d tries were decided for them", decided); decided < many-tried {
		t.Error("too few to show anything")
	}
}
