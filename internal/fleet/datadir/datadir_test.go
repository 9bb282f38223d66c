package datadir

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestADirectoryKeepsItsMember(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "data")
	a, err := Open(dir, "f", "m1")
	if err != nil || !a.IsNew || a.Incarnation != 1 {
		t.Fatal(a, err)
	}
	if _, err := Open(dir, "f", "m1"); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
	a.Close()
	b, err := Open(dir, "f", "m1")
	if err != nil || b.IsNew || b.MemberID != a.MemberID || b.Incarnation != 2 {
		t.Fatal(b, err)
	}
	b.Close()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	c, err := Open(dir, "f", "m1")
	if err != nil || c.MemberID == a.MemberID {
		t.Fatal("a member that lost its disk came back as itself", err)
	}
	c.Close()
}

// TestDirectoriesThatAreRefused spoils a directory in one way each; what lies there is left as it was.
func TestDirectoriesThatAreRefused(t *testing.T) {
	for want, spoil := range map[string]func(dir string, card []byte){
		"checksum":                 func(dir string, card []byte) { card[3]++; put(dir, card) },
		"cut short":                func(dir string, card []byte) { put(dir, card[:4]) },
		"newer program":            func(dir string, card []byte) { put(dir, again(card, `"format":1`, `"format":2`)) },
		"or format 0 is none":      func(dir string, card []byte) { put(dir, again(card, `"format":1`, `"format":0`)) },
		`fleet "g", not of "f"`:    func(dir string, card []byte) { put(dir, again(card, `"fleet":"f"`, `"fleet":"g"`)) },
		`machine "m9"'s directory`: func(dir string, card []byte) { put(dir, again(card, `"m1"`, `"m9"`)) },
		"is not empty": func(dir string, card []byte) {
			_ = os.Rename(filepath.Join(dir, "member"), filepath.Join(dir, "records"))
		},
	} {
		dir := t.TempDir()
		s, err := Open(dir, "f", "m1")
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
		card, _ := os.ReadFile(filepath.Join(dir, "member"))
		spoil(dir, card)
		before, _ := os.ReadFile(filepath.Join(dir, "member"))
		if _, err := Open(dir, "f", "m1"); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), dir) {
			t.Errorf("%s: got %v", want, err)
		}
		if after, _ := os.ReadFile(filepath.Join(dir, "member")); string(after) != string(before) {
			t.Errorf("%s: the directory was changed", want)
		}
	}
}

func put(dir string, card []byte) { _ = os.WriteFile(filepath.Join(dir, "member"), card, 0o600) }

// again changes a card and gives it the checksum that is due then.
func again(card []byte, old, new string) []byte {
	c, err := decode(card)
	if err != nil {
		panic(err)
	}
	text, _ := encode(c)
	body := strings.Replace(string(text[:len(text)-10]), old, new, 1)
	return append([]byte(body), sum(body)...)
}
