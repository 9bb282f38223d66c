package membership

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"
)

// TestDecisionsMatchTheGoldenDigest draws events from fixed seeds and compares the digests of a table's actions and standings with those of
// an earlier build.
func TestDecisionsMatchTheGoldenDigest(t *testing.T) {
	got := ""
	for seed := uint64(1); seed <= 4; seed++ {
		digest, actions := seededDecisions(seed)
		got += fmt.Sprintf("seed %d: %016x, %d actions\n", seed, digest, actions)
	}
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}

// seededDecisions plays 6,000 heartbeats with random events among twelve members, some of which share an address or a machine.
func seededDecisions(seed uint64) (digest uint64, actions int) {
	const members, heartbeats = 12, 6000
	rng := rand.New(rand.NewPCG(seed, 99))
	sum := fnv.New64a()
	member := func(i int) Member {
		return Member{
			ID:                 fmt.Sprintf("%032x", i+1),
			Name:               fmt.Sprintf("b%02d", i),
			Addr:               netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i % 9)}), 7001),
			Machine:            fmt.Sprintf("m%d", i/2),
			Zone:               "z",
			Site:               "s",
			Incarnation:        1 + uint64(rng.IntN(3)),
			Leaving:            rng.IntN(8) == 0,
			ProtocolVersion:    2,
			MinProtocolVersion: 1,
		}
	}
	self := member(0)
	var seeds []netip.AddrPort
	for i := range 4 {
		seeds = append(seeds, member(i).Addr)
	}
	now := time.Duration(0)
	table := New(Config{
		Self:              self,
		Seeds:             seeds,
		ReplicationFactor: 3,
		ForgetAfter:       3 * time.Minute,
		MaxMembers:        8,
		Seed:              seed,
	}, now)
	for range heartbeats {
		now += HeartbeatInterval
		if rng.IntN(400) == 0 {
			now += StallThreshold + time.Duration(rng.IntN(5000))*time.Millisecond
		}
		other := member(1 + rng.IntN(members-1))
		switch rng.IntN(40) {
		case 0, 1, 2, 3:
			table.HandleAlive(other)
		case 4, 5:
			table.HandleFailure(other.ID)
		case 6:
			_, _ = fmt.Fprintln(sum, table.HandleLeave(other.ID, other.Incarnation))
		case 7:
			table.HandleConflict(other.Addr)
		}
		table.Tick(now)
		for {
			action, more := table.NextAction()
			if !more {
				break
			}
			actions++
			event := action.Event
			_, _ = fmt.Fprintln(sum, now, uint8(action.Kind), action.Addr, action.ID, uint8(event.Kind), event.Member, event.Returns,
				uint8(event.Standing), event.Duration, event.Alive, event.Total)
			switch action.Kind {
			case Join:
				table.HandleJoinResult(action.Addr, rng.IntN(3) == 0)
			case Ping:
				table.HandlePingResult(action.ID, rng.IntN(3) > 0)
			case ProbeDuplicate:
				table.HandleProbeResult(action.Addr, rng.IntN(30) == 0)
			}
		}
		_, _ = fmt.Fprintln(sum, uint8(table.Standing(now)), table.Rejected, table.Stalls)
		if rng.IntN(50) == 0 {
			for _, known := range table.Peers() {
				_, _ = fmt.Fprintln(sum, known.Member, uint8(known.State), known.Since, known.Returns, known.ReplacedBy)
			}
		}
	}
	return sum.Sum64(), actions
}
