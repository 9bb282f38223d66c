package balancer

import (
	"sync/atomic"

	"go.uber.org/zap"

	"sabletally/policy"
)

// Counters count a balancer's events since its start. They are safe for concurrent use and do not influence any decision. The method
// fields defines the names under which they are logged.
type Counters struct {
	Accepted  atomic.Int64 // clients' connections that were accepted, or taken over from another process
	Sessions  atomic.Int64 // requests for a session, each of which is owed one final answer
	Malformed atomic.Int64 // first lines that are not a valid request
	BadLines  atomic.Int64 // lines of clients that could not be parsed, or that the clients may not send
	Attempts  atomic.Int64
	Probes    atomic.Int64

	// Final answers.
	Served            atomic.Int64 // sessions that were established or served with a single answer
	Rejected          atomic.Int64
	Failed            atomic.Int64
	ClientDisconnects atomic.Int64 // sessions whose client disconnected before its final answer

	Migrations     atomic.Int64
	SilentServers  atomic.Int64 // sessions migrated because their server did not answer a line in time
	ForwardedLines atomic.Int64 // lines forwarded in both directions, as of the last LogCounters
	Open           atomic.Int64 // sessions that are established now

	Lists               atomic.Int64 // endpoint lists received from discovery
	ListErrors          atomic.Int64 // failed requests to discovery
	Errors              atomic.Int64 // connections that broke or could not be relayed or taken over
	Panics              atomic.Int64
	DescriptorShortages atomic.Int64 // clients, dials, probes and established sessions for which no descriptor was free
	Reloads             atomic.Int64
	ReloadErrors        atomic.Int64
	Drains              atomic.Int64
	Stalls              atomic.Int64 // iterations of the loop that were late by more than stallThreshold

	// Sessions and clients of hot restarts.
	HandedOver atomic.Int64
	TakenOver  atomic.Int64

	GossipSent     atomic.Int64
	GossipReceived atomic.Int64
	GossipDropped  atomic.Int64

	// Clients that violate the protocol or its timeouts.
	DuplicateIDs      atomic.Int64
	UnexpectedLines   atomic.Int64 // lines that clients sent while they waited for their answer
	FirstLineTimeouts atomic.Int64
	Evicted           atomic.Int64 // connections closed to free descriptors

	Candidates atomic.Int64 // checks of servers in a recovered endpoint list

	// Replication of sessions in the fleet.
	Replicated      atomic.Int64 // sessions of replicated classes
	RepeatedAnswers atomic.Int64 // sessions answered with the recorded answer of an earlier request
	NotReplicated   atomic.Int64 // sessions whose record was not written in time

	Outcomes [policy.NeverSent + 1]atomic.Int64 // outcomes of attempts and of established sessions

	ForgottenIDs atomic.Int64 // request IDs that were forgotten early because the memory for them was full
}

// outcomeNames are the names of outcomes in the log.
var outcomeNames = [policy.NeverSent + 1]string{
	policy.Succeeded:     "succeeded",
	policy.Failed:        "failed",
	policy.Rejected:      "turned-away",
	policy.TimedOut:      "timed-out",
	policy.ConnectFailed: "connect-failed",
	policy.Reset:         "reset",
	policy.Cancelled:     "cancelled",
	policy.NeverSent:     "never-sent",
}

// LogCounters logs the counters. occasion says why they are logged.
func (l *Loop) LogCounters(log *zap.Logger, occasion string) {
	l.ForwardedLines.Store(l.relay.ForwardedLines.Load())
	fields := append([]zap.Field{zap.String("why", occasion)}, l.fields()...)
	fields = append(fields,
		zap.Int64("descriptors", l.descriptors.Load()),
		zap.Int64("unsent-bytes", l.relay.UnsentBytes.Load()),
		zap.Int64("short-writes", l.relay.WriteRetries.Load()),
		zap.Int64("short-reads", l.relay.ReadRetries.Load()))
	log.Info("counters", fields...)
}

// fields returns the counters under their names in the log.
func (c *Counters) fields() []zap.Field {
	fields := []zap.Field{
		zap.Int64("accepted", c.Accepted.Load()),
		zap.Int64("taken", c.Sessions.Load()),
		zap.Int64("malformed", c.Malformed.Load()),
		zap.Int64("bad-lines", c.BadLines.Load()),
		zap.Int64("tries", c.Attempts.Load()),
		zap.Int64("probes", c.Probes.Load()),
		zap.Int64("served", c.Served.Load()),
		zap.Int64("nacked", c.Rejected.Load()),
		zap.Int64("broken-off", c.Failed.Load()),
		zap.Int64("left", c.ClientDisconnects.Load()),
		zap.Int64("moves", c.Migrations.Load()),
		zap.Int64("silent", c.SilentServers.Load()),
		zap.Int64("relayed", c.ForwardedLines.Load()),
		zap.Int64("open", c.Open.Load()),
		zap.Int64("lists", c.Lists.Load()),
		zap.Int64("list-errors", c.ListErrors.Load()),
		zap.Int64("reloads", c.Reloads.Load()),
		zap.Int64("reload-errors", c.ReloadErrors.Load()),
		zap.Int64("drains", c.Drains.Load()),
		zap.Int64("passed", c.HandedOver.Load()),
		zap.Int64("inherited", c.TakenOver.Load()),
		zap.Int64("sent", c.GossipSent.Load()),
		zap.Int64("heard", c.GossipReceived.Load()),
		zap.Int64("dropped", c.GossipDropped.Load()),
		zap.Int64("same-id", c.DuplicateIDs.Load()),
		zap.Int64("forgotten-ids", c.ForgottenIDs.Load()),
		zap.Int64("unasked", c.UnexpectedLines.Load()),
		zap.Int64("late", c.FirstLineTimeouts.Load()),
		zap.Int64("shed", c.Evicted.Load()),
		zap.Int64("candidates", c.Candidates.Load()),
		zap.Int64("held", c.Replicated.Load()),
		zap.Int64("same-word", c.RepeatedAnswers.Load()),
		zap.Int64("not-held", c.NotReplicated.Load()),
		zap.Int64("stalls", c.Stalls.Load()),
		zap.Int64("errors", c.Errors.Load()),
		zap.Int64("panics", c.Panics.Load()),
		zap.Int64("no-room", c.DescriptorShortages.Load()),
	}
	for outcome, name := range outcomeNames {
		fields = append(fields, zap.Int64("ended-"+name, c.Outcomes[outcome].Load()))
	}
	return fields
}
