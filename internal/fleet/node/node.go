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
	Self   shardmap.Member
	Life   uint64
	Found  string   // the ID of a fleet that this member may found, drawn for it
	First  bool     // this member is at the first of the seeds' addresses: it is who founds a fleet
	Seeds  []string // addresses
	Voters int      // that the log has, once there are so many machines
	Copies int
	Evict  time.Duration // a member that is gone for so long is none of the next epoch
	Repair int           // slots that may be copied to somebody at once
	Seed   uint64
	Keys   int // records that are held here at most,
	Bytes  int // and their bytes
	Ops    int // operations that wait
	Keeps  []replication.RetentionRule
}

// Saved is what is on disk.
type Saved struct {
	Fleet string
	Agree consensus.Saved
	Slots map[int]Slot
}

// Slot is a slot's part of it.
type Slot struct {
	Ballot  replication.Ballot
	Records []replication.Record
}

// Packet is what goes from one member to another.
type Packet struct {
	From, To  string // IDs; To may be empty where only an address is known
	Addr      string
	Fleet     string
	Raft      []byte
	Copies    []replication.Message
	Complaint *replication.ReplicaReport
	Poll      *Poll
	Told      *Told
	Put       *shardmap.Put       // to the log's leader
	Done      *shardmap.PutResult // back
}

// Form is the form of words from which on members tell each other changes of the agreed state, and may agree on operators' items. An
// older one would count versions otherwise.
const Form = 2

// Poll asks what is agreed since a version.
type Poll struct {
	Version uint64
	Digest  uint64
	Form    int    // 0: of a member that knows only the older form
	Number  uint64 // comes back with the answer
}

// Told answers a poll: all that has changed since. One of the newer form is answered with Changes or, where those can't be had,
// with Snapshot; an older one with Epoch, Members and Slots.
type Told struct {
	Fleet   string
	Since   uint64 // the version that was asked from; what changed before it is not told
	Version uint64
	Epoch   uint64
	Members []shardmap.Member // nothing where they have not changed
	Slots   map[int]shardmap.Configuration
	Leader  string // who leads the log, as far as is known
	Addr    string // of who answers

	Form     int
	Number   uint64
	Digest   uint64
	Known    bool          // Age is known
	Age      time.Duration // so long ago nothing newer than Version was agreed, at the moment of the answer
	Changes  []*changefeed.Change
	Snapshot *changefeed.Snapshot
}

// Ready is what is to be done: Fleet, Agree and Slots are to be on disk before the packets go out and the results are told.
type Ready struct {
	Fleet   string // to be written once it is known
	Agree   consensus.Write
	Slots   []replication.Write
	Packets []Packet
	Results []replication.Result
	Puts    []shardmap.PutResult // how puts ended that were asked for here
	Lines   []Line

	Installed *changefeed.Snapshot // the agreed state was replaced by this; before Changes
	Changes   []*changefeed.Change
}

// Line is one thing for operators.
type Line struct {
	What    string
	Epoch   uint64
	Version uint64
	Text    string
	Bad     bool // it is for the pager
}

// Core is one member's. It is one goroutine's.
type Core struct {
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
func New(cfg Config, saved Saved, now time.Duration) (*Core, error) {
	log, err := consensus.New(cfg.Self.ID, saved.Agree, cfg.Seed, now)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, now: now, rng: rand.New(rand.NewPCG(cfg.Seed, 0xc02e)), log: log, known: shardmap.New(), changed: make([]uint64, shardmap.ShardCount),
		fresh: map[string]time.Duration{}, poll: now, found: now, vote: now, said: saved.Fleet, feed: changefeed.NewLog(changefeed.LogConfig{MaxChanges: changesMost, MaxBytes: changesBytes}),
		polls: polls{}, puts: map[string]*put{}, propose: map[string]*propose{}}
	c.known.FleetID = saved.Fleet
	c.held = replication.New(replication.Config{ID: cfg.Self.ID, Incarnation: cfg.Life, MinReplicas: min(2, cfg.Copies), MaxKeys: cfg.Keys, MaxBytes: cfg.Bytes,
		MaxPendingOperations: cfg.Ops, Retention: cfg.Keeps}, now)
	for _, num := range sortedSlots(saved.Slots) {
		c.held.Load(num, saved.Slots[num].Ballot, saved.Slots[num].Records)
	}
	return c, nil
}

func sortedSlots(m map[int]Slot) []int {
	all := make([]int, 0, len(m))
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// State is the newest that is agreed, as far as is known here. It is not to be changed.
func (c *Core) State() *shardmap.State { return c.known }

// Held are the copies that lie here.
func (c *Core) Held() *replication.Node { return c.held }

// Leads tells whether this member leads the log; Voters are the numbers of those that vote.
func (c *Core) Leads() bool      { return c.log.Leads() }
func (c *Core) Voters() []uint64 { return c.log.Voters() }

// ---- What comes in.

// Clock tells of the time, and how the other members are seen now.
func (c *Core) Clock(now time.Duration, seen []placement.MemberStatus) {
	c.now, c.seen = now, seen
	c.log.Clock(now)
	c.held.Tick(now)
	c.begin()
	c.lead()
	c.push()
	if n := c.log.Leader(); n != 0 && slices.Contains(c.log.Voters(), consensus.Number(c.cfg.Self.ID)) {
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
func (c *Core) Leave() { c.leaves = true }

// Wall tells of the time of day, by which records age.
func (c *Core) Wall(unix int64) { c.held.SetWallClock(unix) }

// Ask has an operation done within a span; its result comes with a Ready.
func (c *Core) Ask(op replication.Operation, within time.Duration) { c.held.Submit(op, within) }

// Broken tells that the disk can't be written: this member promises nothing any more, neither in the copies nor in the log.
func (c *Core) Broken() { c.held.MarkDiskFailed() }

// Step takes a packet. One of another fleet's is an error, and so is one that can't be read.
func (c *Core) Step(p Packet) error {
	if p.Fleet != "" && c.known.FleetID != "" && p.Fleet != c.known.FleetID {
		return fmt.Errorf("a word of fleet %s; this one is %s", p.Fleet, c.known.FleetID)
	}
	if p.To != "" && p.To != c.cfg.Self.ID {
		return fmt.Errorf("a word for member %s", p.To)
	}
	switch {
	case p.Raft != nil:
		return c.log.Step(p.Raft)
	case p.Complaint != nil:
		if c.steer != nil && c.log.Leads() && p.Complaint.Shard >= 0 && p.Complaint.Shard < shardmap.ShardCount {
			c.steer.Report(c.now, c.log.State(), *p.Complaint)
		}
	case p.Poll != nil:
		c.tell(p)
	case p.Told != nil:
		c.told(p)
	case p.Put != nil:
		c.asked(p.From, *p.Put)
	case p.Done != nil:
		c.done(*p.Done)
	default:
		for _, m := range p.Copies {
			c.held.Step(m)
		}
	}
	return nil
}

// ---- What is agreed goes round.

// ask polls one member: the log's leader, or by chance one that is here, or a seed while nobody is known.
func (c *Core) ask() {
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
	c.send(Packet{To: to, Poll: &Poll{Version: c.known.Version, Digest: c.feed.Digest(), Form: Form, Number: c.polls.sent(c.now)}})
}

// leads notes who leads the log.
func (c *Core) leads(id string) {
	if id != c.leader {
		c.leader, c.mute = id, 0
	}
}

// tell answers a poll.
func (c *Core) tell(p Packet) {
	t := &Told{Fleet: c.known.FleetID, Since: p.Poll.Version, Version: c.known.Version, Epoch: c.known.Epoch, Leader: c.leader, Addr: c.cfg.Self.Addr,
		Form: Form, Number: p.Poll.Number, Digest: c.feed.Digest()}
	if asOf, known := c.AsOf(); known {
		t.Known, t.Age = true, c.now-asOf
	}
	since := p.Poll.Version
	if p.Poll.Form >= Form {
		c.since(p.Poll, t)
	} else if t.Slots = map[int]shardmap.Configuration{}; since < c.known.Version {
		if c.members > since {
			t.Members = c.known.Members
		}
		for num, v := range c.known.Configurations {
			if c.changed[num] > since {
				t.Slots[num] = v
			}
		}
	}
	c.send(Packet{To: p.From, Told: t})
}

// told takes an answer. What is agreed is the same wherever it is heard; only what is newer counts.
func (c *Core) told(p Packet) {
	t := p.Told
	if t.Fleet == "" {
		if slices.Contains(c.cfg.Seeds, t.Addr) {
			c.fresh[t.Addr] = c.now
		}
		return
	}
	if p.From == c.leader {
		c.mute = 0
	}
	if t.Leader != "" && (p.From == t.Leader || p.From == c.leader || c.mute != 0 || c.leader == "") { // a leader that answers is not given up for hearsay
		c.leads(t.Leader)
	}
	if t.Form >= Form {
		c.toldChanges(t)
		return
	}
	// An answer to a process before this one, which knew more, leaves out what this one lacks. So does one of an older program that came
	// back to a fleet that has operators' items already.
	if t.Version <= c.known.Version || t.Since > c.known.Version || len(c.feed.State().Items(shardmap.ItemPrefix)) > 0 {
		return
	}
	if c.known.FleetID == "" {
		c.known.FleetID = t.Fleet
	}
	epoch := t.Epoch > c.known.Epoch
	if epoch && len(t.Members) > 0 {
		c.known.Epoch, c.known.Members, c.members = t.Epoch, t.Members, t.Version
	}
	c.known.Version = t.Version
	for _, num := range sortedViews(t.Slots) {
		if v := t.Slots[num]; num >= 0 && num < shardmap.ShardCount && v.Number > c.known.Configurations[num].Number {
			c.view(num, v, t.Version)
		}
	}
	c.replace(consensus.Whole(c.known))
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

func (c *Core) view(num int, v shardmap.Configuration, version uint64) {
	c.known.Configurations[num], c.changed[num] = v, version
	c.held.SetConfiguration(num, v)
}

// wrote notes the fleet's ID for the disk, and tells of an epoch.
func (c *Core) wrote(epoch bool) {
	if c.known.FleetID != c.said {
		c.said = c.known.FleetID
		c.out.Fleet = c.known.FleetID
	}
	if epoch {
		c.out.Lines = append(c.out.Lines, Line{What: "epoch", Epoch: c.known.Epoch, Text: fmt.Sprintf("%d members", len(c.known.Members))})
	}
}

// ---- The log's leader, and who founds.

// begin founds a fleet: at the first seed alone, and only when every seed is there and knows of none. Guards against a second
// fleet beside the first, whose members' records nobody would find: a first seed that lost its disk finds the others here.
func (c *Core) begin() {
	if !c.cfg.First || c.known.FleetID != "" || c.now < c.found {
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
				c.send(Packet{To: m.ID, Poll: &Poll{}})
			}
		}
	}
	if !all {
		return
	}
	if err := c.log.Found(c.cfg.Found); err != nil {
		c.out.Lines = append(c.out.Lines, Line{What: "not founded", Text: err.Error()})
		return
	}
	c.out.Lines = append(c.out.Lines, Line{What: "founded", Text: c.cfg.Found})
}

// lead does what the log's leader does: views, and who votes.
func (c *Core) lead() {
	if !c.log.Leads() {
		c.steer = nil
		clear(c.propose)
		return
	}
	c.leader = c.cfg.Self.ID
	if c.steer == nil || c.term != c.log.Term() {
		c.term = c.log.Term()
		c.steer = placement.New(placement.Config{ReplicationFactor: c.cfg.Copies, MinReplicas: min(2, c.cfg.Copies), EvictAfter: c.cfg.Evict, MaxJoiningShards: c.cfg.Repair}, c.now)
	}
	if c.leaves && c.now >= c.vote {
		c.vote = c.now + voteEach
		for _, m := range c.seen {
			if id := consensus.Number(m.ID); m.Alive && !m.Draining && slices.Contains(c.log.Voters(), id) {
				c.log.Hand(id)
				break
			}
		}
	}
	seen := append(slices.Clone(c.seen), placement.MemberStatus{Member: c.cfg.Self, Alive: true, Draining: c.leaves, StateAge: time.Hour})
	if e, is := c.steer.Propose(c.now, c.log.State(), seen, len(c.log.Voters()) >= c.cfg.Voters); is {
		_ = c.log.Propose(e)
	}
	if c.now >= c.vote {
		c.vote = c.now + voteEach
		c.voters(seen)
	}
}

// ---- What goes out.

func (c *Core) send(p Packet) {
	p.From, p.Fleet = c.cfg.Self.ID, c.known.FleetID
	c.out.Packets = append(c.out.Packets, p)
}

// Ready hands out what is to be done, once. An error is one of the log's: this member can't go on.
func (c *Core) Ready() (Ready, error) {
	log, err := c.log.Ready()
	if err != nil {
		return Ready{}, err
	}
	c.heard(log)
	c.out.Agree = log.Write
	for _, m := range log.Msgs {
		if to := c.numbered(m.To); to != "" {
			c.send(Packet{To: to, Raft: m.Text})
		} else {
			c.log.Unreachable(m.To)
		}
	}
	held := c.held.Ready()
	c.out.Slots, c.out.Results = held.Writes, held.Results
	byTo := map[string]int{}
	for _, m := range held.Messages {
		i, is := byTo[m.To]
		if !is {
			i = len(c.out.Packets)
			byTo[m.To] = i
			c.send(Packet{To: m.To})
		}
		c.out.Packets[i].Copies = append(c.out.Packets[i].Copies, m)
	}
	for _, one := range held.Reports {
		if c.log.Leads() && c.steer != nil {
			c.steer.Report(c.now, c.log.State(), one)
		} else if c.leader != "" && c.leader != c.cfg.Self.ID {
			c.send(Packet{To: c.leader, Complaint: &one})
		}
	}
	r := c.out
	c.out = Ready{}
	return r, nil
}

// numbered is the member with a number, empty where it is not known.
func (c *Core) numbered(id uint64) string {
	for _, m := range c.seen {
		if consensus.Number(m.ID) == id {
			return m.ID
		}
	}
	for _, m := range c.known.Members {
		if consensus.Number(m.ID) == id {
			return m.ID
		}
	}
	return ""
}
