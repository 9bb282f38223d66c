// Package framing encodes and decodes the frames of streams between members, and between a control process and its subscribers. A frame is the
// length and the checksum of a body, followed by the body. The package must never read a body that is larger than its caller allows.
package framing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sabletally/internal/fleet/checksum"
	"sabletally/internal/fleet/replication"
)

// StreamMark is the first byte of a stream. Streams of other protocols on the same address begin with a different byte.
const StreamMark = 'f'

// HeaderSize is the size of the header before each body: the length and the CRC-32C of the body, both big-endian.
const HeaderSize = 8

// readChunkBytes is the size of the buffer that is allocated for a body before any of it has arrived. A larger body gets memory as it arrives,
// so that a peer cannot exhaust the memory by announcing large lengths.
const readChunkBytes = 64 << 10

// ErrChecksum reports a body that was corrupted in transit.
var ErrChecksum = errors.New("frame checksum mismatch")

// ErrTooLarge reports a body that is larger than the caller of Read allows.
var ErrTooLarge = errors.New("frame too large")

// Header returns the header that precedes a body.
func Header(body []byte) []byte {
	header := binary.BigEndian.AppendUint32(make([]byte, 0, HeaderSize), uint32(len(body)))
	return binary.BigEndian.AppendUint32(header, checksum.Sum(body))
}

// Read reads one frame and returns its body, of at most maxBytes bytes. The error wraps ErrTooLarge or ErrChecksum, or is that of r.
func Read(r io.Reader, maxBytes int) ([]byte, error) {
	var header [HeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, size, maxBytes)
	}
	body := make([]byte, 0, min(size, readChunkBytes))
	for len(body) < size {
		start := len(body)
		chunk := min(size-start, max(readChunkBytes, start))
		body = append(body, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return nil, err
		}
	}
	if checksum.Sum(body) != binary.BigEndian.Uint32(header[4:]) {
		return nil, ErrChecksum
	}
	return body, nil
}

// Greeting is the first body of a stream, before the messages of package changefeed. It has the fleet's name from the fleet files, which
// detects seeds of another fleet as long as the fleet's ID is unknown.
type Greeting struct {
	Fleet string `cbor:"1,keyasint"`
}

// OperationRequest is an operation that a subscriber submits, and the time within which it wants the result.
type OperationRequest struct {
	Operation replication.Operation `cbor:"1,keyasint"`
	Timeout   time.Duration         `cbor:"2,keyasint"`
}

// Encode encodes a Greeting, an OperationRequest or a replication.Result.
func Encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // the supported types can always be encoded
	}
	return encoded
}

// Decode decodes the result of Encode into the value that value points to.
func Decode(encoded []byte, value any) error { return cbor.Unmarshal(encoded, value) }
