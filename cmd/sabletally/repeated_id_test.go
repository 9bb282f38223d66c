package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// returnDelays are the times after which a client comes again with the ID of its earlier request.
var returnDelays = []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond}

// nonIdempotentLine returns the first line of a request that may run once.
func nonIdempotentLine(id int) string { return fmt.Sprintf("OPEN %x 2 c=pay,d=8000\r\n", id) }

// accept has a server accept a session.
func accept(e *emulator.Session) { _, _ = io.WriteString(e, "UP 1\r\n") }

// expectRefused checks that a request gets ERR and that no server receives it.
func (s *site) expectRefused(a *testClient, what string) {
	s.t.Helper()
	if got := a.line(); !strings.HasPrefix(got, "ERR") {
		s.t.Errorf("%s: the client got %q, want ERR", what, got)
	}
	_ = a.Close()
	select {
	case e := <-s.Sessions:
		s.t.Errorf("%s: a server got %q again", what, e.First)
	default:
	}
}

// TestARequestDoesNotRunAgainAfterItsClientLeft guards against a second effect: a client leaves while its request runs, or after it was
// served, and comes again with the same ID.
func TestARequestDoesNotRunAgainAfterItsClientLeft(t *testing.T) {
	s := startSite(t, []string{"LONG"}, "s-1", "s-2")
	for n, delay := range returnDelays {
		for _, served := range []bool{false, true} {
			id := 0x100 + 2*n
			if served {
				id++
			}
			a := s.client(nonIdempotentLine(id))
			e := s.session()
			if served {
				accept(e)
				a.expectLine("UP 1\r\n")
			}
			_ = a.Close()
			time.Sleep(delay)
			s.expectRefused(s.client(nonIdempotentLine(id)), fmt.Sprintf("after %v, served %v", delay, served))
		}
	}
	if n := s.counter("same-id"); n != 2*len(returnDelays) {
		t.Errorf("%d requests are counted as repeats, want %d", n, 2*len(returnDelays))
	}
}

// TestARequestThatWasRejectedMayComeAgain guards against an ID that is refused although its request cannot have run.
func TestARequestThatWasRejectedMayComeAgain(t *testing.T) {
	s := startSite(t, []string{"LONG"}, "s-1")
	a := s.client(nonIdempotentLine(7))
	_, _ = io.WriteString(s.session(), "BUSY\r\n")
	if got := a.line(); !strings.HasPrefix(got, "BUSY") {
		t.Fatalf("the client got %q, want BUSY", got)
	}
	s.serve("s-2")
	s.waitLog(`"server":"s-2"`)
	again := s.client(nonIdempotentLine(7))
	accept(s.session())
	again.expectLine("UP 1\r\n")
}

// TestARequestDoesNotRunAgainInAHotRestart guards against a second effect in a hot restart: a request is known to one process of two, and its
// ID comes again at the other one.
func TestARequestDoesNotRunAgainInAHotRestart(t *testing.T) {
	for name, c := range map[string]struct {
		leaves bool // the first client leaves before the ID comes again
		served bool // the first request is served before the hot restart
		late   bool // the first request comes after the new process has connected
	}{
		"it runs and its client has left":                     {leaves: true},
		"it runs and its client waits":                        {},
		"it was served and its client has left":               {leaves: true, served: true},
		"it was served and its client has stayed":             {served: true},
		"it came during the hot restart and its client left":  {leaves: true, late: true},
		"it came during the hot restart and its client waits": {late: true},
		"it came late, was served and its client has left":    {leaves: true, served: true, late: true},
		"it came late, was served, and its client has stayed": {served: true, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, []string{"MGMT", "SHARED", "LONG"}, "s-1", "s-2")
			var clients []*testClient
			var sessions []*emulator.Session
			request := func(id int) {
				clients = append(clients, s.client(nonIdempotentLine(id)))
				sessions = append(sessions, s.session())
				if c.served {
					accept(sessions[len(sessions)-1])
					clients[len(clients)-1].expectLine("UP 1\r\n")
				}
			}
			const requests = 8
			for id := 1; id <= requests && !c.late; id++ {
				request(id)
			}
			keepAlive := s.client(nonIdempotentLine(0xff)) // keeps the old process alive after SIGTERM
			s.session()
			old := s.newSuccessor()
			for id := 1; id <= requests && c.late; id++ { // either process accepts them
				request(id)
			}
			_ = old.Signal(syscall.SIGTERM)
			s.waitLog("shutting down")
			for id := 1; id <= requests; id++ {
				if c.leaves {
					_ = clients[id-1].Close()
				}
				time.Sleep(returnDelays[id%2])
				s.expectRefused(s.client(nonIdempotentLine(id)), fmt.Sprintf("request %d", id))
			}
			_ = keepAlive.Close()
		})
	}
}

// TestARequestIsNotSentAfterItsClientLeftInAHotRestart guards against requests that are sent on for clients that are gone: they have sent half
// of a request when the old process hands them over, then send the rest, most of them with much behind it, and leave at once.
func TestARequestIsNotSentAfterItsClientLeftInAHotRestart(t *testing.T) {
	const clients = 20
	const grace = 100 * time.Millisecond // a client that left may still be served for so long
	s := startSite(t, []string{"MGMT", "SHARED", "LONG", "SABLETALLY_FILES=1024"}, "s-1", "s-2")
	var all []*testClient
	for n := range clients {
		all = append(all, s.client(fmt.Sprintf("OPEN %x 2 c=pay,", 0x700+n)))
	}
	old := s.newSuccessor()
	_ = old.Signal(syscall.SIGTERM)
	left := map[string]time.Time{}
	for n, a := range all {
		_, _ = io.WriteString(a, "d=8000\r\n"+strings.Repeat("M more\r\n", 1000*(n%4)))
		_ = a.Close()
		left[fmt.Sprintf("%x", 0x700+n)] = time.Now()
	}
	for end := time.After(time.Second); ; {
		select {
		case e := <-s.Sessions:
			id := strings.Fields(e.First)[1]
			if late := time.Since(left[id]); late > grace {
				t.Errorf("the request %s of a client that left was sent on %v later", id, late)
			}
			continue
		case <-end:
		}
		break
	}
	waitForExit(t, old)
}

// TestAnOpenIDIsRefusedInAHotRestart guards against a client that is served under the ID of another client's open session, which the other
// process of a hot restart holds, and against an ID that stays taken once that session has ended.
func TestAnOpenIDIsRefusedInAHotRestart(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED", "LONG"}, "s-1")
	const line = "OPEN abc1 3 c=feed,d=900\r\n"
	a := s.client(line)
	e := s.session()
	accept(e)
	a.expectLine("UP 1\r\n")
	old := s.newSuccessor()
	for range 40 { // either process accepts them
		s.expectRefused(s.client(line), "while both processes take clients")
	}
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	s.expectRefused(s.client(line), "after the hot restart")
	_ = a.Close()
	expectEnd(t, e.R, false)
	for end := time.Now().Add(testTimeout); s.counter("open") != 0; {
		if time.Now().After(end) {
			t.Fatal("the session has not ended")
		}
	}
	again := s.client(line)
	accept(s.session())
	again.expectLine("UP 1\r\n")
}

// TestARequestDoesNotRunAgainInAMembersHotRestart guards against a second effect at a member of a fleet, with a class that the fleet records
// and one that it does not: clients leave while their requests run at the old process, and come again at the new one.
func TestARequestDoesNotRunAgainInAMembersHotRestart(t *testing.T) {
	const requests = 8
	a := newAgent(t)
	script := listFourServers(t, a, 100)
	m := newTestFleetWithBlocks(t, 3, true, "hold \"intents\" { grades = [\"pay\"] }\n", a)
	m.waitFor("every shard has its replicas", m.all, repaired)
	member := m.procs[1]
	runs := map[string]int{} // number of first lines that reached a server, by session ID
	var clients []net.Conn
	for n := range 2 * requests {
		c, err := net.Dial("tcp", member.Addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, openLineFormat, 0x500+n, []string{"pay", "order"}[n%2], n)
		select {
		case e := <-script.Sessions:
			runs[strings.Fields(e.First)[1]]++
		case <-time.After(testTimeout):
			t.Fatal("a request did not reach a server")
		}
		clients = append(clients, c)
	}
	successor, err := member.Successor()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(successor.Kill)
	if err := successor.Launch(); err != nil {
		t.Fatal(err)
	}
	if err := successor.WaitReady(); err != nil {
		t.Fatal(err)
	}
	_ = member.Signal(syscall.SIGTERM)
	m.waitForLog(member, "shutting down")
	for n, c := range clients {
		_ = c.Close()
		time.Sleep(returnDelays[n%2])
		class := []string{"pay", "order"}[n%2]
		got := requestOnce(successor.Addr, class, 0x500+n)
		isRecordUnknown := class == "pay" && strings.HasPrefix(got, "BUSY") // the record refuses the request however often it comes again
		if !strings.HasPrefix(got, "ERR") && !isRecordUnknown {
			t.Errorf("request %x of class %s got %q again, want ERR", 0x500+n, class, got)
		}
	}
	for done := false; !done; {
		select {
		case e := <-script.Sessions:
			runs[strings.Fields(e.First)[1]]++
		default:
			done = true
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}
