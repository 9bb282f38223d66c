package protocol

import (
	"bytes"
	"hash/maphash"
)

// nameSetSlots is the size of a nameSet's table. It is above the number of names that fit in a line.
const nameSetSlots = 2048

// hashSeed makes the places of names in the table unknown to clients, who could otherwise have them collide.
var hashSeed = maphash.MakeSeed()

// nameSet is the set of the names in a list of names and values. It needs no memory of its own for a name, so that a list of very many short
// names costs no more than a list of few. Its zero value is ready to use.
type nameSet struct {
	starts [nameSetSlots]uint16 // offset behind the start of a name in the list, 0 for a free slot
}

// add adds the name that starts at an offset of the list and reports whether the set did not contain it yet.
func (s *nameSet) add(list []byte, start int, name []byte) bool {
	for slot := maphash.Bytes(hashSeed, name) % nameSetSlots; ; slot = (slot + 1) % nameSetSlots {
		other := int(s.starts[slot])
		if other == 0 {
			s.starts[slot] = uint16(start + 1)
			return true
		}
		if rest, found := bytes.CutPrefix(list[other-1:], name); found && rest[0] == '=' {
			return false
		}
	}
}
