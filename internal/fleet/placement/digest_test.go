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

var update = flag.Bool("update", false, "write the golden files anew")

// digestSeed hashes all proposals of one seeded run, in which members fail, return, leave and report each other.
func digestSeed(seed uint64) (digest string, proposals int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	h := sha256.New()
	st := shardmap.New()
	st.Apply(shardmap.Entry{BootstrapID: "f"})
	var seen []MemberStatus
	for i := range 9 {
		m := shardmap.Member{ID: fmt.Sprint("m", i), Addr: fmt.Sprint(i), Machine: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%4), Site: fmt.Sprint("s", i%2)}
		seen = append(seen, MemberStatus{Member: m, Alive: true})
	}
	now := time.Duration(0)
	planner := New(Config{ReplicationFactor: 3, MinReplicas: 2, EvictAfter: 5 * time.Second, MaxJoiningShards: 4}, now)
	for range 1500 {
		now += time.Duration(rng.IntN(120)) * time.Millisecond
		for i := range seen {
			seen[i].StateAge += 60 * time.Millisecond
			if rng.IntN(400) == 0 {
				seen[i].Alive, seen[i].StateAge = !seen[i].Alive, 0
				seen[i].Draining = seen[i].Alive && rng.IntN(3) == 0
				seen[i].Left = !seen[i].Alive && rng.IntN(3) == 0
			}
		}
		num := rng.IntN(shardmap.ShardCount)
		v := st.Configurations[num]
		if ids := append(v.InSync, v.Joining...); len(ids) > 1 && rng.IntN(2) == 0 {
			planner.AddReport(now, st, replication.ReplicaReport{Shard: num, Configuration: v.Number - uint64(rng.IntN(20)/19), From: ids[rng.IntN(len(ids))], Subject: ids[rng.IntN(len(ids))]})
		}
		for n, v := range st.Configurations {
			if len(v.Joining) > 0 && rng.IntN(10) == 0 {
				planner.AddReport(now, st, replication.ReplicaReport{Shard: n, Configuration: v.Number, From: v.InSync[0], Subject: v.Joining[0], CaughtUp: true})
			}
		}
		e, is := planner.Propose(now, st, seen, now > time.Second)
		_, _ = fmt.Fprintf(h, "%d %v %s\n", now, is, e.Encode())
		if is {
			proposals++
			if rng.IntN(10) > 0 {
				st.Apply(e)
			}
		}
		if rng.IntN(500) == 0 {
			planner = New(Config{ReplicationFactor: 3, MinReplicas: 2, EvictAfter: 5 * time.Second, MaxJoiningShards: 4}, now)
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)), proposals
}

// TestDecisionDigest holds the proposals of seeded runs against those of an earlier program.
func TestDecisionDigest(t *testing.T) {
	var out strings.Builder
	for seed := range uint64(6) {
		digest, proposals := digestSeed(seed + 1)
		fmt.Fprintf(&out, "%d %s\n", seed+1, digest)
		if proposals < 100 {
			t.Errorf("seed %d has %d proposals", seed+1, proposals)
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
