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
	Clock            *Clock
	Log              *history.Log
	Meter            *report.Meter
	PickBalancer     func(rng *rand.Rand) (balancer int, address string, ok bool)
	ClassNames       []string
	Deadlines        []time.Duration // by class
	MessageInterval  time.Duration   // time between two lines of a session
	MessageObjective time.Duration   // an answer to a line within this time counts as served
	Retry            load.RetryPolicy
	Seed             uint64

	FragmentLines atomic.Bool // whether first lines are written in fragments

	lastID        atomic.Uint64
	maxStartDelay atomic.Int64 // nanoseconds by which a client started late at most
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
	for i, p := range clients {
		wait := time.NewTimer(time.Until(c.Clock.At(p.At)))
		select {
		case <-ctx.Done():
			wait.Stop()
			c.running.Wait()
			return
		case <-wait.C:
		}
		if late := int64(c.Clock.Now() - p.At); late > c.maxStartDelay.Load() {
			c.maxStartDelay.Store(late)
		}
		client := &runningClient{Client: p, clients: c, rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), nextDue: p.At + c.MessageInterval, drop: make(chan time.Duration, 1)}
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

// Drop makes a share of the established clients disconnect within a time; they reconnect at once.
func (c *Clients) Drop(share float64, within time.Duration, rng *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.established {
		if rng.Float64() < share {
			select {
			case p.drop <- time.Duration(rng.Float64() * float64(within)):
			default:
			}
		}
	}
}

// run connects, and retries, until the time for which the client wants a session is over.
func (p *runningClient) run(ctx context.Context) {
	c := p.clients
	since, failures := p.At, 0
	for ctx.Err() == nil && c.Clock.Now() < p.Until {
		how, retryAfter, established := p.connect(ctx, since)
		if established {
			since, failures = c.Clock.Now(), 0
		}
		if how == load.Rejected || how == load.Failed {
			failures++
		}
		wait := time.NewTimer(min(c.Retry.Delay(how, failures, retryAfter, p.rng.Float64()), p.Until-c.Clock.Now()))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
	}
	p.countMissed(min(p.Until, c.Clock.Now()))
}

// countMissed counts the lines that were due up to a time and could not be sent as not served.
func (p *runningClient) countMissed(until time.Duration) {
	for ; p.nextDue <= until; p.nextDue += p.clients.MessageInterval {
		p.clients.Meter.Message(p.nextDue, 0, p.clients.MessageInterval, false)
	}
}

// connect opens one session and runs it to its end. It returns how the session ended, the Retry-After of a rejection, and whether
// the session was established. A client wants a connection since the time given.
func (p *runningClient) connect(ctx context.Context, since time.Duration) (how load.Ending, retryAfter time.Duration, established bool) {
	c := p.clients
	balancer, address, ok := c.PickBalancer(p.rng)
	if !ok {
		return load.Failed, 0, false
	}
	deadline := c.Deadlines[p.Class]
	conn, err := net.DialTimeout("tcp", address, deadline)
	if err != nil {
		return load.Failed, 0, false
	}
	defer func() { _ = conn.Close() }()
	s := newClientSession(p, conn, balancer)
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
	c.Meter.Open(1)
	defer c.Meter.Open(-1)
	p.countMissed(now)
	c.setEstablished(p, true)
	defer c.setEstablished(p, false)
	return s.run(ctx), 0, true
}

// setEstablished adds a client to those that Drop chooses from, or removes it.
func (c *Clients) setEstablished(p *runningClient, established bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if established {
		c.established[p] = true
	} else {
		delete(c.established, p)
	}
}
