package faults

import (
	"slices"
	"testing"
	"time"
)

// TestFaultsEnd expands each kind of fault and checks that it ends: a missing step would leave a fault active until the end of the run.
// Each state that is set is reset, each server that stops was drained, and the same seed gives the same steps.
func TestFaultsEnd(t *testing.T) {
	for kind := range Kinds {
		f := Fault{Kind: kind, At: time.Second, For: 2 * time.Second, Share: 0.5, BatchShare: 0.2, Factor: 4, Rate: 0.5, Delay: time.Second}
		steps, total, err := Expand([]Fault{f}, 10, 4, 3)
		if err != nil || len(steps) == 0 {
			t.Fatalf("%s: Expand returned error %v and %d steps", kind, err, len(steps))
		}
		again, _, _ := Expand([]Fault{f}, 10, 4, 3)
		if !slices.Equal(steps, again) {
			t.Errorf("%s: the same seed gave different steps", kind)
		}
		on, drained := map[[2]int]int{}, map[int]bool{}
		started := 0
		for _, s := range steps {
			switch s.Action {
			case StartServer:
				if s.Target != 10+started {
					t.Errorf("%s: successor has number %d, want %d", kind, s.Target, 10+started)
				}
				started++
			case DrainServer:
				drained[s.Target] = true
			case StopServer:
				if !drained[s.Target] {
					t.Errorf("%s: server %d stops without a drain", kind, s.Target)
				}
			case CrashServer, SilenceServer, HideServer, KillBalancer:
				on[[2]int{int(s.Action), s.Target}]++
			case LoseBalancer:
				on[[2]int{int(KillBalancer), s.Target}]++
			case SetMemberLinks:
				on[[2]int{int(s.Action), int(s.Members)}] += map[bool]int{true: -1, false: 1}[s.Link == MemberLink{In: s.Link.In, Out: s.Link.Out}]
			case RestartServer, UnsilenceServer, ShowServer, StartBalancer:
				on[[2]int{int(s.Action) - 1, s.Target}]--
			case SetSlow, SetStoreSlow:
				on[[2]int{int(s.Action), s.Target}] += map[bool]int{true: 1, false: -1}[s.Value > 1]
			case SetDiscoveryReachable:
				on[[2]int{int(s.Action), s.Target}] += map[bool]int{true: 1, false: -1}[s.Value == 0]
			case SetErrors, SetFull, SetDrip, SetTornLines, SetHalfOpen, SetDiscoveryFaulty, SetMisbehavingClients, SetLinkCut:
				on[[2]int{int(s.Action), s.Target}] += map[bool]int{true: 1, false: -1}[s.Value > 0]
			case SetListDelay, SetLinkDelay:
				on[[2]int{int(s.Action), s.Target}] += map[bool]int{true: 1, false: -1}[s.For > 0]
			}
		}
		for what, n := range on {
			if n != 0 {
				t.Errorf("%s: action %d on target %d begins %d more times than it ends", kind, what[0], what[1], n)
			}
		}
		if total != 10+started {
			t.Errorf("%s: Expand returned %d servers, want 10 and %d that were started", kind, total, started)
		}
	}
	if _, _, err := Expand([]Fault{{Kind: "nothing"}}, 1, 1, 1); err == nil {
		t.Error("Expand accepted an unknown kind of fault")
	}
}
