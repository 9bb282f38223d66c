// Package membership decides what one member believes of the others: which are alive, failed or have left, which addresses to join so that
// a partitioned fleet becomes one again, and whether this member may rely on what it knows. It is pure: events and a time in, actions
// out, so that simulations run the code that ships. It must never read a clock, open a socket or use randomness other than its seed's,
// and it must never vouch for a record: which members have one is agreed elsewhere, and a member that is alive may not.
//
// All times are of one machine's clock, which goes on while the process is paused.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Intervals of the table; none depends on the size of the fleet.
const (
	HeartbeatInterval = 100 * time.Millisecond // between two calls of Tick
	StallThreshold    = time.Second            // a longer gap between two ticks is a pause, in which others may have declared this member failed
)

const randomStream = 0x3e3b // keeps this package's random numbers apart from others of the same seed

// Member is what a member says of itself.
type Member struct {
	ID   string // 32 hexadecimal digits, drawn with its data directory
	Name string // of the balancer
	Addr netip.AddrPort

	// Failure domains, each within the next one.
	Machine string
	Zone    string
	Site    string

	Incarnation        uint64 // number of starts
	Leaving            bool   // it is alive and about to leave: others are to take over from it
	ProtocolVersion    int    // the newest that it speaks
	MinProtocolVersion int    // the oldest that it speaks
}

// State is the state of another member.
type State uint8

// The states of a member.
const (
	Alive  State = iota
	Failed       // dead or unreachable
	Left         // it announced its end
)

// String returns the state as operators' reports have it.
func (s State) String() string { return [...]string{"here", "gone", "left"}[s] }

// Peer is another member and what is known of it.
type Peer struct {
	Member
	State      State
	Since      time.Duration // when it came into this state
	Returns    int           // times that it came back within flapWindow
	ReplacedBy string        // ID of a member that has its address with another data directory: this one's is lost; empty for none

	flapWindowStart time.Duration
}

// isLost reports whether the peer failed for good, as another member has its address.
func (p *Peer) isLost() bool { return p.ReplacedBy != "" }

// Standing is whether a member may rely on what it knows.
type Standing uint8

// The standings. Only with Quorum a member may rely on what it knows.
const (
	Joining   Standing = iota // no other member was met yet
	Quorum                    // more than half of all known members are alive, this one included
	NoQuorum                  // not so: the others may have gone on without this member
	Resuming                  // the process was paused, and too few members have responded since
	Duplicate                 // another process runs with a copy of the data directory
)

// String returns the standing as operators' reports have it.
func (s Standing) String() string {
	return [...]string{"joining", "together", "apart", "waking", "doubled"}[s]
}

// Config is what a table begins with.
type Config struct {
	Self              Member
	Seeds             []netip.AddrPort
	ReplicationFactor int           // machines that have to be alive for all replicas of a record
	ForgetAfter       time.Duration // a member that failed longer ago is no longer part of the fleet
	MaxMembers        int           // other members that are known at once
	Seed              uint64
}

// Table is what one member knows of the others. It must be used by one goroutine at a time.
type Table struct {
	Rejected int // new members for which there was no room
	Stalls   int // pauses of this process

	cfg      Config
	rng      *rand.Rand
	now      time.Duration // of the newest tick
	peers    map[string]*Peer
	hasMet   bool // another member, or there are no seeds
	joins    joinAttempts
	pings    pingRound
	conflict conflict
	actions  []Action

	lastStanding Standing // reported
	lacksHosts   bool     // reported: fewer machines are alive than ReplicationFactor
}

// New makes a table that knows of no other member.
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
	t.hasMet = len(t.joins.targets) == 0
	t.lastStanding = t.Standing(now)
	return t
}

// Standing returns whether this member may rely on what it knows at a time, which the caller reads anew for each use: a process that
// resumed a moment ago has not had a tick yet.
func (t *Table) Standing(now time.Duration) Standing {
	switch {
	case t.conflict.confirmed:
		return Duplicate
	case t.pings.active || now-t.now > StallThreshold:
		return Resuming
	case !t.hasMet:
		return Joining
	case 2*(t.aliveCount()+1) <= t.fleetSize()+1:
		return NoQuorum
	}
	return Quorum
}

// Peers returns all other members by name.
func (t *Table) Peers() []Peer {
	var peers []Peer
	for _, peer := range t.sorted() {
		peers = append(peers, *peer)
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// sorted returns all other members by ID, so that no decision depends on the order of a map.
func (t *Table) sorted() []*Peer {
	peers := make([]*Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// aliveCount returns how many other members are alive.
func (t *Table) aliveCount() int {
	return t.count(func(peer *Peer) bool { return peer.State == Alive })
}

// fleetSize returns how many other members are alive or may come back.
func (t *Table) fleetSize() int {
	return t.count(func(peer *Peer) bool { return peer.State == Alive || peer.State == Failed && !peer.isLost() })
}

func (t *Table) count(matches func(*Peer) bool) int {
	n := 0
	for _, peer := range t.peers {
		if matches(peer) {
			n++
		}
	}
	return n
}

// aliveMachines returns how many machines are alive, this member's included.
func (t *Table) aliveMachines() int {
	machines := map[string]bool{t.cfg.Self.Machine: true}
	for _, peer := range t.peers {
		if peer.State == Alive {
			machines[peer.Machine] = true
		}
	}
	return len(machines)
}
