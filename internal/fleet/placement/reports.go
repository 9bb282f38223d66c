package placement

import (
	"time"

	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// reportKey identifies a report of one replica about another one.
type reportKey struct {
	shard         int
	configuration uint64 // number of the shard's configuration
	subject       string // ID of the replica that the report is about
	from          string // ID of the replica that reports
}

// reports holds the replicas' reports that are still valid.
type reports struct {
	suspicions map[reportKey]time.Duration // time of the latest report that a replica suspects another one
	caughtUp   map[reportKey]bool          // reports that a joining replica has caught up
}

// newReports returns an empty set of reports.
func newReports() reports {
	return reports{suspicions: map[reportKey]time.Duration{}, caughtUp: map[reportKey]bool{}}
}

// add adds a report about the present configuration. Only the primary knows which replicas have caught up, so such reports from other
// replicas are ignored.
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

// removeOutdated removes reports about former configurations, and suspicions that were not repeated within suspicionTTL.
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
