// This file owns the desk: what one service does for all balancers in turn, so many calls a second, behind agents or in
// place of the network itself, which virtual time needs.

package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Desk serves calls one after the other. One that has waited for too long is turned away, but its turn comes all the
// same: what nobody waits for any more takes the time of those who do.
type Desk struct {
	each, patience time.Duration

	mu      sync.Mutex
	free    time.Time // when all that has come is served
	rev     int       // of the list,
	text    string    // and what has changed in it
	changed chan struct{}
}

// NewDesk makes one that takes so long for each call, and turns calls away after so long a wait.
func NewDesk(each, patience time.Duration) *Desk {
	return &Desk{each: each, patience: patience, changed: make(chan struct{})}
}

// Change has the list change, once: watches from an older revision are answered with the text.
func (d *Desk) Change(rev int, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev, d.text = rev, text
	close(d.changed)
}

// RoundTrip answers a watch as discovery would: 503 where it has waited too long for its turn, else once there is news, or
// not before the caller leaves.
func (d *Desk) RoundTrip(r *http.Request) (*http.Response, error) {
	status, text := http.StatusServiceUnavailable, ""
	if d.Take(r.Context()) {
		status = http.StatusOK
		select {
		case <-d.changed:
			if from, _ := strconv.Atoi(r.URL.Query().Get("from")); from < d.rev {
				text = d.text
				break
			}
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(text))}, r.Context().Err()
}

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
