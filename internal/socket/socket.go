// Package socket wraps the system calls that this program makes on connections to clients and servers. Tests can replace them with a
// Kernel whose calls fail in the ways that Linux documents. The package must never decide what an error means for a connection.
package socket

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Kernel makes the system calls. Its methods return plain errno values as errors.
type Kernel interface {
	Accept(listener int) (fd int, remote unix.Sockaddr, err error)
	Socket(family int) (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Read(fd int, p []byte) (n int, err error)
	Write(fd int, p []byte) (n int, err error)
	EpollWait(epfd int, events []unix.EpollEvent, timeoutMillis int) (n int, err error)
}

var kernel Kernel = linux{}

// SetKernel replaces the kernel. It must be called before any connection is opened.
func SetKernel(k Kernel) { kernel = k }

// Linux returns the default kernel, which makes the real system calls.
func Linux() Kernel { return linux{} }

// Accept takes a connection from a listening socket's queue, as a non-blocking descriptor.
func Accept(listener int) (fd int, remote unix.Sockaddr, err error) { return kernel.Accept(listener) }

// Socket opens a non-blocking TCP socket.
func Socket(family int) (fd int, err error) { return kernel.Socket(family) }

// Connect starts a connection. On a non-blocking socket it usually returns EINPROGRESS.
func Connect(fd int, to unix.Sockaddr) error { return kernel.Connect(fd, to) }

// Read reads the available input with one system call.
func Read(fd int, p []byte) (n int, err error) { return kernel.Read(fd, p) }

// Write writes as much of p as one system call accepts.
func Write(fd int, p []byte) (n int, err error) { return kernel.Write(fd, p) }

// WriteAvailable writes as much of p as the kernel accepts, in as many calls as needed. The error is the reason why the rest was not
// written.
func WriteAvailable(fd int, p []byte) (written int, err error) {
	for written < len(p) {
		n, err := Write(fd, p[written:])
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// EpollWait waits for events on an epoll set.
func EpollWait(epfd int, events []unix.EpollEvent, timeoutMillis int) (n int, err error) {
	return kernel.EpollWait(epfd, events, timeoutMillis)
}

// linux is the Kernel that makes the real system calls.
type linux struct{}

func (linux) Accept(listener int) (int, unix.Sockaddr, error) {
	return unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

func (linux) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

func (linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

func (linux) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

func (linux) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

func (linux) EpollWait(epfd int, events []unix.EpollEvent, timeoutMillis int) (int, error) {
	return unix.EpollWait(epfd, events, timeoutMillis)
}

// IsTemporary reports whether an error of a read or a write means that the kernel is short of memory. It says nothing about the
// connection, and the same call may succeed a little later.
func IsTemporary(err error) bool { return errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM) }
