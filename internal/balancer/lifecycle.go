// This file owns whether the balancer is in service: what it tells who asks, and the one way out, which drain, SIGTERM and
// upgrade share, and back. It must never move a circuit itself: the module decides who goes when.

package balancer

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
)

const (
	drainDelay         = 400 * time.Millisecond  // so long clients still come after a no; who is moved before would come back
	emptyCheckInterval = 20 * time.Millisecond   // how often an old process looks whether it holds nothing
	drainTimeout       = 3500 * time.Millisecond // and nothing is held after this, with room before the 4 s that are owed
)

var (
	errStarting     = errors.New("starting: the list of servers has not come yet")
	errShuttingDown = errors.New("leaving: this process was told to end and takes no clients any more")
)

// serviceState is what is wanted of this process. Whoever asks never waits for the loop.
type serviceState struct {
	outOfService bool // an operator wants it empty,
	inherited    bool // and wanted so of the process before this one, which may be replaced all the same
	shuttingDown bool // it ends, whatever operators want
}

// Ready tells whether clients are welcome: nil, or why not.
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

// OutOfService has the balancer emptied; it goes on running. What is asked after it has answered finds it so: its
// post stands in the inbox before theirs.
func (l *Loop) OutOfService() error { return l.setOutOfService(true) }

// InService has it take clients again, whatever is left of the emptying.
func (l *Loop) InService() error { return l.setOutOfService(false) }

func (l *Loop) setOutOfService(out bool) error {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	switch {
	case l.service.shuttingDown && out: // it empties as it is
		return nil
	case l.service.shuttingDown:
		return errShuttingDown
	case l.service == serviceState{outOfService: out}: // an inherited drain is no call to this process
		return nil
	}
	l.service.outOfService, l.service.inherited = out, false
	l.post(event{run: func() { // in the order of the calls, as they hold the lock
		if out {
			l.Drains.Add(1)
			l.log.Info("out of service", zap.Duration("within", drainTimeout), zap.Int("open", l.openSessions), zap.Int("held", len(l.sessions)))
			l.drain(drainDelay, drainTimeout)
			return
		}
		l.log.Info("in service", zap.Int("open", l.openSessions))
		l.policy.StopDraining()
	}})
	return nil
}

// AwaitServiceState has the balancer not be ready before Recalled, or a span, is over. It is called before Run.
func (l *Loop) AwaitServiceState(within time.Duration) {
	l.awaitsServiceState = true
	l.after(within, func() {
		if l.awaitsServiceState {
			l.log.Warn("ready without its operators' word of before: nobody who holds it has answered", zap.Duration("within", within))
			l.serviceStateKnown()
		}
	})
}

// RestoreServiceState takes what operators said last of this balancer, to whichever of its processes: out of service, or not. What they have told
// this process itself wins over it.
func (l *Loop) RestoreServiceState(out bool) {
	l.post(event{run: func() {
		l.serviceMu.Lock()
		take := out && l.service == (serviceState{})
		if take {
			l.service.outOfService = true
		}
		l.serviceMu.Unlock()
		if take {
			l.Drains.Add(1)
			l.log.Info("out of service, by its operators' word of before")
			l.drain(drainDelay, drainTimeout)
		}
		l.serviceStateKnown()
	}})
}

func (l *Loop) serviceStateKnown() {
	if l.awaitsServiceState = false; l.readyDue {
		l.markReady()
	}
}

// inheritOutOfService has this process begin out of service, as the one before it was told.
func (l *Loop) inheritOutOfService() {
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	if l.service == (serviceState{}) { // it was told nothing itself meanwhile
		l.service = serviceState{outOfService: true, inherited: true}
		l.drain(drainDelay, drainTimeout)
	}
}

// Shutdown tells of the process's end: all that is held goes, from the one time from now to the other. There is no way back.
// Where the listener is shared no client comes any more, and done is called once nothing is held; until then clients
// without a line are waited for, up to the end.
func (l *Loop) Shutdown(from, within time.Duration, done func()) {
	g := l.listener.Load()
	if g != nil {
		from = 0
		g.stopped.Store(true)
	}
	l.serviceMu.Lock()
	defer l.serviceMu.Unlock()
	l.service.shuttingDown = true
	l.post(event{run: func() {
		l.log.Info("leaving", zap.Duration("within", within), zap.Bool("shared", g != nil), zap.Int("open", l.openSessions),
			zap.Int("held", len(l.sessions)))
		if s := l.handover; s != nil && s.successor != nil {
			from = handoverTimeout
		}
		if l.readySuccessor() != nil {
			l.handOverAll()
		}
		l.drain(from, within)
		l.after(within, l.endWaiting)
		if g != nil {
			l.after(within, l.rejectSilent)
			l.notifyWhenEmpty(done)
		}
	}})
}

// endWaiting ends what still waits for a server when a process that leaves has to be done: the module nacks it, or breaks it off
// where it may have run. Guards against circuits with outer limits that are longer than a process has.
func (l *Loop) endWaiting() {
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		switch cir := l.sessions[id]; {
		case cir.reattaching:
			l.failSession(cir, protocol.ErrLine)
		case cir.attemptActive:
			l.attemptTimedOut(cir, errShuttingDown)
		}
	}
}

// notifyWhenEmpty looks again and again whether nothing is held any more.
func (l *Loop) notifyWhenEmpty(done func()) {
	if s := l.handover; len(l.sessions) == 0 && l.descriptors.Load() == 0 && (s == nil || s.unsettled == 0) {
		if s != nil && s.unconfirmed > 0 {
			l.log.Warn("left with a new process that has not confirmed them", zap.Int("connections", s.unconfirmed))
		}
		done()
		return
	}
	l.after(emptyCheckInterval, func() { l.notifyWhenEmpty(done) })
}

// drain has all that is held go.
func (l *Loop) drain(from, within time.Duration) {
	l.policy.StartDraining(l.now+from, l.now+within)
	for _, cir := range l.sessions {
		if cir.reattaching { // waits for its server for longer than there is time
			l.failSession(cir, protocol.ErrLine)
		}
	}
}

// readinessLine answers a question for readiness once the list is here: yes or no.
func (l *Loop) readinessLine() []byte {
	if l.isOutOfService() {
		return protocol.NoLine
	}
	return protocol.PongLine
}
