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

// TestAClientThatLeavesDuringItsAttempt has a session wait for a server's load report, and its client leave meanwhile: the report leads to no
// attempt.
func TestAClientThatLeavesDuringItsAttempt(t *testing.T) {
	for _, how := range []string{"end", "half-close", "reset"} {
		t.Run(how, func(t *testing.T) {
			s := startSite(t, []string{"PROBES=yes"})
			ln, lines := listen(t), make(chan *testClient, 10)
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					s.Hold(c)
					r := bufio.NewReader(c)
					if text, err := r.ReadString('\n'); err == nil && text == "PING\r\n" {
						lines <- &testClient{c, r, t}
					} else if err == nil {
						t.Errorf("%q in place of a question", text)
					}
				}
			}()
			s.listServer("s-1", ln.Addr().String(), emulator.InService)
			s.waitLog(`"server":"s-1"`)
			a := s.client(strings.Replace(open, "d=1500", "d=1700", 1))
			var asked *testClient
			select {
			case asked = <-lines:
			case <-time.After(bound):
				t.Fatal("nobody is asked")
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
			for end := time.Now().Add(bound); s.counter("left") == 0; {
				if time.Now().After(end) {
					t.Fatal("it has not left")
				}
			}
			asked.write("PONG\r\n")
			expectEnd(t, asked.r, false) // the answer is in
			if n := s.counter("tries"); n != 0 {
				t.Fatalf("%d attempts", n)
			}
		})
	}
}

func TestBadFirstLinesAreAnswered(t *testing.T) {
	s := startSite(t, nil, "s-1")
	for _, text := range []string{
		"\r\n", "HELLO\r\n", "OPEN\r\n", "OPEN 1\r\n", "OPEN 1 2 c\r\n", "OPEN 1 2 c=feed,c=feed\r\n", "OPEN 1 2 c=feed,d=-1\r\n",
		"OPEN 1 2 c=feed,d=1e3\r\n", "OPEN 1 2 c=feed,d=99999999999\r\n", "OPEN 1 2 c=other,d=900\r\n", "OPEN 1 2 c=feed,h=x,d=900\r\n",
		"OPEN 1 2 c=feed,d=900 z\r\n", "OPEN x! 2 c=feed,d=900\r\n", "OPEN 1 -2 c=feed,d=900\r\n", "OPEN 1 2 c=,d=900\r\n", "OPEN 1 2\r\n", "OPEN 1 2 c=feed\r\n", "OPEN 1 2 d=900\r\n",
		strings.Repeat("OPEN 1 2 c=feed,d=900\r\n", 300), "OPEN 1 2 c=feed,d=900\r\nhalf", strings.Repeat("PING\r\n", 300),
		strings.Replace(open, "\r\n", "\n", 1), "OPEN 1 2 x=" + strings.Repeat("y", 5000),
	} {
		a := s.client(text)
		got := a.line()
		for strings.HasPrefix(text, "PING") && got == "PONG\r\n" {
			got = a.line()
		}
		if !strings.HasPrefix(got, "ERR") {
			t.Errorf("%.40q got %q", text, got)
		}
		expectEnd(t, a.r, false)
	}
	select { // none of them came to a server
	case e := <-s.Sessions:
		t.Errorf("a server got %q", e.First)
	default:
	}
	// Anything before the session is established: the client is still owed its answer, and the server's side is closed.
	for _, more := range []string{strings.Repeat("x", 5000), "M 1\r\n", "x", "PING\r\n"} {
		a := s.client(open)
		e := s.session()
		a.write(more)
		if got := a.line(); !strings.HasPrefix(got, "ERR") {
			t.Errorf("%.20q before the answer got %q", more, got)
		}
		expectEnd(t, e.R, false)
	}
	s.establish()
	if n := s.counter("panics"); n != 0 {
		t.Fatalf("%d panics", n)
	}
}

// TestAnIDIsUsedOnce has a client name the ID of another's open session.
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
	s.waitLog(`"session ended"`) // the relay ends the server's side before the loop has heard
	again.write("OPEN " + id + " 2 c=feed,d=900\r\n")
	_, _ = io.WriteString(s.session(), "UP 1\r\n")
	again.expectLine("UP 1\r\n")
	if n := s.counter("same-id"); n != 1 {
		t.Fatal(n)
	}
}

// TestAFloodIsAnsweredAndNotRead sends a line without end at full speed: memory must stay bounded, and other clients must not wait.
func TestAFloodIsAnsweredAndNotRead(t *testing.T) {
	s := startSite(t, nil, "s-1")
	s.waitAllListed()
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
		t.Errorf("%d bytes were taken in", n)
	}
	if got := s.client(open).line(); got != "UP 1\r\n" {
		t.Fatalf("%q beside it", got)
	}
}

// TestSilentClientsAreEnded checks that the first line's timeout counts from the accept, whatever arrives in pieces, and that silent clients are
// evicted before usual ones are short of descriptors.
func TestSilentClientsAreEnded(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=64"}, "s-1")
	s.waitAllListed()
	began := time.Now()
	for range 100 {
		s.client("")
	}
	if got := s.client(open).line(); got != "UP 1\r\n" {
		t.Fatalf("%q behind the silent", got)
	}
	if n := s.counter("shed"); n < 60 {
		t.Fatalf("%d shed", n)
	}
	drip := s.client("OPEN 1")
	go func() {
		for range 300 {
			if _, err := io.WriteString(drip, "0"); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	for _, a := range []*testClient{drip, s.client("")} {
		a.expectLine("ERR\r\n")
		if took := time.Since(began); took > 3*time.Second {
			t.Fatalf("after %v", took)
		}
	}
}

func TestOutOfDescriptorsRejectsClients(t *testing.T) {
	s := startSite(t, []string{"SABLETALLY_FILES=64", "SABLETALLY_LOG=debug", "SLOW_CONNECT=yes"}, "s-1") // else ten lines a second are logged
	var clients []*testClient
	s.waitAllListed()
	up, busy := 0, 0
	answered := func(a *testClient) {
		switch got := a.line(); {
		case strings.HasPrefix(got, "UP"):
			up++
		case strings.HasPrefix(got, "BUSY"):
			busy++
			_ = a.Close()
		default:
			t.Fatalf("%q", got)
		}
	}
	for range 40 { // one by one as far as there is room, then all at once
		clients = append(clients, s.client(open))
		answered(clients[len(clients)-1])
	}
	for range 60 {
		clients = append(clients, s.client(strings.Replace(open, "d=1500", "d=15000", 1)))
	}
	for _, a := range clients[40:] {
		answered(a)
	}
	if up < 10 || busy < 10 {
		t.Fatalf("%d up, %d busy", up, busy)
	}
	for _, a := range clients {
		_ = a.Close()
	}
	for end := time.Now().Add(bound); s.counter("open") > 0; {
		if time.Now().After(end) {
			t.Fatal("clients that have left are still held")
		}
	}
	if got := s.client(open).line(); got != "UP 1\r\n" {
		t.Fatalf("%q after the rush", got)
	}
}

func TestASlowReaderIsEnded(t *testing.T) {
	s := startSite(t, nil, "s-1")
	a, e := s.establish()
	_, calm := s.establish()
	text := strings.Repeat("x", 4000) + "\r\n"
	for sent := 0; ; sent += len(text) {
		if _, err := io.WriteString(e, text); err != nil {
			break // the balancer has ended it
		}
		if sent > 1<<30 {
			t.Fatal("it takes all that comes for a client that does not read")
		}
	}
	if _, err := io.Copy(io.Discard, a); err == nil {
		t.Fatal("the slow reader was ended as if all was well")
	}
	_, _ = io.WriteString(calm, "BYE\r\n")
}
