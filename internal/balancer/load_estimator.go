package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/policy"
)

// This file estimates how loaded servers are where they report no load, from how long their probes take: a probe waits its turn at a
// busy server. It decides nothing: estimates go to the policy as load reports.

const (
	// loadSlope is the load over capacity at which a probe has done nothing but wait. It is above 1, as a probe gets its turn at a
	// full server too.
	loadSlope = 2.5
	// A server may be this much slower than the median one, and than the fastest one, by its machine alone. More is a queue.
	maxMachineSlowdown = 2
	maxFleetSlowdown   = 4
	// negligibleDivisor is the part of the shortest message objective, as a divisor, below which a probe's time shows no load: it may
	// be this machine's own doing.
	negligibleDivisor = 100
	// recheckLoad is the load of a single probe at which the server is probed again at once.
	recheckLoad = 0.85
	// reestimateWindow is how long after a probe's end its load is estimated anew once more is known of the others.
	reestimateWindow = time.Second

	stepsPerDoubling = 2.0  // speed steps by which a machine is twice as fast
	maxSpeedStep     = 4    // above or below the median machine
	speedHysteresis  = 0.75 // steps; each new weight makes the policy build a new table

	keptShortestTimes = 3
)

// probeTimes is how long probes of one server have taken.
type probeTimes struct {
	last     time.Duration
	previous time.Duration
	endedAt  time.Duration   // of the last probe
	shortest []time.Duration // the keptShortestTimes shortest, in ascending order
}

// observed returns the newest time: the lower of two, as a probe may have waited for those of other balancers. What is longer than all
// of those together counts at once.
func (t *probeTimes) observed(balancers int, unloaded time.Duration) time.Duration {
	if t.previous == 0 {
		return t.last
	}
	return max(min(t.last, t.previous), t.last-time.Duration(balancers)*unloaded)
}

// idle returns how long a probe takes at an idle server: the longest of the shortest times, as some are short by luck.
func (t *probeTimes) idle() time.Duration { return t.shortest[len(t.shortest)-1] }

// unloaded returns how long a probe takes at the server when it is idle, given the idle times of all, in ascending order. It is no more
// than a slow machine's against the median and the fastest one: a server that was busy from the start was never seen idle.
func (t *probeTimes) unloaded(idle []time.Duration) time.Duration {
	return min(t.idle(), maxMachineSlowdown*median(idle), maxFleetSlowdown*idle[0])
}

func median(sorted []time.Duration) time.Duration { return sorted[(len(sorted)-1)/2] }

// add adds the time of a probe that ended now.
func (t *probeTimes) add(elapsed, now time.Duration) {
	t.previous = t.last
	t.last = max(elapsed, time.Microsecond)
	t.endedAt = now
}

// keepShortest keeps the last time if it is one of the shortest.
func (t *probeTimes) keepShortest() {
	t.shortest = append(t.shortest, t.last)
	slices.Sort(t.shortest)
	t.shortest = t.shortest[:min(len(t.shortest), keptShortestTimes)]
}

// weight returns the listed weight of a server, corrected by the speed of its machine: the list may know no more than its cores.
func (u *upstream) weight() float64 {
	return u.listed.Weight * math.Exp2(float64(u.speedStep)/stepsPerDoubling)
}

// estimateLoad records how long a probe of a server took and returns its load over capacity. Of a server that warms up nothing is known:
// its probes are slow for another reason.
func (l *Loop) estimateLoad(server *upstream, elapsed time.Duration) (load float64, known bool) {
	times := &server.probeTimes
	times.add(elapsed, l.now)
	if l.isWarmingUp(server) {
		return 0, false
	}
	times.keepShortest()
	idle := l.idleTimes()
	if len(idle) > 0 {
		l.updateSpeeds(server, idle)
	}
	load = l.loadOf(times, idle)
	if load < recheckLoad && l.loadFromTimes(times.last, l.unloadedTime(times, idle)) >= recheckLoad {
		l.policy.RequestHealthCheck(server.id) // a queue would be seen only by the next probe, seconds later
	}
	return load, true
}

// idleTimes returns the idle times of all ready servers that are known, in ascending order.
func (l *Loop) idleTimes() []time.Duration {
	var idle []time.Duration
	for _, server := range l.servers {
		if server.state == policy.Ready && len(server.probeTimes.shortest) > 0 {
			idle = append(idle, server.probeTimes.idle())
		}
	}
	slices.Sort(idle)
	return idle
}

// updateSpeeds updates the speed of a server's machine, once more than half of the idle times are known. The median machine only gets
// faster: when it does, all servers are updated.
func (l *Loop) updateSpeeds(server *upstream, idle []time.Duration) {
	if 2*len(idle) <= len(l.servers) {
		return
	}
	newMedian := median(idle)
	if l.medianProbeTime > 0 && newMedian >= l.medianProbeTime {
		l.updateSpeedStep(server, idle)
		return
	}
	l.medianProbeTime = newMedian
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		other := l.servers[id]
		l.updateSpeedStep(other, idle)
		if other != server {
			l.reestimate(other, idle)
		}
	}
}

// updateSpeedStep sets the speed step of a server's machine if it has clearly changed.
func (l *Loop) updateSpeedStep(server *upstream, idle []time.Duration) {
	if len(server.probeTimes.shortest) == 0 || l.isWarmingUp(server) {
		return
	}
	speed := stepsPerDoubling * math.Log2(l.medianProbeTime.Seconds()/server.probeTimes.unloaded(idle).Seconds())
	speed = max(-maxSpeedStep, min(speed, maxSpeedStep))
	if math.Abs(speed-float64(server.speedStep)) <= speedHysteresis {
		return
	}
	server.speedStep = int(math.Round(speed))
	l.log.Debug("pace", zap.String("server", server.listed.UID), zap.Int("steps", server.speedStep))
	l.policy.SetWeight(server.id, server.weight())
}

// loadOf returns the load over capacity that the newest probes show, given the idle times of all, in ascending order.
func (l *Loop) loadOf(times *probeTimes, idle []time.Duration) float64 {
	unloaded := l.unloadedTime(times, idle)
	return l.loadFromTimes(times.observed(l.deployment.Policy.Balancers, unloaded), unloaded)
}

func (l *Loop) unloadedTime(times *probeTimes, idle []time.Duration) time.Duration {
	if len(idle) == 0 {
		return times.idle()
	}
	return times.unloaded(idle)
}

// loadFromTimes returns the load over capacity of a server at which a probe takes elapsed, and unloaded when the server is idle.
func (l *Loop) loadFromTimes(elapsed, unloaded time.Duration) float64 {
	if negligibleDivisor*elapsed < l.messageObjective {
		return 0
	}
	return max(0, loadSlope*(1-unloaded.Seconds()/elapsed.Seconds()))
}

// reestimate estimates the load from a server's newest probe anew, now that more is known of the others: the first probe of a busy
// server looks like an idle one's.
func (l *Loop) reestimate(server *upstream, idle []time.Duration) {
	times := &server.probeTimes
	isRecent := len(times.shortest) > 0 && l.now-times.endedAt < reestimateWindow
	if !isRecent || server.state != policy.Ready || l.isWarmingUp(server) {
		return
	}
	load := l.loadOf(times, idle)
	l.log.Debug("guess",
		zap.String("server", server.listed.UID),
		zap.Float64("load", load),
		zap.Duration("took", times.last))
	report := policy.NoLoadReport
	report.Demand = load
	l.policy.RecordLoadReport(server.id, report)
}

// isWarmingUp reports whether a server is in its slow-start window.
func (l *Loop) isWarmingUp(server *upstream) bool {
	boot := server.listed.StartedAt
	return !boot.IsZero() && l.now-boot.Sub(l.startTime) < l.deployment.Policy.SlowStartWindow
}
