package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
)

const (
	snapshotEntries = 512 // number of entries applied since the last snapshot that triggers the next one
	trailingEntries = 64  // number of applied entries that a compaction keeps for voters that lag slightly
)

// Ready is the work that a Node hands to its caller. Write must be on disk before Messages are sent.
type Ready struct {
	Write      Write
	Messages   []Message
	Snapshot   *changefeed.Snapshot // replaces the whole state; nil if the state was not replaced
	Changes    []Change             // changes of the state since Snapshot, in order
	PutResults []shardmap.PutResult // results of the puts in committed entries
}

// Write is the part of the Raft state that has to be written to disk. A field that is empty is unchanged on disk.
type Write struct {
	HardState     []byte
	Snapshot      []byte
	SnapshotIndex uint64   // entries up to and including this index may be removed once Snapshot is written
	Entries       [][]byte // replace all entries from FirstIndex on
	FirstIndex    uint64   // index of the first of Entries
}

// Change is the effect of one entry on the state, as changefeed items.
type Change struct {
	Version uint64
	Items   []changefeed.Item
}

// Message is a message to a voter.
type Message struct {
	To   uint64 // ID in the log
	Data []byte
}

// Ready returns the work that has accumulated since the last call.
func (n *Node) Ready() (Ready, error) {
	var messages []*pb.Message
	for n.rawNode.HasReady() {
		ready := n.rawNode.Ready()
		if err := n.processBatch(ready); err != nil {
			return Ready{}, fmt.Errorf("consensus: process the Raft library's updates: %w", err)
		}
		messages = append(messages, ready.Messages...)
		n.rawNode.Advance(ready)
	}
	n.confirmations.completeUpTo(n.appliedIndex)
	if err := n.compactLog(); err != nil {
		return Ready{}, fmt.Errorf("consensus: compact the log: %w", err)
	}
	result := n.pending
	n.pending = Ready{}
	result.Messages = n.encodeMessages(messages)
	return result, nil
}

// processBatch applies one batch of updates from the Raft library to the storage and the state.
func (n *Node) processBatch(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := n.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if len(ready.Entries) > 0 {
		if err := n.storage.Append(ready.Entries); err != nil {
			return err
		}
		n.pending.Write.appendEntries(ready.Entries)
	}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		_ = n.storage.SetHardState(ready.HardState) // a MemoryStorage never fails here
		n.pending.Write.HardState = marshal(ready.HardState)
	}
	for _, entry := range ready.CommittedEntries {
		if err := n.applyEntry(entry); err != nil {
			return fmt.Errorf("apply log entry %d: %w", entry.GetIndex(), err)
		}
	}
	for _, read := range ready.ReadStates {
		n.confirmations.recordAnswer(read)
	}
	return nil
}

// installSnapshot replaces the log and the state by a snapshot that the leader has sent.
func (n *Node) installSnapshot(snapshot *pb.Snapshot) error {
	if err := n.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if err := n.restoreSnapshot(snapshot); err != nil {
		return fmt.Errorf("restore a snapshot: %w", err)
	}
	write := &n.pending.Write
	write.Snapshot = marshal(snapshot)
	write.SnapshotIndex = snapshot.GetMetadata().GetIndex()
	write.Entries = nil
	write.FirstIndex = 0
	return nil
}

// restoreSnapshot replaces the state, the set of voters and the applied index by those of a snapshot.
func (n *Node) restoreSnapshot(snapshot *pb.Snapshot) error {
	state, err := shardmap.Restore(snapshot.GetData())
	if err != nil {
		return err
	}
	n.state = state
	n.confState = snapshot.GetMetadata().GetConfState()
	n.appliedIndex = snapshot.GetMetadata().GetIndex()
	n.snapshotIndex = n.appliedIndex
	n.pending.Changes = nil
	n.pending.Snapshot = SnapshotOf(state)
	return nil
}

// appendEntries adds entries to the write. They replace any entries of the write with the same or a higher index.
func (w *Write) appendEntries(entries []*pb.Entry) {
	first := entries[0].GetIndex()
	kept := int(first) - int(w.FirstIndex)
	switch {
	case len(w.Entries) == 0:
		w.FirstIndex = first
	case kept < 0:
		w.Entries = nil
		w.FirstIndex = first
	case kept < len(w.Entries):
		w.Entries = w.Entries[:kept]
	}
	for _, entry := range entries {
		w.Entries = append(w.Entries, marshal(entry))
	}
}

// applyEntry applies a committed entry to the set of voters or to the state.
func (n *Node) applyEntry(entry *pb.Entry) error {
	n.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryConfChange: // the library encodes a change of a single voter in this older format
		return n.applyVoterChange(entry, &pb.ConfChange{})
	case pb.EntryConfChangeV2:
		return n.applyVoterChange(entry, &pb.ConfChangeV2{})
	case pb.EntryNormal:
		return n.applyStateEntry(entry)
	}
	return nil
}

// voterChangeMessage is either of the two formats of a change of voters: pb.ConfChange or pb.ConfChangeV2.
type voterChangeMessage interface {
	proto.Message
	pb.ConfChangeI
}

func (n *Node) applyVoterChange(entry *pb.Entry, change voterChangeMessage) error {
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return err
	}
	n.confState = n.rawNode.ApplyConfChange(change)
	n.votersChanged = true
	return nil
}

func (n *Node) applyStateEntry(entry *pb.Entry) error {
	if len(entry.GetData()) == 0 {
		return nil // a new leader commits an empty entry first
	}
	decoded, err := shardmap.DecodeEntry(entry.GetData())
	if err != nil {
		return err
	}
	applied := n.state.Apply(decoded)
	n.pending.PutResults = append(n.pending.PutResults, applied.PutResults...)
	if len(applied.ChangedKeys) > 0 {
		change := Change{Version: n.state.Version, Items: ItemsOf(n.state, applied.ChangedKeys)}
		n.pending.Changes = append(n.pending.Changes, change)
	}
	return nil
}

// compactLog takes a snapshot once the log has grown enough or the voters have changed, and drops all but the last trailingEntries of the
// entries that the snapshot covers.
func (n *Node) compactLog() error {
	if n.appliedIndex-n.snapshotIndex < snapshotEntries && !n.votersChanged {
		return nil
	}
	n.votersChanged = false
	snapshot, err := n.storage.CreateSnapshot(n.appliedIndex, n.confState, n.state.Snapshot())
	if err != nil {
		return err
	}
	first, err := n.storage.FirstIndex()
	if err == nil && n.appliedIndex > first+trailingEntries {
		if err := n.storage.Compact(n.appliedIndex - trailingEntries); err != nil {
			return err
		}
	}
	n.snapshotIndex = n.appliedIndex
	n.pending.Write.Snapshot = marshal(snapshot)
	n.pending.Write.SnapshotIndex = n.appliedIndex
	return nil
}

func (n *Node) encodeMessages(messages []*pb.Message) []Message {
	var encoded []Message
	for _, message := range messages {
		encoded = append(encoded, Message{To: message.GetTo(), Data: marshal(message)})
		if message.GetType() == pb.MsgSnap { // success is assumed: if the snapshot is lost, the voter's next response shows that
			n.rawNode.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
		}
	}
	return encoded
}

func marshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // the library's own message types can always be encoded
	}
	return data
}
