package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var updateGolden = flag.Bool("update", false, "write testdata/frames.golden from the current build")

const goldenFile = "testdata/frames.golden"

// allFeatures are settings under which an instance uses every action of the protocol.
const allFeatures = `{"PeersTotal": 3, "Me": 1, "Zone": 0, "RegistryMode": "on_request", "Weights": "nominal", "ExcessUtility": 0.5,
 "ServiceGrades": [{"Name": "read", "Effect": "read_like", "Group": "all", "LatencyGoalUs": 300000, "OuterLimitUs": 2000000, "Utility": 1.0},
  {"Name": "write", "Effect": "non_idempotent", "LatencyGoalUs": 200000, "Utility": 4.0}],
 "Accounts": [{"Name": "a"}, {"Name": "b"}], "Specifics": {"MessageAimUs": [100000, 90000], "TenantQuotaConnections": [2, 9]},
 "Guarantees": {"ColdFrom": 0.16, "ColdUs": 23000000, "FallMultiple": 3.0, "FallUs": 1500000},
 "Report": {"Fields": ["x0", "x1", "cpu"], "How": "probe"}, "Prices": {"CrossZone": 0.05},
 "Limits": {"MostSetupTries": 3, "MaxRetryAfterUs": 1000000, "RetryAfter": true, "Probes": true, "Peers": true}}`

// goldenFrames returns frames that together have a record of every event.
func goldenFrames() [][]byte {
	const (
		second   = "0b 03000000 c5913a5d24e80400 01000000 0000 00 650ad2557c3bf091 00000000 0000000000000000 80841e00"
		write    = "0b 03000000 c6913a5d24e80400 01000000 0100 01 660ad2557c3bf091 e02e0000 107cf3d901648e2b 80841e00"
		adopted  = "09 03000000 0100000000000000 00000000 0100000000000000 0000000000000000 0a124a07 5b1b 80a90300"
		endpoint = "0a124a07 5b1b"
	)
	datagram := []byte{1, 2, 3, 4, 0, 0, 0, 0, 0x80, 0x3f, 0x10, 0x90}
	frames := [][]byte{
		frame(900_000, nil),
		openFrame(strings.Replace(allFeatures, `"Probes": true`, `"Probes": false`, 1)),
		frame(1_100_000, nil, write),
		frame(1_200_000, nil, "04 03000000 c6913a5d24e80400 "+endpoint+" 00 00 f6010000 9801 00"),
		frame(1_300_000, nil, "01 03000000"),
	}
	frames = append(frames, openFrame(allFeatures), frame(1_100_000, nil, sessionEvent, second, write, adopted))
	frames = append(frames,
		frame(1_120_000, nil, "05 03000000 "+endpoint+" c800 00000000 03 cdcc4c3e 0000003f cdcccc3e"),
		frame(1_130_000, nil, "05 03000000 0a9011f2841b c800 00000000 03 cdcc4c3e 0000003f cdcccc3e"),
		frame(1_300_000, datagram,
			"08 03000000 c4913a5d24e80400 10270000 "+endpoint+" 00",
			"08 03000000 c5913a5d24e80400 10270000 "+endpoint+" 00",
			"04 03000000 c6913a5d24e80400 "+endpoint+" 00 00 f6010000 c800 01 0000803f",
			"06 03000000 01000000 00000000 0c000000",
			"07 03000000 4d000000"),
		frame(1_400_000, nil,
			"03 03000000 c4913a5d24e80400 "+endpoint+" 00 01 0000c842",
			"03 03000000 c4913a5d24e80400 "+endpoint+" 00 02 0000c842",
			"00 03000000 c5913a5d24e80400"),
		frame(1_500_000, nil, "02 03000000 00"),
		frame(4_000_000, nil, "07 03000000 4d000000"),
	)
	drainingEntry, err := hex.DecodeString("0a124a075b1b000000000000020000803f0000000000000000")
	if err != nil {
		panic(err)
	}
	frames = append(frames, frame(4_500_000, drainingEntry, "02 03000000 04 2900000000000000 00000000 01000000"))
	for n := range 12 {
		frames = append(frames, frame(uint64(4_750_000+250_000*n), nil, "07 03000000 4d000000"))
	}
	removedEntries, err := hex.DecodeString("0a124a075b1b000000000000010000803f0000000000000000" + "0a9011f2841b000000000000010000803f0000000000000000")
	if err != nil {
		panic(err)
	}
	third := strings.Replace(second, "c591", "c791", 1)
	frames = append(frames, frame(8_000_000, removedEntries, "02 03000000 01 2900000000000000 00000000 02000000", third))
	frames = append(frames, openFrame("not json"), frame(9_000_000, nil, "01 03000000"))
	return frames
}

// replies splits the output of Serve into replies.
func replies(t *testing.T, out []byte) [][]byte {
	var all [][]byte
	for len(out) > 0 {
		if len(out) < replyHeaderSize {
			t.Fatalf("output ends with %d bytes, too few for a reply", len(out))
		}
		size := int(binary.LittleEndian.Uint32(out))
		all = append(all, out[:size])
		out = out[size:]
	}
	return all
}

// TestFramesAreAnsweredAsBefore guards against a reply that differs in any byte from that of the build that wrote testdata. The frames
// have a record of every event and lead to every action.
func TestFramesAreAnsweredAsBefore(t *testing.T) {
	if *updateGolden {
		in := goldenFrames()
		out, err := serve(bytes.Join(in, nil))
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		for n, reply := range replies(t, out) {
			fmt.Fprintf(&text, "in  %x\nout %x\n", in[n], reply)
		}
		if err := os.WriteFile(goldenFile, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var in []byte
	var want []string
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		frame, isIn := strings.CutPrefix(line, "in  ")
		if !isIn {
			want = append(want, strings.TrimPrefix(line, "out "))
			continue
		}
		bytes, err := hex.DecodeString(frame)
		if err != nil {
			t.Fatal(err)
		}
		in = append(in, bytes...)
	}
	out, err := serve(in)
	if err != nil {
		t.Fatal(err)
	}
	got := replies(t, out)
	if len(got) != len(want) {
		t.Fatalf("%d replies, want %d", len(got), len(want))
	}
	seen := map[byte]bool{}
	for n, reply := range got {
		if hex.EncodeToString(reply) != want[n] {
			t.Errorf("reply %d: got  %x\nwant %s", n, reply, want[n])
		}
		records := int(binary.LittleEndian.Uint32(reply[4:]))
		for i := range records {
			seen[reply[replyHeaderSize+i*actionSize]] = true
		}
	}
	for _, code := range []byte{0, 1, 2, 4, 5, 7, 9, 10, 12} {
		if !seen[code] {
			t.Errorf("no reply has action %d", code)
		}
	}
}
