// Package fleet is one process's part in a fleet of balancers: it puts together the directory (seat), the members (contact) and
// what operators are shown of them. It owns their order at start and end. It must never be asked for where no file of the
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
	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/contact"
	"sabletally/internal/fleet/copies"
	"sabletally/internal/fleet/core"
	"sabletally/internal/fleet/hold"
	"sabletally/internal/fleet/intents"
	"sabletally/internal/fleet/members"
	"sabletally/internal/fleet/seat"
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
	seat  *seat.Seat // nil until this process has the directory
	wire  *contact.Wire
	touch *contact.Contact
	held  *hold.Hold
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
	if !wait || !errors.Is(err, seat.ErrTaken) {
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
			if !errors.Is(err, seat.ErrTaken) {
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
	s, err := seat.Open(f.file.Data, f.file.Fleet, f.file.Machine)
	if err != nil {
		return fmt.Errorf("data: %w", err)
	}
	w, err := contact.Listen(f.file.Listen, f.file.Advertise, f.file.Followers)
	if err != nil {
		s.Close()
		return fmt.Errorf("listen: %w", err)
	}
	self := members.Member{ID: s.Member, Name: f.name, Addr: f.file.Advertise, Machine: f.file.Machine, Zone: f.file.Zone, Site: f.file.Site,
		Life: s.Life, Speaks: contact.Form, Oldest: contact.Oldest}
	t, err := contact.Open(contact.Options{Fleet: f.file.Fleet, Self: self, Seeds: f.file.Seeds, Copies: f.file.Copies, Forget: f.file.Gone,
		Most: config.MostMembers - 1, Seed: f.seed ^ s.Life, Wire: w, Log: f.log, Now: boottime.Now})
	if err != nil {
		w.Shutdown()
		s.Close()
		return err
	}
	seeds := make([]string, 0, len(f.file.Seeds))
	for _, a := range f.file.Seeds {
		seeds = append(seeds, a.String())
	}
	h, err := hold.Open(hold.Options{Core: core.Config{Self: hold.Member(self), Life: s.Life, Found: rand.Text(), First: f.file.Seeds[0] == f.file.Advertise, Seeds: seeds,
		Voters: f.file.Voters, Copies: f.file.Copies, Evict: f.file.Repair, Repair: repairing, Seed: f.seed ^ s.Life<<32, Keys: f.file.Records,
		Bytes: f.file.Bytes, Ops: opsMost, Keeps: []copies.Keep{{Prefix: intents.Prefix, For: intents.Keep}}}, Fleet: f.file.Fleet, Dir: f.file.Data, Wire: w, Touch: t, Now: boottime.Now, Log: f.log})
	if err != nil {
		t.Close()
		s.Close()
		return fmt.Errorf("data: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.over: // meanwhile
		t.Close()
		h.Close()
		s.Close()
		return nil
	default:
	}
	f.seat, f.wire, f.touch, f.held = s, w, t, h
	f.log.Info("fleet: member", zap.String("fleet", f.file.Fleet), zap.String("id", s.Member), zap.Uint64("life", s.Life),
		zap.Bool("fresh", s.Fresh), zap.Stringer("listen", f.file.Listen), zap.Stringer("advertise", f.file.Advertise),
		zap.String("machine", f.file.Machine), zap.String("zone", f.file.Zone), zap.String("site", f.file.Site))
	return nil
}

// holding is where records are held, and this member's ID; nil while another process of an upgrade is the member.
func (f *Fleet) holding() (*hold.Hold, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == nil {
		return nil, ""
	}
	return f.held, f.seat.Member
}

// HandOver has what lies here be held by others before this member goes, within a span; it waits for that. What could not be
// handed over is repaired as if the machine were lost, and its disk is still there.
func (f *Fleet) HandOver(within time.Duration) {
	f.mu.Lock()
	t, h := f.touch, f.held
	f.mu.Unlock()
	if t == nil || !slices.ContainsFunc(t.Status().Others, func(k members.Known) bool { return k.State == members.Here && !k.Leaving }) {
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
func (f *Fleet) Leave() { f.end((*contact.Contact).Leave) }

// Close ends it without a goodbye, as another process goes on as this member.
func (f *Fleet) Close() { f.end((*contact.Contact).Close) }

func (f *Fleet) end(how func(*contact.Contact)) {
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
	t, s, h := f.touch, f.seat, f.held
	f.mu.Unlock()
	if t != nil {
		how(t)
		h.Close()
		s.Close()
	}
}

// Report is what operators are shown.
type Report struct {
	Fleet    string `json:"fleet"`
	Member   bool   `json:"member"` // this process has the directory
	Why      string `json:"why,omitempty"`
	Standing string `json:"standing,omitempty"`
	Self     *One   `json:"self,omitempty"`
	Others   []One  `json:"others,omitempty"`
	Here     int    `json:"here"`
	Copies   int    `json:"copies"`
	Machines int    `json:"machines"`
	Health   int    `json:"health"` // 0 is well; each point widens this member's own time-outs
	Stalls   int    `json:"stalls"`
	Refused  int    `json:"refused"`
	Odd      int64  `json:"odd"`
	Dropped  int64  `json:"dropped"`
	Unopened int64  `json:"unopened"`
	Sent     int64  `json:"sent"` // bytes of datagrams
	Heard    int64  `json:"heard"`

	Held *Holdings `json:"held,omitempty"`
}

// Holdings is what lies here, and what is agreed.
type Holdings struct {
	ID       string         `json:"id"` // of the fleet, drawn when it was founded; empty before
	Epoch    uint64         `json:"epoch"`
	Members  int            `json:"members"` // of the epoch
	Voters   int            `json:"voters"`  // as this member knows; 0 where it does not vote
	Leads    bool           `json:"leads"`
	Slots    map[int]int    `json:"slots"` // by number of members that hold all of one
	Mine     int            `json:"mine"`
	Records  int            `json:"records"`
	Bytes    int            `json:"bytes"`
	File     int64          `json:"file"`
	Disk     string         `json:"disk,omitempty"` // what is wrong with it: nothing is promised here then
	Refusals map[string]int `json:"refusals,omitempty"`
	Sent     int64          `json:"sent"`
	Got      int64          `json:"got"`
	Dropped  int64          `json:"dropped"`
	Odd      int64          `json:"odd"`
	Writes   int64          `json:"writes"`
}

// One is one member in a report.
type One struct {
	Name    string  `json:"name"`
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Machine string  `json:"machine"`
	Zone    string  `json:"zone"`
	Site    string  `json:"site"`
	Life    uint64  `json:"life"`
	State   string  `json:"state"`
	Seconds float64 `json:"seconds"` // in this state
	By      string  `json:"by,omitempty"`
}

func one(m members.Member) One {
	return One{Name: m.Name, ID: m.ID, Addr: m.Addr.String(), Machine: m.Machine, Zone: m.Zone, Site: m.Site, Life: m.Life,
		State: members.Here.String()}
}

// Report answers at once, from what is published.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	t, w, h, err := f.touch, f.wire, f.held, f.err
	f.mu.Unlock()
	r := Report{Fleet: f.file.Fleet, Copies: f.file.Copies}
	switch {
	case err != nil:
		r.Why = err.Error()
	case t == nil:
		r.Why = "the old process of an upgrade is the member yet"
	}
	if t == nil {
		return r
	}
	s, now := t.Status(), boottime.Now()
	self := one(s.Self)
	r.Member, r.Self, r.Standing, r.Here = true, &self, s.Standing.String(), 1
	r.Health, r.Stalls, r.Refused, r.Odd = s.Health, s.Stalls, s.Refused, s.Odd
	r.Dropped, r.Unopened, r.Sent, r.Heard = w.Dropped.Load(), w.Unopened.Load(), w.Sent.Load(), w.Heard.Load()
	a := h.Status()
	r.Held = &Holdings{ID: a.Fleet, Epoch: a.Epoch, Members: a.Members, Voters: a.Voters, Leads: a.Leads, Slots: a.Slots, Mine: a.Mine, Records: a.Keys,
		Bytes: a.Bytes, File: a.File, Disk: a.Disk, Refusals: a.Refusals, Sent: a.Sent, Got: a.Got, Dropped: a.Dropped, Odd: a.Odd, Writes: a.Writes}
	machines := map[string]bool{s.Self.Machine: true}
	for _, k := range s.Others {
		o := one(k.Member)
		o.State, o.Seconds, o.By = k.State.String(), (now - k.Since).Seconds(), k.By
		r.Others = append(r.Others, o)
		if k.State == members.Here {
			r.Here++
			machines[k.Machine] = true
		}
	}
	r.Machines = len(machines)
	return r
}
