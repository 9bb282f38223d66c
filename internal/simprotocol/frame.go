// Package simprotocol implements the simulator's protocol: binary frames of fixed-size records on a pair of streams. It hosts
// many balancers in one process, translates event records into calls of package policy, and policy's decisions into action
// records. It defines the names and the layout of the protocol, and makes no decisions itself.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes and offsets of the protocol, in bytes. A frame has a header, records of eventSize bytes, and a tail with data of
// variable length to which the records point. The header holds the clock in microseconds (uint64), the length of the frame
// and the number of records (uint32 each). A reply has a header with its length and the number of records (uint32 each),
// records of actionSize bytes, and a tail. All numbers are little-endian unless stated otherwise.
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
	Field   string // the protocol's name of the field
	Offset  int    // byte offset of the field in the frame
	Problem string // what is wrong with the field's value
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Field, e.Offset, e.Problem)
}

// Serve reads frames from in and writes a reply to each until the input ends between two frames. It returns an error at a
// malformed frame, which gets no reply.
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

// readFrame reads one frame into a buffer. It returns io.EOF if the input ends before the first byte. The buffer grows with
// the bytes that arrive and not by the length in the header, so that a wrong length allocates nothing.
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
