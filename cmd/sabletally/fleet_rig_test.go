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

// testFleet is a fleet of processes of the program.
type testFleet struct {
	*cluster.MemberGroup
	t     *testing.T
	procs []*cluster.Process
	all   []int
}

func newTestFleet(t *testing.T, many int, shared bool) *testFleet {
	return newTestFleetWith(t, many, shared, "", agent(t))
}

func newTestFleetWith(t *testing.T, many int, shared bool, more string, a *emulator.Agent) *testFleet {
	t.Parallel()
	return newTestFleetAt(t, many, shared, more, a)
}

func newTestFleetAt(t *testing.T, many int, shared bool, more string, a *emulator.Agent) *testFleet {
	return newTestFleetOf(t, many, shared, "", more, a)
}

func newTestFleetOf(t *testing.T, many int, shared bool, less, more string, a *emulator.Agent) *testFleet {
	dir := t.TempDir()
	b, err := cluster.NewMemberGroup(many, dir, 11)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	b.ExtraSettings, b.ExtraBlocks = less, more
	m := &testFleet{MemberGroup: b, t: t}
	for i := range many {
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

// startAgain kills all members at once and starts them again.
func (m *testFleet) startAgain() {
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

// fourServers are scripted servers that a discovery lists.
func fourServers(t *testing.T, a *emulator.Agent, most int) *emulator.Script {
	script := emulator.NewScript(most, 4*bound)
	t.Cleanup(script.Close)
	for _, uid := range []string{"s-1", "s-2", "s-3", "s-4"} {
		addr, err := script.Listen(uid)
		if err != nil {
			t.Fatal(err)
		}
		a.Set(entry(uid, addr, emulator.InService))
	}
	return script
}

// logsOf waits until a process's log contains a text.
func (m *testFleet) logsOf(p *cluster.Process, word string) {
	m.t.Helper()
	for end := time.Now().Add(bound); !strings.Contains(p.LogTail(), word); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("%s does not log %s: %s", p.Name, word, p.LogTail())
		}
	}
}

// logs waits until a member's log contains a text.
func (m *testFleet) logs(i int, word string) {
	m.t.Helper()
	for end := time.Now().Add(bound); !strings.Contains(m.procs[i].LogTail(), word); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for j := range m.procs {
				m.t.Logf("n%d: %+v", j, m.report(j).Store)
			}
			m.t.Fatalf("n%d does not log %s", i, word)
		}
	}
}

// startOutsider starts a balancer beside the members that is none.
func (m *testFleet) startOutsider() *cluster.Process {
	m.t.Helper()
	p := m.unstarted(agent(m.t))
	if err := p.Start(); err != nil {
		m.t.Fatal(err)
	}
	return p
}

// unstarted returns a process that is still to be started.
func (m *testFleet) unstarted(a *emulator.Agent) *cluster.Process {
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

// nodeConfig is a balancer's configuration.
func nodeConfig(name string, p *cluster.Process, a *emulator.Agent, seed int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":2048},
		"known":%s,"settings":%s}`, name, p.Addr, a.Addr(), seed, a.InitialList(), strings.Replace(settings, `[{"Name":"feed"`, `[`+serviceClass("pay")+serviceClass("order")+`{"Name":"feed"`, 1))
}

func serviceClass(name string) string {
	return fmt.Sprintf(`{"Name":%q,"Effect":"non_idempotent","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":9000000,"Utility":1},`, name)
}

// waitFor waits until the reports of members satisfy a condition.
func (m *testFleet) waitFor(what string, who []int, is func(fleet.Report) bool) {
	m.t.Helper()
	began := time.Now()
	if err := m.WaitUntil(what, 2*bound, who, is); err != nil {
		m.t.Fatal(err)
	}
	m.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
}

func (m *testFleet) waitForQuorum() {
	m.t.Helper()
	m.waitFor("all see all", m.all, cluster.SeesQuorumOf(len(m.all)))
}

func (m *testFleet) without(i int) []int {
	return slices.DeleteFunc(slices.Clone(m.all), func(j int) bool { return j == i })
}

func (m *testFleet) report(i int) fleet.Report {
	m.t.Helper()
	r, err := m.procs[i].Fleet()
	if err != nil {
		m.t.Fatal(err)
	}
	return r
}

// repaired reports whether every shard has three replicas, as this member knows.
func repaired(r fleet.Report) bool { return r.Store != nil && r.Store.ShardsByReplicas[3] == 256 }

// lastLine returns the line that a client gets, empty where there is none.
func (a *testClient) lastLine() string {
	text, _ := a.r.ReadString('\n')
	return text
}

// requestOnce opens a session on a connection of its own and returns the answer.
func requestOnce(addr, grade string, id int) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(bound))
	_, _ = fmt.Fprintf(c, openOf, id, grade, id)
	text, _ := bufio.NewReader(c).ReadString('\n')
	return text
}

// openOf is the first line of a session with an ID and a class.
const openOf = "OPEN %016x 7f3a9c21e0b4d655 c=%s,t=acme,d=8000,g=%x\r\n"
