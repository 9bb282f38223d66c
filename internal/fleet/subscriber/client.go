// Package subscriber runs a balancer's side of the changefeed: it drives a changefeed.Subscriber on connections and forwards operations
// to the control processes that it follows. It owns the connections and the requests that await a response. It must never make the
// balancer's loop wait, and never promise anything by itself.
//
// A client costs a goroutine for each connection, in most cases two, and one more while something is being written, so thousands of
// clients fit in a process.
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
	minTickInterval = 10 * time.Millisecond // between updates of the core's time by messages
)

// Options configures a Client.
type Options struct {
	Fleet       string // the fleet's name in the files
	Name        string
	ID          string
	Incarnation uint64 // grows with each start under an ID
	Machine     string
	Zone        string
	Site        string
	Seeds       []netip.AddrPort // control processes
	Seed        uint64
	LocalAddr   netip.Addr           // of outgoing connections; invalid: any
	Now         func() time.Duration // a clock that continues while the process is suspended
	Log         *zap.Logger

	// OnUpdate is called with each update of the state, in order, by one goroutine at a time. It must not wait. It may be nil.
	OnUpdate func(changefeed.Update)
}

// Status describes a Client at one moment.
type Status struct {
	Fleet      string // its ID, empty before it is known
	Version    uint64
	Digest     uint64
	Keys       int
	Bytes      int
	Current    bool          // the state was confirmed within the lease
	Age        time.Duration // since the state was confirmed
	AgeKnown   bool
	Publishers []string // addresses of the open connections
	Sent       int64    // bytes
	Received   int64    // bytes
	Waiting    int      // operations and puts without a response
	Stats      changefeed.SubscriberStats
}

// Client is the connection of one balancer to the control processes.
type Client struct {
	options Options

	mu             sync.Mutex // guards the fields below
	core           *changefeed.Subscriber
	conns          map[string]*conn    // dialing or open, by address
	requests       map[uint64]*request // by ID
	puts           map[string]*request // the requests that are puts, by operation ID
	lastRequestID  uint64
	lastTick       time.Duration
	pendingUpdates []changefeed.Update // for OnUpdate
	isNotifying    bool                // a goroutine is calling OnUpdate
	isClosed       bool
	timer          *time.Timer

	dialContext context.Context
	cancelDials context.CancelFunc
	sent        atomic.Int64
	received    atomic.Int64
	goroutines  sync.WaitGroup
}

// Open starts a client, which connects in the background.
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
	c.timer = time.AfterFunc(0, c.onTimer)
	c.mu.Unlock()
	return c
}

// Status returns the current status without waiting.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	state := c.core.State()
	age, ageKnown := c.core.Age(now)
	return Status{
		Fleet:      state.Fleet(),
		Version:    state.Version(),
		Digest:     state.Digest(),
		Keys:       state.Len(),
		Bytes:      state.Bytes(),
		Current:    c.core.IsCurrent(now),
		Age:        age,
		AgeKnown:   ageKnown,
		Publishers: c.core.Publishers(),
		Sent:       c.sent.Load(),
		Received:   c.received.Load(),
		Waiting:    len(c.requests),
		Stats:      c.core.Stats,
	}
}

// IsCurrent reports whether the state was confirmed within the lease, as of now.
func (c *Client) IsCurrent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.IsCurrent(c.options.Now())
}

// Get returns the value of a key, which must not be modified.
func (c *Client) Get(key string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.State().Get(key)
}

// Close disconnects from all control processes and waits for the goroutines. Pending requests end without a response.
func (c *Client) Close() {
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return
	}
	c.isClosed = true
	c.timer.Stop()
	c.cancelDials()
	c.core.Disconnect()
	c.carryOut()
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
		r.timer.Stop()
		r.onNoResponse()
	}
	c.goroutines.Wait()
}

// onTimer is the periodic tick.
func (c *Client) onTimer() {
	c.mu.Lock()
	if !c.isClosed {
		c.tick()
		c.carryOut()
		c.timer.Reset(tickInterval)
	}
	c.mu.Unlock()
	c.notifyUpdates()
}

// tick sets the core's time. A message must not be sent with a later time than it has: the age of the state is computed from it.
func (c *Client) tick() {
	now := c.options.Now()
	c.lastTick = now
	c.core.Tick(now)
}

// tickIfDue calls tick unless that was done a moment ago. mu is held.
func (c *Client) tickIfDue() {
	if c.options.Now()-c.lastTick >= minTickInterval {
		c.tick()
	}
}

// carryOut performs the core's pending actions. mu is held.
func (c *Client) carryOut() {
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
			c.resubmit(closing)
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

func (c *Client) dial(address string) {
	dialing := &conn{client: c, address: address}
	c.conns[address] = dialing
	c.goroutines.Add(1)
	go dialing.run()
}

// notifyUpdates calls OnUpdate with the pending updates. mu is not held.
func (c *Client) notifyUpdates() {
	if c.options.OnUpdate == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isNotifying {
		return // that goroutine handles these updates as well
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

// connected reports an established connection to the core. It returns false for one that was given up meanwhile.
func (c *Client) connected(established *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || c.conns[established.address] != established {
		return false
	}
	c.tick()
	established.enqueue(framing.Encode(framing.Greeting{Fleet: c.options.Fleet}))
	c.core.Connected(established.address)
	c.carryOut()
	c.submitUnsent()
	return true
}

// disconnected reports a failed dial, or the end of a connection, to the core.
func (c *Client) disconnected(ended *conn, wasConnected bool) {
	c.mu.Lock()
	if c.conns[ended.address] == ended {
		delete(c.conns, ended.address)
		c.tickIfDue()
		if wasConnected {
			c.core.ConnectionClosed(ended.address)
		} else {
			c.core.DialFailed(ended.address)
		}
		c.carryOut()
		c.resubmit(ended)
	}
	c.mu.Unlock()
	c.notifyUpdates()
}

// handle handles a message. It returns false for one of a connection that was given up.
func (c *Client) handle(source *conn, message changefeed.Message) bool {
	var complete func()
	c.mu.Lock()
	isOpen := !c.isClosed && c.conns[source.address] == source
	if isOpen {
		c.tickIfDue()
		_ = c.core.Step(source.address, message) // the core has dealt with an error and reports it as an event
		switch {
		case message.OperationResult != nil:
			complete = c.completeOperation(message.OperationResult)
		case message.PutResponse != nil:
			complete = c.completePut(message.PutResponse)
		}
		c.carryOut()
	}
	c.mu.Unlock()
	if complete != nil {
		complete()
	}
	c.notifyUpdates()
	return isOpen
}

// progress reports bytes of an incomplete message to the core.
func (c *Client) progress(source *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[source.address] == source {
		c.tickIfDue()
		c.core.Progress(source.address)
	}
}

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
		log.Error("fleet: two histories: one version of the agreed state with different contents", address, version, duration, detail)
	case changefeed.EventForeignFleet:
		log.Warn("fleet: control process of another fleet", address, version, duration, detail)
	default:
		log.Warn("fleet: invalid message of a control process", address, version, duration, detail, zap.Stringer("event", event))
	}
}
