package membership

import "time"

// EventKind says what happened.
type EventKind uint8

// The kinds of events.
const (
	MemberJoined      EventKind = iota // Member is alive now
	MemberFailed                       // Member is dead or unreachable
	MemberLeft                         // Member announced that it leaves
	MemberFlapping                     // Member failed and came back repeatedly: Returns times within flapWindow
	MemberRestarted                    // Member runs as a new process on the same data directory; its memory contents are lost
	MemberReplaced                     // Member's address is used by a member with another data directory; Member's own is lost
	MemberForgotten                    // Member failed longer than ForgetAfter ago and is no longer part of the fleet
	ProcessResumed                     // this process was paused for Duration and runs again
	StandingChanged                    // this member's quorum state is now Standing; Alive of Total members are alive
	TooFewMachines                     // Alive machines are fewer than the Total replicas of a record
	EnoughMachines                     // Alive machines suffice again for the Total replicas of a record
	DuplicateDetected                  // another process at Member.Addr has a copy of this member's data directory
)

// Event is a decision of the table that is logged for operators, with its figures. Which fields are set depends on its kind.
type Event struct {
	Kind     EventKind
	Member   Member
	Returns  int
	Standing QuorumState
	Duration time.Duration
	Alive    int
	Total    int
}

// report queues the logging of an event.
func (t *Table) report(event Event) { t.addAction(Action{Kind: Report, Event: event}) }

// reportPeer reports an event of another member. The counts Alive and Total include this member.
func (t *Table) reportPeer(kind EventKind, peer *Peer) {
	t.report(Event{Kind: kind, Member: peer.Member, Returns: peer.Returns, Alive: t.aliveCount() + 1, Total: t.fleetSize() + 1})
}

// reportChanges reports a change of this member's quorum state, and whether enough machines are alive for all replicas, since the last call.
func (t *Table) reportChanges() {
	if standing := t.QuorumState(t.now); standing != t.lastStanding {
		t.lastStanding = standing
		t.report(Event{Kind: StandingChanged, Standing: standing, Alive: t.aliveCount() + 1, Total: t.fleetSize() + 1})
	}
	machines := t.aliveMachines()
	lacksMachines := t.hasMetMember && machines < t.cfg.ReplicationFactor
	if lacksMachines == t.lacksMachines {
		return
	}
	t.lacksMachines = lacksMachines
	kind := EnoughMachines
	if lacksMachines {
		kind = TooFewMachines
	}
	t.report(Event{Kind: kind, Alive: machines, Total: t.cfg.ReplicationFactor})
}
