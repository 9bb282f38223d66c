package nodeserver

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/replication"
)

const statusInterval = 100 * time.Millisecond

// Status is what was known at one moment.
type Status struct {
	FleetID string // empty before the fleet was bootstrapped

	// The agreed state.
	Version     uint64
	Digest      uint64
	Epoch       uint64
	MemberCount int           // of the epoch
	ChangesKept int           // newest changes that are kept
	AsOf        time.Duration // nothing newer than Version was agreed up to then
	HasAsOf     bool          // AsOf is valid

	// The log; there are no voters where this member does not vote.
	IsLeader   bool
	VoterCount int
	VoterSites []string

	// The replicas.
	ReplicaCounts map[int]int // number of shards by number of replicas in sync
	LocalShards   int         // that have a replica here
	RecordCount   int
	RecordBytes   int            // of keys and values
	Rejections    map[string]int // operations by reason

	// The disk.
	DiskError  string // why nothing is confirmed any more; empty while all is well
	FileBytes  int64
	WriteCount int64

	// The links to the other members.
	BytesSent      int64
	BytesReceived  int64
	PacketsDropped int64
	Malformed      int64 // packets and streams
}

// Status returns what was last published.
func (s *Server) Status() Status { return *s.status.Load() }

// publishStatus makes what the node knows readable by Status.
func (s *Server) publishStatus() {
	state, feed := s.node.State(), s.node.FeedState()
	status := &Status{
		FleetID:        state.FleetID,
		Version:        feed.Version(),
		Digest:         feed.Digest(),
		Epoch:          state.Epoch,
		MemberCount:    len(state.Members),
		ChangesKept:    s.node.ChangeCount(),
		IsLeader:       s.node.IsLeader(),
		VoterCount:     len(s.node.Voters()),
		VoterSites:     s.voterSites(),
		ReplicaCounts:  map[int]int{},
		Rejections:     map[string]int{},
		FileBytes:      s.store.Size(),
		WriteCount:     s.store.WriteCount,
		BytesSent:      s.links.bytesSent.Load(),
		BytesReceived:  s.links.bytesReceived.Load(),
		PacketsDropped: s.links.dropped.Load() + s.droppedPackets.Load(),
		Malformed:      s.links.malformed.Load(),
	}
	status.AsOf, status.HasAsOf = s.node.AsOf()
	status.RecordCount, status.RecordBytes = s.node.Replicas().Usage()
	for _, configuration := range state.Configurations {
		status.ReplicaCounts[len(configuration.InSync)]++
		if slices.Contains(configuration.InSync, s.opt.NodeConfig.Self.ID) {
			status.LocalShards++
		}
	}
	for reason, n := range s.node.Replicas().Rejections {
		if n > 0 {
			status.Rejections[replication.RejectReason(reason).String()] = n
		}
	}
	if s.failure != nil {
		status.DiskError = s.failure.Error()
	}
	s.status.Store(status)
}

// voterSites returns the sites of the voters that are members of the epoch.
func (s *Server) voterSites() []string {
	var sites []string
	for _, id := range s.node.Voters() {
		for _, m := range s.node.State().Members {
			if consensus.NodeID(m.ID) == id {
				sites = append(sites, m.Site)
			}
		}
	}
	return sites
}
