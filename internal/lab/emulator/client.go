// This file emulates well-behaved clients: each wants a connection for some time, reconnects when it has lost it, and measures its
// service from the time at which it wanted the connection. Clients never wait for each other.

package emulator

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/report"
	"sabletally/internal/protocol"
)

const (
	answerGrace     = 100 * time.Millisecond // time to wait beyond the deadline, so that a late answer is recorded
	readAfterAnswer = 300 * time.Millisecond // time to read on after a negative answer, for the end of the connection or a second answer
)

// Clients runs the well-behaved clients of a run.
type Clients struct {
	Clock *Clock
	Log   *history.Log
	Meter *report.Meter
	// PickBalancer returns a balancer's index and address; ok is false if none receives clients.
	PickBalancer     func(rng *rand.Rand) (balancer int, address string, ok bool)
	ClassNames       []string
	Deadlines        []time.Duration // deadline of a session's set-up, by class
	MessageInterval  time.Duration   // time between two lines of a session
	MessageObjective time.Duration   // an answer to a line within this time counts as served
	Retry            load.RetryPolicy
	Seed             uint64 // seed of the clients' random draws

	FragmentLines atomic.Bool // whether first lines are written in fragments

	lastID        atomic.Uint64
	maxStartDelay atomic.Int64 // maximum delay with which a client started, in nanoseconds
	mu            sync.Mutex
	established   map[*runningClient]bool // clients with an established session
	running       sync.WaitGroup
}

// runningClient is one client while it runs.
type runningClient struct {
	load.Client
	clients *Clients
	rng     *rand.Rand
	nextDue time.Duration      // time of the run at which the next line is due
	drop    chan time.Duration // receives the delay after which to disconnect
}

// Run starts the clients at their times and returns when the last one has ended or the context is done.
func (c *Clients) Run(ctx context.Context, clients []load.Client) {
	c.mu.Lock()
	c.established = map[*runningClient]bool{}
	c.mu.Unlock()
	for i, plan := range clients {
		wait := time.NewTimer(time.Until(c.Clock.At(plan.At)))
		select {
		case <-ctx.Done():
			wait.Stop()
			c.running.Wait()
			return
		case <-wait.C:
		}
		if late := int64(c.Clock.Now() - plan.At); late > c.maxStartDelay.Load() {
			c.maxStartDelay.Store(late)
		}
		client := &runningClient{Client: plan, clients: c, rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), nextDue: plan.At + c.MessageInterval, drop: make(chan time.Duration, 1)}
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			client.run(ctx)
		}()
	}
	c.running.Wait()
}

// MaxStartDelay returns the longest delay with which a client was started: how far the testbed itself fell behind.
func (c *Clients) MaxStartDelay() time.Duration { return time.Duration(c.maxStartDelay.Load()) }

// Drop makes a share of the established clients disconnect within a time. They reconnect as after a migration.
func (c *Clients) Drop(share float64, within time.Duration, rng *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for client := range c.established {
		if rng.Float64() < share {
			select {
			case client.drop <- time.Duration(rng.Float64() * float64(within)):
			default:
			}
		}
	}
}

// run connects, and retries, until the time for which the client wants a session is over.
func (r *runningClient) run(ctx context.Context) {
	c := r.clients
	since, failures := r.At, 0
	for ctx.Err() == nil && c.Clock.Now() < r.Until {
		ending, retryAfter, established := r.connect(ctx, since)
		if established {
			since, failures = c.Clock.Now(), 0
		}
		if ending == load.Rejected || ending == load.Failed {
			failures++
		}
		wait := time.NewTimer(min(c.Retry.Delay(ending, failures, retryAfter, r.rng.Float64()), r.Until-c.Clock.Now()))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
	}
	r.countMissed(min(r.Until, c.Clock.Now()))
}

// countMissed counts the lines that were due up to a time and could not be sent as not served.
func (r *runningClient) countMissed(until time.Duration) {
	for ; r.nextDue <= until; r.nextDue += r.clients.MessageInterval {
		r.clients.Meter.Message(r.nextDue, 0, r.clients.MessageInterval, false)
	}
}

// connect opens one session and runs it to its end. It returns how the session ended, the Retry-After of a rejection, and whether
// the session was established. since is the time from which on the client has wanted a connection.
func (r *runningClient) connect(ctx context.Context, since time.Duration) (ending load.Ending, retryAfter time.Duration, established bool) {
	c := r.clients
	balancer, address, ok := c.PickBalancer(r.rng)
	if !ok {
		return load.Failed, 0, false
	}
	deadline := c.Deadlines[r.Class]
	conn, err := net.DialTimeout("tcp", address, deadline)
	if err != nil {
		return load.Failed, 0, false
	}
	defer func() { _ = conn.Close() }()
	s := newClientSession(r, conn, balancer)
	at := c.Clock.Now()
	if err := s.sendRequest(deadline); err != nil {
		return load.Failed, 0, false // no complete first line was written
	}
	// The event has the time before the write, as the server may record the request before this goroutine runs on.
	s.record(history.RequestSent, history.Event{At: max(at, 1), Duration: deadline})
	_ = conn.SetReadDeadline(c.Clock.At(at + deadline + answerGrace))
	answer, err := s.reader.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.record(history.ClientClosed, history.Event{})
		} else {
			s.record(history.ConnectionEnded, history.Event{Text: "end"})
		}
		return load.Failed, 0, false
	}
	line := protocol.Decode(bytes.Clone(answer))
	switch line.Kind {
	case protocol.KindEstablished:
	case protocol.KindRejected:
		s.record(history.AnswerReceived, history.Event{Text: "busy"})
		s.readSecondAnswers()
		return load.Rejected, time.Duration(line.Value) * time.Millisecond, false
	default:
		s.record(history.AnswerReceived, history.Event{Text: "err"})
		s.readSecondAnswers()
		return load.Failed, 0, false
	}
	receipt, _ := strconv.ParseUint(strings.TrimSpace(string(bytes.TrimPrefix(line.Raw, []byte("UP ")))), 16, 64)
	s.record(history.AnswerReceived, history.Event{Text: "up", Number: float64(receipt)})
	now := c.Clock.Now()
	c.Meter.Setup(now, now-since)
	c.Meter.AddOpenSessions(1)
	defer c.Meter.AddOpenSessions(-1)
	r.countMissed(now)
	c.setEstablished(r, true)
	defer c.setEstablished(r, false)
	return s.run(ctx), 0, true
}

// setEstablished adds a client to those that Drop chooses from, or removes it.
func (c *Clients) setEstablished(client *runningClient, established bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if established {
		c.established[client] = true
	} else {
		delete(c.established, client)
	}
}
