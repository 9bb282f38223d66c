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
	loadSlope          = 2.5         // by which a guess rises over what the probe has waited: it gets its turn at a full server too
	maxMachineSlowdown = 2           // so many times slower than the middle one a server may be by its machine alone,
	maxFleetSlowdown   = 4           // and so many times slower than the fastest: more is a queue that never ends
	negligibleDivisor  = 100         // a probe that takes under so-many-th of the shortest message goal tells of no load
	stepsPerDoubling   = 2.0         // steps of pace in which a machine is twice as fast
	recheckLoad        = 0.85        // a load of which one probe tells and the one before did not is asked for again at once
	reestimateWindow   = time.Second // a probe that ended so long ago is judged anew once more is known
	maxSpeedStep       = 4           // steps that a machine may be from the middle one
)

// probeTimes is what probes of one server took.
type probeTimes struct {
	last, previous time.Duration
	endedAt        time.Duration   // when the last ended
	shortest       []time.Duration // the three shortest, the shortest first
}

// observed is the newest figure: the less of two, as a probe may have waited for those of other balancers; what is
// longer than all of them together tells at once.
func (t *probeTimes) observed(peers int, alone time.Duration) time.Duration {
	if t.previous == 0 {
		return t.last
	}
	return max(min(t.last, t.previous), t.last-time.Duration(peers)*alone)
}

// idle is what a probe takes while there is nothing else to do: the third shortest, as some are short by luck.
func (t *probeTimes) idle() time.Duration { return t.shortest[len(t.shortest)-1] }

// weight is what the list gives a server, for a machine that is as fast as its probes show. Guards against slow
// machines that get as many connections as fast ones: the list may know no more than their cores.
func (sv *upstream) weight() float64 {
	return sv.listed.Heft * math.Exp2(float64(sv.speedStep)/stepsPerDoubling)
}

// updateSpeeds has a server's heft follow its pace against the middle machine, once half of them have shown theirs. A step is
// taken when it is well passed: each new heft makes a new version. The middle machine only gets faster: where the first
// probes met a busy hour, or this balancer's own start, all are weighed anew.
func (l *Loop) updateSpeeds(sv *upstream, idle []time.Duration) {
	middle := idle[(len(idle)-1)/2]
	switch {
	case 2*len(idle) <= len(l.servers):
	case l.medianProbeTime == 0 || middle < l.medianProbeTime:
		l.medianProbeTime = middle
		for _, id := range slices.Sorted(maps.Keys(l.servers)) {
			l.updateSpeedStep(l.servers[id], idle)
			l.reestimate(l.servers[id], sv, idle)
		}
	default:
		l.updateSpeedStep(sv, idle)
	}
}

func (l *Loop) updateSpeedStep(sv *upstream, idle []time.Duration) {
	if len(sv.probeTimes.shortest) == 0 || l.isWarmingUp(sv) {
		return
	}
	at := stepsPerDoubling * math.Log2(l.medianProbeTime.Seconds()/sv.probeTimes.unloaded(idle).Seconds())
	at = max(-maxSpeedStep, min(at, maxSpeedStep))
	if math.Abs(at-float64(sv.speedStep)) > 0.75 {
		sv.speedStep = int(math.Round(at))
		l.log.Debug("pace", zap.String("server", sv.listed.UID), zap.Int("steps", sv.speedStep))
		l.policy.SetWeight(sv.id, sv.weight())
	}
}

// unloaded is what a probe takes there while nothing else is done: what was seen, but no longer than a slow machine's against
// the middle one and the fastest of the idle times, sorted. A server that was full from the start was never seen idle.
func (t *probeTimes) unloaded(idle []time.Duration) time.Duration {
	return min(t.idle(), maxMachineSlowdown*idle[(len(idle)-1)/2], maxFleetSlowdown*idle[0])
}

// estimateLoad takes what a probe of a server took and answers its load over capacity. Of a server that warms up nothing is
// said: its probes are slow for another reason.
func (l *Loop) estimateLoad(sv *upstream, took time.Duration) (float64, bool) {
	t := &sv.probeTimes
	t.previous, t.last, t.endedAt = t.last, max(took, time.Microsecond), l.now
	if l.isWarmingUp(sv) {
		return 0, false
	}
	t.shortest = append(t.shortest, t.last)
	slices.Sort(t.shortest)
	t.shortest = t.shortest[:min(len(t.shortest), 3)]
	var idle []time.Duration
	for _, other := range l.servers {
		if other.state == policy.Ready && len(other.probeTimes.shortest) > 0 {
			idle = append(idle, other.probeTimes.idle())
		}
	}
	slices.Sort(idle)
	if len(idle) > 0 {
		l.updateSpeeds(sv, idle)
	}
	load := l.loadOf(t, idle)
	if load < recheckLoad && l.loadFromTimes(t.last, l.unloadedTime(t, idle)) >= recheckLoad {
		l.policy.RequestHealthCheck(sv.id) // guards against a queue that is seen only by the second long probe, seconds later
	}
	return load, true
}

// loadOf is the load over capacity that the newest probes tell of, against the idle times of all, sorted.
func (l *Loop) loadOf(t *probeTimes, idle []time.Duration) float64 {
	alone := l.unloadedTime(t, idle)
	return l.loadFromTimes(t.observed(l.deployment.Policy.Balancers, alone), alone)
}

func (l *Loop) unloadedTime(t *probeTimes, idle []time.Duration) time.Duration {
	if len(idle) == 0 {
		return t.idle()
	}
	return t.unloaded(idle)
}

// loadFromTimes is the load over capacity where a probe takes so long, and so long while there is nothing else to do.
func (l *Loop) loadFromTimes(took, alone time.Duration) float64 {
	if negligibleDivisor*took < l.messageObjective { // what is so short may be this machine's own doing
		return 0
	}
	return max(0, loadSlope*(1-alone.Seconds()/took.Seconds()))
}

// reestimate judges a server's newest probe anew, now that the others have shown what is usual. Guards against a fleet that is
// full from the start: the first probe of a jammed server was taken for its usual one, and nothing left it for two seconds.
func (l *Loop) reestimate(sv, but *upstream, idle []time.Duration) {
	if t := &sv.probeTimes; sv != but && len(t.shortest) > 0 && l.now-t.endedAt < reestimateWindow && sv.state == policy.Ready && !l.isWarmingUp(sv) {
		load := l.loadOf(t, idle)
		l.log.Debug("guess", zap.String("server", sv.listed.UID), zap.Float64("load", load), zap.Duration("took", t.last))
		l.policy.RecordLoadReport(sv.id, policy.LoadReport{Demand: load, Backlog: -1, Utilization: -1})
	}
}

// isWarmingUp tells whether a server still warms up.
func (l *Loop) isWarmingUp(sv *upstream) bool {
	boot := sv.listed.Boot
	return !boot.IsZero() && l.now-boot.Sub(l.startTime) < l.deployment.Policy.SlowStartWindow
}
