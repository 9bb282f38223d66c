package changefeed

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"sabletally/internal/fleet/shardmap"
)

const (
	siteFailureWindow = 10 * time.Second // a site where publishers of two zones failed within it is avoided
	maxFailedSites    = 16               // that are looked at
)

// localityTier is the first criterion by which a subscriber ranks publishers; lower is better.
type localityTier int

const (
	tierOwnSite localityTier = iota
	tierOtherSite
	tierSeed // its site is unknown
)

// updateMembers takes over the publishers that the items of an update name.
func (s *Subscriber) updateMembers(update Update) {
	if update.Complete {
		clear(s.members)
	}
	for _, item := range update.Items {
		id, isMember := strings.CutPrefix(item.Key, MemberPrefix)
		if !isMember {
			continue
		}
		delete(s.members, id)
		if item.Deleted {
			continue
		}
		var member shardmap.Member
		if err := json.Unmarshal(item.Value, &member); err != nil || member.ID != id || member.Addr == "" {
			s.emit(Event{Kind: EventMessageRejected, Addr: item.Key, Detail: "it names no publisher"})
			continue
		}
		s.members[id] = member
	}
	s.rankCandidates()
}

// rankCandidates sorts the publishers for this subscriber: those of its own site first, then by rendezvous hash, unknown seeds last.
func (s *Subscriber) rankCandidates() {
	for _, c := range s.candidates {
		c.isListed = false
	}
	s.ranked = s.ranked[:0]
	for _, id := range s.memberIDsByScore() {
		s.listCandidate(s.members[id], id)
	}
	for _, seed := range s.config.Seeds {
		s.listCandidate(shardmap.Member{Addr: seed}, seed)
	}
	slices.SortStableFunc(s.ranked, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(s.localityTier(a), s.localityTier(b)), -cmp.Compare(a.score, b.score), cmp.Compare(a.address, b.address))
	})
	for address, c := range s.candidates {
		if !c.isListed && c.state == stateIdle {
			delete(s.candidates, address)
		}
	}
}

// memberIDsByScore returns the IDs of all members, the best score first.
func (s *Subscriber) memberIDsByScore() []string {
	ids := make([]string, 0, len(s.members))
	for id := range s.members {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(-cmp.Compare(rendezvousScore(s.config.ID, a), rendezvousScore(s.config.ID, b)), cmp.Compare(a, b))
	})
	return ids
}

// listCandidate adds a publisher to the ranked ones, unless its address is listed already. The key is what its score is computed from.
func (s *Subscriber) listCandidate(member shardmap.Member, key string) {
	c := s.candidates[member.Addr]
	if c == nil {
		c = &candidate{address: member.Addr}
		s.candidates[member.Addr] = c
	}
	if c.isListed || len(s.ranked) >= maxCandidates {
		return
	}
	c.isListed = true
	c.id = member.ID
	c.zone = member.Zone
	c.site = member.Site
	c.score = rendezvousScore(s.config.ID, key)
	s.ranked = append(s.ranked, c)
}

func (s *Subscriber) localityTier(c *candidate) localityTier {
	switch {
	case c.id == "":
		return tierSeed
	case c.site != s.config.Site:
		return tierOtherSite
	}
	return tierOwnSite
}

// choose returns the publishers to follow now: the best ranked eligible one, and the next one of another zone; where there is no other
// zone, the next one. Publishers of suspect sites come after all others. isolated: no connection is open.
func (s *Subscriber) choose(isolated bool) []*candidate {
	suspectSites := s.suspectSites()
	var chosen []*candidate
	for _, requireOtherZone := range []bool{true, false} {
		for _, wantSuspect := range []bool{false, true} {
			for _, c := range s.ranked {
				if len(chosen) == targetPublishers {
					return chosen
				}
				isSuspect := c.id != "" && slices.Contains(suspectSites, c.site)
				if isSuspect != wantSuspect || !s.isEligible(c, isolated) || slices.Contains(chosen, c) {
					continue
				}
				if requireOtherZone && len(chosen) == 1 && c.isInZoneOf(chosen[0]) {
					continue
				}
				chosen = append(chosen, c)
			}
		}
	}
	return chosen
}

// isInZoneOf reports whether two publishers share a failure domain. The zone of a seed is unknown.
func (c *candidate) isInZoneOf(other *candidate) bool {
	return c.id != "" && c.zone == other.zone && c.site == other.site
}

// failedSite is a site where publishers failed lately.
type failedSite struct {
	name          string
	zone          string // of one of them
	multipleZones bool   // others were in another zone
}

// suspectSites returns the sites where publishers of two or more zones failed lately.
func (s *Subscriber) suspectSites() []string {
	var failed []failedSite
	for _, c := range s.ranked {
		if !c.hasFailed || s.now-c.failedAt > siteFailureWindow || c.id == "" {
			continue
		}
		index := slices.IndexFunc(failed, func(site failedSite) bool { return site.name == c.site })
		switch {
		case index >= 0:
			failed[index].multipleZones = failed[index].multipleZones || failed[index].zone != c.zone
		case len(failed) < maxFailedSites:
			failed = append(failed, failedSite{name: c.site, zone: c.zone})
		}
	}
	var suspects []string
	for _, site := range failed {
		if site.multipleZones {
			suspects = append(suspects, site.name)
		}
	}
	return suspects
}

// isEligible reports whether a candidate may be dialed. While no connection is open, candidates that failed or rejected this subscriber
// are tried again earlier: all publishers may have been restarted, or full, at once.
func (s *Subscriber) isEligible(c *candidate, isolated bool) bool {
	if !isolated || !c.rejected && !c.hasFailed {
		return s.now >= c.avoidUntil
	}
	backoff := isolatedBackoff
	if c.rejected {
		backoff = isolatedRejectBackoff
	}
	retryAt := c.failedAt + backoff/2 + time.Duration(c.score%uint64(backoff))
	return s.now >= min(c.avoidUntil, retryAt)
}
