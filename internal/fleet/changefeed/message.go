package changefeed

import (
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version of the messages that this program speaks. A publisher accepts subscribers of its own version and of
// older ones; unknown fields are ignored.
const ProtocolVersion = 1

// MaxMessageBytes bounds an encoded message.
const MaxMessageBytes = MaxStateBytes + 32*MaxKeys + 4096

// Message is a message between a subscriber and a publisher: exactly one of its fields is set.
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

	// Operations belong to the shells that run the cores. The cores only take them as a sign that the peer is alive.
	Operation       *Payload     `cbor:"10,keyasint,omitempty"`
	OperationResult *Payload     `cbor:"11,keyasint,omitempty"`
	PutRequest      *PutRequest  `cbor:"12,keyasint,omitempty"`
	PutResponse     *PutResponse `cbor:"13,keyasint,omitempty"`
}

// Hello is a subscriber's first message.
type Hello struct {
	Fleet           string `cbor:"1,keyasint,omitempty"` // empty before it is known
	ProtocolVersion int    `cbor:"2,keyasint"`
	ID              string `cbor:"3,keyasint"`
	Name            string `cbor:"4,keyasint,omitempty"`
	Incarnation     uint64 `cbor:"5,keyasint,omitempty"` // grows with each start of the subscriber
	Machine         string `cbor:"6,keyasint,omitempty"`
	Zone            string `cbor:"7,keyasint,omitempty"`
	Site            string `cbor:"8,keyasint,omitempty"`
	Version         uint64 `cbor:"9,keyasint,omitempty"`
	Digest          uint64 `cbor:"10,keyasint,omitempty"`
	Standby         bool   `cbor:"11,keyasint,omitempty"` // another publisher brings the subscriber up to date: send nothing before a SyncRequest
}

// RenewRequest renews the subscriber's lease, asks how old the publisher's knowledge is, and acknowledges what was received.
type RenewRequest struct {
	Sequence     uint64 `cbor:"1,keyasint"`
	LastResponse uint64 `cbor:"2,keyasint,omitempty"` // sequence of the newest response that was received
	Version      uint64 `cbor:"3,keyasint,omitempty"`
	Digest       uint64 `cbor:"4,keyasint,omitempty"`
}

// RenewResponse answers a RenewRequest.
type RenewResponse struct {
	Sequence    uint64        `cbor:"1,keyasint"`
	Version     uint64        `cbor:"2,keyasint,omitempty"` // of the publisher
	Digest      uint64        `cbor:"3,keyasint,omitempty"`
	SentVersion uint64        `cbor:"4,keyasint,omitempty"` // newest version that this connection carried, or that the subscriber reported
	Age         time.Duration `cbor:"5,keyasint,omitempty"` // since Version was confirmed to be the newest agreed one
	AgeKnown    bool          `cbor:"6,keyasint,omitempty"`
	Standby     bool          `cbor:"7,keyasint,omitempty"` // nothing is sent before a SyncRequest
}

// Ack acknowledges everything up to a version, between two renewals.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
}

// SyncRequest asks for everything after a version, by changes or by a snapshot.
type SyncRequest struct {
	Version       uint64 `cbor:"1,keyasint,omitempty"`
	Digest        uint64 `cbor:"2,keyasint,omitempty"`
	ForceSnapshot bool   `cbor:"3,keyasint,omitempty"` // even if the changes are available
	LastResponse  uint64 `cbor:"4,keyasint,omitempty"` // as in RenewRequest
}

// Reject tells a subscriber to follow another publisher. The connection ends.
type Reject struct {
	RetryAfter time.Duration `cbor:"1,keyasint,omitempty"`
	Reason     string        `cbor:"2,keyasint,omitempty"`
}

// Disconnect is a subscriber's last message.
type Disconnect struct{}

// Payload is an encoded request or response of the shells; a response carries the ID of its request.
type Payload struct {
	RequestID uint64 `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint,omitempty"`
}

// PutRequest asks for a change of one key. It is idempotent by OperationID.
type PutRequest struct {
	OperationID   string `cbor:"1,keyasint"`
	Key           string `cbor:"2,keyasint"`
	Value         []byte `cbor:"3,keyasint,omitempty"`
	Delete        bool   `cbor:"4,keyasint,omitempty"`
	IfVersion     uint64 `cbor:"5,keyasint,omitempty"` // version that the key must have; 0: the key must not exist
	Unconditional bool   `cbor:"6,keyasint,omitempty"` // IfVersion is ignored
}

// PutResponse answers a PutRequest: the version of the state that contains it, or why it was rejected.
type PutResponse struct {
	OperationID  string `cbor:"1,keyasint"`
	Version      uint64 `cbor:"2,keyasint,omitempty"`
	RejectReason string `cbor:"3,keyasint,omitempty"`
}

// Encode encodes a message.
func Encode(message *Message) []byte {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // plain values
	}
	return encoded
}

// Decode decodes a message. The result shares no memory with the input. The error is ErrMalformedMessage.
func Decode(encoded []byte) (Message, error) {
	if len(encoded) > MaxMessageBytes {
		return Message{}, fmt.Errorf("%w: %d bytes, at most %d", ErrMalformedMessage, len(encoded), MaxMessageBytes)
	}
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	return message, nil
}

// SharedMessage is a message to any number of subscribers, encoded once for all of them. It is immutable once it is handed out.
type SharedMessage struct {
	Content Message
	once    sync.Once
	encoded []byte
}

// Encoded returns the encoded message, which must not be modified. It is safe for concurrent use.
func (m *SharedMessage) Encoded() []byte {
	m.once.Do(func() { m.encoded = Encode(&m.Content) })
	return m.encoded
}
