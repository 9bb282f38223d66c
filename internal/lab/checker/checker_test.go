package checker

import (
	"testing"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
	"sabletally/policy"
)

const ms = time.Millisecond

var rules = Rules{
	DrainGrace: 750 * ms, Slack: 50 * ms, MaxLineDelay: time.Second, CloseTimeout: time.Second,
	Warmup:  model.Warmup{Floor: 0.2, Window: 20 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * ms},
	Classes: []policy.Class{{}, {Idempotency: policy.NonIdempotent}, {Idempotency: policy.IdempotentWithKey, KeyScope: policy.KeyScopeFailureDomain, KeyTTL: 2 * time.Second}},
	Places:  []Place{{0, 1}, {0, 1}, {0, 2}},
}

// event returns an event at t milliseconds, of session 1 and balancer 0 unless a change sets others.
func event(t int, kind history.Kind, changes ...func(*history.Event)) history.Event {
	e := history.Event{At: time.Duration(t) * ms, Kind: kind, Session: 1}
	for _, change := range changes {
		change(&e)
	}
	return e
}
func request(t, deadline int) history.Event {
	return event(t, history.RequestSent, func(e *history.Event) { e.Duration = time.Duration(deadline) * ms })
}
func withClass(class int16, e history.Event) history.Event { e.Class = class; return e }
func attemptReceived(t int, server int32) history.Event {
	return event(t, history.AttemptReceived, func(e *history.Event) { e.Server = server })
}
func effect(t int, server int32) history.Event {
	return event(t, history.EffectApplied, func(e *history.Event) { e.Server, e.Number = server, 7 })
}
func attemptEnded(t int, server int32, by string) history.Event {
	return event(t, history.AttemptEnded, func(e *history.Event) { e.Server, e.Text = server, by })
}
func answer(t int, text string) history.Event {
	return event(t, history.AnswerReceived, func(e *history.Event) {
		if e.Text = text; text == "up" {
			e.Number = 7
		}
	})
}
func serverEvent(kind history.Kind, t int, server int32, text string) history.Event {
	return event(t, kind, func(e *history.Event) { e.Server, e.Text, e.Session, e.Number = server, text, 0, 100 })
}
func connectionEnded(t int) history.Event { return event(t, history.ConnectionEnded) }

// established returns the events of a session that server 0 establishes at 20 ms, followed by more events.
func established(more ...history.Event) []history.Event {
	return append([]history.Event{request(0, 1000), attemptReceived(10, 0), effect(12, 0), answer(20, "up")}, more...)
}

// burst returns a cold start of server 0 at 0 and n attempts within half a second, all of them refused.
func burst(n int) []history.Event {
	all := []history.Event{serverEvent(history.ServerStarted, 0, 0, "cold")}
	for i := range n {
		id := uint64(i + 1)
		t := i * 500 / n
		for _, e := range []history.Event{request(t, 1000), attemptReceived(t, 0), attemptEnded(t, 0, "refused"), answer(t, "busy")} {
			e.Session = id
			all = append(all, e)
		}
	}
	return all
}

// TestTheJudge checks short sequences of events, each of which keeps all rules or violates one. A rule that is checked too loosely would
// hide a fault of a balancer; one that is checked too strictly would report faults that are none.
func TestTheJudge(t *testing.T) {
	delayed := func(ms int) history.Event {
		return event(500, history.LineDelayed, func(e *history.Event) { e.Duration = time.Duration(ms) * time.Millisecond })
	}
	budget := int(rules.Warmup.Budget(100, 0.2)) // budget of a process that has just started
	for _, c := range []struct {
		name   string
		events []history.Event
		want   Rule // empty: no violation
	}{
		{"served", established(), ""},
		{"rejected", []history.Event{request(0, 1000), answer(5, "busy")}, ""},
		{"answered at the deadline plus the slack", []history.Event{request(0, 1000), answer(1050, "busy")}, ""},
		{"answered after the deadline plus the slack", []history.Event{request(0, 1000), answer(1051, "busy")}, OneFinalAnswer},
		{"never answered", []history.Event{request(0, 1000)}, OneFinalAnswer},
		{"requested near the end of the run", []history.Event{request(9990, 1000)}, ""},
		{"client closed before the deadline", []history.Event{request(0, 1000), event(900, history.ClientClosed)}, ""},
		{"client closed after the deadline without an answer", []history.Event{request(0, 1000), event(1100, history.ClientClosed)}, OneFinalAnswer},
		{"answered twice", established(answer(30, "busy")), OneFinalAnswer},
		{"rejected and then served", []history.Event{request(0, 1000), answer(5, "busy"), attemptReceived(10, 0), effect(12, 0), answer(20, "up")}, OneFinalAnswer},
		{"not answered by a killed balancer", []history.Event{request(0, 1000), event(500, history.BalancerKilled)}, ""},
		{"accepted by the kernel for a killed balancer", []history.Event{event(500, history.BalancerKilled), request(501, 1000)}, ""},
		{"requested after a killed balancer started again", []history.Event{event(500, history.BalancerKilled), event(600, history.BalancerStarted), request(601, 1000)}, OneFinalAnswer},
		{"not answered by a restarted balancer", []history.Event{request(0, 1000), event(500, history.BalancerKilled, func(e *history.Event) { e.Text = "planned" })}, OneFinalAnswer},
		{"established with a receipt that no server gave", []history.Event{request(0, 1000), attemptReceived(10, 0), answer(20, "up")}, FabricatedAnswer},
		{"received by a server without a client", []history.Event{attemptReceived(10, 0)}, FabricatedAnswer},

		{"second attempt after a refusal", []history.Event{request(0, 1000), attemptReceived(10, 0), attemptEnded(15, 0, "refused"), attemptReceived(20, 1), effect(21, 1), answer(30, "up")}, ""},
		{"second attempt, the end of the first one observed within the slack", []history.Event{request(0, 1000), attemptReceived(10, 0), attemptReceived(20, 1), attemptEnded(70, 0, "peer"), effect(71, 1), answer(90, "up")}, ""},
		{"two concurrent attempts", []history.Event{request(0, 1000), attemptReceived(10, 0), attemptReceived(20, 1), attemptEnded(71, 0, "peer"), effect(72, 1), answer(90, "up")}, NoDuplicateEffect},
		{"two concurrent attempts, the first one without an end", []history.Event{request(0, 1000), attemptReceived(10, 0), attemptReceived(20, 1), effect(21, 1), answer(30, "up")}, NoDuplicateEffect},
		{"non-idempotent, retried after a refusal", []history.Event{withClass(1, request(0, 1000)), attemptReceived(10, 0), attemptEnded(15, 0, "refused"), attemptReceived(20, 1), effect(21, 1), answer(30, "up")}, ""},
		{"non-idempotent, retried after a broken connection", []history.Event{withClass(1, request(0, 1000)), attemptReceived(10, 0), attemptEnded(15, 0, "server"), attemptReceived(20, 1), effect(21, 1), answer(30, "up")}, NoDuplicateEffect},
		{"deduplicated, retried in its failure domain and window", []history.Event{withClass(2, request(0, 4000)), attemptReceived(10, 0), attemptEnded(15, 0, "server"), attemptReceived(2060, 1), effect(2061, 1), answer(2070, "up")}, ""},
		{"deduplicated, retried after its window", []history.Event{withClass(2, request(0, 4000)), attemptReceived(10, 0), attemptEnded(15, 0, "server"), attemptReceived(2061, 1), effect(2062, 1), answer(2070, "up")}, NoDuplicateEffect},
		{"deduplicated, retried in another failure domain", []history.Event{withClass(2, request(0, 4000)), attemptReceived(10, 0), attemptEnded(15, 0, "server"), attemptReceived(100, 2), effect(101, 2), answer(2070, "up")}, NoDuplicateEffect},

		{"sent within the drain grace", []history.Event{serverEvent(history.BalancerNotified, 0, 0, "draining"), request(700, 1000), attemptReceived(800, 0), effect(801, 0), answer(810, "up")}, ""},
		{"sent after the drain grace", []history.Event{serverEvent(history.BalancerNotified, 0, 0, "draining"), request(700, 1000), attemptReceived(801, 0), effect(802, 0), answer(810, "up")}, DrainRespected},
		{"sent after the drain grace to a terminated server", []history.Event{serverEvent(history.BalancerNotified, 0, 0, "gone"), request(700, 1000), attemptReceived(900, 0), effect(902, 0), answer(910, "up")}, DrainRespected},
		{"first byte within the drain grace", []history.Event{serverEvent(history.BalancerNotified, 0, 0, "draining"), request(700, 1000),
			event(900, history.AttemptReceived, func(e *history.Event) { e.Duration = 100 * ms }), effect(901, 0), answer(910, "up")}, ""},
		{"draining, then terminated: the first notification counts", []history.Event{serverEvent(history.BalancerNotified, 0, 0, "draining"), serverEvent(history.BalancerNotified, 700, 0, "gone"),
			request(700, 1000), attemptReceived(810, 0), effect(811, 0), answer(820, "up")}, DrainRespected},
		{"ready again", []history.Event{serverEvent(history.BalancerNotified, 0, 0, "gone"), serverEvent(history.BalancerNotified, 500, 0, "ready"), request(1700, 1000),
			attemptReceived(1800, 0), effect(1801, 0), answer(1810, "up")}, ""},
		{"another balancer was notified", []history.Event{event(0, history.BalancerNotified, func(e *history.Event) { e.Balancer, e.Text = 1, "gone" }),
			request(1700, 1000), attemptReceived(1800, 0), effect(1801, 0), answer(1810, "up")}, ""},

		{"a cold server, as many sessions as its budget", burst(budget), ""},
		{"a cold server, more sessions than its budget", burst(budget + 3), SlowStartRespected},
		{"a cold server overloaded", []history.Event{serverEvent(history.ServerOverloaded, 10, 0, "")}, SlowStartRespected},

		{"a line in time", established(delayed(1050)), ""},
		{"a line delayed", established(delayed(1051)), LineDelayed},
		{"a line delayed by a link that was cut", established(serverEvent(history.ServerStopped, 30, 0, "link"), serverEvent(history.ServerStarted, 200, 0, "warm"), delayed(400), delayed(1051)), ""},
		{"a line delayed after the link was restored", established(serverEvent(history.ServerStopped, 30, 0, "link"), serverEvent(history.ServerStarted, 40, 0, "warm"), event(1200, history.LineDelayed, func(e *history.Event) { e.Duration = 1100 * ms })), LineDelayed},
		{"cut while the server answers", established(connectionEnded(500)), CutWithoutMove},
		{"migrated", established(event(500, history.MigrateReceived), connectionEnded(501), attemptEnded(510, 0, "peer")), ""},
		{"closed after its server closed it", established(attemptEnded(499, 0, "server"), connectionEnded(500)), ""},
		{"cut at a server that stopped", established(serverEvent(history.ServerStopped, 400, 0, "vanish"), connectionEnded(500)), ""},
		{"cut before its server stopped", established(connectionEnded(500), serverEvent(history.ServerStopped, 600, 0, "crash")), CutWithoutMove},
		{"server's close passed on in time", established(attemptEnded(500, 0, "server"), connectionEnded(1550)), ""},
		{"server's close passed on late", established(attemptEnded(500, 0, "server"), connectionEnded(1551)), CloseDelayed},
		{"server's close never passed on", established(attemptEnded(500, 0, "server")), CloseDelayed},
		{"client's close passed on in time", established(event(500, history.ClientClosed), attemptEnded(1550, 0, "peer")), ""},
		{"client's close passed on late", established(event(500, history.ClientClosed), attemptEnded(1551, 0, "peer")), CloseDelayed},
		{"client's close never passed on", established(event(500, history.ClientClosed)), CloseDelayed},
		{"open when its balancer was killed", established(event(500, history.BalancerKilled), connectionEnded(501)), ""},
		{"open when a planned restart killed its balancer", established(event(500, history.BalancerKilled, func(e *history.Event) { e.Text = "planned" }), connectionEnded(501)), CutWithoutMove},
	} {
		v := Check(rules, c.events, 0, 10*time.Second)
		if c.want == "" && !v.Passed() || c.want != "" && (len(v.Violations) == 0 || v.Violations[0].Rule != c.want) {
			t.Errorf("%s: violations are %v, want the rule %q first", c.name, v.Violations, c.want)
		}
	}
	if v := Check(rules, nil, 1, 0); v.Passed() || v.Violations[0].Rule != EventsLost {
		t.Error("a log with dropped events passed the check")
	}
}
