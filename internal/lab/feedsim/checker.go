package feedsim

import (
	"hash/fnv"
	"sort"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// What can be broken, by the names that the checker reports it under.
const (
	WentBack   = "a subscriber went back"
	Mixed      = "a state that never was"
	Skipped    = "a version was left out"
	FalselyNew = "current beyond the lease"
	Forgotten  = "a subscriber was forgotten"
	NotInForce = "a change was not in force in time"
	Broken     = "broken"
)

// applied is what one run of a subscriber has applied.
type applied struct {
	version uint64
	sum     uint64            // by this package's own hash
	items   map[string]uint64 // of each key
	seen    uint64            // the version up to which checkInForce has looked
}

func newApplied() applied { return applied{items: map[string]uint64{}} }

// itemHash is a hash of an item that is independent of the changefeed's.
func itemHash(i changefeed.Item) uint64 {
	h := fnv.New64a()
	h.Write([]byte(i.Key))
	h.Write([]byte{0})
	h.Write(i.Value)
	return h.Sum64()
}

// expectedItems returns the hashes of the items that are committed now.
func (w *World) expectedItems() map[string]uint64 {
	if w.expected == nil {
		w.expected = map[string]uint64{}
	}
	return w.expected
}

// recordUpdate checks and records one update of a subscriber.
func (w *World) recordUpdate(sub *subscriber, a changefeed.Update) {
	t := &sub.applied
	if a.Version <= t.version {
		w.fail(WentBack, "subscriber %d from %d to %d", sub.index, t.version, a.Version)
		return
	}
	if !a.Complete && a.Version != t.version+1 {
		w.fail(Skipped, "subscriber %d from %d to %d by a change", sub.index, t.version, a.Version)
		return
	}
	if a.Version >= uint64(len(w.versions)) {
		w.fail(Mixed, "subscriber %d has version %d, %d are committed", sub.index, a.Version, len(w.versions)-1)
		return
	}
	if a.Complete {
		clear(t.items)
		t.sum = 0
	}
	for _, i := range a.Items {
		t.sum -= t.items[i.Key]
		delete(t.items, i.Key)
		if !i.Deleted {
			t.items[i.Key] = itemHash(i)
			t.sum += itemHash(i)
		}
	}
	t.version = a.Version
	if want := w.versions[a.Version]; t.sum != want.itemsHash {
		w.fail(Mixed, "subscriber %d at version %d", sub.index, a.Version)
	}
}

// versionAt returns the newest version that was committed at a time.
func (w *World) versionAt(at time.Duration) uint64 {
	return uint64(sort.Search(len(w.versions), func(i int) bool { return w.versions[i].at > at })) - 1
}

// checkCurrent checks what a subscriber says of its own version, age and lease.
func (w *World) checkCurrent(sub *subscriber) {
	now := w.clock(&sub.process)
	st := sub.core.State()
	if st.Version() != sub.applied.version {
		w.fail(Mixed, "subscriber %d has version %d, its update said %d", sub.index, st.Version(), sub.applied.version)
		return
	}
	if st.Digest() != w.versions[st.Version()].digest {
		w.fail(Mixed, "subscriber %d at version %d has another digest", sub.index, st.Version())
		return
	}
	current := sub.core.IsCurrent(now)
	if w.isCurrent != nil {
		current = w.isCurrent(sub, now)
	}
	if current {
		if v := w.versionAt(w.now - changefeed.DefaultLease); v > st.Version() {
			w.fail(FalselyNew, "subscriber %d at version %d, %d was committed a lease ago", sub.index, st.Version(), v)
		}
	}
	if age, known := sub.core.Age(now); known {
		if v := w.versionAt(w.now - age); v > st.Version() {
			w.fail(FalselyNew, "subscriber %d at version %d as of %v ago, %d was committed then", sub.index, st.Version(), age, v)
		}
	}
}

// checkInForce checks each change at each subscriber that two publishers of three could reach since it was committed.
func (w *World) checkInForce() {
	for _, sub := range w.subscribers {
		if !sub.up {
			continue
		}
		t := &sub.applied
		for t.seen+1 < uint64(len(w.versions)) {
			a := w.versions[t.seen+1]
			if deadlineOf(a) > w.now && sub.core.State().Version() <= t.seen {
				break
			}
			t.seen++
			if sub.unreachableAt >= a.at || sub.startedAt+firstSnapshotTimeout > a.at {
				continue
			}
			w.Due++
			if sub.core.State().Version() < t.seen {
				w.fail(NotInForce, "version %d of %v at subscriber %d, which has %d and follows %v", t.seen, a.at-time.Hour, sub.index, sub.core.State().Version(), sub.core.Publishers())
				return
			}
			if late := w.now - a.at; late > w.Late && deadlineOf(a) >= w.now {
				w.Late = late // exact to checkInterval
			}
		}
	}
}

func (w *World) addCounters(sub *subscriber) {
	c := sub.core.Stats
	w.Lapses += c.LeaseExpiries
	w.Wants += c.SyncRequests
	w.Mismatches += c.DigestMismatches
}

// checkEnd checks all subscribers once everything has settled.
func (w *World) checkEnd() {
	newest := w.log.Version()
	for _, sub := range w.subscribers {
		w.addCounters(sub)
		if !sub.up {
			w.fail(Broken, "subscriber %d was not started again", sub.index)
			continue
		}
		if st := sub.core.State(); st.Version() != newest || st.Digest() != w.log.Digest() || !sub.core.IsCurrent(w.clock(&sub.process)) || len(sub.core.Publishers()) < 2 {
			age, _ := sub.core.Age(w.clock(&sub.process))
			w.fail(Forgotten, "subscriber %d has version %d of %d, as of %v ago, and follows %v", sub.index, st.Version(), newest, age, sub.core.Publishers())
			continue
		}
		for _, i := range sub.core.State().Items("") {
			if w.expected[i.Key] != itemHash(i) {
				w.fail(Mixed, "subscriber %d has another value of %s", sub.index, i.Key)
			}
		}
		if sub.core.State().Len() != len(w.expected) {
			w.fail(Mixed, "subscriber %d has %d keys of %d", sub.index, sub.core.State().Len(), len(w.expected))
		}
	}
}
