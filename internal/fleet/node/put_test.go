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

// TestPuts puts items through members that vote and that do not. Each is applied once and agreed, and the state is the same
// whether it was learned by changes, by a snapshot or from the log.
func TestPuts(t *testing.T) {
	fleet := newTestFleet(t, 3, "a", "a", "a", "a", "a")
	fleet.waitFor("there are three voters", 30*time.Second, func() bool { return len(fleet.voters()) == 3 && fleet.allAgree() })
	fleet.run(5 * time.Second) // configurations settle
	fleet.waitFor("all agree", 5*time.Second, fleet.allAgree)
	for i := range fleet.nodes {
		was := fleet.nodes[i].FeedState().Version()
		p := shardmap.Put{Key: fmt.Sprintf("config/%d", i), Value: []byte{byte(i)}, OperationID: fmt.Sprintf("op-%d", i)}
		d := fleet.put(i, p)
		if d.Rejection != "" || d.Version != was+1 {
			t.Fatalf("put by %d on version %d: %+v", i, was, d)
		}
		if again := fleet.put((i+1)%5, p); again != d {
			t.Errorf("repeated: %+v, before %+v", again, d)
		}
		fleet.waitFor("all agree", 5*time.Second, fleet.allAgree)
		if v, _ := fleet.nodes[0].FeedState().Get(p.Key); string(v) != string(p.Value) || fleet.nodes[0].FeedState().Version() != d.Version {
			t.Errorf("%s is %q at version %d", p.Key, v, fleet.nodes[0].FeedState().Version())
		}
	}
	was := fleet.nodes[0].FeedState().Version()
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
		if d := fleet.put(2, test.put); !strings.Contains(d.Rejection, test.want) || d.Version != 0 {
			t.Errorf("%+v: wanted %q", d, test.want)
		}
	}
	if now := fleet.nodes[0].FeedState().Version(); now != was {
		t.Errorf("rejected puts made version %d of %d", now, was)
	}
	if d := fleet.put(3, shardmap.Put{Key: "config/0", Delete: true, OperationID: "delete"}); d.Version != was+1 {
		t.Errorf("%+v", d)
	}
	late := fleet.join(3, "a") // it gets a snapshot
	fleet.waitFor("a later member agrees", 20*time.Second, func() bool { return fleet.allAgree() && len(fleet.nodes[late].State().Members) == 6 })
	fleet.waitFor("and with the log's state", time.Second, func() bool {
		st := fleet.nodes[fleet.leader()].log.State()
		return consensus.SnapshotOf(st).Digest == fleet.nodes[late].FeedState().Digest()
	})
	if v, is := fleet.nodes[late].FeedState().Get("config/4"); !is || v[0] != 4 {
		t.Errorf("config/4 there: %v %v", v, is)
	}
	if len(fleet.alerts) > 0 {
		t.Errorf("%q", fleet.alerts)
	}
}

// TestOlderProtocolVersion has a member of an older program in the fleet: puts, which it does not know, are rejected, and it gets
// responses that it can read.
func TestOlderProtocolVersion(t *testing.T) {
	fleet := newTestFleet(t, 3, "a", "a", "a", "a")
	fleet.protocolVersions[3] = 1
	fleet.waitFor("all are members", 30*time.Second, func() bool {
		return len(fleet.voters()) == 3 && len(fleet.nodes[0].State().Members) == 4 && fleet.allAgree()
	})
	if d := fleet.put(1, shardmap.Put{Key: "config/a", OperationID: "a"}); !strings.Contains(d.Rejection, memberID(3)) {
		t.Errorf("%+v", d)
	}
	fleet.setDown(3, true)
	fleet.waitFor("it is no member any more", 30*time.Second, func() bool { return len(fleet.nodes[0].State().Members) == 3 })
	if d := fleet.put(1, shardmap.Put{Key: "config/a", OperationID: "b"}); d.Version == 0 {
		t.Errorf("%+v", d)
	}

	node := fleet.nodes[0]
	_ = node.Step(Packet{From: memberID(3), PollRequest: &PollRequest{}})
	r, err := node.Ready()
	if err != nil {
		t.Fatal(err)
	}
	response := r.Packets[len(r.Packets)-1].PollResponse
	if len(response.Members) != 3 || len(response.Shards) == 0 || response.Changes != nil || response.Snapshot != nil || response.Version != node.State().Version {
		t.Errorf("an older program gets %+v", response)
	}
	// A member without items accepts that response; one with items does not, as it would lose them.
	old := *response
	old.ProtocolVersion, old.Digest, old.HasAge = 0, 0, false
	newcomer, err := New(fleet.cfgs[3], PersistentState{}, fleet.now)
	if err != nil {
		t.Fatal(err)
	}
	_ = newcomer.Step(Packet{From: memberID(0), PollResponse: &old})
	if newcomer.FeedState().Version() != old.Version || len(newcomer.State().Members) != 3 || newcomer.FeedState().Len() == 0 {
		t.Errorf("it has version %d, %d keys", newcomer.FeedState().Version(), newcomer.FeedState().Len())
	}
	old.Version += 7
	was := node.FeedState().Version()
	_ = node.Step(Packet{From: memberID(3), PollResponse: &old})
	if node.FeedState().Version() != was {
		t.Error("an older member's response replaced a state with items")
	}
}

// TestDivergenceIsReported gives a member a state of its own version with other contents: it is refused and reported once.
func TestDivergenceIsReported(t *testing.T) {
	fleet := newTestFleet(t, 1, "a", "a")
	fleet.waitFor("all agree", 20*time.Second, func() bool { return fleet.nodes[1].FeedState().Version() > 1 && fleet.allAgree() })
	node := fleet.nodes[1]
	was := node.FeedState().Digest()
	other := changefeed.NewSnapshot("f", node.FeedState().Version(), []changefeed.Item{{Key: "epoch", Value: []byte("9")}, {Key: "fleet", Value: []byte("f")}})
	for range 2 {
		_ = node.Step(Packet{From: memberID(0), PollResponse: &PollResponse{
			FleetID:         "f",
			ProtocolVersion: ProtocolVersion,
			Version:         other.Version,
			Digest:          other.Digest,
			Snapshot:        other,
		}})
	}
	r, _ := node.Ready()
	if node.FeedState().Digest() != was || r.Snapshot != nil {
		t.Error("the other state was accepted")
	}
	if n := len(slices.DeleteFunc(r.Events, func(l Event) bool { return !l.IsAlert })); n != 1 {
		t.Errorf("reported %d times", n)
	}
}
