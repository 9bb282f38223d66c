package relay

import "golang.org/x/sys/unix"

// DisableNagle sets TCP_NODELAY. Without it a line may wait for the acknowledgement of the line before it, and a reset in the meantime
// discards it. Accepted sockets and those received from another process need it as well, because it is off by default.
func DisableNagle(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // the call fails only on a descriptor that is not a TCP socket
}

// growReceiveBuffer lets the kernel resize a socket's receive buffer again after SO_RCVBUF has fixed its size. When a buffer of fixed
// size overflows with small lines, the kernel drops arriving segments together with the acknowledgements in them, which delays lines in
// the other direction.
func growReceiveBuffer(fd int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BUF_LOCK, 0) // the call fails before Linux 5.14, where the size stays fixed
}

// maxSegmentBytes is the TCP payload of an Ethernet frame.
const maxSegmentBytes = 1460

// LimitSegmentSize limits the segment size of a socket that is listening or not yet connected to that of an Ethernet network. On loopback
// a segment can be as large as half of the largest window that the reader has announced. If the window has shrunk below that since, the
// kernel sends nothing until a timeout, and so again for each new window.
func LimitSegmentSize(fd int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_MAXSEG, maxSegmentBytes) // the call fails only on a descriptor that is not a TCP socket
}
