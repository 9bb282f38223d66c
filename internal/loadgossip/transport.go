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
	waitMost  = 4    // messages that wait to be sent; more are dropped
	heardMost = 1024 // messages that wait to be taken in; more are dropped
)

// Transport is one balancer's socket for the messages. Others are known by the address that they send from, which is the one
// that they listen at.
type Transport struct {
	conn   *net.UDPConn
	others atomic.Pointer[[]netip.AddrPort]
	send   chan [][]byte
	told   func(from int, t policy.GossipMessage, done func())
	wait   atomic.Int64

	n *Counters
}

// Counters are sums over all links: messages sent and taken in, and those of strangers, unreadable, or too many.
type Counters struct{ Sent, Received, Dropped *atomic.Int64 }

// Listen listens at an address and knows the others, whose numbers are their places. What they tell goes to told, which
// must not block and calls done when the message is taken in. shared: another process of the same balancer may listen there
// too; what comes then goes to the newest.
func Listen(listen netip.AddrPort, shared bool, others []netip.AddrPort, n *Counters, told func(from int, t policy.GossipMessage, done func())) (*Transport, error) {
	config := net.ListenConfig{}
	if shared { // guards against an upgrade that can't start: the old process still listens there
		config.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) })
			return err
		}
	}
	conn, err := config.ListenPacket(context.Background(), "udp", listen.String())
	if err != nil {
		return nil, err
	}
	l := &Transport{conn: conn.(*net.UDPConn), send: make(chan [][]byte, waitMost), told: told, n: n}
	l.SetPeers(others)
	go l.read()
	go l.write()
	return l, nil
}

// SetPeers has others take the place of those known before.
func (l *Transport) SetPeers(others []netip.AddrPort) { l.others.Store(&others) }

// Peers are the others known now.
func (l *Transport) Peers() []netip.AddrPort { return *l.others.Load() }

// Addr is the address that it listens at.
func (l *Transport) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Broadcast sends a message to every other balancer, beside the caller. It is called by one goroutine, none after Close.
func (l *Transport) Broadcast(t policy.GossipMessage) {
	select {
	case l.send <- Encode(t):
	default:
		l.n.Dropped.Add(1)
	}
}

// Close ends both ways at once; what has not been sent is lost.
func (l *Transport) Close() {
	close(l.send)
	_ = l.conn.Close()
}

func (l *Transport) write() {
	for texts := range l.send {
		for _, other := range l.Peers() {
			for _, text := range texts {
				if _, err := l.conn.WriteToUDPAddrPort(text, other); err == nil {
					l.n.Sent.Add(1)
				}
			}
		}
	}
}

func (l *Transport) read() {
	text := make([]byte, MaxDatagramSize+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(text)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // nobody listened at an address that was sent to: the kernel tells it with the next read
		}
		number := slices.Index(l.Peers(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		t, err := Decode(text[:n])
		if number < 0 || err != nil || l.wait.Load() >= heardMost {
			l.n.Dropped.Add(1)
			continue
		}
		l.n.Received.Add(1)
		l.wait.Add(1)
		l.told(number, t, func() { l.wait.Add(-1) })
	}
}
