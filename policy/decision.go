package policy

import "time"

// Action is what a Decision asks the host to do.
type Action uint8

// The actions.
const (
	StartAttempt Action = iota // dial Endpoint for Session, with Duration as the timeout
	Reject                     // final answer: a retry after Duration is safe
	Fail                       // final answer: a retry may not be safe
	Migrate                    // end an established session so that its client connects again
	HealthCheck                // check Endpoint
	SendGossip                 // send Gossip to every other balancer
)

var actionNames = [...]string{
	StartAttempt: "start attempt",
	Reject:       "reject",
	Fail:         "fail",
	Migrate:      "migrate",
	HealthCheck:  "health check",
	SendGossip:   "send gossip",
}

func (a Action) String() string { return actionNames[a] }

// Decision is one thing for the host to do. Fields that the action does not name are zero.
type Decision struct {
	Action   Action
	Session  SessionID
	Endpoint EndpointID
	Duration time.Duration // timeout of an attempt, Retry-After of a reject (0: none)
	Gossip   GossipMessage
}
