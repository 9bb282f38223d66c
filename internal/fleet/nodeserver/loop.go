package nodeserver

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// tickInterval is the longest time between two iterations of the server's loop.
const tickInterval = 50 * time.Millisecond

// errDuplicateMember reports that another process runs as this member.
var errDuplicateMember = errors.New("another process has a copy of the directory")

// run is the server's loop, the only goroutine that uses the node. It ends when the server is closed.
func (s *Server) run() {
	defer s.goroutines.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			s.rejectPending()
			return
		case <-s.wake:
		case <-ticker.C:
		}
		s.runIteration()
	}
}

// runIteration passes all queued requests to the node and carries out its output: first the writes, in one transaction, then packets, results
// and notifications.
func (s *Server) runIteration() {
	queued, isLeaving := s.dequeue()
	if isLeaving {
		s.node.Leave()
	}
	peers := s.peerStatus()
	s.node.Tick(s.options.Now(), peers)
	s.node.SetWallClock(time.Now().Unix())
	s.submitToNode(queued)
	ready := s.persist()
	s.logEvents(ready.Events)
	s.finishPuts(ready.PutResults)
	s.send(ready.Packets, peers)
	s.finishOperations(ready.Results)
	s.notifyObserver(ready)
	if now := s.options.Now(); now-s.statusPublishedAt >= statusInterval {
		s.statusPublishedAt = now
		s.publishStatus()
	}
}

// dequeue returns and clears the queue.
func (s *Server) dequeue() (queued queue, isLeaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued = s.queue
	s.queue = queue{}
	return queued, s.isLeaving
}

// submitToNode passes queued packets, operations and puts to the node.
func (s *Server) submitToNode(queued queue) {
	for _, packet := range queued.packets {
		if err := s.node.Step(packet); err != nil {
			s.links.malformedCount.Add(1)
			s.options.Log.Debug("fleet: malformed packet", zap.Error(err))
		}
	}
	for _, request := range queued.operations {
		s.pendingOperations[request.operation.ID] = request.done
		s.node.Submit(request.operation, request.timeout)
	}
	for _, request := range queued.puts {
		id := request.put.OperationID
		s.pendingPuts[id] = append(s.pendingPuts[id], request.done)
		s.node.Put(request.put, request.timeout)
	}
}

// persist returns the node's output once it is on disk. After a failure the output contains nothing to send or to confirm.
func (s *Server) persist() node.Ready {
	ready, err := s.node.Ready()
	if err == nil && s.options.Gossip.Status().Standing == membership.Duplicate {
		err = errDuplicateMember
	}
	if err == nil && s.failure == nil {
		err = s.store.Write(ready)
	}
	if err != nil && s.failure == nil {
		s.failure = err
		s.node.MarkDiskFailed()
		s.options.Log.Error("fleet: this member has failed and confirms nothing from now on", zap.Error(err))
	}
	if s.failure != nil {
		withholdResults(&ready)
	}
	return ready
}

// withholdResults removes the packets, and replaces all results by ones that leave the outcome open, as a write that they depend on failed.
func withholdResults(ready *node.Ready) {
	ready.Packets = nil
	for i, result := range ready.Results {
		ready.Results[i] = replication.Result{
			OperationID: result.OperationID,
			Outcome:     replication.OutcomeUnknown,
			Reason:      replication.ReasonDiskFailed,
		}
	}
	for i, result := range ready.PutResults {
		ready.PutResults[i] = shardmap.PutResult{
			OperationID: result.OperationID,
			Rejection:   "this member's disk has failed: it is not known whether it took hold",
		}
	}
}

// logEvents logs the node's events for operators.
func (s *Server) logEvents(events []node.Event) {
	for _, event := range events {
		if event.IsAlert {
			s.options.Log.Error("fleet: "+event.Message, zap.Uint64("version", event.Version), zap.String("is", event.Detail))
		} else {
			s.options.Log.Info("fleet: "+event.Message, zap.Uint64("epoch", event.Epoch), zap.String("is", event.Detail))
		}
	}
}

// finishPuts calls the callbacks of the puts that have a result.
func (s *Server) finishPuts(results []shardmap.PutResult) {
	for _, result := range results {
		callbacks := s.pendingPuts[result.OperationID]
		delete(s.pendingPuts, result.OperationID)
		for _, done := range callbacks {
			done(result)
		}
	}
}

// finishOperations calls the callbacks of the operations that have a result.
func (s *Server) finishOperations(results []replication.Result) {
	for _, result := range results {
		done := s.pendingOperations[result.OperationID]
		if done == nil {
			continue
		}
		delete(s.pendingOperations, result.OperationID)
		if result.Outcome == replication.OutcomeRejected || result.Outcome == replication.OutcomeUnknown {
			s.options.Log.Warn("fleet: operation not confirmed", zap.String("op", result.OperationID), zap.Stringer("outcome", result.Outcome),
				zap.Stringer("why", result.Reason))
		}
		done(result)
	}
}

// send sends packets to their members, at the newest known addresses: the gossip's, or else the agreed state's.
func (s *Server) send(packets []node.Packet, peers []placement.MemberStatus) {
	addresses := map[string]string{}
	for _, m := range s.node.State().Members {
		addresses[m.ID] = m.Addr
	}
	for _, m := range peers {
		addresses[m.ID] = m.Addr
	}
	for _, packet := range packets {
		if address := addresses[packet.To]; address != "" {
			s.links.send(packet.To, address, packet)
		}
	}
}

// notifyObserver passes changes of the agreed state to the observer. It passes nothing after a failure, as the state may not be on disk.
func (s *Server) notifyObserver(ready node.Ready) {
	observer := s.options.Observer
	if observer == nil || s.failure != nil {
		return
	}
	snapshot, changes := ready.Snapshot, ready.Changes
	if s.observerIsBehind {
		snapshot, changes = s.node.FeedSnapshot(), nil
	}
	if snapshot != nil || len(changes) > 0 {
		s.observerIsBehind = !observer.StateChanged(snapshot, changes)
	}
	if asOf, known := s.node.ConfirmedAt(); known {
		observer.VersionConfirmed(asOf, s.node.FeedState().Version())
	}
}

// rejectPending ends all queued and pending requests when the server is closed.
func (s *Server) rejectPending() {
	s.mu.Lock()
	s.isClosed = true
	queued := s.queue
	s.queue = queue{}
	s.mu.Unlock()
	for _, request := range queued.puts {
		request.done(shardmap.PutResult{OperationID: request.put.OperationID, Rejection: "this process ends"})
	}
	for id, callbacks := range s.pendingPuts {
		for _, done := range callbacks {
			done(shardmap.PutResult{OperationID: id, Rejection: "this process ends: it is not known whether it took hold"})
		}
	}
	for _, request := range queued.operations {
		request.done(replication.Result{
			OperationID: request.operation.ID,
			Outcome:     replication.OutcomeRejected,
			Reason:      replication.ReasonBusy,
		})
	}
	for id, done := range s.pendingOperations {
		done(replication.Result{OperationID: id, Outcome: replication.OutcomeUnknown})
	}
}

// peerStatus returns the status of the other members that the gossip knows.
func (s *Server) peerStatus() []placement.MemberStatus {
	peers := s.options.Gossip.Status().Peers
	now := s.options.Now()
	var all []placement.MemberStatus
	for _, peer := range peers {
		all = append(all, placement.MemberStatus{
			Member:          ShardMember(peer.Member),
			Alive:           peer.State == membership.Alive,
			Left:            peer.State == membership.Left,
			Draining:        peer.Leaving,
			StateAge:        now - peer.Since,
			ProtocolVersion: peer.ProtocolVersion,
		})
	}
	return all
}
