package gossip

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
)

// ProtocolVersion is the newest form of words between members, and Oldest the oldest that is understood.
// From 2 on members tell each other changes of the agreed state (core.Form).
const ProtocolVersion, MinProtocolVersion = node.ProtocolVersion, 1

// meta is what goes with a member's address through the fleet: 512 bytes at most, which names of 64 keep to.
type meta struct {
	Name    string `json:"n"`
	Machine string `json:"m"`
	Zone    string `json:"z"`
	Site    string `json:"s"`
	Life    uint64 `json:"l"`
	Speaks  int    `json:"v"`
	Oldest  int    `json:"o"`
	Leaving bool   `json:"g,omitempty"`
}

func describe(m membership.Member) []byte {
	text, err := json.Marshal(meta{m.Name, m.Machine, m.Zone, m.Site, m.Incarnation, m.ProtocolVersion, m.MinProtocolVersion, m.Leaving})
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// read makes a member of what the library knows of one. A member that no words can be exchanged with is an error.
func read(n *memberlist.Node) (m membership.Member, err error) {
	var in meta
	if err := json.Unmarshal(n.Meta, &in); err != nil {
		return m, fmt.Errorf("member %s: %w", n.Name, err)
	}
	addr, is := netip.AddrFromSlice(n.Addr)
	if !is || len(n.Name) != 32 || in.Name == "" {
		return m, fmt.Errorf("member %q at %v tells no name or address", n.Name, n.Addr)
	}
	if in.Oldest > ProtocolVersion || in.Speaks < MinProtocolVersion {
		return m, fmt.Errorf("member %s (%s) speaks forms %d to %d, this one %d to %d", n.Name, in.Name, in.Oldest, in.Speaks, MinProtocolVersion, ProtocolVersion)
	}
	return membership.Member{ID: n.Name, Name: in.Name, Addr: netip.AddrPortFrom(addr.Unmap(), n.Port), Machine: in.Machine, Zone: in.Zone,
		Site: in.Site, Incarnation: in.Life, ProtocolVersion: in.Speaks, MinProtocolVersion: in.Oldest, Leaving: in.Leaving}, nil
}

// bye is a member's word that it leaves as planned, with the life that it is the end of. The library's own word for it does not
// tell whoever hears of the end which kind it was.
type bye struct {
	ID   string `json:"bye"`
	Life uint64 `json:"l"`
}

func readBye(text []byte) (b bye, err error) {
	if err = json.Unmarshal(text, &b); err == nil && (len(b.ID) != 32 || b.Life == 0) {
		err = fmt.Errorf("%q is no word of a member's", text)
	}
	return b, err
}

// Message, Invalidates and Finished are what the library's queue asks of a word.
func (b bye) Message() []byte {
	text, err := json.Marshal(b)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

func (b bye) Invalidates(other memberlist.Broadcast) bool {
	o, is := other.(bye)
	return is && o.ID == b.ID && o.Life <= b.Life
}

func (b bye) Finished() {}
