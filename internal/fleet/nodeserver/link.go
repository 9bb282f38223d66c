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
	maxLinkQueue    = 1024                   // maximum number of packets that wait for one member; more are dropped, and the nodes repeat what they need
	dialTimeout     = time.Second            // time limit of one attempt to connect to a member
	redialDelay     = 200 * time.Millisecond // minimum time between two attempts to connect to a member
	writeTimeout    = 2 * time.Second        // time limit of writing one frame
	helloTimeout    = 3 * time.Second        // time limit of reading the hello of a link that another member opened
	linkIdleTimeout = time.Minute            // time without packets after which the sender closes a link
	readIdleTimeout = 2 * linkIdleTimeout    // time without packets after which the reader closes a link
	unackedTimeout  = 3 * time.Second        // TCP_USER_TIMEOUT: how long sent data may stay unacknowledged
	readBufferBytes = 64 << 10
)

// linkTable holds the links to the other members and reads the links that they open. A link carries packets in one direction: each member
// opens a link to another one when it has a packet to send.
type linkTable struct {
	fleetName string
	self      string // this member's ID
	transport *gossip.Transport
	receive   func(node.Packet) // called from the goroutine of each link that another member opened; must not block

	mu         sync.Mutex
	byMember   map[string]*link // links that this member opened, by member ID
	goroutines sync.WaitGroup

	bytesSent      atomic.Int64
	bytesReceived  atomic.Int64
	packetsDropped atomic.Int64 // packets dropped because a queue was full or there was no connection
	malformedCount atomic.Int64 // rejected packets and streams
}

func newLinkTable(fleetName, self string, transport *gossip.Transport, receive func(node.Packet)) *linkTable {
	return &linkTable{fleetName: fleetName, self: self, transport: transport, receive: receive, byMember: map[string]*link{}}
}

// start starts to accept links; it ends when the transport is closed.
func (t *linkTable) start() {
	t.goroutines.Add(1)
	go t.acceptLinks()
}

// wait waits until all goroutines have ended, which they do once the transport is closed.
func (t *linkTable) wait() { t.goroutines.Wait() }

// send queues a packet for a member at an address. It never blocks.
func (t *linkTable) send(member, address string, packet node.Packet) {
	frame, err := encodeFrame(packet)
	if err != nil || len(frame) > maxFrameBytes {
		t.packetsDropped.Add(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.linkTo(member, address)
	select {
	case l.queue <- frame:
	default:
		t.packetsDropped.Add(1)
	}
}

// linkTo returns the link to a member, a new one if there is none or the member's address has changed. The caller holds the lock.
func (t *linkTable) linkTo(member, address string) *link {
	existing := t.byMember[member]
	if existing != nil && existing.address == address {
		return existing
	}
	if existing != nil {
		close(existing.queue)
	}
	l := &link{table: t, member: member, address: address, queue: make(chan []byte, maxLinkQueue)}
	t.byMember[member] = l
	t.goroutines.Add(1)
	go func() {
		defer t.goroutines.Done()
		l.run()
	}()
	return l
}

// removeIdle removes a link without queued packets, and reports whether the link has to end.
func (t *linkTable) removeIdle(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byMember[l.member] != l {
		return true
	}
	if len(l.queue) > 0 {
		return false
	}
	delete(t.byMember, l.member)
	return true
}

// link sends packets to one member at one address, over one connection at a time.
type link struct {
	table   *linkTable
	member  string // ID of the receiving member
	address string
	queue   chan []byte // encoded frames; closed when the member's address changes

	conn       net.Conn  // nil while there is no connection
	nextDialAt time.Time // earliest time of the next attempt to connect
}

// run sends frames until the link is idle or replaced, or the transport is closed. Frames that were written to a connection that breaks are
// lost.
func (l *link) run() {
	defer l.closeConn()
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(linkIdleTimeout)
		select {
		case <-l.table.transport.Done():
			return
		case <-idle.C:
			if l.table.removeIdle(l) {
				return
			}
		case frame, open := <-l.queue:
			if !open {
				return
			}
			l.writeFrame(frame)
		}
	}
}

// writeFrame sends one frame, or counts it as dropped.
func (l *link) writeFrame(frame []byte) {
	if !l.ensureConnected() {
		l.table.packetsDropped.Add(1)
		return
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection fails in the write
	if _, err := l.conn.Write(frame); err != nil {
		l.table.packetsDropped.Add(1)
		l.closeConn()
		return
	}
	l.table.bytesSent.Add(int64(len(frame)))
}

// ensureConnected connects to the member if there is no connection, and reports whether there is one. It waits redialDelay between attempts
// and reports false meanwhile.
func (l *link) ensureConnected() bool {
	if l.conn != nil {
		return true
	}
	if time.Now().Before(l.nextDialAt) {
		return false
	}
	l.nextDialAt = time.Now().Add(redialDelay)
	conn, err := l.dial()
	if err != nil {
		return false
	}
	l.conn = conn
	return true
}

// closeConn closes the connection, if there is one.
func (l *link) closeConn() {
	if l.conn != nil {
		_ = l.conn.Close() // failed writes were counted as dropped
		l.conn = nil
	}
}

// dial opens a connection and sends the hello.
func (l *link) dial() (net.Conn, error) {
	conn, err := l.table.transport.DialTimeout(l.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	limitUnacked(conn)
	frame, err := encodeFrame(hello{FleetName: l.table.fleetName, ProtocolVersion: gossip.ProtocolVersion, From: l.table.self, To: l.member})
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

// limitUnacked makes the kernel close a connection whose other side does not acknowledge data within unackedTimeout. Without it a connection
// that broke in a network partition fails only minutes after the partition has healed. Failures are ignored: the connection then fails
// later.
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

// acceptLinks serves the links that other members open, until the transport is closed.
func (t *linkTable) acceptLinks() {
	defer t.goroutines.Done()
	for {
		select {
		case <-t.transport.Done():
			return
		case conn := <-t.transport.PeerStreams():
			t.goroutines.Add(1)
			go func() {
				defer t.goroutines.Done()
				t.serveConn(conn)
			}()
		}
	}
}

// serveConn reads a link that another member opened, until the link ends.
func (t *linkTable) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing is written to this connection
	err := t.readPackets(conn)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		t.malformedCount.Add(1)
	}
}

// readPackets receives packets until the link ends, and returns the reason.
func (t *linkTable) readPackets(conn net.Conn) error {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout)) // a closed connection fails in the read
	if _, err := r.Discard(1); err != nil {                // skips gossip.PeerStreamMark
		return err
	}
	var peerHello hello
	if _, err := readFrame(r, &peerHello); err != nil {
		return err
	}
	if peerHello.FleetName != t.fleetName || peerHello.To != t.self || peerHello.ProtocolVersion < gossip.MinProtocolVersion {
		return fmt.Errorf("rejected hello of fleet %q, protocol version %d, for member %s", peerHello.FleetName, peerHello.ProtocolVersion, peerHello.To)
	}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readIdleTimeout))
		var packet node.Packet
		n, err := readFrame(r, &packet)
		if err != nil {
			return err
		}
		if packet.From != peerHello.From {
			return fmt.Errorf("packet of member %s on a link of member %s", packet.From, peerHello.From)
		}
		t.bytesReceived.Add(int64(n))
		t.receive(packet)
	}
}
