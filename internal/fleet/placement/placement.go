// Package placement decides which views the slots are to have: who stops being a holder, who begins to be one, who leads. It runs at
// the member that leads the agreed log, on what that one sees of the others, and is pure: what it decides takes hold only once it
// is agreed, and is decided anew where it was overtaken. It must never leave out the last holder of what was promised: a slot whose
// holders are all away waits for one of them, or for an operator's word.
package placement

import (
	"cmp"
	"slices"
	"time"

	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	each       = 100 * time.Millisecond // how often it looks
	freezeEach = 2 * time.Second        // an epoch each, at most: who comes together is in one
	believe    = 5 * time.Second        // a complaint counts for so long
	perEntry   = 64                     // changes of slots in one entry
)

// MemberStatus is how the leading member sees another one.
type MemberStatus struct {
	shardmap.Member
	Alive    bool
	Left     bool          // it said so
	Draining bool          // it will leave, and is still here
	StateAge time.Duration // so long it has been as it is
	Form     int           // the newest form of words that it knows
}

// Config is what a steerer goes by.
type Config struct {
	ReplicationFactor int
	MinReplicas       int           // holders without which nothing is promised in a slot
	EvictAfter        time.Duration // a member that is gone for so long is no part of the next epoch
	MaxJoiningShards  int           // slots that may be copied to somebody at once
}

// Planner is the leading member's.
type Planner struct {
	cfg    Config
	next   time.Duration
	frozen time.Duration
	blamed map[blame]time.Duration
	caught map[blame]bool

	targets [][]string // by slot, for the epoch
	epoch   uint64
}

// blame is what was said of a member in a slot's view.
type blame struct {
	slot  int
	view  uint64
	about string
	from  string
}

// New begins with nothing known, as whoever leads does.
func New(cfg Config, now time.Duration) *Planner {
	return &Planner{cfg: cfg, next: now, frozen: now - freezeEach, blamed: map[blame]time.Duration{}, caught: map[blame]bool{}}
}

// Report takes a holder's word about another one. One about a view that is over says nothing.
func (t *Planner) Report(now time.Duration, st *shardmap.State, c replication.ReplicaReport) {
	v := st.Configurations[c.Shard]
	if c.Configuration != v.Number || !slices.Contains(v.InSync, c.From) {
		return
	}
	b := blame{c.Shard, c.Configuration, c.Subject, c.From}
	if c.CaughtUp {
		if c.From == v.Primary() {
			t.caught[b] = true
		}
	} else if c.Subject != c.From {
		t.blamed[b] = now
	}
	t.next = min(t.next, now)
}

// Propose answers what to propose now; false where nothing is due. Slots get their first views only once the log has its voters
// (voted): what is promised before would be out of reach with the one member that knows who holds it.
func (t *Planner) Propose(now time.Duration, st *shardmap.State, seen []MemberStatus, voted bool) (shardmap.Entry, bool) {
	if now < t.next || st.FleetID == "" {
		return shardmap.Entry{}, false
	}
	t.next = now + each
	e := shardmap.Entry{}
	if members, changed := t.members(st, seen); changed && now-t.frozen >= freezeEach && len(members) > 0 {
		t.frozen = now
		e.BaseEpoch, e.Members = st.Epoch, members
	}
	if t.targets == nil || t.epoch != st.Epoch {
		t.targets, t.epoch = make([][]string, len(st.Configurations)), st.Epoch
		for num := range st.Configurations {
			t.targets[num] = shardmap.PickReplicas(num, st.Members, t.cfg.ReplicationFactor)
		}
	}
	here := map[string]bool{}
	for _, m := range seen {
		here[m.ID] = m.Alive
	}
	t.tidy(now, st)
	joining := 0
	for _, v := range st.Configurations {
		if len(v.Joining) > 0 {
			joining++
		}
	}
	// The most endangered first: those with the fewest holders.
	order := make([]int, len(st.Configurations))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(len(st.Configurations[a].InSync), len(st.Configurations[b].InSync))
	})
	for _, num := range order {
		if len(e.ShardChanges) >= perEntry {
			break
		}
		v := st.Configurations[num]
		if v.Number == 0 && !voted {
			continue
		}
		c, is := t.slot(num, v, here, joining < t.cfg.MaxJoiningShards)
		if !is {
			continue
		}
		if len(v.Joining) == 0 && len(c.Joining) > 0 {
			joining++
		}
		e.ShardChanges = append(e.ShardChanges, c)
	}
	return e, len(e.Members) > 0 || len(e.ShardChanges) > 0
}

// members are those of the next epoch: who is here, and who has not been gone for long.
func (t *Planner) members(st *shardmap.State, seen []MemberStatus) ([]shardmap.Member, bool) {
	var next []shardmap.Member
	for _, m := range seen {
		was := slices.ContainsFunc(st.Members, func(o shardmap.Member) bool { return o.ID == m.ID })
		if m.Alive && !m.Draining || was && !m.Draining && !m.Left && m.StateAge < t.cfg.EvictAfter {
			next = append(next, m.Member)
		}
	}
	slices.SortFunc(next, func(a, b shardmap.Member) int { return cmp.Compare(a.ID, b.ID) })
	return next, !slices.Equal(next, st.Members)
}

// slot decides on one slot's next view: one step at a time, each of which leaves all that was promised with all of Full.
func (t *Planner) slot(num int, v shardmap.Configuration, here map[string]bool, room bool) (shardmap.ShardChange, bool) {
	target := t.targets[num]
	next := shardmap.ShardChange{Shard: num, BaseNumber: v.Number, InSync: v.InSync, Joining: v.Joining}
	if len(target) == 0 {
		return next, false
	}
	if v.Number == 0 { // nothing was ever promised in it
		next.InSync = slices.DeleteFunc(slices.Clone(target), func(id string) bool { return !here[id] })
		return next, len(next.InSync) >= t.cfg.MinReplicas
	}
	// Who is away or is complained about stops being one. A primary that misses all of several others is itself the one that is
	// cut off; of two that miss each other the primary stays.
	said := func(about, from string) bool { _, is := t.blamed[blame{num, v.Number, about, from}]; return is }
	primary := v.Primary()
	missed := 0
	for _, id := range v.InSync[1:] {
		if here[id] && said(id, primary) {
			missed++
		}
	}
	cutOff := missed > 1 && missed == len(v.InSync)-1
	bad := func(id string) bool {
		switch {
		case !here[id]:
			return true
		case id == primary:
			return cutOff || missed == 0 && slices.ContainsFunc(v.InSync[1:], func(o string) bool { return here[o] && said(primary, o) })
		}
		return !cutOff && said(id, primary)
	}
	well := slices.DeleteFunc(slices.Clone(v.InSync), bad)
	if len(well) == 0 {
		return next, false
	}
	// Fewer than the least are never left: nothing is promised by them, and if the last one is lost while the others are only out of
	// reach, what those have on their disks is lost with it. Who is away stays behind those that are here, until others have joined.
	next.InSync = slices.Clone(well)
	for _, id := range v.InSync {
		if len(next.InSync) < min(t.cfg.MinReplicas, len(v.InSync)) && !slices.Contains(well, id) {
			next.InSync = append(next.InSync, id)
		}
	}
	next.Joining = slices.DeleteFunc(slices.Clone(v.Joining), func(id string) bool { return bad(id) || !slices.Contains(target, id) })
	if !slices.Equal(next.InSync, v.InSync) || len(next.Joining) < len(v.Joining) {
		return next, true
	}
	// Who has caught up is one from now on.
	for _, id := range v.Joining {
		if t.caught[blame{num, v.Number, id, primary}] && slices.Contains(next.Joining, id) {
			next.InSync = append(slices.Clone(next.InSync), id)
			next.Joining = slices.DeleteFunc(slices.Clone(next.Joining), func(j string) bool { return j == id })
			return next, true
		}
	}
	// Who should be one and is not begins to be copied to.
	var lacks []string
	for _, id := range target {
		if here[id] && !slices.Contains(next.InSync, id) {
			lacks = append(lacks, id)
		}
	}
	if len(lacks) > 0 && (len(next.Joining) > 0 || room) {
		next.Joining = lacks
		return next, !slices.Equal(lacks, v.Joining)
	}
	// Who should not be one stops, once all that should be are; and the first of the ranking leads.
	if len(lacks) == 0 && !slices.ContainsFunc(target, func(id string) bool { return !here[id] }) {
		next.InSync, next.Joining = target, nil
		return next, !slices.Equal(target, v.InSync)
	}
	return next, false
}

// tidy forgets what was said of views that are over, or long ago.
func (t *Planner) tidy(now time.Duration, st *shardmap.State) {
	for b, at := range t.blamed {
		if st.Configurations[b.slot].Number != b.view || now-at > believe {
			delete(t.blamed, b)
		}
	}
	for b := range t.caught {
		if st.Configurations[b.slot].Number != b.view {
			delete(t.caught, b)
		}
	}
}
