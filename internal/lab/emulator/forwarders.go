// This file emulates partitions of large fleets: forwarders in front of some members cut the links between two groups of members, and
// forward all other traffic. They use less memory for each connection than MemberLinks, which emulates more faults.

package emulator

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	forwardBufferSize = 4096             // bytes, for each direction of a connection
	unansweredTimeout = 10 * time.Second // time after which a new connection over a link that stays cut is reset
)

// Forwarders forward connections and datagrams to some of the members. The sender is identified by its source IP address; traffic from
// an address that is no member's is never cut.
type Forwarders struct {
	members []netip.AddrPort    // addresses of all members
	sockets map[int]*socketPair // sockets of the forwarders, by member

	mu      sync.Mutex
	cut     []bool            // whether each member is in the group that is cut off; nil: no cut yet
	changed chan struct{}     // closed when cut changes
	conns   map[net.Conn]bool // open connections of both sides
	closed  bool
}

// NewForwarders starts a forwarder for each of the members with the given indices. Close stops them.
func NewForwarders(members []netip.AddrPort, indices []int) (*Forwarders, error) {
	f := &Forwarders{members: members, sockets: map[int]*socketPair{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	for _, m := range indices {
		sockets, err := listenTCPAndUDP()
		if err != nil {
			f.Close()
			return nil, err
		}
		f.sockets[m] = sockets
	}
	for m, sockets := range f.sockets {
		go f.accept(m, sockets)
		go f.forwardDatagrams(m, sockets)
	}
	return f, nil
}

// Advertised returns the address of a member's forwarder.
func (f *Forwarders) Advertised(member int) netip.AddrPort { return f.sockets[member].addr }

// CutLinks cuts the links between the given members and all others, in both directions, and restores all other links; nil restores all.
// Datagrams over a cut link are lost; the data of connections is held back until the link is restored.
func (f *Forwarders) CutLinks(group []int) {
	cut := make([]bool, len(f.members))
	for _, m := range group {
		cut[m] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	close(f.changed)
	f.changed = make(chan struct{})
}

// Close stops the forwarders and closes all connections.
func (f *Forwarders) Close() {
	for _, sockets := range f.sockets {
		sockets.close()
	}
	f.mu.Lock()
	f.closed = true
	conns := f.conns
	f.conns = nil
	f.mu.Unlock()
	f.CutLinks(nil)
	for c := range conns {
		_ = c.Close()
	}
}

// isCut reports whether the link between two members is cut, and returns a channel that is closed when that may have changed. The
// index -1 stands for an address that is no member's.
func (f *Forwarders) isCut(a, b int) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a >= 0 && b >= 0 && f.cut != nil && f.cut[a] != f.cut[b] && !f.closed, f.changed
}

// sender returns the index of the member that sends from an address, or -1 if the address is no member's.
func (f *Forwarders) sender(ip netip.Addr) int {
	return slices.IndexFunc(f.members, func(m netip.AddrPort) bool { return m.Addr() == ip.Unmap() })
}

// track adds a connection to those that Close closes; it reports false if the forwarders are closed.
func (f *Forwarders) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.conns[c] = true
	return true
}

// closeConn closes a connection and stops tracking it.
func (f *Forwarders) closeConn(c net.Conn) {
	_ = c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// accept accepts connections for a member until its listener is closed.
func (f *Forwarders) accept(to int, sockets *socketPair) {
	for {
		c, err := sockets.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // avoids a busy loop while no file descriptor is free
			continue
		}
		go f.forwardStream(to, c)
	}
}

// forwardStream forwards a connection to a member once the link from its sender is not cut.
func (f *Forwarders) forwardStream(to int, near *net.TCPConn) {
	defer f.closeConn(near)
	if !f.track(near) {
		return
	}
	from := f.sender(near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	for timeout := time.After(unansweredTimeout); ; { // like the retransmission of handshake packets, which ends after some time
		cut, changed := f.isCut(from, to)
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			_ = near.SetLinger(0)
			return
		}
	}
	far, err := net.Dial("tcp", f.members[to].String())
	if err != nil {
		_ = near.SetLinger(0) // resets the connection, as a port without a listener does
		return
	}
	defer f.closeConn(far)
	if !f.track(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { f.copyStream(from, to, near, far) })
	both.Go(func() { f.copyStream(from, to, far, near) })
	both.Wait()
}

// copyStream forwards one direction until it ends. A close or a failure of either side closes both.
func (f *Forwarders) copyStream(from, to int, in, out net.Conn) {
	buffer := make([]byte, forwardBufferSize)
	for {
		n, err := in.Read(buffer)
		for {
			cut, changed := f.isCut(from, to)
			if !cut {
				break
			}
			<-changed
		}
		if n > 0 {
			if _, e := out.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			_ = in.Close()
			_ = out.Close()
			return
		}
	}
}

// forwardDatagrams forwards datagrams to a member and drops those over a cut link.
func (f *Forwarders) forwardDatagrams(to int, sockets *socketPair) {
	buffer := make([]byte, 65536)
	for {
		n, source, err := sockets.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if cut, _ := f.isCut(f.sender(source.Addr()), to); !cut {
			_, _ = sockets.udp.WriteToUDPAddrPort(buffer[:n], f.members[to])
		}
	}
}
