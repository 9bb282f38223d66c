package subscriber

import (
	"encoding/hex"
	"flag"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files before comparing with them")

// TestGoldenOpening guards against a change of the protocol: it compares the first bytes that a subscriber sends to a control process with the
// golden file. They are the stream mark, the greeting, the Hello and a renewal of the lease.
func TestGoldenOpening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // an error here does not affect the test
	client := Open(Options{Fleet: "lab", Name: "b-1", ID: "id-1", Incarnation: 3, Machine: "m", Zone: "z", Site: "s",
		Seeds: []netip.AddrPort{listener.Addr().(*net.TCPAddr).AddrPort()}, Seed: 1, Now: boottime.Now, Log: zap.NewNop()})
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // an error here does not affect the test
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	mark := make([]byte, 1)
	if _, err := io.ReadFull(conn, mark); err != nil {
		t.Fatal(err)
	}
	got := string(mark) + "\n"
	for range 3 {
		body, err := framing.Read(conn, changefeed.MaxMessageBytes)
		if err != nil {
			t.Fatal(err)
		}
		got += hex.EncodeToString(append(framing.Header(body), body...)) + "\n"
	}
	path := filepath.Join("testdata", "opening.golden")
	if *updateGolden {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs:\n got %s\nwant %s", path, got, want)
	}
}
