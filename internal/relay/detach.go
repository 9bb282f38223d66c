package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxDetachedAge bounds the ages in a PairState. The relay's clock starts this far in the past, so that such an age is a valid time on
// it.
const maxDetachedAge = time.Hour

// PairState is the state of a pair that is passed from one process to another. The JSON names are part of the wire format.
type PairState struct {
	Client        ConnState     `json:"Client"`
	Server        ConnState     `json:"Server"`
	Completed     bool          `json:"Byed"`
	MoveRequested bool          `json:"Moved"`
	RequestAge    time.Duration `json:"AskedAgo"` // age of the client's oldest unanswered line, 0 if every line is answered
	LastLineAge   time.Duration `json:"HeardAgo"` // age of the server's last line
}

// ConnState is the state of one connection of a pair.
type ConnState struct {
	FD        int    `json:"-"`
	Partial   []byte `json:"Held"` // received input that is not a complete line yet
	Unwritten []byte `json:"Out"`  // data that is waiting to be written
}

// Detach removes a pair from the relay, on the goroutine that forwards its lines, so that no line is lost or forwarded twice. It calls
// done on that goroutine, either with the pair's state, whose descriptors then belong to the caller, or with detached set to false if the
// pair has already ended. In that case the handler's PairEnded has been or will be called.
func (p *Pair) Detach(done func(state PairState, detached bool)) {
	p.conns[Server].worker.submit(func() {
		if p.isBroken() || !p.end(nil) {
			done(PairState{}, false)
			return
		}
		done(p.detachState(), true)
	})
}

// isBroken reports whether a write to either side has failed permanently, so that the pair is about to end.
func (p *Pair) isBroken() bool {
	return p.conns[Client].writeError() != nil || p.conns[Server].writeError() != nil
}

func (p *Pair) detachState() PairState {
	now := p.relay.now()
	state := PairState{
		Completed:     p.Completed(),
		MoveRequested: p.MoveRequested(),
		LastLineAge:   now - time.Duration(p.lastLineAt.Load()),
	}
	if requestedAt := time.Duration(p.requestedAt.Load()); requestedAt > 0 {
		state.RequestAge = max(now-requestedAt, 1)
	}
	state.Client = p.conns[Client].detachState()
	state.Server = p.conns[Server].detachState()
	return state
}

// detachState removes a connection from its worker, leaves its descriptor open and returns its state.
func (c *Conn) detachState() ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := ConnState{
		FD:        c.fd,
		Partial:   c.partial,
		Unwritten: c.writeBuffer[c.writeOffset:],
	}
	c.detachLocked()
	c.partial = nil
	return state
}

// Attach continues a pair that another process has detached. The relay owns its descriptors from then on and closes them if Attach fails.
// The pair's response times are collected under serverID.
func (r *Relay) Attach(state PairState, serverID uint64, data any) (*Pair, error) {
	w := r.nextWorker()
	p := &Pair{relay: r, serverID: serverID, Data: data}
	p.completed.Store(state.Completed)
	p.moveRequested.Store(state.MoveRequested)
	p.lastLineAt.Store(int64(r.now() - min(state.LastLineAge, maxDetachedAge)))
	if state.RequestAge > 0 {
		p.requestedAt.Store(max(int64(r.now()-state.RequestAge), 1))
	}
	states := [2]ConnState{Client: state.Client, Server: state.Server}
	for side, connState := range states {
		_ = unix.SetNonblock(connState.FD, true) // the call fails only on a closed descriptor, which register reports
		c := w.adopt(connState.FD)
		c.side = Side(side)
		c.partial = connState.Partial
		p.conns[side] = c
		c.pair.Store(p)
	}
	for _, c := range p.conns {
		if err := c.register(0); err != nil {
			p.Abort()
			return nil, err
		}
	}
	for side, c := range p.conns {
		c.write(states[side].Unwritten)
	}
	for _, c := range p.conns {
		c.resumeForwarding(p.conns[c.side.other()])
	}
	return p, nil
}

// resumeForwarding starts reading an attached connection, unless the other side does not accept more.
func (c *Conn) resumeForwarding(other *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.drain == nil {
		c.state = statePaired
		c.setInterestLocked(unix.EPOLLIN, !other.writeBlocked.Load())
	}
}
