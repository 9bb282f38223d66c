// Package topology owns the description of a world: servers, clients, the list, the rules and the faults, the same for
// sockets and for virtual time. It must never run one.
package topology

import (
	"time"

	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/model"
	"sabletally/policy"
)

// Machine is one server at the start of a run.
type Machine struct {
	Type                model.MachineType
	Zone, FailureDomain int
}

// World is all that a run is made of, but for its seed and the policy or program under test.
type World struct {
	Balancers, Zones                       int
	Machines                               []Machine
	Warmup                                 model.Warmup
	Store                                  model.Store
	Deployment                             policy.Config // Zone and Peers are set by who runs it
	ClassNames                             []string
	Deadlines                              []time.Duration // by class
	MessageObjective                       time.Duration
	MessageInterval                        time.Duration // a client sends a line so often; sockets only
	DrainGrace                             time.Duration
	ConnectTimeout                         time.Duration
	GroupCost                              float64
	ShedBacklog                            time.Duration // servers drop connections while more is piled up; 0: never
	MovesClients                           bool          // draining servers send their clients away in even parts
	ClientDelay, ZoneDelay, CrossZoneDelay time.Duration // ways, one way; virtual time only
	ListDelay, DetectionDelay              [2]time.Duration
	Load                                   load.Plan
	Retry                                  load.RetryPolicy
	Faults                                 []faults.Fault
	Limits                                 Limits
	ReplicationFactor                      int // of each record, where the balancers are members of a fleet; 0: they are not
}

// Limits are those of one balancer's process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Rules returns what a run is checked by; slack is what the emulators may see late.
func (w *World) Rules(slack time.Duration, places []checker.Place) checker.Rules {
	return checker.Rules{DrainGrace: w.DrainGrace, Slack: slack, MaxLineDelay: time.Second, CloseTimeout: time.Second,
		Warmup: w.Warmup, Classes: w.Deployment.Classes, Places: places}
}
