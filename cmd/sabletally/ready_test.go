package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// These tests restart many processes at once and measure the time from each one's start to its first PONG, as a client sees it. All of them
// share one of the machine's processors with programs that never rest, so that each starts on a twentieth of it or less.

const (
	readyBy       = 10 * time.Second // nine in ten are ready by then
	readyAll      = 30 * time.Second // and the last by then
	pollInterval  = 20 * time.Millisecond
	startsPerKind = 8  // processes of each kind that are restarted at once
	listed        = 90 // servers in the list
)

// keepBusy runs programs on the processor that the balancers are bound to, until the test ends.
func keepBusy(t *testing.T, programs int) {
	dir := t.TempDir()
	for i := range programs {
		p, err := cluster.NewProcess(fmt.Sprintf("busy%d", i), []string{"sh", "-c", "while :; do :; done"}, nil, dir, nil)
		if err != nil {
			t.Fatal(err)
		}
		p.CPUs = 1
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
	}
}

// durations is how long processes took, in ascending order.
type durations []time.Duration

// percentile returns what so many in a hundred took at most.
func (s durations) percentile(percent int) time.Duration {
	return s[(len(s)*percent+99)/100-1].Round(time.Millisecond)
}

func (s durations) String() string {
	return fmt.Sprintf("p50 %v, p90 %v, worst %v of %d", s.percentile(50), s.percentile(90), s.percentile(100), len(s))
}

// startAll starts processes at once and expects nine in ten of each kind to be ready within readyBy.
func startAll(t *testing.T, procs []*cluster.Process, kind func(i int) string) {
	t.Helper()
	took, faults := make([]time.Duration, len(procs)), make([]error, len(procs))
	var all sync.WaitGroup
	for i, p := range procs {
		p.CPUs = 1
		all.Go(func() {
			began := time.Now()
			if faults[i] = p.Launch(); faults[i] == nil {
				faults[i] = firstPong(p)
			}
			took[i] = time.Since(began)
		})
	}
	all.Wait()
	if err := errors.Join(faults...); err != nil {
		t.Fatal(err)
	}
	kinds := map[string]durations{}
	for i, d := range took {
		kinds[kind(i)] = append(kinds[kind(i)], d)
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		s := kinds[name]
		slices.Sort(s)
		t.Logf("%s: first PONG after %v", name, s)
		if s.percentile(90) > readyBy {
			t.Errorf("%s: nine in ten are not ready within %v", name, readyBy)
		}
	}
}

// firstPong waits for the first PONG, as a client that connects again while it is refused or closed.
func firstPong(p *cluster.Process) error {
	for end := time.Now().Add(readyAll); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case <-p.Exited():
			return fmt.Errorf("%s ended at its start: %s", p.Name, p.LogTail())
		default:
		}
		c, err := net.Dial("tcp", p.Addr)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(end)
		_, _ = io.WriteString(c, "PING\r\n")
		text, _ := bufio.NewReader(c).ReadString('\n')
		_ = c.Close()
		if text == "PONG\r\n" {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v: %s", p.Name, readyAll, p.LogTail())
}

// TestManyRestartedAtOnceAreReady kills and restarts processes together for each way in which discovery can be slow, failing or down: with an
// agent of their own and with one that all share, with a known list and without.
func TestManyRestartedAtOnceAreReady(t *testing.T) {
	const none = `{"rev":0,"all":true,"targets":[]}`
	keepBusy(t, 8) // beside 32 balancers
	script := emulator.NewScript(1, 10*time.Minute)
	t.Cleanup(script.Close)
	server, err := script.Listen("s")
	if err != nil {
		t.Fatal(err)
	}
	a := agent(t)
	for i := range listed {
		a.Set(entry(fmt.Sprintf("s-%d", i), server, emulator.InService))
	}
	known := string(a.InitialList())
	kind := func(i int) string {
		return []string{"own agent", "shared"}[i%2] + []string{", list known", ", none known"}[i/2%2]
	}
	dir := t.TempDir()
	var procs []*cluster.Process
	for i := range 4 * startsPerKind {
		p, err := cluster.NewProcess(fmt.Sprintf("n%d", i), []string{os.Args[0]}, []string{"SABLETALLY_CHILD=1"}, dir, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		procs = append(procs, p)
	}
	settings := strings.Replace(strings.Replace(settings, `"PeersTotal":1`, `"PeersTotal":300`, 1), `"Probes":false`, `"Probes":true`, 1)
	for _, c := range []struct {
		name      string
		discovery string
		fault     emulator.Fault
		desk      *emulator.WatchHub
	}{
		{"sound", a.Addr(), emulator.Healthy, nil},
		{"slow", a.Addr(), emulator.Healthy, emulator.NewWatchHub(200*time.Millisecond, 2*time.Second)},
		{"no time", a.Addr(), emulator.Healthy, emulator.NewWatchHub(time.Hour, 0)},
		{"silent", a.Addr(), emulator.Unresponsive, nil},
		{"faulty", a.Addr(), emulator.Malformed, nil},
		{"refused", closedAddress(t), emulator.Healthy, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			a.Misbehave(c.fault)
			a.UseHub(c.desk)
			for _, p := range procs {
				_ = p.Signal(syscall.SIGKILL)
			}
			for i, p := range procs {
				p.Kill()
				mode, list := []string{"pushed", "on_request"}[i%2], []string{known, none}[i/2%2]
				if err := p.WriteConfig(fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},
					"known":%s,"settings":%s}`, p.Name, p.Addr, c.discovery, 1+i, list, strings.Replace(settings, "pushed", mode, 1))); err != nil {
					t.Fatal(err)
				}
			}
			startAll(t, procs, kind)
		})
	}
}

// TestAFleetRestartedAtOnceIsReady kills all members together and restarts them: with discovery, without it, and cut off from each other, where
// nobody knows the service state.
func TestAFleetRestartedAtOnceIsReady(t *testing.T) {
	a := agent(t)
	fourServers(t, a, 1)
	m := newTestFleetAt(t, 9, false, "", a)
	m.waitFor("every slot has its holders", m.all, repaired)
	keepBusy(t, 12) // beside nine balancers
	for _, c := range []struct {
		name  string
		fault emulator.Fault
		cut   bool
	}{{"discovery sound", emulator.Healthy, false}, {"discovery silent", emulator.Unresponsive, false}, {"cut off", emulator.Unresponsive, true}} {
		t.Run(c.name, func(t *testing.T) {
			a.Misbehave(c.fault)
			for _, p := range m.procs {
				_ = p.Signal(syscall.SIGKILL)
			}
			for _, p := range m.procs {
				p.Kill()
			}
			m.Links.Set(func(_, _ int, tie *emulator.MemberLink) { tie.Cut = c.cut })
			startAll(t, m.procs, func(int) string { return "members" })
			if alone := "ready without the stored service state"; c.cut {
				for _, p := range m.procs {
					m.logsOf(p, alone)
				}
			}
		})
	}
}

// TestClientsThatPingAreEvictedLast fills the descriptors with silent clients while a health checker waits for PONG, which it must get.
func TestClientsThatPingAreEvictedLast(t *testing.T) {
	t.Parallel()
	a := agent(t)
	a.Misbehave(emulator.Unresponsive)
	p, err := cluster.NewProcess("n0", []string{os.Args[0]}, []string{"SABLETALLY_CHILD=1"}, t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.WriteConfig(fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"7","limits":{"cores":1,"memory_mb":192,"sockets":64},
		"known":{"rev":0,"all":true,"targets":[]},"settings":%s}`, p.Addr, a.Addr(), settings)); err != nil {
		t.Fatal(err)
	}
	if err := p.Launch(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	dial := func() *bufio.Reader {
		for end := time.Now().Add(bound); ; time.Sleep(pollInterval) {
			c, err := net.Dial("tcp", p.Addr)
			if err == nil {
				t.Cleanup(func() { _ = c.Close() })
				_ = c.SetDeadline(time.Now().Add(bound))
				_, _ = io.WriteString(c, "PING\r\n")
				return bufio.NewReader(c)
			}
			if time.Now().After(end) {
				t.Fatal(err)
			}
		}
	}
	asks := dial()
	shed := make(chan struct{}) // idle clients hear that there is no room
	var once sync.Once
	for range 100 {
		c, err := net.Dial("tcp", p.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(bound))
		go func() {
			if text, _ := bufio.NewReader(c).ReadString('\n'); strings.HasPrefix(text, "BUSY") {
				once.Do(func() { close(shed) })
			}
		}()
	}
	if text, err := asks.ReadString('\n'); text != "PONG\r\n" {
		t.Errorf("%q, %v", text, err)
	}
	select {
	case <-shed:
	case <-time.After(bound):
		t.Error("no idle client was shed: there was no crowd")
	}
}
