// This file emulates the store that all servers call during a set-up.

package emulator

import (
	"sync"
	"time"

	"sabletally/internal/lab/model"
)

// Store is the store that all servers share, safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	model model.Store
}

// NewStore returns a store with a model.
func NewStore(m model.Store) *Store { return &Store{model: m} }

// Call returns the time that a call takes, and whether it succeeds.
func (s *Store) Call(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Call(now)
}

// Slow makes the store slower by a factor; 1 restores its speed.
func (s *Store) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Slow = factor
}
