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
	sendQueueLength = 4    // messages waiting to be sent; more are dropped
	maxPending      = 1024 // received messages for which the handler has not called done; more are dropped
)

// Handler handles a message from the peer with the given index. It must not block, and it calls done once the
// message has been processed.
type Handler func(peer int, message policy.GossipMessage, done func())

// Counters holds counters of datagrams and messages. Several transports may share them.
type Counters struct {
	Sent     *atomic.Int64 // datagrams that were sent
	Received *atomic.Int64 // datagrams that were passed to the handler
	Dropped  *atomic.Int64 // malformed datagrams, datagrams of unknown senders, and messages beyond the length of a queue
}

// Transport is one balancer's socket for load messages. It identifies a peer by the source address of its
// datagrams, which is the address at which the peer listens.
type Transport struct {
	conn     *net.UDPConn
	peers    atomic.Pointer[[]netip.AddrPort]
	outgoing chan [][]byte // datagrams of each message that waits to be sent
	handle   Handler
	pending  atomic.Int64 // number of received messages for which the handler has not called done
	counters *Counters
}

// Listen opens a Transport at an address. The index of a peer is its position in peers. If shared is set, another
// process of the same balancer may listen at the address too, and the kernel delivers datagrams to the newest one.
func Listen(address netip.AddrPort, shared bool, peers []netip.AddrPort, counters *Counters, handle Handler) (*Transport, error) {
	config := net.ListenConfig{}
	if shared { // during a hot restart the predecessor still listens at the address
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
	go t.receiveDatagrams()
	go t.sendQueued()
	return t, nil
}

// setReuseAddress lets several sockets bind the same address.
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

// SetPeers replaces the list of peers, which the caller must not modify afterwards.
func (t *Transport) SetPeers(peers []netip.AddrPort) { t.peers.Store(&peers) }

// Peers returns the current list of peers, which the caller must not modify.
func (t *Transport) Peers() []netip.AddrPort { return *t.peers.Load() }

// Addr returns the address at which the Transport listens.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Broadcast queues a message to all peers without blocking. Only one goroutine may call it, and none after Close.
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
	_ = t.conn.Close() // a UDP socket buffers nothing that a failed close could lose
}

// sendQueued sends the queued messages to all peers until the transport is closed.
func (t *Transport) sendQueued() {
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

// receiveDatagrams delivers the datagrams that arrive until the transport is closed.
func (t *Transport) receiveDatagrams() {
	buffer := make([]byte, MaxDatagramSize+1) // one byte more, so that an oversized datagram is detected
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was sent to an address without a listener: the kernel reports that with a later read
		}
		t.deliver(from, buffer[:n])
	}
}

// deliver decodes a datagram and passes it to the handler, or drops and counts it.
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
