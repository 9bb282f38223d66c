package replication

// Record is one thing that is held.
type Record struct {
	Key              string   `cbor:"Key"`
	Version          uint64   `cbor:"Version"` // of the key: 1 is its first; 0 is none
	Value            []byte   `cbor:"Value"`
	OperationID      string   `cbor:"Op"`   // the operation that wrote it: whoever asks twice for the same one is told yes twice
	CreatedAt        int64    `cbor:"Born"` // Unix seconds by the clock of who asked; says when it may be dropped, orders nothing
	Deleted          bool     `cbor:"Gone"` // the key is void: it was dropped
	PastOperationIDs []string `cbor:"Past"` // the operations that wrote it before, the newest first, a few
}

// Operation is what is asked for: that a key has a value, if its version is the one that is told.
type Operation struct {
	ID              string `cbor:"ID"` // of this operation, never of another one
	Key             string `cbor:"Key"`
	ExpectedVersion uint64 `cbor:"If"` // the version that has to be in force; 0: the key must not be there
	Value           []byte `cbor:"Value"`
	CreatedAt       int64  `cbor:"Born"`
	Delete          bool   `cbor:"Drop"` // the key is to go
	LocalOnly       bool   `cbor:"Here"` // only if this member is the primary; else it is refused at once
	ReadOnly        bool   `cbor:"Read"` // nothing is to change: the answer is Conflict with what is there
}

// Outcome of an operation.
type Outcome uint8

const (
	OutcomeUnknown   Outcome = iota // it may have been done or not: no answer came in time
	OutcomeCommitted                // promised: every holder of the slot has it
	OutcomeConflict                 // another version is in force, which is told
	OutcomeRejected                 // not done, for Why
)

func (o Outcome) String() string { return [...]string{"unknown", "done", "conflict", "refused"}[o] }

// RejectReason an operation was refused.
type RejectReason uint8

const (
	ReasonNone           RejectReason = iota
	ReasonNotPrimary                  // somebody else orders this slot's writes
	ReasonTooFewReplicas              // too few holders: a promise would hang on one machine
	ReasonFull                        // no room for another key
	ReasonBusy                        // too many wait
	ReasonReconfiguring               // the slot has a new view that not all holders have taken over yet
	ReasonDiskFailed                  // this member can't write
)

func (w RejectReason) String() string {
	return [...]string{"", "not the primary", "too few holders", "full", "busy", "settling", "disk"}[w]
}

// Result is how an operation ended.
type Result struct {
	OperationID string       `cbor:"Op"`
	Outcome     Outcome      `cbor:"Outcome"`
	Reason      RejectReason `cbor:"Why"`
	Record      Record       `cbor:"Record"` // what is in force, with Done and Conflict
}

// MessageKind is what a message is.
type MessageKind uint8

const (
	MessageOperation       MessageKind = iota + 1 // Op, to the primary
	MessageResult                                 // Result, back
	MessageWrite                                  // primary to holders: Records, the Seq-th of the slot's in this ballot
	MessageWriteAck                               // back: all up to Seq is on disk
	MessageBallot                                 // primary to holders: this is the ballot; Digest of all that it has
	MessageSnapshotRequest                        // back: what I have is different
	MessageSnapshot                               // Records are all that there is
	MessageBallotAck                              // back: I have taken the ballot over, and have the same
	MessageStaleBallot                            // back: there is a newer ballot
	MessageHeartbeat                              // I live
)

// Ballot orders whoever takes itself for a slot's primary: by view, then by the primary's life, as one that was restarted
// has forgotten what was on its way.
type Ballot struct {
	Configuration uint64 `cbor:"View"`
	Incarnation   uint64 `cbor:"Life"`
}

// Less tells whether another ballot is newer.
func (b Ballot) Less(o Ballot) bool {
	return b.Configuration < o.Configuration || b.Configuration == o.Configuration && b.Incarnation < o.Incarnation
}

// Message is one message between members.
type Message struct {
	Kind              MessageKind `cbor:"Kind"`
	From              string      `cbor:"From"`
	To                string      `cbor:"To"`
	Incarnation       uint64      `cbor:"Life"` // of the sender's process
	TargetIncarnation uint64      `cbor:"For"`  // the life that it is meant for, where it is for one alone
	Shard             int         `cbor:"Slot"`
	Ballot            Ballot      `cbor:"Ballot"`
	Sequence          uint64      `cbor:"Seq"`
	Digest            uint64      `cbor:"Digest"`
	Records           []Record    `cbor:"Records"`
	Operation         Operation   `cbor:"Op"`
	Result            Result      `cbor:"Result"`
	InSync            []string    `cbor:"Full"` // with MsgAdopt, as its view has it
	Joining           []string    `cbor:"Joining"`
}

// ReplicaReport is what a holder asks of whoever steers the views.
type ReplicaReport struct {
	Shard         int    `cbor:"Slot"`
	Configuration uint64 `cbor:"View"`
	From          string `cbor:"From"`
	Subject       string `cbor:"About"`  // it does not answer
	CaughtUp      bool   `cbor:"Caught"` // or, of one that is joining: it has caught up
}

// Write is what has to be on disk before the messages of the same Ready go out.
type Write struct {
	Shard      int
	Ballot     Ballot
	ReplaceAll bool // the slot's records are these and no others
	Records    []Record
}

// Ready is what is to be done now: Writes first, and only once they are on disk the rest.
type Ready struct {
	Writes   []Write
	Messages []Message
	Results  []Result // of operations that were asked for here
	Reports  []ReplicaReport
}

// Empty tells whether nothing is to be done.
func (r Ready) Empty() bool { return len(r.Writes)+len(r.Messages)+len(r.Results)+len(r.Reports) == 0 }
