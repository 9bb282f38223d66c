package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/hotrestart"
)

// This file holds the service state that operators set, and keeps it the same in both processes of a hot restart: either process takes
// operators' requests and announces them to the other one, and the latest request is in force.

// serviceState is the state that operators and the platform have requested for this process. It is read without waiting for the loop.
type serviceState struct {
	outOfService bool // an operator has taken the balancer out of service
	inherited    bool // outOfService was requested from the predecessor
	shuttingDown bool // the process is ending, whatever operators request
	// closed is set when the process has shut down: it can pass no further request on to its successor.
	closed bool

	requestedAt   time.Duration // boot time of the operators' latest request to either process; 0 without a request
	drainSince    time.Duration // boot time of the request that took the balancer out of service, which later ones do not change
	announcements int           // requests that are still to be sent to the other process
}

// request returns the state after an operator's request at boot time now.
func (s serviceState) request(outOfService bool, now time.Duration) serviceState {
	if outOfService && !s.outOfService {
		s.drainSince = now
	}
	s.outOfService = outOfService
	s.inherited = false
	s.requestedAt = now
	return s
}

// merge returns the state after the other process has announced its own. An announcement that is not newer than the state changes
// nothing.
func (s serviceState) merge(announced *hotrestart.State, fromPredecessor bool) serviceState {
	if announced.RequestedAt <= s.requestedAt {
		return s
	}
	s.outOfService = announced.OutOfService
	s.inherited = announced.OutOfService && fromPredecessor
	s.requestedAt = announced.RequestedAt
	s.drainSince = announced.DrainSince
	return s
}

// announcement returns the state as a message to the other process of a hot restart.
func (s serviceState) announcement() *hotrestart.State {
	return &hotrestart.State{OutOfService: s.outOfService, RequestedAt: s.requestedAt, DrainSince: s.drainSince}
}

// currentService returns the service state as of now.
func (l *Loop) currentService() serviceState {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	return l.service
}

// OutOfService drains the balancer, which keeps running. Any readiness check after it has returned sees the balancer out of service.
func (l *Loop) OutOfService() error { return l.requestServiceState(true) }

// InService makes the balancer accept clients again. It ends a drain, even an unfinished one.
func (l *Loop) InService() error { return l.requestServiceState(false) }

// requestServiceState posts its event under the lock, so that the loop handles concurrent requests in their order.
func (l *Loop) requestServiceState(outOfService bool) error {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	switch {
	case !l.service.shuttingDown:
	case l.HasSuccessor() && !l.service.closed: // the successor gets the request
	case outOfService && !l.HasSuccessor(): // a shutdown drains the balancer already
		return nil
	default:
		return errShuttingDown
	}
	previous := l.service
	l.service = previous.request(outOfService, boottime.Now())
	l.service.announcements++
	l.post(event{run: func() { l.serviceStateRequested(previous, outOfService) }})
	return nil
}

// serviceStateRequested carries out an operator's request to this process and announces it to the other process of a hot restart.
func (l *Loop) serviceStateRequested(previous serviceState, outOfService bool) {
	l.announceServiceState()
	switch {
	case previous.outOfService == outOfService && !previous.inherited:
	case outOfService:
		l.Drains.Add(1)
		l.log.Info("out of service",
			zap.Duration("within", drainTimeout),
			zap.Int("open", l.openSessions),
			zap.Int("held", len(l.sessions)))
	default:
		l.log.Info("in service", zap.Int("open", l.openSessions))
	}
	l.followServiceState(previous)
}

// announceServiceState sends the service state to the other process of a hot restart, if there is one. The process does not end before
// the state is written.
func (l *Loop) announceServiceState() {
	link := l.otherProcess()
	if link == nil {
		l.announcementDone()
		return
	}
	l.sendState(link, l.currentService().announcement(), func() { l.post(event{run: l.announcementDone}) })
}

// announcementDone records that a request was announced to the other process, or that there is none to announce it to.
func (l *Loop) announcementDone() {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	l.service.announcements--
}

// closeServiceState ends the taking of operators' requests, unless some are still to be announced. It reports whether it did.
func (l *Loop) closeServiceState() bool {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	if l.service.announcements > 0 {
		return false
	}
	l.service.closed = true
	return true
}

// mergeServiceState applies the service state that the other process of a hot restart has announced.
func (l *Loop) mergeServiceState(announced *hotrestart.State, fromPredecessor bool) {
	if announced.OutOfService && announced.RequestedAt == 0 { // announced by an earlier release, which does not send the time
		now := boottime.Now()
		if l.setInitialState(serviceState{outOfService: true, inherited: true, requestedAt: now, drainSince: now}) {
			l.followServiceState(serviceState{})
		}
		return
	}
	l.serviceMu.Lock()
	previous := l.service
	l.service = previous.merge(announced, fromPredecessor)
	isNewer := l.service != previous
	l.serviceMu.Unlock()
	if !isNewer {
		return
	}
	l.log.Info("service state of the other process applied",
		zap.Bool("out", announced.OutOfService),
		zap.Bool("predecessor", fromPredecessor))
	l.followServiceState(previous)
}

// followServiceState has the policy drain, or stop draining, where the service state differs from the previous one. A shutdown drains for
// good.
func (l *Loop) followServiceState(previous serviceState) {
	switch state := l.currentService(); {
	case state.shuttingDown:
	case state.outOfService && (!previous.outOfService || state.drainSince != previous.drainSince):
		l.drain(l.operatorsDrain(state))
	case !state.outOfService && previous.outOfService:
		l.policy.StopDraining()
	}
}

// operatorsDrain returns the window of a drain that an operator has requested from this process, or from the other one of a hot restart.
func (l *Loop) operatorsDrain(state serviceState) drainWindow {
	start := l.now - max(0, boottime.Now()-state.drainSince)
	return drainWindow{from: start + drainDelay, until: start + drainTimeout}
}
