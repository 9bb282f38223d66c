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

// Seen is how the leading member sees another one.
type Seen struct {
	shardmap.Member
	Here   bool
	Left   bool          // it said so
	Going  bool          // it will leave, and is still here
	For    time.Duration // so long it has been as it is
	Speaks int           // the newest form of words that it knows
}

// Config is what a steerer goes by.
type Config struct {
	Copies  int
	Least   int           // holders without which nothing is promised in a slot
	Evict   time.Duration // a member that is gone for so long is no part of the next epoch
	Joining int           // slots that may be copied to somebody at once
}

// Steerer is the leading member's.
type Steerer struct {
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
func New(cfg Config, now time.Duration) *Steerer {
	return &Steerer{cfg: cfg, next: now, frozen: now - freezeEach, blamed: map[blame]time.Duration{}, caught: map[blame]bool{}}
}

// Complain takes a holder's word about another one. One about a view that is over says nothing.
func (t *Steerer) Complain(now time.Duration, st *shardmap.State, c replication.Complaint) {
	v := st.Views[c.Slot]
	if c.View != v.Num || !slices.Contains(v.Full, c.From) {
		return
	}
	b := blame{c.Slot, c.View, c.About, c.From}
	if c.Caught {
		if c.From == v.Primary() {
			t.caught[b] = true
		}
	} else if c.About != c.From {
		t.blamed[b] = now
	}
	t.next = min(t.next, now)
}

// Decide answers what to propose now; false where nothing is due. Slots get their first views only once the log has its voters
// (voted): what is promised before would be out of reach with the one member that knows who holds it.
func (t *Steerer) Decide(now time.Duration, st *shardmap.State, seen []Seen, voted bool) (shardmap.Entry, bool) {
	if now < t.next || st.Fleet == "" {
		return shardmap.Entry{}, false
	}
	t.next = now + each
	e := shardmap.Entry{}
	if members, changed := t.members(st, seen); changed && now-t.frozen >= freezeEach && len(members) > 0 {
		t.frozen = now
		e.Epoch, e.Members = st.Epoch, members
	}
	if t.targets == nil || t.epoch != st.Epoch {
		t.targets, t.epoch = make([][]string, len(st.Views)), st.Epoch
		for num := range st.Views {
			t.targets[num] = shardmap.Pick(num, st.Members, t.cfg.Copies)
		}
	}
	here := map[string]bool{}
	for _, m := range seen {
		here[m.ID] = m.Here
	}
	t.tidy(now, st)
	joining := 0
	for _, v := range st.Views {
		if len(v.Joining) > 0 {
			joining++
		}
	}
	// The most endangered first: those with the fewest holders.
	order := make([]int, len(st.Views))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(st.Views[a].Full), len(st.Views[b].Full)) })
	for _, num := range order {
		if len(e.Slots) >= perEntry {
			break
		}
		v := st.Views[num]
		if v.Num == 0 && !voted {
			continue
		}
		c, is := t.slot(num, v, here, joining < t.cfg.Joining)
		if !is {
			continue
		}
		if len(v.Joining) == 0 && len(c.Joining) > 0 {
			joining++
		}
		e.Slots = append(e.Slots, c)
	}
	return e, len(e.Members) > 0 || len(e.Slots) > 0
}

// members are those of the next epoch: who is here, and who has not been gone for long.
func (t *Steerer) members(st *shardmap.State, seen []Seen) ([]shardmap.Member, bool) {
	var next []shardmap.Member
	for _, m := range seen {
		was := slices.ContainsFunc(st.Members, func(o shardmap.Member) bool { return o.ID == m.ID })
		if m.Here && !m.Going || was && !m.Going && !m.Left && m.For < t.cfg.Evict {
			next = append(next, m.Member)
		}
	}
	slices.SortFunc(next, func(a, b shardmap.Member) int { return cmp.Compare(a.ID, b.ID) })
	return next, !slices.Equal(next, st.Members)
}

// slot decides on one slot's next view: one step at a time, each of which leaves all that was promised with all of Full.
func (t *Steerer) slot(num int, v shardmap.View, here map[string]bool, room bool) (shardmap.Slot, bool) {
	target := t.targets[num]
	next := shardmap.Slot{Slot: num, Of: v.Num, Full: v.Full, Joining: v.Joining}
	if len(target) == 0 {
		return next, false
	}
	if v.Num == 0 { // nothing was ever promised in it
		next.Full = slices.DeleteFunc(slices.Clone(target), func(id string) bool { return !here[id] })
		return next, len(next.Full) >= t.cfg.Least
	}
	// Who is away or is complained about stops being one. A primary that misses all of several others is itself the one that is
	// cut off; of two that miss each other the primary stays.
	said := func(about, from string) bool { _, is := t.blamed[blame{num, v.Num, about, from}]; return is }
	primary := v.Primary()
	missed := 0
	for _, id := range v.Full[1:] {
		if here[id] && said(id, primary) {
			missed++
		}
	}
	cutOff := missed > 1 && missed == len(v.Full)-1
	bad := func(id string) bool {
		switch {
		case !here[id]:
			return true
		case id == primary:
			return cutOff || missed == 0 && slices.ContainsFunc(v.Full[1:], func(o string) bool { return here[o] && said(primary, o) })
		}
		return !cutOff && said(id, primary)
	}
	well := slices.DeleteFunc(slices.Clone(v.Full), bad)
	if len(well) == 0 {
		return next, false
	}
	// Fewer than the least are never left: nothing is promised by them, and if the last one is lost while the others are only out of
	// reach, what those have on their disks is lost with it. Who is away stays behind those that are here, until others have joined.
	next.Full = slices.Clone(well)
	for _, id := range v.Full {
		if len(next.Full) < min(t.cfg.Least, len(v.Full)) && !slices.Contains(well, id) {
			next.Full = append(next.Full, id)
		}
	}
	next.Joining = slices.DeleteFunc(slices.Clone(v.Joining), func(id string) bool { return bad(id) || !slices.Contains(target, id) })
	if !slices.Equal(next.Full, v.Full) || len(next.Joining) < len(v.Joining) {
		return next, true
	}
	// Who has caught up is one from now on.
	for _, id := range v.Joining {
		if t.caught[blame{num, v.Num, id, primary}] && slices.Contains(next.Joining, id) {
			next.Full = append(slices.Clone(next.Full), id)
			next.Joining = slices.DeleteFunc(slices.Clone(next.Joining), func(j string) bool { return j == id })
			return next, true
		}
	}
	// Who should be one and is not begins to be copied to.
	var lacks []string
	for _, id := range target {
		if here[id] && !slices.Contains(next.Full, id) {
			lacks = append(lacks, id)
		}
	}
	if len(lacks) > 0 && (len(next.Joining) > 0 || room) {
		next.Joining = lacks
		return next, !slices.Equal(lacks, v.Joining)
	}
	// Who should not be one stops, once all that should be are; and the first of the ranking leads.
	if len(lacks) == 0 && !slices.ContainsFunc(target, func(id string) bool { return !here[id] }) {
		next.Full, next.Joining = target, nil
		return next, !slices.Equal(target, v.Full)
	}
	return next, false
}

// tidy forgets what was said of views that are over, or long ago.
func (t *Steerer) tidy(now time.Duration, st *shardmap.State) {
	for b, at := range t.blamed {
		if st.Views[b.slot].Num != b.view || now-at > believe {
			delete(t.blamed, b)
		}
	}
	for b := range t.caught {
		if st.Views[b.slot].Num != b.view {
			delete(t.caught, b)
		}
	}
}
