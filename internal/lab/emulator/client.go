// This file owns clients: each wants a connection for its time, comes again when it has none, and counts what it
// got from when it wanted it. They never wait for each other.

package emulator

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
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

// connect makes one session and runs it to its end.
func (p *runningClient) connect(ctx context.Context, since time.Duration) (how load.Ending, advice time.Duration, stood bool) {
	c := p.clients
	balancer, address, ok := c.PickBalancer(p.rng)
	if !ok {
		return load.Failed, 0, false
	}
	limit := c.Deadlines[p.Class]
	nc, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return load.Failed, 0, false
	}
	defer func() { _ = nc.Close() }()
	id := c.lastID.Add(1)
	note := func(w history.Kind, more history.Event) {
		if more.At == 0 {
			more.At = c.Clock.Now()
		}
		more.Kind, more.Session, more.Balancer, more.Class, more.Server = w, id, int32(balancer), int16(p.Class), -1
		c.Log.Add(more)
	}
	group := ""
	if p.Group > 0 {
		group = fmt.Sprintf(",g=%x", p.Group)
	}
	text := fmt.Sprintf("OPEN %x %x c=%s,d=%d%s,h=%.4f\r\n", id, p.Key, c.ClassNames[p.Class], limit.Milliseconds(), group, p.Load)
	if c.Pieces.Load() {
		text = writeInPieces(nc, text)
	}
	at := c.Clock.Now()
	if _, err := nc.Write([]byte(text)); err != nil {
		return load.Failed, 0, false // no complete request was written
	}
	note(history.Taken, history.Event{At: max(at, 1), Duration: limit}) // the time before the write, as a server may be faster than this goroutine
	_ = nc.SetReadDeadline(c.Clock.At(at + limit + answerGrace))
	r := bufio.NewReaderSize(nc, maxLine)
	raw, err := r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			note(history.Left, history.Event{})
		} else {
			note(history.Ended, history.Event{Text: "end"})
		}
		return load.Failed, 0, false
	}
	ln := protocol.Decode(bytes.Clone(raw))
	if ln.Kind != protocol.KindEstablished {
		note(history.Answered, history.Event{Text: map[bool]string{true: "busy", false: "err"}[ln.Kind == protocol.KindRejected]})
		p.readSecondAnswers(nc, r, note)
		if ln.Kind == protocol.KindRejected {
			return load.Rejected, time.Duration(ln.Value) * time.Millisecond, false
		}
		return load.Failed, 0, false
	}
	receipt, _ := strconv.ParseUint(strings.TrimSpace(string(bytes.TrimPrefix(ln.Raw, []byte("UP ")))), 16, 64)
	note(history.Answered, history.Event{Text: "up", Number: float64(receipt)})
	now := c.Clock.Now()
	c.Meter.Setup(now, now-since)
	c.Meter.Open(1)
	defer c.Meter.Open(-1)
	p.countMissed(now)
	c.mu.Lock()
	c.established[p] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.established, p)
		c.mu.Unlock()
	}()
	return p.runSession(ctx, nc, r, note), 0, true
}

// readSecondAnswers reads on after a rejection or failure: a second answer is recorded.
func (p *runningClient) readSecondAnswers(nc net.Conn, r *bufio.Reader, note func(history.Kind, history.Event)) {
	_ = nc.SetReadDeadline(time.Now().Add(readAfterAnswer))
	for {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if again, is := finalAnswer(raw); is {
			note(history.Answered, history.Event{Text: again})
		}
	}
}

// finalAnswer reports whether a line is a final answer, and which.
func finalAnswer(raw []byte) (string, bool) {
	switch {
	case bytes.HasPrefix(raw, []byte("UP ")):
		return "up", true
	case bytes.HasPrefix(raw, []byte("BUSY")):
		return "busy", true
	case bytes.HasPrefix(raw, []byte("ERR")):
		return "err", true
	}
	return "", false
}

// runSession sends a line at each of its times, whether or not the last one was answered, until the session ends.
func (p *runningClient) runSession(ctx context.Context, nc net.Conn, r *bufio.Reader, note func(history.Kind, history.Event)) (how load.Ending) {
	c := p.clients
	_ = nc.SetReadDeadline(time.Time{})
	var mu sync.Mutex
	waits := map[time.Duration]bool{} // due times of unanswered lines
	ended := make(chan load.Ending, 1)
	go func() {
		how := load.Broken
		for {
			raw, err := r.ReadSlice('\n')
			now := c.Clock.Now()
			if err != nil {
				text := "end"
				if IsAbruptClose(err) {
					text = "reset"
				}
				if !errors.Is(err, net.ErrClosed) {
					note(history.Ended, history.Event{Text: text})
				}
				ended <- how
				return
			}
			switch {
			case bytes.HasPrefix(raw, []byte("M ")):
				due, sent := parseEcho(raw)
				if sent > 0 && now-sent > time.Second {
					note(history.LineDelayed, history.Event{Duration: now - sent})
				}
				mu.Lock()
				if waits[due] {
					delete(waits, due)
					c.Meter.Message(due, now-due, c.MessageInterval, now-due <= c.MessageObjective)
				}
				mu.Unlock()
			case bytes.HasPrefix(raw, protocol.MigrateLine):
				how = load.Moved
				c.Meter.Move(now)
				note(history.Moved, history.Event{})
			default:
				if again, is := finalAnswer(raw); is {
					note(history.Answered, history.Event{Text: again})
				}
			}
		}
	}()
	defer func() { // unanswered lines were not served, except those that a leaving client has just sent
		mu.Lock()
		defer mu.Unlock()
		for due := range waits {
			if how != load.Dropped || c.Clock.Now()-due > c.MessageObjective {
				c.Meter.Message(due, 0, c.MessageInterval, false)
			}
		}
		clear(waits)
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	until := time.NewTimer(time.Until(c.Clock.At(p.Until)))
	defer until.Stop()
	var dropped <-chan time.Time
	leave := func(how load.Ending) load.Ending {
		note(history.Left, history.Event{})
		_ = nc.Close()
		<-ended
		return how
	}
	for {
		next.Reset(max(0, time.Until(c.Clock.At(p.due))))
		select {
		case how := <-ended:
			return how
		case <-ctx.Done():
			return leave(load.Dropped)
		case <-until.C:
			return leave(load.Dropped)
		case in := <-p.drop:
			dropped = time.After(in)
		case <-dropped:
			return leave(load.Dropped)
		case <-next.C:
			due := p.due
			p.due += c.MessageInterval
			if due >= p.Until {
				continue
			}
			mu.Lock()
			waits[due] = true
			mu.Unlock()
			_, _ = nc.Write(fmt.Appendf(nil, "M %d\r\n", int64(due))) // an error shows as the connection's end
		}
	}
}

// parseEcho decodes a server's answer to a line: the line's due time and the time of the answer.
func parseEcho(raw []byte) (due, sent time.Duration) {
	for i, word := range bytes.Fields(raw) {
		if i == 1 {
			n, _ := strconv.ParseInt(string(word), 10, 64)
			due = time.Duration(n)
		}
		if at, is := bytes.CutPrefix(word, []byte("t=")); is {
			n, _ := strconv.ParseInt(string(at), 10, 64)
			sent = time.Duration(n)
		}
	}
	return due, sent
}
