// Package idempotency decides what a balancer may do with a session whose class is replicated. Before the balancer sends
// the first byte to a server, the fleet must have stored a record of the attempt; before it reports success to the client,
// the fleet must have stored the answer.
//
// The package does no I/O: results of operations go in, the next operation or a decision comes out. It must never permit a
// write to a server while the outcome of an operation is unknown, and never let two balancers own the same session: the
// later one first marks the earlier one's record as abandoned, and all replicas apply these writes in the same order.
package idempotency

import (
	"encoding/json"
	"fmt"
	"time"

	"sabletally/internal/fleet/replication"
)

// RecordTTL is how long a record is stored after its creation.
const RecordTTL = 10 * time.Minute

// maxConflictsPerRequest bounds the operations of one request: each conflict returns the newer record and may need one more operation.
const maxConflictsPerRequest = 6

// KeyPrefix is the common prefix of the keys of all records.
const KeyPrefix = "intent/"

// Key returns the key of the record of the session with this ID.
func Key(id uint64) string { return fmt.Sprintf("%s%016x", KeyPrefix, id) }

// recordState is the state of a stored record. The strings are part of the storage format.
type recordState string

const (
	recordPending   recordState = "meant"    // the owner may write to a server
	recordAnswered  recordState = "answered" // Record.Answer is the final answer
	recordAbandoned recordState = "broken"   // another balancer asked before there was an answer: the session may have run and must not run again
	recordWithdrawn recordState = "never"    // the session never ran: the next balancer that asks may run it
)

// Record is the value of a stored record. It is encoded as JSON.
type Record struct {
	State    recordState `json:"state"`
	Owner    string      `json:"owner"`            // identifies one session at one balancer
	Endpoint string      `json:"server,omitempty"` // the server of the newest attempt
	Answer   []byte      `json:"answer,omitempty"`
}

// Decision is a Claim's decision after the result of an operation.
type Decision uint8

// The decisions that a Claim makes.
const (
	Wait        Decision = iota // the caller has to submit another operation
	Proceed                     // the owner may write to the server
	Replay                      // the session has a final answer, Claim.Answer
	Abandoned                   // the session may have run and must not run again
	Unavailable                 // no recording was confirmed in time: after Begin, the session has not run here
	Recorded                    // the answer is recorded
)

// Claim tracks one session's claim to its record, from the first attempt to the answer. It is not safe for concurrent use.
type Claim struct {
	Key       string
	Owner     string
	CreatedAt int64 // creation time of the record, in Unix seconds
	Answer    []byte

	version            uint64 // version of the record that this owner wrote last
	isOwner            bool   // a write of this owner is known to be committed
	mustNotRun         bool   // the record shows another owner's attempt or answer, so this owner must not run the session
	goal               goal
	nextRecord         Record // the record that the current request writes
	conflictsInRequest int    // number of conflicts in the current request
	operations         int    // number of all operations so far, for their IDs
}

// goal is the purpose of a Claim's current request.
type goal uint8

const (
	goalBegin goal = iota
	goalAbandon
	goalAnswer
	goalWithdraw
)

// New returns the claim of a session before its first request.
func New(id uint64, owner string, createdAt int64) *Claim {
	return &Claim{Key: Key(id), Owner: owner, CreatedAt: createdAt}
}

// NeedsWithdrawal reports whether a record of this owner may be stored that has to be withdrawn if the session ends now.
func (c *Claim) NeedsWithdrawal() bool { return c.operations > 0 && !c.mustNotRun }

// Begin requests permission to write to a server. It returns the request's first operation.
func (c *Claim) Begin(endpoint string) replication.Operation {
	c.goal = goalBegin
	c.conflictsInRequest = 0
	c.nextRecord = Record{State: recordPending, Owner: c.Owner, Endpoint: endpoint}
	return c.writeOperation(c.version)
}

// RecordAnswer requests that the final answer is recorded. It returns the request's first operation.
func (c *Claim) RecordAnswer(answer []byte) replication.Operation {
	c.goal = goalAnswer
	c.conflictsInRequest = 0
	c.nextRecord = Record{State: recordAnswered, Owner: c.Owner, Answer: answer}
	return c.writeOperation(c.version)
}

// Withdraw requests that an ended session is recorded as never having run. It is a claim's last request, and nobody waits
// for its result. Without it, the next balancer that asks would have to assume that the session may have run.
func (c *Claim) Withdraw() replication.Operation {
	c.goal = goalWithdraw
	c.conflictsInRequest = 0
	c.nextRecord = Record{State: recordWithdrawn, Owner: c.Owner}
	if c.isOwner {
		return c.writeOperation(c.version)
	}
	// It is unknown whether the record was stored, so read it first.
	return replication.Operation{ID: c.nextOperationID(), Key: c.Key, ReadOnly: true}
}

// writeOperation returns the operation that replaces a version of the record by nextRecord.
func (c *Claim) writeOperation(version uint64) replication.Operation {
	value, err := json.Marshal(c.nextRecord)
	if err != nil {
		panic(err) // a Record contains only values that can be encoded
	}
	return replication.Operation{ID: c.nextOperationID(), Key: c.Key, ExpectedVersion: version, Value: value, CreatedAt: c.CreatedAt}
}

// nextOperationID returns a new ID, unique among all operations of all owners.
func (c *Claim) nextOperationID() string {
	c.operations++
	return fmt.Sprintf("%s.%d", c.Owner, c.operations)
}

// HandleResult handles the result of the newest operation and returns a decision. With Wait it also returns the operation to
// submit next.
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

// handleCommit decides after the request's write has been committed.
func (c *Claim) handleCommit(version uint64) Decision {
	switch c.goal {
	case goalAbandon:
		c.mustNotRun = true
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

// handleConflict decides by the stored record, which is not the one that the operation expected.
func (c *Claim) handleConflict(stored replication.Record) (Decision, replication.Operation) {
	c.conflictsInRequest++
	if c.conflictsInRequest > maxConflictsPerRequest {
		return Unavailable, replication.Operation{}
	}
	if stored.Deleted || stored.Version == 0 { // the record has expired or never existed
		if c.isOwner {
			return Unavailable, replication.Operation{}
		}
		return Wait, c.writeOperation(0)
	}
	var record Record
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return Unavailable, replication.Operation{}
	}
	switch {
	case c.goal == goalWithdraw && record.Owner == c.Owner && record.State == recordPending:
		return Wait, c.writeOperation(stored.Version)
	case c.goal == goalWithdraw:
		return Unavailable, replication.Operation{}
	case record.State == recordAnswered:
		c.Answer = record.Answer
		c.mustNotRun = true
		return Replay, replication.Operation{}
	case record.State == recordAbandoned, c.isOwner: // the session was abandoned, or another balancer has replaced this owner's record
		c.mustNotRun = true
		return Abandoned, replication.Operation{}
	case record.State == recordWithdrawn:
		return Wait, c.writeOperation(stored.Version)
	}
	c.goal = goalAbandon
	c.nextRecord = Record{State: recordAbandoned, Owner: c.Owner}
	return Wait, c.writeOperation(stored.Version)
}
