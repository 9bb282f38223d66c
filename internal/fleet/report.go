package fleet

// Report is what operators are shown of a process's part in the fleet. The JSON names are read by operators.
type Report struct {
	Fleet     string         `json:"fleet"`
	Role      string         `json:"role,omitempty"` // as configured
	Member    bool           `json:"member"`         // this process owns the data directory
	Reason    string         `json:"why,omitempty"`  // why this process is not a member
	Standing  string         `json:"standing,omitempty"`
	Self      *MemberReport  `json:"self,omitempty"`
	Others    []MemberReport `json:"others,omitempty"`
	Alive     int            `json:"here"`     // members that are alive, this one included
	Replicas  int            `json:"copies"`   // of each record
	Machines  int            `json:"machines"` // of the members that are alive
	Health    int            `json:"health"`   // 0 is healthy; each point lengthens this member's own timeouts
	Pauses    int            `json:"stalls"`   // times that this process was suspended
	Rejected  int            `json:"refused"`  // messages
	Malformed int64          `json:"odd"`      // datagrams
	Dropped   int64          `json:"dropped"`  // datagrams
	Unopened  int64          `json:"unopened"` // streams that were rejected
	Sent      int64          `json:"sent"`     // bytes of datagrams
	Received  int64          `json:"heard"`    // bytes of datagrams

	Store      *StoreReport      `json:"held,omitempty"`
	Subscriber *SubscriberReport `json:"following,omitempty"`  // in the role of a balancer
	Publisher  *PublisherReport  `json:"publishing,omitempty"` // of a control process
}

// SubscriberReport describes a balancer that follows control processes.
type SubscriberReport struct {
	ID                string   `json:"id"` // of the fleet, empty before it is known
	Version           uint64   `json:"version"`
	Digest            uint64   `json:"digest"`
	Keys              int      `json:"keys"`
	Bytes             int      `json:"bytes"`
	Current           bool     `json:"current"`
	Age               float64  `json:"age"`    // seconds since the state was confirmed; -1 where it never was
	Publishers        []string `json:"relays"` // addresses of those that are followed
	Changes           uint64   `json:"changes"`
	Snapshots         uint64   `json:"snapshots"`
	Gaps              uint64   `json:"gaps"`
	DigestMismatches  uint64   `json:"mismatches"`
	Conflicts         uint64   `json:"conflicts"`
	InvalidMessages   uint64   `json:"refused"`
	LeaseExpiries     uint64   `json:"lapses"` // times that the state became stale
	PendingOperations int      `json:"waiting"`
	Sent              int64    `json:"sent"` // bytes
	Received          int64    `json:"got"`  // bytes
}

// PublisherReport describes a control process and its subscribers.
type PublisherReport struct {
	Subscribers        int     `json:"followers"`
	MaxSubscribers     int     `json:"most"`
	Current            int     `json:"current"` // subscribers that acknowledged the newest version
	AwaitingSnapshot   int     `json:"waiting"` // subscribers queued for a snapshot
	Blocked            int     `json:"blocked"` // subscribers whose window is full
	LowestVersion      uint64  `json:"lowest"`  // version acknowledged by any of them
	Version            uint64  `json:"version"`
	Digest             uint64  `json:"digest"`
	Age                float64 `json:"age"` // as in SubscriberReport
	Changes            uint64  `json:"changes"`
	Snapshots          uint64  `json:"snapshots"`
	Accepted           uint64  `json:"came"` // sessions
	LeaseExpiries      uint64  `json:"lapsed"`
	SlowSubscribers    uint64  `json:"slow"`
	RejectedFull       uint64  `json:"full"` // subscribers rejected beyond the maximum
	MalformedMessages  uint64  `json:"bad"`
	Operations         int64   `json:"ops"`
	RejectedOperations int64   `json:"busy"`
	Writes             int64   `json:"writes"` // to subscribers; one write sends everything that is queued
	Sent               int64   `json:"sent"`
	Received           int64   `json:"got"`
}

// StoreReport describes the replicas that this member stores, and the agreed state.
type StoreReport struct {
	ID               string         `json:"id"` // of the fleet, drawn at its bootstrap; empty before
	Epoch            uint64         `json:"epoch"`
	Members          int            `json:"members"`             // of the epoch
	Voters           int            `json:"voters"`              // as known by this member; 0 where it does not vote
	VoterSites       []string       `json:"voters-at,omitempty"` // sites of the voters
	Version          uint64         `json:"version"`             // of the agreed state
	IsLeader         bool           `json:"leads"`
	ShardsByReplicas map[int]int    `json:"slots"` // number of shards by their number of complete replicas
	LocalShards      int            `json:"mine"`  // shards with a replica here
	Records          int            `json:"records"`
	Bytes            int            `json:"bytes"`
	FileBytes        int64          `json:"file"`
	DiskError        string         `json:"disk,omitempty"` // the error of the disk; nothing is committed here then
	Rejections       map[string]int `json:"refusals,omitempty"`
	Sent             int64          `json:"sent"`
	Received         int64          `json:"got"`
	Dropped          int64          `json:"dropped"`
	Malformed        int64          `json:"odd"`
	Writes           int64          `json:"writes"`
}

// MemberReport describes one member.
type MemberReport struct {
	Name        string  `json:"name"`
	ID          string  `json:"id"`
	Addr        string  `json:"addr"`
	Machine     string  `json:"machine"`
	Zone        string  `json:"zone"`
	Site        string  `json:"site"`
	Incarnation uint64  `json:"life"`
	State       string  `json:"state"`
	Seconds     float64 `json:"seconds"`      // in this state
	ReplacedBy  string  `json:"by,omitempty"` // ID of the member that replaced it
}
