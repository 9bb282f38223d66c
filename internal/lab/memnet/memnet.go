// Package memnet is an in-memory network between the members of a fleet, for simulations that run production code in virtual time. Each ordered
// pair of members has a link with faults of its own. The package owns the delivery and the loss of messages. It must never open a socket.
package memnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxQueuedPackets   = 512                    // limit for datagrams that a member has not read, and for deliveries to a paused member
	maxQueuedStreams   = 64                     // limit for streams that a member has not accepted
	maxReorderDelay    = 50 * time.Millisecond  // upper limit of the extra delay of a duplicated datagram, added to the delay of the link
	minRetransmitDelay = 200 * time.Millisecond // delay of the first retransmission in a stream; it doubles with each further one
	maxRetransmits     = 8                      // limit for retransmissions of one write to a stream, which fails after them
	memberPort         = 7000                   // port in the address of every member
)

var errConnectionRefused = errors.New("connection refused")

// Link is the state of the link from one member to another.
type Link struct {
	Loss        float64 // share of datagrams that are lost; in a stream, share of writes that are retransmitted after a delay
	Delay       time.Duration
	Duplication float64 // share of datagrams that arrive twice, the second time later by up to Delay plus 50 ms
	IsCut       bool
}

// Network is a network between members, which are identified by numbers.
type Network struct {
	mu      sync.Mutex
	rng     *rand.Rand
	ports   map[netip.AddrPort]*Port
	link    func(from, to int) Link
	latency time.Duration

	SentBytes   int64 // bytes sent as datagrams; SentTotals reads it under the lock
	SentPackets int64 // datagrams sent; SentTotals reads it under the lock
}

// New returns a network without faults. The latency applies to each direction.
func New(seed uint64, latency time.Duration) *Network {
	return &Network{
		rng:     rand.New(rand.NewPCG(seed, 0x6e37)),
		ports:   map[netip.AddrPort]*Port{},
		link:    func(int, int) Link { return Link{} },
		latency: latency,
	}
}

// SetLinks sets the function that returns the state of the link from one member to another.
func (n *Network) SetLinks(link func(from, to int) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = link
}

// SentTotals returns the number of bytes and of datagrams sent so far.
func (n *Network) SentTotals() (bytes, packets int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.SentBytes, n.SentPackets
}

// Port connects one member to the network. It implements memberlist.Transport.
type Port struct {
	network *Network
	number  int
	addr    netip.AddrPort
	packets chan *memberlist.Packet
	streams chan net.Conn
	paused  bool
	queued  []func() // deliveries to make after the pause
	closed  bool
}

// Addr returns the address of the member with a number.
func Addr(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), memberPort)
}

// Port returns a new port for a member. It replaces the port that had this number before.
func (n *Network) Port(number int) *Port {
	p := &Port{
		network: n,
		number:  number,
		addr:    Addr(number),
		packets: make(chan *memberlist.Packet, maxQueuedPackets),
		streams: make(chan net.Conn, maxQueuedStreams),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[p.addr] = p
	return p
}

// Pause queues the deliveries to a member, like the kernel buffers of a stopped process, and drops the datagrams that the member sends.
func (p *Port) Pause() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.paused = true
}

// Resume ends a pause and makes the deliveries that were queued.
func (p *Port) Resume() {
	p.network.mu.Lock()
	queued := p.queued
	p.paused = false
	p.queued = nil
	p.network.mu.Unlock()
	for _, deliver := range queued {
		deliver()
	}
}

// deliver makes a delivery, or queues it while the member is paused.
func (p *Port) deliver(delivery func()) {
	p.network.mu.Lock()
	if p.paused {
		if len(p.queued) < maxQueuedPackets {
			p.queued = append(p.queued, delivery)
		}
		p.network.mu.Unlock()
		return
	}
	p.network.mu.Unlock()
	delivery()
}

// FinalAdvertiseAddr returns the member's address.
func (p *Port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return p.addr.Addr().AsSlice(), int(p.addr.Port()), nil
}

// WriteTo sends a datagram. As on a real network, the loss of a datagram is no error.
func (p *Port) WriteTo(b []byte, to string) (time.Time, error) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return time.Time{}, err
	}
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	receiver := n.ports[addr]
	if p.closed || p.paused {
		return now, nil
	}
	n.SentBytes += int64(len(b))
	n.SentPackets++
	if receiver == nil || receiver.closed {
		return now, nil
	}
	link := n.link(p.number, receiver.number)
	if link.IsCut || n.rng.Float64() < link.Loss {
		return now, nil
	}
	datagram := append([]byte(nil), b...)
	delay := n.latency + link.Delay
	p.deliverAfter(delay, receiver, datagram)
	if n.rng.Float64() < link.Duplication {
		extra := time.Duration(n.rng.Float64() * float64(link.Delay+maxReorderDelay))
		p.deliverAfter(delay+extra, receiver, datagram)
	}
	return now, nil
}

// deliverAfter delivers a copy of a datagram after a delay. If the queue of the receiver is full, the datagram is dropped.
func (p *Port) deliverAfter(delay time.Duration, receiver *Port, datagram []byte) {
	time.AfterFunc(delay, func() {
		receiver.deliver(func() {
			packet := &memberlist.Packet{Buf: append([]byte(nil), datagram...), From: net.UDPAddrFromAddrPort(p.addr), Timestamp: time.Now()}
			select {
			case receiver.packets <- packet:
			default:
			}
		})
	})
}

// streamDelay returns the time that one write to a stream, or one direction of its opening, takes, with retransmissions. It returns false if
// nothing gets through.
func (n *Network) streamDelay(from, to *Port) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := n.link(from.number, to.number)
	if link.IsCut || from.closed || to.closed || from.paused || to.paused {
		return 0, false
	}
	delay := n.latency + link.Delay
	retransmitDelay := minRetransmitDelay
	for i := 0; n.rng.Float64() < link.Loss; i++ {
		if i == maxRetransmits {
			return 0, false
		}
		delay += retransmitDelay
		retransmitDelay *= 2
	}
	return delay, true
}

// DialTimeout opens a stream to the member with an address.
func (p *Port) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	n := p.network
	n.mu.Lock()
	receiver := n.ports[addr]
	n.mu.Unlock()
	if receiver == nil || receiver.closed {
		return nil, errConnectionRefused
	}
	requestDelay, reaches := n.streamDelay(p, receiver)
	responseDelay, returns := n.streamDelay(receiver, p)
	if !reaches || !returns || requestDelay+responseDelay > timeout {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	time.Sleep(requestDelay + responseDelay)
	local, remote := net.Pipe()
	select {
	case receiver.streams <- &stream{Conn: remote, from: receiver, to: p}:
	default:
		return nil, fmt.Errorf("%w: the accept queue is full", errConnectionRefused)
	}
	return &stream{Conn: local, from: p, to: receiver}, nil
}

// stream is one end of a connection. A write takes the delay of the link.
type stream struct {
	net.Conn
	from, to *Port

	mu       sync.Mutex
	deadline time.Time
}

func (s *stream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	s.deadline = t
	s.mu.Unlock()
	return s.Conn.SetDeadline(t)
}

func (s *stream) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(s.from.addr) }
func (s *stream) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(s.to.addr) }

func (s *stream) Write(b []byte) (int, error) {
	delay, passes := s.from.network.streamDelay(s.from, s.to)
	if !passes {
		s.mu.Lock()
		deadline := s.deadline
		s.mu.Unlock()
		if deadline.IsZero() {
			_ = s.Close() // without a deadline, the write fails at once
		}
		time.Sleep(time.Until(deadline))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(delay)
	return s.Conn.Write(b)
}

// PacketCh returns the channel of datagrams that arrive at the member.
func (p *Port) PacketCh() <-chan *memberlist.Packet { return p.packets }

// StreamCh returns the channel of streams that other members open to this one.
func (p *Port) StreamCh() <-chan net.Conn { return p.streams }

// Shutdown removes the member from the network.
func (p *Port) Shutdown() error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.closed = true
	return nil
}
