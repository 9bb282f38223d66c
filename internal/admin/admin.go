// Package admin serves the operators' address over HTTP/1.1, with one request per connection. It defines the paths and the
// responses, and limits the number of connections separately from that of clients. It never waits for the balancer's loop
// and knows nothing of sessions: it reads published state and forwards requests.
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
	callTimeout        = 5 * time.Second // limit of reading a request with its body, and of writing its response
	maxHeaderBytes     = 4 << 10         // limit of a request's headers; net/http adds another 4 KiB
	minConns           = 8               // lower bound of MaxConns
	maxConns           = 64              // upper bound of MaxConns
	descriptorsPerConn = 16              // descriptors of the balancer for each connection that MaxConns allows
)

// Balancer is the balancer that requests are about. Its methods must not block; the text of an error is sent to the operator.
type Balancer interface {
	Ready() error
	OutOfService() error
	InService() error
}

// Pages maps further paths to functions that return the value to send as JSON. The functions must not block.
type Pages map[string]func() any

// MaxConns returns the maximum number of connections to the operators' address of a balancer with the given number of
// descriptors.
func MaxConns(sockets int) int { return min(max(sockets/descriptorsPerConn, minConns), maxConns) }

// Server serves one operators' address.
type Server struct {
	http *http.Server
	ln   *boundedListener
}

// Open listens at an address for requests to a balancer. At most maxConns connections are open at a time; maxConns must be
// at least 1. net/http logs to out.
func Open(address string, maxConns int, b Balancer, pages Pages, out io.Writer) (*Server, error) {
	return OpenHandler(address, maxConns, newHandler(b, pages), out)
}

// OpenHandler is like Open with a handler of the caller. A request has to be complete, with its body, within callTimeout.
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

// Serve serves requests until Close.
func (s *Server) Serve() { _ = s.http.Serve(s.ln) }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close closes the listener and all connections.
func (s *Server) Close() { _ = s.http.Close() }
