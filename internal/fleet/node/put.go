package node

import (
	"fmt"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// This file executes puts, which change operators' items: any member accepts them, and the log's leader proposes them to the log.

const (
	maxPendingPuts   = 1024                   // maximum number of puts submitted to one member, and of puts proposed by the log's leader
	putRetryInterval = 300 * time.Millisecond // time between two requests to the leader for the same put
	proposalInterval = time.Second            // minimum time before a put that is requested again is proposed again
)

// Reasons for rejecting a put, which operators get as PutResult.Rejection.
const (
	rejectionBusy    = "busy: too many changes wait"
	rejectionTimeout = "no answer in time: it may have taken hold; asked again as the same operation it is answered with the same version"
)

// pendingPut is a put that was submitted to this member and has no result yet.
type pendingPut struct {
	put           shardmap.Put
	deadline      time.Duration
	nextRequestAt time.Duration // earliest time at which the put is sent to the leader again
}

// proposal is a put that the log's leader has proposed and that is not committed yet.
type proposal struct {
	put            shardmap.Put
	requesters     map[string]bool // IDs of the members that wait for the result
	nextProposalAt time.Duration   // earliest time at which the put is proposed again
}

// Put starts to change an operators' item. A later Ready contains its result, at the latest after the timeout. A put with the operation ID
// of a pending one replaces that.
func (n *Node) Put(put shardmap.Put, timeout time.Duration) {
	if err := put.Validate(); err != nil {
		n.rejectPut(put, err.Error())
		return
	}
	if len(n.pendingPuts) >= maxPendingPuts {
		n.rejectPut(put, rejectionBusy)
		return
	}
	n.pendingPuts[put.OperationID] = &pendingPut{put: put, deadline: n.now + timeout, nextRequestAt: n.now}
	n.retryPuts()
}

// rejectPut ends a put that is not executed.
func (n *Node) rejectPut(put shardmap.Put, rejection string) {
	n.ready.PutResults = append(n.ready.PutResults, shardmap.PutResult{OperationID: put.OperationID, Rejection: rejection})
}

// retryPuts sends the pending puts that are due to the log's leader, and ends those whose timeout has passed.
func (n *Node) retryPuts() {
	for _, id := range sortedKeys(n.pendingPuts) {
		pending := n.pendingPuts[id]
		if n.now >= pending.deadline {
			n.finishPut(shardmap.PutResult{OperationID: id, Rejection: rejectionTimeout})
			continue
		}
		if n.now < pending.nextRequestAt {
			continue
		}
		pending.nextRequestAt = n.now + putRetryInterval
		switch {
		case n.log.IsLeader():
			n.handlePut(n.cfg.Self.ID, pending.put)
		case n.leaderID != "" && n.leaderID != n.cfg.Self.ID:
			n.send(Packet{To: n.leaderID, PutRequest: &pending.put})
		}
	}
}

// handlePut answers or proposes a put at the log's leader. Any other member ignores it: the requester soon learns who the leader is.
func (n *Node) handlePut(from string, put shardmap.Put) {
	if !n.log.IsLeader() {
		return
	}
	if result, isDone := n.log.State().PutResult(put.OperationID); isDone {
		n.answerPut(from, result)
		return
	}
	p := n.leadership.proposals[put.OperationID]
	if p == nil {
		if rejection := n.checkPut(put); rejection != "" {
			n.answerPut(from, shardmap.PutResult{OperationID: put.OperationID, Rejection: rejection})
			return
		}
		p = &proposal{put: put, requesters: map[string]bool{}}
		n.leadership.proposals[put.OperationID] = p
	}
	p.requesters[from] = true
	if n.now >= p.nextProposalAt {
		p.nextProposalAt = n.now + proposalInterval
		_ = n.log.Propose(shardmap.Entry{Puts: []shardmap.Put{p.put}}) // a lost proposal is repeated when the put is requested again
	}
}

// checkPut returns the reason why a new put can't be proposed, empty if it can.
func (n *Node) checkPut(put shardmap.Put) string {
	if rejection := n.checkProtocolVersions(); rejection != "" {
		return rejection
	}
	if err := put.Validate(); err != nil {
		return err.Error()
	}
	if len(n.leadership.proposals) >= maxPendingPuts {
		return rejectionBusy
	}
	return ""
}

// checkProtocolVersions returns a rejection that names a member of the epoch whose program may not support operators' items, empty if there
// is none. Once a put has succeeded, all members supported them then, so that a member that is not known to the gossip now is no obstacle.
func (n *Node) checkProtocolVersions() string {
	state := n.log.State()
	if state.Epoch == 0 {
		return "the fleet has no members yet"
	}
	versions := map[string]int{n.cfg.Self.ID: ProtocolVersion}
	for _, peer := range n.peers {
		versions[peer.ID] = peer.ProtocolVersion
	}
	hasHadPuts := len(state.RecentPuts) > 0
	for _, m := range state.Members {
		version, isKnown := versions[m.ID]
		if version < ProtocolVersion && (isKnown || !hasHadPuts) {
			return fmt.Sprintf("member %s at %s is of an older program, or was not heard: replace it first", m.ID, m.Addr)
		}
	}
	return ""
}

// handleCommittedPut sends the result of a committed put to all members that requested it.
func (n *Node) handleCommittedPut(result shardmap.PutResult) {
	p := n.leadership.proposals[result.OperationID]
	if p == nil {
		return
	}
	delete(n.leadership.proposals, result.OperationID)
	for _, id := range sortedKeys(p.requesters) {
		n.answerPut(id, result)
	}
}

// answerPut sends the result of a put to the member that requested it, which may be this one.
func (n *Node) answerPut(to string, result shardmap.PutResult) {
	if to == n.cfg.Self.ID {
		n.finishPut(result)
		return
	}
	n.send(Packet{To: to, PutResult: &result})
}

// finishPut ends a put that was submitted to this member with its result.
func (n *Node) finishPut(result shardmap.PutResult) {
	if n.pendingPuts[result.OperationID] == nil {
		return
	}
	delete(n.pendingPuts, result.OperationID)
	n.ready.PutResults = append(n.ready.PutResults, result)
}
