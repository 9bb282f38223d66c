package loadgossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"sabletally/policy"
)

const (
	sendQueueLength = 4    // messages; more are dropped
	maxPending      = 1024 // received messages that the handler has not finished; more are dropped
)

// Handler takes a message of the peer with the given index. It must not block, and calls done once the message
// has been taken in.
type Handler func(peer int, message policy.GossipMessage, done func())

// Counters count messages. Several transports may share them.
type Counters struct {
	Sent     *atomic.Int64 // datagrams
	Received *atomic.Int64 // datagrams that went to the handler
	Dropped  *atomic.Int64 // of unknown senders, malformed, or beyond a queue's length
}

// Transport is one balancer's socket for load messages. It knows peers by the address that they send from, which
// is the one that they listen at.
type Transport struct {
	conn     *net.UDPConn
	peers    atomic.Pointer[[]netip.AddrPort]
	outgoing chan [][]byte
	handle   Handler
	pending  atomic.Int64
	counters *Counters
}

// Listen opens a Transport at an address. A peer's index is its place in peers. If shared, another process of the
// same balancer may listen at the address too; datagrams then go to the newest one.
func Listen(address netip.AddrPort, shared bool, peers []netip.AddrPort, counters *Counters, handle Handler) (*Transport, error) {
	config := net.ListenConfig{}
	if shared { // during a hot restart the previous process still listens
		config.Control = setReuseAddress
	}
	conn, err := config.ListenPacket(context.Background(), "udp", address.String())
	if err != nil {
		return nil, err
	}
	t := &Transport{
		conn:     conn.(*net.UDPConn),
		outgoing: make(chan [][]byte, sendQueueLength),
		handle:   handle,
		counters: counters,
	}
	t.SetPeers(peers)
	go t.receive()
	go t.send()
	return t, nil
}

func setReuseAddress(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// SetPeers replaces the peers.
func (t *Transport) SetPeers(peers []netip.AddrPort) { t.peers.Store(&peers) }

// Peers returns the present peers, which must not be changed.
func (t *Transport) Peers() []netip.AddrPort { return *t.peers.Load() }

// Addr returns the address at which the Transport listens.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Broadcast sends a message to all peers without blocking. Only one goroutine may call it, and none after Close.
func (t *Transport) Broadcast(message policy.GossipMessage) {
	select {
	case t.outgoing <- Encode(message):
	default:
		t.counters.Dropped.Add(1)
	}
}

// Close stops sending and receiving at once. Messages that have not been sent are lost.
func (t *Transport) Close() {
	close(t.outgoing)
	_ = t.conn.Close() // nothing is buffered that could be lost
}

func (t *Transport) send() {
	for datagrams := range t.outgoing {
		for _, peer := range t.Peers() {
			for _, datagram := range datagrams {
				if _, err := t.conn.WriteToUDPAddrPort(datagram, peer); err == nil {
					t.counters.Sent.Add(1)
				}
			}
		}
	}
}

func (t *Transport) receive() {
	buffer := make([]byte, MaxDatagramSize+1) // a longer datagram is malformed
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram reached no listener: the kernel reports it with the next read
		}
		t.deliver(from, buffer[:n])
	}
}

func (t *Transport) deliver(from netip.AddrPort, datagram []byte) {
	peer := slices.Index(t.Peers(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	message, err := Decode(datagram)
	if peer < 0 || err != nil || t.pending.Load() >= maxPending {
		t.counters.Dropped.Add(1)
		return
	}
	t.counters.Received.Add(1)
	t.pending.Add(1)
	t.handle(peer, message, func() { t.pending.Add(-1) })
}
