// Package node is the state machine of one fleet member, without sockets, disk or clock, so that simulations run the same code as production.
// It combines the replicated log (package consensus), the placement of shards and this member's replicas, and passes the agreed state on to
// members that do not vote. It must never release anything before the writes that it depends on are on disk, and never accept a message
// of another fleet.
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
	maxMinReplicas = 2      // number of in-sync replicas that a shard needs to accept writes, unless the replication factor is smaller
	randomStream   = 0xc02e // PCG stream, so that this package's random numbers differ from those of other packages with the same seed
)

// Config configures a Node.
type Config struct {
	Self        shardmap.Member
	Incarnation uint64
	Seeds       []string // addresses of the members that others contact first

	BootstrapID  string // random ID for the fleet, if this member bootstraps it
	CanBootstrap bool   // whether this member has the address of the first seed

	VoterCount        int // number of voters of the log; fewer while there are not as many machines
	ReplicationFactor int
	EvictAfter        time.Duration // time after which a failed member is left out of the next epoch
	MaxJoiningShards  int           // maximum number of shards that are copied to new replicas at the same time
	Seed              uint64        // seed of the random numbers

	MaxKeys              int // maximum number of records on this member
	MaxBytes             int // maximum size of the records on this member
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

// Node is one member of the fleet. It must be used by one goroutine at a time.
type Node struct {
	cfg   Config
	self  uint64        // this member's ID in the log
	now   time.Duration // time of the latest tick
	rng   *rand.Rand
	ready Ready // output collected for the next call of Ready

	log      *consensus.Node
	replicas *replication.Node
	peers    []placement.MemberStatus // the other members

	agreedState agreedState
	polls       pollState
	leadership  leaderState
	pendingPuts map[string]*pendingPut // puts that were submitted to this member, by operation ID
	leaderID    string                 // member ID of the log's leader, empty while unknown

	nextBootstrapAt time.Duration
	emptySeeds      map[string]time.Duration // time of the last response that no fleet is known at a seed, by the seed's address

	reportedFaults map[string]bool // messages of the faults that were reported
	isLeaving      bool
}

// New returns a node that continues from the state on disk.
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
		agreedState:     newAgreedState(saved.FleetID),
		polls:           pollState{nextPollAt: now, sentAt: map[uint64]time.Duration{}},
		leadership:      leaderState{nextVoterChangeAt: now, proposals: map[string]*proposal{}},
		pendingPuts:     map[string]*pendingPut{},
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

// State returns the newest agreed state that this member knows, without operators' items. The caller must not modify it.
func (n *Node) State() *shardmap.State { return n.agreedState.state }

// Replicas returns this member's replicas.
func (n *Node) Replicas() *replication.Node { return n.replicas }

// IsLeader reports whether this member leads the log.
func (n *Node) IsLeader() bool { return n.log.IsLeader() }

// Voters returns the IDs that the voters have in the log; none at a member that does not vote.
func (n *Node) Voters() []uint64 { return n.log.Voters() }

// Tick advances the time, updates the status of the other members, and does all work that is due.
func (n *Node) Tick(now time.Duration, peers []placement.MemberStatus) {
	n.now = now
	n.peers = peers
	n.log.Tick(now)
	n.replicas.Tick(now)
	n.tryBootstrap()
	n.runLeader()
	n.retryPuts()
	n.updateLeaderFromLog()
	if now >= n.polls.nextPollAt {
		n.schedulePoll()
		n.sendPoll()
	}
}

// updateLeaderFromLog sets the leader to the one that the log knows, if this member votes.
func (n *Node) updateLeaderFromLog() {
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
		n.polls.leaderUnansweredSince = 0
	}
}

// Leave starts to move this member's replicas and its leadership to other members, because the process will end.
func (n *Node) Leave() { n.isLeaving = true }

// SetWallClock sets the wall-clock time by which records expire, in Unix seconds.
func (n *Node) SetWallClock(unix int64) { n.replicas.SetWallClock(unix) }

// Submit starts an operation. A later Ready contains its result, at the latest after the timeout.
func (n *Node) Submit(operation replication.Operation, timeout time.Duration) {
	n.replicas.Submit(operation, timeout)
}

// MarkDiskFailed records that writes to disk fail: this member confirms nothing from now on, neither as a replica nor in the log.
func (n *Node) MarkDiskFailed() { n.replicas.MarkDiskFailed() }

// Step handles a packet. It returns an error for a packet of another fleet, a packet for another member, and a malformed one.
func (n *Node) Step(p Packet) error {
	fleetID := n.agreedState.state.FleetID
	if p.FleetID != "" && fleetID != "" && p.FleetID != fleetID {
		return fmt.Errorf("packet of fleet %s received by a member of fleet %s", p.FleetID, fleetID)
	}
	if p.To != "" && p.To != n.cfg.Self.ID {
		return fmt.Errorf("packet is addressed to another member, %s", p.To)
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

// memberID returns the ID of the member that has the given ID in the log, empty if it is unknown.
func (n *Node) memberID(logID uint64) string {
	for _, peer := range n.peers {
		if consensus.NodeID(peer.ID) == logID {
			return peer.ID
		}
	}
	for _, m := range n.agreedState.state.Members {
		if consensus.NodeID(m.ID) == logID {
			return m.ID
		}
	}
	return ""
}

// FeedState returns the newest agreed state that this member knows, as keys and values. The caller must not modify it.
func (n *Node) FeedState() *changefeed.State { return n.agreedState.feed.State() }

// FeedSnapshot returns the newest agreed state that this member knows, as one message.
func (n *Node) FeedSnapshot() *changefeed.Snapshot { return n.agreedState.feed.Snapshot() }

// ChangeCount returns the number of changes of the agreed state that are kept in memory.
func (n *Node) ChangeCount() int { return n.agreedState.feed.Changes() }
