// Package fleet is one process's part in a fleet of balancers. It owns the order in which the data directory, the member (gossip, node
// and publisher) or the subscriber are started and stopped, the records that balancers store in the fleet, and the report for operators.
// It must never be used where no configuration file names a fleet, and never make the balancer's loop wait.
package fleet

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/datadir"
	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/nodeserver"
	"sabletally/internal/fleet/publisher"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/fleet/subscriber"
)

// openRetryInterval is how often the new process of a hot restart checks whether the old one has released the data directory.
const openRetryInterval = 20 * time.Millisecond

// Fleet is this process's part in the fleet: a member, or a subscriber of the control processes.
type Fleet struct {
	config *config.File
	name   string
	log    *zap.Logger
	seed   uint64

	mu                 sync.Mutex         // guards the fields below
	directory          *datadir.Directory // nil until this process owns it
	member             *member            // nil in the role of a balancer
	client             *subscriber.Client // only in the role of a balancer
	endpointList       endpointListWriter
	adminStateSequence int   // number of calls of SetAdminState
	openErr            error // why the fleet could not be opened in the background

	done       chan struct{} // closed at the end
	goroutines sync.WaitGroup
}

// member is the parts of a process that is a member.
type member struct {
	transport *gossip.Transport
	agent     *gossip.Agent
	node      *nodeserver.Server
	publisher *publisher.Server // nil unless it is a control process
}

// Open opens the data directory and the address, and looks for the other members in the background. If wait is set, another process of
// this balancer may still own them, as in a hot restart: they are then opened in the background once it has released them.
func Open(file *config.File, name string, seed uint64, wait bool, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{config: file, name: name, log: log, seed: seed, done: make(chan struct{})}
	err := f.openDirectory()
	if err == nil {
		return f, nil
	}
	if !wait || !errors.Is(err, datadir.ErrLocked) {
		return nil, err
	}
	log.Info("fleet: waiting for the old process to release the data directory")
	f.goroutines.Add(1)
	go f.retryOpen()
	return f, nil
}

// retryOpen opens the data directory once the old process has released it.
func (f *Fleet) retryOpen() {
	defer f.goroutines.Done()
	for f.sleep(openRetryInterval) {
		err := f.openDirectory()
		if err == nil {
			return
		}
		if !errors.Is(err, datadir.ErrLocked) {
			f.mu.Lock()
			f.openErr = err
			f.mu.Unlock()
			f.log.Error("fleet: this process is not a member", zap.Error(err))
			return
		}
	}
}

// Put changes an operators' item, at a control process. done is called once, by another goroutine, within the time or a little later; its
// Rejection says why the change was not made, or may not have been.
func (f *Fleet) Put(put shardmap.Put, within time.Duration, done func(shardmap.PutResult)) {
	m := f.currentMember()
	if m == nil {
		done(shardmap.PutResult{OperationID: put.OperationID, Rejection: "this process is no member of the fleet"})
		return
	}
	m.node.Put(put, within, done)
}

// Get returns the value of a key in the agreed state as it is published here, and that state's version; false where there is none.
func (f *Fleet) Get(key string) ([]byte, uint64, bool) {
	m := f.currentMember()
	if m == nil || m.publisher == nil {
		return nil, 0, false
	}
	return m.publisher.Get(key)
}

// IsCurrent reports whether the agreed state here was confirmed within the lease, as of now.
func (f *Fleet) IsCurrent() bool {
	f.mu.Lock()
	m, client := f.member, f.client
	f.mu.Unlock()
	switch {
	case client != nil:
		return client.IsCurrent()
	case m != nil && m.publisher != nil:
		status := m.publisher.Status()
		return status.AgeKnown && status.Age <= changefeed.DefaultLease
	}
	return false
}

// currentMember returns the member's parts, nil where this process is not a member, or not yet.
func (f *Fleet) currentMember() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member
}

// sleep waits, and returns false where the fleet was closed meanwhile.
func (f *Fleet) sleep(d time.Duration) bool {
	select {
	case <-f.done:
		return false
	case <-time.After(d):
		return true
	}
}
