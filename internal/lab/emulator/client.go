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
	lateAnswer = 100 * time.Millisecond // a client waits so much longer than its limit, to see a late answer
	afterEnd   = 300 * time.Millisecond // and so long after a final answer for the end, or for a second answer
)

// Clients is all usual clients of a run.
type Clients struct {
	Clock            *Clock
	Log              *history.Log
	Meter            *report.Meter
	PickBalancer     func(rng *rand.Rand) (balancer int, address string, ok bool) // the front
	ClassNames       []string
	Deadlines        []time.Duration // outer limits by grade
	MessageInterval  time.Duration   // a line is sent so often
	MessageObjective time.Duration   // and wants its answer within
	Retry            load.RetryPolicy
	Seed             uint64

	Pieces atomic.Bool // they write their first lines in pieces

	ids  atomic.Uint64
	late atomic.Int64 // the most that a client came after its time
	mu   sync.Mutex
	up   map[*person]bool
	all  sync.WaitGroup
}

// person is one client while it wants its connection.
type person struct {
	load.Client
	c    *Clients
	rng  *rand.Rand
	due  time.Duration // the next line's time; it stands for the stretch before it
	drop chan time.Duration
}

// Run has all come at their times; it answers when the last has left or the context is done.
func (c *Clients) Run(ctx context.Context, people []load.Client) {
	c.mu.Lock()
	c.up = map[*person]bool{}
	c.mu.Unlock()
	for i, p := range people {
		wait := time.NewTimer(time.Until(c.Clock.At(p.At)))
		select {
		case <-ctx.Done():
			wait.Stop()
			c.all.Wait()
			return
		case <-wait.C:
		}
		if late := int64(c.Clock.Now() - p.At); late > c.late.Load() {
			c.late.Store(late)
		}
		one := &person{Client: p, c: c, rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), due: p.At + c.MessageInterval, drop: make(chan time.Duration, 1)}
		c.all.Add(1)
		go func() {
			defer c.all.Done()
			one.live(ctx)
		}()
	}
	c.all.Wait()
}

// Late is how late a client came at worst: how much of the load the lab itself did not bring in time.
func (c *Clients) Late() time.Duration { return time.Duration(c.late.Load()) }

// Drop has a share of the clients that stand drop their connections, each within a time, and come straight back.
func (c *Clients) Drop(share float64, within time.Duration, rng *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.up {
		if rng.Float64() < share {
			select {
			case p.drop <- time.Duration(rng.Float64() * float64(within)):
			default:
			}
		}
	}
}

// live is a client's whole time.
func (p *person) live(ctx context.Context) {
	c := p.c
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
	p.missed(min(p.Until, c.Clock.Now()))
}

// missed counts the lines that could not be sent up to a time.
func (p *person) missed(up time.Duration) {
	for ; p.due <= up; p.due += p.c.MessageInterval {
		p.c.Meter.Message(p.due, 0, p.c.MessageInterval, false)
	}
}

// connect asks once, and stays as long as it stands.
func (p *person) connect(ctx context.Context, since time.Duration) (how load.Ending, advice time.Duration, stood bool) {
	c := p.c
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
	id := c.ids.Add(1)
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
		text = inPieces(nc, text)
	}
	at := c.Clock.Now()
	if _, err := nc.Write([]byte(text)); err != nil {
		return load.Failed, 0, false // its last byte was not written: nothing was taken
	}
	note(history.Taken, history.Event{At: max(at, 1), Duration: limit}) // from before the write: a server may be faster than this goroutine
	_ = nc.SetReadDeadline(c.Clock.At(at + limit + lateAnswer))
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
		p.rest(nc, r, note)
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
	p.missed(now)
	c.mu.Lock()
	c.up[p] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.up, p)
		c.mu.Unlock()
	}()
	return p.stay(ctx, nc, r, note), 0, true
}

// rest reads on after a final answer that is no UP: a second answer would be one too many.
func (p *person) rest(nc net.Conn, r *bufio.Reader, note func(history.Kind, history.Event)) {
	_ = nc.SetReadDeadline(time.Now().Add(afterEnd))
	for {
		raw, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if again, is := final(raw); is {
			note(history.Answered, history.Event{Text: again})
		}
	}
}

// final tells whether a line would be a final answer.
func final(raw []byte) (string, bool) {
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

// stay sends a line at each of its times, whether or not the last was answered, until the connection is over.
func (p *person) stay(ctx context.Context, nc net.Conn, r *bufio.Reader, note func(history.Kind, history.Event)) (how load.Ending) {
	c := p.c
	_ = nc.SetReadDeadline(time.Time{})
	var mu sync.Mutex
	waits := map[time.Duration]bool{} // due times of lines without an answer
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
				due, sent := echo(raw)
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
				if again, is := final(raw); is {
					note(history.Answered, history.Event{Text: again})
				}
			}
		}
	}()
	defer func() { // what was never answered was not served; but for what a client that leaves has just sent
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

// echo reads what a server sends back: the line's due time, and when the server sent it.
func echo(raw []byte) (due, sent time.Duration) {
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
