// This file contains the minimal server.

package bench

import (
	"bufio"
	"bytes"
	"net"
	"sync"
)

// maxBufferedBytes is the size of the pending responses above which a server writes them although it has more lines to read.
const maxBufferedBytes = 16 << 10

// Server is a minimal server of the text protocol: it accepts every session, answers health checks and echoes all other lines.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewServer starts a server on a free port of the loopback interface.
func NewServer() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// accept serves connections until the server is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the server and all its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serve answers lines on one connection until it fails. Responses are written together once no further line is buffered.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	var out []byte
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		switch {
		case bytes.HasPrefix(line, []byte("OPEN ")):
			out = append(out, "UP 1\r\n"...)
		case bytes.HasPrefix(line, []byte("PING")):
			out = append(out, "PONG\r\n"...)
		default:
			out = append(out, line...)
		}
		if reader.Buffered() == 0 || len(out) > maxBufferedBytes {
			if _, err := conn.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
	}
}
