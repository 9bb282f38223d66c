package balancer

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/policy"
)

// newServedLoop returns a running loop that accepts clients at the returned address. Its only server does not exist.
func newServedLoop(t *testing.T) (l *Loop, address string) {
	t.Helper()
	return newServedLoopWithServer(t, "127.0.0.1:1")
}

// newServedLoopWithServer returns a running loop with one server that accepts clients at the returned address.
func newServedLoopWithServer(t *testing.T, server string) (l *Loop, address string) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = newLoopWithServer(t, server, policy.Idempotent)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go l.Run(ctx.Done())
	serve(l, listener)
	return l, listener.Addr().String()
}

// connectSilently connects a client that sends nothing, and returns both ends of its connection.
func connectSilently(t *testing.T, l *Loop, address string) (net.Conn, *conn) {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		if all := l.idleConns.takeSilentSince(time.Now()); len(all) == 1 {
			return client, all[0]
		}
	}
	t.Fatal("the client was not accepted")
	return nil, nil
}

// readAll reads a detached descriptor until the client has closed its connection.
func readAll(t *testing.T, fd int) []byte {
	t.Helper()
	file := os.NewFile(uintptr(fd), "detached client")
	defer func() { _ = file.Close() }()
	if err := unix.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
	input, err := io.ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	return input
}

// TestADetachedClientLosesNoInput guards against input of a client without a session that is lost in a hot restart. The client writes its
// first line byte by byte while its connection is detached: what was read before and what arrives later must be all of it, in order.
func TestADetachedClientLosesNoInput(t *testing.T) {
	const trials = 2000
	l, address := newServedLoop(t)
	sent := bytes.Repeat([]byte("0123456789"), 40)
	lost := 0
	for trial := range trials {
		client, c := connectSilently(t, l, address)
		detached := make(chan struct{})
		go func() {
			for i := range sent {
				_, _ = client.Write(sent[i : i+1])
			}
			<-detached
			_ = client.Close()
		}()
		time.Sleep(time.Duration(trial%100) * 10 * time.Microsecond)
		fd, unparsed := detachClient(t, c)
		close(detached)
		if got := append(unparsed, readAll(t, fd)...); !bytes.Equal(got, sent) {
			lost++
			t.Logf("%d of %d bytes arrived", len(got), len(sent))
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d clients lost input", lost, trials)
	}
}

// detachClient detaches a client's connection as a hot restart does.
func detachClient(t *testing.T, c *conn) (fd int, unparsed []byte) {
	t.Helper()
	fd, unparsed, result := c.detach()
	if result != detachDone {
		t.Fatalf("the connection was not detached: %v", result)
	}
	return fd, unparsed
}

// blockingSink is an eventSink whose post returns once release is closed.
type blockingSink struct {
	posting chan struct{} // receives a value when post is called
	release chan struct{}
}

func (s *blockingSink) post(event) {
	select {
	case s.posting <- struct{}{}:
	default:
	}
	<-s.release
}

func (s *blockingSink) reportPanic(string, any) {}

// TestADetachedConnectionIsNotRead guards against a first line after UP that is lost: the goroutine that has read the client's request is
// still posting it when the session is established and the connection is passed to the relay, and reads what the client sends next.
func TestADetachedConnectionIsNotRead(t *testing.T) {
	l, address := newServedLoop(t)
	client, c := connectSilently(t, l, address)
	sink := &blockingSink{posting: make(chan struct{}, 1), release: make(chan struct{})}
	c.inputMu.Lock()
	c.sink = sink
	c.inputMu.Unlock()
	_, _ = io.WriteString(client, "OPEN 1 2 c=feed,d=20000\r\n")
	<-sink.posting
	detached := make(chan int, 1)
	go func() {
		fd, _, _ := c.detach()
		detached <- fd
	}()
	fd := -1
	select {
	case fd = <-detached:
	case <-time.After(100 * time.Millisecond): // the detach waits for the goroutine that posts
		close(sink.release)
		fd = <-detached
	}
	const line = "M 1\r\n"
	_, _ = io.WriteString(client, line)
	time.Sleep(100 * time.Millisecond) // time for a poller to read the line
	_ = client.Close()
	if got := readAll(t, fd); string(got) != line {
		t.Errorf("%q arrived at the relay's descriptor, want %q", got, line)
	}
}
