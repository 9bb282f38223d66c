// This file owns the figures, the targets and the verdict.

package scale

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Figures are a run's. Rates are over the run's time, whatever was done before and after it. A balancer's are of its control part alone.
type Figures struct {
	Balancers     int     `json:"balancers"`
	Control       int     `json:"control"`
	Changes       int     `json:"changes"` // that fell into the run, burst included
	InForceP50    float64 `json:"in_force_ms_p50"`
	InForceP99    float64 `json:"in_force_ms_p99"`
	InForceWorst  float64 `json:"in_force_ms_worst"`
	Missed        int     `json:"missed"`                    // changes at a balancer each
	BalancerCore  float64 `json:"balancer_core_percent"`     // user and system, the test's own share included
	BalancerMB    float64 `json:"balancer_memory_mb"`        // resident memory of their processes over their number, the most seen
	BalancerBytes float64 `json:"balancer_bytes_per_second"` // sent and received, without headers of TCP and IP
	ControlCore   float64 `json:"control_core_percent_worst"`
	ControlMB     float64 `json:"control_memory_mb_worst"`
	ControlBytes  float64 `json:"control_bytes_per_second_worst"` // read and written, disk included
	SteadyAfter   float64 `json:"steady_after_ms"`                // after the last fault; 0 without any

	Zones         int     `json:"zones"`
	Regions       int     `json:"regions"`
	Voters        int     `json:"voters"`
	Seconds       float64 `json:"seconds"`
	Seed          uint64  `json:"seed"`
	Faults        string  `json:"faults"`
	FaultsSay     string  `json:"faults_in_words"`
	Samples       int64   `json:"samples"` // changes at a balancer each that were timed
	ReturnedWorst float64 `json:"returned_ms_worst"`
	Returned      int64   `json:"returned"`
	Behind        int     `json:"balancers_behind"`
	Differ        int     `json:"balancers_that_differ"`
	Silent        int     `json:"balancers_silent"`
	NotAccepted   int     `json:"changes_not_accepted"`
	Back          int     `json:"went_back"`
	Snapshots     uint64  `json:"snapshots"`     // that balancers took in the run
	Lapses        uint64  `json:"lapses"`        // of their leases
	Refused       uint64  `json:"refused"`       // messages that balancers would not take, and states that did not match
	Taken         uint64  `json:"changes_taken"` // by balancers, each once, of any kind
	Had           uint64  `json:"changes_had"`   // that came again: from the other control process, or sent anew
	Gaps          uint64  `json:"gaps"`          // changes that came before the one before them
	Wants         uint64  `json:"asked_again"`   // times that a balancer asked for what it lacks
	Conflicts     uint64  `json:"conflicts"`
	Steady        bool    `json:"steady"`      // all were current and evenly spread in the end
	Even          string  `json:"even_spread"` // in words: how many are current, and their connections at a control process
	TogetherMs    float64 `json:"together_ms"` // from the balancers' start until all were current
	LateMs        float64 `json:"late_ms"`     // how late the test itself put a change at worst
	Partial       string  `json:"partial,omitempty"`
	MemoryMB      float64 `json:"memory_mb"` // all processes together, the most seen
	Verdict       string  `json:"verdict"`
}

// Targets are what a run is held against.
type Targets struct {
	InForce       time.Duration
	BalancerCore  float64 // percent
	BalancerMB    float64
	BalancerBytes float64 // a second
	ControlCore   float64 // percent
	ControlMB     float64
}

// DefaultTargets is what the size of two years allows.
var DefaultTargets = Targets{InForce: 7 * time.Second, BalancerCore: 1.6, BalancerMB: 128, BalancerBytes: 3000, ControlCore: 100, ControlMB: 4096}

// AddAccount has the figures of an account.
func (f *Figures) AddAccount(a Account) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	f.Samples = a.InForce.TotalCount()
	f.InForceP50, f.InForceP99, f.InForceWorst = ms(a.InForce.ValueAtQuantile(50)), ms(a.InForce.ValueAtQuantile(99)), ms(a.InForce.Max())
	f.Returned, f.ReturnedWorst = a.Returned.TotalCount(), ms(a.Returned.Max())
	f.Missed, f.Behind, f.Differ, f.Silent, f.NotAccepted, f.Back = a.Missed, a.Behind, a.Differ, a.Silent, a.NotAccepted, a.WentBack
}

// Check returns what was not kept, nothing if all was. Counts are always checked. Without targets, times and sizes, which are also the
// machine's, are not.
func (f *Figures) Check(t *Targets) (not []string) {
	say := func(is bool, format string, args ...any) {
		if is {
			not = append(not, fmt.Sprintf(format, args...))
		}
	}
	if f.Partial != "" { // what wasn't measured is neither kept nor broken
		return []string{"partial: " + f.Partial}
	}
	say(f.Samples == 0, "no change was timed")
	say(f.Missed > 0, "%d changes missed, at %d balancers that are behind, %d that differ and %d that are silent", f.Missed, f.Behind, f.Differ, f.Silent)
	say(f.Differ > 0 && f.Missed == 0, "%d balancers differ", f.Differ)
	say(f.Silent > 0 && f.Missed == 0, "%d balancers are silent", f.Silent)
	say(f.NotAccepted > 0, "%d changes were not accepted", f.NotAccepted)
	say(f.Back > 0, "%d times a balancer went back", f.Back)
	say(f.Conflicts > 0, "%d conflicts", f.Conflicts)
	say(!f.Steady, "not steady in the end: %s", f.Even)
	if t == nil {
		return not
	}
	over := func(what string, is, most float64, unit string) {
		say(is > most, "%s %.4g %s, allowed %.4g", what, is, unit, most)
	}
	most := float64(t.InForce.Milliseconds())
	over("in force", f.InForceWorst, most, "ms")
	over("first state after a return", f.ReturnedWorst, most, "ms")
	over("balancer", f.BalancerCore, t.BalancerCore, "% of a core")
	over("balancer", f.BalancerMB, t.BalancerMB, "MB")
	over("balancer", f.BalancerBytes, t.BalancerBytes, "bytes a second")
	over("control process", f.ControlCore, t.ControlCore, "% of a core")
	over("control process", f.ControlMB, t.ControlMB, "MB")
	return not
}

// Verdict is the last line.
func Verdict(not []string) string {
	if len(not) == 0 {
		return "verdict: kept"
	}
	return "verdict: not kept: " + strings.Join(not, "; ")
}

// Print writes the table.
func (f *Figures) Print(to io.Writer, t *Targets) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	n := float64(max(1, f.Balancers))
	row := func(what, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", what, fmt.Sprintf(format, args...))
	}
	row("balancers, control, voters", "%d, %d, %d in %d zones of %d regions", f.Balancers, f.Control, f.Voters, f.Zones, f.Regions)
	row("faults", "%s", f.FaultsSay)
	row("changes", "%d in %.0f s; put %.1f ms late at worst by the test; %d not accepted", f.Changes, f.Seconds, f.LateMs, f.NotAccepted)
	row("in force, p50, p99, worst", "%.1f, %.1f, %.1f ms, %d samples (allowed %.0f ms)", f.InForceP50, f.InForceP99, f.InForceWorst, f.Samples, float64(t.InForce.Milliseconds()))
	row("missed", "%d (%d balancers behind, %d differ, %d silent); %d went back, %d conflicts", f.Missed, f.Behind, f.Differ, f.Silent, f.Back, f.Conflicts)
	row("returned balancers", "%d; first state within %.1f ms at worst", f.Returned, f.ReturnedWorst)
	row("a balancer's control part", "%.3f%% of a core, %.2f MB, %.0f bytes a second (allowed %.4g%%, %.0f, %.0f)", f.BalancerCore, f.BalancerMB, f.BalancerBytes,
		t.BalancerCore, t.BalancerMB, t.BalancerBytes)
	row("a control process, worst", "%.2f%% of a core, %.1f MB, %.0f bytes a second (allowed %.0f%%, %.0f MB)", f.ControlCore, f.ControlMB, f.ControlBytes, t.ControlCore, t.ControlMB)
	row("snapshots taken, lapses, refused", "%d, %d, %d", f.Snapshots, f.Lapses, f.Refused)
	row("changes at a balancer", "%.1f taken, %.1f had already, %.1f too early; asked again %.2f times", float64(f.Taken)/n, float64(f.Had)/n, float64(f.Gaps)/n, float64(f.Wants)/n)
	row("together after the start", "%.0f ms", f.TogetherMs)
	row("steady after the last fault", "%.0f ms; %s", f.SteadyAfter, f.Even)
	row("memory of all processes", "%.0f MB", f.MemoryMB)
	return w.Flush()
}

// Spread is how balancers' connections lie over control processes.
type Spread struct {
	Least, Most, Allowed int
	Mean                 float64
}

// NewSpread looks at the connections that balancers have to each control process that runs. Even is: none has more than twice the mean
// and ten. Shares differ by design, as balancers prefer their own region and their two control processes stand in different zones.
func NewSpread(connections []int) Spread {
	if len(connections) == 0 {
		return Spread{}
	}
	sum := 0
	for _, n := range connections {
		sum += n
	}
	mean := float64(sum) / float64(len(connections))
	return Spread{Least: slices.Min(connections), Most: slices.Max(connections), Mean: mean, Allowed: int(2*mean) + 10}
}

// Even reports whether no control process has too many connections.
func (s Spread) Even() bool { return s.Most <= s.Allowed }

func (s Spread) String() string {
	return fmt.Sprintf("%d to %d connections at a control process, %.1f on the mean, %d allowed", s.Least, s.Most, s.Mean, s.Allowed)
}

// Requirements is what a run will take of the machine.
type Requirements struct {
	MemoryMB  float64 // of all processes together, roughly
	Changes   int
	Files     int // descriptors of the process that has most
	Processes int
}

const (
	mostProcesses = 300
	markBytes     = 48 // of what is booked for a change at a balancer, as its table grows
	// Rough, and high: what is seen is checked while the run goes on.
	controlMB, controlPerBalancerMB = 60, 0.1
	hostMB, hostPerBalancerMB       = 20, 0.5
	frontMB, frontPerBalancerMB     = 20, 0.1 // of a region's process of fronts
	ownFiles                        = 256     // of a process, beside its connections
)

// Requirements reckons what a plan takes, with so many processes of balancers.
func (p *Plan) Requirements(hosts [][]int) Requirements {
	n := Requirements{Changes: len(p.Changes), Processes: 1 + len(hosts) + p.Options.Control}
	n.MemoryMB = 50 + float64(p.Options.Control)*controlMB + controlPerBalancerMB*2*float64(p.Balancers) +
		float64(len(hosts))*hostMB + hostPerBalancerMB*float64(p.Balancers) +
		markBytes*float64(len(p.Changes))*float64(p.Balancers)/1e6
	for _, h := range hosts {
		n.Files = max(n.Files, ownFiles+4*len(h)) // two connections, and two on their way
	}
	// All balancers may stand at one control process while the others are lost, each once, and some come again.
	n.Files = max(n.Files, ownFiles+p.Balancers+p.Balancers/4)
	if p.Faults == FaultsRegion { // both connections of a balancer may go through one process of fronts, which has two ends of each
		n.Files = max(n.Files, ownFiles+4*p.Balancers)
		n.Processes += p.Regions
		n.MemoryMB += float64(p.Regions)*frontMB + frontPerBalancerMB*float64(p.Balancers)
	}
	return n
}

// Check names what a machine doesn't bear: files is the most descriptors of a process, the memories are in MB.
func (n Requirements) Check(files int, total, available float64) error {
	switch {
	case n.Processes > mostProcesses:
		return BadArgument{"control", fmt.Sprintf("%d processes in all; %d at the most", n.Processes, mostProcesses)}
	case n.Files > files:
		return BadArgument{"balancers", fmt.Sprintf("a process may need %d descriptors; this machine allows %d (ulimit -n)", n.Files, files)}
	case n.MemoryMB > total/2:
		return BadArgument{"balancers", fmt.Sprintf("some %.0f MB in all, with what is booked of %d changes; half of this machine's memory is %.0f MB", n.MemoryMB, n.Changes, total/2)}
	case n.MemoryMB > available:
		return BadArgument{"balancers", fmt.Sprintf("some %.0f MB in all; %.0f MB are free on this machine now", n.MemoryMB, available)}
	}
	return nil
}
