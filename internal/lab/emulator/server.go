// Package emulator owns what stands in for the outside on loopback: servers of the text protocol over the model,
// discovery's agents, links with faults, clients, and bad clients. All that they see goes into the record. It must
// never leave loopback, and never look into a balancer.
//
// This file owns servers.
package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
	"sabletally/internal/protocol"
)

// Clock counts from the start of a run; until Begin it stands at 0.
type Clock struct{ start atomic.Pointer[time.Time] }

// Begin starts the run.
func (c *Clock) Begin() {
	now := time.Now()
	c.start.Store(&now)
}

// Now is the time since the start.
func (c *Clock) Now() time.Duration {
	if start := c.start.Load(); start != nil {
		return time.Since(*start)
	}
	return 0
}

// At is a time of the run on the wall.
func (c *Clock) At(d time.Duration) time.Time {
	if start := c.start.Load(); start != nil {
		return start.Add(d)
	}
	return time.Now().Add(d)
}

var loopbacks atomic.Uint32

// Loopback is an address to listen at, port 0, which nobody else on this machine is likely to use: what is closed and
// opened again would else meet a stranger's port in between.
func Loopback() string {
	pid, n := os.Getpid(), loopbacks.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&0x7f, pid&0xff, 1+n%254)
}

// Store is the one store, shared by all servers.
type Store struct {
	mu    sync.Mutex
	model model.Store
}

// NewStore makes one.
func NewStore(m model.Store) *Store { return &Store{model: m} }

// Call takes a call; see model.Store.
func (s *Store) Call(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Call(now)
}

// Slow makes it so many times slower.
func (s *Store) Slow(times float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Slow = times
}

// WireFaults in which a server misbehaves on the wire.
type WireFaults struct {
	Silent   bool // says nothing any more, whatever comes
	HalfOpen bool // takes connections and reads nothing
	Drip     bool // answers a byte at a time
	Torn     bool // breaks off in the middle of a line
}

const (
	dripEach   = 20 * time.Millisecond
	lineMost   = protocol.Longest
	drainEach  = 250 * time.Millisecond
	lineBuffer = 4096
)

// Server is one stand-in server.
type Server struct {
	Num    int
	UID    string
	clock  *Clock
	log    *history.Log
	store  *Store
	warmup model.Warmup
	sheds  time.Duration
	addr   string

	mu    sync.Mutex
	model *model.Server
	ways  WireFaults
	ln    net.Listener
	conns map[*session]bool
	rng   *rand.Rand
	down  bool
}

// session is one connection at a server.
type session struct {
	s       *Server
	c       net.Conn
	r       *bufio.Reader
	wmu     sync.Mutex
	circuit uint64
	load    float64
	group   uint64
	asked   bool // its first line has come
	held    bool // by the model
	up      bool
	over    bool
	by      string // how it ended, told by whoever ended it here
}

// NewServer makes a server whose process started at a time of the run; Listen starts it.
func NewServer(num int, uid string, kind model.MachineType, warmup model.Warmup, groupCost float64, sheds, started time.Duration,
	store *Store, clock *Clock, log *history.Log, seed uint64) *Server {
	s := &Server{Num: num, UID: uid, clock: clock, log: log, store: store, warmup: warmup, sheds: sheds,
		conns: map[*session]bool{}, rng: rand.New(rand.NewPCG(seed, uint64(num)))}
	s.model = model.New(kind, warmup, started)
	s.model.GroupCost = groupCost
	return s
}

// Listen has the server take connections, at the address it had before if it had one.
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
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Started, Server: int32(s.Num), Balancer: -1, N: fills, Text: cold})
	go s.accept(ln)
	return nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

func (s *Server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		e := &session{s: s, c: c, r: bufio.NewReaderSize(c, lineBuffer)}
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[e] = true
		half := s.ways.HalfOpen
		s.mu.Unlock()
		if half {
			continue // it is held until the server misbehaves no longer
		}
		go e.run()
	}
}

// reset ends a connection by a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (e *session) note(w history.Kind, more history.Event) {
	more.At, more.Kind, more.Session, more.Server, more.Balancer = e.s.clock.Now(), w, e.circuit, int32(e.s.Num), -1
	e.s.log.Add(more)
}

func (e *session) silent() bool {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	return e.s.ways.Silent
}

// run reads a connection to its end.
func (e *session) run() {
	how := "peer"
	defer func() { e.end(how, false) }()
	for {
		if _, err := e.r.Peek(1); err != nil {
			return
		}
		first := e.s.clock.Now()
		raw, err := e.r.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				how = "server"
			}
			return
		}
		if e.silent() { // it goes on reading only to see its own end
			continue
		}
		if e.up {
			e.message(raw)
			continue
		}
		switch ln := protocol.Decode(append([]byte(nil), raw...)); {
		case ln.Bad != nil:
			e.write([]byte("SYNTAX\r\n"))
			how = "server"
			return
		case ln.Kind == protocol.Ping:
			e.write(protocol.PongLine)
		case string(raw) == string(protocol.AskLoad):
			e.s.mu.Lock()
			e.s.model.Advance(e.s.clock.Now())
			asked, piled := e.s.model.Utilization(e.s.clock.Now()), e.s.model.Backlog().Seconds()
			e.s.mu.Unlock()
			e.write(fmt.Appendf(nil, "PONG x0=%.4f,x1=%.4f\r\n", asked, piled))
		case ln.Kind == protocol.Open && !e.asked:
			e.open(ln.Ask, first)
		default:
			e.write([]byte("SYNTAX\r\n"))
			how = "server"
			return
		}
	}
}

// open takes a first line.
func (e *session) open(a *protocol.Ask, first time.Duration) {
	s := e.s
	now := s.clock.Now()
	e.asked, e.circuit, e.load, e.group = true, a.ID, a.Hint, a.Group
	if e.load == 0 {
		e.load = 1
	}
	e.note(history.AttemptReceived, history.Event{Len: now - first, Text: strconv.FormatUint(a.Key, 16)})
	s.mu.Lock()
	verdict, took := s.model.Ask(now, e.load, e.group, s.rng.Float64())
	e.held = verdict == model.Up
	s.mu.Unlock()
	switch verdict {
	case model.Overloaded:
		s.fall(e.circuit)
		return
	case model.Busy:
		e.note(history.AttemptEnded, history.Event{Text: "refused"})
		e.settle()
		e.write([]byte("BUSY\r\n"))
		return
	case model.Err:
		e.note(history.AttemptEnded, history.Event{Text: "failed"})
		e.settle()
		e.write([]byte("ERR\r\n"))
		return
	}
	wait, sound := s.store.Call(now)
	answer := func() {
		if e.silent() {
			return
		}
		s.mu.Lock()
		if e.over {
			s.mu.Unlock()
			return
		}
		e.up = sound
		s.mu.Unlock()
		if !sound {
			e.note(history.AttemptEnded, history.Event{Text: "failed"})
			e.settle()
			e.write([]byte("ERR\r\n"))
			return
		}
		e.note(history.Ran, history.Event{N: float64(e.circuit)})
		e.write(fmt.Appendf(nil, "UP %x\r\nLOAD %.3f\r\n", e.circuit, e.load*1e6/float64(s.model.Type.Fills)))
	}
	if took += wait; took < time.Millisecond/2 {
		answer()
		return
	}
	time.AfterFunc(took, answer)
}

// settle takes a circuit off the model: it is over here, though the connection may not be.
func (e *session) settle() {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	e.asked = false
	if e.held {
		e.held = false
		e.s.model.Leave(e.s.clock.Now(), e.load, e.group)
	}
}

// message answers a line of an open circuit: the line, and when it was sent.
func (e *session) message(raw []byte) {
	s := e.s
	now := s.clock.Now()
	s.mu.Lock()
	took := s.model.Message(now)
	s.mu.Unlock()
	text := append(make([]byte, 0, len(raw)+16), raw[:len(raw)-2]...)
	if took < time.Millisecond/2 {
		e.write(stamp(text, s.clock.Now()))
		return
	}
	time.AfterFunc(took, func() {
		if !e.silent() {
			e.write(stamp(text, s.clock.Now()))
		}
	})
}

// stamp ends a line with when it is sent, so that its reader knows how long it was on its way.
func stamp(text []byte, now time.Duration) []byte {
	text = append(text, " t="...)
	return append(strconv.AppendInt(text, int64(now), 10), '\r', '\n')
}

// write sends in the way the server's faults want it.
func (e *session) write(text []byte) {
	e.s.mu.Lock()
	ways := e.s.ways
	e.s.mu.Unlock()
	e.wmu.Lock()
	defer e.wmu.Unlock()
	switch {
	case ways.Silent:
	case ways.Torn && len(text) > 8:
		_, _ = e.c.Write(text[:len(text)/2])
		go e.end("server", true)
	case ways.Drip:
		for i := range text {
			if _, err := e.c.Write(text[i : i+1]); err != nil {
				return
			}
			time.Sleep(dripEach)
		}
	default:
		_, _ = e.c.Write(text)
	}
}

// end ends a session; the first to end it says how.
func (e *session) end(how string, abrupt bool) {
	s := e.s
	s.mu.Lock()
	if e.over {
		s.mu.Unlock()
		return
	}
	e.over, e.by = true, how
	delete(s.conns, e)
	asked := e.asked
	if e.held {
		e.held = false
		s.model.Leave(s.clock.Now(), e.load, e.group)
	}
	s.mu.Unlock()
	if asked {
		e.note(history.AttemptEnded, history.Event{Text: how})
	}
	if abrupt {
		reset(e.c)
	} else {
		_ = e.c.Close()
	}
}

func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*session, 0, len(s.conns))
	for e := range s.conns {
		all = append(all, e)
	}
	return all
}

// fall has the server fall over: pushed while cold.
func (s *Server) fall(circuit uint64) {
	s.mu.Lock()
	already := s.down
	s.mu.Unlock()
	if already {
		return
	}
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Overloaded, Server: int32(s.Num), Balancer: -1, Session: circuit})
	s.halt()
}

func (s *Server) halt() {
	s.mu.Lock()
	s.down = true
	ln := s.ln
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	for _, e := range s.all() {
		e.end("server", true)
	}
}

// Fail stops the server: it resets what it holds and refuses newcomers. Text says why, in the record.
func (s *Server) Fail(why string) {
	s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Stopped, Server: int32(s.Num), Balancer: -1, Text: why})
	s.halt()
}

// Revive starts its process anew, cold.
func (s *Server) Revive() error {
	s.mu.Lock()
	old := s.model
	s.model = model.New(old.Type, s.warmup, s.clock.Now())
	s.model.GroupCost, s.ways = old.GroupCost, WireFaults{}
	s.mu.Unlock()
	return s.Listen()
}

// Set changes what the model does.
func (s *Server) Set(change func(*model.Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Advance(s.clock.Now())
	change(s.model)
}

// Misbehave changes what it does on the wire.
func (s *Server) Misbehave(change func(*WireFaults)) {
	s.mu.Lock()
	was := s.ways
	change(&s.ways)
	is := s.ways
	s.mu.Unlock()
	switch {
	case is.Silent && !was.Silent:
		s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Stopped, Server: int32(s.Num), Balancer: -1, Text: "vanish"})
	case was.Silent && !is.Silent: // a machine that is back has forgotten its connections
		for _, e := range s.all() {
			e.end("server", true)
		}
		s.log.Add(history.Event{At: s.clock.Now(), Kind: history.Started, Server: int32(s.Num), Balancer: -1, N: s.model.Capacity(), Text: "warm"})
	case was.HalfOpen && !is.HalfOpen:
		for _, e := range s.all() {
			if !e.asked && !e.up {
				e.end("server", true)
			}
		}
	}
}

// Drain has it turn newcomers away and, where so, send its clients away in even parts up to a time of the run.
func (s *Server) Drain(ctx context.Context, sendsAway bool, by time.Duration) {
	s.Set(func(m *model.Server) { m.Draining = true })
	for sendsAway && s.clock.Now() < by {
		var up []*session
		for _, e := range s.all() {
			if e.up {
				up = append(up, e)
			}
		}
		rounds := max(1, int((by-s.clock.Now())/drainEach))
		for _, e := range up[:(len(up)+rounds-1)/rounds] {
			e.write(protocol.MoveLine)
			e.end("server", false)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainEach):
		}
	}
}

// Tick sheds what is too much and answers the load asked over what it can do, false while it is down or drains.
func (s *Server) Tick() (float64, bool) {
	s.mu.Lock()
	now := s.clock.Now()
	s.model.Advance(now)
	asked, ready := s.model.Utilization(now), !s.down && !s.model.Draining
	var shed []*session
	if s.sheds > 0 && s.model.Backlog() > s.sheds {
		for e := range s.conns {
			if e.up && len(shed) <= len(s.conns)/20 {
				shed = append(shed, e)
			}
		}
	}
	s.mu.Unlock()
	for _, e := range shed {
		e.end("server", true)
	}
	return asked, ready
}

// OpenSessions is how many connections it holds.
func (s *Server) OpenSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Sessions()
}

// Groups counts the groups it holds any of.
func (s *Server) Groups() map[uint64]bool {
	all := map[uint64]bool{}
	for _, e := range s.all() {
		if e.up {
			all[e.group] = true
		}
	}
	return all
}

// Close ends all.
func (s *Server) Close() { s.halt() }

// IsAbruptClose tells whether a read ended by a reset.
func IsAbruptClose(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || err != nil && !errors.Is(err, io.EOF)
}
