// This file emulates misbehaving clients: what they send, and whether each one gets an answer or a close in time.

package emulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"sabletally/internal/lab/report"
)

const (
	misbehaviorTimeout = 3 * time.Second // a balancer must answer or close the connection within this time
	longLineBytes      = 8 << 20         // length of the line without an end
)

// MisbehavingClient is one kind of misbehaving client.
type MisbehavingClient struct {
	Name string
	Send func(rng *rand.Rand) []byte // returns what the client writes
}

// MisbehavingClientKinds lists all kinds of misbehaving clients.
var MisbehavingClientKinds = []MisbehavingClient{
	{"silent", func(*rand.Rand) []byte { return nil }},
	{"noise", func(rng *rand.Rand) []byte {
		b := make([]byte, 200)
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		return append(b, '\r', '\n')
	}},
	{"no-end", func(*rand.Rand) []byte {
		return append([]byte("OPEN 1 2 x="), bytes.Repeat([]byte("y"), longLineBytes)...)
	}},
	{"no-id", func(*rand.Rand) []byte { return []byte("OPEN\r\n") }},
	{"odd-grade", func(rng *rand.Rand) []byte { return fmt.Appendf(nil, "OPEN %x 2 c=nothing,d=900\r\n", rng.Uint64()) }},
	{"odd-limit", func(rng *rand.Rand) []byte { return fmt.Appendf(nil, "OPEN %x 2 c=feed,d=-1\r\n", rng.Uint64()) }},
	{"huge-limit", func(rng *rand.Rand) []byte {
		return fmt.Appendf(nil, "OPEN %x 2 c=feed,d=99999999999999999999\r\n", rng.Uint64())
	}},
	{"half", func(*rand.Rand) []byte { return []byte("OPEN 12") }},
	{"many", func(*rand.Rand) []byte { return bytes.Repeat([]byte("OPEN 1 2 c=feed,d=900\r\n"), 300) }},
	{"pings", func(*rand.Rand) []byte { return bytes.Repeat([]byte("PING\r\n"), 300) }},
}

// Run runs one misbehaving client and reports whether it got neither an answer nor a close in time.
func (k MisbehavingClient) Run(address string, rng *rand.Rand) bool {
	c, err := net.DialTimeout("tcp", address, misbehaviorTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(misbehaviorTimeout))
	if text := k.Send(rng); len(text) > 0 {
		go func() { _, _ = c.Write(text) }()
	}
	if k.Name == "half" {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	for buf := make([]byte, 4096); ; {
		n, err := c.Read(buf)
		if bytes.Contains(buf[:n], []byte("ERR")) || bytes.Contains(buf[:n], []byte("BUSY")) {
			return false
		}
		if err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.EOF)
		}
	}
}

const (
	maxFragmentBytes = 5                    // bytes of a fragment
	fragmentInterval = 3 * time.Millisecond // time between two fragments
)

// writeInFragments writes a line except its last bytes, which it returns for the caller to write: that write completes the line, and
// fails if an earlier one has failed.
func writeInFragments(nc net.Conn, text string) string {
	for len(text) > maxFragmentBytes {
		_, _ = io.WriteString(nc, text[:maxFragmentBytes])
		text = text[maxFragmentBytes:]
		time.Sleep(fragmentInterval)
	}
	return text
}

// RunSilentClients makes clients connect at a rate per second for a duration. They never complete a line, and stay connected until the
// balancer closes the connection or the duration is over.
func RunSilentClients(ctx context.Context, rate float64, duration time.Duration, pickBalancer func(*rand.Rand) (int, string, bool), seed uint64) {
	ctx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	runArrivals(ctx, rate, pickBalancer, rand.New(rand.NewPCG(seed, 0x30b)), func(n int, address string) {
		all.Go(func() {
			c, err := net.DialTimeout("tcp", address, misbehaviorTimeout)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if n%2 == 0 {
				_, _ = io.WriteString(c, "OPEN 12")
			}
			stopClosing := context.AfterFunc(ctx, func() { _ = c.Close() })
			defer stopClosing()
			_, _ = io.Copy(io.Discard, c)
		})
	})
}

// runArrivals calls arrive at a rate per second, with the number of the client and the address of a balancer, until the context is done.
func runArrivals(ctx context.Context, rate float64, pickBalancer func(*rand.Rand) (int, string, bool), rng *rand.Rand, arrive func(n int, address string)) {
	ticker := time.NewTicker(max(time.Millisecond, time.Duration(float64(time.Second)/rate)))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, address, ok := pickBalancer(rng); ok {
			arrive(n, address)
		}
	}
}

// RunMisbehavingClients starts misbehaving clients at a rate per second, of all kinds in turn, until the context is done.
func RunMisbehavingClients(ctx context.Context, rate float64, pickBalancer func(*rand.Rand) (int, string, bool), meter *report.Meter, seed uint64) {
	runArrivals(ctx, rate, pickBalancer, rand.New(rand.NewPCG(seed, 0xbad)), func(n int, address string) {
		kind, clientRNG := MisbehavingClientKinds[n%len(MisbehavingClientKinds)], rand.New(rand.NewPCG(seed, uint64(n)))
		go func() { meter.MisbehavingClient(kind.Run(address, clientRNG)) }()
	})
}
