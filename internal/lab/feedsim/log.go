package feedsim

import (
	"fmt"
	"time"

	"sabletally/internal/fleet/changefeed"
)

func (w *World) commit(items []changefeed.Item) {
	c, err := w.log.Append(items)
	if err != nil {
		w.fail(Broken, "the source refuses: %v", err)
		return
	}
	last := w.versions[len(w.versions)-1]
	a := version{at: w.now, digest: c.DigestAfter, itemsHash: last.itemsHash}
	for _, i := range items {
		if old, is := w.expectedItems()[i.Key]; is {
			a.itemsHash -= old
			delete(w.expectedItems(), i.Key)
		}
		if !i.Deleted {
			w.expectedItems()[i.Key] = itemHash(i)
			a.itemsHash += itemHash(i)
		}
	}
	w.versions = append(w.versions, a)
}

// isRunning reports whether a process is up and not stalled.
func (w *World) isRunning(n *process) bool { return n.up && n.stalledUntil <= w.now }

// canLead reports whether a publisher reaches a quorum of voters in both directions.
func (w *World) canLead(pub *publisher) bool {
	if !w.isRunning(&pub.process) {
		return false
	}
	n := 0
	for _, v := range w.publishers[:voters] {
		if w.isRunning(&v.process) && !w.isCut(&pub.process, &v.process) && !w.isCut(&v.process, &pub.process) {
			n++
		}
	}
	return 2*n > voters
}

// putChange commits a change at random times, now and then a burst of them.
func (w *World) putChange() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Rate*float64(time.Second)), w.putChange)
	times := 1
	if w.rng.IntN(40) == 0 {
		times = 100
	}
	for i := range times {
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
			if w.rng.IntN(50) == 0 { // a member is put again
				pub := w.publishers[w.rng.IntN(len(w.publishers))]
				v, _ := w.log.State().Get(changefeed.MemberPrefix + pub.addr)
				items = append(items, changefeed.Item{Key: changefeed.MemberPrefix + pub.addr, Value: v})
			}
			w.commit(items)
		})
	}
}

// pollLog has a publisher ask the leader for newer changes, and confirms with a quorum that there are no others.
func (w *World) pollLog(pub *publisher) {
	w.after(logPollInterval/2+w.chance(logPollInterval), func() { w.pollLog(pub) })
	if !w.isRunning(&pub.process) || w.leader < 0 {
		return
	}
	born, asked := pub.incarnation, w.clock(&pub.process)
	version, digest := pub.log.Version(), pub.log.Digest()
	lead := w.publishers[w.leader]
	ask := func() {
		if w.isCut(&pub.process, &lead.process) || w.leader != lead.index || !w.canLead(lead) {
			return
		}
		changes, ok := w.log.ChangesSince(version, digest)
		newest := w.log.Version()
		var snap *changefeed.Snapshot
		if !ok {
			snap = w.log.Snapshot()
		}
		w.after(w.roundTrip(lead, pub), func() {
			if w.isCut(&lead.process, &pub.process) || !pub.up || pub.incarnation != born {
				return
			}
			w.runOrDefer(&pub.process, func() {
				if pub.incarnation != born {
					return
				}
				if snap != nil {
					_ = pub.log.Install(*snap) // a late one is older than the publisher's version and is refused
				}
				for _, c := range changes {
					_ = pub.log.Apply(*c)
				}
				pub.core.LogChanged()
				pub.core.ConfirmVersion(asked, newest)
				w.drainPublisher(pub)
			})
		})
	}
	if lead == pub {
		ask()
		return
	}
	w.after(w.delay(&pub.process, &lead.process), ask)
}

func (w *World) roundTrip(from, to *publisher) time.Duration {
	if from == to {
		return 0
	}
	return w.delay(&from.process, &to.process)
}

// watchLeader elects a leader and records which processes can be reached.
func (w *World) watchLeader() {
	w.after(checkInterval, w.watchLeader)
	if w.leader >= 0 && w.canLead(w.publishers[w.leader]) {
		w.leaderLostAt = w.now
	} else if w.now-w.leaderLostAt > electionTimeout {
		w.leader = -1
		if from := w.rng.IntN(voters); true {
			for i := range voters {
				if v := w.publishers[(from+i)%voters]; w.canLead(v) {
					w.leader, w.leaderLostAt = v.index, w.now
					break
				}
			}
		}
	}
	good := w.leader >= 0 && w.canLead(w.publishers[w.leader]) && w.loss == 0
	well := make([]*publisher, 0, len(w.publishers))
	for _, pub := range w.publishers {
		if good && w.isRunning(&pub.process) && w.now-pub.startedAt > time.Second && !w.separated(&pub.process, &w.publishers[w.leader].process) {
			well = append(well, pub)
		} else {
			pub.unreachableAt = w.now
		}
	}
	for _, sub := range w.subscribers {
		n := len(well)
		if w.cutActive {
			for _, pub := range well {
				if w.separated(&sub.process, &pub.process) {
					n--
				}
			}
		}
		if !w.isRunning(&sub.process) || 3*n < 2*len(w.publishers) {
			sub.unreachableAt = w.now
		}
	}
	w.checkInForce()
}

func (w *World) separated(a, b *process) bool { return w.isCut(a, b) || w.isCut(b, a) }
