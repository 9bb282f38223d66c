package nodeserver

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/replication"
)

// statusInterval is the minimum time between two publications of the status.
const statusInterval = 100 * time.Millisecond

// Status is a snapshot of a server's state and counters for reports.
type Status struct {
	FleetID string // empty while this member knows no fleet

	// Agreed state.
	Version     uint64
	Digest      uint64
	Epoch       uint64
	MemberCount int           // number of members of the epoch
	ChangesKept int           // number of changes that are kept in memory
	AsOf        time.Duration // latest time at which Version was the newest agreed version
	HasAsOf     bool          // whether AsOf is valid

	// Log. A member that does not vote knows no voters.
	IsLeader   bool
	VoterCount int
	VoterSites []string

	// Replicas.
	ReplicaCounts map[int]int    // number of shards by their number of in-sync replicas
	LocalShards   int            // number of shards with an in-sync replica on this member
	RecordCount   int            // number of records on this member
	RecordBytes   int            // size of the records' keys and values
	Rejections    map[string]int // number of rejected operations, by reason

	// Disk.
	DiskError  string // the failure after which this member confirms nothing; empty if there was none
	FileBytes  int64  // size of the store's file
	WriteCount int64  // number of transactions written to the store

	// Links to the other members.
	BytesSent      int64
	BytesReceived  int64
	PacketsDropped int64
	Malformed      int64 // number of rejected packets and streams
}

// Status returns the status that was published last.
func (s *Server) Status() Status { return *s.status.Load() }

// publishStatus collects the status that Status returns.
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
		PacketsDropped: s.links.packetsDropped.Load() + s.droppedPackets.Load(),
		Malformed:      s.links.malformedCount.Load(),
	}
	status.AsOf, status.HasAsOf = s.node.ConfirmedAt()
	status.RecordCount, status.RecordBytes = s.node.Replicas().Usage()
	for _, configuration := range state.Configurations {
		status.ReplicaCounts[len(configuration.InSync)]++
		if slices.Contains(configuration.InSync, s.options.NodeConfig.Self.ID) {
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

// voterSites returns the site of each voter that is a member of the epoch.
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
