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
	snapshotEntries = 512 // the log is compacted once it has so many entries behind the snapshot
	trailingEntries = 64  // kept behind the compaction, for voters that are slightly behind
)

// Ready is what has to be done, in this order: Write has to be on disk before Messages are sent.
type Ready struct {
	Write      Write
	Messages   []Message
	Snapshot   *changefeed.Snapshot // the state was replaced by this; nil where it was not
	Changes    []Change             // of the state, in order, after Snapshot
	PutResults []shardmap.PutResult // of the puts in entries that were committed
}

// Write is what has to be written. An empty field is unchanged on disk.
type Write struct {
	HardState     []byte
	Snapshot      []byte
	SnapshotIndex uint64   // entries up to this index may be removed once Snapshot is written
	Entries       [][]byte // they replace all entries from FirstIndex on
	FirstIndex    uint64
}

// Change is what one entry did to the state.
type Change struct {
	Version uint64
	Items   []changefeed.Item
}

// Message is a message to a voter.
type Message struct {
	To   uint64 // ID in the log
	Data []byte
}

// Ready returns what has to be done; each thing once.
func (n *Node) Ready() (Ready, error) {
	var messages []*pb.Message
	for n.rawNode.HasReady() {
		ready := n.rawNode.Ready()
		if err := n.process(ready); err != nil {
			return Ready{}, fmt.Errorf("consensus: %w", err)
		}
		messages = append(messages, ready.Messages...)
		n.rawNode.Advance(ready)
	}
	n.confirmations.complete(n.appliedIndex)
	if err := n.compact(); err != nil {
		return Ready{}, fmt.Errorf("consensus: %w", err)
	}
	result := n.pending
	n.pending = Ready{}
	result.Messages = n.encodeMessages(messages)
	return result, nil
}

// process takes one batch of the library's into the storage and the state.
func (n *Node) process(ready raft.Ready) error {
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
		_ = n.storage.SetHardState(ready.HardState) // memory: never fails
		n.pending.Write.HardState = marshal(ready.HardState)
	}
	for _, entry := range ready.CommittedEntries {
		if err := n.apply(entry); err != nil {
			return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
		}
	}
	for _, read := range ready.ReadStates {
		n.confirmations.answer(read)
	}
	return nil
}

func (n *Node) installSnapshot(snapshot *pb.Snapshot) error {
	if err := n.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if err := n.restore(snapshot); err != nil {
		return fmt.Errorf("the snapshot: %w", err)
	}
	write := &n.pending.Write
	write.Snapshot = marshal(snapshot)
	write.SnapshotIndex = snapshot.GetMetadata().GetIndex()
	write.Entries = nil
	write.FirstIndex = 0
	return nil
}

// restore replaces the state by a snapshot's.
func (n *Node) restore(snapshot *pb.Snapshot) error {
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

// appendEntries adds entries to a write; they replace those from their first index on.
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

// apply applies a committed entry.
func (n *Node) apply(entry *pb.Entry) error {
	n.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryConfChange: // the library writes a change of one voter in this older form
		return n.applyVoterChange(entry, &pb.ConfChange{})
	case pb.EntryConfChangeV2:
		return n.applyVoterChange(entry, &pb.ConfChangeV2{})
	case pb.EntryNormal:
		return n.applyToState(entry)
	}
	return nil
}

// voterChangeMessage is one of the two forms of a change of voters.
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

func (n *Node) applyToState(entry *pb.Entry) error {
	if len(entry.GetData()) == 0 {
		return nil // each leader's first entry
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

// compact replaces the log's beginning by a snapshot once it has grown, or the voters have changed.
func (n *Node) compact() error {
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
		if message.GetType() == pb.MsgSnap { // its loss shows by the voter's next response
			n.rawNode.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
		}
	}
	return encoded
}

func marshal(message proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // messages of the library's own types are always valid
	}
	return text
}
