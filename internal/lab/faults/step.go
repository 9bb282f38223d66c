package faults

import "time"

// Action is what a step does.
type Action uint8

// The actions. Capitalized words in the comments are fields of Step. Unless it is said otherwise, Value is 1 to begin and 0 to end.
const (
	Start      Action = iota // server Target starts cold, in place of Machine
	BeginDrain               // the endpoint list says that the server drains, and it migrates its clients; For: until it stops
	Stop                     // the server ends its connections and is gone
	Die                      // the server's process dies; the endpoint list notices late
	Revive                   // it starts again, cold
	Silence                  // the server's machine sends nothing any more
	Speak                    // it sends again
	SetSlow                  // Value: times slower
	SetErrors                // Value: share of set-ups that fail
	SetFull
	SetDrip
	SetTorn
	SetHalfOpen
	SetStore     // Value: times slower
	SetDiscovery // Value: 1 reachable, 0 not
	SetLate      // For: additional delay of the endpoint list
	SetFaulty
	Hide                  // the endpoint list lacks the server
	Show                  // it has the server again
	DropClients           // Value: share of the clients; For: within this time
	KillBalancer          // without warning
	StartBalancer         // again
	RestartBalancer       // gracefully; it starts again once it has ended
	ReloadAll             // all balancers read a new configuration
	SetMisbehavingClients // Value: clients per second
	UpgradeBalancer       // by hot restart
	DrainBalancer         // For: until it is in service again
	SetMoreClasses        // Value: 1 with the additional class, 0 without
	SetSilentClients      // Value: clients per second
	SetPieces
	SetLinkLate // For: additional delay
	SetLinkCut
	SetMemberLinks // links between Members and the other members become Link
	StallBalancer  // For: until it continues
	LoseBalancer   // it is killed, and its directory deleted
)

// MemberLink is the state of links between members of a fleet.
type MemberLink struct {
	In         bool    // applies to messages to the members of the step
	Out        bool    // applies to messages from them
	Loss       float64 // share of the messages
	Duplicated float64 // share of the datagrams, which are also reordered
	Delay      time.Duration
	Cut        bool
}

// Step is one action at one time.
type Step struct {
	At      time.Duration // since the start of the run
	Action  Action
	Target  int // a server, or a balancer for actions on balancers
	Machine int // the machine whose place a started server takes
	Value   float64
	For     time.Duration
	Members uint64 // of SetMemberLinks: a bit for each member
	Link    MemberLink
}

// OnServer reports whether a step acts on server Target.
func (s Step) OnServer() bool { return isOnServer(s.Action) }

func isOnServer(action Action) bool {
	switch action {
	case SetStore, SetDiscovery, SetLate, SetFaulty,
		DropClients, SetMisbehavingClients, SetSilentClients, SetPieces,
		KillBalancer, StartBalancer, RestartBalancer, UpgradeBalancer, DrainBalancer, StallBalancer, LoseBalancer,
		ReloadAll, SetMoreClasses, SetMemberLinks:
		return false
	}
	return true
}
