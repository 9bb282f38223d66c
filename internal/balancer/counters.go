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
	Accepted, Sessions, Malformed, BadLines                   atomic.Int64 // connections, circuits, first lines that can't be read
	Attempts, Probes                                          atomic.Int64
	Served, Rejected, Failed, ClientsLeft                     atomic.Int64 // final answers; clients that left before theirs
	Migrations, SilentServers, ForwardedLines                 atomic.Int64
	Open                                                      atomic.Int64 // circuits that stand now
	Lists, ListErrors, Errors, Panics, DescriptorShortages    atomic.Int64
	Reloads, ReloadErrors, Drains                             atomic.Int64
	Stalls                                                    atomic.Int64                       // turns that came late: the process was stopped, or starved
	HandedOver, TakenOver                                     atomic.Int64                       // circuits and clients, to the new process and from the old one
	GossipSent, GossipReceived, GossipDropped                 atomic.Int64                       // messages between balancers
	DuplicateIDs, UnexpectedLines, FirstLineTimeouts, Evicted atomic.Int64                       // turned away: taken id, more before the answer, silent
	Candidates                                                atomic.Int64                       // servers of a held list that were asked before they were listed
	Replicated, RepeatedAnswers, NotReplicated                atomic.Int64                       // circuits held by the fleet, answered by its word, not promised in time
	Outcomes                                                  [policy.NeverSent + 1]atomic.Int64 // tries and circuits, by outcome
}

var outcomeNames = [policy.NeverSent + 1]string{
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
		{"accepted", &c.Accepted}, {"taken", &c.Sessions}, {"malformed", &c.Malformed}, {"bad-lines", &c.BadLines},
		{"tries", &c.Attempts}, {"probes", &c.Probes}, {"served", &c.Served}, {"nacked", &c.Rejected},
		{"broken-off", &c.Failed}, {"left", &c.ClientsLeft}, {"moves", &c.Migrations}, {"silent", &c.SilentServers},
		{"relayed", &c.ForwardedLines}, {"open", &c.Open}, {"lists", &c.Lists}, {"list-errors", &c.ListErrors},
		{"reloads", &c.Reloads}, {"reload-errors", &c.ReloadErrors}, {"drains", &c.Drains},
		{"passed", &c.HandedOver}, {"inherited", &c.TakenOver},
		{"sent", &c.GossipSent}, {"heard", &c.GossipReceived}, {"dropped", &c.GossipDropped},
		{"same-id", &c.DuplicateIDs}, {"unasked", &c.UnexpectedLines}, {"late", &c.FirstLineTimeouts}, {"shed", &c.Evicted},
		{"candidates", &c.Candidates}, {"held", &c.Replicated}, {"same-word", &c.RepeatedAnswers}, {"not-held", &c.NotReplicated},
		{"stalls", &c.Stalls}, {"errors", &c.Errors}, {"panics", &c.Panics}, {"no-room", &c.DescriptorShortages},
	} {
		all = append(all, zap.Int64(f.name, f.n.Load()))
	}
	for how, name := range outcomeNames {
		all = append(all, zap.Int64("ended-"+name, c.Outcomes[how].Load()))
	}
	return all
}
