package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

const (
	confirmInterval  = 500 * time.Millisecond // time between two requests for a confirmation
	maxConfirmations = 4                      // maximum number of pending requests; the library stores each until it is answered
	contextBytes     = 8                      // length of a read index request's context, which is the confirmation's number
)

// confirmations tracks a leader's requests to the other voters to confirm that it still leads. They use Raft's read index, which does not
// depend on any clock.
type confirmations struct {
	nextAt     time.Duration
	pending    []confirmation // requests that are not completed, the oldest first
	term       uint64         // the term in which the pending requests were sent
	lastNumber uint64

	confirmedAt   time.Duration // time at which the newest confirmed request was sent
	everConfirmed bool          // whether confirmedAt is valid
}

// confirmation is one request. Once a majority has answered it and the log is applied up to its index, the state contains everything that
// was agreed before the request was sent.
type confirmation struct {
	number   uint64
	sentAt   time.Duration
	answered bool
	index    uint64
}

// ConfirmedAt returns the latest time at which this member's state is known to have contained everything that was agreed. It returns
// false if the member was never confirmed as the leader.
func (n *Node) ConfirmedAt() (time.Duration, bool) {
	return n.confirmations.confirmedAt, n.confirmations.everConfirmed
}

// requestConfirmation sends the next request if it is due, and forgets those of an earlier term.
func (n *Node) requestConfirmation() {
	c := &n.confirmations
	if term := n.Term(); term != c.term || !n.IsLeader() { // the library drops pending requests when the term changes
		c.pending = nil
		c.term = term
	}
	if !n.IsLeader() || n.now < c.nextAt || len(c.pending) >= maxConfirmations {
		return
	}
	c.nextAt = n.now + confirmInterval
	c.lastNumber++
	c.pending = append(c.pending, confirmation{number: c.lastNumber, sentAt: n.now})
	n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.lastNumber))
}

// recordAnswer records that a majority has answered a request.
func (c *confirmations) recordAnswer(read raft.ReadState) {
	if len(read.RequestCtx) != contextBytes {
		return
	}
	number := binary.BigEndian.Uint64(read.RequestCtx)
	for i := range c.pending {
		if c.pending[i].number == number {
			c.pending[i].answered = true
			c.pending[i].index = read.Index
		}
	}
}

// completeUpTo completes the newest answered request whose index is applied. That also covers the older requests, which are dropped.
func (c *confirmations) completeUpTo(appliedIndex uint64) {
	for i, one := range slices.Backward(c.pending) {
		if one.answered && one.index <= appliedIndex {
			c.confirmedAt = max(c.confirmedAt, one.sentAt)
			c.everConfirmed = true
			c.pending = slices.Delete(c.pending, 0, i+1)
			return
		}
	}
}
