package policy

import "time"

// Idempotency says what repeating a circuit of a grade may do.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // a repeat is dropped by its group of servers within the window
	NonIdempotent                        // must never run twice
)

// KeyScope is the group of servers that drops repeats of a deduplicated circuit.
type KeyScope uint8

const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeFailureDomain
)

// Class is one service grade.
type Class struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyTTL           time.Duration // how long repeats are dropped
	SetupObjective   time.Duration // latency goal of the set-up
	MessageObjective time.Duration // latency goal of a message; 0 where none is told
	PriorityWeight   float64
}

// Tenant is one customer and what it is entitled to.
type Tenant struct {
	ConnectionQuota float64 // open connections over all balancers within its share; 0 where none are told
}

// Config is what is read at start.
type Config struct {
	Balancers          int // balancers, this one included
	Index              int // this one among them, the same after a restart
	Zone               int
	Classes            []Class
	Tenants            []Tenant
	OverQuotaFactor    float64 // utility beyond a tenant's share, as a part of the usual
	CanHealthCheck     bool
	CanGossip          bool // balancers may send each other short messages, which come late or never
	HasExactWeights    bool // heft is the size that a server was registered with, not a guess
	CanSendRetryAfter  bool // nacks may carry a wait
	MaxRetryAfter      time.Duration
	MaxAttempts        int
	OverloadMultiple   float64
	OverloadWindow     time.Duration
	SlowStartFloor     float64
	SlowStartWindow    time.Duration
	CrossZoneCost      float64
	NinesWeight        float64 // weight of the nines in the goal, and how many are worth all of it; no decision
	TargetNines        float64 // goes by them yet: docs/assumptions.md tells what was tried
	HasLoadReports     bool    // probes bring load reports,
	HasEndpointReports bool    // and those are the servers' own words, which may be untrue, not what the host measured
}

// RemapIndex is the new row of an old one, and the last where that is gone; rows tells the new ones, -1 for what is gone.
func RemapIndex(rows []int, row, last int) int {
	if row < len(rows) && rows[row] >= 0 {
		return rows[row]
	}
	return last
}

// EndpointID and CircuitID are used only at the door.
type (
	EndpointID uint64
	SessionID  uint64
)

// EndpointState of a server in the list.
type EndpointState uint8

const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one line of the list of servers.
type Endpoint struct {
	ID            EndpointID
	Zone          int
	FailureDomain int
	MachineType   uint64 // of machine: servers of one kind are alike
	State         EndpointState
	Weight        float64
	StartedAt     time.Duration // may lie before the balancer's own start
}

// StartedLongAgo is the start of a server that has run longer than anybody remembers.
const StartedLongAgo = -time.Duration(1 << 62)

// SessionRequest is a circuit as it is taken. Left is what remains of its outer limit.
type SessionRequest struct {
	ID      SessionID
	Key     uint64
	Group   uint64
	Tenant  int
	Class   int
	Timeout time.Duration
	Load    float64 // usual load, work in microseconds a second; 0 where not told
}

// Outcome is how a setup try or a probe ended.
type Outcome uint8

const (
	Succeeded     Outcome = iota
	Failed                // error from the server; may have run
	Rejected              // never ran: full or draining
	TimedOut              // may have run or still be running
	ConnectFailed         // never ran
	Reset                 // the connection broke; may have run
	Cancelled             // called off; may have run
	NeverSent             // never ran
)

// LoadReport is a load report; negative figures were not told.
type LoadReport struct {
	Demand      float64 // load asked over what the server can do
	Backlog     float64 // seconds of work piled up
	Utilization float64
}

// NoLoadReport is a report that tells nothing.
var NoLoadReport = LoadReport{-1, -1, -1}

// GossipMessage is what a balancer tells the others, whole or in parts: the load that it holds at servers of its newest version,
// as many as Jammed, and whether they are jammed as it sees them.
type GossipMessage struct {
	VersionHash uint32 // of that version: the same at every balancer that has the same list
	Offset      int    // the place in it of the first server told of
	Loads       []float64
	Overloaded  []bool
}

// Action is what a decision asks the host to do.
type Action uint8

const (
	StartAttempt Action = iota // start a setup try of Circuit at Server, given up after For
	Reject                     // final answer: trying again is harmless, after For
	Fail                       // final answer without a promise
	Migrate                    // end an open connection politely
	HealthCheck                // probe Server
	SendGossip                 // send Told to every other balancer
)

// Decision is one thing for the host to do.
type Decision struct {
	Action   Action
	Session  SessionID
	Endpoint EndpointID
	Duration time.Duration
	Gossip   GossipMessage
}
