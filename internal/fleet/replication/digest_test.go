package replication

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sabletally/internal/fleet/shardmap"
)

// randomRun is a seeded random run of several nodes with delayed, lost and repeated messages, restarts, new configurations and expiring
// records. It hashes everything that the nodes return from Ready.
type randomRun struct {
	t              *testing.T
	rng            *rand.Rand
	hash           hash.Hash
	now            time.Duration
	ids            []string
	nodes          map[string]*Node
	incarnations   map[string]uint64
	disks          map[string]map[int]*simulatedDisk
	configurations []shardmap.Configuration
	inTransit      []Message
	opCount        int            // number of operations submitted so far
	counts         map[string]int // number of hashed events by kind
}

// simulatedDisk is one node's data of one shard on disk.
type simulatedDisk struct {
	ballot  Ballot
	records map[string]Record
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	r := &randomRun{t: t, rng: rand.New(rand.NewPCG(seed, 1)), hash: sha256.New(), nodes: map[string]*Node{}, incarnations: map[string]uint64{},
		disks: map[string]map[int]*simulatedDisk{}, configurations: make([]shardmap.Configuration, shardmap.ShardCount), counts: map[string]int{}}
	for i := range 5 {
		id := string(rune('a' + i))
		r.ids = append(r.ids, id)
		r.disks[id] = map[int]*simulatedDisk{}
		r.startNode(id)
	}
	return r
}

// startNode starts or restarts a node with the data on its disk and a new incarnation.
func (r *randomRun) startNode(id string) {
	r.incarnations[id]++
	n := New(Config{ID: id, Incarnation: r.incarnations[id], MinReplicas: 2, MaxKeys: 60, MaxBytes: 1 << 14, MaxPendingOperations: 8,
		Retention: []RetentionRule{{Prefix: "old/", TTL: 2 * time.Second}}}, r.now)
	shards := make([]int, 0, len(r.disks[id]))
	for shard := range r.disks[id] {
		shards = append(shards, shard)
	}
	slices.Sort(shards)
	for _, shard := range shards {
		disk := r.disks[id][shard]
		var records []Record
		for _, rec := range disk.records {
			records = append(records, rec)
		}
		slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
		n.Load(shard, disk.ballot, records)
	}
	r.nodes[id] = n
	for shard, v := range r.configurations {
		if v.Number > 0 {
			n.SetConfiguration(shard, v)
		}
	}
}

// hashEvent adds an event to the hash and counts it. The kinds are part of the hash.
func (r *randomRun) hashEvent(kind string, parts ...any) {
	r.counts[kind]++
	encoded, err := cbor.Marshal(parts)
	if err != nil {
		r.t.Fatal(err)
	}
	_, _ = fmt.Fprintf(r.hash, "%s %x\n", kind, encoded)
}

// handleReady does the work that the nodes hand out. Disks are written before messages are sent.
func (r *randomRun) handleReady() {
	for _, id := range r.ids {
		ready := r.nodes[id].Ready()
		for _, w := range ready.Writes {
			r.hashEvent("write", id, w.Shard, w.Ballot, w.ReplaceAll, w.Records)
			r.write(id, w)
		}
		for _, m := range ready.Messages {
			r.hashEvent("message", m)
			r.hashEvent(fmt.Sprint("message ", m.Kind))
			switch r.rng.IntN(20) {
			case 0: // lost
			case 1: // sent twice
				r.inTransit = append(r.inTransit, m, m)
			default:
				r.inTransit = append(r.inTransit, m)
			}
		}
		for _, one := range ready.Results {
			r.hashEvent("result", id, one)
			r.hashEvent("result " + one.Outcome.String() + " " + one.Reason.String())
		}
		for _, c := range ready.Reports {
			r.hashEvent("complaint", c)
			if c.CaughtUp {
				r.hashEvent("caught up")
			}
		}
	}
}

// write writes one change to a node's disk.
func (r *randomRun) write(id string, w Write) {
	disk := r.disks[id][w.Shard]
	if disk == nil || w.ReplaceAll {
		disk = &simulatedDisk{records: map[string]Record{}}
		r.disks[id][w.Shard] = disk
	}
	disk.ballot = w.Ballot
	for _, rec := range w.Records {
		if rec.Version == 0 {
			delete(disk.records, rec.Key)
		} else {
			disk.records[rec.Key] = rec
		}
	}
}

// deliver delivers some of the messages in transit, partly out of order.
func (r *randomRun) deliver() {
	for range r.rng.IntN(2 + 2*len(r.inTransit)) {
		if len(r.inTransit) == 0 {
			return
		}
		i := 0
		if r.rng.IntN(4) == 0 {
			i = r.rng.IntN(len(r.inTransit))
		}
		m := r.inTransit[i]
		r.inTransit = slices.Delete(r.inTransit, i, i+1)
		r.nodes[m.To].Step(m)
		r.handleReady()
	}
}

// reconfigure gives a shard a random new configuration, which each node learns with a probability of 7/8.
func (r *randomRun) reconfigure(shard int) {
	old := r.configurations[shard]
	v := shardmap.Configuration{Number: old.Number + 1}
	order := r.rng.Perm(len(r.ids))
	if old.Number > 0 {
		v.InSync = append(v.InSync, old.InSync[r.rng.IntN(len(old.InSync))])
	}
	size := 1 + r.rng.IntN(3)
	for _, i := range order {
		if id := r.ids[i]; !slices.Contains(v.InSync, id) {
			if old.Number > 0 && !slices.Contains(old.InSync, id) {
				if len(v.Joining) == 0 && r.rng.IntN(2) == 0 {
					v.Joining = append(v.Joining, id)
				}
			} else if len(v.InSync) < size {
				v.InSync = append(v.InSync, id)
			}
		}
	}
	r.configurations[shard] = v
	for _, id := range r.ids {
		if r.rng.IntN(8) > 0 {
			r.nodes[id].SetConfiguration(shard, v)
		}
	}
	r.handleReady()
}

// operation submits a random operation on one of the keys at a random node.
func (r *randomRun) operation(keys []string) {
	key := keys[r.rng.IntN(len(keys))]
	id := r.ids[r.rng.IntN(len(r.ids))]
	r.opCount++
	op := Operation{ID: fmt.Sprint("o", r.opCount), Key: key, Value: []byte(fmt.Sprint("v", r.opCount)), CreatedAt: int64(r.now / time.Second)}
	switch r.rng.IntN(8) {
	case 0:
		op.ReadOnly = true
	case 1:
		op.Delete = true
		op.ExpectedVersion = r.nodes[id].Record(key).Version
	case 2:
		op.LocalOnly = true
	case 3:
		op.ExpectedVersion = uint64(r.rng.IntN(4))
	case 4:
		op.ExpectedVersion = 0
	default:
		op.ExpectedVersion = r.nodes[id].Record(key).Version
	}
	r.nodes[id].Submit(op, time.Duration(200+r.rng.IntN(1500))*time.Millisecond)
	r.handleReady()
}

// step takes one random step of the run.
func (r *randomRun) step(keys []string, shards []int) {
	switch n := r.rng.IntN(200); {
	case n < 2:
		r.reconfigure(shards[r.rng.IntN(len(shards))])
	case n == 2:
		id := r.ids[r.rng.IntN(len(r.ids))]
		r.startNode(id)
		r.handleReady()
	case n == 3:
		shard := shards[r.rng.IntN(len(shards))]
		for _, id := range r.ids {
			r.nodes[id].SetConfiguration(shard, r.configurations[shard])
		}
		r.handleReady()
	case n < 60:
		r.operation(keys)
	case n < 110:
		r.now += time.Duration(r.rng.IntN(60)) * time.Millisecond
		for _, id := range r.ids {
			r.nodes[id].Tick(r.now)
			r.nodes[id].SetWallClock(int64(r.now / time.Second))
		}
		r.handleReady()
	default:
		r.deliver()
	}
}

// TestBehaviourDigest guards against unintended changes of the protocol: everything that the nodes of seeded random runs return must hash to
// the same digests as in an earlier version of the program.
func TestBehaviourDigest(t *testing.T) {
	var out strings.Builder
	for seed := range uint64(4) {
		r := newRandomRun(t, seed+1)
		var keys []string
		var shards []int
		for _, prefix := range []string{"word/", "old/"} {
			for i := range 5 {
				key := fmt.Sprint(prefix, i)
				keys = append(keys, key)
				shards = append(shards, shardmap.ShardOf(key))
			}
		}
		for i := range 300 { // enough keys to fill a node
			keys = append(keys, fmt.Sprint(keys[0][:1], i))
		}
		for _, key := range keys[10:] {
			shards = append(shards, shardmap.ShardOf(key))
		}
		slices.Sort(shards)
		shards = slices.Compact(shards)
		for _, shard := range shards {
			r.reconfigure(shard)
		}
		keys = slices.Concat(keys[:10], keys[:10], keys[:10], keys)
		weightedShards := shards
		for range 4 {
			for _, key := range keys[:10] {
				weightedShards = append(weightedShards, shardmap.ShardOf(key))
			}
		}
		for range 4000 {
			r.step(keys, weightedShards)
		}
		fmt.Fprintf(&out, "%d %s\n", seed+1, hex.EncodeToString(r.hash.Sum(nil)))
		t.Log(seed+1, r.counts)
	}
	path := filepath.Join("testdata", "behaviour.golden")
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
