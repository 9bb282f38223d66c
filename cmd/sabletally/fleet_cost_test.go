package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sabletally/internal/lab/emulator"
)

// measureCost enables the measurement: go test ./cmd/sabletally -run TestReplicationCost -cost -v
var measureCost = flag.Bool("cost", false, "measure what replicating a class costs; takes a minute")

// TestReplicationCost measures how much longer the set-up of a session takes for a replicated class than for one that is not, at a fixed rate and
// over links of several latencies. It fails for no figure.
func TestReplicationCost(t *testing.T) {
	if !*measureCost {
		t.Skip("a measurement: run it with -cost")
	}
	for _, members := range []int{3, 5} {
		for _, delay := range []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d members, %v", members, delay), func(t *testing.T) { measureFleetCost(t, members, delay) })
		}
	}
}

// measureFleetCost logs the percentiles of the time until UP, for each class twice, on a fleet with the given link delay.
func measureFleetCost(t *testing.T, members int, delay time.Duration) {
	const rate, count = 100, 500
	a := newAgent(t)
	script := listFourServers(t, a, 100)
	go func() {
		for e := range script.Sessions {
			_, _ = io.WriteString(e, "UP 1\r\n")
		}
	}()
	m := newSerialTestFleet(t, members, false, "hold \"intents\" { grades = [\"pay\"] }\n", a)
	m.waitFor("every shard has its replicas", m.all, repaired)
	m.Links.Set(func(_, _ int, link *emulator.MemberLink) { link.Delay = delay })
	if err := m.procs[0].WaitReady(); err != nil {
		t.Fatal(err)
	}
	for n, class := range []string{"order", "pay", "order", "pay"} {
		h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
		var mu sync.Mutex
		var all sync.WaitGroup
		failed := 0
		began := time.Now()
		for i := range count {
			due := began.Add(time.Duration(i) * time.Second / rate)
			time.Sleep(time.Until(due))
			all.Add(1)
			go func() {
				defer all.Done()
				c, err := net.Dial("tcp", m.procs[0].Addr)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				id := 1 + 1000*(n+1) + i
				_, _ = fmt.Fprintf(c, openLineFormat, id, class, id)
				got, _ := bufio.NewReader(c).ReadString('\n')
				mu.Lock()
				defer mu.Unlock()
				if !strings.HasPrefix(got, "UP") {
					failed++
					return
				}
				_ = h.RecordValue(time.Since(due).Microseconds())
			}()
		}
		all.Wait()
		t.Logf("%s: p50 %.2f ms, p99 %.2f ms, %d failed", class, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, failed)
	}
	r := m.report(0).Store
	t.Logf("n0: %d records, %d bytes, file %d, %d writes, sent %d", r.Records, r.Bytes, r.FileBytes, r.Writes, r.Sent)
}
