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
	propagationBound = 7 * time.Second // from a put's answer until every subscriber and balancer has the change
	timingSlack      = time.Second     // added to each bound, for the delays of sockets and of a busy machine
)

// controlFleet is a fleet of control processes, with subscribers in this process and balancers that follow them.
type controlFleet struct {
	*cluster.MemberGroup
	t           *testing.T
	dir         string
	control     []*cluster.Process // control processes, by index
	all         []int              // indexes of all control processes
	subscribers []*fakeSubscriber
	balancers   []*cluster.Process
	puts        int // number of puts so far; it makes operation IDs unique
}

// fakeSubscriber is a subscriber in this process, without a balancer. It checks the order of the updates that it gets.
type fakeSubscriber struct {
	*subscriber.Client
	member int // its index in the emulated links, after those of the control processes

	mu          sync.Mutex
	lastVersion uint64 // version of the last update
	violation   string // the last update out of order, empty if there was none
}

// newControlFleet starts control processes that are spread over zones, and subscribers in this process. It returns once the control processes
// have a quorum, every shard has its replicas and each of them publishes.
func newControlFleet(t *testing.T, control, zones, subscribers int) *controlFleet {
	t.Parallel()
	dir := t.TempDir()
	b, err := cluster.NewMemberGroup(control+subscribers, dir, 12)
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
	m.waitFor("the control processes have a quorum and publish", m.all, func(r fleet.Report) bool {
		return cluster.SeesQuorumOf(control)(r) && repaired(r) && r.Publisher.Age >= 0 && r.Publisher.Age < changefeed.DefaultLease.Seconds()
	})
	for i := range subscribers {
		f := &fakeSubscriber{member: control + i}
		f.Client = subscriber.Open(subscriber.Options{Fleet: "lab", Name: fmt.Sprint("f", i), ID: fmt.Sprint("follower-", i), Incarnation: 1, Zone: cluster.ZoneName(i % zones),
			Site: "s", Seeds: m.seeds(), Seed: uint64(i), LocalAddr: b.Links.Listen(f.member).Addr(), Now: boottime.Now, Log: zap.NewNop(), OnUpdate: f.onUpdate})
		t.Cleanup(f.Close)
		m.subscribers = append(m.subscribers, f)
	}
	t.Cleanup(func() {
		for _, f := range m.subscribers {
			f.mu.Lock()
			if f.violation != "" {
				t.Errorf("subscriber %d: %s", f.member, f.violation)
			}
			f.mu.Unlock()
		}
	})
	return m
}

// seeds returns the addresses at which subscribers find the control processes.
func (m *controlFleet) seeds() (all []netip.AddrPort) {
	for i := range m.control {
		all = append(all, m.Links.Advertised(i))
	}
	return all
}

// onUpdate records an update whose version is not newer than the last one or leaves a gap.
func (f *fakeSubscriber) onUpdate(update changefeed.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Version <= f.lastVersion || !update.Complete && update.Version != f.lastVersion+1 {
		f.violation = fmt.Sprintf("got version %d (complete: %v) after version %d", update.Version, update.Complete, f.lastVersion)
	}
	f.lastVersion = update.Version
}

// waitFor waits until the reports of control processes satisfy a condition.
func (m *controlFleet) waitFor(what string, members []int, condition func(fleet.Report) bool) {
	m.t.Helper()
	began := time.Now()
	if err := m.WaitUntil(what, 2*testTimeout, members, condition); err != nil {
		m.t.Fatal(err)
	}
	m.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
}

// waitWithin waits until a check passes, and fails the test if it doesn't within the given time and timingSlack.
func (m *controlFleet) waitWithin(what string, within time.Duration, condition func() error) {
	m.t.Helper()
	began := time.Now()
	for {
		err := condition()
		if err == nil {
			m.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
			return
		}
		if time.Since(began) > within+timingSlack {
			m.t.Fatalf("not within %v: %s: last check: %v", within, what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// subscribersSatisfy returns a check of a condition on all subscribers but those left out.
func (m *controlFleet) subscribersSatisfy(condition func(subscriber.Status) bool, except ...*fakeSubscriber) func() error {
	return func() error {
		for _, f := range m.subscribers {
			if s := f.Status(); !slices.Contains(except, f) && !condition(s) {
				return fmt.Errorf("subscriber %d: %+v", f.member, s)
			}
		}
		return nil
	}
}

// balancersSatisfy returns a check of a condition on all balancers.
func (m *controlFleet) balancersSatisfy(condition func(*fleet.SubscriberReport) bool) func() error {
	return func() error {
		for _, p := range m.balancers {
			r, err := p.Fleet()
			if err != nil {
				return err
			}
			if r.Subscriber == nil || !condition(r.Subscriber) {
				return fmt.Errorf("%s: %+v", p.Name, r.Subscriber)
			}
		}
		return nil
	}
}

// followsTwoPublishers reports whether a subscriber is current and follows two control processes, as many as each should.
func followsTwoPublishers(s subscriber.Status) bool { return s.Current && len(s.Publishers) == 2 }

// put changes an item through a control process and returns the version that contains the change.
func (m *controlFleet) put(i int, key, value string) uint64 {
	m.t.Helper()
	m.puts++
	req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/control/%s?op=op-%d", m.control[i].AdminAddr, key, m.puts), strings.NewReader(value))
	if err != nil {
		m.t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) { // repeats the same operation until it is answered
		req.Body, _ = req.GetBody()
		r, err := (&http.Client{Timeout: testTimeout}).Do(req)
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
			m.t.Fatalf("put of %s: no success: %v", key, err)
		}
	}
}

// putEverywhere puts an item and waits until all balancers, and all subscribers but those left out, have it.
func (m *controlFleet) putEverywhere(i int, key, value string, except ...*fakeSubscriber) {
	m.t.Helper()
	v := m.put(i, key, value)
	m.waitWithin(fmt.Sprintf("%s is at all subscribers and balancers, as version %d", key, v), propagationBound, func() error {
		if err := m.subscribersSatisfy(func(s subscriber.Status) bool { return s.Version >= v }, except...)(); err != nil {
			return err
		}
		return m.balancersSatisfy(func(f *fleet.SubscriberReport) bool { return f.Version >= v && f.Current })()
	})
	for _, f := range m.subscribers {
		if got, _ := f.Get(key); !slices.Contains(except, f) && string(got) != value {
			m.t.Errorf("subscriber %d has %q under %s", f.member, got, key)
		}
	}
}

// startBalancer starts a balancer that follows the control processes and has a discovery of its own.
func (m *controlFleet) startBalancer(name, machine string, shared bool) *cluster.Process {
	m.t.Helper()
	return m.startBalancerWith(name, machine, "", shared, newAgent(m.t))
}

// startBalancerWith does the same with a given discovery; extra is added to the fleet file.
func (m *controlFleet) startBalancerWith(name, machine, extra string, shared bool, a *emulator.Agent) *cluster.Process {
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
