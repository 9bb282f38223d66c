package emulator

import (
	"sync"
	"time"

	"sabletally/internal/lab/model"
)

// Store is the store that all servers share.
type Store struct {
	mu    sync.Mutex
	model model.Store
}

// NewStore returns a store.
func NewStore(m model.Store) *Store { return &Store{model: m} }

// Call makes a call; see model.Store.
func (s *Store) Call(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Call(now)
}

// Slow makes the store slower by a factor.
func (s *Store) Slow(times float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Slow = times
}
