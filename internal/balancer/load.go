// This file owns the guess at how loaded servers are, where they report nothing: from how long their probes
// take. Guards against blindness: lines of clients come back at once from jammed servers too, while a probe waits
// its turn. It must never decide what follows from a guess; it goes to the module as any other load report.

package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/policy"
)

const (
	steep   = 2.5 // by which a guess rises over what the probe has waited: it gets its turn at a full server too
	slowest = 2   // so many times slower than the middle one a server may be by its machine alone,
	against = 4   // and so many times slower than the fastest: more is a queue that never ends
	trifle  = 100 // a probe that takes under so-many-th of the shortest message goal tells of no load
	paces   = 2.0 // steps of pace in which a machine is twice as fast
	paceFar = 4   // steps that a machine may be from the middle one
)

// timed is what probes of one server took.
type timed struct {
	last, before time.Duration
	low          []time.Duration // the three shortest, the shortest first
}

// took is the newest figure: the less of two, as a probe may have waited for those of other balancers; what is
// longer than all of them together tells at once.
func (t *timed) took(peers int, alone time.Duration) time.Duration {
	if t.before == 0 {
		return t.last
	}
	return max(min(t.last, t.before), t.last-time.Duration(peers)*alone)
}

// idle is what a probe takes while there is nothing else to do: the third shortest, as some are short by luck.
func (t *timed) idle() time.Duration { return t.low[len(t.low)-1] }

// heft is what the list gives a server, for a machine that is as fast as its probes show. Guards against slow
// machines that get as many connections as fast ones: the list may know no more than their cores.
func (sv *server) heft() float64 { return sv.listedAs.Heft * math.Exp2(float64(sv.pace)/paces) }

// weigh has a server's heft follow its pace against the middle machine, once half of them have shown theirs. A step is
// taken when it is well passed: each new heft makes a new version. The middle machine only gets faster: where the first
// probes met a busy hour, or this balancer's own start, all are weighed anew.
func (l *Loop) weigh(sv *server, idle []time.Duration) {
	middle := idle[(len(idle)-1)/2]
	switch {
	case 2*len(idle) <= len(l.servers):
	case l.middle == 0 || middle < l.middle:
		l.middle = middle
		for _, id := range slices.Sorted(maps.Keys(l.servers)) {
			l.step(l.servers[id], idle)
		}
	default:
		l.step(sv, idle)
	}
}

func (l *Loop) step(sv *server, idle []time.Duration) {
	if len(sv.timed.low) == 0 || l.cold(sv) {
		return
	}
	at := paces * math.Log2(l.middle.Seconds()/sv.timed.alone(idle).Seconds())
	at = max(-paceFar, min(at, paceFar))
	if math.Abs(at-float64(sv.pace)) > 0.75 {
		sv.pace = int(math.Round(at))
		l.log.Debug("pace", zap.String("server", sv.listedAs.UID), zap.Int("steps", sv.pace))
		l.bal.Weighed(sv.id, sv.heft())
	}
}

// alone is what a probe takes there while nothing else is done: what was seen, but no longer than a slow machine's against
// the middle one and the fastest of the idle times, sorted. A server that was full from the start was never seen idle.
func (t *timed) alone(idle []time.Duration) time.Duration {
	return min(t.idle(), slowest*idle[(len(idle)-1)/2], against*idle[0])
}

// guess takes what a probe of a server took and answers its load over capacity. Of a server that warms up nothing is
// said: its probes are slow for another reason.
func (l *Loop) guess(sv *server, took time.Duration) (float64, bool) {
	t := &sv.timed
	t.before, t.last = t.last, max(took, time.Microsecond)
	if l.cold(sv) {
		return 0, false
	}
	t.low = append(t.low, t.last)
	slices.Sort(t.low)
	t.low = t.low[:min(len(t.low), 3)]
	var idle []time.Duration
	for _, other := range l.servers {
		if other.state == policy.Ready && len(other.timed.low) > 0 {
			idle = append(idle, other.timed.idle())
		}
	}
	slices.Sort(idle)
	alone := t.idle()
	if len(idle) > 0 {
		alone = t.alone(idle)
		l.weigh(sv, idle)
	}
	figure := t.took(l.dep.Policy.Peers, alone)
	if trifle*figure < l.goal { // what is so short may be this machine's own doing
		return 0, true
	}
	return max(0, steep*(1-alone.Seconds()/figure.Seconds())), true
}

// cold tells whether a server still warms up.
func (l *Loop) cold(sv *server) bool {
	boot := sv.listedAs.Boot
	return !boot.IsZero() && l.now-boot.Sub(l.start) < l.dep.Policy.ColdFor
}
