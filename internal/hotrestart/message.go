package hotrestart

import (
	"time"

	"sabletally/internal/relay"
)

// protocolVersion is the version of the messages; a link ends at any other.
const protocolVersion = 1

// Kind is the kind of a message. The numbers are part of the wire form.
type Kind uint8

// Kinds of messages. "Old" is the process that is being replaced, "new" the one that replaces it.
const (
	// Hello goes from old to new, once, with what the new process would learn slowly by itself.
	Hello Kind = 1 + iota
	// Ready goes from new to old: the new process takes over sessions and clients.
	Ready
	// DescriptorCount goes both ways: how many descriptors the sender holds.
	DescriptorCount
	// Session goes from old to new with an established session and the descriptors of both its connections.
	Session
	// Client goes from old to new with a client that has no session, and its descriptor.
	Client
	// confirmation goes from new to old: one Session or Client has arrived.
	confirmation
)

// descriptorsPerKind is how many descriptors accompany a message; none for kinds that are not listed.
var descriptorsPerKind = map[Kind]int{Session: 2, Client: 1}

// Message is one message between the two processes. The JSON names are its wire form.
type Message struct {
	Version int    `json:"V"`
	Kind    Kind   `json:"Kind"`
	State   *State `json:"Known,omitempty"` // of Hello
	// DescriptorCount is how many descriptors the sender holds.
	DescriptorCount int64 `json:"Descriptors,omitempty"`
	// Confirms, of Ready, says that the sender confirms each message with descriptors before it uses it.
	Confirms bool `json:"Confirms,omitempty"`
	// Input is the complete first line of a session, or what a client without a session has sent so far.
	Input []byte `json:"First,omitempty"`
	// ServerUID names the server of a session.
	ServerUID string `json:"At,omitempty"`
	// Load is the newest load of a session, as its server reported it.
	Load float64 `json:"Load,omitempty"`
	// Pair is the state of a session's two connections; the descriptors travel beside the message.
	Pair *relay.PairState `json:"Pair,omitempty"`
}

// State is what a new process would learn slowly by itself.
type State struct {
	OutOfService bool         `json:"Out"` // an operator has taken the balancer out of service
	Servers      []ProbeTimes `json:"Servers"`
}

// ProbeTimes is what the old process knows of a server from its probes.
type ProbeTimes struct {
	UID string `json:"UID"`
	// BootMillis is when the server's process started, in milliseconds since 1970; 0 for one that started long ago.
	BootMillis       int64         `json:"Boot"`
	LastDuration     time.Duration `json:"Last"`
	PreviousDuration time.Duration `json:"Before"`
	// ShortestDurations are the shortest times, in ascending order.
	ShortestDurations []time.Duration `json:"Low"`
	// SpeedStep is the speed of the server's machine, in steps above the median machine.
	SpeedStep int `json:"Pace"`
}

// Outcome is what became of a message with descriptors.
type Outcome uint8

const (
	// Confirmed means that the other process has the descriptors and has said so.
	Confirmed Outcome = iota
	// Returned means that the other process neither has the descriptors nor will get them: they belong to the caller again.
	Returned
	// Unconfirmed means that the message was sent, and that the other process neither confirmed it nor ended in time: it may still
	// use the descriptors.
	Unconfirmed
)

func (o Outcome) String() string {
	switch o {
	case Confirmed:
		return "confirmed"
	case Returned:
		return "returned"
	}
	return "unconfirmed"
}
