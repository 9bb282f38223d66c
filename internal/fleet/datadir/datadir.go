// Package datadir owns a member's data directory: that one process has it at a time, which fleet and machine it belongs to, and
// the member's id, which is drawn when the directory is empty. A member whose disk was lost is therefore another member. It must
// never take over a directory that it can't read to the end, nor one of a newer format.
package datadir

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FormatVersion is the newest form of the directory that this program writes and reads; older ones are read.
const FormatVersion = 1

// ErrLocked is that another process has the directory.
var ErrLocked = errors.New("another process has it")

// Identity is what the directory says of the member.
type Identity struct {
	Format      int    `json:"format"`
	Fleet       string `json:"fleet"`
	Machine     string `json:"machine"`
	MemberID    string `json:"member"` // 32 hexadecimal digits, drawn once
	Incarnation uint64 `json:"life"`   // how often it has been started
}

// Directory is a directory that this process has.
type Directory struct {
	Identity
	IsNew bool // the directory was empty
	dir   string
	lock  *os.File
}

// Open takes a directory for this process, which it makes if it is not there. Errors name the directory; errors.Is tells
// ErrTaken. A directory that was another fleet's or another machine's is refused: it was copied, and its member may still run.
func Open(dir, fleet, machine string) (*Directory, error) {
	s, err := open(dir, fleet, machine)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return s, nil
}

func open(dir, fleet, machine string) (*Directory, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	s := &Directory{dir: dir, lock: lock}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, err
	}
	if err := s.sit(fleet, machine); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return s, nil
}

// sit reads the card, or writes the first one, and counts this life.
func (s *Directory) sit(fleet, machine string) error {
	text, err := os.ReadFile(s.path())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if err := s.empty(); err != nil {
			return err
		}
		var id [16]byte
		rand.Read(id[:]) // never fails
		s.IsNew = true
		s.Identity = Identity{Format: FormatVersion, Fleet: fleet, Machine: machine, MemberID: hex.EncodeToString(id[:])}
	case err != nil:
		return err
	default:
		if s.Identity, err = decode(text); err != nil {
			return fmt.Errorf("member: %w", err)
		}
	}
	switch {
	case s.Fleet != fleet:
		return fmt.Errorf("it is a directory of fleet %q, not of %q", s.Fleet, fleet)
	case s.Machine != machine:
		return fmt.Errorf("it is machine %q's directory, and this is %q: a member with a copy of it may still run; give this one an empty directory",
			s.Machine, machine)
	}
	s.Incarnation++
	s.Format = FormatVersion
	return s.write()
}

// ReadIdentity reads the card of a directory and changes nothing.
func ReadIdentity(dir string) (Identity, error) {
	text, err := os.ReadFile(filepath.Join(dir, "member"))
	if err != nil {
		return Identity{}, err
	}
	c, err := decode(text)
	if err != nil {
		err = fmt.Errorf("%s: member: %w", dir, err)
	}
	return c, err
}

// empty tells whether nothing but the lock lies there. Guards against a directory whose card alone was lost: its member
// would come back as another one in the middle of its own records.
func (s *Directory) empty() error {
	all, err := os.ReadDir(s.dir)
	if err != nil {
		return err
	}
	for _, e := range all {
		if e.Name() != "lock" && e.Name() != "member.new" {
			return fmt.Errorf("it has no file \"member\" but is not empty (%q)", e.Name())
		}
	}
	return nil
}

func (s *Directory) path() string { return filepath.Join(s.dir, "member") }

// write replaces the card whole: a process that ends at any point leaves the old one or the new one.
func (s *Directory) write() error {
	text, err := encode(s.Identity)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(s.path()+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(s.path()+".new", s.path())
	}
	if err != nil {
		return err
	}
	d, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// Close lets go of the directory.
func (s *Directory) Close() { _ = s.lock.Close() }

// ---- The card's form: a line of JSON, then a line with its checksum.

var table = crc32.MakeTable(crc32.Castagnoli)

func encode(c Identity) ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return append(text, sum(string(text))...), nil
}

func sum(body string) string { return fmt.Sprintf("\n%08x\n", crc32.Checksum([]byte(body), table)) }

func decode(text []byte) (Identity, error) {
	var c Identity
	const tail = 1 + 8 + 1
	if len(text) < tail {
		return c, errors.New("it is cut short")
	}
	body := text[:len(text)-tail]
	if string(text[len(body):]) != sum(string(body)) {
		return c, errors.New("its checksum is wrong")
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, err
	}
	if c.Format > FormatVersion {
		return c, fmt.Errorf("its format is %d, written by a newer program; this one reads up to %d", c.Format, FormatVersion)
	}
	if id, err := hex.DecodeString(c.MemberID); err != nil || len(id) != 16 || c.Format < 1 {
		return c, fmt.Errorf("member %q or format %d is none", c.MemberID, c.Format)
	}
	return c, nil
}
