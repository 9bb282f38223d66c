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
	voterChangeInterval = 500 * time.Millisecond // time between two voter changes, and between two attempts to transfer the leadership
	minAliveTime        = time.Second            // time for which a member must have been alive before it becomes a voter
	maxConfirmationAge  = 2 * time.Second        // maximum age of a majority's last response when a voter is replaced to spread voters better
)

// voterSpread counts voters by failure domain. Voters are spread over sites, then over zones, so that those that fail together are a minority.
type voterSpread struct {
	sites    map[string]int
	zones    map[string]int // number of voters by zoneKey, which contains the site
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

// compareCandidates orders candidates, the best one first: by the number of voters at their site, then in their zone, then by ID.
func (s voterSpread) compareCandidates(a, b shardmap.Member) int {
	return cmp.Or(
		cmp.Compare(s.sites[a.Site], s.sites[b.Site]),
		cmp.Compare(s.zones[zoneKey(a)], s.zones[zoneKey(b)]),
		cmp.Compare(a.ID, b.ID),
	)
}

// electorate is the input of a voter change: the current voters and the members that may become voters.
type electorate struct {
	voters  []uint64                   // IDs of the voters in the log
	members []placement.MemberStatus   // all members that the gossip knows
	byID    map[uint64]shardmap.Member // members of the epoch, by ID in the log
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

// voterChange is a planned change of the set of voters.
type voterChange struct {
	removed  uint64                     // ID in the log of the voter to remove, 0 for none
	missing  int                        // number of voters to add
	eligible func(shardmap.Member) bool // reports whether a member may be added
}

// changeVoters makes members voters, each on a machine without another voter: as many as are missing, all in one change, or one in place of a
// voter that is no longer a member of the epoch or whose site has a majority of the voters. Missing voters are added in one change so that the
// log never has two voters: both would be needed then, and the second one may have failed unnoticed.
func (n *Node) changeVoters(members []placement.MemberStatus) {
	e := newElectorate(n.log.Voters(), n.log.State().Members, members)
	change, isNeeded := n.planVoterChange(e)
	if !isNeeded {
		return
	}
	added, ok := e.pickVoters(e.candidates(change), change.missing)
	if !ok {
		return
	}
	n.leadership.votersChangedAt = n.now
	_ = n.log.ChangeVoters(added, change.removed) // a lost change is planned again after voterChangeInterval
}

// planVoterChange returns the change that is needed, if any. A surplus voter that the change removes is no longer counted in e.spread then.
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
	surplus, found := n.findVoterOfMajoritySite(e)
	if !found {
		return voterChange{}, false
	}
	votersAtSite := e.spread.sites[surplus.Site]
	e.spread.add(surplus, -1)
	reducesImbalance := func(m shardmap.Member) bool { return m.Site != surplus.Site && e.spread.sites[m.Site]+1 < votersAtSite }
	return voterChange{removed: consensus.NodeID(surplus.ID), missing: 1, eligible: reducesImbalance}, true
}

// findVoterOfMajoritySite returns a voter at a site that has a majority of the voters. It returns none while any voter is not alive and while no
// majority has responded since the last change, because the voter to remove may be needed then.
func (n *Node) findVoterOfMajoritySite(e electorate) (shardmap.Member, bool) {
	asOf, known := n.log.ConfirmedAt()
	if !known || n.now-asOf > maxConfirmationAge || asOf <= n.leadership.votersChangedAt {
		return shardmap.Member{}, false
	}
	alive := map[uint64]bool{}
	for _, m := range e.members {
		alive[consensus.NodeID(m.ID)] = m.Alive && !m.Draining
	}
	var surplus shardmap.Member
	found := false
	for _, id := range e.voters {
		if !alive[id] {
			return shardmap.Member{}, false
		}
		m := e.byID[id]
		inMajoritySite := e.spread.sites[m.Site]*2 > len(e.voters)
		if inMajoritySite && id != n.self && (!found || e.spread.compareCandidates(m, surplus) > 0) {
			surplus = m
			found = true
		}
	}
	return surplus, found
}

// candidates returns the healthy members of the epoch that are eligible as new voters.
func (e electorate) candidates(change voterChange) []shardmap.Member {
	var candidates []shardmap.Member
	for _, m := range e.members {
		id := consensus.NodeID(m.ID)
		isHealthy := m.Alive && !m.Draining && m.StateAge >= minAliveTime
		isEpochMember := e.byID[id].ID == m.ID
		if isHealthy && isEpochMember && !slices.Contains(e.voters, id) && change.eligible(m.Member) {
			candidates = append(candidates, m.Member)
		}
	}
	return candidates
}

// pickVoters returns the IDs in the log of count candidates, each on a machine without another voter; false if there are too few.
func (e electorate) pickVoters(candidates []shardmap.Member, count int) ([]uint64, bool) {
	var picked []uint64
	for len(picked) < count {
		candidates = slices.DeleteFunc(candidates, func(m shardmap.Member) bool { return e.spread.machines[m.Machine] > 0 })
		if len(candidates) == 0 {
			return nil, false
		}
		best := slices.MinFunc(candidates, e.spread.compareCandidates)
		e.spread.add(best, 1)
		picked = append(picked, consensus.NodeID(best.ID))
	}
	return picked, true
}
