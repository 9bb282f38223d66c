// This file emulates the network between the members of a fleet: one link for each ordered pair, for datagrams and connections.

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
	reorderDelay  = 80 * time.Millisecond // longest delay of a reordered datagram
	maxStreamLoss = 0.9                   // limit of the loss applied to streams: with a loss of 1, retransmission would never end
)

// MemberLink is the condition of the link from one member to another.
type MemberLink struct {
	Cut        bool          // whether datagrams are lost and the data of streams is held back
	Loss       float64       // share of datagrams that are lost; streams are retransmitted instead
	Delay      time.Duration // delay of datagrams and streams
	Duplicated float64       // share of datagrams that are duplicated and reordered
}

// MemberLinks emulates the links between the members of a fleet. Each member listens on one address and is reached by the others
// through a proxy on another address. The sender is identified by its source IP address, which is the one that it listens on.
type MemberLinks struct {
	proxies       []*socketPair    // proxies of the members, by member
	listenAddrs   []netip.AddrPort // addresses that the members listen on, by member
	externalLinks []*Link          // links for connections from outside the fleet, by member; nil unless they are accepted

	mu         sync.Mutex
	conditions [][]MemberLink // conditions of the links, by sender and receiver
	links      [][]*Link      // links for connections, by dialing and dialed member
	rng        *rand.Rand
}

// socketPair is a TCP listener and a UDP socket on the same address.
type socketPair struct {
	tcp  *net.TCPListener
	udp  *net.UDPConn
	addr netip.AddrPort
}

// NewMemberLinks picks addresses for a number of members and starts their proxies. Close stops them.
func NewMemberLinks(memberCount int, seed uint64) (*MemberLinks, error) {
	t := &MemberLinks{rng: rand.New(rand.NewPCG(seed, 0x7135))}
	for range memberCount {
		// The member's own address is free for TCP and UDP: both are opened on it and closed again before the member listens.
		member, err := listenTCPAndUDP()
		for err == nil && t.sender(member.addr.Addr()) >= 0 { // an IP address identifies its member as a sender, so no two members may have the same one
			member.close()
			member, err = listenTCPAndUDP()
		}
		if err != nil {
			t.Close()
			return nil, err
		}
		member.close()
		proxy, err := listenTCPAndUDP()
		if err != nil {
			t.Close()
			return nil, err
		}
		t.listenAddrs, t.proxies = append(t.listenAddrs, member.addr), append(t.proxies, proxy)
	}
	for from := range memberCount {
		t.conditions = append(t.conditions, make([]MemberLink, memberCount))
		t.links = append(t.links, nil)
		for to := range memberCount {
			t.links[from] = append(t.links[from], newLink(t.listenAddrs[to].String()))
		}
	}
	for to, proxy := range t.proxies {
		go t.accept(to, proxy)
		go t.read(to, proxy)
	}
	return t, nil
}

// AcceptExternal makes the proxies accept connections from outside the fleet, over links without faults. It must be called before the
// first such connection.
func (t *MemberLinks) AcceptExternal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, addr := range t.listenAddrs {
		t.externalLinks = append(t.externalLinks, newLink(addr.String()))
	}
}

// listenTCPAndUDP opens a TCP listener and a UDP socket on the same address.
func listenTCPAndUDP() (*socketPair, error) {
	var lastErr error
	for range 20 { // a port that is free for TCP may be in use for UDP
		ln, err := net.Listen("tcp", Loopback())
		if err != nil {
			return nil, err
		}
		f := &socketPair{tcp: ln.(*net.TCPListener), addr: ln.Addr().(*net.TCPAddr).AddrPort()}
		if f.udp, lastErr = net.ListenUDP("udp", net.UDPAddrFromAddrPort(f.addr)); lastErr == nil {
			return f, nil
		}
		_ = ln.Close()
	}
	return nil, fmt.Errorf("open a UDP socket on the port of a TCP listener: %w", lastErr)
}

// close closes both sockets.
func (f *socketPair) close() {
	_ = f.tcp.Close()
	_ = f.udp.Close()
}

// Listen returns the address for a member to listen on.
func (t *MemberLinks) Listen(member int) netip.AddrPort { return t.listenAddrs[member] }

// Advertised returns the address of a member's proxy, on which the other members reach it.
func (t *MemberLinks) Advertised(member int) netip.AddrPort { return t.proxies[member].addr }

// Set calls change for each ordered pair of members to change the condition of its link.
func (t *MemberLinks) Set(change func(from, to int, link *MemberLink)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for from := range t.conditions {
		for to := range t.conditions[from] {
			change(from, to, &t.conditions[from][to])
		}
	}
	for from := range t.conditions {
		for to := range t.conditions[from] {
			forth, back := t.conditions[from][to], t.conditions[to][from]
			t.links[from][to].Set(func(c *Condition) {
				*c = Condition{CutIn: forth.Cut, CutOut: back.Cut, ExtraDelayIn: forth.Delay, ExtraDelayOut: back.Delay,
					RetransmitShare: min(max(forth.Loss, back.Loss), maxStreamLoss)}
			})
		}
	}
}

// Close stops the proxies and resets all connections.
func (t *MemberLinks) Close() {
	for _, proxy := range t.proxies {
		proxy.close()
	}
	for _, row := range append(t.links, t.externalLinks) {
		for _, l := range row {
			l.Close()
		}
	}
}

// sender returns the index of the member that sends from an address, or -1 if the address is no member's.
func (t *MemberLinks) sender(ip netip.Addr) int {
	for i, a := range t.listenAddrs {
		if a.Addr() == ip.Unmap() {
			return i
		}
	}
	return -1
}

// accept accepts connections for a member and forwards each one over the link from its sender.
func (t *MemberLinks) accept(to int, proxy *socketPair) {
	for {
		c, err := proxy.tcp.AcceptTCP()
		if err != nil {
			return
		}
		from := t.sender(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		t.mu.Lock()
		if from < 0 && t.externalLinks != nil {
			go t.externalLinks[to].forward(c)
			t.mu.Unlock()
			continue
		}
		t.mu.Unlock()
		if from < 0 {
			reset(c)
			continue
		}
		t.mu.Lock()
		cut := t.conditions[from][to].Cut || t.conditions[to][from].Cut
		t.mu.Unlock()
		if cut { // no handshake completes over a cut link; the dialing member waits for its own timeout
			time.AfterFunc(10*time.Second, func() { reset(c) })
			continue
		}
		go t.links[from][to].forward(c)
	}
}

// read receives the datagrams for a member and delivers them subject to the link's condition.
func (t *MemberLinks) read(to int, proxy *socketPair) {
	buffer := make([]byte, 65536)
	for {
		n, source, err := proxy.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := t.sender(source.Addr())
		if from < 0 {
			continue
		}
		text := append([]byte(nil), buffer[:n]...)
		t.mu.Lock()
		link := t.conditions[from][to]
		lost, duplicated := t.rng.Float64() < link.Loss, t.rng.Float64() < link.Duplicated
		delay1, delay2 := time.Duration(t.rng.Float64()*float64(reorderDelay)), time.Duration(t.rng.Float64()*float64(reorderDelay))
		t.mu.Unlock()
		deliver := func(delay time.Duration) {
			if delay == 0 {
				_, _ = proxy.udp.WriteToUDPAddrPort(text, t.listenAddrs[to])
				return
			}
			time.AfterFunc(delay, func() { _, _ = proxy.udp.WriteToUDPAddrPort(text, t.listenAddrs[to]) })
		}
		switch {
		case link.Cut || lost:
		case duplicated:
			deliver(link.Delay + delay1)
			deliver(link.Delay + delay2)
		default:
			deliver(link.Delay)
		}
	}
}
