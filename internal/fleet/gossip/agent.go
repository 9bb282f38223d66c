// Package gossip keeps a member in contact with the other members of its fleet. It runs the failure detector of the library memberlist (SWIM
// with Lifeguard), passes its notifications to the state machine of package membership, and executes the actions of that. It owns the
// fleet's address and the goroutines that serve it. It must never decide itself which member to join or to consider alive, and it must never
// make a caller wait for another member: the current status is published and read without blocking.
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
	maxQueuedEvents = 4096                   // maximum number of events waiting for the table; if there are more, the table is synchronized with the library's list of members instead
	leaveTimeout    = 500 * time.Millisecond // longest wait until the announcement that this member leaves is sent
)

// Options are the parameters of an agent.
type Options struct {
	FleetName string // label of all datagrams and streams; those with another label are dropped
	Self      membership.Member
	Seeds     []netip.AddrPort
	Transport memberlist.Transport
	Log       *zap.Logger

	ReplicationFactor int
	ForgetAfter       time.Duration // time after which a failed member is no longer listed
	MaxPeers          int           // largest number of other members
	Seed              uint64        // seed of the table's random numbers

	Now            func() time.Duration     // clock that keeps running while the process is paused
	OverrideConfig func(*memberlist.Config) // changes the library's settings after TuneMemberlist; nil for no change
}

// Status is a member's view of the fleet at one moment.
type Status struct {
	Self        membership.Member
	Standing    membership.QuorumState
	Peers       []membership.Peer // all other members, sorted by name
	HealthScore int               // health score of the library: 0 is healthy, each point lengthens this member's own timeouts by one unit
	Stalls      int               // number of pauses of this process
	Rejected    int               // number of new members that were rejected because the table was full
	Malformed   int64             // number of malformed messages, messages of another fleet, and warnings and errors of the library
}

// Agent takes part in the gossip for one member. Its methods may be called by any goroutine.
type Agent struct {
	opt        Options
	memberlist *memberlist.Memberlist
	table      *membership.Table                // used only by the goroutine of run
	departures *memberlist.TransmitLimitedQueue // announcements of members that left, to be gossiped

	isLeaving  atomic.Bool            // this member announced that it is about to leave
	lastTickAt atomic.Int64           // time of the table's newest tick in nanoseconds of Options.Now
	malformed  atomic.Int64           // count that Status reports as Malformed
	status     atomic.Pointer[Status] // status that was published last

	mu         sync.Mutex
	events     []func() // events waiting for the table; guarded by mu
	overflowed bool     // events were dropped since the last dequeue; guarded by mu

	wake       chan struct{} // holds a value if events are waiting
	done       chan struct{} // closed by Close
	closeOnce  sync.Once
	goroutines sync.WaitGroup
}

// TuneMemberlist changes the library's defaults for a local network. Probes are sent twice as often, as the failure of a member that stores
// records has to be detected before its records are requested.
func TuneMemberlist(cfg *memberlist.Config) {
	cfg.ProbeInterval = 500 * time.Millisecond
	cfg.ProbeTimeout = 250 * time.Millisecond
	cfg.GossipToTheDeadTime = 30 * time.Second
	cfg.PushPullInterval = 15 * time.Second
	cfg.TCPTimeout = 3 * time.Second
	cfg.DeadNodeReclaimTime = time.Second // lets a member come back at another address
}

// Open starts an agent. It joins no member itself: the table decides which addresses to join.
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
		return nil, fmt.Errorf("start the gossip library: %w", err)
	}
	a.memberlist = list
	a.goroutines.Add(1)
	go a.run()
	return a, nil
}

// memberlistConfig returns the library's configuration for this agent.
func (a *Agent) memberlistConfig() *memberlist.Config {
	cfg := memberlist.DefaultLANConfig()
	TuneMemberlist(cfg)
	if a.opt.OverrideConfig != nil {
		a.opt.OverrideConfig(cfg)
	}
	addr := a.opt.Self.Addr
	cfg.Name = a.opt.Self.ID
	cfg.Label = a.opt.FleetName
	cfg.Transport = a.opt.Transport
	cfg.BindAddr = addr.Addr().String()
	cfg.BindPort = int(addr.Port())
	cfg.AdvertiseAddr = cfg.BindAddr
	cfg.AdvertisePort = cfg.BindPort
	cfg.DNSConfigPath = "" // addresses come from the configuration and are never resolved by DNS
	cfg.Logger = log.New(&logWriter{agent: a}, "", 0)
	d := &delegate{agent: a}
	cfg.Delegate = d
	cfg.Events = d
	cfg.Alive = d
	cfg.Conflict = d
	return cfg
}

// Status returns the status that was published last. Its standing takes into account that the process may have been paused since then.
func (a *Agent) Status() Status {
	s := *a.status.Load()
	sinceTick := a.opt.Now() - time.Duration(a.lastTickAt.Load())
	if s.Standing != membership.Duplicate && sinceTick > membership.StallThreshold {
		s.Standing = membership.Resuming
	}
	s.Malformed = a.malformed.Load()
	return s
}

// AnnounceLeaving announces that this member is about to leave but is still alive. It blocks for 500 ms at most.
func (a *Agent) AnnounceLeaving() {
	a.isLeaving.Store(true)
	_ = a.memberlist.UpdateNode(leaveTimeout) // a member that misses the announcement detects the failure later
}

// Leave announces that this member leaves, for 500 ms at most, and closes the agent. If another process continues as this member, Close is
// used instead, which announces nothing.
func (a *Agent) Leave() {
	select {
	case <-a.done:
		return
	default:
	}
	if a.memberlist.NumMembers() > 1 {
		a.departures.QueueBroadcast(departure{ID: a.opt.Self.ID, Incarnation: a.opt.Self.Incarnation})
		_ = a.memberlist.Leave(leaveTimeout) // a member that misses the announcement detects the failure later
	}
	a.Close()
}

// Close stops the agent and its transport and waits for their goroutines.
func (a *Agent) Close() {
	a.closeOnce.Do(func() {
		close(a.done)
		_ = a.memberlist.Shutdown() // the only error is that of the transport's Shutdown, which never fails
		a.goroutines.Wait()
	})
}

// publish stores the table's current view for Status.
func (a *Agent) publish() {
	s := &Status{
		Self:     a.opt.Self,
		Standing: a.table.QuorumState(time.Duration(a.lastTickAt.Load())),
		Peers:    a.table.Peers(),
		Stalls:   a.table.Stalls,
		Rejected: a.table.Rejected,
	}
	if a.memberlist != nil {
		s.HealthScore = a.memberlist.GetHealthScore()
	}
	a.status.Store(s)
}
