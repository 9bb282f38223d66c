package framing

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/replication"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files before comparing with them")

// TestGoldenFrames guards against a change of the protocol: it compares the frame of each kind of body with the golden file, and decodes it
// again.
func TestGoldenFrames(t *testing.T) {
	record := replication.Record{Key: "k", Version: 2, Value: []byte("v"), OperationID: "o", CreatedAt: 3, Deleted: true, PastOperationIDs: []string{"p"}}
	frames := []struct {
		name  string
		value any
	}{
		{"greeting", Greeting{Fleet: "lab"}},
		{"ask", OperationRequest{Operation: replication.Operation{ID: "id", Key: "k", ExpectedVersion: 3, Value: []byte("v"), CreatedAt: 4, Delete: true, LocalOnly: true, ReadOnly: true}, Timeout: 5 * time.Second}},
		{"result", replication.Result{OperationID: "op", Outcome: replication.OutcomeConflict, Reason: replication.ReasonBusy, Record: record}},
	}
	path := filepath.Join("testdata", "frames.golden")
	var lines []string
	for _, f := range frames {
		body := Encode(f.value)
		lines = append(lines, f.name+" "+hex.EncodeToString(append(Header(body), body...)))
	}
	got := string(StreamMark) + "\n" + strings.Join(lines, "\n") + "\n"
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
		t.Fatalf("%s differs:\n got %s\nwant %s", path, got, want)
	}
	for i, line := range strings.Split(strings.TrimSpace(string(want)), "\n")[1:] {
		_, digits, _ := strings.Cut(line, " ")
		frame, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		body, err := Read(bytes.NewReader(frame), 1<<10)
		if err != nil {
			t.Fatalf("read frame %s: %v", frames[i].name, err)
		}
		decoded := reflect.New(reflect.TypeOf(frames[i].value))
		if err := Decode(body, decoded.Interface()); err != nil {
			t.Fatalf("decode %s: %v", frames[i].name, err)
		}
		if !reflect.DeepEqual(decoded.Elem().Interface(), frames[i].value) {
			t.Errorf("%s: decoded as %+v", frames[i].name, decoded.Elem())
		}
		if again := Encode(decoded.Elem().Interface()); !bytes.Equal(again, body) {
			t.Errorf("%s: the decoded value is encoded as %x", frames[i].name, again)
		}
	}
}
