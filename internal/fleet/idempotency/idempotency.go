// Package idempotency decides what a balancer may do with a session whose class is replicated: before the first byte
// goes to a server, the fleet has to hold a record that it will; before a success is sent to the client, that it was
// established. The package is pure: results of operations in, the next operation or a decision out. It must never allow
// a byte on an operation whose outcome is unknown, and never let two balancers both own a session: a later one first
// marks the record of the earlier one as abandoned, in the one order that all replicas have.
package idempotency

import (
	"encoding/json"
	"fmt"
	"time"

	"sabletally/internal/fleet/replication"
)

// RecordTTL is how long a record is kept, from its creation on.
const RecordTTL = 10 * time.Minute

// maxSteps bounds the operations of one request: each that conflicts shows the newer record.
const maxSteps = 6

// KeyPrefix begins the keys of all records.
const KeyPrefix = "intent/"

// Key returns the key of a session id's record.
func Key(id uint64) string { return fmt.Sprintf("%s%016x", KeyPrefix, id) }

// recordState is the state of a record as it is stored.
type recordState string

const (
	recordPending   recordState = "meant"    // its owner may write to a server
	recordAnswered  recordState = "answered" // Answer is the final answer
	recordAbandoned recordState = "broken"   // another balancer asked before an answer: it may have run and will not again
	recordWithdrawn recordState = "never"    // it never ran: the next balancer that asks may run it
)

// Record is the value of a stored record, as JSON.
type Record struct {
	State    recordState `json:"state"`
	Owner    string      `json:"owner"`            // of one session at one balancer
	Endpoint string      `json:"server,omitempty"` // of the newest attempt
	Answer   []byte      `json:"answer,omitempty"`
}

// Decision is what a Claim decides on the result of an operation.
type Decision uint8

// The decisions.
const (
	Wait        Decision = iota // another operation is to be submitted
	Proceed                     // the owner may write to the server
	Replay                      // there is a final answer, Claim.Answer
	Abandoned                   // the session may have run and must not run again
	Unavailable                 // nothing was recorded in time: the session never ran here
	Recorded                    // the answer is recorded
)

// Claim is one session's part in its record, from the first attempt to the answer. It is not safe for concurrent use.
type Claim struct {
	Key       string
	Owner     string
	CreatedAt int64 // Unix seconds
	Answer    []byte

	version    uint64 // of this owner's newest write
	isOwner    bool   // a write of this owner is known to be committed
	isLost     bool   // the record of another owner, or its answer, holds
	goal       goal
	next       Record // to be written
	steps      int    // of the current request
	operations int
}

// goal is what the current request of a Claim is for.
type goal uint8

const (
	goalBegin goal = iota
	goalAbandon
	goalAnswer
	goalWithdraw
)

// New returns the claim of a session for which nothing was requested yet.
func New(id uint64, owner string, createdAt int64) *Claim {
	return &Claim{Key: Key(id), Owner: owner, CreatedAt: createdAt}
}

// NeedsWithdrawal reports whether a record of this owner may be stored on which nobody will act.
func (c *Claim) NeedsWithdrawal() bool { return c.operations > 0 && !c.isLost }

// Begin requests the right to write to a server and returns the first operation for it.
func (c *Claim) Begin(endpoint string) replication.Operation {
	c.goal = goalBegin
	c.steps = 0
	c.next = Record{State: recordPending, Owner: c.Owner, Endpoint: endpoint}
	return c.write(c.version)
}

// RecordAnswer requests that the final answer is recorded and returns the first operation for it.
func (c *Claim) RecordAnswer(answer []byte) replication.Operation {
	c.goal = goalAnswer
	c.steps = 0
	c.next = Record{State: recordAnswered, Owner: c.Owner, Answer: answer}
	return c.write(c.version)
}

// Withdraw records that a session which has ended never ran. It is the last request of a claim, and nobody waits for
// it. Without it the next balancer that asks would learn that the session may have run.
func (c *Claim) Withdraw() replication.Operation {
	c.goal = goalWithdraw
	c.steps = 0
	c.next = Record{State: recordWithdrawn, Owner: c.Owner}
	if c.isOwner {
		return c.write(c.version)
	}
	// It is unknown whether the record was stored: read it first.
	return replication.Operation{ID: c.nextOperationID(), Key: c.Key, ReadOnly: true}
}

// write returns the operation that writes the next record over a version.
func (c *Claim) write(version uint64) replication.Operation {
	value, err := json.Marshal(c.next)
	if err != nil {
		panic(err) // it holds plain values only
	}
	return replication.Operation{ID: c.nextOperationID(), Key: c.Key, ExpectedVersion: version, Value: value, CreatedAt: c.CreatedAt}
}

func (c *Claim) nextOperationID() string {
	c.operations++
	return fmt.Sprintf("%s.%d", c.Owner, c.operations)
}

// HandleResult handles the result of the newest operation. It returns a decision; with Wait, the operation to submit
// next.
func (c *Claim) HandleResult(result replication.Result) (Decision, replication.Operation) {
	switch result.Outcome {
	case replication.OutcomeCommitted:
		return c.handleCommit(result.Record.Version), replication.Operation{}
	case replication.OutcomeConflict:
		return c.handleConflict(result.Record)
	default:
		return Unavailable, replication.Operation{}
	}
}

func (c *Claim) handleCommit(version uint64) Decision {
	switch c.goal {
	case goalAbandon:
		c.isLost = true
		return Abandoned
	case goalWithdraw:
		return Unavailable
	}
	c.version = version
	c.isOwner = true
	if c.goal == goalAnswer {
		return Recorded
	}
	return Proceed
}

// handleConflict decides by the record that is stored in place of the expected one.
func (c *Claim) handleConflict(stored replication.Record) (Decision, replication.Operation) {
	c.steps++
	if c.steps > maxSteps {
		return Unavailable, replication.Operation{}
	}
	if stored.Deleted || stored.Version == 0 { // the record has expired, or there never was one
		if c.isOwner {
			return Unavailable, replication.Operation{}
		}
		return Wait, c.write(0)
	}
	var record Record
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return Unavailable, replication.Operation{}
	}
	switch {
	case c.goal == goalWithdraw && record.Owner == c.Owner && record.State == recordPending:
		return Wait, c.write(stored.Version)
	case c.goal == goalWithdraw:
		return Unavailable, replication.Operation{}
	case record.State == recordAnswered:
		c.Answer = record.Answer
		c.isLost = true
		return Replay, replication.Operation{}
	case record.State == recordAbandoned, c.isOwner: // another balancer has replaced this owner's record
		c.isLost = true
		return Abandoned, replication.Operation{}
	case record.State == recordWithdrawn:
		return Wait, c.write(stored.Version)
	}
	c.goal = goalAbandon
	c.next = Record{State: recordAbandoned, Owner: c.Owner}
	return Wait, c.write(stored.Version)
}
