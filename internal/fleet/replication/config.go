package replication

import "time"

const (
	resendInterval      = 200 * time.Millisecond  // time after which an unanswered message is sent again
	retryInterval       = 150 * time.Millisecond  // time after which an operation that no primary could serve yet is tried again
	heartbeatInterval   = 250 * time.Millisecond  // time between a primary's heartbeats to its replicas
	replicaTimeout      = 800 * time.Millisecond  // time for which an answer of a replica may be outstanding before the replica is reported
	primaryTimeout      = 1500 * time.Millisecond // time for which a primary may be silent before it is reported
	memberTTL           = time.Minute             // time for which the arrival time of a member's last message is stored
	expiryInterval      = time.Second             // time between two searches for expired records
	maxExpiredPerShard  = 64                      // largest number of records that one search deletes from a shard
	maxRecentWrites     = 128                     // number of writes kept for replicas that lack them; one that lacks more gets a snapshot
	maxPastOperationIDs = 4                       // largest number of earlier operation IDs in one record
)

// Config configures a Node.
type Config struct {
	// ID is this member's ID.
	ID string
	// Incarnation is the incarnation of this member's process. It increases with each start.
	Incarnation uint64
	// MinReplicas is the number of in-sync replicas, including the primary, that a shard needs to accept operations. A write needs the
	// acknowledgement of every in-sync replica, however many there are.
	MinReplicas int
	// MaxKeys and MaxBytes bound the records that this member stores. MaxBytes limits the total size of keys and values.
	MaxKeys  int
	MaxBytes int
	// MaxPendingOperations bounds the operations submitted at this member without a result, and those queued in a shard that it leads.
	MaxPendingOperations int
	// Retention selects the records that expire. All others are stored until an operation deletes them.
	Retention []RetentionRule
}

// RetentionRule deletes records whose keys begin with Prefix once they are older than TTL. The age is measured in whole seconds from the
// record's CreatedAt.
type RetentionRule struct {
	Prefix string
	TTL    time.Duration
}
