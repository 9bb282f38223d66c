package subscriber

import (
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
	"sabletally/internal/fleet/replication"
)

// maxRequests is the maximum number of pending operations and puts. Further ones are rejected.
const maxRequests = 4096

// The rejections of puts that end without a response from a control process. Their texts reach operators.
const (
	putTimedOut = "no answer in time: it may have taken hold; ask again as the same operation"
	putNotSent  = "no control process is followed, or too many changes wait"
	putPending  = "it is under way already"
)

// request is a pending operation or put. It ends with a call of exactly one of its callbacks.
type request struct {
	id             uint64
	operationID    string
	encodedMessage []byte
	conn           *conn // connection on which the request was last sent; nil if that has ended, or if the request was never sent
	wasSent        bool  // whether the request was sent at least once
	timeoutTimer   *time.Timer
	onNoResponse   func()
	onResult       func(replication.Result)      // callback of an operation; nil for a put
	onPutResponse  func(*changefeed.PutResponse) // callback of a put; nil for an operation
}

// Submit submits an operation to a control process that is followed. done is called once, when the result arrives, soon after the timeout
// has passed, or at once if too many requests are pending. It may be called by any goroutine, also before Submit returns, and must not block.
// Without a result the outcome is OutcomeUnknown, or OutcomeRejected if the operation was never sent. If the connection ends first, the
// operation is sent again on another connection, which is safe because operations are idempotent by their ID.
func (c *Client) Submit(op replication.Operation, timeout time.Duration, done func(replication.Result)) {
	r := &request{operationID: op.ID, onResult: done}
	r.onNoResponse = func() {
		result := replication.Result{OperationID: op.ID, Outcome: replication.OutcomeUnknown}
		if !r.wasSent {
			result.Outcome = replication.OutcomeRejected
			result.Reason = replication.ReasonBusy
		}
		done(result)
	}
	c.startRequest(r, timeout, func(requestID uint64) changefeed.Message {
		body := framing.Encode(framing.OperationRequest{Operation: op, Timeout: timeout})
		return changefeed.Message{Operation: &changefeed.Payload{RequestID: requestID, Body: body}}
	})
}

// Put asks for a change of an item of the operators' configuration. done is called as described for Submit. RejectReason says why the
// change was not made, or that its outcome is unknown. A put that is repeated with the same operation ID gets the same version as a response.
func (c *Client) Put(put changefeed.PutRequest, timeout time.Duration, done func(changefeed.PutResponse)) {
	r := &request{operationID: put.OperationID}
	r.onPutResponse = func(response *changefeed.PutResponse) { done(*response) }
	r.onNoResponse = func() {
		reason := putTimedOut
		if !r.wasSent {
			reason = putNotSent
		}
		done(changefeed.PutResponse{OperationID: put.OperationID, RejectReason: reason})
	}
	if !c.registerPut(r) {
		done(changefeed.PutResponse{OperationID: put.OperationID, RejectReason: putPending})
		return
	}
	c.startRequest(r, timeout, func(uint64) changefeed.Message { return changefeed.Message{PutRequest: &put} })
}

// registerPut adds a put to the pending ones. It returns false if a put with the same operation ID is already pending.
func (c *Client) registerPut(r *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.puts[r.operationID] != nil {
		return false
	}
	c.puts[r.operationID] = r
	return true
}

// startRequest sends a request, and ends it if no response arrives before the timeout.
func (c *Client) startRequest(r *request, timeout time.Duration, newMessage func(requestID uint64) changefeed.Message) {
	c.mu.Lock()
	if c.isClosed || len(c.requests) >= maxRequests {
		delete(c.puts, r.operationID)
		c.mu.Unlock()
		r.onNoResponse()
		return
	}
	defer c.mu.Unlock()
	c.lastRequestID++
	r.id = c.lastRequestID
	message := newMessage(r.id)
	r.encodedMessage = changefeed.Encode(&message)
	c.requests[r.id] = r
	r.timeoutTimer = time.AfterFunc(timeout, func() { c.expireRequest(r) })
	c.sendRequest(r)
}

// expireRequest ends a request whose timeout has passed, unless it has already ended.
func (c *Client) expireRequest(r *request) {
	c.mu.Lock()
	wasPending := c.removeRequest(r)
	c.mu.Unlock()
	if wasPending {
		r.onNoResponse()
	}
}

// removeRequest removes a request from the pending ones. It returns false if the request has already ended. mu is held.
func (c *Client) removeRequest(r *request) bool {
	if c.requests[r.id] != r {
		return false
	}
	delete(c.requests, r.id)
	if c.puts[r.operationID] == r {
		delete(c.puts, r.operationID)
	}
	return true
}

// sendRequest sends a request to the first control process that is followed, if there is one. mu is held.
func (c *Client) sendRequest(r *request) {
	for _, address := range c.core.Publishers() {
		if open := c.conns[address]; open != nil {
			r.conn = open
			r.wasSent = true
			open.enqueue(r.encodedMessage)
			return
		}
	}
}

// sendUnsent sends the requests that are on no connection. mu is held.
func (c *Client) sendUnsent() {
	for _, r := range c.requests {
		if r.conn == nil {
			c.sendRequest(r)
		}
	}
}

// resendRequests sends the requests of an ended connection again, on another connection. mu is held.
func (c *Client) resendRequests(ended *conn) {
	for _, r := range c.requests {
		if r.conn == ended {
			r.conn = nil
			c.sendRequest(r)
		}
	}
}

// completeOperation ends the pending operation that a result belongs to. It returns the call of its callback, which is to be made without
// mu, or nil if no operation awaits the result. mu is held.
func (c *Client) completeOperation(payload *changefeed.Payload) func() {
	r := c.requests[payload.RequestID]
	if r == nil || r.onResult == nil {
		return nil
	}
	var result replication.Result
	if err := framing.Decode(payload.Body, &result); err != nil || result.OperationID != r.operationID {
		return nil
	}
	c.removeRequest(r)
	r.timeoutTimer.Stop()
	return func() { r.onResult(result) }
}

// completePut ends the pending put that a response belongs to. It returns the call of its callback, which is to be made without mu, or nil
// if no put awaits the response. mu is held.
func (c *Client) completePut(response *changefeed.PutResponse) func() {
	r := c.puts[response.OperationID]
	if r == nil || !c.removeRequest(r) {
		return nil
	}
	r.timeoutTimer.Stop()
	return func() { r.onPutResponse(response) }
}
