package nodeserver

import (
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"sabletally/internal/fleet/framing"
)

const maxFrameBytes = 16 << 20 // of one packet

// hello is the first frame of a stream: who speaks to whom. The receiver refuses one that was meant for a member that had its address
// before. The CBOR names are the wire form.
type hello struct {
	FleetName       string `cbor:"Fleet"`
	ProtocolVersion int    `cbor:"Form"`
	From            string `cbor:"From"` // member ID
	To              string `cbor:"To"`   // member ID
}

// encodeFrame encodes a hello or a packet, with its length and checksum.
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
		return 0, fmt.Errorf("reading a frame: %w", err)
	}
	if err := cbor.Unmarshal(body, v); err != nil {
		return 0, fmt.Errorf("decoding a frame: %w", err)
	}
	return framing.HeaderSize + len(body), nil
}
