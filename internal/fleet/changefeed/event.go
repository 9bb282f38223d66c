package changefeed

import (
	"fmt"
	"time"
)

// maxEvents bounds the lines of one Ready; more are dropped, the counters have them.
const maxEvents = 64

// EventKind of a line for the log.
type EventKind uint8

const (
	EventResumed          EventKind = iota // this process was stopped For so long
	EventLeaseExpired                      // a relay let Peer go: it was not heard For so long
	EventSlowSubscriber                    // a relay let Peer go: it took nothing For so long
	EventForeignFleet                      // Peer is of another fleet, Text
	EventNewerProtocol                     // Peer speaks a newer form, Text
	EventMalformedMessage                  // Text
	EventSubscribed                        // a follower follows Peer at Addr
	EventUnsubscribed                      // a follower leaves Addr, Text tells why
	EventStale                             // a follower's knowledge is no longer current; it is of Version and For so long ago
	EventCurrent                           // it is again
	EventDigestMismatch                    // a follower's state is not the one that a change from Addr is of; a snapshot is asked for. Once until that has come
	EventHistoryConflict                   // Addr has another content at the same Version: two histories exist. An error for the pager
	EventMessageRejected                   // what Addr sent can't be taken, Text
)

// Event is one thing that operators are told.
type Event struct {
	Kind     EventKind
	PeerID   string
	Addr     string
	Version  uint64
	Duration time.Duration
	Detail   string
}

// IsAlert tells whether a line is one for the pager.
func (l Event) IsAlert() bool { return l.Kind == EventHistoryConflict }

// String words a line.
func (l Event) String() string {
	switch l.Kind {
	case EventResumed:
		return fmt.Sprintf("this process was stopped for %v", l.Duration)
	case EventLeaseExpired:
		return fmt.Sprintf("follower %s was not heard for %v: it is let go", l.PeerID, l.Duration)
	case EventSlowSubscriber:
		return fmt.Sprintf("follower %s took nothing for %v: it is let go", l.PeerID, l.Duration)
	case EventForeignFleet:
		return fmt.Sprintf("%s%s is of another fleet: %s", l.PeerID, l.Addr, l.Detail)
	case EventNewerProtocol:
		return fmt.Sprintf("follower %s speaks a newer form: %s", l.PeerID, l.Detail)
	case EventMalformedMessage:
		return "a message that can't be read: " + l.Detail
	case EventSubscribed:
		return fmt.Sprintf("follows %s at %s", l.PeerID, l.Addr)
	case EventUnsubscribed:
		return fmt.Sprintf("leaves %s: %s", l.Addr, l.Detail)
	case EventStale:
		return fmt.Sprintf("standing: knows version %d, as of %v ago", l.Version, l.Duration)
	case EventCurrent:
		return fmt.Sprintf("current again, at version %d, after %v", l.Version, l.Duration)
	case EventDigestMismatch:
		return fmt.Sprintf("a change from %s is of another state than version %d here: a snapshot is asked for: %s", l.Addr, l.Version, l.Detail)
	case EventHistoryConflict:
		return fmt.Sprintf("%s has another content at version %d: two histories exist: %s", l.Addr, l.Version, l.Detail)
	}
	return fmt.Sprintf("%s is refused: %s", l.Addr, l.Detail)
}
