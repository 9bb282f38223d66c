package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/membership"
)

// handOverPoll is how often HandOver checks whether it is finished.
const handOverPoll = 50 * time.Millisecond

// HandOver moves this member's replicas to other members before it leaves, and waits for that within a time. What was not moved is
// repaired as if the machine had failed, and is still on its disk.
func (f *Fleet) HandOver(within time.Duration) {
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
	began := time.Now()
	m.node.Leave()
	m.agent.AnnounceLeaving()
	for {
		status := m.node.Status()
		isFinished := status.LocalShards == 0 && !status.IsLeader
		if isFinished || time.Since(began) > within {
			f.log.Info("fleet: handed over", zap.Bool("all", isFinished), zap.Int("shards-left", status.LocalShards), zap.Duration("after", time.Since(began)))
			return
		}
		if !f.sleep(handOverPoll) {
			return
		}
	}
}

func canTakeOver(peer membership.Peer) bool {
	return peer.State == membership.Alive && !peer.Leaving
}

// Leave tells the other members that this one leaves, and closes the fleet. It takes a second at most.
func (f *Fleet) Leave() { f.close((*gossip.Agent).Leave) }

// Close closes the fleet without telling the other members, as another process continues as this member.
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

// markClosed returns false where the fleet was closed before.
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

// close closes the parts of a member; the agent closes the transport.
func (m *member) close(closeAgent func(*gossip.Agent)) {
	closeAgent(m.agent)
	if m.publisher != nil {
		m.publisher.Close()
	}
	m.node.Close()
}
