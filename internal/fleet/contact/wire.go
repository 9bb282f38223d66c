package contact

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	packetsMost = 512 // datagrams that wait to be read; more are dropped, as the network drops them
	streamsMost = 32  // streams that others hold open; one more is closed
	longest     = 65536
	bufferKiB   = 256 // of the kernel, for datagrams: a member that was stopped finds so much of what came meanwhile
)

// Wire carries the library's datagrams and streams, over one address for both. It sends from that address's IP, so that who
// it is sent from tells who sends.
type Wire struct {
	listen, advertise netip.AddrPort
	udp               *net.UDPConn
	tcp               *net.TCPListener
	packets           chan *memberlist.Packet
	streams           chan net.Conn
	held              atomic.Int64
	all               sync.WaitGroup
	done              context.Context
	end               context.CancelFunc

	Sent, Heard       atomic.Int64 // bytes of datagrams
	Dropped, Unopened atomic.Int64 // datagrams, and streams, that found no room
}

// Listen opens an address for both.
func Listen(listen, advertise netip.AddrPort) (*Wire, error) {
	w := &Wire{listen: listen, advertise: advertise, packets: make(chan *memberlist.Packet, packetsMost), streams: make(chan net.Conn)}
	w.done, w.end = context.WithCancel(context.Background())
	var err error
	if w.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen)); err != nil {
		return nil, err
	}
	if w.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		w.tcp.Close()
		return nil, err
	}
	w.udp.SetReadBuffer(bufferKiB << 10) // less is what the kernel grants: more is lost then, and sent again
	w.all.Add(2)
	go w.read()
	go w.accept()
	return w, nil
}

func (w *Wire) read() {
	defer w.all.Done()
	buffer := make([]byte, longest)
	for {
		n, from, err := w.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // nobody listened at an address that was sent to
		}
		w.Heard.Add(int64(n))
		p := &memberlist.Packet{Buf: append([]byte(nil), buffer[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
		select {
		case w.packets <- p:
		default:
			w.Dropped.Add(1)
		}
	}
}

func (w *Wire) accept() {
	defer w.all.Done()
	for {
		c, err := w.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select { // no descriptors, most likely
			case <-w.done.Done():
				return
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		if w.held.Add(1) > streamsMost {
			w.held.Add(-1)
			w.Unopened.Add(1)
			c.Close()
			continue
		}
		select {
		case w.streams <- w.hold(c, true):
		case <-w.done.Done():
			c.Close()
		}
	}
}

// stream ends with the wire, and one that others opened gives its place back.
type stream struct {
	net.Conn
	of   *Wire
	stop func() bool
	once sync.Once
	in   bool
}

func (w *Wire) hold(c net.Conn, in bool) *stream {
	return &stream{Conn: c, of: w, in: in, stop: context.AfterFunc(w.done, func() { c.Close() })}
}

func (s *stream) Close() error {
	s.once.Do(func() {
		s.stop()
		if s.in {
			s.of.held.Add(-1)
		}
	})
	return s.Conn.Close()
}

// FinalAdvertiseAddr is where the others reach this member.
func (w *Wire) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return w.advertise.Addr().AsSlice(), int(w.advertise.Port()), nil
}

// WriteTo sends a datagram.
func (w *Wire) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	w.Sent.Add(int64(len(b)))
	_, err = w.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// DialTimeout opens a stream.
func (w *Wire) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if ip := w.listen.Addr(); !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	c, err := d.DialContext(w.done, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return w.hold(c, false), nil
}

// PacketCh and StreamCh are where what comes in is taken from.
func (w *Wire) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *Wire) StreamCh() <-chan net.Conn           { return w.streams }

// Shutdown closes the address and waits until nothing is read any more.
func (w *Wire) Shutdown() error {
	w.end()
	w.tcp.Close()
	w.udp.Close()
	w.all.Wait()
	return nil
}

func (w *Wire) String() string { return fmt.Sprintf("%v as %v", w.listen, w.advertise) }
