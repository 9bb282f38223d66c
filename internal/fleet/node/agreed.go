package node

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/shardmap"
)

const (
	maxKeptChanges     = 4096 // newest changes of the agreed state
	maxKeptChangeBytes = 4 << 20
)

// agreedState is the newest agreed state that this member knows, from the log, where it votes, and from other members.
type agreedState struct {
	feed  *changefeed.Log // the state as a map, and its newest changes
	state *shardmap.State // the same without operators' items

	membersVersion uint64   // version with which this member learned of the list of members
	shardVersions  []uint64 // by shard: version with which this member learned of its configuration

	asOf    time.Duration // nothing newer was agreed up to then
	hasAsOf bool

	writtenFleetID string // on disk
}

func newAgreedState(fleetID string) agreedState {
	state := shardmap.New()
	state.FleetID = fleetID
	return agreedState{
		feed:           changefeed.NewLog(changefeed.LogConfig{MaxChanges: maxKeptChanges, MaxBytes: maxKeptChangeBytes}),
		state:          state,
		shardVersions:  make([]uint64, shardmap.ShardCount),
		writtenFleetID: fleetID,
	}
}

// confirm takes a time up to which nothing newer than the state was agreed.
func (a *agreedState) confirm(asOf time.Duration) {
	if !a.hasAsOf || asOf > a.asOf {
		a.asOf = asOf
		a.hasAsOf = true
	}
}

// AsOf returns the latest time at which this member's state was confirmed to be the newest agreed one; false if it never was.
func (n *Node) AsOf() (time.Duration, bool) {
	asOf, known := n.log.AsOf()
	if n.agreed.hasAsOf {
		return max(asOf, n.agreed.asOf), true
	}
	return asOf, known
}

// applyLog takes what the log has committed.
func (n *Node) applyLog(ready consensus.Ready) {
	if ready.Snapshot != nil {
		n.install(ready.Snapshot)
	}
	for _, change := range ready.Changes {
		version := n.agreed.feed.Version()
		if change.Version <= version {
			continue // learned from another member before
		}
		if change.Version != version+1 {
			n.install(consensus.SnapshotOf(n.log.State()))
			break
		}
		if !n.appendChange(change) {
			break
		}
	}
	for _, result := range ready.PutResults {
		n.handleCommittedPut(result)
	}
}

// appendChange applies a change from the log and reports whether it could be.
func (n *Node) appendChange(change consensus.Change) bool {
	appended, err := n.agreed.feed.Append(change.Items)
	if err != nil {
		n.reportFault("an agreed change that can't be taken", change.Version, err.Error())
		return false
	}
	n.ready.Changes = append(n.ready.Changes, &appended)
	n.applyItems(change.Items, change.Version)
	return true
}

// applyChange applies a change from another member and reports whether it could be. After a failure the next response repairs it, by a
// snapshot where the digests differ.
func (n *Node) applyChange(change *changefeed.Change) bool {
	err := n.agreed.feed.Apply(*change)
	if err != nil && !errors.Is(err, changefeed.ErrOutOfOrder) {
		n.reportFault("a change that does not fit", change.Version, err.Error())
	}
	if err != nil {
		return false
	}
	n.ready.Changes = append(n.ready.Changes, change)
	n.applyItems(change.Items, change.Version)
	return true
}

// install replaces the state by a snapshot, if it is newer.
func (n *Node) install(snapshot *changefeed.Snapshot) {
	feed := n.agreed.feed
	isCurrent := snapshot.Version == feed.Version() && snapshot.Digest == feed.Digest()
	if snapshot.Version < max(1, feed.Version()) || isCurrent {
		return
	}
	err := feed.Install(*snapshot)
	if errors.Is(err, changefeed.ErrConflict) {
		n.reportDivergence(snapshot.Version)
		return
	}
	if err != nil {
		n.reportFault("a state that can't be taken", snapshot.Version, err.Error())
		return
	}
	n.ready.Snapshot = snapshot
	n.ready.Changes = nil
	n.applyItems(snapshot.Items, snapshot.Version)
}

// applyItems brings the state up to a version. A configuration never goes back to an older one.
func (n *Node) applyItems(items []changefeed.Item, version uint64) {
	state := n.agreed.state
	next := *state
	next.Configurations = slices.Clone(state.Configurations)
	var shards []int
	for _, item := range items {
		if shard, isShard := shardmap.ShardFromKey(item.Key); isShard {
			shards = append(shards, shard)
		}
		if err := next.SetValue(item.Key, item.Value, item.Deleted); err != nil {
			n.reportFault("an item that can't be read", version, err.Error())
		}
	}
	if n.ready.Snapshot != nil && n.ready.Snapshot.Version == version {
		next.Members = n.membersInFeed(next.Members)
	}
	isNewEpoch := next.Epoch != state.Epoch
	isNewFleet := next.FleetID != state.FleetID
	if isNewEpoch || !slices.Equal(state.Members, next.Members) {
		n.agreed.membersVersion = version
	}
	state.FleetID = next.FleetID
	state.Epoch = next.Epoch
	state.Members = next.Members
	state.Version = version
	for _, shard := range shards {
		n.setConfiguration(shard, next.Configurations[shard], version)
	}
	n.recordFleet(isNewEpoch || isNewFleet)
}

// membersInFeed returns those members that the feed's state has. A snapshot does not say which were removed.
func (n *Node) membersInFeed(members []shardmap.Member) []shardmap.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m shardmap.Member) bool {
		_, exists := n.agreed.feed.State().Get(shardmap.MemberKey(m.ID))
		return !exists
	})
}

// setConfiguration takes a shard's configuration, if it is newer.
func (n *Node) setConfiguration(shard int, configuration shardmap.Configuration, version uint64) {
	if configuration.Number <= n.agreed.state.Configurations[shard].Number {
		return
	}
	n.agreed.state.Configurations[shard] = configuration
	n.agreed.shardVersions[shard] = version
	n.replicas.SetConfiguration(shard, configuration)
}

// recordFleet has a new fleet's ID written to disk, and logs a new epoch.
func (n *Node) recordFleet(isNewEpoch bool) {
	state := n.agreed.state
	if state.FleetID != n.agreed.writtenFleetID {
		n.agreed.writtenFleetID = state.FleetID
		n.ready.FleetID = state.FleetID
	}
	if isNewEpoch {
		detail := fmt.Sprintf("%d members", len(state.Members))
		n.ready.Events = append(n.ready.Events, Event{Message: "epoch", Epoch: state.Epoch, Detail: detail})
	}
}

// reportDivergence logs that there are two states of one version.
func (n *Node) reportDivergence(version uint64) {
	n.reportFault("two histories: one version of the agreed state with other contents", version, "")
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
