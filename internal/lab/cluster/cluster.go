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

// Field is one world on sockets while it runs.
type Field struct {
	World   topology.World
	Servers []*emulator.Server
	Procs   []*Process
	Meter   *report.Meter
	Clock   *emulator.Clock
	Log     *history.Log
	agents  []*emulator.Agent
	list    *emulator.List
	links   []*emulator.Link
	store   *emulator.Store
	rng     *rand.Rand
	seed    uint64
	dir     string
	linked  bool
	band    *Band // where the balancers are members of a fleet
	places  []checker.Place
	closers []io.Closer

	mu     sync.Mutex
	in     []bool // the front deals to it
	lives  []int
	stopBd context.CancelFunc // ends the bad clients
	olds   []*Process         // that were replaced by one beside them
	errs   []error
}

// Start sets a world up and starts its balancers; Close ends all of it.
func Start(w topology.World, arm Arm, seed uint64) (*Field, error) {
	f := &Field{World: w, Clock: &emulator.Clock{}, Log: history.New(eventMost), rng: rand.New(rand.NewPCG(seed, 0xf1e1d)), seed: seed,
		in: make([]bool, w.Balancers), lives: make([]int, w.Balancers), store: emulator.NewStore(w.Store),
		Meter: report.NewMeter(w.Load.Fill, w.Load.Length)}
	f.list = emulator.NewList(f.Clock, w.Notice, w.Silent, seed)
	for _, fault := range w.Faults {
		f.linked = f.linked || fault.Kind == faults.LinkSlow || fault.Kind == faults.LinkCut
	}
	operated := slices.ContainsFunc(w.Faults, func(x faults.Fault) bool {
		return x.Kind == faults.Upgrade || x.Kind == faults.BalancerDrain
	})

	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return nil, err
	}
	f.dir = dir
	fail := func(err error) (*Field, error) { f.Close(); return nil, err }
	for b := range w.Balancers {
		a, err := emulator.NewAgent(b, f.Clock, f.Log, number)
		if err != nil {
			return fail(err)
		}
		f.agents = append(f.agents, a)
		f.list.Join(a)
	}
	for _, m := range w.Machines {
		if err := f.server(m, fromStart, true); err != nil {
			return fail(err)
		}
	}
	if w.Copies > 0 {
		if f.band, err = NewBand(w.Balancers, dir, seed); err != nil {
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
			if err := p.Operate(); err != nil {
				return fail(err)
			}
			if err := p.Share(); err != nil {
				return fail(err)
			}
		}
		if f.band != nil {
			if err := f.band.Enlist(b, w.Copies, w.Zones, p); err != nil {
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
func (f *Field) server(m topology.Machine, started time.Duration, first bool) error {
	num := len(f.Servers)
	s := emulator.NewServer(num, uid(num), m.Kind, f.World.Warmup, f.World.GroupCost, f.World.Sheds, started, f.store, f.Clock, f.Log, f.seed)
	if err := s.Listen(); err != nil {
		return err
	}
	f.Servers = append(f.Servers, s)
	f.places = append(f.places, checker.Place{Zone: m.Zone, Cell: m.Cell})
	at := s.Addr()
	if f.linked {
		l, err := emulator.NewLink(at)
		if err != nil {
			return err
		}
		f.links = append(f.links, l)
		at = l.Addr()
	}
	e := emulator.Entry{UID: uid(num), Endpoint: at, Zone: Zone(m.Zone), Machine: m.Kind.Name, Cell: m.Cell, State: emulator.InService,
		Heft: float64(m.Kind.Cores)}
	if first {
		f.list.First(e)
	} else {
		e.BootMs = time.Now().UnixMilli()
		f.list.Set(context.Background(), e, false)
	}
	return nil
}

// begin starts a balancer's next life.
func (f *Field) begin(b int) error {
	f.mu.Lock()
	f.lives[b]++
	seed := f.seed<<16 | uint64(b)<<8 | uint64(f.lives[b])
	f.mu.Unlock()
	f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Begun, Balancer: int32(b), Server: -1})
	p := f.proc(b)
	if err := p.Write(Config(&f.World, b, p.Addr, f.agents[b].Addr(), seed*0x9e3779b97f4a7c15, f.agents[b].Known())); err != nil {
		return err
	}
	p.env = append(p.env[:len(p.env):len(p.env)], "EDGE_DISCOVERY="+f.agents[b].Addr())
	if err := p.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.in[b] = true
	f.mu.Unlock()
	return nil
}

// Door is the front: it deals out clients among the balancers that it takes for alive.
func (f *Field) Door(rng *rand.Rand) (int, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from := rng.IntN(len(f.in))
	for i := range f.in {
		if b := (from + i) % len(f.in); f.in[b] {
			return b, f.Procs[b].Addr, true
		}
	}
	return 0, "", false
}

// proc is a balancer's newest process.
func (f *Field) proc(b int) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Procs[b]
}

func (f *Field) out(b int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.in[b] = false
}

// fail notes that the lab itself could not do something.
func (f *Field) fail(err error) {
	if err != nil {
		f.mu.Lock()
		f.errs = append(f.errs, err)
		f.mu.Unlock()
	}
}

// Run plays the world to its end and answers figures, events and the judge's word. note is told of each step.
func (f *Field) Run(ctx context.Context, note func(at time.Duration, text string)) (report.Run, []history.Event, checker.Verdict, error) {
	w := &f.World
	steps, _, err := faults.Expand(w.Faults, len(w.Machines), w.Balancers, f.seed)
	if err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	people := load.Draw(w.Load, f.seed)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	f.Clock.Begin()
	crowd := &emulator.Crowd{Clock: f.Clock, Log: f.Log, Meter: f.Meter, Door: f.Door, Grades: w.GradeNames, Limits: w.OuterLimits,
		Each: w.MessageEach, Goal: w.MessageGoal, Return: w.Return, Seed: f.seed}
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
	if f.band != nil {
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
	for _, p := range append(f.olds, f.Procs...) {
		p.Kill()
		used, mb := p.Used()
		run.BalancerCPU += used.Seconds()
		run.BalancerMB = max(run.BalancerMB, mb)
		run.Balancers = append(run.Balancers, report.Used{Name: p.Name, CPU: used.Seconds(), MB: mb})
	}
	var events []history.Event
	for _, e := range f.Log.Events() {
		if e.At <= end { // what the end of the run itself does to the world is nobody's fault
			events = append(events, e)
			switch e.What {
			case history.Sent:
				run.Tries++
			case history.Answered:
				if e.Text == "busy" && e.At >= w.Load.Fill {
					run.Nacks++
				}
			}
		}
	}
	v := checker.Judge(w.Rules(slack, f.places), events, f.Log.Lost(), end)
	run.Judged(v)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.errs) > 0 {
		return run, events, v, f.errs[0]
	}
	return run, events, v, nil
}

// ticks has the models account for time, and takes the figures.
func (f *Field) ticks(ctx context.Context) {
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
func (f *Field) step(ctx context.Context, st faults.Step, crowd *emulator.Crowd, all *sync.WaitGroup) {
	beside := func(do func()) {
		all.Add(1)
		go func() { defer all.Done(); do() }()
	}
	var s *emulator.Server
	if st.Who < len(f.Servers) {
		s = f.Servers[st.Who]
	} else if st.OnServer() && st.Act != faults.Start {
		return // it has not started yet
	}
	name := uid(st.Who)
	on := st.Figure > 0
	switch st.Act {
	case faults.Start:
		old := f.World.Machines[st.Of]
		f.mu.Lock()
		err := f.server(old, f.Clock.Now(), false)
		f.mu.Unlock()
		f.fail(err)
	case faults.BeginDrain:
		f.list.State(ctx, name, emulator.Terminating, 0, false)
		by := f.Clock.Now() + st.For
		beside(func() { s.Drain(ctx, f.World.SendsAway, by) })
	case faults.Stop:
		s.Down("stop")
		f.list.State(ctx, name, emulator.Terminated, 0, false)
	case faults.Die:
		s.Down("crash")
		f.list.State(ctx, name, emulator.Terminated, 0, true)
	case faults.Revive:
		f.fail(s.Revive())
		f.list.State(ctx, name, emulator.InService, time.Now().UnixMilli(), false)
	case faults.Silence:
		s.Misbehave(func(w *emulator.Ways) { w.Silent = true })
	case faults.Speak:
		s.Misbehave(func(w *emulator.Ways) { w.Silent = false })
	case faults.SetSlow:
		s.Set(func(m *model.Server) { m.Slow = st.Figure })
	case faults.SetErrors:
		s.Set(func(m *model.Server) { m.ErrorRate = st.Figure })
	case faults.SetFull:
		s.Set(func(m *model.Server) { m.Full = on })
	case faults.SetDrip:
		s.Misbehave(func(w *emulator.Ways) { w.Drip = on })
	case faults.SetTorn:
		s.Misbehave(func(w *emulator.Ways) { w.Torn = on })
	case faults.SetHalfOpen:
		s.Misbehave(func(w *emulator.Ways) { w.HalfOpen = on })
	case faults.SetLinkLate:
		f.links[st.Who].Set(func(c *emulator.Condition) { c.Late = st.For })
	case faults.SetLinkCut:
		if on {
			f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Stopped, Server: int32(st.Who), Balancer: -1, Text: "link"})
		}
		f.links[st.Who].Set(func(c *emulator.Condition) { c.CutOut = on })
		if !on {
			f.links[st.Who].Reset() // what waited on it is stale by now
			f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Started, Server: int32(st.Who), Balancer: -1, Text: "warm"})
		}
	case faults.SetStore:
		f.store.Slow(st.Figure)
	case faults.SetDiscovery:
		f.list.Misbehave(map[bool]emulator.Fault{true: emulator.Sound, false: emulator.Mute}[on])
	case faults.SetFaulty:
		f.list.Misbehave(map[bool]emulator.Fault{true: emulator.Faulty, false: emulator.Sound}[on])
	case faults.SetLate:
		f.list.Late(st.For)
	case faults.Hide:
		f.list.Hide(ctx, name, true)
	case faults.Show:
		f.list.Hide(ctx, name, false)
	case faults.DropClients:
		crowd.Drop(st.Figure, st.For, f.rng)
	case faults.KillBalancer:
		f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Killed, Balancer: int32(st.Who), Server: -1, Text: "outright"})
		f.proc(st.Who).Kill()
		beside(func() {
			select {
			case <-ctx.Done():
			case <-time.After(deadSeen):
			}
			select {
			case <-f.proc(st.Who).Exited(): // not started again meanwhile
				f.out(st.Who)
			default:
			}
		})
	case faults.StartBalancer:
		beside(func() { f.fail(f.begin(st.Who)) })
	case faults.LeaveBalancer:
		beside(func() { f.leave(ctx, st.Who) })
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
		beside(func() { f.fail(f.upgrade(ctx, st.Who)) })
	case faults.DrainBalancer:
		beside(func() { f.fail(f.drain(ctx, st.Who, st.For)) })
	case faults.SetCrowd:
		beside(func() { emulator.Mob(ctx, st.Figure, st.For, f.Door, f.seed) })
	case faults.SetPieces:
		crowd.Pieces.Store(on)
	case faults.SetTies:
		f.band.set(st.Band, st.Tie)
	case faults.StallBalancer:
		beside(func() { f.stall(ctx, st.Who, st.For) })
	case faults.LoseBalancer:
		f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Killed, Balancer: int32(st.Who), Server: -1, Text: "outright"})
		f.fail(f.band.Lose(st.Who))
		f.out(st.Who)
	case faults.SetBad:
		if f.stopBd != nil {
			f.stopBd()
		}
		var rude context.Context
		rude, f.stopBd = context.WithCancel(ctx)
		if on {
			beside(func() { emulator.RudeCrowd(rude, st.Figure, f.Door, f.Meter, f.seed) })
		}
	}
}

// stall stops a balancer's process for a while. What it had taken is answered late, or by its client's leaving.
func (f *Field) stall(ctx context.Context, b int, span time.Duration) {
	p := f.proc(b)
	f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Killed, Balancer: int32(b), Server: -1, Text: "stalled"})
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
	f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Begun, Balancer: int32(b), Server: -1})
	f.mu.Lock()
	f.in[b] = true
	f.mu.Unlock()
}

// reload has all balancers take a world's settings in.
func (f *Field) reload(w *topology.World) {
	for b := range f.agents {
		p := f.proc(b)
		f.fail(p.Write(Config(w, b, p.Addr, f.agents[b].Addr(), 1, f.agents[b].Known())))
		f.fail(p.Signal(syscall.SIGHUP))
	}
}

// retuned is a world whose settings have a grade more, in the first place, and half the tries.
func retuned(w topology.World) topology.World {
	w.Deployment.MostTries = max(1, w.Deployment.MostTries/2)
	w.Deployment.Grades = append([]policy.Grade{{Effect: policy.Unrepeatable, SetupGoal: time.Second, Utility: 1}}, w.Deployment.Grades...)
	w.GradeNames = append([]string{"retuned"}, w.GradeNames...)
	w.OuterLimits = append([]time.Duration{2 * time.Second}, w.OuterLimits...)
	return w
}

// upgrade starts a new process of a balancer beside the old one, which ends once the new one says yes.
func (f *Field) upgrade(ctx context.Context, b int) error {
	old := f.proc(b)
	young, err := old.Beside()
	if err != nil {
		return err
	}
	if err := young.Launch(); err != nil {
		return err
	}
	f.mu.Lock()
	if f.band != nil {
		f.band.all[b] = young
	}
	f.Procs[b], f.olds = young, append(f.olds, old)
	f.mu.Unlock()
	if err := young.Yes(); err != nil {
		return err
	}
	f.fail(old.Signal(syscall.SIGTERM))
	select {
	case <-old.Exited():
		return old.Err()
	case <-ctx.Done():
	case <-time.After(f.longest() + killAfter):
		old.Kill()
		return fmt.Errorf("balancer %s: the old process does not end: %s", old.Name, old.Tail())
	}
	return nil
}

// drain empties a balancer, looks that it says no meanwhile and holds nothing after 4 s, and takes it back.
func (f *Field) drain(ctx context.Context, b int, span time.Duration) error {
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
	f.in[b] = true
	f.mu.Unlock()
	return nil
}

func (f *Field) longest() (most time.Duration) {
	for _, l := range f.World.OuterLimits {
		most = max(most, l)
	}
	return most
}

// leave restarts a balancer as planned.
func (f *Field) leave(ctx context.Context, b int) {
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
	f.Log.Add(history.Event{At: f.Clock.Now(), What: history.Killed, Balancer: int32(b), Server: -1, Text: "planned"})
	p.Kill()
	f.fail(f.begin(b))
}

// Agent is where a balancer finds discovery; Known is the list as it counts as told to it.
func (f *Field) Agent(b int) string { return f.agents[b].Addr() }

// Known is the list in the form that a balancer is told at its start.
func (f *Field) Known(b int) json.RawMessage { return f.agents[b].Known() }

// Close ends all that is left.
func (f *Field) Close() {
	for _, p := range append(f.olds, f.Procs...) {
		p.Kill()
		p.Unshare()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	for _, l := range f.links {
		l.Close()
	}
	if f.band != nil {
		f.band.Close()
	}
	for _, a := range f.agents {
		a.Close()
	}
	for _, c := range f.closers {
		_ = c.Close()
	}
	_ = os.RemoveAll(f.dir)
}

var acts = map[faults.Act]string{
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
	text := acts[st.Act]
	switch {
	case st.OnServer():
		text = uid(st.Who) + " " + text
	case st.Act == faults.SetTies:
		text = fmt.Sprintf("%s %b: %+v", text, st.Band, st.Tie)
	case st.Act == faults.StallBalancer || st.Act == faults.LoseBalancer || st.Act == faults.KillBalancer || st.Act == faults.StartBalancer || st.Act == faults.LeaveBalancer:
		text = fmt.Sprintf("balancer n%d %s", st.Who, text)
	}
	if st.Figure != 0 {
		text += fmt.Sprintf(" %g", st.Figure)
	}
	if st.For != 0 {
		text += fmt.Sprintf(" %v", st.For)
	}
	return text
}
