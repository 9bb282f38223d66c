package balancer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"sabletally/internal/relay"
	"sabletally/internal/socket"
)

var (
	errNotTCP   = errors.New("not a TCP socket")
	errNoClient = errors.New("no client's connection is queued")
)

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
	// The listener is a duplicate of the descriptor, as Go's runtime polls the original one.
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

// accept accepts a connection and returns its descriptor, or errNoClient if none is queued. Once Shutdown has stopped the listener, it
// returns net.ErrClosed.
func (l *Listener) accept() (fd int, err error) {
	if l.stopped.Load() {
		return -1, net.ErrClosed
	}
	fd, _, err = socket.Accept(l.fd)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		return -1, errNoClient // another process has accepted the connection, or its client has disconnected
	case err != nil:
		return -1, os.NewSyscallError("accept", err)
	}
	return fd, nil
}

// Shared reports whether other processes have the socket too.
func (l *Listener) Shared() bool { return l.shared }

// Addr returns the address that clients connect to.
func (l *Listener) Addr() net.Addr { return l.addr }

// Close closes this process's descriptor of the socket.
func (l *Listener) Close() error { return unix.Close(l.fd) }

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
