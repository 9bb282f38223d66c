// Package simprotocol speaks the simulator's protocol: binary frames of fixed-size records on standard input and
// output. It hosts many balancers, turns the records that it reads into calls of package policy and their
// decisions into the records that it writes. It owns the protocol's names and must never decide anything.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// A frame is a header, records of eventSize bytes, and a tail to which the records point. The header holds the
// clock in microseconds (uint64), the length of the frame and the number of its records (uint32 each). All
// numbers are little-endian unless said otherwise. A reply is a header with its length and the number of its
// records (uint32 each), records of actionSize bytes, and a tail.
const (
	headerSize      = 16
	frameLengthAt   = 8
	recordCountAt   = 12
	replyHeaderSize = 8
	replyCountAt    = 4
	eventSize       = 56
	actionSize      = 24
	listEntrySize   = 25
)

var littleEndian = binary.LittleEndian

// FieldError reports a field of a frame that cannot be read.
type FieldError struct {
	Field   string // by the protocol's name
	Offset  int    // in the frame
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Field, e.Offset, e.Problem)
}

// Serve answers frames until the input ends between two frames. A malformed frame ends it with an error and gets no reply.
func Serve(in *bufio.Reader, out *bufio.Writer) error {
	h := newHost()
	var buffer bytes.Buffer
	for {
		frame, err := readFrame(in, &buffer)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(frame); err != nil {
			return err
		}
		if err := h.reply.writeTo(out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// readFrame reads one frame into a buffer. It returns io.EOF if the input ends before it. The buffer grows with the bytes
// that arrive, not by the length that the frame claims.
func readFrame(in *bufio.Reader, buffer *bytes.Buffer) ([]byte, error) {
	buffer.Reset()
	n, err := io.CopyN(buffer, in, headerSize)
	if n == 0 && errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("frame header: cut short at byte %d of %d", n, headerSize)
	}
	size := int64(littleEndian.Uint32(buffer.Bytes()[frameLengthAt:]))
	count := int64(littleEndian.Uint32(buffer.Bytes()[recordCountAt:]))
	if size < headerSize+count*eventSize {
		return nil, fmt.Errorf("frame length (byte %d): %d bytes cannot hold %d records (byte %d)",
			frameLengthAt, size, count, recordCountAt)
	}
	if n, err = io.CopyN(buffer, in, size-headerSize); err != nil {
		return nil, fmt.Errorf("frame: cut short at byte %d of %d", headerSize+n, size)
	}
	return buffer.Bytes(), nil
}
