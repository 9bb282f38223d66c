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

// digestSeed hashes all proposals of one seeded run, in which members fail, return, leave and complain of each other.
func digestSeed(seed uint64) (digest string, proposals int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	h := sha256.New()
	st := shardmap.New()
	st.Apply(shardmap.Entry{Found: "f"})
	var seen []Seen
	for i := range 9 {
		m := shardmap.Member{ID: fmt.Sprint("m", i), Addr: fmt.Sprint(i), Machine: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%4), Site: fmt.Sprint("s", i%2)}
		seen = append(seen, Seen{Member: m, Here: true})
	}
	now := time.Duration(0)
	steer := New(Config{Copies: 3, Least: 2, Evict: 5 * time.Second, Joining: 4}, now)
	for range 1500 {
		now += time.Duration(rng.IntN(120)) * time.Millisecond
		for i := range seen {
			seen[i].For += 60 * time.Millisecond
			if rng.IntN(400) == 0 {
				seen[i].Here, seen[i].For = !seen[i].Here, 0
				seen[i].Going = seen[i].Here && rng.IntN(3) == 0
				seen[i].Left = !seen[i].Here && rng.IntN(3) == 0
			}
		}
		num := rng.IntN(shardmap.Slots)
		v := st.Views[num]
		if ids := append(v.Full, v.Joining...); len(ids) > 1 && rng.IntN(2) == 0 {
			steer.Complain(now, st, replication.Complaint{Slot: num, View: v.Num - uint64(rng.IntN(20)/19), From: ids[rng.IntN(len(ids))], About: ids[rng.IntN(len(ids))]})
		}
		for n, v := range st.Views {
			if len(v.Joining) > 0 && rng.IntN(10) == 0 {
				steer.Complain(now, st, replication.Complaint{Slot: n, View: v.Num, From: v.Full[0], About: v.Joining[0], Caught: true})
			}
		}
		e, is := steer.Decide(now, st, seen, now > time.Second)
		fmt.Fprintf(h, "%d %v %s\n", now, is, e.Encode())
		if is {
			proposals++
			if rng.IntN(10) > 0 {
				st.Apply(e)
			}
		}
		if rng.IntN(500) == 0 {
			steer = New(Config{Copies: 3, Least: 2, Evict: 5 * time.Second, Joining: 4}, now)
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
