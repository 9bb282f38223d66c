// Package scale owns the decisions of the scale test: in which failure domains balancers and control processes are, which changes and faults a
// run has and when, which balancer lacks a change and for how long, and the verdict. It is pure: the same options give the same plan, and the
// same observations the same verdict. It must never start a process, open a socket or read a clock.
package scale

import (
	"fmt"
	"slices"
	"time"
)

// Kinds of faults that a run may have.
const (
	FaultsNone   = "none"
	FaultsDay    = "day"    // processes restart and are lost at the rates of an ordinary day
	FaultsRack   = "rack"   // all processes of a rack are killed and started again
	FaultsZone   = "zone"   // all processes of a zone are killed and started again
	FaultsRegion = "region" // the control processes of a region are cut off from the others
)

// Faults lists all kinds of faults, by their names in options.
var Faults = []string{FaultsNone, FaultsDay, FaultsRack, FaultsZone, FaultsRegion}

// Limits of the options.
const (
	maxBalancers     = 10000 // highest number of subscribers that a control process can be configured for
	maxControl       = 64
	maxZones         = 64
	maxChangesPerDay = 50_000_000
	maxBurst         = 10000
	minLength        = 10 * time.Second
	maxLength        = 24 * time.Hour
)

// Options are the options of a run.
type Options struct {
	Balancers     int
	Control       int // number of control processes
	Zones         int
	Regions       int
	ChangesPerDay int           // configuration changes per day
	Burst         int           // additional changes that are put within one second
	Length        time.Duration // length of the run
	Seed          uint64
	Faults        string // kind of faults, one of the names in Faults
}

// BadArgument is an invalid option.
type BadArgument struct {
	Flag    string // name of the option, without dashes
	Problem string // what is wrong with its value
}

func (b BadArgument) Error() string { return "--" + b.Flag + ": " + b.Problem }

// Check returns a BadArgument for the first invalid option.
func (o *Options) Check() error {
	if err := o.checkNumbers(); err != nil {
		return err
	}
	if o.Length < minLength || o.Length > maxLength {
		return BadArgument{"for", fmt.Sprintf("%v lies outside %v to %v", o.Length, minLength, maxLength)}
	}
	if !slices.Contains(Faults, o.Faults) {
		return BadArgument{"faults", fmt.Sprintf("%q is not a kind of faults; the kinds are %v", o.Faults, Faults)}
	}
	if o.Faults != FaultsNone && o.Control < 2 {
		return BadArgument{"faults", fmt.Sprintf("%s needs at least 2 control processes", o.Faults)}
	}
	if o.Faults == FaultsZone && o.Zones < 2 {
		return BadArgument{"faults", "zone needs at least 2 zones"}
	}
	if o.Faults == FaultsRegion && o.Regions < 2 {
		return BadArgument{"faults", "region needs at least 2 regions"}
	}
	return nil
}

func (o *Options) checkNumbers() error {
	for _, option := range []struct {
		flag            string
		value, min, max int
	}{
		{"balancers", o.Balancers, 1, maxBalancers},
		{"control", o.Control, 1, maxControl},
		{"zones", o.Zones, 1, maxZones},
		{"regions", o.Regions, 1, max(1, o.Zones)},
		{"changes-per-day", o.ChangesPerDay, 0, maxChangesPerDay},
		{"burst", o.Burst, 0, maxBurst},
	} {
		if option.value < option.min || option.value > option.max {
			return BadArgument{option.flag, fmt.Sprintf("%d lies outside %d to %d", option.value, option.min, option.max)}
		}
	}
	return nil
}
