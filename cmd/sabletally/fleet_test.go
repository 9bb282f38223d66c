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

// These tests start several processes of the program as members of a fleet and put faults between them.

// TestAFleetThroughFaults stops, kills and cuts off members of five, loses a machine with its disk and starts the whole fleet again. Members
// must find each other again, a lost disk's member must not be taken for the old one, and a stopped one must not go on as if nothing had been.
func TestAFleetThroughFaults(t *testing.T) {
	m := newTestFleet(t, 5, false)
	gone := func(i int) func(fleet.Report) bool {
		return func(r fleet.Report) bool {
			return cluster.MemberState(r, fmt.Sprintf("n%d", i)) == "gone" && r.Standing == "together"
		}
	}

	m.Links.Set(func(_, _ int, tie *emulator.MemberLink) {
		*tie = emulator.MemberLink{Loss: 0.3, Duplicated: 0.3, Delay: 20 * time.Millisecond}
	})
	suspend(t, m.procs[4])
	m.waitFor("the stopped one is missed, over bad ways", m.without(4), gone(4))
	_ = m.procs[4].Signal(syscall.SIGCONT)
	m.Links.Set(func(_, _ int, tie *emulator.MemberLink) { *tie = emulator.MemberLink{} })
	m.waitForQuorum()
	if r := m.report(4); r.Pauses == 0 || r.Self.Incarnation != 1 {
		t.Errorf("the one that was stopped knows of no stall: %+v", r)
	}

	was := m.report(3).Self.ID
	if err := m.LoseMachine(3); err != nil {
		t.Fatal(err)
	}
	m.waitFor("the lost one is missed", m.without(3), gone(3))
	if err := m.procs[3].Launch(); err != nil {
		t.Fatal(err)
	}
	m.waitForQuorum()
	if is := m.report(3).Self; is.ID == was || is.Incarnation != 1 {
		t.Errorf("a member that lost its disk came back as itself: %+v", is)
	}
	m.waitFor("the old one is known for lost for good", m.without(3), func(r fleet.Report) bool {
		return slices.ContainsFunc(r.Others, func(o fleet.MemberReport) bool { return o.ID == was && o.State == "gone" && o.ReplacedBy != "" })
	})

	m.Links.Set(func(from, to int, tie *emulator.MemberLink) { tie.Cut = from < 2 != (to < 2) })
	m.waitFor("two stand apart", []int{0, 1}, func(r fleet.Report) bool { return r.Standing == "apart" && r.Alive == 2 })
	m.waitFor("three go on", []int{2, 3, 4}, cluster.SeesQuorumOf(3))
	m.Links.Set(func(_, _ int, tie *emulator.MemberLink) { *tie = emulator.MemberLink{} })
	m.waitForQuorum()

	m.Links.Set(func(from, _ int, tie *emulator.MemberLink) { tie.Cut = from == 1 }) // what it sends is lost, what it is sent is not
	m.waitFor("one that nobody hears is missed", m.without(1), gone(1))
	m.waitFor("and knows that it is apart", []int{1}, func(r fleet.Report) bool { return r.Standing == "apart" })
	m.Links.Set(func(_, _ int, tie *emulator.MemberLink) { *tie = emulator.MemberLink{} })
	m.waitForQuorum()

	m.startAgain()
	m.waitForQuorum()
	if is := m.report(0).Self; is.Incarnation != 2 {
		t.Errorf("%+v", is)
	}
	_ = m.procs[2].Signal(syscall.SIGTERM)
	m.waitFor("one that leaves says so", m.without(2), func(r fleet.Report) bool { return cluster.MemberState(r, "n2") == "left" && r.Standing == "together" })
	<-m.procs[2].Exited()
}

// TestAdminStateOutlivesMachines takes a balancer out of service, then loses machine after machine with its disk, the balancer's first, and
// kills the whole fleet at once. The balancer must not start and take clients, and no record may be on fewer machines than was promised.
func TestAdminStateOutlivesMachines(t *testing.T) {
	m := newTestFleet(t, 5, false)
	m.waitFor("every slot has its holders", m.all, repaired)
	say := func(i int, path, want string) {
		t.Helper()
		if code, text, err := m.procs[i].Call("PUT", path); code != 200 {
			t.Fatal(code, text, err)
		}
		m.logs(i, want)
	}
	starts := func(i int, want string) {
		t.Helper()
		for end := time.Now().Add(bound); ; time.Sleep(5 * time.Millisecond) {
			code, text, err := m.procs[i].Call("GET", "/control/ready")
			if err == nil && !strings.Contains(text, "starting") {
				if !strings.Contains(text, want) {
					t.Fatalf("n%d starts with %d %s, wanted %q: %s", i, code, text, want, m.procs[i].LogTail())
				}
				return
			}
			if time.Now().After(end) {
				t.Fatal(m.procs[i].LogTail())
			}
		}
	}
	say(3, "/control/out-of-service", `"fleet: admin state stored"`)
	for _, lost := range []int{3, 0, 4, 1} {
		was := m.report(lost)
		if err := m.LoseMachine(lost); err != nil {
			t.Fatal(err)
		}
		if err := m.procs[lost].Launch(); err != nil {
			t.Fatal(err)
		}
		starts(lost, map[bool]string{true: "out of service", false: "yes"}[lost == 3])
		m.waitFor(fmt.Sprintf("what n%d held is copied anew", lost), m.all, func(r fleet.Report) bool {
			old := slices.IndexFunc(r.Others, func(o fleet.MemberReport) bool { return o.ID == was.Self.ID && o.State == "here" })
			return cluster.SeesQuorumOf(5)(r) && repaired(r) && r.Store.Epoch > was.Store.Epoch && r.Store.Members == 5 && old < 0
		})
	}
	// One that leaves as planned hands over before it ends.
	_ = m.procs[2].Signal(syscall.SIGTERM)
	<-m.procs[2].Exited()
	if tail := m.procs[2].LogTail(); !strings.Contains(tail, `"fleet: handed over","name":"n2","all":true`) {
		t.Errorf("it left with what it held: %s", tail)
	}
	// A slot has four for as long as one that has joined is a holder and the one that leaves is not yet none; and a member hears of
	// what is agreed a moment after the one that has left did. None may see one of fewer than three, or see four for good.
	m.waitFor("after one has left", m.without(2), func(r fleet.Report) bool {
		if r.Store == nil {
			return false
		}
		for holders, slots := range r.Store.ShardsByReplicas {
			if holders < 3 {
				t.Errorf("%d slots have %d holders after one has left as planned", slots, holders)
			}
		}
		return repaired(r) && r.Store.Members == 4
	})
	m.startAgain()
	starts(3, "out of service")
	say(3, "/control/in-service", `"out":false,"version":2`)
	m.procs[3].Kill()
	if err := m.procs[3].Launch(); err != nil {
		t.Fatal(err)
	}
	starts(3, "yes")
	starts(4, "yes") // it was started anew too, and nobody has asked it yet
	if code := runCommand([]string{"fleet", "status", m.procs[4].AdminAddr}); code != 0 {
		t.Errorf("status: exit %d", code)
	}
	if code := runCommand([]string{"fleet", "verify", m.DataDir(4)}); code != 1 {
		t.Errorf("verify of a directory that a process has: exit %d", code)
	}
	m.procs[4].Kill()
	if code := runCommand([]string{"fleet", "verify", m.DataDir(4)}); code != 0 {
		t.Errorf("verify: exit %d", code)
	}
}

// TestNoRequestIsServedTwiceOverBalancers has 200 non-idempotent sessions in flight when their balancer is lost with its disk, and sends each
// request again elsewhere: of a class that is replicated, and of one that is not, which shows that the count can be above 0.
func TestNoRequestIsServedTwiceOverBalancers(t *testing.T) {
	const many = 200
	a := agent(t)
	script := fourServers(t, a, 4*many)
	m := newTestFleetWith(t, 5, false, "hold \"intents\" { grades = [\"pay\"] }\n", a)
	m.waitFor("every slot has its holders", m.all, repaired)
	for _, p := range m.procs {
		if err := p.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	asks := func(i int, grade string, id int) *testClient {
		c, err := net.Dial("tcp", m.procs[i].Addr)
		if err != nil {
			t.Fatal(err)
		}
		script.Hold(c)
		one := &testClient{c, bufio.NewReader(c), t}
		one.write(fmt.Sprintf(openOf, id, grade, id))
		return one
	}
	ran := map[string]int{} // by id: first lines that came to a server
	session := func() *emulator.Session {
		select {
		case e := <-script.Sessions:
			ran[strings.Fields(e.First)[1]]++
			return e
		case <-time.After(bound):
			t.Fatalf("only %d ran", len(ran))
			return nil
		}
	}
	// A repeat gets the same answer.
	for id := 1; id <= 5; id++ {
		first := asks(1, "pay", id)
		_, _ = io.WriteString(session(), fmt.Sprintf("UP %d\r\n", id))
		first.expectLine(fmt.Sprintf("UP %d\r\n", id))
		asks(2, "pay", id).expectLine(fmt.Sprintf("UP %d\r\n", id))
	}
	for lost, grade := range []string{"pay", "order"} {
		base := 1000 * (lost + 1)
		for id := range many {
			asks(lost, grade, base+id)
		}
		for range many {
			session()
		}
		if err := m.LoseMachine(lost); err != nil {
			t.Fatal(err)
		}
		began, slowest := time.Now(), time.Duration(0)
		var again []*testClient
		for id := range many {
			again = append(again, asks(2+id%3, grade, base+id))
		}
		if grade == "pay" {
			var all sync.WaitGroup
			var nacked, wrong atomic.Int64
			var longest atomic.Int64
			for id, one := range again {
				all.Go(func() {
					got := one.lastLine()
					for ; strings.HasPrefix(got, "BUSY ") && time.Since(began) < bound; nacked.Add(1) { // no promise in time: it comes again
						time.Sleep(100 * time.Millisecond)
						got = requestOnce(m.procs[2+id%3].Addr, grade, base+id)
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
				t.Errorf("%d of %d asked again were answered in another way than broken off", wrong.Load(), many)
			}
			t.Logf("%d nacks until the lost one's slots had another primary", nacked.Load())
		} else {
			for range many {
				session()
			}
		}
		twice := 0
		for _, n := range ran {
			if n > 1 {
				twice++
			}
		}
		if want := map[string]int{"pay": 0, "order": many}[grade]; twice != want {
			t.Errorf("%s: %d of %d ran twice, wanted %d", grade, twice, many, want)
		}
		t.Logf("%s: %d of %d ran twice; all answered after %v", grade, twice, many, slowest)
	}
}

// TestAStartWhileDiscoveryIsSilent starts a balancer without a list while discovery says nothing: with a recent recovered list, with an old one
// of which most servers are gone, with one that is too old, and without a fleet. It must not wait for discovery with servers at hand, nor send
// to the servers of an old list unchecked.
func TestAStartWhileDiscoveryIsSilent(t *testing.T) {
	for _, c := range []struct {
		name, less string
		served     bool
		candidates bool
	}{
		{"young", "", true, false},
		{"old", "list_young = \"0s\"", true, true},
		{"too old", "list_young = \"0s\"\nlist_old = \"0s\"", false, false},
		{"no fleet", "", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := agent(t)
			script := emulator.NewScript(50, 4*bound)
			t.Cleanup(script.Close)
			addr, err := script.Listen("s-1")
			if err != nil {
				t.Fatal(err)
			}
			a.Set(entry("s-1", addr, emulator.InService))
			drains, err := script.Listen("s-2")
			if err != nil {
				t.Fatal(err)
			}
			a.Set(entry("s-2", drains, emulator.Terminating))
			if c.candidates { // a young list is as good as discovery's: these would be tried
				for _, uid := range []string{"dead-1", "dead-2", "dead-3"} {
					a.Set(entry(uid, closedAddress(t), emulator.InService))
				}
			}
			m := newTestFleetOf(t, 3, false, c.less, "", a)
			m.waitFor("the list is held", m.all, func(r fleet.Report) bool { return repaired(r) && r.Store.Records > 0 })
			a.Misbehave(emulator.Unresponsive)
			p := m.procs[2]
			if c.name == "no fleet" {
				p = m.unstarted(a)
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
			script.Hold(conn)
			one := &testClient{conn, bufio.NewReader(conn), t}
			one.write("OPEN 00000000000000a1 7f3a9c21e0b4d655 c=feed,t=acme,d=1500,g=1\r\n")
			if !c.served {
				if got := one.line(); !strings.HasPrefix(got, "BUSY") {
					t.Errorf("served without a list: %q", got)
				}
				t.Logf("ready after %v, rejected", ready)
				return
			}
			select {
			case e := <-script.Sessions:
				if e.UID != "s-1" {
					t.Errorf("sent to %s, which drains", e.UID)
				}
				_, _ = io.WriteString(e, "UP 1\r\n")
			case <-time.After(bound):
				t.Fatal("no server was asked")
			}
			one.expectLine("UP 1\r\n")
			t.Logf("ready after %v, served after %v", ready, time.Since(began))
			_ = p.Signal(syscall.SIGUSR1)
			m.logsOf(p, `"why":"asked"`)
			tail := p.LogTail()
			tail = tail[strings.LastIndex(tail, `"why":"asked"`):]
			if none := strings.Contains(tail, `"candidates":0`); none == c.candidates || !strings.Contains(tail, `"ended-connect-failed":0`) {
				t.Errorf("candidates asked %v, wanted %v, and no try at an absent server: %s", !none, c.candidates, tail)
			}
		})
	}
}

// TestAHotRestartIsOneMember starts a new process beside a member's. There must be one member of one balancer at all times.
func TestAHotRestartIsOneMember(t *testing.T) {
	m := newTestFleet(t, 3, true)
	was := m.report(1).Self
	young, err := m.procs[1].Successor()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(young.Kill)
	if err := young.Launch(); err != nil {
		t.Fatal(err)
	}
	if err := young.WaitReady(); err != nil {
		t.Fatal(err)
	}
	if r, err := young.Fleet(); err != nil || r.Member || r.Reason == "" {
		t.Fatalf("two processes are the member: %+v, %v", r, err)
	}
	_ = m.procs[1].Signal(syscall.SIGTERM)
	<-m.procs[1].Exited()
	m.procs[1] = young
	for end := time.Now().Add(bound); ; time.Sleep(10 * time.Millisecond) {
		if r, err := young.Fleet(); err == nil && cluster.SeesQuorumOf(3)(r) {
			if r.Self.ID != was.ID || r.Self.Incarnation != was.Incarnation+1 {
				t.Fatalf("%+v after %+v", r.Self, was)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal(young.LogTail())
		}
	}
	m.waitFor("the others know the new process", []int{0, 2}, func(r fleet.Report) bool {
		return slices.ContainsFunc(r.Others, func(o fleet.MemberReport) bool { return o.ID == was.ID && o.Incarnation == was.Incarnation+1 })
	})
	for _, i := range []int{0, 2} {
		if tail := m.procs[i].LogTail(); strings.Contains(tail, "fleet: member failed") || strings.Contains(tail, "fleet: member left") {
			t.Errorf("it was missed meanwhile: %s", tail)
		}
	}
}

// TestWithoutAFileThereIsNoFleet counts a process's descriptors and goroutines with a fleet file and without.
func TestWithoutAFileThereIsNoFleet(t *testing.T) {
	m := newTestFleet(t, 2, false)
	off := m.startOutsider()
	count := func(p *cluster.Process) (fds, fleet int) {
		dir := fmt.Sprintf("/proc/%d/fd", p.Pid())
		all, err := os.ReadDir(dir)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range all { // what lives for a moment only: connections of a call or to discovery
			if to, _ := os.Readlink(filepath.Join(dir, e.Name())); strings.Contains(to, "data-") {
				fleet++
			}
		}
		return len(all), fleet
	}
	_, on := count(m.procs[0])
	_, none := count(off)
	if on != 2 || none != 0 {
		t.Errorf("descriptors of a fleet's directory: %d with a file, %d without", on, none)
	}
	for _, c := range []struct {
		p    *cluster.Process
		want bool
	}{{m.procs[0], true}, {off, false}} {
		_ = c.p.Signal(syscall.SIGQUIT) // which writes where each goroutine is, and ends it
		<-c.p.Exited()
		text := c.p.LogTail()
		if !strings.Contains(text, "internal/balancer.(*Loop).Run") {
			t.Fatalf("no goroutines are told: %s", text)
		}
		if has := strings.Contains(text, "sabletally/internal/fleet") || strings.Contains(text, "hashicorp/memberlist"); has != c.want {
			t.Errorf("goroutines of a fleet: %v, wanted %v", has, c.want)
		}
	}
}

// TestABadFleetFileNamesItsPlace starts the program with faulty files, and with a directory that another process uses.
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
		if c.old != "" { // the lock is looked at first
			m.procs[0].Kill()
		} else if err := m.procs[0].Start(); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "SABLETALLY_CHILD=1", "SABLETALLY_FLEET="+file, "EDGE_CONFIG="+filepath.Join(filepath.Dir(m.DataDir(0)), "n0.json"),
			"EDGE_LISTEN=127.0.0.1:0")
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != 2 || !strings.Contains(string(out), c.want) {
			t.Errorf("exit %d, %s; wanted %q", code, out, c.want)
		}
	}
}
