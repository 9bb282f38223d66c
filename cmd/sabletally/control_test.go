package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/subscriber"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// These tests start control processes, and balancers that follow them: real ones, and subscribers in this process.

// TestSubscribersThroughFaults kills, stops, cuts off and loses control processes under ten subscribers and two balancers. A change must be
// everywhere in time; no subscriber may take old state for new, go back or stay with a control process that is lost; and after a restart not
// everybody may need a snapshot.
func TestSubscribersThroughFaults(t *testing.T) {
	m := newControlFleet(t, 5, 3, 10)
	m.balancer("b0", "b0", false)
	m.balancer("b1", "b1", false)
	all := m.each(current)
	fit := func(f *fleet.SubscriberReport) bool { return f.Current && len(f.Publishers) == 2 }
	m.waitWithin("all follow two", bound, all)
	m.waitWithin("the balancers as well", bound, m.following(fit))
	m.everywhere(3, "config/limits", "one")

	// One is killed: whoever followed it is elsewhere within the lease, and was current all the while.
	lost, most := 0, 0
	for i := range m.control {
		if r, err := m.control[i].Fleet(); err == nil && r.Publisher.Subscribers > most {
			lost, most = i, r.Publisher.Subscribers
		}
	}
	lapses := func() (n uint64) {
		for _, f := range m.followers {
			n += f.Status().Stats.LeaseExpiries
		}
		return n
	}
	was := lapses()
	m.control[lost].Kill()
	away := m.Links.Advertised(lost).String()
	m.waitWithin(fmt.Sprintf("c%d is lost, which %d follow: they are elsewhere", lost, most), changefeed.DefaultLease, m.each(func(s subscriber.Status) bool {
		return current(s) && !slices.Contains(s.Publishers, away)
	}))
	if now := lapses(); now != was {
		t.Errorf("%d followers were not current meanwhile", now-was)
	}
	m.everywhere((lost+1)%5, "config/limits", "two")
	if err := m.control[lost].Launch(); err != nil {
		t.Fatal(err)
	}
	m.waitFor("it is back", m.all, cluster.SeesQuorumOf(5))

	// One is stopped, sleeps over changes and its followers' leases, and wakes on old state.
	stopped := (lost + 2) % 5
	suspend(t, m.control[stopped])
	asleep := m.Links.Advertised(stopped).String()
	m.waitWithin("its followers are elsewhere", changefeed.DefaultLease, m.each(func(s subscriber.Status) bool { return current(s) && !slices.Contains(s.Publishers, asleep) }))
	m.everywhere((stopped+1)%5, "config/limits", "three")
	_ = m.control[stopped].Signal(syscall.SIGCONT)
	m.waitFor("it has what it missed", m.all, func(r fleet.Report) bool {
		return cluster.SeesQuorumOf(5)(r) && r.Publisher.Age >= 0 && r.Publisher.Age < changefeed.DefaultLease.Seconds()
	})
	m.everywhere(stopped, "config/limits", "four")

	// A follower is cut off, and knows that by itself.
	alone := m.followers[4]
	m.Links.Set(func(from, to int, tie *emulator.MemberLink) { tie.Cut = from == alone.at || to == alone.at })
	m.waitWithin("one that is cut off says so", changefeed.DefaultLease, func() error {
		if s := alone.Status(); s.Current {
			return fmt.Errorf("%+v", s)
		}
		return nil
	})
	m.everywhere(0, "config/limits", "five", alone)
	if v, _ := alone.Get("config/limits"); string(v) != "four" {
		t.Errorf("cut off it has %q", v)
	}
	before := alone.Status().Stats.Snapshots
	m.Links.Set(func(_, _ int, tie *emulator.MemberLink) { *tie = emulator.MemberLink{} })
	m.waitWithin("it is current again", bound, all)
	if s := alone.Status(); s.Stats.Snapshots != before {
		t.Errorf("it was sent %d snapshots for a change that was kept", s.Stats.Snapshots-before)
	}

	// All are killed at once and started again. Who has the version is sent no snapshot.
	snapshots := func() (n uint64) {
		for _, f := range m.followers {
			n += f.Status().Stats.Snapshots
		}
		return n
	}
	m.waitWithin("all have all", bound, func() error {
		r, err := m.control[0].Fleet()
		if err != nil {
			return err
		}
		return m.each(func(s subscriber.Status) bool { return s.Version == r.Store.Version })()
	})
	had := snapshots()
	for _, p := range m.control {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range m.control {
		p.Kill()
	}
	m.waitWithin("without any nobody is current", changefeed.DefaultLease, m.each(func(s subscriber.Status) bool { return !s.Current }))
	m.waitWithin("nor is a balancer", changefeed.DefaultLease, m.following(func(f *fleet.SubscriberReport) bool { return !f.Current }))
	for _, p := range m.control {
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
	}
	m.waitWithin("all follow again", 2*bound, all)
	if n := snapshots() - had; n != 0 {
		t.Errorf("%d snapshots after all were started again", n)
	}
	m.everywhere(1, "config/limits", "six")

	// Most voters are lost: nobody can tell any more whether there is something newer.
	m.waitFor("five vote", m.all, func(r fleet.Report) bool { return r.Store.Voters == 5 })
	for _, p := range m.control[:3] {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range m.control[:3] {
		p.Kill()
	}
	m.waitWithin("with most voters lost nobody is current", changefeed.DefaultLease, m.each(func(s subscriber.Status) bool { return !s.Current }))
	m.waitWithin("nor is a balancer", changefeed.DefaultLease, m.following(func(f *fleet.SubscriberReport) bool { return !f.Current }))
	if code, text, err := m.control[4].Call(http.MethodGet, "/control/ready"); err != nil || code != http.StatusServiceUnavailable {
		t.Errorf("c4 is ready with two of five voters: %d %s %v", code, text, err)
	}
	for _, p := range m.control[:3] {
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
	}
	m.waitWithin("all are current again", 2*bound, all)
	m.everywhere(2, "config/limits", "seven")
	for _, address := range []string{m.balancers[0].AdminAddr, m.control[1].AdminAddr} {
		if code := runCommand([]string{"fleet", "status", address}); code != 0 {
			t.Errorf("status of %s: exit %d", address, code)
		}
	}
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"put", m.control[3].AdminAddr, "config/by hand", "x"}, 1},
		{[]string{"put", m.control[3].AdminAddr, "config/by-hand", "x", "--op", "once"}, 0},
		{[]string{"put", m.control[0].AdminAddr, "config/by-hand", "x", "--op", "once"}, 0},
		{[]string{"put", m.control[0].AdminAddr, "config/by-hand", "y", "--if", "0"}, 1},
		{[]string{"get", m.control[3].AdminAddr, "config/none"}, 1},
		{[]string{"put", m.control[0].AdminAddr, "config/by-hand", "--gone"}, 0},
	} {
		if code := runCommand(append([]string{"fleet"}, c.args...)); code != c.code {
			t.Errorf("%q: exit %d, wanted %d", c.args, code, c.code)
		}
	}
}

// TestAdminStateIsKeptByASubscriber takes a balancer out of service that is no member, loses its machine, starts it elsewhere and then restarts
// it hot. It must not take clients, and the hot restart must be one subscriber.
func TestAdminStateIsKeptByASubscriber(t *testing.T) {
	m := newControlFleet(t, 3, 3, 0)
	says := func(p *cluster.Process, want string) {
		t.Helper()
		m.waitWithin(p.Name+" says "+want, bound, func() error {
			code, text, err := p.Call("GET", "/control/ready")
			if err == nil && !strings.Contains(text, want) {
				err = fmt.Errorf("%d %s", code, text)
			}
			return err
		})
	}
	tells := func(p *cluster.Process, path, want string) {
		t.Helper()
		if code, text, err := p.Call("PUT", path); code != 200 {
			t.Fatal(code, text, err)
		}
		m.waitWithin(p.Name+" logs "+want, bound, func() error {
			if !strings.Contains(p.LogTail(), want) {
				return fmt.Errorf("%s", p.LogTail())
			}
			return nil
		})
	}
	p := m.balancer("b", "here", false)
	says(p, "yes")
	tells(p, "/control/out-of-service", `"fleet: admin state stored"`)
	p.Kill()
	m.balancers = nil
	p = m.balancer("b", "there", false)
	says(p, "out of service")
	tells(p, "/control/in-service", `"out":false,"version":2`)
	p.Kill()

	m.balancers = nil
	p = m.balancer("u", "u", true)
	says(p, "yes")
	m.waitWithin("one that is to be upgraded follows", bound, m.following(func(f *fleet.SubscriberReport) bool { return f.Current }))
	was, err := p.Fleet()
	if err != nil {
		t.Fatal(err)
	}
	young, err := p.Successor()
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
		t.Fatalf("two processes are the follower: %+v, %v", r, err)
	}
	_ = p.Signal(syscall.SIGTERM)
	<-p.Exited()
	m.balancers = []*cluster.Process{young}
	m.waitWithin("the new process follows", bound, m.following(func(f *fleet.SubscriberReport) bool { return f.Current }))
	if r, err := young.Fleet(); err != nil || r.Self.ID != was.Self.ID || r.Self.Incarnation != was.Self.Incarnation+1 {
		t.Errorf("%+v after %+v, %v", r.Self, was.Self, err)
	}

	// A control process that ends as planned hands over, and sends its followers elsewhere.
	r, err := young.Fleet()
	if err != nil {
		t.Fatal(err)
	}
	at := slices.IndexFunc(m.seeds(), func(a netip.AddrPort) bool { return a.String() == r.Subscriber.Publishers[0] })
	_ = m.control[at].Signal(syscall.SIGTERM)
	<-m.control[at].Exited()
	if err := m.control[at].Err(); err != nil {
		t.Errorf("c%d ended with %v", at, err)
	}
	m.waitWithin("its follower is elsewhere", changefeed.DefaultLease, m.following(func(f *fleet.SubscriberReport) bool {
		return f.Current && len(f.Publishers) > 0 && !slices.Contains(f.Publishers, r.Subscriber.Publishers[0])
	}))
}

// TestNoRequestIsServedTwiceOverSubscribers has sessions of a replicated class in flight at one balancer that follows, which is lost with its
// disk, and sends each request again to another one.
func TestNoRequestIsServedTwiceOverSubscribers(t *testing.T) {
	const many = 50
	m := newControlFleet(t, 3, 3, 0)
	a := agent(t)
	script := fourServers(t, a, 4*many)
	held := "hold \"intents\" { grades = [\"pay\"] }\n"
	first, second := m.balancerWith("b0", "b0", held, false, a), m.balancerWith("b1", "b1", held, false, a)
	for _, p := range m.balancers {
		if err := p.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	m.waitWithin("both follow", bound, m.following(func(f *fleet.SubscriberReport) bool { return f.Current }))
	asks := func(p *cluster.Process, grade string, id int) *testClient {
		t.Helper()
		c, err := net.Dial("tcp", p.Addr)
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
		t.Helper()
		select {
		case e := <-script.Sessions:
			ran[strings.Fields(e.First)[1]]++
			return e
		case <-time.After(bound):
			t.Fatalf("only %d ran", len(ran))
			return nil
		}
	}
	one := asks(first, "pay", 1)
	_, _ = io.WriteString(session(), "UP 1\r\n")
	one.expectLine("UP 1\r\n")
	asks(second, "pay", 1).expectLine("UP 1\r\n") // a repeat gets the same answer
	for lost, grade := range []string{"pay", "order"} {
		base := 1000 * (lost + 1)
		for id := range many {
			asks(first, grade, base+id)
		}
		for range many {
			session()
		}
		first.Kill()
		var again []*testClient
		for id := range many {
			again = append(again, asks(second, grade, base+id))
		}
		if grade == "pay" {
			for id, one := range again {
				if got := one.lastLine(); got != "ERR\r\n" {
					t.Errorf("pay %d asked again is answered %q", id, got)
				}
			}
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
		if err := first.Launch(); err != nil {
			t.Fatal(err)
		}
		if err := first.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAFileOfAnotherRole starts a balancer with a control process's file, and a control process with others.
func TestAFileOfAnotherRole(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "f.hcl")
	write := func(role string) {
		t.Helper()
		text := fmt.Sprintf("fleet \"lab\" {\n%s\n  seeds = [\"127.0.0.1:1\"]\n  data = %q\n  machine = \"m\"\n  zone = \"z\"\n  site = \"s\"\n}\n", role, filepath.Join(dir, "data"))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	a := agent(t)
	p, err := cluster.NewProcess("n", []string{os.Args[0]}, nil, dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.WriteConfig(nodeConfig("n", p, a, 7)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		role, want string
		args       []string
	}{
		{"  role = \"control\"\n  listen = \"127.0.0.1:1\"", "is not for a balancer: start a control process by sabletally fleet control", nil},
		{"  role = \"balancer\"", `role \"balancer\" is not for a control process`, []string{"fleet", "control", file}},
		{"  listen = \"127.0.0.1:1\"", `role \"\" is not for a control process`, []string{"fleet", "control", file}},
		{"  role = \"controls\"", "f.hcl:2:10: role: \\\"controls\\\" is none of control, balancer", []string{"fleet", "control", file}},
	} {
		write(c.role)
		cmd := exec.Command(os.Args[0], c.args...)
		cmd.Env = append(os.Environ(), "SABLETALLY_CHILD=1", "SABLETALLY_FLEET="+file, "EDGE_CONFIG="+filepath.Join(dir, "n.json"), "EDGE_LISTEN=127.0.0.1:0")
		out, _ := cmd.CombinedOutput()
		want := c.want
		if c.args != nil {
			want = strings.ReplaceAll(want, `\"`, `"`)
		}
		if code := cmd.ProcessState.ExitCode(); code != 2 || !strings.Contains(string(out), want) {
			t.Errorf("%q: exit %d, %s", c.role, code, out)
		}
	}
}
