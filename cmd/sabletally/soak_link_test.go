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
	soakLinkDelay = 500 * time.Millisecond // that a link may add to a line, an answer or an end
	maxLinkHold   = 300 * time.Millisecond // for which it carries nothing now and then
	maxChunkDelay = 20 * time.Millisecond  // of some of the pieces
	maxChunk      = 16 << 10               // bytes of a piece
)

// soakLink carries connections to an address in pieces of any size, some of them late, and nothing at all now and then. What was sent arrives,
// in order, before the end behind it, and the end arrives as it was.
type soakLink struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	rng  *rand.Rand
	held sync.RWMutex // write-locked while nothing is carried
}

func newSoakLink(listener net.Listener, to string, seed uint64, done <-chan struct{}) *soakLink {
	l := &soakLink{listener: listener, to: to, rng: rand.New(rand.NewPCG(seed, 900))}
	go l.accept()
	go l.holdNowAndThen(done)
	return l
}

func (l *soakLink) address() string { return l.listener.Addr().String() }

// upTo draws a number below most.
func (l *soakLink) upTo(most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(most)
}

func (l *soakLink) holdNowAndThen(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(500+l.upTo(1500)) * time.Millisecond):
		}
		l.held.Lock()
		time.Sleep(time.Duration(l.upTo(int(maxLinkHold))))
		l.held.Unlock()
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
		go l.carryBoth(near.(*net.TCPConn), far.(*net.TCPConn))
	}
}

func (l *soakLink) carryBoth(near, far *net.TCPConn) {
	a, b := &linkEnd{TCPConn: near}, &linkEnd{TCPConn: far}
	var directions sync.WaitGroup
	directions.Go(func() { l.carry(a, b) })
	directions.Go(func() { l.carry(b, a) })
	directions.Wait()
	_ = near.Close()
	_ = far.Close()
}

// linkEnd is one end of a link.
type linkEnd struct {
	*net.TCPConn
	broken atomic.Bool // a write met its reset: a read only sees an orderly end then
	ended  atomic.Bool // by the link itself
}

// wasReset reports whether an end that a read saw as an orderly one was a reset: the write that met it may not have returned yet, but the
// kernel is done with the connection then, and not after an orderly end of the other side alone.
func (e *linkEnd) wasReset() bool {
	if e.broken.Load() {
		return true
	}
	raw, err := e.SyscallConn()
	if err != nil || e.ended.Load() {
		return false
	}
	isDone := false
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isDone = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return isDone
}

// carry carries one direction until its end.
func (l *soakLink) carry(from, to *linkEnd) {
	buffer := make([]byte, maxChunk)
	for {
		n, err := from.Read(buffer[:1+l.upTo(maxChunk)])
		if n > 0 {
			l.pass()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				to.broken.Store(true) // the other direction carries that on
			}
		}
		if errors.Is(err, io.EOF) && from.wasReset() {
			err = syscall.ECONNRESET
		}
		switch {
		case errors.Is(err, net.ErrClosed): // by the other direction's reset
			return
		case errors.Is(err, io.EOF):
			l.pass()
			to.ended.Store(true)
			_ = to.CloseWrite()
			return
		case err != nil:
			l.pass()
			for end := time.Now().Add(testTimeout); unacknowledgedBytes(to.TCPConn) > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			resetConn(to.TCPConn)
			return
		}
	}
}

// pass waits until the next piece may go.
func (l *soakLink) pass() {
	l.held.RLock()
	defer l.held.RUnlock()
	if l.upTo(50) == 0 {
		time.Sleep(time.Duration(l.upTo(int(maxChunkDelay))))
	}
}
