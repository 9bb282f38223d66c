// Package admin serves the operators' address: HTTP/1.1, one request to a connection. It owns the paths, the responses
// and the connections, whose number is bounded apart from the clients'. It must never wait for the balancer's loop, and
// never decide what a request means for a session: it reads what is published and forwards what is asked for.
package admin

import (
	"container/list"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	callTimeout        = 5 * time.Second // for a complete request, and for its response
	maxHeaderBytes     = 4 << 10         // net/http adds as much again
	minConns           = 8
	maxConns           = 64
	descriptorsPerConn = 16 // descriptors of the balancer for each connection, within minConns and maxConns
)

// Balancer is what the requests act on. Its methods must not wait; an error tells operators the reason.
type Balancer interface {
	Ready() error
	OutOfService() error
	InService() error
}

// Pages are further paths and the values that they show as JSON. The functions must not wait.
type Pages map[string]func() any

// MaxConns returns the maximum number of connections at the address of a balancer with so many descriptors.
func MaxConns(sockets int) int { return min(max(sockets/descriptorsPerConn, minConns), maxConns) }

// Server serves one address.
type Server struct {
	http *http.Server
	ln   *boundedListener
}

// Open listens at an address for requests to a balancer. It holds maxConns connections at most, which has to be 1 or
// more. The log of net/http goes to out.
func Open(address string, maxConns int, b Balancer, pages Pages, out io.Writer) (*Server, error) {
	return OpenHandler(address, maxConns, newHandler(b, pages), out)
}

// OpenHandler is Open for a handler of the caller's. A request has to be complete, with its body, within callTimeout.
func OpenHandler(address string, maxConns int, h http.Handler, out io.Writer) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: &boundedListener{Listener: ln, maxConns: maxConns, conns: list.New()}}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, is := r.Context().Value(connKey{}).(*conn); is {
				c.markRequestRead()
			}
			h.ServeHTTP(w, r)
		}),
		ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(out, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Serve answers requests until Close.
func (s *Server) Serve() { _ = s.http.Serve(s.ln) }

// Addr returns the address that it listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }
