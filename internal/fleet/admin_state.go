package fleet

import (
	"crypto/rand"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/replication"
)

// AdminState is the state that operators have set for a balancer. It is stored as a record under the balancer's name; the last write that
// the replicas received is in force.
type AdminState struct {
	OutOfService bool   `json:"out"`
	SetAt        int64  `json:"at"` // Unix seconds, by the clock of the balancer that received the command
	SetBy        string `json:"by"` // member ID of that balancer
}

func adminStateKey(name string) string { return "word/" + name }

// SetAdminState stores the administrative state of a balancer in the background. It retries for a limited time, until the state is stored or
// a later call supersedes it, and logs whether the state was stored.
func (f *Fleet) SetAdminState(name string, outOfService bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adminStateSequence++
	sequence := f.adminStateSequence
	state := AdminState{OutOfService: outOfService, SetAt: time.Now().Unix()}
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		f.storeAdminState(name, sequence, state)
	}()
}

// storeAdminState writes the state until it is stored or superseded, at most maxRecordAttempts times.
func (f *Fleet) storeAdminState(name string, sequence int, state AdminState) {
	expectedVersion := uint64(0)
	for attempt := range maxRecordAttempts {
		if attempt > 0 && !f.sleep(writeRetryDelay) || f.isSuperseded(sequence) {
			return
		}
		store, memberID := f.currentStore()
		if store == nil {
			continue
		}
		state.SetBy = memberID
		isStored := false
		expectedVersion, isStored = f.writeAdminState(store, name, sequence, state, expectedVersion)
		if isStored {
			return
		}
	}
	f.log.Error("fleet: admin state not stored, it is lost when this process ends", zap.String("of", name), zap.Bool("out", state.OutOfService))
}

// writeAdminState replaces the stored version of the state by a new one. It learns the stored version from conflicts, and returns it as the
// version to expect in the next attempt.
func (f *Fleet) writeAdminState(store recordStore, name string, sequence int, state AdminState, expectedVersion uint64) (version uint64, isStored bool) {
	value, err := json.Marshal(state)
	if err != nil {
		panic(err) // cannot happen: the fields are plain values
	}
	for range maxRecordAttempts { // other balancers may write between two attempts
		result := f.submitAndWait(store, replication.Operation{
			ID:              rand.Text(),
			Key:             adminStateKey(name),
			ExpectedVersion: expectedVersion,
			Value:           value,
			CreatedAt:       state.SetAt,
		})
		if result.Outcome == replication.OutcomeCommitted {
			f.log.Info("fleet: admin state stored", zap.String("of", name), zap.Bool("out", state.OutOfService), zap.Uint64("version", result.Record.Version))
			return expectedVersion, true
		}
		if result.Outcome != replication.OutcomeConflict || f.isSuperseded(sequence) {
			return expectedVersion, false
		}
		expectedVersion = result.Record.Version
		if result.Record.Deleted {
			expectedVersion = 0
		}
	}
	return expectedVersion, false
}

// isSuperseded reports whether SetAdminState was called again after the call with this sequence number.
func (f *Fleet) isSuperseded(sequence int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sequence != f.adminStateSequence
}

// LoadAdminState reads the administrative state of a balancer in the background, and calls onLoaded once it is known, with false if none was
// set. While no member answers it retries, for a limited time. A state that is loaded after more than expectedTime is logged as late.
func (f *Fleet) LoadAdminState(name string, expectedTime time.Duration, onLoaded func(outOfService bool)) {
	f.goroutines.Add(1)
	go func() {
		defer f.goroutines.Done()
		startedAt := time.Now()
		for range maxRecordAttempts {
			if record, ok := f.readRecord(adminStateKey(name)); ok {
				state := f.decodeAdminState(name, record)
				duration := time.Since(startedAt)
				f.log.Info("fleet: admin state loaded", zap.String("of", name), zap.Bool("out", state.OutOfService), zap.Uint64("version", record.Version),
					zap.Duration("after", duration), zap.Bool("late", duration > expectedTime))
				onLoaded(state.OutOfService)
				return
			}
			if !f.sleep(readRetryDelay) {
				return
			}
		}
		f.log.Error("fleet: admin state not loaded, no replica has answered", zap.String("of", name))
	}()
}

// decodeAdminState decodes a record. It returns the zero state for one that does not exist or is malformed.
func (f *Fleet) decodeAdminState(name string, record replication.Record) AdminState {
	var state AdminState
	if len(record.Value) == 0 || record.Deleted {
		return state
	}
	if err := json.Unmarshal(record.Value, &state); err != nil {
		f.log.Error("fleet: malformed admin state", zap.String("of", name), zap.Error(err))
	}
	return state
}
