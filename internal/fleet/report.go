// This file owns what operators are shown.

package fleet

import (
	"time"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/datadir"
	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/publisher"
	"sabletally/internal/fleet/subscriber"
)

// Report is what operators are shown.
type Report struct {
	Fleet     string         `json:"fleet"`
	Role      string         `json:"role,omitempty"` // as the file has it
	Member    bool           `json:"member"`         // this process has the directory
	Reason    string         `json:"why,omitempty"`
	Standing  string         `json:"standing,omitempty"`
	Self      *MemberReport  `json:"self,omitempty"`
	Others    []MemberReport `json:"others,omitempty"`
	Alive     int            `json:"here"`
	Replicas  int            `json:"copies"`
	Machines  int            `json:"machines"`
	Health    int            `json:"health"` // 0 is well; each point widens this member's own time-outs
	Pauses    int            `json:"stalls"`
	Rejected  int            `json:"refused"`
	Malformed int64          `json:"odd"`
	Dropped   int64          `json:"dropped"`
	Unopened  int64          `json:"unopened"`
	Sent      int64          `json:"sent"` // bytes of datagrams
	Received  int64          `json:"heard"`

	Store      *StoreReport      `json:"held,omitempty"`
	Subscriber *SubscriberReport `json:"following,omitempty"`  // in role "balancer"
	Publisher  *PublisherReport  `json:"publishing,omitempty"` // of a control process
}

// SubscriberReport is what a balancer knows that follows control processes.
type SubscriberReport struct {
	ID                string   `json:"id"` // of the fleet; empty before it is known
	Version           uint64   `json:"version"`
	Digest            uint64   `json:"digest"`
	Keys              int      `json:"keys"`
	Bytes             int      `json:"bytes"`
	Current           bool     `json:"current"`
	Age               float64  `json:"age"`    // seconds since what is known was all there is; -1 where that was never known
	Publishers        []string `json:"relays"` // that are followed
	Changes           uint64   `json:"changes"`
	Snapshots         uint64   `json:"snapshots"`
	Gaps              uint64   `json:"gaps"`
	DigestMismatches  uint64   `json:"mismatches"`
	Conflicts         uint64   `json:"conflicts"`
	InvalidMessages   uint64   `json:"refused"`
	LeaseExpiries     uint64   `json:"lapses"` // times that it was no longer current
	PendingOperations int      `json:"waiting"`
	Sent              int64    `json:"sent"`
	Received          int64    `json:"got"`
}

// PublisherReport is what a control process does for those that follow it.
type PublisherReport struct {
	Subscribers        int     `json:"followers"`
	MaxSubscribers     int     `json:"most"`
	Current            int     `json:"current"` // followers that have acknowledged the newest version
	AwaitingSnapshot   int     `json:"waiting"` // for a snapshot
	Blocked            int     `json:"blocked"` // that take nothing at the moment
	LowestVersion      uint64  `json:"lowest"`  // version that one of them has acknowledged
	Version            uint64  `json:"version"`
	Digest             uint64  `json:"digest"`
	Age                float64 `json:"age"` // as in Following
	Changes            uint64  `json:"changes"`
	Snapshots          uint64  `json:"snapshots"`
	Accepted           uint64  `json:"came"`
	LeaseExpiries      uint64  `json:"lapsed"`
	SlowSubscribers    uint64  `json:"slow"`
	RejectedFull       uint64  `json:"full"` // that were sent elsewhere, as there was no room
	MalformedMessages  uint64  `json:"bad"`
	Operations         int64   `json:"ops"`
	RejectedOperations int64   `json:"busy"`
	Writes             int64   `json:"writes"` // to followers, each of all that waited for one
	Sent               int64   `json:"sent"`
	Received           int64   `json:"got"`
}

// StoreReport is what lies here, and what is agreed.
type StoreReport struct {
	ID               string         `json:"id"` // of the fleet, drawn when it was founded; empty before
	Epoch            uint64         `json:"epoch"`
	Members          int            `json:"members"`             // of the epoch
	Voters           int            `json:"voters"`              // as this member knows; 0 where it does not vote
	VoterSites       []string       `json:"voters-at,omitempty"` // their sites
	Version          uint64         `json:"version"`             // of what is agreed
	IsLeader         bool           `json:"leads"`
	ShardsByReplicas map[int]int    `json:"slots"` // by number of members that hold all of one
	LocalShards      int            `json:"mine"`
	Records          int            `json:"records"`
	Bytes            int            `json:"bytes"`
	FileBytes        int64          `json:"file"`
	DiskError        string         `json:"disk,omitempty"` // what is wrong with it: nothing is promised here then
	Rejections       map[string]int `json:"refusals,omitempty"`
	Sent             int64          `json:"sent"`
	Received         int64          `json:"got"`
	Dropped          int64          `json:"dropped"`
	Malformed        int64          `json:"odd"`
	Writes           int64          `json:"writes"`
}

// MemberReport is one member in a report.
type MemberReport struct {
	Name        string  `json:"name"`
	ID          string  `json:"id"`
	Addr        string  `json:"addr"`
	Machine     string  `json:"machine"`
	Zone        string  `json:"zone"`
	Site        string  `json:"site"`
	Incarnation uint64  `json:"life"`
	State       string  `json:"state"`
	Seconds     float64 `json:"seconds"` // in this state
	ReportedBy  string  `json:"by,omitempty"`
}

func one(m membership.Member) MemberReport {
	return MemberReport{Name: m.Name, ID: m.ID, Addr: m.Addr.String(), Machine: m.Machine, Zone: m.Zone, Site: m.Site, Incarnation: m.Incarnation,
		State: membership.Alive.String()}
}

// Report answers at once, from what is published.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	t, w, h, err := f.touch, f.wire, f.held, f.err
	f.mu.Unlock()
	r := Report{Fleet: f.file.FleetName, Role: string(f.file.Role), Replicas: f.file.ReplicationFactor}
	f.mu.Lock()
	tier, p, place := f.tier, f.feed, f.seat
	f.mu.Unlock()
	if tier != nil {
		r.following(f, tier, place)
		return r
	}
	switch {
	case err != nil:
		r.Reason = err.Error()
	case t == nil:
		r.Reason = "the old process of an upgrade is the member yet"
	}
	if t == nil {
		return r
	}
	s, now := t.Status(), boottime.Now()
	self := one(s.Self)
	r.Member, r.Self, r.Standing, r.Alive = true, &self, s.Standing.String(), 1
	r.Health, r.Pauses, r.Rejected, r.Malformed = s.HealthScore, s.Stalls, s.Rejected, s.Malformed
	r.Dropped, r.Unopened, r.Sent, r.Received = w.DatagramsDropped.Load(), w.StreamsRejected.Load(), w.BytesSent.Load(), w.BytesReceived.Load()
	a := h.Status()
	r.Store = &StoreReport{ID: a.FleetID, Epoch: a.Epoch, Members: a.MemberCount, Voters: a.VoterCount, IsLeader: a.IsLeader, ShardsByReplicas: a.ReplicaCounts, LocalShards: a.LocalShards, Records: a.RecordCount,
		Bytes: a.RecordBytes, FileBytes: a.FileBytes, DiskError: a.DiskError, Rejections: a.Rejections, Sent: a.BytesSent, Received: a.BytesReceived, Dropped: a.PacketsDropped, Malformed: a.Malformed, Writes: a.WriteCount,
		VoterSites: a.VoterSites, Version: a.Version}
	if p != nil {
		r.Publisher = publishing(p.Status(), f.file.MaxFollowers)
	}
	machines := map[string]bool{s.Self.Machine: true}
	for _, k := range s.Peers {
		o := one(k.Member)
		o.State, o.Seconds, o.ReportedBy = k.State.String(), (now - k.Since).Seconds(), k.ReplacedBy
		r.Others = append(r.Others, o)
		if k.State == membership.Alive {
			r.Alive++
			machines[k.Machine] = true
		}
	}
	r.Machines = len(machines)
	return r
}

// following fills in what a balancer shows that follows control processes.
func (r *Report) following(f *Fleet, t *subscriber.Client, place *datadir.Directory) {
	s := t.Status()
	r.Member, r.Replicas, r.Alive, r.Standing = true, 0, 1, "current"
	if !s.Current {
		r.Standing = "not current"
	}
	r.Self = &MemberReport{Name: f.name, ID: place.MemberID, Machine: f.file.Machine, Zone: f.file.Zone, Site: f.file.Site, Incarnation: place.Incarnation, State: membership.Alive.String()}
	c := s.Stats
	r.Subscriber = &SubscriberReport{ID: s.Fleet, Version: s.Version, Digest: s.Digest, Keys: s.Keys, Bytes: s.Bytes, Current: s.Current, Age: seconds(s.Age, s.AgeKnown),
		Publishers: s.Publishers, Changes: c.Changes, Snapshots: c.Snapshots, Gaps: c.Gaps, DigestMismatches: c.DigestMismatches, Conflicts: c.Conflicts, InvalidMessages: c.InvalidMessages,
		LeaseExpiries: c.LeaseExpiries, PendingOperations: s.Waiting, Sent: s.Sent, Received: s.Received}
}

func publishing(s publisher.Status, most int) *PublisherReport {
	c := s.Stats
	return &PublisherReport{Subscribers: s.Subscribers.Connected, MaxSubscribers: most, Current: s.Subscribers.Current, AwaitingSnapshot: s.Subscribers.AwaitingSnapshot, Blocked: s.Subscribers.Blocked,
		LowestVersion: s.Subscribers.LowestVersion, Version: s.Version, Digest: s.Digest, Age: seconds(s.Age, s.AgeKnown), Changes: c.Changes, Snapshots: c.Snapshots, Accepted: c.Accepted,
		LeaseExpiries: c.LeaseExpiries, SlowSubscribers: c.SlowSubscribers, RejectedFull: c.RejectedFull, MalformedMessages: c.MalformedMessages, Operations: s.Operations, RejectedOperations: s.RejectedOperations, Writes: s.Writes, Sent: s.Sent, Received: s.Received}
}

func seconds(age time.Duration, known bool) float64 {
	if !known {
		return -1
	}
	return age.Seconds()
}
