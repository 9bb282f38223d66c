package nodeserver

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"sabletally/internal/fleet/framing"
)

const maxFrameBytes = 16 << 20 // maximum size of one frame

// hello is the first frame of a stream and identifies sender and receiver. A receiver rejects a hello for another member, which may have had
// its address before. The CBOR names are part of the wire format.
type hello struct {
	FleetName       string `cbor:"Fleet"`
	ProtocolVersion int    `cbor:"Form"`
	From            string `cbor:"From"` // ID of the sending member
	To              string `cbor:"To"`   // ID of the member that the stream is meant for
}

// encodeFrame encodes a hello or a packet as a frame: a header with length and checksum, and the CBOR body.
func encodeFrame(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(framing.Header(body), body...), nil
}

// readFrame reads a hello or a packet and returns the size of its frame.
func readFrame(r io.Reader, v any) (int, error) {
	body, err := framing.Read(r, maxFrameBytes)
	if err != nil {
		return 0, fmt.Errorf("read frame: %w", err)
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return 0, fmt.Errorf("decode frame: %w", err)
	}
	return framing.HeaderSize + len(body), nil
}
