package node

import (
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// Ready is the output of a node. FleetID, Log and ShardWrites must be on disk before Packets are sent and results are returned.
type Ready struct {
	FleetID     string // fleet ID to be written, empty if it is unchanged
	Log         consensus.Write
	ShardWrites []replication.Write

	Packets    []Packet
	Results    []replication.Result // results of operations submitted to this member
	PutResults []shardmap.PutResult // results of puts submitted to this member
	Events     []Event

	Snapshot *changefeed.Snapshot // snapshot that has replaced the agreed state; nil if the state was not replaced
	Changes  []*changefeed.Change // changes of the agreed state after Snapshot, in order
}

// Event is an entry for the operators' log.
type Event struct {
	Message string
	Detail  string
	Epoch   uint64
	Version uint64 // version of the agreed state
	IsAlert bool   // whether the event needs an operator's attention
}

// Ready returns the node's output since the previous call. An error comes from the log; the node can't be used after it.
func (n *Node) Ready() (Ready, error) {
	logReady, err := n.log.Ready()
	if err != nil {
		return Ready{}, err
	}
	n.applyLog(logReady)
	n.ready.Log = logReady.Write
	n.sendLogMessages(logReady.Messages)
	replicasReady := n.replicas.Ready()
	n.ready.ShardWrites = replicasReady.Writes
	n.ready.Results = replicasReady.Results
	n.sendReplication(replicasReady.Messages)
	n.sendReplicaReports(replicasReady.Reports)
	ready := n.ready
	n.ready = Ready{}
	return ready, nil
}

// send adds a packet from this member to the next Ready.
func (n *Node) send(p Packet) {
	p.From = n.cfg.Self.ID
	p.FleetID = n.agreedState.state.FleetID
	n.ready.Packets = append(n.ready.Packets, p)
}

// sendLogMessages sends the log's messages, and tells the log which of them have an unknown receiver.
func (n *Node) sendLogMessages(messages []consensus.Message) {
	for _, message := range messages {
		if to := n.memberID(message.To); to != "" {
			n.send(Packet{To: to, Raft: message.Data})
		} else {
			n.log.ReportUnreachable(message.To)
		}
	}
}

// sendReplication sends the replicas' messages, in one packet for each receiver.
func (n *Node) sendReplication(messages []replication.Message) {
	packetIndexes := map[string]int{} // index of a member's packet in n.ready.Packets, by member ID
	for _, message := range messages {
		i, exists := packetIndexes[message.To]
		if !exists {
			i = len(n.ready.Packets)
			packetIndexes[message.To] = i
			n.send(Packet{To: message.To})
		}
		packet := &n.ready.Packets[i]
		packet.Replication = append(packet.Replication, message)
	}
}

// sendReplicaReports sends the replicas' reports to the log's leader. Reports are lost while no leader is known; replicas repeat them.
func (n *Node) sendReplicaReports(reports []replication.ReplicaReport) {
	for _, report := range reports {
		switch {
		case n.log.IsLeader() && n.leadership.planner != nil:
			n.leadership.planner.AddReport(n.now, n.log.State(), report)
		case n.leaderID != "" && n.leaderID != n.cfg.Self.ID:
			n.send(Packet{To: n.leaderID, ReplicaReport: &report})
		}
	}
}

// reportFault adds an alert to the next Ready, once for each message.
func (n *Node) reportFault(message string, version uint64, detail string) {
	if n.reportedFaults[message] {
		return
	}
	n.reportedFaults[message] = true
	n.ready.Events = append(n.ready.Events, Event{Message: message, Detail: detail, Version: version, IsAlert: true})
}
