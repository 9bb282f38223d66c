// Package poller reports input on descriptors: one epoll set, and the goroutine that serves it. It owns neither the descriptors nor their
// input: a Handler reads, under a lock of its own, so that whoever takes a descriptor from its handler under that lock misses no byte. The
// package must never read, write or close a registered descriptor. Its memory grows with the number of registered descriptors.
package poller

import (
	"errors"
	"os"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

const (
	scratchSize = 16 << 10 // size in bytes of the buffer that handlers read into
	maxEvents   = 128      // events taken from the epoll set at a time
)

// Handler reads from a registered descriptor.
type Handler interface {
	// OnReadable is called on the poller's goroutine when the descriptor has input, has ended or has failed, again and again until that is
	// read. It must not block. It may be called once more while Remove is running, or shortly after it. scratch is a buffer for the
	// duration of the call.
	OnReadable(r *Registration, scratch []byte)
}

// Poller is an epoll set with the goroutine that serves it, until the process ends.
type Poller struct {
	epfd    int
	scratch []byte

	mu            sync.Mutex
	registrations map[uint64]*Registration // by the identifier that their events carry
	lastID        uint64
}

// New starts a poller.
func New() (*Poller, error) {
	epfd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	p := &Poller{epfd: epfd, scratch: make([]byte, scratchSize), registrations: map[uint64]*Registration{}}
	go p.run()
	return p, nil
}

// Registration is a descriptor that is registered with a Poller.
type Registration struct {
	poller  *Poller
	fd      int
	handler Handler
	id      uint64 // never used again after the registration is removed
}

// Add registers a descriptor. The descriptor must stay open until Remove.
func (p *Poller) Add(fd int, handler Handler) (*Registration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	r := &Registration{poller: p, fd: fd, handler: handler, id: p.lastID}
	if err := r.watchLocked(); err != nil {
		return nil, err
	}
	p.registrations[r.id] = r
	return r, nil
}

// watchLocked adds the descriptor to the epoll set. The caller holds the poller's lock.
func (r *Registration) watchLocked() error {
	event := unix.EpollEvent{Events: unix.EPOLLIN | unix.EPOLLRDHUP, Fd: int32(r.id), Pad: int32(r.id >> 32)}
	return os.NewSyscallError("epoll_ctl", unix.EpollCtl(r.poller.epfd, unix.EPOLL_CTL_ADD, r.fd, &event))
}

// unwatch removes the descriptor from the epoll set. An error means that it is not in the set.
func (r *Registration) unwatch() {
	_ = unix.EpollCtl(r.poller.epfd, unix.EPOLL_CTL_DEL, r.fd, nil)
}

// Remove ends the registration. No call of the handler begins after the one that may be in progress.
func (r *Registration) Remove() {
	p := r.poller
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.registrations[r.id] == r {
		delete(p.registrations, r.id)
		r.unwatch()
	}
}

// Pause stops calling the handler for a time, after which input is reported again.
func (r *Registration) Pause(length time.Duration) {
	p := r.poller
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.registrations[r.id] != r {
		return
	}
	r.unwatch()
	time.AfterFunc(length, func() { r.resume(length) })
}

// resume ends a pause. If the kernel is short of memory, the pause is repeated.
func (r *Registration) resume(length time.Duration) {
	p := r.poller
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.registrations[r.id] != r {
		return
	}
	if err := r.watchLocked(); err != nil && !errors.Is(err, unix.EEXIST) {
		time.AfterFunc(length, func() { r.resume(length) })
	}
}

// run serves the epoll set. It blocks in epoll_wait on an operating system thread.
func (p *Poller) run() {
	events := make([]unix.EpollEvent, maxEvents)
	for isBusy := false; ; {
		n, err := p.wait(events, isBusy)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return // the descriptor of the epoll set is not valid
		}
		isBusy = n > 0
		if !isBusy { // other goroutines run before the thread blocks
			runtime.Gosched()
			continue
		}
		for _, event := range events[:n] {
			if r := p.lookup(event); r != nil {
				r.handler.OnReadable(r, p.scratch)
			}
		}
	}
}

// wait waits for events. If the last call returned any, it polls without blocking.
func (p *Poller) wait(events []unix.EpollEvent, isBusy bool) (n int, err error) {
	timeout := -1
	if isBusy {
		timeout = 0
	}
	n, err = socket.EpollWait(p.epfd, events, timeout)
	return max(n, 0), err
}

// lookup returns the registration that an event belongs to, nil if it was removed.
func (p *Poller) lookup(event unix.EpollEvent) *Registration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registrations[uint64(uint32(event.Fd))|uint64(uint32(event.Pad))<<32]
}
