package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	joinIntervalAlone = time.Second     // between two joins while no other member is alive
	joinInterval      = 5 * time.Second // while some have failed
	maxJoinBackoff    = time.Minute     // between two joins of one address
)

// joinAttempts are the addresses where a member may be that this one does not see. One is joined at a time.
type joinAttempts struct {
	targets  map[netip.AddrPort]*joinTarget
	inFlight netip.AddrPort // invalid where there is none
	nextAt   time.Duration
}

// joinTarget is an address that is joined until somebody responds.
type joinTarget struct {
	nextAt  time.Duration
	backoff time.Duration
}

// startJoin joins one address where a member may be that this one does not see: that of a member that failed, or a seed where no member is
// alive. Without it two halves of a fleet that was partitioned for long, or from the start, would stay apart.
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
	t.request(Action{Kind: Join, Addr: t.joins.inFlight})
}

// dueJoins returns the addresses that may be joined now, in order.
func (t *Table) dueJoins() []netip.AddrPort {
	alive := map[netip.AddrPort]bool{t.cfg.Self.Addr: true}
	wanted := map[netip.AddrPort]bool{}
	for _, peer := range t.peers {
		switch {
		case peer.State == Alive:
			alive[peer.Addr] = true
		case peer.State == Failed && !peer.isLost():
			wanted[peer.Addr] = true
		}
	}
	for _, seed := range t.cfg.Seeds {
		wanted[seed] = true
	}
	var due []netip.AddrPort
	for addr := range wanted {
		if !alive[addr] && t.joinTarget(addr).nextAt <= t.now {
			due = append(due, addr)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	return due
}

func (t *Table) joinTarget(addr netip.AddrPort) *joinTarget {
	target := t.joins.targets[addr]
	if target == nil {
		target = &joinTarget{nextAt: t.now}
		t.joins.targets[addr] = target
	}
	return target
}

// HandleJoinResult takes whether somebody responded to a join.
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

// jitter draws a duration from half to one and a half of d, so that members that began together do not act together.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.rng.Float64()*float64(d))
}
