// This file owns the desk: what one service does for all balancers in turn, so many calls a second, behind agents or in
// place of the network itself, which virtual time needs.

package emulator

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// WatchHub serves calls one after the other. One that has waited for too long is turned away, but its turn comes all the
// same: what nobody waits for any more takes the time of those who do.
type WatchHub struct {
	each, patience time.Duration

	mu      sync.Mutex
	free    time.Time // when all that has come is served
	rev     int       // of the list,
	text    string    // and what has changed in it
	changed chan struct{}
}

// NewWatchHub makes one that takes so long for each call, and turns calls away after so long a wait.
func NewWatchHub(each, patience time.Duration) *WatchHub {
	return &WatchHub{each: each, patience: patience, changed: make(chan struct{})}
}

// Publish has the list change, once: watches from an older revision are answered with the text.
func (d *WatchHub) Publish(rev int, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev, d.text = rev, text
	close(d.changed)
}

// RoundTrip answers a watch as discovery would: 503 where it has waited too long for its turn, else once there is news, or
// with none once it has waited for as long as it may.
func (d *WatchHub) RoundTrip(r *http.Request) (*http.Response, error) {
	status, text := http.StatusServiceUnavailable, ""
	if d.WaitForWatch(r.Context()) {
		status = http.StatusOK
		q := r.URL.Query()
		from, _ := strconv.Atoi(q.Get("from"))
		text = `{"rev":` + strconv.Itoa(from) + `,"all":false,"targets":[]}`
		ms, _ := strconv.Atoi(q.Get("hold_ms"))
		over := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer over.Stop()
		news := d.changed
		for wait := q.Get("from") != ""; wait; {
			if d.has(from) != "" {
				break
			}
			select {
			case <-news:
				news = nil // there is one change
			case <-over.C:
				wait = false
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
		if changed := d.has(from); changed != "" {
			text = changed
		}
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(text))}, nil
}

// has is what has changed since a revision.
func (d *WatchHub) has(from int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from >= d.rev {
		return ""
	}
	return d.text
}

// WaitForWatch waits for the call's turn; false: it has waited too long, or its caller left.
func (d *WatchHub) WaitForWatch(ctx context.Context) bool {
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
