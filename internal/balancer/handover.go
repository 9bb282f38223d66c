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
	tellEach   = 200 * time.Millisecond // how often each process tells how many descriptors it holds
	passWithin = 500 * time.Millisecond // what is not passed on so long after the end began is moved
	memoryPart = 3                      // quarters of the memory limit that Go's own is
)

// succession is a process's place among those of its balancer.
type succession struct {
	path   string
	memory int64 // bytes that the processes may hold together
	base   int64 // descriptors that this one holds beside connections

	old       *hotrestart.Link // to the process before this one,
	heir      *hotrestart.Link // and to the one after it,
	heirReady bool             // which takes what is held

	unsettled int // circuits and clients that are passed on, with no word yet of what became of them
	left      int // that it was sent and has not confirmed
}

// Succeed looks for the old process of this balancer, which it may take circuits over from, and waits for the next. The gate is
// known from here on: a Leave that comes before Serve shuts it. base is
// how many descriptors this process holds beside connections. An error leaves it without both. It is called before Reconfigure.
func (l *Loop) Succeed(g *Gate, dir, name string, memory int64, base int) error {
	l.shared = true
	l.gate.Store(g)
	path, err := hotrestart.Path(dir, name)
	if err != nil {
		return err
	}
	s := &succession{path: path, memory: memory, base: int64(base)}
	old, err := hotrestart.Dial(path, func(from *hotrestart.Link, m hotrestart.Message, fds []int) {
		l.post(event{do: func() { l.inherit(m, fds) }})
	}, func(_ *hotrestart.Link, why error) {
		l.post(event{do: func() { l.succeeded(why) }})
	})
	if err != nil {
		return err
	}
	l.post(event{do: func() {
		l.succession = s
		if s.old = old; old == nil {
			l.await()
			return
		}
		l.log.Info("beside an old process")
		l.share(true)
		l.tellReady()
	}})
	l.post(event{do: l.count})
	return nil
}

// tellReady tells the old process, if there is one, that this one takes what it holds.
func (l *Loop) tellReady() {
	if s := l.succession; l.ready && s != nil && s.old != nil {
		s.old.Tell(hotrestart.Message{Kind: hotrestart.Ready, Confirms: true}, nil)
	}
}

// await opens the socket for the next process.
func (l *Loop) await() {
	err := hotrestart.Listen(l.succession.path, func(link *hotrestart.Link) {
		l.post(event{do: func() { l.heirCame(link) }})
	}, func(from *hotrestart.Link, m hotrestart.Message, fds []int) {
		l.post(event{do: func() { l.heirSaid(from, m, fds) }})
	}, func(link *hotrestart.Link, why error) {
		l.post(event{do: func() { l.heirGone(link, why) }})
	})
	if err != nil {
		l.log.Warn("no socket for the next process: it will have clients moved", zap.Error(err))
	}
}

// share has this process leave the other its part of the memory, or not.
func (l *Loop) share(two bool) {
	limit := l.succession.memory * memoryPart / 4
	if two {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

// count tells the other process, again and again while there is one, how many descriptors are held here.
func (l *Loop) count() {
	s := l.succession
	l.after(tellEach, l.count)
	for _, link := range []*hotrestart.Link{s.old, s.heir} {
		if link != nil {
			link.Tell(hotrestart.Message{Kind: hotrestart.Descriptors, Descriptors: l.fds.Load() + s.base}, nil)
		}
	}
}

// HasHeir tells whether a new process of this balancer is beside this one.
func (l *Loop) HasHeir() bool { return l.heired.Load() }

// mostFds is how many descriptors connections may hold here, beside what the other process of an upgrade holds.
func (l *Loop) mostFds() int64 { return l.most - l.beside.Load() }

// ---- The old process.

// heirCame takes a link from a new process. The newest one counts: one before it has not come to be ready, or was replaced.
func (l *Loop) heirCame(link *hotrestart.Link) {
	s := l.succession
	if l.isLeaving() { // what is held is on its way to another, or is moved
		link.Close()
		return
	}
	if was := s.heir; was != nil {
		was.Close()
	}
	s.heir, s.heirReady = link, false
	l.heired.Store(true)
	l.log.Info("a new process is beside this one")
	l.share(true)
	known := &hotrestart.Known{Out: l.isOut()}
	for _, sv := range l.servers {
		if t := &sv.timed; len(t.low) > 0 && sv.state != policy.Removed {
			known.Servers = append(known.Servers, hotrestart.Probed{UID: sv.listedAs.UID, Boot: boot(sv), Last: t.last, Before: t.before,
				Low: t.low, Pace: sv.pace})
		}
	}
	link.Tell(hotrestart.Message{Kind: hotrestart.Hello, Known: known}, nil)
}

func boot(sv *server) int64 {
	if sv.listedAs.Boot.IsZero() {
		return 0
	}
	return sv.listedAs.Boot.UnixMilli()
}

func (l *Loop) heirSaid(from *hotrestart.Link, m hotrestart.Message, fds []int) {
	closeAll(fds) // none is owed here
	switch s := l.succession; {
	case from != s.heir:
	case m.Kind == hotrestart.Ready:
		s.heirReady = true
		// Guards against a signal that overtakes this word: the platform hears the yes at another address.
		if l.isLeaving() {
			l.passAll()
		}
	case m.Kind == hotrestart.Descriptors:
		l.beside.Store(m.Descriptors)
	}
}

func (l *Loop) heirGone(link *hotrestart.Link, why error) {
	if s := l.succession; link == s.heir {
		l.log.Info("the new process has gone", zap.NamedError("why", why))
		s.heir, s.heirReady = nil, false
		l.heired.Store(false)
		l.beside.Store(0)
		l.share(false)
	}
}

// takesAll answers the link to a new process that takes what is held; nil where there is none.
func (l *Loop) takesAll() *hotrestart.Link {
	if s := l.succession; s != nil && s.heirReady {
		return s.heir
	}
	return nil
}

// passesOn tells whether all goes to a new process now.
func (l *Loop) passesOn() bool { return l.isLeaving() && l.takesAll() != nil }

// passAll passes on all that is held and waits for no server.
func (l *Loop) passAll() {
	for _, id := range slices.Sorted(maps.Keys(l.circuits)) {
		if cir := l.circuits[id]; cir.pair != nil {
			l.pass(cir)
		}
	}
	for _, c := range l.door.silentSince(time.Now()) {
		if c.circuit == nil && !c.over {
			l.passClient(c, nil)
		}
	}
}

// pass passes on a circuit that stands, if its relay still has it.
func (l *Loop) pass(cir *circuit) {
	cir.pair.Take(func(t relay.Passed, mine bool) {
		if !mine {
			return
		}
		l.post(event{do: func() {
			l.stoodEnded(cir, policy.Cancelled)
			link := l.takesAll()
			if link == nil {
				l.sendAway(t)
				return
			}
			l.succession.unsettled++
			m := hotrestart.Message{Kind: hotrestart.Circuit, First: cir.ask.Raw(), At: cir.at.listedAs.UID, Load: cir.arrival.Load, Pair: &t}
			link.Tell(m, l.settled(link, func() { l.sendAway(t) }), t.Client.FD, t.Server.FD)
		}})
	})
}

// settled is told what became of something that was passed on; back has it where it is this process's again. Guards against an old
// process that ends while somebody is on the way: the link's end may be heard before what it could not send.
func (l *Loop) settled(link *hotrestart.Link, back func()) func(hotrestart.Outcome) {
	return func(o hotrestart.Outcome) {
		l.post(event{do: func() {
			s := l.succession
			s.unsettled--
			switch o {
			case hotrestart.Back:
				if link == s.heir { // or clients would go to and fro until the link's end is heard
					s.heirReady = false
				}
				back()
				return
			case hotrestart.Left:
				s.left++
			}
			l.Passed.Add(1)
		}})
	}
}

// sendAway ends a pair that no process holds any more as any other is moved: with what waits for its client first.
func (l *Loop) sendAway(t relay.Passed) {
	p, err := l.relays.Resume(t, 0, &circuit{})
	if err != nil {
		l.Errors.Add(1)
		l.log.Info("no relay", zap.Error(err))
		return
	}
	if p.End(protocol.MoveLine, false) {
		l.Moves.Add(1)
	}
	l.after(lingerFor, p.Close)
}

// passClient passes on a client without a circuit, with what it has sent: its first line too, if that is here.
func (l *Loop) passClient(c *conn, first []byte) {
	how := c.passOn(func(fd int, held []byte) {
		l.post(event{do: func() {
			sent := append(c.first, held...)
			link := l.takesAll()
			if link == nil {
				l.succession.unsettled--
				l.takeClient(fd, sent)
				return
			}
			// One that comes back is nacked here.
			link.Tell(hotrestart.Message{Kind: hotrestart.Client, First: sent}, l.settled(link, func() { l.takeClient(fd, sent) }), fd)
		}})
	})
	switch {
	case how == isHanded:
		c.over, c.passing, c.first = true, true, first
		l.succession.unsettled++ // from here on, as its descriptor is not counted any more before its word is here
	case how == stillWriting: // an answer to PING: its line is here by then, or the end
		if first != nil {
			l.end(c, protocol.Turned(l.comeAgain()))
		} else {
			l.door.put(c, l.door.silent)
		}
	}
}

func closeAll(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// ---- The new process.

// inherit takes what the old process says.
func (l *Loop) inherit(m hotrestart.Message, fds []int) {
	switch {
	case m.Kind == hotrestart.Hello && m.Known != nil:
		l.learn(m.Known)
	case m.Kind == hotrestart.Descriptors:
		l.beside.Store(m.Descriptors)
	case m.Kind == hotrestart.Client:
		l.Inherited.Add(1)
		l.takeClient(fds[0], m.First)
		return
	case m.Kind == hotrestart.Circuit && m.Pair != nil:
		l.Inherited.Add(1)
		m.Pair.Client.FD, m.Pair.Server.FD = fds[0], fds[1]
		l.takeCircuit(m)
		return
	}
	closeAll(fds)
}

// learn takes what would be slow to learn anew.
func (l *Loop) learn(k *hotrestart.Known) {
	l.bal.PauseSlowStart() // what the old process has let to cold servers of late counts
	for _, p := range k.Servers {
		sv := l.byUID[p.UID]
		if sv == nil || boot(sv) != p.Boot || len(p.Low) == 0 || len(sv.timed.low) > 0 {
			continue
		}
		sv.timed = timed{last: p.Last, before: p.Before, low: slices.Sorted(slices.Values(p.Low[:min(len(p.Low), 3)]))}
		sv.pace = max(-paceFar, min(p.Pace, paceFar))
		l.bal.SetWeight(sv.id, sv.heft())
	}
	if k.Out {
		l.inheritOut()
	}
	l.log.Info("told by the old process", zap.Int("servers", len(k.Servers)), zap.Bool("out", k.Out))
}

// takeCircuit has a circuit go on here under the rules of this process's settings; it stands, so none of them is owed.
func (l *Loop) takeCircuit(m hotrestart.Message) {
	ln := protocol.Decode(m.First)
	if ln.Kind != protocol.Open || ln.Bad != nil || l.byAsk[ln.Ask.ID] != nil {
		l.Errors.Add(1)
		l.log.Error("a circuit of the old process can't be read", zap.Error(ln.Bad))
		l.sendAway(*m.Pair)
		return
	}
	sv := l.byUID[m.At]
	if sv == nil { // a list that is older or newer: it stands where it stands
		sv = &server{id: policy.EndpointID(protocol.Hash(m.At)), state: policy.Removed, listedAs: discovery.Server{UID: m.At}}
		l.servers[sv.id], l.byUID[m.At] = sv, sv
	}
	l.last++
	cir := &circuit{id: l.last, ask: ln.Ask, at: sv, tries: 1, open: true, arrival: l.arrival(l.last, ln.Ask, 0)}
	cir.arrival.Load = m.Load
	cir.client = &conn{circuit: cir, over: true, closed: true}
	pair, err := l.relays.Resume(*m.Pair, uint64(sv.id), cir)
	if err != nil {
		l.Errors.Add(1)
		l.log.Info("no relay", zap.Error(err))
		return
	}
	cir.pair = pair
	l.circuits[cir.id], l.byAsk[ln.Ask.ID] = cir, cir
	l.open++
	l.Open.Store(int64(l.open))
	l.bal.AdoptSession(cir.arrival, sv.id)
	if l.passesOn() {
		l.pass(cir)
	}
}

// takeClient has a client's connection go on here as if it had been accepted here.
func (l *Loop) takeClient(fd int, sent []byte) {
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		l.Errors.Add(1)
		l.log.Info("a client of the old process is lost", zap.Error(err))
		return
	}
	l.Accepted.Add(1)
	l.fds.Add(1)
	c := adopt(nc, l, &l.fds)
	c.door = l.door
	l.door.put(c, l.door.silent)
	c.split.Add(sent)
	c.cutLines()
	_ = nc.SetOnRequest(c.onRequest)
}

// succeeded takes the end of the old process: this one is the balancer now.
func (l *Loop) succeeded(why error) {
	l.log.Info("the old process has ended", zap.NamedError("why", why))
	l.succession.old = nil
	l.beside.Store(0)
	l.share(false)
	l.bal.PauseSlowStart()
	if !l.isLeaving() {
		l.await()
	}
}
