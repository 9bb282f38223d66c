// Package loadgossip carries the load messages that balancers exchange. It owns their encoding, which is the
// same in the simulator and on sockets, and the datagrams on sockets. It must never act on the contents of a
// message, wait for one or send one twice: messages come late or never, and policy does not rely on any.
package loadgossip

import (
	"encoding/binary"
	"errors"
	"math"

	"sabletally/policy"
)

// MaxDatagramSize bounds the length of a datagram in bytes.
const MaxDatagramSize = 256

// A datagram is a header and one byte for each endpoint. The header holds, in little-endian order, the version
// hash (uint32), the offset (uint16) and the unit of load (float32). A byte holds a load in units and, in its
// highest bit, whether the endpoint is overloaded.
const (
	headerSize    = 10
	maxLoads      = 240 // endpoints in one datagram
	maxUnits      = 127 // of one load: the largest load of a datagram
	overloadedBit = 0x80
)

var (
	errLength = errors.New("load message of impossible length")
	errUnit   = errors.New("load message whose unit of load is not a finite number of at least 0")
)

// Encode returns the datagrams of a message, as many as its loads need and at least one.
func Encode(message policy.GossipMessage) [][]byte {
	var datagrams [][]byte
	for from := 0; from < max(len(message.Loads), 1); from += maxLoads {
		to := min(from+maxLoads, len(message.Loads))
		datagrams = append(datagrams, encodePart(policy.GossipMessage{
			VersionHash: message.VersionHash,
			Offset:      message.Offset + from,
			Loads:       message.Loads[from:to],
			Overloaded:  message.Overloaded[from:to],
		}))
	}
	return datagrams
}

// encodePart encodes a message of maxLoads loads at most.
func encodePart(message policy.GossipMessage) []byte {
	unit := float32(0)
	for _, load := range message.Loads {
		unit = max(unit, float32(load/maxUnits))
	}
	datagram := make([]byte, 0, headerSize+len(message.Loads))
	datagram = binary.LittleEndian.AppendUint32(datagram, message.VersionHash)
	datagram = binary.LittleEndian.AppendUint16(datagram, uint16(message.Offset))
	datagram = binary.LittleEndian.AppendUint32(datagram, math.Float32bits(unit))
	for n, load := range message.Loads {
		encoded := byte(0)
		if unit > 0 {
			encoded = byte(min(math.Round(load/float64(unit)), maxUnits))
		}
		if message.Overloaded[n] {
			encoded |= overloadedBit
		}
		datagram = append(datagram, encoded)
	}
	return datagram
}

// Decode reads one datagram. It returns an error for bytes that Encode cannot have written.
func Decode(datagram []byte) (policy.GossipMessage, error) {
	if len(datagram) < headerSize || len(datagram) > headerSize+maxLoads {
		return policy.GossipMessage{}, errLength
	}
	unit := float64(math.Float32frombits(binary.LittleEndian.Uint32(datagram[6:])))
	isFinite := unit >= 0 && unit < math.MaxFloat32
	if !isFinite {
		return policy.GossipMessage{}, errUnit
	}
	message := policy.GossipMessage{
		VersionHash: binary.LittleEndian.Uint32(datagram),
		Offset:      int(binary.LittleEndian.Uint16(datagram[4:])),
	}
	for _, encoded := range datagram[headerSize:] {
		message.Loads = append(message.Loads, float64(encoded&^overloadedBit)*unit)
		message.Overloaded = append(message.Overloaded, encoded&overloadedBit != 0)
	}
	return message, nil
}
