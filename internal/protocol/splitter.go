package protocol

import "bytes"

// Splitter splits a stream of bytes into lines. Its zero value is ready to use.
type Splitter struct{ buffered []byte }

// Add appends bytes to the stream.
func (s *Splitter) Add(b []byte) { s.buffered = append(s.buffered, b...) }

// HasBuffered reports whether there are bytes that Next has not returned yet.
func (s *Splitter) HasBuffered() bool { return len(s.buffered) > 0 }

// Buffered returns the bytes that Next has not returned yet.
func (s *Splitter) Buffered() []byte { return s.buffered }

// Next returns the next complete line; ok is false if there is none yet. After an error the rest of the stream can't be split.
func (s *Splitter) Next() (line Line, ok bool, err error) {
	end := bytes.IndexByte(s.buffered, '\n')
	if end >= MaxLineBytes || end < 0 && len(s.buffered) >= MaxLineBytes {
		return Line{}, false, ErrTooLong
	}
	if end < 0 {
		return Line{}, false, nil
	}
	raw := bytes.Clone(s.buffered[:end+1])
	s.buffered = append(s.buffered[:0], s.buffered[end+1:]...)
	if len(s.buffered) == 0 {
		s.buffered = nil // a connection that waits holds no buffer
	}
	return Decode(raw), true, nil
}
