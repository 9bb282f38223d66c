package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// fakeNameServer answers look-ups of IPv4 addresses with 127.0.0.1, once the test lets it.
func fakeNameServer(t *testing.T) (asked, may chan bool) {
	t.Helper()
	asked, may = make(chan bool, 10), make(chan bool)
	at, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = at.Close() })
	go func() {
		for {
			text := make([]byte, 512)
			n, from, err := at.ReadFrom(text)
			if err != nil {
				return
			}
			asked <- true
			<-may
			end := 12 // of the question: a name of labels, its type and class
			for end < n && text[end] != 0 {
				end += int(text[end]) + 1
			}
			isA := text[end+2] == 1
			answer := append([]byte(nil), text[:end+5]...)
			answer[2] |= 0x80
			answer[10], answer[11] = 0, 0 // no more records, of those that it came with
			if isA {
				answer[7] = 1
				answer = append(answer, 0xc0, 12, 0, 1, 0, 1, 0, 0, 0, 0, 0, 4, 127, 0, 0, 1)
			}
			_, _ = at.WriteTo(answer, from)
		}
	}()
	was := net.DefaultResolver
	t.Cleanup(func() { net.DefaultResolver = was })
	net.DefaultResolver = &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "udp", at.LocalAddr().String())
	}}
	return asked, may
}

// TestADialCanBeCancelledDuringTheLookUp cancels a dial while its name is looked up: no connection is begun. One that is still wanted then
// goes on, and one beyond the limit of descriptors does not.
func TestADialCanBeCancelledDuringTheLookUp(t *testing.T) {
	for _, c := range []struct {
		name   string
		most   int64
		wanted bool
		why    error
	}{{"unwanted", 1, false, ErrDialCancelled}, {"wanted", 1, true, nil}, {"no room", 0, true, ErrDescriptorLimit}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, 1)
			asked, may := fakeNameServer(t)
			_, port, _ := net.SplitHostPort(b.ln.Addr().String())
			over, early := make(chan error, 1), make(chan bool, 1)
			var unwanted atomic.Bool
			go func() {
				conn, err := b.Dial("server.test.:"+port, c.most, func() bool { return !unwanted.Load() }, nil)
				if conn != nil {
					if err := get(t, b.connected); err != nil {
						t.Error(err)
					}
					conn.Close()
				}
				over <- err
			}()
			get(t, asked)
			select {
			case <-over:
				early <- true
			default:
			}
			unwanted.Store(!c.wanted) // before the answer, which the look-up waits for
			close(may)
			err := get(t, over)
			if len(early) > 0 || !errors.Is(err, c.why) {
				t.Fatalf("%v, in place of %v", err, c.why)
			}
			if n := b.descriptors.Load(); n != 0 {
				t.Errorf("%d descriptors are counted", n)
			}
			// One of the test's own stands behind it in the queue.
			mine, err := net.Dial("tcp", b.ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = mine.Close() }()
			for n := 0; ; n++ {
				got := get(t, b.taken)
				_ = got.Close()
				if got.RemoteAddr().String() != mine.LocalAddr().String() {
					continue
				}
				if c.why == nil && n != 1 || c.why != nil && n != 0 {
					t.Errorf("%d connections were begun", n)
				}
				break
			}
		})
	}
}

// TestConcurrentDialsKeepTheDescriptorLimit starts many dials at once, with descriptors for few.
func TestConcurrentDialsKeepTheDescriptorLimit(t *testing.T) {
	const many, room = 64, 5
	b := newTestbed(t, 2)
	errs, start := make(chan error, many), make(chan bool)
	for range many {
		go func() {
			<-start
			_, err := b.Dial(b.ln.Addr().String(), room, func() bool { return true }, nil)
			errs <- err
		}()
	}
	close(start)
	none := 0
	for range many {
		if err := get(t, errs); errors.Is(err, ErrDescriptorLimit) {
			none++
		} else if err != nil {
			t.Error(err)
		}
	}
	for end := time.Now().Add(testTimeout); len(b.connected) < many-none; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d are up", len(b.connected))
		}
	}
	if n := b.descriptors.Load(); n != room || none != many-room {
		t.Errorf("%d dialed of room for %d, %d refused", n, room, none)
	}
}
