package changefeed

import "time"

// confirmation records that a version, with its digest, was the newest agreed version at a given time.
type confirmation struct {
	at      time.Duration
	version uint64
	digest  uint64
}
