package datadir

import (
	"os"
	"path/filepath"
	"testing"
)

// TestIdentityFileIsUnchanged reads the golden file of a directory, encodes it to the same bytes, and counts a start on a copy of it.
func TestIdentityFileIsUnchanged(t *testing.T) {
	want := Identity{Format: 1, FleetName: "istanbul", Machine: "m1", MemberID: "0123456789abcdef0123456789abcdef", Incarnation: 7}
	text, err := os.ReadFile(filepath.Join("testdata", identityFile))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeIdentity(text)
	if err != nil || got != want {
		t.Fatalf("%v: %+v", err, got)
	}
	again, err := got.encode()
	if err != nil || string(again) != string(text) {
		t.Errorf("%v: encoded to\n%s, and the file has\n%s", err, again, text)
	}

	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, identityFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
	open, err := Open(dir, "istanbul", "m1")
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	want.Incarnation++
	if open.Identity != want || open.IsNew {
		t.Errorf("opened as %+v", open.Identity)
	}
	if looked, err := ReadIdentity(dir); err != nil || looked != want {
		t.Errorf("%v: on disk %+v", err, looked)
	}
}
