package main

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/lab/scale"
)

const (
	eventFlushInterval = 250 * time.Millisecond
	hollowMaxProcs     = 2 // GOMAXPROCS of a process of hollow balancers
)

// hollowCmd runs hollow balancers: many in one process, each with the shipped client of the control tier and nothing else. It
// exchanges gob messages with its parent process over standard input and output, and ends once the former is closed.
type hollowCmd struct{}

func (c *hollowCmd) Run() error {
	runtime.GOMAXPROCS(hollowMaxProcs)
	h := &hollowHost{messages: gob.NewEncoder(os.Stdout), openClient: openFeedClient}
	err := h.run(gob.NewDecoder(os.Stdin))
	if err != nil {
		h.sendMessage(hollowMessage{Error: err.Error()})
	}
	return err
}

// feedClient is the part of a subscriber's client that a hollow balancer uses.
type feedClient interface {
	Status() subscriberStatus
	Get(key string) ([]byte, bool)
	Close()
}

// hollowHost runs all balancers of this process.
type hollowHost struct {
	openClient func(config *hollowConfig, balancer hollowBalancer, onApplied func(version uint64)) feedClient
	config     hollowConfig
	clients    map[int]*hollowClient
	finished   hollowStatus // counters of incarnations that have ended

	sendMu   sync.Mutex
	messages *gob.Encoder

	mu     sync.Mutex
	events []hollowEvent
}

// hollowClient is one balancer of this process.
type hollowClient struct {
	hollowBalancer
	client  feedClient // nil while it is stopped
	stopped *bool      // under hollowHost.mu: later events of this incarnation are dropped
}

// run handles requests until their stream ends, which is no error.
func (h *hollowHost) run(requests *gob.Decoder) error {
	var first hollowRequest
	if err := requests.Decode(&first); err != nil {
		return fmt.Errorf("reading the configuration of hollow balancers: %w", err)
	}
	if first.Config == nil {
		return errors.New("the first request to hollow balancers has no configuration")
	}
	h.config = *first.Config
	h.clients = map[int]*hollowClient{}
	for _, b := range h.config.Balancers {
		h.clients[b.Index] = &hollowClient{hollowBalancer: b}
	}
	go func() {
		for range time.Tick(eventFlushInterval) {
			h.flushEvents()
		}
	}()
	for {
		var request hollowRequest
		err := requests.Decode(&request)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil // the parent process closed the stream or ended; open clients end with this process
		}
		if err != nil {
			return err
		}
		h.handleRequest(&request)
	}
}

func (h *hollowHost) handleRequest(request *hollowRequest) {
	for _, index := range request.Stop {
		h.stopBalancer(h.clients[index])
	}
	for _, index := range request.Start {
		h.startBalancer(h.clients[index])
	}
	if request.StatusNumber > 0 {
		status := h.status(request.StatusNumber, request.WithFinal)
		h.flushEvents() // the events that led to this status go first
		h.sendMessage(hollowMessage{Status: status})
	}
}

// send sends a message, and ends the process if the parent does not read any more.
func (h *hollowHost) sendMessage(message hollowMessage) {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	if h.messages.Encode(message) != nil {
		os.Exit(exitFailure)
	}
}

// flush sends the events recorded so far.
func (h *hollowHost) flushEvents() {
	h.sendMu.Lock() // taken first, so that events are sent in the order in which they were recorded
	defer h.sendMu.Unlock()
	h.mu.Lock()
	events := h.events
	h.events = nil
	h.mu.Unlock()
	if len(events) > 0 && h.messages.Encode(hollowMessage{Events: events}) != nil {
		os.Exit(exitFailure)
	}
}

// record records an event unless its incarnation has stopped.
func (h *hollowHost) recordEvent(event hollowEvent, stopped *bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !*stopped {
		h.events = append(h.events, event)
	}
}

// start starts a new incarnation of a balancer that is stopped.
func (h *hollowHost) startBalancer(b *hollowClient) {
	if b.client != nil {
		return
	}
	b.Incarnation++
	stopped := new(bool)
	b.stopped = stopped
	h.recordEvent(hollowEvent{Balancer: b.Index, Kind: eventStarted, At: boottime.Now()}, stopped)
	b.client = h.openClient(&h.config, b.hollowBalancer, func(version uint64) {
		h.recordEvent(hollowEvent{Balancer: b.Index, Kind: eventApplied, Version: version, At: boottime.Now()}, stopped)
	})
}

// stop ends the running incarnation of a balancer.
func (h *hollowHost) stopBalancer(b *hollowClient) {
	if b.client == nil {
		return
	}
	h.recordEvent(hollowEvent{Balancer: b.Index, Kind: eventStopped, At: boottime.Now()}, b.stopped)
	h.mu.Lock()
	*b.stopped = true
	h.mu.Unlock()
	b.client.Close()
	status := b.client.Status()
	h.finished.addClient(&status)
	b.client = nil
}

func (h *hollowHost) status(number int, withFinal bool) *hollowStatus {
	sum := newHollowStatus(number)
	sum.add(&h.finished)
	for _, balancer := range h.config.Balancers {
		b := h.clients[balancer.Index]
		if b.client == nil {
			continue
		}
		status := b.client.Status()
		sum.Up++
		if status.Current {
			sum.Current++
		}
		sum.States[feedState{status.Version, status.Digest}]++
		for _, publisher := range status.Publishers {
			sum.Publishers[publisher]++
		}
		sum.addClient(&status)
		if withFinal {
			sum.Finals[b.Index] = scale.Final{Version: status.Version, Digest: status.Digest, Values: hashValues(b.client.Get)}
		}
	}
	sum.CPU = processCPUTime()
	return sum
}

// processCPUTime is the processor time that this process has used, 0 if the system does not say.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
