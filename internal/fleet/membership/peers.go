package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	leftPeerTTL   = time.Minute      // time for which a member that left stays in the table
	flapWindow    = 10 * time.Minute // time over which the returns of a member are counted
	flapThreshold = 3                // a member with more returns within flapWindow is flapping
)

// Tick advances the time. More than StallThreshold since the previous tick shows that the process was paused. The table's view is then not
// relied on until a majority of the members that were alive before have responded.
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
	t.forgetExpired()
	t.startJoin()
	t.reportChanges()
}

// HandleAlive handles the news that a member is alive or that its description has changed.
func (t *Table) HandleAlive(m Member) {
	if m.ID == t.cfg.Self.ID {
		return
	}
	peer, isKnown := t.peers[m.ID]
	if !isKnown {
		if len(t.peers) >= t.cfg.MaxMembers && !t.evictPeer() {
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
	t.hasMetMember = true
	kind := MemberJoined
	if isKnown && t.countReturn(peer) {
		kind = MemberFlapping
	}
	t.reportPeer(kind, peer)
	t.markReplaced(peer.Addr)
	t.reportChanges()
}

// countReturn counts one return of a member and reports whether it is flapping.
func (t *Table) countReturn(peer *Peer) bool {
	if t.now-peer.flapWindowStart > flapWindow {
		peer.flapWindowStart = t.now
		peer.Returns = 0
	}
	peer.Returns++
	return peer.Returns > flapThreshold
}

// markReplaced marks the failed members at an address at which another member is alive: their data directories are lost, and they will not
// come back. A member that has not failed is not marked, as gossip about the old member continues for a while and may arrive together with
// gossip about the new one.
func (t *Table) markReplaced(addr netip.AddrPort) {
	var replacement *Peer
	peers := t.peersByID()
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

// HandleFailure handles the news that a member is dead or unreachable.
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

// HandleLeave handles a member's announcement that it leaves and reports whether that is news. An announcement of an earlier incarnation is
// ignored, as it says nothing about the current one. The member may have been declared failed before.
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

// forgetExpired removes the members that left more than leftPeerTTL ago or failed more than ForgetAfter ago.
func (t *Table) forgetExpired() {
	for _, peer := range t.peersByID() {
		age := t.now - peer.Since
		switch {
		case peer.State == Left && age > leftPeerTTL:
			t.removePeer(peer)
		case peer.State == Failed && age > t.cfg.ForgetAfter:
			t.reportPeer(MemberForgotten, peer)
			t.removePeer(peer)
		}
	}
}

// removePeer removes a member and stops the joins of its address, unless that is a seed.
func (t *Table) removePeer(peer *Peer) {
	delete(t.peers, peer.ID)
	if !slices.Contains(t.cfg.Seeds, peer.Addr) {
		delete(t.joins.targets, peer.Addr)
	}
}

// evictPeer makes room in a full table. It removes the member that left first or, if none has left, the one that failed first. It returns
// false if all members are alive.
func (t *Table) evictPeer() bool {
	var oldest *Peer
	for _, peer := range t.peersByID() {
		if peer.State != Alive && (oldest == nil || evictsBefore(peer, oldest)) {
			oldest = peer
		}
	}
	if oldest == nil {
		return false
	}
	t.removePeer(oldest)
	return true
}

// evictsBefore reports whether a is evicted rather than b: members that left go first, then those that are longest in their state.
func evictsBefore(a, b *Peer) bool {
	return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(a.Since, b.Since)) < 0
}
