// Package membership keeps one member's view of the fleet: which other members are alive, have failed or have left, which addresses to join
// so that a partitioned fleet merges again, and whether this member may rely on its view. It is a pure state machine: it takes events and
// the time and returns actions, so that simulations run the production code. It must never read a clock, open a socket or use randomness
// other than that of its seed. It must never decide which members hold a record: that is agreed on elsewhere, and a member that is alive
// may not hold it.
//
// All times are readings of one machine's clock, which keeps running while the process is paused.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Intervals of the table. None of them depends on the size of the fleet.
const (
	HeartbeatInterval = 100 * time.Millisecond // time between two calls of Tick
	StallThreshold    = time.Second            // a longer gap between two ticks counts as a pause of the process, in which others may have declared this member failed
)

const randomStream = 0x3e3b // separates this package's random numbers from others that are drawn from the same seed

// Member is the description of a member that it gossips itself.
type Member struct {
	ID   string // 32 hexadecimal digits, drawn at random when its data directory is created
	Name string // name of the balancer
	Addr netip.AddrPort

	// Failure domains of the member, each one part of the next.
	Machine string
	Zone    string
	Site    string

	Incarnation        uint64 // number of process starts with this data directory
	Leaving            bool   // the member is alive and about to leave; others have to take over from it
	ProtocolVersion    int    // newest protocol version that the member supports
	MinProtocolVersion int    // oldest protocol version that the member supports
}

// State is the state of another member.
type State uint8

// The states of another member.
const (
	Alive  State = iota
	Failed       // the member is dead or unreachable
	Left         // the member announced that it leaves
)

// String returns the name of the state in reports for operators.
func (s State) String() string { return [...]string{"here", "gone", "left"}[s] }

// Peer is this member's view of another member.
type Peer struct {
	Member
	State      State
	Since      time.Duration // time of the last change of State
	Returns    int           // number of times that the member came back within flapWindow
	ReplacedBy string        // ID of the member that uses this one's address with another data directory; this one's directory is lost. Empty if there is none

	flapWindowStart time.Duration // time from which Returns is counted
}

// isLost reports whether the peer will not come back, as another member uses its address.
func (p *Peer) isLost() bool { return p.ReplacedBy != "" }

// QuorumState says whether a member may rely on its view of the fleet, and if not, why.
type QuorumState uint8

// The quorum states. A member may rely on its view only in Quorum.
const (
	Joining   QuorumState = iota // this member has not met another member yet
	Quorum                       // more than half of all known members are alive, this one included
	NoQuorum                     // half of all known members or fewer are alive; the others may have continued without this member
	Resuming                     // the process was paused, and too few members have responded since then
	Duplicate                    // another process runs with a copy of the data directory
)

// String returns the name of the quorum state in reports for operators.
func (s QuorumState) String() string {
	return [...]string{"joining", "together", "apart", "waking", "doubled"}[s]
}

// Config holds the parameters of a table.
type Config struct {
	Self              Member
	Seeds             []netip.AddrPort
	ReplicationFactor int           // number of machines that have to be alive for all replicas of a record
	ForgetAfter       time.Duration // time after which a failed member is no longer part of the fleet
	MaxMembers        int           // largest number of other members in the table
	Seed              uint64
}

// Table holds one member's view of the others. It must be used by one goroutine at a time.
type Table struct {
	Rejected int // number of new members that were rejected because the table was full
	Stalls   int // number of pauses of this process

	cfg          Config
	rng          *rand.Rand
	now          time.Duration // time of the newest tick
	peers        map[string]*Peer
	hasMetMember bool // whether another member was met, or there are no other seeds
	joins        joinAttempts
	pings        pingRound
	conflict     conflict
	actions      []Action

	lastStanding  QuorumState // quorum state that was reported last
	lacksMachines bool        // whether the last report said that fewer machines than ReplicationFactor are alive
}

// New returns a table without other members.
func New(cfg Config, now time.Duration) *Table {
	t := &Table{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		now:   now,
		peers: map[string]*Peer{},
		joins: joinAttempts{targets: map[netip.AddrPort]*joinTarget{}, nextAt: now},
		pings: pingRound{responded: map[string]bool{}},
	}
	for _, seed := range cfg.Seeds {
		if seed != cfg.Self.Addr {
			t.joins.targets[seed] = &joinTarget{nextAt: now}
		}
	}
	t.hasMetMember = len(t.joins.targets) == 0
	t.lastStanding = t.QuorumState(now)
	return t
}

// QuorumState returns the state of this member's quorum at the given time. The caller must read the clock for each call: a process that
// has just resumed from a pause may not have had a tick yet.
func (t *Table) QuorumState(now time.Duration) QuorumState {
	switch {
	case t.conflict.confirmed:
		return Duplicate
	case t.pings.active || now-t.now > StallThreshold:
		return Resuming
	case !t.hasMetMember:
		return Joining
	case 2*(t.aliveCount()+1) <= t.fleetSize()+1:
		return NoQuorum
	}
	return Quorum
}

// Peers returns all other members, sorted by name.
func (t *Table) Peers() []Peer {
	var peers []Peer
	for _, peer := range t.peersByID() {
		peers = append(peers, *peer)
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// peersByID returns all other members, sorted by ID, so that no decision depends on the iteration order of a map.
func (t *Table) peersByID() []*Peer {
	peers := make([]*Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// aliveCount returns the number of other members that are alive.
func (t *Table) aliveCount() int {
	return t.countPeers(func(peer *Peer) bool { return peer.State == Alive })
}

// fleetSize returns the number of other members that are alive or may come back.
func (t *Table) fleetSize() int {
	return t.countPeers(func(peer *Peer) bool { return peer.State == Alive || peer.State == Failed && !peer.isLost() })
}

// countPeers returns the number of other members that match.
func (t *Table) countPeers(matches func(*Peer) bool) int {
	n := 0
	for _, peer := range t.peers {
		if matches(peer) {
			n++
		}
	}
	return n
}

// aliveMachines returns the number of machines with a member that is alive, this member's machine included.
func (t *Table) aliveMachines() int {
	machines := map[string]bool{t.cfg.Self.Machine: true}
	for _, peer := range t.peers {
		if peer.State == Alive {
			machines[peer.Machine] = true
		}
	}
	return len(machines)
}
