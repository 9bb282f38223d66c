package main

import (
	"errors"
	"fmt"
	"sync"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/lab/scale"
)

// applyStep carries out one step of the fault schedule and returns once that is done.
func (w *scaleCluster) applyStep(step scale.Step) error {
	switch step.Action {
	case scale.KillControl:
		return w.eachControl(step.Targets, func(c *controlProcess) error {
			c.kill()
			return nil
		})
	case scale.StopControl:
		return w.eachControl(step.Targets, func(c *controlProcess) error {
			c.shutDown()
			return nil
		})
	case scale.StartControl:
		return w.eachControl(step.Targets, (*controlProcess).restart)
	case scale.CutLinks:
		return w.cutOff(step.Targets)
	case scale.RestoreLinks:
		return w.cutOff(nil)
	case scale.StopBalancers, scale.StartBalancers:
		return w.setBalancers(step.Targets, step.Action == scale.StartBalancers)
	case scale.KillZone:
		return w.eachHostOf(step.Targets[0], w.killHost)
	case scale.StartZone:
		return w.eachHostOf(step.Targets[0], w.restartHost)
	default:
		return fmt.Errorf("unknown action %q", step.Action)
	}
}

// eachControl calls do for several control processes concurrently.
func (w *scaleCluster) eachControl(indices []int, do func(c *controlProcess) error) error {
	var running sync.WaitGroup
	errs := make([]error, len(indices))
	for i, index := range indices {
		running.Go(func() { errs[i] = do(w.controls[index]) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// cutOff cuts control processes off from all others, and restores all other links.
func (w *scaleCluster) cutOff(controls []int) error {
	var running sync.WaitGroup
	errs := make([]error, len(w.forwarders))
	for i, f := range w.forwarders {
		running.Go(func() { _, errs[i] = f.call(forwarderRequest{CutOff: controls}) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// setBalancers starts or stops balancers.
func (w *scaleCluster) setBalancers(balancers []int, up bool) error {
	selected := map[int]bool{}
	for _, b := range balancers {
		selected[b] = true
	}
	for i, h := range w.hosts {
		var indices []int
		for _, b := range w.balancersByHost[i] {
			if selected[b] {
				indices = append(indices, b)
			}
		}
		if len(indices) == 0 {
			continue
		}
		order := hollowRequest{Stop: indices}
		if up {
			order = hollowRequest{Start: indices}
		}
		if err := h.send(order); err != nil {
			return err
		}
	}
	return nil
}

// eachHostOf calls do concurrently for each process of balancers of a zone.
func (w *scaleCluster) eachHostOf(zone int, do func(host int) error) error {
	var running sync.WaitGroup
	errs := make([]error, len(w.hosts))
	for i := range w.hosts {
		if w.plan.BalancerPlaces[w.balancersByHost[i][0]].Zone == zone {
			running.Go(func() { errs[i] = do(i) })
		}
	}
	running.Wait()
	return errors.Join(errs...)
}

// restartHost starts a process of balancers again, and its balancers.
func (w *scaleCluster) restartHost(host int) error {
	if err := w.hosts[host].start(); err != nil {
		return err
	}
	return w.hosts[host].send(hollowRequest{Start: w.balancersByHost[host]})
}

// killHost kills a process of balancers, after it has reported the events so far.
func (w *scaleCluster) killHost(host int) error {
	_, _ = w.hosts[host].status(w.nextStatusNumber(), false) // it fails only if the process has ended
	now := boottime.Now()
	w.hosts[host].stop(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.balancersByHost[host] {
		w.ledger.RecordEnd(b, now)
	}
	return nil
}
