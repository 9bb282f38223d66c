package publisher

import (
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	maxOperationsPerConn = 256 // pending operations and puts
	maxOperations        = 8192
	maxOperationTimeout  = 10 * time.Second
	putTimeout           = 5 * time.Second
)

// putBusy is sent to subscribers; its text is part of the protocol.
const putBusy = "busy: too many changes of this follower wait"

// pendingOperation is the connection that awaits the result of an operation, and its ID of the request.
type pendingOperation struct {
	conn      *conn
	requestID uint64
}

// submit executes a subscriber's operation. The result of one that is submitted again while it is pending goes to the latest submitter.
func (s *Server) submit(c *conn, requestID uint64, op replication.Operation, timeout time.Duration) {
	s.mu.Lock()
	previous, isPending := s.operations[op.ID]
	isFull := !isPending && (c.operations.Load() >= maxOperationsPerConn || len(s.operations) >= maxOperations)
	if !isFull {
		if isPending {
			previous.conn.operations.Add(-1)
		}
		s.operations[op.ID] = pendingOperation{conn: c, requestID: requestID}
		c.operations.Add(1)
	}
	s.mu.Unlock()
	s.submitted.Add(1)
	switch {
	case isFull:
		s.rejectedOperations.Add(1)
		c.sendResult(requestID, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeRejected, Reason: replication.ReasonBusy})
	case !isPending:
		s.backend.Submit(op, timeout, func(result replication.Result) { s.complete(op.ID, result) })
	}
}

// complete sends the result of an operation to its latest submitter.
func (s *Server) complete(operationID string, result replication.Result) {
	s.mu.Lock()
	pending := s.operations[operationID]
	delete(s.operations, operationID)
	s.mu.Unlock()
	pending.conn.operations.Add(-1)
	pending.conn.sendResult(pending.requestID, result)
}

// put forwards a subscriber's put to the log's leader.
func (s *Server) put(c *conn, request *changefeed.PutRequest) {
	s.submitted.Add(1)
	if c.operations.Add(1) > maxOperationsPerConn {
		c.operations.Add(-1)
		s.rejectedOperations.Add(1)
		c.sendPutResponse(shardmap.PutResult{OperationID: request.OperationID, Rejection: putBusy})
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
		c.operations.Add(-1)
		c.sendPutResponse(result)
	})
}
