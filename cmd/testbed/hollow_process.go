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

// incarnationStep is added to the incarnations of a process's balancers when it ends: the new process must start above all that the
// ended one may have used.
const incarnationStep = 1000

// hollowProcess controls a process of hollow balancers, which may be started again after its end.
type hollowProcess struct {
	executable string // this binary
	config     hollowConfig
	onEvents   func(h *hollowProcess, events []hollowEvent)

	mu            sync.Mutex
	cmd           *exec.Cmd // nil while no process runs
	stdin         io.Closer
	requests      *gob.Encoder
	pendingStatus map[int]chan *hollowStatus
	done          chan struct{} // closed once all messages of the process are handled
	err           error         // of an unexpected end
	lastStatus    *hollowStatus // of the running process
	finished      *hollowStatus // counters of processes that have ended
	ending        bool          // the end of the process is expected
}

// start starts the process with all balancers stopped.
func (h *hollowProcess) start() error {
	cmd := exec.Command(h.executable, "hollow")
	cmd.Stderr = os.Stderr
	// Killed with this process as well, should it not notice that its standard input is closed.
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
		return fmt.Errorf("starting hollow balancers: %w", err)
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

// receive handles messages until the process ends.
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
		h.err = fmt.Errorf("hollow balancers ended: %w", err)
	}
}

// setStatus records a status and passes it to whoever waits for it.
func (h *hollowProcess) setStatus(status *hollowStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastStatus = status
	if pending := h.pendingStatus[status.Number]; pending != nil {
		pending <- status
		delete(h.pendingStatus, status.Number)
	}
}

// send sends a request; it is dropped while no process runs.
func (h *hollowProcess) sendRequest(request hollowRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests == nil {
		return nil
	}
	return h.requests.Encode(request)
}

// status requests the status of the process and waits for it. Without a running process it is the sum of those that have ended.
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
			err = errors.New("hollow balancers ended")
		case <-time.After(responseTimeout):
			err = fmt.Errorf("hollow balancers did not respond within %v", responseTimeout)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ending { // killed meanwhile, as planned
		return sum, nil
	}
	return sum, errors.Join(err, h.err)
}

// pid is the process ID, 0 while no process runs.
func (h *hollowProcess) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	return h.cmd.Process.Pid
}

// stop ends the process by a signal (kill), or by closing its standard input, and returns once all of its messages are handled.
func (h *hollowProcess) stop(kill bool) {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	if cmd == nil {
		h.mu.Unlock()
		return
	}
	h.ending = true
	if kill {
		_ = cmd.Process.Kill() // it fails only if the process has ended
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

// addFinished adds the counters of the process that has ended to those of earlier ones. The caller holds h.mu.
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
