package gossip

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/hashicorp/memberlist"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
)

// Newest and oldest version of the protocol between members that this program supports.
const (
	ProtocolVersion    = node.ProtocolVersion
	MinProtocolVersion = 1
)

const memberIDDigits = 32 // hexadecimal digits of a member ID

// metadata is gossiped with a member's address. The library limits it to 512 bytes, which is enough for names of up to 64 bytes. The JSON
// names are part of the wire format.
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

// encodeMeta encodes the metadata of a member.
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

// mustMarshal encodes a value whose type can always be encoded as JSON.
func mustMarshal(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// decodeMember decodes a member from the library's node. It returns an error if the member's protocol versions do not overlap with this
// program's.
func decodeMember(node *memberlist.Node) (membership.Member, error) {
	var meta metadata
	if err := json.Unmarshal(node.Meta, &meta); err != nil {
		return membership.Member{}, fmt.Errorf("malformed metadata of member %s: %w", node.Name, err)
	}
	addr, ok := netip.AddrFromSlice(node.Addr)
	if !ok || len(node.Name) != memberIDDigits || meta.Name == "" {
		return membership.Member{}, fmt.Errorf("member with ID %q at %v: ID or address is malformed, or name is empty", node.Name, node.Addr)
	}
	if meta.MinProtocolVersion > ProtocolVersion || meta.ProtocolVersion < MinProtocolVersion {
		return membership.Member{}, fmt.Errorf("member %s (%s) supports protocol versions %d to %d, this program %d to %d", node.Name, meta.Name,
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

// departure announces that a member leaves, with the incarnation that ends. It is sent beside the library's own announcement, which some
// members receive only as a failure. It is a memberlist.Broadcast. The JSON names are part of the wire format.
type departure struct {
	ID          string `json:"bye"`
	Incarnation uint64 `json:"l"`
}

// decodeDeparture decodes and checks a departure.
func decodeDeparture(encoded []byte) (departure, error) {
	var d departure
	if err := json.Unmarshal(encoded, &d); err != nil {
		return departure{}, err
	}
	if len(d.ID) != memberIDDigits || d.Incarnation == 0 {
		return departure{}, fmt.Errorf("malformed departure %q: no valid member ID or incarnation", encoded)
	}
	return d, nil
}

// Message encodes the departure.
func (d departure) Message() []byte { return mustMarshal(d) }

// Invalidates reports whether the departure supersedes another broadcast in the queue: one of the same member and no later incarnation.
func (d departure) Invalidates(other memberlist.Broadcast) bool {
	o, ok := other.(departure)
	return ok && o.ID == d.ID && o.Incarnation <= d.Incarnation
}

// Finished does nothing, as no caller waits for the end of a broadcast.
func (d departure) Finished() {}
