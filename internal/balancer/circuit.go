// This file owns the life of a circuit on sockets: its first line, its setup tries, the lines that pass both
// ways, its one final answer and its end. It runs in the loop alone. It must never choose a server, a wait or
// a moment: it tells the module what happened and does what the module decided.

package balancer

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/line"
	"sabletally/policy"
)

const (
	answerEarly = 10 * time.Millisecond  // so much before its outer limit a circuit is answered at the latest
	silentFor   = 5 * time.Second        // a server that was asked and sends nothing for so long is gone
	standWithin = 38 * time.Second       // a circuit that was open before the run is up by then, or lost
	standPause  = 300 * time.Millisecond // between its tries
	lingerFor   = time.Second            // a finished connection that the other side does not end is closed then
	beat        = time.Second            // slow messages of a server are noted so often
	notedAbove  = 3                      // where they take over so-many-th of the shortest message goal
	connectMost = time.Second            // a connection is up by then where no limit is told
)

// circuit is one circuit, from its first line to its end.
type circuit struct {
	id       policy.CircuitID
	ask      *line.Ask
	client   *conn
	server   *conn   // of the newest try, once its connection stands
	at       *server // of the newest try
	arrival  policy.Arrival
	until    time.Duration // the client's outer limit, by the loop's clock
	tries    int           // made; the newest has this number less one
	turn     int           // counts tries and their ends, so that what comes late is known as such
	out      bool          // a try is out
	open     bool          // it stands
	standing bool          // it was open before the run and goes to its server without the module
	calledAt time.Duration // when the newest try was decided
	giveUp   time.Duration // when it is given up
	cancel   context.CancelFunc
	byed     bool          // the server has said that it is served to its end
	moved    bool          // the server sends the client away
	askedAt  time.Duration // of the oldest client line without an answer; 0 if there is none
	heardAt  time.Duration // of the newest line of the server
	watched  bool          // a timer minds its silence
}

// firstLine takes a client's first line.
func (l *Loop) firstLine(c *conn, ln line.Line) {
	switch {
	case ln.Bad == nil && ln.Kind == line.Ping:
		if l.ready {
			c.send(line.PongLine)
		} else if c.pings++; c.pings == 1 {
			l.pinged = append(l.pinged, c)
		}
	case ln.Bad == nil && ln.Kind == line.Open:
		l.take(c, ln.Ask)
	default:
		if ln.Bad != nil {
			l.log.Info("bad line", zap.Error(ln.Bad))
		}
		if ln.Bad == line.ErrUnasked {
			l.Unasked.Add(1)
		}
		l.Malformed.Add(1)
		l.end(c, line.BadLine)
	}
}

// take takes a circuit, which is owed one final answer from here on.
func (l *Loop) take(c *conn, a *line.Ask) {
	l.Taken.Add(1)
	grade, known := l.dep.Grades[a.Grade]
	// Guards against judging servers by what they turn away with reason: clients that tell neither grade nor limit
	// had them set aside.
	if !known || !a.Limited {
		l.Malformed.Add(1)
		l.end(c, line.BadLine)
		return
	}
	if l.fds.Load() >= l.most-l.most/spareFds { // none left for the server's side
		l.NoRoom.Add(1)
		l.Nacked.Add(1)
		l.end(c, line.Turned(l.comeAgain()))
		return
	}
	if l.byAsk[a.ID] != nil { // another client's, which stands or waits
		l.SameID.Add(1)
		l.end(c, line.BadLine)
		return
	}
	tenant, known := l.dep.Tenants[a.Tenant]
	if !known {
		tenant = len(l.dep.Tenants)
	}
	left := a.Left - c.quietFor() - answerEarly
	l.last++
	cir := &circuit{id: l.last, ask: a, client: c, until: l.now + left, arrival: policy.Arrival{
		ID: l.last, Key: a.Key, Group: a.Group, Tenant: tenant, Grade: grade, Left: left, Load: a.Hint,
	}}
	c.circuit = cir
	l.circuits[cir.id], l.byAsk[a.ID] = cir, cir
	if a.At != "" {
		cir.standing = true
		cir.until = max(cir.until, l.now+standWithin)
		l.stand(cir)
		return
	}
	l.bal.CircuitArrived(cir.arrival)
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

// answer gives a circuit its final answer.
func (l *Loop) answer(cir *circuit, last []byte) {
	if !cir.open {
		l.log.Debug("not served", zap.Stringer("circuit", cir), zap.ByteString("answer", last), zap.Int("tries", cir.tries),
			zap.Duration("left", cir.until-l.now))
	}
	l.forget(cir)
	l.end(cir.client, last)
}

// dropServer closes the connection of the newest try, before any next one is sent.
func (cir *circuit) dropServer(abrupt bool) {
	if cir.cancel != nil {
		cir.cancel()
		cir.cancel = nil
	}
	if s := cir.server; s != nil {
		cir.server = nil
		if s.over = true; abrupt {
			s.abort()
		} else {
			s.close()
		}
	}
}

// ---- Setup tries.

// try starts a setup try.
func (l *Loop) try(cir *circuit, id policy.ServerID, wait time.Duration) {
	l.Tries.Add(1)
	cir.tries++
	cir.out, cir.calledAt, cir.giveUp = true, l.now, l.now+wait
	l.call(cir, l.servers[id])
}

// call dials a circuit's server beside the loop.
func (l *Loop) call(cir *circuit, sv *server) {
	cir.turn++
	cir.at = sv
	turn, within := cir.turn, cir.giveUp-l.now
	l.after(within, func() {
		if cir.turn == turn && cir.out {
			l.tryEnded(cir, policy.TimedOut, nil)
		}
	})
	if limit := l.dep.ConnectWithin; limit > 0 {
		within = min(within, limit)
	} else {
		within = min(within, connectMost)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cir.cancel = cancel
	address := sv.address
	go func() {
		c, err := dial(ctx, address, within, l, &l.fds)
		l.post(event{do: func() { l.dialed(cir, turn, c, err) }})
	}()
}

// dialed sends the circuit's line on a connection that has come up, if the try is still wanted.
func (l *Loop) dialed(cir *circuit, turn int, c *conn, err error) {
	if cir.turn != turn || !cir.out {
		if c != nil {
			c.over = true
			c.close()
		}
		return
	}
	cir.cancel()
	cir.cancel = nil
	switch {
	case err != nil && (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)):
		l.NoRoom.Add(1)
		l.tryEnded(cir, policy.NeverSent, err)
	case err != nil:
		l.tryEnded(cir, policy.ConnectFailed, err)
	case cir.at.state != policy.Ready && !cir.standing:
		// Guards against a first byte after the drain grace: the list has changed while the dial was out.
		c.over = true
		c.close()
		l.tryEnded(cir, policy.NeverSent, nil)
	case c.gone != nil:
		c.over = true
		c.close()
		l.tryEnded(cir, policy.ConnectFailed, c.gone)
	default:
		c.circuit, cir.server = cir, c
		for _, ln := range c.early { // a server that turns all away may say so unasked
			if !c.over {
				l.serverLine(cir, ln)
			}
		}
		if !c.over {
			c.send(cir.ask.Onward(cir.giveUp - l.now))
		}
	}
}

// tryEnded ends a setup try that did not come to stand: its connection is closed before the module hears.
func (l *Loop) tryEnded(cir *circuit, how policy.Outcome, why error) {
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
	l.bal.TryEnded(cir.id, cir.tries-1, false, how)
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
		l.answer(cir, line.ErrLine)
		return
	}
	l.after(standPause, func() { l.stand(cir) })
}

// ---- Lines.

// serverLine takes a line of the circuit's server.
func (l *Loop) serverLine(cir *circuit, ln line.Line) {
	if !cir.open {
		l.verdict(cir, ln)
		return
	}
	if ln.Bad == line.ErrTooLong {
		l.broken(cir.server, &Broken{Stage: Asked, Abrupt: true, Cause: ln.Bad})
		return
	}
	cir.heardAt = l.now
	switch ln.Kind {
	case line.Load:
		if ln.Bad == nil {
			l.bal.LoadNoted(cir.id, max(cir.tries-1, 0), ln.Figure)
		}
	case line.Bye:
		cir.byed = true
	case line.Move:
		cir.moved = true
	default:
		if cir.askedAt > 0 {
			cir.at.took = append(cir.at.took, l.now-cir.askedAt)
			cir.askedAt = 0
		}
	}
	l.relay(cir.client, ln.Raw, cir)
}

// verdict takes the line that answers a setup try.
func (l *Loop) verdict(cir *circuit, ln line.Line) {
	switch {
	case ln.Bad != nil && ln.Kind != line.Busy:
		l.tryEnded(cir, policy.Failed, ln.Bad)
	case ln.Kind == line.Up:
		l.stands(cir, ln)
	case ln.Kind == line.Busy:
		l.tryEnded(cir, policy.TurnedAway, nil)
	case ln.Kind == line.Load:
		l.bal.LoadNoted(cir.id, max(cir.tries-1, 0), ln.Figure)
	case ln.Kind == line.Move:
		l.tryEnded(cir, policy.Cancelled, nil)
	case ln.Kind == line.Bye: // served to its end before it stood
		id, try, client := cir.id, cir.tries-1, cir.client
		l.Ended[policy.Succeeded].Add(1)
		l.Served.Add(1)
		l.forget(cir)
		cir.dropServer(false)
		if !cir.standing {
			l.bal.TryEnded(id, try, true, policy.Succeeded)
		}
		l.end(client, ln.Raw)
	default:
		l.tryEnded(cir, policy.Failed, nil)
	}
}

// stands tells that a circuit has come to stand.
func (l *Loop) stands(cir *circuit, ln line.Line) {
	cir.turn++
	cir.out, cir.open, cir.heardAt = false, true, l.now
	l.open++
	l.Open.Store(int64(l.open))
	l.Served.Add(1)
	if cir.standing {
		cir.standing, cir.tries = false, 1
		l.bal.HandedOver(cir.arrival, cir.at.id)
	} else {
		l.bal.SetUp(cir.id, cir.tries-1, l.now-cir.calledAt)
	}
	cir.client.phase.Store(passing)
	l.relay(cir.client, ln.Raw, cir)
}

// clientLine takes a client's line after its first.
func (l *Loop) clientLine(cir *circuit, ln line.Line) {
	if !cir.open { // it has to wait for its answer: no usual client
		l.Unasked.Add(1)
		l.giveUp(cir, line.BadLine)
		return
	}
	if ln.Bad == line.ErrTooLong || ln.Bad == line.ErrBareLF {
		l.broken(cir.client, &Broken{Stage: Asked, Abrupt: true, Cause: ln.Bad})
		return
	}
	l.asked(cir)
	l.relay(cir.server, ln.Raw, cir)
}

// relay passes a line on; a reader too slow for its buffer breaks the circuit.
func (l *Loop) relay(to *conn, raw []byte, cir *circuit) {
	l.Relayed.Add(1)
	if to != nil && !to.send(raw) {
		l.broken(to, &Broken{Stage: Asked, Abrupt: true, Cause: errSlow})
	}
}

// asked notes that the server owes an answer, and has its silence minded.
func (l *Loop) asked(cir *circuit) {
	if cir.askedAt == 0 {
		cir.askedAt = l.now
	}
	if !cir.watched {
		cir.watched = true
		l.after(silentFor, func() { l.mind(cir) })
	}
}

// mind moves a client whose server was asked and has been silent since. Guards against machines that vanish:
// their connections stay open and say nothing.
func (l *Loop) mind(cir *circuit) {
	cir.watched = false
	if !cir.open || cir.askedAt == 0 {
		return
	}
	if left := max(cir.askedAt, cir.heardAt) + silentFor - l.now; left > 0 {
		cir.watched = true
		l.after(left, func() { l.mind(cir) })
		return
	}
	l.Silent.Add(1)
	l.move(cir, policy.Reset)
}

// ---- Ends.

// move sends a client away between two lines and ends both sides.
func (l *Loop) move(cir *circuit, how policy.Outcome) {
	l.Moves.Add(1)
	l.Ended[how].Add(1)
	id, try := cir.id, cir.tries-1
	l.answer(cir, line.MoveLine)
	cir.dropServer(how == policy.Reset)
	l.bal.TryEnded(id, try, true, how)
}

// broken takes the end of a connection that was not asked for here, and ends the other side in the same way.
func (l *Loop) broken(c *conn, b *Broken) {
	cir := c.circuit
	if b.Cause != errEnded {
		l.Errors.Add(1)
		l.log.Info("connection broken", zap.Error(b))
		if cir != nil && c == cir.client && l.circuits[cir.id] == cir && !cir.open {
			l.giveUp(cir, line.ErrLine) // it is still owed its answer
			return
		}
		c.abort()
	}
	c.over = true
	switch {
	case c.probe != nil:
		l.probed(c.probe, policy.Reset, nil)
	case cir == nil || l.circuits[cir.id] != cir:
	case c == cir.client:
		if !cir.open {
			l.Left.Add(1)
		}
		l.clientGone(cir, b)
	case c == cir.server && cir.open:
		how := policy.Reset
		if cir.byed {
			how = policy.Succeeded
		} else if cir.moved {
			how = policy.Cancelled
		}
		l.Ended[how].Add(1)
		id, try := cir.id, cir.tries-1
		l.forget(cir)
		cir.server = nil
		l.bal.TryEnded(id, try, true, how)
		if b.Abrupt {
			cir.client.over = true
			cir.client.abort()
		} else {
			l.finish(cir.client)
		}
	case c == cir.server:
		how := policy.Reset
		if b.Stage < Asked {
			how = policy.ConnectFailed
		}
		l.tryEnded(cir, how, b)
	}
}

// giveUp answers a circuit for a reason that the module does not know of.
func (l *Loop) giveUp(cir *circuit, last []byte) {
	l.BrokenOff.Add(1)
	l.clientGone(cir, &Broken{})
	l.end(cir.client, last)
}

// clientGone ends the server's side of a circuit whose client has left.
func (l *Loop) clientGone(cir *circuit, b *Broken) {
	id, try, held := cir.id, cir.tries-1, cir.out || cir.open
	if !cir.open {
		l.bal.ClientLeft(id)
	}
	told := !cir.standing
	l.forget(cir)
	cir.dropServer(b.Abrupt)
	if held && told {
		l.Ended[policy.Cancelled].Add(1)
		l.bal.TryEnded(id, try, true, policy.Cancelled)
	}
}

// ---- What messages take.

// beat notes servers at which messages take long: once a beat while they do, and once more when they no
// longer do. The middle of what the answers of the beat took is the figure; a line still without an answer
// counts with its age once that is long.
func (l *Loop) beat() {
	l.after(beat, l.beat)
	if l.goal == 0 {
		return
	}
	edge := l.goal / notedAbove
	for _, cir := range l.circuits {
		if cir.open && cir.askedAt > 0 && l.now-cir.askedAt > edge {
			cir.at.took = append(cir.at.took, l.now-cir.askedAt)
		}
	}
	ids := make([]policy.ServerID, 0, len(l.servers))
	for id, sv := range l.servers {
		if len(sv.took) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		sv := l.servers[id]
		slices.Sort(sv.took)
		middle := sv.took[len(sv.took)/2]
		if slow := middle > edge; slow || sv.noted {
			l.bal.DelayNoted(id, middle)
			l.log.Debug("slow messages", zap.String("server", sv.listedAs.UID), zap.Duration("take", middle),
				zap.Int("of", len(sv.took)))
			sv.noted = slow
		}
		sv.took = sv.took[:0]
	}
}
