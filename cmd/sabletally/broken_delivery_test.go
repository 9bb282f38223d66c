package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// writeUntilError keeps writing lines, so that a write meets a reset before a read does, and returns the error.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := io.WriteString(c, "M 1\r\n"); err != nil {
			return err
		}
		time.Sleep(20 * time.Microsecond)
	}
}

// Guards against lines of a server that were dropped when a write to the server met its reset before a read did (incident 0fd2d2).
func TestLinesBeforeAResetThatAWriteMeetsArrive(t *testing.T) {
	for _, c := range []struct {
		name  string
		plan  faultPlan
		lines int
		slow  bool
	}{
		{"kernel short of memory", faultPlan{Seed: 1, NoMemory: 0.3, Short: 0.5}, 300, false},
		{"slow reader", faultPlan{}, 20000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024", "SLOW_MESSAGES=yes", c.plan.env(t)}, "s-1")
			lost := s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
				writeFailed := make(chan error, 1)
				go func() { writeFailed <- writeUntilError(a.Conn) }()
				go func() { _, _ = io.Copy(io.Discard, e.R) }()
				acknowledged := make(chan int, 1)
				go func() {
					acknowledged <- writeBulk(e.Conn, c.lines)
					resetConn(e.Conn)
				}()
				r := a.r
				if c.slow {
					r = bufio.NewReaderSize(slowReader{a.r}, 16<<10)
				}
				got, end := countBulk(r)
				expected := <-acknowledged / len(bulkLine(0))
				if wrote := <-writeFailed; !errors.Is(end, syscall.ECONNRESET) && !errors.Is(wrote, syscall.ECONNRESET) { // one of them gets the reset
					return 0, fmt.Errorf("the client got no reset, but %w and %w", end, wrote)
				}
				return max(0, expected-got), nil
			})
			if lost > 0 {
				t.Errorf("%d of %d lines lost", lost, c.lines*deliverySessions)
			}
		})
	}
}

// Guards against a broken session that kept its descriptors for seconds after both peers had closed, past the end of a hot restart.
func TestABrokenSessionEndsWithItsClient(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=1024"}, "s-1")
	s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		go func() { _ = writeUntilError(a.Conn) }()
		go func() { _, _ = io.Copy(io.Discard, e.R) }()
		writeBulk(e.Conn, 100000) // more lines than the balancer and the kernel buffer
		resetConn(e.Conn)
		time.Sleep(200 * time.Millisecond)
		resetConn(a.Conn)
		return 0, nil
	})
	ended := time.Now()
	for s.counter("descriptors") > 0 {
		if time.Since(ended) > maxEndDelay {
			t.Fatalf("%d descriptors are still open %v after all sessions have ended", s.counter("descriptors"), time.Since(ended))
		}
		time.Sleep(10 * time.Millisecond)
	}
}
