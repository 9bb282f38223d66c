package datadir

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"sabletally/internal/fleet/checksum"
)

// FormatVersion is the version of the directory's format that this program writes. It reads this and all older versions.
const FormatVersion = 1

const (
	memberIDBytes = 16
	checksumBytes = 1 + 8 + 1 // size of the line end after the body and of the checksum line: eight hexadecimal digits and a line end
)

// Identity identifies the member that a directory belongs to. Its file has two lines: the identity as JSON and the checksum of that JSON.
type Identity struct {
	Format      int    `json:"format"`
	FleetName   string `json:"fleet"` // name of the fleet in the fleet file
	Machine     string `json:"machine"`
	MemberID    string `json:"member"` // 32 hexadecimal digits
	Incarnation uint64 `json:"life"`   // number of times that the member was started
}

// ReadIdentity reads the identity of a directory without locking or changing it.
func ReadIdentity(path string) (Identity, error) {
	text, err := os.ReadFile(filepath.Join(path, identityFile))
	if err != nil {
		return Identity{}, err
	}
	identity, err := decodeIdentity(text)
	if err != nil {
		return Identity{}, fmt.Errorf("data directory %s: read identity file %q: %w", path, identityFile, err)
	}
	return identity, nil
}

// encode returns the content of the identity file.
func (i Identity) encode() ([]byte, error) {
	body, err := json.Marshal(i)
	if err != nil {
		return nil, err
	}
	return append(body, checksumLine(body)...), nil
}

// checksumLine returns what follows the body in the identity file: a line end and the line with the checksum.
func checksumLine(body []byte) string { return fmt.Sprintf("\n%08x\n", checksum.Sum(body)) }

// decodeIdentity verifies and decodes the content of an identity file.
func decodeIdentity(text []byte) (Identity, error) {
	if len(text) < checksumBytes {
		return Identity{}, errors.New("file is truncated")
	}
	body, tail := text[:len(text)-checksumBytes], text[len(text)-checksumBytes:]
	if string(tail) != checksumLine(body) {
		return Identity{}, errors.New("checksum mismatch")
	}
	var identity Identity
	if err := json.Unmarshal(body, &identity); err != nil {
		return Identity{}, err
	}
	if identity.Format > FormatVersion {
		return Identity{}, fmt.Errorf("format version %d was written by a newer program; this one reads up to version %d", identity.Format, FormatVersion)
	}
	if id, err := hex.DecodeString(identity.MemberID); err != nil || len(id) != memberIDBytes || identity.Format < 1 {
		return Identity{}, fmt.Errorf("invalid member ID %q or format version %d", identity.MemberID, identity.Format)
	}
	return identity, nil
}
