package balancer

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
)

// readyTimeout is when a balancer is ready without an endpoint list.
const readyTimeout = 2 * time.Second

var (
	errStarting     = errors.New("starting: the list of servers has not come yet")
	errShuttingDown = errors.New("leaving: this process was told to end and takes no clients any more")
)

// serviceState is what operators and the platform want of this process. Whoever asks for it never waits for the loop.
type serviceState struct {
	outOfService bool // an operator wants it empty
	inherited    bool // an operator wanted that of the process before this one
	shuttingDown bool // it ends, whatever operators want
}

// Ready reports whether clients are welcome: nil, or why not.
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

func (l *Loop) isOutOfService() bool {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	return l.service.outOfService
}

func (l *Loop) isShuttingDown() bool {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	return l.service.shuttingDown
}

// markReady makes the balancer ready and answers the clients that have asked for that, unless the service state is still awaited.
func (l *Loop) markReady() {
	if l.ready || l.awaitsServiceState {
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

// readinessLine answers a PING of a client to a ready balancer.
func (l *Loop) readinessLine() []byte {
	if l.isOutOfService() {
		return protocol.NotReadyLine
	}
	return protocol.PongLine
}

// AwaitServiceState keeps the balancer from being ready before RestoreServiceState or a timeout. It is called before Run.
func (l *Loop) AwaitServiceState(timeout time.Duration) {
	l.awaitsServiceState = true
	l.after(timeout, func() {
		if l.awaitsServiceState {
			l.log.Warn("ready without its operators' word of before: nobody who holds it has answered", zap.Duration("within", timeout))
			l.serviceStateKnown()
		}
	})
}

// RestoreServiceState restores the service state that operators last set at an earlier process of this balancer. One that they have set
// at this process takes precedence.
func (l *Loop) RestoreServiceState(outOfService bool) {
	l.post(event{run: func() {
		if outOfService && l.setInitialState(serviceState{outOfService: true}) {
			l.Drains.Add(1)
			l.log.Info("out of service, by its operators' word of before")
			l.drain(drainDelay, drainTimeout)
		}
		l.serviceStateKnown()
	}})
}

// setInitialState sets the service state unless something was asked of this process itself.
func (l *Loop) setInitialState(state serviceState) bool {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	if l.service != (serviceState{}) {
		return false
	}
	l.service = state
	return true
}

func (l *Loop) serviceStateKnown() {
	l.awaitsServiceState = false
	if l.readyDue {
		l.markReady()
	}
}

// inheritOutOfService starts this process out of service, as the one before it was.
func (l *Loop) inheritOutOfService() {
	if l.setInitialState(serviceState{outOfService: true, inherited: true}) {
		l.drain(drainDelay, drainTimeout)
	}
}
