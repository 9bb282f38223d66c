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

// checkGolden fails the test if bytes differ from a file of testdata.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("%s: encoded bytes are\n%s, the golden file has\n%s", name, got, want)
	}
}

// TestMetaIsUnchanged guards against a change of the metadata's wire format. The metadata of a member must encode to the bytes of the golden
// files and decode to the same member.
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
		encoded := encodeMeta(m)
		checkGolden(t, name, encoded)
		got, err := decodeMember(&memberlist.Node{Name: m.ID, Addr: net.ParseIP("10.0.0.1"), Port: 7001, Meta: encoded})
		if err != nil || got != m {
			t.Errorf("%s: decoded with error %v to %+v", name, err, got)
		}
	}
}

// TestDepartureIsUnchanged guards against a change of the departure's wire format. A departure must encode to the bytes of the golden file and
// decode to the same message.
func TestDepartureIsUnchanged(t *testing.T) {
	want := departure{ID: "0123456789abcdef0123456789abcdef", Incarnation: 7}
	encoded := want.Message()
	checkGolden(t, "bye.json", encoded)
	if got, err := decodeDeparture(encoded); err != nil || got != want {
		t.Errorf("departure decoded with error %v to %+v", err, got)
	}
}

// TestConstantsOnTheWireAreUnchanged guards against a change of the first byte of a stream between members and of the protocol versions.
func TestConstantsOnTheWireAreUnchanged(t *testing.T) {
	if PeerStreamMark != 's' || ProtocolVersion != 2 || MinProtocolVersion != 1 {
		t.Errorf("first byte %q, protocol versions %d to %d", PeerStreamMark, MinProtocolVersion, ProtocolVersion)
	}
}
