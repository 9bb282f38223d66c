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
	maxResponseBytes = 16 << 20 // bytes of an answer

	// At an agent on the balancer's own machine, which answers at once and at no cost, also where many ask theirs. What it has
	// counts as told, watched or not, from the first moment of a process and from the moment at which it can speak again.
	agentHold         = time.Second             // how long a watch may wait for news; by chance half as long
	agentLateAfter    = 300 * time.Millisecond  // an answer that is so late is asked for beside the call,
	agentRetryTimeout = 250 * time.Millisecond  // by calls that wait so long
	agentRetryPause   = 50 * time.Millisecond   // and are so far apart, until one is answered
	agentMinBackoff   = 20 * time.Millisecond   // pause after a first failed call; it doubles up to
	agentMaxBackoff   = 250 * time.Millisecond  // this
	responseTimeout   = 1500 * time.Millisecond // no call takes longer than this beyond its wait

	// At one service of little capacity, where each call is dear and waits for its turn. Told is what it has written, 2 s after a
	// watch's wait, and 6 s after discovery had it and could be reached at the latest, whatever failed before; 4 s after a reload.
	sharedMinHold         = 4 * time.Second         // how long a watch may wait, and
	sharedHoldPerBalancer = 500 * time.Millisecond  // so much for each balancer that asks, where that is longer,
	sharedMaxHold         = 60 * time.Second        // up to this; by chance half as long
	sharedLateAfter       = 800 * time.Millisecond  // an answer that is so late beyond its wait is asked for once more, beside the call
	sharedDialTimeout     = 2 * time.Second         // a dial that nobody answers ends
	turnPerBalancer       = 400 * time.Millisecond  // calls of one that was not answered are so far apart for each balancer,
	maxTurn               = 4800 * time.Millisecond // up to this, which leaves 1.2 s for the answer; by chance a sixth less
	// A service made for so many answers a call of each in a round: so long for each, up to roundMost. A first call comes by chance
	// within a round or a turn, or startMost after a reload. After busyFrom calls in a row that were turned away after a wait,
	// more come than it can serve: one to three rounds go by. So they do after the first at the start, where a round
	// is longer than a turn.
	roundPerBalancer = 100 * time.Millisecond
	maxRound         = 10 * time.Second
	maxReloadDelay   = 3200 * time.Millisecond
	overloadedAfter  = 3
)

// Endpoint is one line of the list.
type Endpoint struct {
	UID           string
	Address       string
	Zone          string
	FailureDomain int
	MachineType   string // of the machine
	State         policy.EndpointState
	Weight        float64
	StartedAt     time.Time // zero for long ago
}

// List is one answer: the whole list or what has changed.
type List struct {
	Revision  uint64
	Complete  bool
	Endpoints []Endpoint
}

var stateByName = map[string]policy.EndpointState{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Removed,
}

// listDocument is an answer as discovery writes it.
type listDocument struct {
	Revision  *uint64            `json:"rev"`
	Complete  *bool              `json:"all"`
	Endpoints []endpointDocument `json:"targets"`
}

type endpointDocument struct {
	UID           string   `json:"uid"`
	Address       string   `json:"endpoint"`
	Zone          string   `json:"az"`
	FailureDomain int      `json:"pod_group"`
	MachineType   string   `json:"model,omitempty"`
	State         string   `json:"state"`
	Weight        *float64 `json:"capacity_hint"`
	StartedMs     int64    `json:"boot_ms"`
}

// Encode writes a list as discovery does.
func Encode(l List) []byte {
	out := listDocument{Revision: &l.Revision, Complete: &l.Complete, Endpoints: []endpointDocument{}}
	for _, s := range l.Endpoints {
		t := endpointDocument{UID: s.UID, Address: s.Address, Zone: s.Zone, FailureDomain: s.FailureDomain, MachineType: s.MachineType, Weight: &s.Weight}
		for name, state := range stateByName {
			if state == s.State {
				t.State = name
			}
		}
		if !s.StartedAt.IsZero() {
			t.StartedMs = s.StartedAt.UnixMilli()
		}
		out.Endpoints = append(out.Endpoints, t)
	}
	slices.SortFunc(out.Endpoints, func(a, b endpointDocument) int { return strings.Compare(a.UID, b.UID) })
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// Decode reads one answer; one with any fault is taken for none.
func Decode(text []byte) (List, error) {
	var in listDocument
	if err := json.Unmarshal(text, &in); err != nil {
		return List{}, err
	}
	if in.Revision == nil || in.Complete == nil {
		return List{}, errors.New("rev or all is missing")
	}
	l := List{Revision: *in.Revision, Complete: *in.Complete}
	for i, t := range in.Endpoints {
		s := Endpoint{UID: t.UID, Address: t.Address, Zone: t.Zone, FailureDomain: t.FailureDomain, MachineType: t.MachineType, Weight: 1}
		state, known := stateByName[t.State]
		switch {
		case t.UID == "":
			return List{}, fmt.Errorf("targets[%d].uid is missing", i)
		case !known:
			return List{}, fmt.Errorf("targets[%d].state %q is not known", i, t.State)
		case t.Address == "" && state != policy.Removed:
			return List{}, fmt.Errorf("targets[%d].endpoint is missing", i)
		}
		s.State = state
		if t.Weight != nil && *t.Weight > 0 {
			s.Weight = *t.Weight
		}
		if t.StartedMs != 0 {
			s.StartedAt = time.UnixMilli(t.StartedMs)
		}
		l.Endpoints = append(l.Endpoints, s)
	}
	return l, nil
}

// Watch is one balancer's view of discovery.
type Watch struct {
	address       string
	shared        bool          // discovery is one service of little capacity, no agent of the machine's own
	hold          time.Duration // how long a watch may wait for news
	lateAfter     time.Duration // an answer that is so late beyond that is asked for beside the call
	maxStartDelay time.Duration // a first call comes within so long
	turn          time.Duration // at a shared one: the longest from one call to the next until one is answered,
	round         time.Duration // and what a service made for so many takes for a call of each
	minBackoff    time.Duration // at an own agent: pause after a first failed call,
	maxBackoff    time.Duration // and the longest
	revision      uint64        // of the newest list,
	hasList       bool          // and whether there is one that changes can be added to
	lastRequestAt time.Time     // when the newest call was made
	client        *http.Client
	refresh       chan struct{} // asks for what there is now
	onList        func(List)
	onError       func(error)
}

// New prepares a watch, one of so many at the same discovery; shared: that answers only so many calls a second. news and
// failed are called one at a time.
func New(address string, among int, shared bool, news func(List), failed func(error)) *Watch {
	each := func(d, most time.Duration) time.Duration { return min(time.Duration(max(among, 1))*d, most) }
	w := &Watch{
		address: address, shared: shared, onList: news, onError: failed,
		refresh: make(chan struct{}, 1),
		hold:    agentHold, lateAfter: agentLateAfter, minBackoff: agentMinBackoff, maxBackoff: agentMaxBackoff,
		client: &http.Client{Transport: &http.Transport{Proxy: nil, MaxIdleConns: 1, MaxConnsPerHost: 2,
			// A dial outlives its call, and would hold one of the two places for minutes where nobody answers it.
			DialContext: (&net.Dialer{Timeout: agentRetryTimeout}).DialContext}},
	}
	if shared {
		w.hold, w.lateAfter = max(sharedMinHold, each(sharedHoldPerBalancer, sharedMaxHold)), sharedLateAfter
		w.turn, w.round = each(turnPerBalancer, maxTurn), each(roundPerBalancer, maxRound)
		w.maxStartDelay = min(w.round, maxReloadDelay)
		w.client.Transport.(*http.Transport).DialContext = (&net.Dialer{Timeout: sharedDialTimeout}).DialContext
	}
	return w
}

// StartFrom makes the watch the first of its process: it begins with the changes since a list that is known, in place of the whole
// list, where calls are dear, and has more time for it than one after a reload.
func (w *Watch) StartFrom(known List) {
	w.revision, w.hasList = known.Revision, w.shared && known.Complete && len(known.Endpoints) > 0
	w.maxStartDelay = min(w.round, maxTurn)
}

// Refresh has discovery asked for what it has now, beside a watch that waits for news. It never waits itself.
func (w *Watch) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// Run follows the list until the context ends.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	if w.maxStartDelay > 0 {
		sleepRandom(ctx, w.maxStartDelay)
	}
	turn, wait := w.drawTurn()
	pause, turned, sure, patient := time.Duration(0), 0, false, w.round <= maxTurn
	if !w.shared || !patient { // a call that may be lost costs less than one more of each
		wait = w.hold
	}
	for ctx.Err() == nil {
		asked := time.Now()
		w.lastRequestAt = asked
		list, err := w.next(ctx, wait, turn)
		if err == nil {
			if w.hasList && list.Revision == w.revision && time.Since(asked) < agentMinBackoff { // guards against one that waits for no news
				sleepFor(ctx, agentMinBackoff)
			}
			w.revision, w.hasList, pause, turned, sure = list.Revision, true, 0, 0, true
			patient = patient || time.Since(asked) >= w.turn                   // a watch that was let wait
			wait = time.Duration((0.5 + 0.5*rand.Float64()) * float64(w.hold)) // not all in step
			w.onList(list)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var unread *invalidResponseError
		if errors.As(err, &unread) || !w.shared { // what is known may have a gap: the whole list closes it
			w.hasList = false
		}
		w.onError(err)
		if !w.shared {
			pause = min(max(2*pause, w.minBackoff), w.maxBackoff)
			sleepRandom(ctx, pause)
			continue
		}
		broken, late := sure && w.lastRequestAt.Equal(asked), time.Since(asked)
		queued := errors.Is(err, errOverloaded) && (!broken || late < w.turn/2) // else it had its turn, and was let wait
		if turned++; !queued || broken && patient {
			turned = 0
		}
		turn, wait = w.drawTurn()
		switch {
		case turned >= overloadedAfter || turned > 0 && !patient:
			// Guards against calls that keep an overbooked discovery from answering any of them: the turns of those that nobody
			// waits for any more come all the same.
			patient, wait = false, w.hold // it speaks, so this one is not lost
			round := min(w.round<<min(max(turned-overloadedAfter, 0), 10), maxRound)
			sleepFor(ctx, round)
			sleepRandom(ctx, 2*round)
		case broken: // as all others' may have in the same moment
			if !queued {
				late = 0 // else it was no watch yet, and 6 s count from its call
			}
			sleepRandom(ctx, w.turn-late)
		default: // the moment of the next call doesn't depend on how and when this one failed
			sleepFor(ctx, turn-time.Since(w.lastRequestAt))
		}
		sure = false
	}
}

// drawTurn says when a call of one that is not sure that discovery hears it is followed by the next, and how long it may wait itself:
// a longer wait would hide that it was lost.
func (w *Watch) drawTurn() (turn, wait time.Duration) {
	turn = w.turn - time.Duration(rand.Float64()*float64(w.turn)/6)
	return turn, max(0, turn-w.lateAfter)
}

// next makes the next call: a watch that waits so long, or for the whole list. Guards against a watch that has fallen silent, and
// against a discovery that speaks again while a call of before still waits for it: one that is late is asked anew beside
// the first, at a shared discovery once and not sooner than a turn, and whichever is answered ends the other.
func (w *Watch) next(ctx context.Context, wait, turn time.Duration) (List, error) {
	const all = "/v1/endpoints"
	path, beside := all, all
	if w.hasList {
		path = fmt.Sprintf("%s?from=%d&hold_ms=%d", all, w.revision, wait.Milliseconds())
		if w.shared {
			beside = fmt.Sprintf("%s?from=%d&hold_ms=0", all, w.revision)
		}
	} else {
		wait = 0
	}
	lateAt, within := wait+w.lateAfter, wait+responseTimeout
	if w.shared {
		if lateAt = max(lateAt, turn); w.turn < maxTurn { // few: they can ask sooner, but have to hear a slow one too
			turn = maxTurn
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
	case <-w.refresh:
	}
	w.lastRequestAt = time.Now()
	go func() {
		if w.shared {
			list, err := w.call(ctx, beside, turn)
			answers <- answer{list, err}
			return
		}
		for ; ctx.Err() == nil; sleepRandom(ctx, agentRetryPause) {
			if list, err := w.call(ctx, beside, agentRetryTimeout); err == nil {
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

// sleepRandom pauses by chance, up to so long.
func sleepRandom(ctx context.Context, most time.Duration) {
	sleepFor(ctx, time.Duration(rand.Int64N(int64(most))))
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// errOverloaded is a call that discovery turned away after a wait.
var errOverloaded = errors.New("discovery has no time")

// invalidResponseError is an answer that came but can't be read.
type invalidResponseError struct{ error }

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
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return List{}, err
	}
	if res.StatusCode >= 500 { // nothing is missed, the next call goes on from the same list
		err := fmt.Errorf("discovery answers %s", res.Status)
		if time.Since(begun) >= sharedLateAfter { // one that is turned away at once takes nobody's turn
			err = fmt.Errorf("%w: %w", errOverloaded, err)
		}
		return List{}, err
	} else if res.StatusCode != http.StatusOK {
		return List{}, &invalidResponseError{fmt.Errorf("discovery answers %s", res.Status)}
	}
	list, err := Decode(text)
	if err != nil {
		return List{}, &invalidResponseError{fmt.Errorf("discovery: %w", err)}
	}
	return list, nil
}
