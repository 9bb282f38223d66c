package changefeed

import (
	"errors"
	"fmt"
)

// Reasons for rejecting a change, a snapshot or a message. A rejected change or snapshot leaves the state unchanged. The texts are sent to
// subscribers as the reason of a Reject, so they are part of the protocol.
var (
	// ErrOutOfOrder reports a change or snapshot that does not follow the present version: it is older, or versions before it are missing.
	ErrOutOfOrder = errors.New("not the next version")
	// ErrDigestMismatch reports a change that was made for a state with another digest, or whose result has another digest than announced.
	ErrDigestMismatch = errors.New("digests differ")
	// ErrConflict reports that two histories exist: the same version has different contents.
	ErrConflict = errors.New("the same version, of other content")
	// ErrFull reports that a size limit of the state, or the subscriber limit of a publisher, is reached.
	ErrFull = errors.New("the state is full")
	// ErrInvalidItem reports an item with an invalid key, a deleted item with a value, or a key that occurs twice.
	ErrInvalidItem = errors.New("not an item")
	// ErrForeignFleet reports a state or a peer that belongs to another fleet.
	ErrForeignFleet = errors.New("of another fleet")
	// ErrMalformedMessage reports a message that cannot be decoded, has no known content, or has a field out of bounds.
	ErrMalformedMessage = errors.New("not a message")
)

// errDraining is the reason of a Reject that a draining publisher sends: its process is about to end.
var errDraining = fmt.Errorf("%w: this process ends", ErrFull)
