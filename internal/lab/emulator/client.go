// This file owns clients: each wants a connection for its time, comes again when it has none, and counts what it
// got from when it wanted it. They never wait for each other.

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
	answerGrace     = 100 * time.Millisecond // beyond the deadline, to see a late answer
	readAfterAnswer = 300 * time.Millisecond // for the end, or a second answer
)

// Clients runs the well-behaved clients of a run.
type Clients struct {
	Clock            *Clock
	Log              *history.Log
	Meter            *report.Meter
	PickBalancer     func(rng *rand.Rand) (balancer int, address string, ok bool)
	ClassNames       []string
	Deadlines        []time.Duration // by class
	MessageInterval  time.Duration   // between two lines of a session
	MessageObjective time.Duration   // of the answer to a line
	Retry            load.RetryPolicy
	Seed             uint64

	Pieces atomic.Bool // first lines are written in pieces

	lastID      atomic.Uint64
	late        atomic.Int64 // nanoseconds, the most that a client started late
	mu          sync.Mutex
	established map[*runningClient]bool
	running     sync.WaitGroup
}

// runningClient is one client from its start to its end.
type runningClient struct {
	load.Client
	clients *Clients
	rng     *rand.Rand
	due     time.Duration // of the next line
	drop    chan time.Duration
}

// Run starts the clients at their times and returns when the last one has ended or the context is done.
func (c *Clients) Run(ctx context.Context, people []load.Client) {
	c.mu.Lock()
	c.established = map[*runningClient]bool{}
	c.mu.Unlock()
	for i, p := range people {
		wait := time.NewTimer(time.Until(c.Clock.At(p.At)))
		select {
		case <-ctx.Done():
			wait.Stop()
			c.running.Wait()
			return
		case <-wait.C:
		}
		if late := int64(c.Clock.Now() - p.At); late > c.late.Load() {
			c.late.Store(late)
		}
		one := &runningClient{Client: p, clients: c, rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), due: p.At + c.MessageInterval, drop: make(chan time.Duration, 1)}
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			one.run(ctx)
		}()
	}
	c.running.Wait()
}

// Late returns how late a client was started at worst: by how much the lab itself fell behind.
func (c *Clients) Late() time.Duration { return time.Duration(c.late.Load()) }

// Drop has a share of the established clients disconnect within a time and come straight back.
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

// run connects, and retries, until the client wants its session no more.
func (p *runningClient) run(ctx context.Context) {
	c := p.clients
	since, failures := p.At, 0
	for ctx.Err() == nil && c.Clock.Now() < p.Until {
		how, advice, stood := p.connect(ctx, since)
		if stood {
			since, failures = c.Clock.Now(), 0
		}
		if how == load.Rejected || how == load.Failed {
			failures++
		}
		wait := time.NewTimer(min(c.Retry.Delay(how, failures, advice, p.rng.Float64()), p.Until-c.Clock.Now()))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
	}
	p.countMissed(min(p.Until, c.Clock.Now()))
}

// countMissed counts the lines that could not be sent up to a time.
func (p *runningClient) countMissed(up time.Duration) {
	for ; p.due <= up; p.due += p.clients.MessageInterval {
		p.clients.Meter.Message(p.due, 0, p.clients.MessageInterval, false)
	}
}

// connect makes one session and runs it to its end. retryAfter is that of a rejection.
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
		return load.Failed, 0, false // no complete request was written
	}
	// The time is that before the write, as a server may be faster than this goroutine.
	s.record(history.Taken, history.Event{At: max(at, 1), Duration: deadline})
	_ = conn.SetReadDeadline(c.Clock.At(at + deadline + answerGrace))
	answer, err := s.reader.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.record(history.Left, history.Event{})
		} else {
			s.record(history.Ended, history.Event{Text: "end"})
		}
		return load.Failed, 0, false
	}
	line := protocol.Decode(bytes.Clone(answer))
	switch line.Kind {
	case protocol.KindEstablished:
	case protocol.KindRejected:
		s.record(history.Answered, history.Event{Text: "busy"})
		s.readSecondAnswers()
		return load.Rejected, time.Duration(line.Value) * time.Millisecond, false
	default:
		s.record(history.Answered, history.Event{Text: "err"})
		s.readSecondAnswers()
		return load.Failed, 0, false
	}
	receipt, _ := strconv.ParseUint(strings.TrimSpace(string(bytes.TrimPrefix(line.Raw, []byte("UP ")))), 16, 64)
	s.record(history.Answered, history.Event{Text: "up", Number: float64(receipt)})
	now := c.Clock.Now()
	c.Meter.Setup(now, now-since)
	c.Meter.AddOpenSessions(1)
	defer c.Meter.AddOpenSessions(-1)
	p.countMissed(now)
	c.setEstablished(p, true)
	defer c.setEstablished(p, false)
	return s.run(ctx), 0, true
}

// setEstablished enters a client among those that Drop chooses from, or removes it.
func (c *Clients) setEstablished(p *runningClient, established bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if established {
		c.established[p] = true
	} else {
		delete(c.established, p)
	}
}
