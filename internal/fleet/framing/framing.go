// Package framing is the form of words on a stream between a control process and a balancer that follows it: each has its length and
// its checksum before it. It must never hold more of a word than its reader allows.
package framing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sabletally/internal/fleet/replication"
)

// StreamMark is the first byte of such a stream; others on the same address begin with another one.
const StreamMark = 'f'

// HeaderSize is how many bytes stand before each word.
const HeaderSize = 8

// chunk is how much room is made for a word before so much of it has come: a length alone takes no memory.
const chunk = 64 << 10

// ErrChecksum is a word that did not come as it was sent.
var ErrChecksum = errors.New("its checksum is wrong")

var table = crc32.MakeTable(crc32.Castagnoli)

// Header is what stands before a body.
func Header(body []byte) []byte {
	head := binary.BigEndian.AppendUint32(make([]byte, 0, HeaderSize), uint32(len(body)))
	return binary.BigEndian.AppendUint32(head, crc32.Checksum(body, table))
}

// Read reads one body of so many bytes at most.
func Read(r io.Reader, most int) ([]byte, error) {
	var head [HeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > most {
		return nil, fmt.Errorf("%d bytes, at most %d", n, most)
	}
	body := make([]byte, 0, min(n, chunk))
	for len(body) < n {
		at := len(body)
		more := min(n-at, max(chunk, at))
		body = append(body, make([]byte, more)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, err
		}
	}
	if crc32.Checksum(body, table) != binary.BigEndian.Uint32(head[4:]) {
		return nil, ErrChecksum
	}
	return body, nil
}

// Greeting is the first word on a stream, before those of package feed: which fleet is meant, by its name in the files. Guards
// against seeds that are another fleet's, while the fleet's ID is not known yet.
type Greeting struct {
	Fleet string `cbor:"1,keyasint"`
}

// OperationRequest is an operation on what is held, as a follower has it asked.
type OperationRequest struct {
	Operation replication.Operation `cbor:"1,keyasint"`
	Timeout   time.Duration         `cbor:"2,keyasint"`
}

// Encode words a Greeting, an Ask or a copies.Result.
func Encode(v any) []byte {
	text, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// Decode reads one.
func Decode(text []byte, v any) error { return cbor.Unmarshal(text, v) }
