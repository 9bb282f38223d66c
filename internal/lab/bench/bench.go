// Package bench measures throughput and latency with minimal servers and clients of the text protocol, which are connected directly or
// through a balancer. It must never emulate the work of servers, and never check rules.
//
// This file sets up sessions and measures set-ups.
package bench

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	readBufferBytes   = 512                                        // small, as the memory of idle connections is measured
	maxRecordedMicros = int64(30 * time.Second / time.Microsecond) // longer latencies are recorded as this one
	responseTimeout   = 20 * time.Second
	sessionTimeout    = time.Minute // set-up deadline that clients request for a session
	lineText          = "M 123456789 0123456789abcdef0123456789abcdef\r\n"
	spinTime          = 2 * time.Millisecond // time before a due time that is spent polling the clock, as timers may be late by half a millisecond
)

// Target is what clients connect to: balancers, or servers directly.
type Target struct {
	Addrs []string
	ids   *atomic.Uint64 // newest session ID that was used
}

// NewTarget returns a target with addresses that clients use in turn.
func NewTarget(addrs ...string) *Target { return &Target{Addrs: addrs, ids: &atomic.Uint64{}} }

// connection is an established session.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// open connects to the target's next address and sets up a session.
func (t *Target) open() (*connection, error) {
	id := t.ids.Add(1)
	conn, err := net.Dial("tcp", t.Addrs[id%uint64(len(t.Addrs))])
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	if err := c.setUp(id); err != nil {
		_ = c.Close() // only the error of the set-up is returned
		return nil, err
	}
	return c, nil
}

// setUp sends the first line of a session and waits for the response.
func (c *connection) setUp(id uint64) error {
	_ = c.SetDeadline(time.Now().Add(responseTimeout)) // fails only on a closed connection, on which the write fails too
	if _, err := fmt.Fprintf(c, "OPEN %x %x c=feed,d=%d\r\n", id, id*0x9e3779b97f4a7c15, sessionTimeout.Milliseconds()); err != nil {
		return err
	}
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(line, []byte("UP ")) {
		return fmt.Errorf("OPEN was answered with %q instead of UP", line)
	}
	return nil
}

// reset closes the connection by a TCP reset, so that thousands of ports do not stay in TIME_WAIT.
func (c *connection) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// exchange sends lines, a text of count lines, and reads the same number of lines.
func (c *connection) exchange(lines []byte, count int) error {
	if _, err := c.Write(lines); err != nil {
		return err
	}
	for range count {
		if _, err := c.reader.ReadSlice('\n'); err != nil {
			return err
		}
	}
	return nil
}

// Result is the result of a measurement.
type Result struct {
	PerSecond float64 // operations that succeeded per second
	P50       float64 // median latency in microseconds, from the time at which an operation was due
	P99       float64 // 99th percentile of the latency in microseconds, from the time at which an operation was due
	Failed    int     // number of operations that failed
}

// SetupRate sets up and closes sessions for a time, with a number of workers that never pause.
func SetupRate(t *Target, workers int, span time.Duration) Result {
	end := time.Now().Add(span)
	return runSetups(t, workers, func() bool { return time.Now().Before(end) })
}

// SetupBatch sets up and closes a given number of sessions, with a number of workers that never pause.
func SetupBatch(t *Target, workers, count int) Result {
	var next atomic.Int64
	return runSetups(t, workers, func() bool { return next.Add(1) <= int64(count) })
}

// runSetups lets workers set up and close sessions while hasNext returns true.
func runSetups(t *Target, workers int, hasNext func() bool) Result {
	var succeeded, failed atomic.Int64
	start := time.Now()
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for hasNext() {
				c, err := t.open()
				if err != nil {
					failed.Add(1)
					continue
				}
				succeeded.Add(1)
				c.reset()
			}
		})
	}
	running.Wait()
	return Result{PerSecond: float64(succeeded.Load()) / time.Since(start).Seconds(), Failed: int(failed.Load())}
}

// runPaced starts operations at a rate per second for a time, in an open loop, and records their latencies from the times at which they
// were due. An operation calls onDone at its end unless it fails.
func runPaced(rate float64, span time.Duration, operation func(onDone func()) error) Result {
	latencies := hdrhistogram.New(1, maxRecordedMicros, 3)
	var mu sync.Mutex
	var succeeded, failed atomic.Int64
	var running sync.WaitGroup
	start := time.Now()
	for i := range int(rate * span.Seconds()) {
		due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		waitUntil(due)
		running.Go(func() {
			err := operation(func() {
				latency := time.Since(due)
				mu.Lock()
				defer mu.Unlock()
				_ = latencies.RecordValue(min(max(1, latency.Microseconds()), maxRecordedMicros)) // cannot fail: the value is within the histogram's range
			})
			if err != nil {
				failed.Add(1)
				return
			}
			succeeded.Add(1)
		})
	}
	running.Wait()
	return Result{
		PerSecond: float64(succeeded.Load()) / time.Since(start).Seconds(),
		P50:       float64(latencies.ValueAtQuantile(50)),
		P99:       float64(latencies.ValueAtQuantile(99)),
		Failed:    int(failed.Load()),
	}
}

// waitUntil returns at a time, more precisely than a timer: it polls the clock for the last spinTime.
func waitUntil(due time.Time) {
	if wait := time.Until(due); wait > spinTime {
		time.Sleep(wait - spinTime)
	}
	for time.Now().Before(due) {
		runtime.Gosched()
	}
}

// PacedSetups sets up and closes sessions at a rate per second, whether or not earlier ones have succeeded.
func PacedSetups(t *Target, rate float64, span time.Duration) Result {
	return runPaced(rate, span, func(onDone func()) error {
		c, err := t.open()
		if err != nil {
			return err
		}
		onDone()
		c.reset()
		return nil
	})
}
