package node

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sabletally/internal/fleet/shardmap"
)

// TestPacketsMatchTheGoldenDigest plays a fleet of five with a seed, puts and a leader that is cut off, and holds all packets, as they are encoded, to the
// digest that testdata keeps.
func TestPacketsMatchTheGoldenDigest(t *testing.T) {
	w := newWorld(t, 3, "a", "a", "b", "b", "c")
	sum := fnv.New64a()
	packets := 0
	w.each = func() {
		for _, one := range w.way {
			text, err := cbor.Marshal(one.p)
			if err != nil {
				t.Fatal(err)
			}
			var head [20]byte
			binary.BigEndian.PutUint64(head[:], uint64(w.now))
			binary.BigEndian.PutUint32(head[8:], uint32(one.from))
			binary.BigEndian.PutUint32(head[12:], uint32(one.to))
			binary.BigEndian.PutUint32(head[16:], uint32(len(text)))
			_, _ = sum.Write(head[:])
			_, _ = sum.Write(text)
			packets++
		}
	}
	w.until("there are three voters", 30*time.Second, func() bool { return len(w.voters()) == 3 && w.same() })
	for i := range w.cores {
		w.put(i, shardmap.Put{Key: fmt.Sprintf("config/%d", i), Value: []byte{byte(i)}, OperationID: fmt.Sprintf("op-%d", i)})
	}
	leader := w.leader()
	w.cut = func(from, to int) bool { return from == leader || to == leader }
	w.run(5 * time.Second)
	w.cut = func(int, int) bool { return false }
	w.run(5 * time.Second)
	w.turn(slices.Max(w.voters()), true)
	w.run(2 * evict)
	got := fmt.Sprintf("%016x, %d packets, version %d\n", sum.Sum64(), packets, w.cores[0].FeedState().Version())
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}
