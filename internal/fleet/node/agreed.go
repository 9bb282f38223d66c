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
	maxKeptChanges     = 4096    // maximum number of changes of the agreed state that are kept for polls of other members
	maxKeptChangeBytes = 4 << 20 // maximum total size of the kept changes
)

// agreedState is the newest agreed state that this member knows. Voters learn it from the log, all members from responses to their polls.
type agreedState struct {
	feed  *changefeed.Log // the state as keys and values, and its newest changes
	state *shardmap.State // the same state without operators' items

	membersVersion uint64   // version at which this member learned the current list of members
	shardVersions  []uint64 // versions at which this member learned the shards' current configurations, by shard

	confirmedAt   time.Duration // latest time at which the state was the newest agreed one
	everConfirmed bool          // whether confirmedAt is valid

	persistedFleetID string // fleet ID that is on disk, or that a returned or pending Ready writes to it
}

func newAgreedState(fleetID string) agreedState {
	state := shardmap.New()
	state.FleetID = fleetID
	return agreedState{
		feed:             changefeed.NewLog(changefeed.LogConfig{MaxChanges: maxKeptChanges, MaxBytes: maxKeptChangeBytes}),
		state:            state,
		shardVersions:    make([]uint64, shardmap.ShardCount),
		persistedFleetID: fleetID,
	}
}

// confirm records that nothing newer than the state had been agreed at a time.
func (a *agreedState) confirm(asOf time.Duration) {
	if !a.everConfirmed || asOf > a.confirmedAt {
		a.confirmedAt = asOf
		a.everConfirmed = true
	}
}

// ConfirmedAt returns the latest time at which this member's state was the newest agreed one, as far as is confirmed; false if it never was.
func (n *Node) ConfirmedAt() (time.Duration, bool) {
	asOf, known := n.log.ConfirmedAt()
	if n.agreedState.everConfirmed {
		return max(asOf, n.agreedState.confirmedAt), true
	}
	return asOf, known
}

// applyLog applies what the log has committed.
func (n *Node) applyLog(ready consensus.Ready) {
	if ready.Snapshot != nil {
		n.installSnapshot(ready.Snapshot)
	}
	for _, change := range ready.Changes {
		version := n.agreedState.feed.Version()
		if change.Version <= version {
			continue // the change was learned from another member before
		}
		if change.Version != version+1 {
			n.installSnapshot(consensus.SnapshotOf(n.log.State()))
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

// appendChange applies a change from the log and reports whether it succeeded.
func (n *Node) appendChange(change consensus.Change) bool {
	appended, err := n.agreedState.feed.Append(change.Items)
	if err != nil {
		n.reportFault("an agreed change cannot be applied", change.Version, err.Error())
		return false
	}
	n.ready.Changes = append(n.ready.Changes, &appended)
	n.applyItems(change.Items, change.Version)
	return true
}

// applyChange applies a change from another member and reports whether it succeeded. A failure is repaired by the response to a later
// poll, with a snapshot if the digests differ.
func (n *Node) applyChange(change *changefeed.Change) bool {
	err := n.agreedState.feed.Apply(*change)
	if err != nil && !errors.Is(err, changefeed.ErrOutOfOrder) {
		n.reportFault("a change from another member cannot be applied", change.Version, err.Error())
	}
	if err != nil {
		return false
	}
	n.ready.Changes = append(n.ready.Changes, change)
	n.applyItems(change.Items, change.Version)
	return true
}

// installSnapshot replaces the state by a snapshot, unless the state is newer or the same.
func (n *Node) installSnapshot(snapshot *changefeed.Snapshot) {
	feed := n.agreedState.feed
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
		n.reportFault("a snapshot of the agreed state cannot be installed", snapshot.Version, err.Error())
		return
	}
	n.ready.Snapshot = snapshot
	n.ready.Changes = nil
	n.applyItems(snapshot.Items, snapshot.Version)
}

// applyItems updates the state to a version. A shard's configuration is never replaced by an older one.
func (n *Node) applyItems(items []changefeed.Item, version uint64) {
	state := n.agreedState.state
	next := *state
	next.Configurations = slices.Clone(state.Configurations)
	var shards []int
	for _, item := range items {
		if shard, isShard := shardmap.ShardFromKey(item.Key); isShard {
			shards = append(shards, shard)
		}
		if err := next.SetValue(item.Key, item.Value, item.Deleted); err != nil {
			n.reportFault("an agreed item cannot be decoded", version, err.Error())
		}
	}
	if n.ready.Snapshot != nil && n.ready.Snapshot.Version == version {
		next.Members = n.membersInFeed(next.Members)
	}
	isNewEpoch := next.Epoch != state.Epoch
	isNewFleet := next.FleetID != state.FleetID
	if isNewEpoch || !slices.Equal(state.Members, next.Members) {
		n.agreedState.membersVersion = version
	}
	state.FleetID = next.FleetID
	state.Epoch = next.Epoch
	state.Members = next.Members
	state.Version = version
	for _, shard := range shards {
		n.setConfiguration(shard, next.Configurations[shard], version)
	}
	n.recordFleetAndEpoch(isNewEpoch || isNewFleet)
}

// membersInFeed returns those of the members that the feed's state contains. A snapshot does not list removed members.
func (n *Node) membersInFeed(members []shardmap.Member) []shardmap.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m shardmap.Member) bool {
		_, exists := n.agreedState.feed.State().Get(shardmap.MemberKey(m.ID))
		return !exists
	})
}

// setConfiguration replaces a shard's configuration by a newer one; an older one is ignored.
func (n *Node) setConfiguration(shard int, configuration shardmap.Configuration, version uint64) {
	if configuration.Number <= n.agreedState.state.Configurations[shard].Number {
		return
	}
	n.agreedState.state.Configurations[shard] = configuration
	n.agreedState.shardVersions[shard] = version
	n.replicas.SetConfiguration(shard, configuration)
}

// recordFleetAndEpoch adds to the next Ready the fleet ID, if it has to be written to disk, and an event for a new epoch.
func (n *Node) recordFleetAndEpoch(isNewEpoch bool) {
	state := n.agreedState.state
	if state.FleetID != n.agreedState.persistedFleetID {
		n.agreedState.persistedFleetID = state.FleetID
		n.ready.FleetID = state.FleetID
	}
	if isNewEpoch {
		detail := fmt.Sprintf("%d members", len(state.Members))
		n.ready.Events = append(n.ready.Events, Event{Message: "new epoch", Epoch: state.Epoch, Detail: detail})
	}
}

// reportDivergence reports that two members have different states of the same version.
func (n *Node) reportDivergence(version uint64) {
	n.reportFault("two histories: one version of the agreed state with different contents", version, "")
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
