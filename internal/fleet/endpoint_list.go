package fleet

import (
	"crypto/rand"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/replication"
)

const (
	endpointListInterval        = 2 * time.Second  // between writes of a changed list
	endpointListRefreshInterval = 10 * time.Second // between writes of an unchanged list, for its age
	maxEndpointListBytes        = 1 << 20          // a longer list is not stored
)

// EndpointList is the newest endpoint list as it is stored, for a balancer that starts while discovery is silent.
type EndpointList struct {
	Revision    uint64          `json:"rev"`
	ConfirmedAt int64           `json:"at"` // Unix seconds at which discovery confirmed it last
	Endpoints   json.RawMessage `json:"known"`
}

// endpointListWriter is the state of writing the list. It is guarded by the fleet's lock.
type endpointListWriter struct {
	writtenAt       time.Time
	writtenRevision uint64
	recordVersion   uint64
	isWriting       bool
}

func (f *Fleet) endpointListKey() string { return "list/" + f.config.Site }

// SaveEndpointList stores the list that discovery has just confirmed, in the background. Of all members that receive it only the primary
// of the record writes it, so that a fleet of hundreds writes it once. A balancer that follows control processes stores none.
func (f *Fleet) SaveEndpointList(revision uint64, endpoints []byte) {
	store, op := f.endpointListWrite(revision, endpoints)
	if store == nil {
		return
	}
	store.Submit(op, operationTimeout, func(result replication.Result) {
		f.mu.Lock()
		defer f.mu.Unlock()
		writer := &f.endpointList
		writer.isWriting = false
		switch result.Outcome {
		case replication.OutcomeCommitted:
			writer.recordVersion = result.Record.Version
			writer.writtenRevision = revision
		case replication.OutcomeConflict: // another member was the primary before; the next write replaces its record
			writer.recordVersion = result.Record.Version
		}
	})
}

// endpointListWrite returns the write that is due and where to submit it; nil where none is due.
func (f *Fleet) endpointListWrite(revision uint64, endpoints []byte) (recordStore, replication.Operation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.member == nil || len(endpoints) > maxEndpointListBytes {
		return nil, replication.Operation{}
	}
	writer := &f.endpointList
	sinceWritten := time.Since(writer.writtenAt)
	isUnchanged := revision == writer.writtenRevision
	if writer.isWriting || sinceWritten < endpointListInterval || isUnchanged && sinceWritten < endpointListRefreshInterval {
		return nil, replication.Operation{}
	}
	value, err := json.Marshal(EndpointList{Revision: revision, ConfirmedAt: time.Now().Unix(), Endpoints: endpoints})
	if err != nil {
		f.log.Error("fleet: endpoint list cannot be encoded", zap.Error(err))
		return nil, replication.Operation{}
	}
	writer.isWriting = true
	writer.writtenAt = time.Now()
	return f.member.node, replication.Operation{
		ID:              rand.Text(),
		Key:             f.endpointListKey(),
		ExpectedVersion: writer.recordVersion,
		Value:           value,
		LocalOnly:       true,
	}
}

// LoadEndpointList reads the stored list in the background and calls onLoaded with it and its age, once, if there is one. It retries
// while no member answers, until stop returns true.
func (f *Fleet) LoadEndpointList(stop func() bool, onLoaded func(list EndpointList, age time.Duration)) {
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		for !stop() {
			if record, ok := f.readRecord(f.endpointListKey()); ok {
				f.decodeEndpointList(record, onLoaded)
				return
			}
			if !f.sleep(readRetryDelay) {
				return
			}
		}
	}()
}

func (f *Fleet) decodeEndpointList(record replication.Record, onLoaded func(list EndpointList, age time.Duration)) {
	if record.Version == 0 {
		f.log.Info("fleet: no endpoint list is stored")
		return
	}
	var list EndpointList
	if err := json.Unmarshal(record.Value, &list); err != nil {
		f.log.Error("fleet: malformed endpoint list", zap.Error(err))
		return
	}
	onLoaded(list, max(0, time.Since(time.Unix(list.ConfirmedAt, 0))))
}

// EndpointListAges returns up to which age a stored list is used, and up to which its endpoints are candidates.
func (f *Fleet) EndpointListAges() (maxUsedAge, maxCandidateAge time.Duration) {
	return f.config.ListFreshTTL, f.config.ListStaleTTL
}
