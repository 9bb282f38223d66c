// This file owns a run: stand-ins, the front, the timetable, and what is gathered at the end.

package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/model"
	"sabletally/internal/lab/report"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

const (
	slack     = 50 * time.Millisecond // the rules allow so much more on sockets
	tick      = 250 * time.Millisecond
	eventMost = 8 << 20
	comeOn    = 300 * time.Millisecond // clients still come so long to a balancer that was told to leave
	deadSeen  = time.Second            // and to one that has died
	emptyIn   = 4 * time.Second        // a balancer that is taken out of service holds nothing after that
	killAfter = 700 * time.Millisecond // beyond the longest outer limit a leaving balancer is killed
	fromStart = -time.Hour             // servers of before the run are warm
)

// Arm is what is under test: a command with its environment, and where its balancers' logs go.
type Arm struct {
	Name    string
	Command []string
	Env     []string
	Logs    string // a folder; empty: nowhere
}

// Cluster is one world on sockets while it runs.
type Cluster struct {
	World    topology.World
	Servers  []*emulator.Server
	Procs    []*Process
	Meter    *report.Meter
	Clock    *emulator.Clock
	Log      *history.Log
	agents   []*emulator.Agent
	list     *emulator.EndpointList
	links    []*emulator.Link
	store    *emulator.Store
	rng      *rand.Rand
	seed     uint64
	dir      string
	hasLinks bool
	members  *MemberGroup // where the balancers are members of a fleet
	places   []checker.Place
	closers  []io.Closer

	mu              sync.Mutex
	receiving       []bool // the front deals to it
	incarnations    []int
	stopMisbehaving context.CancelFunc // ends the bad clients
	replaced        []*Process         // that were replaced by one beside them
	errs            []error
}

// Start sets a world up and starts its balancers; Close ends all of it.
func Start(w topology.World, arm Arm, seed uint64) (*Cluster, error) {
	f := &Cluster{World: w, Clock: &emulator.Clock{}, Log: history.New(eventMost), rng: rand.New(rand.NewPCG(seed, 0xf1e1d)), seed: seed,
		receiving: make([]bool, w.Balancers), incarnations: make([]int, w.Balancers), store: emulator.NewStore(w.Store),
		Meter: report.NewMeter(w.Load.Fill, w.Load.Length)}
	f.list = emulator.NewEndpointList(f.Clock, w.Notice, w.Silent, seed)
	for _, fault := range w.Faults {
		f.hasLinks = f.hasLinks || fault.Kind == faults.LinkSlow || fault.Kind == faults.LinkCut
	}
	operated := slices.ContainsFunc(w.Faults, func(x faults.Fault) bool {
		return x.Kind == faults.Upgrade || x.Kind == faults.BalancerDrain
	})

	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return nil, err
	}
	f.dir = dir
	fail := func(err error) (*Cluster, error) { f.Close(); return nil, err }
	for b := range w.Balancers {
		a, err := emulator.NewAgent(b, f.Clock, f.Log, number)
		if err != nil {
			return fail(err)
		}
		f.agents = append(f.agents, a)
		f.list.AddAgent(a)
	}
	for _, m := range w.Machines {
		if err := f.server(m, fromStart, true); err != nil {
			return fail(err)
		}
	}
	if w.Copies > 0 {
		if f.members, err = NewMemberGroup(w.Balancers, dir, seed); err != nil {
			return fail(err)
		}
	}
	for b := range w.Balancers {
		var out io.Writer
		if arm.Logs != "" {
			file, err := os.OpenFile(filepath.Join(arm.Logs, fmt.Sprintf("%s-%d-n%d.log", arm.Name, seed, b)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
			if err != nil {
				return fail(err)
			}
			f.closers = append(f.closers, file)
			out = file
		}
		p, err := NewProcess(fmt.Sprintf("n%d", b), arm.Command, arm.Env, dir, out)
		if err != nil {
			return fail(err)
		}
		f.Procs = append(f.Procs, p)
		if operated {
			if err := p.EnableAdmin(); err != nil {
				return fail(err)
			}
			if err := p.ShareListener(); err != nil {
				return fail(err)
			}
		}
		if f.members != nil {
			if err := f.members.Add(b, w.Copies, w.Zones, p); err != nil {
				return fail(err)
			}
		}
		if err := f.begin(b); err != nil {
			return fail(err)
		}
	}
	return f, nil
}

// Uid names a server; number reads the name.
func uid(num int) string { return fmt.Sprintf("s-%d", num) }

func number(uid string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(uid, "s-"))
	if err != nil {
		return -1
	}
	return n
}

// server adds a server; first: before the run.
func (f *Cluster) server(m topology.Machine, started time.Duration, first bool) error {
	num := len(f.Servers)
	s := emulator.NewServer(num, uid(num), m.Type, f.World.Warmup, f.World.GroupCost, f.World.Sheds, started, f.store, f.Clock, f.Log, f.seed)
	if err := s.Listen(); err != nil {
		return err
	}
	f.Servers = append(f.Servers, s)
	f.places = append(f.places, checker.Place{Zone: m.Zone, Cell: m.FailureDomain})
	at := s.Addr()
	if f.hasLinks {
		l, err := emulator.NewLink(at)
		if err != nil {
			return err
		}
		f.links = append(f.links, l)
		at = l.Addr()
	}
	e := emulator.Endpoint{UID: uid(num), Address: at, Zone: ZoneName(m.Zone), MachineType: m.Type.Name, FailureDomain: m.FailureDomain, State: emulator.InService,
		Weight: float64(m.Type.Cores)}
	if first {
		f.list.SetInitial(e)
	} else {
		e.BootMs = time.Now().UnixMilli()
		f.list.Set(context.Background(), e, false)
	}
	return nil
}

// begin starts a balancer's next life.
func (f *Cluster) begin(b int) error {
	f.mu.Lock()
	f.incarnations[b]++
	seed := f.seed<<16 | uint64(b)<<8 | uint64(f.incarnations[b])
	f.mu.Unlock()
	f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.BalancerStarted, Balancer: int32(b), Server: -1})
	p := f.proc(b)
	if err := p.WriteConfig(BalancerConfig(&f.World, b, p.Addr, f.agents[b].Addr(), seed*0x9e3779b97f4a7c15, f.agents[b].Known())); err != nil {
		return err
	}
	p.env = append(p.env[:len(p.env):len(p.env)], "EDGE_DISCOVERY="+f.agents[b].Addr())
	if err := p.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.receiving[b] = true
	f.mu.Unlock()
	return nil
}

// PickBalancer is the front: it deals out clients among the balancers that it takes for alive.
func (f *Cluster) PickBalancer(rng *rand.Rand) (int, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := rng.IntN(len(f.receiving))
	for i := range f.receiving {
		if b := (from + i) % len(f.receiving); f.receiving[b] {
			return b, f.Procs[b].Addr, true
		}
	}
	return 0, "", false
}

// proc is a balancer's newest process.
func (f *Cluster) proc(b int) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Procs[b]
}

func (f *Cluster) out(b int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receiving[b] = false
}

// fail notes that the lab itself could not do something.
func (f *Cluster) fail(err error) {
	if err != nil {
		f.mu.Lock()
		f.errs = append(f.errs, err)
		f.mu.Unlock()
	}
}

// Run plays the world to its end and answers figures, events and the judge's word. note is told of each step.
func (f *Cluster) Run(ctx context.Context, note func(at time.Duration, text string)) (report.Run, []history.Event, checker.Verdict, error) {
	w := &f.World
	steps, _, err := faults.Expand(w.Faults, len(w.Machines), w.Balancers, f.seed)
	if err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	people := load.Generate(w.Load, f.seed)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	f.Clock.Begin()
	crowd := &emulator.Clients{Clock: f.Clock, Log: f.Log, Meter: f.Meter, Door: f.PickBalancer, Grades: w.GradeNames, Limits: w.OuterLimits,
		Each: w.MessageEach, Goal: w.MessageGoal, Return: w.Retry, Seed: f.seed}
	all.Add(3)
	go func() { defer all.Done(); crowd.Run(ctx, people) }()
	go func() { defer all.Done(); f.ticks(ctx) }()
	go func() {
		defer all.Done()
		for _, st := range steps {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(f.Clock.At(st.At))):
			}
			if note != nil {
				note(f.Clock.Now(), describe(st))
			}
			f.step(ctx, st, crowd, &all)
		}
	}()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(f.Clock.At(w.Load.Length))):
	}
	end := f.Clock.Now()
	if f.members != nil {
		f.fail(f.meet())
	}
	groups := map[uint64]int{}
	f.mu.Lock()
	servers := f.Servers[:len(f.Servers):len(f.Servers)]
	f.mu.Unlock()
	for _, s := range servers {
		for g := range s.Groups() {
			groups[g]++
		}
	}
	stop()
	all.Wait()
	run := f.Meter.Run()
	for _, n := range groups {
		run.Groups++
		run.GroupServers += n
	}
	run.Late = float64(crowd.Late().Milliseconds())
	for _, p := range append(f.replaced, f.Procs...) {
		p.Kill()
		used, mb := p.TotalUsage()
		run.BalancerCPU += used.Seconds()
		run.BalancerMB = max(run.BalancerMB, mb)
		run.Balancers = append(run.Balancers, report.Usage{Name: p.Name, CPU: used.Seconds(), MB: mb})
	}
	var events []history.Event
	for _, e := range f.Log.Events() {
		if e.At <= end { // what the end of the run itself does to the world is nobody's fault
			events = append(events, e)
			switch e.Kind {
			case history.AttemptReceived:
				run.Tries++
			case history.Answered:
				if e.Text == "busy" && e.At >= w.Load.Fill {
					run.Nacks++
				}
			}
		}
	}
	v := checker.Check(w.Rules(slack, f.places), events, f.Log.Lost(), end)
	run.SetVerdict(v)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errs) > 0 {
		return run, events, v, f.errs[0]
	}
	return run, events, v, nil
}

// ticks has the models account for time, and takes the figures.
func (f *Cluster) ticks(ctx context.Context) {
	for at := tick; ; at += tick {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(f.Clock.At(at))):
		}
		f.mu.Lock()
		servers := f.Servers[:len(f.Servers):len(f.Servers)]
		f.mu.Unlock()
		var loads []float64
		for _, s := range servers {
			if a, ready := s.Tick(); ready {
				loads = append(loads, a)
			}
		}
		worst, mean, spread := report.Loads(loads)
		f.Meter.Tick(at, tick, 0, 0, worst, mean, spread)
	}
}

// step carries out one step of the timetable.
func (f *Cluster) step(ctx context.Context, st faults.Step, crowd *emulator.Clients, all *sync.WaitGroup) {
	beside := func(do func()) {
		all.Add(1)
		go func() { defer all.Done(); do() }()
	}
	var s *emulator.Server
	if st.Target < len(f.Servers) {
		s = f.Servers[st.Target]
	} else if st.OnServer() && st.Action != faults.Start {
		return // it has not started yet
	}
	name := uid(st.Target)
	on := st.Figure > 0
	switch st.Action {
	case faults.Start:
		old := f.World.Machines[st.Of]
		f.mu.Lock()
		err := f.server(old, f.Clock.Now(), false)
		f.mu.Unlock()
		f.fail(err)
	case faults.BeginDrain:
		f.list.SetState(ctx, name, emulator.Terminating, 0, false)
		by := f.Clock.Now() + st.For
		beside(func() { s.Drain(ctx, f.World.SendsAway, by) })
	case faults.Stop:
		s.Fail("stop")
		f.list.SetState(ctx, name, emulator.Terminated, 0, false)
	case faults.Die:
		s.Fail("crash")
		f.list.SetState(ctx, name, emulator.Terminated, 0, true)
	case faults.Revive:
		f.fail(s.Revive())
		f.list.SetState(ctx, name, emulator.InService, time.Now().UnixMilli(), false)
	case faults.Silence:
		s.Misbehave(func(w *emulator.WireFaults) { w.Silent = true })
	case faults.Speak:
		s.Misbehave(func(w *emulator.WireFaults) { w.Silent = false })
	case faults.SetSlow:
		s.Set(func(m *model.Server) { m.Slow = st.Figure })
	case faults.SetErrors:
		s.Set(func(m *model.Server) { m.ErrorRate = st.Figure })
	case faults.SetFull:
		s.Set(func(m *model.Server) { m.Full = on })
	case faults.SetDrip:
		s.Misbehave(func(w *emulator.WireFaults) { w.Drip = on })
	case faults.SetTorn:
		s.Misbehave(func(w *emulator.WireFaults) { w.Torn = on })
	case faults.SetHalfOpen:
		s.Misbehave(func(w *emulator.WireFaults) { w.HalfOpen = on })
	case faults.SetLinkLate:
		f.links[st.Target].Set(func(c *emulator.Condition) { c.Late = st.For })
	case faults.SetLinkCut:
		if on {
			f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.Stopped, Server: int32(st.Target), Balancer: -1, Text: "link"})
		}
		f.links[st.Target].Set(func(c *emulator.Condition) { c.CutOut = on })
		if !on {
			f.links[st.Target].Reset() // what waited on it is stale by now
			f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.Started, Server: int32(st.Target), Balancer: -1, Text: "warm"})
		}
	case faults.SetStore:
		f.store.Slow(st.Figure)
	case faults.SetDiscovery:
		f.list.Misbehave(map[bool]emulator.Fault{true: emulator.Healthy, false: emulator.Mute}[on])
	case faults.SetFaulty:
		f.list.Misbehave(map[bool]emulator.Fault{true: emulator.Faulty, false: emulator.Healthy}[on])
	case faults.SetLate:
		f.list.SetDelay(st.For)
	case faults.Hide:
		f.list.Hide(ctx, name, true)
	case faults.Show:
		f.list.Hide(ctx, name, false)
	case faults.DropClients:
		crowd.Drop(st.Figure, st.For, f.rng)
	case faults.KillBalancer:
		f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.BalancerKilled, Balancer: int32(st.Target), Server: -1, Text: "outright"})
		f.proc(st.Target).Kill()
		beside(func() {
			select {
			case <-ctx.Done():
			case <-time.After(deadSeen):
			}
			select {
			case <-f.proc(st.Target).Exited(): // not started again meanwhile
				f.out(st.Target)
			default:
			}
		})
	case faults.StartBalancer:
		beside(func() { f.fail(f.begin(st.Target)) })
	case faults.LeaveBalancer:
		beside(func() { f.leave(ctx, st.Target) })
	case faults.ReloadAll:
		for b := range f.agents {
			f.fail(f.agents[b].Replace())
		}
		f.reload(&f.World)
	case faults.SetTune:
		w := f.World
		if on {
			w = retuned(w)
		}
		f.reload(&w)
	case faults.UpgradeBalancer:
		beside(func() { f.fail(f.upgrade(ctx, st.Target)) })
	case faults.DrainBalancer:
		beside(func() { f.fail(f.drain(ctx, st.Target, st.For)) })
	case faults.SetCrowd:
		beside(func() { emulator.RunSilentClients(ctx, st.Figure, st.For, f.PickBalancer, f.seed) })
	case faults.SetPieces:
		crowd.Pieces.Store(on)
	case faults.SetTies:
		f.members.set(st.Band, st.Tie)
	case faults.StallBalancer:
		beside(func() { f.stall(ctx, st.Target, st.For) })
	case faults.LoseBalancer:
		f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.BalancerKilled, Balancer: int32(st.Target), Server: -1, Text: "outright"})
		f.fail(f.members.LoseMachine(st.Target))
		f.out(st.Target)
	case faults.SetBad:
		if f.stopMisbehaving != nil {
			f.stopMisbehaving()
		}
		var rude context.Context
		rude, f.stopMisbehaving = context.WithCancel(ctx)
		if on {
			beside(func() { emulator.RunMisbehavingClients(rude, st.Figure, f.PickBalancer, f.Meter, f.seed) })
		}
	}
}

// stall stops a balancer's process for a while. What it had taken is answered late, or by its client's leaving.
func (f *Cluster) stall(ctx context.Context, b int, span time.Duration) {
	p := f.proc(b)
	f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.BalancerKilled, Balancer: int32(b), Server: -1, Text: "stalled"})
	f.fail(p.Signal(syscall.SIGSTOP))
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	wait(min(span, deadSeen))
	f.out(b)
	wait(span - deadSeen)
	f.fail(p.Signal(syscall.SIGCONT))
	f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.BalancerStarted, Balancer: int32(b), Server: -1})
	f.mu.Lock()
	f.receiving[b] = true
	f.mu.Unlock()
}

// reload has all balancers take a world's settings in.
func (f *Cluster) reload(w *topology.World) {
	for b := range f.agents {
		p := f.proc(b)
		f.fail(p.WriteConfig(BalancerConfig(w, b, p.Addr, f.agents[b].Addr(), 1, f.agents[b].Known())))
		f.fail(p.Signal(syscall.SIGHUP))
	}
}

// retuned is a world whose settings have a grade more, in the first place, and half the tries.
func retuned(w topology.World) topology.World {
	w.Deployment.MaxAttempts = max(1, w.Deployment.MaxAttempts/2)
	w.Deployment.Classes = append([]policy.Class{{Idempotency: policy.NonIdempotent, SetupObjective: time.Second, PriorityWeight: 1}}, w.Deployment.Classes...)
	w.GradeNames = append([]string{"retuned"}, w.GradeNames...)
	w.OuterLimits = append([]time.Duration{2 * time.Second}, w.OuterLimits...)
	return w
}

// upgrade starts a new process of a balancer beside the old one, which ends once the new one says yes.
func (f *Cluster) upgrade(ctx context.Context, b int) error {
	old := f.proc(b)
	young, err := old.Successor()
	if err != nil {
		return err
	}
	if err := young.Launch(); err != nil {
		return err
	}
	f.mu.Lock()
	if f.members != nil {
		f.members.processes[b] = young
	}
	f.Procs[b], f.replaced = young, append(f.replaced, old)
	f.mu.Unlock()
	if err := young.WaitReady(); err != nil {
		return err
	}
	f.fail(old.Signal(syscall.SIGTERM))
	select {
	case <-old.Exited():
		return old.Err()
	case <-ctx.Done():
	case <-time.After(f.longest() + killAfter):
		old.Kill()
		return fmt.Errorf("balancer %s: the old process does not end: %s", old.Name, old.LogTail())
	}
	return nil
}

// drain empties a balancer, looks that it says no meanwhile and holds nothing after 4 s, and takes it back.
func (f *Cluster) drain(ctx context.Context, b int, span time.Duration) error {
	p := f.proc(b)
	call := func(path string) error {
		code, text, err := p.Call(http.MethodPut, path)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("balancer %s answers %s with %d %s", p.Name, path, code, text)
		}
		return err
	}
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	if err := call("/control/out-of-service"); err != nil {
		return err
	}
	if pong(p.Addr) {
		return fmt.Errorf("balancer %s says yes while it is emptied", p.Name)
	}
	if !wait(comeOn) {
		return nil
	}
	f.out(b)
	if !wait(emptyIn - comeOn) {
		return nil
	}
	if _, text, err := p.Call(http.MethodGet, "/control/ready"); err != nil || !strings.Contains(text, " 0 circuits open") {
		return fmt.Errorf("balancer %s after %v: %s, %w", p.Name, emptyIn, text, err)
	}
	wait(span - emptyIn)
	if err := call("/control/in-service"); err != nil {
		return err
	}
	if !pong(p.Addr) {
		return fmt.Errorf("balancer %s says no once it is back", p.Name)
	}
	f.mu.Lock()
	f.receiving[b] = true
	f.mu.Unlock()
	return nil
}

func (f *Cluster) longest() (most time.Duration) {
	for _, l := range f.World.OuterLimits {
		most = max(most, l)
	}
	return most
}

// leave restarts a balancer as planned.
func (f *Cluster) leave(ctx context.Context, b int) {
	p := f.proc(b)
	f.fail(p.Signal(syscall.SIGTERM))
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-p.Exited():
			return true
		case <-time.After(d):
			return true
		}
	}
	if !wait(comeOn) {
		return
	}
	f.out(b)
	if !wait(f.longest() + killAfter - comeOn) {
		return
	}
	f.Log.Add(history.Event{At: f.Clock.Now(), Kind: history.BalancerKilled, Balancer: int32(b), Server: -1, Text: "planned"})
	p.Kill()
	f.fail(f.begin(b))
}

// DiscoveryAddr is where a balancer finds discovery; Known is the list as it counts as told to it.
func (f *Cluster) DiscoveryAddr(b int) string { return f.agents[b].Addr() }

// KnownEndpoints is the list in the form that a balancer is told at its start.
func (f *Cluster) KnownEndpoints(b int) json.RawMessage { return f.agents[b].Known() }

// Close ends all that is left.
func (f *Cluster) Close() {
	for _, p := range append(f.replaced, f.Procs...) {
		p.Kill()
		p.UnshareListener()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	for _, l := range f.links {
		l.Close()
	}
	if f.members != nil {
		f.members.Close()
	}
	for _, a := range f.agents {
		a.Close()
	}
	for _, c := range f.closers {
		_ = c.Close()
	}
	_ = os.RemoveAll(f.dir)
}

var acts = map[faults.Action]string{
	faults.Start: "starts", faults.BeginDrain: "drains", faults.Stop: "stops", faults.Die: "crashes", faults.Revive: "is back, cold",
	faults.Silence: "vanishes", faults.Speak: "speaks again", faults.SetSlow: "slower, times", faults.SetErrors: "fails, share",
	faults.SetFull: "full", faults.SetDrip: "drips", faults.SetTorn: "tears lines", faults.SetHalfOpen: "half open",
	faults.SetStore: "the store is slower, times", faults.SetDiscovery: "discovery in reach", faults.SetLate: "the list comes later",
	faults.SetFaulty: "discovery answers with faults", faults.Hide: "is missing from the list", faults.Show: "is in the list again",
	faults.DropClients: "clients drop, share", faults.KillBalancer: "is killed", faults.StartBalancer: "starts again",
	faults.LeaveBalancer: "restarts as planned", faults.ReloadAll: "all balancers reload", faults.SetBad: "bad clients a second",
	faults.UpgradeBalancer: "gets a new process beside it", faults.DrainBalancer: "is emptied", faults.SetTune: "all balancers are retuned",
	faults.SetCrowd: "clients that never finish, a second", faults.SetPieces: "clients write in pieces",
	faults.SetTies: "ways between members", faults.StallBalancer: "is stopped", faults.LoseBalancer: "is lost with its directory",
	faults.SetLinkLate: "its link is later", faults.SetLinkCut: "its link is cut",
}

// describe puts a step in words.
func describe(st faults.Step) string {
	text := acts[st.Action]
	switch {
	case st.OnServer():
		text = uid(st.Target) + " " + text
	case st.Action == faults.SetTies:
		text = fmt.Sprintf("%s %b: %+v", text, st.Band, st.Tie)
	case st.Action == faults.StallBalancer || st.Action == faults.LoseBalancer || st.Action == faults.KillBalancer || st.Action == faults.StartBalancer || st.Action == faults.LeaveBalancer:
		text = fmt.Sprintf("balancer n%d %s", st.Target, text)
	}
	if st.Figure != 0 {
		text += fmt.Sprintf(" %g", st.Figure)
	}
	if st.For != 0 {
		text += fmt.Sprintf(" %v", st.For)
	}
	return text
}
