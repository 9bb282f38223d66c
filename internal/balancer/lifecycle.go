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
	drainFrom   = 400 * time.Millisecond  // so long clients still come after a no; who is moved before would come back
	emptyEach   = 20 * time.Millisecond   // how often an old process looks whether it holds nothing
	drainWithin = 3500 * time.Millisecond // and nothing is held after this, with room before the 4 s that are owed
)

var (
	errStarting = errors.New("starting: the list of servers has not come yet")
	errLeaving  = errors.New("leaving: this process was told to end and takes no clients any more")
)

// service is what is wanted of this process. Whoever asks never waits for the loop.
type service struct {
	out       bool // an operator wants it empty,
	inherited bool // and wanted so of the process before this one, which may be replaced all the same
	leaving   bool // it ends, whatever operators want
}

// Ready tells whether clients are welcome: nil, or why not.
func (l *Loop) Ready() error {
	l.wanted.Lock()
	defer l.wanted.Unlock()
	switch {
	case l.service.leaving:
		return errLeaving
	case l.service.out && !l.service.inherited:
		return fmt.Errorf("out of service: told by an operator, %d circuits open", l.Open.Load())
	}
	select {
	case <-l.welcomed:
		return nil
	default:
		return errStarting
	}
}

func (l *Loop) isOut() bool {
	l.wanted.Lock()
	defer l.wanted.Unlock()
	return l.service.out
}

func (l *Loop) isLeaving() bool {
	l.wanted.Lock()
	defer l.wanted.Unlock()
	return l.service.leaving
}

// OutOfService has the balancer emptied; it goes on running. What is asked after it has answered finds it so: its
// post stands in the inbox before theirs.
func (l *Loop) OutOfService() error { return l.setOut(true) }

// InService has it take clients again, whatever is left of the emptying.
func (l *Loop) InService() error { return l.setOut(false) }

func (l *Loop) setOut(out bool) error {
	l.wanted.Lock()
	defer l.wanted.Unlock()
	switch {
	case l.service.leaving && out: // it empties as it is
		return nil
	case l.service.leaving:
		return errLeaving
	case l.service == service{out: out}: // an inherited drain is no call to this process
		return nil
	}
	l.service.out, l.service.inherited = out, false
	l.post(event{do: func() { // in the order of the calls, as they hold the lock
		if out {
			l.Drains.Add(1)
			l.log.Info("out of service", zap.Duration("within", drainWithin), zap.Int("open", l.open), zap.Int("held", len(l.circuits)))
			l.empty(drainFrom, drainWithin)
			return
		}
		l.log.Info("in service", zap.Int("open", l.open))
		l.bal.StopDraining()
	}})
	return nil
}

// AwaitWord has the balancer not be ready before Recalled, or a span, is over. It is called before Run.
func (l *Loop) AwaitWord(within time.Duration) {
	l.awaits = true
	l.after(within, func() {
		if l.awaits {
			l.log.Warn("ready without its operators' word of before: nobody who holds it has answered", zap.Duration("within", within))
			l.heard()
		}
	})
}

// Recalled takes what operators said last of this balancer, to whichever of its processes: out of service, or not. What they have told
// this process itself wins over it.
func (l *Loop) Recalled(out bool) {
	l.post(event{do: func() {
		l.wanted.Lock()
		take := out && l.service == (service{})
		if take {
			l.service.out = true
		}
		l.wanted.Unlock()
		if take {
			l.Drains.Add(1)
			l.log.Info("out of service, by its operators' word of before")
			l.empty(drainFrom, drainWithin)
		}
		l.heard()
	}})
}

func (l *Loop) heard() {
	if l.awaits = false; l.due {
		l.welcome()
	}
}

// inheritOut has this process begin out of service, as the one before it was told.
func (l *Loop) inheritOut() {
	l.wanted.Lock()
	defer l.wanted.Unlock()
	if l.service == (service{}) { // it was told nothing itself meanwhile
		l.service = service{out: true, inherited: true}
		l.empty(drainFrom, drainWithin)
	}
}

// Leave tells of the process's end: all that is held goes, from the one time from now to the other. There is no way back.
// Where the listener is shared no client comes any more, and done is called once nothing is held; until then clients
// without a line are waited for, up to the end.
func (l *Loop) Leave(from, within time.Duration, done func()) {
	g := l.gate.Load()
	if g != nil {
		from = 0
		g.shut.Store(true)
	}
	l.wanted.Lock()
	defer l.wanted.Unlock()
	l.service.leaving = true
	l.post(event{do: func() {
		l.log.Info("leaving", zap.Duration("within", within), zap.Bool("shared", g != nil), zap.Int("open", l.open),
			zap.Int("held", len(l.circuits)))
		if s := l.succession; s != nil && s.heir != nil {
			from = passWithin
		}
		if l.takesAll() != nil {
			l.passAll()
		}
		l.empty(from, within)
		l.after(within, l.answerAll)
		if g != nil {
			l.after(within, l.turnAway)
			l.emptied(done)
		}
	}})
}

// answerAll ends what still waits for a server when a process that leaves has to be done: the module nacks it, or breaks it off
// where it may have run. Guards against circuits with outer limits that are longer than a process has.
func (l *Loop) answerAll() {
	for _, id := range slices.Sorted(maps.Keys(l.circuits)) {
		switch cir := l.circuits[id]; {
		case cir.standing:
			l.giveUp(cir, protocol.ErrLine)
		case cir.out:
			l.timeIsUp(cir, errLeaving)
		}
	}
}

// emptied looks again and again whether nothing is held any more.
func (l *Loop) emptied(done func()) {
	if s := l.succession; len(l.circuits) == 0 && l.fds.Load() == 0 && (s == nil || s.unsettled == 0) {
		if s != nil && s.left > 0 {
			l.log.Warn("left with a new process that has not confirmed them", zap.Int("connections", s.left))
		}
		done()
		return
	}
	l.after(emptyEach, func() { l.emptied(done) })
}

// empty has all that is held go.
func (l *Loop) empty(from, within time.Duration) {
	l.bal.StartDraining(l.now+from, l.now+within)
	for _, cir := range l.circuits {
		if cir.standing { // waits for its server for longer than there is time
			l.giveUp(cir, protocol.ErrLine)
		}
	}
}

// pong answers a question for readiness once the list is here: yes or no.
func (l *Loop) pong() []byte {
	if l.isOut() {
		return protocol.NoLine
	}
	return protocol.PongLine
}
