package balancer

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"sabletally/internal/relay"
	"sabletally/internal/socket"
)

var errNotTCP = errors.New("not a TCP socket")

// Listener is the clients' listening socket. It can stop accepting while the socket stays open in another process: what waits in
// the socket's queue then is that process's, so a stopped Listener takes no connection off the queue.
type Listener struct {
	fd      int
	addr    net.Addr
	shared  bool
	stopped atomic.Bool
}

// Listen opens the clients' address.
func Listen(address string) (*Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = tcp.Close() }() // the duplicate goes on
	// A duplicate, as Go's runtime would poll its own listener as well.
	raw, err := tcp.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	listener := &Listener{addr: tcp.Addr()}
	controlErr := raw.Control(func(fd uintptr) {
		listener.fd, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, firstFreeDescriptor)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	if err != nil {
		return nil, err
	}
	relay.LimitSegmentSize(listener.fd)
	return listener, nil
}

// InheritListener takes the listening socket whose descriptor has this number. Other processes have it too.
func InheritListener(number string) (*Listener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < firstFreeDescriptor {
		return nil, fmt.Errorf("%q is no descriptor", number)
	}
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if listens == 0 {
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	address, err := unix.Getsockname(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	relay.LimitSegmentSize(fd)
	listener := &Listener{fd: fd, addr: tcpAddr(address), shared: true}
	if listener.addr == nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, errNotTCP)
	}
	return listener, unix.SetNonblock(fd, true)
}

// Accept takes a connection off the queue; nil and no error if none waits. After Shutdown it returns net.ErrClosed, upon which
// netpoll no longer polls the socket.
func (l *Listener) Accept() (net.Conn, error) {
	if l.stopped.Load() {
		return nil, net.ErrClosed
	}
	fd, remote, err := socket.Accept(l.fd)
	switch {
	case err == nil:
		return acceptedConn{fd: fd, local: l.addr, remote: tcpAddr(remote)}, nil
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		return nil, nil // another process has it, or its client has left
	}
	return nil, err
}

// Shared reports whether other processes have the socket too.
func (l *Listener) Shared() bool { return l.shared }

// Fd returns the socket's descriptor.
func (l *Listener) Fd() int { return l.fd }

// Addr returns the address that clients connect to.
func (l *Listener) Addr() net.Addr { return l.addr }

// Close closes this process's descriptor of the socket.
func (l *Listener) Close() error { return unix.Close(l.fd) }

// acceptedConn is an accepted connection as netpoll takes it over: it calls these methods alone.
type acceptedConn struct {
	net.Conn
	fd     int
	local  net.Addr
	remote net.Addr
}

func (c acceptedConn) Fd() int              { return c.fd }
func (c acceptedConn) LocalAddr() net.Addr  { return c.local }
func (c acceptedConn) RemoteAddr() net.Addr { return c.remote }

// tcpAddr converts a socket's address; nil for other families.
func tcpAddr(address unix.Sockaddr) net.Addr {
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: address.Addr[:], Port: address.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: address.Addr[:], Port: address.Port}
	}
	return nil
}
