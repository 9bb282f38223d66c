// Package loadgossip carries the load messages that balancers exchange. It owns their encoding, which is the
// same in the simulator and over UDP, and the UDP sockets. It must never act on the contents of a message, wait
// for a message or send one again: messages may arrive late or not at all, and policy relies on none of them.
package loadgossip

import (
	"encoding/binary"
	"errors"
	"math"

	"sabletally/policy"
)

// MaxDatagramSize is the largest size of a datagram in bytes.
const MaxDatagramSize = 256

// A datagram consists of a header and one byte for each endpoint. The header holds, in little-endian order, the
// version hash (uint32), the offset (uint16) and the unit of load (float32). Each byte holds the load of an
// endpoint in that unit and, in its highest bit, whether the endpoint is overloaded.
const (
	headerSize    = 10   // size of the header in bytes
	maxLoads      = 240  // largest number of endpoints in one datagram
	maxUnits      = 127  // largest load in units; the unit is chosen so that the largest load of a datagram has this value
	overloadedBit = 0x80 // bit of a load byte that is set if the endpoint is overloaded
)

var (
	errLength = errors.New("load message: length of the datagram is out of range")
	errUnit   = errors.New("load message: unit of load is negative or not a finite number")
)

// Encode encodes a message as datagrams, as many as its loads need and at least one.
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

// encodePart encodes a message with at most maxLoads loads as one datagram.
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

// Decode decodes one datagram. It returns an error for bytes that Encode cannot have produced.
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
