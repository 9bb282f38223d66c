package gossip

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// stream is a connection that ends with the transport. One that another member opened gives its place back when it is closed.
type stream struct {
	net.Conn
	stopWatching func() bool
	closeOnce    sync.Once
	count        *atomic.Int64 // of the streams of its kind; nil for one that this member opened

	first  [1]byte // was read to learn the kind
	unread int     // bytes of first that Read still has to return
}

func (t *Transport) newStream(conn net.Conn, count *atomic.Int64) *stream {
	closeConn := func() { _ = conn.Close() } // whoever uses it gets the error
	return &stream{Conn: conn, count: count, stopWatching: context.AfterFunc(t.ctx, closeConn)}
}

// Unwrap returns the connection itself.
func (s *stream) Unwrap() net.Conn { return s.Conn }

// Read reads what arrives, the first byte included.
func (s *stream) Read(b []byte) (int, error) {
	if s.unread > 0 && len(b) > 0 {
		s.unread = 0
		b[0] = s.first[0]
		return 1, nil
	}
	return s.Conn.Read(b)
}

// Close closes the connection.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		s.stopWatching()
		if s.count != nil {
			s.count.Add(-1)
		}
	})
	return s.Conn.Close()
}
