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
	shutdownTimeout  = 15 * time.Second       // limit of a graceful shutdown; a process that exceeds it is killed
	pollInterval     = 100 * time.Millisecond // time between two queries of the control processes while a state is waited for
)

// controlProcess is one control process of a scale test. It may be stopped and started again; each run is an incarnation.
type controlProcess struct {
	*cluster.Process
	Addr  netip.AddrPort // address that it advertises: its own, or that of its forwarder
	place scale.Place

	mu            sync.Mutex
	finishedBytes int64 // traffic of incarnations that have ended: stream and datagram bytes
	streamBytes   int64 // bytes that the running incarnation had read and written when last measured
	datagramBytes int64 // bytes of datagrams that the running incarnation had sent and received when last measured
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

// usage returns the processor time and the traffic of all incarnations together.
func (c *controlProcess) usage() controlUsage {
	c.measureTraffic()
	return controlUsage{cpu: c.cpuTime(), bytes: c.traffic()}
}

// cpuTime returns the processor time of all incarnations together.
func (c *controlProcess) cpuTime() time.Duration {
	total, _ := c.TotalUsage()
	if c.isRunning() {
		total += c.CPU()
	}
	return total
}

// measureTraffic updates the traffic of the running incarnation: the bytes that it has read and written, over connections and files
// alike, and its own count of bytes in datagrams, which the system's figures leave out.
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

// addFinishedTraffic adds the traffic of the incarnation that has just ended to finishedBytes.
func (c *controlProcess) addFinishedTraffic() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishedBytes += c.streamBytes + c.datagramBytes
	c.streamBytes = 0
	c.datagramBytes = 0
}

// traffic returns the bytes of all incarnations together when last measured.
func (c *controlProcess) traffic() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishedBytes + c.streamBytes + c.datagramBytes
}

// kill kills the process and keeps its traffic count.
func (c *controlProcess) kill() {
	c.measureTraffic()
	c.Kill()
	c.addFinishedTraffic()
}

// shutDown shuts the process down gracefully, and kills it after shutdownTimeout.
func (c *controlProcess) shutDown() {
	c.measureTraffic()
	_ = c.Signal(syscall.SIGTERM) // the signal fails only if the process has ended
	select {
	case <-c.Exited():
	case <-time.After(shutdownTimeout):
		c.Kill()
	}
	c.addFinishedTraffic()
}

// restart starts a new incarnation once the previous one has ended.
func (c *controlProcess) restart() error {
	select {
	case <-c.Exited():
	case <-time.After(shutdownTimeout + time.Second):
		return fmt.Errorf("control process %s did not exit before its restart", c.Name)
	}
	return c.Launch()
}

// waitForBootstrap waits until all control processes see each other and are members of one store.
func waitForBootstrap(ctx context.Context, controls []*controlProcess) error {
	for deadline := time.Now().Add(bootstrapTimeout); ; {
		for _, c := range controls {
			if !c.isRunning() {
				return fmt.Errorf("control process %s exited during bootstrap: %s", c.Name, c.LogTail())
			}
		}
		err := checkBootstrap(controls)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("control processes did not bootstrap within %v: %w", bootstrapTimeout, err)
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
			return fmt.Errorf("control process %s has not bootstrapped: standing %s, sees %d of %d alive, store %+v",
				c.Name, report.Standing, report.Alive, len(controls), store)
		}
	}
	return nil
}
