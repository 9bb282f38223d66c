package balancer

import (
	"slices"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"

	"sabletally/internal/discovery"
	"sabletally/internal/hotrestart"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// This file is the new process's side of a handover.

// predecessorHandler posts what happens on the link to the old process to the loop.
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

func (h predecessorHandler) Closed(_ *hotrestart.Link, why error) {
	h.loop.post(event{run: func() { h.loop.predecessorLost(why) }})
}

func (l *Loop) predecessorConnected(link *hotrestart.Link) {
	l.handover.predecessor = link
	l.log.Info("beside an old process")
	l.setMemoryShare(true)
	l.notifyReady()
}

// notifyReady notifies the old process, if there is one, once this process is ready to take over.
func (l *Loop) notifyReady() {
	if !l.ready || l.handover == nil || l.handover.predecessor == nil {
		return
	}
	l.handover.predecessor.Send(hotrestart.Message{Kind: hotrestart.Ready, Confirms: true}, nil)
}

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
	case m.Kind == hotrestart.Hello && m.State != nil:
		l.applyState(m.State)
	case m.Kind == hotrestart.DescriptorCount:
		l.peerDescriptors.Store(m.DescriptorCount)
	}
	closeDescriptors(descriptors)
}

// applyState applies what the old process has learned.
func (l *Loop) applyState(state *hotrestart.State) {
	l.policy.PauseSlowStart() // sessions that the old process sent to warming servers lately count
	for _, times := range state.Servers {
		l.applyProbeTimes(times)
	}
	if state.OutOfService {
		l.inheritOutOfService()
	}
	l.log.Info("state of the old process", zap.Int("servers", len(state.Servers)), zap.Bool("out", state.OutOfService))
}

// applyProbeTimes applies what the old process's probes of a server took, unless the server was restarted or probed here since.
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

// takeOverSession continues an established session here, under this process's settings.
func (l *Loop) takeOverSession(m hotrestart.Message) {
	line := protocol.Decode(m.Input)
	if line.Kind != protocol.KindOpen || line.Err != nil || l.sessionsByClientID[line.Request.ID] != nil {
		l.Errors.Add(1)
		l.log.Error("a session of the old process can't be read", zap.Error(line.Err))
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

// serverForTakeOver returns a session's server, which need not be in this process's list: the lists of the two may differ.
func (l *Loop) serverForTakeOver(uid string) *upstream {
	if server := l.serversByUID[uid]; server != nil {
		return server
	}
	server := &upstream{
		id:     policy.EndpointID(protocol.Hash(uid)),
		state:  policy.Removed,
		listed: discovery.Endpoint{UID: uid},
	}
	l.servers[server.id] = server
	l.serversByUID[uid] = server
	return server
}

// takeOverClient continues a client's connection as if it had been accepted here. input is what the client has sent so far.
func (l *Loop) takeOverClient(fd int, input []byte) {
	netConn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		l.Errors.Add(1)
		l.log.Info("a client of the old process is lost", zap.Error(err))
		return
	}
	c := l.addClient(netConn)
	c.splitter.Add(input)
	c.postLines()
	_ = netConn.SetOnRequest(c.onReadable) // fails only on nil
}

// predecessorLost handles the end of the old process: this one is the balancer now.
func (l *Loop) predecessorLost(why error) {
	l.log.Info("the old process has ended", zap.NamedError("why", why))
	l.handover.predecessor = nil
	l.peerDescriptors.Store(0)
	l.setMemoryShare(false)
	l.policy.PauseSlowStart()
	if !l.isShuttingDown() {
		l.listenForSuccessor()
	}
}
