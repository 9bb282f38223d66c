// Package loadgossip carries what balancers tell each other: its form in bytes, the same in the simulator and on sockets,
// and on sockets the datagrams. It must never act on what a message says, wait for one, or send one twice: messages
// come late or never, and the module counts on none.
package loadgossip

import (
	"encoding/binary"
	"errors"
	"math"

	"sabletally/policy"
)

// MaxDatagramSize is the longest message in bytes.
const MaxDatagramSize = 256

const (
	most   = 240  // servers told of in one message
	head   = 10   // version's mark (u32), first place (u16), unit of load (float32), little-endian
	steps  = 127  // a load is told in so many parts of the largest
	jammed = 0x80 // the high bit of a server's byte
)

// Encode words what is told in as many messages as it takes.
func Encode(t policy.GossipMessage) [][]byte {
	var all [][]byte
	for from := 0; from < max(len(t.Loads), 1); from += most {
		to := min(from+most, len(t.Loads))
		all = append(all, encode(policy.GossipMessage{VersionHash: t.VersionHash, Offset: t.Offset + from, Loads: t.Loads[from:to], Overloaded: t.Overloaded[from:to]}))
	}
	return all
}

// encode words one message: the head, then a byte for each server.
func encode(t policy.GossipMessage) []byte {
	unit := float32(0)
	for _, load := range t.Loads {
		unit = max(unit, float32(load/steps))
	}
	text := binary.LittleEndian.AppendUint32(make([]byte, 0, head+len(t.Loads)), t.VersionHash)
	text = binary.LittleEndian.AppendUint16(text, uint16(t.Offset))
	text = binary.LittleEndian.AppendUint32(text, math.Float32bits(unit))
	for n, load := range t.Loads {
		told := byte(0)
		if unit > 0 {
			told = byte(min(math.Round(load/float64(unit)), steps))
		}
		if t.Overloaded[n] {
			told |= jammed
		}
		text = append(text, told)
	}
	return text
}

// Decode reads a message; a text that Encode can't have made is an error.
func Decode(text []byte) (policy.GossipMessage, error) {
	if len(text) < head || len(text) > head+most {
		return policy.GossipMessage{}, errors.New("a message of no length that is sent")
	}
	unit := float64(math.Float32frombits(binary.LittleEndian.Uint32(text[6:])))
	if !(unit >= 0 && unit < math.MaxFloat32) {
		return policy.GossipMessage{}, errors.New("a message whose unit of load is no number")
	}
	t := policy.GossipMessage{VersionHash: binary.LittleEndian.Uint32(text), Offset: int(binary.LittleEndian.Uint16(text[4:]))}
	for _, told := range text[head:] {
		t.Loads = append(t.Loads, float64(told&^jammed)*unit)
		t.Overloaded = append(t.Overloaded, told&jammed != 0)
	}
	return t, nil
}
