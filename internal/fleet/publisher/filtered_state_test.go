package publisher

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
)

// TestStateIsIndependentOfItsPath guards against control processes that publish different contents under the same version. It applies a
// history to filtered states by changes, by snapshots, and by a random mix of both with restarts. All must have the same version, content
// and digest as the agreed state without shard configurations.
func TestStateIsIndependentOfItsPath(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 1))
		core := changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
		newState := func() *filteredState {
			return &filteredState{log: changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})}
		}
		byChanges, bySnapshots, mixed := newState(), newState(), newState()
		subscriber := changefeed.NewState()
		for step := range 200 {
			items := []changefeed.Item{{Key: changefeed.FleetKey, Value: []byte("f")}}
			if step > 0 {
				items = randomItems(rng)
			}
			c, err := core.Append(items)
			if err != nil {
				t.Fatal(err)
			}
			if err := byChanges.apply(&c); err != nil {
				t.Fatal(err)
			}
			if err := bySnapshots.install(core.Snapshot()); err != nil {
				t.Fatal(err)
			}
			switch n := rng.IntN(4); {
			case n == 0: // a restart
				mixed = newState()
				err = mixed.install(core.Snapshot())
			case n == 1 || mixed.log.Version()+1 != c.Version:
				err = mixed.install(core.Snapshot())
			default:
				err = mixed.apply(&c)
			}
			if err != nil {
				t.Fatal(err)
			}
			for name, state := range map[string]*filteredState{"changes": byChanges, "snapshots": bySnapshots, "both": mixed} {
				if state.log.Version() != core.Version() || state.log.Digest() != byChanges.log.Digest() || state.agreedDigest != core.Digest() {
					t.Fatalf("seed %d, by %s: version %d with digest %016x, want version %d with digest %016x", seed, name, state.log.Version(), state.log.Digest(), core.Version(), byChanges.log.Digest())
				}
				if got, want := state.log.State().Items(""), withoutShardConfigurations(core.State().Items("")); fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("seed %d, by %s: items %v, want %v", seed, name, got, want)
				}
			}
			if n := len(byChanges.log.State().Items("view/")); n > 0 {
				t.Fatalf("%d shard configurations are published", n)
			}
			changes, ok := byChanges.log.ChangesSince(subscriber.Version(), subscriber.Digest())
			if !ok || len(changes) != 1 {
				t.Fatalf("%d changes after version %d, want 1", len(changes), subscriber.Version())
			}
			if err := subscriber.Apply(*changes[0]); err != nil {
				t.Fatal(err)
			}
		}
		checkRejectsOtherHistory(t, core, byChanges, bySnapshots)
	}
}

// randomItems returns one to three items, most of them shard configurations.
func randomItems(rng *rand.Rand) []changefeed.Item {
	prefixes := []string{"view/", "view/", "view/", shardmap.ConfigPrefix, changefeed.MemberPrefix}
	var items []changefeed.Item
	for range 1 + rng.IntN(3) {
		item := changefeed.Item{
			Key:   fmt.Sprintf("%s%d", prefixes[rng.IntN(len(prefixes))], len(items)*50+rng.IntN(50)),
			Value: fmt.Appendf(nil, "%d", rng.IntN(5)),
		}
		if rng.IntN(4) == 0 {
			item.Value = nil
			item.Deleted = true
		}
		items = append(items, item)
	}
	return items
}

// checkRejectsOtherHistory verifies that updates from another history are rejected, even if the histories differ only in a shard
// configuration.
func checkRejectsOtherHistory(t *testing.T, core *changefeed.Log, byChanges, bySnapshots *filteredState) {
	t.Helper()
	other := changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	snapshot := core.Snapshot()
	next, err := core.Append([]changefeed.Item{{Key: "view/7", Value: []byte("a")}})
	if err == nil {
		err = byChanges.apply(&next)
	}
	if err == nil {
		err = other.Install(*snapshot)
	}
	var conflicting, after changefeed.Change
	if err == nil {
		conflicting, err = other.Append([]changefeed.Item{{Key: "view/7", Value: []byte("b")}})
	}
	if err == nil {
		after, err = other.Append([]changefeed.Item{{Key: shardmap.ConfigPrefix + "x", Value: []byte("b")}})
	}
	if err != nil {
		t.Fatal(err)
	}
	before := byChanges.log.Digest()
	if err := byChanges.apply(&conflicting); !errors.Is(err, changefeed.ErrConflict) {
		t.Errorf("change with another result: error %v, want ErrConflict", err)
	}
	if err := byChanges.apply(&after); !errors.Is(err, changefeed.ErrDigestMismatch) {
		t.Errorf("change of another state: error %v, want ErrDigestMismatch", err)
	}
	if err := bySnapshots.install(snapshot); err != nil {
		t.Errorf("snapshot that is installed already: error %v", err)
	}
	if err := byChanges.install(snapshot); !errors.Is(err, changefeed.ErrOutOfOrder) {
		t.Errorf("older snapshot: error %v, want ErrOutOfOrder", err)
	}
	otherSnapshot := *snapshot
	otherSnapshot.Digest++
	if err := bySnapshots.install(&otherSnapshot); !errors.Is(err, changefeed.ErrConflict) {
		t.Errorf("snapshot with another digest: error %v, want ErrConflict", err)
	}
	if byChanges.log.Digest() != before || byChanges.agreedDigest != next.DigestAfter {
		t.Error("a rejected update has changed the state")
	}
}
