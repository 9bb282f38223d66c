package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/shardmap"
)

// TestPuts guards against puts that are lost, applied twice or answered wrongly, and against members that diverge. It puts items through voters
// and other members: each put must make exactly one version, and the state must be the same whether a member learned it by changes, from a
// snapshot or from the log.
func TestPuts(t *testing.T) {
	fleet := newTestFleet(t, 3, "a", "a", "a", "a", "a")
	fleet.waitFor("there are three voters", 30*time.Second, func() bool { return len(fleet.voters()) == 3 && fleet.allAgree() })
	fleet.run(5 * time.Second) // by then the shards' configurations are stable
	fleet.waitFor("all agree", 5*time.Second, fleet.allAgree)
	for i := range fleet.nodes {
		versionBefore := fleet.nodes[i].FeedState().Version()
		put := shardmap.Put{Key: fmt.Sprintf("config/%d", i), Value: []byte{byte(i)}, OperationID: fmt.Sprintf("op-%d", i)}
		result := fleet.put(i, put)
		if result.Rejection != "" || result.Version != versionBefore+1 {
			t.Fatalf("put at member %d at version %d: %+v", i, versionBefore, result)
		}
		if again := fleet.put((i+1)%5, put); again != result {
			t.Errorf("the repeated put returned %+v, the first one %+v", again, result)
		}
		fleet.waitFor("all agree", 5*time.Second, fleet.allAgree)
		if value, _ := fleet.nodes[0].FeedState().Get(put.Key); string(value) != string(put.Value) || fleet.nodes[0].FeedState().Version() != result.Version {
			t.Errorf("%s is %q at version %d", put.Key, value, fleet.nodes[0].FeedState().Version())
		}
	}
	versionBefore := fleet.nodes[0].FeedState().Version()
	for _, test := range []struct {
		put  shardmap.Put
		want string
	}{
		{shardmap.Put{Key: "member/x", OperationID: "a"}, "none of operators'"},
		{shardmap.Put{Key: "config/x"}, "an operation's name"},
		{shardmap.Put{Key: "config/x", OperationID: "b", Value: make([]byte, shardmap.MaxValueBytes+1)}, "262144 are the most"},
		{shardmap.Put{Key: "config/0", OperationID: "c", Conditional: true}, "is in force, not 0"},
		{shardmap.Put{Key: "config/none", OperationID: "d", Delete: true}, "there is no config/none"},
	} {
		if result := fleet.put(2, test.put); !strings.Contains(result.Rejection, test.want) || result.Version != 0 {
			t.Errorf("got %+v, want a rejection that contains %q", result, test.want)
		}
	}
	if now := fleet.nodes[0].FeedState().Version(); now != versionBefore {
		t.Errorf("rejected puts changed the version to %d from %d", now, versionBefore)
	}
	if result := fleet.put(3, shardmap.Put{Key: "config/0", Delete: true, OperationID: "delete"}); result.Version != versionBefore+1 {
		t.Errorf("deletion of an item: %+v", result)
	}
	newMember := fleet.join(3, "a") // the new member learns the state from a snapshot
	fleet.waitFor("the new member agrees", 20*time.Second, func() bool { return fleet.allAgree() && len(fleet.nodes[newMember].State().Members) == 6 })
	fleet.waitFor("the new member agrees with the state of the log", time.Second, func() bool {
		logState := fleet.nodes[fleet.leader()].log.State()
		return consensus.SnapshotOf(logState).Digest == fleet.nodes[newMember].FeedState().Digest()
	})
	if value, exists := fleet.nodes[newMember].FeedState().Get("config/4"); !exists || value[0] != 4 {
		t.Errorf("config/4 at the new member: %v, exists: %v", value, exists)
	}
	if len(fleet.alerts) > 0 {
		t.Errorf("alerts: %q", fleet.alerts)
	}
}

// TestOlderProtocolVersion guards against an upgrade that breaks members of the older program. While such a member is in the fleet, puts, which
// it does not support, must be rejected, and it must get responses that it can decode.
func TestOlderProtocolVersion(t *testing.T) {
	fleet := newTestFleet(t, 3, "a", "a", "a", "a")
	fleet.protocolVersions[3] = 1
	fleet.waitFor("all are members", 30*time.Second, func() bool {
		return len(fleet.voters()) == 3 && len(fleet.nodes[0].State().Members) == 4 && fleet.allAgree()
	})
	if result := fleet.put(1, shardmap.Put{Key: "config/a", OperationID: "a"}); !strings.Contains(result.Rejection, memberID(3)) {
		t.Errorf("put while a member of an older program is in the fleet: %+v", result)
	}
	fleet.setDown(3, true)
	fleet.waitFor("the older member has been evicted", 30*time.Second, func() bool { return len(fleet.nodes[0].State().Members) == 3 })
	if result := fleet.put(1, shardmap.Put{Key: "config/a", OperationID: "b"}); result.Version == 0 {
		t.Errorf("put after the older member was evicted: %+v", result)
	}

	node := fleet.nodes[0]
	_ = node.Step(Packet{From: memberID(3), PollRequest: &PollRequest{}})
	ready, err := node.Ready()
	if err != nil {
		t.Fatal(err)
	}
	response := ready.Packets[len(ready.Packets)-1].PollResponse
	if len(response.Members) != 3 || len(response.Shards) == 0 || response.Changes != nil || response.Snapshot != nil || response.Version != node.State().Version {
		t.Errorf("response to an older program: %+v", response)
	}
	// A member without items applies that response; one with items must not, as it would lose them.
	olderResponse := *response
	olderResponse.ProtocolVersion, olderResponse.Digest, olderResponse.HasAge = 0, 0, false
	newcomer, err := New(fleet.cfgs[3], PersistentState{}, fleet.now)
	if err != nil {
		t.Fatal(err)
	}
	_ = newcomer.Step(Packet{From: memberID(0), PollResponse: &olderResponse})
	if newcomer.FeedState().Version() != olderResponse.Version || len(newcomer.State().Members) != 3 || newcomer.FeedState().Len() == 0 {
		t.Errorf("the new member has version %d and %d keys", newcomer.FeedState().Version(), newcomer.FeedState().Len())
	}
	olderResponse.Version += 7
	versionBefore := node.FeedState().Version()
	_ = node.Step(Packet{From: memberID(3), PollResponse: &olderResponse})
	if node.FeedState().Version() != versionBefore {
		t.Error("an older member's response replaced a state with items")
	}
}

// TestDivergenceIsReported guards against a silent divergence: a member that gets a state of its own version with different contents must
// reject it and report it once.
func TestDivergenceIsReported(t *testing.T) {
	fleet := newTestFleet(t, 1, "a", "a")
	fleet.waitFor("all agree", 20*time.Second, func() bool { return fleet.nodes[1].FeedState().Version() > 1 && fleet.allAgree() })
	node := fleet.nodes[1]
	digestBefore := node.FeedState().Digest()
	diverging := changefeed.NewSnapshot("f", node.FeedState().Version(), []changefeed.Item{{Key: "epoch", Value: []byte("9")}, {Key: "fleet", Value: []byte("f")}})
	for range 2 {
		_ = node.Step(Packet{From: memberID(0), PollResponse: &PollResponse{
			FleetID:         "f",
			ProtocolVersion: ProtocolVersion,
			Version:         diverging.Version,
			Digest:          diverging.Digest,
			Snapshot:        diverging,
		}})
	}
	ready, _ := node.Ready()
	if node.FeedState().Digest() != digestBefore || ready.Snapshot != nil {
		t.Error("the diverging state was installed")
	}
	if alertCount := len(slices.DeleteFunc(ready.Events, func(event Event) bool { return !event.IsAlert })); alertCount != 1 {
		t.Errorf("the divergence was reported %d times", alertCount)
	}
}
