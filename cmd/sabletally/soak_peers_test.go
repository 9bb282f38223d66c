package main

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	maxLineGap      = 60 * time.Millisecond // maximum time between the halves of a line
	maxSoakLines    = 10000                 // maximum number of lines of a client in one session
	soakBurstLines  = 1500                  // number of lines in a large burst
	soakLinkShare   = 0.25                  // share of the sessions whose clients connect over a link
	soakBurstShare  = 0.06                  // share of a server's lines that come after a burst of small lines
	soakSignalShare = 0.3                   // share of the peers that end a session at a signal or a change of server states
	slowReadTime    = 20 * time.Millisecond // time that a slow reader reads between two pauses
)

// drawPause returns the length of a reader's pauses for a random number in [0, 1): 0 for three readers in four, 100 to 350 ms for a slow one.
func drawPause(draw float64) time.Duration {
	const slowPart = 0.25
	if draw >= slowPart {
		return 0
	}
	return 100*time.Millisecond + time.Duration(draw/slowPart*float64(250*time.Millisecond))
}

// pacer pauses a slow reader each time that it has read for slowReadTime.
type pacer struct {
	pause     time.Duration // 0 for a reader that is not slow
	lastPause time.Time
	// readingSince is when the last pause ended.
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

// broadcaster notifies all waiting goroutines of an event.
type broadcaster struct {
	mu        sync.Mutex
	nextEvent chan struct{}
}

// next returns a channel that is closed at the next event.
func (b *broadcaster) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nextEvent == nil {
		b.nextEvent = make(chan struct{})
	}
	return b.nextEvent
}

// notify closes the channels that next has returned since the last event.
func (b *broadcaster) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nextEvent != nil {
		close(b.nextEvent)
	}
	b.nextEvent = nil
}

// connEndOf returns how a connection ended, from the error of a read.
func connEndOf(err error) connEnd {
	if errors.Is(err, io.EOF) {
		return endOrderly
	}
	return endReset
}
