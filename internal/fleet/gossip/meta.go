package gossip

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
)

// Versions of the protocol between members that this program speaks.
const (
	ProtocolVersion    = node.ProtocolVersion
	MinProtocolVersion = 1
)

const memberIDDigits = 32

// metadata is gossiped with a member's address. Its size is limited to 512 bytes by the library, which names of 64 bytes keep to. The JSON
// names are the wire form.
type metadata struct {
	Name               string `json:"n"`
	Machine            string `json:"m"`
	Zone               string `json:"z"`
	Site               string `json:"s"`
	Incarnation        uint64 `json:"l"`
	ProtocolVersion    int    `json:"v"`
	MinProtocolVersion int    `json:"o"`
	Leaving            bool   `json:"g,omitempty"`
}

func encodeMeta(m membership.Member) []byte {
	return mustMarshal(metadata{
		Name:               m.Name,
		Machine:            m.Machine,
		Zone:               m.Zone,
		Site:               m.Site,
		Incarnation:        m.Incarnation,
		ProtocolVersion:    m.ProtocolVersion,
		MinProtocolVersion: m.MinProtocolVersion,
		Leaving:            m.Leaving,
	})
}

// mustMarshal encodes a value of a type that can always be encoded.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// decodeMember returns the member that the library knows as a node. It is an error that the protocol versions do not overlap.
func decodeMember(node *memberlist.Node) (membership.Member, error) {
	var meta metadata
	if err := json.Unmarshal(node.Meta, &meta); err != nil {
		return membership.Member{}, fmt.Errorf("member %s: %w", node.Name, err)
	}
	addr, ok := netip.AddrFromSlice(node.Addr)
	if !ok || len(node.Name) != memberIDDigits || meta.Name == "" {
		return membership.Member{}, fmt.Errorf("member %q at %v has no name or address", node.Name, node.Addr)
	}
	if meta.MinProtocolVersion > ProtocolVersion || meta.ProtocolVersion < MinProtocolVersion {
		return membership.Member{}, fmt.Errorf("member %s (%s) speaks protocol versions %d to %d, this one %d to %d", node.Name, meta.Name,
			meta.MinProtocolVersion, meta.ProtocolVersion, MinProtocolVersion, ProtocolVersion)
	}
	return membership.Member{
		ID:                 node.Name,
		Name:               meta.Name,
		Addr:               netip.AddrPortFrom(addr.Unmap(), node.Port),
		Machine:            meta.Machine,
		Zone:               meta.Zone,
		Site:               meta.Site,
		Incarnation:        meta.Incarnation,
		Leaving:            meta.Leaving,
		ProtocolVersion:    meta.ProtocolVersion,
		MinProtocolVersion: meta.MinProtocolVersion,
	}, nil
}

// departure announces that a member leaves, with the incarnation that ends. The library's own announcement does not reach all members as
// one. It is a memberlist.Broadcast. The JSON names are the wire form.
type departure struct {
	ID          string `json:"bye"`
	Incarnation uint64 `json:"l"`
}

func decodeDeparture(text []byte) (departure, error) {
	var d departure
	if err := json.Unmarshal(text, &d); err != nil {
		return departure{}, err
	}
	if len(d.ID) != memberIDDigits || d.Incarnation == 0 {
		return departure{}, fmt.Errorf("%q is no departure of a member", text)
	}
	return d, nil
}

// Message encodes the departure.
func (d departure) Message() []byte { return mustMarshal(d) }

// Invalidates reports whether the departure replaces another one.
func (d departure) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(departure)
	return ok && o.ID == d.ID && o.Incarnation <= d.Incarnation
}

// Finished does nothing: nobody waits for the end of a broadcast.
func (d departure) Finished() {}
