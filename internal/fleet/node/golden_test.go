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

// TestPacketsMatchTheGoldenDigest guards against unintended changes of the node's behavior and of the wire format. It runs a fleet of five
// with fixed seeds, puts, a leader that is cut off and a voter that fails, and compares the digest of all encoded packets with that of an
// earlier build.
func TestPacketsMatchTheGoldenDigest(t *testing.T) {
	fleet := newTestFleet(t, 3, "a", "a", "b", "b", "c")
	digest := fnv.New64a()
	packetCount := 0
	fleet.afterStep = func() {
		for _, sent := range fleet.inTransit {
			encoded, err := cbor.Marshal(sent.packet)
			if err != nil {
				t.Fatal(err)
			}
			var header [20]byte
			binary.BigEndian.PutUint64(header[:], uint64(fleet.now))
			binary.BigEndian.PutUint32(header[8:], uint32(sent.from))
			binary.BigEndian.PutUint32(header[12:], uint32(sent.to))
			binary.BigEndian.PutUint32(header[16:], uint32(len(encoded)))
			_, _ = digest.Write(header[:])
			_, _ = digest.Write(encoded)
			packetCount++
		}
	}
	fleet.waitFor("there are three voters", 30*time.Second, func() bool { return len(fleet.voters()) == 3 && fleet.allAgree() })
	for i := range fleet.nodes {
		fleet.put(i, shardmap.Put{Key: fmt.Sprintf("config/%d", i), Value: []byte{byte(i)}, OperationID: fmt.Sprintf("op-%d", i)})
	}
	leader := fleet.leader()
	fleet.isCut = func(from, to int) bool { return from == leader || to == leader }
	fleet.run(5 * time.Second)
	fleet.isCut = func(int, int) bool { return false }
	fleet.run(5 * time.Second)
	fleet.setDown(slices.Max(fleet.voters()), true)
	fleet.run(2 * testEvictAfter)
	got := fmt.Sprintf("%016x, %d packets, version %d\n", digest.Sum64(), packetCount, fleet.nodes[0].FeedState().Version())
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}
