// Package discovery follows the list of servers: one call for the whole list, then watches, over HTTP/1.1. It
// owns the calls and the form of their answers, and hands each list on as soon as it has come. It must never
// judge a server or drop what is known: an outage or a bad answer leaves the old list.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sabletally/policy"
)

const (
	hold      = 4 * time.Second         // how long a watch may wait for news
	answerIn  = 1500 * time.Millisecond // an answer takes no longer than this beyond the wait
	pauseMost = 500 * time.Millisecond  // longest pause after a failed call
	largest   = 16 << 20                // bytes of an answer
)

// Server is one line of the list.
type Server struct {
	UID      string
	Endpoint string
	Zone     string
	Cell     int
	State    policy.State
	Heft     float64
	Boot     time.Time // zero for long ago
}

// List is one answer: the whole list or what has changed.
type List struct {
	Rev     uint64
	Whole   bool
	Servers []Server
}

var states = map[string]policy.State{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Gone,
}

// Decode reads one answer; one with any fault is taken for none.
func Decode(text []byte) (List, error) {
	var in struct {
		Rev     *uint64 `json:"rev"`
		All     *bool   `json:"all"`
		Targets []struct {
			UID      string   `json:"uid"`
			Endpoint string   `json:"endpoint"`
			Zone     string   `json:"az"`
			Cell     int      `json:"pod_group"`
			State    string   `json:"state"`
			Heft     *float64 `json:"capacity_hint"`
			BootMs   int64    `json:"boot_ms"`
		} `json:"targets"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return List{}, err
	}
	if in.Rev == nil || in.All == nil {
		return List{}, errors.New("rev or all is missing")
	}
	l := List{Rev: *in.Rev, Whole: *in.All}
	for i, t := range in.Targets {
		s := Server{UID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Cell: t.Cell, Heft: 1}
		state, known := states[t.State]
		switch {
		case t.UID == "":
			return List{}, fmt.Errorf("targets[%d].uid is missing", i)
		case !known:
			return List{}, fmt.Errorf("targets[%d].state %q is not known", i, t.State)
		case t.Endpoint == "" && state != policy.Gone:
			return List{}, fmt.Errorf("targets[%d].endpoint is missing", i)
		}
		s.State = state
		if t.Heft != nil && *t.Heft > 0 {
			s.Heft = *t.Heft
		}
		if t.BootMs != 0 {
			s.Boot = time.UnixMilli(t.BootMs)
		}
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}

// Watch is one balancer's view of discovery.
type Watch struct {
	address string
	client  *http.Client
	news    func(List)
	failed  func(error)
}

// New prepares a watch; news and failed are called one at a time.
func New(address string, news func(List), failed func(error)) *Watch {
	return &Watch{
		address: address, news: news, failed: failed,
		client: &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConns: 1, MaxConnsPerHost: 2}},
	}
}

// Run follows the list until the context ends.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	rev, whole, pause := uint64(0), false, time.Duration(0)
	for ctx.Err() == nil {
		path, within := "/v1/endpoints", answerIn
		if whole {
			path = fmt.Sprintf("/v1/endpoints?from=%d&hold_ms=%d", rev, hold.Milliseconds())
			within += hold
		}
		list, err := w.call(ctx, path, within)
		if err == nil {
			rev, whole, pause = list.Rev, true, 0
			w.news(list)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var unread *unreadable
		if errors.As(err, &unread) { // what is known may have a gap: the whole list closes it
			whole = false
		}
		w.failed(err)
		pause = min(2*pause+50*time.Millisecond, pauseMost)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// unreadable is an answer that came but can't be read.
type unreadable struct{ error }

func (w *Watch) call(ctx context.Context, path string, within time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+path, nil)
	if err != nil {
		return List{}, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, largest))
	if err != nil {
		return List{}, err
	}
	if res.StatusCode != http.StatusOK {
		return List{}, &unreadable{fmt.Errorf("discovery answers %s", res.Status)}
	}
	list, err := Decode(text)
	if err != nil {
		return List{}, &unreadable{fmt.Errorf("discovery: %w", err)}
	}
	return list, nil
}
