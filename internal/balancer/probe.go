package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// This file runs the policy's health checks.

// Names of load report fields, in the settings and on the wire.
const (
	demandField      = "x0"
	backlogField     = "x1"
	utilizationField = "cpu"
)

// probe is one health check: on a connection of its own, it sends a server a PING, or a request for a load report if servers report
// their load. The policy decides which server is probed and when.
type probe struct {
	upstream *upstream
	dial     *upstreamDial
	conn     *relay.Conn
	ponged   bool // whether PONG has arrived without the load report
	done     bool
}

// probeTimeout returns the maximum time of a probe after it has connected: the longest setup objective of all classes.
func (l *Loop) probeTimeout() time.Duration {
	timeout := time.Duration(0)
	for _, class := range l.deployment.Policy.Classes {
		timeout = max(timeout, class.SetupObjective)
	}
	return timeout
}

// startProbe starts a probe of an endpoint.
func (l *Loop) startProbe(endpoint policy.EndpointID) {
	l.Probes.Add(1)
	p := &probe{upstream: l.servers[endpoint]}
	p.dial = l.dial(p.upstream.address, maxConnectTimeout, nil, func(c *relay.Conn, err error) { l.probeConnected(p, c, err) })
	p.dial.onLine = func(_ *relay.Conn, line protocol.Line) { l.handleProbeLine(p, line) }
	p.dial.onDisconnected = func(*relay.Conn, error) { l.finishProbe(p, policy.Reset, nil) }
	l.after(l.probeTimeout()+l.connectTimeout(), func() { l.finishProbe(p, policy.TimedOut, nil) })
}

// probeConnected handles the result of a probe's dial and sends the request.
func (l *Loop) probeConnected(p *probe, c *relay.Conn, err error) {
	if p.done {
		if c != nil {
			c.Close()
		}
		return
	}
	p.conn = c
	if isDescriptorShortage(err) { // must not count against the server
		l.DescriptorShortages.Add(1)
		l.finishProbe(p, policy.NeverSent, nil)
		return
	}
	if err != nil {
		l.finishProbe(p, policy.ConnectFailed, nil)
		return
	}
	request := protocol.PingLine
	if l.deployment.Policy.HasLoadReports {
		request = protocol.LoadReportRequest
	}
	if c.CheckOpen() != nil || c.WriteFirst(request) != nil {
		l.finishProbe(p, policy.Reset, nil)
		return
	}
	c.AwaitLine()
}

// handleProbeLine handles a line from a probed server: PONG, which may contain the load report, or the load report after it.
func (l *Loop) handleProbeLine(p *probe, line protocol.Line) {
	switch {
	case p.done:
	case p.ponged:
		l.finishProbe(p, policy.Succeeded, line.LoadReport())
	case line.Kind != protocol.KindPong || line.Err != nil:
		l.finishProbe(p, policy.Failed, nil)
	case l.deployment.Policy.HasLoadReports && len(line.Fields) == 0:
		p.ponged = true
		p.conn.AwaitLine()
	default:
		l.finishProbe(p, policy.Succeeded, line.Fields)
	}
}

// finishProbe reports the outcome of a probe, and the reported or estimated load, to the policy.
func (l *Loop) finishProbe(p *probe, outcome policy.Outcome, fields map[string]float64) {
	if p.done {
		return
	}
	p.done = true
	p.dial.cancel()
	if p.ponged {
		outcome = policy.Succeeded
	}
	l.policy.HealthCheckEnded(p.upstream.id, outcome)
	report := l.loadReport(fields)
	if !l.deployment.Policy.HasLoadReports && outcome == policy.Succeeded {
		elapsed := p.conn.ResponseTime()
		if load, known := l.estimateLoad(p.upstream, elapsed); known {
			report.Demand = load
			l.log.Debug("load estimated",
				zap.String("server", p.upstream.entry.UID),
				zap.Float64("load", load),
				zap.Duration("took", elapsed))
		}
	}
	l.policy.RecordLoadReport(p.upstream.id, report)
}

// loadReport returns a load report with those fields that the settings select.
func (l *Loop) loadReport(fields map[string]float64) policy.LoadReport {
	report := policy.NoLoadReport
	for _, name := range l.deployment.ReportFields {
		value, known := fields[name]
		if !known {
			continue
		}
		switch name {
		case demandField:
			report.Demand = value
		case backlogField:
			report.Backlog = value
		case utilizationField:
			report.Utilization = value
		}
	}
	return report
}
