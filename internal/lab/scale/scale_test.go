package scale

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

func testOptions() Options {
	return Options{Balancers: 460, Control: 17, Zones: 11, Regions: 3, ChangesPerDay: 21000, Burst: 100, Length: time.Minute, Seed: 3, Faults: FaultsNone}
}

func newTestPlan(t *testing.T, o Options) *Plan {
	t.Helper()
	p, err := NewPlan(o)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestOptionsRejectBadArguments sets one option to a bad value at a time: the error has to name the flag and say what is wrong.
func TestOptionsRejectBadArguments(t *testing.T) {
	for _, c := range []struct {
		change func(*Options)
		want   string
	}{
		{func(o *Options) { o.Balancers = 0 }, "--balancers: 0 lies outside 1 to 10000"},
		{func(o *Options) { o.Control = 65 }, "--control: 65 lies outside 1 to 64"},
		{func(o *Options) { o.Zones = 0 }, "--zones: 0 lies outside 1 to 64"},
		{func(o *Options) { o.Regions = 12 }, "--regions: 12 lies outside 1 to 11"},
		{func(o *Options) { o.ChangesPerDay = -1 }, "--changes-per-day: -1 lies outside"},
		{func(o *Options) { o.Burst = 10001 }, "--burst: 10001 lies outside"},
		{func(o *Options) { o.Length = 9 * time.Second }, "--for: 9s lies outside 10s to 24h"},
		{func(o *Options) { o.Faults = "rock" }, `--faults: "rock" is not a kind of faults; the kinds are [none day rack zone region]`},
		{func(o *Options) { o.Faults, o.Control = FaultsRack, 1 }, "--faults: rack needs at least 2 control processes"},
		{func(o *Options) { o.Faults, o.Zones, o.Regions = FaultsZone, 1, 1 }, "--faults: zone needs at least 2 zones"},
		{func(o *Options) { o.Faults, o.Regions = FaultsRegion, 1 }, "--faults: region needs at least 2 regions"},
	} {
		o := testOptions()
		c.change(&o)
		_, err := NewPlan(o)
		var bad BadArgument
		if !errors.As(err, &bad) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("got error %v, want one with %q", err, c.want)
		}
	}
}

// TestPlanDependsOnSeedOnly fails if a plan depends on anything but its options, or if the seed has no effect.
func TestPlanDependsOnSeedOnly(t *testing.T) {
	for _, kind := range Faults {
		o := testOptions()
		o.Faults = kind
		if !reflect.DeepEqual(newTestPlan(t, o), newTestPlan(t, o)) {
			t.Errorf("%s: the same seed gave another plan", kind)
		}
		p := newTestPlan(t, o)
		o.Seed++
		if reflect.DeepEqual(p.Changes, newTestPlan(t, o).Changes) {
			t.Errorf("%s: another seed gave the same changes", kind)
		}
	}
}

// TestChangesAtConfiguredRate checks the number of changes of a day and their order, that a burst takes less than a second, and that keys and
// sizes are within their limits.
func TestChangesAtConfiguredRate(t *testing.T) {
	o := testOptions()
	o.Length = 24 * time.Hour
	p := newTestPlan(t, o)
	if n := len(p.Changes) - o.Burst; n < 20400 || n > 21600 { // the mean of 21000, give or take four standard deviations
		t.Errorf("%d changes in a day, want 20400 to 21600", n)
	}
	if !slices.IsSortedFunc(p.Changes, func(a, b Change) int { return int(a.Due - b.Due) }) {
		t.Error("the changes are not in order of time")
	}
	o.ChangesPerDay, o.Length = 0, 10*time.Second
	p = newTestPlan(t, o)
	if n := len(p.Changes); n != 100 || p.Changes[99].Due-p.Changes[0].Due >= time.Second || p.Changes[99].Due > o.Length {
		t.Errorf("a burst of %d changes from %v to %v, want 100 within a second", n, p.Changes[0].Due, p.Changes[n-1].Due)
	}
	for _, c := range p.Changes {
		if c.Key < 0 || c.Key >= Keys || c.Bytes < minValueBytes || c.Bytes > maxValueBytes {
			t.Fatalf("key or size out of range: %+v", c)
		}
	}
}

// TestVotersAreOdd: an even number of voters tolerates no more failures than one voter less.
func TestVotersAreOdd(t *testing.T) {
	for control, want := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 6: 5, 17: 5} {
		if got := Voters(control); got != want {
			t.Errorf("%d of %d control processes vote, want %d", got, control, want)
		}
	}
}

// TestEachFaultEndsWithinTheRun checks that each step that stops processes or cuts links is followed by the one that ends the fault, within the
// run.
func TestEachFaultEndsWithinTheRun(t *testing.T) {
	endOf := map[Action]Action{KillControl: StartControl, StopControl: StartControl, CutLinks: RestoreLinks, StopBalancers: StartBalancers, KillZone: StartZone}
	for _, kind := range Faults[1:] {
		for _, length := range []time.Duration{minLength, time.Minute, time.Hour} {
			o := testOptions()
			o.Faults, o.Length = kind, length
			p := newTestPlan(t, o)
			faulty := map[string]bool{}
			faults := 0
			for _, s := range p.Steps {
				if s.At < 0 || s.At > o.Length {
					t.Errorf("%s, %v: step outside the run: %+v", kind, length, s)
				}
				for _, target := range s.Targets {
					endAction := string(s.Action) // the action that ends the fault
					if end, isStart := endOf[s.Action]; isStart {
						endAction = string(end)
					}
					name := endAction + string(rune(target))
					if _, isStart := endOf[s.Action]; isStart == faulty[name] {
						t.Fatalf("%s, %v: step begins a fault that is going on, or ends one that is not: %+v", kind, length, s)
					}
					faulty[name] = !faulty[name]
					if faulty[name] {
						faults++
					}
				}
			}
			for name, isFaulty := range faulty {
				if isFaulty {
					t.Errorf("%s, %v: the fault that %q ends does not end", kind, length, name)
				}
			}
			if faults == 0 || p.LastFault() == 0 || p.FaultDescription == "" {
				t.Errorf("%s, %v: no fault, or no description of it", kind, length)
			}
		}
	}
}

// TestBurstDuringFault checks that the burst of changes falls into the fault: outside of it, the burst would test less.
func TestBurstDuringFault(t *testing.T) {
	for _, kind := range []string{FaultsRack, FaultsZone, FaultsRegion} {
		o := testOptions()
		o.Faults, o.ChangesPerDay = kind, 0
		p := newTestPlan(t, o)
		if first, last := p.Changes[0].Due, p.Changes[len(p.Changes)-1].Due; first < p.Steps[0].At || last > p.LastFault() {
			t.Errorf("%s: the fault lasts from %v to %v, the burst from %v to %v", kind, p.Steps[0].At, p.LastFault(), first, last)
		}
	}
}

// TestDayIsScaledToRun checks the number of restarts and losses of a day, of a minute, where the minimum applies, and with few balancers.
func TestDayIsScaledToRun(t *testing.T) {
	count := func(o Options) (n int) {
		for _, s := range newTestPlan(t, o).Steps {
			if s.Action == StopBalancers {
				n += len(s.Targets)
			}
		}
		return n
	}
	o := testOptions()
	o.Faults, o.Balancers, o.Length = FaultsDay, 4600, 24*time.Hour
	if n := count(o); n != 1730 {
		t.Errorf("%d balancers stop in a day, want 1730", n)
	}
	o.Length = time.Minute
	if n := count(o); n != 46+2 {
		t.Errorf("%d balancers stop in a minute, want 48", n)
	}
	o.Balancers = 3
	if n := count(o); n != 3 {
		t.Errorf("%d of 3 balancers stop, want 3", n)
	}
}

// TestHostsContainEachBalancerOnce checks also that a host process has no more than its limit, and with a zone fault only balancers of one zone.
func TestHostsContainEachBalancerOnce(t *testing.T) {
	for _, kind := range []string{FaultsNone, FaultsZone} {
		o := testOptions()
		o.Faults = kind
		p := newTestPlan(t, o)
		var all []int
		for _, h := range p.Hosts(30) {
			if len(h) == 0 || len(h) > 30 {
				t.Errorf("%s: %d balancers in one host process, want 1 to 30", kind, len(h))
			}
			for _, b := range h {
				if kind == FaultsZone && p.BalancerPlaces[b].Zone != p.BalancerPlaces[h[0]].Zone {
					t.Errorf("zones %d and %d in one host process", p.BalancerPlaces[b].Zone, p.BalancerPlaces[h[0]].Zone)
				}
			}
			all = append(all, h...)
		}
		slices.Sort(all)
		if len(all) != o.Balancers || len(slices.Compact(all)) != o.Balancers {
			t.Errorf("%s: the host processes have %d balancers, want each of %d once", kind, len(all), o.Balancers)
		}
	}
}

const ms = time.Millisecond

func milliseconds(n int) time.Duration { return time.Duration(n) * ms }

// newTestLedger returns a ledger with changes of versions 11 and 12, due at 100 and 200 ms, and one balancer that is up from 0 on.
func newTestLedger(records ...func(*Ledger)) *Ledger {
	l := NewLedger(1, 2)
	l.SetDueTime(0, milliseconds(100))
	l.SetDueTime(1, milliseconds(200))
	l.SetVersion(0, 11)
	l.SetVersion(1, 12)
	l.RecordStart(0, 0)
	for _, f := range records {
		f(l)
	}
	return l
}

var completeState = Final{Version: 12, Digest: 7, Values: 9}

// TestInForceIsMeasuredFromDueTime checks that a change counts from the time at which it was to be put, not from when it was accepted.
func TestInForceIsMeasuredFromDueTime(t *testing.T) {
	a := newTestLedger(func(l *Ledger) {
		l.RecordApplied(0, 11, milliseconds(150))
		l.RecordApplied(0, 12, milliseconds(260))
		l.SetFinal(0, completeState)
	}).ComputeAccount(milliseconds(1000), completeState)
	if a.MissedChanges+a.Regressions+a.ChangesNotAccepted+a.BalancersDiffering+a.BalancersSilent+a.BalancersBehind != 0 || a.InForceTimes.TotalCount() != 2 || (a.InForceTimes.Min()+500)/1000 != 50 || // rounded as in the histogram
		a.InForceTimes.Max()/1000 != 60 || a.SlowestChange != 1 {
		t.Errorf("account %+v, changes in force after %d to %d us", a, a.InForceTimes.Min(), a.InForceTimes.Max())
	}
}

// TestSnapshotAppliesAllChanges applies the version of the second change only: it includes the first one.
func TestSnapshotAppliesAllChanges(t *testing.T) {
	a := newTestLedger(func(l *Ledger) {
		l.RecordApplied(0, 12, milliseconds(300))
		l.SetFinal(0, completeState)
	}).ComputeAccount(milliseconds(1000), completeState)
	if a.MissedChanges != 0 || a.InForceTimes.TotalCount() != 2 || a.InForceTimes.Max()/1000 != 200 {
		t.Errorf("account %+v, changes in force after up to %d us", a, a.InForceTimes.Max())
	}
}

// TestUnreachableTimeIsNotCounted has a balancer that is down from 120 to 400 ms: a change that was due meanwhile counts from its return.
func TestUnreachableTimeIsNotCounted(t *testing.T) {
	a := newTestLedger(func(l *Ledger) {
		l.RecordEnd(0, milliseconds(120))
		l.RecordStart(0, milliseconds(400))
		l.RecordApplied(0, 12, milliseconds(430))
		l.SetFinal(0, completeState)
	}).ComputeAccount(milliseconds(1000), completeState)
	if a.MissedChanges != 0 || a.InForceTimes.TotalCount() != 2 || a.InForceTimes.Max()/1000 != 30 || a.ReturnTimes.TotalCount() != 1 || a.ReturnTimes.Max()/1000 != 30 {
		t.Errorf("account %+v, changes in force after up to %d us", a, a.InForceTimes.Max())
	}
}

// TestStalenessBeforeRestartIsCounted checks that a restart does not hide that a balancer lacked a change for a long time before.
func TestStalenessBeforeRestartIsCounted(t *testing.T) {
	a := newTestLedger(func(l *Ledger) {
		l.RecordApplied(0, 11, milliseconds(110))
		l.RecordEnd(0, milliseconds(900))
		l.RecordStart(0, milliseconds(910))
		l.RecordApplied(0, 12, milliseconds(920))
		l.SetFinal(0, completeState)
	}).ComputeAccount(milliseconds(1000), completeState)
	if a.MissedChanges != 0 || a.InForceTimes.Max()/1000 != 700 {
		t.Errorf("account %+v, changes in force after up to %d us", a, a.InForceTimes.Max())
	}
}

// TestUnreachableAtEndMissesNothing checks that a balancer that is down at the end counts neither as silent nor as behind.
func TestUnreachableAtEndMissesNothing(t *testing.T) {
	a := newTestLedger(func(l *Ledger) { l.RecordEnd(0, milliseconds(50)) }).ComputeAccount(milliseconds(1000), completeState)
	if a.MissedChanges != 0 || a.BalancersSilent != 0 || a.InForceTimes.TotalCount() != 0 {
		t.Errorf("account of a balancer that is down at the end: %+v", a)
	}
}

// TestMissedChangesAreCounted has a balancer with a single defect in each case, which has to be counted as that defect only.
func TestMissedChangesAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		record func(*Ledger)
		want   Account
	}{
		"behind": {func(l *Ledger) {
			l.RecordApplied(0, 11, milliseconds(150))
			l.SetFinal(0, Final{Version: 11, Digest: 6, Values: 5})
		}, Account{MissedChanges: 1, BalancersBehind: 1}},
		"another digest": {func(l *Ledger) {
			l.RecordApplied(0, 12, milliseconds(150))
			l.SetFinal(0, Final{Version: 12, Digest: 8, Values: 9})
		}, Account{MissedChanges: 2, BalancersDiffering: 1}},
		"other values": {func(l *Ledger) {
			l.RecordApplied(0, 13, milliseconds(150))
			l.SetFinal(0, Final{Version: 13, Digest: 8, Values: 8})
		}, Account{MissedChanges: 2, BalancersDiffering: 1}},
		"silent": {func(l *Ledger) { l.RecordApplied(0, 12, milliseconds(150)) }, Account{MissedChanges: 2, BalancersSilent: 1}},
		"not accepted": {func(l *Ledger) {
			l.SetVersion(1, 0)
			l.RecordApplied(0, 12, milliseconds(150))
			l.SetFinal(0, completeState)
		}, Account{MissedChanges: 1, BalancersBehind: 1, ChangesNotAccepted: 1}},
		"back": {func(l *Ledger) {
			l.RecordApplied(0, 12, milliseconds(250))
			l.RecordApplied(0, 11, milliseconds(260))
			l.SetFinal(0, completeState)
		}, Account{Regressions: 1}},
		"twice": {func(l *Ledger) {
			l.RecordApplied(0, 12, milliseconds(250))
			l.RecordApplied(0, 12, milliseconds(260))
			l.SetFinal(0, completeState)
		}, Account{Regressions: 1}},
	} {
		got := newTestLedger(c.record).ComputeAccount(milliseconds(1000), completeState)
		got.InForceTimes, got.ReturnTimes, got.SlowestChange = nil, nil, 0
		if got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// TestNewestByKey checks that the newest change of a key is the one with the highest version, not the one that was put last.
func TestNewestByKey(t *testing.T) {
	l := NewLedger(1, 4)
	l.SetVersion(0, 12) // has a higher version than the next change of its key
	l.SetVersion(1, 11)
	l.SetVersion(2, 13)
	version, byKey := l.Newest(func(i int) int { return i / 2 })
	if version != 13 || byKey[0] != 0 || byKey[1] != 2 || byKey[2] != -1 {
		t.Errorf("got version %d and changes by key %v", version, byKey[:3])
	}
}

// TestSpreadIsEven checks the limit of twice the mean plus ten.
func TestSpreadIsEven(t *testing.T) {
	if s := NewSpread([]int{10, 30, 0}); !s.WithinAllowed() || s.Allowed != 36 {
		t.Error(s)
	}
	if s := NewSpread([]int{100, 500, 0}); s.WithinAllowed() {
		t.Error(s)
	}
	if s := NewSpread(nil); !s.WithinAllowed() {
		t.Error(s)
	}
}

// TestEachTargetIsChecked misses one target at a time, which the verdict has to name. Without targets, only counts are checked.
func TestEachTargetIsChecked(t *testing.T) {
	kept := RunFigures{Samples: 1, Steady: true, InForceWorst: 7000, BalancerCore: 1.6, BalancerMB: 128, BalancerBytes: 3000, ControlCore: 100, ControlMB: 4096}
	if missed := kept.Check(&DefaultTargets); len(missed) != 0 || Verdict(missed) != "verdict: kept" {
		t.Error(missed)
	}
	for want, c := range map[string]struct {
		change  func(*RunFigures)
		isCount bool
	}{
		"in force 7001 ms, allowed 7000":                                        {func(f *RunFigures) { f.InForceWorst++ }, false},
		"first state after a return 8000 ms, allowed 7000":                      {func(f *RunFigures) { f.ReturnedWorst = 8000 }, false},
		"balancer 1.7 % of a core, allowed 1.6":                                 {func(f *RunFigures) { f.BalancerCore = 1.7 }, false},
		"balancer 129 MB, allowed 128":                                          {func(f *RunFigures) { f.BalancerMB++ }, false},
		"balancer 3001 bytes a second, allowed 3000":                            {func(f *RunFigures) { f.BalancerBytes++ }, false},
		"control process 101 % of a core, allowed 100":                          {func(f *RunFigures) { f.ControlCore++ }, false},
		"control process 4097 MB, allowed 4096":                                 {func(f *RunFigures) { f.ControlMB++ }, false},
		"5 changes missed, at 1 balancers that are behind, 0 that differ and 0": {func(f *RunFigures) { f.MissedChanges, f.BalancersBehind = 5, 1 }, true},
		"1 balancers differ":                                                    {func(f *RunFigures) { f.BalancersDiffering = 1 }, true},
		"2 balancers are silent":                                                {func(f *RunFigures) { f.BalancersSilent = 2 }, true},
		"1 changes were not accepted":                                           {func(f *RunFigures) { f.ChangesNotAccepted = 1 }, true},
		"1 times a balancer went back":                                          {func(f *RunFigures) { f.Regressions = 1 }, true},
		"1 conflicts":                                                           {func(f *RunFigures) { f.Conflicts = 1 }, true},
		"not steady in the end: all at one":                                     {func(f *RunFigures) { f.Steady, f.SpreadDescription = false, "all at one" }, true},
		"no change was timed":                                                   {func(f *RunFigures) { f.Samples = 0 }, true},
		"partial: memory":                                                       {func(f *RunFigures) { f.Partial = "memory" }, true},
	} {
		f := kept
		c.change(&f)
		if v := Verdict(f.Check(&DefaultTargets)); !strings.HasPrefix(v, "verdict: not kept: "+want) {
			t.Errorf("got %q, want %q", v, want)
		}
		if missed := f.Check(nil); (len(missed) > 0) != c.isCount {
			t.Errorf("%s: without targets, the check returned %v", want, missed)
		}
	}
}

// TestRequirementsOfMachine checks that a run is rejected that needs more memory, file descriptors or processes than the machine has.
func TestRequirementsOfMachine(t *testing.T) {
	p := newTestPlan(t, testOptions())
	requirements := p.Requirements(p.Hosts(300))
	long := testOptions()
	long.Length, long.Balancers = 24*time.Hour, 4600
	if day := newTestPlan(t, long); day.Requirements(day.Hosts(300)).Check(20000, 16000, 16000) == nil {
		t.Error("a run whose ledger needs more memory than the machine has was accepted")
	}
	region := testOptions()
	region.Faults, region.Balancers = FaultsRegion, 5000
	if r := newTestPlan(t, region); r.Requirements(r.Hosts(300)).Check(20000, 24000, 16000) == nil {
		t.Error("a run whose forwarders need more descriptors than a process may have was accepted")
	}
	if err := requirements.Check(20000, 24000, 16000); err != nil {
		t.Error(err)
	}
	for want, err := range map[string]error{
		"--balancers: a process may need 1456 file descriptors; this machine allows 1024":                                         requirements.Check(1024, 24000, 16000),
		"--balancers: the run needs about 1435 MB, including the ledger of 122 changes; half of this machine's memory is 1000 MB": requirements.Check(20000, 2000, 16000),
		"--balancers: the run needs about 1435 MB; 1400 MB are free":                                                              requirements.Check(20000, 24000, 1400),
		"--control: the run needs 301 processes; at most 300 are allowed":                                                         Requirements{Processes: 301}.Check(20000, 24000, 16000),
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}
