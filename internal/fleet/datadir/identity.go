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

// FormatVersion is the newest version of the directory's format that this program writes and reads; older ones are read.
const FormatVersion = 1

const (
	memberIDBytes = 16
	checksumBytes = 1 + 8 + 1 // a line end, eight hexadecimal digits, a line end
)

// Identity is what a directory says of its member. Its file is one line of JSON and one line with the checksum of the first.
type Identity struct {
	Format      int    `json:"format"`
	FleetName   string `json:"fleet"` // in the fleet file
	Machine     string `json:"machine"`
	MemberID    string `json:"member"` // 32 hexadecimal digits
	Incarnation uint64 `json:"life"`   // number of starts
}

// ReadIdentity reads the identity of a directory without a lock and without changes.
func ReadIdentity(path string) (Identity, error) {
	text, err := os.ReadFile(filepath.Join(path, identityFile))
	if err != nil {
		return Identity{}, err
	}
	identity, err := decodeIdentity(text)
	if err != nil {
		return Identity{}, fmt.Errorf("%s: %s: %w", path, identityFile, err)
	}
	return identity, nil
}

func (i Identity) encode() ([]byte, error) {
	body, err := json.Marshal(i)
	if err != nil {
		return nil, err
	}
	return append(body, checksumLine(body)...), nil
}

func checksumLine(body []byte) string { return fmt.Sprintf("\n%08x\n", checksum.Sum(body)) }

func decodeIdentity(text []byte) (Identity, error) {
	if len(text) < checksumBytes {
		return Identity{}, errors.New("it is cut short")
	}
	body, tail := text[:len(text)-checksumBytes], text[len(text)-checksumBytes:]
	if string(tail) != checksumLine(body) {
		return Identity{}, errors.New("its checksum is wrong")
	}
	var identity Identity
	if err := json.Unmarshal(body, &identity); err != nil {
		return Identity{}, err
	}
	if identity.Format > FormatVersion {
		return Identity{}, fmt.Errorf("its format is %d, written by a newer program; this one reads up to %d", identity.Format, FormatVersion)
	}
	if id, err := hex.DecodeString(identity.MemberID); err != nil || len(id) != memberIDBytes || identity.Format < 1 {
		return Identity{}, fmt.Errorf("member %q or format %d is none", identity.MemberID, identity.Format)
	}
	return identity, nil
}
