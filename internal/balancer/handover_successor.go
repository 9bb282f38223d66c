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

// This file is the old process's side of a handover. What can't be handed over is migrated by the policy, like any other session.

// successorHandler posts what happens on links to new processes to the loop.
type successorHandler struct{ loop *Loop }

func (h successorHandler) Opened(link *hotrestart.Link) {
	h.loop.post(event{run: func() { h.loop.successorConnected(link) }})
}

func (h successorHandler) Received(link *hotrestart.Link, m hotrestart.Message, descriptors []int) {
	h.loop.post(event{run: func() { h.loop.successorMessage(link, m, descriptors) }})
}

func (h successorHandler) Closed(link *hotrestart.Link, why error) {
	h.loop.post(event{run: func() { h.loop.successorLost(link, why) }})
}

// listenForSuccessor opens the socket for the next process.
func (l *Loop) listenForSuccessor() {
	if err := hotrestart.Listen(l.handover.socketPath, successorHandler{loop: l}); err != nil {
		l.log.Warn("no socket for the next process: sessions will be migrated instead", zap.Error(err))
	}
}

// successorConnected takes a link from a new process. It replaces an earlier one, whose process never became ready or was replaced.
func (l *Loop) successorConnected(link *hotrestart.Link) {
	h := l.handover
	if l.isShuttingDown() { // everything is on its way to another process or is being migrated
		link.Close()
		return
	}
	if h.successor != nil {
		h.successor.Close()
	}
	h.successor = link
	h.successorReady = false
	l.successorLinked.Store(true)
	l.log.Info("a new process is beside this one")
	l.setMemoryShare(true)
	link.Send(hotrestart.Message{Kind: hotrestart.Hello, State: l.stateForSuccessor()}, nil)
}

// stateForSuccessor returns what a new process would learn slowly by itself.
func (l *Loop) stateForSuccessor() *hotrestart.State {
	state := &hotrestart.State{OutOfService: l.isOutOfService()}
	for _, server := range l.servers {
		times := &server.probeTimes
		if len(times.shortest) == 0 || server.state == policy.Removed {
			continue
		}
		state.Servers = append(state.Servers, hotrestart.ProbeTimes{
			UID:               server.listed.UID,
			BootMillis:        bootMillis(server),
			LastDuration:      times.last,
			PreviousDuration:  times.previous,
			ShortestDurations: times.shortest,
			SpeedStep:         server.speedStep,
		})
	}
	return state
}

func (l *Loop) successorMessage(from *hotrestart.Link, m hotrestart.Message, descriptors []int) {
	closeDescriptors(descriptors) // a successor has none to send
	h := l.handover
	if from != h.successor {
		return
	}
	switch m.Kind {
	case hotrestart.Ready:
		h.successorReady = true
		l.log.Info("the new process is ready to take over")
		if l.isShuttingDown() { // the signal came before this message
			l.handOverAll()
		}
	case hotrestart.DescriptorCount:
		l.peerDescriptors.Store(m.DescriptorCount)
	}
}

func (l *Loop) successorLost(link *hotrestart.Link, why error) {
	h := l.handover
	if link != h.successor {
		return
	}
	l.log.Info("the new process has gone", zap.NamedError("why", why))
	h.successor = nil
	h.successorReady = false
	l.successorLinked.Store(false)
	l.peerDescriptors.Store(0)
	l.setMemoryShare(false)
}

// readySuccessor returns the link to a new process that takes over; nil where there is none.
func (l *Loop) readySuccessor() *hotrestart.Link {
	if l.handover == nil || !l.handover.successorReady {
		return nil
	}
	return l.handover.successor
}

// isHandingOver reports whether everything goes to a new process now.
func (l *Loop) isHandingOver() bool { return l.isShuttingDown() && l.readySuccessor() != nil }

// handOverAll hands over all relayed sessions and all clients that have not sent a line.
func (l *Loop) handOverAll() {
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		if session := l.sessions[id]; session.pair != nil {
			l.handOverSession(session)
		}
	}
	for _, c := range l.idle.takeSilentSince(time.Now()) {
		if c.session == nil && !c.finished {
			l.handOverClient(c, nil)
		}
	}
}

// handOverSession hands over a relayed session, unless its relay has ended it.
func (l *Loop) handOverSession(session *session) {
	session.pair.Detach(func(state relay.PairState, detached bool) {
		if detached {
			l.post(event{run: func() { l.sendSession(session, state) }})
		}
	})
}

// sendSession sends a detached session to the successor, or migrates it if there is none any more.
func (l *Loop) sendSession(session *session, state relay.PairState) {
	l.establishedEnded(session, policy.Cancelled)
	link := l.readySuccessor()
	if link == nil {
		l.migrateDetached(state)
		return
	}
	l.handover.unsettled++
	m := hotrestart.Message{
		Kind:      hotrestart.Session,
		Input:     session.request.Raw(),
		ServerUID: session.upstream.listed.UID,
		Load:      session.policyRequest.Load,
		Pair:      &state,
	}
	takeBack := func() { l.migrateDetached(state) }
	link.Send(m, l.handoverSettled(link, takeBack), state.Client.FD, state.Server.FD)
}

// handoverSettled returns the function to call with the outcome of something that was sent to the successor. takeBack runs if it
// belongs to this process again. The link may be known to have ended before that.
func (l *Loop) handoverSettled(link *hotrestart.Link, takeBack func()) func(hotrestart.Outcome) {
	settled := func(outcome hotrestart.Outcome) {
		h := l.handover
		h.unsettled--
		switch outcome {
		case hotrestart.Returned:
			if link == h.successor { // otherwise clients would be sent again and again until the link's end is known
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
		l.post(event{run: func() { settled(outcome) }})
	}
}

// migrateDetached migrates a detached session that no process holds: its client gets what waits for it, and then MOVE.
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

// handOverClient hands over a client without a session, with what it has sent. firstLine is its first line, nil where that has not
// arrived.
func (l *Loop) handOverClient(c *conn, firstLine []byte) {
	result := c.detachWithInput(func(fd int, unparsed []byte) {
		l.post(event{run: func() { l.sendClient(c, fd, unparsed) }})
	})
	switch {
	case result == detachDone:
		c.finished = true
		c.handingOver = true
		c.handoverInput = firstLine
		l.handover.unsettled++ // its descriptor is not counted any more before it is sent
	case result == detachWriting && firstLine != nil:
		l.closeWithLine(c, protocol.RejectLine(l.retryAfter()))
	case result == detachWriting: // the answer to a PING: the first line or the end follows
		l.idle.add(c, l.idle.silent)
	}
}

// sendClient sends a detached client to the successor, or keeps it if there is none any more.
func (l *Loop) sendClient(c *conn, fd int, unparsed []byte) {
	input := append(c.handoverInput, unparsed...)
	link := l.readySuccessor()
	if link == nil {
		l.handover.unsettled--
		l.takeOverClient(fd, input)
		return
	}
	takeBack := func() { l.takeOverClient(fd, input) } // it is rejected here
	link.Send(hotrestart.Message{Kind: hotrestart.Client, Input: input}, l.handoverSettled(link, takeBack), fd)
}
