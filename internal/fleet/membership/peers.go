package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	leftTTL       = time.Minute // a member that left is listed for so long
	flapWindow    = 10 * time.Minute
	flapThreshold = 3 // returns within the window, above which a member is flapping
)

// Tick advances the time. A late tick is a pause of the process, after which nothing that was known holds until a majority of those that
// were alive have responded.
func (t *Table) Tick(now time.Duration) {
	gap := now - t.now
	t.now = now
	if gap > StallThreshold {
		t.Stalls++
		t.pings.active = true
		t.report(Event{Kind: ProcessResumed, Duration: gap, Alive: t.aliveCount(), Total: len(t.peers)})
		t.startPingRound()
	}
	if t.pings.active && now-t.pings.startedAt >= pingRoundInterval {
		t.startPingRound()
	}
	t.forgetOld()
	t.startJoin()
	t.reportChanges()
}

// HandleAlive takes that a member is alive, or has changed what it says of itself.
func (t *Table) HandleAlive(m Member) {
	if m.ID == t.cfg.Self.ID {
		return
	}
	peer, isKnown := t.peers[m.ID]
	if !isKnown {
		if len(t.peers) >= t.cfg.MaxMembers && !t.makeRoom() {
			t.Rejected++
			return
		}
		peer = &Peer{State: Left, flapWindowStart: t.now}
		t.peers[m.ID] = peer
	}
	hasRestarted := m.Incarnation != peer.Incarnation
	peer.Member = m
	delete(t.joins.targets, m.Addr)
	if peer.State == Alive {
		if hasRestarted {
			t.reportPeer(MemberRestarted, peer)
		}
		return
	}
	peer.State = Alive
	peer.Since = t.now
	peer.ReplacedBy = ""
	t.hasMet = true
	kind := MemberJoined
	if isKnown && t.countReturn(peer) {
		kind = MemberFlapping
	}
	t.reportPeer(kind, peer)
	t.markReplaced(peer.Addr)
	t.reportChanges()
}

// countReturn counts that a member came back, and reports whether it is flapping.
func (t *Table) countReturn(peer *Peer) bool {
	if t.now-peer.flapWindowStart > flapWindow {
		peer.flapWindowStart = t.now
		peer.Returns = 0
	}
	peer.Returns++
	return peer.Returns > flapThreshold
}

// markReplaced marks the failed members at an address where another one is alive: their data directories are lost, and they will not come
// back. A member that has not failed is left alone, as gossip about the old one goes on for a while and may arrive together with that
// about the new one.
func (t *Table) markReplaced(addr netip.AddrPort) {
	var replacement *Peer
	peers := t.sorted()
	for _, peer := range peers {
		if peer.Addr == addr && peer.State == Alive {
			replacement = peer
		}
	}
	if replacement == nil {
		return
	}
	for _, peer := range peers {
		if peer.Addr == addr && peer.State == Failed && !peer.isLost() {
			peer.ReplacedBy = replacement.ID
			t.reportPeer(MemberReplaced, peer)
		}
	}
}

// HandleFailure takes that a member is dead or unreachable.
func (t *Table) HandleFailure(id string) {
	peer := t.peers[id]
	if peer == nil || peer.State != Alive {
		return
	}
	peer.State = Failed
	peer.Since = t.now
	t.reportPeer(MemberFailed, peer)
	t.markReplaced(peer.Addr)
	t.reportChanges()
}

// HandleLeave takes that a member announced the end of an incarnation, and reports whether that is news. An announcement that arrives late
// says nothing of the incarnation that followed. The member may have been declared failed before.
func (t *Table) HandleLeave(id string, incarnation uint64) bool {
	peer := t.peers[id]
	if peer == nil || peer.State == Left || incarnation < peer.Incarnation {
		return false
	}
	peer.State = Left
	peer.Since = t.now
	peer.ReplacedBy = ""
	t.reportPeer(MemberLeft, peer)
	t.reportChanges()
	return true
}

// forgetOld drops members that failed or left long ago.
func (t *Table) forgetOld() {
	for _, peer := range t.sorted() {
		age := t.now - peer.Since
		switch {
		case peer.State == Left && age > leftTTL:
			t.drop(peer)
		case peer.State == Failed && age > t.cfg.ForgetAfter:
			t.reportPeer(MemberForgotten, peer)
			t.drop(peer)
		}
	}
}

func (t *Table) drop(peer *Peer) {
	delete(t.peers, peer.ID)
	if !slices.Contains(t.cfg.Seeds, peer.Addr) {
		delete(t.joins.targets, peer.Addr)
	}
}

// makeRoom drops a member that left or, where there is none, one that failed: the one that did so first. It reports false where all are
// alive.
func (t *Table) makeRoom() bool {
	var worst *Peer
	for _, peer := range t.sorted() {
		if peer.State != Alive && (worst == nil || dropsBefore(peer, worst)) {
			worst = peer
		}
	}
	if worst == nil {
		return false
	}
	t.drop(worst)
	return true
}

func dropsBefore(a, b *Peer) bool {
	return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(a.Since, b.Since)) < 0
}
