package main

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	soakMaxGap     = 60 * time.Millisecond // between the halves of a line
	maxSoakLines   = 10000                 // of a client in one session
	soakBulk       = 1500                  // lines of a burst
	soakOverLink   = 0.25                  // of the clients come over a link
	soakWithBurst  = 0.06                  // of a server's lines are many small ones one right after the other
	soakWithSignal = 0.3                   // of the sessions end in the moment of a signal or a change of the list
	slowReadTime   = 20 * time.Millisecond // how long a slow reader reads between two pauses
)

// slowPause draws how long a slow reader pauses, 0 for one that is not slow.
func slowPause(draw float64) time.Duration {
	const slowPart = 0.25
	if draw >= slowPart {
		return 0
	}
	return 100*time.Millisecond + time.Duration(draw/slowPart*float64(250*time.Millisecond))
}

// pacer pauses a slow reader now and then.
type pacer struct {
	pause     time.Duration // 0 for one that is not slow
	lastPause time.Time
	// readingSince is when it last read on.
	readingSince time.Time
}

func newPacer(pause time.Duration) *pacer { return &pacer{pause: pause, lastPause: time.Now()} }

func (p *pacer) wait() {
	if p.pause > 0 && time.Since(p.lastPause) > slowReadTime {
		time.Sleep(p.pause)
		p.lastPause = time.Now()
		p.readingSince = p.lastPause
	}
}

// moments tells many of one moment after another.
type moments struct {
	mu     sync.Mutex
	coming chan struct{}
}

// next returns a channel that is closed at the next moment.
func (m *moments) next() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coming == nil {
		m.coming = make(chan struct{})
	}
	return m.coming
}

// now is the next moment.
func (m *moments) now() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.coming != nil {
		close(m.coming)
	}
	m.coming = nil
}

// kindOfEnd returns how a connection ended whose read failed.
func kindOfEnd(err error) connEnd {
	if errors.Is(err, io.EOF) {
		return endOrderly
	}
	return endReset
}
