package changefeed

import (
	"fmt"
	"time"
)

// maxEvents bounds the events of one Ready. Further ones are dropped; the statistics count them.
const maxEvents = 64

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, with the fields of Event that they use.
const (
	EventResumed          EventKind = iota // this process was suspended for Duration
	EventLeaseExpired                      // a publisher closed the session of PeerID, which was silent for Duration
	EventSlowSubscriber                    // a publisher closed the session of PeerID, which acknowledged nothing for Duration
	EventForeignFleet                      // PeerID at Addr belongs to another fleet, Detail
	EventNewerProtocol                     // PeerID speaks a newer version of the protocol, Detail
	EventMalformedMessage                  // a message could not be decoded, Detail
	EventSubscribed                        // a subscriber follows PeerID at Addr
	EventUnsubscribed                      // a subscriber stopped following Addr, Detail is the reason
	EventStale                             // a subscriber's state is no longer current; it is of Version and was confirmed Duration ago
	EventCurrent                           // it is current again, after Duration
	EventDigestMismatch                    // a change from Addr applies to another state than Version here; reported once until a snapshot repairs it
	EventHistoryConflict                   // Addr has other content at the same Version: two histories exist. It needs an operator
	EventMessageRejected                   // what Addr sent is invalid, Detail
)

// Event is something that operators are told.
type Event struct {
	Kind     EventKind
	PeerID   string
	Addr     string
	Version  uint64
	Duration time.Duration
	Detail   string
}

// IsAlert reports whether an event needs an operator at once.
func (e Event) IsAlert() bool { return e.Kind == EventHistoryConflict }

// String describes the event.
func (e Event) String() string {
	switch e.Kind {
	case EventResumed:
		return fmt.Sprintf("this process was suspended for %v", e.Duration)
	case EventLeaseExpired:
		return fmt.Sprintf("lease of subscriber %s expired after %v of silence", e.PeerID, e.Duration)
	case EventSlowSubscriber:
		return fmt.Sprintf("subscriber %s acknowledged nothing for %v", e.PeerID, e.Duration)
	case EventForeignFleet:
		return fmt.Sprintf("%s%s is of another fleet: %s", e.PeerID, e.Addr, e.Detail)
	case EventNewerProtocol:
		return fmt.Sprintf("subscriber %s speaks a newer protocol version: %s", e.PeerID, e.Detail)
	case EventMalformedMessage:
		return "malformed message: " + e.Detail
	case EventSubscribed:
		return fmt.Sprintf("subscribed to %s at %s", e.PeerID, e.Addr)
	case EventUnsubscribed:
		return fmt.Sprintf("unsubscribed from %s: %s", e.Addr, e.Detail)
	case EventStale:
		return fmt.Sprintf("stale: version %d was confirmed %v ago", e.Version, e.Duration)
	case EventCurrent:
		return fmt.Sprintf("current again, at version %d, after %v", e.Version, e.Duration)
	case EventDigestMismatch:
		return fmt.Sprintf("a change from %s is of another state than version %d here, requesting a snapshot: %s", e.Addr, e.Version, e.Detail)
	case EventHistoryConflict:
		return fmt.Sprintf("%s has other content at version %d, two histories exist: %s", e.Addr, e.Version, e.Detail)
	}
	return fmt.Sprintf("message from %s rejected: %s", e.Addr, e.Detail)
}
