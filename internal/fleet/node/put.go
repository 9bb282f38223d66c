package node

import (
	"fmt"
	"time"

	"sabletally/internal/fleet/shardmap"
)

const (
	maxPendingPuts   = 1024 // submitted here, and proposed by the log's leader
	putRetryInterval = 300 * time.Millisecond
	proposalInterval = time.Second // a proposal that was lost is made again then, if it is requested
)

// Rejections of a put.
const (
	rejectionBusy    = "busy: too many changes wait"
	rejectionTimeout = "no answer in time: it may have taken hold; asked again as the same operation it is answered with the same version"
)

// pendingPut is a put that was submitted here.
type pendingPut struct {
	put      shardmap.Put
	deadline time.Duration
	nextAt   time.Duration // when the leader is asked again
}

// proposal is a put at the log's leader.
type proposal struct {
	put        shardmap.Put
	requesters map[string]bool // member IDs
	nextAt     time.Duration   // when it may be proposed again
}

// Put changes an operators' item. Its result is part of a Ready, after the timeout at the latest. A put with the operation ID of a pending
// one replaces it.
func (n *Node) Put(put shardmap.Put, timeout time.Duration) {
	if err := put.Validate(); err != nil {
		n.rejectPut(put, err.Error())
		return
	}
	if len(n.puts) >= maxPendingPuts {
		n.rejectPut(put, rejectionBusy)
		return
	}
	n.puts[put.OperationID] = &pendingPut{put: put, deadline: n.now + timeout, nextAt: n.now}
	n.retryPuts()
}

func (n *Node) rejectPut(put shardmap.Put, rejection string) {
	n.ready.PutResults = append(n.ready.PutResults, shardmap.PutResult{OperationID: put.OperationID, Rejection: rejection})
}

// retryPuts sends pending puts to the log's leader when they are due.
func (n *Node) retryPuts() {
	for _, id := range sortedKeys(n.puts) {
		pending := n.puts[id]
		if n.now >= pending.deadline {
			n.finishPut(shardmap.PutResult{OperationID: id, Rejection: rejectionTimeout})
			continue
		}
		if n.now < pending.nextAt {
			continue
		}
		pending.nextAt = n.now + putRetryInterval
		switch {
		case n.log.IsLeader():
			n.handlePut(n.cfg.Self.ID, pending.put)
		case n.leaderID != "" && n.leaderID != n.cfg.Self.ID:
			n.send(Packet{To: n.leaderID, PutRequest: &pending.put})
		}
	}
}

// handlePut takes a put at the log's leader. Any other member ignores it: the requester learns of the leader soon.
func (n *Node) handlePut(from string, put shardmap.Put) {
	if !n.log.IsLeader() {
		return
	}
	if result, isDone := n.log.State().PutResult(put.OperationID); isDone {
		n.answerPut(from, result)
		return
	}
	p := n.leading.proposals[put.OperationID]
	if p == nil {
		if rejection := n.checkPut(put); rejection != "" {
			n.answerPut(from, shardmap.PutResult{OperationID: put.OperationID, Rejection: rejection})
			return
		}
		p = &proposal{put: put, requesters: map[string]bool{}}
		n.leading.proposals[put.OperationID] = p
	}
	p.requesters[from] = true
	if n.now >= p.nextAt {
		p.nextAt = n.now + proposalInterval
		_ = n.log.Propose(shardmap.Entry{Puts: []shardmap.Put{p.put}}) // a lost proposal is made again with a later request
	}
}

// checkPut returns why a new put can't be proposed; empty where it can.
func (n *Node) checkPut(put shardmap.Put) string {
	if rejection := n.checkProtocolVersions(); rejection != "" {
		return rejection
	}
	if err := put.Validate(); err != nil {
		return err.Error()
	}
	if len(n.leading.proposals) >= maxPendingPuts {
		return rejectionBusy
	}
	return ""
}

// checkProtocolVersions returns which member of the epoch may run a program that does not know of operators' items; empty where none does.
// Once there are items all members did know of them, so that one that is not seen now is no obstacle.
func (n *Node) checkProtocolVersions() string {
	state := n.log.State()
	if state.Epoch == 0 {
		return "the fleet has no members yet"
	}
	versions := map[string]int{n.cfg.Self.ID: ProtocolVersion}
	for _, peer := range n.peers {
		versions[peer.ID] = peer.ProtocolVersion
	}
	hadPuts := len(state.RecentPuts) > 0
	for _, m := range state.Members {
		version, isSeen := versions[m.ID]
		if version < ProtocolVersion && (isSeen || !hadPuts) {
			return fmt.Sprintf("member %s at %s is of an older program, or was not heard: replace it first", m.ID, m.Addr)
		}
	}
	return ""
}

// handleCommittedPut answers all who requested a put that was committed.
func (n *Node) handleCommittedPut(result shardmap.PutResult) {
	p := n.leading.proposals[result.OperationID]
	if p == nil {
		return
	}
	delete(n.leading.proposals, result.OperationID)
	for _, id := range sortedKeys(p.requesters) {
		n.answerPut(id, result)
	}
}

func (n *Node) answerPut(to string, result shardmap.PutResult) {
	if to == n.cfg.Self.ID {
		n.finishPut(result)
		return
	}
	n.send(Packet{To: to, PutResult: &result})
}

// finishPut ends a put that was submitted here.
func (n *Node) finishPut(result shardmap.PutResult) {
	if n.puts[result.OperationID] == nil {
		return
	}
	delete(n.puts, result.OperationID)
	n.ready.PutResults = append(n.ready.PutResults, result)
}
