// Package socket is where this program's own code calls the kernel on its clients' and servers' connections. Tests put another Kernel in
// place, whose calls fail as Linux documents. The package must never decide what an error means for a connection.
package socket

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Kernel makes the system calls. Its errors are plain errno values.
type Kernel interface {
	Accept(listener int) (fd int, remote unix.Sockaddr, err error)
	Socket(family int) (fd int, err error)
	Connect(fd int, to unix.Sockaddr) error
	Read(fd int, p []byte) (n int, err error)
	Write(fd int, p []byte) (n int, err error)
	EpollWait(epfd int, events []unix.EpollEvent, timeoutMillis int) (n int, err error)
}

var kernel Kernel = linux{}

// SetKernel replaces the kernel. It has to be called before any connection is opened.
func SetKernel(k Kernel) { kernel = k }

// Linux returns the kernel that is in use without a call of SetKernel.
func Linux() Kernel { return linux{} }

// Accept takes a connection off a listening socket's queue, as a non-blocking descriptor.
func Accept(listener int) (fd int, remote unix.Sockaddr, err error) { return kernel.Accept(listener) }

// Socket opens a non-blocking TCP socket.
func Socket(family int) (fd int, err error) { return kernel.Socket(family) }

// Connect begins a connection.
func Connect(fd int, to unix.Sockaddr) error { return kernel.Connect(fd, to) }

// Read reads what has arrived.
func Read(fd int, p []byte) (n int, err error) { return kernel.Read(fd, p) }

// Write writes once.
func Write(fd int, p []byte) (n int, err error) { return kernel.Write(fd, p) }

// WriteAvailable writes as much as is taken, in as many calls as that needs. The error tells why it is not all.
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

// EpollWait waits for events.
func EpollWait(epfd int, events []unix.EpollEvent, timeoutMillis int) (n int, err error) {
	return kernel.EpollWait(epfd, events, timeoutMillis)
}

// linux makes the calls of that name.
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

// IsTemporary reports whether an error of a read or a write says nothing of the connection: the kernel is short of memory for a moment,
// and the same call may succeed a little later.
func IsTemporary(err error) bool { return errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM) }
