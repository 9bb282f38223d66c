package publisher

import (
	"sync"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// publishInterval is the minimum time between two publications of changes. A change after a pause is published at once; those that
// follow it are sent together, in one write to each subscriber.
const publishInterval = 100 * time.Millisecond

// pendingUpdates holds what the member's core has reported and the publisher has not taken over. It is safe for concurrent use.
type pendingUpdates struct {
	wake chan struct{} // receives where something was added

	mu            sync.Mutex
	snapshot      *changefeed.Snapshot // nil: the changes apply to the published state
	changes       []*changefeed.Change
	confirmation  confirmation
	isConfirmed   bool          // confirmation is set
	takenAt       time.Duration // time of the confirmation that was taken last
	nextPublishAt time.Duration
}

// confirmation states that at a time nothing newer than a version was agreed.
type confirmation struct {
	at      time.Duration
	version uint64
}

// updateBatch is what is published together.
type updateBatch struct {
	snapshot     *changefeed.Snapshot
	changes      []*changefeed.Change
	confirmation *confirmation
}

// hasChanges reports whether the batch changes the state.
func (b *updateBatch) hasChanges() bool { return b.snapshot != nil || len(b.changes) > 0 }

func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{wake: make(chan struct{}, 1)}
}

// add adds changes, which follow a snapshot if one is given. It returns false where too many changes are pending.
func (p *pendingUpdates) add(snapshot *changefeed.Snapshot, changes []*changefeed.Change) bool {
	p.mu.Lock()
	if snapshot != nil {
		p.snapshot = snapshot
		p.changes = nil
	}
	hasCapacity := len(p.changes)+len(changes) <= maxRetainedChanges
	if hasCapacity {
		p.changes = append(p.changes, changes...)
	}
	p.mu.Unlock()
	p.signal()
	return hasCapacity
}

// confirm sets the newest confirmation.
func (p *pendingUpdates) confirm(at time.Duration, version uint64) {
	p.mu.Lock()
	isNewer := !p.isConfirmed || at > p.confirmation.at
	p.confirmation = confirmation{at: at, version: version}
	p.isConfirmed = true
	p.mu.Unlock()
	if isNewer {
		p.signal()
	}
}

// take removes what is to be published now. Changes that are not due yet stay pending for the returned time, zero where there are none.
func (p *pendingUpdates) take(now time.Duration) (updateBatch, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch updateBatch
	if p.isConfirmed && p.confirmation.at != p.takenAt {
		taken := p.confirmation
		batch.confirmation = &taken
	}
	p.takenAt = p.confirmation.at
	if p.snapshot == nil && len(p.changes) == 0 {
		return batch, 0
	}
	if now < p.nextPublishAt {
		return batch, p.nextPublishAt - now
	}
	batch.snapshot = p.snapshot
	batch.changes = p.changes
	p.snapshot = nil
	p.changes = nil
	p.nextPublishAt = now + publishInterval
	return batch, 0
}

func (p *pendingUpdates) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
