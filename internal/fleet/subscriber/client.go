// Package subscriber is the network client of the changefeed in a balancer: it drives a changefeed.Subscriber on connections to control
// processes, and forwards operations to them. It owns the connections and the requests that await a response. It must never block the
// balancer's loop, and never report an operation or a put as successful unless a control process has answered so.
//
// A client needs one goroutine for each connection, in most cases two, and one more for each connection that is being written to, so
// thousands of clients fit in a process.
package subscriber

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

const (
	tickInterval    = 200 * time.Millisecond
	minTickInterval = 10 * time.Millisecond // minimum time between two ticks that are caused by messages
)

// Options configures a Client.
type Options struct {
	Fleet       string // name of the fleet in the fleet files
	Name        string // name of this balancer
	ID          string // ID of this balancer
	Incarnation uint64 // number of this start under ID; higher than that of each earlier start
	Machine     string
	Zone        string
	Site        string
	Seeds       []netip.AddrPort     // addresses of control processes to contact first
	Seed        uint64               // seed of the core's random generator
	LocalAddr   netip.Addr           // local address of outgoing connections; any if invalid
	Now         func() time.Duration // a clock that continues while the process is suspended
	Log         *zap.Logger

	// OnUpdate is called with each update of the state, in order, by one goroutine at a time. It must not block. It may be nil.
	OnUpdate func(changefeed.Update)
}

// Status describes a Client at one moment.
type Status struct {
	Fleet           string        // ID of the fleet; empty before it is known
	Version         uint64        // version of the state
	Digest          uint64        // digest of the state
	Keys            int           // number of keys in the state
	Bytes           int           // size of the state in bytes
	Current         bool          // whether the state was confirmed within the lease
	Age             time.Duration // time since the state was confirmed
	AgeKnown        bool          // false before the first confirmation
	Publishers      []string      // addresses of the control processes with an open connection
	Sent            int64         // bytes sent
	Received        int64         // bytes received
	PendingRequests int           // operations and puts without a response
	Stats           changefeed.SubscriberStats
}

// Client subscribes one balancer to the agreed state and submits its operations and puts.
type Client struct {
	options Options

	mu             sync.Mutex // guards the fields below
	core           *changefeed.Subscriber
	conns          map[string]*conn    // dialing and open connections by address
	requests       map[uint64]*request // pending operations and puts by request ID
	puts           map[string]*request // pending puts by operation ID
	lastRequestID  uint64
	lastTick       time.Duration       // time that the core was last set to
	pendingUpdates []changefeed.Update // updates that OnUpdate has not been called with
	isNotifying    bool                // whether a goroutine is calling OnUpdate
	isClosed       bool
	tickTimer      *time.Timer

	dialContext context.Context
	cancelDials context.CancelFunc
	sent        atomic.Int64
	received    atomic.Int64
	goroutines  sync.WaitGroup
}

// Open starts a client. It connects in the background.
func Open(options Options) *Client {
	seeds := make([]string, 0, len(options.Seeds))
	for _, seed := range options.Seeds {
		seeds = append(seeds, seed.String())
	}
	core := changefeed.NewSubscriber(changefeed.SubscriberConfig{
		ID:          options.ID,
		Name:        options.Name,
		Incarnation: options.Incarnation,
		Machine:     options.Machine,
		Zone:        options.Zone,
		Site:        options.Site,
		Seeds:       seeds,
		Lease:       changefeed.DefaultLease,
		Seed:        options.Seed,
	}, options.Now())
	dialContext, cancelDials := context.WithCancel(context.Background())
	c := &Client{
		options:     options,
		core:        core,
		conns:       map[string]*conn{},
		requests:    map[uint64]*request{},
		puts:        map[string]*request{},
		dialContext: dialContext,
		cancelDials: cancelDials,
	}
	c.mu.Lock()
	c.tickTimer = time.AfterFunc(0, c.onTimer)
	c.mu.Unlock()
	return c
}

// Status returns the current status.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	state := c.core.State()
	age, ageKnown := c.core.Age(now)
	return Status{
		Fleet:           state.Fleet(),
		Version:         state.Version(),
		Digest:          state.Digest(),
		Keys:            state.Len(),
		Bytes:           state.Bytes(),
		Current:         c.core.IsCurrent(now),
		Age:             age,
		AgeKnown:        ageKnown,
		Publishers:      c.core.Publishers(),
		Sent:            c.sent.Load(),
		Received:        c.received.Load(),
		PendingRequests: len(c.requests),
		Stats:           c.core.Stats,
	}
}

// IsCurrent reports whether the state is current now, which means that it was confirmed within the lease.
func (c *Client) IsCurrent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.IsCurrent(c.options.Now())
}

// Get returns the value of a key in the state. The value must not be modified.
func (c *Client) Get(key string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.State().Get(key)
}

// Close disconnects from all control processes and waits for the goroutines. Pending requests end as if no response had arrived.
func (c *Client) Close() {
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return
	}
	c.isClosed = true
	c.tickTimer.Stop()
	c.cancelDials()
	c.core.Disconnect()
	c.processReady()
	for _, open := range c.conns {
		open.closeAfterQueue()
	}
	pending := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		pending = append(pending, r)
	}
	clear(c.requests)
	clear(c.puts)
	c.mu.Unlock()
	for _, r := range pending {
		r.timeoutTimer.Stop()
		r.onNoResponse()
	}
	c.goroutines.Wait()
}

// onTimer performs the periodic tick.
func (c *Client) onTimer() {
	c.mu.Lock()
	if !c.isClosed {
		c.tick()
		c.processReady()
		c.tickTimer.Reset(tickInterval)
	}
	c.mu.Unlock()
	c.notifyUpdates()
}

// tick sets the core's time. The core computes the age of the state from it, so it must not lag when a message is sent.
func (c *Client) tick() {
	now := c.options.Now()
	c.lastTick = now
	c.core.Tick(now)
}

// tickIfDue calls tick unless the last tick is less than minTickInterval ago. mu is held.
func (c *Client) tickIfDue() {
	if c.options.Now()-c.lastTick >= minTickInterval {
		c.tick()
	}
}

// processReady performs the core's pending actions. mu is held.
func (c *Client) processReady() {
	ready := c.core.Ready()
	if c.options.OnUpdate != nil {
		c.pendingUpdates = append(c.pendingUpdates, ready.Updates...)
	}
	for _, send := range ready.Sends {
		if open := c.conns[send.Addr]; open != nil {
			open.enqueue(changefeed.Encode(&send.Message))
		}
	}
	for _, address := range ready.CloseAddrs {
		if closing := c.conns[address]; closing != nil {
			delete(c.conns, address)
			closing.closeAfterQueue()
			c.resendRequests(closing)
		}
	}
	if !c.isClosed {
		for _, address := range ready.DialAddrs {
			c.dial(address)
		}
	}
	for _, event := range ready.Events {
		logEvent(c.options.Log, event)
	}
}

// dial starts a connection to an address. mu is held.
func (c *Client) dial(address string) {
	dialing := &conn{client: c, address: address}
	c.conns[address] = dialing
	c.goroutines.Add(1)
	go dialing.run()
}

// notifyUpdates calls OnUpdate with the pending updates. mu must not be held.
func (c *Client) notifyUpdates() {
	if c.options.OnUpdate == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isNotifying {
		return // the notifying goroutine passes on these updates, too
	}
	c.isNotifying = true
	for len(c.pendingUpdates) > 0 {
		updates := c.pendingUpdates
		c.pendingUpdates = nil
		c.mu.Unlock()
		for _, update := range updates {
			c.options.OnUpdate(update)
		}
		c.mu.Lock()
	}
	c.isNotifying = false
}

// onConnected reports an established connection to the core. It returns false if the connection has been abandoned meanwhile.
func (c *Client) onConnected(established *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || c.conns[established.address] != established {
		return false
	}
	c.tick()
	established.enqueue(framing.Encode(framing.Greeting{Fleet: c.options.Fleet}))
	c.core.Connected(established.address)
	c.processReady()
	c.sendUnsent()
	return true
}

// onDisconnected reports a failed dial, or the end of a connection, to the core.
func (c *Client) onDisconnected(ended *conn, wasConnected bool) {
	c.mu.Lock()
	if c.conns[ended.address] == ended {
		delete(c.conns, ended.address)
		c.tickIfDue()
		if wasConnected {
			c.core.ConnectionClosed(ended.address)
		} else {
			c.core.DialFailed(ended.address)
		}
		c.processReady()
		c.resendRequests(ended)
	}
	c.mu.Unlock()
	c.notifyUpdates()
}

// handleMessage processes a message from a control process. It returns false if its connection has been abandoned.
func (c *Client) handleMessage(source *conn, message changefeed.Message) bool {
	var complete func()
	c.mu.Lock()
	isOpen := !c.isClosed && c.conns[source.address] == source
	if isOpen {
		c.tickIfDue()
		_ = c.core.Step(source.address, message) // the core handles an error itself and reports it as an event
		switch {
		case message.OperationResult != nil:
			complete = c.completeOperation(message.OperationResult)
		case message.PutResponse != nil:
			complete = c.completePut(message.PutResponse)
		}
		c.processReady()
	}
	c.mu.Unlock()
	if complete != nil {
		complete()
	}
	c.notifyUpdates()
	return isOpen
}

// reportProgress tells the core that bytes of an incomplete message have arrived.
func (c *Client) reportProgress(source *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[source.address] == source {
		c.tickIfDue()
		c.core.Progress(source.address)
	}
}

// logEvent logs an event that the core has reported.
func logEvent(log *zap.Logger, event changefeed.Event) {
	address := zap.String("address", event.Addr)
	detail := zap.String("detail", event.Detail)
	version := zap.Uint64("version", event.Version)
	duration := zap.Duration("duration", event.Duration)
	switch event.Kind {
	case changefeed.EventResumed:
		log.Warn("fleet: process was suspended", duration)
	case changefeed.EventSubscribed:
		log.Info("fleet: subscribed", address, zap.String("id", event.PeerID))
	case changefeed.EventUnsubscribed:
		log.Info("fleet: unsubscribed", address, detail)
	case changefeed.EventStale:
		log.Warn("fleet: state is stale", version, duration)
	case changefeed.EventCurrent:
		log.Info("fleet: state is current", version, duration)
	case changefeed.EventDigestMismatch:
		log.Warn("fleet: digest mismatch, requesting a snapshot", address, version, duration, detail)
	case changefeed.EventHistoryConflict:
		log.Error("fleet: history conflict: control process has different content at the same version", address, version, duration, detail)
	case changefeed.EventForeignFleet:
		log.Warn("fleet: control process belongs to another fleet", address, version, duration, detail)
	default:
		log.Warn("fleet: invalid message from a control process", address, version, duration, detail, zap.Stringer("event", event))
	}
}
