package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/fleet"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// These tests start several balancer processes as members of a fleet, and kill, stop or cut off some of them.

// TestAFleetThroughFaults stops and cuts off members of a fleet of five, loses a machine with its disk and restarts the whole fleet. It guards
// against members that don't find each other again, a member without its disk that is taken for the old one, a stopped one that doesn't notice its
// pause, and a cut-off minority that goes on as a quorum.
func TestAFleetThroughFaults(t *testing.T) {
	m := newTestFleet(t, 5, false)
	reportedGone := func(i int) func(fleet.Report) bool {
		return func(r fleet.Report) bool {
			return cluster.MemberState(r, fmt.Sprintf("n%d", i)) == "gone" && r.Standing == "together"
		}
	}

	m.Links.Set(func(_, _ int, link *emulator.MemberLink) {
		*link = emulator.MemberLink{Loss: 0.3, Duplicated: 0.3, Delay: 20 * time.Millisecond}
	})
	suspend(t, m.procs[4])
	m.waitFor("the others notice the stopped member over lossy links", m.without(4), reportedGone(4))
	_ = m.procs[4].Signal(syscall.SIGCONT)
	m.Links.Set(func(_, _ int, link *emulator.MemberLink) { *link = emulator.MemberLink{} })
	m.waitForQuorum()
	if r := m.report(4); r.Pauses == 0 || r.Self.Incarnation != 1 {
		t.Errorf("the stopped member reports no pause, or is another incarnation: %+v", r)
	}

	was := m.report(3).Self.ID
	if err := m.LoseMachine(3); err != nil {
		t.Fatal(err)
	}
	m.waitFor("the others notice the lost member", m.without(3), reportedGone(3))
	if err := m.procs[3].Launch(); err != nil {
		t.Fatal(err)
	}
	m.waitForQuorum()
	if self := m.report(3).Self; self.ID == was || self.Incarnation != 1 {
		t.Errorf("a member that lost its disk has its old ID or incarnation: %+v", self)
	}
	m.waitFor("the others know that the lost member is replaced", m.without(3), func(r fleet.Report) bool {
		return slices.ContainsFunc(r.Others, func(o fleet.MemberReport) bool { return o.ID == was && o.State == "gone" && o.ReplacedBy != "" })
	})

	m.Links.Set(func(from, to int, link *emulator.MemberLink) { link.Cut = from < 2 != (to < 2) })
	m.waitFor("the minority of two knows that it is cut off", []int{0, 1}, func(r fleet.Report) bool { return r.Standing == "apart" && r.Alive == 2 })
	m.waitFor("the majority of three goes on", []int{2, 3, 4}, cluster.SeesQuorumOf(3))
	m.Links.Set(func(_, _ int, link *emulator.MemberLink) { *link = emulator.MemberLink{} })
	m.waitForQuorum()

	m.Links.Set(func(from, _ int, link *emulator.MemberLink) { link.Cut = from == 1 }) // its outgoing messages are lost, the incoming ones arrive
	m.waitFor("the others notice the member that nobody hears", m.without(1), reportedGone(1))
	m.waitFor("that member knows that it is cut off", []int{1}, func(r fleet.Report) bool { return r.Standing == "apart" })
	m.Links.Set(func(_, _ int, link *emulator.MemberLink) { *link = emulator.MemberLink{} })
	m.waitForQuorum()

	m.restartAll()
	m.waitForQuorum()
	if self := m.report(0).Self; self.Incarnation != 2 {
		t.Errorf("the restarted member is %+v, want incarnation 2", self)
	}
	_ = m.procs[2].Signal(syscall.SIGTERM)
	m.waitFor("the others know that a member has left as planned", m.without(2), func(r fleet.Report) bool { return cluster.MemberState(r, "n2") == "left" && r.Standing == "together" })
	<-m.procs[2].Exited()
}

// TestAdminStateOutlivesMachines takes a balancer out of service, then loses machine after machine with its disk, the balancer's first, and
// kills the whole fleet at once. It guards against a balancer that forgets its admin state and takes clients, and against a record on fewer
// machines than its replication promises.
func TestAdminStateOutlivesMachines(t *testing.T) {
	m := newTestFleet(t, 5, false)
	m.waitFor("every shard has its replicas", m.all, repaired)
	putAndExpectLog := func(i int, path, want string) {
		t.Helper()
		if code, text, err := m.procs[i].Call("PUT", path); code != 200 {
			t.Fatal(code, text, err)
		}
		m.waitForMemberLog(i, want)
	}
	expectStart := func(i int, want string) {
		t.Helper()
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			code, text, err := m.procs[i].Call("GET", "/control/ready")
			if err == nil && !strings.Contains(text, "starting") {
				if !strings.Contains(text, want) {
					t.Fatalf("n%d starts with %d %s, want %q: %s", i, code, text, want, m.procs[i].LogTail())
				}
				return
			}
			if time.Now().After(end) {
				t.Fatal(m.procs[i].LogTail())
			}
		}
	}
	putAndExpectLog(3, "/control/out-of-service", `"fleet: admin state stored"`)
	for _, lost := range []int{3, 0, 4, 1} {
		was := m.report(lost)
		if err := m.LoseMachine(lost); err != nil {
			t.Fatal(err)
		}
		if err := m.procs[lost].Launch(); err != nil {
			t.Fatal(err)
		}
		expectStart(lost, map[bool]string{true: "out of service", false: "yes"}[lost == 3])
		m.waitFor(fmt.Sprintf("the replicas that n%d had are copied to other members", lost), m.all, func(r fleet.Report) bool {
			old := slices.IndexFunc(r.Others, func(o fleet.MemberReport) bool { return o.ID == was.Self.ID && o.State == "here" })
			return cluster.SeesQuorumOf(5)(r) && repaired(r) && r.Store.Epoch > was.Store.Epoch && r.Store.Members == 5 && old < 0
		})
	}
	// A member that shuts down hands its replicas over before it exits.
	_ = m.procs[2].Signal(syscall.SIGTERM)
	<-m.procs[2].Exited()
	if tail := m.procs[2].LogTail(); !strings.Contains(tail, `"fleet: handed over","name":"n2","all":true`) {
		t.Errorf("n2 exited without handing over all its replicas: %s", tail)
	}
	// A shard has four replicas while the new one is in place and the leaving one is not yet removed, and a member learns of the agreed change
	// a moment after the one that left did. No member may ever see a shard with fewer than three replicas, or one that stays at four.
	m.waitFor("every shard has its replicas after a member has left", m.without(2), func(r fleet.Report) bool {
		if r.Store == nil {
			return false
		}
		for replicas, shards := range r.Store.ShardsByReplicas {
			if replicas < 3 {
				t.Errorf("%d shards have %d replicas after a member has left as planned, want 3 or more", shards, replicas)
			}
		}
		return repaired(r) && r.Store.Members == 4
	})
	m.restartAll()
	expectStart(3, "out of service")
	putAndExpectLog(3, "/control/in-service", `"out":false,"version":2`)
	m.procs[3].Kill()
	if err := m.procs[3].Launch(); err != nil {
		t.Fatal(err)
	}
	expectStart(3, "yes")
	expectStart(4, "yes") // it was restarted as well, and its readiness has not been requested since
	if code := runCommand([]string{"fleet", "status", m.procs[4].AdminAddr}); code != 0 {
		t.Errorf("fleet status: exit code %d, want 0", code)
	}
	if code := runCommand([]string{"fleet", "verify", m.DataDir(4)}); code != 1 {
		t.Errorf("fleet verify of a directory in use: exit code %d, want 1", code)
	}
	m.procs[4].Kill()
	if code := runCommand([]string{"fleet", "verify", m.DataDir(4)}); code != 0 {
		t.Errorf("fleet verify: exit code %d, want 0", code)
	}
}

// TestNoRequestIsServedTwiceOverBalancers has 200 non-idempotent sessions in flight when their balancer is lost with its disk, and sends each
// request again to another balancer. It guards against a request of a replicated class that runs twice. The same with a class that is not
// replicated shows that the count can be above 0.
func TestNoRequestIsServedTwiceOverBalancers(t *testing.T) {
	const requests = 200
	a := newAgent(t)
	script := listFourServers(t, a, 4*requests)
	m := newTestFleetWithBlocks(t, 5, false, "hold \"intents\" { grades = [\"pay\"] }\n", a)
	m.waitFor("every shard has its replicas", m.all, repaired)
	for _, p := range m.procs {
		if err := p.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	request := func(i int, class string, id int) *testClient {
		c, err := net.Dial("tcp", m.procs[i].Addr)
		if err != nil {
			t.Fatal(err)
		}
		script.KeepOpen(c)
		one := &testClient{c, bufio.NewReader(c), t}
		one.write(fmt.Sprintf(openLineFormat, id, class, id))
		return one
	}
	runsByID := map[string]int{} // number of first lines that reached a server, by session ID
	session := func() *emulator.Session {
		select {
		case e := <-script.Sessions:
			runsByID[strings.Fields(e.First)[1]]++
			return e
		case <-time.After(testTimeout):
			t.Fatalf("timed out waiting for a request at a server; %d sessions ran so far", len(runsByID))
			return nil
		}
	}
	// A repeated request gets the same answer.
	for id := 1; id <= 5; id++ {
		first := request(1, "pay", id)
		_, _ = io.WriteString(session(), fmt.Sprintf("UP %d\r\n", id))
		first.expectLine(fmt.Sprintf("UP %d\r\n", id))
		request(2, "pay", id).expectLine(fmt.Sprintf("UP %d\r\n", id))
	}
	for lost, class := range []string{"pay", "order"} {
		base := 1000 * (lost + 1)
		for id := range requests {
			request(lost, class, base+id)
		}
		for range requests {
			session()
		}
		if err := m.LoseMachine(lost); err != nil {
			t.Fatal(err)
		}
		began, slowest := time.Now(), time.Duration(0)
		var again []*testClient
		for id := range requests {
			again = append(again, request(2+id%3, class, base+id))
		}
		if class == "pay" {
			var all sync.WaitGroup
			var busyAnswers, wrong atomic.Int64
			var longest atomic.Int64
			for id, one := range again {
				all.Go(func() {
					got := one.lineIfAny()
					// The shard's primary didn't answer in time: the client tries again.
					for ; strings.HasPrefix(got, "BUSY ") && time.Since(began) < testTimeout; busyAnswers.Add(1) {
						time.Sleep(100 * time.Millisecond)
						got = requestOnce(m.procs[2+id%3].Addr, class, base+id)
					}
					if got != "ERR\r\n" {
						wrong.Add(1)
					}
					for took := int64(time.Since(began)); ; {
						if was := longest.Load(); was >= took || longest.CompareAndSwap(was, took) {
							return
						}
					}
				})
			}
			all.Wait()
			if slowest = time.Duration(longest.Load()); wrong.Load() > 0 {
				t.Errorf("%d of %d repeated requests got another answer than ERR", wrong.Load(), requests)
			}
			t.Logf("%d BUSY answers until the lost member's shards had another primary", busyAnswers.Load())
		} else {
			for range requests {
				session()
			}
		}
		twice := 0
		for _, n := range runsByID {
			if n > 1 {
				twice++
			}
		}
		if want := map[string]int{"pay": 0, "order": requests}[class]; twice != want {
			t.Errorf("%s: %d of %d requests ran twice, want %d", class, twice, requests, want)
		}
		t.Logf("%s: %d of %d requests ran twice; all answered after %v", class, twice, requests, slowest)
	}
}

// TestAStartWhileDiscoveryIsSilent starts a balancer without a list of its own while discovery sends nothing: the fleet has a recent list, an old
// one of which most servers are gone, or one that is too old, or there is no fleet. It guards against a balancer that waits for discovery although
// it can recover a list, and against one that sends sessions to the servers of an old list unchecked.
func TestAStartWhileDiscoveryIsSilent(t *testing.T) {
	for _, c := range []struct {
		name, extraSettings string
		served              bool
		candidates          bool
	}{
		{"young", "", true, false},
		{"old", "list_young = \"0s\"", true, true},
		{"too old", "list_young = \"0s\"\nlist_old = \"0s\"", false, false},
		{"no fleet", "", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := newAgent(t)
			script := emulator.NewScript(50, 4*testTimeout)
			t.Cleanup(script.Close)
			addr, err := script.Listen("s-1")
			if err != nil {
				t.Fatal(err)
			}
			a.Set(newEndpoint("s-1", addr, emulator.InService))
			drains, err := script.Listen("s-2")
			if err != nil {
				t.Fatal(err)
			}
			a.Set(newEndpoint("s-2", drains, emulator.Terminating))
			if c.candidates { // only with an old list: servers of a recent one would be tried without a check
				for _, uid := range []string{"dead-1", "dead-2", "dead-3"} {
					a.Set(newEndpoint(uid, closedAddress(t), emulator.InService))
				}
			}
			m := newTestFleetWithSettings(t, 3, false, c.extraSettings, "", a)
			m.waitFor("the list is stored in the fleet", m.all, func(r fleet.Report) bool { return repaired(r) && r.Store.Records > 0 })
			a.Misbehave(emulator.Unresponsive)
			p := m.procs[2]
			if c.name == "no fleet" {
				p = m.newStandaloneBalancer(a)
			}
			p.Kill()
			text := nodeConfig(p.Name, p, a, 5)
			from := strings.Index(string(text), `"known":`)
			to := strings.Index(string(text), `,"settings"`)
			if err := p.WriteConfig([]byte(string(text[:from]) + `"known":{"rev":0,"all":false,"targets":[]}` + string(text[to:]))); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			if err := p.Launch(); err != nil {
				t.Fatal(err)
			}
			if err := p.WaitReady(); err != nil {
				t.Fatal(err)
			}
			ready := time.Since(began)
			conn, err := net.Dial("tcp", p.Addr)
			if err != nil {
				t.Fatal(err)
			}
			script.KeepOpen(conn)
			one := &testClient{conn, bufio.NewReader(conn), t}
			one.write("OPEN 00000000000000a1 7f3a9c21e0b4d655 c=feed,t=acme,d=1500,g=1\r\n")
			if !c.served {
				if got := one.line(); !strings.HasPrefix(got, "BUSY") {
					t.Errorf("a client of a balancer without a list got %q, want BUSY", got)
				}
				t.Logf("ready after %v, rejected", ready)
				return
			}
			select {
			case e := <-script.Sessions:
				if e.UID != "s-1" {
					t.Errorf("the session went to %s, which drains, want s-1", e.UID)
				}
				_, _ = io.WriteString(e, "UP 1\r\n")
			case <-time.After(testTimeout):
				t.Fatal("no server got the session")
			}
			one.expectLine("UP 1\r\n")
			t.Logf("ready after %v, served after %v", ready, time.Since(began))
			_ = p.Signal(syscall.SIGUSR1)
			m.waitForLog(p, `"why":"asked"`)
			tail := p.LogTail()
			tail = tail[strings.LastIndex(tail, `"why":"asked"`):]
			if none := strings.Contains(tail, `"candidates":0`); none == c.candidates || !strings.Contains(tail, `"ended-connect-failed":0`) {
				t.Errorf("candidates checked: %v, want %v, and no attempt at an absent server: %s", !none, c.candidates, tail)
			}
		})
	}
}

// TestAHotRestartIsOneMember starts a successor beside a member's process. It guards against two members for one balancer, and against a hot restart
// that the other members take for a failure or a leave.
func TestAHotRestartIsOneMember(t *testing.T) {
	m := newTestFleet(t, 3, true)
	was := m.report(1).Self
	successor, err := m.procs[1].Successor()
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
	if r, err := successor.Fleet(); err != nil || r.Member || r.Reason == "" {
		t.Fatalf("the successor is a member beside its predecessor: %+v, %v", r, err)
	}
	_ = m.procs[1].Signal(syscall.SIGTERM)
	<-m.procs[1].Exited()
	m.procs[1] = successor
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if r, err := successor.Fleet(); err == nil && cluster.SeesQuorumOf(3)(r) {
			if r.Self.ID != was.ID || r.Self.Incarnation != was.Incarnation+1 {
				t.Fatalf("the successor is %+v after %+v, want the same ID and the next incarnation", r.Self, was)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal(successor.LogTail())
		}
	}
	m.waitFor("the others know the successor", []int{0, 2}, func(r fleet.Report) bool {
		return slices.ContainsFunc(r.Others, func(o fleet.MemberReport) bool { return o.ID == was.ID && o.Incarnation == was.Incarnation+1 })
	})
	for _, i := range []int{0, 2} {
		if tail := m.procs[i].LogTail(); strings.Contains(tail, "fleet: member failed") || strings.Contains(tail, "fleet: member left") {
			t.Errorf("another member took the hot restart for a failure or a leave: %s", tail)
		}
	}
}

// TestWithoutAFileThereIsNoFleet looks at a process's descriptors and goroutines with a fleet file and without. It guards against a balancer outside
// a fleet that pays for one.
func TestWithoutAFileThereIsNoFleet(t *testing.T) {
	m := newTestFleet(t, 2, false)
	standalone := m.startStandaloneBalancer()
	count := func(p *cluster.Process) (fds, fleet int) {
		dir := fmt.Sprintf("/proc/%d/fd", p.Pid())
		all, err := os.ReadDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range all { // counted by name, as connections to the admin address or to discovery come and go
			if to, _ := os.Readlink(filepath.Join(dir, e.Name())); strings.Contains(to, "data-") {
				fleet++
			}
		}
		return len(all), fleet
	}
	_, on := count(m.procs[0])
	_, none := count(standalone)
	if on != 2 || none != 0 {
		t.Errorf("descriptors of a fleet's data directory: %d with a fleet file, %d without, want 2 and 0", on, none)
	}
	for _, c := range []struct {
		p    *cluster.Process
		want bool
	}{{m.procs[0], true}, {standalone, false}} {
		_ = c.p.Signal(syscall.SIGQUIT) // prints the stack of each goroutine and ends the process
		<-c.p.Exited()
		text := c.p.LogTail()
		if !strings.Contains(text, "internal/balancer.(*Loop).Run") {
			t.Fatalf("no stacks of goroutines in the output: %s", text)
		}
		if has := strings.Contains(text, "sabletally/internal/fleet") || strings.Contains(text, "hashicorp/memberlist"); has != c.want {
			t.Errorf("goroutines of the fleet packages: %v, want %v", has, c.want)
		}
	}
}

// TestABadFleetFileNamesItsPlace starts the program with invalid fleet files, and with a data directory that another process uses. It must exit
// with code 2 and an error that names the place or the reason.
func TestABadFleetFileNamesItsPlace(t *testing.T) {
	m := newTestFleet(t, 2, false)
	dir := t.TempDir()
	text, err := os.ReadFile(filepath.Join(filepath.Dir(m.DataDir(0)), "fleet-0.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "f.hcl")
	for _, c := range []struct{ old, new, want string }{
		{"copies    = 3", "copies    = 30", "f.hcl:6:15: copies: 30 lies outside 1 to 7"},
		{"machine   = \"m0\"", "machine   = \"m8\"", "belongs to machine \\\"m0\\\""},
		{"", "", "in use by another process"},
	} {
		if err := os.WriteFile(file, []byte(strings.Replace(string(text), c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if c.old != "" { // the lock on the directory is checked before the machine
			m.procs[0].Kill()
		} else if err := m.procs[0].Start(); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "SABLETALLY_CHILD=1", "SABLETALLY_FLEET="+file, "EDGE_CONFIG="+filepath.Join(filepath.Dir(m.DataDir(0)), "n0.json"),
			"EDGE_LISTEN=127.0.0.1:0")
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != 2 || !strings.Contains(string(out), c.want) {
			t.Errorf("exit code %d, %s; want code 2 and %q", code, out, c.want)
		}
	}
}
