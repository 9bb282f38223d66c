package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// Guards against a server that was taken for silent because its client read slowly: answers that the balancer had not read counted as missing.
func TestASlowReadersServerIsNotTakenForSilent(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=1024"}, "s-1")
	var written, arrived atomic.Int64
	s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		go func() {
			defer func() { _ = e.Conn.(*net.TCPConn).CloseWrite() }() // Close would send a reset if the client's lines are unread
			if _, err := e.R.ReadString('\n'); err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, e.R) }()
			_ = e.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			for number := 0; ; number++ { // until the connection accepts no more bytes
				if n, err := io.WriteString(e, bulkLine(number)); err != nil {
					_ = e.SetWriteDeadline(time.Time{})
					_, _ = io.WriteString(e, bulkLine(number)[n:])
					written.Add(int64(number) + 1)
					return
				}
			}
		}()
		a.write("M 1\r\n")
		time.Sleep(500 * time.Millisecond)
		a.write("M 2\r\n") // the answer to this line waits behind all lines above
		time.Sleep(2700 * time.Millisecond)
		lines, err := readUntilMigrated(a.r) // on a busy machine the policy may migrate the session because of the load
		arrived.Add(int64(lines))
		if err != nil && !errors.Is(err, io.EOF) {
			return 0, err
		}
		return 0, nil
	})
	if lost := written.Load() - arrived.Load(); lost != 0 || arrived.Load() == 0 {
		t.Errorf("%d of %d lines lost", lost, written.Load())
	}
	if n := s.counter("silent"); n != 0 {
		t.Errorf("%d servers were taken for silent", n)
	}
}

// Guards against answers to a slow reader that were dropped a second after it had closed its sending direction (incident 0fd2d2).
func TestAnswersToASlowReaderThatHasEndedItsSendingArrive(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=1024"}, "s-1")
	const lines = 20000
	lost := s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		go func() {
			defer func() { _ = e.Conn.(*net.TCPConn).CloseWrite() }()
			if _, err := io.Copy(io.Discard, e.R); err != nil {
				return
			}
			for number := range lines {
				if _, err := io.WriteString(e, bulkLine(number)); err != nil {
					return
				}
			}
		}()
		a.write("M 1\r\n")
		if err := a.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			return 0, err
		}
		time.Sleep(3 * time.Second)
		got, err := countBulk(a.r)
		if !errors.Is(err, io.EOF) {
			return 0, fmt.Errorf("%w after %d lines", err, got)
		}
		return lines - got, nil
	})
	if lost > 0 {
		t.Errorf("%d of %d lines lost", lost, lines*deliverySessions)
	}
}

// Guards against a crowd of silent clients that made the balancer cut off answers to clients which had closed their sending direction (incident
// 0fd2d2).
func TestASilentCrowdLeavesAnswersToEndedClientsAlone(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=64", "SLOW_CONNECT=yes"}, "s-1")
	const sessions = 8
	results := make(chan error, sessions)
	for range sessions {
		a, e := s.establish()
		go func() {
			_, _ = io.Copy(io.Discard, e.R)
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(e, "M 1\r\n")
			_ = e.Close()
		}()
		a.write("M 1\r\n")
		if err := a.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		go func() {
			got, err := io.ReadAll(a.r)
			if string(got) != "M 1\r\n" {
				err = fmt.Errorf("the client got %q, %w", got, err)
			}
			results <- err
		}()
	}
	crowd := startSilentClients(t, s.child.Addr, 100)
	defer crowd.end()
	for range sessions {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}
