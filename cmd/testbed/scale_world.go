package main

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/lab/scale"
)

const (
	scaleFleet          = "scale"
	bootstrapTimeout    = time.Minute
	shutdownTimeout     = 15 * time.Second // an end as planned takes no longer, or the process is killed
	answerTimeout       = 20 * time.Second // a process of balancers
	balancersPerProcess = 300              // balancers in one process
	maxSeeds            = 5                // control processes that are each other's seeds
	agreementTimeout    = 10 * time.Second
	maxFollowers        = 10000 // that a file may allow
	pollInterval        = 100 * time.Millisecond
	megabyte            = 1e6
)

// scaleWorld is all processes of a run.
type scaleWorld struct {
	plan            *scale.Plan
	dir             string
	controls        []*controlProcess
	forwarders      []*forwarderProcess
	hosts           []*hollowProcess
	balancersByHost [][]int // balancers by host

	mu       sync.Mutex
	ledger   *scale.Ledger
	lastLook int
}

func newScaleWorld(p *scale.Plan, hosts [][]int, self, binary, logs string, ledger *scale.Ledger) (w *scaleWorld, err error) {
	w = &scaleWorld{plan: p, balancersByHost: hosts, ledger: ledger}
	if w.dir, err = os.MkdirTemp("", "testbed-scale"); err != nil {
		return nil, err
	}
	log := func(string) io.Writer { return nil }
	if logs != "" {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return w, err
		}
		log = func(name string) io.Writer {
			f, err := os.Create(filepath.Join(logs, name+".log"))
			if err != nil {
				return nil
			}
			return f // closed with this process
		}
	}
	if w.controls, w.forwarders, err = newControls(p, self, binary, w.dir, log); err != nil {
		return w, err
	}
	for _, c := range w.controls {
		if err := c.Launch(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// seeds are all control processes.
func (w *scaleWorld) seeds() (all []netip.AddrPort) {
	for _, c := range w.controls {
		all = append(all, c.Addr)
	}
	return all
}

// startBalancers starts the processes of balancers, and has all balancers come at once.
func (w *scaleWorld) startBalancers(self string) error {
	for n, part := range w.balancersByHost {
		h := &hollowProcess{program: self, onMarks: w.recordMarks, begin: hollowBegin{Fleet: scaleFleet, Seeds: w.seeds(), Seed: w.plan.Seed*1_000_003 + uint64(n)}}
		for _, b := range part {
			place := w.plan.Balancer[b]
			h.begin.All = append(h.begin.All, hollowOne{Index: b, Name: fmt.Sprintf("b%d", b), Machine: fmt.Sprintf("m-b%d", b), Zone: zoneName(place), Site: regionName(place)})
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for i, h := range w.hosts {
		if err := h.order(hollowOrder{Up: w.balancersByHost[i]}); err != nil {
			return err
		}
	}
	return nil
}

// recordMarks books what balancers tell.
func (w *scaleWorld) recordMarks(_ *hollowProcess, marks []hollowMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range marks {
		switch m.What {
		case markUp:
			w.ledger.Up(m.Who, m.At)
		case markDown:
			w.ledger.Down(m.Who, m.At)
		case markApplied:
			w.ledger.Applied(m.Who, m.Version, m.At)
		}
	}
}

// look asks all processes of balancers at once.
func (w *scaleWorld) look(final bool) (*hollowLook, error) {
	number := w.nextLook()
	looks, errs := make([]*hollowLook, len(w.hosts)), make([]error, len(w.hosts))
	var all sync.WaitGroup
	for i, h := range w.hosts {
		all.Go(func() { looks[i], errs[i] = h.look(number, final) })
	}
	all.Wait()
	sum := newLook(number)
	for _, l := range looks {
		sum.add(l)
	}
	return sum, errors.Join(errs...)
}

// spread is how balancers' connections lie over the control processes that run.
func (w *scaleWorld) spread(l *hollowLook) scale.Spread {
	var n []int
	for _, c := range w.controls {
		if c.isRunning() {
			n = append(n, l.Relays[c.Addr.String()])
		}
	}
	return scale.NewSpread(n)
}

// applyStep carries out one step of the fault schedule and returns once that is done.
func (w *scaleWorld) applyStep(step scale.Step) error {
	switch step.Action {
	case scale.Kill:
		return w.eachControl(step.Who, func(c *controlProcess) error { c.kill(); return nil })
	case scale.End:
		return w.eachControl(step.Who, func(c *controlProcess) error { c.shutDown(); return nil })
	case scale.Start:
		return w.eachControl(step.Who, (*controlProcess).restart)
	case scale.Cut:
		return w.cutOff(step.Who)
	case scale.Heal:
		return w.cutOff(nil)
	case scale.Down, scale.Up:
		return w.setBalancers(step.Who, step.Action == scale.Up)
	case scale.ZoneOff:
		return w.eachHostOf(step.Who[0], w.killHost)
	case scale.ZoneOn:
		return w.eachHostOf(step.Who[0], w.restartHost)
	default:
		return fmt.Errorf("%q is no step", step.Action)
	}
}

// eachControl does something with several control processes at once.
func (w *scaleWorld) eachControl(indices []int, do func(c *controlProcess) error) error {
	var running sync.WaitGroup
	errs := make([]error, len(indices))
	for i, index := range indices {
		running.Go(func() { errs[i] = do(w.controls[index]) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// cutOff cuts the control processes given off from all others; none restores all links.
func (w *scaleWorld) cutOff(controls []int) error {
	var running sync.WaitGroup
	errs := make([]error, len(w.forwarders))
	for i, f := range w.forwarders {
		running.Go(func() { _, errs[i] = f.order(frontOrder{Cut: controls}) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// setBalancers starts or ends balancers.
func (w *scaleWorld) setBalancers(balancers []int, up bool) error {
	chosen := map[int]bool{}
	for _, b := range balancers {
		chosen[b] = true
	}
	for i, h := range w.hosts {
		var mine []int
		for _, b := range w.balancersByHost[i] {
			if chosen[b] {
				mine = append(mine, b)
			}
		}
		if len(mine) == 0 {
			continue
		}
		order := hollowOrder{Down: mine}
		if up {
			order = hollowOrder{Up: mine}
		}
		if err := h.order(order); err != nil {
			return err
		}
	}
	return nil
}

// eachHostOf does something with all processes of balancers of a zone at once.
func (w *scaleWorld) eachHostOf(zone int, do func(host int) error) error {
	var running sync.WaitGroup
	errs := make([]error, len(w.hosts))
	for i := range w.hosts {
		if w.plan.Balancer[w.balancersByHost[i][0]].Zone == zone {
			running.Go(func() { errs[i] = do(i) })
		}
	}
	running.Wait()
	return errors.Join(errs...)
}

// restartHost starts a process of balancers again, and its balancers.
func (w *scaleWorld) restartHost(host int) error {
	if err := w.hosts[host].start(); err != nil {
		return err
	}
	return w.hosts[host].order(hollowOrder{Up: w.balancersByHost[host]})
}

// killHost kills a process of balancers. What these have reported until then counts.
func (w *scaleWorld) killHost(host int) error {
	_, _ = w.hosts[host].look(w.nextLook(), false) // an error is that of a process that has ended
	now := boottime.Now()
	w.hosts[host].stop(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.balancersByHost[host] {
		w.ledger.Down(b, now)
	}
	return nil
}

// nextLook numbers a question to the processes of balancers.
func (w *scaleWorld) nextLook() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastLook++
	return w.lastLook
}

// memory is what each process of one kind holds, in MB.
func (w *scaleWorld) memory() (balancers float64, control []float64, all float64) {
	for _, h := range w.hosts {
		if pid := h.pid(); pid > 0 {
			balancers += residentMB(pid)
		}
	}
	all = balancers + residentMB(os.Getpid())
	for _, f := range w.forwarders {
		all += residentMB(f.cmd.Process.Pid)
	}
	for _, c := range w.controls {
		m := 0.0
		if c.isRunning() {
			m = residentMB(c.Pid())
		}
		control = append(control, m)
		all += m
	}
	return balancers, control, all
}

// close ends all processes and removes their directories.
func (w *scaleWorld) close() {
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() { h.stop(false) })
	}
	for _, c := range w.controls {
		if c.Process == nil {
			continue
		}
		all.Go(func() {
			if c.Exited() != nil {
				c.Kill()
			}
		})
	}
	all.Wait()
	for _, f := range w.forwarders {
		f.close()
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// missing tells whether all control processes run, see each other, are members of the epoch and have a version; "" if so, else who does not.
func (w *scaleWorld) missing(version uint64) string {
	not := make([]string, len(w.controls))
	var all sync.WaitGroup
	for i, c := range w.controls {
		all.Go(func() {
			r, err := c.Fleet()
			switch {
			case !c.isRunning():
				not[i] = c.Name + " does not run"
			case err != nil:
				not[i] = err.Error()
			case r.Alive != len(w.controls) || r.Store == nil || r.Store.Members != len(w.controls):
				not[i] = fmt.Sprintf("%s sees %d control processes here", c.Name, r.Alive)
			case r.Publisher == nil || r.Publisher.Version < version || r.Publisher.Age < 0 || r.Publisher.Age > changefeed.DefaultLease.Seconds():
				not[i] = c.Name + " is not current"
			}
		})
	}
	all.Wait()
	return strings.Join(slices.DeleteFunc(not, func(s string) bool { return s == "" }), ", ")
}

// agreedState is what all control processes that run have, once that is the same.
func (w *scaleWorld) agreedState() (s hollowState, err error) {
	for end := time.Now().Add(agreementTimeout); ; time.Sleep(pollInterval) {
		states := map[hollowState]string{}
		for _, c := range w.controls {
			if !c.isRunning() {
				continue
			}
			var r fleet.Report
			if r, err = c.Fleet(); err != nil {
				break
			}
			s = controlState(&r)
			states[s] = c.Name
		}
		if err == nil && len(states) == 1 {
			return s, nil
		}
		if time.Now().After(end) {
			return s, errors.Join(err, fmt.Errorf("control processes have not the same within %v: %v", agreementTimeout, states))
		}
	}
}
