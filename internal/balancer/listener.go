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
	firstLineTimeout = 2500 * time.Millisecond // a client that sends no first line by then, from its accept on, is ended
	expireInterval   = 100 * time.Millisecond
	evictionReserve  = 4 // so-many-th of the descriptors from which on the door sheds
)

// idleConns keeps the clients' connections that have no circuit. Its methods may be called by anyone.
type idleConns struct {
	mu       sync.Mutex
	silent   *list.List // of *guest: no whole first line yet, the longest silent first
	ended    *list.List // of *guest: answered and ended from here, the first ended first
	elements map[*conn]*list.Element
}

// idleConn is one of them.
type idleConn struct {
	conn  *conn
	list  *list.List
	since time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{silent: list.New(), ended: list.New(), elements: map[*conn]*list.Element{}}
}

// add has a connection stand last in a list.
func (d *idleConns) add(c *conn, in *list.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLocked(c)
	d.elements[c] = in.PushBack(&idleConn{c, in, time.Now()})
}

// removeLocked removes a connection from its list; mu is held.
func (d *idleConns) removeLocked(c *conn) {
	if e := d.elements[c]; e != nil {
		e.Value.(*idleConn).list.Remove(e)
		delete(d.elements, c)
	}
}

// remove forgets a connection.
func (d *idleConns) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLocked(c)
}

// lineReceived notes a first line; after a question for readiness the wait for one begins anew.
func (d *idleConns) lineReceived(c *conn, again bool) {
	if again {
		d.add(c, d.silent)
	} else {
		d.remove(c)
	}
}

// evict takes out the connection to close next: ended with its last line written, or else silent with nothing of it
// still unread, as a usual client's line is here as soon as the client; who waits for the answer to a PING comes last.
func (d *idleConns) evict() (c *conn, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var asks *conn
	for _, in := range []*list.List{d.ended, d.silent} {
		for e := in.Front(); e != nil; e = e.Next() {
			c := e.Value.(*idleConn).conn
			switch {
			case !c.isFlushed() || in == d.silent && c.hasUnreadBytes():
			case in == d.silent && c.awaitsPong.Load():
				if asks == nil {
					asks = c
				}
			default:
				d.removeLocked(c)
				return c, in == d.silent
			}
		}
	}
	if asks != nil {
		d.removeLocked(asks)
	}
	return asks, true
}

// takeSilentSince takes out the connections that have been silent since then or longer.
func (d *idleConns) takeSilentSince(then time.Time) []*conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*conn
	for e := d.silent.Front(); e != nil && !e.Value.(*idleConn).since.After(then); e = d.silent.Front() {
		all = append(all, e.Value.(*idleConn).conn)
		d.removeLocked(e.Value.(*idleConn).conn)
	}
	return all
}

// Listener is the clients' listening socket. It can stop accepting while the socket goes on in another process: what waits
// in the socket's queue is that one's, so it says that it is closed before it takes a connection off. Guards against
// clients whose connection nobody reads.
type Listener struct {
	fd      int
	addr    net.Addr
	shared  bool
	stopped atomic.Bool
}

// Listen opens the clients' address.
func Listen(address string) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = ln.Close() }()
	g, fd := &Listener{addr: ln.Addr()}, 0
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		if e := raw.Control(func(at uintptr) { fd, err = unix.FcntlInt(at, unix.F_DUPFD_CLOEXEC, 3) }); e != nil {
			err = e
		}
	}
	g.fd = fd // no listener of the runtime's: it would be told of each connection as well
	return g, err
}

// InheritListener takes the listening socket that the platform holds, which other processes have too: its descriptor's number.
func InheritListener(number string) (*Listener, error) {
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
	g := &Listener{fd: fd, addr: tcpAddr(at), shared: true}
	if g.addr == nil {
		return nil, fmt.Errorf("descriptor %d is no socket of TCP", fd)
	}
	return g, unix.SetNonblock(fd, true)
}

func tcpAddr(at unix.Sockaddr) net.Addr {
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: at.Addr[:], Port: at.Port}
	}
	return nil
}

// Accept takes a connection off the queue; nothing and no error if none is there.
func (g *Listener) Accept() (net.Conn, error) {
	if g.stopped.Load() {
		return nil, net.ErrClosed // netpoll then looks at the socket no more
	}
	fd, at, err := unix.Accept4(g.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
		return acceptedConn{fd: fd, local: g.addr, remote: tcpAddr(at)}, nil
	case unix.EAGAIN, unix.EINTR, unix.ECONNABORTED:
		return nil, nil // another process has it, or its client has left
	}
	return nil, err
}

// Shared tells whether other processes have the socket too.
func (g *Listener) Shared() bool { return g.shared }

func (g *Listener) Fd() int        { return g.fd }
func (g *Listener) Addr() net.Addr { return g.addr }
func (g *Listener) Close() error   { return unix.Close(g.fd) }

// acceptedConn is a client's connection on its way to netpoll, which uses no more of it than this.
type acceptedConn struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (a acceptedConn) Fd() int              { return a.fd }
func (a acceptedConn) LocalAddr() net.Addr  { return a.local }
func (a acceptedConn) RemoteAddr() net.Addr { return a.remote }

// Serve accepts clients until the listener fails; one that is shared only until this process leaves, which is no failure.
func (l *Loop) Serve(g *Listener) error {
	type key struct{}
	if g.shared {
		<-l.becameReady // guards against clients that come to this process while the old one still knows more
	}
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error {
			return ctx.Value(key{}).(*conn).onReadable(ctx, nc)
		},
		netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
			l.Accepted.Add(1)
			l.descriptors.Add(1)
			c := newConn(nc, l, &l.descriptors)
			c.idle = l.idle
			l.idle.add(c, l.idle.silent)
			l.evictIdle(c)
			return context.WithValue(context.Background(), key{}, c)
		}))
	if err != nil {
		return err
	}
	err = events.Serve(g)
	if g.stopped.Load() {
		return nil
	}
	return err
}

// rejectSilent has the clients that are here without a line come again.
func (l *Loop) rejectSilent() {
	for _, c := range l.idle.takeSilentSince(time.Now()) {
		if c.session == nil && !c.finished {
			l.closeWithLine(c, protocol.Turned(l.retryAfter()))
		}
	}
}

// evictIdle keeps the descriptors of connections without a circuit within what the others leave. Guards against
// clients that connect by hundreds and say nothing: nothing could be accepted or dialed any more.
func (l *Loop) evictIdle(c *conn) {
	for l.descriptors.Load() > l.availableDescriptors()-l.descriptorLimit/evictionReserve {
		old, silent := l.idle.evict()
		if old == nil {
			break
		}
		l.Evicted.Add(1)
		if silent {
			old.writeUnbuffered(protocol.Turned(l.retryAfter()))
		}
		old.closeAsync()
		runtime.Gosched() // the poller, which runs this, would go on accepting first
	}
	if l.descriptors.Load() > l.availableDescriptors() { // nothing to shed: all are circuits
		l.DescriptorShortages.Add(1)
		c.writeUnbuffered(protocol.Turned(l.retryAfter()))
		c.close()
	}
}

// expireSilent ends silent clients whose time is up.
func (l *Loop) expireSilent() {
	l.after(expireInterval, l.expireSilent)
	for _, c := range l.idle.takeSilentSince(time.Now().Add(-firstLineTimeout)) {
		switch {
		case c.session != nil || c.finished:
		case c.unansweredPings > 0: // it waits for us
			l.idle.add(c, l.idle.silent)
		default:
			l.FirstLineTimeouts.Add(1)
			l.closeWithLine(c, protocol.ErrLine)
		}
	}
}

// retryAfter is the advice of a nack for want of room.
func (l *Loop) retryAfter() time.Duration {
	if !l.deployment.Policy.CanSendRetryAfter {
		return 0
	}
	return l.deployment.Policy.MaxRetryAfter / 2
}
