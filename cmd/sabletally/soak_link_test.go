package main

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	soakLinkDelay = 500 * time.Millisecond // allowance for the delay that a link adds to a line, an answer or an end
	maxLinkStall  = 300 * time.Millisecond // maximum length of a stall, in which a link forwards nothing
	maxChunkDelay = 20 * time.Millisecond  // maximum delay of a chunk; one chunk in fifty is delayed
	maxChunk      = 16 << 10               // maximum size of a chunk in bytes
)

// soakLink forwards connections to an address in chunks of random sizes, with random delays and stalls. It delivers all bytes in order and
// then an end of the same kind, orderly or by a reset.
type soakLink struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	rng     *rand.Rand
	stalled sync.RWMutex // write-locked during a stall
}

func newSoakLink(listener net.Listener, to string, seed uint64, done <-chan struct{}) *soakLink {
	l := &soakLink{listener: listener, to: to, rng: rand.New(rand.NewPCG(seed, 900))}
	go l.accept()
	go l.stallPeriodically(done)
	return l
}

func (l *soakLink) address() string { return l.listener.Addr().String() }

// randomBelow returns a random number in [0, most).
func (l *soakLink) randomBelow(most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(most)
}

// stallPeriodically stalls the link every 0.5 to 2 s, for up to maxLinkStall, until done is closed.
func (l *soakLink) stallPeriodically(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(500+l.randomBelow(1500)) * time.Millisecond):
		}
		l.stalled.Lock()
		time.Sleep(time.Duration(l.randomBelow(int(maxLinkStall))))
		l.stalled.Unlock()
	}
}

func (l *soakLink) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.forwardBoth(near.(*net.TCPConn), far.(*net.TCPConn))
	}
}

func (l *soakLink) forwardBoth(near, far *net.TCPConn) {
	a, b := &linkConn{TCPConn: near}, &linkConn{TCPConn: far}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(a, b) })
	directions.Go(func() { l.forward(b, a) })
	directions.Wait()
	_ = near.Close()
	_ = far.Close()
}

// linkConn is one of the two connections of a link.
type linkConn struct {
	*net.TCPConn
	writeFailed  atomic.Bool // a write met a reset, so that reads get EOF in its place
	closedByLink atomic.Bool // the link has closed its sending direction
}

// wasReset reports whether the EOF of a read stands for a reset that a write met first. That write may not have returned yet, so the state of
// the socket counts too: it is CLOSE after a reset, but not if only the other side has closed its sending direction.
func (e *linkConn) wasReset() bool {
	if e.writeFailed.Load() {
		return true
	}
	raw, err := e.SyscallConn()
	if err != nil || e.closedByLink.Load() {
		return false
	}
	isDone := false
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isDone = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return isDone
}

// forward copies one direction until it ends, and forwards the end.
func (l *soakLink) forward(from, to *linkConn) {
	buffer := make([]byte, maxChunk)
	for {
		n, err := from.Read(buffer[:1+l.randomBelow(maxChunk)])
		if n > 0 {
			l.delayChunk()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				to.writeFailed.Store(true) // the other direction forwards the reset
			}
		}
		if errors.Is(err, io.EOF) && from.wasReset() {
			err = syscall.ECONNRESET
		}
		switch {
		case errors.Is(err, net.ErrClosed): // the other direction has reset this connection
			return
		case errors.Is(err, io.EOF):
			l.delayChunk()
			to.closedByLink.Store(true)
			_ = to.CloseWrite()
			return
		case err != nil:
			l.delayChunk()
			for end := time.Now().Add(testTimeout); unacknowledgedBytes(to.TCPConn) > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			resetConn(to.TCPConn)
			return
		}
	}
}

// delayChunk waits for the end of a stall, and delays one chunk in fifty.
func (l *soakLink) delayChunk() {
	l.stalled.RLock()
	defer l.stalled.RUnlock()
	if l.randomBelow(50) == 0 {
		time.Sleep(time.Duration(l.randomBelow(int(maxChunkDelay))))
	}
}
