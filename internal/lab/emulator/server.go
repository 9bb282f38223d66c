// Package emulator emulates what surrounds a balancer, on loopback: servers of the text protocol over the model,
// discovery agents, links with faults, clients and misbehaving clients. All that they see goes into the history. It
// must never leave loopback, and never look into a balancer.
package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
	"sabletally/internal/protocol"
)

// WireFaults are the ways in which a server misbehaves on the wire.
type WireFaults struct {
	Silent   bool // writes nothing any more
	HalfOpen bool // accepts connections and reads nothing
	Drip     bool // answers a byte at a time
	Torn     bool // resets the connection in the middle of a line
}

const (
	// minDelay is the shortest delay that is waited for by a timer.
	minDelay       = time.Millisecond / 2
	dripInterval   = 20 * time.Millisecond
	maxLine        = protocol.MaxLineBytes
	drainInterval  = 250 * time.Millisecond
	readBufferSize = 4096
)

// Server emulates one server of the text protocol.
type Server struct {
	Index       int
	UID         string
	clock       *Clock
	log         *history.Log
	store       *Store
	warmup      model.Warmup
	shedBacklog time.Duration
	addr        string

	mu         sync.Mutex
	model      *model.Server
	wireFaults WireFaults
	ln         net.Listener
	sessions   map[*serverSession]bool
	rng        *rand.Rand
	down       bool
}

// NewServer returns a server whose process started at a time of the run; Listen starts it.
func NewServer(num int, uid string, kind model.MachineType, warmup model.Warmup, groupCost float64, sheds, started time.Duration,
	store *Store, clock *Clock, log *history.Log, seed uint64) *Server {
	s := &Server{Index: num, UID: uid, clock: clock, log: log, store: store, warmup: warmup, shedBacklog: sheds,
		sessions: map[*serverSession]bool{}, rng: rand.New(rand.NewPCG(seed, uint64(num)))}
	s.model = model.New(kind, warmup, started)
	s.model.GroupCost = groupCost
	return s
}

// Listen has the server accept connections, at its former address if it had one.
func (s *Server) Listen() error {
	at := s.addr
	if at == "" {
		at = Loopback()
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.UID, err)
	}
	s.mu.Lock()
	s.ln, s.addr, s.down = ln, ln.Addr().String(), false
	cold := "warm"
	if s.model.Warmth(s.clock.Now()) < 1 {
		cold = "cold"
	}
	fills := s.model.Capacity()
	s.mu.Unlock()
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Started, Server: int32(s.Index), Balancer: -1, Number: fills, Text: cold})
	go s.accept(ln)
	return nil
}

// Addr returns the address that it listens on.
func (s *Server) Addr() string { return s.addr }

func (s *Server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		e := &serverSession{server: s, conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.sessions[e] = true
		half := s.wireFaults.HalfOpen
		s.mu.Unlock()
		if half {
			continue // held open until the fault ends
		}
		go e.run()
	}
}

func (s *Server) openSessions() []*serverSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*serverSession, 0, len(s.sessions))
	for e := range s.sessions {
		all = append(all, e)
	}
	return all
}

// overload has the server fail under more than it bears while it warms up.
func (s *Server) overload(circuit uint64) {
	s.mu.Lock()
	already := s.down
	s.mu.Unlock()
	if already {
		return
	}
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Overloaded, Server: int32(s.Index), Balancer: -1, Session: circuit})
	s.stop()
}

func (s *Server) stop() {
	s.mu.Lock()
	s.down = true
	ln := s.ln
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	for _, e := range s.openSessions() {
		e.end("server", true)
	}
}

// Fail stops the server: it resets its sessions and refuses connections. The history records why.
func (s *Server) Fail(why string) {
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Stopped, Server: int32(s.Index), Balancer: -1, Text: why})
	s.stop()
}

// Revive starts its process again, which warms up anew.
func (s *Server) Revive() error {
	s.mu.Lock()
	old := s.model
	s.model = model.New(old.Type, s.warmup, s.clock.Now())
	s.model.GroupCost, s.wireFaults = old.GroupCost, WireFaults{}
	s.mu.Unlock()
	return s.Listen()
}

// Set changes the model.
func (s *Server) Set(change func(*model.Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Advance(s.clock.Now())
	change(s.model)
}

// Misbehave changes the server's wire faults.
func (s *Server) Misbehave(change func(*WireFaults)) {
	s.mu.Lock()
	was := s.wireFaults
	change(&s.wireFaults)
	is := s.wireFaults
	s.mu.Unlock()
	switch {
	case is.Silent && !was.Silent:
		s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Stopped, Server: int32(s.Index), Balancer: -1, Text: "vanish"})
	case was.Silent && !is.Silent: // a machine that is back has lost its connections
		for _, e := range s.openSessions() {
			e.end("server", true)
		}
		s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Started, Server: int32(s.Index), Balancer: -1, Number: s.model.Capacity(), Text: "warm"})
	case was.HalfOpen && !is.HalfOpen:
		for _, e := range s.openSessions() {
			if !e.requested && !e.established {
				e.end("server", true)
			}
		}
	}
}

// Drain has the server reject new sessions and, if sendsAway, move its clients in even parts until a time of the run.
func (s *Server) Drain(ctx context.Context, sendsAway bool, by time.Duration) {
	s.Set(func(m *model.Server) { m.Draining = true })
	for sendsAway && s.clock.Now() < by {
		var up []*serverSession
		for _, e := range s.openSessions() {
			if e.established {
				up = append(up, e)
			}
		}
		rounds := max(1, int((by-s.clock.Now())/drainInterval))
		for _, e := range up[:(len(up)+rounds-1)/rounds] {
			e.write(protocol.MigrateLine)
			e.end("server", false)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainInterval):
		}
	}
}

// Tick sheds sessions while the backlog is too long and returns the utilization; ready is false while the server is down or draining.
func (s *Server) Tick() (utilization float64, ready bool) {
	s.mu.Lock()
	now := s.clock.Now()
	s.model.Advance(now)
	utilization, ready = s.model.Utilization(now), !s.down && !s.model.Draining
	var shed []*serverSession
	if s.shedBacklog > 0 && s.model.Backlog() > s.shedBacklog {
		for e := range s.sessions {
			if e.established && len(shed) <= len(s.sessions)/20 {
				shed = append(shed, e)
			}
		}
	}
	s.mu.Unlock()
	for _, e := range shed {
		e.end("server", true)
	}
	return utilization, ready
}

// OpenSessions returns the number of sessions that the model counts.
func (s *Server) OpenSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Sessions()
}

// Groups returns the groups that it holds sessions of.
func (s *Server) Groups() map[uint64]bool {
	all := map[uint64]bool{}
	for _, e := range s.openSessions() {
		if e.established {
			all[e.group] = true
		}
	}
	return all
}

// Close stops the server.
func (s *Server) Close() { s.stop() }

// IsAbruptClose reports whether a read ended otherwise than by an orderly close.
func IsAbruptClose(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || err != nil && !errors.Is(err, io.EOF)
}
