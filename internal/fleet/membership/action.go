package membership

import "net/netip"

// ActionKind is what has to be done.
type ActionKind uint8

// The kinds of actions. The result of each but Report has to be returned to the table.
const (
	Join           ActionKind = iota // exchange members with Addr; ends in HandleJoinResult
	Ping                             // ask whether ID responds; ends in HandlePingResult
	ProbeDuplicate                   // ask whether a process with this member's own ID responds at Addr; ends in HandleProbeResult
	Report                           // log Event
)

// Action is one thing to do. Which fields are set depends on its kind.
type Action struct {
	Kind  ActionKind
	Addr  netip.AddrPort
	ID    string
	Event Event
}

// NextAction returns what has to be done, in the order in which it was decided; false where nothing is left.
func (t *Table) NextAction() (Action, bool) {
	if len(t.actions) == 0 {
		return Action{}, false
	}
	action := t.actions[0]
	t.actions = t.actions[1:]
	return action, true
}

func (t *Table) request(action Action) { t.actions = append(t.actions, action) }
