// Package policy holds every decision of the balancer; it knows no wire and does no input or output.
//
// Calling it: New starts a Balancer. The host calls Clock with the time since the start, then a method for
// each thing that came in (ListArrived, SetUp and so on), which only update what is known; then Next until it
// answers false, carries out each Decision, and calls again when Wake says. Plain types: types.go.
package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tellEvery    = 2 * time.Second        // between two messages to the other balancers
	tellMost     = 128                    // bytes told for each circuit that arrives, over all receivers
	toldFor      = 7 * time.Second        // how long a message counts: some are lost
	versionCap   = 64                     // kept versions; beyond it the oldest is dropped
	roundEvery   = 250 * time.Millisecond // how often moves and probes are considered
	never        = time.Duration(1 << 62)
	asideFails   = 2.0                    // failures, less what successes took off, that set a server aside
	asideFirst   = time.Second            // first wait before the probes of a server set aside; doubles
	asideLongest = 8 * time.Second        // wait
	asidePart    = 3                      // at most one in so many ready servers is set aside
	answersBack  = 2                      // answered probes in a row that bring a server back
	noteFresh    = 2 * time.Second        // a slow-message note is repeated each second while it holds
	reportFresh  = 4 * time.Second        // a load report older than this is not used
	reportEach   = 700 * time.Millisecond // how often all balancers together ask each server for its load report
	firstAsk     = 50 * time.Millisecond  // and for the first time: then it is learned how fast each is
	untrueFor    = 10 * time.Second       // how long reports of servers of one kind tell of no room, once belied
	askedBy      = 4                      // servers that a balancer asks for each connection held
	reportYoung  = 2 * time.Second        // a load report older than this is asked for again before a setup try
	asksMost     = 3                      // reports that one circuit waits for
	waitPart     = 4                      // each for one so-many-th of the latency goal at most
	fullAsked    = 0.85                   // load over capacity up to which a reported server is filled
	roomGrowth   = 0.015                  // by which an uncrowded server may be filled further, each round
	movePart     = 0.12                   // of the load held at a jammed server, moved away at a time
	moveEvery    = time.Second            // between moves away from one jammed server
	excessPart   = 0.8                    // of what a report tells over full, moved where that is more
	spill        = 0.25                   // least share of a server in another zone in the limit
	coolMore     = 1.7                    // so much of its least warmth a cold server is taken for
	fillEach     = 4 * time.Second        // how often a circuit may go home to a cold server
	evenMost     = 2.0                    // so many times an even share of the load a server takes unproven,
	evenTold     = 1.2                    // and where the others tell what they hold
	evenLeast    = 4.0                    // connections that an even share is taken for, at the least
	evenGrown    = 0.7                    // part of it while this balancer holds much more than a while ago
	reachFar     = 2                      // servers past a group's home that its members may go to
	homeSpread   = 2.0                    // servers in a group's home, over its share of the connections
	fewHeld      = 7                      // connections here, below which nothing is known of groups,
	fewInAll     = 500                    // and over all balancers, below which groups are small
	ownMembers   = 1.7                    // of each group here on the mean, below which cold servers part it,
	fewGroups    = 5                      // with so many groups more
	lateFrom     = 3                      // over so-many-th of its goal a set-up is late: a queue somewhere
	fewJammed    = 0.2                    // part of the servers that hold something
	triesBesides = 9.0                    // tries out of all balancers besides, while some fail
	gateEach     = 10 * time.Millisecond  // after a time-out all balancers together try so often,
	gateTimes    = 10                     // after more so many times less often
	tallyFor     = 3 * time.Second        // how long setup tries count in the tally,
	deniedMost   = 12                     // and the brake, where so many were nacked since: it would not end
)

var (
	crowded = edge{0.30, 0.70} // from here newcomers pass it
	jammed  = edge{0.55, 0.85} // from here connections are moved away
	far     = edge{1.10, 1.70} // from here twice as many
	lost    = edge{1.00, 1.05} // from here they are ended where there is no other place
)

// failsBy is what a setup try that ended so adds to a server's failures.
var failsBy = [...]float64{Failed: 1, TimedOut: 0.5, ConnectFailed: 2, Reset: 1, NeverSent: 0}

// New starts a balancer.
func New(dep *Config, seed uint64) *Balancer {
	b := &Balancer{
		seed: seed, chance: seed&0xffffffff | 1<<32, pools: []*version{{}}, untrue: map[[2]int]time.Duration{},
		index: map[EndpointID]int{}, circuit: map[SessionID]*circuit{}, group: map[uint64]int{}, leaveBy: never,
		proven: map[uint64]proof{},
	}
	b.Reconfigure(dep, nil, nil)
	b.roundAt, b.noColdUntil = time.Duration(b.random()*float64(roundEvery)), dep.OverloadWindow // as Spent
	return b
}

// Reconfigure has a Deployment hold; the other two tell the new rows of the old grades and tenants, -1 for
// none. What is held stays, each circuit under the grade and the most tries that it came with.
func (b *Balancer) Reconfigure(dep *Config, grades, tenants []int) {
	usual := make([]average, len(dep.Classes)+1)
	for row, now := range grades {
		if now >= 0 {
			usual[now] = b.usualOf[row]
		}
	}
	b.dep, b.usualOf, b.tenant = dep, usual, make([]int, len(dep.Tenants)+1)
	for _, c := range b.circuit {
		c.row, c.tenant = RemapIndex(grades, c.row, len(dep.Classes)), RemapIndex(tenants, c.tenant, len(dep.Tenants))
		if c.out || c.open {
			b.tenant[c.tenant]++
		}
	}
	b.goal, b.away, b.turn = never, max(0.02, 1-12*dep.CrossZoneCost), time.Duration(dep.Balancers)*gateEach
	for _, g := range dep.Classes {
		if g.MessageObjective > 0 {
			b.goal = min(b.goal, g.MessageObjective)
		}
		if b.turn < g.SetupObjective { // few balancers each see enough of the store to brake by counts
			b.turn = 0
		}
	}
	b.tellAt, b.told, b.heard, b.entitled = never, nil, false, 0
	for _, t := range dep.Tenants {
		b.entitled += t.ConnectionQuota
	}
	if dep.CanGossip {
		b.told, b.toldAt = make([][]float64, dep.Balancers), make([]time.Duration, dep.Balancers)
		b.tellAt = b.now + time.Duration(b.random()*float64(tellEvery))
	}
}

// AdvanceClock tells the time since the start.
func (b *Balancer) AdvanceClock(now time.Duration) { b.now = max(b.now, now) }

// UpdateEndpoints takes lines of the list; whole: servers not named are gone.
func (b *Balancer) UpdateEndpoints(lines []Endpoint, whole bool) {
	named := map[int]bool{}
	for _, l := range lines {
		i := b.server(l.ID)
		named[i] = true
		if l.StartedAt != b.started[i] {
			b.fresh(i)
		}
		b.zone[i], b.cell[i], b.state[i], b.started[i], b.heft[i] = l.Zone, l.FailureDomain, l.State, l.StartedAt, l.Weight
		b.kind[i] = l.MachineType
	}
	for i := range b.id {
		if whole && !named[i] {
			b.state[i] = Removed
		}
	}
	b.freeze()
}

// server finds a server by its id, or makes room for a new one.
func (b *Balancer) server(id EndpointID) int {
	if i, known := b.index[id]; known {
		return i
	}
	i := len(b.id)
	b.index[id] = i
	b.id = append(b.id, id)
	b.zone, b.cell, b.state = append(b.zone, 0), append(b.cell, 0), append(b.state, Removed)
	b.kind = append(b.kind, 0)
	b.heft, b.started, b.held = append(b.heft, 1), append(b.started, StartedLongAgo), append(b.held, nil)
	b.fails, b.aside, b.span = append(b.fails, 0), append(b.aside, false), append(b.span, 0)
	b.probing, b.answers, b.probeAt = append(b.probing, false), append(b.answers, 0), append(b.probeAt, 0)
	b.delay, b.delayAt, b.load = append(b.delay, 0), append(b.delayAt, 0), append(b.load, 0)
	b.asked, b.askedAt, b.shown = append(b.asked, 0), append(b.askedAt, 0), append(b.shown, 0)
	b.spent, b.others = append(b.spent, nil), append(b.others, 0)
	b.movedAt, b.room, b.sentAt = append(b.movedAt, -never), append(b.room, 0), append(b.sentAt, -never)
	b.fresh(i)
	b.probeAt[i] = b.now + time.Duration(b.random()*float64(b.dep.Balancers)*float64(firstAsk))
	return i
}

// fresh forgets what was known of a server's earlier process.
func (b *Balancer) fresh(i int) {
	b.fails[i], b.aside[i], b.span[i], b.shown[i] = 0, false, asideFirst, 0
	b.delayAt[i], b.askedAt[i], b.spent[i], b.room[i] = -never, -never, nil, never.Seconds()
}

// SetWeight tells the heft of a server as it shows.
func (b *Balancer) SetWeight(server EndpointID, heft float64) {
	b.heft[b.server(server)] = heft
	b.freeze()
}

// RequestHealthCheck has a server asked again at once, as its newest report may be chance; not where balancers are many.
func (b *Balancer) RequestHealthCheck(server EndpointID) {
	if b.turn == 0 {
		b.probeAt[b.server(server)] = b.now
	}
}

// freeze makes a new version when the ready servers or their heft have changed.
func (b *Balancer) freeze() {
	v := &version{}
	for i := range b.id {
		if b.state[i] == Ready {
			v.servers = append(v.servers, i)
		}
	}
	slices.SortFunc(v.servers, func(i, j int) int { return cmp.Compare(b.id[i], b.id[j]) })
	for _, i := range v.servers {
		v.heft, v.size = append(v.heft, b.heft[i]), v.size+b.heft[i]
		v.mark = uint32(mix(uint64(v.mark), uint64(b.id[i])))
	}
	if last := b.newest(); !slices.Equal(last.servers, v.servers) || !slices.Equal(last.heft, v.heft) {
		b.pools = append(b.pools, v)
		b.dropPools()
	}
	b.fleetSize = max(b.fleetSize, v.size)
}

// dropPools drops unused versions, and the oldest beyond the cap; connections keep their server.
func (b *Balancer) dropPools() {
	last, excess, n := b.newest(), len(b.pools)-versionCap, -1
	b.pools = slices.DeleteFunc(b.pools, func(v *version) bool {
		n++
		return v != last && (v.users == 0 || n < excess)
	})
}

func (v *version) meanHeft() float64 { return max(v.size, 1e-9) / float64(max(len(v.servers), 1)) }

func (b *Balancer) newest() *version { return b.pools[len(b.pools)-1] }

// StartDraining has all that is open moved, from the one time on, up to the other; Stay ends that.
func (b *Balancer) StartDraining(from, by time.Duration) { b.leaveFrom, b.leaveBy = from, by }
func (b *Balancer) StopDraining()                        { b.leaveBy = never }

// PauseSlowStart has cold servers get nothing for one span: another process of this balancer may have spent its part.
func (b *Balancer) PauseSlowStart() { b.noColdUntil = b.now + b.dep.OverloadWindow }

func (b *Balancer) take(a SessionRequest) *circuit {
	a.Class, a.Tenant = min(a.Class, len(b.dep.Classes)-1), min(a.Tenant, len(b.dep.Tenants))
	c := &circuit{
		id: a.ID, key: cmp.Or(a.Key, uint64(a.ID)), place: cmp.Or(a.Group, a.Key, uint64(a.ID)),
		grade: &b.dep.Classes[a.Class], row: a.Class, tenant: a.Tenant, most: b.dep.MaxAttempts,
		until: b.now + a.Timeout, load: cmp.Or(a.Load, b.usualOf[a.Class].mean, 1), server: -1, ranOn: -1, waitsOn: -1,
	}
	b.circuit[a.ID] = c
	return c
}

// AddSession takes a circuit, which is now owed one final answer.
func (b *Balancer) AddSession(a SessionRequest) {
	b.queue = append(b.queue, b.take(a))
	b.arrived++
}

// AdoptSession takes a connection that is open already; its first try counts as made.
func (b *Balancer) AdoptSession(a SessionRequest, server EndpointID) {
	c := b.take(a)
	c.until, c.tries, c.open = never, 1, true
	b.hold(c, b.server(server))
}

// hold records a circuit's server and version; release clears the record.
func (b *Balancer) hold(c *circuit, i int) {
	c.server, c.slot = i, len(b.held[i])
	b.held[i] = append(b.held[i], c)
	b.load[i] += c.load
	b.total++
	b.group[c.place]++
	b.tenant[c.tenant]++
	c.pool = b.newest()
	c.pool.users++
}

func (b *Balancer) release(c *circuit) {
	h := b.held[c.server]
	last := h[len(h)-1]
	h[c.slot], last.slot = last, c.slot
	b.held[c.server] = slices.Delete(h, len(h)-1, len(h))
	b.load[c.server] = max(0, b.load[c.server]-c.load)
	b.total--
	b.tenant[c.tenant]--
	if b.group[c.place]--; b.group[c.place] == 0 {
		delete(b.group, c.place)
	}
	if c.pool.users--; c.pool.users == 0 && c.pool != b.newest() {
		b.dropPools()
	}
}

// AttemptEstablished tells that the connection of a setup try stands.
func (b *Balancer) AttemptEstablished(id SessionID, try int, took time.Duration) {
	c := b.circuit[id]
	if c == nil || !c.out || try != c.tries-1 {
		return
	}
	b.trying--
	c.out, c.open, c.until = false, true, never
	b.fails[c.server] *= 0.3
	b.tally(1, 0)
	b.shutTill = min(b.shutTill, b.now)
	if took > c.grade.SetupObjective/lateFrom {
		b.late++
	} else if b.shut /= 2; b.shut < b.turn {
		b.shut = 0
	}
	if took > c.grade.SetupObjective {
		b.gate() // the next one would stand in the same queue
	}
}

// AttemptEnded tells how a setup try, or the connection it set up, ended.
func (b *Balancer) AttemptEnded(id SessionID, try int, finished bool, how Outcome) {
	c := b.circuit[id]
	if c == nil || !(c.out || c.open) || try != c.tries-1 {
		return
	}
	b.judge(c, how)
	if c.out {
		b.trying--
		if how == Failed || how == TimedOut { // other ends tell of one server alone
			b.tally(0, 1)
		}
		if how == TimedOut {
			b.gate()
		}
	}
	b.release(c)
	wasOpen := c.open
	c.out, c.open = false, false
	if how != Rejected && how != ConnectFailed && how != NeverSent && c.ranOn < 0 {
		c.ranOn, c.ranAt = c.server, c.sentAt
	}
	if finished || wasOpen || c.answered || how == Succeeded {
		c.answered = true
		delete(b.circuit, id)
		return
	}
	b.queue = append(b.queue, c)
}

// ClientDisconnected tells that nothing more is owed for a circuit.
func (b *Balancer) ClientDisconnected(id SessionID) {
	if c := b.circuit[id]; c != nil {
		c.answered = true // what is still out is told by its TryEnded, what waits is passed by in Next
		if !c.out && !c.open {
			delete(b.circuit, id)
		}
	}
}

// RecordLoad tells the load of an open connection now.
func (b *Balancer) RecordLoad(id SessionID, try int, load float64) {
	c := b.circuit[id]
	if c == nil || !(c.out || c.open) || try != c.tries-1 || !(load >= 0 && load < math.Inf(1)) {
		return
	}
	b.load[c.server] = max(0, b.load[c.server]+load-c.load)
	c.load = load
	b.noted.learn(load)
	b.usual = b.noted.mean
	b.usualOf[c.row].learn(load)
}

// RecordLatency tells what a message takes at a server now.
func (b *Balancer) RecordLatency(server EndpointID, delay time.Duration) {
	i, ok := b.index[server]
	if !ok {
		return
	}
	b.delay[i], b.delayAt[i] = delay, b.now
	switch {
	case len(b.held[i]) == 0: // nothing of ours had a part in it; guards against no room there for ever
	case b.busy(i, jammed):
		b.belie(i)
		b.room[i] = min(b.room[i], 0.9*b.known(i))
	case b.busy(i, crowded):
		b.room[i] = min(b.room[i], b.known(i))
	}
}

// RecordLoadReport takes a load report.
func (b *Balancer) RecordLoadReport(server EndpointID, r LoadReport) {
	if i, ok := b.index[server]; ok && (r.Demand >= 0 || r.Utilization >= 0) {
		if b.asked[i], b.askedAt[i] = r.Demand, b.now; r.Demand < 0 {
			b.asked[i] = r.Utilization
		}
		b.room[i] = max(b.room[i], b.load[i]*2)
		if b.shown[i] = b.load[i]; b.asked[i] > crowded.asked/2 {
			b.room[i], b.shown[i] = b.load[i]*fullAsked/b.asked[i], 0
		}
	}
}

// tell gathers what this balancer holds and finds jammed.
func (b *Balancer) tell() GossipMessage {
	t := GossipMessage{VersionHash: b.newest().mark}
	for _, i := range b.newest().servers {
		t.Loads = append(t.Loads, b.load[i])
		t.Overloaded = append(t.Overloaded, len(b.held[i]) > 0 && b.busy(i, jammed))
	}
	return t
}

// ReceiveGossip takes the message of balancer from; what does not fit the newest version is passed by.
func (b *Balancer) ReceiveGossip(from int, t GossipMessage) {
	if from < 0 || from >= len(b.told) || t.VersionHash != b.newest().mark {
		return
	}
	servers, load := b.newest().servers, b.told[from]
	load = append(load, make([]float64, len(b.id)-len(load))...)
	b.told[from], b.toldAt[from] = load, b.now
	for n := 0; n < len(t.Loads) && t.Offset+n < len(servers); n++ {
		if load[servers[t.Offset+n]] = t.Loads[n]; t.Overloaded[n] {
			b.close(servers[t.Offset+n], 0)
		}
	}
}

// sumPeers adds up what the others told of late. While most are silent all is decided as where none tell.
func (b *Balancer) sumPeers() {
	clear(b.others)
	fresh := 0
	for from, told := range b.told {
		if len(told) > 0 && b.now-b.toldAt[from] <= toldFor {
			fresh++
			for i, load := range told {
				b.others[i] += load
			}
		}
	}
	b.heard = 2*fresh >= b.dep.Balancers-1 && fresh > 0
}

// known is the load of all connections at a server that this balancer knows of.
func (b *Balancer) known(i int) float64 { return b.load[i] + b.others[i] }

// judge learns of a server from how a try ended there. Only a part of the ready servers is ever set aside.
func (b *Balancer) judge(c *circuit, how Outcome) {
	i := c.server
	if how == Succeeded {
		b.fails[i] *= 0.5
	} else if c.out { // one that stood was shed: a jam, not a failure
		b.fails[i] += failsBy[how]
	} else if how == Reset {
		b.belie(i)
	}
	// Jams: no try goes on there. Resets of what stood are none where a young report tells of room.
	told := b.tellsRoom(i, crowded.asked/2)
	if how == Rejected || how == ConnectFailed || how == Reset && c.open && !told {
		b.close(i, c.load)
	}
	ready := b.newest().servers
	n := len(slices.DeleteFunc(slices.Clone(ready), func(j int) bool { return !b.aside[j] }))
	bad := b.fails[i] >= asideFails && !b.aside[i] && b.state[i] == Ready
	if bad && n < max(1, len(ready)/asidePart) && n+1 < len(ready) {
		b.aside[i], b.answers[i], b.probeAt[i] = true, 0, b.now+b.jitter(b.span[i])
		b.span[i] = min(2*b.span[i], asideLongest)
	}
}

// belie weighs a server's word that it has little to do against slow messages or a reset here: for a while
// such words of its kin count for nothing. Guards against hundreds of balancers that each believe it once.
func (b *Balancer) belie(i int) {
	if b.dep.HasEndpointReports && b.now-b.askedAt[i] <= reportFresh && b.asked[i] < crowded.asked/2 {
		b.untrue[[2]int{b.zone[i], b.cell[i]}] = b.now + untrueFor
	}
}

func (b *Balancer) tellsRoom(i int, load float64) bool { // by a young report that is believed
	believed := b.untrue[[2]int{b.zone[i], b.cell[i]}] <= b.now
	return believed && b.now-b.askedAt[i] <= reportYoung && b.asked[i] < load
}

func (b *Balancer) close(i int, left float64) { // holds a server for jammed for two seconds
	if !b.busy(i, lost) {
		b.delay[i], b.delayAt[i] = b.goal, b.now
		b.room[i] = min(b.room[i], max(0, b.known(i)-left))
	}
}

// tally counts setup tries by how they ended; older ones fade.
func (b *Balancer) tally(good, bad float64) {
	fade := math.Exp(-float64(b.now-b.tallyAt) / float64(tallyFor))
	b.good, b.bad, b.late, b.wanted = b.good*fade+good, b.bad*fade+bad, b.late*fade, b.wanted*fade
	b.tallyAt = b.now
}

// gate has nothing tried for a while: a store would do only what nobody waits for any more.
func (b *Balancer) gate() {
	b.shut = min(max(2*b.shut, b.turn), gateTimes*b.turn)
	b.shutTill = b.now + b.jitter(b.shut)
}

// throttled tells whether a circuit is nacked at once, as setup tries fail wherever they go: some fail and
// enough are out, or by chance. Guards against retries that keep a store down.
func (b *Balancer) throttled(c *circuit) bool {
	bad := b.bad + b.late
	besides := triesBesides * (b.good + 1) / (b.good + bad + 1) / float64(b.dep.Balancers)
	most := math.Floor(besides + b.good*c.grade.SetupObjective.Seconds()/tallyFor.Seconds() + b.random())
	return (b.denied < deniedMost || b.now-b.triedAt < tallyFor) && (b.now < b.shutTill ||
		float64(b.trying) >= most && bad > 1+b.good/8 || b.random() < (bad-b.good-1)/(bad+b.good+1))
}

// ailing tells whether tries fail so often that no other server is a remedy; late ones while few are jammed.
func (b *Balancer) ailing() bool {
	bad := b.bad
	if b.gloom < fewJammed {
		bad += b.late
	}
	return 2*bad > b.good+4
}

// HealthCheckEnded tells how a probe ended. A server set aside comes back after answered probes.
func (b *Balancer) HealthCheckEnded(server EndpointID, how Outcome) {
	i, ok := b.index[server]
	if !ok || !b.probing[i] {
		return
	}
	b.probing[i] = false
	b.resume(i)
	switch {
	case !b.aside[i] && (how == ConnectFailed || how == TimedOut || how == Reset):
		b.close(i, 0)
	case b.aside[i] && how != Succeeded:
		b.answers[i], b.probeAt[i] = 0, b.now+b.jitter(asideFirst)
	case b.aside[i]:
		b.probeAt[i] = b.now + roundEvery
		if b.answers[i]++; b.answers[i] >= answersBack {
			b.back(i)
		}
	}
}

// resume has the circuits decided that waited for server i's report, and those that waited long enough.
func (b *Balancer) resume(i int) {
	b.waiting = slices.DeleteFunc(b.waiting, func(c *circuit) bool {
		due := c.waitsOn == i || c.waits <= b.now
		if due {
			b.queue = append(b.queue, c)
		}
		return due
	})
}

// back takes a server in again, on probation: one failure sets it aside once more, for longer.
func (b *Balancer) back(i int) { b.aside[i], b.fails[i] = false, asideFails/2 }

// busy tells whether a server is past an edge, by fresh notes or reports.
func (b *Balancer) busy(i int, e edge) bool {
	noted := b.goal < never && b.now-b.delayAt[i] <= noteFresh
	return noted && float64(b.delay[i]) > e.delay*float64(b.goal) ||
		b.now-b.askedAt[i] <= reportFresh && b.asked[i] > e.asked
}

// warmth is the least part of its capacity that a server can do by its age.
func (b *Balancer) warmth(i int) float64 {
	age := b.now - b.started[i]
	if b.started[i] == StartedLongAgo || age >= b.dep.SlowStartWindow {
		return 1
	}
	return b.dep.SlowStartFloor + (1-b.dep.SlowStartFloor)*max(0, float64(age)/float64(b.dep.SlowStartWindow))
}

// ---- The gate: the one place that each rule is kept.

// mayTry tells whether a circuit's next setup try may go to server i, under all four rules.
func (b *Balancer) mayTry(c *circuit, i int) bool {
	if c.answered || c.out || c.open || c.until <= b.now || c.tries >= c.most { // no circuit is lost
		return false
	}
	if j := c.ranOn; j >= 0 && c.grade.Idempotency != Idempotent { // no effect happens twice
		switch {
		case c.grade.Idempotency == NonIdempotent, b.now >= c.ranAt+c.grade.KeyTTL,
			c.grade.KeyScope == KeyScopeZone && b.zone[i] != b.zone[j],
			c.grade.KeyScope == KeyScopeFailureDomain && (b.cell[i] != b.cell[j] || b.zone[i] != b.zone[j]):
			return false
		}
	}
	// Drains are kept: at once, without using the grace; a cold server is not pushed over.
	return b.state[i] == Ready && (b.warmth(i) >= 1 || b.mayWarm(c, i))
}

// mayNack tells whether trying again is harmless.
func (b *Balancer) mayNack(c *circuit) bool {
	return c.ranOn < 0 || c.grade.Idempotency == Idempotent ||
		c.grade.Idempotency == IdempotentWithKey && c.grade.KeyScope == KeyScopeAll && b.now < c.ranAt+c.grade.KeyTTL
}

// weight of a server: less elsewhere, where crossings cost, but not under the least.
func (b *Balancer) weight(i int, least float64) float64 {
	if b.zone[i] != b.dep.Zone {
		return b.heft[i] * max(b.across, least)
	}
	return b.heft[i]
}

// ranked is a server and its score in a circuit's order.
type ranked struct {
	server int
	score  float64
}

// order ranks the newest version's servers by weighted rendezvous hashing of a circuit's group. The first, by
// the group's share of the connections, are its home; there the client's key ranks.
func (b *Balancer) order(c *circuit) []ranked {
	b.rank, b.reach, b.across = b.rank[:0], len(b.newest().servers), b.away
	small := b.total < fewHeld && b.total*b.dep.Balancers < fewInAll
	few := b.colds > 0 && float64(b.total) < ownMembers*float64(len(b.group)+fewGroups)
	sparse := b.total < len(b.newest().servers) // it can't see how many of a group a server gets
	if c.place != c.key && (small || few) {
		b.across = 1 // guards against three zones' homes for a group of ten, which is paid for at each
	}
	sum, top := 0.0, 0.0
	for _, i := range b.newest().servers {
		w := b.weight(i, 0)
		sum, top = sum+w, max(top, w)
		key := c.place
		if sparse && b.warmth(i) < 1 { // guards against all of a large group on one that has just started
			key = c.key
		}
		b.rank = append(b.rank, ranked{i, score(w, key, b.id[i])})
	}
	slices.SortFunc(b.rank, higher)
	if c.place != c.key && b.total > 0 {
		n := float64(b.group[c.place]) // with its chance error taken off: one of a dozen is no home of several
		home := max(1, int(math.Ceil(homeSpread*(n-2*math.Sqrt(n))/float64(b.total)*sum/max(top, 1e-9))))
		b.reach = min(b.reach, home+reachFar)
		first := b.rank[:min(home, len(b.rank))]
		for n, r := range first {
			first[n].score = score(b.weight(r.server, 0), c.key, b.id[r.server])
		}
		slices.SortFunc(first, higher)
	}
	return b.rank
}

func higher(x, y ranked) int { return cmp.Or(cmp.Compare(y.score, x.score), x.server-y.server) }

// How far a pick goes: each step drops a reason to pass a server over.
const (
	byAll   = iota // every reason counts
	byLimit        // the limit and the warm share no longer count
	byCrowd        // crowds no longer count, jams do
	byAside        // nor do being set aside and having been tried: only jams count
)

// pick answers the first server in a circuit's order, within its reach, that is not passed over, or -1.
func (b *Balancer) pick(c *circuit, upTo int) int {
	rank := b.order(c)
	sum, load, heft := 0.0, c.load, 1e-9
	for _, i := range b.newest().servers {
		if load += b.known(i); !b.aside[i] {
			sum += b.weight(i, spill) * b.warmth(i)
			heft += b.heft[i] * b.warmth(i)
		}
	}
	even := math.Inf(1) // the load for its heft that a server takes: by nothing where heft may be wrong
	if b.heard {
		even = evenTold * load / heft
	} else if b.dep.HasExactWeights {
		even = evenMost * load / heft
	} else if b.dep.HasLoadReports { // of a few connections nothing is learned where heft is a guess
		// Guards against all that another balancer lost on one server, before any report can tell of it.
		grown := max(evenGrown, min(1, b.heldMean/float64(max(b.total, 1))))
		even = max(evenMost*grown*load, evenLeast*max(b.usual, 1)*float64(len(rank))) / heft
	}
	for step, left := byAll, b.reach; step <= upTo; step, left = step+1, b.reach {
		for _, r := range rank {
			i := r.server
			if !b.passed(c, i, step, sum, even) && b.mayTry(c, i) {
				return i
			}
			// Guards against groups that were nacked as their first servers had all come back cold.
			if b.warmth(i) < 1 {
				continue
			} else if left--; left == 0 {
				break
			}
		}
	}
	return -1
}

// passed tells whether a circuit passes server i over at a step; sum is the weight of all servers, even the
// load for its heft that one takes. Guards against all of a restarted balancer on a zone's one sound server.
func (b *Balancer) passed(c *circuit, i, step int, sum, even float64) bool {
	w := b.weight(i, spill) * b.warmth(i)
	limit := 2*float64(b.total)*w/max(sum, 1e-9) + 2
	// Few balancers keep keys off a server that is not warm for them; of many each has its chance in mayWarm.
	cool := b.turn == 0 && !b.heard && unit(mix(c.key, ^uint64(b.id[i]))) >= coolMore*b.warmth(i)
	if step < byAside && (b.aside[i] || slices.Contains(c.tried, i)) || step < byCrowd && b.busy(i, crowded) ||
		step < byLimit && (cool || float64(len(b.held[i])) > limit ||
			b.known(i)+c.load > max(even*b.heft[i]*b.warmth(i), 2*b.shown[i])) {
		return true
	}
	// A young report that tells of room lets one in: a hundred balancers each know of one connection or none.
	// What an old one told refuses nobody: it is asked again. Guards against nacks beside empty servers.
	told := b.dep.HasEndpointReports && b.mayAsk(c, i) || b.tellsRoom(i, crowded.asked) && b.sentAt[i] < b.askedAt[i]
	// Where nothing is held no notes come: as often as others are jammed, or all would fill a jammed fleet up.
	blind := len(b.held[i]) == 0 && unit(mix(uint64(b.id[i]), b.seed+uint64(b.now/noteFresh))) < b.gloom
	return b.busy(i, jammed) || blind && !told || b.known(i)+c.load > b.room[i] && !told
}

// valueOf is a circuit's utility for its load, less beyond its tenant's share as far as is seen here.
func (b *Balancer) valueOf(c *circuit) float64 {
	v := c.grade.PriorityWeight / max(c.load, 1)
	if c.tenant < len(b.dep.Tenants) {
		quota, held := b.dep.Tenants[c.tenant].ConnectionQuota, float64(b.tenant[c.tenant]*b.dep.Balancers)
		if quota > 0 && held > quota {
			v *= b.dep.OverQuotaFactor
		}
	}
	return v
}

// Next answers one decision; false when there is none for now.
func (b *Balancer) Next() (Decision, bool) {
	if b.tellAt <= b.now {
		b.tellAt = b.now + tellEvery
		// Guards against messages that grow with balancers times servers, and cost more than they tell.
		if size := len(b.newest().servers) * (b.dep.Balancers - 1); 0 < size && size <= tellMost*b.arrived {
			b.arrived = 0
			return Decision{Action: SendGossip, Gossip: b.tell()}, true
		}
	}
	b.resume(-1)
	for len(b.queue) > 0 {
		c := b.queue[0]
		b.queue = b.queue[1:]
		if d, ok := b.settle(c); ok {
			return d, true
		}
	}
	b.queue = nil
	if b.roundAt <= b.now {
		b.roundAt = b.now + roundEvery
		b.round()
	}
	if len(b.due) == 0 {
		return Decision{}, false
	}
	d := b.due[0]
	b.due = b.due[1:]
	return d, true
}

// NextWakeup answers when Next wants to be called again at the latest.
func (b *Balancer) NextWakeup() (at time.Duration, ok bool) {
	at = min(b.roundAt, b.tellAt)
	for _, c := range b.waiting {
		at = min(at, c.waits)
	}
	return at, true
}

// mayAsk tells whether server i's report is old, and not asked for in vain for this circuit already. Guards
// against work for cold servers by which nothing is learned: of their probes the host makes no guess.
func (b *Balancer) mayAsk(c *circuit, i int) bool {
	old := b.now-b.askedAt[i] > reportYoung && (b.dep.HasEndpointReports || b.warmth(i) >= 1)
	return b.dep.CanHealthCheck && b.dep.HasLoadReports && old && c.asks < asksMost && c.waitsOn != i
}

// asksFirst tells whether a circuit waits for server i's report: there is time to ask for it.
func (b *Balancer) asksFirst(c *circuit, i int) bool {
	c.asks++
	c.waitsOn, c.waits = i, b.now+c.grade.SetupObjective/waitPart
	if c.waits+c.grade.SetupObjective < c.until {
		b.waiting = append(b.waiting, c)
		return true
	}
	return false
}

// settle decides on a circuit: a setup try, a nack or a break-off. None that is given up is ever held back.
func (b *Balancer) settle(c *circuit) (Decision, bool) {
	if c.answered {
		return Decision{}, false
	}
	b.tally(0, 0)
	c.wanted = c.wanted && c.waits > 0 // one that waited for a report is counted already
	c.waits = 0
	i := -1
	if b.leaveBy == never && !(b.throttled(c) && b.mayNack(c)) {
		i = b.pick(c, byAside) // who finds only jams is nacked, or no server would come out of its jam
	}
	if i < 0 {
		c.answered, b.denied = true, b.denied+1
		delete(b.circuit, c.id)
		d := Decision{Action: Reject, Session: c.id}
		if !b.mayNack(c) {
			d.Action = Fail
		} else if b.dep.CanSendRetryAfter {
			d.Duration = b.jitter(b.dep.MaxRetryAfter * 2 / 3)
		}
		return d, true
	}
	if asked := b.probing[i]; b.mayAsk(c, i) && b.asksFirst(c, i) {
		b.probing[i] = true
		return Decision{Action: HealthCheck, Endpoint: b.id[i]}, !asked
	}
	b.hold(c, i)
	if b.warmth(i) < 1 {
		b.spent[i] = append(b.spent[i], spending{b.now, b.weightOf(c)})
	}
	c.tried, c.out, c.sentAt, b.sentAt[i] = append(c.tried, i), true, b.now, b.now
	b.trying, b.denied, b.triedAt = b.trying+1, 0, b.now
	c.tries++
	return Decision{Action: StartAttempt, Session: c.id, Endpoint: b.id[i], Duration: b.timeOut(c)}, true
}

// timeOut leaves a set-up's goal for one more setup try while there may be one, or half the time.
func (b *Balancer) timeOut(c *circuit) time.Duration {
	left := c.until - b.now
	if c.tries < c.most && c.grade.Idempotency != NonIdempotent && !b.ailing() {
		half := max(left/2, min(left, c.grade.SetupObjective))
		if left -= c.grade.SetupObjective; left < half || b.turn == 0 {
			left = half // more, but for a set-up's time, where balancers are so many that each try is dear
		}
	}
	return max(left, time.Microsecond)
}

// round considers moves and probes.
func (b *Balancer) round() {
	b.due, b.colds, b.across = b.due[:0], 0, b.away
	b.sumPeers()
	span := max(roundEvery, min(tallyFor, b.now))
	b.heldMean += (float64(b.total) - b.heldMean) * float64(roundEvery) / float64(span)
	if b.leaveBy < never {
		b.leave()
		return
	}
	seen, bad := 0, 0
	b.prove()
	for _, i := range b.newest().servers {
		if len(b.held[i]) > 0 {
			if seen++; b.busy(i, jammed) {
				bad++
			}
		}
		if b.warmth(i) < 1 {
			b.colds += b.weight(i, 3*spill) * min(1, coolMore*b.warmth(i))
		}
	}
	b.gloom = float64(bad) / float64(max(seen, 1))
	b.tally(0, 0)
	apart := b.dep.Balancers // balancers that know nothing of each other's connections
	if b.heard {
		apart = 1
	}
	b.fill()
	for i := range b.id {
		if b.state[i] == Removed {
			continue
		}
		if !b.busy(i, crowded) {
			// Of one connection too: room that grew only by a part never came back from near nothing.
			if w := b.warmth(i); w < 1 { // what it can do grows, not only what is known of it
				b.room[i] *= 1 + (1-b.dep.SlowStartFloor)*float64(roundEvery)/float64(b.dep.SlowStartWindow)/w
			}
			b.room[i] += roomGrowth*b.room[i] + 0.3*cmp.Or(b.usual, 1)/float64(apart)
		}
		switch held := max(b.load[i], float64(len(b.held[i]))); {
		case b.ailing(): // whoever is moved now may not come to stand again
		case b.state[i] == Draining: // before it stops and cuts them off
			b.moveSome(i, held/8+max(b.usual, 1)/float64(b.dep.Balancers), false)
		case b.busy(i, jammed) && b.movedAt[i]+moveEvery <= b.now:
			// Guards against thrash: the next move waits until this one shows in the notes.
			part := movePart
			if b.busy(i, far) {
				part *= 2
			}
			if b.turn == 0 && b.askedAt[i] > b.movedAt[i] { // what each report tells; many balancers overshoot
				part = max(part, excessPart*(1-fullAsked/b.asked[i]))
			}
			b.movedAt[i] = b.now
			b.moveSome(i, part*held, b.busy(i, lost))
		}
		if b.state[i] != Ready || b.probing[i] {
			continue
		}
		if due := b.probeAt[i] <= b.now; due && b.aside[i] && !b.dep.CanHealthCheck {
			b.back(i)
		} else if asks := b.dep.HasLoadReports && askedBy*b.total >= len(b.newest().servers) &&
			(b.dep.HasEndpointReports || b.warmth(i) >= 1); due && b.dep.CanHealthCheck && (b.aside[i] || asks) {
			b.due, b.probing[i] = append(b.due, Decision{Action: HealthCheck, Endpoint: b.id[i]}), true
			b.probeAt[i] = b.now + b.jitter(time.Duration(b.dep.Balancers)*reportEach) // one set aside: by its answer
		}
	}
}

// fill plans to move connections home to cold servers: what had fled to the old ones would stay for ever.
func (b *Balancer) fill() {
	n := int(min(float64(b.total)*float64(roundEvery)/float64(fillEach), 16) + b.random())
	for ; n > 0 && b.colds > 0 && b.late+b.bad < 1 && b.now >= b.shutTill; n-- {
		at, from := int(b.random()*float64(b.total)), 0
		for ; at >= len(b.held[from]); from++ {
			at -= len(b.held[from])
		}
		c := b.held[from][at]
		if !c.open || c.moving || b.state[from] != Ready || b.warmth(from) < 1 {
			continue
		}
		if j := b.again(c); j >= 0 && b.warmth(j) < 1 {
			b.due, c.moving = append(b.due, Decision{Action: Migrate, Session: c.id}), true
		}
	}
}

// again answers the server that a connection would be placed at if it came now.
func (b *Balancer) again(c *circuit) int {
	again := *c
	again.open, again.tries, again.tried, again.ranOn, again.wanted = false, 0, nil, -1, false
	again.asks = asksMost // nobody is moved to where only a question would tell of room
	return b.pick(&again, byAll)
}

// leave plans to move an even part of what is open: guards against all that come to other balancers at once.
func (b *Balancer) leave() {
	var all []*circuit
	for i := 0; b.leaveFrom <= b.now && i < len(b.id); i++ {
		all = append(all, b.movable(i, func(x, y *circuit) int { return 0 })...)
	}
	slices.SortStableFunc(all, func(x, y *circuit) int { return x.slot - y.slot })
	rounds := max(1, int((b.leaveBy-b.now)/roundEvery))
	for _, c := range all[:(len(all)+rounds-1)/rounds] {
		b.due, c.moving = append(b.due, Decision{Action: Migrate, Session: c.id}), true
	}
}

// movable answers the connections of a server that can be moved, first those that sort by less.
func (b *Balancer) movable(i int, less func(x, y *circuit) int) []*circuit {
	all := slices.DeleteFunc(slices.Clone(b.held[i]), func(c *circuit) bool { return !c.open || c.moving })
	slices.SortStableFunc(all, less)
	return all
}

// moveSome plans to move so much load off a server to where it would be placed now: lone members of a group
// first, then the heaviest, the last by chance; at the end also what finds no place, by its utility.
func (b *Balancer) moveSome(i int, load float64, end bool) {
	mates := map[uint64]int{}
	for _, c := range b.held[i] {
		mates[c.place]++
	}
	for _, c := range b.movable(i, func(x, y *circuit) int {
		return cmp.Or(mates[x.place]-mates[y.place], cmp.Compare(y.load, x.load), x.slot-y.slot)
	}) {
		if j := b.again(c); j >= 0 && j != i && !b.part(c, &load) {
			return
		}
	}
	for _, c := range b.movable(i, func(x, y *circuit) int { return cmp.Compare(b.valueOf(x), b.valueOf(y)) }) {
		if !end || !b.part(c, &load) {
			return
		}
	}
}

// part plans to move a connection if so much load is to go, by chance if less is; false: that was the last.
func (b *Balancer) part(c *circuit, load *float64) bool {
	weight, left := max(c.load, 1), *load-max(c.load, 1) // where no load is told, each counts alike
	if left >= 0 || b.random()*weight < *load {
		b.due, c.moving = append(b.due, Decision{Action: Migrate, Session: c.id}), true
	}
	*load = left
	return left > 0
}
