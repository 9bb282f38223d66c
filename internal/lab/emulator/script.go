// This file provides scripted servers: a test receives each connection with its first line and answers it.

package emulator

import (
	"bufio"
	"net"
	"sync"
	"time"

	"sabletally/internal/protocol"
)

// Script is a number of servers whose connections a test answers.
type Script struct {
	Sessions chan *Session // connections whose first line was read
	maxAge   time.Duration // longest lifetime of a connection

	mu        sync.Mutex
	listeners []net.Listener
	conns     []net.Conn // all connections: a finalizer would close one without a reference
}

// Session is one connection of a scripted server.
type Session struct {
	net.Conn
	R     *bufio.Reader // reads the lines after the first one
	UID   string        // UID of the server
	First string        // first line other than a health check
}

// NewScript returns a script without servers. Up to capacity sessions wait in Sessions, and each connection lives for maxAge at most.
func NewScript(capacity int, maxAge time.Duration) *Script {
	return &Script{Sessions: make(chan *Session, capacity), maxAge: maxAge}
}

// Listen starts a server and returns its address.
func (s *Script) Listen(uid string) (string, error) {
	ln, err := net.Listen("tcp", Loopback())
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.KeepOpen(c)
			go s.serve(c, uid)
		}
	}()
	return ln.Addr().String(), nil
}

// KeepOpen keeps a connection open until Close or the end of its lifetime.
func (s *Script) KeepOpen(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(s.maxAge))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// serve answers health checks, and sends the connection to Sessions with its first other line.
func (s *Script) serve(c net.Conn, uid string) {
	e := &Session{Conn: c, R: bufio.NewReader(c), UID: uid}
	for {
		first, err := e.R.ReadString('\n')
		switch {
		case err != nil:
			_ = c.Close()
			return
		case first == string(protocol.PingLine):
			_, _ = c.Write(protocol.PongLine)
		default:
			e.First = first
			s.Sessions <- e
			return
		}
	}
}

// Close closes all listeners and connections.
func (s *Script) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	for _, c := range s.conns {
		_ = c.Close()
	}
}
