package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// fakeNameServer starts a name server that answers IPv4 queries with 127.0.0.1, and makes it the default resolver. It sends to queried
// when a query arrives, and answers once it receives from release or release is closed.
func fakeNameServer(t *testing.T) (queried, release chan bool) {
	t.Helper()
	queried, release = make(chan bool, 10), make(chan bool)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		for {
			text := make([]byte, 512)
			n, from, err := conn.ReadFrom(text)
			if err != nil {
				return
			}
			queried <- true
			<-release
			end := 12 // offset of the end of the name in the question section; the type and class of the question follow it
			for end < n && text[end] != 0 {
				end += int(text[end]) + 1
			}
			isA := text[end+2] == 1
			answer := append([]byte(nil), text[:end+5]...)
			answer[2] |= 0x80
			answer[10], answer[11] = 0, 0 // the answer has no additional records, unlike the query
			if isA {
				answer[7] = 1
				answer = append(answer, 0xc0, 12, 0, 1, 0, 1, 0, 0, 0, 0, 0, 4, 127, 0, 0, 1)
			}
			_, _ = conn.WriteTo(answer, from)
		}
	}()
	previousResolver := net.DefaultResolver
	t.Cleanup(func() { net.DefaultResolver = previousResolver })
	net.DefaultResolver = &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "udp", conn.LocalAddr().String())
	}}
	return queried, release
}

// Guards against connecting after a dial was cancelled during its name look-up. A dial that is still wanted continues after the look-up,
// and one that would exceed the descriptor limit does not.
func TestADialCanBeCancelledDuringTheLookUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   int64
		wanted  bool
		wantErr error
	}{{"unwanted", 1, false, ErrDialCancelled}, {"wanted", 1, true, nil}, {"no room", 0, true, ErrDescriptorLimit}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, 1)
			queried, release := fakeNameServer(t)
			_, port, _ := net.SplitHostPort(b.listener.Addr().String())
			result, returnedEarly := make(chan error, 1), make(chan bool, 1)
			var unwanted atomic.Bool
			go func() {
				conn, err := b.Dial("server.test.:"+port, c.limit, func() bool { return !unwanted.Load() }, nil)
				if conn != nil {
					if err := receive(t, b.connected); err != nil {
						t.Error(err)
					}
					conn.Close()
				}
				result <- err
			}()
			receive(t, queried)
			select {
			case <-result:
				returnedEarly <- true
			default:
			}
			unwanted.Store(!c.wanted) // the dial is cancelled before the look-up is answered
			close(release)
			err := receive(t, result)
			if len(returnedEarly) > 0 || !errors.Is(err, c.wantErr) {
				t.Fatalf("Dial returned %v, want %v", err, c.wantErr)
			}
			if n := b.descriptors.Load(); n != 0 {
				t.Errorf("%d descriptors are counted after the dial, want 0", n)
			}
			// The test's own connection marks the end of the listener's queue.
			marker, err := net.Dial("tcp", b.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = marker.Close() }()
			for n := 0; ; n++ {
				accepted := receive(t, b.accepted)
				_ = accepted.Close()
				if accepted.RemoteAddr().String() != marker.LocalAddr().String() {
					continue
				}
				if c.wantErr == nil && n != 1 || c.wantErr != nil && n != 0 {
					t.Errorf("%d connections were started", n)
				}
				break
			}
		})
	}
}

// Guards against concurrent dials exceeding the descriptor limit: starts many dials at once, with descriptors for only a few.
func TestConcurrentDialsKeepTheDescriptorLimit(t *testing.T) {
	const dials, limit = 64, 5
	b := newTestbed(t, 2)
	errs, start := make(chan error, dials), make(chan bool)
	for range dials {
		go func() {
			<-start
			_, err := b.Dial(b.listener.Addr().String(), limit, func() bool { return true }, nil)
			errs <- err
		}()
	}
	close(start)
	refused := 0
	for range dials {
		if err := receive(t, errs); errors.Is(err, ErrDescriptorLimit) {
			refused++
		} else if err != nil {
			t.Error(err)
		}
	}
	for deadline := time.Now().Add(testTimeout); len(b.connected) < dials-refused; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("only %d dials have connected", len(b.connected))
		}
	}
	if n := b.descriptors.Load(); n != limit || refused != dials-limit {
		t.Errorf("%d descriptors are open with a limit of %d, %d dials were refused", n, limit, refused)
	}
}
