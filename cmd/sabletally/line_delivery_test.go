package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/lab/emulator"
)

// deliverySessions is the number of concurrent sessions in a delivery test.
const deliverySessions = 20

// converse has client and server write lines in turns, which makes the kernel delay its acknowledgements from then on.
func converse(a *testClient, e *emulator.Session) error {
	for i := range 12 {
		line := fmt.Sprintf("M %d\r\n", i)
		if _, err := io.WriteString(a, line); err != nil {
			return err
		}
		if got, err := e.R.ReadString('\n'); got != line {
			return fmt.Errorf("the server got %q in place of the client's line, %w", got, err)
		}
		if _, err := io.WriteString(e, line); err != nil {
			return err
		}
		if got, err := a.r.ReadString('\n'); got != line {
			return fmt.Errorf("the client got %q in place of the server's line, %w", got, err)
		}
	}
	return nil
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// missingLines reads until the connection ends and returns how many of the given lines are not in the text.
func missingLines(r io.Reader, lines []string) int {
	received, _ := io.ReadAll(r) // fails if the connection is reset
	missing := 0
	for _, line := range lines {
		if !strings.Contains(string(received), line) {
			missing++
		}
	}
	return missing
}

// inSessions establishes deliverySessions sessions and runs a function on all of them concurrently. It returns the total number of missing
// lines that the calls report.
func (s *site) inSessions(run func(a *testClient, e *emulator.Session) (missing int, err error)) int {
	s.t.Helper()
	type result struct {
		missing int
		err     error
	}
	type session struct {
		client *testClient
		server *emulator.Session
	}
	var sessions []session
	for range deliverySessions { // establishes all of them first, as a server that resets gets no new sessions for a while
		a, e := s.establish()
		sessions = append(sessions, session{a, e})
	}
	results := make(chan result, deliverySessions)
	for _, session := range sessions {
		go func() {
			missing, err := run(session.client, session.server)
			results <- result{missing, err}
		}()
	}
	sum := 0
	for range deliverySessions {
		r := <-results
		if r.err != nil {
			s.t.Error(r.err)
		}
		sum += r.missing
	}
	return sum
}

// afterSessions returns a function that each session calls when it has started. After all have, run is called.
func afterSessions(run func()) (started func()) {
	var sessions sync.WaitGroup
	sessions.Add(deliverySessions)
	go func() {
		sessions.Wait()
		run()
	}()
	return sessions.Done
}

// Guards against the loss of a server's last small lines before it reset the connection (incident 0fd2d2).
func TestLastLinesBeforeAServersResetArrive(t *testing.T) {
	for _, c := range []struct {
		name    string
		times   []time.Duration // when the server writes its lines
		pause   time.Duration   // from the last line to the end of the connection
		orderly bool
	}{
		{"at once", []time.Duration{0, 5 * time.Millisecond, 29 * time.Millisecond}, 0, false},
		{"15 ms later", []time.Duration{0, 5 * time.Millisecond, 25 * time.Millisecond}, 15 * time.Millisecond, false},
		{"as in record 2", []time.Duration{0, 30 * time.Millisecond}, 0, false},
		{"close behind one another", []time.Duration{0, time.Millisecond, 2 * time.Millisecond}, 0, false},
		{"close behind one another, in order", []time.Duration{0, time.Millisecond, 2 * time.Millisecond}, 0, true},
		{"in order", []time.Duration{0, 5 * time.Millisecond, 29 * time.Millisecond}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024"}, "s-1")
			lost := s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
				if err := converse(a, e); err != nil {
					return 0, err
				}
				var lines []string
				var received sync.WaitGroup
				missing := 0
				for i := range c.times {
					lines = append(lines, fmt.Sprintf("L %d\r\n", i))
				}
				received.Go(func() { missing = missingLines(a.r, lines) })
				start := time.Now()
				for i, line := range lines {
					time.Sleep(time.Until(start.Add(c.times[i])))
					if _, err := io.WriteString(e, line); err != nil {
						return 0, err
					}
				}
				time.Sleep(c.pause)
				if c.orderly {
					_ = e.Close()
				} else {
					resetConn(e.Conn)
				}
				received.Wait()
				return missing, nil
			})
			if lost > 0 {
				t.Fatalf("%d of %d lines lost", lost, len(c.times)*deliverySessions)
			}
		})
	}
}

// bulkLine returns a long line with a number.
func bulkLine(number int) string {
	return fmt.Sprintf("L %06d %s\r\n", number, strings.Repeat("x", 280))
}

// writeBulk writes up to the given number of lines and returns how many bytes the other side's kernel has acknowledged. It stops early if the
// connection fails or accepts no bytes for 100 ms.
func writeBulk(c net.Conn, lines int) (acknowledged int) {
	written := 0
	for number := range lines {
		_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := io.WriteString(c, bulkLine(number))
		written += n
		if err != nil {
			break
		}
	}
	unacknowledged := written
	for end := time.Now().Add(100 * time.Millisecond); unacknowledged > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		unacknowledged = unacknowledgedBytes(c)
	}
	return written - unacknowledged
}

// unacknowledgedBytes returns the number of written bytes that the other side's kernel has not acknowledged.
func unacknowledgedBytes(c net.Conn) int {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	_ = raw.Control(func(fd uintptr) { bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // leaves 0 if the connection is closed
	return bytes
}

// isEndedByPeer reports whether the other side's FIN or reset has arrived in the kernel, whether it has been read or not.
func isEndedByPeer(c net.Conn) (ended bool, err error) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false, err
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_FIN_WAIT1 && info.State != unix.BPF_TCP_FIN_WAIT2
	})
	return ended, err
}

// countBulk reads bulk lines until the connection ends and returns how many arrived complete and in order, and the error of the end.
func countBulk(r *bufio.Reader) (lines int, err error) {
	for ; ; lines++ {
		line, err := r.ReadString('\n')
		if err != nil {
			return lines, err
		}
		if line != bulkLine(lines) {
			return lines, fmt.Errorf("bulk line %d is %.20q", lines, line)
		}
	}
}

// deliverBulk has one peer of a session write lines and end the session, while the other one starts to read later. It fails unless every line
// that the balancer's kernel has received arrives, followed by an end of the same kind.
func deliverBulk(t *testing.T, from, to net.Conn, r *bufio.Reader, lines int, readsAfter time.Duration, reset bool) error {
	t.Helper()
	acknowledged := make(chan int, 1)
	go func() {
		bytes := writeBulk(from, lines)
		acknowledged <- bytes
		time.Sleep(15 * time.Millisecond)
		if reset {
			resetConn(from)
		} else {
			_ = from.Close()
		}
	}()
	time.Sleep(readsAfter)
	_ = to.SetReadDeadline(time.Now().Add(testTimeout))
	got, end := countBulk(r)
	expected := <-acknowledged / len(bulkLine(0))
	if got < expected || expected == 0 {
		return fmt.Errorf("%d of %d lines arrived, then %w", got, expected, end)
	}
	if reset != errors.Is(end, syscall.ECONNRESET) || !reset && !errors.Is(end, io.EOF) {
		return fmt.Errorf("the session ended by %w", end)
	}
	return nil
}

// Guards against lines that waited for a slow reader and were dropped when the other side ended the session (incident 0fd2d2).
func TestLinesForASlowReaderArriveBeforeTheEnd(t *testing.T) {
	for _, c := range []struct {
		name       string
		lines      int
		readBuffer int // receive buffer of the reader's socket in bytes, 0 for the default
		readsAfter time.Duration
		reset      bool
		toServer   bool
	}{
		{"server resets, lines in the kernel", 1500, 0, 300 * time.Millisecond, true, false},
		{"server resets, lines in the relay", 20000, 64 << 10, 300 * time.Millisecond, true, false},
		{"server ends, read after 0.3 s", 1500, 64 << 10, 300 * time.Millisecond, false, false},
		{"server ends, read after 1.5 s", 20000, 64 << 10, 1500 * time.Millisecond, false, false},
		{"client resets", 20000, 64 << 10, 300 * time.Millisecond, true, true},
		{"client ends", 20000, 64 << 10, 300 * time.Millisecond, false, true},
		{"client ends, read after 1.5 s", 20000, 64 << 10, 1500 * time.Millisecond, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, []string{"SABLETALLY_LOG=debug"}, "s-1")
			a, e := s.establish()
			from, to, r := e.Conn, a.Conn, a.r
			if c.toServer {
				from, to, r = a.Conn, e.Conn, e.R
			}
			if c.readBuffer > 0 {
				_ = to.(*net.TCPConn).SetReadBuffer(c.readBuffer)
			}
			if err := deliverBulk(t, from, to, r, c.lines, c.readsAfter, c.reset); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against the loss of the last lines that a client wrote before it reset the connection (incident 0fd2d2).
func TestLastLinesBeforeAClientsResetArrive(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024"}, "s-1")
	lost := s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		if err := converse(a, e); err != nil {
			return 0, err
		}
		lines := []string{"L 0\r\n", "L 1\r\n", "L 2\r\n"}
		var received sync.WaitGroup
		missing := 0
		received.Go(func() { missing = missingLines(e.R, lines) })
		for _, line := range lines {
			if _, err := io.WriteString(a, line); err != nil {
				return 0, err
			}
			time.Sleep(5 * time.Millisecond)
		}
		resetConn(a.Conn)
		received.Wait()
		return missing, nil
	})
	if lost > 0 {
		t.Fatalf("%d of %d lines lost", lost, 3*deliverySessions)
	}
}

// Guards against the loss of an answer to a client that had closed its sending direction (incident 0fd2d2).
func TestAnAnswerToAClientThatHasEndedItsSendingArrives(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_LOG=debug"}, "s-1")
	a, e := s.establish()
	a.write("M 1\r\n")
	_ = a.Conn.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(e.R); string(got) != "M 1\r\n" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(e, "M 1\r\nBYE\r\n")
	_ = e.Close()
	if got, err := io.ReadAll(a.r); string(got) != "M 1\r\nBYE\r\n" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
}

// Guards against valid lines that were dropped when an invalid one arrived together with them (incident 0fd2d2).
func TestLinesBeforeABadOneArrive(t *testing.T) {
	tooLong := strings.Repeat("x", 5000) + "\r\n"
	for _, c := range []struct {
		name, text string
		toServer   bool
	}{
		{"of a client, too long", tooLong, true},
		{"of a client, without CR", "bad\n", true},
		{"of a server, too long", tooLong, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, []string{"SABLETALLY_LOG=debug"}, "s-1")
			a, e := s.establish()
			from, r := e.Conn, a.r
			if c.toServer {
				from, r = a.Conn, e.R
			}
			_, _ = io.WriteString(from, "M 1\r\nM 2\r\n"+c.text)
			got, err := io.ReadAll(r)
			if string(got) != "M 1\r\nM 2\r\n" || !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("%q, %v", got, err)
			}
		})
	}
}

// Guards against a server's reset that was forwarded as an orderly end because a write to the server met it first (incident 0fd2d2).
func TestAServersResetUnderAClientsLinesIsForwardedAsOne(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_LOG=debug", "SABLETALLY_FILES=1024"}, "s-1")
	s.inSessions(func(a *testClient, e *emulator.Session) (int, error) {
		writeFailed := make(chan error, 1)
		go func() {
			for {
				if _, err := io.WriteString(a, "M 1\r\n"); err != nil {
					writeFailed <- err
					return
				}
				time.Sleep(20 * time.Microsecond)
			}
		}()
		go func() { _, _ = io.Copy(io.Discard, e.R) }()
		time.Sleep(20 * time.Millisecond)
		resetConn(e.Conn)
		_, err := io.ReadAll(a.r)
		if wrote := <-writeFailed; !errors.Is(err, syscall.ECONNRESET) && !errors.Is(wrote, syscall.ECONNRESET) { // one of them gets the reset
			return 0, fmt.Errorf("the client got no reset, but %w and %w", err, wrote)
		}
		return 0, nil
	})
}

// Guards against a counter that was one report late: the first report counted no forwarded lines.
func TestTheFirstReportCountsForwardedLines(t *testing.T) {
	s := startSite(t, nil, "s-1")
	a, e := s.establish()
	if err := converse(a, e); err != nil {
		t.Fatal(err)
	}
	if n := s.counter("relayed"); n != 24 {
		t.Fatalf("%d lines counted, 24 forwarded", n)
	}
}

// Guards against a fault of the first fix of incident 0fd2d2: sessions that had ended, but whose server had not closed its connection, kept the
// descriptors that new sessions needed.
func TestEndedSessionsKeepNoOthersFromBeingServed(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=64", "SABLETALLY_LOG=debug", "SLOW_CONNECT=yes"}, "s-1")
	for range 3 {
		var clients []*testClient
		for range 12 {
			a, _ := s.establish() // the server never closes its connection
			clients = append(clients, a)
		}
		for _, a := range clients {
			_ = a.Close()
		}
		for end := time.Now().Add(testTimeout); s.counter("open") > 0; {
			if time.Now().After(end) {
				t.Fatal("sessions of clients that have closed their connections are still open")
			}
		}
	}
}
