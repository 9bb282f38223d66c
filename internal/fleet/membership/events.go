package membership

import "time"

// EventKind of a line for the log.
type EventKind uint8

const (
	MemberJoined      EventKind = iota // Member is here
	MemberFailed                       // Member was found dead or out of reach
	MemberLeft                         // Member said that it goes
	MemberFlapping                     // Member came back once more within a short time
	MemberRestarted                    // Member's process is another one, with the same directory: what it had in memory is lost
	MemberReplaced                     // Member's address has a directory of another member's: its own is lost
	MemberForgotten                    // Member was gone for too long to be a part of the fleet
	ProcessResumed                     // this process was stopped For so long
	StandingChanged                    // Standing has changed: Here of Of, this member among them
	TooFewMachines                     // Here machines for Of copies
	EnoughMachines                     // again
	DuplicateDetected                  // another process at Member.Addr has this member's directory
)

// Event is one thing that operators are told: what was decided, with its figures.
type Event struct {
	Kind         EventKind
	Member       Member
	Returns      int // times that Member came back of late
	Standing     Standing
	Duration     time.Duration
	Alive, Total int
}

func (t *Table) tell(kind EventKind, k *Peer) {
	t.act(Action{Kind: Report, Event: Event{Kind: kind, Member: k.Member, Returns: k.Returns, Alive: t.here() + 1, Total: t.fleet() + 1}})
}
