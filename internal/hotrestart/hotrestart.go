// Package hotrestart owns the link between the old and the new process of a hot restart: a Unix socket in a directory that both know, the
// messages on it, and the file descriptors that accompany them. It never decides what is handed over or when. A descriptor whose message
// was not sent returns to the caller, and is not closed here.
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
	maxSocketPath    = 107                   // longest path of a Unix socket that the kernel accepts, in bytes
	acceptRetryDelay = 50 * time.Millisecond // time between two attempts to accept a link
)

// Handler is notified of the events of links. It must not block.
type Handler interface {
	// Opened announces a link. Nothing is received on the link before Opened returns.
	Opened(*Link)
	// Received delivers a message. The handler owns the descriptors.
	Received(*Link, Message, []int)
	// Closed announces the end of a link and the reason for it. At most a message that had been read by then is received afterwards.
	Closed(*Link, error)
}

// SocketPath returns the path in dir of the socket that connects the processes of the balancer with the given name.
func SocketPath(dir, name string) (string, error) {
	file := "sabletally-" + name + ".sock"
	path := filepath.Join(dir, file)
	switch {
	case dir == "":
		return "", errors.New("TMPDIR is not set")
	case filepath.Base(path) != file:
		return "", fmt.Errorf("balancer name %q can't be part of a file name", name)
	case len(path) > maxSocketPath:
		return "", fmt.Errorf("socket path %s is longer than the limit of %d bytes", path, maxSocketPath)
	}
	return path, nil
}

// Dial connects to the old process. It returns nil and no error if there is none.
func Dial(path string, handler Handler) (*Link, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, unix.ECONNREFUSED) {
		return nil, nil // there is no old process, or it has ended and left its socket behind
	}
	if err != nil {
		return nil, err
	}
	return openLink(conn, handler)
}

// Listen opens the socket for the next process, replacing any file at path. It stays open for the life of this process.
func Listen(path string, handler Handler) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false) // the file may be the socket of another process by the time this one closes it
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
		if err != nil { // the process is usually out of descriptors: the next process must still be accepted later
			time.Sleep(acceptRetryDelay)
			continue
		}
		_, _ = openLink(conn, handler) // the call fails for a process of another user, whose connection is closed
	}
}

// openLink checks the user of the other process, announces the link and only then starts to read and write.
func openLink(conn *net.UnixConn, handler Handler) (*Link, error) {
	if err := checkPeerUser(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetWriteBuffer(sendBufferSize) // a smaller buffer only makes the link slower
	link := newLink(conn, handler)
	handler.Opened(link)
	go link.writeLoop()
	go link.readLoop()
	return link, nil
}

// checkPeerUser returns an error if the other process belongs to another user, which must not receive clients' connections.
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
		return fmt.Errorf("the other process runs as user %d, not as the user of this process", peer.Uid)
	}
	return nil
}
