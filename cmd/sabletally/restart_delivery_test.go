package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// Guards against a hot restart that lost lines which waited for a slow reader, and the end of the session behind them (report e8b126).
func TestAnEndBehindWaitingLinesSurvivesHotRestarts(t *testing.T) {
	for _, c := range []struct {
		name     string
		reset    bool
		toServer bool
	}{
		{"server resets", true, false},
		{"server ends", false, false},
		{"client resets", true, true},
		{"client ends", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, []string{"SHARED", "SLOW_MESSAGES=yes"}, "s-1")
			a, e := s.establish()
			from, to, r := e.Conn, a.Conn, a.r
			if c.toServer {
				from, to, r = a.Conn, e.Conn, e.R
			}
			_ = to.(*net.TCPConn).SetReadBuffer(64 << 10)
			expected := writeBulk(from, 20000) / len(bulkLine(0))
			if c.reset {
				resetConn(from)
			} else {
				_ = from.Close()
			}
			for range 2 {
				_ = s.newSuccessor().Signal(syscall.SIGTERM)
				time.Sleep(200 * time.Millisecond)
			}
			got, end := countBulk(r)
			if got < expected || expected == 0 {
				t.Errorf("%d of %d lines arrived, then %v", got, expected, end)
			}
			if c.reset != errors.Is(end, syscall.ECONNRESET) || !c.reset && !errors.Is(end, io.EOF) {
				t.Errorf("the session ended by %v", end)
			}
		})
	}
}

// Guards against the loss of coalesced lines that waited for their write when their session was handed over or ended (report e8b126).
func TestLinesThatWaitForOneWriteArrive(t *testing.T) {
	const lines = 40
	for _, c := range []struct {
		name string
		end  func(s *site, e *emulator.Session)
		want string // text that the client receives after the lines
	}{
		{"reset", func(_ *site, e *emulator.Session) { resetConn(e.Conn) }, ""},
		{"in order", func(_ *site, e *emulator.Session) { _ = e.Close() }, ""},
		{"bad line", func(_ *site, e *emulator.Session) { _, _ = io.WriteString(e, strings.Repeat("x", 5000)) }, ""},
		{"list change", func(s *site, e *emulator.Session) { s.listServer(e.UID, "", emulator.Terminating) }, "MOVE\r\n"},
		{"out of service", func(s *site, _ *emulator.Session) { s.expectOK("PUT", "/control/out-of-service") }, "MOVE\r\n"},
		{"hot restart", func(s *site, e *emulator.Session) {
			_ = s.newSuccessor().Signal(syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond)
			_ = e.Close()
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := []string{"SLOW_MESSAGES=yes", "MGMT"}
			if c.name == "hot restart" {
				env = []string{"SLOW_MESSAGES=yes", "SHARED"}
			}
			s := startSite(t, env, "s-1", "s-2")
			a, e := s.establish()
			go func() { // closes the connection after the balancer's end
				_, _ = io.Copy(io.Discard, e.R)
				_ = e.Close()
			}()
			var want strings.Builder
			for number := range lines {
				line := fmt.Sprintf("L %d\r\n", number)
				want.WriteString(line)
				if _, err := io.WriteString(e, line); err != nil {
					t.Fatal(err)
				}
				if number == lines/2 {
					time.Sleep(time.Millisecond)
				}
			}
			c.end(s, e)
			want.WriteString(c.want)
			got, _ := io.ReadAll(a.r) // fails if the connection is reset
			if string(got) != want.String() {
				t.Errorf("the client got %q in place of %q", got, want.String())
			}
		})
	}
}
