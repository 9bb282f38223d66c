package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/subscriber"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// These tests start control processes, and balancers that follow them: real ones, and the followers of such in this process.

const (
	inForce = 7 * time.Second // a change is in force everywhere
	later   = time.Second     // sockets and a busy machine
)

// tier is a fleet with control processes.
type tier struct {
	*cluster.MemberGroup
	t         *testing.T
	dir       string
	control   []*cluster.Process
	all       []int
	followers []*hollow
	balancers []*cluster.Process
	puts      int
}

// hollow is a balancer's follower without a balancer.
type hollow struct {
	*subscriber.Client
	at int // its place among the ways

	mu   sync.Mutex
	last uint64
	bad  string
}

// newTier starts so many control processes in as many zones as told, and followers in this process.
func newTier(t *testing.T, control, zones, followers int) *tier {
	t.Parallel()
	dir := t.TempDir()
	b, err := cluster.NewMemberGroup(control+followers, dir, 12)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	b.Links.Admit()
	b.ExtraSettings = fmt.Sprintf("role = \"control\"\n  voters = %d", control)
	m := &tier{MemberGroup: b, t: t, dir: dir}
	for i := range control {
		name := fmt.Sprintf("c%d", i)
		p, err := cluster.NewProcess(name, []string{os.Args[0], "fleet", "control", filepath.Join(dir, fmt.Sprintf("fleet-%d.hcl", i)), "--name", name},
			[]string{"SABLETALLY_CHILD=1"}, dir, nil)
		if err == nil {
			err = b.Add(i, min(3, control), zones, p)
		}
		if err == nil {
			err = p.Launch()
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		m.control, m.all = append(m.control, p), append(m.all, i)
	}
	t.Cleanup(func() {
		for _, p := range append(slices.Clone(m.control), m.balancers...) {
			if t.Failed() {
				t.Logf("%s: %s", p.Name, p.LogTail())
			}
		}
	})
	m.want("the control processes are together and publish", m.all, func(r fleet.Report) bool {
		return cluster.SeesQuorumOf(control)(r) && repaired(r) && r.Publisher.Age >= 0 && r.Publisher.Age < changefeed.DefaultLease.Seconds()
	})
	for i := range followers {
		f := &hollow{at: control + i}
		f.Client = subscriber.Open(subscriber.Options{Fleet: "lab", Name: fmt.Sprint("f", i), ID: fmt.Sprint("follower-", i), Incarnation: 1, Zone: cluster.ZoneName(i % zones),
			Site: "s", Seeds: m.seeds(), Seed: uint64(i), LocalAddr: b.Links.Listen(f.at).Addr(), Now: boottime.Now, Log: zap.NewNop(), OnUpdate: f.applied})
		t.Cleanup(f.Close)
		m.followers = append(m.followers, f)
	}
	t.Cleanup(func() {
		for _, f := range m.followers {
			f.mu.Lock()
			if f.bad != "" {
				t.Errorf("follower %d: %s", f.at, f.bad)
			}
			f.mu.Unlock()
		}
	})
	return m
}

func (m *tier) seeds() (all []netip.AddrPort) {
	for i := range m.control {
		all = append(all, m.Links.Advertised(i))
	}
	return all
}

// applied notes a step that is none: back, or over a gap.
func (f *hollow) applied(update changefeed.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Version <= f.last || !update.Complete && update.Version != f.last+1 {
		f.bad = fmt.Sprintf("version %d (complete %v) after %d", update.Version, update.Complete, f.last)
	}
	f.last = update.Version
}

// want waits until control processes say of themselves what is wanted.
func (m *tier) want(what string, who []int, is func(fleet.Report) bool) {
	m.t.Helper()
	began := time.Now()
	if err := m.WaitUntil(what, 2*bound, who, is); err != nil {
		m.t.Fatal(err)
	}
	m.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
}

// soon waits until followers, or balancers, are as they have to be within a span.
func (m *tier) soon(what string, within time.Duration, is func() error) {
	m.t.Helper()
	began := time.Now()
	for {
		err := is()
		if err == nil {
			m.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
			return
		}
		if time.Since(began) > within+later {
			m.t.Fatalf("not within %v: %s: %v", within, what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// each asks all followers but those left out.
func (m *tier) each(is func(subscriber.Status) bool, but ...*hollow) func() error {
	return func() error {
		for _, f := range m.followers {
			if s := f.Status(); !slices.Contains(but, f) && !is(s) {
				return fmt.Errorf("follower %d: %+v", f.at, s)
			}
		}
		return nil
	}
}

// following asks all balancers.
func (m *tier) following(is func(*fleet.SubscriberReport) bool) func() error {
	return func() error {
		for _, p := range m.balancers {
			r, err := p.Fleet()
			if err != nil {
				return err
			}
			if r.Subscriber == nil || !is(r.Subscriber) {
				return fmt.Errorf("%s: %+v", p.Name, r.Subscriber)
			}
		}
		return nil
	}
}

func current(s subscriber.Status) bool { return s.Current && len(s.Publishers) == 2 }

// put changes an item by a control process, and answers the version that has it.
func (m *tier) put(i int, key, value string) uint64 {
	m.t.Helper()
	m.puts++
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/control/%s?op=op-%d", m.control[i].AdminAddr, key, m.puts), strings.NewReader(value))
	if err != nil {
		m.t.Fatal(err)
	}
	for end := time.Now().Add(bound); ; time.Sleep(50 * time.Millisecond) { // the same operation until it is answered
		req.Body, _ = req.GetBody()
		r, err := (&http.Client{Timeout: bound}).Do(req)
		if err == nil {
			var text bytes.Buffer
			_, _ = text.ReadFrom(r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				v, err := strconv.ParseUint(strings.TrimSpace(text.String()), 10, 64)
				if err != nil {
					m.t.Fatal(err)
				}
				return v
			}
			err = fmt.Errorf("%s: %s", r.Status, text.String())
		}
		if time.Now().After(end) {
			m.t.Fatalf("%s is not put: %v", key, err)
		}
	}
}

// everywhere puts an item and waits until all followers and balancers have it.
func (m *tier) everywhere(i int, key, value string, but ...*hollow) {
	m.t.Helper()
	v := m.put(i, key, value)
	m.soon(fmt.Sprintf("%s is in force everywhere, as version %d", key, v), inForce, func() error {
		if err := m.each(func(s subscriber.Status) bool { return s.Version >= v }, but...)(); err != nil {
			return err
		}
		return m.following(func(f *fleet.SubscriberReport) bool { return f.Version >= v && f.Current })()
	})
	for _, f := range m.followers {
		if got, _ := f.Get(key); !slices.Contains(but, f) && string(got) != value {
			m.t.Errorf("follower %d has %q under %s", f.at, got, key)
		}
	}
}

// balancer makes a balancer that follows the control processes, on a machine of its own.
func (m *tier) balancer(name, machine string, shared bool) *cluster.Process {
	m.t.Helper()
	return m.balancerWith(name, machine, "", shared, agent(m.t))
}

// balancerWith is one with a discovery; extra goes into its file.
func (m *tier) balancerWith(name, machine, extra string, shared bool, a *emulator.Agent) *cluster.Process {
	m.t.Helper()
	dir := m.t.TempDir()
	var seeds []string
	for _, s := range m.seeds() {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	file := filepath.Join(dir, "fleet.hcl")
	text := fmt.Sprintf("fleet \"lab\" {\n  role = \"balancer\"\n  seeds = [%s]\n  data = %q\n  machine = %q\n  zone = %q\n  site = \"s\"\n}\n%s",
		strings.Join(seeds, ", "), filepath.Join(dir, "data-"+machine), machine, cluster.ZoneName(0), extra)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
	p, err := cluster.NewProcess(name, []string{os.Args[0]}, []string{"SABLETALLY_CHILD=1", "EDGE_DISCOVERY=" + a.Addr(), "SABLETALLY_FLEET=" + file}, dir, nil)
	if err == nil && shared {
		if err = p.ShareListener(); err == nil {
			m.t.Cleanup(p.UnshareListener)
		}
	}
	if err == nil {
		err = p.EnableAdmin()
	}
	if err == nil {
		err = p.WriteConfig(station(name, p, a, 7))
	}
	if err == nil {
		err = p.Launch()
	}
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(p.Kill)
	m.balancers = append(m.balancers, p)
	return p
}

// TestFollowersThroughFaults kills, stops, cuts off and loses control processes under ten followers and two balancers. Guards against a
// change that is not everywhere in time, a follower that takes old knowledge for new, goes back or stays with a control process that is
// lost, and a restart after which everybody asks for a snapshot.
func TestFollowersThroughFaults(t *testing.T) {
	m := newTier(t, 5, 3, 10)
	m.balancer("b0", "b0", false)
	m.balancer("b1", "b1", false)
	all := m.each(current)
	fit := func(f *fleet.SubscriberReport) bool { return f.Current && len(f.Publishers) == 2 }
	m.soon("all follow two", bound, all)
	m.soon("the balancers as well", bound, m.following(fit))
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
	m.soon(fmt.Sprintf("c%d is lost, which %d follow: they are elsewhere", lost, most), changefeed.DefaultLease, m.each(func(s subscriber.Status) bool {
		return current(s) && !slices.Contains(s.Publishers, away)
	}))
	if now := lapses(); now != was {
		t.Errorf("%d followers were not current meanwhile", now-was)
	}
	m.everywhere((lost+1)%5, "config/limits", "two")
	if err := m.control[lost].Launch(); err != nil {
		t.Fatal(err)
	}
	m.want("it is back", m.all, cluster.SeesQuorumOf(5))

	// One is stopped, sleeps over changes and its followers' leases, and wakes on old state.
	stopped := (lost + 2) % 5
	suspend(t, m.control[stopped])
	asleep := m.Links.Advertised(stopped).String()
	m.soon("its followers are elsewhere", changefeed.DefaultLease, m.each(func(s subscriber.Status) bool { return current(s) && !slices.Contains(s.Publishers, asleep) }))
	m.everywhere((stopped+1)%5, "config/limits", "three")
	_ = m.control[stopped].Signal(syscall.SIGCONT)
	m.want("it has what it missed", m.all, func(r fleet.Report) bool {
		return cluster.SeesQuorumOf(5)(r) && r.Publisher.Age >= 0 && r.Publisher.Age < changefeed.DefaultLease.Seconds()
	})
	m.everywhere(stopped, "config/limits", "four")

	// A follower is cut off, and knows that by itself.
	alone := m.followers[4]
	m.Links.Set(func(from, to int, tie *emulator.MemberLink) { tie.Cut = from == alone.at || to == alone.at })
	m.soon("one that is cut off says so", changefeed.DefaultLease, func() error {
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
	m.soon("it is current again", bound, all)
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
	m.soon("all have all", bound, func() error {
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
	m.soon("without any nobody is current", changefeed.DefaultLease, m.each(func(s subscriber.Status) bool { return !s.Current }))
	m.soon("nor is a balancer", changefeed.DefaultLease, m.following(func(f *fleet.SubscriberReport) bool { return !f.Current }))
	for _, p := range m.control {
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
	}
	m.soon("all follow again", 2*bound, all)
	if n := snapshots() - had; n != 0 {
		t.Errorf("%d snapshots after all were started again", n)
	}
	m.everywhere(1, "config/limits", "six")

	// Most voters are lost: nobody can tell any more whether there is something newer.
	m.want("five vote", m.all, func(r fleet.Report) bool { return r.Store.Voters == 5 })
	for _, p := range m.control[:3] {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range m.control[:3] {
		p.Kill()
	}
	m.soon("with most voters lost nobody is current", changefeed.DefaultLease, m.each(func(s subscriber.Status) bool { return !s.Current }))
	m.soon("nor is a balancer", changefeed.DefaultLease, m.following(func(f *fleet.SubscriberReport) bool { return !f.Current }))
	if code, text, err := m.control[4].Call(http.MethodGet, "/control/ready"); err != nil || code != http.StatusServiceUnavailable {
		t.Errorf("c4 is ready with two of five voters: %d %s %v", code, text, err)
	}
	for _, p := range m.control[:3] {
		if err := p.Launch(); err != nil {
			t.Fatal(err)
		}
	}
	m.soon("all are current again", 2*bound, all)
	m.everywhere(2, "config/limits", "seven")
	for _, address := range []string{m.balancers[0].AdminAddr, m.control[1].AdminAddr} {
		if code := command([]string{"fleet", "status", address}); code != 0 {
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
		if code := command(append([]string{"fleet"}, c.args...)); code != c.code {
			t.Errorf("%q: exit %d, wanted %d", c.args, code, c.code)
		}
	}
}

// TestAWordByAFollower has an operator take a balancer out of service that is no member, loses its machine and starts it elsewhere; then
// upgrades it. Guards against a balancer that takes clients although it was told not to, and an upgrade that is two followers.
func TestAWordByAFollower(t *testing.T) {
	m := newTier(t, 3, 3, 0)
	says := func(p *cluster.Process, want string) {
		t.Helper()
		m.soon(p.Name+" says "+want, bound, func() error {
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
		m.soon(p.Name+" logs "+want, bound, func() error {
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
	m.soon("one that is to be upgraded follows", bound, m.following(func(f *fleet.SubscriberReport) bool { return f.Current }))
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
	m.soon("the new process follows", bound, m.following(func(f *fleet.SubscriberReport) bool { return f.Current }))
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
	m.soon("its follower is elsewhere", changefeed.DefaultLease, m.following(func(f *fleet.SubscriberReport) bool {
		return f.Current && len(f.Publishers) > 0 && !slices.Contains(f.Publishers, r.Subscriber.Publishers[0])
	}))
}

// TestNothingRunsTwiceOverFollowers has circuits of a held grade out by one balancer that follows, which is lost with its disk, and asks for
// each again at another one. Guards against intents that are held nowhere where their balancer is no member.
func TestNothingRunsTwiceOverFollowers(t *testing.T) {
	const many = 50
	m := newTier(t, 3, 3, 0)
	a := agent(t)
	script := four(t, a, 4*many)
	held := "hold \"intents\" { grades = [\"pay\"] }\n"
	first, second := m.balancerWith("b0", "b0", held, false, a), m.balancerWith("b1", "b1", held, false, a)
	for _, p := range m.balancers {
		if err := p.WaitReady(); err != nil {
			t.Fatal(err)
		}
	}
	m.soon("both follow", bound, m.following(func(f *fleet.SubscriberReport) bool { return f.Current }))
	asks := func(p *cluster.Process, grade string, id int) *ask {
		t.Helper()
		c, err := net.Dial("tcp", p.Addr)
		if err != nil {
			t.Fatal(err)
		}
		script.Hold(c)
		one := &ask{c, bufio.NewReader(c), t}
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
	one.want("UP 1\r\n")
	asks(second, "pay", 1).want("UP 1\r\n") // what was answered is answered with the same word
	for lost, grade := range []string{"pay", "order"} {
		base := 1000 * (lost + 1)
		for id := range many {
			asks(first, grade, base+id)
		}
		for range many {
			session()
		}
		first.Kill()
		var again []*ask
		for id := range many {
			again = append(again, asks(second, grade, base+id))
		}
		if grade == "pay" {
			for id, one := range again {
				if got := one.last(); got != "ERR\r\n" {
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
	if err := p.WriteConfig(station("n", p, a, 7)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		role, want string
		args       []string
	}{
		{"  role = \"control\"\n  listen = \"127.0.0.1:1\"", "start it by sabletally fleet control", nil},
		{"  role = \"balancer\"", `role \"balancer\" is no control process's`, []string{"fleet", "control", file}},
		{"  listen = \"127.0.0.1:1\"", `role \"\" is no control process's`, []string{"fleet", "control", file}},
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
