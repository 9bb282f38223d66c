package scale

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// RunFigures are the results of a run. Rates are averages over the length of the run, without the time before and after it. Figures of a
// balancer cover its subscription to the control tier only.
type RunFigures struct {
	Balancers                int     `json:"balancers"`
	Control                  int     `json:"control"`
	Changes                  int     `json:"changes"` // changes put during the run, including the burst
	InForceP50               float64 `json:"in_force_ms_p50"`
	InForceP99               float64 `json:"in_force_ms_p99"`
	InForceWorst             float64 `json:"in_force_ms_worst"`
	MissedChanges            int     `json:"missed"`                    // missed changes, counted for each balancer
	BalancerCore             float64 `json:"balancer_core_percent"`     // user and system time of a balancer, including the part of the test itself
	BalancerMB               float64 `json:"balancer_memory_mb"`        // maximum of the resident memory of the host processes divided by the number of balancers
	BalancerBytes            float64 `json:"balancer_bytes_per_second"` // bytes per second that a balancer sent and received, without TCP and IP headers
	ControlCore              float64 `json:"control_core_percent_worst"`
	ControlMB                float64 `json:"control_memory_mb_worst"`
	ControlBytes             float64 `json:"control_bytes_per_second_worst"` // bytes per second that a control process read and wrote, including its disk
	ConvergenceAfterFaultsMs float64 `json:"steady_after_ms"`                // time from the end of the last fault until the run was steady; 0 without faults

	Zones              int     `json:"zones"`
	Regions            int     `json:"regions"`
	Voters             int     `json:"voters"`
	Seconds            float64 `json:"seconds"`
	Seed               uint64  `json:"seed"`
	Faults             string  `json:"faults"`
	FaultDescription   string  `json:"faults_in_words"`
	Samples            int64   `json:"samples"` // timed changes, counted for each balancer
	ReturnedWorst      float64 `json:"returned_ms_worst"`
	ReturnedBalancers  int64   `json:"returned"`
	BalancersBehind    int     `json:"balancers_behind"`
	BalancersDiffering int     `json:"balancers_that_differ"`
	BalancersSilent    int     `json:"balancers_silent"`
	ChangesNotAccepted int     `json:"changes_not_accepted"`
	Regressions        int     `json:"went_back"`
	Snapshots          uint64  `json:"snapshots"`     // snapshots that balancers received during the run
	LeaseExpiries      uint64  `json:"lapses"`        // leases of balancers that expired
	RejectedMessages   uint64  `json:"refused"`       // messages that balancers rejected, and digests that did not match
	AppliedChanges     uint64  `json:"changes_taken"` // changes that balancers applied
	DuplicateChanges   uint64  `json:"changes_had"`   // changes that balancers received although they had them: from their other control process, or sent again
	Gaps               uint64  `json:"gaps"`          // changes that arrived before an earlier one
	SyncRequests       uint64  `json:"asked_again"`   // sync requests that balancers sent
	Conflicts          uint64  `json:"conflicts"`
	Steady             bool    `json:"steady"`            // whether all balancers were current and evenly spread at the end
	SpreadDescription  string  `json:"even_spread"`       // description of how many balancers are current and how their connections are spread
	ConvergenceMs      float64 `json:"together_ms"`       // time from the start of the balancers until all were current
	MaxPutDelayMs      float64 `json:"late_ms"`           // maximum delay with which the test itself put a change
	Partial            string  `json:"partial,omitempty"` // reason why the run is incomplete, "" if it is complete
	MemoryMB           float64 `json:"memory_mb"`         // maximum memory of all processes together
	Verdict            string  `json:"verdict"`
}

// Targets are the limits that the figures of a run are checked against.
type Targets struct {
	InForce       time.Duration
	BalancerCore  float64 // percent of a core
	BalancerMB    float64
	BalancerBytes float64 // bytes per second
	ControlCore   float64 // percent of a core
	ControlMB     float64
}

// DefaultTargets are the targets for the expected size of the deployment in two years.
var DefaultTargets = Targets{
	InForce:       7 * time.Second,
	BalancerCore:  1.6,
	BalancerMB:    128,
	BalancerBytes: 3000,
	ControlCore:   100,
	ControlMB:     4096,
}

// AddAccount sets the figures that come from an account.
func (f *RunFigures) AddAccount(a Account) {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	f.Samples = a.InForceTimes.TotalCount()
	f.InForceP50 = milliseconds(a.InForceTimes.ValueAtQuantile(50))
	f.InForceP99 = milliseconds(a.InForceTimes.ValueAtQuantile(99))
	f.InForceWorst = milliseconds(a.InForceTimes.Max())
	f.ReturnedBalancers = a.ReturnTimes.TotalCount()
	f.ReturnedWorst = milliseconds(a.ReturnTimes.Max())
	f.MissedChanges = a.MissedChanges
	f.BalancersBehind = a.BalancersBehind
	f.BalancersDiffering = a.BalancersDiffering
	f.BalancersSilent = a.BalancersSilent
	f.ChangesNotAccepted = a.ChangesNotAccepted
	f.Regressions = a.Regressions
}

// Check returns a description of each target that was missed. Counts are always checked; times and sizes, which also depend on the machine,
// only if targets are given. For an incomplete run, it returns only the reason why it is incomplete.
func (f *RunFigures) Check(targets *Targets) []string {
	if f.Partial != "" { // an incomplete run neither meets nor misses a target
		return []string{"partial: " + f.Partial}
	}
	missed := f.checkCounts()
	if targets != nil {
		missed = append(missed, f.checkTargets(targets)...)
	}
	return missed
}

// checkCounts checks the figures that do not depend on the speed of the machine.
func (f *RunFigures) checkCounts() (missed []string) {
	check := func(isMissed bool, format string, args ...any) {
		if isMissed {
			missed = append(missed, fmt.Sprintf(format, args...))
		}
	}
	check(f.Samples == 0, "no change was timed")
	check(f.MissedChanges > 0, "%d changes missed, at %d balancers that are behind, %d that differ and %d that are silent", f.MissedChanges, f.BalancersBehind, f.BalancersDiffering, f.BalancersSilent)
	check(f.BalancersDiffering > 0 && f.MissedChanges == 0, "%d balancers differ", f.BalancersDiffering)
	check(f.BalancersSilent > 0 && f.MissedChanges == 0, "%d balancers are silent", f.BalancersSilent)
	check(f.ChangesNotAccepted > 0, "%d changes were not accepted", f.ChangesNotAccepted)
	check(f.Regressions > 0, "%d times a balancer went back", f.Regressions)
	check(f.Conflicts > 0, "%d conflicts", f.Conflicts)
	check(!f.Steady, "not steady in the end: %s", f.SpreadDescription)
	return missed
}

// checkTargets checks times and sizes against their limits.
func (f *RunFigures) checkTargets(targets *Targets) (missed []string) {
	check := func(name string, value, limit float64, unit string) {
		if value > limit {
			missed = append(missed, fmt.Sprintf("%s %.4g %s, allowed %.4g", name, value, unit, limit))
		}
	}
	inForce := float64(targets.InForce.Milliseconds())
	check("in force", f.InForceWorst, inForce, "ms")
	check("first state after a return", f.ReturnedWorst, inForce, "ms")
	check("balancer", f.BalancerCore, targets.BalancerCore, "% of a core")
	check("balancer", f.BalancerMB, targets.BalancerMB, "MB")
	check("balancer", f.BalancerBytes, targets.BalancerBytes, "bytes a second")
	check("control process", f.ControlCore, targets.ControlCore, "% of a core")
	check("control process", f.ControlMB, targets.ControlMB, "MB")
	return missed
}

// Verdict returns the last line of the output for the descriptions that Check returned.
func Verdict(missed []string) string {
	if len(missed) == 0 {
		return "verdict: kept"
	}
	return "verdict: not kept: " + strings.Join(missed, "; ")
}

// Print writes a table of the figures and their targets.
func (f *RunFigures) Print(to io.Writer, targets *Targets) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	balancers := float64(max(1, f.Balancers))
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("balancers, control, voters", "%d, %d, %d in %d zones of %d regions", f.Balancers, f.Control, f.Voters, f.Zones, f.Regions)
	row("faults", "%s", f.FaultDescription)
	row("changes", "%d in %.0f s; put %.1f ms late at worst by the test; %d not accepted", f.Changes, f.Seconds, f.MaxPutDelayMs, f.ChangesNotAccepted)
	row("in force, p50, p99, worst", "%.1f, %.1f, %.1f ms, %d samples (allowed %.0f ms)", f.InForceP50, f.InForceP99, f.InForceWorst, f.Samples, float64(targets.InForce.Milliseconds()))
	row("missed", "%d (%d balancers behind, %d differ, %d silent); %d went back, %d conflicts", f.MissedChanges, f.BalancersBehind, f.BalancersDiffering, f.BalancersSilent, f.Regressions, f.Conflicts)
	row("returned balancers", "%d; first state within %.1f ms at worst", f.ReturnedBalancers, f.ReturnedWorst)
	row("a balancer's control part", "%.3f%% of a core, %.2f MB, %.0f bytes a second (allowed %.4g%%, %.0f, %.0f)", f.BalancerCore, f.BalancerMB, f.BalancerBytes,
		targets.BalancerCore, targets.BalancerMB, targets.BalancerBytes)
	row("a control process, worst", "%.2f%% of a core, %.1f MB, %.0f bytes a second (allowed %.0f%%, %.0f MB)", f.ControlCore, f.ControlMB, f.ControlBytes, targets.ControlCore, targets.ControlMB)
	row("snapshots taken, lapses, refused", "%d, %d, %d", f.Snapshots, f.LeaseExpiries, f.RejectedMessages)
	row("changes at a balancer", "%.1f taken, %.1f had already, %.1f too early; asked again %.2f times", float64(f.AppliedChanges)/balancers, float64(f.DuplicateChanges)/balancers, float64(f.Gaps)/balancers, float64(f.SyncRequests)/balancers)
	row("together after the start", "%.0f ms", f.ConvergenceMs)
	row("steady after the last fault", "%.0f ms; %s", f.ConvergenceAfterFaultsMs, f.SpreadDescription)
	row("memory of all processes", "%.0f MB", f.MemoryMB)
	return w.Flush()
}
