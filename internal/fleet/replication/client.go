package replication

import (
	"slices"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// pendingOperation is an operation that was submitted at this member and has no result yet.
type pendingOperation struct {
	operation   Operation
	deadline    time.Duration
	nextAttempt time.Duration
	mayBeDone   bool // a primary may have committed it
	sentCount   int  // to other members
}

// checkPendingOperations retries the operations that are due, and ends those whose deadline is over.
func (n *Node) checkPendingOperations() {
	for _, id := range slices.Clone(n.pendingOrder) {
		p := n.pending[id]
		switch {
		case p == nil: // finished by an attempt before it
		case n.now >= p.deadline:
			n.expirePending(p)
		case n.now >= p.nextAttempt:
			n.attempt(p)
		}
	}
}

func (n *Node) expirePending(p *pendingOperation) {
	outcome := OutcomeRejected
	if p.mayBeDone {
		outcome = OutcomeUnknown
	}
	n.finish(Result{OperationID: p.operation.ID, Outcome: outcome, Reason: ReasonReconfiguring})
}

// attempt passes an operation to its shard's primary, if there is one.
func (n *Node) attempt(p *pendingOperation) {
	s := &n.shards[shardmap.ShardOf(p.operation.Key)]
	p.nextAttempt = n.now + retryInterval
	if p.operation.LocalOnly && !s.isPrimary() {
		n.finish(Result{OperationID: p.operation.ID, Outcome: OutcomeRejected, Reason: ReasonNotPrimary})
		return
	}
	if len(s.inSync) == 0 {
		return
	}
	primary := s.inSync[0]
	if primary == n.cfg.ID {
		n.serve(s, p.operation, n.cfg.ID)
		return
	}
	p.mayBeDone = true
	p.sentCount++
	p.nextAttempt = n.now + resendInterval
	n.send(Message{Kind: MessageOperation, To: primary, Shard: s.number, Operation: p.operation})
}

// handleResult takes a primary's result. A transient rejection is retried when the next attempt is due.
func (n *Node) handleResult(r Result) {
	p := n.pending[r.OperationID]
	if p == nil || r.isTransientRejection() {
		return
	}
	// An earlier attempt may have been committed and overwritten so often since that the record has forgotten it.
	if r.Outcome == OutcomeConflict && !p.operation.ReadOnly && p.sentCount > 1 && len(r.Record.PastOperationIDs) >= maxPastOperationIDs {
		r.Outcome = OutcomeUnknown
	}
	n.finish(r)
}

// finish hands out the result of an operation that was submitted here.
func (n *Node) finish(r Result) {
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

// reply sends a result to the member that submitted the operation.
func (n *Node) reply(s *shard, client string, r Result) {
	if client != n.cfg.ID {
		n.send(Message{Kind: MessageResult, To: client, Shard: s.number, Result: r})
		return
	}
	if !r.isTransientRejection() {
		n.finish(r)
	}
}

// markMayBeDone notes of an operation, if it was submitted here, that it can't be rejected any more.
func (n *Node) markMayBeDone(id, client string) {
	if p := n.pending[id]; p != nil && client == n.cfg.ID {
		p.mayBeDone = true
	}
}
