// This file owns the third kind of holding: the newest list of servers, for a balancer that starts while discovery is silent.

package fleet

import (
	"crypto/rand"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/nodeserver"
	"sabletally/internal/fleet/replication"
)

const (
	listEach  = 2 * time.Second  // how often a changed list is written at most,
	listAgain = 10 * time.Second // and one that has not changed, for its age
	listMost  = 1 << 20          // bytes; a longer list is not held
)

// EndpointList is a list as it is held.
type EndpointList struct {
	Revision    uint64          `json:"rev"`
	ConfirmedAt int64           `json:"at"` // Unix seconds at which discovery said last that it holds
	Endpoints   json.RawMessage `json:"known"`
}

// list is what this member knows of it, under the fleet's lock.
type list struct {
	newest  EndpointList
	written time.Time
	rev     uint64 // as it was written
	version uint64 // of the record
	out     bool   // a write is out
}

func (f *Fleet) listKey() string { return "list/" + f.file.Site }

// SaveEndpointList has the newest list held, beside the caller: discovery has just said that it holds. Of all members that hear it the one
// writes that orders the record's writes, so that a fleet of hundreds writes it once. A balancer that follows control processes
// orders none, and keeps none.
func (f *Fleet) SaveEndpointList(rev uint64, known []byte) {
	h, op := f.listOp(rev, known)
	if h == nil {
		return
	}
	h.Submit(op, wordTry, func(r replication.Result) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.list.out = false
		if r.Outcome == replication.OutcomeCommitted || r.Outcome == replication.OutcomeConflict { // written by another before: over it the next time
			f.list.version = r.Record.Version
		}
		if r.Outcome == replication.OutcomeCommitted {
			f.list.rev = rev
		}
	})
}

// listOp is the write that is due, and where it is asked for: nil where none is.
func (f *Fleet) listOp(rev uint64, known []byte) (*nodeserver.Server, replication.Operation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.held
	if h == nil || len(known) > listMost {
		return nil, replication.Operation{}
	}
	l := &f.list
	l.newest = EndpointList{Revision: rev, ConfirmedAt: time.Now().Unix(), Endpoints: known}
	since := time.Since(l.written)
	if l.out || since < listEach || since < listAgain && rev == l.rev {
		return nil, replication.Operation{}
	}
	text, err := json.Marshal(l.newest)
	if err != nil {
		f.log.Error("fleet: a list that can't be written", zap.Error(err))
		return nil, replication.Operation{}
	}
	l.out, l.written = true, time.Now()
	return h, replication.Operation{ID: rand.Text(), Key: f.listKey(), ExpectedVersion: l.version, Value: text, LocalOnly: true}
}

// LoadEndpointList asks for the list that is held and hands it on with its age, once, if there is one; it goes on asking while
// nobody answers, until stop says so.
func (f *Fleet) LoadEndpointList(stop func() bool, heard func(l EndpointList, age time.Duration)) {
	f.all.Add(1)
	go func() {
		defer f.all.Done()
		for !stop() {
			if h, _ := f.holding(); h != nil {
				r := f.ask(replication.Operation{ID: rand.Text(), Key: f.listKey(), ReadOnly: true})
				if r.Outcome == replication.OutcomeConflict {
					var l EndpointList
					if r.Record.Version == 0 {
						f.log.Info("fleet: no list is held")
					} else if err := json.Unmarshal(r.Record.Value, &l); err != nil {
						f.log.Error("fleet: a list that can't be read", zap.Error(err))
					} else {
						heard(l, max(0, time.Since(time.Unix(l.ConfirmedAt, 0))))
					}
					return
				}
			}
			if !f.rest(wordAgain / 5) {
				return
			}
		}
	}()
}

// EndpointListAges are up to which age a list is used, and up to which its servers are candidates.
func (f *Fleet) EndpointListAges() (young, old time.Duration) {
	return f.file.ListFreshTTL, f.file.ListStaleTTL
}
