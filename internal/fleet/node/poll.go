package node

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/shardmap"
)

const (
	pollInterval      = 250 * time.Millisecond
	stalePollInterval = 80 * time.Millisecond   // while what is known is older than staleAfter
	staleAfter        = 1200 * time.Millisecond // the leader has most likely changed
	maxPendingPolls   = 16
	maxResponseBytes  = 1 << 20 // of the changes in one response

	leaderResponseTimeout = 500 * time.Millisecond
	leaderSuspicionTime   = 4 * leaderResponseTimeout // a leader that has not responded is polled again then
)

// polling is how a member learns of the agreed state from others. Voters also learn it from the log.
type polling struct {
	nextAt                time.Duration
	pending               map[uint64]time.Duration // when a request was sent, by number
	leaderUnansweredSince time.Duration            // when the leader was polled that has not responded since; 0 where it has
}

// nextNumber returns the number of a new request. The oldest pending one is dropped where there are too many.
func (p *polling) nextNumber(now time.Duration) uint64 {
	oldest, newest := uint64(0), uint64(0)
	for number := range p.pending {
		if oldest == 0 || number < oldest {
			oldest = number
		}
		newest = max(newest, number)
	}
	if len(p.pending) >= maxPendingPolls {
		delete(p.pending, oldest)
	}
	number := max(newest+1, uint64(now)) // greater than those of an earlier process
	p.pending[number] = now
	return number
}

// schedulePoll draws the time of the next poll.
func (n *Node) schedulePoll() {
	interval := pollInterval
	if asOf, known := n.AsOf(); known && n.now-asOf > staleAfter {
		interval = stalePollInterval
	}
	n.polling.nextAt = n.now + interval/2 + time.Duration(n.rng.Float64()*float64(interval))
}

// poll asks a random member that is alive, or by the same chance the log's leader, for what was agreed.
func (n *Node) poll() {
	var ids []string
	for _, peer := range n.peers {
		if peer.Alive && peer.ID != n.cfg.Self.ID {
			ids = append(ids, peer.ID)
		}
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return
	}
	n.send(Packet{To: n.pickPollTarget(ids), PollRequest: &PollRequest{
		Version:         n.agreed.state.Version,
		Digest:          n.agreed.feed.Digest(),
		ProtocolVersion: ProtocolVersion,
		RequestNumber:   n.polling.nextNumber(n.now),
	}})
}

// pickPollTarget picks one of the members that are alive. The leader is left out for a while once it has not responded.
func (n *Node) pickPollTarget(ids []string) string {
	p := &n.polling
	to := ids[n.rng.IntN(len(ids))]
	isLeaderSuspect := p.leaderUnansweredSince != 0 && n.now-p.leaderUnansweredSince > leaderResponseTimeout
	if slices.Contains(ids, n.leaderID) && !isLeaderSuspect && n.rng.IntN(2) == 0 {
		to = n.leaderID
		if p.leaderUnansweredSince == 0 {
			p.leaderUnansweredSince = n.now
		}
	}
	if isLeaderSuspect && n.now-p.leaderUnansweredSince > leaderSuspicionTime {
		p.leaderUnansweredSince = 0
	}
	return to
}

// answerPoll sends what was agreed since the requester's version.
func (n *Node) answerPoll(from string, request *PollRequest) {
	state := n.agreed.state
	response := &PollResponse{
		FleetID:         state.FleetID,
		Since:           request.Version,
		Version:         state.Version,
		Epoch:           state.Epoch,
		LeaderID:        n.leaderID,
		Addr:            n.cfg.Self.Addr,
		ProtocolVersion: ProtocolVersion,
		RequestNumber:   request.RequestNumber,
		Digest:          n.agreed.feed.Digest(),
	}
	if asOf, known := n.AsOf(); known {
		response.HasAge = true
		response.Age = n.now - asOf
	}
	if request.ProtocolVersion >= ProtocolVersion {
		n.addChanges(request, response)
	} else {
		n.addConfigurations(request.Version, response)
	}
	n.send(Packet{To: from, PollResponse: response})
}

// addChanges adds what a requester of the present protocol version gets.
func (n *Node) addChanges(request *PollRequest, response *PollResponse) {
	feed := n.agreed.feed
	isCurrent := request.Version == feed.Version() && request.Digest == feed.Digest()
	if isCurrent || feed.Version() == 0 || request.Version > feed.Version() {
		return
	}
	changes, areKept := feed.ChangesSince(request.Version, request.Digest)
	if !areKept {
		response.Snapshot = feed.Snapshot()
		return
	}
	size := 0
	for i, change := range changes {
		for _, item := range change.Items {
			size += len(item.Key) + len(item.Value)
		}
		if size > maxResponseBytes && i > 0 {
			break
		}
		response.Changes = append(response.Changes, change)
	}
}

// addConfigurations adds what a requester of the first protocol version gets.
func (n *Node) addConfigurations(since uint64, response *PollResponse) {
	response.Shards = map[int]shardmap.Configuration{}
	state := n.agreed.state
	if since >= state.Version {
		return
	}
	if n.agreed.membersVersion > since {
		response.Members = state.Members
	}
	for shard, configuration := range state.Configurations {
		if n.agreed.shardVersions[shard] > since {
			response.Shards[shard] = configuration
		}
	}
}

// handlePollResponse takes what another member knows. What is agreed is the same wherever it is learned; only what is newer is taken.
func (n *Node) handlePollResponse(from string, response *PollResponse) {
	if response.FleetID == "" {
		if slices.Contains(n.cfg.Seeds, response.Addr) {
			n.emptySeeds[response.Addr] = n.now
		}
		return
	}
	if from == n.leaderID {
		n.polling.leaderUnansweredSince = 0
	}
	if n.believesLeader(from, response.LeaderID) {
		n.setLeader(response.LeaderID)
	}
	if response.ProtocolVersion >= ProtocolVersion {
		n.handleChanges(response)
	} else {
		n.handleConfigurations(response)
	}
}

// believesLeader reports whether a response changes whom this member takes for the leader. While the leader responds, only its own
// response and that of the new leader do.
func (n *Node) believesLeader(from, leaderID string) bool {
	if leaderID == "" {
		return false
	}
	return from == leaderID || from == n.leaderID || n.polling.leaderUnansweredSince != 0 || n.leaderID == ""
}

// handleChanges takes a response of the present protocol version.
func (n *Node) handleChanges(response *PollResponse) {
	sentAt, isPending := n.polling.pending[response.RequestNumber]
	delete(n.polling.pending, response.RequestNumber)
	if response.Snapshot != nil {
		n.install(response.Snapshot)
	}
	for _, change := range response.Changes {
		if change.Version <= n.agreed.feed.Version() {
			continue
		}
		if !n.applyChange(change) {
			break
		}
	}
	version := n.agreed.feed.Version()
	if response.Version == version && response.Digest != n.agreed.feed.Digest() {
		n.reportDivergence(response.Version)
		return
	}
	if isPending && response.HasAge && response.Version <= version {
		n.agreed.confirm(sentAt - response.Age)
	}
}

// handleConfigurations takes a response of the first protocol version. It is incomplete where it answers an earlier process, which knew
// more, and where the fleet has operators' items, which an older program does not know.
func (n *Node) handleConfigurations(response *PollResponse) {
	state := n.agreed.state
	hasItems := len(n.agreed.feed.State().Items(shardmap.ConfigPrefix)) > 0
	if response.Version <= state.Version || response.Since > state.Version || hasItems {
		return
	}
	if state.FleetID == "" {
		state.FleetID = response.FleetID
	}
	isNewEpoch := response.Epoch > state.Epoch
	if isNewEpoch && len(response.Members) > 0 {
		state.Epoch = response.Epoch
		state.Members = response.Members
		n.agreed.membersVersion = response.Version
	}
	state.Version = response.Version
	for _, shard := range sortedKeys(response.Shards) {
		if shard >= 0 && shard < shardmap.ShardCount {
			n.setConfiguration(shard, response.Shards[shard], response.Version)
		}
	}
	n.install(consensus.SnapshotOf(state))
	n.recordFleet(isNewEpoch)
}
