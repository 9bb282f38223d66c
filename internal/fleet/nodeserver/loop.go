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

const tickInterval = 50 * time.Millisecond

// errDuplicate means that another process runs as this member.
var errDuplicate = errors.New("another process has a copy of the directory")

// run owns the node until the server is closed.
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
		s.turn()
	}
}

// turn hands the node all that is queued, and carries out what follows: first to disk, in one write, then out.
func (s *Server) turn() {
	queued, isLeaving := s.dequeue()
	if isLeaving {
		s.node.Leave()
	}
	peers := s.peerStatus()
	s.node.Tick(s.opt.Now(), peers)
	s.node.SetWallClock(time.Now().Unix())
	s.submit(queued)
	ready := s.persist()
	s.logEvents(ready.Events)
	s.finishPuts(ready.PutResults)
	s.send(ready.Packets, peers)
	s.finishOperations(ready.Results)
	s.notifyObserver(ready)
	if now := s.opt.Now(); now-s.statusAt >= statusInterval {
		s.statusAt = now
		s.publishStatus()
	}
}

func (s *Server) dequeue() (queued queue, isLeaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queued = s.queue
	s.queue = queue{}
	return queued, s.isLeaving
}

// submit hands the node what was queued.
func (s *Server) submit(queued queue) {
	for _, packet := range queued.packets {
		if err := s.node.Step(packet); err != nil {
			s.links.malformed.Add(1)
			s.opt.Log.Debug("fleet: malformed packet", zap.Error(err))
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

// persist writes what the node has ready to disk and returns it. After a failure nothing is sent or confirmed.
func (s *Server) persist() node.Ready {
	ready, err := s.node.Ready()
	if err == nil && s.opt.Gossip.Status().Standing == membership.Duplicate {
		err = errDuplicate
	}
	if err == nil && s.failure == nil {
		err = s.store.Write(ready)
	}
	if err != nil && s.failure == nil {
		s.failure = err
		s.node.MarkDiskFailed()
		s.opt.Log.Error("fleet: this member confirms nothing any more", zap.Error(err))
	}
	if s.failure != nil {
		withhold(&ready)
	}
	return ready
}

// withhold removes all that depends on a write that failed.
func withhold(ready *node.Ready) {
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

func (s *Server) logEvents(events []node.Event) {
	for _, event := range events {
		if event.IsAlert {
			s.opt.Log.Error("fleet: "+event.Message, zap.Uint64("version", event.Version), zap.String("is", event.Detail))
		} else {
			s.opt.Log.Info("fleet: "+event.Message, zap.Uint64("epoch", event.Epoch), zap.String("is", event.Detail))
		}
	}
}

func (s *Server) finishPuts(results []shardmap.PutResult) {
	for _, result := range results {
		callbacks := s.pendingPuts[result.OperationID]
		delete(s.pendingPuts, result.OperationID)
		for _, done := range callbacks {
			done(result)
		}
	}
}

func (s *Server) finishOperations(results []replication.Result) {
	for _, result := range results {
		done := s.pendingOperations[result.OperationID]
		if done == nil {
			continue
		}
		delete(s.pendingOperations, result.OperationID)
		if result.Outcome == replication.OutcomeRejected || result.Outcome == replication.OutcomeUnknown {
			s.opt.Log.Warn("fleet: operation not confirmed", zap.String("op", result.OperationID), zap.Stringer("outcome", result.Outcome),
				zap.Stringer("why", result.Reason))
		}
		done(result)
	}
}

// send sends packets to the newest known addresses of their members.
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

// notifyObserver passes on the agreed state. After a failure nothing is passed on, as it may not be on disk.
func (s *Server) notifyObserver(ready node.Ready) {
	observer := s.opt.Observer
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
	if asOf, known := s.node.AsOf(); known {
		observer.VersionConfirmed(asOf, s.node.FeedState().Version())
	}
}

// rejectPending ends all requests that wait, when the server is closed.
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

// peerStatus returns the other members as the gossip has them.
func (s *Server) peerStatus() []placement.MemberStatus {
	peers := s.opt.Gossip.Status().Peers
	now := s.opt.Now()
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
