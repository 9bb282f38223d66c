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

// These tests run the contact that ships, the library within, in virtual time on a network in memory.

// world is a fleet in memory. Its clock is the bubble's.
type world struct {
	t     *testing.T
	net   *memnet.Net
	ports []*memnet.Port
	all   []*Agent
	began time.Time
	lives map[string]uint64
	tune  func(*memberlist.Config)
}

func (w *world) now() time.Duration { return time.Since(w.began) }

func id(num int) string { return fmt.Sprintf("%032x", num+1) }

func fleet(t *testing.T, many int) *world { return fleetOf(t, many, nil) }

func fleetOf(t *testing.T, many int, tune func(*memberlist.Config)) *world {
	w := &world{t: t, tune: tune, net: memnet.New(7, 200*time.Microsecond), began: time.Now(), lives: map[string]uint64{}}
	for i := range many {
		w.ports = append(w.ports, nil)
		w.all = append(w.all, nil)
		w.start(i, id(i))
	}
	return w
}

// start begins a member, the first three of which are everybody's seeds.
func (w *world) start(i int, id string) {
	w.ports[i] = w.net.Port(i)
	w.lives[id]++
	self := membership.Member{ID: id, Name: fmt.Sprintf("n%d", i), Addr: memnet.Addr(i), Machine: fmt.Sprintf("m%d", i), Zone: "a", Site: "s",
		Incarnation: w.lives[id], ProtocolVersion: ProtocolVersion, MinProtocolVersion: MinProtocolVersion}
	opt := Options{FleetName: "f", Self: self, ReplicationFactor: 3, ForgetAfter: 24 * time.Hour, MaxPeers: 1024, Seed: uint64(i), Transport: w.ports[i], Log: zap.NewNop(), Now: w.now, Tune: w.tune}
	for s := range min(3, len(w.all)) {
		opt.Seeds = append(opt.Seeds, memnet.Addr(s))
	}
	c, err := Open(opt)
	if err != nil {
		w.t.Fatal(err)
	}
	w.all[i] = c
}

func (w *world) close() {
	for _, c := range w.all {
		c.Close()
	}
	time.Sleep(time.Minute) // what the library still waits for ends
}

// sees is how many members of the fleet a member sees here, itself among them.
func sees(c *Agent) int {
	n := 1
	for _, k := range c.Status().Peers {
		if k.State == membership.Alive {
			n++
		}
	}
	return n
}

// until waits for something within a bound and answers how long it took.
func (w *world) until(what string, bound time.Duration, is func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !is() {
		if time.Since(began) > bound {
			for _, c := range w.all {
				w.t.Logf("%s: %v, sees %d", c.opt.Self.Name, c.Status().Standing, sees(c))
				for _, k := range c.Status().Peers {
					w.t.Logf("    %s %s at %v: %v since %v", k.ID[28:], k.Name, k.Addr, k.State, k.Since)
				}
			}
			w.t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (w *world) together(many int) func() bool {
	return func() bool {
		for _, c := range w.all {
			if s := c.Status(); sees(c) != many || s.Standing != membership.Quorum {
				return false
			}
		}
		return true
	}
}

// TestHalvesThatForgotEachOtherFindTogether cuts four of seven members off from three for ten minutes, in which the
// library forgets who is gone. Guards against a fleet that stays in two for good.
func TestHalvesThatForgotEachOtherFindTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t, 7)
		defer w.close()
		w.until("all see all", 30*time.Second, w.together(7))
		w.net.Set(func(from, to int) memnet.Link { return memnet.Link{Cut: from < 3 != (to < 3)} })
		w.until("the three stand apart and the four together", time.Minute, func() bool {
			for i, c := range w.all {
				want, many := membership.Quorum, 4
				if i < 3 {
					want, many = membership.NoQuorum, 3
				}
				if c.Status().Standing != want || sees(c) != many {
					return false
				}
			}
			return true
		})
		time.Sleep(10 * time.Minute)
		w.net.Set(func(int, int) memnet.Link { return memnet.Link{} })
		t.Log("together after", w.until("all see all again", 2*time.Minute, w.together(7)))
	})
}

// TestMembersFindTogetherWithoutTheirSeeds has all seeds leave for good before the rest is cut in two for ten minutes.
func TestMembersFindTogetherWithoutTheirSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t, 8)
		defer w.close()
		w.until("all see all", 30*time.Second, w.together(8))
		for _, c := range w.all[:3] {
			c.Leave()
		}
		w.all = w.all[3:]
		w.until("five are left", 30*time.Second, w.together(5))
		w.net.Set(func(from, to int) memnet.Link { return memnet.Link{Cut: from < 5 != (to < 5)} })
		time.Sleep(10 * time.Minute)
		if n := sees(w.all[0]); n != 2 {
			t.Fatal(n)
		}
		w.net.Set(func(int, int) memnet.Link { return memnet.Link{} })
		t.Log("together after", w.until("all see all again", 3*time.Minute, w.together(5)))
	})
}

// TestALostDirectoryIsAnotherMember ends a member and begins one without its directory at the same address, then one that left
// comes back as itself.
func TestALostDirectoryIsAnotherMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t, 5)
		defer w.close()
		w.until("all see all", 30*time.Second, w.together(5))
		w.all[4].Close()
		w.start(4, id(99))
		w.until("the new one is here, the old one gone for good", 30*time.Second, func() bool {
			for _, c := range w.all[:4] {
				for _, k := range c.Status().Peers {
					if k.ID == id(4) && (k.State != membership.Failed || k.ReplacedBy != id(99)) {
						return false
					}
				}
				if sees(c) != 5 {
					return false
				}
			}
			return true
		})
		w.all[3].Leave()
		w.until("it has left", 10*time.Second, func() bool {
			for _, k := range w.all[0].Status().Peers {
				if k.ID == id(3) {
					return k.State == membership.Left
				}
			}
			return false
		})
		w.start(3, id(3))
		w.until("it is back", 30*time.Second, w.together(5))
	})
}

// TestACopiedDirectoryStopsBoth begins a second process with a member's ID at another address.
func TestACopiedDirectoryStopsBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t, 5)
		defer w.close()
		w.until("all see all", 30*time.Second, w.together(5))
		w.ports, w.all = append(w.ports, nil), append(w.all, nil)
		w.start(5, id(2))
		w.until("both know", 30*time.Second, func() bool {
			return w.all[2].Status().Standing == membership.Duplicate && w.all[5].Status().Standing == membership.Duplicate
		})
		for _, i := range []int{0, 1, 3, 4} {
			if s := w.all[i].Status().Standing; s != membership.Quorum {
				t.Errorf("member %d is %v", i, s)
			}
		}
	})
}

// TestAnotherFleetIsAStranger lets a member with another fleet's name, and one of a newer form, call this one's seeds.
func TestAnotherFleetIsAStranger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t, 3)
		defer w.close()
		for i, change := range []func(*Options){
			func(o *Options) { o.FleetName = "g" },
			func(o *Options) {
				o.Self.ProtocolVersion, o.Self.MinProtocolVersion = ProtocolVersion+2, ProtocolVersion+1
			},
		} {
			num := 3 + i
			opt := w.all[0].opt
			opt.Self.ID, opt.Self.Name, opt.Self.Addr, opt.Transport = id(num), "stranger", memnet.Addr(num), w.net.Port(num)
			change(&opt)
			c, err := Open(opt)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		w.until("all see all", 30*time.Second, w.together(3))
		time.Sleep(20 * time.Second)
		for _, c := range w.all {
			if n := len(c.Status().Peers); n != 2 {
				t.Errorf("%s knows %d others", c.opt.Self.Name, n)
			}
		}
		if w.all[0].Status().Malformed == 0 {
			t.Error("nobody counted the strangers")
		}
	})
}

// TestAMemberThatMovesIsNoCopy has a member die and come back with its directory at another address, while the others still
// take the old one for alive. Guards against a member that takes its own past for another process.
func TestAMemberThatMovesIsNoCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fleet(t, 5)
		defer w.close()
		w.until("all see all", 30*time.Second, w.together(5))
		w.all[4].Close()
		w.ports, w.all = append(w.ports, nil), append(w.all, nil)
		w.start(5, id(4))
		w.all = append(w.all[:4], w.all[5])
		w.until("it is here at its new address", time.Minute, func() bool {
			for _, k := range w.all[0].Status().Peers {
				if k.ID == id(4) && k.Addr == memnet.Addr(5) && k.State == membership.Alive {
					return w.together(5)()
				}
			}
			return false
		})
	})
}
