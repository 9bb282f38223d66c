// Package reference implements a simple balancer on sockets for the testbed: it hosts any policy, and can break a rule on purpose to
// show that the checker detects it. It must never be used outside the testbed.
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

// The ways in which a host can break a rule on purpose.
const (
	AnswersTwice   = "answers-twice"    // sends a second final answer
	SendsToDrained = "sends-to-drained" // ignores drains
	TwoAttempts    = "two-tries"        // sends a request to two servers at the same time
	NeverAnswers   = "never-answers"    // sends no final answer
)

const (
	answerMargin       = 10 * time.Millisecond   // time by which a session times out in the policy before the client's deadline, so that the answer arrives in time
	sessionsPerBreak   = 4                       // a broken host breaks its rule at one session out of this many, except for SendsToDrained
	silenceTimeout     = 5 * time.Second         // time after which a client is migrated away from a server that leaves its line unanswered
	drainStart         = 400 * time.Millisecond  // time from StartDraining to the first migration
	drainEnd           = 2200 * time.Millisecond // time from StartDraining to the last migration
	healthCheckTimeout = time.Second             // deadline of the answer to a health check
)

// Host is one balancer that runs a policy.
type Host struct {
	settings *deployment.Settings
	broken   string    // rule that the host breaks; empty: none
	start    time.Time // origin of the policy's clock

	mu        sync.Mutex
	decider   baseline.Decider
	addresses map[policy.EndpointID]string
	states    map[policy.EndpointID]policy.EndpointState
	byUID     map[string]policy.EndpointID
	sessions  map[policy.SessionID]*session
	lastID    policy.SessionID
	wakeup    *time.Timer // nil until the policy has asked for a first wakeup
}

// session is one session of a client; its fields are guarded by the host's mu.
type session struct {
	id              policy.SessionID
	request         *protocol.SessionRequest
	client          net.Conn
	server          net.Conn          // nil while no server is connected
	endpoint        policy.EndpointID // endpoint of the latest attempt
	attempts        int               // number of attempts so far
	generation      int               // changes when an attempt starts or ends, so that callbacks of older attempts are ignored
	inAttempt       bool
	established     bool
	ended           bool
	migrating       bool               // whether the server has told its client to migrate
	attemptAt       time.Time          // start of the latest attempt
	answeredAt      time.Time          // time of the server's latest line
	unansweredSince time.Time          // time of the client's first line without an answer; zero: none
	cancelDial      context.CancelFunc // nil unless a dial was started
}

// New returns a host that runs the policy of a name and breaks a rule; broken may be empty.
func New(s *deployment.NodeConfig, name, broken string) (*Host, error) {
	config := *s.Settings.Policy
	decider, err := baseline.New(name, &config, s.Seed)
	if err != nil {
		return nil, err
	}
	h := &Host{settings: s.Settings, broken: broken, start: time.Now(), decider: decider, addresses: map[policy.EndpointID]string{},
		states: map[policy.EndpointID]policy.EndpointState{}, byUID: map[string]policy.EndpointID{}, sessions: map[policy.SessionID]*session{}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateEndpoints(s.InitialEndpoints, true)
	return h, nil
}

// Run serves the clients of a listener and watches the discovery agent at an address until the context is done.
func (h *Host) Run(ctx context.Context, ln net.Listener, agentAddr string) error {
	watch := discovery.New(agentAddr, h.settings.Policy.Balancers, h.settings.PollEndpointList, func(l discovery.List) { h.update(func() { h.updateEndpoints(l, false) }) }, func(error) {})
	go watch.Run(ctx)
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

// StartDraining rejects new sessions and migrates all others.
func (h *Host) StartDraining() {
	h.update(func() {
		now := time.Since(h.start)
		h.decider.StartDraining(now+drainStart, now+drainEnd)
	})
}

// update applies a change under the lock and then carries out the policy's decisions.
func (h *Host) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decider.AdvanceClock(time.Since(h.start))
	change()
	h.runDecisions()
}

// runDecisions carries out the policy's decisions and sets the timer for its next wakeup; mu is held.
func (h *Host) runDecisions() {
	for {
		d, ok := h.decider.Next()
		if !ok {
			break
		}
		if d.Action == policy.HealthCheck {
			h.checkHealth(d.Endpoint)
			continue
		}
		s := h.sessions[d.Session]
		if s == nil || s.ended {
			continue
		}
		switch d.Action {
		case policy.StartAttempt:
			h.startAttempt(s, d.Endpoint, d.Duration)
		case policy.Reject:
			h.answer(s, protocol.RejectLine(d.Duration))
		case policy.Fail:
			h.answer(s, protocol.FailLine)
		case policy.Migrate:
			if s.established {
				h.migrateSession(s, policy.Cancelled)
			}
		}
	}
	if at, ok := h.decider.NextWakeup(); ok {
		wait := max(time.Millisecond, at-time.Since(h.start))
		if h.wakeup == nil {
			h.wakeup = time.AfterFunc(wait, func() { h.update(func() {}) })
		} else {
			h.wakeup.Reset(wait)
		}
	}
}

// updateEndpoints applies an endpoint list, or the initial one; a host that SendsToDrained treats all endpoints as ready. mu is held.
func (h *Host) updateEndpoints(l discovery.List, initial bool) {
	var endpoints []policy.Endpoint
	listed := map[policy.EndpointID]bool{}
	add := func(id policy.EndpointID, s discovery.Endpoint) {
		zone, known := h.settings.Zones[s.Zone]
		if !known {
			zone = len(h.settings.Zones)
		}
		started := policy.StartedLongAgo
		if !s.StartedAt.IsZero() {
			started = s.StartedAt.Sub(h.start)
		}
		state := s.State
		if h.broken == SendsToDrained {
			state = policy.Ready
		}
		h.states[id] = state
		endpoints = append(endpoints, policy.Endpoint{ID: id, Zone: zone, FailureDomain: s.FailureDomain, State: state, Weight: s.Weight, StartedAt: started})
	}
	for _, s := range l.Endpoints {
		id := policy.EndpointID(protocol.Hash(s.UID))
		listed[id] = true
		if s.Address != "" {
			h.addresses[id] = s.Address
		}
		h.byUID[s.UID] = id
		add(id, s)
	}
	h.decider.UpdateEndpoints(endpoints, l.Complete && h.broken != SendsToDrained || initial)
}

// serve reads a client's first line and opens its session.
func (h *Host) serve(client net.Conn) {
	r := bufio.NewReaderSize(client, protocol.MaxLineBytes)
	for {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			_ = client.Close()
			return
		}
		line := protocol.Decode(bytes.Clone(raw))
		if line.Err == nil && line.Kind == protocol.KindPing {
			_, _ = client.Write(protocol.PongLine)
			continue
		}
		class, known := 0, false
		if line.Request != nil {
			class, known = h.settings.Classes[line.Request.Class]
		}
		if line.Err != nil || line.Kind != protocol.KindOpen || !known || !line.Request.HasTimeout {
			_, _ = client.Write(protocol.SyntaxErrorLine)
			_ = client.Close()
			return
		}
		s := &session{request: line.Request, client: client}
		h.update(func() {
			h.lastID++
			s.id = h.lastID
			h.sessions[s.id] = s
			if h.broken == NeverAnswers && s.id%sessionsPerBreak == 0 {
				return
			}
			h.decider.AddSession(policy.SessionRequest{ID: s.id, Key: line.Request.Key, Group: line.Request.Group, Class: class, Load: line.Request.LoadHint, Timeout: line.Request.Timeout - answerMargin})
		})
		h.relayFromClient(s, r)
		return
	}
}

// Open returns the number of open sessions.
func (h *Host) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sessions)
}

// String describes the host.
func (h *Host) String() string { return fmt.Sprintf("reference host, broken: %q", h.broken) }
