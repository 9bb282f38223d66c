// This file carries out the operations on balancers that take longer: stalls, reloads, upgrades, drains and planned restarts.

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
	// drainNoticeDelay is the time for which clients are still sent to a balancer after it was asked to drain.
	drainNoticeDelay = 300 * time.Millisecond
	// deathNoticeDelay is the time for which clients are still sent to a balancer after it died or stalled.
	deathNoticeDelay = time.Second
	// drainTimeout is the time within which a balancer that is taken out of service must have no sessions left.
	drainTimeout = 4 * time.Second
	// killDelay is the additional time after the longest deadline of a class until a process that was asked to end is killed.
	killDelay = 700 * time.Millisecond
)

// waitFor waits for a time, or until the context is done. It reports whether the context is still active.
func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stallBalancer suspends a balancer's process for a time, by SIGSTOP and SIGCONT. As its sessions may miss their deadlines, the log
// records the stall as a kill and a start, for which the checker makes allowances.
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

// reload writes new configurations with the settings of a world and has all balancers read them, by SIGHUP.
func (c *Cluster) reload(w *topology.World) {
	for b := range c.agents {
		p := c.process(b)
		c.recordError(p.WriteConfig(BalancerConfig(w, b, p.Addr, c.agents[b].Addr(), 1, c.agents[b].InitialList())))
		c.recordError(p.Signal(syscall.SIGHUP))
	}
}

// withMoreClasses returns a world whose settings have one more class, in first place, and half the number of attempts.
func withMoreClasses(w topology.World) topology.World {
	w.Deployment.MaxAttempts = max(1, w.Deployment.MaxAttempts/2)
	w.Deployment.Classes = append([]policy.Class{{Idempotency: policy.NonIdempotent, SetupObjective: time.Second, PriorityWeight: 1}}, w.Deployment.Classes...)
	w.ClassNames = append([]string{"retuned"}, w.ClassNames...)
	w.Deadlines = append([]time.Duration{2 * time.Second}, w.Deadlines...)
	return w
}

// upgradeBalancer replaces a balancer by a hot restart: it starts a successor beside the old process, which is asked to end once the
// successor is ready. It fails if the old process does not end in time or ends with an error.
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
		return fmt.Errorf("upgrade of balancer %s: old process did not end in time after SIGTERM; end of its log: %s", old.Name, old.LogTail())
	}
	return nil
}

// drainBalancer takes a balancer out of service and puts it back. It checks that the balancer reports that it is not ready, and that
// its sessions have ended within drainTimeout.
func (c *Cluster) drainBalancer(ctx context.Context, b int, span time.Duration) error {
	p := c.process(b)
	call := func(path string) error {
		code, text, err := p.Call(http.MethodPut, path)
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("balancer %s: PUT %s: status %d: %s", p.Name, path, code, text)
		}
		return err
	}
	if err := call("/control/out-of-service"); err != nil {
		return err
	}
	if answersPing(p.Addr) {
		return fmt.Errorf("balancer %s answers PING with PONG while it is out of service", p.Name)
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
		return fmt.Errorf("balancer %s, out of service for %v: %w", p.Name, drainTimeout, err)
	}
	if !strings.Contains(text, " 0 circuits open") {
		return fmt.Errorf("balancer %s still has sessions after %v out of service: %s", p.Name, drainTimeout, text)
	}
	waitFor(ctx, span-drainTimeout)
	if err := call("/control/in-service"); err != nil {
		return err
	}
	if !answersPing(p.Addr) {
		return fmt.Errorf("balancer %s does not answer PING with PONG although it is back in service", p.Name)
	}
	c.mu.Lock()
	c.receiving[b] = true
	c.mu.Unlock()
	return nil
}

// longestDeadline returns the longest deadline of all classes.
func (c *Cluster) longestDeadline() (longest time.Duration) {
	for _, d := range c.World.Deadlines {
		longest = max(longest, d)
	}
	return longest
}

// restartAsPlanned asks a balancer to end by SIGTERM, kills it if it still runs after the longest deadline and killDelay, and starts
// it again.
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
