// Package fleet is one process's part in a fleet of balancers: it puts together the directory (seat), the members (contact), or the
// control processes that are followed (follow), and what operators are shown of them. It owns their order at start and end. It must never be asked for where no file of the
// operator's names a fleet, and never make the balancer's loop wait.
package fleet

import (
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/datadir"
	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/idempotency"
	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/nodeserver"
	"sabletally/internal/fleet/publisher"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/fleet/subscriber"
)

const (
	takeEach  = 20 * time.Millisecond // how often the new process of an upgrade looks whether the old one has let go
	handEach  = 50 * time.Millisecond
	repairing = 8    // slots that are copied to somebody at once
	opsMost   = 4096 // operations that wait here
)

// Fleet is this process's part.
type Fleet struct {
	file *config.File
	name string
	log  *zap.Logger
	seed uint64

	mu    sync.Mutex
	seat  *datadir.Directory // nil until this process has the directory
	wire  *gossip.Transport
	touch *gossip.Agent
	held  *nodeserver.Server
	feed  *publisher.Server  // of a control process
	tier  *subscriber.Client // in role "balancer" all that there is beside the seat
	list  list
	said  int // words of operators'
	over  chan struct{}
	all   sync.WaitGroup
	err   error // why it could not begin, once that is known
}

// Open takes the directory and the address and looks for the other members, beside the caller. wait: another process of this
// balancer may have them yet, as in an upgrade; they are taken once it lets go. Without wait an error tells what is not to be had.
func Open(file *config.File, name string, seed uint64, wait bool, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{file: file, name: name, log: log, seed: seed, over: make(chan struct{})}
	err := f.take()
	if err == nil {
		return f, nil
	}
	if !wait || !errors.Is(err, datadir.ErrLocked) {
		return nil, err
	}
	log.Info("fleet: the old process is the member yet")
	f.all.Add(1)
	go func() {
		defer f.all.Done()
		for {
			select {
			case <-f.over:
				return
			case <-time.After(takeEach):
			}
			err := f.take()
			if err == nil {
				return
			}
			if !errors.Is(err, datadir.ErrLocked) {
				f.mu.Lock()
				f.err = err
				f.mu.Unlock()
				log.Error("fleet: this process is no member", zap.Error(err))
				return
			}
		}
	}()
	return f, nil
}

// take takes directory and address, both or none.
func (f *Fleet) take() error {
	s, err := datadir.Open(f.file.DataDir, f.file.FleetName, f.file.Machine)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	if f.file.Role == config.RoleBalancer {
		return f.follow(s)
	}
	streams := 0
	if f.file.Role == config.RoleControl {
		streams = f.file.MaxFollowers + publisher.ExtraStreams
	}
	w, err := gossip.Listen(f.file.Listen, f.file.Advertise, streams)
	if err != nil {
		s.Close()
		return fmt.Errorf("listen: %w", err)
	}
	self := membership.Member{ID: s.MemberID, Name: f.name, Addr: f.file.Advertise, Machine: f.file.Machine, Zone: f.file.Zone, Site: f.file.Site,
		Incarnation: s.Incarnation, ProtocolVersion: gossip.ProtocolVersion, MinProtocolVersion: gossip.MinProtocolVersion}
	t, err := gossip.Open(gossip.Options{FleetName: f.file.FleetName, Self: self, Seeds: f.file.Seeds, ReplicationFactor: f.file.ReplicationFactor, ForgetAfter: f.file.ForgetAfter,
		MaxPeers: config.MaxMembers - 1, Seed: f.seed ^ s.Incarnation, Transport: w, Log: f.log, Now: boottime.Now})
	if err != nil {
		_ = w.Shutdown()
		s.Close()
		return err
	}
	seeds := make([]string, 0, len(f.file.Seeds))
	for _, a := range f.file.Seeds {
		seeds = append(seeds, a.String())
	}
	var told nodeserver.Observer
	var p *publisher.Server
	if f.file.Role == config.RoleControl {
		p = publisher.New(publisher.Options{ID: s.MemberID, Fleet: f.file.FleetName, MaxSubscribers: f.file.MaxFollowers, Seed: f.seed ^ s.Incarnation<<16, Streams: w, Now: boottime.Now, Log: f.log})
		told = p
	}
	h, err := nodeserver.Open(nodeserver.Options{NodeConfig: node.Config{Self: nodeserver.ShardMember(self), Incarnation: s.Incarnation, BootstrapID: rand.Text(), CanBootstrap: f.file.Seeds[0] == f.file.Advertise, Seeds: seeds,
		VoterCount: f.file.Voters, ReplicationFactor: f.file.ReplicationFactor, EvictAfter: f.file.RepairAfter, MaxJoiningShards: repairing, Seed: f.seed ^ s.Incarnation<<32, MaxKeys: f.file.MaxRecords,
		MaxBytes: f.file.MaxBytes, MaxPendingOperations: opsMost, Retention: []replication.RetentionRule{{Prefix: idempotency.KeyPrefix, TTL: idempotency.RecordTTL}}}, FleetName: f.file.FleetName, DataDir: f.file.DataDir, Transport: w, Gossip: t, Now: boottime.Now, Log: f.log, Observer: told})
	if err != nil {
		t.Close()
		s.Close()
		return fmt.Errorf("data: %w", err)
	}
	if p != nil {
		p.Start(h)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.over: // meanwhile
		t.Close()
		if p != nil {
			p.Close()
		}
		h.Close()
		s.Close()
		return nil
	default:
	}
	f.seat, f.wire, f.touch, f.held, f.feed = s, w, t, h, p
	f.log.Info("fleet: member", zap.String("role", string(f.file.Role)), zap.String("fleet", f.file.FleetName), zap.String("id", s.MemberID), zap.Uint64("life", s.Incarnation),
		zap.Bool("fresh", s.IsNew), zap.Stringer("listen", f.file.Listen), zap.Stringer("advertise", f.file.Advertise),
		zap.String("machine", f.file.Machine), zap.String("zone", f.file.Zone), zap.String("site", f.file.Site))
	return nil
}

// follow has this process follow the control processes: it is no member, and nothing of one is opened.
func (f *Fleet) follow(s *datadir.Directory) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.over: // meanwhile
		s.Close()
		return nil
	default:
	}
	f.seat = s
	f.tier = subscriber.Open(subscriber.Options{Fleet: f.file.FleetName, Name: f.name, ID: s.MemberID, Incarnation: s.Incarnation, Machine: f.file.Machine, Zone: f.file.Zone,
		Site: f.file.Site, Seeds: f.file.Seeds, Seed: f.seed ^ s.Incarnation<<32, Now: boottime.Now, Log: f.log})
	f.log.Info("fleet: follower", zap.String("fleet", f.file.FleetName), zap.String("id", s.MemberID), zap.Uint64("life", s.Incarnation), zap.Bool("fresh", s.IsNew),
		zap.String("machine", f.file.Machine), zap.String("zone", f.file.Zone), zap.String("site", f.file.Site))
	return nil
}

// asker is where records are held: here among others, or at the control processes.
type asker interface {
	Submit(op replication.Operation, within time.Duration, done func(replication.Result))
}

// holding is where records are held, and this process's ID; nil while another process of an upgrade has the directory.
func (f *Fleet) holding() (asker, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.tier != nil:
		return f.tier, f.seat.MemberID
	case f.held != nil:
		return f.held, f.seat.MemberID
	}
	return nil, ""
}

// Put has an operators' item changed, at a control process. done is called once, from another goroutine, within the span or a little
// later; Refused says why it was not done, or is not known to be.
func (f *Fleet) Put(p shardmap.Put, within time.Duration, done func(shardmap.PutResult)) {
	f.mu.Lock()
	h := f.held
	f.mu.Unlock()
	if h == nil {
		done(shardmap.PutResult{OperationID: p.OperationID, Rejection: "this process is no member of the fleet"})
		return
	}
	h.Put(p, within, done)
}

// Get is a key's value in the agreed state as it is published here, and that state's version; false where there is none.
func (f *Fleet) Get(key string) ([]byte, uint64, bool) {
	f.mu.Lock()
	p := f.feed
	f.mu.Unlock()
	if p == nil {
		return nil, 0, false
	}
	return p.Get(key)
}

// IsCurrent tells whether what is known here may be taken for all that is agreed, as of this moment.
func (f *Fleet) IsCurrent() bool {
	f.mu.Lock()
	p, t := f.feed, f.tier
	f.mu.Unlock()
	switch {
	case t != nil:
		return t.IsCurrent()
	case p != nil:
		s := p.Status()
		return s.AgeKnown && s.Age <= changefeed.DefaultLease
	}
	return false
}

// HandOver has what lies here be held by others before this member goes, within a span; it waits for that. What could not be
// handed over is repaired as if the machine were lost, and its disk is still there.
func (f *Fleet) HandOver(within time.Duration) {
	f.mu.Lock()
	t, h, p := f.touch, f.held, f.feed
	f.mu.Unlock()
	if p != nil {
		p.Drain()
	}
	if t == nil || !slices.ContainsFunc(t.Status().Peers, func(k membership.Peer) bool { return k.State == membership.Alive && !k.Leaving }) {
		return // there is nobody to hand over to
	}
	began := time.Now()
	h.Leave()
	t.AnnounceLeaving()
	for {
		s := h.Status()
		if done := s.LocalShards == 0 && !s.IsLeader; done || time.Since(began) > within {
			f.log.Info("fleet: handed over", zap.Bool("all", done), zap.Int("slots-left", s.LocalShards), zap.Duration("after", time.Since(began)))
			return
		}
		if !f.rest(handEach) {
			return
		}
	}
}

// Leave says goodbye to the others and ends this part; it takes a second at most.
func (f *Fleet) Leave() { f.end((*gossip.Agent).Leave) }

// Close ends it without a goodbye, as another process goes on as this member.
func (f *Fleet) Close() { f.end((*gossip.Agent).Close) }

func (f *Fleet) end(how func(*gossip.Agent)) {
	f.mu.Lock()
	select {
	case <-f.over:
		f.mu.Unlock()
		return
	default:
	}
	close(f.over)
	f.mu.Unlock()
	f.all.Wait()
	f.mu.Lock()
	t, s, h, p, tier := f.touch, f.seat, f.held, f.feed, f.tier
	f.mu.Unlock()
	if tier != nil {
		tier.Close()
		s.Close()
	}
	if t != nil {
		how(t)
		if p != nil {
			p.Close()
		}
		h.Close()
		s.Close()
	}
}
