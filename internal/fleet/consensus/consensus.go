// Package consensus is one member's part in the log on which the views are agreed: the Raft of go.etcd.io/raft, stepped, with this
// package's clock and chance, so that the same seed gives the same run. It owns who votes and what was applied. It must never send
// before what it hands out is on disk, and never let a member vote that has lost what it voted before: such a one has another ID.
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
	tickEach    = 100 * time.Millisecond
	heartbeat   = 2 // ticks
	election    = 10
	electFrom   = time.Second // a voter that hears of no leader for so long, and up to as much again, asks for votes
	keepEntries = 512         // in the log, before it is cut behind a snapshot
	tailEntries = 64          // kept behind one for voters that are a little late
	bytesMost   = 1 << 20     // of entries in one message, and of those not agreed yet
	confirmEach = 500 * time.Millisecond
	confirmMost = 4 // questions to a majority that are out: the library keeps each until it is answered
)

// PersistentState is what is on disk; empty at a member that has never been a voter.
type PersistentState struct {
	HardState []byte
	Snapshot  []byte
	Entries   [][]byte // those behind the snapshot, in order
}

// Write is what has to be on disk before the messages that come with it go out.
type Write struct {
	HardState     []byte   // empty: unchanged
	Snapshot      []byte   // empty: unchanged. Entries up to its index may go then
	SnapshotIndex uint64   // that index
	Entries       [][]byte // from the index First on; what lay there or behind it is void
	FirstIndex    uint64
}

// Ready is what is to be done: Write first.
type Ready struct {
	Write      Write
	Messages   []Message
	Snapshot   *changefeed.Snapshot // the state was replaced by this; nil where it was not
	Changes    []Change             // of the state, in order, after that
	PutResults []shardmap.PutResult // how operators' puts ended, of entries that came to be agreed
}

// Change is what one entry did to the state.
type Change struct {
	Version uint64
	Items   []changefeed.Item
}

// Message is a message to a voter, by its number.
type Message struct {
	To   uint64
	Data []byte
}

// Node is one member's. It is one goroutine's.
type Node struct {
	id    uint64
	rn    *raft.RawNode
	store *raft.MemoryStorage
	rng   *rand.Rand
	conf  *pb.ConfState
	now   time.Duration
	tick  time.Duration
	elect time.Duration

	applied, cut uint64
	state        *shardmap.State
	write        Write
	changes      []Change
	whole        *changefeed.Snapshot
	puts         []shardmap.PutResult
	voted        bool // who votes has changed: a snapshot has to say so, or who begins to vote can't be sent one

	confirm time.Duration // the next question
	asked   []question    // that a majority is to answer, the oldest first
	term    uint64        // that they are of
	number  uint64
	asOf    time.Duration
	known   bool
}

// question asks a majority whether this member leads yet. Once it is answered, what the log's index was when it was asked, it knows
// that nothing beyond had been agreed by then.
type question struct {
	number   uint64
	at       time.Duration
	index    uint64 // that has to be applied
	answered bool
}

// NodeID is a member's in the log: the first half of its ID.
func NodeID(member string) uint64 {
	b, err := hex.DecodeString(member)
	if err != nil || len(b) < 8 {
		return 0
	}
	n := uint64(0)
	for _, one := range b[:8] {
		n = n<<8 | uint64(one)
	}
	return max(n, 1)
}

// New makes a member's part of what is on disk.
func New(member string, saved PersistentState, seed uint64, now time.Duration) (*Node, error) {
	n := &Node{id: NodeID(member), store: raft.NewMemoryStorage(), rng: rand.New(rand.NewPCG(seed, 0xa92e)), conf: &pb.ConfState{},
		now: now, tick: now, state: shardmap.New()}
	if n.id == 0 {
		return nil, fmt.Errorf("agree: %q is no member's ID", member)
	}
	if len(saved.Snapshot) > 0 {
		snap := &pb.Snapshot{}
		if err := proto.Unmarshal(saved.Snapshot, snap); err != nil {
			return nil, fmt.Errorf("agree: the snapshot: %w", err)
		}
		if err := n.restore(snap); err != nil {
			return nil, err
		}
		if err := n.store.ApplySnapshot(snap); err != nil {
			return nil, fmt.Errorf("agree: the snapshot: %w", err)
		}
	}
	if len(saved.HardState) > 0 {
		hard := &pb.HardState{}
		if err := proto.Unmarshal(saved.HardState, hard); err != nil {
			return nil, fmt.Errorf("agree: the vote: %w", err)
		}
		_ = n.store.SetHardState(hard)
	}
	for i, text := range saved.Entries {
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return nil, fmt.Errorf("agree: entry %d: %w", i, err)
		}
		if err := n.store.Append([]*pb.Entry{e}); err != nil {
			return nil, fmt.Errorf("agree: entry %d: %w", i, err)
		}
	}
	return n, n.start()
}

func (n *Node) start() (err error) {
	n.rn, err = raft.NewRawNode(&raft.Config{ID: n.id, ElectionTick: election, HeartbeatTick: heartbeat, Storage: n.store, Applied: n.applied,
		MaxSizePerMsg: bytesMost, MaxUncommittedEntriesSize: bytesMost, MaxInflightMsgs: 64, PreVote: true, StepDownOnRemoval: true, Logger: silent{}})
	n.later()
	return err
}

// Bootstrap begins the log with this member as its only voter, and the fleet under an ID. It may be called before anything else was.
func (n *Node) Bootstrap(fleet string) error {
	state := shardmap.New()
	state.FleetID, state.Version = fleet, 1
	one := uint64(1)
	snap := &pb.Snapshot{Data: state.Snapshot(), Metadata: &pb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &pb.ConfState{Voters: []uint64{n.id}}}}
	if err := n.store.ApplySnapshot(snap); err != nil {
		return err
	}
	_ = n.store.SetHardState(&pb.HardState{Term: &one, Commit: &one})
	if err := n.restore(snap); err != nil {
		return err
	}
	n.write.HardState, _ = proto.Marshal(&pb.HardState{Term: &one, Commit: &one})
	n.write.Snapshot, n.write.SnapshotIndex = marshal(snap), 1
	if err := n.start(); err != nil {
		return err
	}
	return n.rn.Campaign() // there is nobody to wait for
}

// State is what is agreed, as far as this member has heard. It is not to be changed.
func (n *Node) State() *shardmap.State { return n.state }

// IsLeader tells whether this member leads the log; whatever it decides is agreed only once it is in the state.
func (n *Node) IsLeader() bool { return n.rn.BasicStatus().RaftState == raft.StateLeader }

// Leader is who leads as far as is known, 0 for nobody.
func (n *Node) Leader() uint64 { return n.rn.BasicStatus().Lead }

// Term is the number of the leadership that is known.
func (n *Node) Term() uint64 { return n.rn.BasicStatus().GetTerm() }

// Voters are the numbers of those that vote.
func (n *Node) Voters() []uint64 { return n.conf.GetVoters() }

// AsOf is the time up to which this member knows that nothing was agreed but what its state has: it led and asked a majority then.
// False where it never did.
func (n *Node) AsOf() (time.Duration, bool) { return n.asOf, n.known }

// Tick tells of the time. The library's own clock runs at leaders alone, as the chance within it can't be handed in.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if now-n.tick >= tickEach {
		n.tick = now
		if n.IsLeader() {
			n.rn.Tick()
		}
	}
	n.ask()
	if now >= n.elect {
		n.later()
		if !n.IsLeader() && slices.Contains(n.Voters(), n.id) {
			_ = n.rn.Campaign()
		}
	}
}

// ask begins a question to a majority: raft's read index, which is safe without leaning on anybody's clock.
func (n *Node) ask() {
	if term := n.Term(); term != n.term || !n.IsLeader() { // the library forgets them with a leadership
		n.asked, n.term = nil, term
	}
	if !n.IsLeader() || n.now < n.confirm || len(n.asked) >= confirmMost {
		return
	}
	n.confirm = n.now + confirmEach
	n.number++
	n.asked = append(n.asked, question{number: n.number, at: n.now})
	n.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, n.number))
}

// answered takes a majority's answer, which holds for the questions before it as well.
func (n *Node) answered(r raft.ReadState) {
	if len(r.RequestCtx) != 8 {
		return
	}
	number := binary.BigEndian.Uint64(r.RequestCtx)
	for i := range n.asked {
		if n.asked[i].number == number {
			n.asked[i].answered, n.asked[i].index = true, r.Index
		}
	}
}

// confirmed counts the answers whose index is applied.
func (n *Node) confirmed() {
	for i, q := range slices.Backward(n.asked) {
		if q.answered && q.index <= n.applied {
			n.asOf, n.known = max(n.asOf, q.at), true
			n.asked = slices.Delete(n.asked, 0, i+1)
			return
		}
	}
}

func (n *Node) later() {
	n.elect = n.now + electFrom + time.Duration(n.rng.Float64()*float64(electFrom))
}

// Step takes a message of another voter's.
func (n *Node) Step(text []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(text, m); err != nil {
		return err
	}
	if m.GetTo() != n.id || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("agree: a message of type %v to %x", m.GetType(), m.GetTo())
	}
	if err := n.rn.Step(m); err != nil {
		return err
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetFrom() == n.Leader() {
			n.later()
		}
	case pb.MsgVote:
		n.later()
	}
	return nil
}

// Propose has the leader put an entry before the others; lost if this member leads no more.
func (n *Node) Propose(e shardmap.Entry) error { return n.rn.Propose(e.Encode()) }

// ChangeVoters has members begin to vote and one stop, by number and 0 for none, all in one step: in no state between are there fewer that
// may be lost. One such change is under way at a time; another is refused.
func (n *Node) ChangeVoters(begin []uint64, stops uint64) error {
	cc := &pb.ConfChangeV2{}
	change := func(kind pb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: &kind, NodeId: &id})
	}
	for _, id := range begin {
		change(pb.ConfChangeAddNode, id)
	}
	if stops != 0 {
		change(pb.ConfChangeRemoveNode, stops)
	}
	return n.rn.ProposeConfChange(cc)
}

// TransferLeadership has another voter lead, if it has all that this one has.
func (n *Node) TransferLeadership(to uint64) { n.rn.TransferLeader(to) }

// ReportUnreachable tells that a message to a voter may not have come.
func (n *Node) ReportUnreachable(id uint64) { n.rn.ReportUnreachable(id) }

// Ready hands out what is to be done, once.
func (n *Node) Ready() (r Ready, err error) {
	var msgs []*pb.Message
	for n.rn.HasReady() {
		rd := n.rn.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := n.store.ApplySnapshot(rd.Snapshot); err != nil {
				return r, fmt.Errorf("agree: %w", err)
			}
			if err := n.restore(rd.Snapshot); err != nil {
				return r, err
			}
			n.write.Snapshot, n.write.SnapshotIndex = marshal(rd.Snapshot), rd.Snapshot.GetMetadata().GetIndex()
			n.write.Entries, n.write.FirstIndex = nil, 0
		}
		if len(rd.Entries) > 0 {
			if err := n.store.Append(rd.Entries); err != nil {
				return r, fmt.Errorf("agree: %w", err)
			}
			n.append(rd.Entries)
		}
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			_ = n.store.SetHardState(rd.HardState)
			n.write.HardState = marshal(rd.HardState)
		}
		msgs = append(msgs, rd.Messages...)
		for _, e := range rd.CommittedEntries {
			if err := n.apply(e); err != nil {
				return r, err
			}
		}
		for _, one := range rd.ReadStates {
			n.answered(one)
		}
		n.rn.Advance(rd)
	}
	n.confirmed()
	if err := n.compact(); err != nil {
		return r, err
	}
	for _, m := range msgs {
		r.Messages = append(r.Messages, Message{To: m.GetTo(), Data: marshal(m)})
		if m.GetType() == pb.MsgSnap { // how it went shows by what the voter answers next
			n.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	r.Write, r.Changes, r.Snapshot, r.PutResults = n.write, n.changes, n.whole, n.puts
	n.write, n.changes, n.whole, n.puts = Write{}, nil, nil, nil
	return r, nil
}

// append gathers entries for the disk; those that replace others void what was behind them.
func (n *Node) append(entries []*pb.Entry) {
	first := entries[0].GetIndex()
	if len(n.write.Entries) == 0 {
		n.write.FirstIndex = first
	} else if keep := int(first) - int(n.write.FirstIndex); keep >= 0 && keep < len(n.write.Entries) {
		n.write.Entries = n.write.Entries[:keep]
	} else if keep < 0 {
		n.write.Entries, n.write.FirstIndex = nil, first
	}
	for _, e := range entries {
		n.write.Entries = append(n.write.Entries, marshal(e))
	}
}

func (n *Node) apply(e *pb.Entry) error {
	n.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		var change pb.ConfChangeI
		if cc := (&pb.ConfChangeV2{}); e.GetType() == pb.EntryConfChangeV2 {
			if err := proto.Unmarshal(e.GetData(), cc); err != nil {
				return fmt.Errorf("agree: entry %d: %w", e.GetIndex(), err)
			}
			change = cc
		} else { // a change of one voter is written in the older form
			cc := &pb.ConfChange{}
			if err := proto.Unmarshal(e.GetData(), cc); err != nil {
				return fmt.Errorf("agree: entry %d: %w", e.GetIndex(), err)
			}
			change = cc
		}
		n.conf = n.rn.ApplyConfChange(change)
		n.voted = true
	case pb.EntryNormal:
		if len(e.GetData()) == 0 {
			return nil // a leader's first
		}
		entry, err := shardmap.DecodeEntry(e.GetData())
		if err != nil {
			return fmt.Errorf("agree: entry %d: %w", e.GetIndex(), err)
		}
		did := n.state.Apply(entry)
		n.puts = append(n.puts, did.PutResults...)
		if len(did.ChangedKeys) > 0 {
			n.changes = append(n.changes, Change{n.state.Version, ItemsOf(n.state, did.ChangedKeys)})
		}
	}
	return nil
}

// ItemsOf are the values of a state under keys; a key that has none is gone.
func ItemsOf(st *shardmap.State, keys []string) []changefeed.Item {
	items := make([]changefeed.Item, 0, len(keys))
	for _, k := range keys {
		v, is := st.Value(k)
		items = append(items, changefeed.Item{Key: k, Value: v, Deleted: !is})
	}
	return items
}

// SnapshotOf is all of a state, as a map.
func SnapshotOf(st *shardmap.State) *changefeed.Snapshot {
	return changefeed.NewSnapshot(st.FleetID, st.Version, ItemsOf(st, st.Keys()))
}

func (n *Node) restore(snap *pb.Snapshot) error {
	state, err := shardmap.Restore(snap.GetData())
	if err != nil {
		return fmt.Errorf("agree: the snapshot: %w", err)
	}
	n.state, n.conf = state, snap.GetMetadata().GetConfState()
	n.changes, n.whole = nil, SnapshotOf(state)
	n.applied = snap.GetMetadata().GetIndex()
	n.cut = n.applied
	return nil
}

// compact cuts the log behind a snapshot once it has grown.
func (n *Node) compact() error {
	if n.applied-n.cut < keepEntries && !n.voted {
		return nil
	}
	n.voted = false
	snap, err := n.store.CreateSnapshot(n.applied, n.conf, n.state.Snapshot())
	if first, e := n.store.FirstIndex(); err == nil && e == nil && n.applied > first+tailEntries {
		err = n.store.Compact(n.applied - tailEntries)
	}
	if err != nil {
		return fmt.Errorf("agree: %w", err)
	}
	n.cut = n.applied
	n.write.Snapshot, n.write.SnapshotIndex = marshal(snap), n.applied
	return nil
}

func marshal(m proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // the library's own
	}
	return text
}

// silent takes the library's log: what operators are told is said by who decides.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
