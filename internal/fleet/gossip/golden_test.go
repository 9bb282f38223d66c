package gossip

import (
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/memberlist"

	"sabletally/internal/fleet/membership"
)

// checkGolden compares bytes with a file of testdata.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("%s: encoded to\n%s, and the file has\n%s", name, got, want)
	}
}

// TestMetaIsUnchanged encodes what goes with a member's address to the bytes of the golden files, and decodes these to the same member.
func TestMetaIsUnchanged(t *testing.T) {
	m := membership.Member{
		ID:                 "0123456789abcdef0123456789abcdef",
		Name:               "b1",
		Addr:               netip.MustParseAddrPort("10.0.0.1:7001"),
		Machine:            "machine",
		Zone:               "zone",
		Site:               "site",
		Incarnation:        7,
		ProtocolVersion:    2,
		MinProtocolVersion: 1,
	}
	for name, leaving := range map[string]bool{"meta.json": false, "meta-leaving.json": true} {
		m.Leaving = leaving
		text := encodeMeta(m)
		checkGolden(t, name, text)
		got, err := decodeMember(&memberlist.Node{Name: m.ID, Addr: net.ParseIP("10.0.0.1"), Port: 7001, Meta: text})
		if err != nil || got != m {
			t.Errorf("%s: %v: %+v", name, err, got)
		}
	}
}

// TestDepartureIsUnchanged encodes the message of a member that leaves to the bytes of the golden file, and decodes these to the same message.
func TestDepartureIsUnchanged(t *testing.T) {
	leaving := departure{ID: "0123456789abcdef0123456789abcdef", Incarnation: 7}
	text := leaving.Message()
	checkGolden(t, "bye.json", text)
	if got, err := decodeDeparture(text); err != nil || got != leaving {
		t.Errorf("%v: %+v", err, got)
	}
}

// TestConstantsOnTheWireAreUnchanged has the first byte of a stream between members, and the protocol versions.
func TestConstantsOnTheWireAreUnchanged(t *testing.T) {
	if PeerStreamMark != 's' || ProtocolVersion != 2 || MinProtocolVersion != 1 {
		t.Errorf("%q, protocol versions %d to %d", PeerStreamMark, MinProtocolVersion, ProtocolVersion)
	}
}
