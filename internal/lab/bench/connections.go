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
	maxConcurrentOpens = 32
	floodLines         = 1000 // of one write
	floodReadBytes     = 64 << 10
)

// Connections is a set of established sessions.
type Connections struct{ all []*connection }

// OpenConnections sets up a number of sessions, a few at a time.
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
			_ = c.SetDeadline(time.Time{}) // it fails only on a closed connection, whose use fails too
			s.all[i] = c
		})
	}
	running.Wait()
	if errors.Join(errs...) != nil {
		s.Close()
		return nil, fmt.Errorf("of %d sessions: %w", count, firstError(errs))
	}
	return s, nil
}

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

// Lines sends lines on all sessions for a time, as fast as they come back, with window lines in flight on each session.
func (s *Connections) Lines(ctx context.Context, window int, span time.Duration) Result {
	var received atomic.Int64
	end := time.Now().Add(span)
	lines := bytes.Repeat([]byte(lineText), window)
	var running sync.WaitGroup
	for _, c := range s.all {
		running.Go(func() {
			_ = c.SetDeadline(end.Add(responseTimeout)) // it fails only on a closed connection, whose use fails too
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

// PacedLines sends lines at a rate over all sessions in turn, with one line in flight on each session.
func (s *Connections) PacedLines(rate float64, span time.Duration) Result {
	var next atomic.Int64
	locks := make([]sync.Mutex, len(s.all))
	return runPaced(rate, span, func(onDone func()) error {
		i := int(next.Add(1)) % len(s.all)
		locks[i].Lock()
		defer locks[i].Unlock()
		c := s.all[i]
		_ = c.SetDeadline(time.Now().Add(responseTimeout)) // it fails only on a closed connection, whose use fails too
		if err := c.exchange([]byte(lineText), 1); err != nil {
			return err
		}
		onDone()
		return nil
	})
}

// StartFlood sends lines on one session at full speed, and reads the responses, until stop is called.
func StartFlood(t *Target) (stop func(), err error) {
	c, err := t.open()
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{}) // it fails only on a closed connection, whose use fails too
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

// discard reads until the connection fails.
func (c *connection) discard() {
	buffer := make([]byte, floodReadBytes)
	for {
		if _, err := c.reader.Read(buffer); err != nil {
			return
		}
	}
}
