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
	answerEarly = 10 * time.Millisecond  // so much before its outer limit a circuit is answered at the latest
	silentGoals = 8                      // a server that was asked and sends nothing for so many message goals is gone,
	silentLeast = 2 * time.Second        // but not before this
	silentMost  = 5 * time.Second        // and after this at the latest
	silentEach  = 250 * time.Millisecond // how often it is looked for
	standWithin = 38 * time.Second       // a circuit that was open before the run is up by then, or lost
	standPause  = 300 * time.Millisecond // between its tries
	writeAgain  = time.Millisecond       // until a line that is being written to a client is looked at again
	lingerFor   = time.Second            // a finished connection that the other side does not end is closed then
	beat        = time.Second            // slow messages of a server are noted so often
	notedAbove  = 3                      // where they take over so-many-th of the shortest message goal
	connectMost = time.Second            // a connection is up by then where no limit is told
	lookFresh   = 100 * time.Millisecond // the last look before a line is written is no older than this
	pairWithin  = 500 * time.Millisecond // a circuit that is up is a pair by then: its answer is owed, and no line is held for a second
)

// circuit is one circuit, from its first line to its end.
type circuit struct {
	id       policy.SessionID
	ask      *protocol.Ask
	client   *conn
	called   *called               // the newest try's dial
	server   *relay.Conn           // its connection, once that stands
	pair     *relay.Pair           // both connections, once the circuit stands
	at       *server               // of the newest try
	arrival  policy.SessionRequest // its load by the newest note
	until    time.Duration         // the client's outer limit, by the loop's clock
	tries    int                   // made; the newest has this number less one
	turn     int                   // counts tries and their ends, so that what comes late is known as such
	out      bool                  // a try is out,
	sent     bool                  // and its line may have gone to the server
	open     bool                  // it stands
	away     bool                  // it is to be moved as soon as its connections are a pair
	standing bool                  // it was open before the run and goes to its server without the module
	calledAt time.Duration         // when the newest try was decided,
	stoodAt  time.Duration         // and when it came to stand
	giveUp   time.Duration         // when it is given up
	held     *held                 // where the fleet holds it for others
}

// firstLine takes a client's first line.
func (l *Loop) firstLine(c *conn, ln protocol.Line) {
	switch {
	case ln.Bad == nil && ln.Kind == protocol.Ping:
		if l.ready {
			c.send(l.pong())
			c.asks.Store(false)
		} else if c.pings++; c.pings == 1 {
			l.pinged = append(l.pinged, c)
		}
	case ln.Bad == nil && ln.Kind == protocol.Open:
		l.take(c, ln.Ask)
	default:
		if ln.Bad != nil {
			l.log.Info("bad line", zap.Error(ln.Bad))
		}
		if ln.Bad == protocol.ErrUnasked {
			l.Unasked.Add(1)
		}
		l.Malformed.Add(1)
		l.end(c, protocol.BadLine)
	}
}

// take takes a circuit, which is owed one final answer from here on.
func (l *Loop) take(c *conn, a *protocol.Ask) {
	if l.passesOn() { // nothing new is begun here
		l.passClient(c, a.Raw())
		return
	}
	l.Taken.Add(1)
	_, known := l.dep.Classes[a.Grade]
	// Guards against judging servers by what they turn away with reason: clients that tell neither grade nor limit
	// had them set aside.
	if !known || !a.Limited {
		l.Malformed.Add(1)
		l.end(c, protocol.BadLine)
		return
	}
	if l.fds.Load() >= l.mostFds()-l.most/spareFds { // none left for the server's side
		l.NoRoom.Add(1)
		l.Nacked.Add(1)
		l.end(c, protocol.Turned(l.comeAgain()))
		return
	}
	if l.byAsk[a.ID] != nil { // another client's, which stands or waits
		l.SameID.Add(1)
		l.end(c, protocol.BadLine)
		return
	}
	left := a.Left - c.quietFor() - answerEarly
	l.last++
	cir := &circuit{id: l.last, ask: a, client: c, until: l.now + left, arrival: l.arrival(l.last, a, left)}
	c.circuit = cir
	l.circuits[cir.id], l.byAsk[a.ID] = cir, cir
	if a.At != "" {
		cir.standing = true
		cir.until = max(cir.until, l.now+standWithin)
		l.stand(cir)
		return
	}
	l.hold(cir)
	l.bal.AddSession(cir.arrival)
}

// arrival is a circuit for the module, by the settings that hold.
func (l *Loop) arrival(id policy.SessionID, a *protocol.Ask, left time.Duration) policy.SessionRequest {
	grade, known := l.dep.Classes[a.Grade]
	if !known {
		grade = len(l.dep.Classes)
	}
	tenant, known := l.dep.Tenants[a.Tenant]
	if !known {
		tenant = len(l.dep.Tenants)
	}
	return policy.SessionRequest{ID: id, Key: a.Key, Group: a.Group, Tenant: tenant, Class: grade, Timeout: left, Load: a.Hint}
}

// end gives a client that has no circuit its last line.
func (l *Loop) end(c *conn, last []byte) {
	c.send(last)
	l.finish(c)
}

// finish ends a connection from here, politely; it is closed for good a little later.
func (l *Loop) finish(c *conn) {
	if c == nil || c.over {
		return
	}
	c.over = true
	c.finish()
	if c.door != nil {
		l.door.put(c, l.door.ended)
	}
	l.after(lingerFor, c.close)
}

// forget takes a circuit out of the table: nothing more is owed for it.
func (l *Loop) forget(cir *circuit) {
	if cir.open {
		l.open--
		l.Open.Store(int64(l.open))
	}
	cir.turn++
	cir.out, cir.open = false, false
	delete(l.circuits, cir.id)
	if l.byAsk[cir.ask.ID] == cir {
		delete(l.byAsk, cir.ask.ID)
	}
}

// answer gives a circuit its final answer, which is no UP.
func (l *Loop) answer(cir *circuit, last []byte) {
	l.log.Debug("not served", zap.Stringer("circuit", cir), zap.ByteString("answer", last), zap.Int("tries", cir.tries),
		zap.Duration("left", cir.until-l.now))
	l.forget(cir)
	l.end(cir.client, last)
}

// dropServer closes the connection of the newest try, before any next one is sent.
func (cir *circuit) dropServer(abrupt bool) {
	if cir.called != nil {
		cir.called.cancel()
		cir.called = nil
	}
	if s := cir.server; s != nil {
		if cir.server = nil; abrupt {
			s.Abort()
		} else {
			s.Close()
		}
	}
}

// ---- Setup tries.

// try starts a setup try.
func (l *Loop) try(cir *circuit, id policy.EndpointID, wait time.Duration) {
	l.Tries.Add(1)
	cir.tries++
	cir.out, cir.calledAt, cir.giveUp = true, l.now, l.now+wait
	l.call(cir, l.servers[id])
}

// call dials a circuit's server beside the loop.
func (l *Loop) call(cir *circuit, sv *server) {
	cir.turn++
	cir.at, cir.sent = sv, false
	turn, within := cir.turn, cir.giveUp-l.now
	l.after(within, func() {
		if cir.turn == turn && cir.out {
			l.timeIsUp(cir, nil)
		}
	})
	if cir.held != nil {
		l.promise(cir)
	}
	cir.called = l.dial(sv.address, within, cir, func(c *relay.Conn, err error) { l.dialed(cir, turn, c, err) })
}

// dialed sends the circuit's line on a connection that has come up, if the try is still wanted.
func (l *Loop) dialed(cir *circuit, turn int, c *relay.Conn, err error) {
	if cir.turn != turn || !cir.out {
		if c != nil {
			c.Close()
		}
		return
	}
	cir.called = nil
	cir.server = c
	switch {
	case noRoom(err):
		l.NoRoom.Add(1)
		l.tryEnded(cir, policy.NeverSent, err)
	case err != nil:
		l.tryEnded(cir, policy.ConnectFailed, err)
	case cir.at.state != policy.Ready && !cir.standing:
		// Guards against a first byte after the drain grace: the list has changed while the dial was out.
		l.tryEnded(cir, policy.NeverSent, nil)
	case l.now >= cir.giveUp: // by a stall: its time-out stands behind this event
		l.tryEnded(cir, policy.NeverSent, nil)
	case !cir.standing && l.unheard(func() { l.dialed(cir, turn, c, nil) }):
	case !l.allowed(cir, func() { l.dialed(cir, turn, c, nil) }):
	default:
		if cir.held != nil {
			cir.held.wrote = true
		}
		l.send(cir, turn, c)
	}
}

// stays tells whether a circuit's client still waits for its answer, by the kernel's word; where it does not the loop is told, if the
// try is still out by then. It runs beside the loop, just before a try's connection is begun and just before its line is written.
// Guards against attempts for a client that has gone while the loop, or who reads the client, was late.
func (l *Loop) stays(cir *circuit, turn int) bool {
	do := func() { l.broken(cir.client, &Broken{Stage: Asked, Cause: errEnded}) }
	switch cir.client.presence() {
	case isWaiting:
		return true
	case hasSpoken:
		do = func() { l.clientLine(cir) }
	}
	l.post(event{of: cir, do: func() {
		if cir.turn == turn && cir.out {
			do()
		}
	}})
	return false
}

// send writes the circuit's line beside the loop: a write is most of what a set-up costs. What the loop knows is looked at just
// before, and what it can't know yet here: an end of the client that nobody has read, and a stall of the process since.
func (l *Loop) send(cir *circuit, turn int, c *relay.Conn) {
	cir.sent = true
	text, looked := cir.ask.Onward(cir.giveUp-l.now), time.Now()
	then := func(do func()) {
		l.post(event{of: cir, do: func() {
			if cir.turn == turn && cir.out {
				do()
			}
		}})
	}
	go func() {
		err := c.Early()
		switch {
		case err != nil:
		case !l.stays(cir, turn):
			return
		case time.Since(looked) > lookFresh:
			then(func() { l.dialed(cir, turn, c, nil) })
			return
		default:
			err = c.Ask(text)
		}
		if err != nil { // it has ended, or the line's last byte was not written
			then(func() { l.tryEnded(cir, policy.ConnectFailed, err) })
			return
		}
		c.Listen()
	}()
}

// timeIsUp ends a setup try whose time is over: one whose line never went to its server has not run.
func (l *Loop) timeIsUp(cir *circuit, why error) {
	how := policy.NeverSent
	if cir.sent {
		how = policy.TimedOut
	}
	l.tryEnded(cir, how, why)
}

// tryEnded ends a setup try that did not come to stand: its connection is closed before the module hears.
func (l *Loop) tryEnded(cir *circuit, how policy.Outcome, why error) {
	if h := cir.held; h != nil && h.tells { // its end is on its way to be told
		h.gone = true
		return
	}
	l.log.Debug("try ended", zap.Stringer("circuit", cir), zap.String("how", outcomes[how]),
		zap.String("server", cir.at.listedAs.UID), zap.Duration("after", l.now-cir.calledAt), zap.Error(why))
	l.Ended[how].Add(1)
	cir.turn++
	cir.out = false
	cir.dropServer(false)
	if cir.standing {
		l.standAgain(cir)
		return
	}
	l.bal.AttemptEnded(cir.id, cir.tries-1, false, how)
}

// ---- Circuits that were open before the run.

// stand takes a circuit to the server at which it was open.
func (l *Loop) stand(cir *circuit) {
	if l.circuits[cir.id] != cir {
		return
	}
	sv := l.byUID[cir.ask.At]
	if sv == nil || sv.address == "" {
		l.standAgain(cir)
		return
	}
	cir.out, cir.calledAt, cir.giveUp = true, l.now, cir.until
	l.call(cir, sv)
}

func (l *Loop) standAgain(cir *circuit) {
	if l.now+standPause >= cir.until {
		l.BrokenOff.Add(1)
		l.answer(cir, protocol.ErrLine)
		return
	}
	l.after(standPause, func() { l.stand(cir) })
}

// ---- Lines.

// verdict takes the line that answers a setup try.
func (l *Loop) verdict(cir *circuit, ln protocol.Line) {
	switch {
	case ln.Bad != nil && ln.Kind != protocol.Busy:
		l.tryEnded(cir, policy.Failed, ln.Bad)
	case ln.Kind == protocol.Up && cir.held != nil:
		l.confirm(cir, ln)
	case ln.Kind == protocol.Up:
		l.stands(cir, ln)
	case ln.Kind == protocol.Busy:
		l.tryEnded(cir, policy.Rejected, nil)
	case ln.Kind == protocol.Load:
		cir.arrival.Load = ln.Figure
		l.bal.RecordLoad(cir.id, max(cir.tries-1, 0), ln.Figure)
		cir.server.Listen()
	case ln.Kind == protocol.Move:
		l.tryEnded(cir, policy.Cancelled, nil)
	case ln.Kind == protocol.Bye: // served to its end before it stood
		id, try, client := cir.id, cir.tries-1, cir.client
		l.Ended[policy.Succeeded].Add(1)
		l.Served.Add(1)
		l.forget(cir)
		cir.dropServer(false)
		if !cir.standing {
			l.bal.AttemptEnded(id, try, true, policy.Succeeded)
		}
		l.end(client, ln.Raw)
	default:
		l.tryEnded(cir, policy.Failed, nil)
	}
}

// stands tells that a circuit has come to stand.
func (l *Loop) stands(cir *circuit, ln protocol.Line) {
	l.log.Debug("stands", zap.Stringer("circuit", cir), zap.String("server", cir.at.listedAs.UID),
		zap.Duration("after", l.now-cir.calledAt), zap.Int("tries", cir.tries), zap.Uint64("group", cir.arrival.Group))
	cir.turn++
	cir.out, cir.open, cir.stoodAt = false, true, l.now
	l.open++
	l.Open.Store(int64(l.open))
	l.Served.Add(1)
	if cir.standing {
		cir.standing, cir.tries = false, 1
		l.bal.AdoptSession(cir.arrival, cir.at.id)
	} else {
		l.bal.AttemptEstablished(cir.id, cir.tries-1, l.now-cir.calledAt)
	}
	l.pair(cir, ln.Raw)
}

// pair hands both connections to a relay, with the server's first line for the client, beside the loop. A client that has
// ended by now is told of by its own event; a server's connection that the loop closes meanwhile makes no pair.
func (l *Loop) pair(cir *circuit, first []byte) {
	if l.circuits[cir.id] != cir {
		return
	}
	if l.now >= cir.stoodAt+pairWithin { // no descriptor for the hand-over, or a writer that hangs
		l.NoRoom.Add(1)
		l.unpaired(cir)
		return
	}
	server, number := cir.server, uint64(cir.at.id)
	go func() {
		fd, how := cir.client.handOver()
		switch how {
		case stillWriting: // an earlier line to it must go first
			l.post(event{of: cir, do: func() { l.after(writeAgain, func() { l.pair(cir, first) }) }})
			return
		case hasEnded:
			return
		}
		p, err := l.relays.Stand(fd, server, first, number, cir)
		l.post(event{of: cir, do: func() { l.paired(cir, p, err) }})
	}()
}

// unpaired ends a circuit that is up and can't be made a pair: it ran, and its client is owed an answer.
func (l *Loop) unpaired(cir *circuit) {
	cir.dropServer(false)
	client := cir.client
	l.stoodEnded(cir, policy.Reset)
	l.end(client, protocol.ErrLine)
}

// paired takes a pair, if the circuit still stands.
func (l *Loop) paired(cir *circuit, p *relay.Pair, err error) {
	cir.client.over = true
	switch stands := l.circuits[cir.id] == cir; {
	case err != nil && stands:
		l.log.Info("no relay", zap.Error(err))
		l.Errors.Add(1)
		cir.dropServer(false)
		l.stoodEnded(cir, policy.Reset)
	case err != nil:
	case !stands:
		p.Abort()
	default:
		cir.pair, cir.server = p, nil
		switch {
		case cir.away:
			l.move(cir, policy.Cancelled)
		case l.passesOn():
			l.pass(cir)
		}
	}
}

// clientLine takes a client's line after its first: it has to wait for its answer, so this is no usual client.
func (l *Loop) clientLine(cir *circuit) {
	l.Unasked.Add(1)
	l.giveUp(cir, protocol.BadLine)
}

// ---- Ends.

// move sends a client away between two lines and ends both sides.
func (l *Loop) move(cir *circuit, how policy.Outcome) {
	if cir.open && cir.pair == nil {
		cir.away = true
		return
	}
	if cir.pair == nil || !cir.pair.End(protocol.MoveLine, how == policy.Reset) {
		return // its end is on its way
	}
	l.Moves.Add(1)
	l.after(lingerFor, cir.pair.Close)
	l.stoodEnded(cir, how)
}

// stoodEnded ends a circuit that stood; its connections are seen to.
func (l *Loop) stoodEnded(cir *circuit, how policy.Outcome) {
	l.log.Debug("stood", zap.Stringer("circuit", cir), zap.String("how", outcomes[how]),
		zap.String("server", cir.at.listedAs.UID))
	l.Ended[how].Add(1)
	id, try := cir.id, cir.tries-1
	l.forget(cir)
	l.bal.AttemptEnded(id, try, true, how)
}

// pairEnded takes the end of a circuit that stood; the relay has ended the other side in the same way.
func (l *Loop) pairEnded(cir *circuit, p *relay.Pair, by relay.Side, abrupt bool, why error) {
	if !abrupt {
		l.after(lingerFor, p.Close)
	}
	if l.circuits[cir.id] != cir {
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
	case p.Byed():
		how = policy.Succeeded
	case p.Moved():
		how = policy.Cancelled
	}
	l.stoodEnded(cir, how)
}

// broken takes the end of a client's connection that was not asked for here.
func (l *Loop) broken(c *conn, b *Broken) {
	cir := c.circuit
	if b.Cause != errEnded {
		l.Errors.Add(1)
		l.log.Info("connection broken", zap.Error(b))
		if cir != nil && l.circuits[cir.id] == cir && !cir.open {
			l.giveUp(cir, protocol.ErrLine) // it is still owed its answer
			return
		}
		c.abort()
	}
	c.over = true
	if cir == nil || l.circuits[cir.id] != cir {
		return
	}
	if !cir.open {
		l.Left.Add(1)
	}
	l.clientGone(cir, b)
}

// giveUp answers a circuit for a reason that the module does not know of.
func (l *Loop) giveUp(cir *circuit, last []byte) {
	l.BrokenOff.Add(1)
	l.conclude(cir, last)
}

// conclude ends a circuit with its final answer, whatever the module has under way for it.
func (l *Loop) conclude(cir *circuit, last []byte) {
	l.clientGone(cir, &Broken{})
	l.end(cir.client, last)
}

// clientGone ends the server's side of a circuit whose client has left.
func (l *Loop) clientGone(cir *circuit, b *Broken) {
	id, try, held := cir.id, cir.tries-1, cir.out || cir.open
	if !cir.open {
		l.bal.ClientDisconnected(id)
	}
	told := !cir.standing
	if h := cir.held; h != nil && !h.wrote {
		l.withdraw(cir)
	}
	l.forget(cir)
	cir.dropServer(b.Abrupt)
	if held && told {
		l.Ended[policy.Cancelled].Add(1)
		l.bal.AttemptEnded(id, try, true, policy.Cancelled)
	}
}

// ---- What messages take.

// silent has servers that were asked and say nothing lose their clients. A server that answers nothing for many message
// goals is no use to them, whatever is wrong with it. Guards against machines that vanish: their connections stay open
// and say nothing, and each second there is lost to each of their clients.
func (l *Loop) silent() {
	l.after(silentEach, l.silent)
	for _, p := range l.relays.Silent(l.silentFor()) {
		if cir := p.Data.(*circuit); l.circuits[cir.id] == cir {
			l.Silent.Add(1)
			l.move(cir, policy.Reset)
		}
	}
}

func (l *Loop) silentFor() time.Duration {
	if l.goal == 0 {
		return silentMost
	}
	return max(silentLeast, min(silentGoals*l.goal, silentMost))
}

// beat notes servers at which messages take long, once a beat while they do and once more when they no longer do. The middle of
// what the answers of the beat took is the figure; a line still without an answer counts with its age once that is long.
func (l *Loop) beat() {
	l.after(beat, l.beat)
	edge := l.goal / notedAbove
	took := l.relays.Gather(edge)
	if l.goal == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(took)) {
		sv, took := l.servers[policy.EndpointID(id)], took[id]
		if sv == nil || len(took) == 0 {
			continue
		}
		slices.Sort(took)
		middle := took[len(took)/2]
		if slow := middle > edge; slow || sv.noted {
			l.bal.RecordLatency(sv.id, middle)
			l.log.Debug("slow messages", zap.String("server", sv.listedAs.UID), zap.Duration("take", middle),
				zap.Int("of", len(took)))
			sv.noted = slow
		}
	}
}
