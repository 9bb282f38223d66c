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
	seat  *datadir.Seat // nil until this process has the directory
	wire  *gossip.Wire
	touch *gossip.Contact
	held  *nodeserver.Hold
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
	if !wait || !errors.Is(err, datadir.ErrTaken) {
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
			if !errors.Is(err, datadir.ErrTaken) {
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
	s, err := datadir.Open(f.file.Data, f.file.Fleet, f.file.Machine)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	if f.file.Role == config.Balancer {
		return f.follow(s)
	}
	streams := 0
	if f.file.Role == config.Control {
		streams = f.file.Followers + publisher.ExtraStreams
	}
	w, err := gossip.Listen(f.file.Listen, f.file.Advertise, streams)
	if err != nil {
		s.Close()
		return fmt.Errorf("listen: %w", err)
	}
	self := membership.Member{ID: s.Member, Name: f.name, Addr: f.file.Advertise, Machine: f.file.Machine, Zone: f.file.Zone, Site: f.file.Site,
		Life: s.Life, Speaks: gossip.Form, Oldest: gossip.Oldest}
	t, err := gossip.Open(gossip.Options{Fleet: f.file.Fleet, Self: self, Seeds: f.file.Seeds, Copies: f.file.Copies, Forget: f.file.Gone,
		Most: config.MostMembers - 1, Seed: f.seed ^ s.Life, Wire: w, Log: f.log, Now: boottime.Now})
	if err != nil {
		_ = w.Shutdown()
		s.Close()
		return err
	}
	seeds := make([]string, 0, len(f.file.Seeds))
	for _, a := range f.file.Seeds {
		seeds = append(seeds, a.String())
	}
	var told nodeserver.Feed
	var p *publisher.Server
	if f.file.Role == config.Control {
		p = publisher.New(publisher.Options{ID: s.Member, Fleet: f.file.Fleet, MaxSubscribers: f.file.Followers, Seed: f.seed ^ s.Life<<16, Streams: w, Now: boottime.Now, Log: f.log})
		told = p
	}
	h, err := nodeserver.Open(nodeserver.Options{Core: node.Config{Self: nodeserver.Member(self), Life: s.Life, Found: rand.Text(), First: f.file.Seeds[0] == f.file.Advertise, Seeds: seeds,
		Voters: f.file.Voters, Copies: f.file.Copies, Evict: f.file.Repair, Repair: repairing, Seed: f.seed ^ s.Life<<32, Keys: f.file.Records,
		Bytes: f.file.Bytes, Ops: opsMost, Keeps: []replication.RetentionRule{{Prefix: idempotency.KeyPrefix, TTL: idempotency.RecordTTL}}}, Fleet: f.file.Fleet, Dir: f.file.Data, Wire: w, Touch: t, Now: boottime.Now, Log: f.log, Feed: told})
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
	f.log.Info("fleet: member", zap.String("role", f.file.Role), zap.String("fleet", f.file.Fleet), zap.String("id", s.Member), zap.Uint64("life", s.Life),
		zap.Bool("fresh", s.Fresh), zap.Stringer("listen", f.file.Listen), zap.Stringer("advertise", f.file.Advertise),
		zap.String("machine", f.file.Machine), zap.String("zone", f.file.Zone), zap.String("site", f.file.Site))
	return nil
}

// follow has this process follow the control processes: it is no member, and nothing of one is opened.
func (f *Fleet) follow(s *datadir.Seat) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.over: // meanwhile
		s.Close()
		return nil
	default:
	}
	f.seat = s
	f.tier = subscriber.Open(subscriber.Options{Fleet: f.file.Fleet, Name: f.name, ID: s.Member, Incarnation: s.Life, Machine: f.file.Machine, Zone: f.file.Zone,
		Site: f.file.Site, Seeds: f.file.Seeds, Seed: f.seed ^ s.Life<<32, Now: boottime.Now, Log: f.log})
	f.log.Info("fleet: follower", zap.String("fleet", f.file.Fleet), zap.String("id", s.Member), zap.Uint64("life", s.Life), zap.Bool("fresh", s.Fresh),
		zap.String("machine", f.file.Machine), zap.String("zone", f.file.Zone), zap.String("site", f.file.Site))
	return nil
}

// asker is where records are held: here among others, or at the control processes.
type asker interface {
	Ask(op replication.Operation, within time.Duration, done func(replication.Result))
}

// holding is where records are held, and this process's ID; nil while another process of an upgrade has the directory.
func (f *Fleet) holding() (asker, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.tier != nil:
		return f.tier, f.seat.Member
	case f.held != nil:
		return f.held, f.seat.Member
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
	if t == nil || !slices.ContainsFunc(t.Status().Others, func(k membership.Known) bool { return k.State == membership.Here && !k.Leaving }) {
		return // there is nobody to hand over to
	}
	began := time.Now()
	h.Leave()
	t.Leaving()
	for {
		s := h.Status()
		if done := s.Mine == 0 && !s.Leads; done || time.Since(began) > within {
			f.log.Info("fleet: handed over", zap.Bool("all", done), zap.Int("slots-left", s.Mine), zap.Duration("after", time.Since(began)))
			return
		}
		if !f.rest(handEach) {
			return
		}
	}
}

// Leave says goodbye to the others and ends this part; it takes a second at most.
func (f *Fleet) Leave() { f.end((*gossip.Contact).Leave) }

// Close ends it without a goodbye, as another process goes on as this member.
func (f *Fleet) Close() { f.end((*gossip.Contact).Close) }

func (f *Fleet) end(how func(*gossip.Contact)) {
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
