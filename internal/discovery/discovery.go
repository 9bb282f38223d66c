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
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"sabletally/policy"
)

const (
	largest = 16 << 20 // bytes of an answer

	// At an agent on the balancer's own machine, which answers at once and at no cost, also where many ask theirs. What it has
	// counts as told, watched or not, from the first moment of a process and from the moment at which it can speak again.
	ownHold  = time.Second             // how long a watch may wait for news; by chance half as long
	ownLag   = 300 * time.Millisecond  // an answer that is so late is asked for beside the call,
	ownEach  = 250 * time.Millisecond  // by calls that wait so long
	ownPause = 50 * time.Millisecond   // and are so far apart, until one is answered
	ownLow   = 20 * time.Millisecond   // pause after a first failed call; it doubles up to
	ownMost  = 250 * time.Millisecond  // this
	answerIn = 1500 * time.Millisecond // no call takes longer than this beyond its wait

	// At one service of little capacity, where each call is dear and waits for its turn. Told is what it has written, or 2 s after
	// a watch's wait and 6 s after it fell silent at the latest.
	shareHold  = 4 * time.Second        // how long a watch may wait, and
	shareEach  = 500 * time.Millisecond // so much for each balancer that asks, where that is longer,
	shareMost  = 60 * time.Second       // up to this; by chance half as long
	shareLag   = time.Second            // an answer that is so late is asked for once more, beside the call, which
	shareIn    = 4 * time.Second        // may take so long beyond its wait: calls that have no turn in time are served all the same
	pauseFirst = 4 * time.Second        // the longest pause after a first call that broke: what is not asked for counts as told after
	pauseEach  = 400 * time.Millisecond // 6 s. It doubles, and after a call that it had no time for it is so much for each balancer,
	pauseMost  = 30 * time.Second       // up to this: calls that come too fast keep it from answering any
	startEach  = 100 * time.Millisecond // a first call waits for its turn so long for each,
	startMost  = 8 * time.Second        // up to this, by when a service that is made for so many has answered all
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
	shared  bool          // discovery is one service of little capacity, no agent of the machine's own
	hold    time.Duration // how long a watch may wait for news
	lag     time.Duration // an answer that is so late beyond that is asked for beside the call,
	answer  time.Duration // which is given up after so long
	start   time.Duration // a first call comes within so long
	low     time.Duration // pause after a first failed call,
	most    time.Duration // and the longest
	rev     uint64        // of the newest list,
	whole   bool          // and whether there is one that changes can be added to
	client  *http.Client
	again   chan struct{} // asks for what there is now
	news    func(List)
	failed  func(error)
}

// New prepares a watch, one of so many at the same discovery; shared: that answers only so many calls a second. news and
// failed are called one at a time.
func New(address string, among int, shared bool, news func(List), failed func(error)) *Watch {
	each := func(d time.Duration) time.Duration { return time.Duration(among) * d }
	w := &Watch{
		address: address, shared: shared, news: news, failed: failed,
		again: make(chan struct{}, 1),
		hold:  ownHold, lag: ownLag, answer: answerIn, low: ownLow, most: ownMost,
		client: &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConns: 1, MaxConnsPerHost: 2,
			// A dial outlives its call, and would hold one of the two places for minutes where nobody answers it.
			DialContext: (&net.Dialer{Timeout: ownEach}).DialContext}},
	}
	if shared {
		w.hold, w.lag, w.answer = min(max(shareHold, each(shareEach)), shareMost), shareLag, shareIn
		w.start = min(each(startEach), startMost)
		w.most = min(each(pauseEach), pauseMost)
		w.low = min(w.most, pauseFirst)
		w.client.Transport.(*http.Transport).DialContext = (&net.Dialer{Timeout: shareIn}).DialContext
	}
	return w
}

// From has the watch begin with the changes since a list that is known, in place of the whole list, where calls are dear.
func (w *Watch) From(known List) {
	w.rev, w.whole = known.Rev, w.shared && known.Whole && len(known.Servers) > 0
}

// Again has discovery asked for what it has now, beside a watch that waits for news. It never waits itself.
func (w *Watch) Again() {
	select {
	case w.again <- struct{}{}:
	default:
	}
}

// Run follows the list until the context ends.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	pause, wait := time.Duration(0), w.hold
	if w.start > 0 {
		sleep(ctx, w.start)
	}
	for ctx.Err() == nil {
		asked := time.Now()
		list, err := w.next(ctx, wait)
		if err == nil {
			if w.whole && list.Rev == w.rev && time.Since(asked) < ownLow { // guards against one that waits for no news
				sleepFor(ctx, ownLow)
			}
			w.rev, w.whole, pause = list.Rev, true, 0
			wait = time.Duration((0.5 + 0.5*rand.Float64()) * float64(w.hold)) // not all in step
			w.news(list)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var unread *unreadable
		if errors.As(err, &unread) || !w.shared { // what is known may have a gap: the whole list closes it
			w.whole = false
		}
		w.failed(err)
		// Guards against balancers that restart together and call in step: their calls kept an overbooked discovery
		// from answering any of them.
		if pause = min(max(2*pause, w.low), w.most); w.shared && errors.Is(err, errBusy) {
			pause = w.most
		}
		sleep(ctx, pause)
	}
}

// next makes the next call: a watch that waits so long, or for the whole list. Guards against a watch that has fallen silent, and
// against a discovery that speaks again while a call of before still waits for it: one that is late is asked anew beside
// the first, and whichever is answered ends the other.
func (w *Watch) next(ctx context.Context, wait time.Duration) (List, error) {
	const all = "/v1/endpoints"
	path, beside := all, all
	if w.whole {
		path = fmt.Sprintf("%s?from=%d&hold_ms=%d", all, w.rev, wait.Milliseconds())
		if w.shared {
			beside = fmt.Sprintf("%s?from=%d&hold_ms=0", all, w.rev)
		}
	} else {
		wait = 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		list List
		err  error
	}
	answers := make(chan answer, 2)
	go func() {
		list, err := w.call(ctx, path, wait+w.answer)
		answers <- answer{list, err}
	}()
	late := time.NewTimer(wait + w.lag)
	defer late.Stop()
	select {
	case a := <-answers:
		return a.list, a.err
	case <-late.C:
	case <-w.again:
	}
	go func() {
		for within := w.answer; ctx.Err() == nil; sleep(ctx, ownPause) {
			if !w.shared {
				within = ownEach
			}
			list, err := w.call(ctx, beside, within)
			if err == nil {
				answers <- answer{list, nil}
			}
			if err == nil || w.shared {
				return
			}
		}
	}()
	a := <-answers
	return a.list, a.err
}

// sleep pauses by chance, up to so long.
func sleep(ctx context.Context, most time.Duration) {
	sleepFor(ctx, time.Duration(rand.Int64N(int64(most))))
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// errBusy is a call that discovery had no time for.
var errBusy = errors.New("discovery has no time")

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
	if err != nil && ctx.Err() != nil {
		return List{}, fmt.Errorf("%w: %w", errBusy, err)
	} else if err != nil {
		return List{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, largest))
	if err != nil {
		return List{}, err
	}
	if res.StatusCode >= 500 { // nothing is missed, the next call goes on from the same list
		return List{}, fmt.Errorf("%w: it answers %s", errBusy, res.Status)
	} else if res.StatusCode != http.StatusOK {
		return List{}, &unreadable{fmt.Errorf("discovery answers %s", res.Status)}
	}
	list, err := Decode(text)
	if err != nil {
		return List{}, &unreadable{fmt.Errorf("discovery: %w", err)}
	}
	return list, nil
}
