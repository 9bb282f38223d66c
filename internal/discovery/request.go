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

// errOverloaded is the error of a request that discovery rejected after a wait.
var errOverloaded = errors.New("discovery has no time")

// invalidResponseError is the error of a response that can't be used.
type invalidResponseError struct{ error }

// response is what a request brought.
type response struct {
	list List
	err  error
}

// next requests the complete list, or the changes since the newest one, waiting for them up to hold. A request that is
// late (its connection is silent, or it waits on a discovery that was down) is repeated beside the first one: at a shared
// discovery once, and not sooner than a turn. The first response ends both.
func (w *Watch) next(ctx context.Context, hold, turn time.Duration) (List, error) {
	path, repeatPath := endpointsPath, endpointsPath
	if w.hasList {
		path = fmt.Sprintf("%s?from=%d&hold_ms=%d", endpointsPath, w.revision, hold.Milliseconds())
		if w.shared {
			repeatPath = fmt.Sprintf("%s?from=%d&hold_ms=0", endpointsPath, w.revision)
		}
	} else {
		hold = 0
	}
	lateAfter := hold + w.lateAfter
	timeout := hold + responseTimeout
	if w.shared {
		lateAfter = max(lateAfter, turn)
		if w.turn < maxTurn { // few balancers can ask sooner, but have to hear a slow response too
			turn = maxTurn
		}
		timeout = lateAfter + turn
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan response, 2)
	go func() {
		list, err := w.request(ctx, path, timeout)
		responses <- response{list, err}
	}()
	late := time.NewTimer(lateAfter)
	defer late.Stop()
	select {
	case r := <-responses:
		return r.list, r.err
	case <-late.C:
	case <-w.refresh:
	}
	w.lastRequestAt = time.Now()
	go w.repeat(ctx, repeatPath, turn, responses)
	r := <-responses
	if r.err != nil && w.shared { // the first request is reset when the network is back
		r = <-responses
	}
	return r.list, r.err
}

// repeat makes a request beside a late one; an agent is asked until it answers.
func (w *Watch) repeat(ctx context.Context, path string, timeout time.Duration, responses chan<- response) {
	if w.shared {
		list, err := w.request(ctx, path, timeout)
		responses <- response{list, err}
		return
	}
	for ; ctx.Err() == nil; sleepRandom(ctx, agentRetryPause) {
		list, err := w.request(ctx, path, agentRetryTimeout)
		if err == nil {
			responses <- response{list, nil}
			return
		}
	}
}

// request makes one request and decodes its response.
func (w *Watch) request(ctx context.Context, path string, timeout time.Duration) (List, error) {
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
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return List{}, err
	}
	if res.StatusCode >= http.StatusInternalServerError { // nothing is missed: the next request goes on from the same list
		err := fmt.Errorf("discovery answers %s", res.Status)
		if time.Since(sentAt) >= sharedLateAfter { // a request that is rejected at once takes nobody's time
			err = fmt.Errorf("%w: %w", errOverloaded, err)
		}
		return List{}, err
	}
	if res.StatusCode != http.StatusOK {
		return List{}, &invalidResponseError{fmt.Errorf("discovery answers %s", res.Status)}
	}
	list, err := Decode(text)
	if err != nil {
		return List{}, &invalidResponseError{fmt.Errorf("discovery: %w", err)}
	}
	return list, nil
}
