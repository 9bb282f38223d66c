package feedsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"sabletally/internal/fleet/changefeed"
)

const (
	begins  = 8 * time.Second  // until then all have begun, and nothing goes wrong
	settles = 30 * time.Second // at the end, without faults,
	rests   = 8 * time.Second  // and the end of that without changes
)

// Play runs a history to its end and answers what was broken, nil where nothing was.
func (w *World) Play() error {
	start := w.now
	end := start + begins + w.plan.Length
	w.after(begins, w.fault)
	w.after(time.Second, w.put)
	w.after(end-w.now, func() {
		w.calm, w.loss = true, 0
		w.cutting, w.cut = false, func(*node, *node) bool { return false }
		w.healed()
	})
	w.after(end+settles-rests-w.now, func() { w.quiet = true })
	for at, ok := w.queue.NextAt(); w.err == nil && ok && at <= end+settles; at, ok = w.queue.NextAt() {
		var action func()
		w.now, action = w.queue.Next()
		action()
	}
	if w.err != nil {
		return w.err
	}
	w.now = end + settles
	w.judge()
	return w.err
}

// ---- The log's stand-in: versions are agreed at one place while most voters can be reached from there.

func (w *World) agree(items []changefeed.Item) {
	c, err := w.truth.Append(items)
	if err != nil {
		w.fail(Broken, "the source refuses: %v", err)
		return
	}
	last := w.agreed[len(w.agreed)-1]
	a := agreed{at: w.now, digest: c.DigestAfter, sum: last.sum}
	for _, i := range items {
		if old, is := w.values()[i.Key]; is {
			a.sum -= old
			delete(w.values(), i.Key)
		}
		if !i.Deleted {
			w.values()[i.Key] = own(i)
			a.sum += own(i)
		}
	}
	w.agreed = append(w.agreed, a)
}

// running tells whether a process does something now.
func (w *World) running(n *node) bool { return n.up && n.stopped <= w.now }

// leads tells whether a relay reaches most voters, there and back.
func (w *World) leads(r *relay) bool {
	if !w.running(&r.node) {
		return false
	}
	n := 0
	for _, v := range w.relays[:voters] {
		if w.running(&v.node) && !w.cut(&r.node, &v.node) && !w.cut(&v.node, &r.node) {
			n++
		}
	}
	return 2*n > voters
}

// put has changes agreed; now and then many in a second.
func (w *World) put() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Rate*float64(time.Second)), w.put)
	times := 1
	if w.rng.IntN(40) == 0 {
		times = 100
	}
	for i := range times {
		w.after(time.Duration(i)*10*time.Millisecond, func() {
			if w.leader < 0 || !w.leads(w.relays[w.leader]) || w.quiet {
				return
			}
			w.putN++
			key := fmt.Sprintf("%sk%d", changefeed.ConfigPrefix, w.rng.IntN(60))
			item := changefeed.Item{Key: key, Value: fmt.Appendf(nil, "%d %0*d", w.putN, w.rng.IntN(200), 0)}
			if w.rng.IntN(10) == 0 {
				item = changefeed.Item{Key: key, Deleted: true}
			}
			items := []changefeed.Item{item}
			if w.rng.IntN(50) == 0 { // a member is named anew
				r := w.relays[w.rng.IntN(len(w.relays))]
				v, _ := w.truth.State().Get(changefeed.MemberPrefix + r.addr)
				items = append(items, changefeed.Item{Key: changefeed.MemberPrefix + r.addr, Value: v})
			}
			w.agree(items)
		})
	}
}

// poll is a relay's question to the log's leader: what is newer, and a round to the voters that nothing else is.
func (w *World) poll(r *relay) {
	w.after(pollEach/2+w.chance(pollEach), func() { w.poll(r) })
	if !w.running(&r.node) || w.leader < 0 {
		return
	}
	born, asked := r.born, w.time(&r.node)
	version, digest := r.log.Version(), r.log.Digest()
	lead := w.relays[w.leader]
	ask := func() {
		if w.cut(&r.node, &lead.node) || w.leader != lead.num || !w.leads(lead) {
			return
		}
		changes, ok := w.truth.ChangesSince(version, digest)
		newest := w.truth.Version()
		var snap *changefeed.Snapshot
		if !ok {
			snap = w.truth.Snapshot()
		}
		w.after(w.back(lead, r), func() {
			if w.cut(&lead.node, &r.node) || !r.up || r.born != born {
				return
			}
			w.run(&r.node, func() {
				if r.born != born {
					return
				}
				if snap != nil {
					_ = r.log.Install(*snap) // one that came late is older than what is here
				}
				for _, c := range changes {
					_ = r.log.Apply(*c)
				}
				r.core.LogChanged()
				r.core.ConfirmVersion(asked, newest)
				w.readyRelay(r)
			})
		})
	}
	if lead == r {
		ask()
		return
	}
	w.after(w.way(&r.node, &lead.node), ask)
}

func (w *World) back(from, to *relay) time.Duration {
	if from == to {
		return 0
	}
	return w.way(&from.node, &to.node)
}

// look elects, and notes who can be reached.
func (w *World) look() {
	w.after(lookEach, w.look)
	if w.leader >= 0 && w.leads(w.relays[w.leader]) {
		w.leaderBad = w.now
	} else if w.now-w.leaderBad > electAfter {
		w.leader = -1
		if from := w.rng.IntN(voters); true {
			for i := range voters {
				if v := w.relays[(from+i)%voters]; w.leads(v) {
					w.leader, w.leaderBad = v.num, w.now
					break
				}
			}
		}
	}
	good := w.leader >= 0 && w.leads(w.relays[w.leader]) && w.loss == 0
	well := make([]*relay, 0, len(w.relays))
	for _, r := range w.relays {
		if good && w.running(&r.node) && w.now-r.bornAt > time.Second && !w.apart(&r.node, &w.relays[w.leader].node) {
			well = append(well, r)
		} else {
			r.badAt = w.now
		}
	}
	for _, f := range w.followers {
		n := len(well)
		if w.cutting {
			for _, r := range well {
				if w.apart(&f.node, &r.node) {
					n--
				}
			}
		}
		if !w.running(&f.node) || 3*n < 2*len(w.relays) {
			f.badAt = w.now
		}
	}
	w.due()
}

func (w *World) apart(a, b *node) bool { return w.cut(a, b) || w.cut(b, a) }

// ---- Faults.

func (w *World) killRelay(r *relay, span time.Duration) {
	if !r.up {
		return
	}
	w.Kills++
	w.endRelay(r, w.rng.IntN(3) == 0)
	born := r.born
	w.after(span, func() {
		if !r.up && r.born == born {
			w.startRelay(r)
		}
	})
}

func (w *World) endRelay(r *relay, dark bool) {
	r.up, r.dark = false, dark
	for _, num := range sorted(r.conns) {
		c := r.conns[num]
		c.rOpen = false
		if !dark {
			w.pass(c, toFollower, nil)
		}
	}
}

func sorted(m map[uint64]*conn) []uint64 {
	all := make([]uint64, 0, len(m))
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (w *World) killFollower(f *follower, span time.Duration) {
	if !f.up {
		return
	}
	w.Kills++
	if w.rng.IntN(2) == 0 && w.running(&f.node) { // a restart as planned
		f.core.Disconnect()
		w.readyFollower(f)
	}
	f.up, f.dark = false, w.rng.IntN(3) == 0
	addrs := make([]string, 0, len(f.conns))
	for a := range f.conns {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	for _, a := range addrs {
		c := f.conns[a]
		c.fOpen = false
		if !f.dark {
			w.pass(c, toRelay, nil)
		}
	}
	w.harvest(f)
	born := f.born
	w.after(span, func() {
		if !f.up && f.born == born {
			w.startFollower(f)
		}
	})
}

func (w *World) split(span time.Duration, cut func(from, to *node) bool) {
	w.Cuts++
	w.cutting, w.cut = true, cut
	mine := w.Cuts
	w.after(span, func() {
		if w.Cuts == mine {
			w.cutting, w.cut = false, func(*node, *node) bool { return false }
			w.healed()
		}
	})
}

// oneWay makes a cut of those within and without: both ways, or one of them.
func (w *World) oneWay(in func(*node) bool) func(from, to *node) bool {
	way := w.rng.IntN(3)
	return func(from, to *node) bool {
		a, b := in(from), in(to)
		return a != b && (way == 0 || way == 1 && a || way == 2 && b)
	}
}

func (w *World) fault() {
	if w.calm {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Faults*float64(time.Second)), w.fault)
	r := w.relays[w.rng.IntN(len(w.relays))]
	f := w.followers[w.rng.IntN(len(w.followers))]
	span := w.chance(10 * time.Second)
	part := max(1, len(w.followers)/100)
	switch w.rng.IntN(12) {
	case 0:
		w.killRelay(r, span)
	case 1: // some followers restart
		for range part {
			w.killFollower(w.followers[w.rng.IntN(len(w.followers))], w.chance(5*time.Second))
		}
	case 2:
		if w.running(&r.node) {
			w.Stalls++
			r.stopped = w.now + span
		}
	case 3:
		for range part {
			if f := w.followers[w.rng.IntN(len(w.followers))]; w.running(&f.node) {
				w.Stalls++
				f.stopped = w.now + w.chance(10*time.Second)
			}
		}
	case 4: // a group drawn by chance
		in := w.rng.Uint64()
		w.split(span, w.oneWay(func(n *node) bool { return in>>(n.num%61)&1 == 1 }))
	case 5: // one relay, or one follower, alone
		one := r.num
		if w.rng.IntN(2) == 0 {
			one = f.num
		}
		w.split(span, w.oneWay(func(n *node) bool { return n.num == one }))
	case 6: // a region
		region := w.rng.IntN(w.plan.Regions)
		w.split(span, w.oneWay(func(n *node) bool { return n.region == region }))
	case 7: // a zone
		zone := w.rng.IntN(w.plan.Zones)
		w.split(span, w.oneWay(func(n *node) bool { return n.zone == zone }))
	case 8:
		w.loss = w.plan.Loss
		w.after(span, func() { w.loss = 0 })
	case 9: // connections end between two messages
		for range part {
			f := w.followers[w.rng.IntN(len(w.followers))]
			for _, r := range w.relays {
				if c := f.conns[r.addr]; c != nil && w.rng.IntN(2) == 0 {
					w.reset(c)
				}
			}
		}
	case 10: // all relays at once
		if w.rng.IntN(3) == 0 {
			w.Restarts++
			planned := w.rng.IntN(2) == 0
			for _, r := range w.relays {
				if planned && w.running(&r.node) {
					r.core.Drain()
					w.readyRelay(r)
				}
				w.killRelay(r, w.chance(3*time.Second))
			}
		}
	case 11: // a relay ends as planned
		if w.running(&r.node) {
			r.core.Drain()
			w.readyRelay(r)
			w.killRelay(r, span)
		}
	}
}

// dueBy is the time by which a change has to be in force.
func dueBy(a agreed) time.Duration { return min(a.at, math.MaxInt64-inForce) + inForce }
