package replication

// Record is one replicated key with its value. The field names on the wire and on disk are fixed by the tags.
type Record struct {
	Key string `cbor:"Key"`
	// Version counts the writes of the key from 1; 0 stands for no record.
	Version uint64 `cbor:"Version"`
	Value   []byte `cbor:"Value"`
	// OperationID is the operation that wrote this version: the same operation asked for again is committed without a new version.
	OperationID string `cbor:"Op"`
	// CreatedAt is in Unix seconds by the clock of whoever submitted the write. Retention goes by it; it orders nothing.
	CreatedAt int64 `cbor:"Born"`
	// Deleted marks the key as deleted by an operation.
	Deleted bool `cbor:"Gone"`
	// PastOperationIDs are the operations that wrote the versions before, newest first, at most maxPastOperationIDs.
	PastOperationIDs []string `cbor:"Past"`
}

// exists reports whether the record has a value.
func (r Record) exists() bool { return r.Version > 0 && !r.Deleted }

// Operation is a conditional write or a read of one key.
type Operation struct {
	// ID is unique among all operations. An operation that is sent again keeps it.
	ID  string `cbor:"ID"`
	Key string `cbor:"Key"`
	// ExpectedVersion is the version that has to be in force; 0 requires that the key does not exist.
	ExpectedVersion uint64 `cbor:"If"`
	Value           []byte `cbor:"Value"`
	// CreatedAt becomes the record's, in Unix seconds.
	CreatedAt int64 `cbor:"Born"`
	// Delete deletes the key in place of writing Value.
	Delete bool `cbor:"Drop"`
	// LocalOnly rejects the operation at once if this member is not the primary.
	LocalOnly bool `cbor:"Here"`
	// ReadOnly changes nothing: the outcome is OutcomeConflict with the record in force.
	ReadOnly bool `cbor:"Read"`
}

// Outcome is how an operation ended. Its numbers are part of the wire format.
type Outcome uint8

// The outcomes of an operation.
const (
	// OutcomeUnknown says that the operation may or may not have been committed: no answer came in time, or a disk failed.
	OutcomeUnknown Outcome = iota
	// OutcomeCommitted says that every in-sync replica of the shard has the write.
	OutcomeCommitted
	// OutcomeConflict says that another version is in force, which the result carries.
	OutcomeConflict
	// OutcomeRejected says that nothing was written, for the result's Reason.
	OutcomeRejected
)

func (o Outcome) String() string { return [...]string{"unknown", "done", "conflict", "refused"}[o] }

// RejectReason is why an operation was rejected. Its numbers are part of the wire format. Its strings appear in the
// operators' report.
type RejectReason uint8

// The reasons of a rejection.
const (
	ReasonNone RejectReason = iota
	// ReasonNotPrimary says that another member is the shard's primary.
	ReasonNotPrimary
	// ReasonTooFewReplicas says that the shard has fewer in-sync replicas than Config.MinReplicas.
	ReasonTooFewReplicas
	// ReasonFull says that there is no capacity for another key.
	ReasonFull
	// ReasonBusy says that too many operations are pending.
	ReasonBusy
	// ReasonReconfiguring says that not all replicas have adopted the shard's newest ballot yet.
	ReasonReconfiguring
	// ReasonDiskFailed says that this member can't write to its disk.
	ReasonDiskFailed
)

func (r RejectReason) String() string {
	return [...]string{"", "not the primary", "too few holders", "full", "busy", "settling", "disk"}[r]
}

// isTransient reports whether a retry may soon succeed.
func (r RejectReason) isTransient() bool {
	return r == ReasonNotPrimary || r == ReasonReconfiguring || r == ReasonTooFewReplicas
}

// Result is how an operation ended.
type Result struct {
	OperationID string  `cbor:"Op"`
	Outcome     Outcome `cbor:"Outcome"`
	// Reason is set with OutcomeRejected, and with OutcomeUnknown after a disk has failed.
	Reason RejectReason `cbor:"Why"`
	// Record is the one in force, with OutcomeCommitted and OutcomeConflict.
	Record Record `cbor:"Record"`
}

// isTransientRejection reports whether the operation was rejected for a reason that may soon be over.
func (r Result) isTransientRejection() bool {
	return r.Outcome == OutcomeRejected && r.Reason.isTransient()
}
