package fleet

import (
	"crypto/rand"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/replication"
)

const (
	endpointListInterval        = 2 * time.Second  // minimum time between two writes of the list
	endpointListRefreshInterval = 10 * time.Second // minimum time between two writes of an unchanged list, which update its age
	maxEndpointListBytes        = 1 << 20          // maximum size of a list that is stored
)

// EndpointList is the stored form of the newest endpoint list. It serves balancers that start while discovery does not respond.
type EndpointList struct {
	Revision    uint64          `json:"rev"`
	ConfirmedAt int64           `json:"at"` // time at which discovery last confirmed the list, in Unix seconds
	Endpoints   json.RawMessage `json:"known"`
}

// endpointListWriter is the state of the writes of the endpoint list. It is guarded by the fleet's lock.
type endpointListWriter struct {
	writtenAt       time.Time // time at which the latest write was started
	writtenRevision uint64    // revision of the list that was stored last
	recordVersion   uint64    // version of the stored record, which the next write expects
	isWriting       bool      // whether a write has no result yet
}

func (f *Fleet) endpointListKey() string { return "list/" + f.config.Site }

// SaveEndpointList stores the list that discovery has just confirmed, in the background. Of all members that receive the list only the
// primary of the record writes it, so that a fleet of hundreds writes it once. A balancer that follows control processes does not store it.
func (f *Fleet) SaveEndpointList(revision uint64, endpoints []byte) {
	store, op := f.nextEndpointListWrite(revision, endpoints)
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
		case replication.OutcomeConflict: // another member has written the record as its primary; the next write replaces that
			writer.recordVersion = result.Record.Version
		}
	})
}

// nextEndpointListWrite returns the operation that writes the list and the store to submit it to; the store is nil if no write is due.
func (f *Fleet) nextEndpointListWrite(revision uint64, endpoints []byte) (recordStore, replication.Operation) {
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

// LoadEndpointList reads the stored list in the background, and calls onLoaded once with the list and its age if there is one. While no
// member answers it retries, until stop returns true.
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

// decodeEndpointList passes the list of a record to onLoaded, unless the record does not exist or is malformed.
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

// EndpointListAges returns the maximum age at which a stored list is used, and the one at which its endpoints are candidates for health checks.
func (f *Fleet) EndpointListAges() (maxUsedAge, maxCandidateAge time.Duration) {
	return f.config.ListFreshTTL, f.config.ListStaleTTL
}
