// This file owns who votes: spread over sites, then zones, so that what is lost together is a minority.

package node

import (
	"cmp"
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/shardmap"
)

// settledFor is how new a majority's word has to be before a voter is replaced that could stay.
const settledFor = 2 * time.Second

// spread counts voters.
type spread struct {
	sites, zones, machines map[string]int
}

func (s spread) add(m shardmap.Member, by int) {
	s.sites[m.Site] += by
	s.zones[m.Site+"/"+m.Zone] += by
	s.machines[m.Machine] += by
}

// better orders candidates: of the site with the fewest voters, then of the zone, then by ID.
func (s spread) better(a, b shardmap.Member) int {
	return cmp.Or(cmp.Compare(s.sites[a.Site], s.sites[b.Site]), cmp.Compare(s.zones[a.Site+"/"+a.Zone], s.zones[b.Site+"/"+b.Zone]),
		cmp.Compare(a.ID, b.ID))
}

// voters has members on further machines begin to vote: as many as are lacking, all at once, or one in place of one that is no
// member any more, or of one at a site that has most of them. Two voters are never made: both would be needed then, and the second
// one may be gone already, unnoticed.
func (c *Node) voters(seen []placement.MemberStatus) {
	st, voters := c.log.State(), c.log.Voters()
	member := map[uint64]shardmap.Member{}
	for _, m := range st.Members {
		member[consensus.NodeID(m.ID)] = m
	}
	at := spread{map[string]int{}, map[string]int{}, map[string]int{}}
	stops := uint64(0)
	for _, id := range voters {
		if m, is := member[id]; is {
			at.add(m, 1)
		} else if stops == 0 && id != consensus.NodeID(c.cfg.Self.ID) {
			stops = id
		}
	}
	lacking := 1
	var least func(shardmap.Member) bool // whom the new one may be
	if len(voters) < c.cfg.VoterCount {
		lacking, stops = c.cfg.VoterCount-len(voters), 0
	} else if stops == 0 {
		if stops, least = c.crowded(seen, voters, member, at); stops == 0 {
			return
		}
	}
	var sound []shardmap.Member
	for _, m := range seen {
		if id := consensus.NodeID(m.ID); m.Alive && !m.Draining && m.StateAge >= soundFor && member[id].ID == m.ID && !slices.Contains(voters, id) &&
			(least == nil || least(m.Member)) {
			sound = append(sound, m.Member)
		}
	}
	var begin []uint64
	for len(begin) < lacking {
		sound = slices.DeleteFunc(sound, func(m shardmap.Member) bool { return at.machines[m.Machine] > 0 })
		if len(sound) == 0 {
			return
		}
		best := slices.MinFunc(sound, at.better)
		at.add(best, 1)
		begin = append(begin, consensus.NodeID(best.ID))
	}
	c.moved = c.now
	_ = c.log.ChangeVoters(begin, stops)
}

// crowded picks a voter of a site that has most of them, and tells who may take its place: one of a site that has fewer then than
// the crowded one had. 0 where none is to go: also while a voter is away or a majority has not answered since the last
// change, as that one is not needed to go on.
func (c *Node) crowded(seen []placement.MemberStatus, voters []uint64, member map[uint64]shardmap.Member, at spread) (uint64, func(shardmap.Member) bool) {
	asOf, known := c.log.AsOf()
	if !known || c.now-asOf > settledFor || asOf <= c.moved {
		return 0, nil
	}
	here := map[uint64]bool{}
	for _, m := range seen {
		here[consensus.NodeID(m.ID)] = m.Alive && !m.Draining
	}
	self := consensus.NodeID(c.cfg.Self.ID)
	var last shardmap.Member
	for _, id := range voters {
		m := member[id]
		if !here[id] {
			return 0, nil
		}
		if at.sites[m.Site]*2 > len(voters) && id != self && (last.ID == "" || at.better(m, last) > 0) {
			last = m
		}
	}
	if last.ID == "" {
		return 0, nil
	}
	most := at.sites[last.Site]
	at.add(last, -1)
	return consensus.NodeID(last.ID), func(m shardmap.Member) bool { return m.Site != last.Site && at.sites[m.Site]+1 < most }
}
