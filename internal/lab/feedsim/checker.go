package feedsim

import (
	"hash/fnv"
	"sort"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// The violations that the checker reports: an error of Play contains one of these texts.
const (
	VersionRegressed  = "a subscriber returned to an older version"
	StateMismatch     = "a subscriber has a state that was never committed"
	VersionSkipped    = "a subscriber skipped a version"
	FalselyCurrent    = "a subscriber takes an outdated version for current"
	NotConverged      = "a subscriber did not catch up after the last fault"
	NotInForce        = "a change was not in force in time"
	UnexpectedFailure = "unexpected failure"
)

// appliedState is the state that the updates of one subscriber process add up to.
type appliedState struct {
	version        uint64
	itemsHash      uint64            // sum of the hashes of all items
	itemHashes     map[string]uint64 // hash of each item, by key
	checkedVersion uint64            // newest version that checkInForce has checked at the subscriber
}

func newAppliedState() appliedState { return appliedState{itemHashes: map[string]uint64{}} }

// itemHash returns a hash of an item that is independent of the digests of the changefeed, so that a defect of those is detected.
func itemHash(i changefeed.Item) uint64 {
	h := fnv.New64a()
	h.Write([]byte(i.Key))
	h.Write([]byte{0})
	h.Write(i.Value)
	return h.Sum64()
}

// itemHashes returns the hashes of the items that are committed now.
func (w *World) itemHashes() map[string]uint64 {
	if w.expectedHashes == nil {
		w.expectedHashes = map[string]uint64{}
	}
	return w.expectedHashes
}

// recordUpdate checks that an update of a subscriber leads to a newer state that was committed, without a gap, and records it.
func (w *World) recordUpdate(sub *subscriber, update changefeed.Update) {
	applied := &sub.applied
	if update.Version <= applied.version {
		w.fail(VersionRegressed, "subscriber %d, from version %d to %d", sub.index, applied.version, update.Version)
		return
	}
	if !update.Complete && update.Version != applied.version+1 {
		w.fail(VersionSkipped, "subscriber %d, from version %d to %d by a single change", sub.index, applied.version, update.Version)
		return
	}
	if update.Version >= uint64(len(w.versions)) {
		w.fail(StateMismatch, "subscriber %d has version %d, the newest committed version is %d", sub.index, update.Version, len(w.versions)-1)
		return
	}
	if update.Complete {
		clear(applied.itemHashes)
		applied.itemsHash = 0
	}
	for _, i := range update.Items {
		applied.itemsHash -= applied.itemHashes[i.Key]
		delete(applied.itemHashes, i.Key)
		if !i.Deleted {
			applied.itemHashes[i.Key] = itemHash(i)
			applied.itemsHash += itemHash(i)
		}
	}
	applied.version = update.Version
	if committed := w.versions[update.Version]; applied.itemsHash != committed.itemsHash {
		w.fail(StateMismatch, "subscriber %d at version %d has items other than those committed", sub.index, update.Version)
	}
}

// versionAt returns the newest version that had been committed at a time.
func (w *World) versionAt(at time.Duration) uint64 {
	return uint64(sort.Search(len(w.versions), func(i int) bool { return w.versions[i].at > at })) - 1
}

// checkCurrent checks the version, age and lease that a subscriber reports of itself against what was committed.
func (w *World) checkCurrent(sub *subscriber) {
	now := w.clock(&sub.process)
	st := sub.core.State()
	if st.Version() != sub.applied.version {
		w.fail(StateMismatch, "subscriber %d has version %d, its newest update was version %d", sub.index, st.Version(), sub.applied.version)
		return
	}
	if st.Digest() != w.versions[st.Version()].digest {
		w.fail(StateMismatch, "subscriber %d has another digest than the committed one of version %d", sub.index, st.Version())
		return
	}
	current := sub.core.IsCurrent(now)
	if w.isCurrent != nil {
		current = w.isCurrent(sub, now)
	}
	if current {
		if v := w.versionAt(w.now - changefeed.DefaultLease); v > st.Version() {
			w.fail(FalselyCurrent, "subscriber %d is current at version %d, but version %d was committed more than a lease ago", sub.index, st.Version(), v)
		}
	}
	if age, known := sub.core.Age(now); known {
		if v := w.versionAt(w.now - age); v > st.Version() {
			w.fail(FalselyCurrent, "subscriber %d has version %d as of %v ago, but version %d was committed by then", sub.index, st.Version(), age, v)
		}
	}
}

// checkInForce checks that each change is in force in time at each subscriber that two thirds of the publishers could reach since the change
// was committed.
func (w *World) checkInForce() {
	for _, sub := range w.subscribers {
		if !sub.up {
			continue
		}
		applied := &sub.applied
		for applied.checkedVersion+1 < uint64(len(w.versions)) {
			committed := w.versions[applied.checkedVersion+1]
			if deadlineOf(committed) > w.now && sub.core.State().Version() <= applied.checkedVersion {
				break
			}
			applied.checkedVersion++
			if sub.unreachableAt >= committed.at || sub.startedAt+firstSnapshotTimeout > committed.at {
				continue
			}
			w.DueChanges++
			if sub.core.State().Version() < applied.checkedVersion {
				w.fail(NotInForce, "version %d, committed at %v: subscriber %d has version %d and follows %v", applied.checkedVersion, committed.at-time.Hour, sub.index, sub.core.State().Version(), sub.core.Publishers())
				return
			}
			if latency := w.now - committed.at; latency > w.MaxPropagationTime && deadlineOf(committed) >= w.now {
				w.MaxPropagationTime = latency // measured with a resolution of checkInterval
			}
		}
	}
}

// addCounters adds the counters of a subscriber's core, which end with its process, to those of the history.
func (w *World) addCounters(sub *subscriber) {
	c := sub.core.Stats
	w.LeaseExpiries += c.LeaseExpiries
	w.SyncRequests += c.SyncRequests
	w.DigestMismatches += c.DigestMismatches
}

// checkFinalState checks at the end of a history that all subscribers run, have the newest state and follow two publishers.
func (w *World) checkFinalState() {
	newest := w.log.Version()
	for _, sub := range w.subscribers {
		w.addCounters(sub)
		if !sub.up {
			w.fail(UnexpectedFailure, "subscriber %d was not started again", sub.index)
			continue
		}
		if st := sub.core.State(); st.Version() != newest || st.Digest() != w.log.Digest() || !sub.core.IsCurrent(w.clock(&sub.process)) || len(sub.core.Publishers()) < 2 {
			age, _ := sub.core.Age(w.clock(&sub.process))
			w.fail(NotConverged, "subscriber %d has version %d of %d, as of %v ago, and follows %v", sub.index, st.Version(), newest, age, sub.core.Publishers())
			continue
		}
		for _, i := range sub.core.State().Items("") {
			if w.expectedHashes[i.Key] != itemHash(i) {
				w.fail(StateMismatch, "subscriber %d has another value of %s than the committed one", sub.index, i.Key)
			}
		}
		if sub.core.State().Len() != len(w.expectedHashes) {
			w.fail(StateMismatch, "subscriber %d has %d keys, %d are committed", sub.index, sub.core.State().Len(), len(w.expectedHashes))
		}
	}
}
