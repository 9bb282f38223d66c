package main

import (
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// serverEnd is how a server ends its session.
type serverEnd uint8

const (
	serverCloses          serverEnd = iota
	serverResets                    // with a reset
	serverClosesOverInput           // over a line that it has not read, which is a reset too
	serverWaits                     // for the balancer's end
)

// shutdownDelivery is what servers do in the middle of a shutdown. Times count from SIGTERM.
type shutdownDelivery struct {
	name      string
	lines     []time.Duration // when a line's last byte is written
	halves    time.Duration   // by which each line's first half is written earlier, 0 for whole lines
	end       serverEnd
	endsAfter time.Duration // the last line
	suspended bool          // the balancer's process is held up from before the last two lines until after the end
	upgrade   bool          // another process takes over
}

var shutdownDeliveries = []shutdownDelivery{
	{name: "reset, a line in flight", lines: millis(517, 525, 549), end: serverResets},
	{name: "reset after a quiet time", lines: millis(525, 549), end: serverResets},
	{name: "reset 15 ms later", lines: millis(525, 549), end: serverResets, endsAfter: 15 * time.Millisecond},
	{name: "reset, in halves", lines: millis(525, 549), halves: 20 * time.Millisecond, end: serverResets},
	{name: "reset, held up", lines: millis(525, 549), end: serverResets, suspended: true},
	{name: "reset, held up, a line in flight", lines: millis(490, 525, 549), end: serverResets, suspended: true},
	{name: "close over input", lines: millis(525, 549), end: serverClosesOverInput},
	{name: "close over input, held up", lines: millis(525, 549), end: serverClosesOverInput, suspended: true},
	{name: "in order", lines: millis(517, 525, 549), end: serverCloses},
	{name: "migrated", lines: millis(525, 549), end: serverWaits},
	{name: "migrated, held up", lines: millis(525, 549), end: serverWaits, suspended: true},
	{name: "migrated, in halves", lines: millis(525, 549), halves: 20 * time.Millisecond, end: serverWaits},
	{name: "reset right after a conversation", lines: millis(1, 25), end: serverResets},
	{name: "reset at a hot restart", lines: millis(1, 25), end: serverResets, upgrade: true},
	{name: "reset in halves at a hot restart", lines: millis(1, 25), halves: 20 * time.Millisecond, end: serverResets, upgrade: true},
}

const (
	suspendedBefore = 120 * time.Millisecond // the last two lines
	suspendedAfter  = 20 * time.Millisecond  // the last one
)

func millis(times ...int) []time.Duration {
	var spans []time.Duration
	for _, n := range times {
		spans = append(spans, time.Duration(n)*time.Millisecond)
	}
	return spans
}

// deliveryCount counts sessions by what did not arrive of their last two lines.
type deliveryCount struct{ one, both, moved, movedOne, movedBoth atomic.Int64 }

func (n *deliveryCount) add(missing int, moved bool) {
	one, both := &n.one, &n.both
	if moved {
		n.moved.Add(1)
		one, both = &n.movedOne, &n.movedBoth
	}
	switch {
	case missing == 1:
		one.Add(1)
	case missing > 1:
		both.Add(1)
	}
}

// Guards against report e8b126: lines that a server wrote in the middle of a shutdown, just before its session's end, never arrived.
func TestLinesWithinAShutdownArrive(t *testing.T) {
	for _, c := range shutdownDeliveries {
		t.Run(c.name, func(t *testing.T) { c.play(t) })
	}
}

func (c shutdownDelivery) play(t *testing.T) {
	env := []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024", "SLOW_MESSAGES=yes"}
	if c.upgrade {
		env = append(env, "SHARED")
	}
	s := startSite(t, env, "s-1")
	var signalled time.Time
	ready := make(chan struct{})
	started := afterSessions(func() {
		if c.upgrade {
			old := s.newSuccessor()
			signalled = time.Now()
			_ = old.Signal(syscall.SIGTERM)
		} else {
			signalled = time.Now()
			_ = s.child.Signal(syscall.SIGTERM)
		}
		close(ready)
		if c.suspended {
			time.Sleep(time.Until(signalled.Add(c.lines[len(c.lines)-2] - suspendedBefore)))
			_ = s.child.Signal(syscall.SIGSTOP)
			time.Sleep(time.Until(signalled.Add(c.lines[len(c.lines)-1] + suspendedAfter)))
			_ = s.child.Signal(syscall.SIGCONT)
		}
	})
	var count deliveryCount
	lost := s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		if err := converse(a, e); err != nil {
			return 0, err
		}
		started()
		<-ready
		var received string
		var reading sync.WaitGroup
		reading.Go(func() {
			text, _ := io.ReadAll(a.r) // ends with an error at a reset
			received = string(text)
		})
		written, err := c.serve(a, e, signalled)
		reading.Wait()
		missing := 0
		for _, line := range written {
			if !strings.Contains(received, line) {
				missing++
			}
		}
		count.add(missing, strings.HasSuffix(received, "MOVE\r\n"))
		return missing, err
	})
	t.Logf("%d lost: one line in %d sessions, more in %d; of %d migrated ones one in %d, more in %d",
		lost, count.one.Load(), count.both.Load(), count.moved.Load(), count.movedOne.Load(), count.movedBoth.Load())
	if lost > 0 {
		t.Errorf("%d lines lost", lost)
	}
}

// serve plays the server and returns the lines that are owed: those that it wrote whole before the balancer's end arrived.
func (c shutdownDelivery) serve(a *testClient, e *emulator.Session, from time.Time) (owed []string, err error) {
	names := []string{"L first\r\n", "L second\r\n", "L third\r\n"}
	const half = 4 // bytes
	for i, at := range c.lines {
		line := names[i]
		if c.halves > 0 {
			time.Sleep(time.Until(from.Add(at - c.halves)))
			if _, err := io.WriteString(e, line[:half]); err != nil {
				return owed, nil
			}
		}
		time.Sleep(time.Until(from.Add(at)))
		if ended, err := isEndedByPeer(e.Conn); ended || err != nil {
			return owed, nil
		}
		if c.halves > 0 {
			line = line[half:]
		}
		if _, err := io.WriteString(e, line); err != nil {
			return owed, nil
		}
		owed = append(owed, names[i])
	}
	if c.end == serverClosesOverInput {
		_, _ = io.WriteString(a, "M unread\r\n")
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(c.endsAfter)
	switch c.end {
	case serverResets:
		resetConn(e.Conn)
	case serverWaits:
		_, err := io.Copy(io.Discard, e.R)
		if errors.Is(err, syscall.ECONNRESET) {
			err = nil
		}
		_ = e.Close()
		return owed, err
	default:
		_ = e.Close()
	}
	return owed, nil
}
