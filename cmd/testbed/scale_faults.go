package main

import (
	"errors"
	"fmt"
	"sync"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/lab/scale"
)

// applyStep carries out one step of the fault schedule and returns once the step is complete.
func (s *scaleCluster) applyStep(step scale.Step) error {
	switch step.Action {
	case scale.KillControl:
		return s.forEachControl(step.Targets, func(c *controlProcess) error {
			c.kill()
			return nil
		})
	case scale.StopControl:
		return s.forEachControl(step.Targets, func(c *controlProcess) error {
			c.shutDown()
			return nil
		})
	case scale.StartControl:
		return s.forEachControl(step.Targets, (*controlProcess).restart)
	case scale.CutLinks:
		return s.cutOff(step.Targets)
	case scale.RestoreLinks:
		return s.cutOff(nil)
	case scale.StopBalancers, scale.StartBalancers:
		return s.setBalancers(step.Targets, step.Action == scale.StartBalancers)
	case scale.KillZone:
		return s.forEachHostInZone(step.Targets[0], s.killHost)
	case scale.StartZone:
		return s.forEachHostInZone(step.Targets[0], s.restartHost)
	default:
		return fmt.Errorf("fault schedule has the unknown action %q", step.Action)
	}
}

// forEachControl calls operation concurrently for the control processes with the given indices.
func (s *scaleCluster) forEachControl(indices []int, operation func(c *controlProcess) error) error {
	var pending sync.WaitGroup
	errs := make([]error, len(indices))
	for i, index := range indices {
		pending.Go(func() { errs[i] = operation(s.controls[index]) })
	}
	pending.Wait()
	return errors.Join(errs...)
}

// cutOff cuts the given control processes off from all others, and restores all other links.
func (s *scaleCluster) cutOff(controls []int) error {
	var pending sync.WaitGroup
	errs := make([]error, len(s.forwarders))
	for i, f := range s.forwarders {
		pending.Go(func() { _, errs[i] = f.call(forwarderRequest{CutOff: controls}) })
	}
	pending.Wait()
	return errors.Join(errs...)
}

// setBalancers starts the given balancers if up is set, and stops them otherwise.
func (s *scaleCluster) setBalancers(balancers []int, up bool) error {
	selected := map[int]bool{}
	for _, b := range balancers {
		selected[b] = true
	}
	for i, h := range s.hosts {
		var indices []int
		for _, b := range s.balancersByHost[i] {
			if selected[b] {
				indices = append(indices, b)
			}
		}
		if len(indices) == 0 {
			continue
		}
		request := hollowRequest{Stop: indices}
		if up {
			request = hollowRequest{Start: indices}
		}
		if err := h.sendRequest(request); err != nil {
			return err
		}
	}
	return nil
}

// forEachHostInZone calls operation concurrently for each hollow balancer process of a zone, with the index of the process.
func (s *scaleCluster) forEachHostInZone(zone int, operation func(host int) error) error {
	var pending sync.WaitGroup
	errs := make([]error, len(s.hosts))
	for i := range s.hosts {
		if s.plan.BalancerPlaces[s.balancersByHost[i][0]].Zone == zone {
			pending.Go(func() { errs[i] = operation(i) })
		}
	}
	pending.Wait()
	return errors.Join(errs...)
}

// restartHost starts a hollow balancer process and all of its balancers again.
func (s *scaleCluster) restartHost(host int) error {
	if err := s.hosts[host].start(); err != nil {
		return err
	}
	return s.hosts[host].sendRequest(hollowRequest{Start: s.balancersByHost[host]})
}

// killHost kills a hollow balancer process, after it was asked to report its events so far, and records the end of its balancers.
func (s *scaleCluster) killHost(host int) error {
	_, _ = s.hosts[host].status(s.nextStatusNumber(), false) // the process is killed whether or not it has sent its status
	now := boottime.Now()
	s.hosts[host].stop(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.balancersByHost[host] {
		s.ledger.RecordEnd(b, now)
	}
	return nil
}
