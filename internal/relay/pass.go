// This file owns pairs on their way from one process to another: how one is taken out of its shard, and how it goes on.

package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

const maxDetachedAge = time.Hour // the clock of a new process begins so long ago: what was asked in an old one lies within it

// PairState is a pair without a process: two connections and what is on its way between them.
type PairState struct {
	Client        ConnState     `json:"Client"`
	Server        ConnState     `json:"Server"`
	Completed     bool          `json:"Byed"`
	MoveRequested bool          `json:"Moved"`
	RequestAge    time.Duration `json:"AskedAgo"` // since the client's oldest line without an answer, 0 where there is none
	LastLineAge   time.Duration `json:"HeardAgo"` // since the server's last line
}

// ConnState is one side of it.
type ConnState struct {
	FD        int    `json:"-"`
	Partial   []byte `json:"Held"` // came from it and makes no whole line yet
	Unwritten []byte `json:"Out"`  // waits to be written to it
}

// Detach has a pair taken out, by the goroutine that passes its lines, so that none is lost or passed twice. Its descriptors
// are then the caller's. done is told of it there; false: it was over already, and the owner has been or will be told.
func (p *Pair) Detach(done func(PairState, bool)) {
	p.conns[Server].worker.submit(func() {
		if !p.ended.CompareAndSwap(false, true) {
			done(PairState{}, false)
			return
		}
		now := p.relay.now()
		t := PairState{Completed: p.Completed(), MoveRequested: p.MoveRequested(), LastLineAge: now - time.Duration(p.lastLineAt.Load())}
		if asked := time.Duration(p.requestedAt.Load()); asked > 0 {
			t.RequestAge = max(now-asked, 1)
		}
		t.Client, t.Server = p.conns[Client].detachState(), p.conns[Server].detachState()
		done(t, true)
	})
}

// detachState takes a side of a pair that is not over out of its shard and leaves its descriptor open.
func (c *Conn) detachState() ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := ConnState{FD: c.fd, Partial: c.partial, Unwritten: c.writeBuffer[c.written:]}
	c.detachLocked()
	c.partial = nil
	return e
}

// Attach has a passed pair go on here; its descriptors are the relay's. The server is the one that times are told of.
func (s *Relay) Attach(t PairState, number uint64, data any) (*Pair, error) {
	sh := s.workers[int(s.next.Add(1))%len(s.workers)]
	p := &Pair{relay: s, serverID: number, Data: data}
	p.completed.Store(t.Completed)
	p.moveRequested.Store(t.MoveRequested)
	p.lastLineAt.Store(int64(s.now() - min(t.LastLineAge, maxDetachedAge)))
	if t.RequestAge > 0 {
		p.requestedAt.Store(max(int64(s.now()-t.RequestAge), 1))
	}
	for side, e := range [2]ConnState{t.Client, t.Server} {
		_ = unix.SetNonblock(e.FD, true)
		c := s.adopt(sh, e.FD, stateParked, nil)
		c.side, c.partial = Side(side), e.Partial
		p.conns[side] = c
		c.pair.Store(p)
	}
	for _, c := range p.conns {
		if err := c.register(0); err != nil {
			p.Abort()
			return nil, err
		}
	}
	p.conns[Client].write(t.Client.Unwritten)
	p.conns[Server].write(t.Server.Unwritten)
	for side, c := range p.conns {
		c.mu.Lock()
		if !c.closed && !c.closingWrite {
			c.state = statePaired
			c.setInterestLocked(unix.EPOLLIN, !p.conns[1-side].writeBlocked.Load())
		}
		c.mu.Unlock()
	}
	return p, nil
}
