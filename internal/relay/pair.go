package relay

import (
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
)

// Pair is the two connections of an established session.
type Pair struct {
	Data any // opaque value that belongs to the relay's user

	relay         *Relay
	serverID      uint64 // key under which response times are collected
	conns         [2]*Conn
	ended         atomic.Pointer[ending] // what remains to be done at the pair's end; nil while the pair is active
	completed     atomic.Bool
	moveRequested atomic.Bool
	// requestedAt is when the client's oldest unanswered line was forwarded, 0 if every line is answered. lastLineAt is when the server's
	// last line was forwarded. Both are times on the relay's clock.
	requestedAt atomic.Int64
	lastLineAt  atomic.Int64
}

// ending is what remains to be done when a pair has ended.
type ending struct {
	lastLine []byte // line that the client receives after all others; empty if there is none
}

// Completed reports whether the server has announced that the session is complete.
func (p *Pair) Completed() bool { return p.completed.Load() }

// MoveRequested reports whether the server has asked the client to migrate.
func (p *Pair) MoveRequested() bool { return p.moveRequested.Load() }

// Join makes a pair of a client's descriptor, which the relay owns from then on, and a server's connection that has sent its first line.
// firstLine is written to the client before anything else. The pair's response times are collected under serverID. The caller must not
// write to the server's connection afterwards. If Join fails, it sends the client an error line and ends the client's connection.
func (r *Relay) Join(clientFD int, server *Conn, firstLine []byte, serverID uint64, data any) (*Pair, error) {
	_ = unix.SetNonblock(clientFD, true) // the call fails only on a closed descriptor, which register reports
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
	server.forward(nil) // forwards the input that was buffered before the pair existed
	client.startForwarding()
	server.startReading(client)
	server.worker.flushLoads()
	return p, nil
}

// joinPair makes a server's connection part of a pair.
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

// startForwarding starts reading a client's connection and forwarding its lines.
func (c *Conn) startForwarding() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.drain == nil {
		c.state = statePaired
	}
	c.setInterestLocked(unix.EPOLLIN, true)
}

// startReading starts reading a server's connection, unless the client has not yet accepted what was forwarded to it.
func (c *Conn) startReading(client *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.oneShot = false
	if !c.closed && !client.writeBlocked.Load() {
		c.setInterestLocked(unix.EPOLLIN, true)
	}
}

// end marks the pair as ended and returns true, or returns false if it had already ended. lastLine, if not empty, is written to the
// client before its connection is ended.
func (p *Pair) end(lastLine []byte) bool {
	return p.ended.CompareAndSwap(nil, &ending{lastLine: lastLine})
}

// Abort ends both connections with a reset. It returns false if the pair had already ended.
func (p *Pair) Abort() bool {
	if !p.end(nil) {
		return false
	}
	p.conns[Client].Abort()
	p.conns[Server].Abort()
	return true
}
