// This file owns the life of a circuit on sockets: its first line, its setup tries, its one final answer and its end;
// while it stands its lines pass beside the loop (internal/relay). It runs in the loop alone. It must never choose a
// server, a wait or a moment: it tells the module what happened and does what the module decided.

package balancer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

const (
	deadlineMargin       = 10 * time.Millisecond  // so much before its outer limit a circuit is answered at the latest
	silenceObjectives    = 8                      // a server that was asked and sends nothing for so many message goals is gone,
	minSilenceTimeout    = 2 * time.Second        // but not before this
	maxSilenceTimeout    = 5 * time.Second        // and after this at the latest
	silenceCheckInterval = 250 * time.Millisecond // how often it is looked for
	reattachTimeout      = 38 * time.Second       // a circuit that was open before the run is up by then, or lost
	reattachInterval     = 300 * time.Millisecond // between its tries
	detachRetryDelay     = time.Millisecond       // until a line that is being written to a client is looked at again
	lingerTimeout        = time.Second            // a finished connection that the other side does not end is closed then
	slowReportInterval   = time.Second            // slow messages of a server are noted so often
	slowDivisor          = 3                      // where they take over so-many-th of the shortest message goal
	maxConnectTimeout    = time.Second            // a connection is up by then where no limit is told
	maxCheckAge          = 100 * time.Millisecond // the last look before a line is written is no older than this
	relayStartTimeout    = 500 * time.Millisecond // a circuit that is up is a pair by then: its answer is owed, and no line is held for a second
)

// session is one circuit, from its first line to its end.
type session struct {
	id               policy.SessionID
	request          *protocol.Ask
	client           *conn
	dial             *upstreamDial         // the newest try's dial
	upstreamConn     *relay.Conn           // its connection, once that stands
	pair             *relay.Pair           // both connections, once the circuit stands
	upstream         *upstream             // of the newest try
	arrival          policy.SessionRequest // its load by the newest note
	deadline         time.Duration         // the client's outer limit, by the loop's clock
	attempts         int                   // made; the newest has this number less one
	generation       int                   // counts tries and their ends, so that what comes late is known as such
	attemptActive    bool                  // a try is out,
	requestSent      bool                  // and its line may have gone to the server
	established      bool                  // it stands
	migrationPending bool                  // it is to be moved as soon as its connections are a pair
	reattaching      bool                  // it was open before the run and goes to its server without the module
	attemptStart     time.Duration         // when the newest try was decided,
	establishedAt    time.Duration         // and when it came to stand
	attemptDeadline  time.Duration         // when it is given up
	record           *idempotencyRecord    // where the fleet holds it for others
}

// handleFirstLine takes a client's first line.
func (l *Loop) handleFirstLine(c *conn, ln protocol.Line) {
	switch {
	case ln.Bad == nil && ln.Kind == protocol.Ping:
		if l.ready {
			c.send(l.readinessLine())
			c.awaitsPong.Store(false)
		} else if c.unansweredPings++; c.unansweredPings == 1 {
			l.pendingPings = append(l.pendingPings, c)
		}
	case ln.Bad == nil && ln.Kind == protocol.Open:
		l.admit(c, ln.Ask)
	default:
		if ln.Bad != nil {
			l.log.Info("bad line", zap.Error(ln.Bad))
		}
		if ln.Bad == protocol.ErrUnasked {
			l.UnexpectedLines.Add(1)
		}
		l.Malformed.Add(1)
		l.closeWithLine(c, protocol.BadLine)
	}
}

// admit takes a circuit, which is owed one final answer from here on.
func (l *Loop) admit(c *conn, a *protocol.Ask) {
	if l.isHandingOver() { // nothing new is begun here
		l.handOverClient(c, a.Raw())
		return
	}
	l.Sessions.Add(1)
	_, known := l.deployment.Classes[a.Grade]
	// Guards against judging servers by what they turn away with reason: clients that tell neither grade nor limit
	// had them set aside.
	if !known || !a.Limited {
		l.Malformed.Add(1)
		l.closeWithLine(c, protocol.BadLine)
		return
	}
	if l.descriptors.Load() >= l.availableDescriptors()-l.descriptorLimit/rejectReserve { // none left for the server's side
		l.DescriptorShortages.Add(1)
		l.Rejected.Add(1)
		l.closeWithLine(c, protocol.Turned(l.retryAfter()))
		return
	}
	if l.sessionsByClientID[a.ID] != nil { // another client's, which stands or waits
		l.DuplicateIDs.Add(1)
		l.closeWithLine(c, protocol.BadLine)
		return
	}
	left := a.Left - c.sinceLastByte() - deadlineMargin
	l.lastSessionID++
	cir := &session{id: l.lastSessionID, request: a, client: c, deadline: l.now + left, arrival: l.arrivalOf(l.lastSessionID, a, left)}
	c.session = cir
	l.sessions[cir.id], l.sessionsByClientID[a.ID] = cir, cir
	if a.At != "" {
		cir.reattaching = true
		cir.deadline = max(cir.deadline, l.now+reattachTimeout)
		l.reattach(cir)
		return
	}
	l.beginRecord(cir)
	l.policy.AddSession(cir.arrival)
}

// arrivalOf is a circuit for the module, by the settings that hold.
func (l *Loop) arrivalOf(id policy.SessionID, a *protocol.Ask, left time.Duration) policy.SessionRequest {
	grade, known := l.deployment.Classes[a.Grade]
	if !known {
		grade = len(l.deployment.Classes)
	}
	tenant, known := l.deployment.Tenants[a.Tenant]
	if !known {
		tenant = len(l.deployment.Tenants)
	}
	return policy.SessionRequest{ID: id, Key: a.Key, Group: a.Group, Tenant: tenant, Class: grade, Timeout: left, Load: a.Hint}
}

// closeWithLine gives a client that has no circuit its last line.
func (l *Loop) closeWithLine(c *conn, last []byte) {
	c.send(last)
	l.closeGracefully(c)
}

// closeGracefully ends a connection from here, politely; it is closed for good a little later.
func (l *Loop) closeGracefully(c *conn) {
	if c == nil || c.finished {
		return
	}
	c.finished = true
	c.closeWrite()
	if c.idle != nil {
		l.idle.add(c, l.idle.ended)
	}
	l.after(lingerTimeout, c.close)
}

// removeSession takes a circuit out of the table: nothing more is owed for it.
func (l *Loop) removeSession(cir *session) {
	if cir.established {
		l.openSessions--
		l.Open.Store(int64(l.openSessions))
	}
	cir.generation++
	cir.attemptActive, cir.established = false, false
	delete(l.sessions, cir.id)
	if l.sessionsByClientID[cir.request.ID] == cir {
		delete(l.sessionsByClientID, cir.request.ID)
	}
}

// endUnserved gives a circuit its final answer, which is no UP.
func (l *Loop) endUnserved(cir *session, last []byte) {
	l.log.Debug("not served", zap.Stringer("circuit", cir), zap.ByteString("answer", last), zap.Int("tries", cir.attempts),
		zap.Duration("left", cir.deadline-l.now))
	l.removeSession(cir)
	l.closeWithLine(cir.client, last)
}

// closeUpstream closes the connection of the newest try, before any next one is sent.
func (cir *session) closeUpstream(abrupt bool) {
	if cir.dial != nil {
		cir.dial.cancel()
		cir.dial = nil
	}
	if s := cir.upstreamConn; s != nil {
		if cir.upstreamConn = nil; abrupt {
			s.Abort()
		} else {
			s.Close()
		}
	}
}

// ---- Setup tries.

// startAttempt starts a setup try.
func (l *Loop) startAttempt(cir *session, id policy.EndpointID, wait time.Duration) {
	l.Attempts.Add(1)
	cir.attempts++
	cir.attemptActive, cir.attemptStart, cir.attemptDeadline = true, l.now, l.now+wait
	l.dialUpstream(cir, l.servers[id])
}

// dialUpstream dials a circuit's server beside the loop.
func (l *Loop) dialUpstream(cir *session, sv *upstream) {
	cir.generation++
	cir.upstream, cir.requestSent = sv, false
	turn, within := cir.generation, cir.attemptDeadline-l.now
	l.after(within, func() {
		if cir.generation == turn && cir.attemptActive {
			l.attemptTimedOut(cir, nil)
		}
	})
	if cir.record != nil {
		l.requestWrite(cir)
	}
	cir.dial = l.dial(sv.address, within, cir, func(c *relay.Conn, err error) { l.upstreamDialed(cir, turn, c, err) })
}

// upstreamDialed sends the circuit's line on a connection that has come up, if the try is still wanted.
func (l *Loop) upstreamDialed(cir *session, turn int, c *relay.Conn, err error) {
	if cir.generation != turn || !cir.attemptActive {
		if c != nil {
			c.Close()
		}
		return
	}
	cir.dial = nil
	cir.upstreamConn = c
	switch {
	case isDescriptorShortage(err):
		l.DescriptorShortages.Add(1)
		l.attemptEnded(cir, policy.NeverSent, err)
	case err != nil:
		l.attemptEnded(cir, policy.ConnectFailed, err)
	case cir.upstream.state != policy.Ready && !cir.reattaching:
		// Guards against a first byte after the drain grace: the list has changed while the dial was out.
		l.attemptEnded(cir, policy.NeverSent, nil)
	case l.now >= cir.attemptDeadline: // by a stall: its time-out stands behind this event
		l.attemptEnded(cir, policy.NeverSent, nil)
	case !cir.reattaching && l.deferUntilFresh(func() { l.upstreamDialed(cir, turn, c, nil) }):
	case !l.mayWrite(cir, func() { l.upstreamDialed(cir, turn, c, nil) }):
	default:
		if cir.record != nil {
			cir.record.written = true
		}
		l.sendRequest(cir, turn, c)
	}
}

// clientWaits tells whether a circuit's client still waits for its answer, by the kernel's word; where it does not the loop is told, if the
// try is still out by then. It runs beside the loop, just before a try's connection is begun and just before its line is written.
// Guards against attempts for a client that has gone while the loop, or who reads the client, was late.
func (l *Loop) clientWaits(cir *session, turn int) bool {
	do := func() { l.clientDisconnected(cir.client, &DisconnectError{Stage: StageWritten, Cause: errPeerClosed}) }
	switch cir.client.presence() {
	case clientWaiting:
		return true
	case clientSentMore:
		do = func() { l.unexpectedLine(cir) }
	}
	l.post(event{session: cir, run: func() {
		if cir.generation == turn && cir.attemptActive {
			do()
		}
	}})
	return false
}

// sendRequest writes the circuit's line beside the loop: a write is most of what a set-up costs. What the loop knows is looked at just
// before, and what it can't know yet here: an end of the client that nobody has read, and a stall of the process since.
func (l *Loop) sendRequest(cir *session, turn int, c *relay.Conn) {
	cir.requestSent = true
	text, looked := cir.request.Onward(cir.attemptDeadline-l.now), time.Now()
	then := func(do func()) {
		l.post(event{session: cir, run: func() {
			if cir.generation == turn && cir.attemptActive {
				do()
			}
		}})
	}
	go func() {
		err := c.CheckOpen()
		switch {
		case err != nil:
		case !l.clientWaits(cir, turn):
			return
		case time.Since(looked) > maxCheckAge:
			then(func() { l.upstreamDialed(cir, turn, c, nil) })
			return
		default:
			err = c.WriteFirst(text)
		}
		if err != nil { // it has ended, or the line's last byte was not written
			then(func() { l.attemptEnded(cir, policy.ConnectFailed, err) })
			return
		}
		c.AwaitLine()
	}()
}

// attemptTimedOut ends a setup try whose time is over: one whose line never went to its server has not run.
func (l *Loop) attemptTimedOut(cir *session, why error) {
	how := policy.NeverSent
	if cir.requestSent {
		how = policy.TimedOut
	}
	l.attemptEnded(cir, how, why)
}

// attemptEnded ends a setup try that did not come to stand: its connection is closed before the module hears.
func (l *Loop) attemptEnded(cir *session, how policy.Outcome, why error) {
	if h := cir.record; h != nil && h.committing { // its end is on its way to be told
		h.upstreamClosed = true
		return
	}
	l.log.Debug("try ended", zap.Stringer("circuit", cir), zap.String("how", outcomeNames[how]),
		zap.String("server", cir.upstream.listed.UID), zap.Duration("after", l.now-cir.attemptStart), zap.Error(why))
	l.Outcomes[how].Add(1)
	cir.generation++
	cir.attemptActive = false
	cir.closeUpstream(false)
	if cir.reattaching {
		l.retryReattach(cir)
		return
	}
	l.policy.AttemptEnded(cir.id, cir.attempts-1, false, how)
}

// ---- Circuits that were open before the run.

// reattach takes a circuit to the server at which it was open.
func (l *Loop) reattach(cir *session) {
	if l.sessions[cir.id] != cir {
		return
	}
	sv := l.serversByUID[cir.request.At]
	if sv == nil || sv.address == "" {
		l.retryReattach(cir)
		return
	}
	cir.attemptActive, cir.attemptStart, cir.attemptDeadline = true, l.now, cir.deadline
	l.dialUpstream(cir, sv)
}

func (l *Loop) retryReattach(cir *session) {
	if l.now+reattachInterval >= cir.deadline {
		l.Failed.Add(1)
		l.endUnserved(cir, protocol.ErrLine)
		return
	}
	l.after(reattachInterval, func() { l.reattach(cir) })
}

// ---- Lines.

// handleResponse takes the line that answers a setup try.
func (l *Loop) handleResponse(cir *session, ln protocol.Line) {
	switch {
	case ln.Bad != nil && ln.Kind != protocol.Busy:
		l.attemptEnded(cir, policy.Failed, ln.Bad)
	case ln.Kind == protocol.Up && cir.record != nil:
		l.commitAnswer(cir, ln)
	case ln.Kind == protocol.Up:
		l.sessionEstablished(cir, ln)
	case ln.Kind == protocol.Busy:
		l.attemptEnded(cir, policy.Rejected, nil)
	case ln.Kind == protocol.Load:
		cir.arrival.Load = ln.Figure
		l.policy.RecordLoad(cir.id, max(cir.attempts-1, 0), ln.Figure)
		cir.upstreamConn.AwaitLine()
	case ln.Kind == protocol.Move:
		l.attemptEnded(cir, policy.Cancelled, nil)
	case ln.Kind == protocol.Bye: // served to its end before it stood
		id, try, client := cir.id, cir.attempts-1, cir.client
		l.Outcomes[policy.Succeeded].Add(1)
		l.Served.Add(1)
		l.removeSession(cir)
		cir.closeUpstream(false)
		if !cir.reattaching {
			l.policy.AttemptEnded(id, try, true, policy.Succeeded)
		}
		l.closeWithLine(client, ln.Raw)
	default:
		l.attemptEnded(cir, policy.Failed, nil)
	}
}

// sessionEstablished tells that a circuit has come to stand.
func (l *Loop) sessionEstablished(cir *session, ln protocol.Line) {
	l.log.Debug("stands", zap.Stringer("circuit", cir), zap.String("server", cir.upstream.listed.UID),
		zap.Duration("after", l.now-cir.attemptStart), zap.Int("tries", cir.attempts), zap.Uint64("group", cir.arrival.Group))
	cir.generation++
	cir.attemptActive, cir.established, cir.establishedAt = false, true, l.now
	l.openSessions++
	l.Open.Store(int64(l.openSessions))
	l.Served.Add(1)
	if cir.reattaching {
		cir.reattaching, cir.attempts = false, 1
		l.policy.AdoptSession(cir.arrival, cir.upstream.id)
	} else {
		l.policy.AttemptEstablished(cir.id, cir.attempts-1, l.now-cir.attemptStart)
	}
	l.startRelay(cir, ln.Raw)
}

// startRelay hands both connections to a relay, with the server's first line for the client, beside the loop. A client that has
// ended by now is told of by its own event; a server's connection that the loop closes meanwhile makes no pair.
func (l *Loop) startRelay(cir *session, first []byte) {
	if l.sessions[cir.id] != cir {
		return
	}
	if l.now >= cir.establishedAt+relayStartTimeout { // no descriptor for the hand-over, or a writer that hangs
		l.DescriptorShortages.Add(1)
		l.relayTimedOut(cir)
		return
	}
	server, number := cir.upstreamConn, uint64(cir.upstream.id)
	go func() {
		fd, how := cir.client.detach()
		switch how {
		case detachWriting: // an earlier line to it must go first
			l.post(event{session: cir, run: func() { l.after(detachRetryDelay, func() { l.startRelay(cir, first) }) }})
			return
		case detachClosed:
			return
		}
		p, err := l.relay.Join(fd, server, first, number, cir)
		l.post(event{session: cir, run: func() { l.relayStarted(cir, p, err) }})
	}()
}

// relayTimedOut ends a circuit that is up and can't be made a pair: it ran, and its client is owed an answer.
func (l *Loop) relayTimedOut(cir *session) {
	cir.closeUpstream(false)
	client := cir.client
	l.establishedEnded(cir, policy.Reset)
	l.closeWithLine(client, protocol.ErrLine)
}

// relayStarted takes a pair, if the circuit still stands.
func (l *Loop) relayStarted(cir *session, p *relay.Pair, err error) {
	cir.client.finished = true
	switch stands := l.sessions[cir.id] == cir; {
	case err != nil && stands:
		l.log.Info("no relay", zap.Error(err))
		l.Errors.Add(1)
		cir.closeUpstream(false)
		l.establishedEnded(cir, policy.Reset)
	case err != nil:
	case !stands:
		p.Abort()
	default:
		cir.pair, cir.upstreamConn = p, nil
		switch {
		case cir.migrationPending:
			l.migrate(cir, policy.Cancelled)
		case l.isHandingOver():
			l.handOverSession(cir)
		}
	}
}

// unexpectedLine takes a client's line after its first: it has to wait for its answer, so this is no usual client.
func (l *Loop) unexpectedLine(cir *session) {
	l.UnexpectedLines.Add(1)
	l.failSession(cir, protocol.BadLine)
}

// ---- Ends.

// migrate sends a client away between two lines and ends both sides.
func (l *Loop) migrate(cir *session, how policy.Outcome) {
	if cir.established && cir.pair == nil {
		cir.migrationPending = true
		return
	}
	if cir.pair == nil || !cir.pair.CloseWithLine(protocol.MoveLine, how == policy.Reset) {
		return // its end is on its way
	}
	l.Migrations.Add(1)
	l.after(lingerTimeout, cir.pair.Close)
	l.establishedEnded(cir, how)
}

// establishedEnded ends a circuit that stood; its connections are seen to.
func (l *Loop) establishedEnded(cir *session, how policy.Outcome) {
	l.log.Debug("stood", zap.Stringer("circuit", cir), zap.String("how", outcomeNames[how]),
		zap.String("server", cir.upstream.listed.UID))
	l.Outcomes[how].Add(1)
	id, try := cir.id, cir.attempts-1
	l.removeSession(cir)
	l.policy.AttemptEnded(id, try, true, how)
}

// relayEnded takes the end of a circuit that stood; the relay has ended the other side in the same way.
func (l *Loop) relayEnded(cir *session, p *relay.Pair, by relay.Side, abrupt bool, why error) {
	if !abrupt {
		l.after(lingerTimeout, p.Close)
	}
	if l.sessions[cir.id] != cir {
		return
	}
	if why != nil {
		l.Errors.Add(1)
		l.log.Info("connection broken", zap.Stringer("circuit", cir), zap.Bool("server", by == relay.Server), zap.Error(why))
	}
	how := policy.Reset
	switch {
	case by == relay.Client:
		how = policy.Cancelled
	case p.Completed():
		how = policy.Succeeded
	case p.MoveRequested():
		how = policy.Cancelled
	}
	l.establishedEnded(cir, how)
}

// clientDisconnected takes the end of a client's connection that was not asked for here.
func (l *Loop) clientDisconnected(c *conn, b *DisconnectError) {
	cir := c.session
	if b.Cause != errPeerClosed {
		l.Errors.Add(1)
		l.log.Info("connection broken", zap.Error(b))
		if cir != nil && l.sessions[cir.id] == cir && !cir.established {
			l.failSession(cir, protocol.ErrLine) // it is still owed its answer
			return
		}
		c.abort()
	}
	c.finished = true
	if cir == nil || l.sessions[cir.id] != cir {
		return
	}
	if !cir.established {
		l.ClientsLeft.Add(1)
	}
	l.cancelSession(cir, b)
}

// failSession answers a circuit for a reason that the module does not know of.
func (l *Loop) failSession(cir *session, last []byte) {
	l.Failed.Add(1)
	l.endWithAnswer(cir, last)
}

// endWithAnswer ends a circuit with its final answer, whatever the module has under way for it.
func (l *Loop) endWithAnswer(cir *session, last []byte) {
	l.cancelSession(cir, &DisconnectError{})
	l.closeWithLine(cir.client, last)
}

// cancelSession ends the server's side of a circuit whose client has left.
func (l *Loop) cancelSession(cir *session, b *DisconnectError) {
	id, try, held := cir.id, cir.attempts-1, cir.attemptActive || cir.established
	if !cir.established {
		l.policy.ClientDisconnected(id)
	}
	told := !cir.reattaching
	if h := cir.record; h != nil && !h.written {
		l.withdraw(cir)
	}
	l.removeSession(cir)
	cir.closeUpstream(b.Abrupt)
	if held && told {
		l.Outcomes[policy.Cancelled].Add(1)
		l.policy.AttemptEnded(id, try, true, policy.Cancelled)
	}
}

// ---- What messages take.

// migrateSilent has servers that were asked and say nothing lose their clients. A server that answers nothing for many message
// goals is no use to them, whatever is wrong with it. Guards against machines that vanish: their connections stay open
// and say nothing, and each second there is lost to each of their clients.
func (l *Loop) migrateSilent() {
	l.after(silenceCheckInterval, l.migrateSilent)
	for _, p := range l.relay.SilentPairs(l.silenceTimeout()) {
		if cir := p.Data.(*session); l.sessions[cir.id] == cir {
			l.SilentServers.Add(1)
			l.migrate(cir, policy.Reset)
		}
	}
}

func (l *Loop) silenceTimeout() time.Duration {
	if l.messageObjective == 0 {
		return maxSilenceTimeout
	}
	return max(minSilenceTimeout, min(silenceObjectives*l.messageObjective, maxSilenceTimeout))
}

// reportSlowServers notes servers at which messages take long, once a beat while they do and once more when they no longer do. The middle of
// what the answers of the beat took is the figure; a line still without an answer counts with its age once that is long.
func (l *Loop) reportSlowServers() {
	l.after(slowReportInterval, l.reportSlowServers)
	edge := l.messageObjective / slowDivisor
	took := l.relay.CollectResponseTimes(edge)
	if l.messageObjective == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(took)) {
		sv, took := l.servers[policy.EndpointID(id)], took[id]
		if sv == nil || len(took) == 0 {
			continue
		}
		slices.Sort(took)
		middle := took[len(took)/2]
		if slow := middle > edge; slow || sv.reportedSlow {
			l.policy.RecordLatency(sv.id, middle)
			l.log.Debug("slow messages", zap.String("server", sv.listed.UID), zap.Duration("take", middle),
				zap.Int("of", len(took)))
			sv.reportedSlow = slow
		}
	}
}
