package publisher

import (
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	maxOperationsPerConn = 256              // maximum number of pending operations and puts of one subscriber
	maxOperations        = 8192             // maximum number of pending operations of all subscribers
	maxOperationTimeout  = 10 * time.Second // limit of the timeout that a subscriber requests for an operation
	putTimeout           = 5 * time.Second
)

// rejectionBusy is the rejection of a put beyond the limit. Its text is sent to subscribers and is part of the protocol.
const rejectionBusy = "busy: too many changes of this follower wait"

// pendingOperation identifies who is waiting for the result of an operation.
type pendingOperation struct {
	conn      *conn
	requestID uint64 // request ID that the subscriber has assigned
}

// submit executes a subscriber's operation. If an operation is submitted again while it is pending, it is executed once and the result goes
// to the latest submitter.
func (s *Server) submit(c *conn, requestID uint64, op replication.Operation, timeout time.Duration) {
	s.mu.Lock()
	previous, isPending := s.operationsByID[op.ID]
	isFull := !isPending && (c.pendingOperations.Load() >= maxOperationsPerConn || len(s.operationsByID) >= maxOperations)
	if !isFull {
		if isPending {
			previous.conn.pendingOperations.Add(-1)
		}
		s.operationsByID[op.ID] = pendingOperation{conn: c, requestID: requestID}
		c.pendingOperations.Add(1)
	}
	s.mu.Unlock()
	s.submitted.Add(1)
	switch {
	case isFull:
		s.rejectedOperations.Add(1)
		c.sendResult(requestID, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeRejected, Reason: replication.ReasonBusy})
	case !isPending:
		s.backend.Submit(op, timeout, func(result replication.Result) { s.completeOperation(op.ID, result) })
	}
}

// completeOperation sends the result of an operation to its latest submitter.
func (s *Server) completeOperation(operationID string, result replication.Result) {
	s.mu.Lock()
	pending := s.operationsByID[operationID]
	delete(s.operationsByID, operationID)
	s.mu.Unlock()
	pending.conn.pendingOperations.Add(-1)
	pending.conn.sendResult(pending.requestID, result)
}

// forwardPut forwards a subscriber's put to the leader of the agreed log.
func (s *Server) forwardPut(c *conn, request *changefeed.PutRequest) {
	s.submitted.Add(1)
	if c.pendingOperations.Add(1) > maxOperationsPerConn {
		c.pendingOperations.Add(-1)
		s.rejectedOperations.Add(1)
		c.sendPutResponse(shardmap.PutResult{OperationID: request.OperationID, Rejection: rejectionBusy})
		return
	}
	put := shardmap.Put{
		Key:             request.Key,
		Value:           request.Value,
		Delete:          request.Delete,
		OperationID:     request.OperationID,
		Conditional:     !request.Unconditional,
		ExpectedVersion: request.IfVersion,
	}
	s.backend.Put(put, putTimeout, func(result shardmap.PutResult) {
		c.pendingOperations.Add(-1)
		c.sendPutResponse(result)
	})
}
