package nodeserver

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/node"
)

const (
	waitMost  = 1024     // packets that wait for one member; more are dropped, and asked for again by who needs them
	frameMost = 16 << 20 // bytes of one packet
	dialIn    = time.Second
	dialEach  = 200 * time.Millisecond
	writeIn   = 2 * time.Second
	helloIn   = 3 * time.Second
	idle      = time.Minute // a link that nothing was sent on for so long is closed
	deadAfter = 3 * time.Second
)

var table = crc32.MakeTable(crc32.Castagnoli)

// hello is the first frame of a stream: who speaks to whom. The receiver refuses one that was meant for a member that had its address
// before. The CBOR names are the wire form.
type hello struct {
	Fleet string `cbor:"Fleet"` // name in the fleet file
	Form  int    `cbor:"Form"`
	From  string `cbor:"From"` // member ID
	To    string `cbor:"To"`   // member ID
}

// frame words one packet: its length, its checksum, and itself.
func frame(v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	text := make([]byte, 8, 8+len(body))
	binary.BigEndian.PutUint32(text, uint32(len(body)))
	binary.BigEndian.PutUint32(text[4:], crc32.Checksum(body, table))
	return append(text, body...), nil
}

// unframe reads one.
func unframe(r io.Reader, v any) (int, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost {
		return 0, fmt.Errorf("a packet of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, err
	}
	if crc32.Checksum(body, table) != binary.BigEndian.Uint32(head[4:]) {
		return 0, errors.New("a packet whose checksum is wrong")
	}
	return int(n) + len(head), cbor.Unmarshal(body, v)
}

// links are the ways to all other members, each opened when something is to be sent.
type links struct {
	fleet, self string
	wire        *gossip.Transport
	heard       func(node.Packet)

	mu  sync.Mutex
	to  map[string]*link
	all sync.WaitGroup

	sent, got, dropped, odd atomic.Int64 // bytes; packets that found no room, what made no sense
}

// link is the way to one.
type link struct {
	of   *links
	id   string
	addr string
	wait chan []byte
}

// send puts a packet on the way to a member at an address. It never waits.
func (l *links) send(id, addr string, p node.Packet) {
	text, err := frame(p)
	if err != nil || len(text) > frameMost {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	k := l.to[id]
	if k == nil || k.addr != addr {
		if k != nil {
			close(k.wait)
		}
		k = &link{of: l, id: id, addr: addr, wait: make(chan []byte, waitMost)}
		l.to[id] = k
		l.all.Add(1)
		go func() { defer l.all.Done(); k.run() }()
	}
	defer l.mu.Unlock()
	select {
	case k.wait <- text:
	default:
		l.dropped.Add(1)
	}
}

// forget ends a link that is not needed any more.
func (l *links) forget(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(k.wait) > 0 || l.to[k.id] != k {
		return l.to[k.id] != k
	}
	delete(l.to, k.id)
	return true
}

// run sends what waits, over one connection after the other. What a connection took along when it broke is lost.
func (k *link) run() {
	var c net.Conn
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	var next time.Time
	quiet := time.NewTimer(idle)
	defer quiet.Stop()
	for {
		var text []byte
		var open bool
		quiet.Reset(idle)
		select {
		case <-k.of.wire.Done():
			return
		case <-quiet.C:
			if k.of.forget(k) {
				return
			}
			continue
		case text, open = <-k.wait:
			if !open {
				return
			}
		}
		if c == nil {
			if time.Now().Before(next) {
				k.of.dropped.Add(1)
				continue
			}
			next = time.Now().Add(dialEach)
			var err error
			if c, err = k.open(); err != nil {
				k.of.dropped.Add(1)
				continue
			}
		}
		_ = c.SetWriteDeadline(time.Now().Add(writeIn))
		if _, err := c.Write(text); err != nil {
			k.of.dropped.Add(1)
			_ = c.Close()
			c = nil
			continue
		}
		k.of.sent.Add(int64(len(text)))
	}
}

func (k *link) open() (net.Conn, error) {
	c, err := k.of.wire.DialTimeout(k.addr, dialIn)
	if err != nil {
		return nil, err
	}
	if raw, is := c.(interface{ Unwrap() net.Conn }); is {
		if t, is := raw.Unwrap().(*net.TCPConn); is { // else a way that was cut is found out minutes after it is whole again
			if sc, err := t.SyscallConn(); err == nil {
				_ = sc.Control(func(fd uintptr) {
					_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadAfter.Milliseconds()))
				})
			}
		}
	}
	text, err := frame(hello{Fleet: k.of.fleet, Form: gossip.ProtocolVersion, From: k.of.self, To: k.id})
	if err == nil {
		_ = c.SetWriteDeadline(time.Now().Add(writeIn))
		_, err = c.Write(append([]byte{gossip.PeerStreamMark}, text...))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// accept takes links that others open.
func (l *links) accept() {
	defer l.all.Done()
	for {
		select {
		case <-l.wire.Done():
			return
		case c := <-l.wire.PeerStreams():
			l.all.Add(1)
			go func() {
				defer l.all.Done()
				defer func() { _ = c.Close() }()
				if err := l.read(c); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
					l.odd.Add(1)
				}
			}()
		}
	}
}

// read takes in what one member says, until its link ends.
func (l *links) read(c net.Conn) error {
	r := bufio.NewReaderSize(c, 64<<10)
	_ = c.SetReadDeadline(time.Now().Add(helloIn))
	if _, err := r.Discard(1); err != nil {
		return err
	}
	var h hello
	if _, err := unframe(r, &h); err != nil {
		return err
	}
	if h.Fleet != l.fleet || h.To != l.self || h.Form < gossip.MinProtocolVersion {
		return fmt.Errorf("a link of fleet %q, form %d, for member %s", h.Fleet, h.Form, h.To)
	}
	for {
		_ = c.SetReadDeadline(time.Now().Add(2 * idle))
		var p node.Packet
		n, err := unframe(r, &p)
		if err != nil {
			return err
		}
		if p.From != h.From {
			return fmt.Errorf("a packet of %s on a link of %s", p.From, h.From)
		}
		l.got.Add(int64(n))
		l.heard(p)
	}
}
