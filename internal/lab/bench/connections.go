// This file measures the exchange of lines on established sessions.

package bench

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxConcurrentOpens = 32       // number of sessions that OpenConnections sets up at a time
	floodLines         = 1000     // number of lines in one write of a flood
	floodReadBytes     = 64 << 10 // size of the read buffer of a flood
)

// Connections is a set of established sessions.
type Connections struct{ all []*connection }

// OpenConnections sets up a number of sessions, maxConcurrentOpens at a time. If any of them fails, it closes all and returns the first
// error.
func OpenConnections(t *Target, count int) (*Connections, error) {
	s := &Connections{all: make([]*connection, count)}
	errs := make([]error, count)
	slots := make(chan struct{}, maxConcurrentOpens)
	var running sync.WaitGroup
	for i := range count {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			c, err := t.open()
			if err != nil {
				errs[i] = err
				return
			}
			_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, on which each exchange fails too
			s.all[i] = c
		})
	}
	running.Wait()
	if errors.Join(errs...) != nil {
		s.Close()
		return nil, fmt.Errorf("setting up %d sessions: %w", count, firstError(errs))
	}
	return s, nil
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Close resets all connections.
func (s *Connections) Close() {
	for _, c := range s.all {
		if c != nil {
			c.reset()
		}
	}
}

// Lines sends lines on all sessions for a time, with window lines in flight on each, and counts those that come back.
func (s *Connections) Lines(ctx context.Context, window int, span time.Duration) Result {
	var received atomic.Int64
	end := time.Now().Add(span)
	lines := bytes.Repeat([]byte(lineText), window)
	var running sync.WaitGroup
	for _, c := range s.all {
		running.Go(func() {
			_ = c.SetDeadline(end.Add(responseTimeout)) // fails only on a closed connection, on which each exchange fails too
			for ctx.Err() == nil && time.Now().Before(end) {
				if c.exchange(lines, window) != nil {
					return
				}
				received.Add(int64(window))
			}
		})
	}
	running.Wait()
	return Result{PerSecond: float64(received.Load()) / span.Seconds()}
}

// PacedLines sends lines at a rate per second on all sessions in turn, with at most one line in flight on each.
func (s *Connections) PacedLines(rate float64, span time.Duration) Result {
	var next atomic.Int64
	locks := make([]sync.Mutex, len(s.all))
	return runPaced(rate, span, func(onDone func()) error {
		i := int(next.Add(1)) % len(s.all)
		locks[i].Lock()
		defer locks[i].Unlock()
		c := s.all[i]
		_ = c.SetDeadline(time.Now().Add(responseTimeout)) // fails only on a closed connection, on which the exchange fails too
		if err := c.exchange([]byte(lineText), 1); err != nil {
			return err
		}
		onDone()
		return nil
	})
}

// StartFlood sends lines on one session as fast as possible, and reads the responses, until stop is called.
func StartFlood(t *Target) (stop func(), err error) {
	c, err := t.open()
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{}) // fails only on a closed connection, on which reads and writes fail too
	var running sync.WaitGroup
	running.Go(c.writeFlood)
	running.Go(c.discard)
	return func() {
		c.reset()
		running.Wait()
	}, nil
}

// writeFlood writes lines until the connection fails.
func (c *connection) writeFlood() {
	lines := bytes.Repeat([]byte(lineText), floodLines)
	for {
		if _, err := c.Write(lines); err != nil {
			return
		}
	}
}

// discard reads and discards lines until the connection fails.
func (c *connection) discard() {
	buffer := make([]byte, floodReadBytes)
	for {
		if _, err := c.reader.Read(buffer); err != nil {
			return
		}
	}
}
