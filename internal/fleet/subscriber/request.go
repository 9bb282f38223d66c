package subscriber

import (
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
	"sabletally/internal/fleet/replication"
)

// maxRequests bounds the operations and puts without a response. Further ones are rejected.
const maxRequests = 4096

// Reasons for which a put ends without a response.
const (
	putTimedOut = "no answer in time: it may have taken hold; ask again as the same operation"
	putNotSent  = "no control process is followed, or too many changes wait"
	putPending  = "it is under way already"
)

// request is an operation or a put that awaits its response. It ends by exactly one of its callbacks.
type request struct {
	id           uint64
	operationID  string
	encoded      []byte
	conn         *conn // that it was sent on; nil: none
	wasSent      bool  // at least once
	timer        *time.Timer
	onNoResponse func()
	onResult     func(replication.Result)      // of an operation
	onPut        func(*changefeed.PutResponse) // of a put
}

// Submit has an operation executed by the control processes. done is called once, by another goroutine, within the time or a little
// later; it must not wait. Without a response the outcome is unknown, or a rejection if the operation was never sent. An operation whose
// connection ends is sent again on another one, which is safe as operations are idempotent by their ID.
func (c *Client) Submit(op replication.Operation, within time.Duration, done func(replication.Result)) {
	r := &request{operationID: op.ID, onResult: done}
	r.onNoResponse = func() {
		result := replication.Result{OperationID: op.ID, Outcome: replication.OutcomeUnknown}
		if !r.wasSent {
			result.Outcome = replication.OutcomeRejected
			result.Reason = replication.ReasonBusy
		}
		done(result)
	}
	c.start(r, within, func(requestID uint64) changefeed.Message {
		body := framing.Encode(framing.OperationRequest{Operation: op, Timeout: within})
		return changefeed.Message{Operation: &changefeed.Payload{RequestID: requestID, Body: body}}
	})
}

// Put asks for a change of an operators' item. done is called as by Submit; RejectReason says why the change was not made, or may not
// have been. A put that is repeated under the same operation ID is answered with the same version.
func (c *Client) Put(put changefeed.PutRequest, within time.Duration, done func(changefeed.PutResponse)) {
	r := &request{operationID: put.OperationID}
	r.onPut = func(response *changefeed.PutResponse) { done(*response) }
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
	c.start(r, within, func(uint64) changefeed.Message { return changefeed.Message{PutRequest: &put} })
}

// registerPut returns false where a put with the same operation ID is pending.
func (c *Client) registerPut(r *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.puts[r.operationID] != nil {
		return false
	}
	c.puts[r.operationID] = r
	return true
}

// start sends a request and ends it after a time without a response.
func (c *Client) start(r *request, within time.Duration, newMessage func(requestID uint64) changefeed.Message) {
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
	r.encoded = changefeed.Encode(&message)
	c.requests[r.id] = r
	r.timer = time.AfterFunc(within, func() { c.expire(r) })
	c.send(r)
}

func (c *Client) expire(r *request) {
	c.mu.Lock()
	wasPending := c.remove(r)
	c.mu.Unlock()
	if wasPending {
		r.onNoResponse()
	}
}

// remove removes a request; false where it has ended. mu is held.
func (c *Client) remove(r *request) bool {
	if c.requests[r.id] != r {
		return false
	}
	delete(c.requests, r.id)
	if c.puts[r.operationID] == r {
		delete(c.puts, r.operationID)
	}
	return true
}

// send sends a request to the first control process that is followed, if there is one. mu is held.
func (c *Client) send(r *request) {
	for _, address := range c.core.Publishers() {
		if open := c.conns[address]; open != nil {
			r.conn = open
			r.wasSent = true
			open.enqueue(r.encoded)
			return
		}
	}
}

// submitUnsent sends the requests that no connection has. mu is held.
func (c *Client) submitUnsent() {
	for _, r := range c.requests {
		if r.conn == nil {
			c.send(r)
		}
	}
}

// resubmit sends the requests of a connection that has ended again. mu is held.
func (c *Client) resubmit(ended *conn) {
	for _, r := range c.requests {
		if r.conn == ended {
			r.conn = nil
			c.send(r)
		}
	}
}

// completeOperation returns the call that completes an operation, nil where none awaits the result. mu is held.
func (c *Client) completeOperation(payload *changefeed.Payload) func() {
	r := c.requests[payload.RequestID]
	if r == nil || r.onResult == nil {
		return nil
	}
	var result replication.Result
	if err := framing.Decode(payload.Body, &result); err != nil || result.OperationID != r.operationID {
		return nil
	}
	c.remove(r)
	r.timer.Stop()
	return func() { r.onResult(result) }
}

// completePut returns the call that completes a put, nil where none awaits the response. mu is held.
func (c *Client) completePut(response *changefeed.PutResponse) func() {
	r := c.puts[response.OperationID]
	if r == nil || !c.remove(r) {
		return nil
	}
	r.timer.Stop()
	return func() { r.onPut(response) }
}
