package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/fleet"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// testFleet is a fleet whose members are balancer processes. Its members have indexes from 0 on.
type testFleet struct {
	*cluster.MemberGroup
	t     *testing.T
	procs []*cluster.Process // members' processes, by index
	all   []int              // indexes of all members
}

// newTestFleet starts a fleet, in parallel with other tests, and waits until all members see each other. With shared, members can be restarted hot.
func newTestFleet(t *testing.T, members int, shared bool) *testFleet {
	return newTestFleetWithBlocks(t, members, shared, "", newAgent(t))
}

// newTestFleetWithBlocks does the same with extra blocks in the fleet files and a given discovery.
func newTestFleetWithBlocks(t *testing.T, members int, shared bool, extraBlocks string, a *emulator.Agent) *testFleet {
	t.Parallel()
	return newSerialTestFleet(t, members, shared, extraBlocks, a)
}

// newSerialTestFleet does the same without running the test in parallel with others.
func newSerialTestFleet(t *testing.T, members int, shared bool, extraBlocks string, a *emulator.Agent) *testFleet {
	return newTestFleetWithSettings(t, members, shared, "", extraBlocks, a)
}

// newTestFleetWithSettings does the same with extra settings in the fleet block of their files.
func newTestFleetWithSettings(t *testing.T, members int, shared bool, extraSettings, extraBlocks string, a *emulator.Agent) *testFleet {
	dir := t.TempDir()
	b, err := cluster.NewMemberGroup(members, dir, 11)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	b.ExtraSettings, b.ExtraBlocks = extraSettings, extraBlocks
	m := &testFleet{MemberGroup: b, t: t}
	for i := range members {
		p, err := cluster.NewProcess(fmt.Sprintf("n%d", i), []string{os.Args[0]}, []string{"SABLETALLY_CHILD=1", "EDGE_DISCOVERY=" + a.Addr()}, dir, nil)
		if err != nil {
			t.Fatal(err)
		}
		if shared {
			if err := p.ShareListener(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.UnshareListener)
		}
		if err := b.Add(i, 3, 2, p); err != nil {
			t.Fatal(err)
		}
		if err := p.WriteConfig(nodeConfig(p.Name, p, a, 77+i)); err != nil {
			t.Fatal(err)
		}
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		m.procs, m.all = append(m.procs, p), append(m.all, i)
	}
	t.Cleanup(func() {
		for i := range m.procs {
			if t.Failed() {
				t.Logf("n%d: %s", i, m.procs[i].LogTail())
			}
		}
	})
	m.waitForQuorum()
	return m
}

// restartAll kills all members at once and starts them again.
func (m *testFleet) restartAll() {
	m.t.Helper()
	for _, p := range m.procs {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range m.procs {
		p.Kill()
		if err := p.Launch(); err != nil {
			m.t.Fatal(err)
		}
	}
}

// listFourServers starts four scripted servers and adds them to a discovery's list.
func listFourServers(t *testing.T, a *emulator.Agent, maxSessions int) *emulator.Script {
	script := emulator.NewScript(maxSessions, 4*testTimeout)
	t.Cleanup(script.Close)
	for _, uid := range []string{"s-1", "s-2", "s-3", "s-4"} {
		addr, err := script.Listen(uid)
		if err != nil {
			t.Fatal(err)
		}
		a.Set(newEndpoint(uid, addr, emulator.InService))
	}
	return script
}

// waitForLog waits until a process's log contains a text.
func (m *testFleet) waitForLog(p *cluster.Process, text string) {
	m.t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(p.LogTail(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("the log of %s does not contain %s: %s", p.Name, text, p.LogTail())
		}
	}
}

// waitForMemberLog waits until a member's log contains a text; if it fails, it logs the members' stores.
func (m *testFleet) waitForMemberLog(i int, text string) {
	m.t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(m.procs[i].LogTail(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for j := range m.procs {
				m.t.Logf("n%d: %+v", j, m.report(j).Store)
			}
			m.t.Fatalf("the log of n%d does not contain %s", i, text)
		}
	}
}

// startStandaloneBalancer starts a balancer that belongs to no fleet.
func (m *testFleet) startStandaloneBalancer() *cluster.Process {
	m.t.Helper()
	p := m.newStandaloneBalancer(newAgent(m.t))
	if err := p.Start(); err != nil {
		m.t.Fatal(err)
	}
	return p
}

// newStandaloneBalancer returns a balancer process that belongs to no fleet and has not been started.
func (m *testFleet) newStandaloneBalancer(a *emulator.Agent) *cluster.Process {
	m.t.Helper()
	dir := m.t.TempDir()
	p, err := cluster.NewProcess("single", []string{os.Args[0]}, []string{"SABLETALLY_CHILD=1", "EDGE_DISCOVERY=" + a.Addr()}, dir, nil)
	if err == nil {
		err = p.EnableAdmin()
	}
	if err == nil {
		err = p.WriteConfig(nodeConfig("single", p, a, 7))
	}
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(p.Kill)
	return p
}

// nodeConfig returns a balancer's configuration file. Beside feed it has two non-idempotent classes, pay and order.
func nodeConfig(name string, p *cluster.Process, a *emulator.Agent, seed int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":2048},
		"known":%s,"settings":%s}`, name, p.Addr, a.Addr(), seed, a.InitialList(), strings.Replace(policySettings, `[{"Name":"feed"`, `[`+serviceClass("pay")+serviceClass("order")+`{"Name":"feed"`, 1))
}

// serviceClass returns a non-idempotent class of a configuration file, with a comma behind it.
func serviceClass(name string) string {
	return fmt.Sprintf(`{"Name":%q,"Effect":"non_idempotent","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":9000000,"Utility":1},`, name)
}

// waitFor waits until the reports of members satisfy a condition.
func (m *testFleet) waitFor(what string, members []int, condition func(fleet.Report) bool) {
	m.t.Helper()
	began := time.Now()
	if err := m.WaitUntil(what, 2*testTimeout, members, condition); err != nil {
		m.t.Fatal(err)
	}
	m.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
}

// waitForQuorum waits until all members see each other.
func (m *testFleet) waitForQuorum() {
	m.t.Helper()
	m.waitFor("all members see each other", m.all, cluster.SeesQuorumOf(len(m.all)))
}

// without returns the indexes of all members but one.
func (m *testFleet) without(i int) []int {
	return slices.DeleteFunc(slices.Clone(m.all), func(j int) bool { return j == i })
}

// report returns a member's report.
func (m *testFleet) report(i int) fleet.Report {
	m.t.Helper()
	r, err := m.procs[i].Fleet()
	if err != nil {
		m.t.Fatal(err)
	}
	return r
}

// repaired reports whether every shard has three replicas, as far as the reporting member knows.
func repaired(r fleet.Report) bool { return r.Store != nil && r.Store.ShardsByReplicas[3] == 256 }

// lineIfAny returns the next line that a client gets, or what came before the end where there is none.
func (a *testClient) lineIfAny() string {
	text, _ := a.r.ReadString('\n')
	return text
}

// requestOnce opens a session on a connection of its own and returns the answer, which is empty if there is none.
func requestOnce(addr, class string, id int) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = fmt.Fprintf(c, openLineFormat, id, class, id)
	text, _ := bufio.NewReader(c).ReadString('\n')
	return text
}

// openLineFormat formats the first line of a session with an ID and a class; the ID is its group too.
const openLineFormat = "OPEN %016x 7f3a9c21e0b4d655 c=%s,t=acme,d=8000,g=%x\r\n"
