// Package datadir owns a member's data directory: that one process uses it at a time, which fleet and machine it belongs to, and the
// member's ID, which is drawn when the directory is empty. A member that lost its disk is therefore a new member. The package must
// never accept a directory whose identity it can't read completely, nor one of a newer format.
package datadir

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Names of the files in a data directory.
const (
	identityFile     = "member"
	identityTempFile = "member.new"
	lockFile         = "lock"
)

// ErrLocked means that another process uses the directory.
var ErrLocked = errors.New("another process has it")

// Directory is a data directory that this process has locked.
type Directory struct {
	Identity
	IsNew bool // the directory was empty when it was opened

	path string
	lock *os.File
}

// Open locks a directory for this process, creates it if it does not exist, and counts one more incarnation of its member. The fleet
// and the machine have to be those of the directory: otherwise it is a copy, whose member may still be running elsewhere. Errors name
// the directory; ErrLocked is reported through errors.Is.
func Open(path, fleet, machine string) (*Directory, error) {
	d, err := open(path, fleet, machine)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

func open(path, fleet, machine string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := acquireLock(filepath.Join(path, lockFile))
	if err != nil {
		return nil, err
	}
	d := &Directory{path: path, lock: lock}
	if err := d.start(fleet, machine); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// acquireLock opens a file and locks it, or returns ErrLocked. The lock ends with the file.
func acquireLock(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close() // the lock's error is reported
	if errors.Is(err, unix.EWOULDBLOCK) {
		err = ErrLocked
	}
	return nil, err
}

// start reads or creates the identity, checks whose it is, and stores the next incarnation.
func (d *Directory) start(fleet, machine string) error {
	if err := d.loadOrCreate(fleet, machine); err != nil {
		return err
	}
	if d.FleetName != fleet {
		return fmt.Errorf("it is a directory of fleet %q, not of %q", d.FleetName, fleet)
	}
	if d.Machine != machine {
		return fmt.Errorf("it is machine %q's directory, and this is %q: a member with a copy of it may still run; give this one an empty directory",
			d.Machine, machine)
	}
	d.Incarnation++
	d.Format = FormatVersion
	return d.writeIdentity()
}

func (d *Directory) loadOrCreate(fleet, machine string) error {
	text, err := os.ReadFile(filepath.Join(d.path, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return d.create(fleet, machine)
	}
	if err != nil {
		return err
	}
	if d.Identity, err = decodeIdentity(text); err != nil {
		return fmt.Errorf("%s: %w", identityFile, err)
	}
	return nil
}

// create draws the identity of a new member.
func (d *Directory) create(fleet, machine string) error {
	if err := d.checkEmpty(); err != nil {
		return err
	}
	var id [memberIDBytes]byte
	_, _ = rand.Read(id[:]) // never fails
	d.IsNew = true
	d.Identity = Identity{Format: FormatVersion, FleetName: fleet, Machine: machine, MemberID: hex.EncodeToString(id[:])}
	return nil
}

// checkEmpty refuses a directory without an identity that has other files: its member would come back with a new ID among its own
// records.
func (d *Directory) checkEmpty() error {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if entry.Name() != lockFile && entry.Name() != identityTempFile {
			return fmt.Errorf("it has no file %q but is not empty (%q)", identityFile, entry.Name())
		}
	}
	return nil
}

// writeIdentity replaces the identity atomically: a process that ends at any point leaves the old one or the new one.
func (d *Directory) writeIdentity() error {
	text, err := d.encode()
	if err != nil {
		return err
	}
	temp := filepath.Join(d.path, identityTempFile)
	if err := writeSynced(temp, text); err != nil {
		return err
	}
	if err := os.Rename(temp, filepath.Join(d.path, identityFile)); err != nil {
		return err
	}
	return syncDirectory(d.path)
}

// writeSynced writes a file and waits until it is on disk.
func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory waits until the names in a directory are on disk.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading
	return directory.Sync()
}

// Close releases the directory.
func (d *Directory) Close() { _ = d.lock.Close() } // the lock is released in any case
