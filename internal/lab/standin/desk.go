// This file owns the desk: what one service does for all balancers in turn, so many calls a second.

package standin

import (
	"context"
	"sync"
	"time"
)

// Desk serves calls one after the other. One that has waited for too long is turned away, but its turn comes all the
// same: what nobody waits for any more takes the time of those who do.
type Desk struct {
	each, patience time.Duration

	mu   sync.Mutex
	free time.Time // when all that has come is served
}

// NewDesk makes one that takes so long for each call, and turns calls away after so long a wait.
func NewDesk(each, patience time.Duration) *Desk { return &Desk{each: each, patience: patience} }

// Take waits for the call's turn; false: it has waited too long, or its caller left.
func (d *Desk) Take(ctx context.Context) bool {
	now := time.Now()
	d.mu.Lock()
	if d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(d.each)
	wait := d.free.Sub(now)
	d.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(min(wait, d.patience)):
		return wait <= d.patience
	}
}
