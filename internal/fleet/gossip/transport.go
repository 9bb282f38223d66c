package gossip

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"sabletally/internal/fleet/framing"
)

const (
	packetsMost = 4096 // datagrams that wait to be read; more are dropped, as the network drops them
	streamsMost = 1024 // streams that others hold open, one from each other member; one more is closed
	linksMost   = 1024
	comingMost  = 256             // streams more that may be open unsorted where followers are taken: many come at once when others are lost
	firstIn     = 3 * time.Second // the first byte of a stream
	longest     = 65536
	bufferKiB   = 256 // of the kernel, for datagrams: a member that was stopped finds so much of what came meanwhile
)

// Transport carries the library's datagrams and streams, over one address for both. It sends from that address's IP, so that who
// it is sent from tells who sends.
type Transport struct {
	listen, advertise netip.AddrPort
	udp               *net.UDPConn
	tcp               *net.TCPListener
	packets           chan *memberlist.Packet
	streams           chan net.Conn
	links, follows    chan net.Conn
	followers         int64 // most
	held, linked      atomic.Int64
	followed          atomic.Int64
	all               sync.WaitGroup
	done              context.Context
	end               context.CancelFunc

	BytesSent, BytesReceived          atomic.Int64 // bytes of datagrams
	DatagramsDropped, StreamsRejected atomic.Int64 // datagrams, and streams, that found no room
}

// Listen opens an address for both; followers is how many streams of those are taken, 0 for none.
func Listen(listen, advertise netip.AddrPort, followers int) (*Transport, error) {
	w := &Transport{listen: listen, advertise: advertise, packets: make(chan *memberlist.Packet, packetsMost), streams: make(chan net.Conn),
		links: make(chan net.Conn), follows: make(chan net.Conn), followers: int64(followers)}
	w.done, w.end = context.WithCancel(context.Background())
	var err error
	if w.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen)); err != nil {
		return nil, err
	}
	if w.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		_ = w.tcp.Close()
		return nil, err
	}
	_ = w.udp.SetReadBuffer(bufferKiB << 10) // less is what the kernel grants: more is lost then, and sent again
	w.all.Add(2)
	go w.read()
	go w.accept()
	return w, nil
}

func (w *Transport) read() {
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
		w.BytesReceived.Add(int64(n))
		p := &memberlist.Packet{Buf: append([]byte(nil), buffer[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
		select {
		case w.packets <- p:
		default:
			w.DatagramsDropped.Add(1)
		}
	}
}

func (w *Transport) accept() {
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
		most := int64(streamsMost)
		if w.followers > 0 {
			most += comingMost
		}
		if w.held.Add(1) > most {
			w.held.Add(-1)
			w.StreamsRejected.Add(1)
			_ = c.Close()
			continue
		}
		s := w.hold(c, &w.held)
		w.all.Add(1)
		go func() { defer w.all.Done(); w.sort(s) }()
	}
}

// PeerStreamMark is the first byte of a stream that is a link between members; followers' begin with stream.Mark, the library's with others.
const PeerStreamMark = 's'

// sort hands a stream to whom it is for, by its first byte.
func (w *Transport) sort(s *taken) {
	_ = s.SetReadDeadline(time.Now().Add(firstIn))
	n, err := io.ReadFull(s.Conn, s.first[:])
	_ = s.SetReadDeadline(time.Time{})
	to := w.streams
	if err == nil {
		switch s.first[0] {
		case PeerStreamMark:
			err = w.move(s, &w.linked, linksMost)
			to = w.links
		case framing.StreamMark:
			err = w.move(s, &w.followed, w.followers)
			to = w.follows
		}
	}
	if err != nil {
		_ = s.Close()
		return
	}
	s.unread = n
	select {
	case to <- s:
	case <-w.done.Done():
		_ = s.Close()
	}
}

// move counts a stream among others of its kind, of which there may be so many.
func (w *Transport) move(s *taken, to *atomic.Int64, most int64) error {
	if to.Add(1) > most {
		to.Add(-1)
		w.StreamsRejected.Add(1)
		return net.ErrClosed
	}
	w.held.Add(-1)
	s.counts = to
	return nil
}

// taken is a stream; it ends with the wire, and one that others opened gives its place back.
type taken struct {
	net.Conn
	stop   func() bool
	once   sync.Once
	counts *atomic.Int64
	first  [1]byte // read already
	unread int
}

func (w *Transport) hold(c net.Conn, counts *atomic.Int64) *taken {
	return &taken{Conn: c, counts: counts, stop: context.AfterFunc(w.done, func() { _ = c.Close() })}
}

// Unwrap is the connection itself.
func (s *taken) Unwrap() net.Conn { return s.Conn }

func (s *taken) Read(b []byte) (int, error) {
	if s.unread > 0 && len(b) > 0 {
		s.unread = 0
		b[0] = s.first[0]
		return 1, nil
	}
	return s.Conn.Read(b)
}

func (s *taken) Close() error {
	s.once.Do(func() {
		s.stop()
		if s.counts != nil {
			s.counts.Add(-1)
		}
	})
	return s.Conn.Close()
}

// FinalAdvertiseAddr is where the others reach this member.
func (w *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return w.advertise.Addr().AsSlice(), int(w.advertise.Port()), nil
}

// WriteTo sends a datagram.
func (w *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	w.BytesSent.Add(int64(len(b)))
	_, err = w.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// DialTimeout opens a stream.
func (w *Transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if ip := w.listen.Addr(); !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	c, err := d.DialContext(w.done, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return w.hold(c, nil), nil
}

// PacketCh and StreamCh are where what comes in is taken from.
func (w *Transport) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *Transport) StreamCh() <-chan net.Conn           { return w.streams }

// PeerStreams is where links that other members opened are taken from, their first byte still to be read.
func (w *Transport) PeerStreams() <-chan net.Conn { return w.links }

// Follows is the same for followers' streams.
func (w *Transport) Follows() <-chan net.Conn { return w.follows }

// Done is closed with the wire.
func (w *Transport) Done() <-chan struct{} { return w.done.Done() }

// Shutdown closes the address and waits until nothing is read any more.
func (w *Transport) Shutdown() error {
	w.end()
	_ = w.tcp.Close()
	_ = w.udp.Close()
	w.all.Wait()
	return nil
}
