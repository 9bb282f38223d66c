package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/membership"
)

// handOverPoll is the time between two checks of HandOver whether it is finished.
const handOverPoll = 50 * time.Millisecond

// HandOver moves this member's replicas and leadership to other members before it leaves, and returns when that is done or after the timeout.
// Replicas that were not moved remain on this machine's disk, and the other members replace them as if the machine had failed.
func (f *Fleet) HandOver(timeout time.Duration) {
	m := f.currentMember()
	if m == nil {
		return
	}
	if m.publisher != nil {
		m.publisher.Drain()
	}
	if !slices.ContainsFunc(m.agent.Status().Peers, canTakeOver) {
		return
	}
	startedAt := time.Now()
	m.node.Leave()
	m.agent.AnnounceLeaving()
	for {
		status := m.node.Status()
		isFinished := status.LocalShards == 0 && !status.IsLeader
		if isFinished || time.Since(startedAt) > timeout {
			f.log.Info("fleet: handed over", zap.Bool("all", isFinished), zap.Int("shards-left", status.LocalShards), zap.Duration("after", time.Since(startedAt)))
			return
		}
		if !f.sleep(handOverPoll) {
			return
		}
	}
}

// canTakeOver reports whether a member can receive replicas of this one.
func canTakeOver(peer membership.Peer) bool {
	return peer.State == membership.Alive && !peer.Leaving
}

// Leave announces to the other members that this one leaves, and closes the fleet. It takes at most one second.
func (f *Fleet) Leave() { f.close((*gossip.Agent).Leave) }

// Close closes the fleet without announcing it, because another process continues as this member.
func (f *Fleet) Close() { f.close((*gossip.Agent).Close) }

func (f *Fleet) close(closeAgent func(*gossip.Agent)) {
	if !f.markClosed() {
		return
	}
	f.goroutines.Wait()
	f.mu.Lock()
	directory, m, client := f.directory, f.member, f.client
	f.mu.Unlock()
	if client != nil {
		client.Close()
	}
	if m != nil {
		m.close(closeAgent)
	}
	if directory != nil {
		directory.Close()
	}
}

// markClosed marks the fleet as closed, and returns false if it was closed before.
func (f *Fleet) markClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed() {
		return false
	}
	close(f.done)
	return true
}

func (f *Fleet) isClosed() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// close closes the components of a member. The agent closes the transport.
func (m *member) close(closeAgent func(*gossip.Agent)) {
	closeAgent(m.agent)
	if m.publisher != nil {
		m.publisher.Close()
	}
	m.node.Close()
}
