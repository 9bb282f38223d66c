package placement

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

var update = flag.Bool("update", false, "rewrite the golden files before comparing with them")

// digestSeed returns the hash and the number of all proposals of one seeded run, in which members fail, return, leave and suspect each other.
func digestSeed(seed uint64) (digest string, proposals int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	hash := sha256.New()
	state := shardmap.New()
	state.Apply(shardmap.Entry{BootstrapID: "f"})
	var statuses []MemberStatus
	for i := range 9 {
		m := shardmap.Member{ID: fmt.Sprint("m", i), Addr: fmt.Sprint(i), Machine: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%4), Site: fmt.Sprint("s", i%2)}
		statuses = append(statuses, MemberStatus{Member: m, Alive: true})
	}
	now := time.Duration(0)
	planner := New(Config{ReplicationFactor: 3, MinReplicas: 2, EvictAfter: 5 * time.Second, MaxJoiningShards: 4}, now)
	for range 1500 {
		now += time.Duration(rng.IntN(120)) * time.Millisecond
		for i := range statuses {
			statuses[i].StateAge += 60 * time.Millisecond
			if rng.IntN(400) == 0 {
				statuses[i].Alive, statuses[i].StateAge = !statuses[i].Alive, 0
				statuses[i].Draining = statuses[i].Alive && rng.IntN(3) == 0
				statuses[i].Left = !statuses[i].Alive && rng.IntN(3) == 0
			}
		}
		shard := rng.IntN(shardmap.ShardCount)
		v := state.Configurations[shard]
		if ids := append(v.InSync, v.Joining...); len(ids) > 1 && rng.IntN(2) == 0 {
			planner.AddReport(now, state, replication.ReplicaReport{Shard: shard, Configuration: v.Number - uint64(rng.IntN(20)/19), From: ids[rng.IntN(len(ids))], Subject: ids[rng.IntN(len(ids))]})
		}
		for n, v := range state.Configurations {
			if len(v.Joining) > 0 && rng.IntN(10) == 0 {
				planner.AddReport(now, state, replication.ReplicaReport{Shard: n, Configuration: v.Number, From: v.InSync[0], Subject: v.Joining[0], CaughtUp: true})
			}
		}
		entry, ok := planner.Propose(now, state, statuses, now > time.Second)
		_, _ = fmt.Fprintf(hash, "%d %v %s\n", now, ok, entry.Encode())
		if ok {
			proposals++
			if rng.IntN(10) > 0 {
				state.Apply(entry)
			}
		}
		if rng.IntN(500) == 0 {
			planner = New(Config{ReplicationFactor: 3, MinReplicas: 2, EvictAfter: 5 * time.Second, MaxJoiningShards: 4}, now)
		}
	}
	return fmt.Sprintf("%x", hash.Sum(nil)), proposals
}

// TestDecisionDigest guards against unintended changes of decisions: it compares the proposals of seeded runs with those of an earlier version of
// the program.
func TestDecisionDigest(t *testing.T) {
	var out strings.Builder
	for seed := range uint64(6) {
		digest, proposals := digestSeed(seed + 1)
		fmt.Fprintf(&out, "%d %s\n", seed+1, digest)
		if proposals < 100 {
			t.Errorf("seed %d: %d proposals, want at least 100", seed+1, proposals)
		}
	}
	path := filepath.Join("testdata", "decisions.golden")
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("digests by seed:\n%swant:\n%s", out.String(), want)
	}
}
