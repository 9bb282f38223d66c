// Package checker checks a run against the four rules and counts losses, from the recorded events alone. It must never look at a
// balancer, its log or its counters, and never allow what the rules do not allow.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
	"sabletally/policy"
)

// Rules are the limits that a run is checked against.
type Rules struct {
	DrainGrace   time.Duration  // time after the notification within which a drained server may still get attempts
	Slack        time.Duration  // tolerance for events that the emulators observe late: 50 ms on sockets, 5 ms in virtual time
	MaxLineDelay time.Duration  // longest delay of a line in a balancer
	CloseTimeout time.Duration  // time within which a balancer passes on the end of a connection
	Warmup       model.Warmup   // warm-up and overload of servers
	Classes      []policy.Class // idempotency of the sessions, by class
	Places       []Place        // locations of the servers, by server index
}

// Place is the location of a server. Servers of some classes deduplicate repeated requests only within a zone or failure domain.
type Place struct{ Zone, FailureDomain int }

// Rule names a rule or a kind of loss.
type Rule string

// The four rules, the kinds of loss that violate none of them, and EventsLost, which makes a check impossible.
const (
	OneFinalAnswer     Rule = "1 one final answer"
	NoDuplicateEffect  Rule = "2 no effect twice"
	DrainRespected     Rule = "3 drains are kept"
	SlowStartRespected Rule = "4 cold servers are spared"
	CutWithoutMove     Rule = "loss: cut without MOVE"
	LineDelayed        Rule = "loss: line held"
	CloseDelayed       Rule = "loss: end passed on late"
	FabricatedAnswer   Rule = "loss: served with what no server made"
	EventsLost         Rule = "the log lost events"
)

// Violation is one violated rule or one loss.
type Violation struct {
	At      time.Duration // time of the violation, since the start of the run
	Rule    Rule
	Session uint64 // session ID; 0 if the violation concerns no session
	Detail  string
}

// String formats the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3fs session %x: %s: %s", v.At.Seconds(), v.Session, v.Rule, v.Detail)
}

// Verdict is the checker's result for a run.
type Verdict struct {
	Violations []Violation
	Sessions   int // sessions that clients have opened
	Answers    int // final answers that clients have read
}

// Passed reports whether there are no violations.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// String formats the verdict in one line, with the number of violations of each rule.
func (v Verdict) String() string {
	if v.Passed() {
		return fmt.Sprintf("kept: %d sessions, %d final answers, no rule broken", v.Sessions, v.Answers)
	}
	count := map[Rule]int{}
	for _, violation := range v.Violations {
		count[violation.Rule]++
	}
	var rules []Rule
	for r := range count {
		rules = append(rules, r)
	}
	slices.Sort(rules)
	text := fmt.Sprintf("BROKEN: %d sessions, %d final answers", v.Sessions, v.Answers)
	for _, r := range rules {
		text += fmt.Sprintf("; %s: %d", r, count[r])
	}
	return text
}

// attempt is one attempt of a session, as its server observed it.
type attempt struct {
	server        int32
	sentAt        time.Duration
	ended         bool
	endedAt       time.Duration
	endedBy       string  // who or what ended the attempt: "refused", "failed", "server" or "peer"
	effectApplied bool    // whether the request took effect at the server
	receipt       float64 // receipt that the server has given
}

// session is the state of one session as the events so far show it.
type session struct {
	balancer       int32 // -1 for a session that no client has opened
	class          int16
	requestSentAt  time.Duration
	deadline       time.Duration // time within which the final answer is due, from requestSentAt on
	answers        int           // number of final answers that the client has read
	established    bool
	receipt        float64
	migrated       bool // whether the client was told to migrate
	clientClosed   bool // whether the client has closed the connection
	clientClosedAt time.Duration
	ended          bool // whether the client has seen the end of the connection
	endedAt        time.Duration
	balancerKilled bool // whether the balancer was killed, which ends its obligations for the session
	attempts       []attempt
}

// balancerServer identifies a server as one balancer knows it.
type balancerServer struct{ balancer, server int32 }

// process is the latest process of a server.
type process struct {
	startedAt time.Duration
	capacity  float64
	cold      bool
	attempts  []time.Duration // times of the attempts within the overload window
}

// outage is a period in which a server, or the link to it, did not answer.
type outage struct{ from, to time.Duration }

// ongoing is the end of an outage that has not ended.
const ongoing = time.Duration(1 << 62)

// hadOutage reports whether a server had an outage at any time within a period.
func (run *checkRun) hadOutage(server int32, from, to time.Duration) bool {
	for _, o := range run.outages[server] {
		if o.from <= to && o.to >= from {
			return true
		}
	}
	return false
}

// latestAttempt returns the latest attempt of a session, or nil if there is none.
func (s *session) latestAttempt() *attempt {
	if len(s.attempts) == 0 {
		return nil
	}
	return &s.attempts[len(s.attempts)-1]
}

// checkRun is the state of a check in progress.
type checkRun struct {
	rules        Rules
	verdict      Verdict
	sessions     map[uint64]*session
	order        []uint64                         // session IDs in the order of their first events
	drainedSince map[balancerServer]time.Duration // time since which the balancer has known that the server is not ready
	processes    map[int32]*process               // latest processes, by server
	outages      map[int32][]outage               // outages in order of time, by server
	killed       map[int32]bool                   // balancers that were killed and have not started again
}

// Check checks the events of a run, in order of time, up to the end of the run. lost is the number of events that the log dropped.
func Check(r Rules, events []history.Event, lost int, end time.Duration) Verdict {
	run := &checkRun{rules: r, sessions: map[uint64]*session{}, drainedSince: map[balancerServer]time.Duration{},
		processes: map[int32]*process{}, outages: map[int32][]outage{}, killed: map[int32]bool{}}
	if lost > 0 {
		run.report(end, EventsLost, 0, fmt.Sprintf("%d events found no room", lost))
	}
	for i := range events {
		run.apply(&events[i])
	}
	for _, id := range run.order {
		run.checkEnd(id, run.sessions[id], end)
	}
	slices.SortStableFunc(run.verdict.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return run.verdict
}

// report adds a violation to the verdict.
func (run *checkRun) report(at time.Duration, r Rule, id uint64, detail string) {
	run.verdict.Violations = append(run.verdict.Violations, Violation{at, r, id, detail})
}

// session returns the session with an ID. It may be one that no client has opened, if a server has received such a request.
func (run *checkRun) session(id uint64) *session {
	s := run.sessions[id]
	if s == nil {
		s = &session{balancer: -1}
		run.sessions[id] = s
		run.order = append(run.order, id)
	}
	return s
}

// apply updates the state by one event and checks it.
func (run *checkRun) apply(e *history.Event) {
	switch e.Kind {
	case history.ServerStarted, history.ServerStopped, history.ServerOverloaded:
		run.applyServerEvent(e)
	case history.BalancerStarted, history.BalancerKilled, history.BalancerNotified:
		run.applyBalancerEvent(e)
	case history.Note:
	default:
		run.applySessionEvent(e, run.session(e.Session))
	}
}

// applySessionEvent updates the state of a session by an event of its client or of a server.
func (run *checkRun) applySessionEvent(e *history.Event, s *session) {
	switch e.Kind {
	case history.RequestSent:
		s.balancer = e.Balancer
		s.class = e.Class
		s.requestSentAt = e.At
		s.deadline = e.Duration
		s.balancerKilled = run.killed[e.Balancer]
		run.verdict.Sessions++
	case history.AnswerReceived:
		run.applyAnswer(e, s)
	case history.ClientClosed:
		s.clientClosed, s.clientClosedAt = true, e.At
	case history.MigrateReceived:
		s.migrated = true
	case history.ConnectionEnded:
		s.ended, s.endedAt = true, e.At
	case history.LineDelayed:
		a := s.latestAttempt()
		if e.Duration > run.rules.MaxLineDelay+run.rules.Slack && (a == nil || !run.hadOutage(a.server, e.At-e.Duration, e.At)) {
			run.report(e.At, LineDelayed, e.Session, fmt.Sprintf("for %v", e.Duration))
		}
	case history.AttemptReceived:
		run.applyAttempt(e, s)
	case history.EffectApplied:
		for n := range s.attempts {
			if a := &s.attempts[n]; a.server == e.Server && !a.ended {
				a.effectApplied, a.receipt = true, e.Number
			}
		}
	case history.AttemptEnded:
		for n := range s.attempts {
			if a := &s.attempts[n]; a.server == e.Server && !a.ended {
				a.ended, a.endedAt, a.endedBy = true, e.At, e.Text
				break
			}
		}
	}
}

// applyServerEvent updates the processes and outages of servers.
func (run *checkRun) applyServerEvent(e *history.Event) {
	switch e.Kind {
	case history.ServerStarted:
		if all := run.outages[e.Server]; len(all) > 0 && all[len(all)-1].to == ongoing {
			all[len(all)-1].to = e.At
		}
		run.processes[e.Server] = &process{startedAt: e.At, capacity: e.Number, cold: e.Text == "cold"}
	case history.ServerStopped:
		run.outages[e.Server] = append(run.outages[e.Server], outage{e.At, ongoing})
	case history.ServerOverloaded:
		run.outages[e.Server] = append(run.outages[e.Server], outage{e.At, ongoing})
		run.report(e.At, SlowStartRespected, e.Session, fmt.Sprintf("server %d was overloaded", e.Server))
	}
}

// applyBalancerEvent updates what balancers know of servers, and which balancers were killed.
func (run *checkRun) applyBalancerEvent(e *history.Event) {
	switch e.Kind {
	case history.BalancerNotified:
		pair := balancerServer{e.Balancer, e.Server}
		if e.Text == "ready" {
			delete(run.drainedSince, pair)
		} else if _, already := run.drainedSince[pair]; !already {
			run.drainedSince[pair] = e.At
		}
	case history.BalancerStarted:
		delete(run.killed, e.Balancer)
		for pair := range run.drainedSince { // the new process starts with a new list
			if pair.balancer == e.Balancer {
				delete(run.drainedSince, pair)
			}
		}
	case history.BalancerKilled:
		run.killed[e.Balancer] = true
		if e.Text == "planned" { // the sessions that are still open count as losses
			return
		}
		for _, s := range run.sessions {
			if s.balancer == e.Balancer && !s.ended && !s.clientClosed {
				s.balancerKilled = true
			}
		}
	}
}

// applyAnswer checks that a final answer is the first one of its session and not late.
func (run *checkRun) applyAnswer(e *history.Event, s *session) {
	run.verdict.Answers++
	if s.answers++; s.answers > 1 {
		run.report(e.At, OneFinalAnswer, e.Session, fmt.Sprintf("answer %d, %s", s.answers, e.Text))
		return
	}
	if late := e.At - s.requestSentAt - s.deadline; late > run.rules.Slack && !s.balancerKilled {
		run.report(e.At, OneFinalAnswer, e.Session, fmt.Sprintf("%v after its deadline", late))
	}
	if e.Text == "up" {
		s.established, s.receipt = true, e.Number
	}
}

// applyAttempt checks whether the balancer was allowed to send a session to a server.
func (run *checkRun) applyAttempt(e *history.Event, s *session) {
	firstByteAt := e.At - e.Duration
	if s.balancer < 0 {
		run.report(e.At, FabricatedAnswer, e.Session, "no client has asked for it")
	}
	if notifiedAt, notified := run.drainedSince[balancerServer{s.balancer, e.Server}]; notified && firstByteAt > notifiedAt+run.rules.DrainGrace+run.rules.Slack {
		run.report(e.At, DrainRespected, e.Session, fmt.Sprintf("server %d, %v after the balancer was notified", e.Server, firstByteAt-notifiedAt))
	}
	for n := range s.attempts {
		if previous := &s.attempts[n]; (!previous.ended || previous.endedBy != "refused" || previous.effectApplied) && !run.mayRepeat(s, previous, e) {
			run.report(e.At, NoDuplicateEffect, e.Session, fmt.Sprintf("server %d may have run it, server %d gets it again", previous.server, e.Server))
		}
	}
	if p := run.processes[e.Server]; p != nil && p.cold && e.At-p.startedAt < run.rules.Warmup.Window {
		for len(p.attempts) > 0 && p.attempts[0] <= e.At-run.rules.Warmup.OverloadWindow {
			p.attempts = p.attempts[1:]
		}
		p.attempts = append(p.attempts, e.At)
		budget := run.rules.Warmup.Budget(p.capacity, run.rules.Warmup.Warmth(e.At-p.startedAt))
		if float64(len(p.attempts)) > budget+1 { // the model's clock may differ slightly from the event's time
			run.report(e.At, SlowStartRespected, e.Session, fmt.Sprintf("server %d was sent %d within %v, bears %.1f",
				e.Server, len(p.attempts), run.rules.Warmup.OverloadWindow, budget))
		}
	}
	s.attempts = append(s.attempts, attempt{server: e.Server, sentAt: e.At})
}

// mayRepeat reports whether a session may be sent again after an attempt that may have taken effect, according to the idempotency of
// its class.
func (run *checkRun) mayRepeat(s *session, previous *attempt, e *history.Event) bool {
	if int(s.class) >= len(run.rules.Classes) {
		return true
	}
	class := run.rules.Classes[s.class]
	place := func(server int32) Place {
		if int(server) < len(run.rules.Places) {
			return run.rules.Places[server]
		}
		return Place{}
	}
	before, now := place(previous.server), place(e.Server)
	switch class.Idempotency {
	case policy.Idempotent:
		return true
	case policy.NonIdempotent:
		return false
	}
	return e.At <= previous.sentAt+class.KeyTTL+run.rules.Slack && (class.KeyScope == policy.KeyScopeAll || before.Zone == now.Zone &&
		(class.KeyScope == policy.KeyScopeZone || before.FailureDomain == now.FailureDomain))
}

// checkEnd checks what can be decided only at the end of the run: concurrent attempts, missing answers, fabricated answers and
// connections that were closed late or without a migration.
func (run *checkRun) checkEnd(id uint64, s *session, end time.Duration) {
	concurrent := false
	for n := 1; n < len(s.attempts); n++ {
		for m := range n {
			// The slack allows for a server that observes the end of its connection late.
			if a, b := s.attempts[m], s.attempts[n]; !a.ended || a.endedAt > b.sentAt+run.rules.Slack {
				run.report(b.sentAt, NoDuplicateEffect, id, fmt.Sprintf("out at server %d while at server %d", b.server, a.server))
				concurrent = true
			}
		}
	}
	if s.balancer < 0 || s.balancerKilled {
		return
	}
	if s.answers == 0 && end > s.requestSentAt+s.deadline+run.rules.Slack && (!s.clientClosed || s.clientClosedAt > s.requestSentAt+s.deadline) {
		run.report(s.requestSentAt+s.deadline, OneFinalAnswer, id, "no answer before its deadline")
	}
	last := s.latestAttempt()
	if !s.established || concurrent { // it is not known which one of concurrent attempts was established
		return
	}
	if last == nil || !last.effectApplied || last.receipt != s.receipt {
		run.report(s.requestSentAt, FabricatedAnswer, id, "no server made its receipt")
		return
	}
	switch byServer := last.ended && last.endedBy == "server"; {
	case s.ended && !s.migrated && !s.clientClosed && (!byServer || last.endedAt > s.endedAt+run.rules.Slack):
		if !run.hadOutage(last.server, s.endedAt-run.rules.CloseTimeout, s.endedAt) {
			run.report(s.endedAt, CutWithoutMove, id, fmt.Sprintf("server %d still answered", last.server))
		}
	case byServer && !s.clientClosed && end > last.endedAt+run.rules.CloseTimeout+run.rules.Slack &&
		(!s.ended || s.endedAt > last.endedAt+run.rules.CloseTimeout+run.rules.Slack) && !s.migrated:
		run.report(last.endedAt, CloseDelayed, id, fmt.Sprintf("server %d had ended it", last.server))
	case s.clientClosed && end > s.clientClosedAt+run.rules.CloseTimeout+run.rules.Slack && (!last.ended || last.endedAt > s.clientClosedAt+run.rules.CloseTimeout+run.rules.Slack):
		if !run.hadOutage(last.server, s.clientClosedAt, end) {
			run.report(s.clientClosedAt, CloseDelayed, id, fmt.Sprintf("server %d still held it", last.server))
		}
	}
}
