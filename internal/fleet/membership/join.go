package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	joinIntervalAlone = time.Second     // time between two joins of one address while no other member is alive; also the shortest backoff
	joinInterval      = 5 * time.Second // time between two joins while some members are alive and others have failed
	maxJoinBackoff    = time.Minute     // longest backoff between two joins of one address
)

// joinAttempts holds the addresses at which a member may run that this one does not see. One address is joined at a time.
type joinAttempts struct {
	targets  map[netip.AddrPort]*joinTarget
	inFlight netip.AddrPort // address of the join in flight; invalid if there is none
	nextAt   time.Duration  // earliest time of the next join of any address
}

// joinTarget schedules the joins of one address.
type joinTarget struct {
	nextAt  time.Duration // earliest time of the next join of this address
	backoff time.Duration // newest backoff after a failed join; 0 if the last one succeeded
}

// startJoin joins one address at which a member may run that this one does not see: the address of a failed member, or a seed at which no
// member is alive. Without it the two halves of a fleet that was partitioned for long, or from the start, would never merge.
func (t *Table) startJoin() {
	if t.joins.inFlight.IsValid() || t.now < t.joins.nextAt {
		return
	}
	due := t.dueJoins()
	if len(due) == 0 {
		return
	}
	t.joins.inFlight = due[t.rng.IntN(len(due))]
	interval := joinInterval
	if t.aliveCount() == 0 {
		interval = joinIntervalAlone / time.Duration(len(due))
	}
	t.joins.nextAt = t.now + t.jitter(interval)
	t.addAction(Action{Kind: Join, Addr: t.joins.inFlight})
}

// dueJoins returns the addresses that may be joined now, in ascending order.
func (t *Table) dueJoins() []netip.AddrPort {
	alive := map[netip.AddrPort]bool{t.cfg.Self.Addr: true}
	candidates := map[netip.AddrPort]bool{}
	for _, peer := range t.peers {
		switch {
		case peer.State == Alive:
			alive[peer.Addr] = true
		case peer.State == Failed && !peer.isLost():
			candidates[peer.Addr] = true
		}
	}
	for _, seed := range t.cfg.Seeds {
		candidates[seed] = true
	}
	var due []netip.AddrPort
	for addr := range candidates {
		if !alive[addr] && t.joinTarget(addr).nextAt <= t.now {
			due = append(due, addr)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	return due
}

// joinTarget returns the schedule of an address, which may be joined at once if it is new.
func (t *Table) joinTarget(addr netip.AddrPort) *joinTarget {
	target := t.joins.targets[addr]
	if target == nil {
		target = &joinTarget{nextAt: t.now}
		t.joins.targets[addr] = target
	}
	return target
}

// HandleJoinResult handles the result of Join: ok says whether a member responded at the address.
func (t *Table) HandleJoinResult(addr netip.AddrPort, ok bool) {
	if addr == t.joins.inFlight {
		t.joins.inFlight = netip.AddrPort{}
	}
	target := t.joins.targets[addr]
	if target == nil {
		return
	}
	if ok {
		target.backoff = 0
	} else {
		target.backoff = min(max(2*target.backoff, joinIntervalAlone), maxJoinBackoff)
	}
	target.nextAt = t.now + t.jitter(target.backoff)
}

// jitter draws a duration between 0.5 and 1.5 times d, so that members that started together do not join in step.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.rng.Float64()*float64(d))
}
