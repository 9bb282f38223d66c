package publisher

import (
	"sync"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// publishInterval is the minimum time between two publications of changes. A change after a pause is published at once. The changes that
// follow within the interval are sent together, in one write to each subscriber.
const publishInterval = 100 * time.Millisecond

// pendingUpdates holds the updates that the member's core has reported and the publisher has not published yet. It is safe for concurrent
// use.
type pendingUpdates struct {
	wakeup chan struct{} // receives a value after an update was added

	mu                  sync.Mutex
	snapshot            *changefeed.Snapshot // the state that the changes apply to; nil if they apply to the published state
	changes             []*changefeed.Change
	confirmation        confirmation
	isConfirmed         bool          // whether confirmation is set
	takenConfirmationAt time.Duration // time of the confirmation that was taken last
	nextPublishAt       time.Duration // earliest time of the next publication of changes
}

// confirmation states that nothing newer than a version had been agreed at a time.
type confirmation struct {
	at      time.Duration
	version uint64
}

// updateBatch holds the updates that are published together.
type updateBatch struct {
	snapshot     *changefeed.Snapshot // snapshot that replaces the state; nil if the state is not replaced
	changes      []*changefeed.Change // changes that are applied after snapshot
	confirmation *confirmation        // newest confirmation; nil if there is no new one
}

// hasChanges reports whether the batch changes the state.
func (b *updateBatch) hasChanges() bool { return b.snapshot != nil || len(b.changes) > 0 }

func newPendingUpdates() *pendingUpdates {
	return &pendingUpdates{wakeup: make(chan struct{}, 1)}
}

// add adds changes. If a snapshot is given, it replaces the pending updates and the changes follow it. add returns false if too many changes
// are pending; the changes are then not added.
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

// take removes and returns the updates that are due. If changes remain because they are not due yet, it also returns the time until they
// are, otherwise zero.
func (p *pendingUpdates) take(now time.Duration) (updateBatch, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch updateBatch
	if p.isConfirmed && p.confirmation.at != p.takenConfirmationAt {
		taken := p.confirmation
		batch.confirmation = &taken
	}
	p.takenConfirmationAt = p.confirmation.at
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

// signal wakes the publisher, without blocking if a wakeup is already pending.
func (p *pendingUpdates) signal() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}
