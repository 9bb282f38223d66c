package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// recorder is a Handler that keeps what it is notified of.
type recorder struct {
	connected    chan error
	lines        chan string
	disconnected chan error
	ended        chan PairEnd
	loads        chan LoadLine
	panics       chan any
}

func (o *recorder) Connected(_ *Conn, err error)               { o.connected <- err }
func (o *recorder) LineReceived(_ *Conn, raw []byte)           { o.lines <- string(raw) }
func (o *recorder) Disconnected(_ *Conn, _ bool, reason error) { o.disconnected <- reason }
func (o *recorder) PairEnded(end PairEnd)                      { o.ended <- end }
func (o *recorder) Panicked(_ string, what any, _ []byte)      { o.panics <- what }
func (o *recorder) LoadsReported(all []LoadLine) {
	for _, l := range all {
		o.loads <- l
	}
}

// testbed is a relay with a listener whose connections the test takes.
type testbed struct {
	*Relay
	*recorder
	t           testing.TB
	ln          net.Listener
	descriptors atomic.Int64
	taken       chan net.Conn
}

const testTimeout = 20 * time.Second

func newTestbed(t testing.TB, workers int) *testbed {
	b := &testbed{t: t, taken: make(chan net.Conn, 100), recorder: &recorder{
		connected:    make(chan error, 100),
		lines:        make(chan string, 100),
		disconnected: make(chan error, 100),
		ended:        make(chan PairEnd, 1000),
		loads:        make(chan LoadLine, 1000),
		panics:       make(chan any, 100),
	}}
	var err error
	if b.Relay, err = New(workers, b.recorder, &b.descriptors); err != nil {
		t.Fatal(err)
	}
	if b.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := b.ln.Accept()
			if err != nil {
				return
			}
			b.taken <- c
		}
	}()
	t.Cleanup(func() { _ = b.ln.Close(); b.Close() })
	return b
}

func get[T any](t testing.TB, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// peer is the other end of one of a pair's connections.
type peer struct {
	net.Conn
	r *bufio.Reader
	t testing.TB
}

func (s *peer) expectText(text string) {
	s.t.Helper()
	if got, err := s.r.ReadString('\n'); got != text {
		s.t.Fatalf("%q, %v in place of %q", got, err, text)
	}
}

func (s *peer) expectEnd(abrupt bool) {
	s.t.Helper()
	if c, err := s.r.ReadByte(); err == nil || errors.Is(err, syscall.ECONNRESET) != abrupt || !abrupt && err != io.EOF {
		s.t.Fatalf("%q, %v", c, err)
	}
}

func (b *testbed) newPeer(c net.Conn) *peer {
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	b.t.Cleanup(func() { _ = c.Close() })
	return &peer{c, bufio.NewReaderSize(c, 1<<16), b.t}
}

// dial opens a connection that is no pair's.
func (b *testbed) dial() (*Conn, *peer) {
	b.t.Helper()
	c, err := b.Dial(b.ln.Addr().String(), 1<<20, func() bool { return true }, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := get(b.t, b.connected); err != nil {
		b.t.Fatal(err)
	}
	return c, b.newPeer(get(b.t, b.taken))
}

// pair makes a pair and returns its peers. The client has received UP.
func (b *testbed) pair() (p *Pair, client, server *peer) {
	b.t.Helper()
	c, server := b.dial()
	_, _ = io.WriteString(server, "UP 1\r\n")
	c.AwaitLine()
	if raw := get(b.t, b.lines); raw != "UP 1\r\n" {
		b.t.Fatal(raw)
	}
	near, err := net.Dial("tcp", b.ln.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	if p, err = b.Join(b.acceptDescriptor(), c, []byte("UP 1\r\n"), 7, nil); err != nil {
		b.t.Fatal(err)
	}
	client = b.newPeer(near)
	client.expectText("UP 1\r\n")
	return p, client, server
}

// acceptDescriptor returns a descriptor of the next connection that was accepted.
func (b *testbed) acceptDescriptor() int {
	b.t.Helper()
	far := get(b.t, b.taken)
	file, err := far.(*net.TCPConn).File()
	if err != nil {
		b.t.Fatal(err)
	}
	fd, err := unix.Dup(int(file.Fd()))
	if err != nil {
		b.t.Fatal(err)
	}
	_ = file.Close()
	_ = far.Close()
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 0); err != nil { // as the kernel accepts it
		b.t.Fatal(err)
	}
	return fd
}
