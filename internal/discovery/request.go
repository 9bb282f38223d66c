package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const endpointsPath = "/v1/endpoints"

// errOverloaded is the error of a request that discovery rejected after a wait, which shows that it is overloaded.
var errOverloaded = errors.New("discovery is overloaded")

// invalidResponseError is the error of a response that is no endpoint list: changes may have been missed.
type invalidResponseError struct{ error }

// fetchResult is the result of one request.
type fetchResult struct {
	list List
	err  error
}

// fetch requests the complete list, or the changes since the newest one, for which it waits up to hold. If the request is late (its
// connection is silent, or discovery was down when it was sent), it is hedged: an agent gets further requests until it answers one,
// a shared discovery gets one, a retry interval after the first at the earliest. The first response ends all requests.
func (w *Watch) fetch(ctx context.Context, hold, retryInterval time.Duration) (List, error) {
	path, hedgePath := endpointsPath, endpointsPath
	if w.hasList {
		path = fmt.Sprintf("%s?from=%d&hold_ms=%d", endpointsPath, w.revision, hold.Milliseconds())
		if w.shared {
			hedgePath = fmt.Sprintf("%s?from=%d&hold_ms=0", endpointsPath, w.revision)
		}
	} else {
		hold = 0
	}
	hedgeDelay := hold + w.hedgeDelay
	timeout := hold + responseTimeout
	if w.shared {
		hedgeDelay = max(hedgeDelay, retryInterval)
		if w.retryInterval < maxRetryInterval { // a few balancers may send requests sooner, but must still wait for a slow response
			retryInterval = maxRetryInterval
		}
		timeout = hedgeDelay + retryInterval
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan fetchResult, 2)
	go func() {
		list, err := w.doRequest(ctx, path, timeout)
		responses <- fetchResult{list, err}
	}()
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	select {
	case r := <-responses:
		return r.list, r.err
	case <-hedgeTimer.C:
	case <-w.refreshRequests:
	}
	w.lastRequestAt = time.Now()
	go w.sendHedge(ctx, hedgePath, retryInterval, responses)
	r := <-responses
	if r.err != nil && w.shared { // the first request may only have been reset as the network came back: wait for the other one
		r = <-responses
	}
	return r.list, r.err
}

// sendHedge sends a request beside a late one: one to a shared discovery, or one after another to an agent until it answers.
func (w *Watch) sendHedge(ctx context.Context, path string, timeout time.Duration, responses chan<- fetchResult) {
	if w.shared {
		list, err := w.doRequest(ctx, path, timeout)
		responses <- fetchResult{list, err}
		return
	}
	for ; ctx.Err() == nil; sleepRandom(ctx, agentRetryPause) {
		list, err := w.doRequest(ctx, path, agentRetryTimeout)
		if err == nil {
			responses <- fetchResult{list, nil}
			return
		}
	}
}

// doRequest sends one request and decodes its response.
func (w *Watch) doRequest(ctx context.Context, path string, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address+path, nil)
	if err != nil {
		return List{}, err
	}
	sentAt := time.Now()
	res, err := w.client.Do(request)
	if err != nil {
		return List{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return List{}, err
	}
	if res.StatusCode >= http.StatusInternalServerError { // no change was missed: the next request continues from the same list
		err := fmt.Errorf("discovery responded with status %s", res.Status)
		if time.Since(sentAt) >= sharedHedgeDelay { // a rejection at once costs discovery no time and is no sign of overload
			err = fmt.Errorf("%w: %w", errOverloaded, err)
		}
		return List{}, err
	}
	if res.StatusCode != http.StatusOK {
		return List{}, &invalidResponseError{fmt.Errorf("discovery responded with status %s", res.Status)}
	}
	list, err := Decode(body)
	if err != nil {
		return List{}, &invalidResponseError{fmt.Errorf("malformed endpoint list from discovery: %w", err)}
	}
	return list, nil
}
