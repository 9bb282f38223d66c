package policy

import "time"

// Effect says what repeating a circuit of a grade may do.
type Effect uint8

const (
	Idempotent   Effect = iota // may run again
	Deduplicated               // a repeat is dropped by its group of servers within the window
	Unrepeatable               // must never run twice
)

// Scope is the group of servers that drops repeats of a deduplicated circuit.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Grade is one service grade.
type Grade struct {
	Effect      Effect
	Scope       Scope
	Window      time.Duration // how long repeats are dropped
	SetupGoal   time.Duration // latency goal of the set-up
	MessageGoal time.Duration // latency goal of a message; 0 where none is told
	Utility     float64
}

// Tenant is one customer and what it is entitled to.
type Tenant struct {
	Connections float64 // open connections over all balancers within its share; 0 where none are told
}

// Deployment is what is read at start.
type Deployment struct {
	Peers         int // balancers, this one included
	Index         int // this one among them, the same after a restart
	Zone          int
	Grades        []Grade
	Tenants       []Tenant
	ExcessUtility float64 // utility beyond a tenant's share, as a part of the usual
	MayProbe      bool
	MayTell       bool // balancers may send each other short messages, which come late or never
	HeftExact     bool // heft is the size that a server was registered with, not a guess
	MayAdvise     bool // nacks may carry a wait
	LongestAdvice time.Duration
	MostTries     int
	FallMultiple  float64
	FallFor       time.Duration
	ColdFrom      float64
	ColdFor       time.Duration
	CrossingPrice float64
	Nines         float64 // weight of the nines in the goal, and how many are worth all of it; no decision
	NinesWanted   float64 // goes by them yet: docs/assumptions.md tells what was tried
	ReportsOnAsk  bool    // probes bring load reports,
	ServersTell   bool    // and those are the servers' own words, which may be untrue, not what the host measured
}

// Moved is the new row of an old one, and the last where that is gone; rows tells the new ones, -1 for what is gone.
func Moved(rows []int, row, last int) int {
	if row < len(rows) && rows[row] >= 0 {
		return rows[row]
	}
	return last
}

// ServerID and CircuitID are used only at the door.
type (
	ServerID  uint64
	CircuitID uint64
)

// State of a server in the list.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Listed is one line of the list of servers.
type Listed struct {
	Server  ServerID
	Zone    int
	Cell    int
	Kind    uint64 // of machine: servers of one kind are alike
	State   State
	Heft    float64
	Started time.Duration // may lie before the balancer's own start
}

// LongAgo is the start of a server that has run longer than anybody remembers.
const LongAgo = -time.Duration(1 << 62)

// Arrival is a circuit as it is taken. Left is what remains of its outer limit.
type Arrival struct {
	ID     CircuitID
	Key    uint64
	Group  uint64
	Tenant int
	Grade  int
	Left   time.Duration
	Load   float64 // usual load, work in microseconds a second; 0 where not told
}

// Outcome is how a setup try or a probe ended.
type Outcome uint8

const (
	Succeeded     Outcome = iota
	Failed                // error from the server; may have run
	TurnedAway            // never ran: full or draining
	TimedOut              // may have run or still be running
	ConnectFailed         // never ran
	Reset                 // the connection broke; may have run
	Cancelled             // called off; may have run
	NeverSent             // never ran
)

// Report is a load report; negative figures were not told.
type Report struct {
	Asked float64 // load asked over what the server can do
	Piled float64 // seconds of work piled up
	Util  float64
}

// NoReport is a report that tells nothing.
var NoReport = Report{-1, -1, -1}

// Told is what a balancer tells the others, whole or in parts: the load that it holds at servers of its newest version,
// as many as Jammed, and whether they are jammed as it sees them.
type Told struct {
	Mark   uint32 // of that version: the same at every balancer that has the same list
	First  int    // the place in it of the first server told of
	Loads  []float64
	Jammed []bool
}

// Verb is what a decision asks the host to do.
type Verb uint8

const (
	Try      Verb = iota // start a setup try of Circuit at Server, given up after For
	Nack                 // final answer: trying again is harmless, after For
	BreakOff             // final answer without a promise
	Move                 // end an open connection politely
	Probe                // probe Server
	Tell                 // send Told to every other balancer
)

// Decision is one thing for the host to do.
type Decision struct {
	Do      Verb
	Circuit CircuitID
	Server  ServerID
	For     time.Duration
	Told    Told
}
