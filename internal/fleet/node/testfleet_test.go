package node

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/shardmap"
)

const (
	testStep       = 50 * time.Millisecond
	testEvictAfter = 10 * time.Second
)

// testFleet runs nodes in virtual time and delivers their packets one step later. It has no disks, so that nodes can't be restarted.
type testFleet struct {
	t         *testing.T
	now       time.Duration
	cfgs      []Config
	nodes     []*Node
	down      map[int]bool
	changedAt map[int]time.Duration // time at which a node was stopped or started last, by node

	isCut            func(from, to int) bool // whether packets on this path are lost
	protocolVersions map[int]int             // protocol versions other than ProtocolVersion, by node
	inTransit        []sentPacket            // packets sent in the last step

	putResults map[string]shardmap.PutResult // results of puts, by operation ID
	alerts     []string                      // messages of the events that need an operator
	afterStep  func()                        // called after each step
}

type sentPacket struct {
	from, to int
	packet   Packet
}

func memberID(i int) string { return fmt.Sprintf("%016x%016x", i+1, i+1) }

// newTestFleet returns a fleet with one member for each element of sites, which is a site or a site with a zone, as in "a/1". Each member has
// its own machine, and its own zone unless one is given.
func newTestFleet(t *testing.T, voters int, sites ...string) *testFleet {
	fleet := &testFleet{
		t:                t,
		down:             map[int]bool{},
		changedAt:        map[int]time.Duration{},
		protocolVersions: map[int]int{},
		putResults:       map[string]shardmap.PutResult{},
		isCut:            func(int, int) bool { return false },
		afterStep:        func() {},
	}
	for _, site := range sites {
		fleet.join(voters, site)
	}
	return fleet
}

// join adds a member to the fleet and returns its index.
func (fleet *testFleet) join(voters int, site string) int {
	fleet.t.Helper()
	i := len(fleet.nodes)
	site, zone, hasZone := strings.Cut(site, "/")
	if !hasZone {
		zone = fmt.Sprint("of ", i)
	}
	cfg := Config{
		Self: shardmap.Member{
			ID:      memberID(i),
			Addr:    fmt.Sprintf("m%d", i),
			Machine: fmt.Sprintf("m%d", i),
			Zone:    zone,
			Site:    site,
		},
		Incarnation:          1,
		BootstrapID:          "f",
		CanBootstrap:         i == 0,
		Seeds:                []string{"m0"},
		VoterCount:           voters,
		ReplicationFactor:    1,
		EvictAfter:           testEvictAfter,
		MaxJoiningShards:     8,
		Seed:                 uint64(i),
		MaxKeys:              10,
		MaxBytes:             1 << 20,
		MaxPendingOperations: 10,
	}
	node, err := New(cfg, PersistentState{}, fleet.now)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.cfgs = append(fleet.cfgs, cfg)
	fleet.nodes = append(fleet.nodes, node)
	fleet.changedAt[i] = fleet.now
	return i
}

// setDown stops a node or lets it run on.
func (fleet *testFleet) setDown(i int, down bool) {
	fleet.down[i] = down
	fleet.changedAt[i] = fleet.now
}

// run advances the time by a duration, in steps.
func (fleet *testFleet) run(duration time.Duration) {
	fleet.t.Helper()
	for end := fleet.now + duration; fleet.now < end; {
		fleet.now += testStep
		packets := fleet.inTransit
		fleet.inTransit = nil
		for i := range fleet.nodes {
			if !fleet.down[i] {
				fleet.step(i, packets)
			}
		}
		fleet.afterStep()
	}
}

// step runs one node for one step: a tick, the packets that arrive, and the node's output.
func (fleet *testFleet) step(i int, packets []sentPacket) {
	fleet.t.Helper()
	node := fleet.nodes[i]
	node.Tick(fleet.now, fleet.peersOf(i))
	for _, sent := range packets {
		if sent.to != i || fleet.isCut(sent.from, i) {
			continue
		}
		if err := node.Step(sent.packet); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) { // a former voter's response is allowed
			fleet.t.Fatalf("node %d: handling a packet: %v", i, err)
		}
	}
	ready, err := node.Ready()
	if err != nil {
		fleet.t.Fatalf("node %d: Ready: %v", i, err)
	}
	for _, packet := range ready.Packets {
		to := slices.IndexFunc(fleet.cfgs, func(cfg Config) bool { return cfg.Self.ID == packet.To })
		fleet.inTransit = append(fleet.inTransit, sentPacket{i, to, packet})
	}
	for _, result := range ready.PutResults {
		fleet.putResults[result.OperationID] = result
	}
	for _, event := range ready.Events {
		if event.IsAlert {
			fleet.alerts = append(fleet.alerts, fmt.Sprintf("%d: %s: %s", i, event.Message, event.Detail))
		}
	}
}

// peersOf returns the status of the other members as the gossip of a member would report it.
func (fleet *testFleet) peersOf(i int) []placement.MemberStatus {
	var peers []placement.MemberStatus
	for j := range fleet.nodes {
		if j == i {
			continue
		}
		version, isSet := fleet.protocolVersions[j]
		if !isSet {
			version = ProtocolVersion
		}
		peers = append(peers, placement.MemberStatus{
			Member:          fleet.cfgs[j].Self,
			Alive:           !fleet.down[j],
			StateAge:        fleet.now - fleet.changedAt[j],
			ProtocolVersion: version,
		})
	}
	return peers
}

// waitFor advances the time until a condition holds, and fails the test after the timeout.
func (fleet *testFleet) waitFor(what string, timeout time.Duration, isTrue func() bool) {
	fleet.t.Helper()
	for end := fleet.now + timeout; !isTrue(); fleet.run(testStep) {
		if fleet.now >= end {
			fleet.t.Fatalf("timeout after %v, waiting until %s", timeout, what)
		}
	}
}

// leader returns the index of the node that leads the log, -1 if there is none.
func (fleet *testFleet) leader() int {
	for i, node := range fleet.nodes {
		if node.IsLeader() && !fleet.down[i] {
			return i
		}
	}
	return -1
}

// voters returns the indexes of the voters that the leader knows, sorted; none without a leader.
func (fleet *testFleet) voters() (all []int) {
	if leader := fleet.leader(); leader >= 0 {
		for _, logID := range fleet.nodes[leader].Voters() {
			all = append(all, slices.IndexFunc(fleet.cfgs, func(node Config) bool { return consensus.NodeID(node.Self.ID) == logID }))
		}
	}
	slices.Sort(all)
	return all
}

// votersBySite returns the number of voters at each site that has any, sorted.
func (fleet *testFleet) votersBySite(voters []int) (counts []int) {
	countBySite := map[string]int{}
	for _, i := range voters {
		countBySite[fleet.cfgs[i].Self.Site]++
	}
	counts = slices.Collect(maps.Values(countBySite))
	slices.Sort(counts)
	return counts
}

// allAgree reports whether all running nodes know the same state.
func (fleet *testFleet) allAgree() bool {
	var first *changefeed.State
	for i, node := range fleet.nodes {
		if fleet.down[i] {
			continue
		}
		if first == nil {
			first = node.FeedState()
		}
		if node.FeedState().Version() != first.Version() || node.FeedState().Digest() != first.Digest() {
			return false
		}
	}
	return true
}

// put executes a put at a node and returns its result.
func (fleet *testFleet) put(i int, put shardmap.Put) shardmap.PutResult {
	fleet.t.Helper()
	delete(fleet.putResults, put.OperationID)
	fleet.nodes[i].Put(put, 5*time.Second)
	fleet.waitFor("the put "+put.OperationID+" is answered", 6*time.Second, func() bool { _, exists := fleet.putResults[put.OperationID]; return exists })
	return fleet.putResults[put.OperationID]
}
