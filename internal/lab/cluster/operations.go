package cluster

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

const (
	// drainNoticeDelay is how long clients are still sent to a balancer that has been asked to drain.
	drainNoticeDelay = 300 * time.Millisecond
	// deathNoticeDelay is how long clients are still sent to a balancer that has died or stalled.
	deathNoticeDelay = time.Second
	// drainTimeout is when a balancer out of service has to hold no session any more.
	drainTimeout = 4 * time.Second
	// killDelay is the time beyond the longest deadline after which a process that is to end is killed.
	killDelay = 700 * time.Millisecond
)

// waitFor waits for a time and reports whether the run still goes on.
func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stallBalancer stops a balancer's process for a while; its sessions may miss their deadlines.
func (c *Cluster) stallBalancer(ctx context.Context, b int, span time.Duration) {
	p := c.process(b)
	c.Log.Add(history.Event{At: c.Clock.Now(), Kind: history.BalancerKilled, Balancer: int32(b), Server: -1, Text: "stalled"})
	c.recordError(p.Signal(syscall.SIGSTOP))
	waitFor(ctx, min(span, deathNoticeDelay))
	c.stopReceiving(b)
	waitFor(ctx, span-deathNoticeDelay)
	c.recordError(p.Signal(syscall.SIGCONT))
	c.Log.Add(history.Event{At: c.Clock.Now(), Kind: history.BalancerStarted, Balancer: int32(b), Server: -1})
	c.mu.Lock()
	c.receiving[b] = true
	c.mu.Unlock()
}

// reload has all balancers load the settings of a world.
func (c *Cluster) reload(w *topology.World) {
	for b := range c.agents {
		p := c.process(b)
		c.recordError(p.WriteConfig(BalancerConfig(w, b, p.Addr, c.agents[b].Addr(), 1, c.agents[b].InitialList())))
		c.recordError(p.Signal(syscall.SIGHUP))
	}
}

// withMoreClasses returns a world whose settings have one class more, in the first place, and half the attempts.
func withMoreClasses(w topology.World) topology.World {
	w.Deployment.MaxAttempts = max(1, w.Deployment.MaxAttempts/2)
	w.Deployment.Classes = append([]policy.Class{{Idempotency: policy.NonIdempotent, SetupObjective: time.Second, PriorityWeight: 1}}, w.Deployment.Classes...)
	w.ClassNames = append([]string{"retuned"}, w.ClassNames...)
	w.Deadlines = append([]time.Duration{2 * time.Second}, w.Deadlines...)
	return w
}

// upgradeBalancer starts a new process of a balancer beside the old one, which ends once the new one is ready.
func (c *Cluster) upgradeBalancer(ctx context.Context, b int) error {
	old := c.process(b)
	successor, err := old.Successor()
	if err != nil {
		return err
	}
	if err := successor.Launch(); err != nil {
		return err
	}
	c.mu.Lock()
	if c.members != nil {
		c.members.processes[b] = successor
	}
	c.Processes[b], c.replaced = successor, append(c.replaced, old)
	c.mu.Unlock()
	if err := successor.WaitReady(); err != nil {
		return err
	}
	c.recordError(old.Signal(syscall.SIGTERM))
	select {
	case <-old.Exited():
		return old.Err()
	case <-ctx.Done():
	case <-time.After(c.longestDeadline() + killDelay):
		old.Kill()
		return fmt.Errorf("balancer %s: the old process does not end: %s", old.Name, old.LogTail())
	}
	return nil
}

// drainBalancer takes a balancer out of service, checks that it says so and is empty in time, and puts it back.
func (c *Cluster) drainBalancer(ctx context.Context, b int, span time.Duration) error {
	p := c.process(b)
	call := func(path string) error {
		code, text, err := p.Call(http.MethodPut, path)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("balancer %s answers %s with %d %s", p.Name, path, code, text)
		}
		return err
	}
	if err := call("/control/out-of-service"); err != nil {
		return err
	}
	if pong(p.Addr) {
		return fmt.Errorf("balancer %s says that it is ready while it drains", p.Name)
	}
	if !waitFor(ctx, drainNoticeDelay) {
		return nil
	}
	c.stopReceiving(b)
	if !waitFor(ctx, drainTimeout-drainNoticeDelay) {
		return nil
	}
	_, text, err := p.Call(http.MethodGet, "/control/ready")
	if err != nil {
		return fmt.Errorf("balancer %s after %v: %w", p.Name, drainTimeout, err)
	}
	if !strings.Contains(text, " 0 circuits open") {
		return fmt.Errorf("balancer %s after %v: %s", p.Name, drainTimeout, text)
	}
	waitFor(ctx, span-drainTimeout)
	if err := call("/control/in-service"); err != nil {
		return err
	}
	if !pong(p.Addr) {
		return fmt.Errorf("balancer %s says that it is not ready once it is back in service", p.Name)
	}
	c.mu.Lock()
	c.receiving[b] = true
	c.mu.Unlock()
	return nil
}

func (c *Cluster) longestDeadline() (most time.Duration) {
	for _, l := range c.World.Deadlines {
		most = max(most, l)
	}
	return most
}

// restartAsPlanned ends a balancer by SIGTERM and starts it again.
func (c *Cluster) restartAsPlanned(ctx context.Context, b int) {
	p := c.process(b)
	c.recordError(p.Signal(syscall.SIGTERM))
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-p.Exited():
			return true
		case <-time.After(d):
			return true
		}
	}
	if !wait(drainNoticeDelay) {
		return
	}
	c.stopReceiving(b)
	if !wait(c.longestDeadline() + killDelay - drainNoticeDelay) {
		return
	}
	c.Log.Add(history.Event{At: c.Clock.Now(), Kind: history.BalancerKilled, Balancer: int32(b), Server: -1, Text: "planned"})
	p.Kill()
	c.recordError(c.startBalancer(b))
}
