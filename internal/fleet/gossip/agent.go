// Package gossip keeps a member in contact with the others: it runs the failure detector, which is memberlist's (SWIM with Lifeguard),
// feeds what it detects to the pure table of package membership, and carries out what that decides. It owns the fleet's address and the
// goroutines that serve it. It must never decide which member is joined or believed, and never make a caller wait for another member:
// what is known is published, and read without waiting.
package gossip

import (
	"fmt"
	"log"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"sabletally/internal/fleet/membership"
)

const (
	maxQueuedEvents = 4096 // for the table; when there are more it is synchronized with all members that are alive
	leaveTimeout    = 500 * time.Millisecond
)

// Options are the parameters of an agent.
type Options struct {
	FleetName string // label of all datagrams and streams; those of another fleet are dropped
	Self      membership.Member
	Seeds     []netip.AddrPort
	Transport memberlist.Transport
	Log       *zap.Logger

	ReplicationFactor int
	ForgetAfter       time.Duration // a member that failed longer ago is no longer listed
	MaxPeers          int
	Seed              uint64

	Now  func() time.Duration     // a clock that goes on while the process is paused
	Tune func(*memberlist.Config) // changes the library's settings after the function Tune; nil for none
}

// Status is what was known at one moment.
type Status struct {
	Self        membership.Member
	Standing    membership.Standing
	Peers       []membership.Peer // by name
	HealthScore int               // 0 is healthy; each point lengthens this member's own timeouts by one unit
	Stalls      int               // pauses of this process
	Rejected    int               // new members for which there was no room
	Malformed   int64             // messages that can't be read or are another fleet's, and warnings of the library
}

// Agent is one member's part in the gossip. Its methods may be called by any goroutine.
type Agent struct {
	opt        Options
	memberlist *memberlist.Memberlist
	table      *membership.Table // the goroutine's of run
	departures *memberlist.TransmitLimitedQueue

	isLeaving  atomic.Bool
	lastTickAt atomic.Int64 // nanoseconds
	malformed  atomic.Int64
	status     atomic.Pointer[Status]

	mu         sync.Mutex
	events     []func()
	overflowed bool // events were dropped

	wake       chan struct{}
	done       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup
}

// Tune sets the library's settings. They are those for a local network with probes twice as often, as a member that stores records has to
// be noticed as failed before its records are requested.
func Tune(cfg *memberlist.Config) {
	cfg.ProbeInterval = 500 * time.Millisecond
	cfg.ProbeTimeout = 250 * time.Millisecond
	cfg.GossipToTheDeadTime = 30 * time.Second
	cfg.PushPullInterval = 15 * time.Second
	cfg.TCPTimeout = 3 * time.Second
	cfg.DeadNodeReclaimTime = time.Second // for a member that comes back at another address
}

// Open starts an agent. It joins nobody by itself: the table decides whom to join.
func Open(opt Options) (*Agent, error) {
	a := &Agent{opt: opt, wake: make(chan struct{}, 1), done: make(chan struct{})}
	a.table = membership.New(membership.Config{
		Self:              opt.Self,
		Seeds:             opt.Seeds,
		ReplicationFactor: opt.ReplicationFactor,
		ForgetAfter:       opt.ForgetAfter,
		MaxMembers:        opt.MaxPeers,
		Seed:              opt.Seed,
	}, opt.Now())
	a.lastTickAt.Store(int64(opt.Now()))
	cfg := a.memberlistConfig()
	a.departures = &memberlist.TransmitLimitedQueue{
		RetransmitMult: cfg.RetransmitMult,
		NumNodes:       func() int { return len(a.status.Load().Peers) + 1 },
	}
	a.publish()
	list, err := memberlist.Create(cfg)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	a.memberlist = list
	a.goroutines.Add(1)
	go a.run()
	return a, nil
}

func (a *Agent) memberlistConfig() *memberlist.Config {
	cfg := memberlist.DefaultLANConfig()
	Tune(cfg)
	if a.opt.Tune != nil {
		a.opt.Tune(cfg)
	}
	addr := a.opt.Self.Addr
	cfg.Name = a.opt.Self.ID
	cfg.Label = a.opt.FleetName
	cfg.Transport = a.opt.Transport
	cfg.BindAddr = addr.Addr().String()
	cfg.BindPort = int(addr.Port())
	cfg.AdvertiseAddr = cfg.BindAddr
	cfg.AdvertisePort = cfg.BindPort
	cfg.DNSConfigPath = "" // addresses are configured, never resolved
	cfg.Logger = log.New(&logWriter{agent: a}, "", 0)
	d := &delegate{agent: a}
	cfg.Delegate = d
	cfg.Events = d
	cfg.Alive = d
	cfg.Conflict = d
	return cfg
}

// Status returns what was last published. The standing is that of this moment.
func (a *Agent) Status() Status {
	s := *a.status.Load()
	sinceTick := a.opt.Now() - time.Duration(a.lastTickAt.Load())
	if s.Standing != membership.Duplicate && sinceTick > membership.StallThreshold {
		s.Standing = membership.Resuming
	}
	s.Malformed = a.malformed.Load()
	return s
}

// AnnounceLeaving announces that this member is about to leave and still alive. It waits for 500 ms at most.
func (a *Agent) AnnounceLeaving() {
	a.isLeaving.Store(true)
	_ = a.memberlist.UpdateNode(leaveTimeout) // who does not hear of it finds the member failed later
}

// Leave announces the end of this member, for 500 ms at most, and closes the agent. Close does so without the announcement, where
// another process continues as this member.
func (a *Agent) Leave() {
	select {
	case <-a.done:
		return
	default:
	}
	if a.memberlist.NumMembers() > 1 {
		a.departures.QueueBroadcast(departure{ID: a.opt.Self.ID, Incarnation: a.opt.Self.Incarnation})
		_ = a.memberlist.Leave(leaveTimeout) // who does not hear of it finds the member failed later
	}
	a.Close()
}

// Close ends the agent and its transport, and waits for its goroutines.
func (a *Agent) Close() {
	a.closeOnce.Do(func() {
		close(a.done)
		_ = a.memberlist.Shutdown() // the transport's Shutdown, which does not fail
		a.goroutines.Wait()
	})
}

// publish makes what the table knows readable by Status.
func (a *Agent) publish() {
	s := &Status{
		Self:     a.opt.Self,
		Standing: a.table.Standing(time.Duration(a.lastTickAt.Load())),
		Peers:    a.table.Peers(),
		Stalls:   a.table.Stalls,
		Rejected: a.table.Rejected,
	}
	if a.memberlist != nil {
		s.HealthScore = a.memberlist.GetHealthScore()
	}
	a.status.Store(s)
}
