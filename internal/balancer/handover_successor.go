package balancer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/hotrestart"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// This file is the predecessor's side of a handover: it hands over state, sessions and clients to the successor. The policy migrates
// sessions that can't be handed over, as in any drain.

// successorHandler posts the events of links to successors to the loop.
type successorHandler struct{ loop *Loop }

func (h successorHandler) Opened(link *hotrestart.Link) {
	h.loop.post(event{run: func() { h.loop.successorConnected(link) }})
}

func (h successorHandler) Received(link *hotrestart.Link, m hotrestart.Message, descriptors []int) {
	h.loop.post(event{run: func() { h.loop.successorMessage(link, m, descriptors) }})
}

func (h successorHandler) Closed(link *hotrestart.Link, cause error) {
	h.loop.post(event{run: func() { h.loop.successorLost(link, cause) }})
}

// listenForSuccessor opens the socket to which a successor connects.
func (l *Loop) listenForSuccessor() {
	if err := hotrestart.Listen(l.handover.socketPath, successorHandler{loop: l}); err != nil {
		l.log.Warn("cannot listen for a successor: sessions will be migrated instead of handed over", zap.Error(err))
	}
}

// successorConnected handles a link from a successor. It replaces the link to an earlier successor that was stopped or never became
// ready.
func (l *Loop) successorConnected(link *hotrestart.Link) {
	h := l.handover
	if l.isShuttingDown() { // all sessions are being handed over to another process or migrated
		link.Close()
		return
	}
	if h.successor != nil {
		h.successor.Close()
		l.forgetPeerRequestIDs()
	}
	h.successor = link
	h.successorReady = false
	l.successorLinked.Store(true)
	l.log.Info("successor connected")
	l.setMemoryShare(true)
	l.sendAllRequestIDs(link)
	for _, part := range l.stateForSuccessor().Parts() {
		l.sendState(link, part, nil)
	}
	l.sendList(link, l.listInForce())
}

// stateForSuccessor returns the state to hand over: the service state, and the probe times that a successor would be slow to measure.
func (l *Loop) stateForSuccessor() *hotrestart.State {
	state := l.currentService().announcement()
	for _, server := range l.servers {
		times := &server.probeTimes
		if len(times.shortest) == 0 || server.state == policy.Removed {
			continue
		}
		state.Servers = append(state.Servers, hotrestart.ProbeTimes{
			UID:               server.entry.UID,
			BootMillis:        bootMillis(server),
			LastDuration:      times.last,
			PreviousDuration:  times.previous,
			ShortestDurations: times.shortest,
			SpeedStep:         server.speedStep,
		})
	}
	return state
}

// successorMessage handles a message from a successor.
func (l *Loop) successorMessage(from *hotrestart.Link, m hotrestart.Message, descriptors []int) {
	closeDescriptors(descriptors) // no message of a successor carries descriptors
	h := l.handover
	if from != h.successor {
		return
	}
	switch m.Kind {
	case hotrestart.Ready:
		h.successorReady = true
		l.log.Info("successor is ready to take over")
		if l.isShuttingDown() { // the shutdown began before this message arrived
			l.handOverAll()
		}
	case hotrestart.StateUpdate:
		if m.State != nil {
			l.mergeServiceState(m.State, false)
		}
	case hotrestart.RequestIDUpdate:
		if m.RequestIDs != nil {
			l.requestIDsReceived(m.RequestIDs)
		}
	case hotrestart.DescriptorCount:
		l.peerDescriptors.Store(m.DescriptorCount)
	}
}

// successorLost handles the end of the link to a successor.
func (l *Loop) successorLost(link *hotrestart.Link, cause error) {
	h := l.handover
	if link != h.successor {
		return
	}
	l.log.Info("successor disconnected", zap.NamedError("why", cause))
	h.successor = nil
	h.successorReady = false
	l.forgetPeerRequestIDs()
	l.successorLinked.Store(false)
	l.peerDescriptors.Store(0)
	l.setMemoryShare(false)
}

// readySuccessor returns the link to a successor that is ready to take over, nil if there is none.
func (l *Loop) readySuccessor() *hotrestart.Link {
	if l.handover == nil || !l.handover.successorReady {
		return nil
	}
	return l.handover.successor
}

// isHandingOver reports whether sessions and clients are being handed over to a successor.
func (l *Loop) isHandingOver() bool { return l.isShuttingDown() && l.readySuccessor() != nil }

// handOverAll hands over all relayed sessions and all clients that have not sent a request.
func (l *Loop) handOverAll() {
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		if session := l.sessions[id]; session.pair != nil {
			l.handOverSession(session)
		}
	}
	for _, c := range l.idleConns.takeSilentSince(time.Now()) {
		if c.session == nil && !c.finished {
			l.handOverClient(c, nil)
		}
	}
}

// handOverSession hands over a relayed session, unless the relay has ended it already.
func (l *Loop) handOverSession(session *session) {
	session.pair.Detach(func(state relay.PairState, detached bool) {
		if detached {
			l.post(event{run: func() { l.sendSession(session, state) }})
		}
	})
}

// sendSession sends a detached session to the successor, or migrates it if the successor has disconnected.
func (l *Loop) sendSession(session *session, state relay.PairState) {
	l.establishedEnded(session, policy.Cancelled)
	link := l.readySuccessor()
	if link == nil {
		l.migrateDetached(state)
		return
	}
	l.handover.pending++
	m := hotrestart.Message{
		Kind:      hotrestart.Session,
		Input:     session.request.Raw(),
		ServerUID: session.upstream.entry.UID,
		Load:      session.policyRequest.Load,
		Pair:      &state,
	}
	takeBack := func() { l.migrateDetached(state) }
	link.Send(m, l.handoverOutcomeHandler(link, takeBack), state.Client.FD, state.Server.FD)
}

// handoverOutcomeHandler returns the function to call with the outcome of a session or client that was sent over link. takeBack is
// called if it is returned to this process. The loop may have handled the end of the link before that.
func (l *Loop) handoverOutcomeHandler(link *hotrestart.Link, takeBack func()) func(hotrestart.Outcome) {
	handleOutcome := func(outcome hotrestart.Outcome) {
		h := l.handover
		h.pending--
		switch outcome {
		case hotrestart.Returned:
			if link == h.successor { // otherwise clients would be sent again and again until the link has ended
				h.successorReady = false
			}
			takeBack()
			return
		case hotrestart.Unconfirmed:
			h.unconfirmed++
		}
		l.HandedOver.Add(1)
	}
	return func(outcome hotrestart.Outcome) {
		l.post(event{run: func() { handleOutcome(outcome) }})
	}
}

// migrateDetached migrates a detached session that was not handed over: its client gets the output that is pending for it, and then
// the MOVE line.
func (l *Loop) migrateDetached(state relay.PairState) {
	pair, err := l.relay.Attach(state, 0, &session{})
	if err != nil {
		l.logRelayError(err)
		return
	}
	if pair.CloseWithLine(protocol.MigrateLine, false) {
		l.Migrations.Add(1)
	}
}

// handOverClient hands over a client without a session, with the input that it has sent. firstLine is its request, nil if that has not
// arrived.
func (l *Loop) handOverClient(c *conn, firstLine []byte) {
	fd, unparsed, result := c.detach()
	switch {
	case result == detachDone:
		l.post(event{run: func() { l.sendClient(c, fd, unparsed) }}) // follows the lines that are posted already
		c.finished = true
		c.handingOver = true
		c.handoverInput = firstLine
		l.handover.pending++ // keeps isEmpty false to the end of the handover
	case result == detachRetry && firstLine != nil:
		l.closeWithLine(c, protocol.RejectLine(l.retryAfter()))
	case result == detachRetry: // a PONG is being written; the client's request or its end follows
		l.idleConns.add(c, l.idleConns.silent)
	}
}

// sendClient sends a detached client to the successor, or takes it back if the successor has disconnected.
func (l *Loop) sendClient(c *conn, fd int, unparsed []byte) {
	input := append(c.handoverInput, unparsed...)
	link := l.readySuccessor()
	if link == nil {
		l.handover.pending--
		l.takeOverClient(fd, input)
		return
	}
	takeBack := func() { l.takeOverClient(fd, input) } // this process, which is shutting down, rejects the client
	link.Send(hotrestart.Message{Kind: hotrestart.Client, Input: input}, l.handoverOutcomeHandler(link, takeBack), fd)
}
