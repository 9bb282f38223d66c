// This file reads the faults of an experiment.

package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
	"sabletally/internal/lab/faults"
)

// readFault reads a block "fault".
func (r *reader) readFault(in *hcl.Block) {
	kind := faults.Kind(in.Labels[0])
	required, known := faults.Kinds[kind]
	if !known {
		names := kindNames()
		r.Errorf(in.LabelRanges[0], "fault %q is none of %s%s", kind, strings.Join(names, ", "), hclconfig.Suggestion(string(kind), names))
		return
	}
	r.checkKind(in, kind)
	b := r.Block(fmt.Sprintf("fault %q", kind), in.Body, in.DefRange, "at for part batch drain times rate late ways")
	b.Require(append([]string{"at"}, required...)...)
	fault := faults.Fault{
		Kind:       kind,
		At:         b.Duration("at", 0, 0, r.length),
		For:        b.Duration("for", 0, 0, maxLength),
		Share:      b.Fraction("part", 0),
		BatchShare: b.Fraction("batch", 0.2),
		Drain:      b.Duration("drain", 4*time.Second, 0, time.Minute),
		Factor:     b.Number("times", 1, 1, 10000),
		Rate:       b.Number("rate", 0, 0, 10000),
		Delay:      b.Duration("late", 0, 0, time.Minute),
		Direction:  b.String("ways", "both", "both", "in", "out"),
	}
	r.checkRate(in, &fault)
	r.experiment.World.Faults = append(r.experiment.World.Faults, fault)
}

// kindNames returns the names of all kinds of fault, sorted.
func kindNames() []string {
	names := make([]string, 0, len(faults.Kinds))
	for kind := range faults.Kinds {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}

// checkKind reports an error if the experiment does not support a kind of fault.
func (r *reader) checkKind(in *hcl.Block, kind faults.Kind) {
	if r.isVirtual() && faults.IsSocketsOnly(kind) {
		r.Errorf(in.LabelRanges[0], "fault %q is not supported in virtual time", kind)
	}
	if faults.IsBetweenMembers(kind) && r.experiment.World.ReplicationFactor == 0 {
		r.Errorf(in.LabelRanges[0], "fault %q needs a fleet: a block \"fleet\" in the world", kind)
	}
}

// checkRate reports an error if the rate is above 1 for a kind of fault for which it is a share.
func (r *reader) checkRate(in *hcl.Block, fault *faults.Fault) {
	if fault.Rate <= 1 {
		return
	}
	switch fault.Kind {
	case faults.MembersLossy, faults.MembersReorder:
		r.Errorf(in.DefRange, "fault %q: rate is a share of the messages, 1 at most", fault.Kind)
	case faults.Errors:
		r.Errorf(in.DefRange, "fault %q: rate is a share of the set-ups, 1 at most", fault.Kind)
	}
}
