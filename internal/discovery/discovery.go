// Package discovery follows the endpoint list: it requests the complete list, then watches for changes, over HTTP/1.1.
// It owns the requests and the form of their responses, and delivers each list as soon as it has come. It must never
// judge an endpoint or forget a list: an outage or a malformed response leaves the old one.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// With an agent on the balancer's own machine, which answers at once and at no cost. What it has counts as known to the
// balancer from the first moment of a process, and from the moment at which the agent can answer again.
const (
	agentHold         = time.Second            // longest wait of a watch for changes; by chance half as long
	agentLateAfter    = 300 * time.Millisecond // beyond its wait, a watch without a response is repeated beside it,
	agentRetryTimeout = 250 * time.Millisecond // by requests with this timeout,
	agentRetryPause   = 50 * time.Millisecond  // this far apart, until one is answered
	agentMinBackoff   = 20 * time.Millisecond  // after a failed request, doubled up to agentMaxBackoff
	agentMaxBackoff   = 250 * time.Millisecond
	responseTimeout   = 1500 * time.Millisecond // of any request, beyond its wait
)

// With one discovery service of limited capacity, shared by all balancers. A change has to be known 2 s after a watch's
// wait, 6 s after discovery had it and could be reached, whatever failed before, and 4 s after a reload.
const (
	sharedMinHold         = 4 * time.Second // longest wait of a watch for changes; by chance half as long
	sharedHoldPerBalancer = 500 * time.Millisecond
	sharedMaxHold         = 60 * time.Second
	sharedLateAfter       = 800 * time.Millisecond // beyond its wait, a watch without a response is repeated once beside it
	sharedDialTimeout     = 2 * time.Second

	// A turn is the time between two requests of a balancer until one is answered; by chance up to a sixth less.
	turnPerBalancer = 400 * time.Millisecond
	maxTurn         = 4800 * time.Millisecond // leaves 1.2 s of the 6 s for the response

	// A round is the time that a service made for so many balancers needs for a request of each. A first request comes
	// at a random time within a round, or within a turn.
	roundPerBalancer = 100 * time.Millisecond
	maxRound         = 10 * time.Second
	maxReloadDelay   = 3200 * time.Millisecond // of the first request after a reload
	// overloadedAfter is the number of requests in a row that were rejected after a wait from which on the service is
	// taken for overloaded, and the pauses are one to three rounds, doubled with each further rejection. It is 1 at the
	// start where a round is longer than a turn.
	overloadedAfter  = 3
	maxRoundDoubling = 10
)

// Watch follows the endpoint list for one balancer.
type Watch struct {
	address   string
	shared    bool          // discovery is one service, not an agent of the machine
	hold      time.Duration // longest wait for changes
	lateAfter time.Duration // beyond its wait, a watch without a response is repeated

	// maxStartDelay bounds the random delay of the first request.
	maxStartDelay time.Duration
	turn          time.Duration // with a shared discovery
	round         time.Duration // with a shared discovery
	minBackoff    time.Duration // with an agent
	maxBackoff    time.Duration // with an agent

	revision      uint64 // of the newest list
	hasList       bool   // there is a list that changes can be added to
	lastRequestAt time.Time
	client        *http.Client
	refresh       chan struct{}
	onList        func(List)
	onError       func(error)
}

// New returns a watch, one of so many balancers' at the same discovery. shared says that this is one service of limited
// capacity. onList and onError are called one at a time.
func New(address string, balancers int, shared bool, onList func(List), onError func(error)) *Watch {
	w := &Watch{
		address:    address,
		shared:     shared,
		onList:     onList,
		onError:    onError,
		refresh:    make(chan struct{}, 1),
		hold:       agentHold,
		lateAfter:  agentLateAfter,
		minBackoff: agentMinBackoff,
		maxBackoff: agentMaxBackoff,
	}
	dialTimeout := agentRetryTimeout
	if shared {
		dialTimeout = sharedDialTimeout
		perBalancer := func(each, maximum time.Duration) time.Duration {
			return min(time.Duration(max(balancers, 1))*each, maximum)
		}
		w.hold = max(sharedMinHold, perBalancer(sharedHoldPerBalancer, sharedMaxHold))
		w.lateAfter = sharedLateAfter
		w.turn = perBalancer(turnPerBalancer, maxTurn)
		w.round = perBalancer(roundPerBalancer, maxRound)
		w.maxStartDelay = min(w.round, maxReloadDelay)
	}
	// A dial goes on after its request: without a timeout it would hold one of the connections for minutes.
	dialer := &net.Dialer{Timeout: dialTimeout}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: dialer.DialContext}}
	return w
}

// StartFrom makes the watch the first one of its process. With a shared discovery it begins with the changes since a
// known list instead of the complete list, and it has more time for that than a watch after a reload.
func (w *Watch) StartFrom(known List) {
	w.revision = known.Revision
	w.hasList = w.shared && known.Complete && len(known.Endpoints) > 0
	w.maxStartDelay = min(w.round, maxTurn)
}

// Refresh requests the list as it is now, beside a watch that waits for changes. It does not wait.
func (w *Watch) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// pacing says when requests follow each other and how long they wait for changes.
type pacing struct {
	turn time.Duration // until the next request, while none is answered
	hold time.Duration // of the next request

	backoff     time.Duration // with an agent: the newest pause after a failed request
	rejections  int           // in a row, after a wait
	isConnected bool          // the newest request was answered
	isServed    bool          // discovery has time for the requests of all balancers
}

// Run follows the list until the context ends.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	if w.maxStartDelay > 0 {
		sleepRandom(ctx, w.maxStartDelay)
	}
	p := pacing{isServed: w.round <= maxTurn}
	p.turn, p.hold = w.drawTurn()
	if !w.shared || !p.isServed { // a request that may be lost is cheaper than one more of each balancer
		p.hold = w.hold
	}
	for ctx.Err() == nil {
		sentAt := time.Now()
		w.lastRequestAt = sentAt
		list, err := w.next(ctx, p.hold, p.turn)
		if err == nil {
			w.handleList(ctx, &p, list, sentAt)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var invalid *invalidResponseError
		if errors.As(err, &invalid) || !w.shared { // changes may be missing: the complete list has them
			w.hasList = false
		}
		w.onError(err)
		if w.shared {
			w.pauseShared(ctx, &p, err, sentAt)
			continue
		}
		p.backoff = min(max(2*p.backoff, w.minBackoff), w.maxBackoff)
		sleepRandom(ctx, p.backoff)
	}
}

// handleList delivers a list and draws the wait of the next request.
func (w *Watch) handleList(ctx context.Context, p *pacing, list List, sentAt time.Time) {
	if w.hasList && list.Revision == w.revision && time.Since(sentAt) < agentMinBackoff {
		sleepFor(ctx, agentMinBackoff) // a discovery that does not wait for changes would be asked without a pause
	}
	w.revision = list.Revision
	w.hasList = true
	p.backoff = 0
	p.rejections = 0
	p.isConnected = true
	p.isServed = p.isServed || time.Since(sentAt) >= w.turn
	p.hold = time.Duration((0.5 + 0.5*rand.Float64()) * float64(w.hold)) // random, or all balancers would ask in step
	w.onList(list)
}

// pauseShared waits after a failed request to a shared discovery and draws the turn of the next one.
func (w *Watch) pauseShared(ctx context.Context, p *pacing, err error, sentAt time.Time) {
	isWatchBroken := p.isConnected && w.lastRequestAt.Equal(sentAt)
	elapsed := time.Since(sentAt)
	// A watch that was rejected late had its turn and waited for changes.
	isRejected := errors.Is(err, errOverloaded) && (!isWatchBroken || elapsed < w.turn/2)
	if isRejected && (!isWatchBroken || !p.isServed) {
		p.rejections++
	} else {
		p.rejections = 0
	}
	p.turn, p.hold = w.drawTurn()
	p.isConnected = false
	switch {
	case p.rejections >= overloadedAfter || p.rejections > 0 && !p.isServed:
		// An overloaded discovery still works on requests that nobody waits for any more: more requests would keep it
		// from answering any.
		p.isServed = false
		p.hold = w.hold
		round := min(w.round<<min(max(p.rejections-overloadedAfter, 0), maxRoundDoubling), maxRound)
		sleepFor(ctx, round)
		sleepRandom(ctx, 2*round)
	case isWatchBroken: // all other balancers' may have broken in the same moment
		if !isRejected {
			elapsed = 0 // the 6 s count from the break, not from the request
		}
		sleepRandom(ctx, w.turn-elapsed)
	default: // the time of the next request must not depend on how this one failed
		sleepFor(ctx, p.turn-time.Since(w.lastRequestAt))
	}
}

// drawTurn draws the time until the next request of a balancer that is not connected, and the wait of that request: a
// longer one would hide that it was lost.
func (w *Watch) drawTurn() (turn, hold time.Duration) {
	turn = w.turn - time.Duration(rand.Float64()*float64(w.turn)/6)
	return turn, max(0, turn-w.lateAfter)
}

// sleepRandom pauses for a random time below a maximum.
func sleepRandom(ctx context.Context, maximum time.Duration) {
	sleepFor(ctx, time.Duration(rand.Int64N(int64(maximum))))
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
