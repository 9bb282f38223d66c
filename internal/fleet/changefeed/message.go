package changefeed

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the form of the messages that this program speaks. A relay takes followers of its own form and of older ones; fields that
// it does not know are skipped.
const ProtocolVersion = 1

// MaxMessageBytes is how many bytes a message has at most, as it is worded.
const MaxMessageBytes = MaxStateBytes + 32*MaxKeys + 4096

// ErrMalformedMessage is a message that says nothing that this program knows, or has a field out of bounds.
var ErrMalformedMessage = errors.New("not a message")

// Message is one message: one of its fields is set.
type Message struct {
	Hello         *Hello         `cbor:"1,keyasint,omitempty"`
	Change        *Change        `cbor:"2,keyasint,omitempty"`
	Snapshot      *Snapshot      `cbor:"3,keyasint,omitempty"`
	RenewRequest  *RenewRequest  `cbor:"4,keyasint,omitempty"`
	RenewResponse *RenewResponse `cbor:"5,keyasint,omitempty"`
	Ack           *Ack           `cbor:"6,keyasint,omitempty"`
	SyncRequest   *SyncRequest   `cbor:"7,keyasint,omitempty"`
	Reject        *Reject        `cbor:"8,keyasint,omitempty"`
	Disconnect    *Disconnect    `cbor:"9,keyasint,omitempty"`

	// What passes beside the feed is the shells' business; the cores take it for a sign of life and no more.
	Operation       *Payload     `cbor:"10,keyasint,omitempty"`
	OperationResult *Payload     `cbor:"11,keyasint,omitempty"`
	PutRequest      *PutRequest  `cbor:"12,keyasint,omitempty"`
	PutResponse     *PutResponse `cbor:"13,keyasint,omitempty"`
}

// Hello is a follower's first message.
type Hello struct {
	Fleet           string `cbor:"1,keyasint,omitempty"` // empty where it is not known yet
	ProtocolVersion int    `cbor:"2,keyasint"`
	ID              string `cbor:"3,keyasint"`
	Name            string `cbor:"4,keyasint,omitempty"`
	Incarnation     uint64 `cbor:"5,keyasint,omitempty"` // grows with each start of the follower
	Machine         string `cbor:"6,keyasint,omitempty"`
	Zone            string `cbor:"7,keyasint,omitempty"`
	Site            string `cbor:"8,keyasint,omitempty"`
	Version         uint64 `cbor:"9,keyasint,omitempty"`
	Digest          uint64 `cbor:"10,keyasint,omitempty"`
	Standby         bool   `cbor:"11,keyasint,omitempty"` // nothing is to be sent before a Want: another relay brings this follower up to date
}

// RenewRequest asks how old the relay's knowledge is, and acknowledges.
type RenewRequest struct {
	Sequence     uint64 `cbor:"1,keyasint"`
	LastResponse uint64 `cbor:"2,keyasint,omitempty"` // the newest number that was answered: what came before it was read
	Version      uint64 `cbor:"3,keyasint,omitempty"`
	Digest       uint64 `cbor:"4,keyasint,omitempty"`
}

// RenewResponse answers it.
type RenewResponse struct {
	Sequence    uint64        `cbor:"1,keyasint"`
	Version     uint64        `cbor:"2,keyasint,omitempty"` // that the relay has
	Digest      uint64        `cbor:"3,keyasint,omitempty"`
	SentVersion uint64        `cbor:"4,keyasint,omitempty"` // the version up to which this connection has brought, or was told, the feed
	Age         time.Duration `cbor:"5,keyasint,omitempty"` // so long ago nothing newer was agreed than Version
	AgeKnown    bool          `cbor:"6,keyasint,omitempty"` // Age is
	Standby     bool          `cbor:"7,keyasint,omitempty"` // nothing is sent before a Want
}

// Ack acknowledges all up to a version, between two renewals.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
}

// SyncRequest asks for what comes after a version; Whole for a snapshot, whatever the ring has.
type SyncRequest struct {
	Version       uint64 `cbor:"1,keyasint,omitempty"`
	Digest        uint64 `cbor:"2,keyasint,omitempty"`
	ForceSnapshot bool   `cbor:"3,keyasint,omitempty"`
	LastResponse  uint64 `cbor:"4,keyasint,omitempty"` // as in Renew
}

// Reject tells a follower to follow somebody else, and when it may come again. The connection ends.
type Reject struct {
	RetryAfter time.Duration `cbor:"1,keyasint,omitempty"`
	Reason     string        `cbor:"2,keyasint,omitempty"`
}

// Disconnect is a follower's last message.
type Disconnect struct{}

// Payload is what the shells pass to each other, an answer under the number of its question.
type Payload struct {
	RequestID uint64 `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint,omitempty"`
}

// PutRequest asks for a change of one key. It is idempotent by Op.
type PutRequest struct {
	OperationID   string `cbor:"1,keyasint"`
	Key           string `cbor:"2,keyasint"`
	Value         []byte `cbor:"3,keyasint,omitempty"`
	Delete        bool   `cbor:"4,keyasint,omitempty"`
	IfVersion     uint64 `cbor:"5,keyasint,omitempty"` // the version that the key is to have, 0 where it is not to be there
	Unconditional bool   `cbor:"6,keyasint,omitempty"` // whatever it has
}

// PutResponse answers it: the version of the state that has it, or why it was refused.
type PutResponse struct {
	OperationID  string `cbor:"1,keyasint"`
	Version      uint64 `cbor:"2,keyasint,omitempty"`
	RejectReason string `cbor:"3,keyasint,omitempty"`
}

// Encode words a message.
func Encode(m *Message) []byte {
	text, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// Decode reads one. What it returns holds no part of the text.
func Decode(text []byte) (Message, error) {
	if len(text) > MaxMessageBytes {
		return Message{}, fmt.Errorf("%w: %d bytes, at most %d", ErrMalformedMessage, len(text), MaxMessageBytes)
	}
	var m Message
	if err := cbor.Unmarshal(text, &m); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return m, nil
}

// SharedMessage is a message on its way to any number of followers, worded once for all of them. It is not changed once it is handed out.
type SharedMessage struct {
	Content Message
	once    sync.Once
	text    []byte
}

// Encoded is the message as Encode words it, by whoever asks first; any goroutine may. It is not to be changed.
func (o *SharedMessage) Encoded() []byte {
	o.once.Do(func() { o.text = Encode(&o.Content) })
	return o.text
}
