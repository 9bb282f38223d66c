// Package reference owns the lab's own balancer on sockets: any policy behind the same plain host, and hosts that are
// broken on purpose so that the judge can be seen to notice. It must never serve anybody but the lab.
package reference

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/lab/baseline"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// Ways to be broken.
const (
	AnswersTwice   = "answers-twice"
	SendsToDrained = "sends-to-drained"
	TwoTries       = "two-tries"
	NeverAnswers   = "never-answers"
)

const (
	early     = 10 * time.Millisecond // an answer is due so much before the outer limit
	someOf    = 4                     // a broken host breaks its rule at one circuit in so many
	silentFor = 5 * time.Second
	leaveFrom = 400 * time.Millisecond
	leaveBy   = 2200 * time.Millisecond
	probeFor  = time.Second
)

// Host is one such balancer.
type Host struct {
	dep    *deployment.Settings
	broken string
	start  time.Time

	mu       sync.Mutex
	d        baseline.Decider
	address  map[policy.EndpointID]string
	state    map[policy.EndpointID]policy.EndpointState
	byUID    map[string]policy.EndpointID
	circuits map[policy.SessionID]*circuit
	last     policy.SessionID
	alarm    *time.Timer
}

// circuit is one client; its fields are guarded by the host's lock, the sockets by themselves.
type circuit struct {
	id     policy.SessionID
	ask    *protocol.Ask
	client net.Conn
	server net.Conn
	at     policy.EndpointID
	tries  int
	turn   int
	out    bool
	open   bool
	over   bool
	moved  bool
	called time.Time
	heard  time.Time
	asked  time.Time
	cancel context.CancelFunc
}

// New makes a host of a policy; broken may be empty.
func New(s *deployment.NodeConfig, name, broken string) (*Host, error) {
	p := *s.Settings.Policy
	d, err := baseline.New(name, &p, s.Seed)
	if err != nil {
		return nil, err
	}
	h := &Host{dep: s.Settings, broken: broken, start: time.Now(), d: d, address: map[policy.EndpointID]string{},
		state: map[policy.EndpointID]policy.EndpointState{}, byUID: map[string]policy.EndpointID{}, circuits: map[policy.SessionID]*circuit{}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list(s.InitialEndpoints, true)
	return h, nil
}

// Run serves clients on a listener and follows discovery until the context is done.
func (h *Host) Run(ctx context.Context, ln net.Listener, at string) error {
	w := discovery.New(at, h.dep.Policy.Balancers, h.dep.PollEndpointList, func(l discovery.List) { h.in(func() { h.list(l, false) }) }, func(error) {})
	go w.Run(ctx)
	go func() { <-ctx.Done(); _ = ln.Close() }()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		go h.serve(c)
	}
}

// Leave has all that stands moved, and newcomers nacked.
func (h *Host) Leave() {
	h.in(func() {
		now := time.Since(h.start)
		h.d.StartDraining(now+leaveFrom, now+leaveBy)
	})
}

// in runs something under the lock and then carries out what the policy decides.
func (h *Host) in(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.d.AdvanceClock(time.Since(h.start))
	do()
	h.pump()
}

func (h *Host) pump() {
	for {
		d, ok := h.d.Next()
		if !ok {
			break
		}
		if d.Action == policy.HealthCheck {
			h.probe(d.Endpoint)
			continue
		}
		c := h.circuits[d.Session]
		if c == nil || c.over {
			continue
		}
		switch d.Action {
		case policy.StartAttempt:
			h.try(c, d.Endpoint, d.Duration)
		case policy.Reject:
			h.answer(c, protocol.Turned(d.Duration))
		case policy.Fail:
			h.answer(c, protocol.ErrLine)
		case policy.Migrate:
			if c.open {
				h.move(c, policy.Cancelled)
			}
		}
	}
	if at, ok := h.d.NextWakeup(); ok {
		wait := max(time.Millisecond, at-time.Since(h.start))
		if h.alarm == nil {
			h.alarm = time.AfterFunc(wait, func() { h.in(func() {}) })
		} else {
			h.alarm.Reset(wait)
		}
	}
}

// list takes a list of servers; the host that sends to drained ones takes them all for ready.
func (h *Host) list(l discovery.List, known bool) {
	var lines []policy.Endpoint
	named := map[policy.EndpointID]bool{}
	add := func(id policy.EndpointID, s discovery.Server) {
		zone, told := h.dep.Zones[s.Zone]
		if !told {
			zone = len(h.dep.Zones)
		}
		started := policy.StartedLongAgo
		if !s.Boot.IsZero() {
			started = s.Boot.Sub(h.start)
		}
		state := s.State
		if h.broken == SendsToDrained {
			state = policy.Ready
		}
		h.state[id] = state
		lines = append(lines, policy.Endpoint{ID: id, Zone: zone, FailureDomain: s.Cell, State: state, Weight: s.Heft, StartedAt: started})
	}
	for _, s := range l.Servers {
		id := policy.EndpointID(protocol.Hash(s.UID))
		named[id] = true
		if s.Endpoint != "" {
			h.address[id] = s.Endpoint
		}
		h.byUID[s.UID] = id
		add(id, s)
	}
	h.d.UpdateEndpoints(lines, l.Whole && h.broken != SendsToDrained || known)
}

// serve takes one client.
func (h *Host) serve(client net.Conn) {
	r := bufio.NewReaderSize(client, protocol.Longest)
	for {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			_ = client.Close()
			return
		}
		ln := protocol.Decode(bytes.Clone(raw))
		if ln.Bad == nil && ln.Kind == protocol.Ping {
			_, _ = client.Write(protocol.PongLine)
			continue
		}
		grade, known := 0, false
		if ln.Ask != nil {
			grade, known = h.dep.Classes[ln.Ask.Grade]
		}
		if ln.Bad != nil || ln.Kind != protocol.Open || !known || !ln.Ask.Limited {
			_, _ = client.Write(protocol.BadLine)
			_ = client.Close()
			return
		}
		c := &circuit{ask: ln.Ask, client: client}
		h.in(func() {
			h.last++
			c.id = h.last
			h.circuits[c.id] = c
			if h.broken == NeverAnswers && c.id%someOf == 0 {
				return
			}
			h.d.AddSession(policy.SessionRequest{ID: c.id, Key: ln.Ask.Key, Group: ln.Ask.Group, Class: grade, Load: ln.Ask.Hint, Timeout: ln.Ask.Left - early})
		})
		h.fromClient(c, r)
		return
	}
}

// fromClient passes a client's lines on until it ends.
func (h *Host) fromClient(c *circuit, r *bufio.Reader) {
	for {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			h.in(func() { h.left(c) })
			return
		}
		h.mu.Lock()
		server := c.server
		if !c.open {
			server = nil
		} else if c.asked.IsZero() {
			c.asked = time.Now()
			time.AfterFunc(silentFor, func() { h.in(func() { h.mind(c) }) })
		}
		h.mu.Unlock()
		if server != nil {
			_, _ = server.Write(raw)
		}
	}
}

// mind moves a client whose server was asked and says nothing.
func (h *Host) mind(c *circuit) {
	switch {
	case c.over || !c.open || c.asked.IsZero():
	case time.Since(c.asked) >= silentFor && time.Since(c.heard) >= silentFor:
		h.move(c, policy.Reset)
	default:
		time.AfterFunc(silentFor/4, func() { h.in(func() { h.mind(c) }) })
	}
}

// forget takes a circuit off the table.
func (h *Host) forget(c *circuit) {
	c.over, c.turn = true, c.turn+1
	delete(h.circuits, c.id)
}

// answer gives the final answer; the host that answers twice does so at some.
func (h *Host) answer(c *circuit, text []byte) {
	h.forget(c)
	if h.broken == AnswersTwice && c.id%someOf == 0 {
		text = append(bytes.Clone(text), protocol.ErrLine...)
	}
	_, _ = c.client.Write(text)
	finish(c.client)
}

// finish ends the sending; the reader closes once the other side has ended too, or a little later.
func finish(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

func (c *circuit) dropServer() {
	if c.cancel != nil {
		c.cancel()
		c.cancel = nil
	}
	if c.server != nil {
		_ = c.server.Close()
		c.server = nil
	}
}

func (h *Host) move(c *circuit, how policy.Outcome) {
	id, try := c.id, c.tries-1
	h.forget(c)
	_, _ = c.client.Write(protocol.MoveLine)
	finish(c.client)
	c.dropServer()
	h.d.AttemptEnded(id, try, true, how)
}

// left takes a client's end.
func (h *Host) left(c *circuit) {
	if c.over {
		_ = c.client.Close()
		return
	}
	id, try, held := c.id, c.tries-1, c.out || c.open
	if !c.open {
		h.d.ClientDisconnected(id)
	}
	h.forget(c)
	c.dropServer()
	_ = c.client.Close()
	if held {
		h.d.AttemptEnded(id, try, true, policy.Cancelled)
	}
}

// try starts a setup try; the host of two tries starts a second one beside it at some.
func (h *Host) try(c *circuit, id policy.EndpointID, within time.Duration) {
	c.tries++
	c.turn++
	c.out, c.at, c.called = true, id, time.Now()
	turn := c.turn
	time.AfterFunc(within, func() {
		h.in(func() {
			if c.turn == turn && c.out {
				h.tryEnded(c, policy.TimedOut)
			}
		})
	})
	ctx, cancel := context.WithTimeout(context.Background(), max(h.dep.ConnectTimeout, 50*time.Millisecond))
	c.cancel = cancel
	go h.dial(ctx, c, turn, h.address[id], within)
	if h.broken == TwoTries && c.id%someOf == 0 {
		for other, address := range h.address {
			if other != id && h.state[other] == policy.Ready {
				go second(address, c.ask.Onward(within))
				break
			}
		}
	}
}

// second sends a copy that nobody waits for, and holds it for a while.
func second(address string, text []byte) {
	if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
		_, _ = c.Write(text)
		time.AfterFunc(time.Second, func() { _ = c.Close() })
	}
}

func (h *Host) dial(ctx context.Context, c *circuit, turn int, address string, within time.Duration) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	live := false
	h.in(func() {
		if live = c.turn == turn && c.out; !live {
			return
		}
		switch {
		case err != nil:
			h.tryEnded(c, policy.ConnectFailed)
			live = false
		case h.state[c.at] != policy.Ready: // the list has changed while the dial was out
			h.tryEnded(c, policy.NeverSent)
			live = false
		default:
			c.server = nc
			_, _ = nc.Write(c.ask.Onward(within - time.Since(c.called)))
		}
	})
	if !live {
		if nc != nil {
			_ = nc.Close()
		}
		return
	}
	h.fromServer(c, nc)
}

// fromServer passes a server's lines on until it ends.
func (h *Host) fromServer(c *circuit, nc net.Conn) {
	r := bufio.NewReaderSize(nc, protocol.Longest)
	for {
		raw, err := r.ReadSlice('\n')
		stop := false
		h.mu.Lock()
		mine := c.server == nc
		open := c.open
		if mine && err == nil && open {
			c.heard, c.asked = time.Now(), time.Time{}
			if bytes.HasPrefix(raw, protocol.MoveLine) || bytes.HasPrefix(raw, []byte("BYE")) {
				c.moved = true
			}
		}
		h.mu.Unlock()
		if !mine {
			return
		}
		if open && err == nil {
			_, _ = c.client.Write(raw)
			continue
		}
		h.in(func() {
			if c.server != nc || c.over {
				stop = true
				return
			}
			stop = h.verdict(c, bytes.Clone(raw), err)
		})
		if stop {
			return
		}
	}
}

// verdict takes what a server says before a circuit stands, and the end of its connection; true: that was all.
func (h *Host) verdict(c *circuit, raw []byte, err error) bool {
	ln := protocol.Decode(raw)
	switch {
	case err != nil && c.open:
		id, try, how := c.id, c.tries-1, policy.Reset
		if c.moved {
			how = policy.Cancelled
		}
		h.forget(c)
		c.dropServer()
		finish(c.client)
		h.d.AttemptEnded(id, try, true, how)
	case err != nil:
		h.tryEnded(c, policy.Reset)
	case ln.Kind == protocol.Up:
		c.turn++
		c.out, c.open, c.heard = false, true, time.Now()
		h.d.AttemptEstablished(c.id, c.tries-1, time.Since(c.called))
		if h.broken == AnswersTwice && c.id%someOf == 0 {
			raw = append(raw, []byte("BUSY 100\r\n")...)
		}
		_, _ = c.client.Write(raw)
		return false
	case ln.Kind == protocol.Load:
		h.d.RecordLoad(c.id, c.tries-1, ln.Figure)
		return false
	case ln.Kind == protocol.Busy:
		h.tryEnded(c, policy.Rejected)
	default:
		h.tryEnded(c, policy.Failed)
	}
	return true
}

func (h *Host) tryEnded(c *circuit, how policy.Outcome) {
	c.turn++
	c.out = false
	c.dropServer()
	h.d.AttemptEnded(c.id, c.tries-1, false, how)
}

// probe asks a server for its load.
func (h *Host) probe(id policy.EndpointID) {
	address := h.address[id]
	go func() {
		how, report := policy.ConnectFailed, policy.NoLoadReport
		if c, err := net.DialTimeout("tcp", address, max(h.dep.ConnectTimeout, 50*time.Millisecond)); err == nil {
			_ = c.SetDeadline(time.Now().Add(probeFor))
			text := protocol.PingLine
			if h.dep.Policy.HasLoadReports {
				text = protocol.AskLoad
			}
			_, _ = c.Write(text)
			raw, err := bufio.NewReader(c).ReadBytes('\n')
			_ = c.Close()
			if ln := protocol.Decode(raw); err == nil && ln.Kind == protocol.Pong {
				how = policy.Succeeded
				if x, told := ln.Fields["x0"]; told {
					report.Demand = x
				}
			} else {
				how = policy.TimedOut
			}
		}
		h.in(func() {
			h.d.HealthCheckEnded(id, how)
			h.d.RecordLoadReport(id, report)
		})
	}()
}

// Open is how many circuits it holds.
func (h *Host) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.circuits)
}

// String names the host.
func (h *Host) String() string { return fmt.Sprintf("lab host, broken: %q", h.broken) }
