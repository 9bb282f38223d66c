package poller

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const testTimeout = 20 * time.Second

// socketPair returns two connected descriptors, which are closed after the test.
func socketPair(t *testing.T) (near, far int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = unix.Close(pair[0])
		_ = unix.Close(pair[1])
	})
	return pair[0], pair[1]
}

// reader is a Handler that reads a descriptor under a lock until it is taken away.
type reader struct {
	mu    sync.Mutex
	fd    int
	taken bool
	input []byte
	calls atomic.Int64
}

func (r *reader) OnReadable(_ *Registration, scratch []byte) {
	r.calls.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken {
		return
	}
	if n, err := unix.Read(r.fd, scratch); err == nil {
		r.input = append(r.input, scratch[:n]...)
	}
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func newPoller(t *testing.T) *Poller {
	t.Helper()
	p, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestARemovedDescriptorIsNotRead guards against input that the old reader takes after its descriptor has a new one, and against events of
// a descriptor number that is used again.
func TestARemovedDescriptorIsNotRead(t *testing.T) {
	p := newPoller(t)
	for range 500 {
		near, far := socketPair(t)
		first := &reader{fd: near}
		registration, err := p.Add(near, first)
		if err != nil {
			t.Fatal(err)
		}
		var written sync.WaitGroup
		written.Go(func() {
			for i := range byte(100) {
				_, _ = unix.Write(far, []byte{i})
			}
		})
		first.mu.Lock()
		first.taken = true
		registration.Remove()
		first.mu.Unlock()
		written.Wait()
		second := &reader{fd: near, input: first.input}
		next, err := p.Add(near, second)
		if err != nil {
			t.Fatal(err)
		}
		hasAll := func() bool {
			second.mu.Lock()
			defer second.mu.Unlock()
			return len(second.input) == 100
		}
		waitUntil(t, "all input has arrived", hasAll)
		for i, b := range second.input {
			if int(b) != i {
				t.Fatalf("byte %d is %d", i, b)
			}
		}
		next.Remove()
	}
}

// TestAPausedDescriptorIsReportedLater guards against a poller that runs at full speed while a handler can't read, and against input that
// is not reported after the pause.
func TestAPausedDescriptorIsReportedLater(t *testing.T) {
	const pause = 200 * time.Millisecond
	p := newPoller(t)
	near, far := socketPair(t)
	handler := &pausing{length: pause, second: make(chan time.Time, 1)}
	if _, err := p.Add(near, handler); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	_, _ = unix.Write(far, []byte("x"))
	select {
	case at := <-handler.second:
		if at.Sub(began) < pause {
			t.Errorf("the handler was called again after %v", at.Sub(began))
		}
	case <-time.After(testTimeout):
		t.Fatal("the input was not reported after the pause")
	}
}

// pausing is a Handler that pauses its first call and reports the time of the second one.
type pausing struct {
	length   time.Duration
	isSecond bool
	second   chan time.Time
}

func (h *pausing) OnReadable(r *Registration, _ []byte) {
	if !h.isSecond {
		h.isSecond = true
		r.Pause(h.length)
		return
	}
	h.second <- time.Now()
	r.Remove()
}

// TestARemovalEndsAPause guards against a descriptor that is registered again by a pause that outlives its registration.
func TestARemovalEndsAPause(t *testing.T) {
	p := newPoller(t)
	near, far := socketPair(t)
	handler := &reader{fd: near, taken: true}
	registration, err := p.Add(near, handler)
	if err != nil {
		t.Fatal(err)
	}
	registration.Pause(20 * time.Millisecond)
	registration.Remove()
	_, _ = unix.Write(far, []byte("x"))
	time.Sleep(100 * time.Millisecond)
	if n := handler.calls.Load(); n != 0 {
		t.Errorf("the handler was called %d times after the removal", n)
	}
}

// TestAnEndIsReported guards against connections whose end nobody learns of.
func TestAnEndIsReported(t *testing.T) {
	p := newPoller(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	file, err := accepted.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	handler := &reader{fd: int(file.Fd())}
	registration, err := p.Add(handler.fd, handler)
	if err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	waitUntil(t, "the end is reported", func() bool { return handler.calls.Load() > 0 })
	registration.Remove()
	_ = file.Close()
}
