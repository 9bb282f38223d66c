// This file owns the door: the listener, and the connections that hold a descriptor without a circuit, silent
// ones and ended ones. It sheds them, the oldest first, before they take the room of servers, probes and
// discovery. It must never read a line; it hands each connection over before its first byte.

package balancer

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
)

const (
	firstWithin = 2500 * time.Millisecond // a client that sends no first line by then, from its accept on, is ended
	sweepEach   = 100 * time.Millisecond
	roomFds     = 4 // so-many-th of the descriptors from which on the door sheds
)

// door keeps the clients' connections that have no circuit. Its methods may be called by anyone.
type door struct {
	mu     sync.Mutex
	silent *list.List // of *guest: no whole first line yet, the longest silent first
	ended  *list.List // of *guest: answered and ended from here, the first ended first
	of     map[*conn]*list.Element
}

// guest is one of them.
type guest struct {
	conn  *conn
	in    *list.List
	since time.Time
}

func newDoor() *door {
	return &door{silent: list.New(), ended: list.New(), of: map[*conn]*list.Element{}}
}

// put has a connection stand last in a list.
func (d *door) put(c *conn, in *list.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(c)
	d.of[c] = in.PushBack(&guest{c, in, time.Now()})
}

// take removes a connection from its list; mu is held.
func (d *door) take(c *conn) {
	if e := d.of[c]; e != nil {
		e.Value.(*guest).in.Remove(e)
		delete(d.of, c)
	}
}

// left forgets a connection.
func (d *door) left(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(c)
}

// spoke notes a first line; after a question for readiness the wait for one begins anew.
func (d *door) spoke(c *conn, again bool) {
	if again {
		d.put(c, d.silent)
	} else {
		d.left(c)
	}
}

// shed takes out the connection to close next: ended with its last line written, or else silent with nothing of it
// still unread, as a usual client's line is here as soon as the client; who waits for the answer to a PING comes last.
func (d *door) shed() (c *conn, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var asks *conn
	for _, in := range []*list.List{d.ended, d.silent} {
		for e := in.Front(); e != nil; e = e.Next() {
			c := e.Value.(*guest).conn
			switch {
			case !c.written() || in == d.silent && c.unread():
			case in == d.silent && c.asks.Load():
				if asks == nil {
					asks = c
				}
			default:
				d.take(c)
				return c, in == d.silent
			}
		}
	}
	if asks != nil {
		d.take(asks)
	}
	return asks, true
}

// silentSince takes out the connections that have been silent since then or longer.
func (d *door) silentSince(then time.Time) []*conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*conn
	for e := d.silent.Front(); e != nil && !e.Value.(*guest).since.After(then); e = d.silent.Front() {
		all = append(all, e.Value.(*guest).conn)
		d.take(e.Value.(*guest).conn)
	}
	return all
}

// Gate is the clients' listening socket. It can stop accepting while the socket goes on in another process: what waits
// in the socket's queue is that one's, so it says that it is closed before it takes a connection off. Guards against
// clients whose connection nobody reads.
type Gate struct {
	fd     int
	addr   net.Addr
	shared bool
	shut   atomic.Bool
}

// Listen opens the clients' address.
func Listen(address string) (*Gate, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = ln.Close() }()
	g, fd := &Gate{addr: ln.Addr()}, 0
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		if e := raw.Control(func(at uintptr) { fd, err = unix.FcntlInt(at, unix.F_DUPFD_CLOEXEC, 3) }); e != nil {
			err = e
		}
	}
	g.fd = fd // no listener of the runtime's: it would be told of each connection as well
	return g, err
}

// Inherit takes the listening socket that the platform holds, which other processes have too: its descriptor's number.
func Inherit(number string) (*Gate, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd <= 2 {
		return nil, fmt.Errorf("%q is no descriptor", number)
	}
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	} else if on == 0 {
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	g := &Gate{fd: fd, addr: address(at), shared: true}
	if g.addr == nil {
		return nil, fmt.Errorf("descriptor %d is no socket of TCP", fd)
	}
	return g, unix.SetNonblock(fd, true)
}

func address(at unix.Sockaddr) net.Addr {
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	}
	return nil
}

// Accept takes a connection off the queue; nothing and no error if none is there.
func (g *Gate) Accept() (net.Conn, error) {
	if g.shut.Load() {
		return nil, net.ErrClosed // netpoll then looks at the socket no more
	}
	fd, at, err := unix.Accept4(g.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
		return accepted{fd: fd, local: g.addr, remote: address(at)}, nil
	case unix.EAGAIN, unix.EINTR, unix.ECONNABORTED:
		return nil, nil // another process has it, or its client has left
	}
	return nil, err
}

// Shared tells whether other processes have the socket too.
func (g *Gate) Shared() bool { return g.shared }

func (g *Gate) Fd() int        { return g.fd }
func (g *Gate) Addr() net.Addr { return g.addr }
func (g *Gate) Close() error   { return unix.Close(g.fd) }

// accepted is a client's connection on its way to netpoll, which uses no more of it than this.
type accepted struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (a accepted) Fd() int              { return a.fd }
func (a accepted) LocalAddr() net.Addr  { return a.local }
func (a accepted) RemoteAddr() net.Addr { return a.remote }

// Serve accepts clients until the listener fails; one that is shared only until this process leaves, which is no failure.
func (l *Loop) Serve(g *Gate) error {
	type key struct{}
	if g.shared {
		<-l.welcomed // guards against clients that come to this process while the old one still knows more
	}
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error {
			return ctx.Value(key{}).(*conn).onRequest(ctx, nc)
		},
		netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
			l.Accepted.Add(1)
			l.fds.Add(1)
			c := adopt(nc, l, &l.fds)
			c.door = l.door
			l.door.put(c, l.door.silent)
			l.makeRoom(c)
			return context.WithValue(context.Background(), key{}, c)
		}))
	if err != nil {
		return err
	}
	err = events.Serve(g)
	if g.shut.Load() {
		return nil
	}
	return err
}

// turnAway has the clients that are here without a line come again.
func (l *Loop) turnAway() {
	for _, c := range l.door.silentSince(time.Now()) {
		if c.circuit == nil && !c.over {
			l.end(c, protocol.Turned(l.comeAgain()))
		}
	}
}

// makeRoom keeps the descriptors of connections without a circuit within what the others leave. Guards against
// clients that connect by hundreds and say nothing: nothing could be accepted or dialed any more.
func (l *Loop) makeRoom(c *conn) {
	for l.fds.Load() > l.mostFds()-l.most/roomFds {
		old, silent := l.door.shed()
		if old == nil {
			break
		}
		l.Shed.Add(1)
		if silent {
			old.word(protocol.Turned(l.comeAgain()))
		}
		old.shut()
		runtime.Gosched() // the poller, which runs this, would go on accepting first
	}
	if l.fds.Load() > l.mostFds() { // nothing to shed: all are circuits
		l.NoRoom.Add(1)
		c.word(protocol.Turned(l.comeAgain()))
		c.close()
	}
}

// sweep ends silent clients whose time is up.
func (l *Loop) sweep() {
	l.after(sweepEach, l.sweep)
	for _, c := range l.door.silentSince(time.Now().Add(-firstWithin)) {
		switch {
		case c.circuit != nil || c.over:
		case c.pings > 0: // it waits for us
			l.door.put(c, l.door.silent)
		default:
			l.Late.Add(1)
			l.end(c, protocol.ErrLine)
		}
	}
}

// comeAgain is the advice of a nack for want of room.
func (l *Loop) comeAgain() time.Duration {
	if !l.dep.Policy.CanSendRetryAfter {
		return 0
	}
	return l.dep.Policy.MaxRetryAfter / 2
}
