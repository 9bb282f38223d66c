package changefeed

import "time"

// confirmation states that at a time nothing newer than a version was agreed.
type confirmation struct {
	at      time.Duration
	version uint64
	digest  uint64
}
