package balancer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/policy"
)

// This file migrates sessions away from servers that have stopped answering, and reports servers with slow responses to the policy.

const (
	// silenceObjectives is the number of message objectives after which a server that was sent a line and has not answered is assumed
	// to be dead, as a machine that fails leaves its connections open. The timeout is between minSilenceTimeout and maxSilenceTimeout.
	silenceObjectives    = 8
	minSilenceTimeout    = 2 * time.Second
	maxSilenceTimeout    = 5 * time.Second
	silenceCheckInterval = 250 * time.Millisecond

	slowReportInterval = time.Second
	// slowDivisor sets the response time above which messages are slow: 1/3 of the shortest message objective.
	slowDivisor = 3
)

// migrateFromSilentServers migrates the sessions whose server was sent a line and has not answered, and schedules itself again.
func (l *Loop) migrateFromSilentServers() {
	l.after(silenceCheckInterval, l.migrateFromSilentServers)
	for _, pair := range l.relay.SilentPairs(l.silenceTimeout()) {
		if session := pair.Data.(*session); l.isCurrent(session) {
			l.SilentServers.Add(1)
			l.migrate(session, policy.Reset)
		}
	}
}

// silenceTimeout returns how long a server may leave a line unanswered.
func (l *Loop) silenceTimeout() time.Duration {
	if l.messageObjective == 0 {
		return maxSilenceTimeout
	}
	return max(minSilenceTimeout, min(silenceObjectives*l.messageObjective, maxSilenceTimeout))
}

// reportSlowServers reports the latency of servers with slow responses to the policy, at each interval while they are slow and once
// more afterwards, and schedules itself again.
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

// reportIfSlow reports the median of a server's response times if it is above the threshold, or was in the last report. times includes
// the age of unanswered lines once it is above the threshold.
func (l *Loop) reportIfSlow(server *upstream, times []time.Duration, threshold time.Duration) {
	slices.Sort(times)
	median := times[len(times)/2]
	slow := median > threshold
	if !slow && !server.reportedSlow {
		return
	}
	l.policy.RecordLatency(server.id, median)
	l.log.Debug("slow messages",
		zap.String("server", server.entry.UID),
		zap.Duration("take", median),
		zap.Int("of", len(times)))
	server.reportedSlow = slow
}
