package changefeed

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	exploreDepth       = flag.Int("walk-depth", 4, "depth of the exploration with two subscribers")
	exploreSingleDepth = flag.Int("walk-deeper", 5, "depth of the exploration with one subscriber")
)

// exploredState is one state of the exploration. The chain of its parents gives the moves that led to it.
type exploredState struct {
	world  *modelWorld
	parent *exploredState
	move   string
}

// path returns the moves that led to the state, in order.
func (s *exploredState) path() string {
	var moves []string
	for ; s.parent != nil; s = s.parent {
		moves = append(moves, s.move)
	}
	slices.Reverse(moves)
	return strings.Join(moves, ", ")
}

// explore visits every order of moves of the model world up to a depth, breadth first and each state once. All moves of prefix are made
// before. For every convergenceInterval-th state it verifies that the world converges once all faults end. It returns the number of states
// and the first violation, with the moves that led to it.
func explore(t testing.TB, subscribers, depth int, remaining budget, fault injectedFault, convergenceInterval int, prefix ...string) (states int, found string) {
	first := &exploredState{world: newModelWorld(t, subscribers, remaining, fault)}
	for _, move := range prefix {
		if !slices.Contains(first.world.possibleMoves(), move) {
			return 0, "move of the prefix is not possible: " + move
		}
		first.world.applyMove(move)
		first = &exploredState{world: first.world, parent: first, move: move}
	}
	seen := map[uint64]bool{first.world.fingerprint(): true}
	level := []*exploredState{first}
	for d := 0; d <= depth; d++ {
		var next []*exploredState
		for _, s := range level {
			states++
			if states%convergenceInterval == 0 {
				w := s.world.clone()
				w.checkConverges()
				if w.violation != "" {
					return states, fmt.Sprintf("%s, by %s, then without faults", w.violation, s.path())
				}
			}
			if d == depth {
				continue
			}
			for _, move := range s.world.possibleMoves() {
				successor := &exploredState{world: s.world.clone(), parent: s, move: move}
				successor.world.applyMove(move)
				if successor.world.violation != "" {
					return states, fmt.Sprintf("%s, by %s", successor.world.violation, successor.path())
				}
				if fingerprint := successor.world.fingerprint(); !seen[fingerprint] {
					seen[fingerprint] = true
					next = append(next, successor)
				}
			}
			s.world = nil
		}
		level = next
	}
	return states, ""
}

// TestExplorationFindsNoViolation guards against violations of the subscriber's guarantees in rare orders of events. It explores the model
// world with two subscribers, and to a greater depth with one.
func TestExplorationFindsNoViolation(t *testing.T) {
	remaining := budget{versions: 3, ticks: 4, sleeps: 1, losses: 1, duplicates: 1, suspensions: 1, restarts: 1, corruptions: 1}
	for _, tc := range []struct{ subscribers, depth int }{{2, *exploreDepth}, {1, *exploreSingleDepth}} {
		startedAt := time.Now()
		states, found := explore(t, tc.subscribers, tc.depth, remaining, noFault, 50)
		t.Logf("%d subscribers: %d states to depth %d, in %v", tc.subscribers, states, tc.depth, time.Since(startedAt).Round(10*time.Millisecond))
		if found != "" {
			t.Error(found)
		}
	}
}

// TestExplorationFindsInjectedFaults guards against an exploration that cannot fail: it has to find the violation that each injected fault
// causes, and none without the fault.
func TestExplorationFindsInjectedFaults(t *testing.T) {
	for fault, tc := range map[injectedFault]struct {
		name      string
		depth     int
		remaining budget
		prefix    []string
	}{
		faultDigestUnchecked: {violationMixedState, 4, budget{versions: 1, ticks: 1, corruptions: 1}, nil},
		faultLeaseIgnored:    {violationFalselyCurrent, 4, budget{versions: 1, ticks: 1, sleeps: 1, suspensions: 1}, nil},
		// The prefix leads to truncated logs of both publishers, with a snapshot of one of them in transit.
		faultSnapshotOverNewer: {violationWentBack, 5, budget{versions: 5, ticks: 1}, []string{"agree", "agree", "agree", "replicate 0", "tick", "deliver 0 r0 0", "agree", "replicate 1"}},
	} {
		t.Run(string(fault), func(t *testing.T) {
			states, found := explore(t, 1, tc.depth, tc.remaining, fault, 1<<30, tc.prefix...)
			if !strings.HasPrefix(found, tc.name) {
				t.Errorf("%d states with the fault: found %q", states, found)
			}
			t.Logf("%d states: %s", states, found)
			if states, found := explore(t, 1, tc.depth, tc.remaining, noFault, 1<<30, tc.prefix...); found != "" {
				t.Errorf("%d states without the fault: %s", states, found)
			} else {
				t.Logf("%d states without the fault: no violation", states)
			}
		})
	}
}
