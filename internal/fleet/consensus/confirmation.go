package consensus

import (
	"encoding/binary"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

const (
	confirmInterval  = 500 * time.Millisecond
	maxConfirmations = 4 // pending; the library keeps each until it is answered
	contextBytes     = 8 // of a read index request: the confirmation's number
)

// confirmations are the requests of a leader to a majority whether it leads yet, by Raft's read index, which depends on nobody's clock.
type confirmations struct {
	nextAt     time.Duration
	pending    []confirmation // the oldest first
	term       uint64         // of the pending ones
	lastNumber uint64

	asOf    time.Duration
	hasAsOf bool
}

// confirmation is one request. Once a majority has answered it and the log is applied up to its index, nothing newer than the state had
// been agreed when it was sent.
type confirmation struct {
	number   uint64
	sentAt   time.Duration
	answered bool
	index    uint64
}

// AsOf returns the time up to which this member knows that its state is all that was agreed. It is false at a member that has never led.
func (n *Node) AsOf() (time.Duration, bool) { return n.confirmations.asOf, n.confirmations.hasAsOf }

// requestConfirmation sends the next request when it is due.
func (n *Node) requestConfirmation() {
	c := &n.confirmations
	if term := n.Term(); term != c.term || !n.IsLeader() { // the library drops them with the term
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

// answer takes a majority's answer.
func (c *confirmations) answer(read raft.ReadState) {
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

// complete takes the newest confirmation whose index is applied, which includes those before it.
func (c *confirmations) complete(appliedIndex uint64) {
	for i, one := range slices.Backward(c.pending) {
		if one.answered && one.index <= appliedIndex {
			c.asOf = max(c.asOf, one.sentAt)
			c.hasAsOf = true
			c.pending = slices.Delete(c.pending, 0, i+1)
			return
		}
	}
}
