package node

import (
	"cmp"
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/shardmap"
)

const (
	voterChangeInterval = 500 * time.Millisecond // also between two attempts to transfer the leadership
	minAliveTime        = time.Second            // a new voter has been alive for so long
	maxConfirmationAge  = 2 * time.Second        // of the majority's last response, for replacing a voter that could stay
)

// voterSpread counts voters by failure domain. Voters are spread over sites, then over zones, so that what fails together is a minority.
type voterSpread struct {
	sites    map[string]int
	zones    map[string]int // by site and zone
	machines map[string]int
}

func newVoterSpread() voterSpread {
	return voterSpread{sites: map[string]int{}, zones: map[string]int{}, machines: map[string]int{}}
}

func zoneKey(m shardmap.Member) string { return m.Site + "/" + m.Zone }

func (s voterSpread) add(m shardmap.Member, count int) {
	s.sites[m.Site] += count
	s.zones[zoneKey(m)] += count
	s.machines[m.Machine] += count
}

// compare orders candidates: the best one is of the site with the fewest voters, then of the zone, then by ID.
func (s voterSpread) compare(a, b shardmap.Member) int {
	return cmp.Or(
		cmp.Compare(s.sites[a.Site], s.sites[b.Site]),
		cmp.Compare(s.zones[zoneKey(a)], s.zones[zoneKey(b)]),
		cmp.Compare(a.ID, b.ID),
	)
}

// electorate is the voters and those who may become voters.
type electorate struct {
	voters  []uint64                   // IDs in the log
	members []placement.MemberStatus   // as the gossip has them
	byID    map[uint64]shardmap.Member // of the epoch, by ID in the log
	spread  voterSpread
}

func newElectorate(voters []uint64, epoch []shardmap.Member, members []placement.MemberStatus) electorate {
	e := electorate{voters: voters, members: members, byID: map[uint64]shardmap.Member{}, spread: newVoterSpread()}
	for _, m := range epoch {
		e.byID[consensus.NodeID(m.ID)] = m
	}
	for _, id := range voters {
		if m, isMember := e.byID[id]; isMember {
			e.spread.add(m, 1)
		}
	}
	return e
}

// voterChange is a change of voters that is being prepared.
type voterChange struct {
	removed  uint64 // ID in the log, 0 for none
	missing  int    // voters to add
	eligible func(shardmap.Member) bool
}

// changeVoters makes members on other machines voters: as many as are missing, all at once, or one in place of a voter that is no member any
// more or that a crowded site has too many of. The log never goes through two voters: both would be needed then, and the second one
// may have failed unnoticed.
func (n *Node) changeVoters(members []placement.MemberStatus) {
	e := newElectorate(n.log.Voters(), n.log.State().Members, members)
	change, isNeeded := n.planVoterChange(e)
	if !isNeeded {
		return
	}
	added, ok := e.pick(e.candidates(change), change.missing)
	if !ok {
		return
	}
	n.leading.votersChangedAt = n.now
	_ = n.log.ChangeVoters(added, change.removed) // one that was lost is made again
}

// planVoterChange decides how many voters are added and which one is removed. A removed one is taken out of the spread.
func (n *Node) planVoterChange(e electorate) (voterChange, bool) {
	anyMember := func(shardmap.Member) bool { return true }
	if missing := n.cfg.VoterCount - len(e.voters); missing > 0 {
		return voterChange{missing: missing, eligible: anyMember}, true
	}
	for _, id := range e.voters {
		if _, isMember := e.byID[id]; !isMember && id != n.self {
			return voterChange{removed: id, missing: 1, eligible: anyMember}, true
		}
	}
	crowded, found := n.crowdedVoter(e)
	if !found {
		return voterChange{}, false
	}
	votersAtSite := e.spread.sites[crowded.Site]
	e.spread.add(crowded, -1)
	isBetter := func(m shardmap.Member) bool { return m.Site != crowded.Site && e.spread.sites[m.Site]+1 < votersAtSite }
	return voterChange{removed: consensus.NodeID(crowded.ID), missing: 1, eligible: isBetter}, true
}

// crowdedVoter returns a voter of a site that has a majority of them. There is none while a voter is not alive, and while a majority has not
// responded since the last change, as the removed one may be needed then.
func (n *Node) crowdedVoter(e electorate) (shardmap.Member, bool) {
	asOf, known := n.log.AsOf()
	if !known || n.now-asOf > maxConfirmationAge || asOf <= n.leading.votersChangedAt {
		return shardmap.Member{}, false
	}
	alive := map[uint64]bool{}
	for _, m := range e.members {
		alive[consensus.NodeID(m.ID)] = m.Alive && !m.Draining
	}
	var worst shardmap.Member
	found := false
	for _, id := range e.voters {
		if !alive[id] {
			return shardmap.Member{}, false
		}
		m := e.byID[id]
		isCrowded := e.spread.sites[m.Site]*2 > len(e.voters)
		if isCrowded && id != n.self && (!found || e.spread.compare(m, worst) > 0) {
			worst = m
			found = true
		}
	}
	return worst, found
}

// candidates returns the healthy members that may become voters.
func (e electorate) candidates(change voterChange) []shardmap.Member {
	var candidates []shardmap.Member
	for _, m := range e.members {
		id := consensus.NodeID(m.ID)
		isHealthy := m.Alive && !m.Draining && m.StateAge >= minAliveTime
		isMember := e.byID[id].ID == m.ID
		if isHealthy && isMember && !slices.Contains(e.voters, id) && change.eligible(m.Member) {
			candidates = append(candidates, m.Member)
		}
	}
	return candidates
}

// pick returns so many of the candidates, each on a machine without another voter; false where there are too few.
func (e electorate) pick(candidates []shardmap.Member, count int) ([]uint64, bool) {
	var picked []uint64
	for len(picked) < count {
		candidates = slices.DeleteFunc(candidates, func(m shardmap.Member) bool { return e.spread.machines[m.Machine] > 0 })
		if len(candidates) == 0 {
			return nil, false
		}
		best := slices.MinFunc(candidates, e.spread.compare)
		e.spread.add(best, 1)
		picked = append(picked, consensus.NodeID(best.ID))
	}
	return picked, true
}
