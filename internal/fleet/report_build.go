package fleet

import (
	"time"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/nodeserver"
	"sabletally/internal/fleet/publisher"
	"sabletally/internal/fleet/subscriber"
)

// Values of Report.Standing for a balancer that follows control processes.
const (
	standingCurrent = "current"
	standingStale   = "not current"
)

// Report returns the report for operators. It does not block.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	m, client, openErr := f.member, f.client, f.openErr
	f.mu.Unlock()
	report := Report{Fleet: f.config.FleetName, Role: string(f.config.Role), Replicas: f.config.ReplicationFactor}
	switch {
	case client != nil:
		f.addClientReport(&report, client.Status())
	case m != nil:
		f.addMemberReport(&report, m)
	case openErr != nil:
		report.Reason = openErr.Error()
	default:
		report.Reason = "the old process of an upgrade is the member yet"
	}
	return report
}

// addClientReport adds to a report the part of a balancer that follows control processes.
func (f *Fleet) addClientReport(report *Report, status subscriber.Status) {
	f.mu.Lock()
	directory := f.directory
	f.mu.Unlock()
	report.Member = true
	report.Replicas = 0
	report.Alive = 1
	report.Standing = standingCurrent
	if !status.Current {
		report.Standing = standingStale
	}
	report.Self = &MemberReport{
		Name:        f.name,
		ID:          directory.MemberID,
		Machine:     f.config.Machine,
		Zone:        f.config.Zone,
		Site:        f.config.Site,
		Incarnation: directory.Incarnation,
		State:       membership.Alive.String(),
	}
	report.Subscriber = newSubscriberReport(status)
}

// addMemberReport adds to a report the part of a member.
func (f *Fleet) addMemberReport(report *Report, m *member) {
	status := m.agent.Status()
	self := newMemberReport(status.Self)
	report.Member = true
	report.Self = &self
	report.Standing = status.Standing.String()
	report.Health = status.HealthScore
	report.Pauses = status.Stalls
	report.Rejected = status.Rejected
	report.Malformed = status.Malformed
	report.Dropped = m.transport.DatagramsDropped.Load()
	report.Unopened = m.transport.StreamsRejected.Load()
	report.Sent = m.transport.BytesSent.Load()
	report.Received = m.transport.BytesReceived.Load()
	report.Store = newStoreReport(m.node.Status())
	if m.publisher != nil {
		report.Publisher = newPublisherReport(m.publisher.Status(), f.config.MaxSubscribers)
	}
	report.Alive = 1
	machines := map[string]bool{status.Self.Machine: true}
	now := boottime.Now()
	for _, peer := range status.Peers {
		report.Others = append(report.Others, newPeerReport(peer, now))
		if peer.State == membership.Alive {
			report.Alive++
			machines[peer.Machine] = true
		}
	}
	report.Machines = len(machines)
}

func newMemberReport(m membership.Member) MemberReport {
	return MemberReport{
		Name:        m.Name,
		ID:          m.ID,
		Addr:        m.Addr.String(),
		Machine:     m.Machine,
		Zone:        m.Zone,
		Site:        m.Site,
		Incarnation: m.Incarnation,
		State:       membership.Alive.String(),
	}
}

func newPeerReport(peer membership.Peer, now time.Duration) MemberReport {
	report := newMemberReport(peer.Member)
	report.State = peer.State.String()
	report.Seconds = (now - peer.Since).Seconds()
	report.ReplacedBy = peer.ReplacedBy
	return report
}

func newStoreReport(status nodeserver.Status) *StoreReport {
	return &StoreReport{
		ID:               status.FleetID,
		Epoch:            status.Epoch,
		Members:          status.MemberCount,
		Voters:           status.VoterCount,
		VoterSites:       status.VoterSites,
		Version:          status.Version,
		IsLeader:         status.IsLeader,
		ShardsByReplicas: status.ReplicaCounts,
		LocalShards:      status.LocalShards,
		Records:          status.RecordCount,
		Bytes:            status.RecordBytes,
		FileBytes:        status.FileBytes,
		DiskError:        status.DiskError,
		Rejections:       status.Rejections,
		Sent:             status.BytesSent,
		Received:         status.BytesReceived,
		Dropped:          status.PacketsDropped,
		Malformed:        status.Malformed,
		Writes:           status.WriteCount,
	}
}

func newSubscriberReport(status subscriber.Status) *SubscriberReport {
	return &SubscriberReport{
		ID:                status.Fleet,
		Version:           status.Version,
		Digest:            status.Digest,
		Keys:              status.Keys,
		Bytes:             status.Bytes,
		Current:           status.Current,
		Age:               ageSeconds(status.Age, status.AgeKnown),
		Publishers:        status.Publishers,
		Changes:           status.Stats.Changes,
		Snapshots:         status.Stats.Snapshots,
		Gaps:              status.Stats.Gaps,
		DigestMismatches:  status.Stats.DigestMismatches,
		Conflicts:         status.Stats.Conflicts,
		InvalidMessages:   status.Stats.InvalidMessages,
		LeaseExpiries:     status.Stats.LeaseExpiries,
		PendingOperations: status.PendingRequests,
		Sent:              status.Sent,
		Received:          status.Received,
	}
}

func newPublisherReport(status publisher.Status, maxSubscribers int) *PublisherReport {
	return &PublisherReport{
		Subscribers:        status.Subscribers.Connected,
		MaxSubscribers:     maxSubscribers,
		Current:            status.Subscribers.Current,
		AwaitingSnapshot:   status.Subscribers.AwaitingSnapshot,
		Blocked:            status.Subscribers.Blocked,
		LowestVersion:      status.Subscribers.LowestVersion,
		Version:            status.Version,
		Digest:             status.Digest,
		Age:                ageSeconds(status.Age, status.AgeKnown),
		Changes:            status.Stats.Changes,
		Snapshots:          status.Stats.Snapshots,
		Accepted:           status.Stats.Accepted,
		LeaseExpiries:      status.Stats.LeaseExpiries,
		SlowSubscribers:    status.Stats.SlowSubscribers,
		RejectedFull:       status.Stats.RejectedFull,
		MalformedMessages:  status.Stats.MalformedMessages,
		Operations:         status.Operations,
		RejectedOperations: status.RejectedOperations,
		Writes:             status.Writes,
		Sent:               status.Sent,
		Received:           status.Received,
	}
}

// ageSeconds returns an age in seconds, -1 if it is unknown.
func ageSeconds(age time.Duration, isKnown bool) float64 {
	if !isKnown {
		return -1
	}
	return age.Seconds()
}
