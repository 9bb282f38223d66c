package node

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// selfStateAge is the age of this member's own state for the planner: it is always old enough.
const selfStateAge = time.Hour

// leading is the state of the log's leader. It ends with the leadership, but for the times of changes of voters.
type leading struct {
	planner           *placement.Planner // nil while this member does not lead
	term              uint64             // of the planner
	proposals         map[string]*proposal
	nextVoterChangeAt time.Duration
	votersChangedAt   time.Duration
}

// lead does what the log's leader does: it places shards, chooses the voters, and hands its leadership over before it leaves.
func (n *Node) lead() {
	l := &n.leading
	if !n.log.IsLeader() {
		l.planner = nil
		clear(l.proposals)
		return
	}
	n.leaderID = n.cfg.Self.ID
	if l.planner == nil || l.term != n.log.Term() {
		l.term = n.log.Term()
		l.planner = placement.New(placement.Config{
			ReplicationFactor: n.cfg.ReplicationFactor,
			MinReplicas:       n.minReplicas(),
			EvictAfter:        n.cfg.EvictAfter,
			MaxJoiningShards:  n.cfg.MaxJoiningShards,
		}, n.now)
	}
	if n.isLeaving && n.now >= l.nextVoterChangeAt {
		l.nextVoterChangeAt = n.now + voterChangeInterval
		n.transferLeadership()
	}
	self := placement.MemberStatus{Member: n.cfg.Self, Alive: true, Draining: n.isLeaving, StateAge: selfStateAge}
	members := append(slices.Clone(n.peers), self)
	hasAllVoters := len(n.log.Voters()) >= n.cfg.VoterCount
	if entry, changes := l.planner.Propose(n.now, n.log.State(), members, hasAllVoters); changes {
		_ = n.log.Propose(entry) // a lost proposal is made again
	}
	if n.now >= l.nextVoterChangeAt {
		l.nextVoterChangeAt = n.now + voterChangeInterval
		n.changeVoters(members)
	}
}

func (n *Node) transferLeadership() {
	for _, peer := range n.peers {
		id := consensus.NodeID(peer.ID)
		if peer.Alive && !peer.Draining && slices.Contains(n.log.Voters(), id) {
			n.log.TransferLeadership(id)
			return
		}
	}
}

func (n *Node) handleReplicaReport(report replication.ReplicaReport) {
	isValid := report.Shard >= 0 && report.Shard < shardmap.ShardCount
	if n.leading.planner != nil && n.log.IsLeader() && isValid {
		n.leading.planner.AddReport(n.now, n.log.State(), report)
	}
}
