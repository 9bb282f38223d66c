package membership

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"
)

// TestDecisionsMatchTheGoldenDigest guards against an unintended change of the table's decisions. It draws events from fixed seeds and
// compares the digests of the table's actions and quorum states with those of an earlier build.
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
		t.Errorf("digests of the decisions are\n%swant\n%s", got, golden)
	}
}

// decisionRun drives the table of member 0 with random events of twelve members, some of which share an address or a machine.
type decisionRun struct {
	rng     *rand.Rand
	table   *Table
	now     time.Duration
	digest  hash.Hash64
	actions int
}

const decisionMembers = 12

// seededDecisions runs 6,000 heartbeats and returns the digest and the number of the table's actions.
func seededDecisions(seed uint64) (digest uint64, actions int) {
	const heartbeats = 6000
	run := &decisionRun{rng: rand.New(rand.NewPCG(seed, 99)), digest: fnv.New64a()}
	self := run.member(0)
	var seeds []netip.AddrPort
	for i := range 4 {
		seeds = append(seeds, run.member(i).Addr)
	}
	run.table = New(Config{Self: self, Seeds: seeds, ReplicationFactor: 3, ForgetAfter: 3 * time.Minute, MaxMembers: 8, Seed: seed}, 0)
	for range heartbeats {
		run.heartbeat()
	}
	return run.digest.Sum64(), run.actions
}

// write adds values to the digest.
func (r *decisionRun) write(values ...any) { _, _ = fmt.Fprintln(r.digest, values...) }

// member returns member i with a random incarnation and leaving state.
func (r *decisionRun) member(i int) Member {
	return Member{
		ID:                 fmt.Sprintf("%032x", i+1),
		Name:               fmt.Sprintf("b%02d", i),
		Addr:               netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i % 9)}), 7001),
		Machine:            fmt.Sprintf("m%d", i/2),
		Zone:               "z",
		Site:               "s",
		Incarnation:        1 + uint64(r.rng.IntN(3)),
		Leaving:            r.rng.IntN(8) == 0,
		ProtocolVersion:    2,
		MinProtocolVersion: 1,
	}
}

// heartbeat draws at most one event, ticks, and returns a random result for each action.
func (r *decisionRun) heartbeat() {
	r.now += HeartbeatInterval
	if r.rng.IntN(400) == 0 {
		r.now += StallThreshold + time.Duration(r.rng.IntN(5000))*time.Millisecond
	}
	r.drawEvent()
	r.table.Tick(r.now)
	for action, more := r.table.NextAction(); more; action, more = r.table.NextAction() {
		r.actions++
		event := action.Event
		r.write(r.now, uint8(action.Kind), action.Addr, action.ID, uint8(event.Kind), event.Member, event.Returns, uint8(event.Standing),
			event.Duration, event.Alive, event.Total)
		r.answer(action)
	}
	r.write(uint8(r.table.QuorumState(r.now)), r.table.Rejected, r.table.Stalls)
	if r.rng.IntN(50) == 0 {
		for _, peer := range r.table.Peers() {
			r.write(peer.Member, uint8(peer.State), peer.Since, peer.Returns, peer.ReplacedBy)
		}
	}
}

// drawEvent passes one random event, or none, to the table.
func (r *decisionRun) drawEvent() {
	other := r.member(1 + r.rng.IntN(decisionMembers-1))
	switch r.rng.IntN(40) {
	case 0, 1, 2, 3:
		r.table.HandleAlive(other)
	case 4, 5:
		r.table.HandleFailure(other.ID)
	case 6:
		r.write(r.table.HandleLeave(other.ID, other.Incarnation))
	case 7:
		r.table.HandleConflict(other.Addr)
	}
}

// answer returns a random result for an action to the table.
func (r *decisionRun) answer(action Action) {
	switch action.Kind {
	case Join:
		r.table.HandleJoinResult(action.Addr, r.rng.IntN(3) == 0)
	case Ping:
		r.table.HandlePingResult(action.ID, r.rng.IntN(3) > 0)
	case ProbeDuplicate:
		r.table.HandleProbeResult(action.Addr, r.rng.IntN(30) == 0)
	}
}
