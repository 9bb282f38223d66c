package balancer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/policy"
)

const (
	// A server that was sent a line and says nothing for silenceObjectives message objectives, within these bounds, is taken for gone:
	// a machine that vanishes leaves its connections open.
	silenceObjectives    = 8
	minSilenceTimeout    = 2 * time.Second
	maxSilenceTimeout    = 5 * time.Second
	silenceCheckInterval = 250 * time.Millisecond

	slowReportInterval = time.Second
	// slowDivisor is the part of the shortest message objective, as a divisor, above which messages are slow.
	slowDivisor = 3
)

// migrateSilent migrates the clients of servers that were sent a line and say nothing, and schedules itself again.
func (l *Loop) migrateSilent() {
	l.after(silenceCheckInterval, l.migrateSilent)
	for _, pair := range l.relay.SilentPairs(l.silenceTimeout()) {
		if session := pair.Data.(*session); l.isCurrent(session) {
			l.SilentServers.Add(1)
			l.migrate(session, policy.Reset)
		}
	}
}

func (l *Loop) silenceTimeout() time.Duration {
	if l.messageObjective == 0 {
		return maxSilenceTimeout
	}
	return max(minSilenceTimeout, min(silenceObjectives*l.messageObjective, maxSilenceTimeout))
}

// reportSlowServers reports to the policy the servers at which messages take long, at each interval while they do and once more when
// they no longer do, and schedules itself again.
func (l *Loop) reportSlowServers() {
	l.after(slowReportInterval, l.reportSlowServers)
	threshold := l.messageObjective / slowDivisor
	times := l.relay.CollectResponseTimes(threshold)
	if l.messageObjective == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(times)) {
		if server := l.servers[policy.EndpointID(id)]; server != nil && len(times[id]) > 0 {
			l.reportIfSlow(server, times[id], threshold)
		}
	}
}

// reportIfSlow reports the median of a server's response times. A line without an answer counts with its age once that is above the
// threshold.
func (l *Loop) reportIfSlow(server *upstream, times []time.Duration, threshold time.Duration) {
	slices.Sort(times)
	median := times[len(times)/2]
	slow := median > threshold
	if !slow && !server.reportedSlow {
		return
	}
	l.policy.RecordLatency(server.id, median)
	l.log.Debug("slow messages",
		zap.String("server", server.listed.UID),
		zap.Duration("take", median),
		zap.Int("of", len(times)))
	server.reportedSlow = slow
}
