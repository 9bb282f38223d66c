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
	at     *server
	called *called
	conn   *relay.Conn
	ponged bool // answered, the report is still to come
	done   bool
}

// probeWithin is how long a probe may take once its connection stands: as long as a set-up should.
func (l *Loop) probeWithin() time.Duration {
	goal := time.Duration(0)
	for _, g := range l.dep.Policy.Classes {
		goal = max(goal, g.SetupObjective)
	}
	return goal
}

// ask starts a probe.
func (l *Loop) ask(id policy.EndpointID) {
	l.Probes.Add(1)
	p := &probe{at: l.servers[id]}
	within := l.probeWithin()
	p.called = l.dial(p.at.address, connectMost, nil, func(c *relay.Conn, err error) { l.probeDialed(p, c, err) })
	p.called.said = func(_ *relay.Conn, ln protocol.Line) { l.probeLine(p, ln) }
	p.called.gone = func(*relay.Conn, error) { l.probed(p, policy.Reset, nil) }
	if limit := l.dep.ConnectTimeout; limit > 0 {
		within += limit
	} else {
		within += connectMost
	}
	l.after(within, func() { l.probed(p, policy.TimedOut, nil) })
}

func (l *Loop) probeDialed(p *probe, c *relay.Conn, err error) {
	if p.done {
		if c != nil {
			c.Close()
		}
		return
	}
	if p.conn = c; noRoom(err) { // guards against servers set aside because this balancer is full
		l.NoRoom.Add(1)
		l.probed(p, policy.NeverSent, nil)
		return
	}
	if err != nil {
		l.probed(p, policy.ConnectFailed, nil)
		return
	}
	text := protocol.PingLine
	if l.dep.Policy.HasLoadReports {
		text = protocol.AskLoad
	}
	if c.Early() != nil || c.Ask(text) != nil {
		l.probed(p, policy.Reset, nil)
		return
	}
	c.Listen()
}

// probeLine takes an answer: PONG, with or before the load report, or anything else.
func (l *Loop) probeLine(p *probe, ln protocol.Line) {
	switch {
	case p.done:
	case p.ponged:
		l.probed(p, policy.Succeeded, ln.Report())
	case ln.Kind != protocol.Pong || ln.Bad != nil:
		l.probed(p, policy.Failed, nil)
	case l.dep.Policy.HasLoadReports && len(ln.Fields) == 0:
		p.ponged = true
		p.conn.Listen()
	default:
		l.probed(p, policy.Succeeded, ln.Fields)
	}
}

// probed tells the module how a probe ended.
func (l *Loop) probed(p *probe, how policy.Outcome, fields map[string]float64) {
	if p.done {
		return
	}
	p.done = true
	p.called.cancel()
	if p.ponged {
		how = policy.Succeeded
	}
	l.bal.HealthCheckEnded(p.at.id, how)
	report := policy.NoLoadReport
	for _, name := range l.dep.ReportFields {
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
	if !l.dep.Policy.HasLoadReports && how == policy.Succeeded {
		took := p.conn.Took()
		if load, told := l.guess(p.at, took); told {
			report.Demand = load
			l.log.Debug("guess", zap.String("server", p.at.listedAs.UID), zap.Float64("load", load),
				zap.Duration("took", took))
		}
	}
	l.bal.RecordLoadReport(p.at.id, report)
}
