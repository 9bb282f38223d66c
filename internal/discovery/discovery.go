// Package discovery follows the endpoint list of a discovery service over HTTP/1.1. It requests the complete list first and
// then long-polls for changes. It owns the requests and the format of their responses, and delivers each list as soon as it
// has arrived. It must never judge an endpoint or drop a list: after an outage or a malformed response the previous list
// stays in effect.
package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Timing with a discovery agent on the balancer's own machine, which answers at once and whose requests cost nothing. A balancer
// is expected to know the agent's list from the start of its process, and from the moment at which an agent that failed can
// answer again.
const (
	agentHold         = time.Second             // longest time that a watch waits for changes; each watch draws 50 to 100 % of it
	agentHedgeDelay   = 300 * time.Millisecond  // time beyond its hold after which a watch without a response is hedged by further requests
	agentRetryTimeout = 250 * time.Millisecond  // timeout of each hedging request and of each dial
	agentRetryPause   = 50 * time.Millisecond   // longest random pause between hedging requests, which are sent until one is answered
	agentMinBackoff   = 20 * time.Millisecond   // backoff after the first failed request, doubled for each further one; the pause is random below it
	agentMaxBackoff   = 250 * time.Millisecond  // longest backoff
	responseTimeout   = 1500 * time.Millisecond // timeout of any request, beyond its hold
)

// Timing with one discovery service of limited capacity that all balancers share. A balancer has to know a change within 2 s after
// the end of a watch's hold, within 6 s after discovery had the change and was reachable, whatever failed before, and within 4 s
// after a reload.
const (
	sharedMinHold         = 4 * time.Second        // least value of the longest hold; each watch draws 50 to 100 % of the longest hold
	sharedHoldPerBalancer = 500 * time.Millisecond // the longest hold grows by this with each balancer
	sharedMaxHold         = 60 * time.Second       // upper bound of the longest hold
	sharedHedgeDelay      = 800 * time.Millisecond // time beyond its hold after which a watch without a response is hedged by one request
	sharedDialTimeout     = 2 * time.Second        // timeout of each dial

	// The retry interval is the time between two requests of a balancer while none is answered. Each interval is shortened by
	// a random part of up to a sixth.
	retryIntervalPerBalancer = 400 * time.Millisecond
	// maxRetryInterval leaves 1.2 s for the response, of the 6 s within which a change must be known.
	maxRetryInterval = 4800 * time.Millisecond

	// A round is the time in which a service that is sized for this number of balancers can serve one request of each. The
	// first request of a process is sent at a random time within a round, but within maxRetryInterval at the latest.
	roundPerBalancer = 100 * time.Millisecond
	maxRound         = 10 * time.Second
	maxReloadDelay   = 3200 * time.Millisecond // longest random delay of the first request after a reload
	// overloadedAfter is the number of consecutive requests after which the service counts as overloaded, if it rejected each of
	// them after a wait. The pauses are then one to three rounds, doubled with each further rejection. While pacing.hasCapacity is
	// false, as at the start if a round is longer than maxRetryInterval, one such rejection is enough.
	overloadedAfter  = 3
	maxRoundDoubling = 10 // largest number of doublings of a round
)

// Watch follows the endpoint list for one balancer.
type Watch struct {
	address    string        // host and port of discovery
	shared     bool          // discovery is one service that all balancers share, not an agent of the machine
	hold       time.Duration // longest time that a watch waits for changes
	hedgeDelay time.Duration // time beyond its hold after which a watch without a response is hedged

	maxStartDelay time.Duration // longest random delay of the first request
	retryInterval time.Duration // longest time between two requests while none is answered; set for a shared discovery only
	round         time.Duration // time in which the service can serve one request of each balancer; set for a shared discovery only
	minBackoff    time.Duration // first backoff after a failed request; used with an agent only
	maxBackoff    time.Duration // longest backoff; used with an agent only

	revision        uint64    // revision of the newest list
	hasList         bool      // there is a list to which changes can be applied
	lastRequestAt   time.Time // time at which the newest request was sent, a hedging one included
	client          *http.Client
	refreshRequests chan struct{} // holds a value if Refresh was called and not served yet
	onList          func(List)
	onError         func(error)
}

// New returns the watch of one balancer. balancers is the number of balancers at the same discovery. shared says that discovery is
// one service of limited capacity. Calls of onList and onError never overlap.
func New(address string, balancers int, shared bool, onList func(List), onError func(error)) *Watch {
	w := &Watch{
		address:         address,
		shared:          shared,
		onList:          onList,
		onError:         onError,
		refreshRequests: make(chan struct{}, 1),
		hold:            agentHold,
		hedgeDelay:      agentHedgeDelay,
		minBackoff:      agentMinBackoff,
		maxBackoff:      agentMaxBackoff,
	}
	dialTimeout := agentRetryTimeout
	if shared {
		dialTimeout = sharedDialTimeout
		perBalancer := func(each, maximum time.Duration) time.Duration {
			return min(time.Duration(max(balancers, 1))*each, maximum)
		}
		w.hold = max(sharedMinHold, perBalancer(sharedHoldPerBalancer, sharedMaxHold))
		w.hedgeDelay = sharedHedgeDelay
		w.retryInterval = perBalancer(retryIntervalPerBalancer, maxRetryInterval)
		w.round = perBalancer(roundPerBalancer, maxRound)
		w.maxStartDelay = min(w.round, maxReloadDelay)
	}
	// A dial continues after its request has ended. Without a timeout it would occupy one of the two connections for minutes.
	dialer := &net.Dialer{Timeout: dialTimeout}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DialContext: dialer.DialContext}}
	return w
}

// StartFrom marks the watch as the first one of its process. With a shared discovery it starts with the changes since the known list
// instead of the complete list, and its first request may be delayed for longer than after a reload.
func (w *Watch) StartFrom(known List) {
	w.revision = known.Revision
	w.hasList = w.shared && known.Complete && len(known.Endpoints) > 0
	w.maxStartDelay = min(w.round, maxRetryInterval)
}

// Refresh requests the current list beside a watch that waits for changes. It does not block.
func (w *Watch) Refresh() {
	select {
	case w.refreshRequests <- struct{}{}:
	default:
	}
}

// pacing holds the times between requests and the hold of the next one.
type pacing struct {
	retryInterval time.Duration // time until the next request while none is answered
	hold          time.Duration // time that the next request waits for changes

	backoff     time.Duration // newest backoff after a failed request; used with an agent only
	rejections  int           // number of consecutive requests that were rejected after a wait
	isConnected bool          // the newest request was answered
	hasCapacity bool          // discovery is taken to have the capacity for the requests of all balancers
}

// Run follows the list until the context ends.
func (w *Watch) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	if w.maxStartDelay > 0 {
		sleepRandom(ctx, w.maxStartDelay)
	}
	p := pacing{hasCapacity: w.round <= maxRetryInterval}
	p.retryInterval, p.hold = w.drawRetryInterval()
	if !w.shared || !p.hasCapacity { // a long hold, with which a lost request is noticed late, costs less than one more request of each balancer
		p.hold = w.hold
	}
	for ctx.Err() == nil {
		sentAt := time.Now()
		w.lastRequestAt = sentAt
		list, err := w.fetch(ctx, p.hold, p.retryInterval)
		if err == nil {
			w.handleList(ctx, &p, list, sentAt)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var invalid *invalidResponseError
		if errors.As(err, &invalid) || !w.shared { // changes may have been missed: request the complete list next
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

// handleList delivers a list and draws the hold of the next request.
func (w *Watch) handleList(ctx context.Context, p *pacing, list List, sentAt time.Time) {
	if w.hasList && list.Revision == w.revision && time.Since(sentAt) < agentMinBackoff {
		sleepFor(ctx, agentMinBackoff) // a discovery that answers without waiting for changes would get requests without a pause
	}
	w.revision = list.Revision
	w.hasList = true
	p.backoff = 0
	p.rejections = 0
	p.isConnected = true
	p.hasCapacity = p.hasCapacity || time.Since(sentAt) >= w.retryInterval
	p.hold = time.Duration((0.5 + 0.5*rand.Float64()) * float64(w.hold)) // random, so that balancers do not send their requests in step
	w.onList(list)
}

// pauseShared waits after a failed request to a shared discovery and draws the retry interval and the hold of the next one.
func (w *Watch) pauseShared(ctx context.Context, p *pacing, err error, sentAt time.Time) {
	isWatchBroken := p.isConnected && w.lastRequestAt.Equal(sentAt)
	elapsed := time.Since(sentAt)
	// A watch that was rejected late had been served before and was waiting for changes: that is no sign of overload.
	isRejected := errors.Is(err, errOverloaded) && (!isWatchBroken || elapsed < w.retryInterval/2)
	if isRejected && (!isWatchBroken || !p.hasCapacity) {
		p.rejections++
	} else {
		p.rejections = 0
	}
	p.retryInterval, p.hold = w.drawRetryInterval()
	p.isConnected = false
	switch {
	case p.rejections >= overloadedAfter || p.rejections > 0 && !p.hasCapacity:
		// An overloaded discovery still works on requests whose clients have given up. Further requests would keep it from
		// answering any in time.
		p.hasCapacity = false
		p.hold = w.hold
		round := min(w.round<<min(max(p.rejections-overloadedAfter, 0), maxRoundDoubling), maxRound)
		sleepFor(ctx, round)
		sleepRandom(ctx, 2*round)
	case isWatchBroken: // the watches of all balancers may have broken at the same moment: spread the next requests
		if !isRejected {
			elapsed = 0 // the 6 s within which a change must be known start when the watch broke, not when it was sent
		}
		sleepRandom(ctx, w.retryInterval-elapsed)
	default: // the time of the next request must not depend on how this one failed, so that requests stay spread
		sleepFor(ctx, p.retryInterval-time.Since(w.lastRequestAt))
	}
}

// drawRetryInterval draws the time until the next request of a balancer whose requests are not answered, and the hold of that
// request. A longer hold would keep the loss of the request from being noticed within the interval.
func (w *Watch) drawRetryInterval() (retryInterval, hold time.Duration) {
	retryInterval = w.retryInterval - time.Duration(rand.Float64()*float64(w.retryInterval)/6)
	return retryInterval, max(0, retryInterval-w.hedgeDelay)
}

// sleepRandom pauses for a random time below a maximum, or until the context ends.
func sleepRandom(ctx context.Context, maximum time.Duration) {
	sleepFor(ctx, time.Duration(rand.Int64N(int64(maximum))))
}

// sleepFor pauses for a time, or until the context ends.
func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
