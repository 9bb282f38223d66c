package placement

import (
	"time"

	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// reportKey identifies what one replica reports about another one in a shard's configuration.
type reportKey struct {
	shard         int
	configuration uint64
	subject       string
	from          string
}

// reports are those that still count.
type reports struct {
	suspicions map[reportKey]time.Duration // when each was last reported
	caughtUp   map[reportKey]bool
}

func newReports() reports {
	return reports{suspicions: map[reportKey]time.Duration{}, caughtUp: map[reportKey]bool{}}
}

// add takes a report about the configuration in force. Only the primary knows which replicas have caught up.
func (r *reports) add(now time.Duration, report replication.ReplicaReport, primary string) {
	key := reportKey{report.Shard, report.Configuration, report.Subject, report.From}
	switch {
	case report.CaughtUp:
		if report.From == primary {
			r.caughtUp[key] = true
		}
	case report.Subject != report.From:
		r.suspicions[key] = now
	}
}

// removeOutdated removes reports about former configurations, and suspicions that were not repeated for suspicionTTL.
func (r *reports) removeOutdated(now time.Duration, state *shardmap.State) {
	for key, at := range r.suspicions {
		if state.Configurations[key.shard].Number != key.configuration || now-at > suspicionTTL {
			delete(r.suspicions, key)
		}
	}
	for key := range r.caughtUp {
		if state.Configurations[key.shard].Number != key.configuration {
			delete(r.caughtUp, key)
		}
	}
}
