// Package publisher is the network server of the changefeed in a control process: it publishes the agreed state to subscribers and executes
// the operations that they submit. It owns the connections of the subscribers, their goroutines, their send queues and their pending
// operations. It must never wait for a slow subscriber, and never block the member's own core.
package publisher

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	tickInterval      = 100 * time.Millisecond
	statusInterval    = 200 * time.Millisecond
	drainTimeout      = 500 * time.Millisecond // limit of the wait for subscribers to disconnect
	drainPollInterval = 10 * time.Millisecond

	maxUnackedBytes        = 256 << 10 // maximum number of unacknowledged bytes in flight to one subscriber
	snapshotBytesPerSecond = 32 << 20  // maximum rate of snapshots to all subscribers together
	maxRetainedChanges     = 4096      // maximum number of changes that are kept for subscribers with an older version, and of unpublished changes
	maxRetainedBytes       = 16 << 20
)

// ExtraStreams is the number of streams that are accepted beyond the maximum number of subscribers, so that those clients are told when to
// retry.
const ExtraStreams = 64

// Backend executes the operations and puts that subscribers submit. It calls done once for each, with the result.
type Backend interface {
	Submit(op replication.Operation, timeout time.Duration, done func(replication.Result))
	Put(put shardmap.Put, timeout time.Duration, done func(shardmap.PutResult))
}

// StreamSource accepts the streams of subscribers. It delivers no more once Done is closed.
type StreamSource interface {
	SubscriberStreams() <-chan net.Conn
	Done() <-chan struct{}
}

// Options configures a Server.
type Options struct {
	ID             string // ID of this member
	Fleet          string // name of the fleet in the fleet files
	MaxSubscribers int
	Seed           uint64 // seed of the core's random generator
	Streams        StreamSource
	Now            func() time.Duration // a clock that continues while the process is suspended
	Log            *zap.Logger
}

// Status describes a Server. The counters and Age are as of the call, the other fields are refreshed every statusInterval.
type Status struct {
	Subscribers        changefeed.SubscriberCounts
	Stats              changefeed.PublisherStats
	Version            uint64
	Digest             uint64
	Age                time.Duration // time since the published state was confirmed
	AgeKnown           bool          // false before the first confirmation
	Sent               int64         // bytes sent to subscribers
	Received           int64         // bytes received from subscribers
	Writes             int64         // writes to subscribers; one write sends everything that is queued for a connection
	Operations         int64         // operations and puts that were submitted
	RejectedOperations int64         // operations and puts rejected because too many were pending
	Overflowed         int64         // connections closed because their queue was full
}

// Server publishes the agreed state to the subscribers of one control process.
type Server struct {
	options        Options
	backend        Backend
	pendingUpdates *pendingUpdates

	mu             sync.Mutex // guards the fields below
	log            *changefeed.Log
	state          filteredState // the published state; it writes to log
	core           *changefeed.Publisher
	conns          map[uint64]*conn
	lastConnID     uint64
	operationsByID map[string]pendingOperation // pending operations by their ID
	statusAt       time.Duration               // time of the newest status; zero before the first one

	sent               atomic.Int64
	received           atomic.Int64
	writes             atomic.Int64
	submitted          atomic.Int64
	rejectedOperations atomic.Int64
	overflowed         atomic.Int64
	status             atomic.Pointer[publishedStatus]

	done       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup
}

// publishedStatus is a status and the time at which its state was confirmed.
type publishedStatus struct {
	Status
	confirmedAt time.Duration
}

// New returns a server. It accepts updates at once, and subscribers after Start.
func New(options Options) *Server {
	s := &Server{
		options:        options,
		pendingUpdates: newPendingUpdates(),
		conns:          map[uint64]*conn{},
		operationsByID: map[string]pendingOperation{},
		done:           make(chan struct{}),
	}
	s.log = changefeed.NewLog(changefeed.LogConfig{MaxChanges: maxRetainedChanges, MaxBytes: maxRetainedBytes})
	s.state.log = s.log
	s.core = changefeed.NewPublisher(changefeed.PublisherConfig{
		ID:                     options.ID,
		MaxSubscribers:         options.MaxSubscribers,
		WindowBytes:            maxUnackedBytes,
		SnapshotBytesPerSecond: snapshotBytesPerSecond,
		Lease:                  changefeed.DefaultLease,
		Seed:                   options.Seed,
	}, s.log, options.Now())
	s.status.Store(&publishedStatus{})
	return s
}

// Start accepts subscribers in the background until the stream source is done or Close is called.
func (s *Server) Start(backend Backend) {
	s.backend = backend
	s.goroutines.Add(2)
	go s.run()
	go s.accept()
}

// StateChanged reports changes of the agreed state. If a snapshot is given, it replaces the state and the changes follow it. StateChanged
// never blocks. It returns false if too many changes are pending; the next call must then pass a snapshot.
func (s *Server) StateChanged(snapshot *changefeed.Snapshot, changes []*changefeed.Change) bool {
	return s.pendingUpdates.add(snapshot, changes)
}

// VersionConfirmed reports a time at which nothing newer than a version had been agreed. It takes effect once that version is published.
// VersionConfirmed never blocks.
func (s *Server) VersionConfirmed(at time.Duration, version uint64) {
	s.pendingUpdates.confirm(at, version)
}

// Status returns the newest status.
func (s *Server) Status() Status {
	published := s.status.Load()
	status := published.Status
	status.Age = s.options.Now() - published.confirmedAt
	status.Sent = s.sent.Load()
	status.Received = s.received.Load()
	status.Writes = s.writes.Load()
	status.Operations = s.submitted.Load()
	status.RejectedOperations = s.rejectedOperations.Load()
	status.Overflowed = s.overflowed.Load()
	return status
}

// Get returns the value of a key in the published state and the version of that state. The value must not be modified.
func (s *Server) Get(key string) ([]byte, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.log.State().Get(key)
	return value, s.log.Version(), ok
}

// Drain tells all subscribers to follow other publishers, and accepts no further ones. It waits until all have disconnected, for at most
// drainTimeout.
func (s *Server) Drain() {
	s.mu.Lock()
	s.core.Drain()
	s.processReady()
	s.mu.Unlock()
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		s.mu.Lock()
		remaining := len(s.conns)
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
	}
}

// Close closes all connections and waits for their goroutines. The stream source must have been closed before.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.netConn.Close() // the reader ends even if this returns an error
		}
		s.mu.Unlock()
		s.goroutines.Wait()
	})
}

// accept serves the streams of subscribers until the stream source is done or the server is closed.
func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		select {
		case <-s.options.Streams.Done():
			return
		case <-s.done:
			return
		case netConn := <-s.options.Streams.SubscriberStreams():
			s.goroutines.Add(1)
			go func() {
				defer s.goroutines.Done()
				err := s.serve(netConn)
				if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
					s.options.Log.Debug("fleet: subscriber connection failed", zap.Error(err))
				}
			}()
		}
	}
}
