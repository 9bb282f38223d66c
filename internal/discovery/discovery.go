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
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"sabletally/policy"
)

const (
	hold      = 4 * time.Second         // how long a watch may wait for news, and
	holdEach  = 500 * time.Millisecond  // so much for each balancer that asks, where that is longer,
	holdMost  = 60 * time.Second        // up to this; by chance half as long
	answerIn  = 1500 * time.Millisecond // an answer takes no longer than this beyond the wait: what is lost counts as told soon;
	shareIn   = 4 * time.Second         // but this where calls wait for their turn
	pauseLow  = 20 * time.Millisecond   // what each balancer adds to the longest pause after a first failed call; it doubles up to
	pauseMost = 500 * time.Millisecond  // this, and
	pauseEach = 50 * time.Millisecond   // to so much for each balancer that asks: all together call so often;
	pauseLast = 4 * time.Second         // no longer than this: what discovery has counts as told though nobody asks
	shareEach = 400 * time.Millisecond  // where discovery is one service of little capacity, a pause adds so much for each
	shareLast = 30 * time.Second        // balancer, up to this: calls that it has no time for are served all the same
	startEach = 100 * time.Millisecond  // and a first call waits for its turn so long for each
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

// form is an answer as discovery writes it.
type form struct {
	Rev     *uint64  `json:"rev"`
	All     *bool    `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID      string   `json:"uid"`
	Endpoint string   `json:"endpoint"`
	Zone     string   `json:"az"`
	Cell     int      `json:"pod_group"`
	State    string   `json:"state"`
	Heft     *float64 `json:"capacity_hint"`
	BootMs   int64    `json:"boot_ms"`
}

// Encode writes a list as discovery does.
func Encode(l List) []byte {
	out := form{Rev: &l.Rev, All: &l.Whole, Targets: []target{}}
	for _, s := range l.Servers {
		t := target{UID: s.UID, Endpoint: s.Endpoint, Zone: s.Zone, Cell: s.Cell, Heft: &s.Heft}
		for name, state := range states {
			if state == s.State {
				t.State = name
			}
		}
		if !s.Boot.IsZero() {
			t.BootMs = s.Boot.UnixMilli()
		}
		out.Targets = append(out.Targets, t)
	}
	slices.SortFunc(out.Targets, func(a, b target) int { return strings.Compare(a.UID, b.UID) })
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// Decode reads one answer; one with any fault is taken for none.
func Decode(text []byte) (List, error) {
	var in form
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
	hold    time.Duration // how long a watch may wait for news
	answer  time.Duration // how long an answer may take beyond that
	start   time.Duration // a first call comes within so long
	low     time.Duration // pause after a first failed call,
	most    time.Duration // and the longest
	rev     uint64        // of the newest list,
	whole   bool          // and whether there is one that changes can be added to
	client  *http.Client
	news    func(List)
	failed  func(error)
}

// New prepares a watch, one of so many at the same discovery; shared: that answers only so many calls a second. news and
// failed are called one at a time.
func New(address string, among int, shared bool, news func(List), failed func(error)) *Watch {
	each := func(d time.Duration) time.Duration { return time.Duration(among) * d }
	w := &Watch{
		address: address, news: news, failed: failed, answer: answerIn,
		hold: min(max(hold, each(holdEach)), holdMost),
		low:  min(pauseLow+each(pauseLow), pauseLast), most: min(max(pauseMost, each(pauseEach)), pauseLast),
		client: &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConns: 1, MaxConnsPerHost: 2}},
	}
	if shared {
		w.answer, w.start = shareIn, min(each(startEach), shareLast)
		w.most = max(w.most, min(each(shareEach), shareLast))
		w.low = w.most
	}
	return w
}

// From has the watch begin with the changes since a list that is known, in place of the whole list.
func (w *Watch) From(known List) { w.rev, w.whole = known.Rev, known.Whole && len(known.Servers) > 0 }

// Run follows the list until the context ends.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	pause, wait := time.Duration(0), w.hold
	if w.start > 0 {
		sleep(ctx, w.start)
	}
	for ctx.Err() == nil {
		path, within := "/v1/endpoints", w.answer
		if w.whole {
			path = fmt.Sprintf("/v1/endpoints?from=%d&hold_ms=%d", w.rev, wait.Milliseconds())
			within += wait
		}
		list, err := w.call(ctx, path, within)
		if err == nil {
			w.rev, w.whole, pause = list.Rev, true, 0
			wait = time.Duration((0.5 + 0.5*rand.Float64()) * float64(w.hold)) // not all in step
			w.news(list)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var unread *unreadable
		if errors.As(err, &unread) { // what is known may have a gap: the whole list closes it
			w.whole = false
		}
		w.failed(err)
		// Guards against balancers that restart together and call in step: their calls kept an overbooked discovery
		// from answering any of them.
		pause = min(max(2*pause, w.low), w.most)
		sleep(ctx, pause)
	}
}

// sleep pauses by chance, up to so long.
func sleep(ctx context.Context, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(rand.Int64N(int64(most)))):
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
	if err := fmt.Errorf("discovery answers %s", res.Status); res.StatusCode >= 500 {
		return List{}, err // it had no time: nothing is missed, the next call goes on from the same list
	} else if res.StatusCode != http.StatusOK {
		return List{}, &unreadable{err}
	}
	list, err := Decode(text)
	if err != nil {
		return List{}, &unreadable{fmt.Errorf("discovery: %w", err)}
	}
	return list, nil
}
