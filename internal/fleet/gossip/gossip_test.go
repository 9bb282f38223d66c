package gossip

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/lab/memnet"
)

// These tests run the production agent with the library memberlist, in virtual time on an in-memory network.

// testFleet is an in-memory fleet whose clock is that of a synctest bubble.
type testFleet struct {
	t            *testing.T
	network      *memnet.Network
	ports        []*memnet.Port
	agents       []*Agent
	start        time.Time
	incarnations map[string]uint64 // newest incarnation by member ID
	tune         func(*memberlist.Config)
}

// now returns the time since the start of the fleet.
func (fleet *testFleet) now() time.Duration { return time.Since(fleet.start) }

func memberID(num int) string { return fmt.Sprintf("%032x", num+1) }

// newFleet starts a fleet with the agent's own settings of the library.
func newFleet(t *testing.T, members int) *testFleet { return newTunedFleet(t, members, nil) }

// newTunedFleet starts a fleet with changed settings of the library.
func newTunedFleet(t *testing.T, members int, tune func(*memberlist.Config)) *testFleet {
	fleet := &testFleet{t: t, tune: tune, network: memnet.New(7, 200*time.Microsecond), start: time.Now(), incarnations: map[string]uint64{}}
	for i := range members {
		fleet.ports = append(fleet.ports, nil)
		fleet.agents = append(fleet.agents, nil)
		fleet.startMember(i, memberID(i))
	}
	return fleet
}

// startMember starts member i with the given ID. The first three members are the seeds of all.
func (fleet *testFleet) startMember(i int, id string) {
	fleet.ports[i] = fleet.network.Port(i)
	fleet.incarnations[id]++
	self := membership.Member{
		ID:                 id,
		Name:               fmt.Sprintf("n%d", i),
		Addr:               memnet.Addr(i),
		Machine:            fmt.Sprintf("m%d", i),
		Zone:               "a",
		Site:               "s",
		Incarnation:        fleet.incarnations[id],
		ProtocolVersion:    ProtocolVersion,
		MinProtocolVersion: MinProtocolVersion,
	}
	opt := Options{
		FleetName:         "f",
		Self:              self,
		ReplicationFactor: 3,
		ForgetAfter:       24 * time.Hour,
		MaxPeers:          1024,
		Seed:              uint64(i),
		Transport:         fleet.ports[i],
		Log:               zap.NewNop(),
		Now:               fleet.now,
		OverrideConfig:    fleet.tune,
	}
	for s := range min(3, len(fleet.agents)) {
		opt.Seeds = append(opt.Seeds, memnet.Addr(s))
	}
	agent, err := Open(opt)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.agents[i] = agent
}

// close stops all agents and waits until the library's goroutines have ended.
func (fleet *testFleet) close() {
	for _, agent := range fleet.agents {
		agent.Close()
	}
	time.Sleep(time.Minute) // time in which the library's goroutines end
}

// aliveCount returns the number of members that an agent sees as alive, its own included.
func aliveCount(agent *Agent) int {
	n := 1
	for _, peer := range agent.Status().Peers {
		if peer.State == membership.Alive {
			n++
		}
	}
	return n
}

// waitFor waits until a condition holds and returns how long that took. After the timeout it logs each agent's view and fails the test.
func (fleet *testFleet) waitFor(condition string, timeout time.Duration, holds func() bool) time.Duration {
	fleet.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > timeout {
			for _, agent := range fleet.agents {
				fleet.t.Logf("%s: %v, %d alive", agent.opt.Self.Name, agent.Status().Standing, aliveCount(agent))
				for _, peer := range agent.Status().Peers {
					fleet.t.Logf("    %s %s at %v: %v since %v", peer.ID[28:], peer.Name, peer.Addr, peer.State, peer.Since)
				}
			}
			fleet.t.Fatalf("condition does not hold after %v: %s", timeout, condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// allConnected returns the condition that each agent has a quorum and sees the given number of members as alive.
func (fleet *testFleet) allConnected(members int) func() bool {
	return func() bool {
		for _, agent := range fleet.agents {
			if s := agent.Status(); aliveCount(agent) != members || s.Standing != membership.Quorum {
				return false
			}
		}
		return true
	}
}

// TestPartitionHealsAfterMembersAreForgotten guards against a partition that never heals. It separates four of seven members from the other
// three for ten minutes, in which the library forgets the members that failed: only joins by the table can reconnect them.
func TestPartitionHealsAfterMembersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 7)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(7))
		fleet.network.SetLinks(func(from, to int) memnet.Link { return memnet.Link{IsCut: from < 3 != (to < 3)} })
		fleet.waitFor("only the four members have a quorum", time.Minute, func() bool {
			for i, agent := range fleet.agents {
				want, alive := membership.Quorum, 4
				if i < 3 {
					want, alive = membership.NoQuorum, 3
				}
				if agent.Status().Standing != want || aliveCount(agent) != alive {
					return false
				}
			}
			return true
		})
		time.Sleep(10 * time.Minute)
		fleet.network.SetLinks(func(int, int) memnet.Link { return memnet.Link{} })
		t.Log("connected after", fleet.waitFor("all are connected again", 2*time.Minute, fleet.allConnected(7)))
	})
}

// TestPartitionHealsWithoutSeeds guards against a partition that heals only through the seeds. All seeds leave before the other members are
// partitioned for ten minutes.
func TestPartitionHealsWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 8)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(8))
		for _, agent := range fleet.agents[:3] {
			agent.Leave()
		}
		fleet.agents = fleet.agents[3:]
		fleet.waitFor("the five remaining members are connected", 30*time.Second, fleet.allConnected(5))
		fleet.network.SetLinks(func(from, to int) memnet.Link { return memnet.Link{IsCut: from < 5 != (to < 5)} })
		time.Sleep(10 * time.Minute)
		if n := aliveCount(fleet.agents[0]); n != 2 {
			t.Fatal(n)
		}
		fleet.network.SetLinks(func(int, int) memnet.Link { return memnet.Link{} })
		t.Log("connected after", fleet.waitFor("all are connected again", 3*time.Minute, fleet.allConnected(5)))
	})
}

// TestLostDirectoryIsAnotherMember guards against taking a member for another one at its address. It replaces a member by one with an empty
// data directory at the same address, and then restarts a member that left.
func TestLostDirectoryIsAnotherMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(5))
		fleet.agents[4].Close()
		fleet.startMember(4, memberID(99))
		fleet.waitFor("the new member is alive and the old one is replaced", 30*time.Second, func() bool {
			for _, agent := range fleet.agents[:4] {
				for _, peer := range agent.Status().Peers {
					if peer.ID == memberID(4) && (peer.State != membership.Failed || peer.ReplacedBy != memberID(99)) {
						return false
					}
				}
				if aliveCount(agent) != 5 {
					return false
				}
			}
			return true
		})
		fleet.agents[3].Leave()
		fleet.waitFor("member 3 has left", 10*time.Second, func() bool {
			for _, peer := range fleet.agents[0].Status().Peers {
				if peer.ID == memberID(3) {
					return peer.State == membership.Left
				}
			}
			return false
		})
		fleet.startMember(3, memberID(3))
		fleet.waitFor("member 3 is back", 30*time.Second, fleet.allConnected(5))
	})
}

// TestCopiedDirectoryIsDetected guards against two processes with copies of one data directory. It starts a second process with a member's ID
// at another address: both processes must detect the other one, and no other member may be affected.
func TestCopiedDirectoryIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(5))
		fleet.ports, fleet.agents = append(fleet.ports, nil), append(fleet.agents, nil)
		fleet.startMember(5, memberID(2))
		fleet.waitFor("both processes detect the duplicate", 30*time.Second, func() bool {
			return fleet.agents[2].Status().Standing == membership.Duplicate && fleet.agents[5].Status().Standing == membership.Duplicate
		})
		for _, i := range []int{0, 1, 3, 4} {
			if s := fleet.agents[i].Status().Standing; s != membership.Quorum {
				t.Errorf("member %d has the standing %v", i, s)
			}
		}
	})
}

// TestOtherFleetsAndVersionsAreRefused guards against members that do not belong to a fleet. A member of another fleet and one with a newer,
// incompatible protocol version join this fleet's seeds: both must be rejected and counted.
func TestOtherFleetsAndVersionsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 3)
		defer fleet.close()
		for i, change := range []func(*Options){
			func(o *Options) { o.FleetName = "g" },
			func(o *Options) {
				o.Self.ProtocolVersion, o.Self.MinProtocolVersion = ProtocolVersion+2, ProtocolVersion+1
			},
		} {
			num := 3 + i
			opt := fleet.agents[0].opt
			opt.Self.ID, opt.Self.Name, opt.Self.Addr, opt.Transport = memberID(num), "stranger", memnet.Addr(num), fleet.network.Port(num)
			change(&opt)
			agent, err := Open(opt)
			if err != nil {
				t.Fatal(err)
			}
			defer agent.Close()
		}
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(3))
		time.Sleep(20 * time.Second)
		for _, agent := range fleet.agents {
			if n := len(agent.Status().Peers); n != 2 {
				t.Errorf("%s knows %d other members, want 2", agent.opt.Self.Name, n)
			}
		}
		if fleet.agents[0].Status().Malformed == 0 {
			t.Error("no rejected member was counted as malformed")
		}
	})
}

// TestMovedMemberIsNoDuplicate guards against taking a moved member for a copy of itself. A member crashes and comes back with its data
// directory at another address while the others still see its old process as alive.
func TestMovedMemberIsNoDuplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(5))
		fleet.agents[4].Close()
		fleet.ports, fleet.agents = append(fleet.ports, nil), append(fleet.agents, nil)
		fleet.startMember(5, memberID(4))
		fleet.agents = append(fleet.agents[:4], fleet.agents[5])
		fleet.waitFor("member 4 is alive at its new address", time.Minute, func() bool {
			for _, peer := range fleet.agents[0].Status().Peers {
				if peer.ID == memberID(4) && peer.Addr == memnet.Addr(5) && peer.State == membership.Alive {
					return fleet.allConnected(5)()
				}
			}
			return false
		})
	})
}
