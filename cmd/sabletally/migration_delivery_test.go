package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// readUntilMigrated returns the number of bulk lines that a client receives before MOVE. It fails unless an orderly end follows.
func readUntilMigrated(r *bufio.Reader) (int, error) {
	for lines := 0; ; lines++ {
		line, err := r.ReadString('\n')
		if line == "MOVE\r\n" {
			_, err := r.ReadByte()
			if !errors.Is(err, io.EOF) {
				return lines, fmt.Errorf("%w after MOVE in place of EOF", err)
			}
			return lines, nil
		}
		if err != nil || line != bulkLine(lines) {
			return lines, fmt.Errorf("read %.20q, %w after %d lines", line, err, lines)
		}
	}
}

// writeUntilEnded writes bulk lines from a server until the balancer's end arrives, and closes the connection then.
func writeUntilEnded(e *emulator.Session, pause time.Duration, written *atomic.Int64) {
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, e.R)
		close(ended)
	}()
	go func() {
		defer func() { _ = e.Close() }()
		for number := 0; ; number++ {
			select {
			case <-ended:
				return
			default:
			}
			if _, err := io.WriteString(e, bulkLine(number)); err != nil {
				return
			}
			written.Add(1)
			time.Sleep(pause)
		}
	}()
}

// Guards against a migration that dropped lines which the server had sent and the balancer had not read (incident 0fd2d2).
func TestLinesBeforeAMigrationArrive(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024"}, "s-1")
	var written, arrived atomic.Int64
	started := afterSessions(func() { _ = s.child.Signal(syscall.SIGTERM) })
	s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		writeUntilEnded(e, 200*time.Microsecond, &written)
		started()
		lines, err := readUntilMigrated(a.r)
		arrived.Add(int64(lines))
		return 0, err
	})
	if lost := written.Load() - arrived.Load(); lost != 0 || arrived.Load() == 0 {
		t.Fatalf("%d of %d lines lost", lost, written.Load())
	}
}

// expectSplitLines has servers write half a line, and the rest after the balancer's end and a pause. It expects the whole line before MOVE.
func (s *site) expectSplitLines(pause time.Duration, started func()) {
	s.t.Helper()
	s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		go func() {
			defer func() { _ = e.Close() }()
			line := bulkLine(0)
			_, _ = io.WriteString(e, line[:len(line)/2])
			started()
			_, _ = io.Copy(io.Discard, e.R)
			time.Sleep(pause)
			_, _ = io.WriteString(e, line[len(line)/2:])
		}()
		lines, err := readUntilMigrated(a.r)
		if err != nil {
			return 0, err
		}
		if lines != 1 {
			return 0, fmt.Errorf("%d lines arrived before MOVE", lines)
		}
		return 0, nil
	})
}

// Guards against a migration that dropped a line which the server was still writing when it got the balancer's end (incident 0fd2d2).
func TestALineThatAServerIsWritingArrivesBeforeItsMigration(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SABLETALLY_FILES=1024"}, "s-1")
	started := afterSessions(func() { s.expectOK("PUT", "/control/out-of-service") })
	s.expectSplitLines(60*time.Millisecond, started)
}

// Guards against the loss of a line that was in flight for 0.3 s when its session was migrated at the end of a shutdown (report e8b126).
func TestALineOnItsWayAtTheEndOfAShutdownArrives(t *testing.T) {
	s := startSite(t, []string{"SLOW_MESSAGES=yes", "SABLETALLY_FILES=1024"}, "s-1")
	started := afterSessions(func() {
		killed := time.After(soakKillDelay)
		_ = s.child.Signal(syscall.SIGTERM)
		<-killed
		s.child.Kill()
	})
	s.expectSplitLines(300*time.Millisecond, started)
}

// slowReader waits 10 ms before each read.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return r.Reader.Read(p)
}

// Guards against a migration that dropped lines which the balancer had not read, as they waited for a slow reader (incident 0fd2d2).
func TestLinesForASlowReaderArriveBeforeItsMigration(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SABLETALLY_FILES=1024"}, "s-1")
	var written, arrived atomic.Int64
	started := afterSessions(func() { s.expectOK("PUT", "/control/out-of-service") })
	s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		writeUntilEnded(e, 0, &written)
		started()
		lines, err := readUntilMigrated(bufio.NewReaderSize(slowReader{a.r}, 64<<10))
		arrived.Add(int64(lines))
		return 0, err
	})
	if lost := written.Load() - arrived.Load(); lost != 0 || arrived.Load() == 0 {
		t.Fatalf("%d of %d lines lost", lost, written.Load())
	}
}

// Guards against a predecessor that outlives its hot restart: a server that went on sending after its client's end kept it alive for 20 s.
func TestAServerThatSendsOnDoesNotHoldUpAHotRestart(t *testing.T) {
	s := startSite(t, []string{"SHARED"}, "s-1")
	a, e := s.establish()
	if err := a.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	expectEnd(t, e.R, false)
	go func() {
		for {
			if _, err := io.WriteString(e, "L 1\r\n"); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	old := s.newSuccessor()
	_ = old.Signal(syscall.SIGTERM)
	select {
	case <-old.Exited():
	case <-time.After(soakKillDelay):
		t.Fatal("the predecessor has not exited by the time at which it would be killed")
	}
}
