// Package faults owns the faults of a run: their kinds, and the steps, each at its time and for one server
// or balancer, that a fault turns into by a seed. Both kinds of world carry out the same steps. It must never
// carry one out.
package faults

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault as experiment files do.
type Kind string

// The kinds of fault. Capitalized words in the comments are fields of Fault.
const (
	Drain           Kind = "drain"            // Part of the servers drain, and stop after Drain
	Release         Kind = "release"          // Part is replaced within For, Batch at a time; successors start cold
	Crash           Kind = "crash"            // processes die, and start again cold after For
	Vanish          Kind = "vanish"           // machines go silent for For
	Slow            Kind = "slow"             // Times slower for For
	Errors          Kind = "errors"           // Rate of the set-ups fail for For
	Full            Kind = "full"             // reject all new sessions for For
	Drip            Kind = "drip"             // answer a byte at a time for For; sockets only
	TornLines       Kind = "torn-lines"       // break off in the middle of a line for For; sockets only
	HalfOpen        Kind = "half-open"        // take connections and read nothing for For; sockets only
	StoreSlow       Kind = "store-slow"       // the store is Times slower for For
	DiscoveryOut    Kind = "discovery-outage" // the list is out of reach for For
	DiscoveryLate   Kind = "discovery-late"   // it comes Late later for For
	DiscoveryFaulty Kind = "discovery-faulty" // half-written and odd answers for For; sockets only
	ListMisses      Kind = "list-misses"      // the list lacks Part of the servers for For
	Reconnect       Kind = "reconnect"        // Part of the clients drop and come again within For
	BalancerCrash   Kind = "balancer-crash"   // Part of the balancers are killed, and start again after For
	BalancerRestart Kind = "balancer-restart" // Part restart as planned, one after the other within For
	Reload          Kind = "reload"           // a new configuration names the other discovery; sockets only
	BadClients      Kind = "bad-clients"      // Rate of them a second for For; sockets only
	Upgrade         Kind = "upgrade"          // Part get a new process beside the old one, one after the other within For; sockets only
	BalancerDrain   Kind = "balancer-drain"   // an operator empties Part, one after the other, each for For; sockets only
	Retune          Kind = "retune"           // a new configuration has one class more and fewer attempts, for For; sockets only
	Crowd           Kind = "crowd"            // Rate clients a second connect and never finish, for For; sockets only
	Pieces          Kind = "pieces"           // clients write their first lines in pieces for For; sockets only
	LinkSlow        Kind = "link-slow"        // the way to Part of the servers takes Late longer; sockets only
	LinkCut         Kind = "link-cut"         // it carries nothing back from them for For; sockets only

	// MembersLossy and those below it act between the members of a fleet; sockets only.
	MembersLossy   Kind = "members-lossy"   // the ways between Part of the members and all others lose Rate of what passes for For
	MembersSlow    Kind = "members-slow"    // they take Late longer for For; Ways "out": only what Part says, as replies that are slow
	MembersCut     Kind = "members-cut"     // Part is cut off from the rest for For; Ways "in" or "out": in that way alone
	MembersReorder Kind = "members-reorder" // Rate of their datagrams come twice and out of order for For
	Stall          Kind = "stall"           // the processes of Part of the balancers are stopped for For, and go on
	MachineLost    Kind = "machine-lost"    // Part are killed and their directories deleted; they come back empty after For, or never
)

// Kinds lists all that a file may name, and what each needs.
var Kinds = map[Kind][]string{
	Drain: {"part"}, Release: {"part", "for"}, Crash: {"part", "for"}, Vanish: {"part", "for"}, Slow: {"part", "for", "times"},
	Errors: {"part", "for", "rate"}, Full: {"part", "for"}, Drip: {"part", "for"}, TornLines: {"part", "for"}, HalfOpen: {"part", "for"},
	StoreSlow: {"for", "times"}, DiscoveryOut: {"for"}, DiscoveryLate: {"for", "late"}, DiscoveryFaulty: {"for"},
	ListMisses: {"part", "for"}, Reconnect: {"part", "for"}, BalancerCrash: {"part", "for"}, BalancerRestart: {"part", "for"},
	Upgrade: {"part", "for"}, BalancerDrain: {"part", "for"}, Retune: {"for"}, Crowd: {"for", "rate"}, Pieces: {"for"},
	Reload: {}, BadClients: {"for", "rate"}, LinkSlow: {"part", "for", "late"}, LinkCut: {"part", "for"},
	MembersLossy: {"part", "for", "rate"}, MembersSlow: {"part", "for", "late"}, MembersCut: {"part", "for"},
	MembersReorder: {"part", "for", "rate"}, Stall: {"part", "for"}, MachineLost: {"part"},
}

// BetweenMembers reports whether a fault needs balancers that are members of a fleet.
func BetweenMembers(k Kind) bool {
	return slices.Contains([]Kind{MembersLossy, MembersSlow, MembersCut, MembersReorder, MachineLost}, k)
}

// SocketsOnly reports whether a fault has no meaning in virtual time.
func SocketsOnly(k Kind) bool {
	return slices.Contains([]Kind{Drip, TornLines, HalfOpen, DiscoveryFaulty, Reload, BadClients, LinkSlow, LinkCut,
		Upgrade, BalancerDrain, Retune, Crowd, Pieces, Stall}, k) || BetweenMembers(k)
}

// Fault is one line of the fault schedule.
type Fault struct {
	Kind    Kind
	At, For time.Duration
	Part    float64       // share of the servers, balancers or clients
	Batch   float64       // of a release, share of the servers at a time
	Drain   time.Duration // how long a draining server stays
	Times   float64
	Rate    float64
	Late    time.Duration
	Ways    string // of faults between members: "both", "in" or "out", as those of Part see it
}

// Action is what one step does.
type Action uint8

// The steps. Figure and For in the comments are fields of Step.
const (
	Start      Action = iota // server Who starts cold; in place of machine Of
	BeginDrain               // the list says that it drains, and it sends its clients away; For: until it stops
	Stop                     // it ends what it holds and is gone
	Die                      // its process dies; the list notices late
	Revive                   // and starts again, cold
	Silence                  // its machine says nothing any more
	Speak
	SetSlow // Figure: times slower
	SetErrors
	SetFull // Figure: 1 or 0
	SetDrip
	SetTorn
	SetHalfOpen
	SetStore        // Figure: times slower
	SetDiscovery    // Figure: 1 in reach, 0 not
	SetLate         // For: how much later the list comes
	SetFaulty       // Figure: 1 or 0
	Hide            // the list lacks server Who
	Show            // it has it again
	DropClients     // Figure: the share; For: within
	KillBalancer    // outright
	StartBalancer   // again
	RestartBalancer // planned; it starts again once it has left
	ReloadAll
	SetMisbehavingClients // Figure: bad clients a second
	UpgradeBalancer
	DrainBalancer    // For: until it is back
	SetMoreClasses   // Figure: 1 retuned, 0 as it was
	SetSilentClients // Figure: clients a second
	SetPieces        // Figure: 1 or 0
	SetLinkLate      // For: how much later all passes
	SetLinkCut       // Figure: 1 or 0
	SetMemberLinks   // the ways between Band and the other members are as Tie says
	StallBalancer    // it is stopped; For: until it goes on
	LoseBalancer     // killed, and its directory deleted
)

// MemberLink is how ways between members are.
type MemberLink struct {
	In, Out          bool // which ways: towards those of the band, from them
	Loss, Duplicated float64
	Delay            time.Duration
	Cut              bool
}

// Step is one act. Who is a server, or a balancer for the acts on balancers.
type Step struct {
	At      time.Duration
	Action  Action
	Target  int
	Of      int // the machine whose place a started one takes
	Figure  float64
	For     time.Duration
	Members uint64 // the members that SetTies is about, a bit each; on sockets there are few
	Link    MemberLink
}

func onServer(a Action) bool {
	switch a {
	case SetStore, SetDiscovery, SetLate, SetFaulty, DropClients, KillBalancer, StartBalancer, RestartBalancer, ReloadAll, SetMisbehavingClients,
		UpgradeBalancer, DrainBalancer, SetMoreClasses, SetSilentClients, SetPieces, SetMemberLinks, StallBalancer, LoseBalancer:
		return false
	}
	return true
}

// OnServer reports whether a step acts on server Target.
func (s Step) OnServer() bool { return onServer(s.Action) }

// Expand turns faults into steps for so many servers and balancers, in order of time. It also answers how many
// servers there are in all, successors included.
func Expand(faults []Fault, servers, balancers int, seed uint64) ([]Step, int, error) {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	var all []Step
	total := servers
	standing := make([]int, servers) // the index that stands in a machine's place now
	for i := range standing {
		standing[i] = i
	}
	faults = slices.Clone(faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	for n, f := range faults {
		if _, known := Kinds[f.Kind]; !known {
			return nil, 0, fmt.Errorf("fault %d: kind %q is not known", n+1, f.Kind)
		}
		step := func(at time.Duration, act Action, who int, figure float64, span time.Duration) {
			all = append(all, Step{At: at, Action: act, Target: who, Figure: figure, For: span})
		}
		// some picks Part of so many, one at least.
		some := func(of int) []int {
			return rng.Perm(of)[:min(of, max(1, int(math.Round(f.Part*float64(of)))))]
		}
		spell := func(act Action, on, off float64, span time.Duration) {
			for _, i := range some(servers) {
				step(f.At, act, standing[i], on, span)
				step(f.At+f.For, act, standing[i], off, 0)
			}
		}
		drain := f.Drain
		if drain == 0 {
			drain = 4 * time.Second
		}
		switch f.Kind {
		case Drain:
			for _, i := range some(servers) {
				step(f.At, BeginDrain, standing[i], 0, drain)
				step(f.At+drain, Stop, standing[i], 0, 0)
			}
		case Release:
			which := some(servers)
			batch := max(1, int(math.Round(f.Batch*float64(servers))))
			batches := (len(which) + batch - 1) / batch
			for b := 0; b < batches; b++ {
				at := f.At + time.Duration(float64(f.For)*float64(b)/float64(batches))
				for _, i := range which[b*batch : min(len(which), (b+1)*batch)] {
					all = append(all, Step{At: at, Action: Start, Target: total, Of: i})
					step(at, BeginDrain, standing[i], 0, drain)
					step(at+drain, Stop, standing[i], 0, 0)
					standing[i] = total
					total++
				}
			}
		case Crash:
			for _, i := range some(servers) {
				step(f.At, Die, standing[i], 0, 0)
				step(f.At+f.For, Revive, standing[i], 0, 0)
			}
		case Vanish:
			for _, i := range some(servers) {
				step(f.At, Silence, standing[i], 0, 0)
				step(f.At+f.For, Speak, standing[i], 0, 0)
			}
		case Slow:
			spell(SetSlow, f.Times, 1, 0)
		case Errors:
			spell(SetErrors, f.Rate, 0, 0)
		case Full:
			spell(SetFull, 1, 0, 0)
		case Drip:
			spell(SetDrip, 1, 0, 0)
		case TornLines:
			spell(SetTorn, 1, 0, 0)
		case HalfOpen:
			spell(SetHalfOpen, 1, 0, 0)
		case LinkSlow:
			spell(SetLinkLate, 0, 0, f.Late)
		case LinkCut:
			spell(SetLinkCut, 1, 0, 0)
		case StoreSlow:
			step(f.At, SetStore, 0, f.Times, 0)
			step(f.At+f.For, SetStore, 0, 1, 0)
		case DiscoveryOut:
			step(f.At, SetDiscovery, 0, 0, 0)
			step(f.At+f.For, SetDiscovery, 0, 1, 0)
		case DiscoveryLate:
			step(f.At, SetLate, 0, 0, f.Late)
			step(f.At+f.For, SetLate, 0, 0, 0)
		case DiscoveryFaulty:
			step(f.At, SetFaulty, 0, 1, 0)
			step(f.At+f.For, SetFaulty, 0, 0, 0)
		case ListMisses:
			for _, i := range some(servers) {
				step(f.At, Hide, standing[i], 0, 0)
				step(f.At+f.For, Show, standing[i], 0, 0)
			}
		case Reconnect:
			step(f.At, DropClients, 0, f.Part, f.For)
		case BalancerCrash:
			for _, b := range some(balancers) {
				step(f.At, KillBalancer, b, 0, 0)
				step(f.At+f.For, StartBalancer, b, 0, 0)
			}
		case BalancerRestart:
			which := some(balancers)
			for n, b := range which {
				step(f.At+time.Duration(float64(f.For)*float64(n)/float64(len(which))), RestartBalancer, b, 0, 0)
			}
		case Upgrade:
			which := some(balancers)
			for n, b := range which {
				step(f.At+time.Duration(float64(f.For)*float64(n)/float64(len(which))), UpgradeBalancer, b, 0, 0)
			}
		case BalancerDrain:
			for n, b := range some(balancers) {
				step(f.At+time.Duration(n)*f.For, DrainBalancer, b, 0, f.For)
			}
		case Retune:
			step(f.At, SetMoreClasses, 0, 1, 0)
			step(f.At+f.For, SetMoreClasses, 0, 0, 0)
		case Crowd:
			step(f.At, SetSilentClients, 0, f.Rate, f.For)
		case Pieces:
			step(f.At, SetPieces, 0, 1, 0)
			step(f.At+f.For, SetPieces, 0, 0, 0)
		case MembersLossy, MembersSlow, MembersCut, MembersReorder:
			tie := MemberLink{In: f.Ways != "out", Out: f.Ways != "in"}
			switch f.Kind {
			case MembersLossy:
				tie.Loss = f.Rate
			case MembersSlow:
				tie.Delay = f.Late
			case MembersReorder:
				tie.Duplicated = f.Rate
			default:
				tie.Cut = true
			}
			band := uint64(0)
			for _, b := range some(min(balancers, 64)) {
				band |= 1 << b
			}
			all = append(all, Step{At: f.At, Action: SetMemberLinks, Members: band, Link: tie},
				Step{At: f.At + f.For, Action: SetMemberLinks, Members: band, Link: MemberLink{In: tie.In, Out: tie.Out}})
		case Stall:
			for _, b := range some(balancers) {
				step(f.At, StallBalancer, b, 0, f.For)
			}
		case MachineLost:
			for _, b := range some(balancers) {
				step(f.At, LoseBalancer, b, 0, 0)
				if f.For > 0 {
					step(f.At+f.For, StartBalancer, b, 0, 0)
				}
			}
		case Reload:
			step(f.At, ReloadAll, 0, 0, 0)
		case BadClients:
			step(f.At, SetMisbehavingClients, 0, f.Rate, 0)
			step(f.At+f.For, SetMisbehavingClients, 0, 0, 0)
		}
	}
	slices.SortStableFunc(all, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	// Successors are numbered as they start. A step may still name one that has not started when it comes, where a
	// fault falls into a release: there is nothing to do then.
	number := map[int]int{}
	for _, s := range all {
		if s.Action == Start {
			number[s.Target] = servers + len(number)
		}
	}
	for i, s := range all {
		if as, is := number[s.Target]; is && onServer(s.Action) {
			all[i].Target = as
		}
	}
	return all, total, nil
}
