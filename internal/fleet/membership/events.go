package membership

import "time"

// EventKind is what happened.
type EventKind uint8

// The kinds of events.
const (
	MemberJoined      EventKind = iota // Member is alive
	MemberFailed                       // Member is dead or unreachable
	MemberLeft                         // Member announced its end
	MemberFlapping                     // Member came back, Returns times within a short time
	MemberRestarted                    // Member has a new process with the same data directory: what was in memory is lost
	MemberReplaced                     // Member's address has another member's data directory: its own is lost
	MemberForgotten                    // Member failed too long ago to be part of the fleet
	ProcessResumed                     // this process was paused for Duration
	StandingChanged                    // to Standing, with Alive of Total members alive
	TooFewMachines                     // Alive machines for Total replicas
	EnoughMachines                     // again Alive machines for Total replicas
	DuplicateDetected                  // another process at Member.Addr has a copy of this member's data directory
)

// Event is a decision that operators are told of, with its figures. Which fields are set depends on its kind.
type Event struct {
	Kind     EventKind
	Member   Member
	Returns  int
	Standing Standing
	Duration time.Duration
	Alive    int
	Total    int
}

func (t *Table) report(event Event) { t.request(Action{Kind: Report, Event: event}) }

// reportPeer reports what happened to another member. The figures include this member.
func (t *Table) reportPeer(kind EventKind, peer *Peer) {
	t.report(Event{Kind: kind, Member: peer.Member, Returns: peer.Returns, Alive: t.aliveCount() + 1, Total: t.fleetSize() + 1})
}

// reportChanges reports what has changed for this member as a whole.
func (t *Table) reportChanges() {
	if standing := t.Standing(t.now); standing != t.lastStanding {
		t.lastStanding = standing
		t.report(Event{Kind: StandingChanged, Standing: standing, Alive: t.aliveCount() + 1, Total: t.fleetSize() + 1})
	}
	machines := t.aliveMachines()
	lacksHosts := t.hasMet && machines < t.cfg.ReplicationFactor
	if lacksHosts == t.lacksHosts {
		return
	}
	t.lacksHosts = lacksHosts
	kind := EnoughMachines
	if lacksHosts {
		kind = TooFewMachines
	}
	t.report(Event{Kind: kind, Alive: machines, Total: t.cfg.ReplicationFactor})
}
