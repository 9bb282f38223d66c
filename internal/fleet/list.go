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

// List is a list as it is held.
type List struct {
	Rev   uint64          `json:"rev"`
	At    int64           `json:"at"` // Unix seconds at which discovery said last that it holds
	Known json.RawMessage `json:"known"`
}

// list is what this member knows of it, under the fleet's lock.
type list struct {
	newest  List
	written time.Time
	rev     uint64 // as it was written
	version uint64 // of the record
	out     bool   // a write is out
}

func (f *Fleet) listKey() string { return "list/" + f.file.Site }

// KeepList has the newest list held, beside the caller: discovery has just said that it holds. Of all members that hear it the one
// writes that orders the record's writes, so that a fleet of hundreds writes it once. A balancer that follows control processes
// orders none, and keeps none.
func (f *Fleet) KeepList(rev uint64, known []byte) {
	h, op := f.listOp(rev, known)
	if h == nil {
		return
	}
	h.Ask(op, wordTry, func(r replication.Result) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.list.out = false
		if r.Outcome == replication.Done || r.Outcome == replication.Conflict { // written by another before: over it the next time
			f.list.version = r.Record.Version
		}
		if r.Outcome == replication.Done {
			f.list.rev = rev
		}
	})
}

// listOp is the write that is due, and where it is asked for: nil where none is.
func (f *Fleet) listOp(rev uint64, known []byte) (*nodeserver.Server, replication.Op) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.held
	if h == nil || len(known) > listMost {
		return nil, replication.Op{}
	}
	l := &f.list
	l.newest = List{Rev: rev, At: time.Now().Unix(), Known: known}
	since := time.Since(l.written)
	if l.out || since < listEach || since < listAgain && rev == l.rev {
		return nil, replication.Op{}
	}
	text, err := json.Marshal(l.newest)
	if err != nil {
		f.log.Error("fleet: a list that can't be written", zap.Error(err))
		return nil, replication.Op{}
	}
	l.out, l.written = true, time.Now()
	return h, replication.Op{ID: rand.Text(), Key: f.listKey(), If: l.version, Value: text, Here: true}
}

// RecallList asks for the list that is held and hands it on with its age, once, if there is one; it goes on asking while
// nobody answers, until stop says so.
func (f *Fleet) RecallList(stop func() bool, heard func(l List, age time.Duration)) {
	f.all.Add(1)
	go func() {
		defer f.all.Done()
		for !stop() {
			if h, _ := f.holding(); h != nil {
				r := f.ask(replication.Op{ID: rand.Text(), Key: f.listKey(), Read: true})
				if r.Outcome == replication.Conflict {
					var l List
					if r.Record.Version == 0 {
						f.log.Info("fleet: no list is held")
					} else if err := json.Unmarshal(r.Record.Value, &l); err != nil {
						f.log.Error("fleet: a list that can't be read", zap.Error(err))
					} else {
						heard(l, max(0, time.Since(time.Unix(l.At, 0))))
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

// ListAges are up to which age a list is used, and up to which its servers are candidates.
func (f *Fleet) ListAges() (young, old time.Duration) {
	return f.file.ListFreshTTL, f.file.ListStaleTTL
}
