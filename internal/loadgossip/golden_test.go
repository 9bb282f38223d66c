package loadgossip

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"sabletally/policy"
)

var updateGolden = flag.Bool("update", false, "write testdata/datagrams.golden from the present build")

const goldenFile = "testdata/datagrams.golden"

// TestDatagramsAreAsBefore guards against a change of the wire format. It compares the datagrams of some messages, and the messages decoded from
// them, with those of the build that wrote testdata.
func TestDatagramsAreAsBefore(t *testing.T) {
	long := policy.GossipMessage{VersionHash: 0xcafe0123, Offset: 5}
	for n := range 500 {
		long.Loads = append(long.Loads, float64(n*n%977)*13.5)
		long.Overloaded = append(long.Overloaded, n%7 == 3)
	}
	var lines []string
	for _, message := range []policy.GossipMessage{
		{},
		{VersionHash: 1, Loads: []float64{0, 0}, Overloaded: []bool{false, true}},
		{VersionHash: 0xdeadbeef, Offset: 240, Loads: []float64{18410.5, 92000, 1}, Overloaded: []bool{true, false, false}},
		long,
	} {
		for _, datagram := range Encode(message) {
			decoded, err := Decode(datagram)
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, fmt.Sprintf("%s %d %d %v %v", hex.EncodeToString(datagram), decoded.VersionHash, decoded.Offset, decoded.Loads, decoded.Overloaded))
		}
	}
	text := strings.Join(lines, "\n") + "\n"
	if *updateGolden {
		if err := os.WriteFile(goldenFile, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	if text != string(want) {
		t.Errorf("datagrams are\n%swant\n%s", text, want)
	}
}
