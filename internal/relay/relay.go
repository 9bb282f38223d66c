// Package relay owns the connections to servers and, once a session is established, both connections of the session. It forwards complete
// lines between the two on workers, each of which is an epoll set served by one goroutine, separate from the balancer's event loop.
// Buffered data is bounded: the relay stops reading one side while the other side does not accept more. The package makes no decisions
// about a session, and never delays a complete line that the other side can accept by more than coalesceDelay.
package relay

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

// writeStallTimeout is how long a peer may accept nothing, while data is waiting for it, before its connection is ended.
const writeStallTimeout = 5 * time.Second

// Reasons why the relay ended a connection.
var (
	ErrLineTooLong = errors.New("line over 4 KiB")
	ErrBareLF      = errors.New("line not ended by CRLF")
	ErrSlowReader  = errors.New("peer reads too slowly")
	ErrPanic       = errors.New("panic while handling a connection event")
)

// Reasons why a dial was not started.
var (
	ErrDialCancelled   = errors.New("dial cancelled: the connection is no longer needed")
	ErrDescriptorLimit = errors.New("dial refused: descriptor limit reached")
)

// Side identifies one of the two connections of a Pair.
type Side uint8

// The two sides of a pair. Their values index Pair.conns.
const (
	Client Side = iota
	Server
)

func (s Side) String() string {
	if s == Client {
		return "client"
	}
	return "server"
}

// other returns the opposite side.
func (s Side) other() Side { return 1 - s }

// LoadLine is a load report that a server sent within a session.
type LoadLine struct {
	Pair *Pair
	Raw  []byte // the complete line, including its ending
}

// Handler receives the events of a Relay. It is called on the workers' goroutines, so it must not block.
type Handler interface {
	// Connected reports the result of a dial.
	Connected(c *Conn, err error)
	// LineReceived reports one line of a connection that is not part of a pair. The next line is reported after AwaitLine.
	LineReceived(c *Conn, raw []byte)
	// Disconnected reports the end of a connection that is not part of a pair; reason is nil if the peer closed it in an orderly way.
	Disconnected(c *Conn, abrupt bool, reason error)
	// PairEnded reports the end of a Pair.
	PairEnded(end PairEnd)
	// LoadsReported reports the load lines that were received in one batch of epoll events.
	LoadsReported(loads []LoadLine)
	// Panicked reports a panic that was recovered.
	Panicked(at string, what any, stack []byte)
}

// Relay is a set of workers and the connections that they serve.
type Relay struct {
	// ForwardedLines counts the complete lines that were forwarded in either direction.
	ForwardedLines atomic.Int64
	// UnsentBytes counts the bytes of forwarded lines that were dropped unsent when their connection was closed.
	UnsentBytes atomic.Int64
	// WriteRetries and ReadRetries count the writes and reads that failed because the kernel was short of memory, and were made again
	// later.
	WriteRetries atomic.Int64
	ReadRetries  atomic.Int64

	handler          Handler
	lingering        lingerSet
	descriptors      *atomic.Int64 // number of open connection descriptors; shared with the relay's owner
	workers          []*worker
	workerCounter    atomic.Uint32 // selects the worker of the next connection, round robin
	clockStart       time.Time     // zero of the relay's clock
	closeOnce        sync.Once
	stallTimeout     time.Duration // time after which a stalled peer is ended: writeStallTimeout, except in tests
	shutdownDeadline atomic.Int64  // time on the relay's clock by which the last migrations of a shutdown end; 0 while not shutting down
}

// New starts a relay with the given number of workers, at least one. descriptors counts the open descriptors of its connections.
func New(workers int, handler Handler, descriptors *atomic.Int64) (*Relay, error) {
	r := &Relay{
		handler:      handler,
		descriptors:  descriptors,
		clockStart:   time.Now().Add(-maxDetachedAge),
		stallTimeout: writeStallTimeout,
	}
	for range max(1, workers) {
		w, err := newWorker(r)
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("create relay worker: %w", err)
		}
		r.workers = append(r.workers, w)
		go w.run()
	}
	return r, nil
}

// Close stops the workers. Their connections stay open.
func (r *Relay) Close() {
	r.closeOnce.Do(func() { // a second call could close descriptors that have been reused
		for _, w := range r.workers {
			w.close()
		}
	})
}

// now returns the time on the relay's clock. It is above 0 for every event on a relayed connection.
func (r *Relay) now() time.Duration { return time.Since(r.clockStart) }

func (r *Relay) nextWorker() *worker { return r.workers[int(r.workerCounter.Add(1))%len(r.workers)] }

// Dial starts a connection to address. The handler's Connected reports the result, unless the connection is closed before that. data
// becomes the connection's Data. Dial blocks while a host name is resolved. It then calls wanted, just before it starts to connect, and
// returns ErrDialCancelled if wanted returns false. It returns ErrDescriptorLimit if the connection would exceed limit open descriptors
// and no lingering connection can be closed for it.
func (r *Relay) Dial(address string, limit int64, wanted func() bool, data any) (*Conn, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	for !r.reserveDescriptor(limit) {
		if !r.CloseLingering() && !r.CloseHalfClosed() {
			return nil, ErrDescriptorLimit
		}
	}
	c, err := r.connect(resolved, wanted, data)
	if err != nil {
		r.descriptors.Add(-1)
		return nil, err
	}
	return c, nil
}

// reserveDescriptor counts a descriptor before it is opened, because dials run concurrently. At the limit it counts nothing and returns
// false.
func (r *Relay) reserveDescriptor(limit int64) bool {
	for {
		count := r.descriptors.Load()
		if count >= limit {
			return false
		}
		if r.descriptors.CompareAndSwap(count, count+1) {
			return true
		}
	}
}

// connect starts a connection whose descriptor is already counted. The descriptor remains counted after an error.
func (r *Relay) connect(to *net.TCPAddr, wanted func() bool, data any) (*Conn, error) {
	family, address := socketAddress(to)
	fd, err := socket.Socket(family)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	DisableNagle(fd)
	LimitSegmentSize(fd)
	if !wanted() {
		closeDescriptor(fd)
		return nil, ErrDialCancelled
	}
	if err := socket.Connect(fd, address); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		closeDescriptor(fd)
		return nil, os.NewSyscallError("connect", err)
	}
	c := r.nextWorker().newConn(fd, stateDialing, data)
	if err := c.register(unix.EPOLLOUT | unix.EPOLLONESHOT); err != nil {
		c.Close()
		r.descriptors.Add(1) // Close has subtracted the descriptor, but the caller still counts it
		return nil, err
	}
	return c, nil
}

// socketAddress converts an address. An address without an IP means this host.
func socketAddress(to *net.TCPAddr) (family int, address unix.Sockaddr) {
	if ip := to.IP.To4(); ip != nil || to.IP == nil {
		v4 := &unix.SockaddrInet4{Port: to.Port}
		copy(v4.Addr[:], ip)
		return unix.AF_INET, v4
	}
	v6 := &unix.SockaddrInet6{Port: to.Port}
	copy(v6.Addr[:], to.IP.To16())
	return unix.AF_INET6, v6
}

func closeDescriptor(fd int) { _ = unix.Close(fd) } // the descriptor is released even if close returns an error
