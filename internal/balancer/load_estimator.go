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
	steep   = 2.5         // by which a guess rises over what the probe has waited: it gets its turn at a full server too
	slowest = 2           // so many times slower than the middle one a server may be by its machine alone,
	against = 4           // and so many times slower than the fastest: more is a queue that never ends
	trifle  = 100         // a probe that takes under so-many-th of the shortest message goal tells of no load
	paces   = 2.0         // steps of pace in which a machine is twice as fast
	doubtAt = 0.85        // a load of which one probe tells and the one before did not is asked for again at once
	anewIn  = time.Second // a probe that ended so long ago is judged anew once more is known
	paceFar = 4           // steps that a machine may be from the middle one
)

// timed is what probes of one server took.
type timed struct {
	last, before time.Duration
	at           time.Duration   // when the last ended
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
			l.judgeAnew(l.servers[id], sv, idle)
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
		l.bal.SetWeight(sv.id, sv.heft())
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
	t.before, t.last, t.at = t.last, max(took, time.Microsecond), l.now
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
	if len(idle) > 0 {
		l.weigh(sv, idle)
	}
	load := l.figure(t, idle)
	if load < doubtAt && l.told(t.last, l.alone(t, idle)) >= doubtAt {
		l.bal.RequestHealthCheck(sv.id) // guards against a queue that is seen only by the second long probe, seconds later
	}
	return load, true
}

// figure is the load over capacity that the newest probes tell of, against the idle times of all, sorted.
func (l *Loop) figure(t *timed, idle []time.Duration) float64 {
	alone := l.alone(t, idle)
	return l.told(t.took(l.dep.Policy.Balancers, alone), alone)
}

func (l *Loop) alone(t *timed, idle []time.Duration) time.Duration {
	if len(idle) == 0 {
		return t.idle()
	}
	return t.alone(idle)
}

// told is the load over capacity where a probe takes so long, and so long while there is nothing else to do.
func (l *Loop) told(took, alone time.Duration) float64 {
	if trifle*took < l.goal { // what is so short may be this machine's own doing
		return 0
	}
	return max(0, steep*(1-alone.Seconds()/took.Seconds()))
}

// judgeAnew judges a server's newest probe anew, now that the others have shown what is usual. Guards against a fleet that is
// full from the start: the first probe of a jammed server was taken for its usual one, and nothing left it for two seconds.
func (l *Loop) judgeAnew(sv, but *server, idle []time.Duration) {
	if t := &sv.timed; sv != but && len(t.low) > 0 && l.now-t.at < anewIn && sv.state == policy.Ready && !l.cold(sv) {
		load := l.figure(t, idle)
		l.log.Debug("guess", zap.String("server", sv.listedAs.UID), zap.Float64("load", load), zap.Duration("took", t.last))
		l.bal.RecordLoadReport(sv.id, policy.LoadReport{Demand: load, Backlog: -1, Utilization: -1})
	}
}

// cold tells whether a server still warms up.
func (l *Loop) cold(sv *server) bool {
	boot := sv.listedAs.Boot
	return !boot.IsZero() && l.now-boot.Sub(l.start) < l.dep.Policy.SlowStartWindow
}
