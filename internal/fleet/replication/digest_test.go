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

// digestRun is a seeded run of several nodes with delayed, lost and repeated messages, restarts, new configurations and records that expire.
// All that the nodes' Ready returns is hashed.
type digestRun struct {
	t              *testing.T
	rng            *rand.Rand
	hash           hash.Hash
	now            time.Duration
	ids            []string
	nodes          map[string]*Node
	incarnations   map[string]uint64
	disks          map[string]map[int]*digestDisk
	configurations []shardmap.Configuration
	inTransit      []Message
	opCount        int
	counts         map[string]int
}

// digestDisk is what one node has on disk of one shard.
type digestDisk struct {
	ballot  Ballot
	records map[string]Record
}

func newDigestRun(t *testing.T, seed uint64) *digestRun {
	r := &digestRun{t: t, rng: rand.New(rand.NewPCG(seed, 1)), hash: sha256.New(), nodes: map[string]*Node{}, incarnations: map[string]uint64{},
		disks: map[string]map[int]*digestDisk{}, configurations: make([]shardmap.Configuration, shardmap.ShardCount), counts: map[string]int{}}
	for i := range 5 {
		id := string(rune('a' + i))
		r.ids = append(r.ids, id)
		r.disks[id] = map[int]*digestDisk{}
		r.startNode(id)
	}
	return r
}

// startNode makes a node of what is on its disk, with a new incarnation.
func (r *digestRun) startNode(id string) {
	r.incarnations[id]++
	n := New(Config{ID: id, Incarnation: r.incarnations[id], MinReplicas: 2, MaxKeys: 60, MaxBytes: 1 << 14, MaxPendingOperations: 8,
		Retention: []RetentionRule{{Prefix: "old/", TTL: 2 * time.Second}}}, r.now)
	nums := make([]int, 0, len(r.disks[id]))
	for num := range r.disks[id] {
		nums = append(nums, num)
	}
	slices.Sort(nums)
	for _, num := range nums {
		disk := r.disks[id][num]
		var records []Record
		for _, rec := range disk.records {
			records = append(records, rec)
		}
		slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
		n.Load(num, disk.ballot, records)
	}
	r.nodes[id] = n
	for num, v := range r.configurations {
		if v.Number > 0 {
			n.SetConfiguration(num, v)
		}
	}
}

func (r *digestRun) note(kind string, parts ...any) {
	r.counts[kind]++
	encoded, err := cbor.Marshal(parts)
	if err != nil {
		r.t.Fatal(err)
	}
	_, _ = fmt.Fprintf(r.hash, "%s %x\n", kind, encoded)
}

// handleReady carries out what the nodes ask for: disks are written before messages are sent.
func (r *digestRun) handleReady() {
	for _, id := range r.ids {
		ready := r.nodes[id].Ready()
		for _, w := range ready.Writes {
			r.note("write", id, w.Shard, w.Ballot, w.ReplaceAll, w.Records)
			r.write(id, w)
		}
		for _, m := range ready.Messages {
			r.note("message", m)
			r.note(fmt.Sprint("message ", m.Kind))
			switch r.rng.IntN(20) {
			case 0: // lost
			case 1: // sent twice
				r.inTransit = append(r.inTransit, m, m)
			default:
				r.inTransit = append(r.inTransit, m)
			}
		}
		for _, one := range ready.Results {
			r.note("result", id, one)
			r.note("result " + one.Outcome.String() + " " + one.Reason.String())
		}
		for _, c := range ready.Reports {
			r.note("complaint", c)
			if c.CaughtUp {
				r.note("caught up")
			}
		}
	}
}

func (r *digestRun) write(id string, w Write) {
	disk := r.disks[id][w.Shard]
	if disk == nil || w.ReplaceAll {
		disk = &digestDisk{records: map[string]Record{}}
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

// deliver hands over some of the messages that are on their way, in any order.
func (r *digestRun) deliver() {
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

// reconfigure gives a shard a new configuration, which some nodes do not learn.
func (r *digestRun) reconfigure(num int) {
	old := r.configurations[num]
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
	r.configurations[num] = v
	for _, id := range r.ids {
		if r.rng.IntN(8) > 0 {
			r.nodes[id].SetConfiguration(num, v)
		}
	}
	r.handleReady()
}

func (r *digestRun) operation(keys []string) {
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

func (r *digestRun) step(keys []string, nums []int) {
	switch n := r.rng.IntN(200); {
	case n < 2:
		r.reconfigure(nums[r.rng.IntN(len(nums))])
	case n == 2:
		id := r.ids[r.rng.IntN(len(r.ids))]
		r.startNode(id)
		r.handleReady()
	case n == 3:
		num := nums[r.rng.IntN(len(nums))]
		for _, id := range r.ids {
			r.nodes[id].SetConfiguration(num, r.configurations[num])
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

// TestBehaviourDigest holds all that the nodes of seeded runs hand out against what an earlier program's handed out.
func TestBehaviourDigest(t *testing.T) {
	var out strings.Builder
	for seed := range uint64(4) {
		r := newDigestRun(t, seed+1)
		var keys []string
		var nums []int
		for _, prefix := range []string{"word/", "old/"} {
			for i := range 5 {
				key := fmt.Sprint(prefix, i)
				keys = append(keys, key)
				nums = append(nums, shardmap.ShardOf(key))
			}
		}
		for i := range 300 { // keys that make a node full
			keys = append(keys, fmt.Sprint(keys[0][:1], i))
		}
		for _, key := range keys[10:] {
			nums = append(nums, shardmap.ShardOf(key))
		}
		slices.Sort(nums)
		nums = slices.Compact(nums)
		for _, num := range nums {
			r.reconfigure(num)
		}
		keys = slices.Concat(keys[:10], keys[:10], keys[:10], keys)
		hot := nums
		for range 4 {
			for _, key := range keys[:10] {
				hot = append(hot, shardmap.ShardOf(key))
			}
		}
		for range 4000 {
			r.step(keys, hot)
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
