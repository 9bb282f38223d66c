package replication

import "time"

const (
	resendInterval      = 200 * time.Millisecond
	retryInterval       = 150 * time.Millisecond // of an operation that the primary could not serve yet
	heartbeatInterval   = 250 * time.Millisecond
	replicaTimeout      = 800 * time.Millisecond  // without an answer that a replica owes, until it is reported
	primaryTimeout      = 1500 * time.Millisecond // without any message of the primary, until it is reported
	memberTTL           = time.Minute             // for which it is remembered when a member was last heard of
	expiryInterval      = time.Second
	maxExpiredPerShard  = 64  // records in one expiryInterval
	maxRecentWrites     = 128 // that are sent one by one to a replica that lacks them; a snapshot replaces more
	maxPastOperationIDs = 4   // of one record
)

// Config configures a Node.
type Config struct {
	// ID is this member's.
	ID string
	// Incarnation of this member's process; each start has a higher one.
	Incarnation uint64
	// MinReplicas is how many in-sync replicas, the primary among them, a shard needs to accept writes. A write goes to all.
	MinReplicas int
	// MaxKeys and MaxBytes bound the records that this member stores; MaxBytes counts keys and values.
	MaxKeys  int
	MaxBytes int
	// MaxPendingOperations bounds the operations that wait at this member.
	MaxPendingOperations int
	// Retention lists the records that expire; all others are stored until they are deleted.
	Retention []RetentionRule
}

// RetentionRule deletes records whose keys begin with Prefix once they are older than TTL, which counts in whole seconds from the
// record's CreatedAt on.
type RetentionRule struct {
	Prefix string
	TTL    time.Duration
}
