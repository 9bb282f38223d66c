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
	maxQueuedDatagrams     = 4096                   // maximum number of received datagrams waiting for the library; more are dropped, as a network may drop them
	maxLibraryStreams      = 1024                   // maximum number of open streams of the library that others opened
	maxPeerStreams         = 1024                   // maximum number of open streams for packets between members that others opened
	maxUnidentifiedStreams = 256                    // number of unidentified streams allowed beyond maxLibraryStreams if subscribers are accepted, as many of them may reconnect at once
	firstByteTimeout       = 3 * time.Second        // longest wait for the first byte of a stream
	acceptRetryDelay       = 100 * time.Millisecond // pause after a failed accept
	maxDatagramBytes       = 64 << 10
	receiveBufferBytes     = 256 << 10 // size of the kernel's buffer, which holds the datagrams that arrive while the process is paused
)

// PeerStreamMark is the first byte of a stream for packets between members. A subscriber's stream begins with framing.StreamMark, a stream of
// the library with neither of the two.
const PeerStreamMark = 's'

// errTooManyStreams is the error of a stream that was rejected because too many streams of its kind are open.
var errTooManyStreams = errors.New("too many open streams of one kind")

// Transport carries the library's datagrams and streams, the streams between members and the streams of subscribers over one address. It
// sends from that address, so that the receiver can identify the sender. It is a memberlist.Transport.
type Transport struct {
	// Bytes of datagrams that were sent and received.
	BytesSent, BytesReceived atomic.Int64

	DatagramsDropped atomic.Int64 // number of received datagrams that were dropped because the queue was full
	StreamsRejected  atomic.Int64 // number of streams that were rejected because too many were open

	listenAddr    netip.AddrPort
	advertiseAddr netip.AddrPort
	udp           *net.UDPConn
	tcp           *net.TCPListener

	datagrams         chan *memberlist.Packet
	libraryStreams    chan net.Conn
	peerStreams       chan net.Conn
	subscriberStreams chan net.Conn

	// Numbers of open streams that others opened, by kind. A stream whose kind is not known yet counts as the library's.
	libraryStreamCount    atomic.Int64
	peerStreamCount       atomic.Int64
	subscriberStreamCount atomic.Int64
	maxSubscriberStreams  int64

	ctx        context.Context // canceled when the transport ends
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Listen opens a transport at an address. maxSubscribers is the largest number of open streams of subscribers; 0 accepts none.
func Listen(listen, advertise netip.AddrPort, maxSubscribers int) (*Transport, error) {
	t := &Transport{
		listenAddr:           listen,
		advertiseAddr:        advertise,
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
		_ = t.tcp.Close() // the error of the UDP socket is returned
		return nil, err
	}
	_ = t.udp.SetReadBuffer(receiveBufferBytes) // a failure is harmless: with a smaller buffer, more datagrams are lost and sent again
	t.goroutines.Add(2)
	go t.receiveDatagrams()
	go t.acceptStreams()
	return t, nil
}

// receiveDatagrams queues datagrams until the transport ends.
func (t *Transport) receiveDatagrams() {
	defer t.goroutines.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was sent to an address without a listener: the kernel reports that with a later read
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

// acceptStreams accepts the streams that others open until the transport ends.
func (t *Transport) acceptStreams() {
	defer t.goroutines.Done()
	limit := int64(maxLibraryStreams)
	if t.maxSubscriberStreams > 0 {
		limit += maxUnidentifiedStreams
	}
	for {
		conn, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // most likely the process has too many open files
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if !t.acquireSlot(&t.libraryStreamCount, limit) {
			_ = conn.Close() // the stream is rejected whether or not this fails
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

// acquireSlot counts one more open stream of a kind. It returns false and counts a rejection if the limit is reached.
func (t *Transport) acquireSlot(count *atomic.Int64, limit int64) bool {
	if count.Add(1) > limit {
		count.Add(-1)
		t.StreamsRejected.Add(1)
		return false
	}
	return true
}

// dispatch passes a stream to the receiver of its kind, which its first byte tells.
func (t *Transport) dispatch(s *stream) {
	receiver, err := t.identify(s)
	if err != nil {
		_ = s.Close() // the stream is rejected whether or not this fails
		return
	}
	select {
	case receiver <- s:
	case <-t.ctx.Done():
		_ = s.Close()
	}
}

// identify reads the first byte of a stream, counts the stream among those of its kind and returns the receiver of that kind.
func (t *Transport) identify(s *stream) (chan<- net.Conn, error) {
	_ = s.SetReadDeadline(time.Now().Add(firstByteTimeout)) // fails only on a closed connection, on which the read fails as well
	n, err := io.ReadFull(s.Conn, s.firstByte[:])
	_ = s.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, err
	}
	receiver := t.libraryStreams
	switch s.firstByte[0] {
	case PeerStreamMark:
		err = t.reclassify(s, &t.peerStreamCount, maxPeerStreams)
		receiver = t.peerStreams
	case framing.StreamMark:
		err = t.reclassify(s, &t.subscriberStreamCount, t.maxSubscriberStreams)
		receiver = t.subscriberStreams
	}
	s.unreadBytes = n
	return receiver, err
}

// reclassify counts a stream among those of another kind instead of the library's, up to a limit.
func (t *Transport) reclassify(s *stream, count *atomic.Int64, limit int64) error {
	if !t.acquireSlot(count, limit) {
		return errTooManyStreams
	}
	t.libraryStreamCount.Add(-1)
	s.kindCount = count
	return nil
}

// FinalAdvertiseAddr returns the address at which other members reach this one.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertiseAddr.Addr().AsSlice(), int(t.advertiseAddr.Port()), nil
}

// WriteTo sends a datagram to an address and returns the time at which it was sent.
func (t *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	t.BytesSent.Add(int64(len(b)))
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	return time.Now(), err
}

// DialTimeout opens a stream to an address. The stream is closed when the transport ends.
func (t *Transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if ip := t.listenAddr.Addr(); !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip.AsSlice()}
	}
	conn, err := d.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return t.newStream(conn, nil), nil
}

// PacketCh returns the channel of received datagrams.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.datagrams }

// StreamCh returns the channel of the library's streams that others opened.
func (t *Transport) StreamCh() <-chan net.Conn { return t.libraryStreams }

// PeerStreams returns the channel of streams for packets that other members opened. Reading such a stream starts with its first byte.
func (t *Transport) PeerStreams() <-chan net.Conn { return t.peerStreams }

// SubscriberStreams returns the channel of streams that subscribers opened. Reading such a stream starts with its first byte.
func (t *Transport) SubscriberStreams() <-chan net.Conn { return t.subscriberStreams }

// Done returns a channel that is closed when the transport ends.
func (t *Transport) Done() <-chan struct{} { return t.ctx.Done() }

// Shutdown closes the listeners and all streams and waits for the transport's goroutines. It never fails.
func (t *Transport) Shutdown() error {
	t.cancel()
	_ = t.tcp.Close() // the listeners are not used any more, so that an error has no effect
	_ = t.udp.Close()
	t.goroutines.Wait()
	return nil
}
