package main

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// hollowProcess is one process of hollow balancers, which may be started anew.
type hollowProcess struct {
	program string // this binary
	begin   hollowBegin
	onMarks func(h *hollowProcess, marks []hollowMark)

	mu           sync.Mutex
	cmd          *exec.Cmd
	stdin        io.Closer
	orders       *gob.Encoder
	pendingLooks map[int]chan *hollowLook
	done         chan struct{} // closed once all that it told is taken
	err          error
	last         *hollowLook // of the running life
	finished     *hollowLook // sums of lives that are over
	ending       bool        // its end is wanted
}

// start starts it; every balancer is down.
func (h *hollowProcess) start() error {
	cmd := exec.Command(h.program, "hollow")
	cmd.Stderr = os.Stderr
	// Killed with this process as well, should it not notice that its standard input is closed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("hollow balancers: %w", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.stdin, h.orders, h.pendingLooks, h.done, h.last, h.ending = cmd, in, gob.NewEncoder(in), map[int]chan *hollowLook{}, make(chan struct{}), nil, false
	if h.finished == nil {
		h.finished = newLook(0)
	}
	go h.listen(gob.NewDecoder(bufio.NewReader(out)), h.done)
	return h.orders.Encode(hollowOrder{Begin: &h.begin})
}

func (h *hollowProcess) listen(told *gob.Decoder, done chan struct{}) {
	defer close(done)
	for {
		var t hollowTold
		if err := told.Decode(&t); err != nil || t.Error != "" {
			h.mu.Lock()
			if !h.ending && h.err == nil {
				h.err = fmt.Errorf("hollow balancers ended: %w", errors.Join(err, errors.New(t.Error)))
			}
			h.mu.Unlock()
			return
		}
		if len(t.Marks) > 0 {
			h.onMarks(h, t.Marks)
		}
		if t.Look != nil {
			h.mu.Lock()
			h.last = t.Look
			if c := h.pendingLooks[t.Look.Number]; c != nil {
				c <- t.Look
				delete(h.pendingLooks, t.Look.Number)
			}
			h.mu.Unlock()
		}
	}
}

// order passes one on.
func (h *hollowProcess) order(o hollowOrder) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orders == nil {
		return nil // it is away
	}
	return h.orders.Encode(o)
}

// look asks for its balancers' states and waits; what is away answers with the sums of its lives.
func (h *hollowProcess) look(number int, final bool) (*hollowLook, error) {
	all := newLook(number)
	h.mu.Lock()
	all.add(h.finished)
	if h.orders == nil || h.ending {
		h.mu.Unlock()
		return all, nil
	}
	answer, done := make(chan *hollowLook, 1), h.done
	h.pendingLooks[number] = answer
	err := h.orders.Encode(hollowOrder{Look: number, Final: final})
	h.mu.Unlock()
	if err == nil {
		select {
		case l := <-answer:
			all.add(l)
			return all, nil
		case <-done:
			err = errors.New("hollow balancers ended")
		case <-time.After(answerTimeout):
			err = fmt.Errorf("hollow balancers did not answer within %v", answerTimeout)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ending { // killed meanwhile, as planned
		return all, nil
	}
	return all, errors.Join(err, h.err)
}

// pid is the running process, 0 where there is none.
func (h *hollowProcess) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	return h.cmd.Process.Pid
}

// stop ends it: outright, or by closing its standard input. All that it told is taken.
func (h *hollowProcess) stop(outright bool) {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	if cmd == nil {
		h.mu.Unlock()
		return
	}
	h.ending = true
	if outright {
		_ = cmd.Process.Kill()
	}
	_ = h.stdin.Close()
	h.mu.Unlock()
	select {
	case <-done:
	case <-time.After(answerTimeout):
		_ = cmd.Process.Kill()
		<-done
	}
	_ = cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last != nil {
		last := *h.last
		last.CPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		last.Up, last.Current, last.States, last.Relays, last.Finals = 0, 0, nil, nil, nil
		h.finished.add(&last)
	}
	h.cmd, h.orders, h.last = nil, nil, nil
	for i := range h.begin.All {
		h.begin.All[i].Life += 1000 // above all that it may have had
	}
}
