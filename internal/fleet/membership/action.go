package membership

import "net/netip"

// ActionKind says what the caller has to do.
type ActionKind uint8

// The kinds of actions. The caller returns the result of each one except Report to the table.
const (
	Join           ActionKind = iota // exchange member lists with Addr, then call HandleJoinResult
	Ping                             // ask whether member ID responds, then call HandlePingResult
	ProbeDuplicate                   // ask whether a process with this member's own ID responds at Addr, then call HandleProbeResult
	Report                           // log Event
)

// Action is one task for the caller. Which fields are set depends on its kind.
type Action struct {
	Kind  ActionKind
	Addr  netip.AddrPort
	ID    string
	Event Event
}

// NextAction removes and returns the oldest pending action; it returns false if there is none.
func (t *Table) NextAction() (Action, bool) {
	if len(t.actions) == 0 {
		return Action{}, false
	}
	action := t.actions[0]
	t.actions = t.actions[1:]
	return action, true
}

// addAction queues an action for NextAction.
func (t *Table) addAction(action Action) { t.actions = append(t.actions, action) }
