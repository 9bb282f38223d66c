// Package node is what a member of a fleet does but for sockets, disk and clock: it puts the agreed log (agree), the decision on
// views (steer) and the copies together, and passes what is agreed to members that do not vote. Virtual time runs this very code. It
// must never let anything out before what it leans on is on disk, and never take words of another fleet's.
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
	pollEach  = 250 * time.Millisecond
	pollSoon  = 80 * time.Millisecond   // the same where what is known here
	pollStale = 1200 * time.Millisecond // is so old: the leader has most likely changed
	pollMute  = 500 * time.Millisecond  // a leader that has not answered for so long is not asked for a while
	foundEach = 500 * time.Millisecond
	voteEach  = time.Second / 2 // changes of who votes
	soundFor  = time.Second     // a member that is to vote has been here so long
	freshFor  = 2 * time.Second // an answer that a seed knows of no fleet counts so long
)

// Config is what a member begins with.
type Config struct {
	Self                 shardmap.Member
	Incarnation          uint64
	BootstrapID          string   // the ID of a fleet that this member may found, drawn for it
	CanBootstrap         bool     // this member is at the first of the seeds' addresses: it is who founds a fleet
	Seeds                []string // addresses
	VoterCount           int      // that the log has, once there are so many machines
	ReplicationFactor    int
	EvictAfter           time.Duration // a member that is gone for so long is none of the next epoch
	MaxJoiningShards     int           // slots that may be copied to somebody at once
	Seed                 uint64
	MaxKeys              int // records that are held here at most,
	MaxBytes             int // and their bytes
	MaxPendingOperations int // operations that wait
	Retention            []replication.RetentionRule
}

// PersistentState is what is on disk.
type PersistentState struct {
	FleetID string
	Log     consensus.PersistentState
	Shards  map[int]ShardState
}

// ShardState is a slot's part of it.
type ShardState struct {
	Ballot  replication.Ballot
	Records []replication.Record
}

// Packet is a message from one member to another. At most one of the fields behind FleetID is set. The CBOR names are the wire form.
type Packet struct {
	From string `cbor:"From"` // member ID
	To   string `cbor:"To"`   // member ID
	Addr string `cbor:"Addr"` // unused; part of the wire form

	FleetID       string                     `cbor:"Fleet"` // empty while the sender knows of no fleet
	Raft          []byte                     `cbor:"Raft"`  // a message of the log's
	Replication   []replication.Message      `cbor:"Copies"`
	ReplicaReport *replication.ReplicaReport `cbor:"Complaint"`
	PollRequest   *PollRequest               `cbor:"Poll"`
	PollResponse  *PollResponse              `cbor:"Told"`
	PutRequest    *shardmap.Put              `cbor:"Put"`  // to the log's leader
	PutResult     *shardmap.PutResult        `cbor:"Done"` // response to Put
}

// ProtocolVersion is the version of the protocol between members from which on they exchange the agreed state as changes and agree on operators'
// items. An older program would count versions differently.
const ProtocolVersion = 2

// PollRequest asks for what was agreed after a version.
type PollRequest struct {
	Version         uint64 `cbor:"Version"`
	Digest          uint64 `cbor:"Digest"`
	ProtocolVersion int    `cbor:"Form"`   // 0 from a program of the first protocol version
	RequestNumber   uint64 `cbor:"Number"` // returned in the response
}

// PollResponse answers a Poll with all that was agreed since. A requester of the present protocol version gets Changes or, where these are no
// longer kept, Snapshot; an older one gets Epoch, Members and Slots.
type PollResponse struct {
	FleetID  string                         `cbor:"Fleet"`
	Since    uint64                         `cbor:"Since"` // the requester's version
	Version  uint64                         `cbor:"Version"`
	Epoch    uint64                         `cbor:"Epoch"`
	Members  []shardmap.Member              `cbor:"Members"` // empty where they have not changed
	Shards   map[int]shardmap.Configuration `cbor:"Slots"`
	LeaderID string                         `cbor:"Leader"` // the log's leader, as far as is known
	Addr     string                         `cbor:"Addr"`   // of the responder

	ProtocolVersion int                  `cbor:"Form"`
	RequestNumber   uint64               `cbor:"Number"`
	Digest          uint64               `cbor:"Digest"`
	HasAge          bool                 `cbor:"Known"` // Age is valid
	Age             time.Duration        `cbor:"Age"`   // time since nothing newer than Version was agreed, when the response was made
	Changes         []*changefeed.Change `cbor:"Changes"`
	Snapshot        *changefeed.Snapshot `cbor:"Snapshot"`
}

// Ready is what is to be done: Fleet, Agree and Slots are to be on disk before the packets go out and the results are told.
type Ready struct {
	FleetID     string // to be written once it is known
	Log         consensus.Write
	ShardWrites []replication.Write
	Packets     []Packet
	Results     []replication.Result
	PutResults  []shardmap.PutResult // how puts ended that were asked for here
	Events      []Event

	Installed *changefeed.Snapshot // the agreed state was replaced by this; before Changes
	Changes   []*changefeed.Change
}

// Event is one thing for operators.
type Event struct {
	Message string
	Epoch   uint64
	Version uint64
	Detail  string
	IsAlert bool // it is for the pager
}

// Node is one member's. It is one goroutine's.
type Node struct {
	cfg   Config
	now   time.Duration
	rng   *rand.Rand
	log   *consensus.Node
	held  *replication.Node
	steer *placement.Planner
	term  uint64 // of the leadership that steer belongs to

	feed    *changefeed.Log // the newest that is known, from the log or from others, as a map, and its newest changes
	known   *shardmap.State // the same, but for operators' items
	changed []uint64        // by slot: the version with which this member heard of its view
	members uint64          // and of the list of members
	leader  string

	seen  []placement.MemberStatus
	poll  time.Duration
	found time.Duration
	vote  time.Duration
	fresh map[string]time.Duration // seeds, by address, that know of no fleet

	mute   time.Duration // since then the leader has not answered a question; 0: it has
	polls  polls
	asOf   time.Duration // up to then nothing was agreed but what is known here
	asKnow bool
	split  bool // two histories were told of
	oddly  map[string]bool
	moved  time.Duration // who votes was changed then

	puts    map[string]*put     // that were asked for here, by operation
	propose map[string]*propose // that this member, which leads, has put before the others

	leaves bool

	said string // the fleet's ID, as it was written
	out  Ready
}

// New makes a member of what is on disk.
func New(cfg Config, saved PersistentState, now time.Duration) (*Node, error) {
	log, err := consensus.New(cfg.Self.ID, saved.Log, cfg.Seed, now)
	if err != nil {
		return nil, err
	}
	c := &Node{cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0xc02e)), log: log, known: shardmap.New(), changed: make([]uint64, shardmap.ShardCount),
		fresh: map[string]time.Duration{}, poll: now, found: now, vote: now, said: saved.FleetID, feed: changefeed.NewLog(changefeed.LogConfig{MaxChanges: changesMost, MaxBytes: changesBytes}),
		polls: polls{}, puts: map[string]*put{}, propose: map[string]*propose{}}
	c.known.FleetID = saved.FleetID
	c.held = replication.New(replication.Config{ID: cfg.Self.ID, Incarnation: cfg.Incarnation, MinReplicas: min(2, cfg.ReplicationFactor), MaxKeys: cfg.MaxKeys, MaxBytes: cfg.MaxBytes,
		MaxPendingOperations: cfg.MaxPendingOperations, Retention: cfg.Retention}, now)
	for _, num := range sortedSlots(saved.Shards) {
		c.held.Load(num, saved.Shards[num].Ballot, saved.Shards[num].Records)
	}
	return c, nil
}

func sortedSlots(m map[int]ShardState) []int {
	all := make([]int, 0, len(m))
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// State is the newest that is agreed, as far as is known here. It is not to be changed.
func (c *Node) State() *shardmap.State { return c.known }

// Replicas are the copies that lie here.
func (c *Node) Replicas() *replication.Node { return c.held }

// IsLeader tells whether this member leads the log; Voters are the numbers of those that vote.
func (c *Node) IsLeader() bool   { return c.log.IsLeader() }
func (c *Node) Voters() []uint64 { return c.log.Voters() }

// ---- What comes in.

// Tick tells of the time, and how the other members are seen now.
func (c *Node) Tick(now time.Duration, seen []placement.MemberStatus) {
	c.now, c.seen = now, seen
	c.log.Tick(now)
	c.held.Tick(now)
	c.begin()
	c.lead()
	c.push()
	if n := c.log.Leader(); n != 0 && slices.Contains(c.log.Voters(), consensus.NodeID(c.cfg.Self.ID)) {
		if id := c.numbered(n); id != "" {
			c.leads(id)
		}
	}
	if now >= c.poll {
		each := pollEach
		if asOf, known := c.AsOf(); known && now-asOf > pollStale {
			each = pollSoon
		}
		c.poll = now + each/2 + time.Duration(c.rng.Float64()*float64(each))
		c.ask()
	}
}

// Leave tells that this member will go: others are to hold what it holds, and to lead.
func (c *Node) Leave() { c.leaves = true }

// SetWallClock tells of the time of day, by which records age.
func (c *Node) SetWallClock(unix int64) { c.held.SetWallClock(unix) }

// Submit has an operation done within a span; its result comes with a Ready.
func (c *Node) Submit(op replication.Operation, within time.Duration) { c.held.Submit(op, within) }

// MarkDiskFailed tells that the disk can't be written: this member promises nothing any more, neither in the copies nor in the log.
func (c *Node) MarkDiskFailed() { c.held.MarkDiskFailed() }

// Step takes a packet. One of another fleet's is an error, and so is one that can't be read.
func (c *Node) Step(p Packet) error {
	if p.FleetID != "" && c.known.FleetID != "" && p.FleetID != c.known.FleetID {
		return fmt.Errorf("a word of fleet %s; this one is %s", p.FleetID, c.known.FleetID)
	}
	if p.To != "" && p.To != c.cfg.Self.ID {
		return fmt.Errorf("a word for member %s", p.To)
	}
	switch {
	case p.Raft != nil:
		return c.log.Step(p.Raft)
	case p.ReplicaReport != nil:
		if c.steer != nil && c.log.IsLeader() && p.ReplicaReport.Shard >= 0 && p.ReplicaReport.Shard < shardmap.ShardCount {
			c.steer.Report(c.now, c.log.State(), *p.ReplicaReport)
		}
	case p.PollRequest != nil:
		c.tell(p)
	case p.PollResponse != nil:
		c.told(p)
	case p.PutRequest != nil:
		c.asked(p.From, *p.PutRequest)
	case p.PutResult != nil:
		c.done(*p.PutResult)
	default:
		for _, m := range p.Replication {
			c.held.Step(m)
		}
	}
	return nil
}

// ---- What is agreed goes round.

// ask polls one member: the log's leader, or by chance one that is here, or a seed while nobody is known.
func (c *Node) ask() {
	var ids []string
	for _, m := range c.seen {
		if m.Alive && m.ID != c.cfg.Self.ID {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return
	}
	to := ids[c.rng.IntN(len(ids))]
	mute := c.mute != 0 && c.now-c.mute > pollMute
	if slices.Contains(ids, c.leader) && !mute && c.rng.IntN(2) == 0 {
		if to = c.leader; c.mute == 0 {
			c.mute = c.now
		}
	}
	if mute && c.now-c.mute > 4*pollMute {
		c.mute = 0
	}
	c.send(Packet{To: to, PollRequest: &PollRequest{Version: c.known.Version, Digest: c.feed.Digest(), ProtocolVersion: ProtocolVersion, RequestNumber: c.polls.sent(c.now)}})
}

// leads notes who leads the log.
func (c *Node) leads(id string) {
	if id != c.leader {
		c.leader, c.mute = id, 0
	}
}

// tell answers a poll.
func (c *Node) tell(p Packet) {
	t := &PollResponse{FleetID: c.known.FleetID, Since: p.PollRequest.Version, Version: c.known.Version, Epoch: c.known.Epoch, LeaderID: c.leader, Addr: c.cfg.Self.Addr,
		ProtocolVersion: ProtocolVersion, RequestNumber: p.PollRequest.RequestNumber, Digest: c.feed.Digest()}
	if asOf, known := c.AsOf(); known {
		t.HasAge, t.Age = true, c.now-asOf
	}
	since := p.PollRequest.Version
	if p.PollRequest.ProtocolVersion >= ProtocolVersion {
		c.since(p.PollRequest, t)
	} else if t.Shards = map[int]shardmap.Configuration{}; since < c.known.Version {
		if c.members > since {
			t.Members = c.known.Members
		}
		for num, v := range c.known.Configurations {
			if c.changed[num] > since {
				t.Shards[num] = v
			}
		}
	}
	c.send(Packet{To: p.From, PollResponse: t})
}

// told takes an answer. What is agreed is the same wherever it is heard; only what is newer counts.
func (c *Node) told(p Packet) {
	t := p.PollResponse
	if t.FleetID == "" {
		if slices.Contains(c.cfg.Seeds, t.Addr) {
			c.fresh[t.Addr] = c.now
		}
		return
	}
	if p.From == c.leader {
		c.mute = 0
	}
	if t.LeaderID != "" && (p.From == t.LeaderID || p.From == c.leader || c.mute != 0 || c.leader == "") { // a leader that answers is not given up for hearsay
		c.leads(t.LeaderID)
	}
	if t.ProtocolVersion >= ProtocolVersion {
		c.toldChanges(t)
		return
	}
	// An answer to a process before this one, which knew more, leaves out what this one lacks. So does one of an older program that came
	// back to a fleet that has operators' items already.
	if t.Version <= c.known.Version || t.Since > c.known.Version || len(c.feed.State().Items(shardmap.ConfigPrefix)) > 0 {
		return
	}
	if c.known.FleetID == "" {
		c.known.FleetID = t.FleetID
	}
	epoch := t.Epoch > c.known.Epoch
	if epoch && len(t.Members) > 0 {
		c.known.Epoch, c.known.Members, c.members = t.Epoch, t.Members, t.Version
	}
	c.known.Version = t.Version
	for _, num := range sortedViews(t.Shards) {
		if v := t.Shards[num]; num >= 0 && num < shardmap.ShardCount && v.Number > c.known.Configurations[num].Number {
			c.view(num, v, t.Version)
		}
	}
	c.replace(consensus.SnapshotOf(c.known))
	c.wrote(epoch)
}

func sortedViews(m map[int]shardmap.Configuration) []int {
	all := make([]int, 0, len(m))
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (c *Node) view(num int, v shardmap.Configuration, version uint64) {
	c.known.Configurations[num], c.changed[num] = v, version
	c.held.SetConfiguration(num, v)
}

// wrote notes the fleet's ID for the disk, and tells of an epoch.
func (c *Node) wrote(epoch bool) {
	if c.known.FleetID != c.said {
		c.said = c.known.FleetID
		c.out.FleetID = c.known.FleetID
	}
	if epoch {
		c.out.Events = append(c.out.Events, Event{Message: "epoch", Epoch: c.known.Epoch, Detail: fmt.Sprintf("%d members", len(c.known.Members))})
	}
}

// ---- The log's leader, and who founds.

// begin founds a fleet: at the first seed alone, and only when every seed is there and knows of none. Guards against a second
// fleet beside the first, whose members' records nobody would find: a first seed that lost its disk finds the others here.
func (c *Node) begin() {
	if !c.cfg.CanBootstrap || c.known.FleetID != "" || c.now < c.found {
		return
	}
	c.found = c.now + foundEach
	all := true
	for _, addr := range c.cfg.Seeds {
		if addr == c.cfg.Self.Addr {
			continue
		}
		at, said := c.fresh[addr]
		if !said || c.now-at > freshFor {
			all = false
		}
		for _, m := range c.seen {
			if m.Alive && m.Addr == addr {
				c.send(Packet{To: m.ID, PollRequest: &PollRequest{}})
			}
		}
	}
	if !all {
		return
	}
	if err := c.log.Bootstrap(c.cfg.BootstrapID); err != nil {
		c.out.Events = append(c.out.Events, Event{Message: "not founded", Detail: err.Error()})
		return
	}
	c.out.Events = append(c.out.Events, Event{Message: "founded", Detail: c.cfg.BootstrapID})
}

// lead does what the log's leader does: views, and who votes.
func (c *Node) lead() {
	if !c.log.IsLeader() {
		c.steer = nil
		clear(c.propose)
		return
	}
	c.leader = c.cfg.Self.ID
	if c.steer == nil || c.term != c.log.Term() {
		c.term = c.log.Term()
		c.steer = placement.New(placement.Config{ReplicationFactor: c.cfg.ReplicationFactor, MinReplicas: min(2, c.cfg.ReplicationFactor), EvictAfter: c.cfg.EvictAfter, MaxJoiningShards: c.cfg.MaxJoiningShards}, c.now)
	}
	if c.leaves && c.now >= c.vote {
		c.vote = c.now + voteEach
		for _, m := range c.seen {
			if id := consensus.NodeID(m.ID); m.Alive && !m.Draining && slices.Contains(c.log.Voters(), id) {
				c.log.TransferLeadership(id)
				break
			}
		}
	}
	seen := append(slices.Clone(c.seen), placement.MemberStatus{Member: c.cfg.Self, Alive: true, Draining: c.leaves, StateAge: time.Hour})
	if e, is := c.steer.Propose(c.now, c.log.State(), seen, len(c.log.Voters()) >= c.cfg.VoterCount); is {
		_ = c.log.Propose(e)
	}
	if c.now >= c.vote {
		c.vote = c.now + voteEach
		c.voters(seen)
	}
}

// ---- What goes out.

func (c *Node) send(p Packet) {
	p.From, p.FleetID = c.cfg.Self.ID, c.known.FleetID
	c.out.Packets = append(c.out.Packets, p)
}

// Ready hands out what is to be done, once. An error is one of the log's: this member can't go on.
func (c *Node) Ready() (Ready, error) {
	log, err := c.log.Ready()
	if err != nil {
		return Ready{}, err
	}
	c.heard(log)
	c.out.Log = log.Write
	for _, m := range log.Messages {
		if to := c.numbered(m.To); to != "" {
			c.send(Packet{To: to, Raft: m.Data})
		} else {
			c.log.ReportUnreachable(m.To)
		}
	}
	held := c.held.Ready()
	c.out.ShardWrites, c.out.Results = held.Writes, held.Results
	byTo := map[string]int{}
	for _, m := range held.Messages {
		i, is := byTo[m.To]
		if !is {
			i = len(c.out.Packets)
			byTo[m.To] = i
			c.send(Packet{To: m.To})
		}
		c.out.Packets[i].Replication = append(c.out.Packets[i].Replication, m)
	}
	for _, one := range held.Reports {
		if c.log.IsLeader() && c.steer != nil {
			c.steer.Report(c.now, c.log.State(), one)
		} else if c.leader != "" && c.leader != c.cfg.Self.ID {
			c.send(Packet{To: c.leader, ReplicaReport: &one})
		}
	}
	r := c.out
	c.out = Ready{}
	return r, nil
}

// numbered is the member with a number, empty where it is not known.
func (c *Node) numbered(id uint64) string {
	for _, m := range c.seen {
		if consensus.NodeID(m.ID) == id {
			return m.ID
		}
	}
	for _, m := range c.known.Members {
		if consensus.NodeID(m.ID) == id {
			return m.ID
		}
	}
	return ""
}
