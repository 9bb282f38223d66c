package fleet

import (
	"crypto/rand"
	"time"

	"sabletally/internal/fleet/replication"
)

const (
	operationTimeout  = 2 * time.Second        // timeout of one operation on a record
	writeRetryDelay   = time.Second            // time between two attempts to write a record
	readRetryDelay    = 200 * time.Millisecond // time between two attempts to read a record
	maxRecordAttempts = 30                     // number of attempts to read or write a record before giving up
)

// recordStore executes operations on records: a member's node server, or a subscriber's client, which sends them to control processes.
type recordStore interface {
	Submit(op replication.Operation, timeout time.Duration, done func(replication.Result))
}

// currentStore returns the store and this process's member ID. The store is nil while the predecessor of a hot restart owns the data
// directory.
func (f *Fleet) currentStore() (recordStore, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.client != nil:
		return f.client, f.directory.MemberID
	case f.member != nil:
		return f.member.node, f.directory.MemberID
	}
	return nil, ""
}

// submitAndWait executes an operation and returns its result, OutcomeUnknown if the fleet is closed meanwhile.
func (f *Fleet) submitAndWait(store recordStore, op replication.Operation) replication.Result {
	results := make(chan replication.Result, 1)
	store.Submit(op, operationTimeout, func(result replication.Result) { results <- result })
	select {
	case result := <-results:
		return result
	case <-f.done:
		return replication.Result{Outcome: replication.OutcomeUnknown}
	}
}

// readRecord reads a record, which has version 0 if it does not exist. It returns false if no member has answered.
func (f *Fleet) readRecord(key string) (replication.Record, bool) {
	store, _ := f.currentStore()
	if store == nil {
		return replication.Record{}, false
	}
	result := f.submitAndWait(store, replication.Operation{ID: rand.Text(), Key: key, ReadOnly: true})
	return result.Record, result.Outcome == replication.OutcomeConflict // a read is always answered with a conflict
}
