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

// Listener is the listening socket for clients. It can stop accepting while the socket stays open in another process. The connections
// in the socket's queue then belong to that process, so a stopped Listener accepts none of them.
type Listener struct {
	fd      int
	addr    net.Addr
	shared  bool // whether other processes have the socket too
	stopped atomic.Bool
}

// Listen opens a listener on the address that clients connect to.
func Listen(address string) (*Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = tcp.Close() }() // the duplicate stays open
	// netpoll gets a duplicate of the descriptor, as Go's runtime polls the original one.
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

// InheritListener returns a listener for the inherited socket with the given descriptor number. Other processes have the socket too.
func InheritListener(number string) (*Listener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < firstFreeDescriptor {
		return nil, fmt.Errorf("%q is not a valid descriptor number", number)
	}
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("read SO_ACCEPTCONN of descriptor %d: %w", fd, err)
	}
	if listens == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", fd)
	}
	address, err := unix.Getsockname(fd)
	if err != nil {
		return nil, fmt.Errorf("read the address of descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	relay.LimitSegmentSize(fd)
	listener := &Listener{fd: fd, addr: tcpAddr(address), shared: true}
	if listener.addr == nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, errNotTCP)
	}
	return listener, unix.SetNonblock(fd, true)
}

// Accept accepts a connection. If none is queued, it returns nil and no error. Once Shutdown has stopped the listener, it returns
// net.ErrClosed, after which netpoll does not poll the socket any more.
func (l *Listener) Accept() (net.Conn, error) {
	if l.stopped.Load() {
		return nil, net.ErrClosed
	}
	fd, remote, err := socket.Accept(l.fd)
	switch {
	case err == nil:
		return acceptedConn{fd: fd, local: l.addr, remote: tcpAddr(remote)}, nil
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		return nil, nil // another process has accepted the connection, or its client has disconnected
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

// acceptedConn is an accepted connection as netpoll expects it. netpoll calls only the methods below.
type acceptedConn struct {
	net.Conn
	fd     int
	local  net.Addr
	remote net.Addr
}

func (c acceptedConn) Fd() int              { return c.fd }
func (c acceptedConn) LocalAddr() net.Addr  { return c.local }
func (c acceptedConn) RemoteAddr() net.Addr { return c.remote }

// tcpAddr converts a socket address to a TCP address. It returns nil for address families other than IPv4 and IPv6.
func tcpAddr(address unix.Sockaddr) net.Addr {
	switch address := address.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: address.Addr[:], Port: address.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: address.Addr[:], Port: address.Port}
	}
	return nil
}
