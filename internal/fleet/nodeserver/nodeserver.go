// Package nodeserver runs a member's core on sockets and disk: it owns the goroutine that the core lives in, the links to the others'
// cores, and the order in which things happen: first to disk, then out. Whoever asks it posts and is called back. It must never
// be waited for by the balancer's loop, and never promise anything once the disk has failed.
package nodeserver

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/fleet/store"
)

const (
	beat      = 50 * time.Millisecond
	tellEach  = 100 * time.Millisecond
	inboxMost = 8192 // packets that wait for the core; more are dropped, and asked for again by who needs them
)

// Options is what it begins with.
type Options struct {
	Node      node.Config
	FleetName string // its name in the files
	Dir       string
	Transport *gossip.Transport
	Gossip    *gossip.Agent
	Now       func() time.Duration
	Log       *zap.Logger
	Observer  Observer // nil where nobody follows this member
}

// Observer is told of the agreed state, by one goroutine. Its methods must not wait.
type Observer interface {
	// Changed tells that the state was replaced, if whole is not nil, and of the changes after that. False where there was no room: it is
	// told of the whole state then.
	Changed(whole *changefeed.Snapshot, changes []*changefeed.Change) bool
	// Fresh tells the time up to which nothing newer than a version was agreed.
	Fresh(asOf time.Duration, version uint64)
}

// Status is what is known at one moment.
type Status struct {
	FleetID                  string
	Epoch                    uint64
	Members                  int
	IsLeader                 bool
	Voters                   int
	Keys, Bytes              int
	ReplicaCounts            map[int]int // by number of full holders
	LocalShards              int         // slots that this member holds
	DiskError                string      // what is wrong with it
	FileBytes                int64       // its bytes
	Rejections               map[string]int
	BytesSent, BytesReceived int64
	PacketsDropped           int64
	Malformed                int64
	Writes                   int64
	Version                  uint64 // of what is agreed,
	Digest                   uint64
	Changes                  int           // of it that are kept,
	HasAsOf                  bool          // and whether it is known
	AsOf                     time.Duration // that nothing newer was agreed up to then
	VoterSites               []string      // sites of the voters
}

// Server is one member's.
type Server struct {
	opt   Options
	core  *node.Node
	store *store.Store
	links *links

	mu      sync.Mutex
	packets []node.Packet
	asks    []ask
	puts    []putAsk
	over    bool
	leaving bool
	wake    chan struct{}
	done    chan struct{}
	all     sync.WaitGroup
	once    sync.Once

	waiting map[string]func(replication.Result)   // the core's goroutine's
	putting map[string][]func(shardmap.PutResult) // as well
	broken  error
	untold  bool // the feed lacks changes
	status  atomic.Pointer[Status]
	told    time.Duration // the status was published then
	dropped atomic.Int64
}

type ask struct {
	op     replication.Operation
	within time.Duration
	done   func(replication.Result)
}

type putAsk struct {
	put    shardmap.Put
	within time.Duration
	done   func(shardmap.PutResult)
}

// Open reads the disk and begins.
func Open(opt Options) (*Server, error) {
	s, saved, err := store.Open(opt.Dir)
	if err != nil {
		return nil, err
	}
	c, err := node.New(opt.Node, saved, opt.Now())
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	h := &Server{opt: opt, core: c, store: s, wake: make(chan struct{}, 1), done: make(chan struct{}), waiting: map[string]func(replication.Result){},
		putting: map[string][]func(shardmap.PutResult){}}
	h.links = &links{fleet: opt.FleetName, self: opt.Node.Self.ID, wire: opt.Transport, heard: h.heard, to: map[string]*link{}}
	h.publish()
	h.all.Add(1)
	go h.run()
	h.links.all.Add(1)
	go h.links.accept()
	return h, nil
}

// Submit has an operation done, here or wherever its slot's primary is. done is called once, from another goroutine, within the span
// or a little later; it must not wait.
func (h *Server) Submit(op replication.Operation, within time.Duration, done func(replication.Result)) {
	h.mu.Lock()
	over := h.over || len(h.asks) >= inboxMost
	if !over {
		h.asks = append(h.asks, ask{op, within, done})
	}
	h.mu.Unlock()
	if over {
		done(replication.Result{OperationID: op.ID, Outcome: replication.OutcomeRejected, Reason: replication.ReasonBusy})
		return
	}
	h.poke()
}

// Put has an operators' item changed, wherever the log's leader is. done is called as with Ask; Refused says why where it was not
// done, or is not known to be. Asked again with the same operation it is answered with the same version.
func (h *Server) Put(p shardmap.Put, within time.Duration, done func(shardmap.PutResult)) {
	h.mu.Lock()
	over := h.over || len(h.puts) >= inboxMost
	if !over {
		h.puts = append(h.puts, putAsk{p, within, done})
	}
	h.mu.Unlock()
	if over {
		done(shardmap.PutResult{OperationID: p.OperationID, Rejection: "busy: too many wait, or this process ends"})
		return
	}
	h.poke()
}

// Leave has what lies here be copied to others, as this member will go.
func (h *Server) Leave() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.poke()
}

// Status is what was known at the newest turn.
func (h *Server) Status() Status { return *h.status.Load() }

// Close ends it; the wire has to be closed before. Who still waits is told that it is not known.
func (h *Server) Close() {
	h.once.Do(func() {
		close(h.done)
		h.all.Wait()
		h.links.all.Wait()
		_ = h.store.Close()
	})
}

func (h *Server) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Server) heard(p node.Packet) {
	h.mu.Lock()
	if len(h.packets) >= inboxMost {
		h.dropped.Add(1)
	} else {
		h.packets = append(h.packets, p)
	}
	h.mu.Unlock()
	h.poke()
}

func (h *Server) run() {
	defer h.all.Done()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for {
		select {
		case <-h.done:
			h.end()
			return
		case <-h.wake:
		case <-tick.C:
		}
		h.turn()
	}
}

// end tells who still waits, and those that come too late.
func (h *Server) end() {
	h.mu.Lock()
	h.over = true
	asks, puts := h.asks, h.puts
	h.asks, h.puts = nil, nil
	h.mu.Unlock()
	for _, p := range puts {
		p.done(shardmap.PutResult{OperationID: p.put.OperationID, Rejection: "this process ends"})
	}
	for op, all := range h.putting {
		for _, done := range all {
			done(shardmap.PutResult{OperationID: op, Rejection: "this process ends: it is not known whether it took hold"})
		}
	}
	for _, a := range asks {
		a.done(replication.Result{OperationID: a.op.ID, Outcome: replication.OutcomeRejected, Reason: replication.ReasonBusy})
	}
	for id, done := range h.waiting {
		done(replication.Result{OperationID: id, Outcome: replication.OutcomeUnknown})
	}
}

// turn takes in all that is there, and carries out what follows: first to disk, all of it together, then out.
func (h *Server) turn() {
	h.mu.Lock()
	packets, asks, puts, leaving := h.packets, h.asks, h.puts, h.leaving
	h.packets, h.asks, h.puts = nil, nil, nil
	h.mu.Unlock()
	if leaving {
		h.core.Leave()
	}
	at := h.seen()
	h.core.Tick(h.opt.Now(), at)
	h.core.SetWallClock(time.Now().Unix())
	for _, p := range packets {
		if err := h.core.Step(p); err != nil {
			h.links.odd.Add(1)
			h.opt.Log.Debug("fleet: odd", zap.Error(err))
		}
	}
	for _, a := range asks {
		h.waiting[a.op.ID] = a.done
		h.core.Submit(a.op, a.within)
	}
	for _, p := range puts {
		h.putting[p.put.OperationID] = append(h.putting[p.put.OperationID], p.done)
		h.core.Put(p.put, p.within)
	}
	r, err := h.core.Ready()
	if err == nil && h.opt.Gossip.Status().Standing == membership.Duplicate {
		err = errors.New("another process has a copy of the directory")
	}
	if err == nil && h.broken == nil {
		err = h.store.Write(r)
	}
	if err != nil && h.broken == nil {
		h.broken = err
		h.core.MarkDiskFailed()
		h.opt.Log.Error("fleet: this member promises nothing any more", zap.Error(err))
	}
	if h.broken != nil { // what it leans on is not on disk: nothing goes out
		r.Packets = nil
		for i := range r.Results {
			r.Results[i] = replication.Result{OperationID: r.Results[i].OperationID, Outcome: replication.OutcomeUnknown, Reason: replication.ReasonDiskFailed}
		}
		for i := range r.PutResults {
			r.PutResults[i] = shardmap.PutResult{OperationID: r.PutResults[i].OperationID, Rejection: "this member's disk has failed: it is not known whether it took hold"}
		}
	}
	h.out(r, at)
	if h.opt.Observer != nil && h.broken == nil {
		if h.untold {
			r.Installed, r.Changes = h.core.FeedSnapshot(), nil
		}
		if r.Installed != nil || len(r.Changes) > 0 {
			h.untold = !h.opt.Observer.Changed(r.Installed, r.Changes)
		}
		if asOf, known := h.core.AsOf(); known {
			h.opt.Observer.Fresh(asOf, h.core.FeedState().Version())
		}
	}
	if now := h.opt.Now(); now-h.told >= tellEach {
		h.told = now
		h.publish()
	}
}

func (h *Server) out(r node.Ready, at []placement.MemberStatus) {
	for _, l := range r.Events {
		if l.IsAlert {
			h.opt.Log.Error("fleet: "+l.Message, zap.Uint64("version", l.Version), zap.String("is", l.Detail))
		} else {
			h.opt.Log.Info("fleet: "+l.Message, zap.Uint64("epoch", l.Epoch), zap.String("is", l.Detail))
		}
	}
	for _, d := range r.PutResults {
		all := h.putting[d.OperationID]
		delete(h.putting, d.OperationID)
		for _, done := range all {
			done(d)
		}
	}
	addr := map[string]string{}
	for _, m := range h.core.State().Members {
		addr[m.ID] = m.Addr
	}
	for _, m := range at {
		addr[m.ID] = m.Addr
	}
	for _, p := range r.Packets {
		if to := addr[p.To]; to != "" {
			h.links.send(p.To, to, p)
		}
	}
	for _, one := range r.Results {
		if done := h.waiting[one.OperationID]; done != nil {
			delete(h.waiting, one.OperationID)
			if one.Outcome == replication.OutcomeRejected || one.Outcome == replication.OutcomeUnknown {
				h.opt.Log.Warn("fleet: not promised", zap.String("op", one.OperationID), zap.Stringer("outcome", one.Outcome), zap.Stringer("why", one.Reason))
			}
			done(one)
		}
	}
}

// seen is how the other members are seen.
func (h *Server) seen() []placement.MemberStatus {
	s := h.opt.Gossip.Status()
	now := h.opt.Now()
	var all []placement.MemberStatus
	for _, k := range s.Peers {
		all = append(all, placement.MemberStatus{Member: ShardMember(k.Member), Left: k.State == membership.Left, Draining: k.Leaving, StateAge: now - k.Since,
			Alive: k.State == membership.Alive, Form: k.ProtocolVersion})
	}
	return all
}

// ShardMember is what is agreed of a member.
func ShardMember(m membership.Member) shardmap.Member {
	return shardmap.Member{ID: m.ID, Addr: m.Addr.String(), Machine: m.Machine, Zone: m.Zone, Site: m.Site}
}

func (h *Server) publish() {
	st := h.core.State()
	s := Status{FleetID: st.FleetID, Epoch: st.Epoch, Members: len(st.Members), IsLeader: h.core.IsLeader(), Voters: len(h.core.Voters()),
		ReplicaCounts: map[int]int{}, Rejections: map[string]int{}, FileBytes: h.store.Size(), BytesSent: h.links.sent.Load(), BytesReceived: h.links.got.Load(),
		PacketsDropped: h.links.dropped.Load() + h.dropped.Load(), Malformed: h.links.odd.Load(), Writes: h.store.WriteCount,
		Version: h.core.FeedState().Version(), Digest: h.core.FeedState().Digest(), Changes: h.core.ChangeCount()}
	s.AsOf, s.HasAsOf = h.core.AsOf()
	for _, id := range h.core.Voters() {
		for _, m := range st.Members {
			if consensus.NodeID(m.ID) == id {
				s.VoterSites = append(s.VoterSites, m.Site)
			}
		}
	}
	s.Keys, s.Bytes = h.core.Replicas().Usage()
	for _, v := range st.Configurations {
		s.ReplicaCounts[len(v.InSync)]++
		for _, id := range v.InSync {
			if id == h.opt.Node.Self.ID {
				s.LocalShards++
			}
		}
	}
	for w, n := range h.core.Replicas().Rejections {
		if n > 0 {
			s.Rejections[replication.RejectReason(w).String()] = n
		}
	}
	if h.broken != nil {
		s.DiskError = fmt.Sprint(h.broken)
	}
	h.status.Store(&s)
}
