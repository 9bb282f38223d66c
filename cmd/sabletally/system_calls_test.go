package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"sabletally/internal/lab/emulator"
)

// Guards against lines that were lost or cut when a read or write was short or failed temporarily, such as with ENOBUFS or ENOMEM (incident
// 0fd2d2).
func TestLinesSurviveCallsThatFailForAMoment(t *testing.T) {
	const lines = 150
	for _, c := range []struct {
		name string
		plan faultPlan
	}{
		{"interrupted and short", faultPlan{Seed: 1, Interrupted: 0.2, Short: 0.3}},
		{"no buffers", faultPlan{Seed: 2, NoBuffers: 0.02}},
		{"no memory", faultPlan{Seed: 3, NoMemory: 0.02}},
		{"all", faultPlan{Seed: 4, Interrupted: 0.2, Short: 0.3, NoBuffers: 0.02, NoMemory: 0.02}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024", "SLOW_CONNECT=yes", c.plan.env(t)}, "s-1")
			lost := s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
				toServer, toClient := make(chan error, 1), make(chan error, 1)
				go func() { toServer <- sendNumbered(a, e.R, lines) }()
				go func() { toClient <- sendNumbered(e, a.r, lines) }()
				if err := errors.Join(<-toServer, <-toClient); err != nil {
					return 1, err
				}
				_, _ = io.WriteString(e, "BYE\r\n")
				_ = e.Close()
				if rest, err := io.ReadAll(a.r); string(rest) != "BYE\r\n" || err != nil {
					return 1, fmt.Errorf("the last text is %q, %w", rest, err)
				}
				return 0, nil
			})
			if lost > 0 {
				t.Fatalf("%d of %d sessions lost lines", lost, deliverySessions)
			}
		})
	}
}

// sendNumbered writes lines one by one and checks that each of them arrives at the other peer.
func sendNumbered(to io.Writer, from interface{ ReadString(byte) (string, error) }, lines int) error {
	for i := range lines {
		line := fmt.Sprintf("M %d %s\r\n", i, strings.Repeat("x", i))
		if _, err := io.WriteString(to, line); err != nil {
			return err
		}
		if got, err := from.ReadString('\n'); got != line {
			return fmt.Errorf("%.40q, %w in place of line %d", got, err, i)
		}
	}
	return nil
}

// Guards against a connection that failed with an error other than a reset and made the balancer end the other side in order, as if the session
// was complete (incident 0fd2d2).
func TestABrokenConnectionEndsTheOtherSideWithAReset(t *testing.T) {
	for name := range connErrors {
		for _, call := range []string{"READ", "WRITE"} {
			for _, by := range []string{"client", "server"} {
				t.Run(strings.Join([]string{call, by, name}, " "), func(t *testing.T) { breakOneSide(t, call, by, name) })
			}
		}
	}
}

// breakOneSide makes a read or write on one peer's connection fail. Lines that this peer sent before must arrive, and the other peer must get a
// reset.
func breakOneSide(t *testing.T, call, by, name string) {
	s := startSite(t, []string{"SABLETALLY_LOG=debug", faultPlan{}.env(t)}, "s-1")
	a, e := s.establish()
	broken, healthy := a.Conn, e.Conn
	brokenReader, healthyReader := a.r, e.R
	if by == "server" {
		broken, healthy = healthy, broken
		brokenReader, healthyReader = healthyReader, brokenReader
	}
	marker := fmt.Sprintf("BREAK %s %s\r\n", call, name)
	want := ""
	if call == "READ" { // the last line of the broken side must arrive
		_, _ = io.WriteString(broken, marker)
		_ = broken.(*net.TCPConn).CloseWrite() // causes an event that makes the relay read again
		want = marker
	} else {
		_, _ = io.WriteString(healthy, marker)
	}
	got, err := io.ReadAll(healthyReader)
	if string(got) != want || !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the other side got %q, %v", got, err)
	}
	if call == "WRITE" { // nothing may follow the half line
		if got, _ := io.ReadAll(brokenReader); !strings.HasPrefix(marker, string(got)) {
			t.Fatalf("the broken side got %q", got)
		}
	}
}

// Guards against a client connection that was closed without its final answer when the write of the answer failed temporarily (incident
// 0fd2d2).
func TestAnswersSurviveWritesThatFailForAMoment(t *testing.T) {
	plan := faultPlan{Seed: 5, Interrupted: 0.2, Short: 0.3, NoBuffers: 0.1, NoMemory: 0.1}
	s := startSite(t, []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024", plan.env(t)}, "s-1")
	for _, c := range []struct{ line, answer string }{
		{"PING\r\n", "PONG\r\n"},
		{"OPEN what\r\n", "ERR SYNTAX\r\n"},
		{strings.Replace(openLine, "c=feed", "c=none", 1), "ERR SYNTAX\r\n"},
	} {
		for range 40 {
			a := s.client(c.line)
			a.expectLine(c.answer)
			_ = a.Close()
		}
	}
}
