// This file owns what the two processes of an upgrade pass between them: what the old one gives to its heir, and how it
// goes on there. It runs in the loop but for the link's own goroutines, which post. It must never choose what happens to a
// circuit that could not be passed on: the module moves it.

package balancer

import (
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sabletally/internal/discovery"
	"sabletally/internal/hotrestart"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

const (
	descriptorCountInterval = 200 * time.Millisecond // how often each process tells how many descriptors it holds
	handoverTimeout         = 500 * time.Millisecond // what is not passed on so long after the end began is moved
	memoryLimitQuarters     = 3                      // quarters of the memory limit that Go's own is
)

// handover is a process's place among those of its balancer.
type handover struct {
	socketPath      string
	memoryLimit     int64 // bytes that the processes may hold together
	baseDescriptors int64 // descriptors that this one holds beside connections

	predecessor    *hotrestart.Link // to the process before this one,
	successor      *hotrestart.Link // and to the one after it,
	successorReady bool             // which takes what is held

	unsettled   int // circuits and clients that are passed on, with no word yet of what became of them
	unconfirmed int // that it was sent and has not confirmed
}

// StartHandover looks for the old process of this balancer, which it may take circuits over from, and waits for the next. The gate is
// known from here on: a Leave that comes before Serve shuts it. base is
// how many descriptors this process holds beside connections. An error leaves it without both. It is called before Reconfigure.
func (l *Loop) StartHandover(g *Listener, dir, name string, memory int64, base int) error {
	l.sharesListener = true
	l.listener.Store(g)
	path, err := hotrestart.SocketPath(dir, name)
	if err != nil {
		return err
	}
	s := &handover{socketPath: path, memoryLimit: memory, baseDescriptors: int64(base)}
	old, err := hotrestart.Dial(path, func(from *hotrestart.Link, m hotrestart.Message, fds []int) {
		l.post(event{run: func() { l.predecessorMessage(m, fds) }})
	}, func(_ *hotrestart.Link, why error) {
		l.post(event{run: func() { l.predecessorLost(why) }})
	})
	if err != nil {
		return err
	}
	l.post(event{run: func() {
		l.handover = s
		if s.predecessor = old; old == nil {
			l.listenForSuccessor()
			return
		}
		l.log.Info("beside an old process")
		l.setMemoryShare(true)
		l.notifyReady()
	}})
	l.post(event{run: l.sendDescriptorCount})
	return nil
}

// notifyReady tells the old process, if there is one, that this one takes what it holds.
func (l *Loop) notifyReady() {
	if s := l.handover; l.ready && s != nil && s.predecessor != nil {
		s.predecessor.Send(hotrestart.Message{Kind: hotrestart.Ready, Confirms: true}, nil)
	}
}

// listenForSuccessor opens the socket for the next process.
func (l *Loop) listenForSuccessor() {
	err := hotrestart.Listen(l.handover.socketPath, func(link *hotrestart.Link) {
		l.post(event{run: func() { l.successorConnected(link) }})
	}, func(from *hotrestart.Link, m hotrestart.Message, fds []int) {
		l.post(event{run: func() { l.successorMessage(from, m, fds) }})
	}, func(link *hotrestart.Link, why error) {
		l.post(event{run: func() { l.successorLost(link, why) }})
	})
	if err != nil {
		l.log.Warn("no socket for the next process: it will have clients moved", zap.Error(err))
	}
}

// setMemoryShare has this process leave the other its part of the memory, or not.
func (l *Loop) setMemoryShare(two bool) {
	limit := l.handover.memoryLimit * memoryLimitQuarters / 4
	if two {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

// sendDescriptorCount tells the other process, again and again while there is one, how many descriptors are held here.
func (l *Loop) sendDescriptorCount() {
	s := l.handover
	l.after(descriptorCountInterval, l.sendDescriptorCount)
	for _, link := range []*hotrestart.Link{s.predecessor, s.successor} {
		if link != nil {
			link.Send(hotrestart.Message{Kind: hotrestart.DescriptorCount, DescriptorCount: l.descriptors.Load() + s.baseDescriptors}, nil)
		}
	}
}

// HasSuccessor tells whether a new process of this balancer is beside this one.
func (l *Loop) HasSuccessor() bool { return l.successorLinked.Load() }

// availableDescriptors is how many descriptors connections may hold here, beside what the other process of an upgrade holds.
func (l *Loop) availableDescriptors() int64 { return l.descriptorLimit - l.peerDescriptors.Load() }

// ---- The old process.

// successorConnected takes a link from a new process. The newest one counts: one before it has not come to be ready, or was replaced.
func (l *Loop) successorConnected(link *hotrestart.Link) {
	s := l.handover
	if l.isShuttingDown() { // what is held is on its way to another, or is moved
		link.Close()
		return
	}
	if was := s.successor; was != nil {
		was.Close()
	}
	s.successor, s.successorReady = link, false
	l.successorLinked.Store(true)
	l.log.Info("a new process is beside this one")
	l.setMemoryShare(true)
	known := &hotrestart.State{OutOfService: l.isOutOfService()}
	for _, sv := range l.servers {
		if t := &sv.probeTimes; len(t.shortest) > 0 && sv.state != policy.Removed {
			known.Servers = append(known.Servers, hotrestart.ProbeTimes{UID: sv.listed.UID, BootMillis: bootMillis(sv), Last: t.last, Previous: t.previous,
				Shortest: t.shortest, SpeedStep: sv.speedStep})
		}
	}
	link.Send(hotrestart.Message{Kind: hotrestart.Hello, State: known}, nil)
}

func bootMillis(sv *upstream) int64 {
	if sv.listed.Boot.IsZero() {
		return 0
	}
	return sv.listed.Boot.UnixMilli()
}

func (l *Loop) successorMessage(from *hotrestart.Link, m hotrestart.Message, fds []int) {
	closeDescriptors(fds) // none is owed here
	switch s := l.handover; {
	case from != s.successor:
	case m.Kind == hotrestart.Ready:
		s.successorReady = true
		// Guards against a signal that overtakes this word: the platform hears the yes at another address.
		if l.isShuttingDown() {
			l.handOverAll()
		}
	case m.Kind == hotrestart.DescriptorCount:
		l.peerDescriptors.Store(m.DescriptorCount)
	}
}

func (l *Loop) successorLost(link *hotrestart.Link, why error) {
	if s := l.handover; link == s.successor {
		l.log.Info("the new process has gone", zap.NamedError("why", why))
		s.successor, s.successorReady = nil, false
		l.successorLinked.Store(false)
		l.peerDescriptors.Store(0)
		l.setMemoryShare(false)
	}
}

// readySuccessor answers the link to a new process that takes what is held; nil where there is none.
func (l *Loop) readySuccessor() *hotrestart.Link {
	if s := l.handover; s != nil && s.successorReady {
		return s.successor
	}
	return nil
}

// isHandingOver tells whether all goes to a new process now.
func (l *Loop) isHandingOver() bool { return l.isShuttingDown() && l.readySuccessor() != nil }

// handOverAll passes on all that is held and waits for no server.
func (l *Loop) handOverAll() {
	for _, id := range slices.Sorted(maps.Keys(l.sessions)) {
		if cir := l.sessions[id]; cir.pair != nil {
			l.handOverSession(cir)
		}
	}
	for _, c := range l.idle.takeSilentSince(time.Now()) {
		if c.session == nil && !c.finished {
			l.handOverClient(c, nil)
		}
	}
}

// handOverSession passes on a circuit that stands, if its relay still has it.
func (l *Loop) handOverSession(cir *session) {
	cir.pair.Detach(func(t relay.PairState, mine bool) {
		if !mine {
			return
		}
		l.post(event{run: func() {
			l.establishedEnded(cir, policy.Cancelled)
			link := l.readySuccessor()
			if link == nil {
				l.migrateDetached(t)
				return
			}
			l.handover.unsettled++
			m := hotrestart.Message{Kind: hotrestart.Session, Input: cir.request.Raw(), ServerUID: cir.upstream.listed.UID, Load: cir.arrival.Load, Pair: &t}
			link.Send(m, l.handoverSettled(link, func() { l.migrateDetached(t) }), t.Client.FD, t.Server.FD)
		}})
	})
}

// handoverSettled is told what became of something that was passed on; back has it where it is this process's again. Guards against an old
// process that ends while somebody is on the way: the link's end may be heard before what it could not send.
func (l *Loop) handoverSettled(link *hotrestart.Link, back func()) func(hotrestart.Outcome) {
	return func(o hotrestart.Outcome) {
		l.post(event{run: func() {
			s := l.handover
			s.unsettled--
			switch o {
			case hotrestart.Returned:
				if link == s.successor { // or clients would go to and fro until the link's end is heard
					s.successorReady = false
				}
				back()
				return
			case hotrestart.Unconfirmed:
				s.unconfirmed++
			}
			l.HandedOver.Add(1)
		}})
	}
}

// migrateDetached ends a pair that no process holds any more as any other is moved: with what waits for its client first.
func (l *Loop) migrateDetached(t relay.PairState) {
	p, err := l.relay.Attach(t, 0, &session{})
	if err != nil {
		l.Errors.Add(1)
		l.log.Info("no relay", zap.Error(err))
		return
	}
	if p.CloseWithLine(protocol.MoveLine, false) {
		l.Migrations.Add(1)
	}
	l.after(lingerTimeout, p.Close)
}

// handOverClient passes on a client without a circuit, with what it has sent: its first line too, if that is here.
func (l *Loop) handOverClient(c *conn, first []byte) {
	how := c.detachWithInput(func(fd int, held []byte) {
		l.post(event{run: func() {
			sent := append(c.handoverInput, held...)
			link := l.readySuccessor()
			if link == nil {
				l.handover.unsettled--
				l.takeOverClient(fd, sent)
				return
			}
			// One that comes back is nacked here.
			link.Send(hotrestart.Message{Kind: hotrestart.Client, Input: sent}, l.handoverSettled(link, func() { l.takeOverClient(fd, sent) }), fd)
		}})
	})
	switch {
	case how == detachDone:
		c.finished, c.handingOver, c.handoverInput = true, true, first
		l.handover.unsettled++ // from here on, as its descriptor is not counted any more before its word is here
	case how == detachWriting: // an answer to PING: its line is here by then, or the end
		if first != nil {
			l.closeWithLine(c, protocol.Turned(l.retryAfter()))
		} else {
			l.idle.add(c, l.idle.silent)
		}
	}
}

func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// ---- The new process.

// predecessorMessage takes what the old process says.
func (l *Loop) predecessorMessage(m hotrestart.Message, fds []int) {
	switch {
	case m.Kind == hotrestart.Hello && m.State != nil:
		l.applyState(m.State)
	case m.Kind == hotrestart.DescriptorCount:
		l.peerDescriptors.Store(m.DescriptorCount)
	case m.Kind == hotrestart.Client:
		l.TakenOver.Add(1)
		l.takeOverClient(fds[0], m.Input)
		return
	case m.Kind == hotrestart.Session && m.Pair != nil:
		l.TakenOver.Add(1)
		m.Pair.Client.FD, m.Pair.Server.FD = fds[0], fds[1]
		l.takeOverSession(m)
		return
	}
	closeDescriptors(fds)
}

// applyState takes what would be slow to learn anew.
func (l *Loop) applyState(k *hotrestart.State) {
	l.policy.PauseSlowStart() // what the old process has let to cold servers of late counts
	for _, p := range k.Servers {
		sv := l.serversByUID[p.UID]
		if sv == nil || bootMillis(sv) != p.BootMillis || len(p.Shortest) == 0 || len(sv.probeTimes.shortest) > 0 {
			continue
		}
		sv.probeTimes = probeTimes{last: p.Last, previous: p.Previous, shortest: slices.Sorted(slices.Values(p.Shortest[:min(len(p.Shortest), 3)]))}
		sv.speedStep = max(-maxSpeedStep, min(p.SpeedStep, maxSpeedStep))
		l.policy.SetWeight(sv.id, sv.weight())
	}
	if k.OutOfService {
		l.inheritOutOfService()
	}
	l.log.Info("told by the old process", zap.Int("servers", len(k.Servers)), zap.Bool("out", k.OutOfService))
}

// takeOverSession has a circuit go on here under the rules of this process's settings; it stands, so none of them is owed.
func (l *Loop) takeOverSession(m hotrestart.Message) {
	ln := protocol.Decode(m.Input)
	if ln.Kind != protocol.Open || ln.Bad != nil || l.sessionsByClientID[ln.Ask.ID] != nil {
		l.Errors.Add(1)
		l.log.Error("a circuit of the old process can't be read", zap.Error(ln.Bad))
		l.migrateDetached(*m.Pair)
		return
	}
	sv := l.serversByUID[m.ServerUID]
	if sv == nil { // a list that is older or newer: it stands where it stands
		sv = &upstream{id: policy.EndpointID(protocol.Hash(m.ServerUID)), state: policy.Removed, listed: discovery.Server{UID: m.ServerUID}}
		l.servers[sv.id], l.serversByUID[m.ServerUID] = sv, sv
	}
	l.lastSessionID++
	cir := &session{id: l.lastSessionID, request: ln.Ask, upstream: sv, attempts: 1, established: true, arrival: l.arrivalOf(l.lastSessionID, ln.Ask, 0)}
	cir.arrival.Load = m.Load
	cir.client = &conn{session: cir, finished: true, closed: true}
	pair, err := l.relay.Attach(*m.Pair, uint64(sv.id), cir)
	if err != nil {
		l.Errors.Add(1)
		l.log.Info("no relay", zap.Error(err))
		return
	}
	cir.pair = pair
	l.sessions[cir.id], l.sessionsByClientID[ln.Ask.ID] = cir, cir
	l.openSessions++
	l.Open.Store(int64(l.openSessions))
	l.policy.AdoptSession(cir.arrival, sv.id)
	if l.isHandingOver() {
		l.handOverSession(cir)
	}
}

// takeOverClient has a client's connection go on here as if it had been accepted here.
func (l *Loop) takeOverClient(fd int, sent []byte) {
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		l.Errors.Add(1)
		l.log.Info("a client of the old process is lost", zap.Error(err))
		return
	}
	l.Accepted.Add(1)
	l.descriptors.Add(1)
	c := newConn(nc, l, &l.descriptors)
	c.idle = l.idle
	l.idle.add(c, l.idle.silent)
	c.splitter.Add(sent)
	c.postLines()
	_ = nc.SetOnRequest(c.onReadable)
}

// predecessorLost takes the end of the old process: this one is the balancer now.
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
