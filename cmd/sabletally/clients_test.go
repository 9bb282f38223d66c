package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// TestAClientThatLeavesDuringItsAttempt has a client leave while its session waits for a server's load report. It guards against an attempt that
// is started by the late report, for a client that is gone.
func TestAClientThatLeavesDuringItsAttempt(t *testing.T) {
	for _, how := range []string{"end", "half-close", "reset"} {
		t.Run(how, func(t *testing.T) {
			s := startSite(t, []string{"PROBES=yes"})
			ln, lines := newListener(t), make(chan *testClient, 10)
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					s.KeepOpen(c)
					r := bufio.NewReader(c)
					if text, err := r.ReadString('\n'); err == nil && text == "PING\r\n" {
						lines <- &testClient{c, r, t}
					} else if err == nil {
						t.Errorf("the server got %q, want a request for its load report", text)
					}
				}
			}()
			s.listServer("s-1", ln.Addr().String(), emulator.InService)
			s.waitLog(`"server":"s-1"`)
			a := s.client(strings.Replace(openLine, "d=1500", "d=1700", 1))
			var asked *testClient
			select {
			case asked = <-lines:
			case <-time.After(testTimeout):
				t.Fatal("no server was asked for its load report")
			}
			switch tcp := a.Conn.(*net.TCPConn); how {
			case "half-close":
				_ = tcp.CloseWrite()
			case "reset":
				_ = tcp.SetLinger(0)
				_ = tcp.Close()
			default:
				_ = tcp.Close()
			}
			for end := time.Now().Add(testTimeout); s.counter("left") == 0; {
				if time.Now().After(end) {
					t.Fatal("the balancer has not noticed that the client left")
				}
			}
			asked.write("PONG\r\n")
			expectEnd(t, asked.r, false) // the balancer has read the load report
			if n := s.counter("tries"); n != 0 {
				t.Fatalf("%d attempts for a client that left, want none", n)
			}
		})
	}
}

// TestBadFirstLinesAreAnswered sends malformed first lines, and bytes before the session is established. It guards against a client that gets
// no answer, a malformed request that reaches a server, and a panic of the parser.
func TestBadFirstLinesAreAnswered(t *testing.T) {
	s := startSite(t, nil, "s-1")
	for _, text := range []string{
		"\r\n", "HELLO\r\n", "OPEN\r\n", "OPEN 1\r\n", "OPEN 1 2 c\r\n", "OPEN 1 2 c=feed,c=feed\r\n", "OPEN 1 2 c=feed,d=-1\r\n",
		"OPEN 1 2 c=feed,d=1e3\r\n", "OPEN 1 2 c=feed,d=99999999999\r\n", "OPEN 1 2 c=other,d=900\r\n", "OPEN 1 2 c=feed,h=x,d=900\r\n",
		"OPEN 1 2 c=feed,d=900 z\r\n", "OPEN x! 2 c=feed,d=900\r\n", "OPEN 1 -2 c=feed,d=900\r\n", "OPEN 1 2 c=,d=900\r\n", "OPEN 1 2\r\n", "OPEN 1 2 c=feed\r\n", "OPEN 1 2 d=900\r\n",
		strings.Repeat("OPEN 1 2 c=feed,d=900\r\n", 300), "OPEN 1 2 c=feed,d=900\r\nhalf", strings.Repeat("PING\r\n", 300),
		strings.Replace(openLine, "\r\n", "\n", 1), "OPEN 1 2 x=" + strings.Repeat("y", 5000),
	} {
		a := s.client(text)
		got := a.line()
		for strings.HasPrefix(text, "PING") && got == "PONG\r\n" {
			got = a.line()
		}
		if !strings.HasPrefix(got, "ERR") {
			t.Errorf("first line %.40q got %q, want ERR", text, got)
		}
		expectEnd(t, a.r, false)
	}
	select { // no malformed request may have reached a server
	case e := <-s.Sessions:
		t.Errorf("a server got the malformed %q", e.First)
	default:
	}
	// A client that sends anything before its session is established gets an error, and the server's connection is closed.
	for _, more := range []string{strings.Repeat("x", 5000), "M 1\r\n", "x", "PING\r\n"} {
		a := s.client(openLine)
		e := s.session()
		a.write(more)
		if got := a.line(); !strings.HasPrefix(got, "ERR") {
			t.Errorf("a client that sent %.20q before the answer got %q, want ERR", more, got)
		}
		expectEnd(t, e.R, false)
	}
	s.establish()
	if n := s.counter("panics"); n != 0 {
		t.Fatalf("%d panics, want none", n)
	}
}

// TestAnIDIsUsedOnce opens a session with the ID of another open session, and again once that one has ended. It guards against two sessions
// under one ID, and against an ID that stays taken.
func TestAnIDIsUsedOnce(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_LOG=debug"}, "s-1")
	a, e := s.establish()
	id := strings.Fields(e.First)[1]
	b, again := s.client(""), s.client("")
	b.write("OPEN " + id + " 2 c=feed,d=900\r\n")
	b.expectLine("ERR SYNTAX\r\n")
	expectEnd(t, b.r, false)
	_, _ = io.WriteString(e, "M 1\r\n")
	a.expectLine("M 1\r\n")
	_ = a.Close()
	expectEnd(t, e.R, false)
	s.waitLog(`"session ended"`) // the relay closes the server's side before the event loop has removed the session
	again.write("OPEN " + id + " 2 c=feed,d=900\r\n")
	_, _ = io.WriteString(s.session(), "UP 1\r\n")
	again.expectLine("UP 1\r\n")
	if n := s.counter("same-id"); n != 1 {
		t.Fatal(n)
	}
}

// TestAFloodIsAnsweredAndNotRead sends a first line without an end at full speed. It guards against a balancer that reads it all into memory,
// and against other clients that wait meanwhile.
func TestAFloodIsAnsweredAndNotRead(t *testing.T) {
	s := startSite(t, nil, "s-1")
	s.acceptAllSessions()
	a := s.client("OPEN 1 2 x=")
	sent := make(chan int)
	go func() {
		n, text := 0, bytes.Repeat([]byte("y"), 1<<20)
		for n < 60<<20 {
			k, err := a.Write(text)
			if n += k; err != nil {
				break
			}
		}
		sent <- n
	}()
	a.expectLine("ERR SYNTAX\r\n")
	if n := <-sent; n > 20<<20 {
		t.Errorf("the balancer read %d bytes of an endless line, want 20 MiB at most", n)
	}
	if got := s.client(openLine).line(); got != "UP 1\r\n" {
		t.Fatalf("a client beside the flood got %q, want UP", got)
	}
}

// TestSilentClientsAreEnded connects silent clients and one that sends its first line byte by byte. The first line's timeout must count from the
// accept, whatever arrives, and silent clients must be evicted before other clients run out of descriptors.
func TestSilentClientsAreEnded(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=64"}, "s-1")
	s.acceptAllSessions()
	began := time.Now()
	for range 100 {
		s.client("")
	}
	if got := s.client(openLine).line(); got != "UP 1\r\n" {
		t.Fatalf("a client behind 100 silent ones got %q, want UP", got)
	}
	if n := s.counter("shed"); n < 60 {
		t.Fatalf("%d silent clients evicted, want 60 or more", n)
	}
	trickling := s.client("OPEN 1")
	go func() {
		for range 300 {
			if _, err := io.WriteString(trickling, "0"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	for _, a := range []*testClient{trickling, s.client("")} {
		a.expectLine("ERR\r\n")
		if took := time.Since(began); took > 3*time.Second {
			t.Fatalf("the first line timed out after %v, want 3s at most", took)
		}
	}
}

// TestOutOfDescriptorsRejectsClients opens more sessions than there are descriptors for. Each client must get UP or BUSY, and the descriptors
// of those that leave must be free again.
func TestOutOfDescriptorsRejectsClients(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=64", "SABLETALLY_LOG=debug", "SLOW_CONNECT=yes"}, "s-1") // at other levels ten lines a second at most are logged
	var clients []*testClient
	s.acceptAllSessions()
	up, busy := 0, 0
	answered := func(a *testClient) {
		switch got := a.line(); {
		case strings.HasPrefix(got, "UP"):
			up++
		case strings.HasPrefix(got, "BUSY"):
			busy++
			_ = a.Close()
		default:
			t.Fatalf("a client got %q, want UP or BUSY", got)
		}
	}
	for range 40 { // one after another as far as there is room; the other 60 come at once
		clients = append(clients, s.client(openLine))
		answered(clients[len(clients)-1])
	}
	for range 60 {
		clients = append(clients, s.client(strings.Replace(openLine, "d=1500", "d=15000", 1)))
	}
	for _, a := range clients[40:] {
		answered(a)
	}
	if up < 10 || busy < 10 {
		t.Fatalf("%d sessions established, %d rejected, want 10 or more of each", up, busy)
	}
	for _, a := range clients {
		_ = a.Close()
	}
	for end := time.Now().Add(testTimeout); s.counter("open") > 0; {
		if time.Now().After(end) {
			t.Fatal("the balancer still holds sessions of clients that have left")
		}
	}
	if got := s.client(openLine).line(); got != "UP 1\r\n" {
		t.Fatalf("a client after the rush got %q, want UP", got)
	}
}

// TestASlowReaderIsEnded has a server write to a client that does not read. It guards against a balancer that buffers without a limit, and
// against an end in order, which the client would take for the end of all lines.
func TestASlowReaderIsEnded(t *testing.T) {
	s := startSite(t, nil, "s-1")
	a, e := s.establish()
	_, other := s.establish()
	text := strings.Repeat("x", 4000) + "\r\n"
	for sent := 0; ; sent += len(text) {
		if _, err := io.WriteString(e, text); err != nil {
			break // the balancer has ended the session
		}
		if sent > 1<<30 {
			t.Fatal("the balancer took 1 GiB for a client that does not read")
		}
	}
	if _, err := io.Copy(io.Discard, a); err == nil {
		t.Fatal("the slow reader's connection ended in order, want a reset")
	}
	_, _ = io.WriteString(other, "BYE\r\n")
}
