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
	siteFailureWindow = 10 * time.Second // a site is suspect if publishers of two of its zones failed within this time
	maxFailedSites    = 16               // maximum number of sites with failures that suspectSites considers
)

// localityTier is a publisher's distance class, the first criterion by which a subscriber ranks publishers. A lower tier ranks first.
type localityTier int

const (
	tierOwnSite   localityTier = iota // the publisher is in the subscriber's site
	tierOtherSite                     // the publisher is in another site
	tierSeed                          // the publisher is known only as a seed, without its site
)

// updateMembers updates the list of publishers from the member items of an update, and ranks them anew.
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
			s.emit(Event{Kind: EventMessageRejected, Addr: item.Key, Detail: "invalid member item"})
			continue
		}
		s.members[id] = member
	}
	s.rankCandidates()
}

// rankCandidates ranks the publishers for this subscriber by locality tier and then by rendezvous score, the highest first. It forgets idle
// candidates that neither the state nor the seeds name.
func (s *Subscriber) rankCandidates() {
	for _, c := range s.candidates {
		c.isListed = false
	}
	s.rankedCandidates = s.rankedCandidates[:0]
	for _, id := range s.memberIDsByScore() {
		s.listCandidate(s.members[id], id)
	}
	for _, seed := range s.config.Seeds {
		s.listCandidate(shardmap.Member{Addr: seed}, seed)
	}
	slices.SortStableFunc(s.rankedCandidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(s.localityTier(a), s.localityTier(b)), -cmp.Compare(a.score, b.score), cmp.Compare(a.address, b.address))
	})
	for address, c := range s.candidates {
		if !c.isListed && c.state == stateIdle {
			delete(s.candidates, address)
		}
	}
}

// memberIDsByScore returns the IDs of all members, the highest rendezvous score first.
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

// listCandidate adds a publisher to the ranked candidates, unless its address is listed already or there are maxCandidates. Its score is
// computed from the key.
func (s *Subscriber) listCandidate(member shardmap.Member, key string) {
	c := s.candidates[member.Addr]
	if c == nil {
		c = &candidate{address: member.Addr}
		s.candidates[member.Addr] = c
	}
	if c.isListed || len(s.rankedCandidates) >= maxCandidates {
		return
	}
	c.isListed = true
	c.id = member.ID
	c.zone = member.Zone
	c.site = member.Site
	c.score = rendezvousScore(s.config.ID, key)
	s.rankedCandidates = append(s.rankedCandidates, c)
}

// localityTier returns the locality tier of a candidate for this subscriber.
func (s *Subscriber) localityTier(c *candidate) localityTier {
	switch {
	case c.id == "":
		return tierSeed
	case c.site != s.config.Site:
		return tierOtherSite
	}
	return tierOwnSite
}

// choosePublishers returns the publishers to follow now: the best ranked eligible one and the next one in another zone, or in the same zone
// if no other zone has one. Publishers of suspect sites rank after all others. isolated means that no connection is open.
func (s *Subscriber) choosePublishers(isolated bool) []*candidate {
	suspectSites := s.suspectSites()
	var chosen []*candidate
	for _, requireOtherZone := range []bool{true, false} {
		for _, wantSuspect := range []bool{false, true} {
			for _, c := range s.rankedCandidates {
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

// isInZoneOf reports whether two publishers are known to be in the same zone of the same site. The zone of a seed is unknown.
func (c *candidate) isInZoneOf(other *candidate) bool {
	return c.id != "" && c.zone == other.zone && c.site == other.site
}

// failedSite is a site where publishers failed within siteFailureWindow.
type failedSite struct {
	name             string
	zone             string // zone of one of the failed publishers
	hasMultipleZones bool   // publishers of at least one other zone failed, too
}

// suspectSites returns the sites where publishers of two or more zones failed within siteFailureWindow.
func (s *Subscriber) suspectSites() []string {
	var failed []failedSite
	for _, c := range s.rankedCandidates {
		if !c.hasFailed || s.now-c.failedAt > siteFailureWindow || c.id == "" {
			continue
		}
		index := slices.IndexFunc(failed, func(site failedSite) bool { return site.name == c.site })
		switch {
		case index >= 0:
			failed[index].hasMultipleZones = failed[index].hasMultipleZones || failed[index].zone != c.zone
		case len(failed) < maxFailedSites:
			failed = append(failed, failedSite{name: c.site, zone: c.zone})
		}
	}
	var suspects []string
	for _, site := range failed {
		if site.hasMultipleZones {
			suspects = append(suspects, site.name)
		}
	}
	return suspects
}

// isEligible reports whether a candidate may be chosen. While no connection is open, candidates that failed or rejected this subscriber
// are eligible again earlier, because all publishers may have been restarted or full at once.
func (s *Subscriber) isEligible(c *candidate, isolated bool) bool {
	if !isolated || !c.hasRejected && !c.hasFailed {
		return s.now >= c.avoidUntil
	}
	backoff := isolatedBackoff
	if c.hasRejected {
		backoff = isolatedRejectBackoff
	}
	retryAt := c.failedAt + backoff/2 + time.Duration(c.score%uint64(backoff))
	return s.now >= min(c.avoidUntil, retryAt)
}
