package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// silentClients is a group of clients that connect, send nothing, and connect again some time after the balancer ends their connection.
type silentClients struct {
	crowd
	connections atomic.Int64 // number of connections opened so far
}

// reconnectDelay is how long a silent client waits before it connects again.
const reconnectDelay = time.Second

// startSilentClients starts silent clients of an address, which end with the test.
func startSilentClients(t *testing.T, addr string, clients int) *silentClients {
	c := &silentClients{crowd: crowd{stop: make(chan struct{})}}
	for range clients {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for {
				if nc, err := net.Dial("tcp", addr); err == nil {
					c.connections.Add(1)
					ended := make(chan struct{})
					go func() { _, _ = io.Copy(io.Discard, nc); close(ended) }()
					select {
					case <-ended:
					case <-c.stop:
					}
					_ = nc.Close()
				}
				select {
				case <-time.After(reconnectDelay):
				case <-c.stop:
					return
				}
			}
		}()
	}
	t.Cleanup(c.end)
	return c
}

// openDescriptors returns the targets of the descriptors that a process has open now.
func openDescriptors(t *testing.T, p *cluster.Process) []string {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", p.Pid())
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var targets []string
	for _, e := range all {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil {
			targets = append(targets, to)
		}
	}
	return targets
}

// overloadedSite is a balancer whose descriptors are limited by its configuration and by the kernel, and that is restarted while discovery is
// down.
type overloadedSite struct {
	*site
	descriptorLimit, peakDescriptors int    // limit of the configuration and the kernel; most descriptors seen open at once
	restoreDiscovery                 func() // ends the outage of discovery
	outageStart                      time.Time
	served, rejected                 int // number of clients of checkAnswers that got UP and BUSY
}

const (
	outageLength     = 8 * time.Second // duration of discovery's outage
	listBound        = 6 * time.Second // the list must be applied within this time after the outage
	loadedCPUDivisor = 2               // at most 1/2 of one processor's time is used while clients connect all the time
	idleCPUDivisor   = 10              // at most 1/10 of one processor's time is used after they have left
)

// newOverloadedSite restarts a balancer during an outage of discovery, which refuses connections or accepts them and sends nothing.
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
	s := &overloadedSite{descriptorLimit: files, site: startSite(t, env, "s-1")}
	s.acceptAllSessions()
	s.child.Kill()
	if refuses {
		s.restoreDiscovery = func() {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			go forwardConns(ln, s.agent.Addr())
		}
	} else {
		s.agent.Misbehave(emulator.Unresponsive)
		s.restoreDiscovery = func() { s.agent.Misbehave(emulator.Healthy) }
	}
	if err := s.child.Start(); err != nil {
		t.Fatal(err)
	}
	s.outageStart = time.Now()
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
			target, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer func() { _ = target.Close() }()
			go func() { _, _ = io.Copy(target, near); _ = target.Close() }()
			_, _ = io.Copy(near, target)
		}()
	}
}

// checkAnswers calls the admin address, and opens a session as a client; both must be answered.
func (s *overloadedSite) checkAnswers() {
	s.t.Helper()
	if code, body := s.call("GET", "/control/ready"); code != 200 {
		s.t.Errorf("GET /control/ready: %d, %q, want 200", code, body)
	}
	a := s.client(openLine)
	defer func() { _ = a.Close() }()
	switch got := a.line(); {
	case strings.HasPrefix(got, "UP"):
		s.served++
	case strings.HasPrefix(got, "BUSY"):
		s.rejected++
	default:
		s.t.Errorf("a client beside the idle ones got %q, want UP or BUSY", got)
	}
	s.peakDescriptors = max(s.peakDescriptors, len(openDescriptors(s.t, s.child)))
}

// checkThroughOutage checks answers until discovery is back, then that the list is applied, that a successor connects, and that the process is
// idle once the silent clients have left.
func (s *overloadedSite) checkThroughOutage(clients *silentClients) {
	s.t.Helper()
	s.serve("s-2") // a change that the balancer gets once discovery is back
	began, cpuBefore, connectionsBefore := time.Now(), s.child.CPU(), clients.connections.Load()
	for time.Since(s.outageStart) < outageLength {
		s.checkAnswers()
		time.Sleep(50 * time.Millisecond)
	}
	cpuTime, elapsed := s.child.CPU()-cpuBefore, time.Since(began)
	s.restoreDiscovery()
	back := time.Now()
	s.waitLog(`"server":"s-2"`)
	listDelay := time.Since(back)
	s.checkAnswers()
	s.t.Logf("%d served, %d rejected, %d descriptors at most, %d silent connections, %v of processor time in %v; the list applied %v after the outage",
		s.served, s.rejected, s.peakDescriptors, clients.connections.Load()-connectionsBefore, cpuTime, elapsed, listDelay)
	if s.served+s.rejected == 0 || s.peakDescriptors > s.descriptorLimit || cpuTime > elapsed/loadedCPUDivisor || listDelay > listBound {
		s.t.Error("no client answered, too many descriptors, too much processor time or a late list: see the line above")
	}
	began = time.Now()
	old := s.startSuccessor()
	s.waitLog("connected to predecessor")
	linked := time.Since(began)
	if err := s.child.WaitReady(); err != nil {
		s.t.Error(err)
	}
	s.checkAnswers()
	s.t.Logf("the successor connected %v after its start; both processes hold %d descriptors", linked, len(openDescriptors(s.t, old))+len(openDescriptors(s.t, s.child)))
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(s.t, old)
	s.checkAnswers()
	clients.end()
	s.mu.Lock()
	text := s.log.String()
	s.mu.Unlock()
	if n := strings.Count(text, "too many open files"); n > 0 {
		s.t.Errorf("ran out of descriptors %d times", n)
		for line := range strings.Lines(text) {
			if strings.Contains(line, "too many open files") {
				s.t.Log(line)
			}
		}
	}
	cpuBefore, began = s.child.CPU(), time.Now()
	time.Sleep(2 * time.Second)
	cpuTime, elapsed = s.child.CPU()-cpuBefore, time.Since(began)
	if s.t.Logf("%v of processor time in %v without clients", cpuTime, elapsed); cpuTime > elapsed/idleCPUDivisor {
		s.t.Error("the process uses too much processor time without clients")
	}
}

// TestSilentClientsLeaveReservedDescriptors fills a balancer with silent clients while discovery refuses connections, from the start on and for
// 8 s. It guards against clients that use up the descriptors reserved for operators, for discovery and for a hot restart, and against a loop that
// spins without descriptors: operators are answered all the time, a client is served from the earlier list or rejected, the list is applied soon
// after the outage, and a successor connects.
func TestSilentClientsLeaveReservedDescriptors(t *testing.T) {
	for _, files := range []int{64, 1024} {
		t.Run(fmt.Sprint(files), func(t *testing.T) {
			s := newOverloadedSite(t, files, true)
			clients := startSilentClients(t, s.child.Addr, 3*files)
			for began := time.Now(); clients.connections.Load() < int64(3*files); time.Sleep(time.Millisecond) {
				if time.Since(began) > testTimeout {
					t.Fatalf("only %d silent clients have connected", clients.connections.Load())
				}
			}
			s.checkThroughOutage(clients)
			if s.served == 0 {
				t.Error("no client was served")
			}
		})
	}
}

// TestIdleSessionsLeaveReservedDescriptors does the same with sessions that arrive all at once, as many as are admitted, and with silent clients
// after them, while discovery accepts connections and sends nothing.
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
					t.Errorf("a client got %q, want UP or BUSY", got)
				}
				s.peakDescriptors = max(s.peakDescriptors, len(openDescriptors(t, s.child)))
			}
			type answer struct {
				a   *testClient
				got string
			}
			answers, long := make(chan answer, files), strings.Replace(openLine, "d=1500", "d=4000", 1)
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
			for began := time.Now(); up < files/8 && time.Since(began) < testTimeout; { // hardly any of the sessions that arrive at once may be admitted
				a := s.client(long)
				answered(a, a.line())
			}
			if t.Logf("%d up, %d busy", up, busy); up < files/8 || busy == 0 {
				t.Error("the balancer is not full: too few sessions established, or none rejected")
			}
			s.checkThroughOutage(startSilentClients(t, s.child.Addr, files))
		})
	}
}
