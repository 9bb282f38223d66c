package hotrestart

import (
	"encoding/json"
	"time"

	"sabletally/internal/relay"
)

// protocolVersion is the version of the messages. A link ends when a message of another version arrives.
const protocolVersion = 1

// maxPartSize is the size in bytes up to which servers are put in one part of a state. It leaves room for the commas and the rest of the
// message.
const maxPartSize = maxMessageSize / 2

// Kind is the kind of a message. The numbers are part of the wire format.
type Kind uint8

// Kinds of messages. The old process is the one that is being replaced, the new process the one that replaces it.
const (
	// StateUpdate goes both ways, with the service state: from old to new when the link opens, with all that the new process would
	// otherwise learn slowly, and from either to the other at each request of an operator. Earlier releases send and expect only the first.
	StateUpdate Kind = 1 + iota
	// Ready goes from new to old: the new process can take over sessions and clients.
	Ready
	// DescriptorCount goes both ways, with the number of descriptors that the sender holds open.
	DescriptorCount
	// Session goes from old to new, with an established session and the descriptors of both its connections.
	Session
	// Client goes from old to new, with a client that has no session, and its descriptor.
	Client
	// confirmation goes from new to old: one Session or Client message has arrived.
	confirmation
	// EndpointList goes from old to new, with the endpoint list when the link opens and with each change that discovery announces later.
	// Earlier releases neither send nor read it.
	EndpointList
	// RequestIDUpdate goes both ways, with the IDs of requests that begin and end: from old to new all of them when the link opens, before
	// the first StateUpdate. Earlier releases neither send nor read it.
	RequestIDUpdate
)

// descriptorsPerKind is the number of descriptors that accompany a message of each kind, none for kinds that are not listed.
var descriptorsPerKind = map[Kind]int{Session: 2, Client: 1}

// Message is one message between the two processes. The JSON names are part of the wire format.
type Message struct {
	Version int    `json:"V"`
	Kind    Kind   `json:"Kind"`
	State   *State `json:"Known,omitempty"` // state that a StateUpdate carries
	// DescriptorCount is the number of descriptors that the sender holds open.
	DescriptorCount int64 `json:"Descriptors,omitempty"`
	// ShuttingDown is set in DescriptorCount if the sender takes no clients any more. Earlier releases do not send it.
	ShuttingDown bool `json:"Ending,omitempty"`
	// List is a part of the endpoint list.
	List *ListPart `json:"List,omitempty"`
	// RequestIDs are the IDs that a RequestIDUpdate carries.
	RequestIDs *RequestIDs `json:"IDs,omitempty"`
	// Confirms is set in Ready if the sender confirms each message with descriptors before it uses them.
	Confirms bool `json:"Confirms,omitempty"`
	// Input is the complete first line of a session, or the input received so far from a client without a session.
	Input []byte `json:"First,omitempty"`
	// ServerUID identifies the server of a session.
	ServerUID string `json:"At,omitempty"`
	// Load is the latest load of a session, as reported by its server.
	Load float64 `json:"Load,omitempty"`
	// Pair is the state of a session's two connections. Their descriptors accompany the message.
	Pair *relay.PairState `json:"Pair,omitempty"`
}

// State is what the processes of a hot restart tell each other: the service state, and what a new process would otherwise learn slowly.
type State struct {
	OutOfService bool `json:"Out"` // whether an operator has taken the balancer out of service
	// RequestedAt is the boot time of the operators' latest request, which orders the requests to both processes. It is 0 if there was
	// none, and in messages of earlier releases.
	RequestedAt time.Duration `json:"OutAt,omitempty"`
	// DrainSince is the boot time of the request that took the balancer out of service. It is 0 if there was none, and in messages of
	// earlier releases.
	DrainSince time.Duration `json:"OutSince,omitempty"`
	Servers    []ProbeTimes  `json:"Servers"`
}

// Parts returns the state in messages that each fit the size limit. Every part has the service state, so that the first one that arrives
// is enough for it.
func (s *State) Parts() []*State {
	newPart := func() *State {
		return &State{OutOfService: s.OutOfService, RequestedAt: s.RequestedAt, DrainSince: s.DrainSince}
	}
	part := newPart()
	parts := []*State{part}
	size := 0
	for _, times := range s.Servers {
		encoded, err := json.Marshal(times)
		if err != nil {
			panic(err) // cannot happen: the fields are plain values
		}
		if size += len(encoded); size > maxPartSize && len(part.Servers) > 0 {
			part = newPart()
			parts = append(parts, part)
			size = len(encoded)
		}
		part.Servers = append(part.Servers, times)
	}
	return parts
}

// RequestIDs are IDs of clients' requests that the sender serves or has served.
type RequestIDs struct {
	Open     []uint64 `json:"Open,omitempty"`     // sessions that have begun; the IDs may be used again after Released, or after the link's end
	Used     []uint64 `json:"Used,omitempty"`     // sessions that have begun and must not run again, unless they are Released
	Released []uint64 `json:"Released,omitempty"` // sessions that have ended and may run again
}

// ListPart is a part of an endpoint list. The parts of a list are sent in order.
type ListPart struct {
	Discovery string `json:"Discovery"` // address of the discovery service that the list came from
	Index     int    `json:"Part"`      // index of this part
	Count     int    `json:"Parts"`     // number of parts of the list
	// List has the revision and the part's endpoints, in the form of discovery's responses.
	List json.RawMessage `json:"List"`
}

// ProbeTimes is what the old process has learned about a server from its probes.
type ProbeTimes struct {
	UID string `json:"UID"`
	// BootMillis is the start time of the server's process in milliseconds since 1970, 0 if it started long ago.
	BootMillis       int64         `json:"Boot"`
	LastDuration     time.Duration `json:"Last"`   // duration of the newest probe
	PreviousDuration time.Duration `json:"Before"` // duration of the probe before it
	// ShortestDurations are the shortest probe durations, in ascending order.
	ShortestDurations []time.Duration `json:"Low"`
	// SpeedStep is the speed of the server's machine, in steps above the median machine.
	SpeedStep int `json:"Pace"`
}

// Outcome is the result of sending a message.
type Outcome uint8

const (
	// Confirmed means that the other process has received the message's descriptors and has confirmed them.
	Confirmed Outcome = iota
	// Returned means that the other process does not have the message and its descriptors and will not receive them. The caller owns the
	// descriptors again.
	Returned
	// Unconfirmed means that the message was sent, but the other process neither confirmed it nor ended in time. It may still use the
	// descriptors.
	Unconfirmed
	// Written means that a message without descriptors was written to the link. The other process reads it, unless it ends or hangs, even
	// if this process ends.
	Written
)

func (o Outcome) String() string {
	switch o {
	case Confirmed:
		return "confirmed"
	case Returned:
		return "returned"
	case Written:
		return "written"
	}
	return "unconfirmed"
}
