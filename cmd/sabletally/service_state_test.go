package main

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
)

const (
	// drainedWithin is how long after an operator's call the balancer may still answer PING with yes or hold a session: the operators' 4 s, and the
	// 50 ms that sockets add.
	drainedWithin = 4*time.Second + 50*time.Millisecond
	// backInServiceWithin is how long after the end of a drain the balancer may still answer PING with no.
	backInServiceWithin = 2 * time.Second
	pingsPerRound       = 100 // either process of a hot restart may accept a client: so many PINGs reach both
)

// restartMoment is the moment of a hot restart at which an operator calls.
type restartMoment uint8

const (
	successorConnected restartMoment = iota
	successorReady
	predecessorTerminating // has got SIGTERM and still serves a session
)

// answerToPing returns the answer to a PING on a new connection.
func (s *site) answerToPing() string {
	s.t.Helper()
	a := s.client("PING\r\n")
	defer func() { _ = a.Close() }()
	return strings.TrimSuffix(a.line(), "\r\n")
}

// expectPings waits until each of several PINGs in a row gets the wanted answer, which must come until the given time.
func (s *site) expectPings(want string, until time.Time) {
	s.t.Helper()
	for inRow := 0; inRow < pingsPerRound; {
		switch got := s.answerToPing(); {
		case got == want:
			inRow++
		case time.Now().After(until):
			s.t.Fatalf("PING is answered %s, want %s", got, want)
		default:
			inRow = 0
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// expectMigrated waits until each client has got MOVE, which must come until the given time.
func (s *site) expectMigrated(clients []*testClient, until time.Time) {
	s.t.Helper()
	lines := make(chan string, len(clients))
	for _, a := range clients {
		_ = a.SetReadDeadline(until)
		go func() { // a read after the deadline fails even if the line has come
			line, _ := a.r.ReadString('\n')
			lines <- line
		}()
	}
	held := 0
	for range clients {
		if <-lines != "MOVE\r\n" {
			held++
		}
	}
	if held > 0 {
		s.t.Fatalf("%d of %d clients were not migrated in time", held, len(clients))
	}
}

// expectCallOK sends a request to a process's admin address, which must answer with status 200.
func expectCallOK(t *testing.T, p *cluster.Process, path string) {
	t.Helper()
	code, body, err := p.Call("PUT", path)
	if err != nil || code != 200 {
		t.Fatalf("PUT %s: %d, %q, %v, want status 200", path, code, body, err)
	}
}

// TestAnOperatorsCallDuringAHotRestartHolds drains a balancer, or puts it back into service, at each moment of a hot restart and at either
// process. It guards against a call that is answered with yes and that only one of the two processes follows.
func TestAnOperatorsCallDuringAHotRestartHolds(t *testing.T) {
	for name, c := range map[string]struct {
		drained bool // the balancer is out of service before the hot restart
		moment  restartMoment
		atNew   bool // the call goes to the new process, otherwise to the old one
	}{
		"out at the old process of a successor that connects":    {moment: successorConnected},
		"out at the old process of a ready successor":            {moment: successorReady},
		"out at the new process":                                 {moment: successorReady, atNew: true},
		"out at the old process after SIGTERM":                   {moment: predecessorTerminating},
		"out at the new process after SIGTERM":                   {moment: predecessorTerminating, atNew: true},
		"back at the old process of a successor that connects":   {drained: true, moment: successorConnected},
		"back at the old process of a ready successor":           {drained: true, moment: successorReady},
		"back at the new process":                                {drained: true, moment: successorReady, atNew: true},
		"back at the old process after SIGTERM":                  {drained: true, moment: predecessorTerminating},
		"back at the new process after SIGTERM of the other one": {drained: true, moment: predecessorTerminating, atNew: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, []string{"MGMT", "SHARED", "LONG"}, "s-1")
			var clients []*testClient
			if !c.drained {
				for range 8 {
					a, _ := s.establish()
					clients = append(clients, a)
				}
			}
			waiting := s.client(strings.Replace(openLine, "d=1500", "d=8000", 1)) // keeps the old process alive after SIGTERM
			upstream := s.session()
			if c.drained {
				s.expectOK("PUT", "/control/out-of-service")
			}
			old := s.startSuccessor()
			if s.waitLog("successor connected"); c.moment != successorConnected {
				if err := s.child.WaitReady(); err != nil {
					t.Fatal(err)
				}
				s.waitLog("successor is ready to take over")
			}
			if c.moment == predecessorTerminating {
				_ = old.Signal(syscall.SIGTERM)
				s.waitLog("shutting down")
			}
			called := old
			if c.atNew {
				called = s.child
			}
			path, want, until := "/control/out-of-service", "NO", time.Now().Add(drainedWithin)
			if c.drained {
				path, want, until = "/control/in-service", "PONG", time.Now().Add(backInServiceWithin)
			}
			expectCallOK(t, called, path)
			if c.atNew && c.moment == successorReady { // the old process goes on: both must follow the call
				s.expectPings(want, until)
			}
			if c.moment == successorConnected { // a successor that is drained by its predecessor is ready for the hand-over
				if err := s.child.WaitReady(); err != nil {
					t.Fatal(err)
				}
			}
			if !c.atNew {
				_ = old.Signal(syscall.SIGTERM)
			}
			_, _ = io.WriteString(upstream, "UP 3\r\n")
			waiting.expectLine("UP 3\r\n")
			s.expectMigrated(clients, until)
			_ = old.Signal(syscall.SIGTERM)
			waitForExit(t, old)
			s.expectPings(want, until)
		})
	}
}

// TestTheLatestOperatorsCallDecides calls both processes of a hot restart by turns, as fast as they answer. It guards against processes that end up in
// different states, or in another one than the last call's.
func TestTheLatestOperatorsCallDecides(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	old := s.newSuccessor()
	s.waitLog("successor is ready to take over")
	for _, last := range []string{"in-service", "out-of-service"} {
		processes := []*cluster.Process{old, s.child}
		paths := []string{"out-of-service", "in-service"}
		want := map[string]string{"in-service": "PONG", "out-of-service": "NO"}[last]
		for _, latest := range processes {
			for n := range 40 {
				expectCallOK(t, processes[n%2], "/control/"+paths[n/2%2])
			}
			expectCallOK(t, latest, "/control/"+last)
			s.expectPings(want, time.Now().Add(backInServiceWithin))
		}
	}
	expectCallOK(t, s.child, "/control/in-service")
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	s.expectPings("PONG", time.Now().Add(backInServiceWithin))
	s.establish()
}

// TestADrainOutlivesASuccessorThatDies drains a balancer at a new process, which dies, and restarts it hot again. It guards against a call that is
// lost with the process that took it.
func TestADrainOutlivesASuccessorThatDies(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	first := s.newSuccessor()
	s.waitLog("successor is ready to take over")
	s.expectOK("PUT", "/control/out-of-service")
	s.expectPings("NO", time.Now().Add(drainedWithin))
	s.child.Kill()
	s.waitLog("successor disconnected")
	s.child = first
	s.expectPings("NO", time.Now())
	old := s.newSuccessor()
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	s.expectPings("NO", time.Now())
}

// TestADrainEndsInTime restarts a balancer hot, or ends it, two seconds into an operator's drain. It guards against a drain whose time begins anew, so
// that clients are held for longer than the operators' 4 s.
func TestADrainEndsInTime(t *testing.T) {
	for name, c := range map[string]struct {
		env []string
		end func(s *site)
	}{
		"a hot restart": {
			env: []string{"MGMT", "SHARED", "SABLETALLY_FILES=1024"},
			end: func(s *site) { _ = s.newSuccessor().Signal(syscall.SIGTERM) },
		},
		"the end of a process whose classes have long deadlines": {
			env: []string{"MGMT", "LONG", "SABLETALLY_FILES=1024"},
			end: func(s *site) { _ = s.child.Signal(syscall.SIGTERM) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, c.env, "s-1")
			var clients []*testClient
			for range 48 {
				a, _ := s.establish()
				clients = append(clients, a)
			}
			until := time.Now().Add(drainedWithin)
			s.expectOK("PUT", "/control/out-of-service")
			time.Sleep(2 * time.Second)
			c.end(s)
			s.expectMigrated(clients, until)
		})
	}
}
