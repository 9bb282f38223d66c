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

// These tests start control processes, and balancers and in-process subscribers that follow them.

// TestSubscribersThroughFaults kills, stops and restarts control processes of five, with ten subscribers and two balancers, and cuts off a subscriber. It guards against a
// change that arrives late, against a subscriber that takes old state for current, goes back to an older version or stays with a control process
// that is lost, and against snapshots for all subscribers after a restart.
func TestSubscribersThroughFaults(t *testing.T) {
	m := newControlFleet(t, 5, 3, 10)
	m.startBalancer("b0", "b0", false)
	m.startBalancer("b1", "b1", false)
	allCurrent := m.subscribersSatisfy(followsTwoPublishers)
	balancerFollowsTwo := func(f *fleet.SubscriberReport) bool { return f.Current && len(f.Publishers) == 2 }
	m.waitWithin("each subscriber follows two control processes", testTimeout, allCurrent)
	m.waitWithin("each balancer follows two control processes", testTimeout, m.balancersSatisfy(balancerFollowsTwo))
	m.putEverywhere(3, "config/limits", "one")

	// A control process is killed: its subscribers change to others within the lease, and are current all the time.
	lost, most := 0, 0
	for i := range m.control {
		if r, err := m.control[i].Fleet(); err == nil && r.Publisher.Subscribers > most {
			lost, most = i, r.Publisher.Subscribers
		}
	}
	leaseExpiries := func() (n uint64) {
		for _, f := range m.subscribers {
			n += f.Status().Stats.LeaseExpiries
		}
		return n
	}
	was := leaseExpiries()
	m.control[lost].Kill()
	lostAddress := m.Links.Advertised(lost).String()
	m.waitWithin(fmt.Sprintf("c%d is lost: its %d subscribers follow others", lost, most), changefeed.DefaultLease, m.subscribersSatisfy(func(s subscriber.Status) bool {
		return followsTwoPublishers(s) && !slices.Contains(s.Publishers, lostAddress)
	}))
	if now := leaseExpiries(); now != was {
		t.Errorf("%d leases expired, want none: subscribers were not current meanwhile", now-was)
	}
	m.putEverywhere((lost+1)%5, "config/limits", "two")
	if err := m.control[lost].Launch(); err != nil {
		t.Fatal(err)
	}
	m.waitFor("the restarted control process is back", m.all, cluster.SeesQuorumOf(5))

	// A control process is stopped past a change and its subscribers' leases, and goes on with old state.
	stopped := (lost + 2) % 5
	suspend(t, m.control[stopped])
	stoppedAddress := m.Links.Advertised(stopped).String()
	m.waitWithin("the stopped one's subscribers follow others", changefeed.DefaultLease, m.subscribersSatisfy(func(s subscriber.Status) bool {
		return followsTwoPublishers(s) && !slices.Contains(s.Publishers, stoppedAddress)
	}))
	m.putEverywhere((stopped+1)%5, "config/limits", "three")
	_ = m.control[stopped].Signal(syscall.SIGCONT)
	m.waitFor("the resumed control process has the changes that it missed", m.all, func(r fleet.Report) bool {
		return cluster.SeesQuorumOf(5)(r) && r.Publisher.Age >= 0 && r.Publisher.Age < changefeed.DefaultLease.Seconds()
	})
	m.putEverywhere(stopped, "config/limits", "four")

	// A subscriber is cut off, and detects that by itself.
	isolated := m.subscribers[4]
	m.Links.Set(func(from, to int, link *emulator.MemberLink) {
		link.Cut = from == isolated.member || to == isolated.member
	})
	m.waitWithin("the subscriber that is cut off is no longer current", changefeed.DefaultLease, func() error {
		if s := isolated.Status(); s.Current {
			return fmt.Errorf("%+v", s)
		}
		return nil
	})
	m.putEverywhere(0, "config/limits", "five", isolated)
	if v, _ := isolated.Get("config/limits"); string(v) != "four" {
		t.Errorf("the subscriber that was cut off has %q, want the earlier value", v)
	}
	before := isolated.Status().Stats.Snapshots
	m.Links.Set(func(_, _ int, link *emulator.MemberLink) { *link = emulator.MemberLink{} })
	m.waitWithin("the subscriber is current again", testTimeout, allCurrent)
	if s := isolated.Status(); s.Stats.Snapshots != before {
		t.Errorf("the subscriber got %d snapshots for a change that the publishers still had", s.Stats.Snapshots-before)
	}

	// All control processes are killed at once and started again. A subscriber that has the version gets no snapshot.
	snapshots := func() (n uint64) {
		for _, f := range m.subscribers {
			n += f.Status().Stats.Snapshots
		}
		return n
	}
	m.waitWithin("all subscribers have the store's version", testTimeout, func() error {
		r, err := m.control[0].Fleet()
		if err != nil {
			return err
		}
		return m.subscribersSatisfy(func(s subscriber.Status) bool { return s.Version == r.Store.Version })()
	})
	had := snapshots()
	for _, p := range m.control {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range m.control {
		p.Kill()
	}
	m.waitWithin("without control processes no subscriber is current", changefeed.DefaultLease, m.subscribersSatisfy(func(s subscriber.Status) bool { return !s.Current }))
	m.waitWithin("no balancer is current", changefeed.DefaultLease, m.balancersSatisfy(func(f *fleet.SubscriberReport) bool { return !f.Current }))
	for _, p := range m.control {
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
	}
	m.waitWithin("all subscribers follow again", 2*testTimeout, allCurrent)
	if n := snapshots() - had; n != 0 {
		t.Errorf("%d snapshots after all control processes were restarted, want none", n)
	}
	m.putEverywhere(1, "config/limits", "six")

	// Most voters are lost: the remaining control processes can't know whether there is a newer version.
	m.waitFor("all five are voters", m.all, func(r fleet.Report) bool { return r.Store.Voters == 5 })
	for _, p := range m.control[:3] {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range m.control[:3] {
		p.Kill()
	}
	m.waitWithin("with most voters lost no subscriber is current", changefeed.DefaultLease, m.subscribersSatisfy(func(s subscriber.Status) bool { return !s.Current }))
	m.waitWithin("no balancer is current", changefeed.DefaultLease, m.balancersSatisfy(func(f *fleet.SubscriberReport) bool { return !f.Current }))
	if code, text, err := m.control[4].Call(http.MethodGet, "/control/ready"); err != nil || code != http.StatusServiceUnavailable {
		t.Errorf("c4 is ready with two of five voters: %d %s %v", code, text, err)
	}
	for _, p := range m.control[:3] {
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
	}
	m.waitWithin("all subscribers are current again", 2*testTimeout, allCurrent)
	m.putEverywhere(2, "config/limits", "seven")
	for _, address := range []string{m.balancers[0].AdminAddr, m.control[1].AdminAddr} {
		if code := runCommand([]string{"fleet", "status", address}); code != 0 {
			t.Errorf("fleet status %s: exit code %d, want 0", address, code)
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
			t.Errorf("fleet %q: exit code %d, want %d", c.args, code, c.code)
		}
	}
}

// TestAdminStateIsKeptByASubscriber takes a balancer that is no member out of service, loses its machine and starts it on another one; a second
// balancer is restarted hot. It guards against a balancer that forgets its admin state and takes clients, and against a hot restart that shows as
// two subscribers.
func TestAdminStateIsKeptByASubscriber(t *testing.T) {
	m := newControlFleet(t, 3, 3, 0)
	expectReadiness := func(p *cluster.Process, want string) {
		t.Helper()
		m.waitWithin(p.Name+" reports readiness: "+want, testTimeout, func() error {
			code, text, err := p.Call("GET", "/control/ready")
			if err == nil && !strings.Contains(text, want) {
				err = fmt.Errorf("%d %s", code, text)
			}
			return err
		})
	}
	putAndExpectLog := func(p *cluster.Process, path, want string) {
		t.Helper()
		if code, text, err := p.Call("PUT", path); code != 200 {
			t.Fatal(code, text, err)
		}
		m.waitWithin(p.Name+" logs "+want, testTimeout, func() error {
			if !strings.Contains(p.LogTail(), want) {
				return fmt.Errorf("%s", p.LogTail())
			}
			return nil
		})
	}
	p := m.startBalancer("b", "here", false)
	expectReadiness(p, "yes")
	putAndExpectLog(p, "/control/out-of-service", `"fleet: admin state stored"`)
	p.Kill()
	m.balancers = nil
	p = m.startBalancer("b", "there", false)
	expectReadiness(p, "out of service")
	putAndExpectLog(p, "/control/in-service", `"out":false,"version":2`)
	p.Kill()

	m.balancers = nil
	p = m.startBalancer("u", "u", true)
	expectReadiness(p, "yes")
	m.waitWithin("the balancer to be upgraded follows", testTimeout, m.balancersSatisfy(func(f *fleet.SubscriberReport) bool { return f.Current }))
	was, err := p.Fleet()
	if err != nil {
		t.Fatal(err)
	}
	successor, err := p.Successor()
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
		t.Fatalf("the successor is a subscriber beside its predecessor: %+v, %v", r, err)
	}
	_ = p.Signal(syscall.SIGTERM)
	<-p.Exited()
	m.balancers = []*cluster.Process{successor}
	m.waitWithin("the successor follows", testTimeout, m.balancersSatisfy(func(f *fleet.SubscriberReport) bool { return f.Current }))
	if r, err := successor.Fleet(); err != nil || r.Self.ID != was.Self.ID || r.Self.Incarnation != was.Self.Incarnation+1 {
		t.Errorf("the successor is %+v after %+v, want the same ID and the next incarnation: %v", r.Self, was.Self, err)
	}

	// A control process that shuts down hands over, and sends its subscribers to others.
	r, err := successor.Fleet()
	if err != nil {
		t.Fatal(err)
	}
	at := slices.IndexFunc(m.seeds(), func(a netip.AddrPort) bool { return a.String() == r.Subscriber.Publishers[0] })
	_ = m.control[at].Signal(syscall.SIGTERM)
	<-m.control[at].Exited()
	if err := m.control[at].Err(); err != nil {
		t.Errorf("c%d exited with %v, want success", at, err)
	}
	m.waitWithin("its subscriber follows another control process", changefeed.DefaultLease, m.balancersSatisfy(func(f *fleet.SubscriberReport) bool {
		return f.Current && len(f.Publishers) > 0 && !slices.Contains(f.Publishers, r.Subscriber.Publishers[0])
	}))
}

// TestNoRequestIsServedTwiceOverSubscribers has sessions of a replicated class in flight at a balancer that follows the control processes. That
// balancer is killed, and each request is sent again to another one. It guards against a non-idempotent request that runs twice; the class that
// is not replicated shows that the count can be above 0.
func TestNoRequestIsServedTwiceOverSubscribers(t *testing.T) {
	const requests = 50
	m := newControlFleet(t, 3, 3, 0)
	a := newAgent(t)
	script := listFourServers(t, a, 4*requests)
	replicatedPay := "hold \"intents\" { grades = [\"pay\"] }\n"
	first, second := m.startBalancerWith("b0", "b0", replicatedPay, false, a), m.startBalancerWith("b1", "b1", replicatedPay, false, a)
	for _, p := range m.balancers {
		if err := p.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	m.waitWithin("both balancers follow", testTimeout, m.balancersSatisfy(func(f *fleet.SubscriberReport) bool { return f.Current }))
	request := func(p *cluster.Process, class string, id int) *testClient {
		t.Helper()
		c, err := net.Dial("tcp", p.Addr)
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
		t.Helper()
		select {
		case e := <-script.Sessions:
			runsByID[strings.Fields(e.First)[1]]++
			return e
		case <-time.After(testTimeout):
			t.Fatalf("timed out waiting for a request at a server; %d sessions ran so far", len(runsByID))
			return nil
		}
	}
	one := request(first, "pay", 1)
	_, _ = io.WriteString(session(), "UP 1\r\n")
	one.expectLine("UP 1\r\n")
	request(second, "pay", 1).expectLine("UP 1\r\n") // a repeated request gets the same answer
	for lost, class := range []string{"pay", "order"} {
		base := 1000 * (lost + 1)
		for id := range requests {
			request(first, class, base+id)
		}
		for range requests {
			session()
		}
		first.Kill()
		var again []*testClient
		for id := range requests {
			again = append(again, request(second, class, base+id))
		}
		if class == "pay" {
			for id, one := range again {
				if got := one.lineIfAny(); got != "ERR\r\n" {
					t.Errorf("the repeated request %d of class pay got %q, want ERR", id, got)
				}
			}
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
		if err := first.Launch(); err != nil {
			t.Fatal(err)
		}
		if err := first.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestAFileOfAnotherRole starts a balancer with the fleet file of a control process, and a control process with those of other roles. Each must
// exit with code 2 and say what is wrong.
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
	a := newAgent(t)
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
			t.Errorf("role setting %q: exit code %d, %s; want code 2 and an error that says what is wrong", c.role, code, out)
		}
	}
}
