package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/socket"
)

// faultsVariable names the environment variable that gives a started program a faultPlan, as JSON, for its system calls.
const faultsVariable = "SABLETALLY_FAULTS"

// faultPlan holds the probabilities, from 0 to 1, with which system calls fail. Its fields are keys in JSON.
type faultPlan struct {
	Seed        uint64
	Interrupted float64 // probability that a read, a write or an epoll wait fails with EINTR
	Short       float64 // probability that a read or write handles only a part of its bytes
	NoBuffers   float64 // probability that a read or write fails with ENOBUFS
	NoMemory    float64 // probability that a read or write fails with ENOMEM
	// Shortage makes accept, socket and connect fail in the first shortageTime of each shortagePeriod, with another error each time.
	Shortage bool
}

const (
	shortagePeriod = time.Second
	shortageTime   = 150 * time.Millisecond
)

// Errors with which each call fails, one per shortage in turn.
var (
	acceptShortages  = []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EPERM, unix.EMFILE}
	socketShortages  = []unix.Errno{unix.ENOBUFS, unix.ENFILE, unix.EMFILE, unix.ENOMEM}
	connectShortages = []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EINTR}
)

// env returns the environment variable that carries the plan.
func (p faultPlan) env(t *testing.T) string {
	t.Helper()
	text, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return faultsVariable + "=" + string(text)
}

// faultyKernel is a socket.Kernel whose system calls fail by a plan. Marker lines in the text of a connection make that connection fail:
//
//	BREAK READ ERRNO: the next read after this line fails with that error, and later ones return the end of the connection.
//	BREAK WRITE ERRNO: half of this line is written, and every later write fails with that error.
type faultyKernel struct {
	socket.Kernel
	plan  faultPlan
	start time.Time

	mu  sync.Mutex
	rng *rand.Rand
	// Errors by descriptor. Entries are not removed when a descriptor is reused: a test breaks at most one connection of a program. The error of
	// a read becomes 0 when it has been returned.
	failedReads  map[int]unix.Errno
	failedWrites map[int]unix.Errno
}

// connErrors maps the names in marker lines to the errors of a broken connection.
var connErrors = map[string]unix.Errno{
	"ETIMEDOUT":    unix.ETIMEDOUT,
	"EHOSTUNREACH": unix.EHOSTUNREACH,
	"ENETUNREACH":  unix.ENETUNREACH,
	"ECONNABORTED": unix.ECONNABORTED,
	"ECONNRESET":   unix.ECONNRESET,
	"EPIPE":        unix.EPIPE,
}

// useFaults installs a faultyKernel with the plan in text, the value of faultsVariable. It does nothing if text is empty.
func useFaults(text string) error {
	if text == "" {
		return nil
	}
	k := &faultyKernel{Kernel: socket.Linux(), start: time.Now(), failedReads: map[int]unix.Errno{}, failedWrites: map[int]unix.Errno{}}
	if err := json.Unmarshal([]byte(text), &k.plan); err != nil {
		return err
	}
	k.rng = rand.New(rand.NewPCG(k.plan.Seed, 1))
	socket.SetKernel(k)
	return nil
}

// draw decides at random how a call on size bytes ends: it returns the error with which the call fails at once, 0 for none, and the number of
// bytes that it handles otherwise.
func (k *faultyKernel) draw(size int) (unix.Errno, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, fault := range []struct {
		rate float64
		err  unix.Errno
	}{
		{k.plan.Interrupted, unix.EINTR},
		{k.plan.NoBuffers, unix.ENOBUFS},
		{k.plan.NoMemory, unix.ENOMEM},
	} {
		if k.rng.Float64() < fault.rate {
			return fault.err, 0
		}
	}
	if size > 1 && k.rng.Float64() < k.plan.Short {
		size = 1 + k.rng.IntN(size-1)
	}
	return 0, size
}

// errorNamed returns the error that a marker line in text names, 0 if there is no such line.
func errorNamed(text []byte, marker string) unix.Errno {
	_, after, found := bytes.Cut(text, []byte(marker))
	if !found {
		return 0
	}
	name, _, _ := strings.Cut(string(after), "\r\n")
	return connErrors[name]
}

func (k *faultyKernel) Read(fd int, p []byte) (int, error) {
	k.mu.Lock()
	err, isFailed := k.failedReads[fd]
	if isFailed {
		k.failedReads[fd] = 0
	}
	k.mu.Unlock()
	switch {
	case err != 0:
		return -1, err
	case isFailed:
		return 0, nil
	}
	drawn, size := k.draw(len(p))
	if drawn != 0 {
		return -1, drawn
	}
	n, readErr := k.Kernel.Read(fd, p[:size])
	if n > 0 {
		if err := errorNamed(p[:n], "BREAK READ "); err != 0 {
			k.failNextRead(fd, err)
		}
	}
	return n, readErr
}

func (k *faultyKernel) failNextRead(fd int, err unix.Errno) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failedReads[fd] = err
}

func (k *faultyKernel) Write(fd int, p []byte) (int, error) {
	k.mu.Lock()
	err := k.failedWrites[fd]
	if marked := errorNamed(p, "BREAK WRITE "); marked != 0 {
		k.failedWrites[fd] = marked
	}
	k.mu.Unlock()
	if err != 0 {
		return -1, err
	}
	if errorNamed(p, "BREAK WRITE ") != 0 {
		return k.Kernel.Write(fd, p[:len(p)/2])
	}
	drawn, size := k.draw(len(p))
	if drawn != 0 {
		return -1, drawn
	}
	return k.Kernel.Write(fd, p[:size])
}

// shortage returns the error with which a call fails now, 0 outside of a shortage.
func (k *faultyKernel) shortage(errors []unix.Errno) unix.Errno {
	since := time.Since(k.start)
	if !k.plan.Shortage || since%shortagePeriod > shortageTime {
		return 0
	}
	return errors[int(since/shortagePeriod)%len(errors)]
}

func (k *faultyKernel) Accept(listener int) (int, unix.Sockaddr, error) {
	if err := k.shortage(acceptShortages); err != 0 {
		return -1, nil, err
	}
	return k.Kernel.Accept(listener)
}

func (k *faultyKernel) Socket(family int) (int, error) {
	if err := k.shortage(socketShortages); err != 0 {
		return -1, err
	}
	return k.Kernel.Socket(family)
}

func (k *faultyKernel) Connect(fd int, to unix.Sockaddr) error {
	switch err := k.shortage(connectShortages); err {
	case 0:
		return k.Kernel.Connect(fd, to)
	case unix.EINTR: // an interrupted connect goes on in the kernel
		_ = k.Kernel.Connect(fd, to)
		return err
	default:
		return err
	}
}

func (k *faultyKernel) EpollWait(epfd int, events []unix.EpollEvent, timeoutMillis int) (int, error) {
	k.mu.Lock()
	interrupted := k.rng.Float64() < k.plan.Interrupted
	k.mu.Unlock()
	if interrupted {
		return -1, unix.EINTR
	}
	return k.Kernel.EpollWait(epfd, events, timeoutMillis)
}
