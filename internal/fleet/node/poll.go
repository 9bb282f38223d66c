package node

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/shardmap"
)

const (
	pollInterval      = 250 * time.Millisecond  // mean time between polls
	stalePollInterval = 80 * time.Millisecond   // mean time between polls while the state was confirmed longer than staleAfter ago
	staleAfter        = 1200 * time.Millisecond // time without a confirmation after which the leader has most likely changed
	maxPendingPolls   = 16                      // maximum number of requests whose responses are awaited
	maxResponseBytes  = 1 << 20                 // maximum size of the changes in one response

	leaderResponseTimeout = 500 * time.Millisecond    // time without a response after which the leader is not preferred for polls
	leaderSuspicionTime   = 4 * leaderResponseTimeout // time without a response after which the leader is preferred again
)

// pollState is the state of the polls by which a member learns the agreed state from others. Voters also learn it from the log.
type pollState struct {
	nextPollAt            time.Duration
	sentAt                map[uint64]time.Duration // times at which the awaited requests were sent, by request number
	leaderUnansweredSince time.Duration            // time at which the first unanswered poll of the leader was sent; 0 if there is none
}

// nextRequestNumber returns the number of a new request and records that it is sent. Beyond maxPendingPolls the oldest pending request is
// forgotten.
func (p *pollState) nextRequestNumber(now time.Duration) uint64 {
	oldest, newest := uint64(0), uint64(0)
	for number := range p.sentAt {
		if oldest == 0 || number < oldest {
			oldest = number
		}
		newest = max(newest, number)
	}
	if len(p.sentAt) >= maxPendingPolls {
		delete(p.sentAt, oldest)
	}
	number := max(newest+1, uint64(now)) // the time makes it greater than the numbers of this member's processes since the machine was started
	p.sentAt[number] = now
	return number
}

// schedulePoll draws a random time for the next poll: half to one and a half times the interval from now.
func (n *Node) schedulePoll() {
	interval := pollInterval
	if asOf, known := n.ConfirmedAt(); known && n.now-asOf > staleAfter {
		interval = stalePollInterval
	}
	n.polls.nextPollAt = n.now + interval/2 + time.Duration(n.rng.Float64()*float64(interval))
}

// sendPoll asks a member that is alive for the changes of the agreed state: with equal probability the log's leader or a random member.
func (n *Node) sendPoll() {
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
		Version:         n.agreedState.state.Version,
		Digest:          n.agreedState.feed.Digest(),
		ProtocolVersion: ProtocolVersion,
		RequestNumber:   n.polls.nextRequestNumber(n.now),
	}})
}

// pickPollTarget returns one of the members that are alive. A leader that did not respond in time is not preferred for a while.
func (n *Node) pickPollTarget(ids []string) string {
	p := &n.polls
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

// answerPoll sends what the requester lacks of the agreed state; maxResponseBytes limits the changes in one response.
func (n *Node) answerPoll(from string, request *PollRequest) {
	state := n.agreedState.state
	response := &PollResponse{
		FleetID:         state.FleetID,
		Since:           request.Version,
		Version:         state.Version,
		Epoch:           state.Epoch,
		LeaderID:        n.leaderID,
		Addr:            n.cfg.Self.Addr,
		ProtocolVersion: ProtocolVersion,
		RequestNumber:   request.RequestNumber,
		Digest:          n.agreedState.feed.Digest(),
	}
	if asOf, known := n.ConfirmedAt(); known {
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

// addChanges adds to a response what a requester of the current protocol version expects: changes, or a snapshot.
func (n *Node) addChanges(request *PollRequest, response *PollResponse) {
	feed := n.agreedState.feed
	isCurrent := request.Version == feed.Version() && request.Digest == feed.Digest()
	if isCurrent || feed.Version() == 0 || request.Version > feed.Version() {
		return
	}
	changes, isAvailable := feed.ChangesSince(request.Version, request.Digest)
	if !isAvailable {
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

// addConfigurations adds to a response what a requester of protocol version 1 expects: members and configurations.
func (n *Node) addConfigurations(since uint64, response *PollResponse) {
	response.Shards = map[int]shardmap.Configuration{}
	state := n.agreedState.state
	if since >= state.Version {
		return
	}
	if n.agreedState.membersVersion > since {
		response.Members = state.Members
	}
	for shard, configuration := range state.Configurations {
		if n.agreedState.shardVersions[shard] > since {
			response.Shards[shard] = configuration
		}
	}
}

// handlePollResponse applies what is newer in another member's state. The agreed state of one version is the same at all members.
func (n *Node) handlePollResponse(from string, response *PollResponse) {
	if response.FleetID == "" {
		if slices.Contains(n.cfg.Seeds, response.Addr) {
			n.emptySeeds[response.Addr] = n.now
		}
		return
	}
	if from == n.leaderID {
		n.polls.leaderUnansweredSince = 0
	}
	if n.acceptsLeader(from, response.LeaderID) {
		n.setLeader(response.LeaderID)
	}
	if response.ProtocolVersion >= ProtocolVersion {
		n.handleChanges(response)
	} else {
		n.handleConfigurations(response)
	}
}

// acceptsLeader reports whether this member accepts the leader that a response names. While the known leader responds, only its own
// responses and those of the new leader are accepted.
func (n *Node) acceptsLeader(from, leaderID string) bool {
	if leaderID == "" {
		return false
	}
	return from == leaderID || from == n.leaderID || n.polls.leaderUnansweredSince != 0 || n.leaderID == ""
}

// handleChanges applies a response of the current protocol version.
func (n *Node) handleChanges(response *PollResponse) {
	sentAt, isPending := n.polls.sentAt[response.RequestNumber]
	delete(n.polls.sentAt, response.RequestNumber)
	if response.Snapshot != nil {
		n.installSnapshot(response.Snapshot)
	}
	for _, change := range response.Changes {
		if change.Version <= n.agreedState.feed.Version() {
			continue
		}
		if !n.applyChange(change) {
			break
		}
	}
	version := n.agreedState.feed.Version()
	if response.Version == version && response.Digest != n.agreedState.feed.Digest() {
		n.reportDivergence(response.Version)
		return
	}
	if isPending && response.HasAge && response.Version <= version {
		n.agreedState.confirm(sentAt - response.Age)
	}
}

// handleConfigurations applies a response of protocol version 1. It ignores incomplete responses: those to an earlier process of this
// member, which knew more, and all of them if the fleet has operators' items, which an older program does not know.
func (n *Node) handleConfigurations(response *PollResponse) {
	state := n.agreedState.state
	hasItems := len(n.agreedState.feed.State().Items(shardmap.ConfigPrefix)) > 0
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
		n.agreedState.membersVersion = response.Version
	}
	state.Version = response.Version
	for _, shard := range sortedKeys(response.Shards) {
		if shard >= 0 && shard < shardmap.ShardCount {
			n.setConfiguration(shard, response.Shards[shard], response.Version)
		}
	}
	n.installSnapshot(consensus.SnapshotOf(state))
	n.recordFleetAndEpoch(isNewEpoch)
}
