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

// incarnationStep is added to the incarnation numbers of a process's balancers when the process ends, because those that the next process
// uses must be above all that the ended one may have used.
const incarnationStep = 1000

// hollowProcess is the parent's handle of a hollow balancer process, which may be started again after it has ended.
type hollowProcess struct {
	executable string // path of this binary
	config     hollowConfig
	onEvents   func(h *hollowProcess, events []hollowEvent)

	mu            sync.Mutex
	cmd           *exec.Cmd // nil while no process runs
	stdin         io.Closer
	requests      *gob.Encoder
	pendingStatus map[int]chan *hollowStatus
	done          chan struct{} // closed once all messages of the process have been handled
	err           error         // reason why a process ended unexpectedly
	lastStatus    *hollowStatus // latest status of the running process
	finished      *hollowStatus // counters of all processes that have ended
	ending        bool          // whether the end of the process is expected
}

// start starts a process, in which all balancers are stopped at first.
func (h *hollowProcess) start() error {
	cmd := exec.Command(h.executable, "hollow")
	cmd.Stderr = os.Stderr
	// The kernel kills the child with this process, in case it does not notice that its standard input is closed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting the hollow balancer process: %w", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = cmd
	h.stdin = stdin
	h.requests = gob.NewEncoder(stdin)
	h.pendingStatus = map[int]chan *hollowStatus{}
	h.done = make(chan struct{})
	h.lastStatus = nil
	h.ending = false
	if h.finished == nil {
		h.finished = newHollowStatus(0)
	}
	go h.receive(gob.NewDecoder(bufio.NewReader(stdout)), h.done)
	return h.requests.Encode(hollowRequest{Config: &h.config})
}

// receive handles the messages of a process until it ends.
func (h *hollowProcess) receive(messages *gob.Decoder, done chan struct{}) {
	defer close(done)
	for {
		var message hollowMessage
		err := messages.Decode(&message)
		if err != nil || message.Error != "" {
			h.setError(errors.Join(err, errors.New(message.Error)))
			return
		}
		if len(message.Events) > 0 {
			h.onEvents(h, message.Events)
		}
		if message.Status != nil {
			h.setStatus(message.Status)
		}
	}
}

// setError records why the process ended, unless its end was expected.
func (h *hollowProcess) setError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ending && h.err == nil {
		h.err = fmt.Errorf("hollow balancer process ended unexpectedly: %w", err)
	}
}

// setStatus records a status and passes it to the caller that waits for it, if any.
func (h *hollowProcess) setStatus(status *hollowStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastStatus = status
	if pending := h.pendingStatus[status.Number]; pending != nil {
		pending <- status
		delete(h.pendingStatus, status.Number)
	}
}

// sendRequest sends a request to the process. While no process runs, the request is dropped.
func (h *hollowProcess) sendRequest(request hollowRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests == nil {
		return nil
	}
	return h.requests.Encode(request)
}

// status requests the status of the process, waits for it, and adds the counters of the processes that have ended. While no process runs,
// it returns only the latter.
func (h *hollowProcess) status(number int, withFinal bool) (*hollowStatus, error) {
	sum := newHollowStatus(number)
	h.mu.Lock()
	sum.add(h.finished)
	if h.requests == nil || h.ending {
		h.mu.Unlock()
		return sum, nil
	}
	response := make(chan *hollowStatus, 1)
	done := h.done
	h.pendingStatus[number] = response
	err := h.requests.Encode(hollowRequest{StatusNumber: number, WithFinal: withFinal})
	h.mu.Unlock()
	if err == nil {
		select {
		case status := <-response:
			sum.add(status)
			return sum, nil
		case <-done:
			err = errors.New("hollow balancer process ended before it sent its status")
		case <-time.After(responseTimeout):
			err = fmt.Errorf("hollow balancer process did not send its status within %v", responseTimeout)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ending { // stopped while the response was awaited
		return sum, nil
	}
	return sum, errors.Join(err, h.err)
}

// pid returns the process ID, or 0 while no process runs.
func (h *hollowProcess) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	return h.cmd.Process.Pid
}

// stop ends the process, by a signal if kill is set and by closing its standard input otherwise. It returns once all messages of the
// process have been handled.
func (h *hollowProcess) stop(kill bool) {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	if cmd == nil {
		h.mu.Unlock()
		return
	}
	h.ending = true
	if kill {
		_ = cmd.Process.Kill() // the kill fails only if the process has ended
	}
	_ = h.stdin.Close()
	h.mu.Unlock()
	select {
	case <-done:
	case <-time.After(responseTimeout):
		_ = cmd.Process.Kill()
		<-done
	}
	_ = cmd.Wait() // a killed process reports an error
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addFinishedCounters(cmd.ProcessState)
	h.cmd = nil
	h.requests = nil
	h.lastStatus = nil
	for i := range h.config.Balancers {
		h.config.Balancers[i].Incarnation += incarnationStep
	}
}

// addFinishedCounters adds the counters of the process that has just ended to h.finished. The caller holds h.mu.
func (h *hollowProcess) addFinishedCounters(state *os.ProcessState) {
	if h.lastStatus == nil {
		return
	}
	last := *h.lastStatus
	last.CPU = state.UserTime() + state.SystemTime()
	last.Up = 0
	last.Current = 0
	last.States = nil
	last.Publishers = nil
	last.Finals = nil
	h.finished.add(&last)
}
