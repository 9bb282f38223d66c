// This file owns hollow balancers: many in one process, each with the shipped client of the control tier and nothing else. It speaks with
// the process that started it by gob over its standard input and output, and ends once the former is closed.

package main

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/lab/scale"
)

const (
	tellEach   = 250 * time.Millisecond // marks are gathered for so long
	hollowCore = 2                      // processors that run Go code in one process of balancers
)

// hollowBegin is the first order.
type hollowBegin struct {
	Fleet string
	Seeds []netip.AddrPort
	Seed  uint64
	All   []hollowOne
}

// hollowOne is one balancer.
type hollowOne struct {
	Index               int
	Life                uint64 // lives before
	Name                string
	Machine, Zone, Site string
}

// hollowOrder is one order; balancers go by their index.
type hollowOrder struct {
	Begin    *hollowBegin
	Up, Down []int
	Look     int  // answered with this number
	Final    bool // and with what each balancer has
}

// hollowTold is what is told.
type hollowTold struct {
	Marks []hollowMark
	Look  *hollowLook
	Error string // and nothing more comes
}

// hollowMark is one thing that happened to one balancer, by the clock that all processes share.
type hollowMark struct {
	Who     int
	What    byte // up, down or applied
	Version uint64
	At      time.Duration
}

const (
	markUp byte = iota
	markDown
	markApplied
)

// hollowState is a state as a follower has it.
type hollowState struct{ Version, Digest uint64 }

// hollowLook is all balancers of one process together; sums go on over their lives.
type hollowLook struct {
	Number                                int
	Up, Current                           int
	States                                map[hollowState]int
	Relays                                map[string]int
	Sent, Got                             int64
	Snapshots, Lapses, Refused, Conflicts uint64
	Changes, Had, Gaps, Wants             uint64
	CPU                                   time.Duration
	Finals                                map[int]scale.Final
}

// add adds another's.
func (l *hollowLook) add(o *hollowLook) {
	l.Up, l.Current = l.Up+o.Up, l.Current+o.Current
	l.Sent, l.Got = l.Sent+o.Sent, l.Got+o.Got
	l.Snapshots, l.Lapses, l.Refused = l.Snapshots+o.Snapshots, l.Lapses+o.Lapses, l.Refused+o.Refused
	l.Conflicts, l.Changes, l.CPU = l.Conflicts+o.Conflicts, l.Changes+o.Changes, l.CPU+o.CPU
	l.Had, l.Gaps, l.Wants = l.Had+o.Had, l.Gaps+o.Gaps, l.Wants+o.Wants
	for s, n := range o.States {
		l.States[s] += n
	}
	for r, n := range o.Relays {
		l.Relays[r] += n
	}
	for b, f := range o.Finals {
		l.Finals[b] = f
	}
}

func newLook(number int) *hollowLook {
	return &hollowLook{Number: number, States: map[hollowState]int{}, Relays: map[string]int{}, Finals: map[int]scale.Final{}}
}

type hollowCmd struct{}

func (c *hollowCmd) Run() error {
	runtime.GOMAXPROCS(hollowCore)
	h := &hollows{out: gob.NewEncoder(os.Stdout), open: openFollower}
	err := h.run(gob.NewDecoder(os.Stdin))
	if err != nil {
		h.tell(hollowTold{Error: err.Error()})
	}
	return err
}

// client is what is asked of a follower.
type client interface {
	Status() followerStatus
	Get(key string) ([]byte, bool)
	Close()
}

// hollows are all balancers of this process.
type hollows struct {
	open   func(in *hollowBegin, one hollowOne, applied func(version uint64)) client
	begin  hollowBegin
	all    map[int]*hollow
	closed hollowLook // sums of lives that are over

	sending sync.Mutex
	out     *gob.Encoder

	mu    sync.Mutex
	marks []hollowMark
}

type hollow struct {
	hollowOne
	f    client // nil while it is down
	over *bool  // under hollows.mu: nothing more is heard of that life
}

func (h *hollows) run(orders *gob.Decoder) error {
	var first hollowOrder
	if err := orders.Decode(&first); err != nil || first.Begin == nil {
		return fmt.Errorf("hollow balancers were told nothing: %w", err)
	}
	h.begin, h.all = *first.Begin, map[int]*hollow{}
	for _, one := range h.begin.All {
		h.all[one.Index] = &hollow{hollowOne: one}
	}
	go func() {
		for range time.Tick(tellEach) {
			h.flush()
		}
	}()
	for {
		var o hollowOrder
		if err := orders.Decode(&o); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil // whoever started this process is gone or has done with it; what is open ends with it
		} else if err != nil {
			return err
		}
		for _, i := range o.Down {
			h.down(h.all[i])
		}
		for _, i := range o.Up {
			h.up(h.all[i])
		}
		if o.Look > 0 {
			look := h.look(o.Look, o.Final)
			h.flush() // first what led to it
			h.tell(hollowTold{Look: look})
		}
	}
}

func (h *hollows) tell(t hollowTold) {
	h.sending.Lock()
	defer h.sending.Unlock()
	if h.out.Encode(t) != nil {
		os.Exit(exitFailure) // nobody listens any more
	}
}

func (h *hollows) flush() {
	h.sending.Lock() // before the marks are taken: they are told in their order
	defer h.sending.Unlock()
	h.mu.Lock()
	marks := h.marks
	h.marks = nil
	h.mu.Unlock()
	if len(marks) > 0 && h.out.Encode(hollowTold{Marks: marks}) != nil {
		os.Exit(exitFailure)
	}
}

func (h *hollows) mark(m hollowMark, over *bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !*over {
		h.marks = append(h.marks, m)
	}
}

func (h *hollows) up(b *hollow) {
	if b.f != nil {
		return
	}
	b.Life++
	over := new(bool)
	h.mark(hollowMark{Who: b.Index, What: markUp, At: boottime.Now()}, over)
	b.over, b.f = over, h.open(&h.begin, b.hollowOne, func(version uint64) {
		h.mark(hollowMark{Who: b.Index, What: markApplied, Version: version, At: boottime.Now()}, over)
	})
}

func (h *hollows) down(b *hollow) {
	if b.f == nil {
		return
	}
	h.mark(hollowMark{Who: b.Index, What: markDown, At: boottime.Now()}, b.over)
	h.mu.Lock()
	*b.over = true
	h.mu.Unlock()
	b.f.Close()
	s := b.f.Status()
	h.closed.sum(&s)
	b.f = nil
}

func (l *hollowLook) sum(s *followerStatus) {
	l.Sent, l.Got = l.Sent+s.Sent, l.Got+s.Received
	c := &s.Stats
	l.Snapshots, l.Lapses, l.Refused = l.Snapshots+c.Snapshots, l.Lapses+c.LeaseExpiries, l.Refused+c.InvalidMessages+c.DigestMismatches
	l.Conflicts, l.Changes = l.Conflicts+c.Conflicts, l.Changes+c.Changes
	l.Had, l.Gaps, l.Wants = l.Had+c.Duplicates, l.Gaps+c.Gaps, l.Wants+c.SyncRequests
}

func (h *hollows) look(number int, final bool) *hollowLook {
	look := newLook(number)
	look.add(&h.closed)
	for _, one := range h.begin.All {
		b := h.all[one.Index]
		if b.f == nil {
			continue
		}
		s := b.f.Status()
		look.Up++
		if s.Current {
			look.Current++
		}
		look.States[hollowState{s.Version, s.Digest}]++
		for _, r := range s.Publishers {
			look.Relays[r]++
		}
		look.sum(&s)
		if final {
			look.Finals[b.Index] = scale.Final{Version: s.Version, Digest: s.Digest, Values: valuesOf(b.f.Get)}
		}
	}
	var used unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &used) == nil {
		look.CPU = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	}
	return look
}

// settingKey is the key of a change.
func settingKey(key int) string { return fmt.Sprintf("config/scale-%02d", key) }

// settingValue is what a change puts.
func settingValue(change int, c scale.Change) []byte {
	head := fmt.Appendf(nil, `{"change":%d,"due":%d,"rest":"`, change, c.Due)
	return append(append(head, slices.Repeat([]byte{'x'}, max(0, c.Bytes-len(head)-2))...), `"}`...)
}

// valuesOf is a hash of all settings as they are got.
func valuesOf(get func(key string) ([]byte, bool)) uint64 {
	h := xxhash.New()
	for k := range scale.Keys {
		v, is := get(settingKey(k))
		_, _ = fmt.Fprintf(h, "%d %v %d ", k, is, len(v))
		_, _ = h.Write(v)
	}
	return h.Sum64()
}
