// Package hotrestart owns the link between the old and the new process of a hot restart: a Unix socket in a directory that
// both know, the messages on it, and the descriptors that accompany them. It never decides what is handed over or when, and
// it never closes a descriptor that the other process was not sent, unless that belongs to the caller again.
package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxSocketPath    = 107 // bytes, a limit of the kernel
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler is notified of what happens on links. It must not block.
type Handler interface {
	// Opened announces a link; nothing is received on it before Opened has returned.
	Opened(*Link)
	// Received delivers a message. The descriptors belong to the handler.
	Received(*Link, Message, []int)
	// Closed announces the end of a link, and why it ended; nothing is received on it afterwards.
	Closed(*Link, error)
}

// SocketPath returns the path of the socket by which the processes of the balancer of that name meet in dir.
func SocketPath(dir, name string) (string, error) {
	file := "sabletally-" + name + ".sock"
	path := filepath.Join(dir, file)
	switch {
	case dir == "":
		return "", errors.New("TMPDIR is not set")
	case filepath.Base(path) != file:
		return "", fmt.Errorf("%q can't be part of a file name", name)
	case len(path) > maxSocketPath:
		return "", fmt.Errorf("%s is longer than %d bytes, the limit for a socket's path", path, maxSocketPath)
	}
	return path, nil
}

// Dial connects to the old process. It returns nil and no error if there is none.
func Dial(path string, handler Handler) (*Link, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, unix.ECONNREFUSED) {
		return nil, nil // no process, or one that has ended and left its socket behind
	}
	if err != nil {
		return nil, err
	}
	return openLink(conn, handler)
}

// Listen opens the socket for the next process, in place of whatever file is there, for as long as this process lives.
func Listen(path string, handler Handler) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false) // the file may be another process's socket by then
	go acceptLinks(listener, handler)
	return nil
}

// acceptLinks opens a link for each connection until the listener is closed.
func acceptLinks(listener *net.UnixListener, handler Handler) {
	for {
		conn, err := listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors: the next process must still get through later
			time.Sleep(acceptRetryDelay)
			continue
		}
		_, _ = openLink(conn, handler) // a process of another user: it gets nothing
	}
}

// openLink checks the other process, announces the link and only then starts it.
func openLink(conn *net.UnixConn, handler Handler) (*Link, error) {
	if err := checkPeerUser(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetWriteBuffer(sendBufferSize) // a smaller buffer is slower, no more
	link := newLink(conn, handler)
	handler.Opened(link)
	go link.writeLoop()
	go link.readLoop()
	return link, nil
}

// checkPeerUser refuses a process of another user, which must not be given clients' connections.
func checkPeerUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	controlErr := raw.Control(func(fd uintptr) {
		peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if controlErr != nil {
		return controlErr
	}
	if err != nil {
		return err
	}
	if int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("the other process runs as user %d", peer.Uid)
	}
	return nil
}
