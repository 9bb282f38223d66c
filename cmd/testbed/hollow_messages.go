package main

import (
	"net/netip"
	"time"

	"sabletally/internal/lab/scale"
)

// hollowConfig configures a hollow balancer process; the first request carries it.
type hollowConfig struct {
	Fleet     string
	Seeds     []netip.AddrPort // addresses of the control processes
	Seed      uint64           // base of the seeds of the clients' random generators
	Balancers []hollowBalancer
}

// hollowBalancer identifies one hollow balancer and its failure domains.
type hollowBalancer struct {
	Index       int
	Incarnation uint64 // number of its latest incarnation, 0 before the first
	Name        string
	Machine     string
	Zone        string
	Site        string
}

// hollowRequest is one request to a hollow balancer process, which carries out its parts in the order of the fields.
type hollowRequest struct {
	Config       *hollowConfig // set in the first request only
	Stop         []int         // indices of the balancers to stop
	Start        []int         // indices of the balancers to start
	StatusNumber int           // number that the status sent in response carries; 0 to request no status
	WithFinal    bool          // whether the status includes the final state of each balancer
}

// hollowMessage is one message from a hollow balancer process.
type hollowMessage struct {
	Events []hollowEvent
	Status *hollowStatus
	Error  string // reason why the process failed; set in its last message only
}

// hollowEventKind is what happened to a hollow balancer.
type hollowEventKind uint8

const (
	eventStarted hollowEventKind = iota
	eventStopped
	eventApplied // the balancer reached a version
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

// hollowEvent is something that happened to one hollow balancer.
type hollowEvent struct {
	Balancer int // index of the balancer
	Kind     hollowEventKind
	Version  uint64        // version that the balancer reached, for eventApplied
	At       time.Duration // time on the boot clock, which all processes of the machine share
}

// feedState identifies the state of a subscriber or a publisher.
type feedState struct{ Version, Digest uint64 }

// hollowStatus sums up many hollow balancers. Its counters include incarnations that have ended; its other fields describe only the
// balancers that run.
type hollowStatus struct {
	Number     int               // number of the request that this status answers
	Up         int               // number of balancers that run
	Current    int               // number of balancers with a valid lease
	States     map[feedState]int // number of balancers by state
	Publishers map[string]int    // number of connections by address of the publisher

	Sent          int64 // bytes that the balancers sent
	Received      int64 // bytes that the balancers received
	Snapshots     uint64
	LeaseExpiries uint64
	Rejected      uint64 // number of messages that were invalid or had a wrong digest
	Conflicts     uint64
	Changes       uint64
	Duplicates    uint64
	Gaps          uint64
	SyncRequests  uint64
	CPU           time.Duration // processor time of the whole process

	Finals map[int]scale.Final // final state by index of the balancer, if requested
}

func newHollowStatus(number int) *hollowStatus {
	return &hollowStatus{
		Number:     number,
		States:     map[feedState]int{},
		Publishers: map[string]int{},
		Finals:     map[int]scale.Final{},
	}
}

// add adds the counters and figures of another status to s.
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
