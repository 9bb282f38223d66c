package replication

// Record is a replicated key with its value. The tags fix the field names on the wire and on disk.
type Record struct {
	Key string `cbor:"Key"`
	// Version is the number of writes of the key so far; 0 means that there is no record.
	Version uint64 `cbor:"Version"`
	Value   []byte `cbor:"Value"`
	// OperationID is the operation that wrote this version. A retry of that operation succeeds without writing a new version.
	OperationID string `cbor:"Op"`
	// CreatedAt is when the write was submitted, in Unix seconds by the submitter's clock. It is used for retention only, not for ordering.
	CreatedAt int64 `cbor:"Born"`
	// Deleted marks the key as deleted by an operation.
	Deleted bool `cbor:"Gone"`
	// PastOperationIDs are the operations that wrote the previous versions, newest first, at most maxPastOperationIDs.
	PastOperationIDs []string `cbor:"Past"`
}

// exists reports whether there is a record and it is not deleted.
func (r Record) exists() bool { return r.Version > 0 && !r.Deleted }

// Operation is a conditional write or a read of one key.
type Operation struct {
	// ID is unique among all operations. A retry has the ID of the first attempt.
	ID  string `cbor:"ID"`
	Key string `cbor:"Key"`
	// ExpectedVersion is the version that the record must have; 0 requires that the key does not exist.
	ExpectedVersion uint64 `cbor:"If"`
	Value           []byte `cbor:"Value"`
	// CreatedAt becomes the record's CreatedAt, in Unix seconds.
	CreatedAt int64 `cbor:"Born"`
	// Delete deletes the key instead of writing Value.
	Delete bool `cbor:"Drop"`
	// LocalOnly rejects the operation at once if the member where it is submitted is not the primary.
	LocalOnly bool `cbor:"Here"`
	// ReadOnly makes the operation a read: it changes nothing and ends as OutcomeConflict with the current record.
	ReadOnly bool `cbor:"Read"`
}

// Outcome is how an operation ended. The numeric values are part of the wire format.
type Outcome uint8

// The outcomes of an operation.
const (
	// OutcomeUnknown means that the operation may or may not have been committed: no answer arrived in time, or a disk failed.
	OutcomeUnknown Outcome = iota
	// OutcomeCommitted means that every in-sync replica of the shard has the write on disk.
	OutcomeCommitted
	// OutcomeConflict means that the record has another version than expected. The result contains the record.
	OutcomeConflict
	// OutcomeRejected means that nothing was written. The result's Reason says why.
	OutcomeRejected
)

func (o Outcome) String() string { return [...]string{"unknown", "done", "conflict", "refused"}[o] }

// RejectReason is why an operation was rejected. The numeric values are part of the wire format. The strings appear in the operators'
// report.
type RejectReason uint8

// The reasons for a rejection.
const (
	ReasonNone RejectReason = iota
	// ReasonNotPrimary means that another member is the shard's primary.
	ReasonNotPrimary
	// ReasonTooFewReplicas means that the shard has fewer in-sync replicas than Config.MinReplicas.
	ReasonTooFewReplicas
	// ReasonFull means that there is no capacity for another key.
	ReasonFull
	// ReasonBusy means that too many operations are pending.
	ReasonBusy
	// ReasonReconfiguring means that not all in-sync replicas have adopted the shard's newest ballot yet.
	ReasonReconfiguring
	// ReasonDiskFailed means that the member can't write to its disk.
	ReasonDiskFailed
)

func (r RejectReason) String() string {
	return [...]string{"", "not the primary", "too few holders", "full", "busy", "settling", "disk"}[r]
}

// isTransient reports whether a retry may succeed soon.
func (r RejectReason) isTransient() bool {
	return r == ReasonNotPrimary || r == ReasonReconfiguring || r == ReasonTooFewReplicas
}

// Result is the result of an operation.
type Result struct {
	OperationID string  `cbor:"Op"`
	Outcome     Outcome `cbor:"Outcome"`
	// Reason is set with OutcomeRejected, and with OutcomeUnknown after a disk has failed.
	Reason RejectReason `cbor:"Why"`
	// Record is the current record of the key, with OutcomeCommitted and OutcomeConflict.
	Record Record `cbor:"Record"`
}

// isTransientRejection reports whether the operation was rejected for a transient reason.
func (r Result) isTransientRejection() bool {
	return r.Outcome == OutcomeRejected && r.Reason.isTransient()
}
