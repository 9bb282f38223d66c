// Package relay owns connections to servers and, once a session is established, both of its connections: complete lines pass between
// them on workers, each an epoll set and a goroutine of its own, beside the balancer's loop. What waits is bounded, as no more is read
// from one side than the other takes. The package never decides anything about a session, and never holds back a complete line that
// the other side takes, but for the few milliseconds of coalesceDelay.
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

// writeStallTimeout ends a reader that takes nothing for so long while something waits for it.
const writeStallTimeout = 5 * time.Second

// Why a connection was ended here.
var (
	ErrLineTooLong = errors.New("line over 4 KiB")
	ErrBareLF      = errors.New("line not ended by CRLF")
	ErrSlowReader  = errors.New("reads too slowly")
	ErrPanic       = errors.New("a fault of the program")
)

// Why a dial was not begun.
var (
	ErrDialCancelled   = errors.New("not wanted any more")
	ErrDescriptorLimit = errors.New("no descriptor is left for it")
)

// Side is one of the two connections of a Pair.
type Side uint8

// The sides. The numbers index Pair.conns.
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

// LoadLine is a server's report of a session's load.
type LoadLine struct {
	Pair *Pair
	Raw  []byte // the complete line
}

// Handler is notified of what happens. Workers call it, so it must not block.
type Handler interface {
	// Connected reports how a dial ended.
	Connected(c *Conn, err error)
	// LineReceived reports one line of an unpaired connection. The next one is read after AwaitLine.
	LineReceived(c *Conn, raw []byte)
	// Disconnected reports the end of an unpaired connection; why is nil if the other side has closed it in order.
	Disconnected(c *Conn, abrupt bool, why error)
	// PairEnded reports the end of a Pair.
	PairEnded(end PairEnd)
	// LoadsReported reports the load lines of one round of events.
	LoadsReported(loads []LoadLine)
	// Panicked reports a panic that was recovered.
	Panicked(at string, what any, stack []byte)
}

// Relay is a set of workers and their connections.
type Relay struct {
	// ForwardedLines counts complete lines, both ways.
	ForwardedLines atomic.Int64
	// UnsentBytes counts bytes of forwarded lines that were dropped unsent when their connection was closed.
	UnsentBytes atomic.Int64
	// WriteRetries and ShortReads count calls that the kernel had no memory for. They are made again.
	WriteRetries atomic.Int64
	ReadRetries  atomic.Int64

	handler          Handler
	lingering        lingerSet
	descriptors      *atomic.Int64 // of connections; others count theirs there too
	workers          []*worker
	workerCounter    atomic.Uint32 // round robin over workers
	clockStart       time.Time
	closeOnce        sync.Once
	stallTimeout     time.Duration // writeStallTimeout, but for tests
	shutdownDeadline atomic.Int64  // when the last migrations end, on the relay's clock; 0 but in a shutdown
}

// New starts a relay with a number of workers, at least one. descriptors counts the descriptors of its connections.
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
			return nil, fmt.Errorf("epoll: %w", err)
		}
		r.workers = append(r.workers, w)
		go w.run()
	}
	return r, nil
}

// Close ends the workers. Their connections stay open.
func (r *Relay) Close() {
	r.closeOnce.Do(func() { // a second time the descriptors may be others'
		for _, w := range r.workers {
			w.close()
		}
	})
}

// now returns the time on the relay's clock, which is above 0 for everything that is relayed.
func (r *Relay) now() time.Duration { return time.Since(r.clockStart) }

func (r *Relay) nextWorker() *worker { return r.workers[int(r.workerCounter.Add(1))%len(r.workers)] }

// Dial starts one connection to an address. The handler is notified how it ended, unless the connection is closed before. data is the
// caller's. Dial may take as long as it takes to look up a name; wanted is called after that, just before the connection is begun, and
// Dial returns ErrDialCancelled if it says no. It returns ErrDescriptorLimit if there would be more than limit descriptors of connections.
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

// reserveDescriptor counts a descriptor before it is opened, as dials run at the same time. It reports false, and counts none, at the
// limit.
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

// connect begins a connection whose descriptor is counted. After an error it still is.
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
		r.descriptors.Add(1) // Close has counted it
		return nil, err
	}
	return c, nil
}

// socketAddress converts an address; one without an IP is this machine's.
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

func closeDescriptor(fd int) { _ = unix.Close(fd) } // the descriptor is gone whatever close returns
