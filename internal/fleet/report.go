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
	Fleet    string `json:"fleet"`
	Role     string `json:"role,omitempty"` // as the file has it
	Member   bool   `json:"member"`         // this process has the directory
	Why      string `json:"why,omitempty"`
	Standing string `json:"standing,omitempty"`
	Self     *One   `json:"self,omitempty"`
	Others   []One  `json:"others,omitempty"`
	Here     int    `json:"here"`
	Copies   int    `json:"copies"`
	Machines int    `json:"machines"`
	Health   int    `json:"health"` // 0 is well; each point widens this member's own time-outs
	Stalls   int    `json:"stalls"`
	Refused  int    `json:"refused"`
	Odd      int64  `json:"odd"`
	Dropped  int64  `json:"dropped"`
	Unopened int64  `json:"unopened"`
	Sent     int64  `json:"sent"` // bytes of datagrams
	Heard    int64  `json:"heard"`

	Held       *Holdings   `json:"held,omitempty"`
	Following  *Following  `json:"following,omitempty"`  // in role "balancer"
	Publishing *Publishing `json:"publishing,omitempty"` // of a control process
}

// Following is what a balancer knows that follows control processes.
type Following struct {
	ID         string   `json:"id"` // of the fleet; empty before it is known
	Version    uint64   `json:"version"`
	Digest     uint64   `json:"digest"`
	Keys       int      `json:"keys"`
	Bytes      int      `json:"bytes"`
	Current    bool     `json:"current"`
	Age        float64  `json:"age"`    // seconds since what is known was all there is; -1 where that was never known
	Relays     []string `json:"relays"` // that are followed
	Changes    uint64   `json:"changes"`
	Snapshots  uint64   `json:"snapshots"`
	Gaps       uint64   `json:"gaps"`
	Mismatches uint64   `json:"mismatches"`
	Conflicts  uint64   `json:"conflicts"`
	Refused    uint64   `json:"refused"`
	Lapses     uint64   `json:"lapses"` // times that it was no longer current
	Waiting    int      `json:"waiting"`
	Sent       int64    `json:"sent"`
	Got        int64    `json:"got"`
}

// Publishing is what a control process does for those that follow it.
type Publishing struct {
	Followers int     `json:"followers"`
	Most      int     `json:"most"`
	Current   int     `json:"current"` // followers that have acknowledged the newest version
	Waiting   int     `json:"waiting"` // for a snapshot
	Blocked   int     `json:"blocked"` // that take nothing at the moment
	Lowest    uint64  `json:"lowest"`  // version that one of them has acknowledged
	Version   uint64  `json:"version"`
	Digest    uint64  `json:"digest"`
	Age       float64 `json:"age"` // as in Following
	Changes   uint64  `json:"changes"`
	Snapshots uint64  `json:"snapshots"`
	Came      uint64  `json:"came"`
	Lapsed    uint64  `json:"lapsed"`
	Slow      uint64  `json:"slow"`
	Full      uint64  `json:"full"` // that were sent elsewhere, as there was no room
	Bad       uint64  `json:"bad"`
	Ops       int64   `json:"ops"`
	Busy      int64   `json:"busy"`
	Writes    int64   `json:"writes"` // to followers, each of all that waited for one
	Sent      int64   `json:"sent"`
	Got       int64   `json:"got"`
}

// Holdings is what lies here, and what is agreed.
type Holdings struct {
	ID       string         `json:"id"` // of the fleet, drawn when it was founded; empty before
	Epoch    uint64         `json:"epoch"`
	Members  int            `json:"members"`             // of the epoch
	Voters   int            `json:"voters"`              // as this member knows; 0 where it does not vote
	VotersAt []string       `json:"voters-at,omitempty"` // their sites
	Version  uint64         `json:"version"`             // of what is agreed
	Leads    bool           `json:"leads"`
	Slots    map[int]int    `json:"slots"` // by number of members that hold all of one
	Mine     int            `json:"mine"`
	Records  int            `json:"records"`
	Bytes    int            `json:"bytes"`
	File     int64          `json:"file"`
	Disk     string         `json:"disk,omitempty"` // what is wrong with it: nothing is promised here then
	Refusals map[string]int `json:"refusals,omitempty"`
	Sent     int64          `json:"sent"`
	Got      int64          `json:"got"`
	Dropped  int64          `json:"dropped"`
	Odd      int64          `json:"odd"`
	Writes   int64          `json:"writes"`
}

// One is one member in a report.
type One struct {
	Name    string  `json:"name"`
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Machine string  `json:"machine"`
	Zone    string  `json:"zone"`
	Site    string  `json:"site"`
	Life    uint64  `json:"life"`
	State   string  `json:"state"`
	Seconds float64 `json:"seconds"` // in this state
	By      string  `json:"by,omitempty"`
}

func one(m membership.Member) One {
	return One{Name: m.Name, ID: m.ID, Addr: m.Addr.String(), Machine: m.Machine, Zone: m.Zone, Site: m.Site, Life: m.Incarnation,
		State: membership.Alive.String()}
}

// Report answers at once, from what is published.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	t, w, h, err := f.touch, f.wire, f.held, f.err
	f.mu.Unlock()
	r := Report{Fleet: f.file.FleetName, Role: f.file.Role, Copies: f.file.Replicas}
	f.mu.Lock()
	tier, p, place := f.tier, f.feed, f.seat
	f.mu.Unlock()
	if tier != nil {
		r.following(f, tier, place)
		return r
	}
	switch {
	case err != nil:
		r.Why = err.Error()
	case t == nil:
		r.Why = "the old process of an upgrade is the member yet"
	}
	if t == nil {
		return r
	}
	s, now := t.Status(), boottime.Now()
	self := one(s.Self)
	r.Member, r.Self, r.Standing, r.Here = true, &self, s.Standing.String(), 1
	r.Health, r.Stalls, r.Refused, r.Odd = s.HealthScore, s.Stalls, s.Rejected, s.Malformed
	r.Dropped, r.Unopened, r.Sent, r.Heard = w.DatagramsDropped.Load(), w.StreamsRejected.Load(), w.BytesSent.Load(), w.BytesReceived.Load()
	a := h.Status()
	r.Held = &Holdings{ID: a.FleetID, Epoch: a.Epoch, Members: a.Members, Voters: a.Voters, Leads: a.IsLeader, Slots: a.ReplicaCounts, Mine: a.LocalShards, Records: a.Keys,
		Bytes: a.Bytes, File: a.FileBytes, Disk: a.DiskError, Refusals: a.Rejections, Sent: a.BytesSent, Got: a.BytesReceived, Dropped: a.PacketsDropped, Odd: a.Malformed, Writes: a.Writes,
		VotersAt: a.VoterSites, Version: a.Version}
	if p != nil {
		r.Publishing = publishing(p.Status(), f.file.MaxFollowers)
	}
	machines := map[string]bool{s.Self.Machine: true}
	for _, k := range s.Peers {
		o := one(k.Member)
		o.State, o.Seconds, o.By = k.State.String(), (now - k.Since).Seconds(), k.ReplacedBy
		r.Others = append(r.Others, o)
		if k.State == membership.Alive {
			r.Here++
			machines[k.Machine] = true
		}
	}
	r.Machines = len(machines)
	return r
}

// following fills in what a balancer shows that follows control processes.
func (r *Report) following(f *Fleet, t *subscriber.Follow, place *datadir.Directory) {
	s := t.Status()
	r.Member, r.Copies, r.Here, r.Standing = true, 0, 1, "current"
	if !s.Current {
		r.Standing = "not current"
	}
	r.Self = &One{Name: f.name, ID: place.MemberID, Machine: f.file.Machine, Zone: f.file.Zone, Site: f.file.Site, Life: place.Incarnation, State: membership.Alive.String()}
	c := s.Count
	r.Following = &Following{ID: s.Fleet, Version: s.Version, Digest: s.Digest, Keys: s.Keys, Bytes: s.Bytes, Current: s.Current, Age: seconds(s.Age, s.Known),
		Relays: s.Relays, Changes: c.Changes, Snapshots: c.Snapshots, Gaps: c.Gaps, Mismatches: c.Mismatches, Conflicts: c.Conflicts, Refused: c.Refused,
		Lapses: c.Lapses, Waiting: s.Waiting, Sent: s.Sent, Got: s.Got}
}

func publishing(s publisher.Status, most int) *Publishing {
	c := s.Count
	return &Publishing{Followers: s.Followers.Here, Most: most, Current: s.Followers.Current, Waiting: s.Followers.Waiting, Blocked: s.Followers.Blocked,
		Lowest: s.Followers.Lowest, Version: s.Version, Digest: s.Digest, Age: seconds(s.Age, s.Known), Changes: c.Changes, Snapshots: c.Snapshots, Came: c.Came,
		Lapsed: c.Lapsed, Slow: c.Slow, Full: c.Full, Bad: c.Bad, Ops: s.Ops, Busy: s.Busy, Writes: s.Writes, Sent: s.Sent, Got: s.Got}
}

func seconds(age time.Duration, known bool) float64 {
	if !known {
		return -1
	}
	return age.Seconds()
}
