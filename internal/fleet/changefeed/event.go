package changefeed

import (
	"fmt"
	"time"
)

// maxEvents limits the events that one call of Ready returns. Further events are dropped; the statistics still count what they report.
const maxEvents = 64

// EventKind says what an Event reports.
type EventKind uint8

// The kinds of events, each with the fields of Event that it uses.
const (
	EventResumed          EventKind = iota // This process was suspended for Duration.
	EventLeaseExpired                      // The publisher closed the session of PeerID, which was silent for Duration.
	EventSlowSubscriber                    // The publisher closed the session of PeerID, which acknowledged nothing for Duration.
	EventForeignFleet                      // PeerID at Addr belongs to another fleet, which Detail describes.
	EventNewerProtocol                     // PeerID speaks a newer version of the protocol, given by Detail.
	EventMalformedMessage                  // A message from a subscriber is malformed; Detail is the error.
	EventSubscribed                        // The subscriber follows PeerID at Addr.
	EventUnsubscribed                      // The subscriber stopped following Addr; Detail is the reason.
	EventStale                             // The subscriber's state, at Version, is no longer current; it was last confirmed Duration ago.
	EventCurrent                           // The subscriber's state, at Version, is current again after Duration.
	EventDigestMismatch                    // A change from Addr does not apply to the state at Version. Reported once until an update succeeds.
	EventHistoryConflict                   // Addr has different content at Version: two histories exist, and an operator has to intervene.
	EventMessageRejected                   // A message from Addr, or the member item with the key Addr, is invalid; Detail is the error.
)

// Event is an occurrence that is logged for operators. Its Kind determines which of the other fields are set.
type Event struct {
	Kind     EventKind
	PeerID   string
	Addr     string
	Version  uint64
	Duration time.Duration
	Detail   string
}

// IsAlert reports whether an operator has to act on the event at once.
func (e Event) IsAlert() bool { return e.Kind == EventHistoryConflict }

// String returns the text of the event for a log.
func (e Event) String() string {
	switch e.Kind {
	case EventResumed:
		return fmt.Sprintf("this process was suspended for %v", e.Duration)
	case EventLeaseExpired:
		return fmt.Sprintf("lease of subscriber %s expired after %v of silence", e.PeerID, e.Duration)
	case EventSlowSubscriber:
		return fmt.Sprintf("subscriber %s acknowledged nothing for %v", e.PeerID, e.Duration)
	case EventForeignFleet:
		return fmt.Sprintf("%s%s belongs to another fleet: %s", e.PeerID, e.Addr, e.Detail)
	case EventNewerProtocol:
		return fmt.Sprintf("subscriber %s speaks a newer protocol version: %s", e.PeerID, e.Detail)
	case EventMalformedMessage:
		return "malformed message: " + e.Detail
	case EventSubscribed:
		return fmt.Sprintf("subscribed to %s at %s", e.PeerID, e.Addr)
	case EventUnsubscribed:
		return fmt.Sprintf("unsubscribed from %s: %s", e.Addr, e.Detail)
	case EventStale:
		return fmt.Sprintf("state is stale: version %d was last confirmed %v ago", e.Version, e.Duration)
	case EventCurrent:
		return fmt.Sprintf("state is current again at version %d, after %v", e.Version, e.Duration)
	case EventDigestMismatch:
		return fmt.Sprintf("change from %s does not apply to the state at version %d, requesting a snapshot: %s", e.Addr, e.Version, e.Detail)
	case EventHistoryConflict:
		return fmt.Sprintf("%s has different content at version %d, two histories exist: %s", e.Addr, e.Version, e.Detail)
	}
	return fmt.Sprintf("message from %s rejected: %s", e.Addr, e.Detail)
}
