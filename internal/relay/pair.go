package relay

import (
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
)

// Pair is the two connections of an established session.
type Pair struct {
	Data any // the caller's

	relay         *Relay
	serverID      uint64 // response times are collected by it
	conns         [2]*Conn
	ended         atomic.Pointer[ending] // nil until then
	completed     atomic.Bool
	moveRequested atomic.Bool
	// requestedAt is when the client's oldest line without an answer was forwarded, 0 if there is none; lastLineAt is when the server's
	// last line was. Both are on the relay's clock.
	requestedAt atomic.Int64
	lastLineAt  atomic.Int64
}

// ending is what there is left to do at a pair's end.
type ending struct {
	lastLine []byte // for the client, behind all other lines; empty for none
}

// Completed reports whether the server has said that the session is served completely.
func (p *Pair) Completed() bool { return p.completed.Load() }

// MoveRequested reports whether the server has sent the client away.
func (p *Pair) MoveRequested() bool { return p.moveRequested.Load() }

// Join makes a pair of a client's descriptor, which belongs to the relay from here on, and a server's connection that has sent its first
// line. firstLine goes to the client before all else. The pair's response times are collected under serverID. Nothing may be written to
// the server's connection any more. After an error the client is sent a failure and its connection ended.
func (r *Relay) Join(clientFD int, server *Conn, firstLine []byte, serverID uint64, data any) (*Pair, error) {
	_ = unix.SetNonblock(clientFD, true) // fails only on a closed descriptor, which register reports
	client := server.worker.adopt(clientFD)
	p := &Pair{relay: r, serverID: serverID, Data: data}
	p.conns[Client] = client
	p.conns[Server] = server
	p.lastLineAt.Store(int64(r.now()))
	client.side = Client
	client.pair.Store(p)
	err := client.register(0)
	if err == nil {
		err = server.joinPair(p)
	}
	if err != nil {
		p.end(nil)
		client.write(protocol.FailLine)
		client.finish(false)
		return nil, err
	}
	client.write(firstLine)
	server.forward(nil) // what it has said since
	client.startForwarding()
	server.startReading(client)
	server.worker.flushLoads()
	return p, nil
}

// joinPair makes a server's connection one of a pair.
func (c *Conn) joinPair(p *Pair) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.side = Server
	c.state = statePaired
	c.pair.Store(p)
	return nil
}

// startForwarding reads a client's connection from here on.
func (c *Conn) startForwarding() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.drain == nil {
		c.state = statePaired
	}
	c.setInterestLocked(unix.EPOLLIN, true)
}

// startReading reads a server's connection from here on, unless the client does not take what it has said.
func (c *Conn) startReading(client *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oneShot = false
	if !c.closed && !client.writeBlocked.Load() {
		c.setInterestLocked(unix.EPOLLIN, true)
	}
}

// end marks the pair as ended. False means that it had ended already. lastLine, if any, is written to the client before its end.
func (p *Pair) end(lastLine []byte) bool {
	return p.ended.CompareAndSwap(nil, &ending{lastLine: lastLine})
}

// Abort ends both sides with a reset. False means that the pair had ended already.
func (p *Pair) Abort() bool {
	if !p.end(nil) {
		return false
	}
	p.conns[Client].Abort()
	p.conns[Server].Abort()
	return true
}
