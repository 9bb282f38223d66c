package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// silentCrowd is clients that connect and send nothing, and connect again a little after they are ended.
type silentCrowd struct {
	stop chan struct{}
	over sync.WaitGroup
	came atomic.Int64
}

const comesAgain = time.Second

func newSilentCrowd(t *testing.T, addr string, many int) *silentCrowd {
	c := &silentCrowd{stop: make(chan struct{})}
	for range many {
		c.over.Add(1)
		go func() {
			defer c.over.Done()
			for {
				if nc, err := net.Dial("tcp", addr); err == nil {
					c.came.Add(1)
					ended := make(chan struct{})
					go func() { _, _ = io.Copy(io.Discard, nc); close(ended) }()
					select {
					case <-ended:
					case <-c.stop:
					}
					_ = nc.Close()
				}
				select {
				case <-time.After(comesAgain):
				case <-c.stop:
					return
				}
			}
		}()
	}
	t.Cleanup(c.end)
	return c
}

func (c *silentCrowd) end() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.over.Wait()
}

// openDescriptors returns what a process has open now.
func openDescriptors(t *testing.T, p *cluster.Process) []string {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", p.Pid())
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var held []string
	for _, e := range all {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil {
			held = append(held, to)
		}
	}
	return held
}

// overloadedSite is a balancer of so many descriptors, by the kernel's limit too, that is started again while discovery is down.
type overloadedSite struct {
	*site
	files, most      int
	back             func() // has discovery be there again
	down             time.Time
	served, rejected int
}

const (
	downFor   = 8 * time.Second
	heardIn   = 6 * time.Second
	spentPart = 2  // so-many-th of one processor is the most that is used while clients come all the time,
	idlePart  = 10 // and once they have gone
)

// newOverloadedSite starts with a discovery that refuses connections, or that accepts them and says nothing.
func newOverloadedSite(t *testing.T, files int, refuses bool) *overloadedSite {
	ln, err := net.Listen("tcp", emulator.Loopback())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	addr, env := ln.Addr().String(), []string{"MGMT", "SHARED", "PROBES=yes", fmt.Sprint("SABLETALLY_FILES=", files)}
	if refuses {
		_ = ln.Close()
		env = append(env, "EDGE_DISCOVERY="+addr)
	}
	s := &overloadedSite{files: files, site: startSite(t, env, "s-1")}
	s.waitAllListed()
	s.child.Kill()
	if refuses {
		s.back = func() {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			go forwardConns(ln, s.agent.Addr())
		}
	} else {
		s.agent.Misbehave(emulator.Unresponsive)
		s.back = func() { s.agent.Misbehave(emulator.Healthy) }
	}
	if err := s.child.Start(); err != nil {
		t.Fatal(err)
	}
	s.down = time.Now()
	return s
}

// forwardConns forwards connections from a listener to an address.
func forwardConns(ln net.Listener, to string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = near.Close() }()
			far, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer func() { _ = far.Close() }()
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
			_, _ = io.Copy(near, far)
		}()
	}
}

// checkAnswers makes a call as operators do, and a request as a client.
func (s *overloadedSite) checkAnswers() {
	s.t.Helper()
	if code, says := s.call("GET", "/control/ready"); code != 200 {
		s.t.Errorf("%d, %q", code, says)
	}
	a := s.client(open)
	defer func() { _ = a.Close() }()
	switch got := a.line(); {
	case strings.HasPrefix(got, "UP"):
		s.served++
	case strings.HasPrefix(got, "BUSY"):
		s.rejected++
	default:
		s.t.Errorf("a client among the idle got %q", got)
	}
	s.most = max(s.most, len(openDescriptors(s.t, s.child)))
}

// checkThroughOutage checks answers until discovery is back, then that the list is applied, that a successor is linked, and that the process
// is idle once the crowd has gone.
func (s *overloadedSite) checkThroughOutage(many *silentCrowd) {
	s.t.Helper()
	s.serve("s-2") // discovery says so once it is back
	began, used, came := time.Now(), s.child.CPU(), many.came.Load()
	for time.Since(s.down) < downFor {
		s.checkAnswers()
		time.Sleep(50 * time.Millisecond)
	}
	spent, over := s.child.CPU()-used, time.Since(began)
	s.back()
	back := time.Now()
	s.waitLog(`"server":"s-2"`)
	heard := time.Since(back)
	s.checkAnswers()
	s.t.Logf("%d served, %d rejected, %d descriptors at most, %d came, %v of processor time in %v; heard %v after its return",
		s.served, s.rejected, s.most, many.came.Load()-came, spent, over, heard)
	if s.served+s.rejected == 0 || s.most > s.files || spent > over/spentPart || heard > heardIn {
		s.t.Error("not as it must be")
	}
	began = time.Now()
	old := s.startSuccessor()
	s.waitLog("connected to predecessor")
	linked := time.Since(began)
	if err := s.child.WaitReady(); err != nil {
		s.t.Error(err)
	}
	s.checkAnswers()
	s.t.Logf("linked %v after the next process began; the two hold %d", linked, len(openDescriptors(s.t, old))+len(openDescriptors(s.t, s.child)))
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(s.t, old)
	s.checkAnswers()
	many.end()
	s.mu.Lock()
	text := s.log.String()
	s.mu.Unlock()
	if n := strings.Count(text, "too many open files"); n > 0 {
		s.t.Errorf("no descriptor was left %d times", n)
	}
	used, began = s.child.CPU(), time.Now()
	time.Sleep(2 * time.Second)
	spent, over = s.child.CPU()-used, time.Since(began)
	if s.t.Logf("%v of processor time in %v without anybody", spent, over); spent > over/idlePart {
		s.t.Error("it spins")
	}
}

// TestSilentClientsLeaveReservedDescriptors fills a balancer with silent clients while discovery refuses, at the start and for 8 s. Operators
// are answered all the time, and a client is served by the earlier list or rejected; discovery is heard soon after its return, and a hot
// restart's link is opened. Nothing spins.
func TestSilentClientsLeaveReservedDescriptors(t *testing.T) {
	for _, files := range []int{64, 1024} {
		t.Run(fmt.Sprint(files), func(t *testing.T) {
			s := newOverloadedSite(t, files, true)
			many := newSilentCrowd(t, s.child.Addr, 3*files)
			for began := time.Now(); many.came.Load() < int64(3*files); time.Sleep(time.Millisecond) {
				if time.Since(began) > bound {
					t.Fatalf("%d have come", many.came.Load())
				}
			}
			s.checkThroughOutage(many)
			if s.served == 0 {
				t.Error("nobody was served")
			}
		})
	}
}

// TestIdleSessionsLeaveReservedDescriptors does the same with sessions that arrive all at once, as many as are admitted, and with silent clients
// behind them, while discovery says nothing.
func TestIdleSessionsLeaveReservedDescriptors(t *testing.T) {
	for _, files := range []int{64, 1024} {
		t.Run(fmt.Sprint(files), func(t *testing.T) {
			s := newOverloadedSite(t, files, false)
			up, busy := 0, 0
			answered := func(a *testClient, got string) {
				switch {
				case strings.HasPrefix(got, "UP"):
					up++
				case strings.HasPrefix(got, "BUSY"):
					busy++
					_ = a.Close()
				default:
					t.Errorf("%q", got)
				}
				s.most = max(s.most, len(openDescriptors(t, s.child)))
			}
			type answer struct {
				a   *testClient
				got string
			}
			answers, long := make(chan answer, files), strings.Replace(open, "d=1500", "d=4000", 1)
			for range files {
				a := s.client(long)
				go func() {
					got, _ := a.r.ReadString('\n')
					answers <- answer{a, got}
				}()
			}
			for range files {
				one := <-answers
				answered(one.a, one.got)
			}
			for began := time.Now(); up < files/8 && time.Since(began) < bound; { // of the rush hardly any may find room
				a := s.client(long)
				answered(a, a.line())
			}
			if t.Logf("%d up, %d busy", up, busy); up < files/8 || busy == 0 {
				t.Error("it is not full")
			}
			s.checkThroughOutage(newSilentCrowd(t, s.child.Addr, files))
		})
	}
}
