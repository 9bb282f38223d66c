// This file emulates the capacity of a discovery service that serves the watches of all balancers one after the other. It is used
// behind agents, or as an HTTP transport where a test in virtual time has no network.

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

// WatchHub serves requests one after the other. A request that has waited for too long is rejected, but still takes its service time:
// abandoned requests delay the others.
type WatchHub struct {
	serviceTime, maxWait time.Duration // time that a request takes, and the wait after which it is rejected

	mu      sync.Mutex
	freeAt  time.Time     // time at which all requests so far have been served
	rev     int           // revision of the list
	text    string        // response to watches from an older revision
	changed chan struct{} // closed by Publish
}

// NewWatchHub returns a hub that takes serviceTime for each request and rejects a request after a wait of maxWait.
func NewWatchHub(serviceTime, maxWait time.Duration) *WatchHub {
	return &WatchHub{serviceTime: serviceTime, maxWait: maxWait, changed: make(chan struct{})}
}

// Publish changes the list: watches from an older revision are answered with the text. It may be called once.
func (d *WatchHub) Publish(rev int, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev, d.text = rev, text
	close(d.changed)
}

// RoundTrip answers a watch as a discovery agent does: with 503 if it has waited too long for its turn, else as soon as there is a
// change, or with an empty change after its hold time.
func (d *WatchHub) RoundTrip(r *http.Request) (*http.Response, error) {
	status, text := http.StatusServiceUnavailable, ""
	if d.WaitForWatch(r.Context()) {
		status = http.StatusOK
		q := r.URL.Query()
		from, _ := strconv.Atoi(q.Get("from"))
		text = `{"rev":` + strconv.Itoa(from) + `,"all":false,"targets":[]}`
		ms, _ := strconv.Atoi(q.Get("hold_ms"))
		holdTimer := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer holdTimer.Stop()
		changes := d.changed
		for wait := q.Get("from") != ""; wait; {
			if d.changeSince(from) != "" {
				break
			}
			select {
			case <-changes:
				changes = nil // there is only one change
			case <-holdTimer.C:
				wait = false
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
		if response := d.changeSince(from); response != "" {
			text = response
		}
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(text))}, nil
}

// changeSince returns the response to a watch from a revision; it is empty if the list has not changed since.
func (d *WatchHub) changeSince(from int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from >= d.rev {
		return ""
	}
	return d.text
}

// WaitForWatch waits for a request's turn. It reports false if the request has waited too long or its context is done.
func (d *WatchHub) WaitForWatch(ctx context.Context) bool {
	now := time.Now()
	d.mu.Lock()
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(d.serviceTime)
	wait := d.freeAt.Sub(now)
	d.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(min(wait, d.maxWait)):
		return wait <= d.maxWait
	}
}
