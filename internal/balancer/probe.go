// This file owns probes: a connection of its own that asks a server whether it answers, and for its load where
// servers report it. It must never probe by itself; the module decides which server is asked and when.

package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// probe is one probe that is out.
type probe struct {
	upstream *upstream
	dial     *upstreamDial
	conn     *relay.Conn
	ponged   bool // answered, the report is still to come
	done     bool
}

// probeTimeout is how long a probe may take once its connection stands: as long as a set-up should.
func (l *Loop) probeTimeout() time.Duration {
	goal := time.Duration(0)
	for _, g := range l.deployment.Policy.Classes {
		goal = max(goal, g.SetupObjective)
	}
	return goal
}

// startProbe starts a probe.
func (l *Loop) startProbe(id policy.EndpointID) {
	l.Probes.Add(1)
	p := &probe{upstream: l.servers[id]}
	within := l.probeTimeout()
	p.dial = l.dial(p.upstream.address, maxConnectTimeout, nil, func(c *relay.Conn, err error) { l.probeConnected(p, c, err) })
	p.dial.onLine = func(_ *relay.Conn, ln protocol.Line) { l.handleProbeLine(p, ln) }
	p.dial.onDisconnected = func(*relay.Conn, error) { l.finishProbe(p, policy.Reset, nil) }
	if limit := l.deployment.ConnectTimeout; limit > 0 {
		within += limit
	} else {
		within += maxConnectTimeout
	}
	l.after(within, func() { l.finishProbe(p, policy.TimedOut, nil) })
}

func (l *Loop) probeConnected(p *probe, c *relay.Conn, err error) {
	if p.done {
		if c != nil {
			c.Close()
		}
		return
	}
	if p.conn = c; isDescriptorShortage(err) { // guards against servers set aside because this balancer is full
		l.DescriptorShortages.Add(1)
		l.finishProbe(p, policy.NeverSent, nil)
		return
	}
	if err != nil {
		l.finishProbe(p, policy.ConnectFailed, nil)
		return
	}
	text := protocol.PingLine
	if l.deployment.Policy.HasLoadReports {
		text = protocol.AskLoad
	}
	if c.CheckOpen() != nil || c.WriteFirst(text) != nil {
		l.finishProbe(p, policy.Reset, nil)
		return
	}
	c.AwaitLine()
}

// handleProbeLine takes an answer: PONG, with or before the load report, or anything else.
func (l *Loop) handleProbeLine(p *probe, ln protocol.Line) {
	switch {
	case p.done:
	case p.ponged:
		l.finishProbe(p, policy.Succeeded, ln.Report())
	case ln.Kind != protocol.Pong || ln.Bad != nil:
		l.finishProbe(p, policy.Failed, nil)
	case l.deployment.Policy.HasLoadReports && len(ln.Fields) == 0:
		p.ponged = true
		p.conn.AwaitLine()
	default:
		l.finishProbe(p, policy.Succeeded, ln.Fields)
	}
}

// finishProbe tells the module how a probe ended.
func (l *Loop) finishProbe(p *probe, how policy.Outcome, fields map[string]float64) {
	if p.done {
		return
	}
	p.done = true
	p.dial.cancel()
	if p.ponged {
		how = policy.Succeeded
	}
	l.policy.HealthCheckEnded(p.upstream.id, how)
	report := policy.NoLoadReport
	for _, name := range l.deployment.ReportFields {
		v, told := fields[name]
		switch {
		case !told:
		case name == "x0":
			report.Demand = v
		case name == "x1":
			report.Backlog = v
		case name == "cpu":
			report.Utilization = v
		}
	}
	if !l.deployment.Policy.HasLoadReports && how == policy.Succeeded {
		took := p.conn.ResponseTime()
		if load, told := l.estimateLoad(p.upstream, took); told {
			report.Demand = load
			l.log.Debug("guess", zap.String("server", p.upstream.listed.UID), zap.Float64("load", load),
				zap.Duration("took", took))
		}
	}
	l.policy.RecordLoadReport(p.upstream.id, report)
}
