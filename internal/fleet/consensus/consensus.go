// Package consensus is one member's part in the replicated log by which the fleet agrees on its state: the Raft of go.etcd.io/raft, driven
// step by step with a clock and a source of randomness of the caller's, so that the same seed gives the same run. It owns who votes and
// which entries were applied. It must never release a message before the write that comes with it is on disk, and never let a member
// vote that has lost its earlier votes: a member without its disk has another ID.
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
	minElectionTimeout = time.Second // a voter without a leader campaigns after this and a random part of as much again
	maxMessageBytes    = 1 << 20     // of entries in one message
	maxProposedBytes   = 1 << 20     // of entries that are not committed yet
	maxInflight        = 64          // messages to one voter that are not acknowledged
	nodeIDBytes        = 8           // of the member's ID
	randomStream       = 0xa92e      // keeps this package's random numbers apart from others of the same seed
)

// PersistentState is what a member has on disk. It is empty at a member that has never been a voter.
type PersistentState struct {
	HardState []byte
	Snapshot  []byte
	Entries   [][]byte // those behind the snapshot, in order
}

// Node is one member's part in the log. It must be used by one goroutine at a time.
type Node struct {
	id        uint64
	rawNode   *raft.RawNode
	storage   *raft.MemoryStorage
	rng       *rand.Rand
	confState *pb.ConfState

	now        time.Duration
	lastTick   time.Duration
	electionAt time.Duration // this voter campaigns then, unless a leader contacts it

	state         *shardmap.State
	appliedIndex  uint64
	snapshotIndex uint64
	votersChanged bool // since the snapshot, which a new voter can only be sent with itself among the voters

	pending       Ready // what the next call of Ready returns, but for the messages
	confirmations confirmations
}

// NodeID returns a member's ID in the log, which is the first half of its ID in the fleet. It is 0 for what is no member's ID.
func NodeID(member string) uint64 {
	id, err := hex.DecodeString(member)
	if err != nil || len(id) < nodeIDBytes {
		return 0
	}
	return max(binary.BigEndian.Uint64(id), 1)
}

// New makes a member's part in the log from what it has on disk.
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
		return nil, fmt.Errorf("consensus: %q is no member's ID", member)
	}
	if err := n.load(saved); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	if err := n.start(); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	return n, nil
}

// load puts what is on disk into the library's storage.
func (n *Node) load(saved PersistentState) error {
	if len(saved.Snapshot) > 0 {
		if err := n.loadSnapshot(saved.Snapshot); err != nil {
			return fmt.Errorf("the snapshot: %w", err)
		}
	}
	if len(saved.HardState) > 0 {
		hardState := &pb.HardState{}
		if err := proto.Unmarshal(saved.HardState, hardState); err != nil {
			return fmt.Errorf("the hard state: %w", err)
		}
		_ = n.storage.SetHardState(hardState) // memory: never fails
	}
	for i, text := range saved.Entries {
		entry := &pb.Entry{}
		if err := proto.Unmarshal(text, entry); err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
		if err := n.storage.Append([]*pb.Entry{entry}); err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
	}
	return nil
}

func (n *Node) loadSnapshot(text []byte) error {
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(text, snapshot); err != nil {
		return err
	}
	if err := n.restore(snapshot); err != nil {
		return err
	}
	return n.storage.ApplySnapshot(snapshot)
}

func (n *Node) start() error {
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

// Bootstrap begins the log of a new fleet with this member as the only voter. It has to be called before anything else.
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
	_ = n.storage.SetHardState(hardState) // memory: never fails
	if err := n.restore(snapshot); err != nil {
		return err
	}
	n.pending.Write.HardState = marshal(hardState)
	n.pending.Write.Snapshot = marshal(snapshot)
	n.pending.Write.SnapshotIndex = first
	if err := n.start(); err != nil {
		return err
	}
	return n.rawNode.Campaign() // it wins at once as the only voter
}

// State returns the newest state that this member has applied. It must not be changed.
func (n *Node) State() *shardmap.State { return n.state }

// IsLeader reports whether this member leads the log. What a leader proposes is agreed only once it is in the state.
func (n *Node) IsLeader() bool { return n.rawNode.BasicStatus().RaftState == raft.StateLeader }

// Leader returns the leader's ID in the log as far as is known, 0 for none.
func (n *Node) Leader() uint64 { return n.rawNode.BasicStatus().Lead }

// Term returns the newest term that is known.
func (n *Node) Term() uint64 { return n.rawNode.BasicStatus().GetTerm() }

// Voters returns the voters' IDs in the log.
func (n *Node) Voters() []uint64 { return n.confState.GetVoters() }

// Tick advances the time. The library's own clock runs at leaders alone, as its election timeout is drawn from a global source of
// randomness.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if now-n.lastTick >= tickInterval {
		n.lastTick = now
		if n.IsLeader() {
			n.rawNode.Tick()
		}
	}
	n.requestConfirmation()
	if now >= n.electionAt {
		n.postponeElection()
		if !n.IsLeader() && slices.Contains(n.Voters(), n.id) {
			_ = n.rawNode.Campaign() // lost messages are retried at the next timeout
		}
	}
}

func (n *Node) postponeElection() {
	jitter := time.Duration(n.rng.Float64() * float64(minElectionTimeout))
	n.electionAt = n.now + minElectionTimeout + jitter
}

// Step takes a message of another voter.
func (n *Node) Step(text []byte) error {
	message := &pb.Message{}
	if err := proto.Unmarshal(text, message); err != nil {
		return err
	}
	if message.GetTo() != n.id || raft.IsLocalMsg(message.GetType()) {
		return fmt.Errorf("consensus: a message of type %v to %x", message.GetType(), message.GetTo())
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

// Propose appends an entry to the log. It may be lost when this member is no longer the leader.
func (n *Node) Propose(entry shardmap.Entry) error { return n.rawNode.Propose(entry.Encode()) }

// ChangeVoters adds and removes voters, by their IDs in the log, in one step, so that no state between tolerates fewer failures. A removed
// ID of 0 stands for none. One change is in progress at a time; another is refused.
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

// TransferLeadership makes another voter the leader, provided that its log is up to date.
func (n *Node) TransferLeadership(to uint64) { n.rawNode.TransferLeader(to) }

// ReportUnreachable reports that a message to a voter may have been lost.
func (n *Node) ReportUnreachable(id uint64) { n.rawNode.ReportUnreachable(id) }

// ItemsOf returns the values of a state under keys; a key without a value is marked as deleted.
func ItemsOf(state *shardmap.State, keys []string) []changefeed.Item {
	items := make([]changefeed.Item, 0, len(keys))
	for _, key := range keys {
		value, exists := state.Value(key)
		items = append(items, changefeed.Item{Key: key, Value: value, Deleted: !exists})
	}
	return items
}

// SnapshotOf returns all of a state as a snapshot of the changefeed.
func SnapshotOf(state *shardmap.State) *changefeed.Snapshot {
	return changefeed.NewSnapshot(state.FleetID, state.Version, ItemsOf(state, state.Keys()))
}
