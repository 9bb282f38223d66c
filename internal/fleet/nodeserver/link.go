package nodeserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/node"
)

const (
	maxLinkQueue    = 1024 // packets that wait for one member; more are dropped, and retried by their senders
	dialTimeout     = time.Second
	redialDelay     = 200 * time.Millisecond
	writeTimeout    = 2 * time.Second
	helloTimeout    = 3 * time.Second
	linkIdleTimeout = time.Minute // a link without packets is closed
	readIdleTimeout = 2 * linkIdleTimeout
	unackedTimeout  = 3 * time.Second // of the kernel, for data that the other side does not acknowledge
	readBufferBytes = 64 << 10
)

// links are the connections to all other members. Each member opens one for its own packets when it has one to send.
type links struct {
	fleetName string
	self      string // member ID
	transport *gossip.Transport
	receive   func(node.Packet) // called by one goroutine for each link that others opened; must not wait

	mu         sync.Mutex
	byMember   map[string]*link
	goroutines sync.WaitGroup

	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	dropped       atomic.Int64 // packets that found no room or no connection
	malformed     atomic.Int64 // packets and streams
}

func newLinks(fleetName, self string, transport *gossip.Transport, receive func(node.Packet)) *links {
	return &links{fleetName: fleetName, self: self, transport: transport, receive: receive, byMember: map[string]*link{}}
}

// start accepts links until the transport ends.
func (l *links) start() {
	l.goroutines.Add(1)
	go l.accept()
}

// wait waits until all goroutines have ended, which they do after the transport.
func (l *links) wait() { l.goroutines.Wait() }

// send queues a packet for a member at an address. It never waits.
func (l *links) send(member, address string, packet node.Packet) {
	frame, err := encodeFrame(packet)
	if err != nil || len(frame) > maxFrameBytes {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.linkTo(member, address)
	select {
	case k.queue <- frame:
	default:
		l.dropped.Add(1)
	}
}

// linkTo returns the link to a member, a new one where it has another address now. The lock is held.
func (l *links) linkTo(member, address string) *link {
	existing := l.byMember[member]
	if existing != nil && existing.address == address {
		return existing
	}
	if existing != nil {
		close(existing.queue)
	}
	k := &link{links: l, member: member, address: address, queue: make(chan []byte, maxLinkQueue)}
	l.byMember[member] = k
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		k.run()
	}()
	return k
}

// removeIdle removes a link without packets, and reports whether it has to end.
func (l *links) removeIdle(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byMember[k.member] != k {
		return true
	}
	if len(k.queue) > 0 {
		return false
	}
	delete(l.byMember, k.member)
	return true
}

// link sends packets to one member at one address, over one connection at a time.
type link struct {
	links   *links
	member  string // ID
	address string
	queue   chan []byte // frames; closed when the member has another address

	conn       net.Conn // nil while there is none
	nextDialAt time.Time
}

// run sends frames until the link is idle, replaced, or the transport ends. Frames that a broken connection had taken are lost.
func (k *link) run() {
	defer k.closeConn()
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(linkIdleTimeout)
		select {
		case <-k.links.transport.Done():
			return
		case <-idle.C:
			if k.links.removeIdle(k) {
				return
			}
		case frame, open := <-k.queue:
			if !open {
				return
			}
			k.write(frame)
		}
	}
}

// write sends one frame, or counts it as dropped.
func (k *link) write(frame []byte) {
	if !k.connect() {
		k.links.dropped.Add(1)
		return
	}
	_ = k.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection fails in the write
	if _, err := k.conn.Write(frame); err != nil {
		k.links.dropped.Add(1)
		k.closeConn()
		return
	}
	k.links.bytesSent.Add(int64(len(frame)))
}

// connect reports whether there is a connection. It dials when there is none, but not soon after the last time.
func (k *link) connect() bool {
	if k.conn != nil {
		return true
	}
	if time.Now().Before(k.nextDialAt) {
		return false
	}
	k.nextDialAt = time.Now().Add(redialDelay)
	conn, err := k.dial()
	if err != nil {
		return false
	}
	k.conn = conn
	return true
}

func (k *link) closeConn() {
	if k.conn != nil {
		_ = k.conn.Close() // a write that failed was counted
		k.conn = nil
	}
}

// dial opens a connection and sends the hello.
func (k *link) dial() (net.Conn, error) {
	conn, err := k.links.transport.DialTimeout(k.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	limitUnacked(conn)
	frame, err := encodeFrame(hello{FleetName: k.links.fleetName, ProtocolVersion: gossip.ProtocolVersion, From: k.links.self, To: k.member})
	if err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection fails in the write
		_, err = conn.Write(append([]byte{gossip.PeerStreamMark}, frame...))
	}
	if err != nil {
		_ = conn.Close() // the error of the write is returned
		return nil, err
	}
	return conn, nil
}

// limitUnacked has the kernel end a connection whose other side does not acknowledge. Without it a network partition is noticed minutes
// after it has healed. Failures are ignored: the connection is slower to fail then.
func limitUnacked(conn net.Conn) {
	wrapper, ok := conn.(interface{ Unwrap() net.Conn })
	if !ok {
		return
	}
	tcp, ok := wrapper.Unwrap().(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// accept takes links that others open.
func (l *links) accept() {
	defer l.goroutines.Done()
	for {
		select {
		case <-l.transport.Done():
			return
		case conn := <-l.transport.PeerStreams():
			l.goroutines.Add(1)
			go func() {
				defer l.goroutines.Done()
				l.serve(conn)
			}()
		}
	}
}

// serve reads a link that another member opened until it ends.
func (l *links) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing was written
	err := l.readPackets(conn)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		l.malformed.Add(1)
	}
}

// readPackets receives packets until the link fails, which it returns why.
func (l *links) readPackets(conn net.Conn) error {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout)) // a closed connection fails in the read
	if _, err := r.Discard(1); err != nil {                // the mark
		return err
	}
	var first hello
	if _, err := readFrame(r, &first); err != nil {
		return err
	}
	if first.FleetName != l.fleetName || first.To != l.self || first.ProtocolVersion < gossip.MinProtocolVersion {
		return fmt.Errorf("a link of fleet %q, protocol version %d, for member %s", first.FleetName, first.ProtocolVersion, first.To)
	}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readIdleTimeout))
		var packet node.Packet
		n, err := readFrame(r, &packet)
		if err != nil {
			return err
		}
		if packet.From != first.From {
			return fmt.Errorf("a packet of %s on a link of %s", packet.From, first.From)
		}
		l.bytesReceived.Add(int64(n))
		l.receive(packet)
	}
}
