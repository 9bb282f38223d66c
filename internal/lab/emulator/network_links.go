// This file owns ties: the ways between the members of a fleet, one for each ordered pair, for datagrams and connections alike.

package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	reorderDelay  = 80 * time.Millisecond // most that a reordered datagram is delayed
	maxStreamLoss = 0.9                   // a stream over a link that loses all would hang
)

// MemberLink is the condition of the link from one member to another.
type MemberLink struct {
	Cut        bool          // nothing passes
	Loss       float64       // share of datagrams that are lost; a stream is retransmitted
	Delay      time.Duration // added to everything
	Duplicated float64       // share of datagrams that are duplicated and reordered
}

// MemberLinks are the ways between so many members. Each member listens at one address and is reached at another, where its front
// stands; who sends is told by the address that it sends from, which is its own.
type MemberLinks struct {
	fronts      []*memberFront
	listenAddrs []netip.AddrPort
	guests      []*Link // by member: for connections of strangers, where they are let in

	mu    sync.Mutex
	ties  [][]MemberLink // from, to
	links [][]*Link
	rng   *rand.Rand
}

// memberFront is what stands before one member.
type memberFront struct {
	tcp  *net.TCPListener
	udp  *net.UDPConn
	addr netip.AddrPort
}

// NewMemberLinks picks addresses for so many members and stands before them. Close ends all.
func NewMemberLinks(many int, seed uint64) (*MemberLinks, error) {
	t := &MemberLinks{rng: rand.New(rand.NewPCG(seed, 0x7135))}
	for range many {
		// An address for both kinds that nobody else is given: listeners that are closed again before the member has it.
		own, err := listenTCPAndUDP()
		for err == nil && t.sender(own.addr.Addr()) >= 0 { // its IP has to tell it from the others
			own.close()
			own, err = listenTCPAndUDP()
		}
		if err != nil {
			t.Close()
			return nil, err
		}
		own.close()
		f, err := listenTCPAndUDP()
		if err != nil {
			t.Close()
			return nil, err
		}
		t.listenAddrs, t.fronts = append(t.listenAddrs, own.addr), append(t.fronts, f)
	}
	for from := range many {
		t.ties = append(t.ties, make([]MemberLink, many))
		t.links = append(t.links, nil)
		for to := range many {
			t.links[from] = append(t.links[from], newLink(t.listenAddrs[to].String()))
		}
	}
	for to, f := range t.fronts {
		go t.accept(to, f)
		go t.read(to, f)
	}
	return t, nil
}

// AcceptExternal lets in strangers' connections, which nothing is between. It is called before any is made.
func (t *MemberLinks) AcceptExternal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, addr := range t.listenAddrs {
		t.guests = append(t.guests, newLink(addr.String()))
	}
}

// listenTCPAndUDP takes one address for datagrams and connections.
func listenTCPAndUDP() (*memberFront, error) {
	var last error
	for range 20 { // a port that is free for the one may be taken for the other
		ln, err := net.Listen("tcp", Loopback())
		if err != nil {
			return nil, err
		}
		f := &memberFront{tcp: ln.(*net.TCPListener), addr: ln.Addr().(*net.TCPAddr).AddrPort()}
		if f.udp, last = net.ListenUDP("udp", net.UDPAddrFromAddrPort(f.addr)); last == nil {
			return f, nil
		}
		_ = ln.Close()
	}
	return nil, fmt.Errorf("ties: %w", last)
}

func (f *memberFront) close() {
	_ = f.tcp.Close()
	_ = f.udp.Close()
}

// Listen is the address that a member listens on.
func (t *MemberLinks) Listen(member int) netip.AddrPort { return t.listenAddrs[member] }

// Advertised is the address that the other members reach a member by.
func (t *MemberLinks) Advertised(member int) netip.AddrPort { return t.fronts[member].addr }

// Set changes every tie as it is told.
func (t *MemberLinks) Set(change func(from, to int, tie *MemberLink)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for from := range t.ties {
		for to := range t.ties[from] {
			change(from, to, &t.ties[from][to])
		}
	}
	for from := range t.ties {
		for to := range t.ties[from] {
			there, back := t.ties[from][to], t.ties[to][from]
			t.links[from][to].Set(func(c *Condition) {
				*c = Condition{CutIn: there.Cut, CutOut: back.Cut, LateIn: there.Delay, LateOut: back.Delay,
					Resent: min(max(there.Loss, back.Loss), maxStreamLoss)}
			})
		}
	}
}

// Close ends all.
func (t *MemberLinks) Close() {
	for _, f := range t.fronts {
		f.close()
	}
	for _, row := range append(t.links, t.guests) {
		for _, l := range row {
			l.Close()
		}
	}
}

// sender is the member that sends from an address, -1 for a stranger.
func (t *MemberLinks) sender(ip netip.Addr) int {
	for i, a := range t.listenAddrs {
		if a.Addr() == ip.Unmap() {
			return i
		}
	}
	return -1
}

func (t *MemberLinks) accept(to int, f *memberFront) {
	for {
		c, err := f.tcp.AcceptTCP()
		if err != nil {
			return
		}
		from := t.sender(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		t.mu.Lock()
		if from < 0 && t.guests != nil {
			go t.guests[to].forward(c)
			t.mu.Unlock()
			continue
		}
		t.mu.Unlock()
		if from < 0 {
			reset(c)
			continue
		}
		t.mu.Lock()
		cut := t.ties[from][to].Cut || t.ties[to][from].Cut
		t.mu.Unlock()
		if cut { // neither side's first packet would have come through; who dials waits for its own time-out
			time.AfterFunc(10*time.Second, func() { reset(c) })
			continue
		}
		go t.links[from][to].forward(c)
	}
}

func (t *MemberLinks) read(to int, f *memberFront) {
	buffer := make([]byte, 65536)
	for {
		n, sent, err := f.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := t.sender(sent.Addr())
		if from < 0 {
			continue
		}
		text := append([]byte(nil), buffer[:n]...)
		t.mu.Lock()
		tie := t.ties[from][to]
		lost, mixed := t.rng.Float64() < tie.Loss, t.rng.Float64() < tie.Duplicated
		one, two := time.Duration(t.rng.Float64()*float64(reorderDelay)), time.Duration(t.rng.Float64()*float64(reorderDelay))
		t.mu.Unlock()
		pass := func(late time.Duration) {
			if late == 0 {
				_, _ = f.udp.WriteToUDPAddrPort(text, t.listenAddrs[to])
				return
			}
			time.AfterFunc(late, func() { _, _ = f.udp.WriteToUDPAddrPort(text, t.listenAddrs[to]) })
		}
		switch {
		case tie.Cut || lost:
		case mixed:
			pass(tie.Delay + one)
			pass(tie.Delay + two)
		default:
			pass(tie.Delay)
		}
	}
}
