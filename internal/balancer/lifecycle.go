package balancer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
)

// This file drains a balancer and shuts it down. A drain, a shutdown and a hot restart all drain the policy, which decides when each
// session is migrated.

const (
	// drainDelay is how long after the start of a drain the first sessions are migrated. New clients still arrive for that long, so
	// clients that were migrated earlier would come back.
	drainDelay = 400 * time.Millisecond
	// drainTimeout is how long after the start of a drain the last sessions are migrated.
	drainTimeout       = 3500 * time.Millisecond
	emptyCheckInterval = 20 * time.Millisecond
	// lastMigrationLead is how long before the end of a shutdown the last sessions are migrated, as lines from their servers may still
	// be in flight.
	lastMigrationLead = 350 * time.Millisecond
)

// drainWindow is the loop time in which a drain migrates all sessions, evenly from its start to its end. Either may have passed.
type drainWindow struct{ from, until time.Duration }

// orEarlier returns a window that begins and ends no later than either window.
func (w drainWindow) orEarlier(other drainWindow) drainWindow {
	return drainWindow{from: min(w.from, other.from), until: min(w.until, other.until)}
}

// drain has the policy migrate all sessions within a window.
func (l *Loop) drain(window drainWindow) {
	l.policy.StartDraining(window.from, window.until)
	for _, session := range l.sessions {
		if session.reattaching { // the policy does not know the session, which could wait for longer than the drain lasts
			l.failSession(session, protocol.FailLine)
		}
	}
}

// Shutdown drains the balancer for good, from delay until timeout after now. If the listener is shared with another process, no client
// is accepted from now on, and done is called once no session, connection or pending handover is left. Clients that have sent no line
// are waited for until timeout.
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
	state := l.currentService()
	l.log.Info("shutting down",
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
	window := drainWindow{from: l.now + delay, until: l.now + max(delay, timeout-lastMigrationLead)}
	if state.outOfService { // the sessions are due by the end of the operators' drain
		window = window.orEarlier(l.operatorsDrain(state))
	}
	l.drain(window)
	l.relay.SetMigrationDeadline(timeout)
	l.after(timeout, l.endPendingSessions)
	if sharesListener {
		l.after(timeout, l.rejectSilentClients)
		l.notifyWhenEmpty(done)
	}
}

// endPendingSessions ends the sessions that still wait for a server at the end of a shutdown, as their deadlines may be later. The
// policy rejects them, or fails those that a server may have served.
func (l *Loop) endPendingSessions() {
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

// notifyWhenEmpty calls done once the balancer is empty.
func (l *Loop) notifyWhenEmpty(done func()) {
	if !l.isEmpty() || !l.closeServiceState() {
		l.after(emptyCheckInterval, func() { l.notifyWhenEmpty(done) })
		return
	}
	if l.handover != nil && l.handover.unconfirmed > 0 {
		l.log.Warn("shut down with handovers that the successor has not confirmed", zap.Int("connections", l.handover.unconfirmed))
	}
	done()
}

// isEmpty reports whether no session, no connection and no pending handover is left.
func (l *Loop) isEmpty() bool {
	if len(l.sessions) > 0 || l.descriptors.Load() > 0 {
		return false
	}
	return l.handover == nil || l.handover.pending == 0
}
