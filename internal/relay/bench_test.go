package relay

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// rawPair is a pair whose peers are bare descriptors, so that the peers take no memory from the Go heap.
type rawPair struct {
	pair           *Pair
	client, server int
}

// newRawPair creates a pair with bare descriptors as its peers.
func (b *testbed) newRawPair() rawPair {
	b.t.Helper()
	c, err := b.Dial(b.listener.Addr().String(), 1<<20, func() bool { return true }, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := receive(b.t, b.connected); err != nil {
		b.t.Fatal(err)
	}
	serverConn := receive(b.t, b.accepted)
	_, _ = io.WriteString(serverConn, "UP 1\r\n")
	c.AwaitLine()
	receive(b.t, b.lines)
	clientConn, err := net.Dial("tcp", b.listener.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	p, err := b.Join(b.acceptDescriptor(), c, []byte("UP 1\r\n"), 7, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	_ = clientConn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(clientConn, make([]byte, 6)); err != nil {
		b.t.Fatal(err)
	}
	return rawPair{p, b.detachDescriptor(clientConn), b.detachDescriptor(serverConn)}
}

// detachDescriptor returns a duplicate descriptor of a connection, in blocking mode with a read timeout, and closes the connection.
func (b *testbed) detachDescriptor(c net.Conn) int {
	b.t.Helper()
	file, err := c.(*net.TCPConn).File()
	if err != nil {
		b.t.Fatal(err)
	}
	fd, err := unix.Dup(int(file.Fd()))
	if err == nil {
		err = unix.SetNonblock(fd, false)
	}
	if err == nil {
		err = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: int64(testTimeout / time.Second)})
	}
	if err != nil {
		b.t.Fatal(err)
	}
	_ = file.Close()
	_ = c.Close()
	return fd
}

// processCPUTime returns the CPU time that the process has used so far, user and system together.
func processCPUTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDelivery sends one line at a time from a server to its client, in turn over a number of pairs. cpu-ns/op is the CPU time of
// the whole process, including both peers; held-B/pair is the heap memory per pair, without the kernel's buffers.
func BenchmarkDelivery(b *testing.B) {
	r := newTestbed(b, 2)
	rawPairs := []rawPair{r.newRawPair()}
	b.Cleanup(func() {
		for _, p := range rawPairs {
			p.pair.Abort()
			_ = unix.Close(p.client)
			_ = unix.Close(p.server)
		}
		for deadline := time.Now().Add(testTimeout); r.descriptors.Load() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				b.Fatalf("%d descriptors are still open after the pairs were aborted", r.descriptors.Load())
			}
		}
	})
	measureHeap := func() uint64 {
		var m runtime.MemStats
		for range 2 { // two collections, because connections of package net have finalizers
			runtime.GC()
		}
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := measureHeap()
	for _, pairs := range []int{1, 10, 100, 1000, 2000, 4000} {
		for len(rawPairs) <= pairs {
			rawPairs = append(rawPairs, r.newRawPair())
		}
		heapSize := measureHeap() - before
		b.Run(fmt.Sprintf("pairs=%d", pairs), func(b *testing.B) {
			text := []byte("M 123456789 0123456789abcdef\r\n")
			buf := make([]byte, len(text))
			b.ReportAllocs()
			used := processCPUTime(b)
			b.ResetTimer()
			for i := range b.N {
				if _, err := unix.Write(rawPairs[i%pairs].server, text); err != nil {
					b.Fatal(err)
				}
				for got := 0; got < len(text); {
					n, err := unix.Read(rawPairs[i%pairs].client, buf[got:])
					if err == unix.EINTR {
						continue
					}
					if err != nil || n == 0 {
						b.Fatal(n, err)
					}
					got += n
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(processCPUTime(b)-used)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(heapSize)/float64(pairs), "held-B/pair")
			if n := r.descriptors.Load(); n != int64(2*pairs+2) {
				b.Fatalf("%d descriptors are open with %d pairs", n, pairs+1)
			}
		})
	}
}
