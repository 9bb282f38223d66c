package feedsim

import (
	"fmt"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// commit appends a version to the log and records the state that every subscriber has to have at it.
func (w *World) commit(items []changefeed.Item) {
	c, err := w.log.Append(items)
	if err != nil {
		w.fail(UnexpectedFailure, "the log rejected a change: %v", err)
		return
	}
	last := w.versions[len(w.versions)-1]
	v := version{at: w.now, digest: c.DigestAfter, itemsHash: last.itemsHash}
	for _, i := range items {
		if old, exists := w.itemHashes()[i.Key]; exists {
			v.itemsHash -= old
			delete(w.itemHashes(), i.Key)
		}
		if !i.Deleted {
			w.itemHashes()[i.Key] = itemHash(i)
			v.itemsHash += itemHash(i)
		}
	}
	w.versions = append(w.versions, v)
}

// isRunning reports whether a process is up and not stalled.
func (w *World) isRunning(n *process) bool { return n.up && n.stalledUntil <= w.now }

// canLead reports whether a publisher reaches a quorum of voters in both directions.
func (w *World) canLead(pub *publisher) bool {
	if !w.isRunning(&pub.process) {
		return false
	}
	reachable := 0
	for _, v := range w.publishers[:voters] {
		if w.isRunning(&v.process) && !w.isCut(&pub.process, &v.process) && !w.isCut(&v.process, &pub.process) {
			reachable++
		}
	}
	return 2*reachable > voters
}

// putChange commits a change at random times, in one of 40 cases a burst of 100 changes, and schedules the next one.
func (w *World) putChange() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Rate*float64(time.Second)), w.putChange)
	count := 1
	if w.rng.IntN(40) == 0 {
		count = 100
	}
	for i := range count {
		w.after(time.Duration(i)*10*time.Millisecond, func() {
			if w.leader < 0 || !w.canLead(w.publishers[w.leader]) || w.changesOver {
				return
			}
			w.puts++
			key := fmt.Sprintf("%sk%d", changefeed.ConfigPrefix, w.rng.IntN(60))
			item := changefeed.Item{Key: key, Value: fmt.Appendf(nil, "%d %0*d", w.puts, w.rng.IntN(200), 0)}
			if w.rng.IntN(10) == 0 {
				item = changefeed.Item{Key: key, Deleted: true}
			}
			items := []changefeed.Item{item}
			if w.rng.IntN(50) == 0 { // the record of a member is written again, unchanged
				pub := w.publishers[w.rng.IntN(len(w.publishers))]
				v, _ := w.log.State().Get(changefeed.MemberPrefix + pub.addr)
				items = append(items, changefeed.Item{Key: changefeed.MemberPrefix + pub.addr, Value: v})
			}
			w.commit(items)
		})
	}
}

// pollLog has a publisher ask the leader for newer changes. The leader has reached a quorum of voters, so its response also confirms that
// there is no newer version.
func (w *World) pollLog(pub *publisher) {
	w.after(logPollInterval/2+w.randomDuration(logPollInterval), func() { w.pollLog(pub) })
	if !w.isRunning(&pub.process) || w.leader < 0 {
		return
	}
	incarnation, askedAt := pub.incarnation, w.clock(&pub.process)
	version, digest := pub.log.Version(), pub.log.Digest()
	leader := w.publishers[w.leader]
	request := func() {
		if w.isCut(&pub.process, &leader.process) || w.leader != leader.index || !w.canLead(leader) {
			return
		}
		changes, ok := w.log.ChangesSince(version, digest)
		newest := w.log.Version()
		var snap *changefeed.Snapshot
		if !ok {
			snap = w.log.Snapshot()
		}
		w.after(w.responseDelay(leader, pub), func() {
			if w.isCut(&leader.process, &pub.process) || !pub.up || pub.incarnation != incarnation {
				return
			}
			w.runOrDefer(&pub.process, func() {
				if pub.incarnation != incarnation {
					return
				}
				if snap != nil {
					_ = pub.log.Install(*snap) // a delayed snapshot may be older than the publisher's version: it is rejected
				}
				for _, c := range changes {
					_ = pub.log.Apply(*c)
				}
				pub.core.LogChanged()
				pub.core.ConfirmVersion(askedAt, newest)
				w.handlePublisherOutput(pub)
			})
		})
	}
	if leader == pub {
		request()
		return
	}
	w.after(w.delay(&pub.process, &leader.process), request)
}

// responseDelay returns the delay of a response between publishers; the leader asks itself without one.
func (w *World) responseDelay(from, to *publisher) time.Duration {
	if from == to {
		return 0
	}
	return w.delay(&from.process, &to.process)
}

// watchLeader elects a leader when there has been none for electionTimeout, records which processes can't be reached, and then
// calls checkInForce.
func (w *World) watchLeader() {
	w.after(checkInterval, w.watchLeader)
	if w.leader >= 0 && w.canLead(w.publishers[w.leader]) {
		w.leaderReachableAt = w.now
	} else if w.now-w.leaderReachableAt > electionTimeout {
		w.leader = -1
		if first := w.rng.IntN(voters); true {
			for i := range voters {
				if v := w.publishers[(first+i)%voters]; w.canLead(v) {
					w.leader, w.leaderReachableAt = v.index, w.now
					break
				}
			}
		}
	}
	canCommit := w.leader >= 0 && w.canLead(w.publishers[w.leader]) && w.loss == 0
	reachable := make([]*publisher, 0, len(w.publishers))
	for _, pub := range w.publishers {
		if canCommit && w.isRunning(&pub.process) && w.now-pub.startedAt > time.Second && !w.isSeparated(&pub.process, &w.publishers[w.leader].process) {
			reachable = append(reachable, pub)
		} else {
			pub.unreachableAt = w.now
		}
	}
	for _, sub := range w.subscribers {
		publishers := len(reachable)
		if w.cutActive {
			for _, pub := range reachable {
				if w.isSeparated(&sub.process, &pub.process) {
					publishers--
				}
			}
		}
		if !w.isRunning(&sub.process) || 3*publishers < 2*len(w.publishers) {
			sub.unreachableAt = w.now
		}
	}
	w.checkInForce()
}

// isSeparated reports whether two processes are cut from each other in any direction.
func (w *World) isSeparated(a, b *process) bool { return w.isCut(a, b) || w.isCut(b, a) }
