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

// recorder is a Handler that records the events in channels.
type recorder struct {
	connected    chan error
	lines        chan string
	disconnected chan error
	ended        chan PairEnd
	loads        chan LoadLine
	panics       chan any
}

func (r *recorder) Connected(_ *Conn, err error)               { r.connected <- err }
func (r *recorder) LineReceived(_ *Conn, raw []byte)           { r.lines <- string(raw) }
func (r *recorder) Disconnected(_ *Conn, _ bool, reason error) { r.disconnected <- reason }
func (r *recorder) PairEnded(end PairEnd)                      { r.ended <- end }
func (r *recorder) Panicked(_ string, what any, _ []byte)      { r.panics <- what }
func (r *recorder) LoadsReported(all []LoadLine) {
	for _, l := range all {
		r.loads <- l
	}
}

// testbed is a relay, the recorder of its events, and a listener that accepts the relay's connections and those of the test's clients.
type testbed struct {
	*Relay
	*recorder
	t           testing.TB
	listener    net.Listener
	descriptors atomic.Int64
	accepted    chan net.Conn // connections that the listener has accepted
}

const testTimeout = 20 * time.Second

func newTestbed(t testing.TB, workers int) *testbed {
	b := &testbed{t: t, accepted: make(chan net.Conn, 100), recorder: &recorder{
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
	if b.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			b.accepted <- c
		}
	}()
	t.Cleanup(func() { _ = b.listener.Close(); b.Close() })
	return b
}

// receive returns the next value from a channel and fails the test if none arrives in time.
func receive[T any](t testing.TB, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing was received in time")
		panic("unreachable")
	}
}

// peer is the remote end of one of a pair's connections.
type peer struct {
	net.Conn
	r *bufio.Reader
	t testing.TB
}

func (p *peer) expectText(text string) {
	p.t.Helper()
	if got, err := p.r.ReadString('\n'); got != text {
		p.t.Fatalf("received %q (%v), want %q", got, err, text)
	}
}

func (p *peer) expectEnd(abrupt bool) {
	p.t.Helper()
	if c, err := p.r.ReadByte(); err == nil || errors.Is(err, syscall.ECONNRESET) != abrupt || !abrupt && err != io.EOF {
		p.t.Fatalf("received %q (%v), want the end of the connection", c, err)
	}
}

func (b *testbed) newPeer(c net.Conn) *peer {
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	b.t.Cleanup(func() { _ = c.Close() })
	return &peer{c, bufio.NewReaderSize(c, 1<<16), b.t}
}

// dial opens a connection that is not part of a pair.
func (b *testbed) dial() (*Conn, *peer) {
	b.t.Helper()
	c, err := b.Dial(b.listener.Addr().String(), 1<<20, func() bool { return true }, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := receive(b.t, b.connected); err != nil {
		b.t.Fatal(err)
	}
	return c, b.newPeer(receive(b.t, b.accepted))
}

// pair makes a pair and returns its peers. The client has already received UP.
func (b *testbed) pair() (p *Pair, client, server *peer) {
	b.t.Helper()
	c, server := b.dial()
	_, _ = io.WriteString(server, "UP 1\r\n")
	c.AwaitLine()
	if raw := receive(b.t, b.lines); raw != "UP 1\r\n" {
		b.t.Fatal(raw)
	}
	clientConn, err := net.Dial("tcp", b.listener.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	if p, err = b.Join(b.acceptDescriptor(), c, []byte("UP 1\r\n"), 7, nil); err != nil {
		b.t.Fatal(err)
	}
	client = b.newPeer(clientConn)
	client.expectText("UP 1\r\n")
	return p, client, server
}

// acceptDescriptor returns a descriptor of the next accepted connection.
func (b *testbed) acceptDescriptor() int {
	b.t.Helper()
	conn := receive(b.t, b.accepted)
	file, err := conn.(*net.TCPConn).File()
	if err != nil {
		b.t.Fatal(err)
	}
	fd, err := unix.Dup(int(file.Fd()))
	if err != nil {
		b.t.Fatal(err)
	}
	_ = file.Close()
	_ = conn.Close()
	// Package net has set TCP_NODELAY. The kernel accepts sockets without it.
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 0); err != nil {
		b.t.Fatal(err)
	}
	return fd
}
