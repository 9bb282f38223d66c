package changefeed

import (
	"errors"
	"fmt"
)

// Reasons for which a change, a snapshot or a message is rejected. A rejected one leaves the state as it was. The texts are sent to
// subscribers as the reason of a Reject, so they are part of the protocol.
var (
	// ErrOutOfOrder reports an old version, or a gap before it.
	ErrOutOfOrder = errors.New("not the next version")
	// ErrDigestMismatch reports that the digest before a change is not the state's, or that the digest after it is not the result's.
	ErrDigestMismatch = errors.New("digests differ")
	// ErrConflict reports two histories: one version with different contents.
	ErrConflict = errors.New("the same version, of other content")
	// ErrFull reports that a bound of the state or of a publisher is reached.
	ErrFull = errors.New("the state is full")
	// ErrInvalidItem reports an item with an invalid key or a contradiction.
	ErrInvalidItem = errors.New("not an item")
	// ErrForeignFleet reports state or a peer of another fleet.
	ErrForeignFleet = errors.New("of another fleet")
	// ErrMalformedMessage reports a message without known content, or with a field out of bounds.
	ErrMalformedMessage = errors.New("not a message")
)

var errDraining = fmt.Errorf("%w: this process ends", ErrFull)
