package main

import (
	"net/netip"
	"time"

	"sabletally/internal/lab/scale"
)

// hollowConfig configures a process of hollow balancers; the first request carries it.
type hollowConfig struct {
	Fleet     string
	Seeds     []netip.AddrPort // of the control tier
	Seed      uint64           // of the clients' random draws
	Balancers []hollowBalancer
}

// hollowBalancer identifies one balancer.
type hollowBalancer struct {
	Index       int
	Incarnation uint64 // of its latest run, 0 before the first
	Name        string
	Machine     string
	Zone        string
	Site        string
}

// hollowRequest is one request to a process of hollow balancers. Its parts are carried out in the order of the fields.
type hollowRequest struct {
	Config       *hollowConfig // in the first request, and only there
	Stop         []int         // balancers by index
	Start        []int
	StatusNumber int  // the status sent in response carries this number; 0: no status is wanted
	WithFinal    bool // the status includes what each balancer has received
}

// hollowMessage is one message from a process of hollow balancers.
type hollowMessage struct {
	Events []hollowEvent
	Status *hollowStatus
	Error  string // the process failed, and this is its last message
}

// hollowEventKind says what happened to a balancer.
type hollowEventKind uint8

const (
	eventStarted hollowEventKind = iota
	eventStopped
	eventApplied
)

func (k hollowEventKind) String() string {
	switch k {
	case eventStarted:
		return "started"
	case eventStopped:
		return "stopped"
	case eventApplied:
		return "applied"
	default:
		return "unknown"
	}
}

// hollowEvent is something that happened to one balancer.
type hollowEvent struct {
	Balancer int
	Kind     hollowEventKind
	Version  uint64        // applied
	At       time.Duration // boot clock, which all processes share
}

// feedState identifies the state that a subscriber or a publisher has.
type feedState struct{ Version, Digest uint64 }

// hollowStatus sums up balancers. Counters include incarnations that have ended; the rest describes those that run.
type hollowStatus struct {
	Number     int
	Up         int
	Current    int // balancers with a valid lease
	States     map[feedState]int
	Publishers map[string]int // connections by publisher address

	Sent          int64 // bytes
	Received      int64 // bytes
	Snapshots     uint64
	LeaseExpiries uint64
	Rejected      uint64 // messages that were invalid or had a wrong digest
	Conflicts     uint64
	Changes       uint64
	Duplicates    uint64
	Gaps          uint64
	SyncRequests  uint64
	CPU           time.Duration // of the whole process

	Finals map[int]scale.Final // by balancer, if they were requested
}

func newHollowStatus(number int) *hollowStatus {
	return &hollowStatus{
		Number:     number,
		States:     map[feedState]int{},
		Publishers: map[string]int{},
		Finals:     map[int]scale.Final{},
	}
}

// add adds another status to s.
func (s *hollowStatus) add(other *hollowStatus) {
	s.Up += other.Up
	s.Current += other.Current
	s.Sent += other.Sent
	s.Received += other.Received
	s.Snapshots += other.Snapshots
	s.LeaseExpiries += other.LeaseExpiries
	s.Rejected += other.Rejected
	s.Conflicts += other.Conflicts
	s.Changes += other.Changes
	s.Duplicates += other.Duplicates
	s.Gaps += other.Gaps
	s.SyncRequests += other.SyncRequests
	s.CPU += other.CPU
	for state, count := range other.States {
		s.States[state] += count
	}
	for publisher, count := range other.Publishers {
		s.Publishers[publisher] += count
	}
	for balancer, final := range other.Finals {
		s.Finals[balancer] = final
	}
}

// addClient adds one client's counters to s.
func (s *hollowStatus) addClient(client *subscriberStatus) {
	s.Sent += client.Sent
	s.Received += client.Received
	stats := &client.Stats
	s.Snapshots += stats.Snapshots
	s.LeaseExpiries += stats.LeaseExpiries
	s.Rejected += stats.InvalidMessages + stats.DigestMismatches
	s.Conflicts += stats.Conflicts
	s.Changes += stats.Changes
	s.Duplicates += stats.Duplicates
	s.Gaps += stats.Gaps
	s.SyncRequests += stats.SyncRequests
}
