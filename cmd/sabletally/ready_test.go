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

// These tests restart many processes at once and measure the time from the start of each one to its first PONG, as a client sees it. All of them
// share one of the machine's processors with programs in busy loops, so that each starts on a twentieth of a processor or less.

const (
	mostReadyBound = 10 * time.Second // nine in ten processes are ready within this time after their start
	allReadyBound  = 30 * time.Second // all processes are ready within this time
	pollInterval   = 20 * time.Millisecond
	startsPerKind  = 8  // number of processes of each kind that are restarted at once
	listedServers  = 90 // number of servers in the endpoint list
)

// keepBusy runs busy loops on the processor that the balancers are bound to, until the test ends.
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

// durations are the times that processes took to become ready, in ascending order.
type durations []time.Duration

// percentile returns the time within which the given percentage of the processes were ready.
func (s durations) percentile(percent int) time.Duration {
	return s[(len(s)*percent+99)/100-1].Round(time.Millisecond)
}

func (s durations) String() string {
	return fmt.Sprintf("p50 %v, p90 %v, worst %v of %d", s.percentile(50), s.percentile(90), s.percentile(100), len(s))
}

// startAll starts processes at once. Nine in ten of each kind must be ready within mostReadyBound, and all within allReadyBound.
func startAll(t *testing.T, procs []*cluster.Process, kind func(i int) string) {
	t.Helper()
	took, faults := make([]time.Duration, len(procs)), make([]error, len(procs))
	var all sync.WaitGroup
	for i, p := range procs {
		p.CPUs = 1
		all.Go(func() {
			began := time.Now()
			if faults[i] = p.Launch(); faults[i] == nil {
				faults[i] = waitForPong(p)
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
		if s.percentile(90) > mostReadyBound {
			t.Errorf("%s: fewer than nine in ten are ready within %v", name, mostReadyBound)
		}
	}
}

// waitForPong waits for a process's first PONG, as a client that connects again while its connection is refused or closed.
func waitForPong(p *cluster.Process) error {
	for end := time.Now().Add(allReadyBound); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case <-p.Exited():
			return fmt.Errorf("%s exited during its start: %s", p.Name, p.LogTail())
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
	return fmt.Errorf("%s is not ready within %v: %s", p.Name, allReadyBound, p.LogTail())
}

// TestManyRestartedAtOnceAreReady kills and restarts many processes together while discovery is healthy, slow, failing or down; with an agent of
// their own or a shared one, with a known list or without. It guards against a start that waits for discovery.
func TestManyRestartedAtOnceAreReady(t *testing.T) {
	const none = `{"rev":0,"all":true,"targets":[]}`
	keepBusy(t, 8) // 8 busy loops beside 32 balancers
	script := emulator.NewScript(1, 10*time.Minute)
	t.Cleanup(script.Close)
	server, err := script.Listen("s")
	if err != nil {
		t.Fatal(err)
	}
	a := newAgent(t)
	for i := range listedServers {
		a.Set(newEndpoint(fmt.Sprintf("s-%d", i), server, emulator.InService))
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
	settings := strings.Replace(strings.Replace(policySettings, `"PeersTotal":1`, `"PeersTotal":300`, 1), `"Probes":false`, `"Probes":true`, 1)
	for _, c := range []struct {
		name      string
		discovery string
		fault     emulator.Fault
		hub       *emulator.WatchHub
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
			a.UseHub(c.hub)
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

// TestAFleetRestartedAtOnceIsReady kills all members together and restarts them: with discovery, without it, and cut off from each other, so that no
// member can read its stored service state. It guards against a start that waits for a quorum or for discovery.
func TestAFleetRestartedAtOnceIsReady(t *testing.T) {
	a := newAgent(t)
	listFourServers(t, a, 1)
	m := newSerialTestFleet(t, 9, false, "", a)
	m.waitFor("every shard has its replicas", m.all, repaired)
	keepBusy(t, 12) // 12 busy loops beside nine balancers
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
			m.Links.Set(func(_, _ int, link *emulator.MemberLink) { link.Cut = c.cut })
			startAll(t, m.procs, func(int) string { return "members" })
			if startedWithoutState := "ready without the stored service state"; c.cut {
				for _, p := range m.procs {
					m.waitForLog(p, startedWithoutState)
				}
			}
		})
	}
}

// TestClientsThatPingAreEvictedLast uses up the descriptors with silent clients while a health check waits for PONG. It guards against a health
// check that is evicted in place of a silent client, which would take a live balancer out of service.
func TestClientsThatPingAreEvictedLast(t *testing.T) {
	t.Parallel()
	a := newAgent(t)
	a.Misbehave(emulator.Unresponsive)
	p, err := cluster.NewProcess("n0", []string{os.Args[0]}, []string{"SABLETALLY_CHILD=1"}, t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.WriteConfig(fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"7","limits":{"cores":1,"memory_mb":192,"sockets":64},
		"known":{"rev":0,"all":true,"targets":[]},"settings":%s}`, p.Addr, a.Addr(), policySettings)); err != nil {
		t.Fatal(err)
	}
	if err := p.Launch(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	dial := func() *bufio.Reader {
		for end := time.Now().Add(testTimeout); ; time.Sleep(pollInterval) {
			c, err := net.Dial("tcp", p.Addr)
			if err == nil {
				t.Cleanup(func() { _ = c.Close() })
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				_, _ = io.WriteString(c, "PING\r\n")
				return bufio.NewReader(c)
			}
			if time.Now().After(end) {
				t.Fatal(err)
			}
		}
	}
	healthCheck := dial()
	evicted := make(chan struct{}) // closed once an idle client has got BUSY
	var once sync.Once
	for range 100 {
		c, err := net.Dial("tcp", p.Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		go func() {
			if text, _ := bufio.NewReader(c).ReadString('\n'); strings.HasPrefix(text, "BUSY") {
				once.Do(func() { close(evicted) })
			}
		}()
	}
	if text, err := healthCheck.ReadString('\n'); text != "PONG\r\n" {
		t.Errorf("the health check got %q, %v, want PONG", text, err)
	}
	select {
	case <-evicted:
	case <-time.After(testTimeout):
		t.Error("no idle client was evicted: the descriptors were not used up")
	}
}
