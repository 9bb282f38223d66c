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

// faultsVariable has a started program make its system calls by a faultPlan.
const faultsVariable = "SABLETALLY_FAULTS"

// faultPlan says how often system calls fail, as parts of one. Short reads and writes take a part of what they could.
type faultPlan struct {
	Seed        uint64
	Interrupted float64 // EINTR
	Short       float64
	NoBuffers   float64 // ENOBUFS of a write or a read
	NoMemory    float64 // ENOMEM of a write or a read
	// Shortage has accept, socket and connect fail for shortageTime out of each shortagePeriod, each time with another error.
	Shortage bool
}

const (
	shortagePeriod = time.Second
	shortageTime   = 150 * time.Millisecond
)

// Errors of one shortage after the other, by call.
var (
	acceptShortages  = []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EPERM, unix.EMFILE}
	socketShortages  = []unix.Errno{unix.ENOBUFS, unix.ENFILE, unix.EMFILE, unix.ENOMEM}
	connectShortages = []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EINTR}
)

// env returns the plan as the environment carries it.
func (p faultPlan) env(t *testing.T) string {
	t.Helper()
	text, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return faultsVariable + "=" + string(text)
}

// faultyKernel makes system calls that fail by a plan. Lines in its peers' text have one connection fail:
//
//	BREAK READ ERRNO: once this line is read, a read fails with that error, and the connection has ended.
//	BREAK WRITE ERRNO: half of this line is written, and the rest fails with that error.
type faultyKernel struct {
	socket.Kernel
	plan  faultPlan
	start time.Time

	mu  sync.Mutex
	rng *rand.Rand
	// By descriptor; a test breaks one connection of a program at most. An error of a read is 0 once it was returned.
	broken       map[int]unix.Errno
	brokenWrites map[int]unix.Errno
}

// brokenBy are the errors of a connection that is broken, by name.
var brokenBy = map[string]unix.Errno{
	"ETIMEDOUT":    unix.ETIMEDOUT,
	"EHOSTUNREACH": unix.EHOSTUNREACH,
	"ENETUNREACH":  unix.ENETUNREACH,
	"ECONNABORTED": unix.ECONNABORTED,
	"ECONNRESET":   unix.ECONNRESET,
	"EPIPE":        unix.EPIPE,
}

// useFaults puts a faultyKernel in place if the environment says so.
func useFaults(text string) error {
	if text == "" {
		return nil
	}
	k := &faultyKernel{Kernel: socket.Linux(), start: time.Now(), broken: map[int]unix.Errno{}, brokenWrites: map[int]unix.Errno{}}
	if err := json.Unmarshal([]byte(text), &k.plan); err != nil {
		return err
	}
	k.rng = rand.New(rand.NewPCG(k.plan.Seed, 1))
	socket.SetKernel(k)
	return nil
}

// draw returns the error with which a call fails before it does anything, 0 for none, and how many of so many bytes it handles.
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

// errorNamed returns the error that a marker line names, 0 without such a line.
func errorNamed(text []byte, marker string) unix.Errno {
	_, after, found := bytes.Cut(text, []byte(marker))
	if !found {
		return 0
	}
	name, _, _ := strings.Cut(string(after), "\r\n")
	return brokenBy[name]
}

func (k *faultyKernel) Read(fd int, p []byte) (int, error) {
	k.mu.Lock()
	err, isBroken := k.broken[fd]
	if isBroken {
		k.broken[fd] = 0
	}
	k.mu.Unlock()
	switch {
	case err != 0:
		return -1, err
	case isBroken:
		return 0, nil
	}
	drawn, size := k.draw(len(p))
	if drawn != 0 {
		return -1, drawn
	}
	n, readErr := k.Kernel.Read(fd, p[:size])
	if n > 0 {
		if err := errorNamed(p[:n], "BREAK READ "); err != 0 {
			k.breakConn(fd, err)
		}
	}
	return n, readErr
}

func (k *faultyKernel) breakConn(fd int, err unix.Errno) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken[fd] = err
}

func (k *faultyKernel) Write(fd int, p []byte) (int, error) {
	k.mu.Lock()
	err := k.brokenWrites[fd]
	if marked := errorNamed(p, "BREAK WRITE "); marked != 0 {
		k.brokenWrites[fd] = marked
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

// shortage returns the error of a call in a shortage, 0 outside.
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
	case unix.EINTR: // it goes on in the kernel
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
