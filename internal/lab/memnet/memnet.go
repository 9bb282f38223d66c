// Package memnet is a network in memory between members of a fleet, with faults on each ordered pair of them: for worlds in
// virtual time, where the very code that ships runs on it. It owns what passes and what is lost. It must never open a socket.
package memnet

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxQueuedPackets   = 512 // datagrams that wait at a member
	minRetransmitDelay = 200 * time.Millisecond
	maxRetransmits     = 8
)

// Link is how one ordered pair is: what goes from the one to the other.
type Link struct {
	Loss       float64 // share of datagrams that are lost; a stream's are sent again, which takes time
	Delay      time.Duration
	Duplicated float64 // share of datagrams that come twice, the second one late by up to Late and 50 ms
	Cut        bool
}

// Network is one network.
type Network struct {
	mu      sync.Mutex
	rng     *rand.Rand
	ports   map[netip.AddrPort]*Port
	link    func(from, to int) Link
	latency time.Duration

	Bytes, Packets int64 // sent, datagrams alone
}

// New makes a network in which everything takes so long and nothing is lost.
func New(seed uint64, usual time.Duration) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 0x6e37)), ports: map[netip.AddrPort]*Port{}, latency: usual,
		link: func(int, int) Link { return Link{} }}
}

// Set says from now on how each ordered pair is.
func (n *Network) Set(way func(from, to int) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = way
}

// Sum answers what was sent so far.
func (n *Network) Sum() (bytes, packets int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Bytes, n.Packets
}

// Port is one member's place in it.
type Port struct {
	network *Network
	number  int
	addr    netip.AddrPort
	packets chan *memberlist.Packet
	streams chan net.Conn
	paused  bool
	queued  []func() // what came while it was stopped
	closed  bool
}

// Addr is the address of a number.
func Addr(num int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(num >> 8), byte(num)}), 7000)
}

// Port makes a member's place, in place of an earlier one of that number.
func (n *Network) Port(num int) *Port {
	p := &Port{network: n, number: num, addr: Addr(num), packets: make(chan *memberlist.Packet, maxQueuedPackets), streams: make(chan net.Conn, 64)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[p.addr] = p
	return p
}

// Pause holds all that comes to a member, as at a process that is stopped, and loses what it sends; Go hands over what a
// kernel's buffers would have held.
func (p *Port) Pause() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.paused = true
}

// Resume ends a Stop.
func (p *Port) Resume() {
	p.network.mu.Lock()
	held := p.queued
	p.paused, p.queued = false, nil
	p.network.mu.Unlock()
	for _, do := range held {
		do()
	}
}

// deliver runs what arrives at a member, later where it is stopped.
func (p *Port) deliver(do func()) {
	p.network.mu.Lock()
	if p.paused {
		if len(p.queued) < maxQueuedPackets {
			p.queued = append(p.queued, do)
		}
		p.network.mu.Unlock()
		return
	}
	p.network.mu.Unlock()
	do()
}

// FinalAdvertiseAddr is this member's address.
func (p *Port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return p.addr.Addr().AsSlice(), int(p.addr.Port()), nil
}

// WriteTo sends a datagram.
func (p *Port) WriteTo(b []byte, to string) (time.Time, error) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return time.Time{}, err
	}
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	far := n.ports[addr]
	if p.closed || p.paused {
		return now, nil
	}
	n.Bytes += int64(len(b))
	n.Packets++
	if far == nil || far.closed {
		return now, nil
	}
	w := n.link(p.number, far.number)
	if w.Cut || n.rng.Float64() < w.Loss {
		return now, nil
	}
	text := append([]byte(nil), b...)
	arrive := func(late time.Duration) {
		time.AfterFunc(late, func() {
			far.deliver(func() {
				select {
				case far.packets <- &memberlist.Packet{Buf: append([]byte(nil), text...), From: net.UDPAddrFromAddrPort(p.addr), Timestamp: time.Now()}:
				default:
				}
			})
		})
	}
	arrive(n.latency + w.Delay)
	if n.rng.Float64() < w.Duplicated {
		arrive(n.latency + w.Delay + time.Duration(n.rng.Float64()*float64(w.Delay+50*time.Millisecond)))
	}
	return now, nil
}

// streamDelay is what one write, or the opening, of a stream takes between two members; false where nothing passes.
func (n *Network) streamDelay(from, to *Port) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.link(from.number, to.number)
	if w.Cut || from.closed || to.closed || from.paused || to.paused {
		return 0, false
	}
	took := n.latency + w.Delay
	for wait, i := minRetransmitDelay, 0; n.rng.Float64() < w.Loss; i++ {
		if i == maxRetransmits {
			return 0, false
		}
		took += wait
		wait *= 2
	}
	return took, true
}

// DialTimeout opens a stream.
func (p *Port) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	n := p.network
	n.mu.Lock()
	far := n.ports[addr]
	n.mu.Unlock()
	if far == nil || far.closed {
		return nil, errors.New("refused")
	}
	there, is := n.streamDelay(p, far)
	back, was := n.streamDelay(far, p)
	if !is || !was || there+back > timeout {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	time.Sleep(there + back)
	a, b := net.Pipe()
	select {
	case far.streams <- &stream{Conn: b, from: far, to: p}:
	default:
		return nil, errors.New("refused: too many wait")
	}
	return &stream{Conn: a, from: p, to: far}, nil
}

// stream is one end of a connection.
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
	took, passes := s.from.network.streamDelay(s.from, s.to)
	if !passes {
		s.mu.Lock()
		end := s.deadline
		s.mu.Unlock()
		if end.IsZero() {
			_ = s.Close()
		}
		time.Sleep(time.Until(end))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(took)
	return s.Conn.Write(b)
}

// PacketCh delivers the datagrams that arrive at the member.
func (p *Port) PacketCh() <-chan *memberlist.Packet { return p.packets }

// StreamCh delivers the streams that other members open to this one.
func (p *Port) StreamCh() <-chan net.Conn { return p.streams }

// Shutdown takes the member off the network.
func (p *Port) Shutdown() error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.closed = true
	return nil
}
