// Package topology describes the environment of a run: servers, clients, the endpoint list, the rules and the faults. Runs on sockets
// and in virtual time use the same description. It must never run one.
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

// World describes a run, except for its seed and the policy or program under test.
type World struct {
	Balancers, Zones                       int
	Machines                               []Machine
	Warmup                                 model.Warmup
	Store                                  model.Store
	Deployment                             policy.Config    // configuration of the policy; its Zone and Balancers are set when a balancer starts
	ClassNames                             []string         // names on the wire, by class
	Deadlines                              []time.Duration  // deadlines of a session's set-up, by class
	MessageObjective                       time.Duration    // an answer to a line within this time counts as served
	MessageInterval                        time.Duration    // time between two lines of a client; sockets only
	DrainGrace                             time.Duration    // time after a notification within which a drained server may still get attempts
	ConnectTimeout                         time.Duration    // timeout of a balancer's connections to servers
	GroupCost                              float64          // load of each group at a server, in addition to that of its sessions
	ShedBacklog                            time.Duration    // servers drop connections while their backlog is longer; 0: never
	MovesClients                           bool             // whether draining servers migrate their clients, in equal batches
	ClientDelay, ZoneDelay, CrossZoneDelay time.Duration    // one-way network delays: client to balancer, within a zone, between zones; virtual time only
	ListDelay, DetectionDelay              [2]time.Duration // shortest and longest delay of announced and of unannounced changes of the endpoint list
	Load                                   load.Plan
	Retry                                  load.RetryPolicy
	Faults                                 []faults.Fault
	Limits                                 Limits
	ReplicationFactor                      int // replicas of each record if the balancers are members of a fleet; 0: they are not
}

// Limits are the resource limits of one balancer process.
type Limits struct {
	Cores    float64 // limit of the number of CPU cores
	MemoryMB int
	Sockets  int // limit of the number of open sockets
}

// Rules returns the rules that a run is checked against. slack is the tolerance for events that the emulators observe late.
func (w *World) Rules(slack time.Duration, places []checker.Place) checker.Rules {
	return checker.Rules{DrainGrace: w.DrainGrace, Slack: slack, MaxLineDelay: time.Second, CloseTimeout: time.Second,
		Warmup: w.Warmup, Classes: w.Deployment.Classes, Places: places}
}
