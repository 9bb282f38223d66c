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
	serverResets                    // the server resets the connection
	serverClosesOverInput           // the server closes with an unread line in its buffer, which makes the kernel send a reset
	serverAwaitsEnd                 // the server closes after the balancer's end
)

// shutdownDelivery is a case of servers that write lines and end their sessions during a shutdown. Times count from SIGTERM.
type shutdownDelivery struct {
	name          string
	lines         []time.Duration // when the last byte of each line is written
	firstHalfLead time.Duration   // how much earlier the first half of each line is written, 0 for whole lines
	end           serverEnd
	endsAfter     time.Duration // time from the last line to the server's end
	suspended     bool          // the balancer is suspended from before the last two lines until after the server's end
	upgrade       bool          // the shutdown is part of a hot restart
}

var shutdownDeliveries = []shutdownDelivery{
	{name: "reset, a line in flight", lines: milliseconds(517, 525, 549), end: serverResets},
	{name: "reset after a quiet time", lines: milliseconds(525, 549), end: serverResets},
	{name: "reset 15 ms later", lines: milliseconds(525, 549), end: serverResets, endsAfter: 15 * time.Millisecond},
	{name: "reset, in halves", lines: milliseconds(525, 549), firstHalfLead: 20 * time.Millisecond, end: serverResets},
	{name: "reset, held up", lines: milliseconds(525, 549), end: serverResets, suspended: true},
	{name: "reset, held up, a line in flight", lines: milliseconds(490, 525, 549), end: serverResets, suspended: true},
	{name: "close over input", lines: milliseconds(525, 549), end: serverClosesOverInput},
	{name: "close over input, held up", lines: milliseconds(525, 549), end: serverClosesOverInput, suspended: true},
	{name: "in order", lines: milliseconds(517, 525, 549), end: serverCloses},
	{name: "migrated", lines: milliseconds(525, 549), end: serverAwaitsEnd},
	{name: "migrated, held up", lines: milliseconds(525, 549), end: serverAwaitsEnd, suspended: true},
	{name: "migrated, in halves", lines: milliseconds(525, 549), firstHalfLead: 20 * time.Millisecond, end: serverAwaitsEnd},
	{name: "reset right after a conversation", lines: milliseconds(1, 25), end: serverResets},
	{name: "reset at a hot restart", lines: milliseconds(1, 25), end: serverResets, upgrade: true},
	{name: "reset in halves at a hot restart", lines: milliseconds(1, 25), firstHalfLead: 20 * time.Millisecond, end: serverResets, upgrade: true},
}

const (
	suspendLead = 120 * time.Millisecond // time from the balancer's suspension to the last line but one
	resumeDelay = 20 * time.Millisecond  // time from the last line until the balancer continues
)

func milliseconds(times ...int) []time.Duration {
	var spans []time.Duration
	for _, n := range times {
		spans = append(spans, time.Duration(n)*time.Millisecond)
	}
	return spans
}

// deliveryCount counts the sessions that lost one line and those that lost more, separately for migrated sessions.
type deliveryCount struct{ lostOne, lostMore, migrated, migratedLostOne, migratedLostMore atomic.Int64 }

func (n *deliveryCount) add(missing int, migrated bool) {
	lostOne, lostMore := &n.lostOne, &n.lostMore
	if migrated {
		n.migrated.Add(1)
		lostOne, lostMore = &n.migratedLostOne, &n.migratedLostMore
	}
	switch {
	case missing == 1:
		lostOne.Add(1)
	case missing > 1:
		lostMore.Add(1)
	}
}

// Guards against the loss of lines that a server wrote during a shutdown, just before the end of its session (report e8b126).
func TestLinesWithinAShutdownArrive(t *testing.T) {
	for _, c := range shutdownDeliveries {
		t.Run(c.name, func(t *testing.T) { c.run(t) })
	}
}

func (c shutdownDelivery) run(t *testing.T) {
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
			time.Sleep(time.Until(signalled.Add(c.lines[len(c.lines)-2] - suspendLead)))
			_ = s.child.Signal(syscall.SIGSTOP)
			time.Sleep(time.Until(signalled.Add(c.lines[len(c.lines)-1] + resumeDelay)))
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
			text, _ := io.ReadAll(a.r) // fails if the connection is reset
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
	t.Logf("%d lines lost: one line in %d sessions, more in %d; of %d migrated sessions one line in %d, more in %d",
		lost, count.lostOne.Load(), count.lostMore.Load(), count.migrated.Load(), count.migratedLostOne.Load(), count.migratedLostMore.Load())
	if lost > 0 {
		t.Errorf("%d lines lost", lost)
	}
}

// serve writes the lines, ends the session, and returns the lines that must arrive: those that were written whole before the balancer's end
// arrived.
func (c shutdownDelivery) serve(a *testClient, e *emulator.Session, from time.Time) (expected []string, err error) {
	names := []string{"L first\r\n", "L second\r\n", "L third\r\n"}
	const half = 4 // bytes in the first half of a line
	for i, at := range c.lines {
		line := names[i]
		if c.firstHalfLead > 0 {
			time.Sleep(time.Until(from.Add(at - c.firstHalfLead)))
			if _, err := io.WriteString(e, line[:half]); err != nil {
				return expected, nil
			}
		}
		time.Sleep(time.Until(from.Add(at)))
		if ended, err := isEndedByPeer(e.Conn); ended || err != nil {
			return expected, nil
		}
		if c.firstHalfLead > 0 {
			line = line[half:]
		}
		if _, err := io.WriteString(e, line); err != nil {
			return expected, nil
		}
		expected = append(expected, names[i])
	}
	if c.end == serverClosesOverInput {
		_, _ = io.WriteString(a, "M unread\r\n")
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(c.endsAfter)
	switch c.end {
	case serverResets:
		resetConn(e.Conn)
	case serverAwaitsEnd:
		_, err := io.Copy(io.Discard, e.R)
		if errors.Is(err, syscall.ECONNRESET) {
			err = nil
		}
		_ = e.Close()
		return expected, err
	default:
		_ = e.Close()
	}
	return expected, nil
}
