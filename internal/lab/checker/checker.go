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
	Slack        time.Duration // more, for what the stand-ins see late; 50 ms on sockets, none in virtual time
	MaxLineDelay time.Duration // a line is held so long at most
	CloseTimeout time.Duration // an end is passed on by then
	Warmup       model.Warmup
	Classes      []policy.Class
	Places       []Place // of the servers, by their index
}

// Place is where a server stands, for grades whose repeats only its zone or cell drops.
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
	return fmt.Sprintf("%.3fs circuit %x: %s: %s", b.At.Seconds(), b.Session, b.Rule, b.Detail)
}

// Verdict is the judge's word on a run.
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
		return fmt.Sprintf("kept: %d circuits, %d final answers, no rule broken", v.Sessions, v.Answers)
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
	text := fmt.Sprintf("BROKEN: %d circuits, %d final answers", v.Sessions, v.Answers)
	for _, r := range rules {
		text += fmt.Sprintf("; %s: %d", r, count[r])
	}
	return text
}

// try is one send of a circuit, as its server saw it.
type try struct {
	server         int32
	sentAt, overAt time.Duration
	over           bool
	how            string
	ran            bool
	receipt        float64
}

// circuit is what is known of one circuit.
type circuit struct {
	balancer        int32
	grade           int16
	takenAt, limit  time.Duration
	answers         int
	up, moved, left bool
	receipt         float64
	leftAt, endedAt time.Duration
	ended, killed   bool // killed: its balancer was, and owes nothing more
	tries           []try
}

type pair struct{ balancer, server int32 }

// process is a server's newest start.
type process struct {
	at    time.Duration
	fills float64
	cold  bool
	sends []time.Duration
}

// span is a stretch of time in which a server, or the way to it, did not answer.
type span struct{ from, to time.Duration }

const forever = time.Duration(1 << 62)

// out tells whether a server was out at any time of a stretch.
func (j *judge) out(server int32, from, to time.Duration) bool {
	for _, o := range j.outages[server] {
		if o.from <= to && o.to >= from {
			return true
		}
	}
	return false
}

// at is the newest try of a circuit, nil before the first.
func (c *circuit) at() *try {
	if len(c.tries) == 0 {
		return nil
	}
	return &c.tries[len(c.tries)-1]
}

type judge struct {
	r        Rules
	v        Verdict
	circuits map[uint64]*circuit
	order    []uint64
	banned   map[pair]time.Duration
	process  map[int32]*process
	outages  map[int32][]span
	down     map[int32]bool // balancers that were killed
}

// Check reads events in order of time, end being when the run was over.
func Check(r Rules, events []history.Event, lost int, end time.Duration) Verdict {
	j := &judge{r: r, circuits: map[uint64]*circuit{}, banned: map[pair]time.Duration{},
		process: map[int32]*process{}, outages: map[int32][]span{}, down: map[int32]bool{}}
	if lost > 0 {
		j.broken(end, EventsLost, 0, fmt.Sprintf("%d events found no room", lost))
	}
	for i := range events {
		j.take(&events[i])
	}
	for _, id := range j.order {
		j.close(id, j.circuits[id], end)
	}
	slices.SortStableFunc(j.v.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.v
}

func (j *judge) broken(at time.Duration, r Rule, id uint64, what string) {
	j.v.Violations = append(j.v.Violations, Violation{at, r, id, what})
}

// of finds a circuit; one that no client has is the judge's business too: a server may be sent what nobody asked for.
func (j *judge) of(id uint64) *circuit {
	c := j.circuits[id]
	if c == nil {
		c = &circuit{balancer: -1}
		j.circuits[id] = c
		j.order = append(j.order, id)
	}
	return c
}

func (j *judge) take(e *history.Event) {
	switch e.Kind {
	case history.Taken:
		c := j.of(e.Session)
		c.balancer, c.grade, c.takenAt, c.limit = e.Balancer, e.Class, e.At, e.Duration
		c.killed = j.down[e.Balancer]
		j.v.Sessions++
	case history.Answered:
		j.answered(e, j.of(e.Session))
	case history.Left:
		c := j.of(e.Session)
		c.left, c.leftAt = true, e.At
	case history.Moved:
		j.of(e.Session).moved = true
	case history.Ended:
		c := j.of(e.Session)
		c.ended, c.endedAt = true, e.At
	case history.LineDelayed:
		at := j.of(e.Session).at()
		if e.Duration > j.r.MaxLineDelay+j.r.Slack && (at == nil || !j.out(at.server, e.At-e.Duration, e.At)) {
			j.broken(e.At, LineDelayed, e.Session, fmt.Sprintf("for %v", e.Duration))
		}
	case history.AttemptReceived:
		j.sent(e, j.of(e.Session))
	case history.Ran:
		c := j.of(e.Session)
		for n := range c.tries {
			if t := &c.tries[n]; t.server == e.Server && !t.over {
				t.ran, t.receipt = true, e.Number
			}
		}
	case history.AttemptEnded:
		c := j.of(e.Session)
		for n := range c.tries {
			if t := &c.tries[n]; t.server == e.Server && !t.over {
				t.over, t.overAt, t.how = true, e.At, e.Text
				break
			}
		}
	case history.Notified:
		p := pair{e.Balancer, e.Server}
		if e.Text == "ready" {
			delete(j.banned, p)
		} else if _, already := j.banned[p]; !already {
			j.banned[p] = e.At
		}
	case history.Started:
		if all := j.outages[e.Server]; len(all) > 0 && all[len(all)-1].to == forever {
			all[len(all)-1].to = e.At
		}
		j.process[e.Server] = &process{at: e.At, fills: e.Number, cold: e.Text == "cold"}
	case history.Stopped:
		j.outages[e.Server] = append(j.outages[e.Server], span{e.At, forever})
	case history.Overloaded:
		j.outages[e.Server] = append(j.outages[e.Server], span{e.At, forever})
		j.broken(e.At, SlowStartRespected, e.Session, fmt.Sprintf("server %d fell over", e.Server))
	case history.BalancerStarted:
		delete(j.down, e.Balancer)
		for p := range j.banned { // its list is told anew
			if p.balancer == e.Balancer {
				delete(j.banned, p)
			}
		}
	case history.BalancerKilled:
		j.down[e.Balancer] = true
		if e.Text == "planned" { // what it still holds is lost all the same
			return
		}
		for _, c := range j.circuits {
			if c.balancer == e.Balancer && !c.ended && !c.left {
				c.killed = true
			}
		}
	}
}

func (j *judge) answered(e *history.Event, c *circuit) {
	j.v.Answers++
	if c.answers++; c.answers > 1 {
		j.broken(e.At, OneFinalAnswer, e.Session, fmt.Sprintf("answer %d, %s", c.answers, e.Text))
		return
	}
	if late := e.At - c.takenAt - c.limit; late > j.r.Slack && !c.killed {
		j.broken(e.At, OneFinalAnswer, e.Session, fmt.Sprintf("%v after its outer limit", late))
	}
	if e.Text == "up" {
		c.up, c.receipt = true, e.Number
	}
}

func (j *judge) sent(e *history.Event, c *circuit) {
	first := e.At - e.Duration
	if c.balancer < 0 {
		j.broken(e.At, FabricatedAnswer, e.Session, "no client has asked for it")
	}
	if at, told := j.banned[pair{c.balancer, e.Server}]; told && first > at+j.r.DrainGrace+j.r.Slack {
		j.broken(e.At, DrainRespected, e.Session, fmt.Sprintf("server %d, %v after it was told", e.Server, first-at))
	}
	for n := range c.tries {
		if t := &c.tries[n]; (!t.over || t.how != "refused" || t.ran) && !j.mayRepeat(c, t, e) {
			j.broken(e.At, NoDuplicateEffect, e.Session, fmt.Sprintf("server %d may have run it, server %d gets it again", t.server, e.Server))
		}
	}
	if p := j.process[e.Server]; p != nil && p.cold && e.At-p.at < j.r.Warmup.Window {
		for len(p.sends) > 0 && p.sends[0] <= e.At-j.r.Warmup.OverloadWindow {
			p.sends = p.sends[1:]
		}
		p.sends = append(p.sends, e.At)
		bears := j.r.Warmup.Budget(p.fills, j.r.Warmup.Warmth(e.At-p.at))
		if float64(len(p.sends)) > bears+1 { // the model falls at the budget; its clock may differ by a hair
			j.broken(e.At, SlowStartRespected, e.Session, fmt.Sprintf("server %d was sent %d within %v, bears %.1f",
				e.Server, len(p.sends), j.r.Warmup.OverloadWindow, bears))
		}
	}
	c.tries = append(c.tries, try{server: e.Server, sentAt: e.At})
}

// mayRepeat tells whether a circuit that a try may have run may be sent again now.
func (j *judge) mayRepeat(c *circuit, t *try, e *history.Event) bool {
	if int(c.grade) >= len(j.r.Classes) {
		return true
	}
	g := j.r.Classes[c.grade]
	place := func(server int32) Place {
		if int(server) < len(j.r.Places) {
			return j.r.Places[server]
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
	return e.At <= t.sentAt+g.KeyTTL+j.r.Slack && (g.KeyScope == policy.KeyScopeAll || was.Zone == is.Zone &&
		(g.KeyScope == policy.KeyScopeZone || was.FailureDomain == is.FailureDomain))
}

// close judges what can be told of a circuit only once all is known.
func (j *judge) close(id uint64, c *circuit, end time.Duration) {
	twice := false
	for n := 1; n < len(c.tries); n++ {
		for m := range n {
			// Guards against taking a server's late look at an end for a second copy: the slack.
			if a, b := c.tries[m], c.tries[n]; !a.over || a.overAt > b.sentAt+j.r.Slack {
				j.broken(b.sentAt, NoDuplicateEffect, id, fmt.Sprintf("out at server %d while at server %d", b.server, a.server))
				twice = true
			}
		}
	}
	if c.balancer < 0 || c.killed {
		return
	}
	if c.answers == 0 && end > c.takenAt+c.limit+j.r.Slack && (!c.left || c.leftAt > c.takenAt+c.limit) {
		j.broken(c.takenAt+c.limit, OneFinalAnswer, id, "no answer before its outer limit")
	}
	at := c.at()
	if !c.up || twice { // where one stands that was out twice can't be told
		return
	}
	if at == nil || !at.ran || at.receipt != c.receipt {
		j.broken(c.takenAt, FabricatedAnswer, id, "no server made its receipt")
		return
	}
	switch byServer := at.over && at.how == "server"; {
	case c.ended && !c.moved && !c.left && (!byServer || at.overAt > c.endedAt+j.r.Slack):
		if !j.out(at.server, c.endedAt-j.r.CloseTimeout, c.endedAt) {
			j.broken(c.endedAt, CutWithoutMove, id, fmt.Sprintf("server %d still answered", at.server))
		}
	case byServer && !c.left && end > at.overAt+j.r.CloseTimeout+j.r.Slack &&
		(!c.ended || c.endedAt > at.overAt+j.r.CloseTimeout+j.r.Slack) && !c.moved:
		j.broken(at.overAt, CloseDelayed, id, fmt.Sprintf("server %d had ended it", at.server))
	case c.left && end > c.leftAt+j.r.CloseTimeout+j.r.Slack && (!at.over || at.overAt > c.leftAt+j.r.CloseTimeout+j.r.Slack):
		if !j.out(at.server, c.leftAt, end) {
			j.broken(c.leftAt, CloseDelayed, id, fmt.Sprintf("server %d still held it", at.server))
		}
	}
}
