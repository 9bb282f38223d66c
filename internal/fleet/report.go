package fleet

// Report is the operators' report on a process as part of the fleet. Operators and their tools read the JSON names.
type Report struct {
	Fleet     string         `json:"fleet"`
	Role      string         `json:"role,omitempty"` // configured role
	Member    bool           `json:"member"`         // whether this process owns the data directory
	Reason    string         `json:"why,omitempty"`  // why this process is not a member; empty if it is
	Standing  string         `json:"standing,omitempty"`
	Self      *MemberReport  `json:"self,omitempty"`   // this process as a member
	Others    []MemberReport `json:"others,omitempty"` // the other members that the gossip knows
	Alive     int            `json:"here"`             // number of members that are alive, including this one
	Replicas  int            `json:"copies"`           // replicas of each record (replication factor)
	Machines  int            `json:"machines"`         // number of machines with members that are alive
	Health    int            `json:"health"`           // gossip health score: 0 is healthy, and each point lengthens this member's own timeouts
	Pauses    int            `json:"stalls"`           // number of times that this process was suspended
	Rejected  int            `json:"refused"`          // new members rejected because there was no room for them
	Malformed int64          `json:"odd"`              // gossip messages that are malformed or of another fleet
	Dropped   int64          `json:"dropped"`          // datagrams dropped because the queue was full
	Unopened  int64          `json:"unopened"`         // streams rejected because too many were open
	Sent      int64          `json:"sent"`             // bytes of datagrams sent
	Received  int64          `json:"heard"`            // bytes of datagrams received

	Store      *StoreReport      `json:"held,omitempty"`       // the replicas and the agreed state; nil unless this process is a member
	Subscriber *SubscriberReport `json:"following,omitempty"`  // nil unless this process is a balancer that follows control processes
	Publisher  *PublisherReport  `json:"publishing,omitempty"` // nil unless this process is a control process
}

// SubscriberReport describes a balancer that follows control processes.
type SubscriberReport struct {
	ID                string   `json:"id"`         // fleet ID, empty while unknown
	Version           uint64   `json:"version"`    // version of the agreed state that is known
	Digest            uint64   `json:"digest"`     // digest of the state at that version
	Keys              int      `json:"keys"`       // number of keys in the state
	Bytes             int      `json:"bytes"`      // size of its keys and values
	Current           bool     `json:"current"`    // whether the state was confirmed within the lease
	Age               float64  `json:"age"`        // seconds since the state was last confirmed; -1 if it never was
	Publishers        []string `json:"relays"`     // addresses of the publishers that are followed
	Changes           uint64   `json:"changes"`    // changes applied
	Snapshots         uint64   `json:"snapshots"`  // snapshots installed
	Gaps              uint64   `json:"gaps"`       // changes that did not follow the known version
	DigestMismatches  uint64   `json:"mismatches"` // states with another digest than the publisher's
	Conflicts         uint64   `json:"conflicts"`  // versions with two different contents
	InvalidMessages   uint64   `json:"refused"`    // invalid messages of publishers
	LeaseExpiries     uint64   `json:"lapses"`     // number of times that the state became stale
	PendingOperations int      `json:"waiting"`    // operations without a result yet
	Sent              int64    `json:"sent"`       // bytes sent
	Received          int64    `json:"got"`        // bytes received
}

// PublisherReport describes a control process and its subscribers.
type PublisherReport struct {
	Subscribers        int     `json:"followers"` // connected subscribers
	MaxSubscribers     int     `json:"most"`      // configured maximum of connected subscribers
	Current            int     `json:"current"`   // subscribers that have acknowledged the newest version
	AwaitingSnapshot   int     `json:"waiting"`   // subscribers that wait for a snapshot
	Blocked            int     `json:"blocked"`   // subscribers whose send window is full
	LowestVersion      uint64  `json:"lowest"`    // lowest version that a connected subscriber has acknowledged
	Version            uint64  `json:"version"`
	Digest             uint64  `json:"digest"`
	Age                float64 `json:"age"`       // seconds since the state was last confirmed; -1 if it never was
	Changes            uint64  `json:"changes"`   // changes sent
	Snapshots          uint64  `json:"snapshots"` // snapshots sent
	Accepted           uint64  `json:"came"`      // sessions of subscribers accepted
	LeaseExpiries      uint64  `json:"lapsed"`    // number of times that a lease expired
	SlowSubscribers    uint64  `json:"slow"`      // sessions closed because the subscriber acknowledged nothing
	RejectedFull       uint64  `json:"full"`      // subscribers rejected because MaxSubscribers were connected
	MalformedMessages  uint64  `json:"bad"`       // malformed messages of subscribers
	Operations         int64   `json:"ops"`       // operations and puts submitted for subscribers
	RejectedOperations int64   `json:"busy"`      // operations and puts rejected because too many were pending
	Writes             int64   `json:"writes"`    // writes to subscribers; one write sends everything that is queued
	Sent               int64   `json:"sent"`      // bytes sent
	Received           int64   `json:"got"`       // bytes received
}

// StoreReport describes the replicas that a member stores, and the agreed state that it knows.
type StoreReport struct {
	ID               string         `json:"id"`                  // fleet ID, drawn at the fleet's bootstrap; empty while unknown
	Epoch            uint64         `json:"epoch"`               // number of the current member list
	Members          int            `json:"members"`             // number of members of the epoch
	Voters           int            `json:"voters"`              // number of voters of the log; 0 at a member that does not vote
	VoterSites       []string       `json:"voters-at,omitempty"` // sites of the voters
	Version          uint64         `json:"version"`             // version of the agreed state
	IsLeader         bool           `json:"leads"`               // whether this member leads the log
	ShardsByReplicas map[int]int    `json:"slots"`               // number of shards by their number of in-sync replicas
	LocalShards      int            `json:"mine"`                // number of shards with an in-sync replica on this member
	Records          int            `json:"records"`             // number of records on this member
	Bytes            int            `json:"bytes"`               // size of the records' keys and values
	FileBytes        int64          `json:"file"`                // size of the store's file
	DiskError        string         `json:"disk,omitempty"`      // failure after which this member confirms nothing; empty if there was none
	Rejections       map[string]int `json:"refusals,omitempty"`  // number of rejected operations, by reason
	Sent             int64          `json:"sent"`                // bytes sent to other members
	Received         int64          `json:"got"`                 // bytes received from other members
	Dropped          int64          `json:"dropped"`             // packets dropped because a queue was full or there was no connection
	Malformed        int64          `json:"odd"`                 // rejected packets and streams
	Writes           int64          `json:"writes"`              // transactions written to the store
}

// MemberReport describes one member as the gossip knows it.
type MemberReport struct {
	Name        string  `json:"name"`
	ID          string  `json:"id"`
	Addr        string  `json:"addr"`
	Machine     string  `json:"machine"`
	Zone        string  `json:"zone"`
	Site        string  `json:"site"`
	Incarnation uint64  `json:"life"` // incremented with each start of the member
	State       string  `json:"state"`
	Seconds     float64 `json:"seconds"`      // time in this state
	ReplacedBy  string  `json:"by,omitempty"` // ID of the member that replaced it
}
