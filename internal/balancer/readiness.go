package balancer

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/protocol"
)

// This file tracks whether the balancer is ready for clients.

// readyTimeout is the time after its start at which a balancer becomes ready even without an endpoint list.
const readyTimeout = 2 * time.Second

var (
	errStarting     = errors.New("starting: the list of servers has not come yet")
	errShuttingDown = errors.New("leaving: this process was told to end and takes no clients any more")
)

// Ready returns nil if the balancer is ready for clients, otherwise an error with the reason.
func (l *Loop) Ready() error {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	switch {
	case l.service.shuttingDown:
		return errShuttingDown
	case l.service.outOfService && !l.service.inherited:
		return fmt.Errorf("out of service: told by an operator, %d circuits open", l.Open.Load())
	}
	select {
	case <-l.becameReady:
		return nil
	default:
		return errStarting
	}
}

func (l *Loop) isOutOfService() bool { return l.currentService().outOfService }

func (l *Loop) isShuttingDown() bool { return l.currentService().shuttingDown }

// markReady makes the balancer ready and answers pending PINGs. While the service state or the predecessor's state is still awaited, it only
// records that the balancer is otherwise ready.
func (l *Loop) markReady() {
	if l.ready || l.awaitsServiceState || l.awaitsPredecessor {
		l.readyDue = true
		return
	}
	l.ready = true
	close(l.becameReady)
	l.notifyReady()
	l.log.Info("ready", zap.Bool("listed", l.hasCurrentList), zap.Int("servers", len(l.servers)))
	for _, c := range l.pendingPings {
		for ; c.unansweredPings > 0; c.unansweredPings-- {
			c.send(l.readinessLine())
		}
		c.awaitsPong.Store(false)
	}
	l.pendingPings = nil
}

// readinessLine returns the answer of a ready balancer to a client's PING.
func (l *Loop) readinessLine() []byte {
	if l.isOutOfService() {
		return protocol.NotReadyLine
	}
	return protocol.PongLine
}

// AwaitServiceState keeps the balancer from becoming ready until RestoreServiceState is called or the timeout has passed. It must be
// called before Run.
func (l *Loop) AwaitServiceState(timeout time.Duration) {
	l.awaitsServiceState = true
	l.after(timeout, func() {
		if l.awaitsServiceState {
			l.log.Warn("ready without the stored service state: no process that stores it has answered", zap.Duration("within", timeout))
			l.serviceStateKnown()
		}
	})
}

// RestoreServiceState restores the service state that operators last set for an earlier process of this balancer. A state that they have
// set for this process takes precedence.
func (l *Loop) RestoreServiceState(outOfService bool) {
	l.post(event{run: func() {
		now := boottime.Now()
		if outOfService && l.setInitialState(serviceState{outOfService: true, requestedAt: now, drainSince: now}) {
			l.Drains.Add(1)
			l.log.Info("out of service, by the stored service state")
			l.followServiceState(serviceState{})
		}
		l.serviceStateKnown()
	}})
}

// setInitialState sets the service state, unless one was requested for this process already, and reports whether it did.
func (l *Loop) setInitialState(state serviceState) bool {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	if l.service.requestedAt != 0 || l.service.shuttingDown {
		return false
	}
	l.service = state
	return true
}

// serviceStateKnown ends the wait for the service state.
func (l *Loop) serviceStateKnown() {
	l.awaitsServiceState = false
	if l.readyDue {
		l.markReady()
	}
}
