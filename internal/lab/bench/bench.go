// Package bench owns raw speed: bare servers and clients of the text protocol that do as little as can be, straight
// to each other or through a balancer. It must never model anything, and never check rules.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxBufferedBytes  = 16 << 10
	maxRecordedMicros = int64(30 * time.Second / time.Microsecond)
	responseTimeout   = 20 * time.Second
	lineText          = "M 123456789 0123456789abcdef0123456789abcdef\r\n"
	spinTime          = 2 * time.Millisecond // before a thing is due its dispatcher waits awake: timers are late by half a millisecond
)

// Server echoes lines and accepts every session.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewServer starts one.
func NewServer() (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: ln, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends it and all that it holds.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 512) // small until there is much: idle connections are counted too
	var out []byte
	for {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		switch {
		case bytes.HasPrefix(raw, []byte("OPEN ")):
			out = append(out, "UP 1\r\n"...)
		case bytes.HasPrefix(raw, []byte("PING")):
			out = append(out, "PONG\r\n"...)
		default:
			out = append(out, raw...)
		}
		if r.Buffered() == 0 || len(out) > maxBufferedBytes {
			if _, err := c.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
	}
}

// Target is what clients speak to: a balancer, or servers straight.
type Target struct {
	Addrs []string
	ids   *atomic.Uint64
}

// NewTarget makes one of addresses that are used in turn.
func NewTarget(addrs ...string) *Target { return &Target{addrs, &atomic.Uint64{}} }

// open sets up one session.
func (t *Target) open(limit time.Duration) (net.Conn, *bufio.Reader, error) {
	id := t.ids.Add(1)
	c, err := net.Dial("tcp", t.Addrs[id%uint64(len(t.Addrs))])
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(responseTimeout))
	if _, err = fmt.Fprintf(c, "OPEN %x %x c=feed,d=%d\r\n", id, id*0x9e3779b97f4a7c15, limit.Milliseconds()); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	r := bufio.NewReaderSize(c, 512)
	raw, err := r.ReadSlice('\n')
	if err == nil && !bytes.HasPrefix(raw, []byte("UP ")) {
		err = fmt.Errorf("answered %q", raw)
	}
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return c, r, nil
}

// reset ends a connection by a reset: none of thousands of ports is left waiting.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Result is what one measurement found. Latencies are microseconds, from when a thing was due.
type Result struct {
	PerSecond float64
	P50, P99  float64
	Failed    int
}

// SetupRate has so many workers set up and drop sessions as fast as they can for a time.
func SetupRate(t *Target, workers int, span time.Duration) Result {
	end := time.Now().Add(span)
	return runSetups(t, workers, func() bool { return time.Now().Before(end) })
}

// SetupBatch has so many workers set up a number of sessions.
func SetupBatch(t *Target, workers, many int) Result {
	var next atomic.Int64
	return runSetups(t, workers, func() bool { return next.Add(1) <= int64(many) })
}

func runSetups(t *Target, workers int, more func() bool) Result {
	var n, failed atomic.Int64
	start := time.Now()
	var all sync.WaitGroup
	for range workers {
		all.Add(1)
		go func() {
			defer all.Done()
			for more() {
				c, _, err := t.open(time.Minute)
				if err != nil {
					failed.Add(1)
					continue
				}
				n.Add(1)
				reset(c)
			}
		}()
	}
	all.Wait()
	return Result{PerSecond: float64(n.Load()) / time.Since(start).Seconds(), Failed: int(failed.Load())}
}

// runPaced runs do at a rate for a time, in an open loop, and gathers what each took from when it was due.
func runPaced(rate float64, span time.Duration, do func(due time.Time, took func(time.Duration)) error) Result {
	h := hdrhistogram.New(1, maxRecordedMicros, 3)
	var mu sync.Mutex
	var failed, n atomic.Int64
	var all sync.WaitGroup
	start := time.Now()
	total := int(rate * span.Seconds())
	for i := range total {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if wait := time.Until(due); wait > spinTime {
			time.Sleep(wait - spinTime)
		}
		for time.Now().Before(due) {
			runtime.Gosched()
		}
		all.Add(1)
		go func() {
			defer all.Done()
			if err := do(due, func(d time.Duration) {
				mu.Lock()
				_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecordedMicros))
				mu.Unlock()
			}); err != nil {
				failed.Add(1)
				return
			}
			n.Add(1)
		}()
	}
	all.Wait()
	return Result{PerSecond: float64(n.Load()) / time.Since(start).Seconds(), P50: float64(h.ValueAtQuantile(50)),
		P99: float64(h.ValueAtQuantile(99)), Failed: int(failed.Load())}
}

// PacedSetups sets up sessions at a rate, whether or not earlier ones are done.
func PacedSetups(t *Target, rate float64, span time.Duration) Result {
	return runPaced(rate, span, func(due time.Time, took func(time.Duration)) error {
		c, _, err := t.open(time.Minute)
		if err != nil {
			return err
		}
		took(time.Since(due))
		reset(c)
		return nil
	})
}

// Connections is a set of established sessions.
type Connections struct {
	conns   []net.Conn
	readers []*bufio.Reader
}

// OpenConnections sets up so many sessions, a few at a time.
func OpenConnections(t *Target, many int) (*Connections, error) {
	s := &Connections{conns: make([]net.Conn, many), readers: make([]*bufio.Reader, many)}
	errs := make([]error, many)
	room := make(chan struct{}, 32)
	var all sync.WaitGroup
	for i := range many {
		room <- struct{}{}
		all.Add(1)
		go func() {
			defer func() { <-room; all.Done() }()
			s.conns[i], s.readers[i], errs[i] = t.open(time.Minute)
			if errs[i] == nil {
				_ = s.conns[i].SetDeadline(time.Time{})
			}
		}()
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		s.Close()
		return nil, fmt.Errorf("of %d sessions: %w", many, errs[firstError(errs)])
	}
	return s, nil
}

func firstError(errs []error) int {
	for i, err := range errs {
		if err != nil {
			return i
		}
	}
	return 0
}

// Close drops them.
func (s *Connections) Close() {
	for _, c := range s.conns {
		if c != nil {
			reset(c)
		}
	}
}

// Lines sends lines on all sessions, a window of them out on each, as fast as they come back.
func (s *Connections) Lines(ctx context.Context, window int, span time.Duration) Result {
	var n atomic.Int64
	end := time.Now().Add(span)
	var all sync.WaitGroup
	text := bytes.Repeat([]byte(lineText), window)
	for i := range s.conns {
		all.Add(1)
		go func() {
			defer all.Done()
			c, r := s.conns[i], s.readers[i]
			_ = c.SetDeadline(end.Add(responseTimeout))
			for ctx.Err() == nil && time.Now().Before(end) {
				if _, err := c.Write(text); err != nil {
					return
				}
				for range window {
					if _, err := r.ReadSlice('\n'); err != nil {
						return
					}
				}
				n.Add(int64(window))
			}
		}()
	}
	all.Wait()
	return Result{PerSecond: float64(n.Load()) / span.Seconds()}
}

// PacedLines sends lines at a rate over all sessions in turn; each session answers one before its next.
func (s *Connections) PacedLines(rate float64, span time.Duration) Result {
	var next atomic.Int64
	locks := make([]sync.Mutex, len(s.conns))
	return runPaced(rate, span, func(due time.Time, took func(time.Duration)) error {
		i := int(next.Add(1)) % len(s.conns)
		locks[i].Lock()
		defer locks[i].Unlock()
		_ = s.conns[i].SetDeadline(time.Now().Add(responseTimeout))
		if _, err := s.conns[i].Write([]byte(lineText)); err != nil {
			return err
		}
		if _, err := s.readers[i].ReadSlice('\n'); err != nil {
			return err
		}
		took(time.Since(due))
		return nil
	})
}

// StartFlood sends lines on one session at full speed, and reads what comes back, until it is ended by the function answered.
func StartFlood(t *Target) (stop func(), err error) {
	c, r, err := t.open(time.Minute)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	var both sync.WaitGroup
	both.Add(2)
	text := bytes.Repeat([]byte(lineText), 1000)
	go func() {
		defer both.Done()
		for {
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}()
	go func() {
		defer both.Done()
		for buf := make([]byte, 64<<10); ; {
			if _, err := r.Read(buf); err != nil {
				return
			}
		}
	}()
	return func() { reset(c); both.Wait() }, nil
}
