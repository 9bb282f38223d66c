// This file owns fronts: what stands before some members of a fleet so that the ways between two groups of members can be cut, while
// everybody else, however many, goes through. It holds little for each connection; Ties know more faults, and members alone.

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
	unansweredTimeout = 10 * time.Second // a dial over a link that stays cut is reset after it up
)

// Forwarders stand before the members whose index they were told. Who sends is told by its IP address; what is no member's is a stranger's,
// and its way is never cut. It reads the other members' addresses alone.
type Forwarders struct {
	members []netip.AddrPort
	own     map[int]*memberFront

	mu      sync.Mutex
	cut     []bool        // by member: the group that is cut off
	changed chan struct{} // closed when cut changes
	conns   map[net.Conn]bool
	closed  bool
}

// NewForwarders stands before some of the members. Close ends all.
func NewForwarders(members []netip.AddrPort, before []int) (*Forwarders, error) {
	f := &Forwarders{members: members, own: map[int]*memberFront{}, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	for _, m := range before {
		own, err := listenTCPAndUDP()
		if err != nil {
			f.Close()
			return nil, err
		}
		f.own[m] = own
	}
	for m, own := range f.own {
		go f.accept(m, own)
		go f.forwardDatagrams(m, own)
	}
	return f, nil
}

// Advertised is where a member is reached through its front.
func (f *Forwarders) Advertised(member int) netip.AddrPort { return f.own[member].addr }

// Cut cuts the ways between the members told and all others, both ways; nil heals all. Datagrams are lost, what is in a connection is
// held back until it is healed.
func (f *Forwarders) Cut(off []int) {
	cut := make([]bool, len(f.members))
	for _, m := range off {
		cut[m] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	close(f.changed)
	f.changed = make(chan struct{})
}

// Close ends all.
func (f *Forwarders) Close() {
	for _, own := range f.own {
		own.close()
	}
	f.mu.Lock()
	f.closed = true
	conns := f.conns
	f.conns = nil
	f.mu.Unlock()
	f.Cut(nil)
	for c := range conns {
		_ = c.Close()
	}
}

// isCut tells whether the way between two members is cut, and a channel that is closed once that may have changed. A stranger is -1.
func (f *Forwarders) isCut(a, b int) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a >= 0 && b >= 0 && f.cut != nil && f.cut[a] != f.cut[b] && !f.closed, f.changed
}

func (f *Forwarders) sender(ip netip.Addr) int {
	return slices.IndexFunc(f.members, func(m netip.AddrPort) bool { return m.Addr() == ip.Unmap() })
}

func (f *Forwarders) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.conns[c] = true
	return true
}

func (f *Forwarders) closeConn(c net.Conn) {
	_ = c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

func (f *Forwarders) accept(to int, own *memberFront) {
	for {
		c, err := own.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // no descriptor is free: guards against a loop that turns on it
			continue
		}
		go f.forwardStream(to, c)
	}
}

func (f *Forwarders) forwardStream(to int, near *net.TCPConn) {
	defer f.closeConn(near)
	if !f.track(near) {
		return
	}
	from := f.sender(near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
	for late := time.After(unansweredTimeout); ; { // first packets that are lost are sent again, for a while
		cut, changed := f.isCut(from, to)
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-late:
			_ = near.SetLinger(0)
			return
		}
	}
	far, err := net.Dial("tcp", f.members[to].String())
	if err != nil {
		_ = near.SetLinger(0) // so that who dialed is reset, as by a port that nobody listens at
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

// copyStream passes one direction on until it ends. An end or a failure of the one side is the other's.
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

func (f *Forwarders) forwardDatagrams(to int, own *memberFront) {
	buffer := make([]byte, 65536)
	for {
		n, sent, err := own.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if cut, _ := f.isCut(f.sender(sent.Addr()), to); !cut {
			_, _ = own.udp.WriteToUDPAddrPort(buffer[:n], f.members[to])
		}
	}
}
