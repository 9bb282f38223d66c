// Package fleet connects one process to a fleet of balancers, as a member or as a subscriber. It starts and stops the data directory and
// the member (gossip, node and publisher) or the subscriber in the right order, stores the records of balancers in the fleet, and makes the
// report for operators. It must never be used without a configuration file that names a fleet, and never make the balancer's loop wait.
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

// openRetryInterval is the time between two attempts to open the data directory while the predecessor of a hot restart holds it.
const openRetryInterval = 20 * time.Millisecond

// Fleet connects this process to the fleet: as a member, or as a subscriber of the control processes.
type Fleet struct {
	config *config.File
	name   string // name of this balancer or control process
	log    *zap.Logger
	seed   uint64 // seed of the random numbers

	mu                 sync.Mutex         // guards the fields below
	directory          *datadir.Directory // nil until this process owns the data directory
	member             *member            // nil in the role of a balancer
	client             *subscriber.Client // nil unless in the role of a balancer
	endpointList       endpointListWriter
	adminStateSequence int   // number of calls of SetAdminState
	openErr            error // error of opening the fleet in the background; nil if there was none

	done       chan struct{} // closed when the fleet is closed
	goroutines sync.WaitGroup
}

// member holds the components of a process that is a member.
type member struct {
	transport *gossip.Transport
	agent     *gossip.Agent
	node      *nodeserver.Server
	publisher *publisher.Server // nil unless this process is a control process
}

// Open opens the data directory and the listening address, and starts to look for the other members in the background. If waitForLock is
// set, as in a hot restart, the predecessor may still hold both: Open then returns, and they are opened in the background once released.
func Open(file *config.File, name string, seed uint64, waitForLock bool, log *zap.Logger) (*Fleet, error) {
	f := &Fleet{config: file, name: name, log: log, seed: seed, done: make(chan struct{})}
	err := f.openDirectory()
	if err == nil {
		return f, nil
	}
	if !waitForLock || !errors.Is(err, datadir.ErrLocked) {
		return nil, err
	}
	log.Info("fleet: waiting for the old process to release the data directory")
	f.goroutines.Add(1)
	go f.retryOpen()
	return f, nil
}

// retryOpen opens the data directory once the predecessor has released it.
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
			f.log.Error("fleet: opening failed, this process is not a member", zap.Error(err))
			return
		}
	}
}

// Put changes an operators' item, at a member. done is called once, at the latest shortly after the timeout, and usually from another
// goroutine; the result's Rejection is the reason why the item was not changed, or why that is unknown.
func (f *Fleet) Put(put shardmap.Put, timeout time.Duration, done func(shardmap.PutResult)) {
	m := f.currentMember()
	if m == nil {
		done(shardmap.PutResult{OperationID: put.OperationID, Rejection: "this process is no member of the fleet"})
		return
	}
	m.node.Put(put, timeout, done)
}

// Get returns the value of a key in the agreed state that this process publishes, and the state's version; false if it publishes none or has
// no such key.
func (f *Fleet) Get(key string) ([]byte, uint64, bool) {
	m := f.currentMember()
	if m == nil || m.publisher == nil {
		return nil, 0, false
	}
	return m.publisher.Get(key)
}

// IsCurrent reports whether the agreed state that this process knows was confirmed within the last lease duration.
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

// currentMember returns the components of the member, nil if this process is not a member or not yet.
func (f *Fleet) currentMember() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member
}

// sleep waits for a duration, and returns false if the fleet was closed meanwhile.
func (f *Fleet) sleep(duration time.Duration) bool {
	select {
	case <-f.done:
		return false
	case <-time.After(duration):
		return true
	}
}
