package changefeed

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Form is the form of the messages that this program speaks. A relay takes followers of its own form and of older ones; fields that
// it does not know are skipped.
const Form = 1

// MostMessage is how many bytes a message has at most, as it is worded.
const MostMessage = MostBytes + 32*MostKeys + 4096

// ErrMessage is a message that says nothing that this program knows, or has a field out of bounds.
var ErrMessage = errors.New("not a message")

// Msg is one message: one of its fields is set.
type Msg struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Change    *Change    `cbor:"2,keyasint,omitempty"`
	Snapshot  *Snapshot  `cbor:"3,keyasint,omitempty"`
	Renew     *Renew     `cbor:"4,keyasint,omitempty"`
	Renewed   *Renewed   `cbor:"5,keyasint,omitempty"`
	Ack       *Ack       `cbor:"6,keyasint,omitempty"`
	Want      *Want      `cbor:"7,keyasint,omitempty"`
	Elsewhere *Elsewhere `cbor:"8,keyasint,omitempty"`
	Bye       *Bye       `cbor:"9,keyasint,omitempty"`

	// What passes beside the feed is the shells' business; the cores take it for a sign of life and no more.
	Op      *Opaque  `cbor:"10,keyasint,omitempty"`
	Result  *Opaque  `cbor:"11,keyasint,omitempty"`
	Put     *Put     `cbor:"12,keyasint,omitempty"`
	PutDone *PutDone `cbor:"13,keyasint,omitempty"`
}

// Hello is a follower's first message.
type Hello struct {
	Fleet   string `cbor:"1,keyasint,omitempty"` // empty where it is not known yet
	Form    int    `cbor:"2,keyasint"`
	ID      string `cbor:"3,keyasint"`
	Name    string `cbor:"4,keyasint,omitempty"`
	Life    uint64 `cbor:"5,keyasint,omitempty"` // grows with each start of the follower
	Machine string `cbor:"6,keyasint,omitempty"`
	Zone    string `cbor:"7,keyasint,omitempty"`
	Site    string `cbor:"8,keyasint,omitempty"`
	Version uint64 `cbor:"9,keyasint,omitempty"`
	Digest  uint64 `cbor:"10,keyasint,omitempty"`
	Park    bool   `cbor:"11,keyasint,omitempty"` // nothing is to be sent before a Want: another relay brings this follower up to date
}

// Renew asks how old the relay's knowledge is, and acknowledges.
type Renew struct {
	Number  uint64 `cbor:"1,keyasint"`
	Heard   uint64 `cbor:"2,keyasint,omitempty"` // the newest number that was answered: what came before it was read
	Version uint64 `cbor:"3,keyasint,omitempty"`
	Digest  uint64 `cbor:"4,keyasint,omitempty"`
}

// Renewed answers it.
type Renewed struct {
	Number  uint64        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint,omitempty"` // that the relay has
	Digest  uint64        `cbor:"3,keyasint,omitempty"`
	Sent    uint64        `cbor:"4,keyasint,omitempty"` // the version up to which this connection has brought, or was told, the feed
	Age     time.Duration `cbor:"5,keyasint,omitempty"` // so long ago nothing newer was agreed than Version
	Known   bool          `cbor:"6,keyasint,omitempty"` // Age is
	Parked  bool          `cbor:"7,keyasint,omitempty"` // nothing is sent before a Want
}

// Ack acknowledges all up to a version, between two renewals.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
}

// Want asks for what comes after a version; Whole for a snapshot, whatever the ring has.
type Want struct {
	Version uint64 `cbor:"1,keyasint,omitempty"`
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
	Whole   bool   `cbor:"3,keyasint,omitempty"`
	Heard   uint64 `cbor:"4,keyasint,omitempty"` // as in Renew
}

// Elsewhere tells a follower to follow somebody else, and when it may come again. The connection ends.
type Elsewhere struct {
	Wait time.Duration `cbor:"1,keyasint,omitempty"`
	Why  string        `cbor:"2,keyasint,omitempty"`
}

// Bye is a follower's last message.
type Bye struct{}

// Opaque is what the shells pass to each other, an answer under the number of its question.
type Opaque struct {
	Number uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
}

// Put asks for a change of one key. It is idempotent by Op.
type Put struct {
	Op    string `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint,omitempty"`
	Gone  bool   `cbor:"4,keyasint,omitempty"`
	If    uint64 `cbor:"5,keyasint,omitempty"` // the version that the key is to have, 0 where it is not to be there
	Any   bool   `cbor:"6,keyasint,omitempty"` // whatever it has
}

// PutDone answers it: the version of the state that has it, or why it was refused.
type PutDone struct {
	Op      string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Refused string `cbor:"3,keyasint,omitempty"`
}

// Encode words a message.
func Encode(m *Msg) []byte {
	text, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// Decode reads one. What it returns holds no part of the text.
func Decode(text []byte) (Msg, error) {
	if len(text) > MostMessage {
		return Msg{}, fmt.Errorf("%w: %d bytes, at most %d", ErrMessage, len(text), MostMessage)
	}
	var m Msg
	if err := cbor.Unmarshal(text, &m); err != nil {
		return Msg{}, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return m, nil
}

// Out is a message on its way to any number of followers, worded once for all of them. It is not changed once it is handed out.
type Out struct {
	Msg  Msg
	once sync.Once
	text []byte
}

// Text is the message as Encode words it, by whoever asks first; any goroutine may. It is not to be changed.
func (o *Out) Text() []byte {
	o.once.Do(func() { o.text = Encode(&o.Msg) })
	return o.text
}
