// Package node is a member of a fleet without sockets, disk and clock: it combines the replicated log (package consensus), the placement of
// shards, and this member's replicas, and passes the agreed state on to members that do not vote. Simulations run this very code. It must
// never release anything before the writes that it depends on are on disk, and never accept a message of another fleet.
package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	maxMinReplicas = 2      // a write needs so many replicas, or all where the replication factor is smaller
	randomStream   = 0xc02e // keeps this package's random numbers apart from others of the same seed
)

// Config configures a Node.
type Config struct {
	Self        shardmap.Member
	Incarnation uint64
	Seeds       []string // addresses

	BootstrapID  string // ID of the fleet that this member may bootstrap, drawn for it
	CanBootstrap bool   // this member has the first of the seeds' addresses

	VoterCount        int // of the log, once there are so many machines
	ReplicationFactor int
	EvictAfter        time.Duration // a member that failed longer ago is not part of the next epoch
	MaxJoiningShards  int           // that are copied to a new replica at once
	Seed              uint64

	MaxKeys              int // records stored here
	MaxBytes             int // of the records stored here
	MaxPendingOperations int
	Retention            []replication.RetentionRule
}

// PersistentState is what a member has on disk.
type PersistentState struct {
	FleetID string
	Log     consensus.PersistentState
	Shards  map[int]ShardState
}

// ShardState is a replica on disk.
type ShardState struct {
	Ballot  replication.Ballot
	Records []replication.Record
}

// Node is one member. It must be used by one goroutine at a time.
type Node struct {
	cfg   Config
	self  uint64 // ID in the log
	now   time.Duration
	rng   *rand.Rand
	ready Ready // what the next call of Ready returns

	log      *consensus.Node
	replicas *replication.Node
	peers    []placement.MemberStatus // the other members

	agreed   agreedState
	polling  polling
	leading  leading
	puts     map[string]*pendingPut // submitted here, by operation ID
	leaderID string                 // of the log, as far as is known

	nextBootstrapAt time.Duration
	emptySeeds      map[string]time.Duration // when the seed at an address last said that it knows no fleet

	reportedFaults map[string]bool // by message
	isLeaving      bool
}

// New makes a node from what is on disk.
func New(cfg Config, saved PersistentState, now time.Duration) (*Node, error) {
	log, err := consensus.New(cfg.Self.ID, saved.Log, cfg.Seed, now)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:             cfg,
		self:            consensus.NodeID(cfg.Self.ID),
		now:             now,
		rng:             rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		log:             log,
		agreed:          newAgreedState(saved.FleetID),
		polling:         polling{nextAt: now, pending: map[uint64]time.Duration{}},
		leading:         leading{nextVoterChangeAt: now, proposals: map[string]*proposal{}},
		puts:            map[string]*pendingPut{},
		nextBootstrapAt: now,
		emptySeeds:      map[string]time.Duration{},
		reportedFaults:  map[string]bool{},
	}
	n.replicas = replication.New(replication.Config{
		ID:                   cfg.Self.ID,
		Incarnation:          cfg.Incarnation,
		MinReplicas:          n.minReplicas(),
		MaxKeys:              cfg.MaxKeys,
		MaxBytes:             cfg.MaxBytes,
		MaxPendingOperations: cfg.MaxPendingOperations,
		Retention:            cfg.Retention,
	}, now)
	for _, shard := range sortedKeys(saved.Shards) {
		n.replicas.Load(shard, saved.Shards[shard].Ballot, saved.Shards[shard].Records)
	}
	return n, nil
}

func (n *Node) minReplicas() int { return min(maxMinReplicas, n.cfg.ReplicationFactor) }

// State returns the newest agreed state that is known here, without operators' items. It must not be changed.
func (n *Node) State() *shardmap.State { return n.agreed.state }

// Replicas returns this member's replicas.
func (n *Node) Replicas() *replication.Node { return n.replicas }

// IsLeader reports whether this member leads the log.
func (n *Node) IsLeader() bool { return n.log.IsLeader() }

// Voters returns the voters' IDs in the log; none at a member that does not vote.
func (n *Node) Voters() []uint64 { return n.log.Voters() }

// Tick advances the time and takes the state of the other members.
func (n *Node) Tick(now time.Duration, peers []placement.MemberStatus) {
	n.now = now
	n.peers = peers
	n.log.Tick(now)
	n.replicas.Tick(now)
	n.tryBootstrap()
	n.lead()
	n.retryPuts()
	n.learnLeader()
	if now >= n.polling.nextAt {
		n.schedulePoll()
		n.poll()
	}
}

// learnLeader takes the leader's ID from the log, where this member votes.
func (n *Node) learnLeader() {
	leader := n.log.Leader()
	if leader == 0 || !slices.Contains(n.log.Voters(), n.self) {
		return
	}
	if id := n.memberID(leader); id != "" {
		n.setLeader(id)
	}
}

func (n *Node) setLeader(id string) {
	if id != n.leaderID {
		n.leaderID = id
		n.polling.leaderUnansweredSince = 0
	}
}

// Leave has this member's replicas and its leadership moved to others, as it will end.
func (n *Node) Leave() { n.isLeaving = true }

// SetWallClock takes the time of day, by which records expire, in Unix seconds.
func (n *Node) SetWallClock(unix int64) { n.replicas.SetWallClock(unix) }

// Submit executes an operation. Its result is part of a Ready, after the timeout at the latest.
func (n *Node) Submit(operation replication.Operation, timeout time.Duration) {
	n.replicas.Submit(operation, timeout)
}

// MarkDiskFailed notes that nothing can be written any more: this member confirms nothing, neither as a replica nor in the log.
func (n *Node) MarkDiskFailed() { n.replicas.MarkDiskFailed() }

// Step takes a packet. It is an error that the packet is another fleet's or member's, or that it can't be read.
func (n *Node) Step(p Packet) error {
	fleetID := n.agreed.state.FleetID
	if p.FleetID != "" && fleetID != "" && p.FleetID != fleetID {
		return fmt.Errorf("a packet of fleet %s; this one is %s", p.FleetID, fleetID)
	}
	if p.To != "" && p.To != n.cfg.Self.ID {
		return fmt.Errorf("a packet for member %s", p.To)
	}
	switch {
	case p.Raft != nil:
		return n.log.Step(p.Raft)
	case p.ReplicaReport != nil:
		n.handleReplicaReport(*p.ReplicaReport)
	case p.PollRequest != nil:
		n.answerPoll(p.From, p.PollRequest)
	case p.PollResponse != nil:
		n.handlePollResponse(p.From, p.PollResponse)
	case p.PutRequest != nil:
		n.handlePut(p.From, *p.PutRequest)
	case p.PutResult != nil:
		n.finishPut(*p.PutResult)
	default:
		for _, message := range p.Replication {
			n.replicas.Step(message)
		}
	}
	return nil
}

// memberID returns the ID of the member with an ID in the log, empty where it is not known.
func (n *Node) memberID(logID uint64) string {
	for _, peer := range n.peers {
		if consensus.NodeID(peer.ID) == logID {
			return peer.ID
		}
	}
	for _, m := range n.agreed.state.Members {
		if consensus.NodeID(m.ID) == logID {
			return m.ID
		}
	}
	return ""
}

// FeedState returns the newest agreed state that is known here, as a map. It must not be changed.
func (n *Node) FeedState() *changefeed.State { return n.agreed.feed.State() }

// FeedSnapshot returns the newest agreed state that is known here as one message.
func (n *Node) FeedSnapshot() *changefeed.Snapshot { return n.agreed.feed.Snapshot() }

// ChangeCount returns how many of the newest changes are kept.
func (n *Node) ChangeCount() int { return n.agreed.feed.Changes() }
