// Package datadir manages the data directory of a member. It ensures that one process uses the directory at a time, and stores which fleet
// and machine the directory belongs to and the member's ID. The ID is generated when the directory is empty, so a member that lost its disk
// comes back as a new member. The package must never accept a directory whose identity it cannot read completely, or one with a newer format
// version.
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

// ErrLocked reports that another process uses the directory.
var ErrLocked = errors.New("in use by another process")

// Directory is a data directory that this process has locked.
type Directory struct {
	Identity
	IsNew bool // whether the directory was empty when it was opened

	path string
	lock *os.File
}

// Open creates a directory if it does not exist, locks it for this process, and increments the incarnation of its member. The fleet and the
// machine must be those of the directory. If the machine is another one, the directory may be a copy, and its member may still be running
// elsewhere. If another process uses the directory, the error wraps ErrLocked.
func Open(path, fleet, machine string) (*Directory, error) {
	d, err := open(path, fleet, machine)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// open is Open with errors that do not name the directory.
func open(path, fleet, machine string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := acquireLock(filepath.Join(path, lockFile))
	if err != nil {
		return nil, err
	}
	d := &Directory{path: path, lock: lock}
	if err := d.startIncarnation(fleet, machine); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// acquireLock opens a file and locks it, or returns ErrLocked. The lock is released when the file is closed.
func acquireLock(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close() // the error of the lock is returned instead
	if errors.Is(err, unix.EWOULDBLOCK) {
		err = ErrLocked
	}
	return nil, err
}

// startIncarnation reads or creates the identity, verifies the fleet and the machine, and stores the next incarnation.
func (d *Directory) startIncarnation(fleet, machine string) error {
	if err := d.loadOrCreate(fleet, machine); err != nil {
		return err
	}
	if d.FleetName != fleet {
		return fmt.Errorf("the directory belongs to fleet %q, not to fleet %q", d.FleetName, fleet)
	}
	if d.Machine != machine {
		return fmt.Errorf("the directory belongs to machine %q, and this is machine %q: the member may still be running there; start with an empty directory",
			d.Machine, machine)
	}
	d.Incarnation++
	d.Format = FormatVersion
	return d.writeIdentity()
}

// loadOrCreate reads the identity, or creates one if the directory has none.
func (d *Directory) loadOrCreate(fleet, machine string) error {
	text, err := os.ReadFile(filepath.Join(d.path, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return d.createIdentity(fleet, machine)
	}
	if err != nil {
		return err
	}
	if d.Identity, err = decodeIdentity(text); err != nil {
		return fmt.Errorf("read identity file %q: %w", identityFile, err)
	}
	return nil
}

// createIdentity generates the identity of a new member.
func (d *Directory) createIdentity(fleet, machine string) error {
	if err := d.checkEmpty(); err != nil {
		return err
	}
	var id [memberIDBytes]byte
	_, _ = rand.Read(id[:]) // rand.Read never fails
	d.IsNew = true
	d.Identity = Identity{Format: FormatVersion, FleetName: fleet, Machine: machine, MemberID: hex.EncodeToString(id[:])}
	return nil
}

// checkEmpty returns an error if a directory without an identity has other files: its member would come back with a new ID and with the
// records of the old one.
func (d *Directory) checkEmpty() error {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if entry.Name() != lockFile && entry.Name() != identityTempFile {
			return fmt.Errorf("the directory has no file %q but is not empty: it contains %q", identityFile, entry.Name())
		}
	}
	return nil
}

// writeIdentity replaces the identity file atomically: whenever the process ends, the old or the new identity is on disk.
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

// writeSynced writes a file and waits until its content is on disk.
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

// syncDirectory waits until the entries of a directory are on disk.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // the directory was opened for reading only
	return directory.Sync()
}

// Close unlocks the directory.
func (d *Directory) Close() { _ = d.lock.Close() } // the lock is released even if this returns an error
