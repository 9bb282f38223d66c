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
	maxQueuedDatagrams = 4096 // more are dropped, as the network drops them
	maxStreams         = 1024 // of the library's that others opened
	maxPeerStreams     = 1024
	maxUnsorted        = 256 // further streams whose first byte is not read yet, where subscribers are accepted: many reconnect at once
	firstByteTimeout   = 3 * time.Second
	acceptRetryDelay   = 100 * time.Millisecond
	maxDatagramBytes   = 64 << 10
	receiveBufferBytes = 256 << 10 // of the kernel, for what arrives while the process is paused
)

// PeerStreamMark is the first byte of a stream for packets between members. A subscriber's stream begins with framing.StreamMark, one of the
// library's with neither.
const PeerStreamMark = 's'

// errNoRoom means that a stream was rejected as there are too many of its kind.
var errNoRoom = errors.New("too many streams")

// Transport carries the library's datagrams and streams, the streams between members, and those of subscribers over one address. It sends
// from that address, so that the receiver sees who sent. It is a memberlist.Transport.
type Transport struct {
	// Counts of datagrams' bytes.
	BytesSent, BytesReceived atomic.Int64

	DatagramsDropped atomic.Int64 // the queue was full
	StreamsRejected  atomic.Int64 // there were too many

	listen    netip.AddrPort
	advertise netip.AddrPort
	udp       *net.UDPConn
	tcp       *net.TCPListener

	datagrams         chan *memberlist.Packet
	libraryStreams    chan net.Conn
	peerStreams       chan net.Conn
	subscriberStreams chan net.Conn

	// Open streams that others opened, by kind. Those whose kind is not known yet count as the library's.
	libraryStreamCount    atomic.Int64
	peerStreamCount       atomic.Int64
	subscriberStreamCount atomic.Int64
	maxSubscriberStreams  int64

	ctx        context.Context // ends with the transport
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Listen opens the address. maxSubscribers is how many streams of subscribers are accepted, 0 for none.
func Listen(listen, advertise netip.AddrPort, maxSubscribers int) (*Transport, error) {
	t := &Transport{
		listen:               listen,
		advertise:            advertise,
		datagrams:            make(chan *memberlist.Packet, maxQueuedDatagrams),
		libraryStreams:       make(chan net.Conn),
		peerStreams:          make(chan net.Conn),
		subscriberStreams:    make(chan net.Conn),
		maxSubscriberStreams: int64(maxSubscribers),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	var err error
	if t.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen)); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		_ = t.tcp.Close() // the error of the other listener is reported
		return nil, err
	}
	_ = t.udp.SetReadBuffer(receiveBufferBytes) // with less than that more datagrams are lost, and sent again
	t.goroutines.Add(2)
	go t.receive()
	go t.accept()
	return t, nil
}

// receive queues datagrams until the transport ends.
func (t *Transport) receive() {
	defer t.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram reached an address where nobody listens
		}
		t.BytesReceived.Add(int64(n))
		packet := &memberlist.Packet{Buf: append([]byte(nil), buffer[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
		select {
		case t.datagrams <- packet:
		default:
			t.DatagramsDropped.Add(1)
		}
	}
}

// accept takes streams that others open until the transport ends.
func (t *Transport) accept() {
	defer t.goroutines.Done()
	limit := int64(maxStreams)
	if t.maxSubscriberStreams > 0 {
		limit += maxUnsorted
	}
	for {
		conn, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // most likely there are too many open files
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if !t.acquire(&t.libraryStreamCount, limit) {
			_ = conn.Close() // it is rejected in any case
			continue
		}
		s := t.newStream(conn, &t.libraryStreamCount)
		t.goroutines.Add(1)
		go func() {
			defer t.goroutines.Done()
			t.dispatch(s)
		}()
	}
}

// acquire counts one more stream of a kind, or rejects it.
func (t *Transport) acquire(count *atomic.Int64, limit int64) bool {
	if count.Add(1) > limit {
		count.Add(-1)
		t.StreamsRejected.Add(1)
		return false
	}
	return true
}

// dispatch hands a stream to the receiver of its kind, which its first byte says.
func (t *Transport) dispatch(s *stream) {
	receiver, err := t.identify(s)
	if err != nil {
		_ = s.Close() // it is rejected in any case
		return
	}
	select {
	case receiver <- s:
	case <-t.ctx.Done():
		_ = s.Close()
	}
}

// identify reads the first byte of a stream and counts it among those of its kind.
func (t *Transport) identify(s *stream) (chan<- net.Conn, error) {
	_ = s.SetReadDeadline(time.Now().Add(firstByteTimeout)) // a closed connection fails in the read
	n, err := io.ReadFull(s.Conn, s.first[:])
	_ = s.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, err
	}
	receiver := t.libraryStreams
	switch s.first[0] {
	case PeerStreamMark:
		err = t.reclassify(s, &t.peerStreamCount, maxPeerStreams)
		receiver = t.peerStreams
	case framing.StreamMark:
		err = t.reclassify(s, &t.subscriberStreamCount, t.maxSubscriberStreams)
		receiver = t.subscriberStreams
	}
	s.unread = n
	return receiver, err
}

// reclassify counts a stream among those of another kind.
func (t *Transport) reclassify(s *stream, count *atomic.Int64, limit int64) error {
	if !t.acquire(count, limit) {
		return errNoRoom
	}
	t.libraryStreamCount.Add(-1)
	s.count = count
	return nil
}

// FinalAdvertiseAddr returns the address at which the others reach this member.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// WriteTo sends a datagram.
func (t *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	t.BytesSent.Add(int64(len(b)))
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// DialTimeout opens a stream, which ends with the transport.
func (t *Transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if ip := t.listen.Addr(); !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	conn, err := d.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return t.newStream(conn, nil), nil
}

// PacketCh returns the datagrams that arrive.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.datagrams }

// StreamCh returns the library's streams that others opened.
func (t *Transport) StreamCh() <-chan net.Conn { return t.libraryStreams }

// PeerStreams returns the streams for packets that other members opened. Their first byte is still to be read.
func (t *Transport) PeerStreams() <-chan net.Conn { return t.peerStreams }

// SubscriberStreams returns the streams that subscribers opened. Their first byte is still to be read.
func (t *Transport) SubscriberStreams() <-chan net.Conn { return t.subscriberStreams }

// Done returns a channel that is closed when the transport ends.
func (t *Transport) Done() <-chan struct{} { return t.ctx.Done() }

// Shutdown closes the address and all streams, and waits for the transport's goroutines. It never fails.
func (t *Transport) Shutdown() error {
	t.cancel()
	_ = t.tcp.Close() // nothing of it is used any more
	_ = t.udp.Close()
	t.goroutines.Wait()
	return nil
}
