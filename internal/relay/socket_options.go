package relay

import "golang.org/x/sys/unix"

// DisableNagle has the kernel send small writes at once. Without it a line may wait for the acknowledgement of the one before, and a
// reset meanwhile discards it. Accepted sockets and those of another process need it too: it is not the default of a socket.
func DisableNagle(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // fails only on a descriptor that is no TCP socket
}

// growReceiveBuffer has the kernel size a socket's receive buffer again, after SO_RCVBUF has fixed it. While one of fixed size overflows
// with small lines, the kernel drops what arrives next and the acknowledgements with it: lines the other way then wait for them.
func growReceiveBuffer(fd int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BUF_LOCK, 0) // fails before Linux 5.14, where the size stays
}

// maxSegmentBytes is what an Ethernet frame carries.
const maxSegmentBytes = 1460

// LimitSegmentSize has the connections of a socket that listens, or is not connected yet, send no larger segments than a network's. On
// loopback one is up to half of the largest window a reader has had: where the window is smaller by then, the kernel sends nothing until a
// timeout, for each window anew.
func LimitSegmentSize(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_MAXSEG, maxSegmentBytes) // fails only on a descriptor that is no TCP socket
}
