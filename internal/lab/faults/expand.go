// This file expands a fault schedule into steps.

package faults

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	defaultDrain = 4 * time.Second // time between drain and stop of a server if its fault sets none
	maxMembers   = 64              // number of bits of Step.Members
)

// Expand expands faults into steps, in order of time, for the given numbers of servers and balancers. It also returns the number of
// servers including successors. It fails if a kind of fault is unknown.
func Expand(faults []Fault, servers, balancers int, seed uint64) ([]Step, int, error) {
	e := &expander{
		rng:       rand.New(rand.NewPCG(seed, 0xfa17)),
		servers:   servers,
		balancers: balancers,
		total:     servers,
		current:   make([]int, servers),
	}
	for i := range e.current {
		e.current[i] = i
	}
	faults = slices.Clone(faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	for i, fault := range faults {
		if _, known := Kinds[fault.Kind]; !known {
			return nil, 0, fmt.Errorf("fault %d: kind %q is not known", i+1, fault.Kind)
		}
		if fault.Drain == 0 {
			fault.Drain = defaultDrain
		}
		e.expand(fault)
	}
	slices.SortStableFunc(e.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	e.numberSuccessors()
	return e.steps, e.total, nil
}

// expander expands faults in order of time.
type expander struct {
	rng       *rand.Rand
	servers   int   // number of servers at the start of the run
	balancers int   // number of balancers
	total     int   // number of servers, including successors
	current   []int // server that runs on each machine
	steps     []Step
}

// expand adds the steps of one fault.
func (e *expander) expand(f Fault) {
	switch f.Kind {
	case Drain:
		for _, machine := range e.draw(f.Share, e.servers) {
			e.drain(f.At, e.current[machine], f.Drain)
		}
	case Release:
		e.release(f)
	case Crash, Vanish, Slow, Errors, Full, Drip, TornLines, HalfOpen, LinkSlow, LinkCut, ListIncomplete:
		begin, end := serverSteps(f)
		for _, machine := range e.draw(f.Share, e.servers) {
			e.addPair(f, begin, end, e.current[machine])
		}
	case StoreSlow, DiscoveryOut, DiscoveryLate, DiscoveryFaulty, MisbehavingClients, FragmentedLines, ChangeClasses:
		begin, end := worldSteps(f)
		e.addPair(f, begin, end, 0)
	case Reconnect:
		e.add(Step{At: f.At, Action: DropClients, Value: f.Share, For: f.For})
	case SilentClients:
		e.add(Step{At: f.At, Action: SetSilentClients, Value: f.Rate, For: f.For})
	case Reload:
		e.add(Step{At: f.At, Action: ReloadAll})
	case MembersLossy, MembersSlow, MembersCut, MembersReorder:
		e.changeMemberLinks(f)
	default:
		e.expandBalancers(f)
	}
}

// expandBalancers adds the steps of a fault of single balancers.
func (e *expander) expandBalancers(f Fault) {
	balancers := e.draw(f.Share, e.balancers)
	for i, balancer := range balancers {
		staggered := f.At + time.Duration(float64(f.For)*float64(i)/float64(len(balancers)))
		switch f.Kind {
		case BalancerCrash:
			e.addPair(f, Step{Action: KillBalancer}, Step{Action: StartBalancer}, balancer)
		case BalancerRestart:
			e.add(Step{At: staggered, Action: RestartBalancer, Target: balancer})
		case Upgrade:
			e.add(Step{At: staggered, Action: UpgradeBalancer, Target: balancer})
		case BalancerDrain:
			e.add(Step{At: f.At + time.Duration(i)*f.For, Action: DrainBalancer, Target: balancer, For: f.For})
		case Stall:
			e.add(Step{At: f.At, Action: StallBalancer, Target: balancer, For: f.For})
		case MachineLost:
			e.add(Step{At: f.At, Action: LoseBalancer, Target: balancer})
			if f.For > 0 {
				e.add(Step{At: f.At + f.For, Action: StartBalancer, Target: balancer})
			}
		}
	}
}

// serverSteps returns the steps that begin and end a fault of a server.
func serverSteps(f Fault) (begin, end Step) {
	switch f.Kind {
	case Crash:
		return Step{Action: CrashServer}, Step{Action: RestartServer}
	case Vanish:
		return Step{Action: SilenceServer}, Step{Action: UnsilenceServer}
	case ListIncomplete:
		return Step{Action: HideServer}, Step{Action: ShowServer}
	case Slow:
		return Step{Action: SetSlow, Value: f.Factor}, Step{Action: SetSlow, Value: 1}
	case Errors:
		return Step{Action: SetErrors, Value: f.Rate}, Step{Action: SetErrors}
	case Full:
		return Step{Action: SetFull, Value: 1}, Step{Action: SetFull}
	case Drip:
		return Step{Action: SetDrip, Value: 1}, Step{Action: SetDrip}
	case TornLines:
		return Step{Action: SetTornLines, Value: 1}, Step{Action: SetTornLines}
	case HalfOpen:
		return Step{Action: SetHalfOpen, Value: 1}, Step{Action: SetHalfOpen}
	case LinkSlow:
		return Step{Action: SetLinkDelay, For: f.Delay}, Step{Action: SetLinkDelay}
	default: // LinkCut
		return Step{Action: SetLinkCut, Value: 1}, Step{Action: SetLinkCut}
	}
}

// worldSteps returns the steps that begin and end a fault of the store, discovery, the clients or the configuration.
func worldSteps(f Fault) (begin, end Step) {
	switch f.Kind {
	case StoreSlow:
		return Step{Action: SetStoreSlow, Value: f.Factor}, Step{Action: SetStoreSlow, Value: 1}
	case DiscoveryOut:
		return Step{Action: SetDiscoveryReachable}, Step{Action: SetDiscoveryReachable, Value: 1}
	case DiscoveryLate:
		return Step{Action: SetListDelay, For: f.Delay}, Step{Action: SetListDelay}
	case DiscoveryFaulty:
		return Step{Action: SetDiscoveryFaulty, Value: 1}, Step{Action: SetDiscoveryFaulty}
	case MisbehavingClients:
		return Step{Action: SetMisbehavingClients, Value: f.Rate}, Step{Action: SetMisbehavingClients}
	case FragmentedLines:
		return Step{Action: SetFragmentedLines, Value: 1}, Step{Action: SetFragmentedLines}
	default: // ChangeClasses
		return Step{Action: SetMoreClasses, Value: 1}, Step{Action: SetMoreClasses}
	}
}

func (e *expander) add(step Step) { e.steps = append(e.steps, step) }

// addPair adds the steps that begin and end a fault of a target.
func (e *expander) addPair(f Fault, begin, end Step, target int) {
	begin.At = f.At
	begin.Target = target
	end.At = f.At + f.For
	end.Target = target
	e.add(begin)
	e.add(end)
}

// draw draws a share of count indices, at least one.
func (e *expander) draw(share float64, count int) []int {
	drawn := max(1, int(math.Round(share*float64(count))))
	return e.rng.Perm(count)[:min(count, drawn)]
}

// drain adds the steps that drain a server and stop it.
func (e *expander) drain(at time.Duration, server int, drain time.Duration) {
	e.add(Step{At: at, Action: DrainServer, Target: server, For: drain})
	e.add(Step{At: at + drain, Action: StopServer, Target: server})
}

// release replaces servers in batches.
func (e *expander) release(f Fault) {
	machines := e.draw(f.Share, e.servers)
	size := max(1, int(math.Round(f.BatchShare*float64(e.servers))))
	batches := (len(machines) + size - 1) / size
	for i := range batches {
		at := f.At + time.Duration(float64(f.For)*float64(i)/float64(batches))
		for _, machine := range machines[i*size : min(len(machines), (i+1)*size)] {
			e.add(Step{At: at, Action: StartServer, Target: e.total, Machine: machine})
			e.drain(at, e.current[machine], f.Drain)
			e.current[machine] = e.total
			e.total++
		}
	}
}

// changeMemberLinks changes the links of some members, and restores them.
func (e *expander) changeMemberLinks(f Fault) {
	restored := MemberLink{In: f.Direction != directionOut, Out: f.Direction != directionIn}
	faulty := restored
	switch f.Kind {
	case MembersLossy:
		faulty.Loss = f.Rate
	case MembersSlow:
		faulty.Delay = f.Delay
	case MembersReorder:
		faulty.Duplicated = f.Rate
	case MembersCut:
		faulty.Cut = true
	}
	members := uint64(0)
	for _, member := range e.draw(f.Share, min(e.balancers, maxMembers)) {
		members |= 1 << member
	}
	e.add(Step{At: f.At, Action: SetMemberLinks, Members: members, Link: faulty})
	e.add(Step{At: f.At + f.For, Action: SetMemberLinks, Members: members, Link: restored})
}

// numberSuccessors numbers successors in the order in which they start. A step may still name one that has not started at its time, if
// its fault falls into a release; such a step has no effect.
func (e *expander) numberSuccessors() {
	numbers := map[int]int{}
	for _, step := range e.steps {
		if step.Action == StartServer {
			numbers[step.Target] = e.servers + len(numbers)
		}
	}
	for i, step := range e.steps {
		if number, isSuccessor := numbers[step.Target]; isSuccessor && isOnServer(step.Action) {
			e.steps[i].Target = number
		}
	}
}
