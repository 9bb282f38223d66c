package balancer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
)

// This file is how a balancer is drained, put back into service, and shut down. A drain, a shutdown and a hot restart share one way.
// The policy decides which session is migrated when.

const (
	drainDelay         = 400 * time.Millisecond // clients still arrive for so long, and who is migrated earlier would come back
	drainTimeout       = 3500 * time.Millisecond
	emptyCheckInterval = 20 * time.Millisecond
	// lastMigrationLead is how long before a shutdown's end the last sessions are migrated: lines of their servers may be on their way.
	lastMigrationLead = 350 * time.Millisecond
)

// OutOfService drains the balancer, which goes on running. Whatever is asked after it has returned finds it draining.
func (l *Loop) OutOfService() error { return l.setOutOfService(true) }

// InService has the balancer accept clients again; it ends a drain, even an unfinished one.
func (l *Loop) InService() error { return l.setOutOfService(false) }

// setOutOfService posts under the lock, so that the loop sees the calls in their order.
func (l *Loop) setOutOfService(out bool) error {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	switch {
	case l.service.shuttingDown && out: // it drains anyway
		return nil
	case l.service.shuttingDown:
		return errShuttingDown
	case l.service == serviceState{outOfService: out}: // an inherited drain is another state
		return nil
	}
	l.service.outOfService = out
	l.service.inherited = false
	if out {
		l.post(event{run: l.startDrain})
	} else {
		l.post(event{run: l.stopDrain})
	}
	return nil
}

func (l *Loop) startDrain() {
	l.Drains.Add(1)
	l.log.Info("out of service",
		zap.Duration("within", drainTimeout),
		zap.Int("open", l.openSessions),
		zap.Int("held", len(l.sessions)))
	l.drain(drainDelay, drainTimeout)
}

func (l *Loop) stopDrain() {
	l.log.Info("in service", zap.Int("open", l.openSessions))
	l.policy.StopDraining()
}

// drain has all sessions migrated between a delay and a timeout from now.
func (l *Loop) drain(delay, timeout time.Duration) {
	l.policy.StartDraining(l.now+delay, l.now+timeout)
	for _, session := range l.sessions {
		if session.reattaching { // it would wait for its server for longer
			l.failSession(session, protocol.FailLine)
		}
	}
}

// Shutdown drains the balancer for good, between a delay and a timeout from now. If the listener is shared with another process no
// client is accepted from now on, and done is called once nothing is left; clients that have sent no line are waited for until the
// timeout.
func (l *Loop) Shutdown(delay, timeout time.Duration, done func()) {
	listener := l.listener.Load()
	if listener != nil {
		delay = 0
		listener.stopped.Store(true)
	}
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	l.service.shuttingDown = true
	l.post(event{run: func() { l.startShutdown(delay, timeout, listener != nil, done) }})
}

func (l *Loop) startShutdown(delay, timeout time.Duration, sharesListener bool, done func()) {
	l.log.Info("leaving",
		zap.Duration("within", timeout),
		zap.Bool("shared", sharesListener),
		zap.Int("open", l.openSessions),
		zap.Int("held", len(l.sessions)))
	if l.handover != nil && l.handover.successor != nil {
		delay = handoverTimeout
	}
	if l.readySuccessor() != nil {
		l.handOverAll()
	}
	l.drain(delay, max(delay, timeout-lastMigrationLead))
	l.relay.SetMigrationDeadline(timeout)
	l.after(timeout, l.endWaiting)
	if sharesListener {
		l.after(timeout, l.rejectSilent)
		l.notifyWhenEmpty(done)
	}
}

// endWaiting ends the sessions that still wait for a server when the shutdown has to be done, as their deadlines may be later: the
// policy rejects them, or fails them where they may have been served.
func (l *Loop) endWaiting() {
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		session := l.sessions[id]
		switch {
		case session.reattaching:
			l.failSession(session, protocol.FailLine)
		case session.attemptActive:
			l.attemptTimedOut(session, errShuttingDown)
		}
	}
}

// notifyWhenEmpty calls done once nothing is left.
func (l *Loop) notifyWhenEmpty(done func()) {
	if !l.isEmpty() {
		l.after(emptyCheckInterval, func() { l.notifyWhenEmpty(done) })
		return
	}
	if l.handover != nil && l.handover.unconfirmed > 0 {
		l.log.Warn("left with a new process that has not confirmed them", zap.Int("connections", l.handover.unconfirmed))
	}
	done()
}

func (l *Loop) isEmpty() bool {
	if len(l.sessions) > 0 || l.descriptors.Load() > 0 {
		return false
	}
	return l.handover == nil || l.handover.unsettled == 0
}
