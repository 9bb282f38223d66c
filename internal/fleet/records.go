package fleet

import (
	"crypto/rand"
	"time"

	"sabletally/internal/fleet/replication"
)

const (
	operationTimeout  = 2 * time.Second
	writeRetryDelay   = time.Second
	readRetryDelay    = 200 * time.Millisecond
	maxRecordAttempts = 30
)

// recordStore executes operations on records, as a member or by the control processes.
type recordStore interface {
	Submit(op replication.Operation, within time.Duration, done func(replication.Result))
}

// currentStore returns the store and this process's member ID; nil while another process of a hot restart owns the data directory.
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

// submitAndWait returns the result of an operation; unknown where the fleet is closed meanwhile.
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

// readRecord reads a record, which has version 0 where it does not exist. It returns false where no member has answered.
func (f *Fleet) readRecord(key string) (replication.Record, bool) {
	store, _ := f.currentStore()
	if store == nil {
		return replication.Record{}, false
	}
	result := f.submitAndWait(store, replication.Operation{ID: rand.Text(), Key: key, ReadOnly: true})
	return result.Record, result.Outcome == replication.OutcomeConflict // which is how a read is answered
}
