// Package emulator emulates the environment of a balancer on loopback addresses: servers of the text protocol with the load model,
// discovery agents, links with faults, clients and misbehaving clients. What they observe is recorded in the history. The package must
// never use an address outside loopback, and never inspect a balancer.
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
	Silent   bool // whether the server writes nothing
	HalfOpen bool // whether the server accepts connections and reads nothing
	Drip     bool // whether the server writes one byte at a time
	Torn     bool // whether the server resets the connection in the middle of a line
}

const (
	minDelay       = time.Millisecond / 2  // shorter delays of an answer are skipped rather than waited for by a timer
	dripInterval   = 20 * time.Millisecond // time between two bytes of a dripping server
	maxLine        = protocol.MaxLineBytes
	drainInterval  = 250 * time.Millisecond // time between two batches of migrated clients
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
	shedBacklog time.Duration // backlog above which Tick sheds sessions; 0: never
	addr        string        // empty until the first Listen

	mu         sync.Mutex
	model      *model.Server
	wireFaults WireFaults
	ln         net.Listener
	sessions   map[*serverSession]bool // open connections
	rng        *rand.Rand
	down       bool // whether connections are refused or reset
}

// NewServer returns a server whose process counts as started at a time of the run. It accepts connections after Listen.
func NewServer(index int, uid string, machineType model.MachineType, warmup model.Warmup, groupCost float64, shedBacklog, started time.Duration,
	store *Store, clock *Clock, log *history.Log, seed uint64) *Server {
	s := &Server{Index: index, UID: uid, clock: clock, log: log, store: store, warmup: warmup, shedBacklog: shedBacklog,
		sessions: map[*serverSession]bool{}, rng: rand.New(rand.NewPCG(seed, uint64(index)))}
	s.model = model.New(machineType, warmup, started)
	s.model.GroupCost = groupCost
	return s
}

// Listen starts accepting connections, on the previous address if the server has listened before.
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
	temperature := "warm"
	if s.model.Warmth(s.clock.Now()) < 1 {
		temperature = "cold"
	}
	capacity := s.model.Capacity()
	s.mu.Unlock()
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.ServerStarted, Server: int32(s.Index), Balancer: -1, Number: capacity, Text: temperature})
	go s.accept(ln)
	return nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.addr }

// accept handles the connections of a listener until it is closed.
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
		halfOpen := s.wireFaults.HalfOpen
		s.mu.Unlock()
		if halfOpen {
			continue // the connection stays open, unread, until the fault ends
		}
		go e.run()
	}
}

// openSessions returns the open connections.
func (s *Server) openSessions() []*serverSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*serverSession, 0, len(s.sessions))
	for e := range s.sessions {
		all = append(all, e)
	}
	return all
}

// overload stops the server because of more new sessions than it can accept during warm-up; sessionID is the one that overloaded it.
func (s *Server) overload(sessionID uint64) {
	s.mu.Lock()
	already := s.down
	s.mu.Unlock()
	if already {
		return
	}
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.ServerOverloaded, Server: int32(s.Index), Balancer: -1, Session: sessionID})
	s.stop()
}

// stop closes the listener and resets all connections.
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

// Fail stops the server: its sessions are reset and connections are refused. The reason is recorded in the history.
func (s *Server) Fail(reason string) {
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.ServerStopped, Server: int32(s.Index), Balancer: -1, Text: reason})
	s.stop()
}

// Revive starts the server's process again, cold and without wire faults.
func (s *Server) Revive() error {
	s.mu.Lock()
	old := s.model
	s.model = model.New(old.Type, s.warmup, s.clock.Now())
	s.model.GroupCost, s.wireFaults = old.GroupCost, WireFaults{}
	s.mu.Unlock()
	return s.Listen()
}

// Set changes the server's model.
func (s *Server) Set(change func(*model.Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Advance(s.clock.Now())
	change(s.model)
}

// Misbehave changes the server's wire faults.
func (s *Server) Misbehave(change func(*WireFaults)) {
	s.mu.Lock()
	before := s.wireFaults
	change(&s.wireFaults)
	after := s.wireFaults
	s.mu.Unlock()
	switch {
	case after.Silent && !before.Silent:
		s.log.Add(history.Event{At: s.clock.Now(), Kind: history.ServerStopped, Server: int32(s.Index), Balancer: -1, Text: "vanish"})
	case before.Silent && !after.Silent: // a machine that is reachable again has lost its connections
		for _, e := range s.openSessions() {
			e.end("server", true)
		}
		s.log.Add(history.Event{At: s.clock.Now(), Kind: history.ServerStarted, Server: int32(s.Index), Balancer: -1, Number: s.model.Capacity(), Text: "warm"})
	case before.HalfOpen && !after.HalfOpen:
		for _, e := range s.openSessions() {
			if !e.requested && !e.established {
				e.end("server", true)
			}
		}
	}
}

// Drain makes the server reject new sessions. If migrate is set, it migrates its clients in equal batches until the time of the run
// that deadline names.
func (s *Server) Drain(ctx context.Context, migrate bool, deadline time.Duration) {
	s.Set(func(m *model.Server) { m.Draining = true })
	for migrate && s.clock.Now() < deadline {
		var established []*serverSession
		for _, e := range s.openSessions() {
			if e.established {
				established = append(established, e)
			}
		}
		rounds := max(1, int((deadline-s.clock.Now())/drainInterval))
		for _, e := range established[:(len(established)+rounds-1)/rounds] {
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

// Tick resets about a twentieth of the sessions if the backlog is too long, and returns the utilization; ready is false while the
// server is down or draining.
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

// Groups returns the set of groups of the established sessions.
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

// IsAbruptClose reports whether a connection failed with an error other than an orderly close.
func IsAbruptClose(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || err != nil && !errors.Is(err, io.EOF)
}
