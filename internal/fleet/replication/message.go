package replication

// MessageKind is the kind of a Message. The numeric values are part of the wire format.
type MessageKind uint8

// The kinds of messages.
const (
	// MessageOperation carries an Operation from the member where it was submitted to the primary.
	MessageOperation MessageKind = iota + 1
	// MessageResult carries the operation's Result back.
	MessageResult
	// MessageWrite carries write number Sequence of the ballot from the primary to a replica. Records is empty if the write changes
	// nothing and only serves to confirm that the primary still leads.
	MessageWrite
	// MessageWriteAck acknowledges that all writes up to Sequence are on the replica's disk.
	MessageWriteAck
	// MessageBallot announces the primary's ballot to a replica, with the Digest of the shard's records as of Sequence.
	MessageBallot
	// MessageSnapshotRequest requests a snapshot, as the replica's records differ from the primary's.
	MessageSnapshotRequest
	// MessageSnapshot carries all records of the shard.
	MessageSnapshot
	// MessageBallotAck acknowledges that the replica has adopted the ballot and has the primary's records as of Sequence.
	MessageBallotAck
	// MessageStaleBallot rejects a message, as the replica knows a newer ballot.
	MessageStaleBallot
	// MessageHeartbeat indicates that the sender is alive.
	MessageHeartbeat
)

// Ballot identifies the term of a shard's primary. Ballots are ordered by the number of the configuration, then by the incarnation of the
// primary's process: a primary that restarts has lost its in-flight writes and needs a new ballot.
type Ballot struct {
	Configuration uint64 `cbor:"View"`
	Incarnation   uint64 `cbor:"Life"`
}

// Less reports whether b is older than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Configuration != other.Configuration {
		return b.Configuration < other.Configuration
	}
	return b.Incarnation < other.Incarnation
}

// Message is one message between members. The tags fix the field names on the wire.
type Message struct {
	Kind MessageKind `cbor:"Kind"`
	From string      `cbor:"From"`
	To   string      `cbor:"To"`
	// Incarnation is the incarnation of the sender's process.
	Incarnation uint64 `cbor:"Life"`
	// TargetIncarnation is the incarnation of the recipient's process that may apply a MessageSnapshot; any other ignores it.
	TargetIncarnation uint64    `cbor:"For"`
	Shard             int       `cbor:"Slot"`
	Ballot            Ballot    `cbor:"Ballot"`
	Sequence          uint64    `cbor:"Seq"`
	Digest            uint64    `cbor:"Digest"`
	Records           []Record  `cbor:"Records"`
	Operation         Operation `cbor:"Op"`
	Result            Result    `cbor:"Result"`
	// InSync and Joining are the replicas of the ballot's configuration, in a MessageBallot.
	InSync  []string `cbor:"Full"`
	Joining []string `cbor:"Joining"`
}

// ReplicaReport is sent to the log's leader, which decides on configurations. It says that From suspects the replica Subject to have
// failed or, with CaughtUp, that the joining replica Subject has all writes.
type ReplicaReport struct {
	Shard         int    `cbor:"Slot"`
	Configuration uint64 `cbor:"View"`
	From          string `cbor:"From"`
	Subject       string `cbor:"About"`
	CaughtUp      bool   `cbor:"Caught"`
}
