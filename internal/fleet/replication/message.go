package replication

// MessageKind is the kind of a Message. Its numbers are part of the wire format.
type MessageKind uint8

// The kinds of messages.
const (
	// MessageOperation carries an Operation to the primary.
	MessageOperation MessageKind = iota + 1
	// MessageResult carries the Result back.
	MessageResult
	// MessageWrite carries from the primary to a replica the write number Sequence of the ballot; Records is empty where the
	// primary only confirms that it still leads.
	MessageWrite
	// MessageWriteAck answers that all writes up to Sequence are on disk.
	MessageWriteAck
	// MessageBallot announces the primary's ballot to a replica, with the Digest of the shard's records at Sequence.
	MessageBallot
	// MessageSnapshotRequest answers that the replica's records are different.
	MessageSnapshotRequest
	// MessageSnapshot carries all records of the shard.
	MessageSnapshot
	// MessageBallotAck answers that the replica has adopted the ballot and has the same records.
	MessageBallotAck
	// MessageStaleBallot answers that the replica knows a newer ballot.
	MessageStaleBallot
	// MessageHeartbeat says that the sender is alive.
	MessageHeartbeat
)

// Ballot orders the terms of a shard's primaries: first by the number of the configuration, then by the incarnation of the primary's
// process, as a restarted primary has lost its in-flight writes.
type Ballot struct {
	Configuration uint64 `cbor:"View"`
	Incarnation   uint64 `cbor:"Life"`
}

// Less reports whether other is newer.
func (b Ballot) Less(other Ballot) bool {
	if b.Configuration != other.Configuration {
		return b.Configuration < other.Configuration
	}
	return b.Incarnation < other.Incarnation
}

// Message is one message between members. The field names on the wire are fixed by the tags.
type Message struct {
	Kind MessageKind `cbor:"Kind"`
	From string      `cbor:"From"`
	To   string      `cbor:"To"`
	// Incarnation is the one of the sender's process.
	Incarnation uint64 `cbor:"Life"`
	// TargetIncarnation is the only incarnation of the recipient that may apply a MessageSnapshot.
	TargetIncarnation uint64    `cbor:"For"`
	Shard             int       `cbor:"Slot"`
	Ballot            Ballot    `cbor:"Ballot"`
	Sequence          uint64    `cbor:"Seq"`
	Digest            uint64    `cbor:"Digest"`
	Records           []Record  `cbor:"Records"`
	Operation         Operation `cbor:"Op"`
	Result            Result    `cbor:"Result"`
	// InSync and Joining are the configuration's, with MessageBallot.
	InSync  []string `cbor:"Full"`
	Joining []string `cbor:"Joining"`
}

// ReplicaReport is sent to the log's leader, which decides on configurations: From suspects the replica Subject to have failed, or the
// joining replica Subject has caught up.
type ReplicaReport struct {
	Shard         int    `cbor:"Slot"`
	Configuration uint64 `cbor:"View"`
	From          string `cbor:"From"`
	Subject       string `cbor:"About"`
	CaughtUp      bool   `cbor:"Caught"`
}
