package feedsim

import (
	"hash/fnv"
	"sort"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// The judge's names for what is broken.
const (
	WentBack   = "a follower went back"
	Mixed      = "a state that never was"
	Skipped    = "a version was left out"
	FalselyNew = "current beyond the lease"
	Forgotten  = "a follower was forgotten"
	NotInForce = "a change was not in force in time"
	Broken     = "broken"
)

// record is what one life of a follower took.
type record struct {
	version uint64
	sum     uint64            // by this package's own hash
	items   map[string]uint64 // of each key
	seen    uint64            // up to which version it was judged whether changes were in force in time
}

func newRecord() record { return record{items: map[string]uint64{}} }

// own is an item's hash that is not the feed's.
func own(i changefeed.Item) uint64 {
	h := fnv.New64a()
	h.Write([]byte(i.Key))
	h.Write([]byte{0})
	h.Write(i.Value)
	return h.Sum64()
}

// values are the hashes of what is agreed now.
func (w *World) values() map[string]uint64 {
	if w.model == nil {
		w.model = map[string]uint64{}
	}
	return w.model
}

// applied judges one step of a follower.
func (w *World) applied(f *follower, a changefeed.Update) {
	t := &f.took
	if a.Version <= t.version {
		w.fail(WentBack, "follower %d from %d to %d", f.num, t.version, a.Version)
		return
	}
	if !a.Complete && a.Version != t.version+1 {
		w.fail(Skipped, "follower %d from %d to %d by a change", f.num, t.version, a.Version)
		return
	}
	if a.Version >= uint64(len(w.agreed)) {
		w.fail(Mixed, "follower %d has version %d, %d are agreed", f.num, a.Version, len(w.agreed)-1)
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
			t.items[i.Key] = own(i)
			t.sum += own(i)
		}
	}
	t.version = a.Version
	if want := w.agreed[a.Version]; t.sum != want.sum {
		w.fail(Mixed, "follower %d at version %d", f.num, a.Version)
	}
}

// versionAt is the newest version that was agreed at a time.
func (w *World) versionAt(at time.Duration) uint64 {
	return uint64(sort.Search(len(w.agreed), func(i int) bool { return w.agreed[i].at > at })) - 1
}

// current judges whether a follower may say of itself what it says now.
func (w *World) current(f *follower) {
	now := w.time(&f.node)
	st := f.core.State()
	if st.Version() != f.took.version {
		w.fail(Mixed, "follower %d has version %d, told of %d", f.num, st.Version(), f.took.version)
		return
	}
	if st.Digest() != w.agreed[st.Version()].digest {
		w.fail(Mixed, "follower %d at version %d has another digest", f.num, st.Version())
		return
	}
	current := f.core.IsCurrent(now)
	if w.believes != nil {
		current = w.believes(f, now)
	}
	if current {
		if v := w.versionAt(w.now - changefeed.DefaultLease); v > st.Version() {
			w.fail(FalselyNew, "follower %d at version %d, %d was agreed a lease ago", f.num, st.Version(), v)
		}
	}
	if age, known := f.core.Age(now); known {
		if v := w.versionAt(w.now - age); v > st.Version() {
			w.fail(FalselyNew, "follower %d at version %d as of %v ago, %d was agreed then", f.num, st.Version(), age, v)
		}
	}
}

// due judges each follower that could be reached since a change was agreed, and 7 s long, by two relays of three at least.
func (w *World) due() {
	for _, f := range w.followers {
		if !f.up {
			continue
		}
		t := &f.took
		for t.seen+1 < uint64(len(w.agreed)) {
			a := w.agreed[t.seen+1]
			if dueBy(a) > w.now && f.core.State().Version() <= t.seen {
				break
			}
			t.seen++
			if f.badAt >= a.at || f.bornAt+upFor > a.at {
				continue
			}
			w.Due++
			if f.core.State().Version() < t.seen {
				w.fail(NotInForce, "version %d of %v at follower %d, which has %d and follows %v", t.seen, a.at-time.Hour, f.num, f.core.State().Version(), f.core.Publishers())
				return
			}
			if late := w.now - a.at; late > w.Late && dueBy(a) >= w.now {
				w.Late = late // to the half second of a look
			}
		}
	}
}

func (w *World) harvest(f *follower) {
	c := f.core.Stats
	w.Lapses += c.LeaseExpiries
	w.Wants += c.SyncRequests
	w.Mismatches += c.DigestMismatches
}

// judge reads all once everything has settled.
func (w *World) judge() {
	newest := w.truth.Version()
	for _, f := range w.followers {
		w.harvest(f)
		if !f.up {
			w.fail(Broken, "follower %d was not started again", f.num)
			continue
		}
		if st := f.core.State(); st.Version() != newest || st.Digest() != w.truth.Digest() || !f.core.IsCurrent(w.time(&f.node)) || len(f.core.Publishers()) < 2 {
			age, _ := f.core.Age(w.time(&f.node))
			w.fail(Forgotten, "follower %d has version %d of %d, as of %v ago, and follows %v", f.num, st.Version(), newest, age, f.core.Publishers())
			continue
		}
		for _, i := range f.core.State().Items("") {
			if w.model[i.Key] != own(i) {
				w.fail(Mixed, "follower %d has another value of %s", f.num, i.Key)
			}
		}
		if f.core.State().Len() != len(w.model) {
			w.fail(Mixed, "follower %d has %d keys of %d", f.num, f.core.State().Len(), len(w.model))
		}
	}
}
