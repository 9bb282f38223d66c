// This file owns the counters: what is taken in, sent and answered. They are written by whoever counts and may
// be read at any time. They must never steer anything.

package balancer

import (
	"sync/atomic"

	"go.uber.org/zap"

	"sabletally/policy"
)

// Counters are sums since the start, but for Open.
type Counters struct {
	Accepted, Taken, Malformed, BadLines      atomic.Int64 // connections, circuits, first lines that can't be read
	Tries, Probes                             atomic.Int64
	Served, Nacked, BrokenOff, Left           atomic.Int64 // final answers; clients that left before theirs
	Moves, Silent, Relayed                    atomic.Int64
	Open                                      atomic.Int64 // circuits that stand now
	Lists, ListErrors, Errors, Panics, NoRoom atomic.Int64
	Reloads, ReloadErrors, Drains             atomic.Int64
	Stalls                                    atomic.Int64                       // turns that came late: the process was stopped, or starved
	Passed, Inherited                         atomic.Int64                       // circuits and clients, to the new process and from the old one
	Sent, Heard, Dropped                      atomic.Int64                       // messages between balancers
	SameID, Unasked, Late, Shed               atomic.Int64                       // turned away: taken id, more before the answer, silent
	Candidates                                atomic.Int64                       // servers of a held list that were asked before they were listed
	Held, Same, NotHeld                       atomic.Int64                       // circuits held by the fleet, answered by its word, not promised in time
	Ended                                     [policy.NeverSent + 1]atomic.Int64 // tries and circuits, by outcome
}

var outcomes = [policy.NeverSent + 1]string{
	policy.Succeeded: "succeeded", policy.Failed: "failed", policy.Rejected: "turned-away", policy.TimedOut: "timed-out",
	policy.ConnectFailed: "connect-failed", policy.Reset: "reset", policy.Cancelled: "cancelled",
	policy.NeverSent: "never-sent",
}

func (c *Counters) fields() []zap.Field {
	var all []zap.Field
	for _, f := range []struct {
		name string
		n    *atomic.Int64
	}{
		{"accepted", &c.Accepted}, {"taken", &c.Taken}, {"malformed", &c.Malformed}, {"bad-lines", &c.BadLines},
		{"tries", &c.Tries}, {"probes", &c.Probes}, {"served", &c.Served}, {"nacked", &c.Nacked},
		{"broken-off", &c.BrokenOff}, {"left", &c.Left}, {"moves", &c.Moves}, {"silent", &c.Silent},
		{"relayed", &c.Relayed}, {"open", &c.Open}, {"lists", &c.Lists}, {"list-errors", &c.ListErrors},
		{"reloads", &c.Reloads}, {"reload-errors", &c.ReloadErrors}, {"drains", &c.Drains},
		{"passed", &c.Passed}, {"inherited", &c.Inherited},
		{"sent", &c.Sent}, {"heard", &c.Heard}, {"dropped", &c.Dropped},
		{"same-id", &c.SameID}, {"unasked", &c.Unasked}, {"late", &c.Late}, {"shed", &c.Shed},
		{"candidates", &c.Candidates}, {"held", &c.Held}, {"same-word", &c.Same}, {"not-held", &c.NotHeld},
		{"stalls", &c.Stalls}, {"errors", &c.Errors}, {"panics", &c.Panics}, {"no-room", &c.NoRoom},
	} {
		all = append(all, zap.Int64(f.name, f.n.Load()))
	}
	for how, name := range outcomes {
		all = append(all, zap.Int64("ended-"+name, c.Ended[how].Load()))
	}
	return all
}
