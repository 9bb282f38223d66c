// Package admin is the operators' address: HTTP/1.1, one call to a connection. It owns the calls' names, their answers and
// the connections that they come on, which are bounded and set apart from clients'. It must never wait for the loop, and
// never decide what a call means for a circuit: it asks what is published and passes on what is wanted.
package admin

import (
	"container/list"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	callWithin = 5 * time.Second // a call that is not whole by then is ended, and its answer is taken by then
	headMost   = 4 << 10         // bytes of a call's header (net/http adds as much again)
	connsLeast = 8
	connsMost  = 64
	connsPart  = 16 // so-many-th of the balancer's descriptors, between those two
)

// Balancer is what the calls are about. Its methods must not wait; an error says, in words for operators, why not.
type Balancer interface {
	Ready() error
	OutOfService() error
	InService() error
}

// Pages are more paths, each with what it shows as JSON at a GET. They must not wait either.
type Pages map[string]func() any

// Conns answers how many connections the address may hold where a balancer may hold so many descriptors.
func Conns(sockets int) int { return min(max(sockets/connsPart, connsLeast), connsMost) }

// Server serves one address.
type Server struct {
	http *http.Server
	ln   *bounded
}

// Open listens at an address; most is how many connections it may hold (at least 1). What net/http says goes to out.
func Open(address string, most int, b Balancer, pages Pages, out io.Writer) (*Server, error) {
	return OpenWith(address, most, calls(b, pages), out)
}

// OpenWith is Open for calls that are others' than a balancer's. A call has to be whole, its body too, within callWithin.
func OpenWith(address string, most int, h http.Handler, out io.Writer) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: &bounded{Listener: ln, most: most, all: list.New()}}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, is := r.Context().Value(held{}).(*conn); is {
				c.called()
			}
			h.ServeHTTP(w, r)
		}),
		ReadTimeout: callWithin, WriteTimeout: callWithin, MaxHeaderBytes: headMost,
		ErrorLog: log.New(out, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, held{}, c)
		},
	}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Serve answers calls until Close.
func (s *Server) Serve() { _ = s.http.Serve(s.ln) }

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends it and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// calls answers calls by path and method. No call needs a body, and none is read.
func calls(b Balancer, pages Pages) http.Handler {
	paths := map[string]map[string]func() error{
		"/control/ready":          {http.MethodGet: b.Ready, http.MethodHead: b.Ready},
		"/control/out-of-service": {http.MethodPut: b.OutOfService},
		"/control/in-service":     {http.MethodPut: b.InService},
	}
	for path := range pages {
		paths[path] = map[string]func() error{http.MethodGet: nil}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if show := pages[r.URL.Path]; show != nil && r.Method == http.MethodGet {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(show())
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		methods := paths[r.URL.Path]
		do := methods[r.Method]
		switch {
		case methods == nil:
			w.WriteHeader(http.StatusNotFound)
			_, _ = fmt.Fprintf(w, "there is no call %q here\n", r.URL.Path)
		case do == nil:
			var all []string
			for m := range methods {
				all = append(all, m)
			}
			slices.Sort(all)
			w.Header().Set("Allow", strings.Join(all, ", "))
			w.WriteHeader(http.StatusMethodNotAllowed)
			_, _ = fmt.Fprintf(w, "%s is called with %s\n", r.URL.Path, strings.Join(all, " or "))
		default:
			if err := do(); err != nil {
				code := http.StatusServiceUnavailable
				if r.Method == http.MethodPut {
					code = http.StatusConflict
				}
				w.WriteHeader(code)
				_, _ = fmt.Fprintln(w, err)
				return
			}
			_, _ = io.WriteString(w, "yes\n")
		}
	})
}

// held is the key of a call's connection in its context.
type held struct{}

// bounded is a listener that holds so many connections at most. One more ends the longest silent. Guards against callers
// that hold a connection and call nothing: they took every descriptor set apart, and operators' calls found none.
type bounded struct {
	net.Listener
	most int
	mu   sync.Mutex
	all  *list.List // of *conn, the oldest first
}

type conn struct {
	net.Conn
	of *bounded
	at *list.Element

	// Under the listener's lock.
	whole bool // its call has come whole
	over  bool
}

func (b *bounded) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, of: b}
	b.mu.Lock()
	var old *conn
	if b.all.Len() >= b.most {
		old = b.shed()
	}
	c.at = b.all.PushBack(c)
	b.mu.Unlock()
	if old != nil {
		_ = old.Conn.Close()
	}
	return c, nil
}

// shed takes out the connection to end: the oldest without a whole call, or else the oldest. mu is held.
func (b *bounded) shed() *conn {
	found := b.all.Front()
	for e := found; e != nil; e = e.Next() {
		if !e.Value.(*conn).whole {
			found = e
			break
		}
	}
	c := found.Value.(*conn)
	b.all.Remove(found)
	c.over = true
	return c
}

// called notes that the call has come whole.
func (c *conn) called() {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.whole = true
}

// Close ends a connection, once.
func (c *conn) Close() error {
	c.of.mu.Lock()
	if !c.over {
		c.over = true
		c.of.all.Remove(c.at)
	}
	c.of.mu.Unlock()
	return c.Conn.Close()
}
