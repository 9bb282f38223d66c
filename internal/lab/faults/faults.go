// Package faults owns the faults of a run: their kinds, and the steps into which a fault schedule expands by a seed, each at its time and
// for one server or balancer. Runs on sockets and in virtual time carry out the same steps. It must never carry out a step itself.
package faults

import (
	"slices"
	"time"
)

// Kind is a kind of fault, by its name in experiment files.
type Kind string

// The kinds of fault. Capitalized words in the comments are fields of Fault.
const (
	// Faults of servers.

	Drain     Kind = "drain"      // Share of the servers drain, and stop after Drain
	Release   Kind = "release"    // Share of the servers are replaced within For, BatchShare at a time; successors start cold
	Crash     Kind = "crash"      // processes of Share of the servers die, and start again cold after For
	Vanish    Kind = "vanish"     // machines of Share of the servers send nothing for For
	Slow      Kind = "slow"       // Share of the servers are Factor times slower for For
	Errors    Kind = "errors"     // Rate of the set-ups at Share of the servers fail for For
	Full      Kind = "full"       // Share of the servers reject all new sessions for For
	Drip      Kind = "drip"       // Share of the servers write one byte at a time for For; sockets only
	TornLines Kind = "torn-lines" // Share of the servers reset connections in the middle of a line for For; sockets only
	HalfOpen  Kind = "half-open"  // Share of the servers accept connections and read nothing for For; sockets only
	LinkSlow  Kind = "link-slow"  // links to Share of the servers are Delay slower for For; sockets only
	LinkCut   Kind = "link-cut"   // links from Share of the servers carry nothing for For; sockets only
	StoreSlow Kind = "store-slow" // the store is Factor times slower for For

	// Faults of discovery.

	DiscoveryOut    Kind = "discovery-outage" // the endpoint list is unreachable for For
	DiscoveryLate   Kind = "discovery-late"   // changes of the endpoint list arrive Delay later for For
	DiscoveryFaulty Kind = "discovery-faulty" // discovery agents send truncated and malformed responses for For; sockets only
	ListIncomplete  Kind = "list-misses"      // the endpoint list lacks Share of the servers for For

	// Faults of clients.

	Reconnect          Kind = "reconnect"   // Share of the clients disconnect and reconnect within For
	MisbehavingClients Kind = "bad-clients" // Rate misbehaving clients per second for For; sockets only
	SilentClients      Kind = "crowd"       // Rate clients per second connect and never finish, for For; sockets only
	FragmentedLines    Kind = "pieces"      // clients write their first lines in pieces for For; sockets only

	// Faults and maintenance of balancers.

	BalancerCrash   Kind = "balancer-crash"   // Share of the balancers are killed, and start again after For
	BalancerRestart Kind = "balancer-restart" // Share of the balancers restart gracefully, one after the other within For
	BalancerDrain   Kind = "balancer-drain"   // an operator drains Share of the balancers, one after the other, each for For; sockets only
	Upgrade         Kind = "upgrade"          // Share of the balancers are replaced by hot restart, one after the other within For; sockets only
	Reload          Kind = "reload"           // all balancers read a new configuration, which names another address of discovery; sockets only
	ChangeClasses   Kind = "retune"           // a new configuration has one more class and fewer attempts, for For; sockets only
	Stall           Kind = "stall"            // the processes of Share of the balancers are stopped for For; sockets only

	// Faults between the members of a fleet; sockets only.

	MembersLossy   Kind = "members-lossy"   // links between Share of the members and the others lose Rate of the messages for For
	MembersSlow    Kind = "members-slow"    // links between Share of the members and the others are Delay slower for For; Direction "out": only what Share sends, like slow responses
	MembersCut     Kind = "members-cut"     // Share of the members are cut off from the others for For; Direction "in" or "out": in that direction only
	MembersReorder Kind = "members-reorder" // Rate of the datagrams between Share of the members and the others are duplicated and reordered for For
	MachineLost    Kind = "machine-lost"    // Share of the members are killed and their directories deleted; they start empty after For, or never if it is 0
)

// Kinds lists all kinds of fault with the keys that an experiment file must set.
var Kinds = map[Kind][]string{
	Drain:     {"part"},
	Release:   {"part", "for"},
	Crash:     {"part", "for"},
	Vanish:    {"part", "for"},
	Slow:      {"part", "for", "times"},
	Errors:    {"part", "for", "rate"},
	Full:      {"part", "for"},
	Drip:      {"part", "for"},
	TornLines: {"part", "for"},
	HalfOpen:  {"part", "for"},
	LinkSlow:  {"part", "for", "late"},
	LinkCut:   {"part", "for"},
	StoreSlow: {"for", "times"},

	DiscoveryOut:    {"for"},
	DiscoveryLate:   {"for", "late"},
	DiscoveryFaulty: {"for"},
	ListIncomplete:  {"part", "for"},

	Reconnect:          {"part", "for"},
	MisbehavingClients: {"for", "rate"},
	SilentClients:      {"for", "rate"},
	FragmentedLines:    {"for"},

	BalancerCrash:   {"part", "for"},
	BalancerRestart: {"part", "for"},
	BalancerDrain:   {"part", "for"},
	Upgrade:         {"part", "for"},
	Reload:          {},
	ChangeClasses:   {"for"},
	Stall:           {"part", "for"},

	MembersLossy:   {"part", "for", "rate"},
	MembersSlow:    {"part", "for", "late"},
	MembersCut:     {"part", "for"},
	MembersReorder: {"part", "for", "rate"},
	MachineLost:    {"part"},
}

// betweenMembers lists the faults that need balancers that are members of a fleet.
var betweenMembers = []Kind{MembersLossy, MembersSlow, MembersCut, MembersReorder, MachineLost}

// socketsOnly lists the other faults that have no meaning in virtual time.
var socketsOnly = []Kind{
	Drip, TornLines, HalfOpen, LinkSlow, LinkCut,
	DiscoveryFaulty,
	MisbehavingClients, SilentClients, FragmentedLines,
	BalancerDrain, Upgrade, Reload, ChangeClasses, Stall,
}

// IsBetweenMembers reports whether a fault needs balancers that are members of a fleet.
func IsBetweenMembers(kind Kind) bool { return slices.Contains(betweenMembers, kind) }

// IsSocketsOnly reports whether a fault has no meaning in virtual time.
func IsSocketsOnly(kind Kind) bool {
	return slices.Contains(socketsOnly, kind) || IsBetweenMembers(kind)
}

// Values of Fault.Direction, beside "both".
const (
	directionIn  = "in"
	directionOut = "out"
)

// Fault is one entry of the fault schedule.
type Fault struct {
	Kind       Kind
	At         time.Duration // begin, since the start of the run
	For        time.Duration // duration of the fault, or of the interval over which it is spread
	Share      float64       // share of the servers, balancers or clients
	BatchShare float64       // share of the servers that a release replaces at a time
	Drain      time.Duration // time between drain and stop of a server; 0: the default
	Factor     float64       // factor of a slowdown
	Rate       float64       // share of set-ups or messages, or number of clients per second; see the kinds
	Delay      time.Duration // additional delay of a link or of the endpoint list
	Direction  string        // direction of a fault between members, from the point of view of Share: "both", "in" or "out"
}
