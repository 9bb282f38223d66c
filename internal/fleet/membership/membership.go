// Package membership decides what one member makes of the others: who is here, gone or has left, whom to call so that a fleet that
// came apart finds together again, and whether this member may take what it knows for true. It is pure: events and a time in,
// actions out, so that virtual time runs what ships. It must never read a clock, open a socket or draw chance that was not handed
// in, and it never says that a record is safe: who holds what is agreed elsewhere, and being seen here proves nothing there.
//
// Times are of one machine's clock that goes on while the process is stopped.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// How it goes on. None depends on the fleet's size.
const (
	HeartbeatInterval     = 100 * time.Millisecond // how often Clock is called
	StallThreshold        = time.Second            // a beat later than this: the process was stopped, and others may have given it up
	askMost               = 31                     // members asked after a stall; most of those asked have to answer
	askEach               = time.Second            // a round of questions, then the next one
	callAlone             = time.Second            // calls while nobody is here,
	callEach              = 5 * time.Second        // and while some are gone
	callSlow              = time.Minute            // the longest wait between two calls of one address
	keepLeft              = time.Minute            // a member that left is shown so long
	flapWithin, flapsMany = 10 * time.Minute, 3
)

// Member is what a member tells of itself.
type Member struct {
	ID                 string // drawn with its directory
	Name               string // of the balancer
	Addr               netip.AddrPort
	Machine            string
	Zone               string
	Site               string
	Incarnation        uint64 // how often it was started
	Leaving            bool   // it will go, and is still here: others are to take over from it
	ProtocolVersion    int    // the newest form of words between members that it knows,
	MinProtocolVersion int    // and the oldest
}

// State of another member.
type State uint8

const (
	Alive  State = iota
	Failed       // found dead or out of reach
	Left         // it said so
)

func (s State) String() string { return [...]string{"here", "gone", "left"}[s] }

// Peer is another member as it is known.
type Peer struct {
	Member
	State      State
	Since      time.Duration // of this state
	Returns    int           // times that it came back within flapWithin
	ReplacedBy string        // the member that took its address with a directory of its own, if one did: its disk is lost

	first time.Duration // of the times that Came counts
}

// Standing is what this member may take for true.
type Standing uint8

const (
	Joining   Standing = iota // nobody has been met yet
	Quorum                    // more than half of all that are known are here, this member among them
	NoQuorum                  // they are not: the others may have gone on without it
	Resuming                  // it was stopped, and too few have answered since
	Duplicate                 // another process has the same directory, by a copy
)

func (s Standing) String() string {
	return [...]string{"joining", "together", "apart", "waking", "doubled"}[s]
}

// ActionKind an action is.
type ActionKind uint8

const (
	Join           ActionKind = iota // Addr, to join there; owes Called
	Ping                             // whether ID answers; owes Answered
	ProbeDuplicate                   // whether a process with this member's own ID answers at Addr; owes Found
	Report                           // a line for the log
)

// Action is one thing to do.
type Action struct {
	Kind  ActionKind
	Addr  netip.AddrPort
	ID    string
	Event Event
}

// Config is what a table begins with.
type Config struct {
	Self              Member
	Seeds             []netip.AddrPort
	ReplicationFactor int           // holders that each record is to have, on machines of their own
	ForgetAfter       time.Duration // a member that is gone longer is no part of the fleet any more
	MaxMembers        int           // other members that are known at once
	Seed              uint64
}

// Table is what one member knows. It is one goroutine's.
type Table struct {
	cfg   Config
	rng   *rand.Rand
	now   time.Duration // of the newest beat
	known map[string]*Peer
	met   bool

	calls   map[netip.AddrPort]*target
	calling netip.AddrPort // a call is out there
	callAt  time.Duration

	waking  bool
	asked   map[string]bool // and whether it has answered
	askedAt time.Duration

	doubled bool
	looking bool

	was      Standing
	short    bool // too few machines for the copies
	Rejected int  // newcomers for whom there was no room
	Stalls   int
	do       []Action
}

// target is an address that is called until somebody is there.
type target struct {
	at   time.Duration // not before
	wait time.Duration
}

// New begins with nobody known.
func New(cfg Config, now time.Duration) *Table {
	t := &Table{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x3e3b)), now: now, known: map[string]*Peer{},
		calls: map[netip.AddrPort]*target{}, asked: map[string]bool{}, callAt: now}
	for _, s := range cfg.Seeds {
		if s != cfg.Self.Addr {
			t.calls[s] = &target{at: now}
		}
	}
	t.met = len(t.calls) == 0 // a fleet of one
	t.was = t.Standing(now)
	return t
}

// NextAction hands out what is to be done, in the order in which it was decided.
func (t *Table) NextAction() (Action, bool) {
	if len(t.do) == 0 {
		return Action{}, false
	}
	a := t.do[0]
	t.do = t.do[1:]
	return a, true
}

func (t *Table) act(a Action) { t.do = append(t.do, a) }

// ---- What comes in.

// Tick is a beat. One that comes late tells of a stall, after which nothing that was known is taken for true until most
// of those asked have answered anew.
func (t *Table) Tick(now time.Duration) {
	gap := now - t.now
	t.now = now
	if gap > StallThreshold {
		t.Stalls++
		t.waking = true
		t.act(Action{Kind: Report, Event: Event{Kind: ProcessResumed, Duration: gap, Alive: t.here(), Total: len(t.known)}})
		t.ask()
	}
	if t.waking && now-t.askedAt >= askEach {
		t.ask()
	}
	t.forget()
	t.call()
	t.settle()
}

// HandleAlive is that a member is alive, or has changed what it tells.
func (t *Table) HandleAlive(m Member) {
	if m.ID == t.cfg.Self.ID {
		return
	}
	k, old := t.known[m.ID]
	if !old {
		if len(t.known) >= t.cfg.MaxMembers && !t.makeRoom() {
			t.Rejected++
			return
		}
		k = &Peer{State: Left, first: t.now}
		t.known[m.ID] = k
	}
	was := k.Member
	k.Member = m
	delete(t.calls, m.Addr)
	if k.State == Alive {
		if m.Incarnation != was.Incarnation {
			t.tell(MemberRestarted, k)
		}
		return
	}
	k.State, k.Since, k.ReplacedBy, t.met = Alive, t.now, "", true
	kind := MemberJoined
	if old {
		if t.now-k.first > flapWithin {
			k.first, k.Returns = t.now, 0
		}
		if k.Returns++; k.Returns > flapsMany {
			kind = MemberFlapping
		}
	}
	t.tell(kind, k)
	t.replaced(k.Addr)
	t.settle()
}

// replaced notes of members that are gone that another one is at their address: their directories are lost, and they will not
// come back. Of two that seem to be at one address none is doubted before it is found dead: words about the old one go on for a
// while, and come to a member that has just begun together with those about the new one.
func (t *Table) replaced(addr netip.AddrPort) {
	var by *Peer
	all := t.sorted()
	for _, k := range all {
		if k.Addr == addr && k.State == Alive {
			by = k
		}
	}
	for _, k := range all {
		if by != nil && k.Addr == addr && k.State == Failed && k.ReplacedBy == "" {
			k.ReplacedBy = by.ID
			t.tell(MemberReplaced, k)
		}
	}
}

// HandleFailure is that a member was found dead or out of reach.
func (t *Table) HandleFailure(id string) {
	if k := t.known[id]; k != nil && k.State == Alive {
		k.State, k.Since = Failed, t.now
		t.tell(MemberFailed, k)
		t.replaced(k.Addr)
		t.settle()
	}
}

// HandleLeave is that a member said that it goes at the end of a life, true where that is news: what is heard late says nothing of
// the life that came after. It may be found dead before its word is heard.
func (t *Table) HandleLeave(id string, life uint64) bool {
	k := t.known[id]
	if k == nil || k.State == Left || life < k.Incarnation {
		return false
	}
	k.State, k.Since, k.ReplacedBy = Left, t.now, ""
	t.tell(MemberLeft, k)
	t.settle()
	return true
}

// HandleJoinResult is how a call ended: whether somebody was there.
func (t *Table) HandleJoinResult(addr netip.AddrPort, well bool) {
	if addr == t.calling {
		t.calling = netip.AddrPort{}
	}
	c := t.calls[addr]
	if c == nil {
		return
	}
	if well {
		c.wait = 0
	} else {
		c.wait = min(max(2*c.wait, callAlone), callSlow)
	}
	c.at = t.now + t.about(c.wait)
}

// HandlePingResult is how a question ended.
func (t *Table) HandlePingResult(id string, well bool) {
	if _, is := t.asked[id]; !is || !well {
		return
	}
	t.asked[id] = true
	answers := 0
	for _, yes := range t.asked {
		if yes {
			answers++
		}
	}
	if t.waking && 2*(answers+1) > len(t.asked)+1 { // this member is one of them
		t.waking = false
		t.settle()
	}
}

// HandleConflict is that somebody goes by this member's own ID at another address: its own one of before, or a process with a
// copy of its directory.
func (t *Table) HandleConflict(addr netip.AddrPort) {
	if t.looking || t.doubled || addr == t.cfg.Self.Addr {
		return
	}
	t.looking = true
	t.act(Action{Kind: ProbeDuplicate, Addr: addr})
}

// HandleProbeResult is whether a process with this member's ID was there. Where it was, this one promises nothing any more for as long as
// it runs, and so does that one, which is told the same: neither can know which of them the records belong to.
func (t *Table) HandleProbeResult(addr netip.AddrPort, there bool) {
	t.looking = false
	if there && !t.doubled {
		t.doubled = true
		t.act(Action{Kind: Report, Event: Event{Kind: DuplicateDetected, Member: Member{ID: t.cfg.Self.ID, Addr: addr}}})
		t.settle()
	}
}

// ---- What follows.

// Standing is what this member may take for true at a time, which the caller reads anew for each use: a process that was
// stopped a moment ago has had no beat yet.
func (t *Table) Standing(now time.Duration) Standing {
	switch {
	case t.doubled:
		return Duplicate
	case t.waking || now-t.now > StallThreshold:
		return Resuming
	case !t.met:
		return Joining
	case 2*(t.here()+1) <= t.fleet()+1:
		return NoQuorum
	}
	return Quorum
}

// here is how many others are; fleet how many others there are in all, those out of reach included.
func (t *Table) here() int { return t.count(func(k *Peer) bool { return k.State == Alive }) }
func (t *Table) fleet() int {
	return t.count(func(k *Peer) bool { return k.State == Alive || k.State == Failed && k.ReplacedBy == "" })
}

func (t *Table) count(is func(*Peer) bool) (n int) {
	for _, k := range t.known {
		if is(k) {
			n++
		}
	}
	return n
}

// settle says what has changed for this member as a whole.
func (t *Table) settle() {
	if s := t.Standing(t.now); s != t.was {
		t.was = s
		t.act(Action{Kind: Report, Event: Event{Kind: StandingChanged, Standing: s, Alive: t.here() + 1, Total: t.fleet() + 1}})
	}
	machines := t.machines()
	if short := t.met && machines < t.cfg.ReplicationFactor; short != t.short {
		t.short = short
		kind := EnoughMachines
		if short {
			kind = TooFewMachines
		}
		t.act(Action{Kind: Report, Event: Event{Kind: kind, Alive: machines, Total: t.cfg.ReplicationFactor}})
	}
}

// machines that are here, this one among them.
func (t *Table) machines() int {
	all := map[string]bool{t.cfg.Self.Machine: true}
	for _, k := range t.known {
		if k.State == Alive {
			all[k.Machine] = true
		}
	}
	return len(all)
}

// ask begins a round of questions after a stall: to all that are here, or to a part of them drawn anew.
func (t *Table) ask() {
	t.askedAt = t.now
	clear(t.asked)
	var ids []string
	for _, k := range t.sorted() {
		if k.State == Alive {
			ids = append(ids, k.ID)
		}
	}
	if len(ids) == 0 { // nobody can have gone on without it but those that it lost before
		t.waking = false
		return
	}
	t.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(len(ids), askMost)] {
		t.asked[id] = false
		t.act(Action{Kind: Ping, ID: id})
	}
}

// call calls one address where somebody may be whom this member does not see: members that are gone, and seeds that none
// here is at. Without it two halves that were apart for long, or began apart, would stay so: each has forgotten the other.
func (t *Table) call() {
	if t.calling.IsValid() || t.now < t.callAt {
		return
	}
	at := map[netip.AddrPort]bool{t.cfg.Self.Addr: true}
	for _, k := range t.known {
		if k.State == Alive {
			at[k.Addr] = true
		}
	}
	due := map[netip.AddrPort]bool{}
	want := func(a netip.AddrPort) {
		if at[a] {
			return
		}
		c := t.calls[a]
		if c == nil {
			c = &target{at: t.now}
			t.calls[a] = c
		}
		if c.at <= t.now {
			due[a] = true
		}
	}
	for _, k := range t.known {
		if k.State == Failed && k.ReplacedBy == "" {
			want(k.Addr)
		}
	}
	for _, s := range t.cfg.Seeds {
		want(s)
	}
	if len(due) == 0 {
		return
	}
	all := make([]netip.AddrPort, 0, len(due))
	for a := range due {
		all = append(all, a)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	t.calling = all[t.rng.IntN(len(all))]
	each := callEach
	if t.here() == 0 {
		each = callAlone / time.Duration(len(all))
	}
	t.callAt = t.now + t.about(each)
	t.act(Action{Kind: Join, Addr: t.calling})
}

// about draws a time near one, so that members that began together do not call together.
func (t *Table) about(d time.Duration) time.Duration {
	return d/2 + time.Duration(t.rng.Float64()*float64(d))
}

// forget drops members that were gone or have left for long, and addresses that nobody is looked for at any more.
func (t *Table) forget() {
	for _, k := range t.sorted() {
		if old := t.now - k.Since; k.State == Left && old > keepLeft || k.State == Failed && old > t.cfg.ForgetAfter {
			if k.State == Failed {
				t.tell(MemberForgotten, k)
			}
			t.drop(k)
		}
	}
}

func (t *Table) drop(k *Peer) {
	delete(t.known, k.ID)
	if !slices.Contains(t.cfg.Seeds, k.Addr) {
		delete(t.calls, k.Addr)
	}
}

// makeRoom drops the member that was away for the longest, one that left before one that is gone; false where all are here.
func (t *Table) makeRoom() bool {
	var worst *Peer
	for _, k := range t.sorted() {
		if k.State != Alive && (worst == nil || cmp.Or(-cmp.Compare(k.State, worst.State), cmp.Compare(k.Since, worst.Since)) < 0) {
			worst = k
		}
	}
	if worst == nil {
		return false
	}
	t.drop(worst)
	return true
}

// sorted are all others by ID, so that no order of a map decides.
func (t *Table) sorted() []*Peer {
	all := make([]*Peer, 0, len(t.known))
	for _, k := range t.known {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Peers are all others by name.
func (t *Table) Peers() []Peer {
	var all []Peer
	for _, k := range t.sorted() {
		all = append(all, *k)
	}
	slices.SortStableFunc(all, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
