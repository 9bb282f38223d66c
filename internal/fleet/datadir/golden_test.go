package datadir

import (
	"os"
	"path/filepath"
	"testing"
)

// TestIdentityFileIsUnchanged guards against a change of the identity file's format: it decodes the golden file, encodes it to the same bytes,
// and opens a directory with a copy of it.
func TestIdentityFileIsUnchanged(t *testing.T) {
	want := Identity{Format: 1, FleetName: "istanbul", Machine: "m1", MemberID: "0123456789abcdef0123456789abcdef", Incarnation: 7}
	text, err := os.ReadFile(filepath.Join("testdata", identityFile))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeIdentity(text)
	if err != nil || got != want {
		t.Fatalf("decode: error %v, identity %+v", err, got)
	}
	again, err := got.encode()
	if err != nil || string(again) != string(text) {
		t.Errorf("encode: error %v, got\n%s, want\n%s", err, again, text)
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
		t.Errorf("opened directory has identity %+v", open.Identity)
	}
	if stored, err := ReadIdentity(dir); err != nil || stored != want {
		t.Errorf("read identity: error %v, identity %+v", err, stored)
	}
}
