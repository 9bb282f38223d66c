package gossip

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// delegate takes the library's notifications and answers its questions. The library holds its locks meanwhile.
type delegate struct{ agent *Agent }

// NotifyJoin takes a member that was found alive.
func (d *delegate) NotifyJoin(node *memberlist.Node) { d.notifyAlive(node) }

// NotifyUpdate takes a member whose metadata has changed.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.notifyAlive(node) }

func (d *delegate) notifyAlive(node *memberlist.Node) {
	m, err := decodeMember(node)
	if err != nil {
		return // refused by NotifyAlive, which counts it
	}
	d.agent.enqueue(func() { d.agent.table.HandleAlive(m) })
}

// NotifyLeave takes a member that failed or left.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	id := node.Name
	d.agent.enqueue(func() { d.agent.table.HandleFailure(id) })
}

// NotifyAlive refuses members whose metadata can't be read or whose protocol versions do not match.
func (d *delegate) NotifyAlive(node *memberlist.Node) error {
	_, err := decodeMember(node)
	if err != nil {
		d.agent.malformed.Add(1)
	}
	return err
}

// NotifyConflict takes two addresses for one ID. Each process handles the conflicts of its own ID.
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

// NodeMeta returns the metadata that is gossiped with this member's address.
func (d *delegate) NodeMeta(limit int) []byte {
	m := d.agent.opt.Self
	m.Leaving = d.agent.isLeaving.Load()
	text := encodeMeta(m)
	if len(text) > limit {
		panic(fmt.Sprintf("the metadata of a member has %d bytes, more than %d", len(text), limit)) // the fleet file bounds its names
	}
	return text
}

// NotifyMsg takes another member's departure and passes it on if it is news.
func (d *delegate) NotifyMsg(text []byte) {
	leaving, err := decodeDeparture(text)
	if err != nil {
		d.agent.malformed.Add(1)
		return
	}
	d.agent.enqueue(func() {
		if d.agent.table.HandleLeave(leaving.ID, leaving.Incarnation) {
			d.agent.departures.QueueBroadcast(leaving)
		}
	})
}

// GetBroadcasts returns the departures that go out with the next datagram.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.agent.departures.GetBroadcasts(overhead, limit)
}

// LocalState is unused: members exchange nothing but metadata and departures.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState is unused.
func (d *delegate) MergeRemoteState([]byte, bool) {}

// logWriter takes the library's log: its warnings and errors are counted.
type logWriter struct{ agent *Agent }

// Write takes one line.
func (fleet *logWriter) Write(text []byte) (int, error) {
	if bytes.Contains(text, []byte("[ERR]")) || bytes.Contains(text, []byte("[WARN]")) {
		fleet.agent.malformed.Add(1)
		fleet.agent.opt.Log.Debug("fleet: gossip library", zap.ByteString("line", bytes.TrimSpace(text)))
	}
	return len(text), nil
}
