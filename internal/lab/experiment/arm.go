// This file reads the arms of an experiment: the programs or policies that it compares.

package experiment

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/lab/baseline"
)

// readArm reads a block "arm".
func (r *reader) readArm(in *hcl.Block) {
	b := r.Block("arm", in.Body, in.DefRange, "policy binary broken env", hcl.BlockHeaderSchema{Type: "limits"})
	x := r.experiment
	arm := Arm{
		Name:   in.Labels[0],
		Policy: b.String("policy", "", baseline.Names...),
		Binary: b.String("binary", ""),
		Broken: b.String("broken", "", BrokenModes...),
		Env:    strings.Fields(b.String("env", "")),
		Limits: r.readLimits(b, x.World.Limits),
	}
	alternatives := slices.DeleteFunc([]string{arm.Policy, arm.Binary, arm.Broken}, func(s string) bool { return s == "" })
	if len(alternatives) > 1 {
		r.Errorf(in.DefRange, "arm %q: policy, binary and broken are mutually exclusive", arm.Name)
	}
	if r.isVirtual() && (arm.Binary != "" || arm.Broken != "" || len(arm.Env) > 0) {
		r.Errorf(in.DefRange, "arm %q: binary, broken and env are not supported in virtual time", arm.Name)
	}
	if r.isVirtual() && arm.Policy == "" {
		arm.Policy = baseline.Ours
	}
	if slices.ContainsFunc(x.Arms, func(other Arm) bool { return other.Name == arm.Name }) {
		r.Errorf(in.DefRange, "arm %q is declared twice", arm.Name)
	}
	x.Arms = append(x.Arms, arm)
}

// addDefaultArm adds the only arm of a file that declares none: the balancer program beside the testbed, or its policy in virtual
// time.
func (r *reader) addDefaultArm() {
	arm := Arm{Name: "ours", Limits: r.experiment.World.Limits}
	if r.isVirtual() {
		arm.Policy = baseline.Ours
	}
	r.experiment.Arms = []Arm{arm}
}
