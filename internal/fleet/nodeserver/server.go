// Package nodeserver runs a member's node with sockets and a disk. It owns the goroutine that runs the node, the links to the nodes of the
// other members, and the order of effects: output is written to disk before it is sent. Callers submit requests and get the results in
// callbacks. The balancer's loop must never wait for it, and it must never confirm anything once the disk has failed.
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

// maxQueued is the maximum number of packets, of operations and of puts that wait for the node. Further packets are dropped, and the nodes
// repeat what they need; further operations and puts are rejected.
const maxQueued = 8192

// Options are the parameters of a server.
type Options struct {
	NodeConfig node.Config
	FleetName  string // name of the fleet in the fleet file
	DataDir    string // data directory, which this process has locked
	Transport  *gossip.Transport
	Gossip     *gossip.Agent
	Now        func() time.Duration // a clock that continues while the process is suspended
	Log        *zap.Logger
	Observer   Observer // observer of the agreed state; nil if there is none
}

// Observer is notified of changes of the agreed state. Its methods are called from one goroutine and must not block.
type Observer interface {
	// StateChanged reports that the state was replaced, if snapshot is not nil, and the changes after that. An observer that has no room for
	// them returns false; its next notification is a snapshot then.
	StateChanged(snapshot *changefeed.Snapshot, changes []*changefeed.Change) bool
	// VersionConfirmed reports that a version was still the newest agreed one at a time.
	VersionConfirmed(asOf time.Duration, version uint64)
}

// Server runs one member's node. Its methods may be called from any goroutine.
type Server struct {
	options Options
	links   *linkTable
	status  atomic.Pointer[Status]

	mu             sync.Mutex
	queue          queue
	isClosed       bool
	isLeaving      bool
	droppedPackets atomic.Int64

	wake       chan struct{}
	done       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup

	// The fields below are used only by the goroutine of run.

	node              *node.Node
	store             *store.Store
	pendingOperations map[string]func(replication.Result)   // callbacks of the operations without a result, by operation ID
	pendingPuts       map[string][]func(shardmap.PutResult) // callbacks of the puts without a result, by operation ID
	failure           error                                 // the first failure, after which nothing is confirmed; nil if there was none
	observerIsBehind  bool                                  // whether the observer missed changes and needs a snapshot
	statusPublishedAt time.Duration                         // time at which the status was last published
}

// queue holds what the node has to handle in the next iteration.
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

// Open reads the state on disk and starts the node.
func Open(options Options) (*Server, error) {
	diskStore, saved, err := store.Open(options.DataDir)
	if err != nil {
		return nil, err
	}
	n, err := node.New(options.NodeConfig, saved, options.Now())
	if err != nil {
		_ = diskStore.Close() // nothing was written to it
		return nil, err
	}
	s := &Server{
		options:           options,
		node:              n,
		store:             diskStore,
		wake:              make(chan struct{}, 1),
		done:              make(chan struct{}),
		pendingOperations: map[string]func(replication.Result){},
		pendingPuts:       map[string][]func(shardmap.PutResult){},
	}
	s.links = newLinkTable(options.FleetName, options.NodeConfig.Self.ID, options.Transport, s.receive)
	s.publishStatus()
	s.goroutines.Add(1)
	go s.run()
	s.links.start()
	return s, nil
}

// Submit executes an operation at the primary of its shard. done is called once, at the latest shortly after the timeout: from another
// goroutine or, if the operation is rejected at once, before Submit returns. It must not block.
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

// Put changes an operators' item through the log's leader. done is called as for Submit; the result's Rejection is the reason why the item
// was not changed, or why that is unknown. A repetition with the same operation ID gets the same result.
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

// Leave starts to move this member's replicas to other members, because the process will end.
func (s *Server) Leave() {
	s.mu.Lock()
	s.isLeaving = true
	s.mu.Unlock()
	s.wakeUp()
}

// Close stops the server. The transport must be closed before. Queued operations and puts are rejected; those that the node has got end with
// an unknown outcome.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.goroutines.Wait()
		s.links.wait()
		_ = s.store.Close() // everything that was confirmed is on disk
	})
}

// receive queues a packet of another member.
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

// wakeUp starts the next iteration of the loop at once.
func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ShardMember returns the part of a member's description that is in the agreed state.
func ShardMember(m membership.Member) shardmap.Member {
	return shardmap.Member{ID: m.ID, Addr: m.Addr.String(), Machine: m.Machine, Zone: m.Zone, Site: m.Site}
}
