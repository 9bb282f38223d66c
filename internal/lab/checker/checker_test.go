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

// Events in short. Session 1 of balancer 0, unless stated otherwise.
func at(t int, w history.Kind, more ...func(*history.Event)) history.Event {
	e := history.Event{At: time.Duration(t) * ms, Kind: w, Session: 1}
	for _, m := range more {
		m(&e)
	}
	return e
}
func taken(t, limit int) history.Event {
	return at(t, history.RequestSent, func(e *history.Event) { e.Duration = time.Duration(limit) * ms })
}
func class(g int16, e history.Event) history.Event { e.Class = g; return e }
func sent(t int, server int32) history.Event {
	return at(t, history.AttemptReceived, func(e *history.Event) { e.Server = server })
}
func ran(t int, server int32) history.Event {
	return at(t, history.EffectApplied, func(e *history.Event) { e.Server, e.Number = server, 7 })
}
func over(t int, server int32, how string) history.Event {
	return at(t, history.AttemptEnded, func(e *history.Event) { e.Server, e.Text = server, how })
}
func answer(t int, text string) history.Event {
	return at(t, history.AnswerReceived, func(e *history.Event) {
		if e.Text = text; text == "up" {
			e.Number = 7
		}
	})
}
func server(w history.Kind, t int, server int32, text string) history.Event {
	return at(t, w, func(e *history.Event) { e.Server, e.Text, e.Session, e.Number = server, text, 0, 100 })
}
func ended(t int) history.Event { return at(t, history.ConnectionEnded) }

// up is a session that is established at server 0 from 20 ms on.
func up(more ...history.Event) []history.Event {
	return append([]history.Event{taken(0, 1000), sent(10, 0), ran(12, 0), answer(20, "up")}, more...)
}

// burst is a cold start of server 0 at 0 and so many sends within half a second, all of them ended well.
func burst(n int) []history.Event {
	all := []history.Event{server(history.ServerStarted, 0, 0, "cold")}
	for i := range n {
		id := uint64(i + 1)
		t := i * 500 / n
		for _, e := range []history.Event{taken(t, 1000), sent(t, 0), over(t, 0, "refused"), answer(t, "busy")} {
			e.Session = id
			all = append(all, e)
		}
	}
	return all
}

func TestTheJudge(t *testing.T) {
	held := func(ms int) history.Event {
		return at(500, history.LineDelayed, func(e *history.Event) { e.Duration = time.Duration(ms) * time.Millisecond })
	}
	bears := int(rules.Warmup.Budget(100, 0.2)) // at the start
	for _, c := range []struct {
		name   string
		events []history.Event
		want   Rule // empty: kept
	}{
		{"served", up(), ""},
		{"rejected", []history.Event{taken(0, 1000), answer(5, "busy")}, ""},
		{"answered at the limit", []history.Event{taken(0, 1000), answer(1050, "busy")}, ""},
		{"answered after it", []history.Event{taken(0, 1000), answer(1051, "busy")}, OneFinalAnswer},
		{"never answered", []history.Event{taken(0, 1000)}, OneFinalAnswer},
		{"taken near the end of the run", []history.Event{taken(9990, 1000)}, ""},
		{"left before the answer", []history.Event{taken(0, 1000), at(900, history.ClientClosed)}, ""},
		{"left because none came", []history.Event{taken(0, 1000), at(1100, history.ClientClosed)}, OneFinalAnswer},
		{"answered twice", up(answer(30, "busy")), OneFinalAnswer},
		{"rejected and then served", []history.Event{taken(0, 1000), answer(5, "busy"), sent(10, 0), ran(12, 0), answer(20, "up")}, OneFinalAnswer},
		{"not answered by a killed balancer", []history.Event{taken(0, 1000), at(500, history.BalancerKilled)}, ""},
		{"taken by the kernel of a killed balancer", []history.Event{at(500, history.BalancerKilled), taken(501, 1000)}, ""},
		{"taken after it began again", []history.Event{at(500, history.BalancerKilled), at(600, history.BalancerStarted), taken(601, 1000)}, OneFinalAnswer},
		{"not answered by a restarted balancer", []history.Event{taken(0, 1000), at(500, history.BalancerKilled, func(e *history.Event) { e.Text = "planned" })}, OneFinalAnswer},
		{"served with what no server made", []history.Event{taken(0, 1000), sent(10, 0), answer(20, "up")}, FabricatedAnswer},
		{"sent without a client", []history.Event{sent(10, 0)}, FabricatedAnswer},

		{"a second try after a refusal", []history.Event{taken(0, 1000), sent(10, 0), over(15, 0, "refused"), sent(20, 1), ran(21, 1), answer(30, "up")}, ""},
		{"a second try, the first's end seen within the slack", []history.Event{taken(0, 1000), sent(10, 0), sent(20, 1), over(70, 0, "peer"), ran(71, 1), answer(90, "up")}, ""},
		{"two attempts out", []history.Event{taken(0, 1000), sent(10, 0), sent(20, 1), over(71, 0, "peer"), ran(72, 1), answer(90, "up")}, NoDuplicateEffect},
		{"two attempts out for good", []history.Event{taken(0, 1000), sent(10, 0), sent(20, 1), ran(21, 1), answer(30, "up")}, NoDuplicateEffect},
		{"non-idempotent, refused, again", []history.Event{class(1, taken(0, 1000)), sent(10, 0), over(15, 0, "refused"), sent(20, 1), ran(21, 1), answer(30, "up")}, ""},
		{"non-idempotent, broken, again", []history.Event{class(1, taken(0, 1000)), sent(10, 0), over(15, 0, "server"), sent(20, 1), ran(21, 1), answer(30, "up")}, NoDuplicateEffect},
		{"deduplicated, again in its failure domain and window", []history.Event{class(2, taken(0, 4000)), sent(10, 0), over(15, 0, "server"), sent(2060, 1), ran(2061, 1), answer(2070, "up")}, ""},
		{"deduplicated, again after its window", []history.Event{class(2, taken(0, 4000)), sent(10, 0), over(15, 0, "server"), sent(2061, 1), ran(2062, 1), answer(2070, "up")}, NoDuplicateEffect},
		{"deduplicated, again in another failure domain", []history.Event{class(2, taken(0, 4000)), sent(10, 0), over(15, 0, "server"), sent(100, 2), ran(101, 2), answer(2070, "up")}, NoDuplicateEffect},

		{"sent within the grace", []history.Event{server(history.BalancerNotified, 0, 0, "draining"), taken(700, 1000), sent(800, 0), ran(801, 0), answer(810, "up")}, ""},
		{"sent after the grace", []history.Event{server(history.BalancerNotified, 0, 0, "draining"), taken(700, 1000), sent(801, 0), ran(802, 0), answer(810, "up")}, DrainRespected},
		{"sent after the grace of a gone one", []history.Event{server(history.BalancerNotified, 0, 0, "gone"), taken(700, 1000), sent(900, 0), ran(902, 0), answer(910, "up")}, DrainRespected},
		{"its first byte within the grace", []history.Event{server(history.BalancerNotified, 0, 0, "draining"), taken(700, 1000),
			at(900, history.AttemptReceived, func(e *history.Event) { e.Duration = 100 * ms }), ran(901, 0), answer(910, "up")}, ""},
		{"draining and then gone: the first counts", []history.Event{server(history.BalancerNotified, 0, 0, "draining"), server(history.BalancerNotified, 700, 0, "gone"),
			taken(700, 1000), sent(810, 0), ran(811, 0), answer(820, "up")}, DrainRespected},
		{"ready again", []history.Event{server(history.BalancerNotified, 0, 0, "gone"), server(history.BalancerNotified, 500, 0, "ready"), taken(1700, 1000),
			sent(1800, 0), ran(1801, 0), answer(1810, "up")}, ""},
		{"another balancer was notified", []history.Event{at(0, history.BalancerNotified, func(e *history.Event) { e.Balancer, e.Text = 1, "gone" }),
			taken(1700, 1000), sent(1800, 0), ran(1801, 0), answer(1810, "up")}, ""},

		{"a cold server, as many as it bears", burst(bears), ""},
		{"a cold server pushed over", burst(bears + 3), SlowStartRespected},
		{"a cold server fell", []history.Event{server(history.ServerOverloaded, 10, 0, "")}, SlowStartRespected},

		{"a line in time", up(held(1050)), ""},
		{"a line held", up(held(1051)), LineDelayed},
		{"a line held by a link that was cut", up(server(history.ServerStopped, 30, 0, "link"), server(history.ServerStarted, 200, 0, "warm"), held(400), held(1051)), ""},
		{"a line held after the link was back", up(server(history.ServerStopped, 30, 0, "link"), server(history.ServerStarted, 40, 0, "warm"), at(1200, history.LineDelayed, func(e *history.Event) { e.Duration = 1100 * ms })), LineDelayed},
		{"cut while the server answers", up(ended(500)), CutWithoutMove},
		{"moved", up(at(500, history.MigrateReceived), ended(501), over(510, 0, "peer")), ""},
		{"cut with its server", up(over(499, 0, "server"), ended(500)), ""},
		{"cut at a server that stopped", up(server(history.ServerStopped, 400, 0, "vanish"), ended(500)), ""},
		{"cut before its server stopped", up(ended(500), server(history.ServerStopped, 600, 0, "crash")), CutWithoutMove},
		{"the server's end passed on in time", up(over(500, 0, "server"), ended(1550)), ""},
		{"the server's end passed on late", up(over(500, 0, "server"), ended(1551)), CloseDelayed},
		{"the server's end never passed on", up(over(500, 0, "server")), CloseDelayed},
		{"the client's end passed on in time", up(at(500, history.ClientClosed), over(1550, 0, "peer")), ""},
		{"the client's end passed on late", up(at(500, history.ClientClosed), over(1551, 0, "peer")), CloseDelayed},
		{"the client's end never passed on", up(at(500, history.ClientClosed)), CloseDelayed},
		{"open at a kill", up(at(500, history.BalancerKilled), ended(501)), ""},
		{"open at a planned restart's kill", up(at(500, history.BalancerKilled, func(e *history.Event) { e.Text = "planned" }), ended(501)), CutWithoutMove},
	} {
		v := Check(rules, c.events, 0, 10*time.Second)
		if c.want == "" && !v.Passed() || c.want != "" && (len(v.Violations) == 0 || v.Violations[0].Rule != c.want) {
			t.Errorf("%s: wanted %q, got %v", c.name, c.want, v.Violations)
		}
	}
	if v := Check(rules, nil, 1, 0); v.Passed() || v.Violations[0].Rule != EventsLost {
		t.Error("a log that lost events was checked")
	}
}
