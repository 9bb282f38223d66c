package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/policy"
)

// This file estimates the load of servers that report none, from the response times of their probes: at a busy server, a probe waits in
// a queue. It makes no decisions: the estimates are passed to the policy as load reports.

const (
	// loadSlope is the load, relative to the server's capacity, at which queueing accounts for all of a probe's time. It is above 1, as
	// a server at full capacity still answers probes.
	loadSlope = 2.5
	// maxMachineSlowdown and maxFleetSlowdown are how much slower than the median machine, and than the fastest one, a server's machine
	// may be. Any further slowdown is due to a queue.
	maxMachineSlowdown = 2
	maxFleetSlowdown   = 4
	// negligibleDivisor sets the probe time below which a server counts as unloaded: 1/100 of the shortest message objective. Shorter
	// times may be due to the balancer's own machine.
	negligibleDivisor = 100
	// recheckLoad is the load by a single probe at which the server is probed again at once.
	recheckLoad = 0.85
	// reestimateWindow is how long after a probe its load is estimated again when more is known about the other servers.
	reestimateWindow = time.Second

	stepsPerDoubling = 2.0  // number of speed steps between a machine and one that is twice as fast
	maxSpeedStep     = 4    // maximum number of speed steps above or below the median machine
	speedHysteresis  = 0.75 // minimum change in speed steps; each new weight makes the policy rebuild a table

	keptShortestTimes = 3 // number of shortest probe times that are kept for each server
)

// probeTimes holds the response times of one server's probes.
type probeTimes struct {
	last     time.Duration
	previous time.Duration   // response time of the probe before the last one, 0 if there was none
	endedAt  time.Duration   // loop time at which the last probe ended
	shortest []time.Duration // the keptShortestTimes shortest times, in ascending order
}

// recentTime returns the server's current probe time: the shorter of the last two times, as a probe may have waited for the probes of
// other balancers. A time that is longer than all of these can explain counts without a second probe.
func (t *probeTimes) recentTime(balancers int, unloaded time.Duration) time.Duration {
	if t.previous == 0 {
		return t.last
	}
	return max(min(t.last, t.previous), t.last-time.Duration(balancers)*unloaded)
}

// idleTime returns the probe time of the server when it is idle: the longest of the shortest times, as some are short by chance.
func (t *probeTimes) idleTime() time.Duration { return t.shortest[len(t.shortest)-1] }

// unloadedTime returns the probe time of the server without load. idle holds the idle times of all servers, in ascending order. The
// result is limited to that of a slow machine relative to the median and to the fastest one, as a server that was busy from the start
// was never seen idle.
func (t *probeTimes) unloadedTime(idle []time.Duration) time.Duration {
	return min(t.idleTime(), maxMachineSlowdown*median(idle), maxFleetSlowdown*idle[0])
}

func median(sorted []time.Duration) time.Duration { return sorted[(len(sorted)-1)/2] }

// add records the time of a probe that has ended at the loop time now.
func (t *probeTimes) add(elapsed, now time.Duration) {
	t.previous = t.last
	t.last = max(elapsed, time.Microsecond)
	t.endedAt = now
}

// keepShortest adds the last time to the shortest times if it is one of them.
func (t *probeTimes) keepShortest() {
	t.shortest = append(t.shortest, t.last)
	slices.Sort(t.shortest)
	t.shortest = t.shortest[:min(len(t.shortest), keptShortestTimes)]
}

// weight returns the server's weight in the endpoint list, corrected by the speed of its machine, as the listed weight may reflect only
// the number of cores.
func (u *upstream) weight() float64 {
	return u.entry.Weight * math.Exp2(float64(u.speedStep)/stepsPerDoubling)
}

// estimateLoad records the time of a server's probe and returns the server's load relative to its capacity. The load of a server that
// is warming up is unknown, as its probes are slow for another reason.
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
	load = l.loadFromProbes(times, idle)
	if load < recheckLoad && l.loadFromTimes(times.last, l.unloadedTime(times, idle)) >= recheckLoad {
		l.policy.RequestHealthCheck(server.id) // otherwise only the next regular probe, seconds later, would confirm the queue
	}
	return load, true
}

// idleTimes returns the known idle times of all ready servers, in ascending order.
func (l *Loop) idleTimes() []time.Duration {
	var idle []time.Duration
	for _, server := range l.servers {
		if server.state == policy.Ready && len(server.probeTimes.shortest) > 0 {
			idle = append(idle, server.probeTimes.idleTime())
		}
	}
	slices.Sort(idle)
	return idle
}

// updateSpeeds updates the speed of a server's machine, once the idle times of more than half of the servers are known. The median
// probe time can only decrease. When it does, all servers are updated.
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

// updateSpeedStep sets the speed step of a server's machine if it has changed by more than speedHysteresis.
func (l *Loop) updateSpeedStep(server *upstream, idle []time.Duration) {
	if len(server.probeTimes.shortest) == 0 || l.isWarmingUp(server) {
		return
	}
	speed := stepsPerDoubling * math.Log2(l.medianProbeTime.Seconds()/server.probeTimes.unloadedTime(idle).Seconds())
	speed = max(-maxSpeedStep, min(speed, maxSpeedStep))
	if math.Abs(speed-float64(server.speedStep)) <= speedHysteresis {
		return
	}
	server.speedStep = int(math.Round(speed))
	l.log.Debug("machine speed changed", zap.String("server", server.entry.UID), zap.Int("steps", server.speedStep))
	l.policy.SetWeight(server.id, server.weight())
}

// loadFromProbes returns a server's load relative to its capacity, by its newest probes. idle holds the idle times of all servers, in
// ascending order.
func (l *Loop) loadFromProbes(times *probeTimes, idle []time.Duration) float64 {
	unloaded := l.unloadedTime(times, idle)
	return l.loadFromTimes(times.recentTime(l.deployment.Policy.Balancers, unloaded), unloaded)
}

// unloadedTime returns the probe time of a server without load. idle may be empty.
func (l *Loop) unloadedTime(times *probeTimes, idle []time.Duration) time.Duration {
	if len(idle) == 0 {
		return times.idleTime()
	}
	return times.unloadedTime(idle)
}

// loadFromTimes returns the load, relative to its capacity, of a server at which a probe takes elapsed now and unloaded without load.
func (l *Loop) loadFromTimes(elapsed, unloaded time.Duration) float64 {
	if negligibleDivisor*elapsed < l.messageObjective {
		return 0
	}
	return max(0, loadSlope*(1-unloaded.Seconds()/elapsed.Seconds()))
}

// reestimate estimates the load again from a server's newest probe when more is known about the other servers: the first probe of a
// busy server can't be told from that of an idle one.
func (l *Loop) reestimate(server *upstream, idle []time.Duration) {
	times := &server.probeTimes
	isRecent := len(times.shortest) > 0 && l.now-times.endedAt < reestimateWindow
	if !isRecent || server.state != policy.Ready || l.isWarmingUp(server) {
		return
	}
	load := l.loadFromProbes(times, idle)
	l.log.Debug("load estimated",
		zap.String("server", server.entry.UID),
		zap.Float64("load", load),
		zap.Duration("took", times.last))
	report := policy.NoLoadReport
	report.Demand = load
	l.policy.RecordLoadReport(server.id, report)
}

// isWarmingUp reports whether a server is in its slow-start window.
func (l *Loop) isWarmingUp(server *upstream) bool {
	boot := server.entry.StartedAt
	return !boot.IsZero() && l.now-boot.Sub(l.startTime) < l.deployment.Policy.SlowStartWindow
}
