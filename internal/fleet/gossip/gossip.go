// Package gossip keeps a member in touch with the others: it runs the failure detector, which is memberlist's (SWIM with
// Lifeguard), tells the pure table of package members what is seen, and carries out what that decides. It owns the fleet's
// address and the goroutines on it. It must never decide who is to be called or believed, and never make a caller wait for
// another member: what is known is published, and read without a question.
package gossip

import (
	"bytes"
	"fmt"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"sabletally/internal/fleet/membership"
)

const (
	eventsMost = 4096 // that wait for the table; when there are more it is told anew of all who are alive
	leaveIn    = 500 * time.Millisecond
)

// Options is what a contact begins with.
type Options struct {
	FleetName         string
	Self              membership.Member
	Seeds             []netip.AddrPort
	ReplicationFactor int
	ForgetAfter       time.Duration
	MaxPeers          int // other members
	Seed              uint64
	Transport         memberlist.Transport
	Log               *zap.Logger
	Now               func() time.Duration // a clock that goes on while the process is stopped
	Tune              func(*memberlist.Config)
}

// Status is what is known at one moment.
type Status struct {
	Self        membership.Member
	Standing    membership.Standing
	Peers       []membership.Peer
	HealthScore int // 0 where this member keeps up; each point widens its own time-outs by one more
	Stalls      int
	Rejected    int // newcomers for whom there was no room
	Malformed   int64
}

// Agent is one member's.
type Agent struct {
	opt  Options
	ml   *memberlist.Memberlist
	list *membership.Table

	mu      sync.Mutex
	inbox   []func()
	missed  bool // more came than was kept
	wake    chan struct{}
	leaving atomic.Bool
	beat    atomic.Int64 // when the newest one was
	status  atomic.Pointer[Status]
	words   *memberlist.TransmitLimitedQueue // that go on from member to member
	odd     atomic.Int64                     // strangers, words that can't be read, and what else the library found wrong

	done chan struct{}
	all  sync.WaitGroup
	once sync.Once
}

// Tune is how the library is run. Suspicion is its own for a local network; probes come twice as often, since a member
// that others hold records at has to be missed before they are asked for.
func Tune(c *memberlist.Config) {
	c.ProbeInterval, c.ProbeTimeout = 500*time.Millisecond, 250*time.Millisecond
	c.GossipToTheDeadTime = 30 * time.Second
	c.PushPullInterval = 15 * time.Second
	c.TCPTimeout = 3 * time.Second
	c.DeadNodeReclaimTime = time.Second // a member that comes back at another address
}

// Open joins nobody yet: the table says whom to call.
func Open(opt Options) (*Agent, error) {
	c := &Agent{opt: opt, wake: make(chan struct{}, 1), done: make(chan struct{})}
	c.list = membership.New(membership.Config{Self: opt.Self, Seeds: opt.Seeds, ReplicationFactor: opt.ReplicationFactor, ForgetAfter: opt.ForgetAfter, MaxMembers: opt.MaxPeers, Seed: opt.Seed},
		opt.Now())
	c.beat.Store(int64(opt.Now()))
	cfg := memberlist.DefaultLANConfig()
	Tune(cfg)
	if opt.Tune != nil {
		opt.Tune(cfg)
	}
	cfg.Name, cfg.Label, cfg.Transport = opt.Self.ID, opt.FleetName, opt.Transport
	cfg.BindAddr, cfg.BindPort = opt.Self.Addr.Addr().String(), int(opt.Self.Addr.Port())
	cfg.AdvertiseAddr, cfg.AdvertisePort = cfg.BindAddr, cfg.BindPort
	cfg.DNSConfigPath = "" // addresses are told, never looked up
	cfg.Logger = log.New(c, "", 0)
	d := &delegate{c: c}
	c.words = &memberlist.TransmitLimitedQueue{RetransmitMult: cfg.RetransmitMult, NumNodes: func() int { return len(c.status.Load().Peers) + 1 }}
	cfg.Delegate, cfg.Events, cfg.Alive, cfg.Conflict = d, d, d, d
	c.publish()
	ml, err := memberlist.Create(cfg)
	if err != nil {
		return nil, err
	}
	c.ml = ml
	c.all.Add(1)
	go c.run()
	return c, nil
}

// Status is what was known at the newest turn; the standing is of this moment.
func (c *Agent) Status() Status {
	s := *c.status.Load()
	if s.Standing != membership.Duplicate && c.opt.Now()-time.Duration(c.beat.Load()) > membership.StallThreshold {
		s.Standing = membership.Resuming
	}
	s.Malformed = c.odd.Load()
	return s
}

// AnnounceLeaving has the others know that this member will go; it is still here for all it holds. It waits leaveIn at most.
func (c *Agent) AnnounceLeaving() {
	c.leaving.Store(true)
	_ = c.ml.UpdateNode(leaveIn)
}

// Leave says goodbye, for leaveIn at most, and closes; Close does without the goodbye, where another process goes on as
// this member.
func (c *Agent) Leave() {
	select {
	case <-c.done:
		return
	default:
	}
	if c.ml.NumMembers() > 1 {
		c.words.QueueBroadcast(bye{ID: c.opt.Self.ID, Life: c.opt.Self.Incarnation})
		_ = c.ml.Leave(leaveIn)
	}
	c.Close()
}

// Close ends it at once.
func (c *Agent) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.ml.Shutdown()
		c.all.Wait()
	})
}

// ---- The table's goroutine.

func (c *Agent) run() {
	defer c.all.Done()
	beat := time.NewTicker(membership.HeartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-beat.C:
		}
		c.turn()
	}
}

// post hands an event to the table; it never waits, as the library calls with its locks held.
func (c *Agent) post(do func()) {
	c.mu.Lock()
	if len(c.inbox) < eventsMost {
		c.inbox = append(c.inbox, do)
	} else {
		c.missed = true
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Agent) turn() {
	now := c.opt.Now()
	c.list.Tick(now)
	c.beat.Store(int64(now))
	c.mu.Lock()
	batch, missed := c.inbox, c.missed
	c.inbox, c.missed = nil, false
	c.mu.Unlock()
	for _, do := range batch {
		do()
	}
	if missed {
		c.anew()
	}
	for {
		a, more := c.list.NextAction()
		if !more {
			break
		}
		c.carryOut(a)
	}
	c.publish()
}

// anew tells the table of all who are alive, and that the rest is lost.
func (c *Agent) anew() {
	alive := map[string]bool{}
	for _, n := range c.ml.Members() {
		if m, err := read(n); err == nil {
			alive[m.ID] = true
			c.list.HandleAlive(m)
		}
	}
	for _, k := range c.list.Peers() {
		if !alive[k.ID] {
			c.list.HandleFailure(k.ID)
		}
	}
}

func (c *Agent) publish() {
	s := Status{Self: c.opt.Self, Standing: c.list.Standing(time.Duration(c.beat.Load())), Peers: c.list.Peers(), Stalls: c.list.Stalls, Rejected: c.list.Rejected}
	if c.ml != nil {
		s.HealthScore = c.ml.GetHealthScore()
	}
	c.status.Store(&s)
}

// carryOut does one thing; what takes time runs beside and posts how it ended.
func (c *Agent) carryOut(a membership.Action) {
	beside := func(do func() func()) {
		c.all.Add(1)
		go func() {
			defer c.all.Done()
			c.post(do())
		}()
	}
	switch a.Kind {
	case membership.Report:
		c.say(a.Event)
	case membership.Join:
		beside(func() func() {
			_, err := c.ml.Join([]string{a.Addr.String()})
			return func() { c.list.HandleJoinResult(a.Addr, err == nil) }
		})
	case membership.Ping:
		at := c.at(a.ID)
		beside(func() func() {
			_, err := c.ml.Ping(a.ID, net.UDPAddrFromAddrPort(at))
			return func() { c.list.HandlePingResult(a.ID, err == nil) }
		})
	case membership.ProbeDuplicate:
		beside(func() func() {
			_, err := c.ml.Ping(c.opt.Self.ID, net.UDPAddrFromAddrPort(a.Addr))
			return func() { c.list.HandleProbeResult(a.Addr, err == nil) }
		})
	}
}

func (c *Agent) at(id string) netip.AddrPort {
	for _, k := range c.list.Peers() {
		if k.ID == id {
			return k.Addr
		}
	}
	return netip.AddrPort{}
}

// ---- What the library tells and asks. It holds its locks meanwhile.

type delegate struct{ c *Agent }

func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.seen(n) }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.seen(n) }

func (d *delegate) seen(n *memberlist.Node) {
	if m, err := read(n); err == nil { // others were refused by NotifyAlive
		d.c.post(func() { d.c.list.HandleAlive(m) })
	}
}

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	id := n.Name
	d.c.post(func() { d.c.list.HandleFailure(id) })
}

// NotifyAlive refuses members that no words can be exchanged with.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	_, err := read(n)
	if err != nil {
		d.c.odd.Add(1)
	}
	return err
}

func (d *delegate) NotifyConflict(known, other *memberlist.Node) {
	if known.Name != d.c.opt.Self.ID {
		return // that one is told itself
	}
	for _, n := range []*memberlist.Node{known, other} {
		if addr, is := netip.AddrFromSlice(n.Addr); is {
			at := netip.AddrPortFrom(addr.Unmap(), n.Port)
			d.c.post(func() { d.c.list.HandleConflict(at) })
		}
	}
}

// NodeMeta is what goes through the fleet with this member's address.
func (d *delegate) NodeMeta(limit int) []byte {
	m := d.c.opt.Self
	m.Leaving = d.c.leaving.Load()
	text := describe(m)
	if len(text) > limit {
		panic(fmt.Sprintf("%d bytes tell of a member where %d may", len(text), limit)) // the file bounds its names
	}
	return text
}

// NotifyMsg is a word of another member's; it goes on to others once it is news here.
func (d *delegate) NotifyMsg(text []byte) {
	w, err := readBye(text)
	if err != nil {
		d.c.odd.Add(1)
		return
	}
	d.c.post(func() {
		if d.c.list.HandleLeave(w.ID, w.Life) {
			d.c.words.QueueBroadcast(w)
		}
	})
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.c.words.GetBroadcasts(overhead, limit)
}

func (d *delegate) LocalState(bool) []byte        { return nil }
func (d *delegate) MergeRemoteState([]byte, bool) {}

// Write takes the library's own log: what it finds wrong is counted, and told where all is told.
func (c *Agent) Write(text []byte) (int, error) {
	if bytes.Contains(text, []byte("[ERR]")) || bytes.Contains(text, []byte("[WARN]")) {
		c.odd.Add(1)
		c.opt.Log.Debug("fleet: odd", zap.ByteString("said", bytes.TrimSpace(text)))
	}
	return len(text), nil
}
