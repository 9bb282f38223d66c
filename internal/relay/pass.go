// This file owns pairs on their way from one process to another: how one is taken out of its shard, and how it goes on.

package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

const passedMost = time.Hour // the clock of a new process begins so long ago: what was asked in an old one lies within it

// Passed is a pair without a process: two connections and what is on its way between them.
type Passed struct {
	Client, Server End
	Byed, Moved    bool
	AskedAgo       time.Duration // since the client's oldest line without an answer, 0 where there is none
	HeardAgo       time.Duration // since the server's last line
}

// End is one side of it.
type End struct {
	FD   int    `json:"-"`
	Held []byte // came from it and makes no whole line yet
	Out  []byte // waits to be written to it
}

// Take has a pair taken out, by the goroutine that passes its lines, so that none is lost or passed twice. Its descriptors
// are then the caller's. done is told of it there; false: it was over already, and the owner has been or will be told.
func (p *Pair) Take(done func(Passed, bool)) {
	p.side[Server].sh.do(func() {
		if !p.over.CompareAndSwap(false, true) {
			done(Passed{}, false)
			return
		}
		now := p.s.now()
		t := Passed{Byed: p.Byed(), Moved: p.Moved(), HeardAgo: now - time.Duration(p.heard.Load())}
		if asked := time.Duration(p.asked.Load()); asked > 0 {
			t.AskedAgo = max(now-asked, 1)
		}
		t.Client, t.Server = p.side[Client].takeOut(), p.side[Server].takeOut()
		done(t, true)
	})
}

// takeOut takes a side of a pair that is not over out of its shard and leaves its descriptor open.
func (c *Conn) takeOut() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := End{FD: c.fd, Held: c.held, Out: c.out[c.written:]}
	c.detach()
	c.held = nil
	return e
}

// Resume has a passed pair go on here; its descriptors are the relay's. The server is the one that times are told of.
func (s *Shards) Resume(t Passed, number uint64, data any) (*Pair, error) {
	sh := s.all[int(s.next.Add(1))%len(s.all)]
	p := &Pair{s: s, server: number, Data: data}
	p.byed.Store(t.Byed)
	p.moved.Store(t.Moved)
	p.heard.Store(int64(s.now() - min(t.HeardAgo, passedMost)))
	if t.AskedAgo > 0 {
		p.asked.Store(max(int64(s.now()-t.AskedAgo), 1))
	}
	for side, e := range [2]End{t.Client, t.Server} {
		_ = unix.SetNonblock(e.FD, true)
		c := s.adopt(sh, e.FD, resting, nil)
		c.mine, c.held = Side(side), e.Held
		p.side[side] = c
		c.pair.Store(p)
	}
	for _, c := range p.side {
		if err := c.register(0); err != nil {
			p.Abort()
			return nil, err
		}
	}
	p.side[Client].push(t.Client.Out)
	p.side[Server].push(t.Server.Out)
	for side, c := range p.side {
		c.mu.Lock()
		if !c.closed && !c.ending {
			c.state = paired
			c.want(unix.EPOLLIN, !p.side[1-side].stalled.Load())
		}
		c.mu.Unlock()
	}
	return p, nil
}
