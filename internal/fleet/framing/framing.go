// Package framing encodes the frames of streams between members, and between a control process and its subscribers. It owns the form of a frame:
// the length and the checksum of its body, then the body. It must never hold more of a body than its reader allows.
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

// StreamMark is the first byte of a stream. Streams of other protocols on the same address begin with another one.
const StreamMark = 'f'

// HeaderSize is the number of bytes before each body: its length and its CRC-32C, both big-endian.
const HeaderSize = 8

// readChunkBytes is the memory that is allocated before as much of a body has arrived: a length alone takes no memory.
const readChunkBytes = 64 << 10

// ErrChecksum reports a body that was corrupted in transit.
var ErrChecksum = errors.New("wrong checksum")

// ErrTooLarge reports a body that is longer than its reader allows.
var ErrTooLarge = errors.New("frame too large")

// Header returns the header of a body.
func Header(body []byte) []byte {
	header := binary.BigEndian.AppendUint32(make([]byte, 0, HeaderSize), uint32(len(body)))
	return binary.BigEndian.AppendUint32(header, checksum.Sum(body))
}

// Read reads one frame and returns its body of at most maxBytes. The error is ErrTooLarge, ErrChecksum, or the reader's.
func Read(r io.Reader, maxBytes int) ([]byte, error) {
	var header [HeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > maxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, maxBytes)
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

// Greeting is the first body of a stream, before the messages of package changefeed. It names the fleet as the files do, and so protects
// against seeds of another fleet while the fleet's ID is unknown.
type Greeting struct {
	Fleet string `cbor:"1,keyasint"`
}

// OperationRequest is an operation that a subscriber submits.
type OperationRequest struct {
	Operation replication.Operation `cbor:"1,keyasint"`
	Timeout   time.Duration         `cbor:"2,keyasint"`
}

// Encode encodes a Greeting, an OperationRequest or a replication.Result.
func Encode(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // plain values
	}
	return encoded
}

// Decode decodes what Encode returned into the value that a pointer points to.
func Decode(encoded []byte, value any) error { return cbor.Unmarshal(encoded, value) }
