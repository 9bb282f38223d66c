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

	// At one service of little capacity, where each call is dear and waits for its turn. Told is what it has written, 2 s after a
	// watch's wait, and 6 s after discovery had it and could be reached at the latest, whatever failed before; 4 s after a reload.
	shareHold = 4 * time.Second         // how long a watch may wait, and
	shareEach = 500 * time.Millisecond  // so much for each balancer that asks, where that is longer,
	shareMost = 60 * time.Second        // up to this; by chance half as long
	shareLag  = 800 * time.Millisecond  // an answer that is so late beyond its wait is asked for once more, beside the call
	shareDial = 2 * time.Second         // a dial that nobody answers ends
	turnEach  = 400 * time.Millisecond  // calls of one that was not answered are so far apart for each balancer,
	turnMost  = 4800 * time.Millisecond // up to this, which leaves 1.2 s for the answer; by chance a sixth less
	// A service made for so many answers a call of each in a round: so long for each, up to roundMost. A first call comes by chance
	// within a round or a turn, or startMost after a reload. After busyFrom calls in a row that were turned away after a wait,
	// more come than it can serve: one to three rounds go by. So they do after the first at the start, where a round
	// is longer than a turn.
	roundEach = 100 * time.Millisecond
	roundMost = 10 * time.Second
	startMost = 3200 * time.Millisecond
	busyFrom  = 3
)

// Server is one line of the list.
type Server struct {
	UID      string
	Endpoint string
	Zone     string
	Cell     int
	Model    string // of the machine
	State    policy.EndpointState
	Heft     float64
	Boot     time.Time // zero for long ago
}

// List is one answer: the whole list or what has changed.
type List struct {
	Rev     uint64
	Whole   bool
	Servers []Server
}

var states = map[string]policy.EndpointState{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Removed,
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
	Model    string   `json:"model,omitempty"`
	State    string   `json:"state"`
	Heft     *float64 `json:"capacity_hint"`
	BootMs   int64    `json:"boot_ms"`
}

// Encode writes a list as discovery does.
func Encode(l List) []byte {
	out := form{Rev: &l.Rev, All: &l.Whole, Targets: []target{}}
	for _, s := range l.Servers {
		t := target{UID: s.UID, Endpoint: s.Endpoint, Zone: s.Zone, Cell: s.Cell, Model: s.Model, Heft: &s.Heft}
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
		s := Server{UID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Cell: t.Cell, Model: t.Model, Heft: 1}
		state, known := states[t.State]
		switch {
		case t.UID == "":
			return List{}, fmt.Errorf("targets[%d].uid is missing", i)
		case !known:
			return List{}, fmt.Errorf("targets[%d].state %q is not known", i, t.State)
		case t.Endpoint == "" && state != policy.Removed:
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
	lag     time.Duration // an answer that is so late beyond that is asked for beside the call
	start   time.Duration // a first call comes within so long
	turn    time.Duration // at a shared one: the longest from one call to the next until one is answered,
	round   time.Duration // and what a service made for so many takes for a call of each
	low     time.Duration // at an own agent: pause after a first failed call,
	most    time.Duration // and the longest
	rev     uint64        // of the newest list,
	whole   bool          // and whether there is one that changes can be added to
	asked   time.Time     // when the newest call was made
	client  *http.Client
	again   chan struct{} // asks for what there is now
	news    func(List)
	failed  func(error)
}

// New prepares a watch, one of so many at the same discovery; shared: that answers only so many calls a second. news and
// failed are called one at a time.
func New(address string, among int, shared bool, news func(List), failed func(error)) *Watch {
	each := func(d, most time.Duration) time.Duration { return min(time.Duration(max(among, 1))*d, most) }
	w := &Watch{
		address: address, shared: shared, news: news, failed: failed,
		again: make(chan struct{}, 1),
		hold:  ownHold, lag: ownLag, low: ownLow, most: ownMost,
		client: &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConns: 1, MaxConnsPerHost: 2,
			// A dial outlives its call, and would hold one of the two places for minutes where nobody answers it.
			DialContext: (&net.Dialer{Timeout: ownEach}).DialContext}},
	}
	if shared {
		w.hold, w.lag = max(shareHold, each(shareEach, shareMost)), shareLag
		w.turn, w.round = each(turnEach, turnMost), each(roundEach, roundMost)
		w.start = min(w.round, startMost)
		w.client.Transport.(*http.Transport).DialContext = (&net.Dialer{Timeout: shareDial}).DialContext
	}
	return w
}

// From makes the watch the first of its process: it begins with the changes since a list that is known, in place of the whole
// list, where calls are dear, and has more time for it than one after a reload.
func (w *Watch) From(known List) {
	w.rev, w.whole = known.Rev, w.shared && known.Whole && len(known.Servers) > 0
	w.start = min(w.round, turnMost)
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
	if w.start > 0 {
		sleep(ctx, w.start)
	}
	turn, wait := w.draw()
	pause, turned, sure, patient := time.Duration(0), 0, false, w.round <= turnMost
	if !w.shared || !patient { // a call that may be lost costs less than one more of each
		wait = w.hold
	}
	for ctx.Err() == nil {
		asked := time.Now()
		w.asked = asked
		list, err := w.next(ctx, wait, turn)
		if err == nil {
			if w.whole && list.Rev == w.rev && time.Since(asked) < ownLow { // guards against one that waits for no news
				sleepFor(ctx, ownLow)
			}
			w.rev, w.whole, pause, turned, sure = list.Rev, true, 0, 0, true
			patient = patient || time.Since(asked) >= w.turn                   // a watch that was let wait
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
		if !w.shared {
			pause = min(max(2*pause, w.low), w.most)
			sleep(ctx, pause)
			continue
		}
		broken, late := sure && w.asked.Equal(asked), time.Since(asked)
		queued := errors.Is(err, errTurned) && (!broken || late < w.turn/2) // else it had its turn, and was let wait
		if turned++; !queued || broken && patient {
			turned = 0
		}
		turn, wait = w.draw()
		switch {
		case turned >= busyFrom || turned > 0 && !patient:
			// Guards against calls that keep an overbooked discovery from answering any of them: the turns of those that nobody
			// waits for any more come all the same.
			patient, wait = false, w.hold // it speaks, so this one is not lost
			round := min(w.round<<min(max(turned-busyFrom, 0), 10), roundMost)
			sleepFor(ctx, round)
			sleep(ctx, 2*round)
		case broken: // as all others' may have in the same moment
			if !queued {
				late = 0 // else it was no watch yet, and 6 s count from its call
			}
			sleep(ctx, w.turn-late)
		default: // the moment of the next call doesn't depend on how and when this one failed
			sleepFor(ctx, turn-time.Since(w.asked))
		}
		sure = false
	}
}

// draw says when a call of one that is not sure that discovery hears it is followed by the next, and how long it may wait itself:
// a longer wait would hide that it was lost.
func (w *Watch) draw() (turn, wait time.Duration) {
	turn = w.turn - time.Duration(rand.Float64()*float64(w.turn)/6)
	return turn, max(0, turn-w.lag)
}

// next makes the next call: a watch that waits so long, or for the whole list. Guards against a watch that has fallen silent, and
// against a discovery that speaks again while a call of before still waits for it: one that is late is asked anew beside
// the first, at a shared discovery once and not sooner than a turn, and whichever is answered ends the other.
func (w *Watch) next(ctx context.Context, wait, turn time.Duration) (List, error) {
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
	lateAt, within := wait+w.lag, wait+answerIn
	if w.shared {
		if lateAt = max(lateAt, turn); w.turn < turnMost { // few: they can ask sooner, but have to hear a slow one too
			turn = turnMost
		}
		within = lateAt + turn
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		list List
		err  error
	}
	answers := make(chan answer, 2)
	go func() {
		list, err := w.call(ctx, path, within)
		answers <- answer{list, err}
	}()
	late := time.NewTimer(lateAt)
	defer late.Stop()
	select {
	case a := <-answers:
		return a.list, a.err
	case <-late.C:
	case <-w.again:
	}
	w.asked = time.Now()
	go func() {
		if w.shared {
			list, err := w.call(ctx, beside, turn)
			answers <- answer{list, err}
			return
		}
		for ; ctx.Err() == nil; sleep(ctx, ownPause) {
			if list, err := w.call(ctx, beside, ownEach); err == nil {
				answers <- answer{list, nil}
				return
			}
		}
	}()
	a := <-answers
	if a.err != nil && w.shared { // as a call of before is reset when its network is back
		a = <-answers
	}
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

// errTurned is a call that discovery turned away after a wait.
var errTurned = errors.New("discovery has no time")

// unreadable is an answer that came but can't be read.
type unreadable struct{ error }

func (w *Watch) call(ctx context.Context, path string, within time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+path, nil)
	if err != nil {
		return List{}, err
	}
	begun := time.Now()
	res, err := w.client.Do(req)
	if err != nil {
		return List{}, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, largest))
	if err != nil {
		return List{}, err
	}
	if res.StatusCode >= 500 { // nothing is missed, the next call goes on from the same list
		err := fmt.Errorf("discovery answers %s", res.Status)
		if time.Since(begun) >= shareLag { // one that is turned away at once takes nobody's turn
			err = fmt.Errorf("%w: %w", errTurned, err)
		}
		return List{}, err
	} else if res.StatusCode != http.StatusOK {
		return List{}, &unreadable{fmt.Errorf("discovery answers %s", res.Status)}
	}
	list, err := Decode(text)
	if err != nil {
		return List{}, &unreadable{fmt.Errorf("discovery: %w", err)}
	}
	return list, nil
}
