package policy

import "time"

// Action is what a Decision tells the host to do.
type Action uint8

// The actions.
const (
	StartAttempt Action = iota // connect to Endpoint for Session, with Duration as the timeout
	Reject                     // final answer; the client may retry after Duration
	Fail                       // final answer; a retry by the client may not be safe
	Migrate                    // close an established session so that its client reconnects
	HealthCheck                // check the health of Endpoint
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

// Decision is one operation for the host to carry out. Fields that its Action does not use are zero.
type Decision struct {
	Action   Action
	Session  SessionID
	Endpoint EndpointID
	Duration time.Duration // timeout of an attempt, or Retry-After of a reject (0 if there is none)
	Gossip   GossipMessage
	// SendDeadline is the time since the start before which the request of an attempt must be sent, as a later one could take effect a
	// second time. It is 0 if there is no such time.
	SendDeadline time.Duration
}
