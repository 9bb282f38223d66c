package balancer

import (
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sabletally/internal/discovery"
	"sabletally/internal/hotrestart"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// This file is the successor's side of a handover: it takes over state, sessions and clients from the predecessor.

// predecessorHandler posts the events of the link to the predecessor to the loop.
type predecessorHandler struct {
	loop     *Loop
	handover *handover
}

func (h predecessorHandler) Opened(link *hotrestart.Link) {
	h.loop.post(event{run: func() {
		h.loop.handover = h.handover
		h.loop.predecessorConnected(link)
	}})
}

func (h predecessorHandler) Received(_ *hotrestart.Link, m hotrestart.Message, descriptors []int) {
	h.loop.post(event{run: func() { h.loop.predecessorMessage(m, descriptors) }})
}

func (h predecessorHandler) Closed(_ *hotrestart.Link, cause error) {
	h.loop.post(event{run: func() { h.loop.predecessorLost(cause) }})
}

// predecessorConnected handles a new link to the predecessor.
func (l *Loop) predecessorConnected(link *hotrestart.Link) {
	l.handover.predecessor = link
	l.log.Info("connected to predecessor")
	l.setMemoryShare(true)
	if !l.ready {
		l.awaitPredecessorState()
	}
	l.notifyReady()
}

// awaitPredecessorState keeps this process from becoming ready until it has the state of its predecessor, or for predecessorStateTimeout.
// The IDs of the predecessor's requests precede that state: a client that comes again must not be served before they are known.
func (l *Loop) awaitPredecessorState() {
	l.awaitsPredecessor = true
	l.after(predecessorStateTimeout, l.predecessorStateKnown)
}

// predecessorStateKnown ends the wait for the predecessor's state.
func (l *Loop) predecessorStateKnown() {
	if !l.awaitsPredecessor {
		return
	}
	l.awaitsPredecessor = false
	if l.readyDue {
		l.markReady()
	}
}

// notifyReady tells the predecessor that this process is ready to take over. It does nothing without a predecessor or before this
// process is ready.
func (l *Loop) notifyReady() {
	if !l.ready || l.handover == nil || l.handover.predecessor == nil {
		return
	}
	l.handover.predecessor.Send(hotrestart.Message{Kind: hotrestart.Ready, Confirms: true}, nil)
}

// predecessorMessage handles a message from the predecessor and takes ownership of its descriptors.
func (l *Loop) predecessorMessage(m hotrestart.Message, descriptors []int) {
	switch {
	case m.Kind == hotrestart.Client:
		l.TakenOver.Add(1)
		l.takeOverClient(descriptors[0], m.Input)
		return
	case m.Kind == hotrestart.Session && m.Pair != nil:
		l.TakenOver.Add(1)
		m.Pair.Client.FD = descriptors[0]
		m.Pair.Server.FD = descriptors[1]
		l.takeOverSession(m)
		return
	case m.Kind == hotrestart.StateUpdate && m.State != nil:
		l.applyState(m.State)
	case m.Kind == hotrestart.RequestIDUpdate && m.RequestIDs != nil:
		l.requestIDsReceived(m.RequestIDs)
	case m.Kind == hotrestart.EndpointList && m.List != nil:
		l.listPartReceived(m.List)
	case m.Kind == hotrestart.DescriptorCount:
		l.peerDescriptors.Store(m.DescriptorCount)
		if !m.ShuttingDown { // the predecessor still sends sessions to warming servers, out of the share of this balancer
			l.policy.PauseSlowStart()
		}
	}
	closeDescriptors(descriptors)
}

// applyState applies the state that the predecessor hands over, and later changes of it.
func (l *Loop) applyState(state *hotrestart.State) {
	l.mergeServiceState(state, true)
	if !l.handover.stateApplied {
		l.policy.PauseSlowStart() // the policy does not know the sessions that the predecessor has just sent to warming servers
		l.handover.stateApplied = true
	}
	for _, times := range state.Servers {
		l.applyProbeTimes(times)
	}
	l.predecessorStateKnown()
	l.log.Info("state of predecessor applied", zap.Int("servers", len(state.Servers)), zap.Bool("out", state.OutOfService))
}

// applyProbeTimes applies the predecessor's probe times of a server, unless the server was restarted since or this process has probed
// it already.
func (l *Loop) applyProbeTimes(times hotrestart.ProbeTimes) {
	server := l.serversByUID[times.UID]
	if server == nil || bootMillis(server) != times.BootMillis {
		return
	}
	if len(times.ShortestDurations) == 0 || len(server.probeTimes.shortest) > 0 {
		return
	}
	shortest := times.ShortestDurations[:min(len(times.ShortestDurations), keptShortestTimes)]
	server.probeTimes = probeTimes{
		last:     times.LastDuration,
		previous: times.PreviousDuration,
		shortest: slices.Sorted(slices.Values(shortest)),
	}
	server.speedStep = max(-maxSpeedStep, min(times.SpeedStep, maxSpeedStep))
	l.policy.SetWeight(server.id, server.weight())
}

// takeOverSession continues an established session of the predecessor under this process's settings.
func (l *Loop) takeOverSession(m hotrestart.Message) {
	line := protocol.Decode(m.Input)
	if line.Kind != protocol.KindOpen || line.Err != nil || l.sessionsByClientID[line.Request.ID] != nil {
		l.Errors.Add(1)
		l.log.Error("cannot take over a session from predecessor: malformed request or duplicate ID", zap.Error(line.Err))
		l.migrateDetached(*m.Pair)
		return
	}
	server := l.serverForTakeOver(m.ServerUID)
	l.lastSessionID++
	session := &session{
		id:            l.lastSessionID,
		request:       line.Request,
		upstream:      server,
		attempts:      1,
		established:   true,
		policyRequest: l.policyRequestOf(l.lastSessionID, line.Request, 0),
	}
	session.policyRequest.Load = m.Load
	session.client = &conn{session: session, finished: true, closed: true}
	pair, err := l.relay.Attach(*m.Pair, uint64(server.id), session)
	if err != nil {
		l.logRelayError(err)
		return
	}
	session.pair = pair
	l.sessions[session.id] = session
	l.sessionsByClientID[line.Request.ID] = session
	l.addOpenSession()
	l.policy.AdoptSession(session.policyRequest, server.id)
	if l.isHandingOver() {
		l.handOverSession(session)
	}
}

// serverForTakeOver returns the server of a session that is taken over. A server that is not in this process's endpoint list, which may
// differ from the predecessor's, is added as a removed one.
func (l *Loop) serverForTakeOver(uid string) *upstream {
	if server := l.serversByUID[uid]; server != nil {
		return server
	}
	server := &upstream{
		id:    policy.EndpointID(protocol.Hash(uid)),
		state: policy.Removed,
		entry: discovery.Endpoint{UID: uid},
	}
	l.servers[server.id] = server
	l.serversByUID[uid] = server
	return server
}

// takeOverClient continues a client's connection as if this process had accepted it. input is what the client has sent so far.
func (l *Loop) takeOverClient(fd int, input []byte) {
	_ = unix.SetNonblock(fd, true) // the call fails only on a closed descriptor, whose reads fail
	c := l.addClient(fd)
	c.resumeInput(input)
	c.startReading(l.nextPoller())
}

// predecessorLost handles the end of the link to the predecessor, which has ended: this process listens for a successor now.
func (l *Loop) predecessorLost(cause error) {
	l.log.Info("predecessor disconnected", zap.NamedError("why", cause))
	l.handover.predecessor = nil
	l.forgetPeerRequestIDs()
	l.predecessorStateKnown()
	l.peerDescriptors.Store(0)
	l.setMemoryShare(false)
	l.policy.PauseSlowStart()
	if !l.isShuttingDown() {
		l.listenForSuccessor()
	}
}
