// This file owns the scale test: what it is told, its course, and what it says in the end.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/lab/scale"
)

// errNotKept says that a target was not kept, once that is printed.
var errNotKept = errors.New("not kept")

type scaleCmd struct {
	Balancers     int           `default:"100" help:"Hollow balancers, which hold no connections of clients."`
	Control       int           `default:"5" help:"Control processes."`
	Zones         int           `default:"3" help:"Zones; processes are dealt out to them by turns."`
	Regions       int           `default:"1" help:"Regions; zones are dealt out to them by turns."`
	ChangesPerDay int           `default:"21000" help:"Changes of configuration, at the pace of so many a day."`
	Burst         int           `default:"100" help:"Changes beside these in one second."`
	For           time.Duration `default:"1m" help:"Length of the run."`
	Seed          uint64        `default:"1" help:"Draws changes and faults."`
	Faults        string        `default:"none" help:"none, day, rack, zone or region."`
	JSON          string        `name:"json" help:"File for the figures as JSON." type:"path" placeholder:"FILE"`
	Judge         string        `default:"all" enum:"all,counts" help:"What the verdict is by: all targets, or counts alone, which are not the machine's."`
	Binary        string        `help:"Build of the balancer; the one beside the lab if none is told." type:"path" placeholder:"PATH"`
	Logs          string        `help:"Folder for the control processes' logs." type:"path" placeholder:"DIR"`
}

const (
	togetherIn = 2 * time.Minute
	restFor    = 3 * time.Second // after the start, before the run begins
	settleIn   = time.Minute     // after the run, until all have all
	lookOften  = 250 * time.Millisecond
	lookSeldom = 2 * time.Second
	putWithin  = 2 * time.Second // one try
	putAgain   = 50 * time.Millisecond
	meterEach  = time.Second
)

// scaleRun is one run.
type scaleRun struct {
	*scaleCmd
	plan   *scale.Plan
	world  *scaleWorld
	f      scale.Figures
	half   float64 // of the machine's memory, MB
	ledger *scale.Ledger
	begin  time.Duration // of the run

	mu        sync.Mutex
	newest    uint64 // version accepted
	accepted  int
	late      time.Duration
	balancers float64 // MB at most
	controls  []float64
	stopped   string // why the run was broken off
}

func (c *scaleCmd) Run(l *lab) error {
	plan, err := scale.NewPlan(scale.Options{Balancers: c.Balancers, Control: c.Control, Zones: c.Zones, Regions: c.Regions, PerDay: c.ChangesPerDay,
		Burst: c.Burst, For: c.For, Seed: c.Seed, Faults: c.Faults})
	if err != nil {
		return err
	}
	if c.Binary == "" {
		c.Binary = l.beside("sabletally")
	}
	if _, err := os.Stat(c.Binary); err != nil {
		return scale.BadArgument{Flag: "binary", What: fmt.Sprintf("%v; build both with: go build -o bin/ ./cmd/...", err)}
	}
	hosts := plan.Hosts(balancersPerProcess)
	files, err := openFiles()
	if err != nil {
		return err
	}
	total, available, err := machineMemory()
	if err != nil {
		return err
	}
	if err := plan.Requirements(hosts).Check(files, total, available); err != nil {
		return err
	}
	r := &scaleRun{scaleCmd: c, plan: plan, half: total / 2, ledger: scale.NewLedger(c.Balancers, len(plan.Changes))}
	r.f = scale.Figures{Balancers: c.Balancers, Control: c.Control, Changes: len(plan.Changes), Zones: c.Zones, Regions: c.Regions, Voters: plan.Voters,
		Seed: c.Seed, Faults: c.Faults, FaultsSay: plan.Says}
	err = r.run(l, hosts)
	progress("")
	switch { // whatever breaks it off, there is a verdict
	case l.ctx.Err() != nil:
		r.f.Partial = "interrupted"
	case r.stopped != "":
		r.f.Partial = r.stopped
	case err != nil:
		r.f.Partial = err.Error()
	}
	targets := &scale.DefaultTargets
	if c.Judge == "counts" {
		targets = nil
	}
	not := r.f.Check(targets)
	r.f.Verdict = scale.Verdict(not)
	if r.f.Partial == "" { // a table of what wasn't measured would read as if nothing was missed
		if err := r.f.Print(os.Stdout, &scale.DefaultTargets); err != nil {
			return err
		}
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(&r.f, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	fmt.Println(r.f.Verdict)
	if len(not) > 0 {
		return errNotKept
	}
	return nil
}

func (r *scaleRun) run(l *lab, hosts [][]int) (err error) {
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	progress("scale: starting %d control processes", r.Control)
	w, err := newScaleWorld(r.plan, hosts, l.self, r.Binary, r.Logs, r.ledger)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return err
	}
	r.world = w
	if err := waitForBootstrap(ctx, w.controls); err != nil {
		return err
	}
	var beside sync.WaitGroup
	defer beside.Wait()
	defer stop()
	beside.Go(func() { r.watch(ctx, stop) })

	started := time.Now()
	if err := w.startBalancers(l.self); err != nil {
		return err
	}
	if _, err := r.until(ctx, "together", time.Now().Add(togetherIn), lookOften); err != nil {
		return err
	}
	r.f.TogetherMs = float64(time.Since(started).Milliseconds())
	tools := openTools(w.seeds(), r.Seed)
	defer tools.close()
	if err := pause(ctx, restFor); err != nil {
		return err
	}
	return r.measured(ctx, tools)
}

// measured is the run itself.
func (r *scaleRun) measured(ctx context.Context, tools *tools) error {
	w := r.world
	before, err := w.look(false)
	if err != nil {
		return err
	}
	cpu, bytes := make([]time.Duration, len(w.controls)), make([]int64, len(w.controls))
	for i, c := range w.controls {
		c.measureTraffic()
		cpu[i], bytes[i] = c.cpuTime(), c.traffic()
	}
	r.begin = boottime.Now()
	w.mu.Lock()
	for i, c := range r.plan.Changes {
		r.ledger.Due(i, r.begin+c.Due)
	}
	w.mu.Unlock()

	var puts, steps sync.WaitGroup
	defer puts.Wait()
	defer steps.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop() // first, so that both end
	puts.Go(func() { r.put(ctx, tools, &puts) })
	ended := make(chan time.Duration, 1) // when the last fault was over, 0 without any
	var failed error
	steps.Go(func() {
		at, err := r.faults(ctx)
		failed = err
		ended <- at
	})
	faults := ended // nil once heard

	// The run: seldom looked at, and often once the last fault is over.
	var over, steady time.Duration // boot clock; 0: not yet
	end := r.begin + r.For
	var last, after *hollowLook // after: at the run's end
	var wanted uint64
	var seconds float64
	for settled := false; !settled; {
		wait := lookSeldom
		if over > 0 && steady == 0 || boottime.Now() >= end {
			wait = lookOften
		}
		if after == nil {
			wait = min(wait, max(end-boottime.Now(), 0))
		}
		select {
		case at := <-faults:
			over, faults = at, nil
			continue
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		want := wanted
		r.mu.Lock()
		wanted = r.newest
		done := r.accepted
		r.mu.Unlock()
		if last, err = w.look(false); err != nil {
			return err
		}
		now := boottime.Now()
		is, spread := r.steady(last, want)
		progress("scale: %v of %v, %d of %d changes accepted, %d of %d balancers up, %d current; %v", max(0, now-r.begin).Round(time.Second), r.For, done,
			len(r.plan.Changes), last.Up, r.Balancers, last.Current, spread)
		r.f.Even = fmt.Sprintf("%d of %d balancers up, %d current; %v", last.Up, r.Balancers, last.Current, spread)
		if is && (over > 0 && steady == 0 || after != nil || now >= end) { // asked then alone: it costs them something
			if not := w.missing(want); not != "" {
				is, r.f.Even = false, r.f.Even+"; "+not
			} else if over > 0 && steady == 0 {
				steady = boottime.Now()
			}
		}
		if after == nil && now >= end {
			after, seconds = last, (now - r.begin).Seconds()
			for i, c := range w.controls {
				c.measureTraffic()
				r.f.ControlBytes = max(r.f.ControlBytes, float64(c.traffic()-bytes[i])/seconds)
				r.f.ControlCore = max(r.f.ControlCore, 100*(c.cpuTime()-cpu[i]).Seconds()/seconds)
			}
		}
		if after != nil {
			allPut := done == len(r.plan.Changes) && want == wanted
			settled = faults == nil && is && allPut || now > end+settleIn
			r.f.Steady = is
		}
	}
	if faults != nil {
		return fmt.Errorf("faults were not over %v after the run's end", settleIn)
	}
	stop()
	puts.Wait()
	steps.Wait()
	if failed != nil {
		return failed
	}
	r.f.Seconds = seconds
	n := float64(r.Balancers)
	r.f.BalancerCore = 100 * (after.CPU - before.CPU).Seconds() / seconds / n
	r.f.BalancerBytes = float64(after.Sent+after.Got-before.Sent-before.Got) / seconds / n
	r.f.Snapshots, r.f.Lapses = after.Snapshots-before.Snapshots, last.Lapses-before.Lapses
	r.f.Taken, r.f.Had, r.f.Gaps, r.f.Wants = after.Changes-before.Changes, after.Had-before.Had, after.Gaps-before.Gaps, after.Wants-before.Wants
	r.f.Refused, r.f.Conflicts = last.Refused-before.Refused, last.Conflicts
	if len(r.plan.Steps) > 0 {
		if steady == 0 {
			steady = boottime.Now()
		}
		r.f.SteadyAfter = float64((steady - over).Microseconds()) / 1000
	}
	return r.account()
}

// steady tells whether all balancers are up, current, have a version, and are spread evenly.
func (r *scaleRun) steady(l *hollowLook, version uint64) (bool, scale.Spread) {
	spread := r.world.spread(l)
	is := l.Up == r.Balancers && l.Current == r.Balancers && spread.Even()
	for s := range l.States {
		is = is && s.Version >= version
	}
	return is, spread
}

// until waits until all are current and evenly spread.
func (r *scaleRun) until(ctx context.Context, what string, end time.Time, each time.Duration) (*hollowLook, error) {
	for {
		l, err := r.world.look(false)
		if err != nil {
			return nil, err
		}
		is, spread := r.steady(l, 1)
		if is {
			return l, nil
		}
		progress("scale: %s: %d of %d balancers up, %d current; %v", what, l.Up, r.Balancers, l.Current, spread)
		if time.Now().After(end) {
			return nil, fmt.Errorf("balancers are not %s in time: %d of %d up, %d current; %v", what, l.Up, r.Balancers, l.Current, spread)
		}
		if err := pause(ctx, each); err != nil {
			return nil, err
		}
	}
}

func pause(ctx context.Context, long time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(long):
		return nil
	}
}

// put puts the changes, each at its time whatever became of the others.
func (r *scaleRun) put(ctx context.Context, t *tools, all *sync.WaitGroup) {
	for i, c := range r.plan.Changes {
		if pause(ctx, r.begin+c.Due-boottime.Now()) != nil {
			return
		}
		r.mu.Lock()
		r.late = max(r.late, boottime.Now()-r.begin-c.Due)
		r.mu.Unlock()
		all.Go(func() {
			for try := 0; ctx.Err() == nil; try++ {
				version, err := t.put(ctx, try, settingKey(c.Key), settingValue(i, c), fmt.Sprintf("scale-%d-%d", r.Seed, i))
				if err == nil {
					r.world.mu.Lock()
					r.ledger.SetVersion(i, version)
					r.world.mu.Unlock()
					r.mu.Lock()
					r.newest, r.accepted = max(r.newest, version), r.accepted+1
					r.mu.Unlock()
					return
				}
				_ = pause(ctx, putAgain)
			}
		})
	}
}

// faults carries out the plan's, and answers when the last one was over, 0 without any.
func (r *scaleRun) faults(ctx context.Context) (over time.Duration, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, s := range r.plan.Steps {
		if pause(ctx, r.begin+s.At-boottime.Now()) != nil {
			break
		}
		all.Go(func() { // one that takes long keeps no other waiting
			e := r.world.applyStep(s)
			mu.Lock()
			defer mu.Unlock()
			err, over = errors.Join(err, e), max(over, boottime.Now())
		})
	}
	all.Wait()
	return over, err
}

// watch looks at memory, and ends the run where it is too much.
func (r *scaleRun) watch(ctx context.Context, stop func()) {
	for pause(ctx, meterEach) == nil {
		balancers, control, all := r.world.memory()
		r.mu.Lock()
		r.balancers = max(r.balancers, balancers)
		if r.controls == nil {
			r.controls = make([]float64, len(control))
		}
		for i, m := range control {
			r.controls[i] = max(r.controls[i], m)
		}
		r.f.MemoryMB = max(r.f.MemoryMB, all)
		if all > r.half {
			r.stopped = fmt.Sprintf("all processes together hold %.0f MB, over half of this machine's memory, %.0f MB", all, r.half)
		}
		over := r.stopped != ""
		r.mu.Unlock()
		if over {
			stop()
			return
		}
	}
}

// account has the ledger reckon, against what the control processes have and what was put.
func (r *scaleRun) account() error {
	w := r.world
	want, err := w.agreedState()
	if err != nil {
		return err
	}
	last, err := w.look(true)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	version, byKey := r.ledger.Newest(func(i int) int { return r.plan.Changes[i].Key })
	values := map[string][]byte{}
	for key, i := range byKey {
		if i >= 0 {
			values[settingKey(key)] = settingValue(i, r.plan.Changes[i])
		}
	}
	final := scale.Final{Version: want.Version, Digest: want.Digest, Values: valuesOf(func(key string) ([]byte, bool) { v, is := values[key]; return v, is })}
	if final.Version < version {
		return fmt.Errorf("control processes are at version %d, and said that %d was accepted", final.Version, version)
	}
	for b, f := range last.Finals {
		r.ledger.End(b, f)
	}
	r.f.AddAccount(r.ledger.Close(boottime.Now(), final))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.LateMs = float64(r.late.Microseconds()) / 1000
	r.f.BalancerMB = r.balancers / float64(r.Balancers)
	for _, m := range r.controls {
		r.f.ControlMB = max(r.f.ControlMB, m)
	}
	return nil
}
