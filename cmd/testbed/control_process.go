package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/scale"
)

const (
	bootstrapTimeout = time.Minute
	shutdownTimeout  = 15 * time.Second // a graceful shutdown takes no longer, or the process is killed
	pollInterval     = 100 * time.Millisecond
)

// controlProcess is one control process, which may be ended and started again.
type controlProcess struct {
	*cluster.Process
	Addr  netip.AddrPort // where other processes reach it
	place scale.Place

	mu            sync.Mutex
	finishedBytes int64 // read, written, sent and received by incarnations that have ended
	streamBytes   int64 // read and written by the running incarnation, at the last reading
	datagramBytes int64 // sent and received by the running incarnation, at the last reading
}

// isRunning reports whether the latest incarnation is running.
func (c *controlProcess) isRunning() bool {
	done := c.Exited()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// usage is what all incarnations together have used.
func (c *controlProcess) usage() controlUsage {
	c.measureTraffic()
	return controlUsage{cpu: c.cpuTime(), bytes: c.traffic()}
}

// cpuTime is the processor time of all incarnations.
func (c *controlProcess) cpuTime() time.Duration {
	total, _ := c.TotalUsage()
	if c.isRunning() {
		total += c.CPU()
	}
	return total
}

// measureTraffic reads how many bytes the running incarnation has read and written, over connections and files alike, and its own count
// of datagrams, which the system's figures leave out.
func (c *controlProcess) measureTraffic() {
	if !c.isRunning() {
		return
	}
	streams, err := processIOBytes(c.Pid())
	if err != nil {
		return
	}
	var datagrams int64
	if report, err := c.Fleet(); err == nil {
		datagrams = report.Sent + report.Received
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streamBytes = streams
	c.datagramBytes = max(c.datagramBytes, datagrams)
}

// addFinished adds the traffic of the incarnation that ended to that of earlier ones.
func (c *controlProcess) addFinishedTraffic() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishedBytes += c.streamBytes + c.datagramBytes
	c.streamBytes = 0
	c.datagramBytes = 0
}

// traffic is the number of bytes of all incarnations, at the last reading.
func (c *controlProcess) traffic() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishedBytes + c.streamBytes + c.datagramBytes
}

// kill kills the process.
func (c *controlProcess) kill() {
	c.measureTraffic()
	c.Kill()
	c.addFinishedTraffic()
}

// shutDown has the process shut down gracefully.
func (c *controlProcess) shutDown() {
	c.measureTraffic()
	_ = c.Signal(syscall.SIGTERM) // it fails only if the process has ended
	select {
	case <-c.Exited():
	case <-time.After(shutdownTimeout):
		c.Kill()
	}
	c.addFinishedTraffic()
}

// restart starts the process again once its last run has ended.
func (c *controlProcess) restart() error {
	select {
	case <-c.Exited():
	case <-time.After(shutdownTimeout + time.Second):
		return fmt.Errorf("control process %s does not end", c.Name)
	}
	return c.Launch()
}

// waitForBootstrap waits until all control processes see each other and are members of one cluster.
func waitForBootstrap(ctx context.Context, controls []*controlProcess) error {
	for deadline := time.Now().Add(bootstrapTimeout); ; {
		for _, c := range controls {
			if !c.isRunning() {
				return fmt.Errorf("control process %s ended at its start: %s", c.Name, c.LogTail())
			}
		}
		err := checkBootstrap(controls)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no bootstrap of the control processes within %v: %w", bootstrapTimeout, err)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// checkBootstrap returns an error for the first control process that has not bootstrapped.
func checkBootstrap(controls []*controlProcess) error {
	for _, c := range controls {
		report, err := c.Fleet()
		if err != nil {
			return err
		}
		store := report.Store
		if report.Alive != len(controls) || store == nil || store.ID == "" || store.Members != len(controls) {
			return fmt.Errorf("control process %s: %s, %d of %d alive, %+v", c.Name, report.Standing, report.Alive, len(controls), store)
		}
	}
	return nil
}
