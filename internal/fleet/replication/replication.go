// Package replication keeps records on several members: each slot of the key space has a view, agreed elsewhere, whose primary orders
// writes and whose holders all have a write on disk before it is promised. It is the protocol alone, pure: messages, operations,
// views and a time in; writes, messages and results out. It must never promise what fewer than the least number of holders have,
// never take a write of an older ballot, and never agree on a view: two who decided that by themselves would both promise.
package replication

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sabletally/internal/fleet/shardmap"
)

const (
	resendEach  = 200 * time.Millisecond
	blameAfter  = 800 * time.Millisecond  // a holder that answers nothing for so long is complained about,
	missAfter   = 1500 * time.Millisecond // and a primary that nothing is heard of
	forgetAfter = time.Minute             // members of whom nothing was heard, which is as good as never
	beatEach    = 250 * time.Millisecond
	expireEach  = time.Second // how often a primary looks for records that were held for their time,
	expireMost  = 64          // and of one slot so many at once
	recentMost  = 128         // writes that a holder may lack and still be sent one by one
	pastMost    = 4
	askAgain    = 150 * time.Millisecond // an operation that was refused for a moment is asked for again
)

// Config is what a node begins with.
type Config struct {
	ID                   string
	Incarnation          uint64
	MinReplicas          int // holders that a write needs, this one among them; a write goes to all there are
	MaxKeys              int // records held here
	MaxBytes             int // of keys and values together
	MaxPendingOperations int // operations that wait here
	Retention            []RetentionRule
}

// RetentionRule is how long records whose keys begin in one way are held from the time on that they were born; others are held for good.
type RetentionRule struct {
	Prefix string
	TTL    time.Duration
}

// Node is one member's part in the copies. It is one goroutine's.
type Node struct {
	cfg   Config
	now   time.Duration
	slots []slot
	ops   map[string]*pending // asked for here
	order []string            // in the order in which they came
	keys  int
	bytes int
	heard map[string]time.Duration
	beat  time.Duration
	wall  int64 // Unix seconds
	aged  time.Duration
	bad   bool // the disk fails
	out   Ready

	Rejections [ReasonDiskFailed + 1]int
}

// slot is one slot as this member knows it.
type slot struct {
	ballot  Ballot
	full    []string
	joining []string
	records map[string]Record
	digest  uint64

	// Of the primary.
	leads   bool
	seq     uint64
	peers   map[string]*peer
	flight  []*flight           // writes that not all holders have, in order
	recent  []*flight           // the newest writes of this ballot, in order, and before them the state that it began with
	queue   map[string][]queued // operations behind one on the same key
	waiting int

	// Of the others.
	taken bool // the ballot was taken over: what comes next follows it
	got   uint64
	since time.Duration // of this ballot
}

// peer is another holder as the primary knows it.
type peer struct {
	adopted bool
	joining bool
	acked   uint64
	life    uint64        // of its process, once it is known
	sent    time.Duration // the newest Adopt or Install, or what it lacked
	owes    time.Duration // since when it owes an answer; negative: it owes none
	told    bool          // it was said to have caught up, in this ballot,
	said    time.Duration // the last time then
}

// needed tells whether a write is promised only with this one's word. One that joins is needed from the moment on at which it is said
// to have caught up: it may be counted among the full ones at any time then, and whoever leads after that may begin with it.
func (p *peer) needed() bool { return !p.joining || p.told }

// flight is a write on its way.
type flight struct {
	seq    uint64
	digest uint64 // of the slot, with it
	record Record // nothing where none is written
	op     Operation
	from   string
	result Result // once all holders have it
	drops  bool   // record is to be no more, and nobody asked
}

type queued struct {
	op   Operation
	from string
}

// pending is an operation that was asked for here.
type pending struct {
	op    Operation
	until time.Duration
	next  time.Duration // it is sent again then
	to    string
	sent  bool // it may have been done
	tries int
}

// New makes a node that holds nothing.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{cfg: cfg, now: now, slots: make([]slot, shardmap.ShardCount), ops: map[string]*pending{}, heard: map[string]time.Duration{}, beat: now}
	for i := range n.slots {
		n.slots[i].records = map[string]Record{}
	}
	return n
}

// Load takes what is on disk of a slot, before anything else.
func (n *Node) Load(num int, b Ballot, records []Record) {
	s := &n.slots[num]
	s.ballot = b
	for _, r := range records {
		n.set(s, r)
	}
}

// ---- What comes in.

// Tick tells of the time.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	for _, id := range slices.Clone(n.order) {
		p := n.ops[id]
		if p == nil {
			continue
		}
		if now >= p.until {
			n.finish(Result{OperationID: id, Outcome: map[bool]Outcome{true: OutcomeUnknown, false: OutcomeRejected}[p.sent], Reason: ReasonReconfiguring})
		} else if now >= p.next {
			n.ask(p)
		}
	}
	if now-n.beat >= beatEach {
		n.beat = now
		n.beats()
	}
	for i := range n.slots {
		n.look(i)
	}
}

// SetWallClock tells of the time of day, in Unix seconds, by which records age. It orders nothing: a clock that is off has them held
// shorter or longer.
func (n *Node) SetWallClock(now int64) {
	if n.wall = now; n.now-n.aged < expireEach {
		return
	}
	n.aged = n.now
	for num := range n.slots {
		if s := &n.slots[num]; s.leads && len(s.records) > 0 && s.active() && len(s.full) >= n.cfg.MinReplicas {
			n.expire(num, s)
		}
	}
}

// expire drops records that were held for their time, like any other write but that nothing is left of them.
func (n *Node) expire(num int, s *slot) {
	var old []string
	for key, r := range s.records {
		for _, k := range n.cfg.Retention {
			if strings.HasPrefix(key, k.Prefix) && n.wall-r.CreatedAt > int64(k.TTL/time.Second) {
				old = append(old, key)
			}
		}
	}
	slices.Sort(old)
	for _, key := range old[:min(len(old), expireMost)] {
		if !slices.ContainsFunc(s.flight, func(f *flight) bool { return f.record.Key == key }) {
			gone := Record{Key: key}
			n.set(s, gone)
			n.write(num, s, []Record{gone}, false)
			n.fly(num, s, &flight{record: gone, drops: true})
		}
	}
}

// SetConfiguration tells of a slot's newest view. Older ones than the one that is known change nothing.
func (n *Node) SetConfiguration(num int, v shardmap.Configuration) {
	s := &n.slots[num]
	if v.Number < s.ballot.Configuration || v.Number == s.ballot.Configuration && s.full != nil {
		return
	}
	if v.Primary() == n.cfg.ID {
		n.lead(num, v)
		return
	}
	if v.Number > s.ballot.Configuration { // its primary says which life it is
		n.follow(num, Ballot{Configuration: v.Number}, v.InSync, v.Joining)
	} else {
		s.full, s.joining, s.since = v.InSync, v.Joining, n.now
	}
	if slices.Contains(v.InSync, n.cfg.ID) || slices.Contains(v.Joining, n.cfg.ID) {
		n.write(num, s, nil, false)
	} else {
		n.drop(num)
	}
}

// Submit has an operation done within a span, here or wherever its slot's primary is. Its result comes with a Ready.
func (n *Node) Submit(op Operation, within time.Duration) {
	if len(n.ops) >= n.cfg.MaxPendingOperations {
		n.out.Results = append(n.out.Results, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: ReasonBusy})
		n.Rejections[ReasonBusy]++
		return
	}
	p := &pending{op: op, until: n.now + within}
	n.ops[op.ID] = p
	n.order = append(n.order, op.ID)
	n.ask(p)
}

// Step takes a message. What makes no sense here is passed over: a member may be wrong about who holds what, and late.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.Shard < 0 || m.Shard >= len(n.slots) || n.bad {
		return
	}
	n.heard[m.From] = n.now
	s := &n.slots[m.Shard]
	switch m.Kind {
	case MessageOperation:
		n.serve(m.Shard, m.Operation, m.From)
	case MessageResult:
		n.answered(m)
	case MessageBallot, MessageSnapshot, MessageWrite:
		n.told(m.Shard, s, m)
	case MessageWriteAck, MessageBallotAck, MessageSnapshotRequest:
		if s.leads && m.Ballot == s.ballot {
			n.heardOf(m.Shard, s, m)
		}
	case MessageStaleBallot: // somebody else leads, or this one does in a later life: the views will say
		if s.leads && s.ballot.Less(m.Ballot) {
			s.resign()
		}
	}
}

// MarkDiskFailed tells that the disk can't be written: nothing is promised or acknowledged any more.
func (n *Node) MarkDiskFailed() { n.bad = true }

// Ready hands out what is to be done, once.
func (n *Node) Ready() Ready {
	r := n.out
	n.out = Ready{}
	if n.bad {
		r.Writes, r.Messages, r.Reports = nil, nil, nil
	}
	return r
}

// ---- Who asked here.

// ask sends an operation to whoever leads its slot.
func (n *Node) ask(p *pending) {
	num := shardmap.ShardOf(p.op.Key)
	s := &n.slots[num]
	p.next = n.now + askAgain
	if p.op.LocalOnly && !s.leads {
		n.finish(Result{OperationID: p.op.ID, Outcome: OutcomeRejected, Reason: ReasonNotPrimary})
		return
	}
	if len(s.full) == 0 {
		return
	}
	p.to = s.full[0]
	if p.to == n.cfg.ID {
		n.serve(num, p.op, n.cfg.ID)
		return
	}
	p.sent = true
	p.tries++
	p.next = n.now + resendEach
	n.send(Message{Kind: MessageOperation, To: p.to, Shard: num, Operation: p.op})
}

// answered takes a result from a primary. Only who was asked last may refuse: an older one's refusal says nothing of what the
// newer one has done.
func (n *Node) answered(m Message) {
	p := n.ops[m.Result.OperationID]
	if p == nil {
		return
	}
	if m.Result.Outcome == OutcomeRejected && passes(m.Result.Reason) {
		return // asked again when it is time
	}
	// Done by an earlier try, and written over so often since that the record does not tell any more.
	if m.Result.Outcome == OutcomeConflict && !p.op.ReadOnly && p.tries > 1 && len(m.Result.Record.PastOperationIDs) >= pastMost {
		m.Result.Outcome = OutcomeUnknown
	}
	n.finish(m.Result)
}

// passes tells whether a refusal may be over in a moment.
func passes(w RejectReason) bool {
	return w == ReasonNotPrimary || w == ReasonReconfiguring || w == ReasonTooFewReplicas
}

func (n *Node) finish(r Result) {
	if n.ops[r.OperationID] == nil {
		return
	}
	delete(n.ops, r.OperationID)
	n.order = slices.DeleteFunc(n.order, func(id string) bool { return id == r.OperationID })
	if r.Outcome == OutcomeRejected {
		n.Rejections[r.Reason]++
	}
	n.out.Results = append(n.out.Results, r)
}

// reply answers whoever asked.
func (n *Node) reply(num int, from string, r Result) {
	if from != n.cfg.ID {
		n.send(Message{Kind: MessageResult, To: from, Shard: num, Result: r})
		return
	}
	if p := n.ops[r.OperationID]; p != nil && !(r.Outcome == OutcomeRejected && passes(r.Reason)) {
		n.finish(r)
	}
}

// ---- The primary.

// lead begins a view as its primary: what this member has is what there is, as all that was promised is on each of the
// old view's holders. It serves once all holders have taken the same over.
func (n *Node) lead(num int, v shardmap.Configuration) {
	s := &n.slots[num]
	s.resign()
	s.ballot = Ballot{Configuration: v.Number, Incarnation: n.cfg.Incarnation}
	s.full, s.joining = v.InSync, v.Joining
	s.leads, s.taken, s.seq, s.since = true, true, 0, n.now
	s.peers, s.queue, s.recent = map[string]*peer{}, map[string][]queued{}, []*flight{{digest: s.digest}}
	n.write(num, s, nil, false)
	for _, id := range s.others() {
		s.peers[id] = &peer{joining: slices.Contains(s.joining, id), owes: n.now}
		n.adopt(num, s, id)
	}
}

// resign ends what this member did as primary. What was on its way is neither done nor undone: who asked is told nothing, and
// asks the next primary.
func (s *slot) resign() {
	s.leads, s.flight, s.recent, s.queue, s.peers, s.waiting = false, nil, nil, nil, nil, 0
}

// others are all holders of a slot but this member.
func (s *slot) others() []string {
	var all []string
	for i, id := range slices.Concat(s.full, s.joining) {
		if i > 0 {
			all = append(all, id)
		}
	}
	return all
}

func (n *Node) adopt(num int, s *slot, id string) {
	s.peers[id].sent = n.now
	n.send(Message{Kind: MessageBallot, To: id, Shard: num, Ballot: s.ballot, Sequence: s.seq, Digest: s.digest, InSync: s.full, Joining: s.joining})
}

// active tells whether all holders have taken the ballot over.
func (s *slot) active() bool {
	for _, p := range s.peers {
		if !p.joining && !p.adopted {
			return false
		}
	}
	return true
}

// serve has an operation done, or says why not.
func (n *Node) serve(num int, op Operation, from string) {
	s := &n.slots[num]
	refuse := func(w RejectReason) {
		n.reply(num, from, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: w})
	}
	switch {
	case n.bad:
		refuse(ReasonDiskFailed)
	case !s.leads:
		refuse(ReasonNotPrimary)
	case !s.active():
		refuse(ReasonReconfiguring)
	case len(s.full) < n.cfg.MinReplicas:
		refuse(ReasonTooFewReplicas)
	default:
		if slices.ContainsFunc(s.flight, func(f *flight) bool { return f.op.ID == op.ID }) ||
			slices.ContainsFunc(s.queue[op.Key], func(q queued) bool { return q.op.ID == op.ID }) {
			return // asked again while it is on its way
		}
		if slices.ContainsFunc(s.flight, func(f *flight) bool { return f.record.Key == op.Key }) {
			if s.waiting >= n.cfg.MaxPendingOperations {
				refuse(ReasonBusy)
				return
			}
			n.mayBeDone(op.ID, from)
			s.waiting++
			s.queue[op.Key] = append(s.queue[op.Key], queued{op, from})
			return
		}
		n.do(num, s, op, from)
	}
}

// mayBeDone notes of an operation that was asked for here that there is no saying any more that it was not done.
func (n *Node) mayBeDone(id, from string) {
	if p := n.ops[id]; p != nil && from == n.cfg.ID {
		p.sent = true
	}
}

// do decides on one operation; nothing on its key is on its way.
func (n *Node) do(num int, s *slot, op Operation, from string) {
	r := s.records[op.Key]
	there := r.Version > 0 && !r.Deleted
	f := &flight{op: op, from: from, result: Result{OperationID: op.ID, Outcome: OutcomeCommitted, Record: r}}
	switch {
	case !op.ReadOnly && (r.OperationID == op.ID || slices.Contains(r.PastOperationIDs, op.ID)):
	case op.ReadOnly, there && op.ExpectedVersion != r.Version, !there && op.ExpectedVersion != 0:
		f.result.Outcome = OutcomeConflict
	case !op.Delete && !there && (n.keys >= n.cfg.MaxKeys || n.bytes+len(op.Key)+len(op.Value) > n.cfg.MaxBytes):
		n.reply(num, from, Result{OperationID: op.ID, Outcome: OutcomeRejected, Reason: ReasonFull})
		return
	default:
		next := Record{Key: op.Key, Version: r.Version + 1, Value: op.Value, OperationID: op.ID, CreatedAt: op.CreatedAt, Deleted: op.Delete}
		if r.OperationID != "" {
			next.PastOperationIDs = append(next.PastOperationIDs, r.OperationID)
			next.PastOperationIDs = append(next.PastOperationIDs, r.PastOperationIDs[:min(len(r.PastOperationIDs), pastMost-1)]...)
		}
		n.mayBeDone(op.ID, from)
		n.set(s, next)
		n.write(num, s, []Record{next}, false)
		f.record, f.result.Record = next, next
	}
	// What is only told goes the same way: an overtaken primary, which does not know of its end yet, would tell what is over.
	n.fly(num, s, f)
}

// fly sends a write, or a word that only asks whether all holders follow yet, on its way to all of them.
func (n *Node) fly(num int, s *slot, f *flight) {
	s.seq++
	f.seq, f.digest = s.seq, s.digest
	s.flight = append(s.flight, f)
	if s.recent = append(s.recent, f); len(s.recent) > recentMost {
		s.recent = s.recent[1:]
	}
	for _, id := range s.others() {
		if s.peers[id].adopted {
			n.pass(num, s, id, f)
		}
	}
	n.settle(num, s)
}

func (n *Node) pass(num int, s *slot, id string, f *flight) {
	if p := s.peers[id]; p.owes < 0 {
		p.owes = n.now
	}
	m := Message{Kind: MessageWrite, To: id, Shard: num, Ballot: s.ballot, Sequence: f.seq}
	if f.record.Version > 0 || f.drops {
		m.Records = []Record{f.record}
	}
	n.send(m)
}

// heardOf is what a holder says to its primary.
func (n *Node) heardOf(num int, s *slot, m Message) {
	p := s.peers[m.From]
	if p == nil {
		return
	}
	p.life = m.Incarnation
	switch m.Kind {
	case MessageSnapshotRequest:
		all := make([]Record, 0, len(s.records))
		for _, r := range s.records {
			all = append(all, r)
		}
		slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
		p.adopted, p.sent = false, n.now
		n.send(Message{Kind: MessageSnapshot, To: m.From, TargetIncarnation: p.life, Shard: num, Ballot: s.ballot, Sequence: s.seq, Digest: s.digest, Records: all})
	case MessageBallotAck, MessageWriteAck:
		if m.Kind == MessageBallotAck && !p.adopted {
			if at := s.at(m.Sequence); at == nil || at.digest != m.Digest { // what it has is none of what this ballot had
				n.adopt(num, s, m.From)
				return
			}
			p.adopted = true
			p.acked = max(p.acked, m.Sequence)
			n.push(num, s, m.From)
		}
		p.acked = max(p.acked, m.Sequence)
		if p.owes = -1; p.acked < s.seq {
			p.owes = n.now
		}
		if p.joining && p.adopted && !p.told && p.acked == s.seq {
			p.told = true
			n.caught(num, s, m.From)
		}
	}
	n.settle(num, s)
}

// at is a write of this ballot, nil where it is too long ago.
func (s *slot) at(seq uint64) *flight {
	if i := int(seq) - int(s.recent[0].seq); i >= 0 && i < len(s.recent) {
		return s.recent[i]
	}
	return nil
}

// push sends a holder what it lacks: one by one, or all there is where that is too long ago.
func (n *Node) push(num int, s *slot, id string) {
	p := s.peers[id]
	p.sent = n.now
	if s.at(p.acked) == nil {
		p.adopted = false
		n.adopt(num, s, id)
		return
	}
	for seq := p.acked + 1; seq <= s.seq; seq++ {
		n.pass(num, s, id, s.at(seq))
	}
}

// settle answers for the writes that all holders have, in their order, and goes on with what waited behind them.
func (n *Node) settle(num int, s *slot) {
	for s.leads && len(s.flight) > 0 {
		f := s.flight[0]
		for _, p := range s.peers {
			if p.needed() && p.acked < f.seq {
				return
			}
		}
		s.flight = s.flight[1:]
		if !f.drops {
			n.reply(num, f.from, f.result)
		}
		if q := s.queue[f.record.Key]; (f.record.Version > 0 || f.drops) && len(q) > 0 && !slices.ContainsFunc(s.flight, func(o *flight) bool { return o.record.Key == f.record.Key }) {
			delete(s.queue, f.record.Key)
			s.waiting -= len(q)
			for _, one := range q {
				n.serve(num, one.op, one.from)
			}
		}
	}
}

// ---- The other holders.

// follow takes a ballot over in which somebody else leads.
func (n *Node) follow(num int, b Ballot, full, joining []string) {
	s := &n.slots[num]
	s.resign()
	if len(s.full) == 0 || len(full) == 0 || s.full[0] != full[0] { // one that leads on is missed from when it was heard last
		s.since = n.now
	}
	s.ballot, s.full, s.joining, s.taken, s.got = b, full, joining, false, 0
}

// told is what a primary says. Whoever was overtaken is refused, here at the place where its write would take hold.
func (n *Node) told(num int, s *slot, m Message) {
	answer := func(kind MessageKind) {
		n.send(Message{Kind: kind, To: m.From, Shard: num, Ballot: s.ballot, Sequence: s.got, Digest: s.digest})
	}
	if m.Ballot.Less(s.ballot) {
		answer(MessageStaleBallot)
		return
	}
	switch m.Kind {
	case MessageBallot:
		if len(m.InSync) == 0 || m.InSync[0] != m.From {
			return
		}
		if s.ballot.Less(m.Ballot) || s.full == nil {
			n.follow(num, m.Ballot, m.InSync, m.Joining)
			n.write(num, s, nil, false)
		}
		switch {
		case s.taken: // it came twice: what this one has may be ahead of it by now
			answer(MessageBallotAck)
		case m.Digest == s.digest:
			s.taken, s.got = true, m.Sequence
			answer(MessageBallotAck)
		default:
			answer(MessageSnapshotRequest)
		}
	case MessageSnapshot:
		switch {
		case m.Ballot != s.ballot || m.TargetIncarnation != n.cfg.Incarnation: // one of another life says nothing of what was written since
		case s.taken && m.Sequence <= s.got: // it came late: what was acknowledged since would be lost with it
			answer(MessageBallotAck)
		default:
			n.clear(s)
			for _, r := range m.Records {
				n.set(s, r)
			}
			n.write(num, s, m.Records, true)
			s.taken, s.got = true, m.Sequence
			answer(MessageBallotAck)
		}
	case MessageWrite:
		switch {
		case m.Ballot != s.ballot: // an Adopt is on its way, or is sent again
		case !s.taken:
			answer(MessageSnapshotRequest)
		default:
			if m.Sequence == s.got+1 {
				s.got++
				for _, r := range m.Records {
					n.set(s, r)
				}
				if len(m.Records) > 0 {
					n.write(num, s, m.Records, false)
				}
			}
			answer(MessageWriteAck) // of what it has, also where one before was lost
		}
	}
}

// drop forgets a slot that is held elsewhere now.
func (n *Node) drop(num int) {
	s := &n.slots[num]
	if len(s.records) > 0 {
		n.clear(s)
		n.write(num, s, nil, true)
	}
}

// ---- Time.

// look sends again what was not answered, and complains about whoever owes an answer for too long.
func (n *Node) look(num int) {
	s := &n.slots[num]
	if !s.leads {
		if len(s.full) > 0 && slices.Contains(s.full, n.cfg.ID) {
			last := max(s.since, n.heard[s.full[0]])
			if n.now-last > missAfter {
				s.since = n.now
				n.complain(num, s, s.full[0])
			}
		}
		return
	}
	for _, id := range s.others() {
		p := s.peers[id]
		if n.now-p.sent >= resendEach {
			if !p.adopted {
				n.adopt(num, s, id)
			} else if p.acked < s.seq {
				n.push(num, s, id)
			}
		}
		if p.joining && p.told && n.now-p.said > blameAfter {
			n.caught(num, s, id)
		}
		if p.owes >= 0 && n.now-p.owes > blameAfter && p.needed() {
			p.owes = n.now
			n.complain(num, s, id)
		}
	}
}

// caught says that one that joins has all there is; again and again, as the word may be lost, or whoever steers be another.
func (n *Node) caught(num int, s *slot, id string) {
	s.peers[id].said = n.now
	n.out.Reports = append(n.out.Reports, ReplicaReport{Shard: num, Configuration: s.ballot.Configuration, From: n.cfg.ID, Subject: id, CaughtUp: true})
}

func (n *Node) complain(num int, s *slot, about string) {
	n.out.Reports = append(n.out.Reports, ReplicaReport{Shard: num, Configuration: s.ballot.Configuration, From: n.cfg.ID, Subject: about})
}

// beats tells the others of the slots that this member leads that it lives, and forgets who has long said nothing.
func (n *Node) beats() {
	for id, at := range n.heard {
		if n.now-at > forgetAfter {
			delete(n.heard, id)
		}
	}
	to := map[string]bool{}
	for i := range n.slots {
		if s := &n.slots[i]; s.leads {
			for _, id := range s.others() {
				to[id] = true
			}
		}
	}
	ids := make([]string, 0, len(to))
	for id := range to {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		n.send(Message{Kind: MessageHeartbeat, To: id})
	}
}

// ---- What is held here.

func (n *Node) send(m Message) {
	m.From, m.Incarnation = n.cfg.ID, n.cfg.Incarnation
	n.out.Messages = append(n.out.Messages, m)
}

func (n *Node) write(num int, s *slot, records []Record, replace bool) {
	n.out.Writes = append(n.out.Writes, Write{Shard: num, Ballot: s.ballot, ReplaceAll: replace, Records: records})
}

func (n *Node) set(s *slot, r Record) {
	if old, there := s.records[r.Key]; there {
		s.digest ^= sum(old)
		n.keys--
		n.bytes -= len(old.Key) + len(old.Value)
	}
	if r.Version == 0 { // it is no more
		delete(s.records, r.Key)
		return
	}
	s.records[r.Key] = r
	s.digest ^= sum(r)
	n.keys++
	n.bytes += len(r.Key) + len(r.Value)
}

func (n *Node) clear(s *slot) {
	for _, r := range s.records {
		n.keys--
		n.bytes -= len(r.Key) + len(r.Value)
	}
	clear(s.records)
	s.digest = 0
}

// sum is a record's part in its slot's digest.
func sum(r Record) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0, byte(r.Version), byte(r.Version >> 8), byte(r.Version >> 16), byte(r.Version >> 24), map[bool]byte{true: 1}[r.Deleted]})
	_, _ = d.Write(r.Value)
	_, _ = d.WriteString(r.OperationID)
	for _, op := range r.PastOperationIDs {
		_, _ = d.WriteString(op)
	}
	return d.Sum64()
}

// Record is what this member has of a key: what it was told last, promised or not.
func (n *Node) Record(key string) Record { return n.slots[shardmap.ShardOf(key)].records[key] }

// Usage is how many records and bytes lie here.
func (n *Node) Usage() (keys, bytes int) { return n.keys, n.bytes }

// Keys are all keys of one prefix that lie here, sorted.
func (n *Node) Keys(prefix string) (all []string) {
	for i := range n.slots {
		for k, r := range n.slots[i].records {
			if !r.Deleted && len(k) >= len(prefix) && k[:len(prefix)] == prefix {
				all = append(all, k)
			}
		}
	}
	slices.Sort(all)
	return all
}
