package replication

import (
	"slices"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// pendingOperation is an operation that was submitted at this member and does not have its result yet.
type pendingOperation struct {
	operation      Operation
	deadline       time.Duration // time at which the operation is given up, as rejected or with an unknown outcome
	nextAttempt    time.Duration // time at which the operation is passed to the primary again
	mayBeCommitted bool          // whether a primary may have committed the operation already
	sentCount      int           // number of times that the operation was sent to another member
}

// checkPendingOperations retries the operations that are due and ends those past their deadline.
func (n *Node) checkPendingOperations() {
	for _, id := range slices.Clone(n.pendingOrder) {
		p := n.pending[id]
		switch {
		case p == nil: // an earlier attempt in this loop has ended the operation
		case n.now >= p.deadline:
			n.expirePending(p)
		case n.now >= p.nextAttempt:
			n.attemptOperation(p)
		}
	}
}

// expirePending ends an operation past its deadline: rejected if it was certainly not committed, otherwise with an unknown outcome.
func (n *Node) expirePending(p *pendingOperation) {
	outcome := OutcomeRejected
	if p.mayBeCommitted {
		outcome = OutcomeUnknown
	}
	n.deliverResult(Result{OperationID: p.operation.ID, Outcome: outcome, Reason: ReasonReconfiguring})
}

// attemptOperation passes an operation to its shard's primary. Without a known primary it does nothing until the next attempt.
func (n *Node) attemptOperation(p *pendingOperation) {
	s := &n.shards[shardmap.ShardOf(p.operation.Key)]
	p.nextAttempt = n.now + retryInterval
	if p.operation.LocalOnly && !s.isPrimary() {
		n.deliverResult(Result{OperationID: p.operation.ID, Outcome: OutcomeRejected, Reason: ReasonNotPrimary})
		return
	}
	if len(s.inSync) == 0 {
		return
	}
	primary := s.inSync[0]
	if primary == n.cfg.ID {
		n.serveOperation(s, p.operation, n.cfg.ID)
		return
	}
	p.mayBeCommitted = true
	p.sentCount++
	p.nextAttempt = n.now + resendInterval
	n.send(Message{Kind: MessageOperation, To: primary, Shard: s.number, Operation: p.operation})
}

// handleResult handles a primary's result. A transient rejection is ignored: the operation is retried when its next attempt is due.
func (n *Node) handleResult(r Result) {
	p := n.pending[r.OperationID]
	if p == nil || r.isTransientRejection() {
		return
	}
	// An earlier attempt may have been committed and then overwritten so often that the record no longer lists its ID.
	if r.Outcome == OutcomeConflict && !p.operation.ReadOnly && p.sentCount > 1 && len(r.Record.PastOperationIDs) >= maxPastOperationIDs {
		r.Outcome = OutcomeUnknown
	}
	n.deliverResult(r)
}

// deliverResult ends an operation that was submitted at this member and queues its result for the next Ready.
func (n *Node) deliverResult(r Result) {
	if n.pending[r.OperationID] == nil {
		return
	}
	delete(n.pending, r.OperationID)
	n.pendingOrder = slices.DeleteFunc(n.pendingOrder, func(id string) bool { return id == r.OperationID })
	if r.Outcome == OutcomeRejected {
		n.Rejections[r.Reason]++
	}
	n.ready.Results = append(n.ready.Results, r)
}

// replyToClient passes a primary's result to the member that submitted the operation, which may be this one.
func (n *Node) replyToClient(s *shard, client string, r Result) {
	if client != n.cfg.ID {
		n.send(Message{Kind: MessageResult, To: client, Shard: s.number, Result: r})
		return
	}
	if !r.isTransientRejection() {
		n.deliverResult(r)
	}
}

// markMayBeCommitted records that an operation may be committed from now on. If it was submitted here, its deadline then ends it with an
// unknown outcome and no longer with a rejection.
func (n *Node) markMayBeCommitted(id, client string) {
	if p := n.pending[id]; p != nil && client == n.cfg.ID {
		p.mayBeCommitted = true
	}
}
