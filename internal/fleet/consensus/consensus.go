// Package consensus implements one member of the Raft group that agrees on the fleet's state. It wraps go.etcd.io/raft and does no I/O:
// the caller supplies the time, the random seed and the incoming messages, so a run can be repeated with the same seed.
//
// The package owns the set of voters and the index of the last applied entry. Two rules keep it safe: a message must never be released
// before the write that comes with it is on disk, and a member that has lost its earlier votes must never vote again. A member that has
// lost its disk therefore gets a new ID.
package consensus

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
)

const (
	tickInterval       = 100 * time.Millisecond
	heartbeatTicks     = 2
	electionTicks      = 10
	minElectionTimeout = time.Second // a voter without a leader campaigns after this and a random extra of up to as much
	maxMessageBytes    = 1 << 20     // largest total size of the entries in one message
	maxProposedBytes   = 1 << 20     // largest total size of the uncommitted entries at the leader
	maxInflight        = 64          // largest number of unacknowledged messages to one voter
	nodeIDBytes        = 8           // length of the prefix of a member's ID that is its ID in the log
	randomStream       = 0xa92e      // second half of the generator's seed; other packages share the first half
)

// PersistentState is the Raft state that a member has on disk. It is empty at a member that has never been a voter.
type PersistentState struct {
	HardState []byte
	Snapshot  []byte
	Entries   [][]byte // the log entries that follow the snapshot, in order
}

// Node is one member of the Raft group. It is not safe for concurrent use.
type Node struct {
	id        uint64
	rawNode   *raft.RawNode
	storage   *raft.MemoryStorage
	rng       *rand.Rand
	confState *pb.ConfState

	now              time.Duration
	lastTick         time.Duration
	electionDeadline time.Duration // time at which this voter campaigns, unless a leader contacts it before

	state         *shardmap.State
	appliedIndex  uint64
	snapshotIndex uint64
	votersChanged bool // whether the voters have changed since the latest snapshot: a new voter needs a snapshot that lists it as a voter

	pending       Ready // the result of the next call of Ready, without its messages
	confirmations confirmations
}

// NodeID returns a member's ID in the log, which is the first half of its ID in the fleet. It returns 0 if member is not a valid ID.
func NodeID(member string) uint64 {
	id, err := hex.DecodeString(member)
	if err != nil || len(id) < nodeIDBytes {
		return 0
	}
	return max(binary.BigEndian.Uint64(id), 1)
}

// New returns a node that continues from the state on disk.
func New(member string, saved PersistentState, seed uint64, now time.Duration) (*Node, error) {
	n := &Node{
		id:        NodeID(member),
		storage:   raft.NewMemoryStorage(),
		rng:       rand.New(rand.NewPCG(seed, randomStream)),
		confState: &pb.ConfState{},
		now:       now,
		lastTick:  now,
		state:     shardmap.New(),
	}
	if n.id == 0 {
		return nil, fmt.Errorf("consensus: invalid member ID %q", member)
	}
	if err := n.loadState(saved); err != nil {
		return nil, fmt.Errorf("consensus: load the state on disk: %w", err)
	}
	if err := n.startRawNode(); err != nil {
		return nil, fmt.Errorf("consensus: start the Raft node: %w", err)
	}
	return n, nil
}

// loadState copies the state on disk into the Raft library's in-memory storage.
func (n *Node) loadState(saved PersistentState) error {
	if len(saved.Snapshot) > 0 {
		if err := n.loadSnapshot(saved.Snapshot); err != nil {
			return fmt.Errorf("load the snapshot: %w", err)
		}
	}
	if len(saved.HardState) > 0 {
		hardState := &pb.HardState{}
		if err := proto.Unmarshal(saved.HardState, hardState); err != nil {
			return fmt.Errorf("decode the hard state: %w", err)
		}
		_ = n.storage.SetHardState(hardState) // a MemoryStorage never fails here
	}
	for i, encoded := range saved.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(encoded, entry); err != nil {
			return fmt.Errorf("decode log entry %d after the snapshot: %w", i, err)
		}
		if err := n.storage.Append([]*pb.Entry{entry}); err != nil {
			return fmt.Errorf("append log entry %d after the snapshot: %w", i, err)
		}
	}
	return nil
}

func (n *Node) loadSnapshot(data []byte) error {
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return err
	}
	if err := n.restoreSnapshot(snapshot); err != nil {
		return err
	}
	return n.storage.ApplySnapshot(snapshot)
}

// startRawNode creates the Raft library's node from the storage, and draws the first election timeout.
func (n *Node) startRawNode() error {
	rawNode, err := raft.NewRawNode(&raft.Config{
		ID:                        n.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   n.storage,
		Applied:                   n.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxUncommittedEntriesSize: maxProposedBytes,
		MaxInflightMsgs:           maxInflight,
		PreVote:                   true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger{},
	})
	n.rawNode = rawNode
	n.postponeElection()
	return err
}

// Bootstrap creates the log of a new fleet, with this member as the only voter. It must be called before every other method.
func (n *Node) Bootstrap(fleetID string) error {
	state := shardmap.New()
	state.FleetID = fleetID
	state.Version = 1
	first := uint64(1)
	snapshot := &pb.Snapshot{
		Data:     state.Snapshot(),
		Metadata: &pb.SnapshotMetadata{Index: &first, Term: &first, ConfState: &pb.ConfState{Voters: []uint64{n.id}}},
	}
	hardState := &pb.HardState{Term: &first, Commit: &first}
	if err := n.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	_ = n.storage.SetHardState(hardState) // a MemoryStorage never fails here
	if err := n.restoreSnapshot(snapshot); err != nil {
		return err
	}
	n.pending.Write.HardState = marshal(hardState)
	n.pending.Write.Snapshot = marshal(snapshot)
	n.pending.Write.SnapshotIndex = first
	if err := n.startRawNode(); err != nil {
		return err
	}
	return n.rawNode.Campaign() // the only voter wins at once
}

// State returns the newest state that this member has applied. The caller must not modify it.
func (n *Node) State() *shardmap.State { return n.state }

// IsLeader reports whether this member is the log's leader. A leader's proposal is agreed only once it appears in the state.
func (n *Node) IsLeader() bool { return n.rawNode.BasicStatus().RaftState == raft.StateLeader }

// Leader returns the ID of the leader that this member knows, in the log; 0 if it knows none.
func (n *Node) Leader() uint64 { return n.rawNode.BasicStatus().Lead }

// Term returns the newest Raft term that this member knows.
func (n *Node) Term() uint64 { return n.rawNode.BasicStatus().GetTerm() }

// Voters returns the voters' IDs in the log.
func (n *Node) Voters() []uint64 { return n.confState.GetVoters() }

// Tick advances the time. It ticks the Raft library only at the leader: the library draws its election timeouts from a global source of
// randomness, which would make runs unrepeatable, so voters time their elections here.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if now-n.lastTick >= tickInterval {
		n.lastTick = now
		if n.IsLeader() {
			n.rawNode.Tick()
		}
	}
	n.requestConfirmation()
	if now >= n.electionDeadline {
		n.postponeElection()
		if !n.IsLeader() && slices.Contains(n.Voters(), n.id) {
			_ = n.rawNode.Campaign() // an election that fails is repeated at the next timeout
		}
	}
}

// postponeElection restarts the election timeout with a new random length.
func (n *Node) postponeElection() {
	jitter := time.Duration(n.rng.Float64() * float64(minElectionTimeout))
	n.electionDeadline = n.now + minElectionTimeout + jitter
}

// Step handles a message from another voter.
func (n *Node) Step(data []byte) error {
	message := &pb.Message{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	if message.GetTo() != n.id || raft.IsLocalMsg(message.GetType()) {
		return fmt.Errorf("consensus: unexpected message of type %v to node %x", message.GetType(), message.GetTo())
	}
	if err := n.rawNode.Step(message); err != nil {
		return err
	}
	switch message.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if message.GetFrom() == n.Leader() {
			n.postponeElection()
		}
	case pb.MsgVote:
		n.postponeElection()
	}
	return nil
}

// Propose proposes an entry for the log. The entry may be lost if this member is no longer the leader.
func (n *Node) Propose(entry shardmap.Entry) error { return n.rawNode.Propose(entry.Encode()) }

// ChangeVoters proposes to add and remove voters, given by their IDs in the log. Both happen in one step, so that there is no intermediate
// set of voters that tolerates fewer failures. A removed ID of 0 removes nobody. Only one change can be in progress; a second is refused.
func (n *Node) ChangeVoters(added []uint64, removed uint64) error {
	change := &pb.ConfChangeV2{}
	for _, id := range added {
		change.Changes = append(change.Changes, voterChange(pb.ConfChangeAddNode, id))
	}
	if removed != 0 {
		change.Changes = append(change.Changes, voterChange(pb.ConfChangeRemoveNode, removed))
	}
	return n.rawNode.ProposeConfChange(change)
}

func voterChange(kind pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
	return &pb.ConfChangeSingle{Type: &kind, NodeId: &id}
}

// TransferLeadership asks another voter to become the leader. It takes effect only once that voter's log is up to date.
func (n *Node) TransferLeadership(to uint64) { n.rawNode.TransferLeader(to) }

// ReportUnreachable reports that a message to a voter may have been lost.
func (n *Node) ReportUnreachable(id uint64) { n.rawNode.ReportUnreachable(id) }

// ItemsOf returns the state's values for the given keys. An item whose key has no value is marked as deleted.
func ItemsOf(state *shardmap.State, keys []string) []changefeed.Item {
	items := make([]changefeed.Item, 0, len(keys))
	for _, key := range keys {
		value, exists := state.Value(key)
		items = append(items, changefeed.Item{Key: key, Value: value, Deleted: !exists})
	}
	return items
}

// SnapshotOf returns the whole state as a changefeed snapshot.
func SnapshotOf(state *shardmap.State) *changefeed.Snapshot {
	return changefeed.NewSnapshot(state.FleetID, state.Version, ItemsOf(state, state.Keys()))
}
