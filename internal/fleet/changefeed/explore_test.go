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

// exploredState is one state of the exploration, with the moves that led to it.
type exploredState struct {
	world  *modelWorld
	parent *exploredState
	move   string
}

func (s *exploredState) path() string {
	var all []string
	for ; s.parent != nil; s = s.parent {
		all = append(all, s.move)
	}
	slices.Reverse(all)
	return strings.Join(all, ", ")
}

// explore visits every order of moves of the model world up to a depth, each state once. Every settleEach-th state is brought to rest, and
// has to converge. It returns the number of states, and the first violation with the moves that led to it.
func explore(t testing.TB, subscribers, depth int, left budget, broken injectedFault, settleEach int, prefix ...string) (states int, found string) {
	first := &exploredState{world: newModelWorld(t, subscribers, left, broken)}
	for _, m := range prefix {
		if !slices.Contains(first.world.moves(), m) {
			return 0, "no such move: " + m
		}
		first.world.move(m)
		first = &exploredState{world: first.world, parent: first, move: m}
	}
	seen := map[uint64]bool{first.world.fingerprint(): true}
	level := []*exploredState{first}
	for d := 0; d <= depth; d++ {
		var next []*exploredState
		for _, s := range level {
			states++
			if states%settleEach == 0 {
				w := s.world.clone()
				w.checkConverges()
				if w.violation != "" {
					return states, fmt.Sprintf("%s, by %s, then calm", w.violation, s.path())
				}
			}
			if d == depth {
				continue
			}
			for _, m := range s.world.moves() {
				n := &exploredState{world: s.world.clone(), parent: s, move: m}
				n.world.move(m)
				if n.world.violation != "" {
					return states, fmt.Sprintf("%s, by %s", n.world.violation, n.path())
				}
				if p := n.world.fingerprint(); !seen[p] {
					seen[p] = true
					next = append(next, n)
				}
			}
			s.world = nil
		}
		level = next
	}
	return states, ""
}

// TestExplorationFindsNoViolation explores the model world with two subscribers, and deeper with one.
func TestExplorationFindsNoViolation(t *testing.T) {
	left := budget{versions: 3, ticks: 4, sleeps: 1, losses: 1, duplicates: 1, suspensions: 1, restarts: 1, corruptions: 1}
	for _, one := range []struct{ subscribers, depth int }{{2, *exploreDepth}, {1, *exploreSingleDepth}} {
		began := time.Now()
		states, found := explore(t, one.subscribers, one.depth, left, noFault, 50)
		t.Logf("%d subscribers: %d states to depth %d, in %v", one.subscribers, states, one.depth, time.Since(began).Round(10*time.Millisecond))
		if found != "" {
			t.Error(found)
		}
	}
}

// TestExplorationFindsInjectedFaults injects faults around a subscriber, to show that the exploration finds violations.
func TestExplorationFindsInjectedFaults(t *testing.T) {
	for broken, one := range map[injectedFault]struct {
		name   string
		depth  int
		left   budget
		prefix []string
	}{
		faultDigestUnchecked: {violationMixedState, 4, budget{versions: 1, ticks: 1, corruptions: 1}, nil},
		faultLeaseIgnored:    {violationFalselyCurrent, 4, budget{versions: 1, ticks: 1, sleeps: 1, suspensions: 1}, nil},
		// Starts where both publishers' logs are truncated, and a snapshot of one of them is in transit.
		faultSnapshotOverNewer: {violationWentBack, 5, budget{versions: 5, ticks: 1}, []string{"agree", "agree", "agree", "replicate 0", "tick", "deliver 0 r0 0", "agree", "replicate 1"}},
	} {
		t.Run(string(broken), func(t *testing.T) {
			states, found := explore(t, 1, one.depth, one.left, broken, 1<<30, one.prefix...)
			if !strings.HasPrefix(found, one.name) {
				t.Errorf("%d states: %q", states, found)
			}
			t.Logf("%d states: %s", states, found)
			if states, found := explore(t, 1, one.depth, one.left, noFault, 1<<30, one.prefix...); found != "" {
				t.Errorf("without it, %d states: %s", states, found)
			} else {
				t.Logf("without it: %d states, nothing", states)
			}
		})
	}
}
