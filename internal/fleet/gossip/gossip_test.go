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

// These tests run the agent that ships, with the library, in virtual time on a network in memory.

// testFleet is a fleet in memory, with the clock of a synctest bubble.
type testFleet struct {
	t            *testing.T
	network      *memnet.Network
	ports        []*memnet.Port
	agents       []*Agent
	began        time.Time
	incarnations map[string]uint64
	tune         func(*memberlist.Config)
}

func (fleet *testFleet) now() time.Duration { return time.Since(fleet.began) }

func memberID(num int) string { return fmt.Sprintf("%032x", num+1) }

func newFleet(t *testing.T, many int) *testFleet { return newTunedFleet(t, many, nil) }

func newTunedFleet(t *testing.T, many int, tune func(*memberlist.Config)) *testFleet {
	fleet := &testFleet{t: t, tune: tune, network: memnet.New(7, 200*time.Microsecond), began: time.Now(), incarnations: map[string]uint64{}}
	for i := range many {
		fleet.ports = append(fleet.ports, nil)
		fleet.agents = append(fleet.agents, nil)
		fleet.start(i, memberID(i))
	}
	return fleet
}

// start starts a member. The first three members are the seeds of all.
func (fleet *testFleet) start(i int, id string) {
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
	c, err := Open(opt)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.agents[i] = c
}

func (fleet *testFleet) close() {
	for _, c := range fleet.agents {
		c.Close()
	}
	time.Sleep(time.Minute) // for the goroutines of the library
}

// aliveCount returns how many members an agent knows to be alive, itself included.
func aliveCount(c *Agent) int {
	n := 1
	for _, k := range c.Status().Peers {
		if k.State == membership.Alive {
			n++
		}
	}
	return n
}

// waitFor waits until a condition holds and returns how long that took.
func (fleet *testFleet) waitFor(what string, timeout time.Duration, isTrue func() bool) time.Duration {
	fleet.t.Helper()
	began := time.Now()
	for !isTrue() {
		if time.Since(began) > timeout {
			for _, c := range fleet.agents {
				fleet.t.Logf("%s: %v, %d alive", c.opt.Self.Name, c.Status().Standing, aliveCount(c))
				for _, k := range c.Status().Peers {
					fleet.t.Logf("    %s %s at %v: %v since %v", k.ID[28:], k.Name, k.Addr, k.State, k.Since)
				}
			}
			fleet.t.Fatalf("not within %v: %s", timeout, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (fleet *testFleet) allConnected(many int) func() bool {
	return func() bool {
		for _, c := range fleet.agents {
			if s := c.Status(); aliveCount(c) != many || s.Standing != membership.Quorum {
				return false
			}
		}
		return true
	}
}

// TestPartitionHealsAfterMembersAreForgotten partitions four of seven members from three for ten minutes, in which the
// library forgets the members that failed.
func TestPartitionHealsAfterMembersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 7)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(7))
		fleet.network.Set(func(from, to int) memnet.Link { return memnet.Link{Cut: from < 3 != (to < 3)} })
		fleet.waitFor("only the four have a quorum", time.Minute, func() bool {
			for i, c := range fleet.agents {
				want, many := membership.Quorum, 4
				if i < 3 {
					want, many = membership.NoQuorum, 3
				}
				if c.Status().Standing != want || aliveCount(c) != many {
					return false
				}
			}
			return true
		})
		time.Sleep(10 * time.Minute)
		fleet.network.Set(func(int, int) memnet.Link { return memnet.Link{} })
		t.Log("connected after", fleet.waitFor("all are connected again", 2*time.Minute, fleet.allConnected(7)))
	})
}

// TestPartitionHealsWithoutSeeds has all seeds leave before the rest is partitioned for ten minutes.
func TestPartitionHealsWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 8)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(8))
		for _, c := range fleet.agents[:3] {
			c.Leave()
		}
		fleet.agents = fleet.agents[3:]
		fleet.waitFor("five are left", 30*time.Second, fleet.allConnected(5))
		fleet.network.Set(func(from, to int) memnet.Link { return memnet.Link{Cut: from < 5 != (to < 5)} })
		time.Sleep(10 * time.Minute)
		if n := aliveCount(fleet.agents[0]); n != 2 {
			t.Fatal(n)
		}
		fleet.network.Set(func(int, int) memnet.Link { return memnet.Link{} })
		t.Log("connected after", fleet.waitFor("all are connected again", 3*time.Minute, fleet.allConnected(5)))
	})
}

// TestLostDirectoryIsAnotherMember replaces a member by one with an empty directory at the same address, and restarts one that left.
func TestLostDirectoryIsAnotherMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(5))
		fleet.agents[4].Close()
		fleet.start(4, memberID(99))
		fleet.waitFor("the new one is alive, the old one is replaced", 30*time.Second, func() bool {
			for _, c := range fleet.agents[:4] {
				for _, k := range c.Status().Peers {
					if k.ID == memberID(4) && (k.State != membership.Failed || k.ReplacedBy != memberID(99)) {
						return false
					}
				}
				if aliveCount(c) != 5 {
					return false
				}
			}
			return true
		})
		fleet.agents[3].Leave()
		fleet.waitFor("it has left", 10*time.Second, func() bool {
			for _, k := range fleet.agents[0].Status().Peers {
				if k.ID == memberID(3) {
					return k.State == membership.Left
				}
			}
			return false
		})
		fleet.start(3, memberID(3))
		fleet.waitFor("it is back", 30*time.Second, fleet.allConnected(5))
	})
}

// TestCopiedDirectoryIsDetected starts a second process with a member's ID at another address: both find it.
func TestCopiedDirectoryIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(5))
		fleet.ports, fleet.agents = append(fleet.ports, nil), append(fleet.agents, nil)
		fleet.start(5, memberID(2))
		fleet.waitFor("both find it", 30*time.Second, func() bool {
			return fleet.agents[2].Status().Standing == membership.Duplicate && fleet.agents[5].Status().Standing == membership.Duplicate
		})
		for _, i := range []int{0, 1, 3, 4} {
			if s := fleet.agents[i].Status().Standing; s != membership.Quorum {
				t.Errorf("member %d is %v", i, s)
			}
		}
	})
}

// TestOtherFleetsAndVersionsAreRefused has a member of another fleet, and one of a newer protocol version, join this fleet's seeds.
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
			c, err := Open(opt)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(3))
		time.Sleep(20 * time.Second)
		for _, c := range fleet.agents {
			if n := len(c.Status().Peers); n != 2 {
				t.Errorf("%s knows %d others", c.opt.Self.Name, n)
			}
		}
		if fleet.agents[0].Status().Malformed == 0 {
			t.Error("no refusal was counted")
		}
	})
}

// TestMovedMemberIsNoDuplicate has a member crash and come back with its directory at another address while the others still
// take the old process for alive.
func TestMovedMemberIsNoDuplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5)
		defer fleet.close()
		fleet.waitFor("all are connected", 30*time.Second, fleet.allConnected(5))
		fleet.agents[4].Close()
		fleet.ports, fleet.agents = append(fleet.ports, nil), append(fleet.agents, nil)
		fleet.start(5, memberID(4))
		fleet.agents = append(fleet.agents[:4], fleet.agents[5])
		fleet.waitFor("it is alive at its new address", time.Minute, func() bool {
			for _, k := range fleet.agents[0].Status().Peers {
				if k.ID == memberID(4) && k.Addr == memnet.Addr(5) && k.State == membership.Alive {
					return fleet.allConnected(5)()
				}
			}
			return false
		})
	})
}
