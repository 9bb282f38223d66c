package gossip

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// stream is a connection that is closed when the transport ends. A stream that the other side opened counts against a limit until it is closed.
type stream struct {
	net.Conn
	stopWatching func() bool // cancels the closing of the connection at the end of the transport
	closeOnce    sync.Once
	kindCount    *atomic.Int64 // number of open streams of its kind; nil if this member opened the stream

	firstByte   [1]byte // first byte of the stream, which was read to identify its kind
	unreadBytes int     // number of bytes of firstByte that Read has not returned yet
}

// newStream returns a stream that is closed when the transport ends. kindCount is decremented at its close, unless it is nil.
func (t *Transport) newStream(conn net.Conn, kindCount *atomic.Int64) *stream {
	closeConn := func() { _ = conn.Close() } // the user of the connection gets the error
	return &stream{Conn: conn, kindCount: kindCount, stopWatching: context.AfterFunc(t.ctx, closeConn)}
}

// Unwrap returns the underlying connection.
func (s *stream) Unwrap() net.Conn { return s.Conn }

// Read reads from the connection, including the first byte that was read before.
func (s *stream) Read(b []byte) (int, error) {
	if s.unreadBytes > 0 && len(b) > 0 {
		s.unreadBytes = 0
		b[0] = s.firstByte[0]
		return 1, nil
	}
	return s.Conn.Read(b)
}

// Close closes the connection and frees its place among the streams of its kind.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		s.stopWatching()
		if s.kindCount != nil {
			s.kindCount.Add(-1)
		}
	})
	return s.Conn.Close()
}
