// Package checker owns the verdict on a run: the four rules and the losses, from the recorded events alone. It must
// never look at a balancer, its log or its counters, and never forgive what the rules do not.
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

// Rules are the figures that a run is held to.
type Rules struct {
	DrainGrace   time.Duration
	Slack        time.Duration // for what the emulators see late: 50 ms on sockets, none in virtual time
	MaxLineDelay time.Duration // a line is held so long at most
	CloseTimeout time.Duration // an end is passed on by then
	Warmup       model.Warmup
	Classes      []policy.Class
	Places       []Place // of the servers, by their index
}

// Place is where a server runs: some classes' repeats are dropped only within a zone or failure domain.
type Place struct{ Zone, FailureDomain int }

// Rule names what was broken.
type Rule string

// The rules, and the losses that are no broken rule.
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

// Violation is one thing that went wrong.
type Violation struct {
	At      time.Duration
	Rule    Rule
	Session uint64
	Detail  string
}

func (b Violation) String() string {
	return fmt.Sprintf("%.3fs session %x: %s: %s", b.At.Seconds(), b.Session, b.Rule, b.Detail)
}

// Verdict is the checker's result for a run.
type Verdict struct {
	Violations []Violation
	Sessions   int // taken
	Answers    int // final answers
}

// Passed tells whether nothing was broken.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// String is the verdict in one line.
func (v Verdict) String() string {
	if v.Passed() {
		return fmt.Sprintf("kept: %d sessions, %d final answers, no rule broken", v.Sessions, v.Answers)
	}
	count := map[Rule]int{}
	for _, b := range v.Violations {
		count[b.Rule]++
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

// attempt is one attempt of a session, as its server saw it.
type attempt struct {
	server  int32
	sentAt  time.Duration
	ended   bool
	endedAt time.Duration
	endedBy string
	ran     bool // its effect happened
	receipt float64
}

// session is what the events tell of one session.
type session struct {
	balancer       int32 // -1 for a session that no client has opened
	class          int16
	takenAt        time.Duration
	deadline       time.Duration // after takenAt
	answers        int
	established    bool
	receipt        float64
	moved          bool
	left           bool // its client has disconnected
	leftAt         time.Duration
	ended          bool
	endedAt        time.Duration
	balancerKilled bool // a killed balancer owes nothing more
	attempts       []attempt
}

type balancerServer struct{ balancer, server int32 }

// process is a server's newest process.
type process struct {
	at       time.Duration
	capacity float64
	cold     bool
	attempts []time.Duration
}

// outage is a time in which a server, or the link to it, did not answer.
type outage struct{ from, to time.Duration }

const stillOut = time.Duration(1 << 62)

// wasOut reports whether a server had an outage at any time within a span.
func (run *checkRun) wasOut(server int32, from, to time.Duration) bool {
	for _, o := range run.outages[server] {
		if o.from <= to && o.to >= from {
			return true
		}
	}
	return false
}

// newestAttempt returns a session's newest attempt, nil before the first.
func (c *session) newestAttempt() *attempt {
	if len(c.attempts) == 0 {
		return nil
	}
	return &c.attempts[len(c.attempts)-1]
}

// checkRun is a check under way.
type checkRun struct {
	rules        Rules
	verdict      Verdict
	sessions     map[uint64]*session
	order        []uint64
	drainedSince map[balancerServer]time.Duration
	processes    map[int32]*process
	outages      map[int32][]outage
	killed       map[int32]bool // balancers that were killed
}

// Check checks the events of a run, in order of time, up to its end. Lost is the number of events that were dropped.
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

func (run *checkRun) report(at time.Duration, r Rule, id uint64, what string) {
	run.verdict.Violations = append(run.verdict.Violations, Violation{at, r, id, what})
}

// session returns the session of an id, also of one that no client has opened: a server may receive such.
func (run *checkRun) session(id uint64) *session {
	c := run.sessions[id]
	if c == nil {
		c = &session{balancer: -1}
		run.sessions[id] = c
		run.order = append(run.order, id)
	}
	return c
}

// apply takes one event in.
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

func (run *checkRun) applySessionEvent(e *history.Event, s *session) {
	switch e.Kind {
	case history.RequestSent:
		s.balancer = e.Balancer
		s.class = e.Class
		s.takenAt = e.At
		s.deadline = e.Duration
		s.balancerKilled = run.killed[e.Balancer]
		run.verdict.Sessions++
	case history.AnswerReceived:
		run.applyAnswer(e, s)
	case history.ClientClosed:
		s.left, s.leftAt = true, e.At
	case history.MigrateReceived:
		s.moved = true
	case history.ConnectionEnded:
		s.ended, s.endedAt = true, e.At
	case history.LineDelayed:
		a := s.newestAttempt()
		if e.Duration > run.rules.MaxLineDelay+run.rules.Slack && (a == nil || !run.wasOut(a.server, e.At-e.Duration, e.At)) {
			run.report(e.At, LineDelayed, e.Session, fmt.Sprintf("for %v", e.Duration))
		}
	case history.AttemptReceived:
		run.applyAttempt(e, s)
	case history.EffectApplied:
		for n := range s.attempts {
			if a := &s.attempts[n]; a.server == e.Server && !a.ended {
				a.ran, a.receipt = true, e.Number
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

func (run *checkRun) applyServerEvent(e *history.Event) {
	switch e.Kind {
	case history.ServerStarted:
		if all := run.outages[e.Server]; len(all) > 0 && all[len(all)-1].to == stillOut {
			all[len(all)-1].to = e.At
		}
		run.processes[e.Server] = &process{at: e.At, capacity: e.Number, cold: e.Text == "cold"}
	case history.ServerStopped:
		run.outages[e.Server] = append(run.outages[e.Server], outage{e.At, stillOut})
	case history.ServerOverloaded:
		run.outages[e.Server] = append(run.outages[e.Server], outage{e.At, stillOut})
		run.report(e.At, SlowStartRespected, e.Session, fmt.Sprintf("server %d was overloaded", e.Server))
	}
}

func (run *checkRun) applyBalancerEvent(e *history.Event) {
	switch e.Kind {
	case history.BalancerNotified:
		p := balancerServer{e.Balancer, e.Server}
		if e.Text == "ready" {
			delete(run.drainedSince, p)
		} else if _, already := run.drainedSince[p]; !already {
			run.drainedSince[p] = e.At
		}
	case history.BalancerStarted:
		delete(run.killed, e.Balancer)
		for p := range run.drainedSince { // it starts with a new list
			if p.balancer == e.Balancer {
				delete(run.drainedSince, p)
			}
		}
	case history.BalancerKilled:
		run.killed[e.Balancer] = true
		if e.Text == "planned" { // what it still holds is a loss
			return
		}
		for _, s := range run.sessions {
			if s.balancer == e.Balancer && !s.ended && !s.left {
				s.balancerKilled = true
			}
		}
	}
}

func (run *checkRun) applyAnswer(e *history.Event, c *session) {
	run.verdict.Answers++
	if c.answers++; c.answers > 1 {
		run.report(e.At, OneFinalAnswer, e.Session, fmt.Sprintf("answer %d, %s", c.answers, e.Text))
		return
	}
	if late := e.At - c.takenAt - c.deadline; late > run.rules.Slack && !c.balancerKilled {
		run.report(e.At, OneFinalAnswer, e.Session, fmt.Sprintf("%v after its deadline", late))
	}
	if e.Text == "up" {
		c.established, c.receipt = true, e.Number
	}
}

func (run *checkRun) applyAttempt(e *history.Event, c *session) {
	first := e.At - e.Duration
	if c.balancer < 0 {
		run.report(e.At, FabricatedAnswer, e.Session, "no client has asked for it")
	}
	if at, told := run.drainedSince[balancerServer{c.balancer, e.Server}]; told && first > at+run.rules.DrainGrace+run.rules.Slack {
		run.report(e.At, DrainRespected, e.Session, fmt.Sprintf("server %d, %v after the balancer was notified", e.Server, first-at))
	}
	for n := range c.attempts {
		if t := &c.attempts[n]; (!t.ended || t.endedBy != "refused" || t.ran) && !run.mayRepeat(c, t, e) {
			run.report(e.At, NoDuplicateEffect, e.Session, fmt.Sprintf("server %d may have run it, server %d gets it again", t.server, e.Server))
		}
	}
	if p := run.processes[e.Server]; p != nil && p.cold && e.At-p.at < run.rules.Warmup.Window {
		for len(p.attempts) > 0 && p.attempts[0] <= e.At-run.rules.Warmup.OverloadWindow {
			p.attempts = p.attempts[1:]
		}
		p.attempts = append(p.attempts, e.At)
		bears := run.rules.Warmup.Budget(p.capacity, run.rules.Warmup.Warmth(e.At-p.at))
		if float64(len(p.attempts)) > bears+1 { // the model's clock may differ a little
			run.report(e.At, SlowStartRespected, e.Session, fmt.Sprintf("server %d was sent %d within %v, bears %.1f",
				e.Server, len(p.attempts), run.rules.Warmup.OverloadWindow, bears))
		}
	}
	c.attempts = append(c.attempts, attempt{server: e.Server, sentAt: e.At})
}

// mayRepeat reports whether a session that may have run at an attempt may be sent again now.
func (run *checkRun) mayRepeat(c *session, t *attempt, e *history.Event) bool {
	if int(c.class) >= len(run.rules.Classes) {
		return true
	}
	g := run.rules.Classes[c.class]
	place := func(server int32) Place {
		if int(server) < len(run.rules.Places) {
			return run.rules.Places[server]
		}
		return Place{}
	}
	was, is := place(t.server), place(e.Server)
	switch g.Idempotency {
	case policy.Idempotent:
		return true
	case policy.NonIdempotent:
		return false
	}
	return e.At <= t.sentAt+g.KeyTTL+run.rules.Slack && (g.KeyScope == policy.KeyScopeAll || was.Zone == is.Zone &&
		(g.KeyScope == policy.KeyScopeZone || was.FailureDomain == is.FailureDomain))
}

// checkEnd checks what shows only at the end of the run.
func (run *checkRun) checkEnd(id uint64, c *session, end time.Duration) {
	twice := false
	for n := 1; n < len(c.attempts); n++ {
		for m := range n {
			// The slack allows for a server that sees the end of its connection late.
			if a, b := c.attempts[m], c.attempts[n]; !a.ended || a.endedAt > b.sentAt+run.rules.Slack {
				run.report(b.sentAt, NoDuplicateEffect, id, fmt.Sprintf("out at server %d while at server %d", b.server, a.server))
				twice = true
			}
		}
	}
	if c.balancer < 0 || c.balancerKilled {
		return
	}
	if c.answers == 0 && end > c.takenAt+c.deadline+run.rules.Slack && (!c.left || c.leftAt > c.takenAt+c.deadline) {
		run.report(c.takenAt+c.deadline, OneFinalAnswer, id, "no answer before its deadline")
	}
	at := c.newestAttempt()
	if !c.established || twice { // it is not known which attempt was established
		return
	}
	if at == nil || !at.ran || at.receipt != c.receipt {
		run.report(c.takenAt, FabricatedAnswer, id, "no server made its receipt")
		return
	}
	switch byServer := at.ended && at.endedBy == "server"; {
	case c.ended && !c.moved && !c.left && (!byServer || at.endedAt > c.endedAt+run.rules.Slack):
		if !run.wasOut(at.server, c.endedAt-run.rules.CloseTimeout, c.endedAt) {
			run.report(c.endedAt, CutWithoutMove, id, fmt.Sprintf("server %d still answered", at.server))
		}
	case byServer && !c.left && end > at.endedAt+run.rules.CloseTimeout+run.rules.Slack &&
		(!c.ended || c.endedAt > at.endedAt+run.rules.CloseTimeout+run.rules.Slack) && !c.moved:
		run.report(at.endedAt, CloseDelayed, id, fmt.Sprintf("server %d had ended it", at.server))
	case c.left && end > c.leftAt+run.rules.CloseTimeout+run.rules.Slack && (!at.ended || at.endedAt > c.leftAt+run.rules.CloseTimeout+run.rules.Slack):
		if !run.wasOut(at.server, c.leftAt, end) {
			run.report(c.leftAt, CloseDelayed, id, fmt.Sprintf("server %d still held it", at.server))
		}
	}
}
