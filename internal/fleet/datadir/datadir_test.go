package datadir

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDirectoryKeepsItsMember checks that the ID of a member lasts as long as its directory, that each start counts one incarnation, and that
// two processes cannot use a directory at the same time.
func TestDirectoryKeepsItsMember(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "data")
	first, err := Open(dir, "f", "m1")
	if err != nil || !first.IsNew || first.Incarnation != 1 {
		t.Fatal(first, err)
	}
	if _, err := Open(dir, "f", "m1"); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
	first.Close()
	second, err := Open(dir, "f", "m1")
	if err != nil || second.IsNew || second.MemberID != first.MemberID || second.Incarnation != 2 {
		t.Fatal(second, err)
	}
	second.Close()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	third, err := Open(dir, "f", "m1")
	if err != nil || third.MemberID == first.MemberID {
		t.Fatal("a member that lost its disk has the same ID as before", err)
	}
	third.Close()
}

// TestInvalidDirectoriesAreRefused guards against a member that starts from a damaged or foreign directory: each case modifies a directory in
// one way. Open has to name the fault and the directory, and must not change the identity file.
func TestInvalidDirectoriesAreRefused(t *testing.T) {
	for want, damage := range map[string]func(t *testing.T, dir string, identity []byte){
		"checksum": func(t *testing.T, dir string, identity []byte) {
			identity[3]++
			writeIdentityFile(t, dir, identity)
		},
		"truncated": func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, identity[:4])
		},
		"newer program": func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaceInIdentity(t, identity, `"format":1`, `"format":2`))
		},
		"or format version 0": func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaceInIdentity(t, identity, `"format":1`, `"format":0`))
		},
		`fleet "g", not to fleet "f"`: func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaceInIdentity(t, identity, `"fleet":"f"`, `"fleet":"g"`))
		},
		`belongs to machine "m9"`: func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaceInIdentity(t, identity, `"m1"`, `"m9"`))
		},
		"is not empty": func(t *testing.T, dir string, _ []byte) {
			if err := os.Rename(filepath.Join(dir, identityFile), filepath.Join(dir, "records")); err != nil {
				t.Fatal(err)
			}
		},
	} {
		dir := t.TempDir()
		directory, err := Open(dir, "f", "m1")
		if err != nil {
			t.Fatal(err)
		}
		directory.Close()
		identity, _ := os.ReadFile(filepath.Join(dir, identityFile))
		damage(t, dir, identity)
		before, _ := os.ReadFile(filepath.Join(dir, identityFile))
		if _, err := Open(dir, "f", "m1"); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), dir) {
			t.Errorf("error %v, want %q and the directory", err, want)
		}
		if after, _ := os.ReadFile(filepath.Join(dir, identityFile)); string(after) != string(before) {
			t.Errorf("%s: the identity file was changed", want)
		}
	}
}

// writeIdentityFile replaces the identity file of a directory.
func writeIdentityFile(t *testing.T, dir string, text []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, identityFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// replaceInIdentity replaces a part of an identity file's body and updates the checksum.
func replaceInIdentity(t *testing.T, text []byte, from, to string) []byte {
	t.Helper()
	if _, err := decodeIdentity(text); err != nil {
		t.Fatal(err)
	}
	body := strings.Replace(string(text[:len(text)-checksumBytes]), from, to, 1)
	return append([]byte(body), checksumLine([]byte(body))...)
}
