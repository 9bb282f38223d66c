// This file owns the agreed state as versioned changes: from the log, where this member votes, and from others' answers.

package node

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/shardmap"
)

const (
	pollsMost    = 16   // questions whose answer is waited for
	changesMost  = 4096 // of the newest changes that are kept, and their bytes
	changesBytes = 4 << 20
	tellMost     = 1 << 20 // bytes of changes in one answer
)

// polls are the times of questions that are out, by number.
type polls map[uint64]time.Duration

// sent numbers a question. The oldest is forgotten where too many are out.
func (p polls) sent(now time.Duration) uint64 {
	first, last := uint64(0), uint64(0)
	for n := range p {
		if first == 0 || n < first {
			first = n
		}
		last = max(last, n)
	}
	if len(p) >= pollsMost {
		delete(p, first)
	}
	number := max(last+1, uint64(now)) // of a process before this one none is as great
	p[number] = now
	return number
}

// FeedState is the newest that is agreed, as far as is known here, as a map. It is not to be changed.
func (c *Node) FeedState() *changefeed.State { return c.feed.State() }

// FeedSnapshot is the same as one message.
func (c *Node) FeedSnapshot() *changefeed.Snapshot { return c.feed.Snapshot() }

// ChangeCount is how many of the newest changes are kept here.
func (c *Node) ChangeCount() int { return c.feed.Changes() }

// AsOf is the time up to which this member knows that nothing was agreed but what it knows; false where it has not heard yet.
func (c *Node) AsOf() (time.Duration, bool) {
	at, known := c.log.AsOf()
	if c.asKnow {
		at, known = max(at, c.asOf), true
	}
	return at, known
}

// since answers a poll of the newer form.
func (c *Node) since(p *PollRequest, t *PollResponse) {
	if p.Version == c.feed.Version() && p.Digest == c.feed.Digest() || c.feed.Version() == 0 || p.Version > c.feed.Version() {
		return
	}
	changes, is := c.feed.ChangesSince(p.Version, p.Digest)
	if !is {
		t.Snapshot = c.feed.Snapshot()
		return
	}
	size := 0
	for i, one := range changes {
		for _, item := range one.Items {
			size += len(item.Key) + len(item.Value)
		}
		if size > tellMost && i > 0 {
			break
		}
		t.Changes = append(t.Changes, one)
	}
}

// toldChanges takes an answer of the newer form.
func (c *Node) toldChanges(t *PollResponse) {
	at, asked := c.polls[t.RequestNumber]
	delete(c.polls, t.RequestNumber)
	if t.Snapshot != nil {
		c.replace(t.Snapshot)
	}
	for _, one := range t.Changes {
		if one.Version <= c.feed.Version() {
			continue
		}
		if err := c.feed.Apply(*one); err != nil { // the next answer mends it, by a snapshot where the digest is another
			if !errors.Is(err, changefeed.ErrOutOfOrder) {
				c.odd("a change that does not fit", one.Version, err)
			}
			break
		}
		c.out.Changes = append(c.out.Changes, one)
		c.take(one.Items, one.Version)
	}
	if t.Version == c.feed.Version() && t.Digest != c.feed.Digest() {
		c.conflict(t.Version)
		return
	}
	if asked && t.HasAge && t.Version <= c.feed.Version() && (!c.asKnow || at-t.Age > c.asOf) {
		c.asOf, c.asKnow = at-t.Age, true
	}
}

// heard takes over what the log has come to.
func (c *Node) heard(r consensus.Ready) {
	if r.Snapshot != nil {
		c.replace(r.Snapshot)
	}
	for _, one := range r.Changes {
		if one.Version <= c.feed.Version() {
			continue // it was told of before
		}
		if one.Version != c.feed.Version()+1 {
			c.replace(consensus.SnapshotOf(c.log.State()))
			break
		}
		change, err := c.feed.Append(one.Items)
		if err != nil {
			c.odd("an agreed change that can't be taken", one.Version, err)
			break
		}
		c.out.Changes = append(c.out.Changes, &change)
		c.take(one.Items, one.Version)
	}
	for _, d := range r.PutResults {
		c.ended(d)
	}
}

// replace takes a whole state, if it is newer.
func (c *Node) replace(s *changefeed.Snapshot) {
	if s.Version < max(1, c.feed.Version()) || s.Version == c.feed.Version() && s.Digest == c.feed.Digest() {
		return
	}
	if err := c.feed.Install(*s); errors.Is(err, changefeed.ErrConflict) {
		c.conflict(s.Version)
		return
	} else if err != nil {
		c.odd("a state that can't be taken", s.Version, err)
		return
	}
	c.out.Installed, c.out.Changes = s, nil
	c.take(s.Items, s.Version)
}

// take has what is known be what items say. Views are never taken back to an older one.
func (c *Node) take(items []changefeed.Item, version uint64) {
	epoch, fleet, members := c.known.Epoch, c.known.FleetID, c.known.Members
	next := *c.known
	next.Configurations = slices.Clone(c.known.Configurations)
	var changed []int
	for _, one := range items {
		num, is := shardmap.ShardFromKey(one.Key)
		if is {
			changed = append(changed, num)
		}
		if err := next.SetValue(one.Key, one.Value, one.Deleted); err != nil {
			c.odd("an item that can't be read", version, err)
		}
	}
	if c.out.Installed != nil && c.out.Installed.Version == version { // who is not in it is no member
		next.Members = slices.DeleteFunc(slices.Clone(next.Members), func(m shardmap.Member) bool {
			_, is := c.feed.State().Get(shardmap.MemberKey(m.ID))
			return !is
		})
	}
	c.known.FleetID, c.known.Epoch, c.known.Members, c.known.Version = next.FleetID, next.Epoch, next.Members, version
	if !slices.Equal(members, next.Members) || epoch != next.Epoch {
		c.members = version
	}
	for _, num := range changed {
		if v := next.Configurations[num]; v.Number > c.known.Configurations[num].Number {
			c.view(num, v, version)
		}
	}
	c.wrote(epoch != c.known.Epoch || fleet != c.known.FleetID)
}

// conflict tells once that there are two histories: of one version, with other contents.
func (c *Node) conflict(version uint64) {
	if !c.split {
		c.split = true
		c.out.Events = append(c.out.Events, Event{Message: "two histories: one version of the agreed state with other contents", IsAlert: true, Version: version})
	}
}

// odd tells once of a kind of fault.
func (c *Node) odd(what string, version uint64, err error) {
	if c.oddly == nil {
		c.oddly = map[string]bool{}
	}
	if !c.oddly[what] {
		c.oddly[what] = true
		c.out.Events = append(c.out.Events, Event{Message: what, IsAlert: true, Version: version, Detail: err.Error()})
	}
}

// ---- What operators put.

const (
	putsMost   = 1024 // that wait here, or at the log's leader
	pushEach   = 300 * time.Millisecond
	unanswered = "no answer in time: it may have taken hold; asked again as the same operation it is answered with the same version"
)

// put is one that was asked for here.
type put struct {
	put   shardmap.Put
	until time.Duration
	next  time.Duration // when the leader is asked again
}

// propose is one at the leader.
type propose struct {
	put   shardmap.Put
	froms map[string]bool // who asked
	next  time.Duration   // when it is put before the others again
}

// Put has an operators' item changed within a span; how it ended comes with a Ready, under its operation. Asked for again with the
// same operation meanwhile it is the same one.
func (c *Node) Put(p shardmap.Put, within time.Duration) {
	if err := p.Validate(); err != nil {
		c.out.PutResults = append(c.out.PutResults, shardmap.PutResult{OperationID: p.OperationID, Rejection: err.Error()})
		return
	}
	if len(c.puts) >= putsMost {
		c.out.PutResults = append(c.out.PutResults, shardmap.PutResult{OperationID: p.OperationID, Rejection: "busy: too many changes wait"})
		return
	}
	c.puts[p.OperationID] = &put{put: p, until: c.now + within, next: c.now}
	c.push()
}

// push asks the leader for what was asked for here, again and again.
func (c *Node) push() {
	for _, op := range slices.Sorted(maps.Keys(c.puts)) {
		p := c.puts[op]
		if c.now >= p.until {
			c.done(shardmap.PutResult{OperationID: op, Rejection: unanswered})
			continue
		}
		if c.now < p.next {
			continue
		}
		p.next = c.now + pushEach
		switch {
		case c.log.IsLeader():
			c.asked(c.cfg.Self.ID, p.put)
		case c.leader != "" && c.leader != c.cfg.Self.ID:
			c.send(Packet{To: c.leader, PutRequest: &p.put})
		}
	}
}

// asked takes a put at the leader.
func (c *Node) asked(from string, p shardmap.Put) {
	if !c.log.IsLeader() {
		return // whoever asks hears soon who does
	}
	refuse := func(why string) { c.answer(from, shardmap.PutResult{OperationID: p.OperationID, Rejection: why}) }
	if d, is := c.log.State().PutResult(p.OperationID); is {
		c.answer(from, d)
		return
	}
	one := c.propose[p.OperationID]
	if one == nil {
		if why := c.older(); why != "" {
			refuse(why)
			return
		}
		if err := p.Validate(); err != nil {
			refuse(err.Error())
			return
		}
		if len(c.propose) >= putsMost {
			refuse("busy: too many changes wait")
			return
		}
		one = &propose{put: p, froms: map[string]bool{}}
		c.propose[p.OperationID] = one
	}
	one.froms[from] = true
	if c.now >= one.next { // lost where the library has no room: then at the next time that it is asked for
		one.next = c.now + time.Second
		_ = c.log.Propose(shardmap.Entry{Puts: []shardmap.Put{one.put}})
	}
}

// older says which member of the epoch does not speak of operators' items yet; empty where all do.
func (c *Node) older() string {
	st := c.log.State()
	if st.Epoch == 0 {
		return "the fleet has no members yet"
	}
	speaks := map[string]int{c.cfg.Self.ID: ProtocolVersion}
	for _, m := range c.seen {
		speaks[m.ID] = m.Form
	}
	used := len(st.RecentPuts) > 0 // all did once: one that is not seen any more is away
	for _, m := range st.Members {
		if form, seen := speaks[m.ID]; form < ProtocolVersion && (seen || !used) {
			return fmt.Sprintf("member %s at %s is of an older program, or was not heard: replace it first", m.ID, m.Addr)
		}
	}
	return ""
}

// ended takes what the log says of a put.
func (c *Node) ended(d shardmap.PutResult) {
	one := c.propose[d.OperationID]
	if one == nil {
		return
	}
	delete(c.propose, d.OperationID)
	for _, from := range slices.Sorted(maps.Keys(one.froms)) {
		c.answer(from, d)
	}
}

func (c *Node) answer(to string, d shardmap.PutResult) {
	if to == c.cfg.Self.ID {
		c.done(d)
	} else {
		c.send(Packet{To: to, PutResult: &d})
	}
}

// done ends a put that was asked for here.
func (c *Node) done(d shardmap.PutResult) {
	if c.puts[d.OperationID] != nil {
		delete(c.puts, d.OperationID)
		c.out.PutResults = append(c.out.PutResults, d)
	}
}
