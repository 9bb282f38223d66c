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
	eventFlushInterval = 250 * time.Millisecond // time between two messages with events
	hollowMaxProcs     = 2                      // GOMAXPROCS of a hollow balancer process
)

// hollowCmd runs many hollow balancers in one process. A hollow balancer is only the changefeed client of a balancer, the same code that
// a real one uses: it subscribes to the control processes and serves no connections. The process exchanges gob messages with its parent
// over standard input and output, and exits once its standard input is closed.
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

// feedClient is the part of subscriber.Client that a hollow balancer uses.
type feedClient interface {
	Status() subscriberStatus
	Get(key string) ([]byte, bool)
	Close()
}

// hollowHost runs all hollow balancers of this process.
type hollowHost struct {
	openClient func(config *hollowConfig, balancer hollowBalancer, onApplied func(version uint64)) feedClient
	config     hollowConfig
	clients    map[int]*hollowClient
	finished   hollowStatus // counters of all incarnations that have ended

	sendMu   sync.Mutex
	messages *gob.Encoder

	mu     sync.Mutex
	events []hollowEvent
}

// hollowClient is one hollow balancer of this process.
type hollowClient struct {
	hollowBalancer
	client  feedClient // nil while the balancer is stopped
	stopped *bool      // whether the latest incarnation was stopped, after which its events are dropped; guarded by hollowHost.mu
}

// run handles requests until the end of their stream, which is not an error.
func (h *hollowHost) run(requests *gob.Decoder) error {
	var first hollowRequest
	if err := requests.Decode(&first); err != nil {
		return fmt.Errorf("reading the first hollow balancer request: %w", err)
	}
	if first.Config == nil {
		return errors.New("the first hollow balancer request has no configuration")
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
			return nil // the parent process closed the stream or ended; the clients end with this process
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
		h.flushEvents() // events that precede the status are sent before it
		h.sendMessage(hollowMessage{Status: status})
	}
}

// sendMessage sends a message, and exits the process if the parent no longer reads.
func (h *hollowHost) sendMessage(message hollowMessage) {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	if h.messages.Encode(message) != nil {
		os.Exit(exitFailure)
	}
}

// flushEvents sends the events that were recorded since the last flush.
func (h *hollowHost) flushEvents() {
	h.sendMu.Lock() // locked before h.mu, so that events are sent in the order in which they were recorded
	defer h.sendMu.Unlock()
	h.mu.Lock()
	events := h.events
	h.events = nil
	h.mu.Unlock()
	if len(events) > 0 && h.messages.Encode(hollowMessage{Events: events}) != nil {
		os.Exit(exitFailure)
	}
}

// recordEvent records an event for the next flush unless its incarnation was stopped.
func (h *hollowHost) recordEvent(event hollowEvent, stopped *bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !*stopped {
		h.events = append(h.events, event)
	}
}

// startBalancer starts a new incarnation of a balancer, unless one is running.
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

// stopBalancer stops the running incarnation of a balancer, if any, and keeps its counters.
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

// status sums up the balancers of this process. With withFinal, it includes the final state of each balancer that runs.
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

// processCPUTime returns the processor time that this process has used, or 0 if it cannot be read.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
