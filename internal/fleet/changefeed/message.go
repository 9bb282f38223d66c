package changefeed

import (
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version of the changefeed protocol that this program speaks. A publisher accepts subscribers with the same or an
// older version; unknown fields of messages are ignored.
const ProtocolVersion = 1

// MaxMessageBytes is the maximum length of an encoded message. It has room for a snapshot of a full state.
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

	// Requests that the processes around the cores exchange over the same connection. The cores take them only as a sign of life.
	Operation       *Payload     `cbor:"10,keyasint,omitempty"`
	OperationResult *Payload     `cbor:"11,keyasint,omitempty"`
	PutRequest      *PutRequest  `cbor:"12,keyasint,omitempty"`
	PutResponse     *PutResponse `cbor:"13,keyasint,omitempty"`
}

// Hello is a subscriber's first message on a connection. It identifies the subscriber and states the version that it has.
type Hello struct {
	Fleet           string `cbor:"1,keyasint,omitempty"` // empty until the subscriber knows its fleet
	ProtocolVersion int    `cbor:"2,keyasint"`
	ID              string `cbor:"3,keyasint"`
	Name            string `cbor:"4,keyasint,omitempty"`
	Incarnation     uint64 `cbor:"5,keyasint,omitempty"` // increases with each start of the subscriber
	Machine         string `cbor:"6,keyasint,omitempty"`
	Zone            string `cbor:"7,keyasint,omitempty"`
	Site            string `cbor:"8,keyasint,omitempty"`
	Version         uint64 `cbor:"9,keyasint,omitempty"`
	Digest          uint64 `cbor:"10,keyasint,omitempty"`
	Standby         bool   `cbor:"11,keyasint,omitempty"` // another publisher brings the subscriber up to date: nothing is sent before a SyncRequest
}

// RenewRequest renews the subscriber's lease, asks for the age of the publisher's state, and acknowledges the version that the subscriber
// has.
type RenewRequest struct {
	Sequence     uint64 `cbor:"1,keyasint"`
	LastResponse uint64 `cbor:"2,keyasint,omitempty"` // sequence of the newest RenewResponse that the subscriber has received
	Version      uint64 `cbor:"3,keyasint,omitempty"`
	Digest       uint64 `cbor:"4,keyasint,omitempty"`
}

// RenewResponse answers a RenewRequest.
type RenewResponse struct {
	Sequence    uint64        `cbor:"1,keyasint"`
	Version     uint64        `cbor:"2,keyasint,omitempty"` // version of the publisher's state
	Digest      uint64        `cbor:"3,keyasint,omitempty"`
	SentVersion uint64        `cbor:"4,keyasint,omitempty"` // newest version that was sent on this connection, or that the subscriber reported
	Age         time.Duration `cbor:"5,keyasint,omitempty"` // time since Version was confirmed to be the newest agreed version
	AgeKnown    bool          `cbor:"6,keyasint,omitempty"` // Age is set: the version was confirmed at least once
	Standby     bool          `cbor:"7,keyasint,omitempty"` // the session is on standby: nothing is sent before a SyncRequest
}

// Ack acknowledges all changes up to a version between two renewals, so that the publisher's window does not fill.
type Ack struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
}

// SyncRequest asks a publisher to send everything after a version, as changes or as a snapshot.
type SyncRequest struct {
	Version       uint64 `cbor:"1,keyasint,omitempty"`
	Digest        uint64 `cbor:"2,keyasint,omitempty"`
	ForceSnapshot bool   `cbor:"3,keyasint,omitempty"` // send a snapshot even if the publisher has the changes
	LastResponse  uint64 `cbor:"4,keyasint,omitempty"` // sequence of the newest RenewResponse that the subscriber has received
}

// Reject tells a subscriber to follow another publisher. The publisher closes the connection after it.
type Reject struct {
	RetryAfter time.Duration `cbor:"1,keyasint,omitempty"`
	Reason     string        `cbor:"2,keyasint,omitempty"`
}

// Disconnect is a subscriber's last message on a connection; it closes the session at once.
type Disconnect struct{}

// Payload is an opaque request or response of the processes that run the cores; a response carries the ID of its request.
type Payload struct {
	RequestID uint64 `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint,omitempty"`
}

// PutRequest asks to set or delete one key. A request that is repeated with the same OperationID takes effect once.
type PutRequest struct {
	OperationID   string `cbor:"1,keyasint"`
	Key           string `cbor:"2,keyasint"`
	Value         []byte `cbor:"3,keyasint,omitempty"`
	Delete        bool   `cbor:"4,keyasint,omitempty"`
	IfVersion     uint64 `cbor:"5,keyasint,omitempty"` // version that the key must have for the request to succeed; 0: the key must not exist
	Unconditional bool   `cbor:"6,keyasint,omitempty"` // IfVersion is ignored
}

// PutResponse answers a PutRequest with the version of the state that contains the change, or with the reason for its rejection.
type PutResponse struct {
	OperationID  string `cbor:"1,keyasint"`
	Version      uint64 `cbor:"2,keyasint,omitempty"`
	RejectReason string `cbor:"3,keyasint,omitempty"`
}

// Encode returns the CBOR encoding of a message.
func Encode(message *Message) []byte {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err) // messages contain only types that CBOR can encode
	}
	return encoded
}

// Decode decodes a message from CBOR. The result shares no memory with the input. An error wraps ErrMalformedMessage.
func Decode(encoded []byte) (Message, error) {
	if len(encoded) > MaxMessageBytes {
		return Message{}, fmt.Errorf("%w: message of %d bytes, at most %d are allowed", ErrMalformedMessage, len(encoded), MaxMessageBytes)
	}
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return Message{}, fmt.Errorf("%w: decode CBOR: %w", ErrMalformedMessage, err)
	}
	return message, nil
}

// SharedMessage is a message to any number of subscribers that is encoded once for all of them. Its content must not be modified once
// the message has been handed out.
type SharedMessage struct {
	Content Message
	once    sync.Once
	encoded []byte
}

// Encoded returns the encoded message, which the caller must not modify. It is safe for concurrent use.
func (m *SharedMessage) Encoded() []byte {
	m.once.Do(func() { m.encoded = Encode(&m.Content) })
	return m.encoded
}
