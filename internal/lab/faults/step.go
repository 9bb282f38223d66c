package faults

import "time"

// Action is what a step does.
type Action uint8

// The actions. Capitalized words in the comments are fields of Step. Where a comment gives no meaning of Value, a fault begins with
// Value 1 and ends with Value 0.
const (
	StartServer           Action = iota // server Target starts cold, in place of Machine
	DrainServer                         // the endpoint list reports the server as draining, and the server migrates its clients; For: time until it stops
	StopServer                          // the server closes its connections and does not return
	CrashServer                         // the server's process dies; the endpoint list detects it after a delay
	RestartServer                       // a crashed server starts again, cold
	SilenceServer                       // the server's machine stops sending
	UnsilenceServer                     // a silent machine sends again
	SetSlow                             // Value: factor by which the server is slower; 1 ends the fault
	SetErrors                           // Value: share of set-ups that fail; 0 ends the fault
	SetFull                             // the server rejects all new sessions
	SetDrip                             // the server writes one byte at a time
	SetTornLines                        // the server resets connections in the middle of a line
	SetHalfOpen                         // the server accepts connections and reads nothing
	SetStoreSlow                        // Value: factor by which the store is slower; 1 ends the fault
	SetDiscoveryReachable               // Value: 1 makes the discovery agents reachable, 0 unreachable
	SetListDelay                        // For: additional delay of changes of the endpoint list; 0 ends the fault
	SetDiscoveryFaulty                  // the discovery agents send truncated and malformed responses
	HideServer                          // the endpoint list lacks the server
	ShowServer                          // the endpoint list has the server again
	DropClients                         // clients disconnect and reconnect; Value: share of the clients; For: time within which they do so
	KillBalancer                        // the balancer is killed
	StartBalancer                       // a balancer that was killed starts again
	RestartBalancer                     // the balancer shuts down gracefully, and starts again once its process has ended
	ReloadAll                           // all balancers read a new configuration
	SetMisbehavingClients               // Value: misbehaving clients per second; 0 ends the fault
	UpgradeBalancer                     // the balancer is replaced by hot restart
	DrainBalancer                       // an operator drains the balancer; For: time until it is in service again
	SetMoreClasses                      // Value: 1 configures one more class, 0 removes it
	SetSilentClients                    // Value: silent clients per second; For: duration of the fault
	SetFragmentedLines                  // clients write their first lines in fragments
	SetLinkDelay                        // For: additional delay of the link to the server; 0 ends the fault
	SetLinkCut                          // nothing that the server sends passes its link
	SetMemberLinks                      // the links between Members and the other members get the state Link
	StallBalancer                       // the balancer's process is stopped; For: time until it continues
	LoseBalancer                        // the balancer is killed and its directory deleted
)

// MemberLink is the state of links between members of a fleet.
type MemberLink struct {
	In         bool          // whether the state applies to messages to the members of the step
	Out        bool          // whether the state applies to messages from the members of the step
	Loss       float64       // share of the messages that are lost
	Duplicated float64       // share of the datagrams that are duplicated and reordered
	Delay      time.Duration // additional delay of messages
	Cut        bool          // whether no message passes
}

// Step is one action at one time.
type Step struct {
	At      time.Duration // time since the start of the run
	Action  Action
	Target  int           // index of a server, or of a balancer for actions on balancers
	Machine int           // index of the machine whose place a started server takes
	Value   float64       // value whose meaning depends on the action; see the actions
	For     time.Duration // time whose meaning depends on the action; see the actions
	Members uint64        // set of members of SetMemberLinks, with a bit for each member
	Link    MemberLink    // new state of the links of SetMemberLinks
}

// OnServer reports whether the step acts on server Target.
func (s Step) OnServer() bool { return isOnServer(s.Action) }

// isOnServer reports whether an action acts on a server.
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
