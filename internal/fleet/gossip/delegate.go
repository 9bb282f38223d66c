package gossip

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// delegate receives the library's callbacks. The library holds its locks during a callback, so none of them may block.
type delegate struct{ agent *Agent }

// NotifyJoin handles a member that was found to be alive.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.notifyAlive(node) }

// NotifyUpdate handles a member whose metadata has changed.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.notifyAlive(node) }

// notifyAlive passes a member that is alive to the table.
func (d *delegate) notifyAlive(node *memberlist.Node) {
	m, err := decodeMember(node)
	if err != nil {
		return // NotifyAlive rejects such a member and counts it
	}
	d.agent.enqueue(func() { d.agent.table.HandleAlive(m) })
}

// NotifyLeave handles a member that failed or left. A departure, which arrives as a message, tells the two cases apart.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	id := node.Name
	d.agent.enqueue(func() { d.agent.table.HandleFailure(id) })
}

// NotifyAlive rejects members whose metadata is malformed or whose protocol versions do not overlap with this program's.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	_, err := decodeMember(node)
	if err != nil {
		d.agent.malformed.Add(1)
	}
	return err
}

// NotifyConflict handles two addresses for one ID. Each process handles only the conflicts of its own ID.
func (d *delegate) NotifyConflict(existing, other *memberlist.Node) {
	if existing.Name != d.agent.opt.Self.ID {
		return
	}
	for _, node := range []*memberlist.Node{existing, other} {
		if addr, ok := netip.AddrFromSlice(node.Addr); ok {
			at := netip.AddrPortFrom(addr.Unmap(), node.Port)
			d.agent.enqueue(func() { d.agent.table.HandleConflict(at) })
		}
	}
}

// NodeMeta returns the metadata that is gossiped with this member's address, limit bytes at most.
func (d *delegate) NodeMeta(limit int) []byte {
	m := d.agent.opt.Self
	m.Leaving = d.agent.isLeaving.Load()
	encoded := encodeMeta(m)
	if len(encoded) > limit {
		panic(fmt.Sprintf("gossip: metadata of this member has %d bytes, the limit is %d", len(encoded), limit)) // the fleet file bounds the names in it
	}
	return encoded
}

// NotifyMsg handles the departure of another member and gossips it on if it is news.
func (d *delegate) NotifyMsg(encoded []byte) {
	left, err := decodeDeparture(encoded)
	if err != nil {
		d.agent.malformed.Add(1)
		return
	}
	d.agent.enqueue(func() {
		if d.agent.table.HandleLeave(left.ID, left.Incarnation) {
			d.agent.departures.QueueBroadcast(left)
		}
	})
}

// GetBroadcasts returns the departures that are sent with the next datagram.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.agent.departures.GetBroadcasts(overhead, limit)
}

// LocalState returns nothing: members exchange no state other than metadata and departures.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, as no member sends a state.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// logWriter receives the library's log. Warnings and errors are counted and logged at debug level.
type logWriter struct{ agent *Agent }

// Write handles one line of the library's log.
func (w *logWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("[ERR]")) || bytes.Contains(line, []byte("[WARN]")) {
		w.agent.malformed.Add(1)
		w.agent.opt.Log.Debug("fleet: log line of the gossip library", zap.ByteString("line", bytes.TrimSpace(line)))
	}
	return len(line), nil
}
