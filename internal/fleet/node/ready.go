package node

import (
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// Ready is what has to be done. FleetID, Log and ShardWrites have to be on disk before Packets are sent and results are returned.
type Ready struct {
	FleetID     string // to be written; empty where it is unchanged
	Log         consensus.Write
	ShardWrites []replication.Write

	Packets    []Packet
	Results    []replication.Result // of operations submitted here
	PutResults []shardmap.PutResult // of puts submitted here
	Events     []Event

	Snapshot *changefeed.Snapshot // the agreed state was replaced by this; nil where it was not
	Changes  []*changefeed.Change // of the agreed state, in order, after Snapshot
}

// Event is something that is logged for operators.
type Event struct {
	Message string
	Detail  string
	Epoch   uint64
	Version uint64 // of the agreed state
	IsAlert bool   // it wants an operator
}

// Ready returns what has to be done; each thing once. After an error, which is the log's, this member can't go on.
func (n *Node) Ready() (Ready, error) {
	fromLog, err := n.log.Ready()
	if err != nil {
		return Ready{}, err
	}
	n.applyLog(fromLog)
	n.ready.Log = fromLog.Write
	n.sendLogMessages(fromLog.Messages)
	fromReplicas := n.replicas.Ready()
	n.ready.ShardWrites = fromReplicas.Writes
	n.ready.Results = fromReplicas.Results
	n.sendReplication(fromReplicas.Messages)
	n.sendReplicaReports(fromReplicas.Reports)
	ready := n.ready
	n.ready = Ready{}
	return ready, nil
}

func (n *Node) send(p Packet) {
	p.From = n.cfg.Self.ID
	p.FleetID = n.agreed.state.FleetID
	n.ready.Packets = append(n.ready.Packets, p)
}

func (n *Node) sendLogMessages(messages []consensus.Message) {
	for _, message := range messages {
		if to := n.memberID(message.To); to != "" {
			n.send(Packet{To: to, Raft: message.Data})
		} else {
			n.log.ReportUnreachable(message.To)
		}
	}
}

// sendReplication sends one packet to each member.
func (n *Node) sendReplication(messages []replication.Message) {
	packetOf := map[string]int{} // index by member ID
	for _, message := range messages {
		i, exists := packetOf[message.To]
		if !exists {
			i = len(n.ready.Packets)
			packetOf[message.To] = i
			n.send(Packet{To: message.To})
		}
		packet := &n.ready.Packets[i]
		packet.Replication = append(packet.Replication, message)
	}
}

// sendReplicaReports hands reports to the log's leader. While none is known they are lost; replicas repeat them.
func (n *Node) sendReplicaReports(reports []replication.ReplicaReport) {
	for _, report := range reports {
		switch {
		case n.log.IsLeader() && n.leading.planner != nil:
			n.leading.planner.AddReport(n.now, n.log.State(), report)
		case n.leaderID != "" && n.leaderID != n.cfg.Self.ID:
			n.send(Packet{To: n.leaderID, ReplicaReport: &report})
		}
	}
}

// reportFault logs one kind of fault once.
func (n *Node) reportFault(message string, version uint64, detail string) {
	if n.reportedFaults[message] {
		return
	}
	n.reportedFaults[message] = true
	n.ready.Events = append(n.ready.Events, Event{Message: message, Detail: detail, Version: version, IsAlert: true})
}
