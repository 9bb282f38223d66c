// Package nodeserver runs a member's node on sockets and disk. It owns the goroutine that the node lives in, the links to the nodes of the
// other members, and the order of effects: first to disk, then out. Callers submit requests and are called back. It must never be waited
// for by the balancer's loop, and never confirm anything once the disk has failed.
package nodeserver

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/fleet/store"
)

// maxQueued bounds the packets, the operations and the puts that wait for the node. Packets beyond it are dropped, and retried by their
// senders; operations and puts are rejected.
const maxQueued = 8192

// Options are the parameters of a server.
type Options struct {
	NodeConfig node.Config
	FleetName  string // in the fleet file
	DataDir    string // locked by this process
	Transport  *gossip.Transport
	Gossip     *gossip.Agent
	Now        func() time.Duration // a clock that goes on while the process is paused
	Log        *zap.Logger
	Observer   Observer // nil for none
}

// Observer is notified of the agreed state by one goroutine. Its methods must not wait.
type Observer interface {
	// StateChanged notifies that the state was replaced, if snapshot is not nil, and of the changes after that. It returns false where the
	// observer has no room; it is then notified of a snapshot next.
	StateChanged(snapshot *changefeed.Snapshot, changes []*changefeed.Change) bool
	// VersionConfirmed notifies that nothing newer than a version was agreed up to a time.
	VersionConfirmed(asOf time.Duration, version uint64)
}

// Server runs one member's node. Its methods may be called by any goroutine.
type Server struct {
	opt    Options
	links  *links
	status atomic.Pointer[Status]

	mu             sync.Mutex
	queue          queue
	isClosed       bool
	isLeaving      bool
	droppedPackets atomic.Int64

	wake       chan struct{}
	done       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup

	// The rest is the goroutine's of run.

	node              *node.Node
	store             *store.Store
	pendingOperations map[string]func(replication.Result)   // callbacks by operation ID
	pendingPuts       map[string][]func(shardmap.PutResult) // callbacks by operation ID
	failure           error                                 // why nothing is confirmed any more; nil while all is well
	observerIsBehind  bool                                  // it had no room for changes
	statusAt          time.Duration                         // when the status was published
}

// queue is what waits for the node.
type queue struct {
	packets    []node.Packet
	operations []operationRequest
	puts       []putRequest
}

type operationRequest struct {
	operation replication.Operation
	timeout   time.Duration
	done      func(replication.Result)
}

type putRequest struct {
	put     shardmap.Put
	timeout time.Duration
	done    func(shardmap.PutResult)
}

// Open reads the disk and starts the node.
func Open(opt Options) (*Server, error) {
	diskStore, saved, err := store.Open(opt.DataDir)
	if err != nil {
		return nil, err
	}
	n, err := node.New(opt.NodeConfig, saved, opt.Now())
	if err != nil {
		_ = diskStore.Close() // nothing was written
		return nil, err
	}
	s := &Server{
		opt:               opt,
		node:              n,
		store:             diskStore,
		wake:              make(chan struct{}, 1),
		done:              make(chan struct{}),
		pendingOperations: map[string]func(replication.Result){},
		pendingPuts:       map[string][]func(shardmap.PutResult){},
	}
	s.links = newLinks(opt.FleetName, opt.NodeConfig.Self.ID, opt.Transport, s.receive)
	s.publishStatus()
	s.goroutines.Add(1)
	go s.run()
	s.links.start()
	return s, nil
}

// Submit executes an operation, here or wherever its shard's primary is. done is called once from another goroutine, at the timeout or a
// little later at the latest; it must not wait.
func (s *Server) Submit(operation replication.Operation, timeout time.Duration, done func(replication.Result)) {
	s.mu.Lock()
	isRejected := s.isClosed || len(s.queue.operations) >= maxQueued
	if !isRejected {
		s.queue.operations = append(s.queue.operations, operationRequest{operation, timeout, done})
	}
	s.mu.Unlock()
	if isRejected {
		done(replication.Result{OperationID: operation.ID, Outcome: replication.OutcomeRejected, Reason: replication.ReasonBusy})
		return
	}
	s.wakeUp()
}

// Put changes an operators' item, wherever the log's leader is. done is called as with Submit; the result's Rejection says why the item was
// not changed, or is not known to be. A repetition with the same operation ID has the same result.
func (s *Server) Put(put shardmap.Put, timeout time.Duration, done func(shardmap.PutResult)) {
	s.mu.Lock()
	isRejected := s.isClosed || len(s.queue.puts) >= maxQueued
	if !isRejected {
		s.queue.puts = append(s.queue.puts, putRequest{put, timeout, done})
	}
	s.mu.Unlock()
	if isRejected {
		done(shardmap.PutResult{OperationID: put.OperationID, Rejection: "busy: too many wait, or this process ends"})
		return
	}
	s.wakeUp()
}

// Leave has this member's replicas moved to other members, as it will end.
func (s *Server) Leave() {
	s.mu.Lock()
	s.isLeaving = true
	s.mu.Unlock()
	s.wakeUp()
}

// Close ends the server. The transport has to be closed before. Pending requests get the result that their outcome is not known.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.goroutines.Wait()
		s.links.wait()
		_ = s.store.Close() // all that was confirmed is on disk
	})
}

// receive queues a packet of another member's.
func (s *Server) receive(packet node.Packet) {
	s.mu.Lock()
	if len(s.queue.packets) >= maxQueued {
		s.droppedPackets.Add(1)
	} else {
		s.queue.packets = append(s.queue.packets, packet)
	}
	s.mu.Unlock()
	s.wakeUp()
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ShardMember returns the part of a member that the fleet agrees on.
func ShardMember(m membership.Member) shardmap.Member {
	return shardmap.Member{ID: m.ID, Addr: m.Addr.String(), Machine: m.Machine, Zone: m.Zone, Site: m.Site}
}
