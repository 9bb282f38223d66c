package changefeed

import (
	"fmt"
	"time"
)

// linesMost bounds the lines of one Ready; more are dropped, the counters have them.
const linesMost = 64

// Kind of a line for the log.
type Kind uint8

const (
	Woke       Kind = iota // this process was stopped For so long
	Lapsed                 // a relay let Peer go: it was not heard For so long
	TooSlow                // a relay let Peer go: it took nothing For so long
	Stranger               // Peer is of another fleet, Text
	NewerForm              // Peer speaks a newer form, Text
	BadMessage             // Text
	Follows                // a follower follows Peer at Addr
	Leaves                 // a follower leaves Addr, Text tells why
	Stands                 // a follower's knowledge is no longer current; it is of Version and For so long ago
	Again                  // it is again
	Mismatch               // a follower's state is not the one that a change from Addr is of; a snapshot is asked for. Once until that has come
	Conflict               // Addr has another content at the same Version: two histories exist. An error for the pager
	Refused                // what Addr sent can't be taken, Text
)

// Line is one thing that operators are told.
type Line struct {
	Kind    Kind
	Peer    string
	Addr    string
	Version uint64
	For     time.Duration
	Text    string
}

// Error tells whether a line is one for the pager.
func (l Line) Error() bool { return l.Kind == Conflict }

// String words a line.
func (l Line) String() string {
	switch l.Kind {
	case Woke:
		return fmt.Sprintf("this process was stopped for %v", l.For)
	case Lapsed:
		return fmt.Sprintf("follower %s was not heard for %v: it is let go", l.Peer, l.For)
	case TooSlow:
		return fmt.Sprintf("follower %s took nothing for %v: it is let go", l.Peer, l.For)
	case Stranger:
		return fmt.Sprintf("%s%s is of another fleet: %s", l.Peer, l.Addr, l.Text)
	case NewerForm:
		return fmt.Sprintf("follower %s speaks a newer form: %s", l.Peer, l.Text)
	case BadMessage:
		return "a message that can't be read: " + l.Text
	case Follows:
		return fmt.Sprintf("follows %s at %s", l.Peer, l.Addr)
	case Leaves:
		return fmt.Sprintf("leaves %s: %s", l.Addr, l.Text)
	case Stands:
		return fmt.Sprintf("standing: knows version %d, as of %v ago", l.Version, l.For)
	case Again:
		return fmt.Sprintf("current again, at version %d, after %v", l.Version, l.For)
	case Mismatch:
		return fmt.Sprintf("a change from %s is of another state than version %d here: a snapshot is asked for: %s", l.Addr, l.Version, l.Text)
	case Conflict:
		return fmt.Sprintf("%s has another content at version %d: two histories exist: %s", l.Addr, l.Version, l.Text)
	}
	return fmt.Sprintf("%s is refused: %s", l.Addr, l.Text)
}
