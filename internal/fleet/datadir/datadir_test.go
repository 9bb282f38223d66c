package datadir

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

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
		t.Fatal("a member that lost its disk came back as itself", err)
	}
	third.Close()
}

// TestInvalidDirectoriesAreRefused damages a directory in one way each; what is in it stays as it was.
func TestInvalidDirectoriesAreRefused(t *testing.T) {
	for want, damage := range map[string]func(t *testing.T, dir string, identity []byte){
		"checksum": func(t *testing.T, dir string, identity []byte) {
			identity[3]++
			writeIdentityFile(t, dir, identity)
		},
		"cut short": func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, identity[:4])
		},
		"newer program": func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaced(t, identity, `"format":1`, `"format":2`))
		},
		"or format 0 is none": func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaced(t, identity, `"format":1`, `"format":0`))
		},
		`fleet "g", not of "f"`: func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaced(t, identity, `"fleet":"f"`, `"fleet":"g"`))
		},
		`machine "m9"'s directory`: func(t *testing.T, dir string, identity []byte) {
			writeIdentityFile(t, dir, replaced(t, identity, `"m1"`, `"m9"`))
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
			t.Errorf("%s: got %v", want, err)
		}
		if after, _ := os.ReadFile(filepath.Join(dir, identityFile)); string(after) != string(before) {
			t.Errorf("%s: the directory was changed", want)
		}
	}
}

func writeIdentityFile(t *testing.T, dir string, text []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, identityFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// replaced changes the body of an identity file and gives it the matching checksum.
func replaced(t *testing.T, text []byte, from, to string) []byte {
	t.Helper()
	if _, err := decodeIdentity(text); err != nil {
		t.Fatal(err)
	}
	body := strings.Replace(string(text[:len(text)-checksumBytes]), from, to, 1)
	return append([]byte(body), checksumLine([]byte(body))...)
}
