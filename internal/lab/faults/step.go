package faults

import "time"

// Action is what a step does.
type Action uint8

// The actions. Capitalized words in the comments are fields of Step. Unless it is said otherwise, Value is 1 to begin and 0 to end.
const (
	StartServer     Action = iota // server Target starts cold, in place of Machine
	DrainServer                   // the endpoint list says that the server drains, and it migrates its clients; For: until it stops
	StopServer                    // the server ends its connections and is gone
	CrashServer                   // the server's process dies; the endpoint list notices late
	RestartServer                 // it starts again, cold
	SilenceServer                 // the server's machine sends nothing any more
	UnsilenceServer               // it sends again
	SetSlow                       // Value: times slower
	SetErrors                     // Value: share of set-ups that fail
	SetFull
	SetDrip
	SetTornLines
	SetHalfOpen
	SetStoreSlow          // Value: times slower
	SetDiscoveryReachable // Value: 1 reachable, 0 not
	SetListDelay          // For: additional delay of the endpoint list
	SetDiscoveryFaulty
	HideServer            // the endpoint list lacks the server
	ShowServer            // it has the server again
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
	SetFragmentedLines
	SetLinkDelay // For: additional delay
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
	case SetStoreSlow, SetDiscoveryReachable, SetListDelay, SetDiscoveryFaulty,
		DropClients, SetMisbehavingClients, SetSilentClients, SetFragmentedLines,
		KillBalancer, StartBalancer, RestartBalancer, UpgradeBalancer, DrainBalancer, StallBalancer, LoseBalancer,
		ReloadAll, SetMoreClasses, SetMemberLinks:
		return false
	}
	return true
}
