// Package publisher runs a control process's side of the changefeed on connections. It owns the connections of the subscribers, their
// goroutines and send queues, and the operations that subscribers submit. It must never wait for a slow subscriber, and never make the
// member's own core wait.
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
	tickInterval   = 100 * time.Millisecond
	statusInterval = 200 * time.Millisecond
	drainTimeout   = 500 * time.Millisecond
	drainPoll      = 10 * time.Millisecond

	windowBytes            = 256 << 10 // in flight to one subscriber
	snapshotBytesPerSecond = 32 << 20  // to all subscribers
	maxRetainedChanges     = 4096
	maxRetainedBytes       = 16 << 20
)

// ExtraStreams is the number of streams beyond the maximum of subscribers that are accepted, to be told when to retry.
const ExtraStreams = 64

// Backend executes the operations and puts that subscribers submit.
type Backend interface {
	Submit(op replication.Operation, within time.Duration, done func(replication.Result))
	Put(p shardmap.Put, within time.Duration, done func(shardmap.PutResult))
}

// StreamSource delivers the streams of subscribers until it is done.
type StreamSource interface {
	SubscriberStreams() <-chan net.Conn
	Done() <-chan struct{}
}

// Options configures a Server.
type Options struct {
	ID             string // of this member
	Fleet          string // the fleet's name in the files
	MaxSubscribers int
	Seed           uint64
	Streams        StreamSource
	Now            func() time.Duration // a clock that continues while the process is suspended
	Log            *zap.Logger
}

// Status describes a Server. Except for the counters of messages, it is refreshed every statusInterval.
type Status struct {
	Subscribers        changefeed.SubscriberCounts
	Stats              changefeed.PublisherStats
	Version            uint64
	Digest             uint64
	Age                time.Duration // of the published state, at the time of the call
	AgeKnown           bool
	Sent               int64 // bytes
	Received           int64 // bytes
	Writes             int64 // to subscribers; one write sends everything that is queued for a connection
	Operations         int64 // operations and puts that were submitted
	RejectedOperations int64 // operations and puts beyond the bounds
	Overflowed         int64 // connections closed as their queue was full
}

// Server publishes the agreed state to the subscribers of one control process.
type Server struct {
	options Options
	backend Backend
	pending *pendingUpdates

	mu         sync.Mutex // guards the fields below
	log        *changefeed.Log
	state      filteredState // of log
	core       *changefeed.Publisher
	conns      map[uint64]*conn
	lastConnID uint64
	operations map[string]pendingOperation // by ID
	statusAt   time.Duration               // of the newest status; zero: none yet

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

// publishedStatus is a status with the time at which its state was confirmed.
type publishedStatus struct {
	Status
	confirmedAt time.Duration
}

// New returns a server that accepts updates at once, and subscribers after Start.
func New(options Options) *Server {
	s := &Server{
		options:    options,
		pending:    newPendingUpdates(),
		conns:      map[uint64]*conn{},
		operations: map[string]pendingOperation{},
		done:       make(chan struct{}),
	}
	s.log = changefeed.NewLog(changefeed.LogConfig{MaxChanges: maxRetainedChanges, MaxBytes: maxRetainedBytes})
	s.state.log = s.log
	s.core = changefeed.NewPublisher(changefeed.PublisherConfig{
		ID:                     options.ID,
		MaxSubscribers:         options.MaxSubscribers,
		WindowBytes:            windowBytes,
		SnapshotBytesPerSecond: snapshotBytesPerSecond,
		Lease:                  changefeed.DefaultLease,
		Seed:                   options.Seed,
	}, s.log, options.Now())
	s.status.Store(&publishedStatus{})
	return s
}

// Start accepts subscribers in the background, until the stream source is done or Close.
func (s *Server) Start(backend Backend) {
	s.backend = backend
	s.goroutines.Add(2)
	go s.run()
	go s.accept()
}

// StateChanged takes over changes of the agreed state, which replace it if a snapshot is given. It never waits. It returns false where too
// many changes are pending: it then needs a snapshot.
func (s *Server) StateChanged(snapshot *changefeed.Snapshot, changes []*changefeed.Change) bool {
	return s.pending.add(snapshot, changes)
}

// VersionConfirmed takes over the time at which nothing newer than a version was agreed. It never waits. It takes effect once the version is
// published.
func (s *Server) VersionConfirmed(at time.Duration, version uint64) {
	s.pending.confirm(at, version)
}

// Status returns the newest status; its age is computed for the time of the call.
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

// Get returns the value of a key in the published state, which must not be modified, and the version of that state.
func (s *Server) Get(key string) ([]byte, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.log.State().Get(key)
	return value, s.log.Version(), ok
}

// Drain tells all subscribers to follow other publishers and accepts no further ones. It waits until they are told, for at most
// drainTimeout.
func (s *Server) Drain() {
	s.mu.Lock()
	s.core.Drain()
	s.carryOut()
	s.mu.Unlock()
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); time.Sleep(drainPoll) {
		s.mu.Lock()
		remaining := len(s.conns)
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
	}
}

// Close closes all connections and waits for the goroutines. The stream source has to be closed before.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.netConn.Close() // its reader ends in any case
		}
		s.mu.Unlock()
		s.goroutines.Wait()
	})
}

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
