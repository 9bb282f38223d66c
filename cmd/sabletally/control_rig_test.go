package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
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

const (
	inForce = 7 * time.Second // a change is in force everywhere
	later   = time.Second     // sockets and a busy machine
)

// controlFleet is a fleet with control processes.
type controlFleet struct {
	*cluster.MemberGroup
	t         *testing.T
	dir       string
	control   []*cluster.Process
	all       []int
	followers []*fakeSubscriber
	balancers []*cluster.Process
	puts      int
}

// fakeSubscriber is a subscriber without a balancer, in this process.
type fakeSubscriber struct {
	*subscriber.Client
	at int // its place among the ways

	mu   sync.Mutex
	last uint64
	bad  string
}

// newControlFleet starts so many control processes in so many zones, and subscribers in this process.
func newControlFleet(t *testing.T, control, zones, followers int) *controlFleet {
	t.Parallel()
	dir := t.TempDir()
	b, err := cluster.NewMemberGroup(control+followers, dir, 12)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	b.Links.AcceptExternal()
	b.ExtraSettings = fmt.Sprintf("role = \"control\"\n  voters = %d", control)
	m := &controlFleet{MemberGroup: b, t: t, dir: dir}
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
	m.waitFor("the control processes are together and publish", m.all, func(r fleet.Report) bool {
		return cluster.SeesQuorumOf(control)(r) && repaired(r) && r.Publisher.Age >= 0 && r.Publisher.Age < changefeed.DefaultLease.Seconds()
	})
	for i := range followers {
		f := &fakeSubscriber{at: control + i}
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

func (m *controlFleet) seeds() (all []netip.AddrPort) {
	for i := range m.control {
		all = append(all, m.Links.Advertised(i))
	}
	return all
}

// applied notes an update that goes back or leaves a gap.
func (f *fakeSubscriber) applied(update changefeed.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Version <= f.last || !update.Complete && update.Version != f.last+1 {
		f.bad = fmt.Sprintf("version %d (complete %v) after %d", update.Version, update.Complete, f.last)
	}
	f.last = update.Version
}

// waitFor waits until the reports of control processes satisfy a condition.
func (m *controlFleet) waitFor(what string, who []int, is func(fleet.Report) bool) {
	m.t.Helper()
	began := time.Now()
	if err := m.WaitUntil(what, 2*bound, who, is); err != nil {
		m.t.Fatal(err)
	}
	m.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
}

// waitWithin waits until a check passes, for some time at most.
func (m *controlFleet) waitWithin(what string, within time.Duration, is func() error) {
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

// each checks all subscribers but those left out.
func (m *controlFleet) each(is func(subscriber.Status) bool, but ...*fakeSubscriber) func() error {
	return func() error {
		for _, f := range m.followers {
			if s := f.Status(); !slices.Contains(but, f) && !is(s) {
				return fmt.Errorf("follower %d: %+v", f.at, s)
			}
		}
		return nil
	}
}

// following checks all balancers.
func (m *controlFleet) following(is func(*fleet.SubscriberReport) bool) func() error {
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

// put changes an item through a control process and returns the version that has it.
func (m *controlFleet) put(i int, key, value string) uint64 {
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

// everywhere puts an item and waits until all subscribers and balancers have it.
func (m *controlFleet) everywhere(i int, key, value string, but ...*fakeSubscriber) {
	m.t.Helper()
	v := m.put(i, key, value)
	m.waitWithin(fmt.Sprintf("%s is in force everywhere, as version %d", key, v), inForce, func() error {
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
func (m *controlFleet) balancer(name, machine string, shared bool) *cluster.Process {
	m.t.Helper()
	return m.balancerWith(name, machine, "", shared, agent(m.t))
}

// balancerWith is balancer with a discovery; extra goes into its file.
func (m *controlFleet) balancerWith(name, machine, extra string, shared bool, a *emulator.Agent) *cluster.Process {
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
		err = p.WriteConfig(nodeConfig(name, p, a, 7))
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
