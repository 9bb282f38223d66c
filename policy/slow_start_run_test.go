package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// modelClient is a client, which reconnects after each end of its session.
type modelClient struct {
	key, group   uint64
	class        int
	load         float64 // mean load of the class relative to the overall mean, which counts for the overload rule
	recordedLoad float64 // load of this client relative to the overall mean, which the balancers see
	balancer     int     // index of the balancer to which the client is connected, -1 for none
	endpoint     int     // index of its endpoint, -1 before an attempt
	session      SessionID
	returnsAt    time.Duration // time at which the client reconnects
}

// modelAttempt is an attempt at an endpoint.
type modelAttempt struct {
	at       time.Duration
	informed bool // whether the balancer knew the start of the endpoint
	load     float64
}

// slowStartRun is one simulation of a slowStartModel.
type slowStartRun struct {
	slowStartModel
	*rand.Rand
	now       time.Duration
	list      []Endpoint
	balancers []*Balancer
	startedAt []time.Duration // start of each balancer
	informed  []bool          // whether each balancer knows the starts of the endpoints
	clients   []*modelClient
	clientsOf []map[SessionID]*modelClient // connected clients of each balancer
	load      []float64                    // load at each endpoint, relative to the overall mean of a session
	attempts  [][]modelAttempt             // attempts at each endpoint
	lastID    SessionID
	meanLoad  float64      // mean load of a session in microseconds of work per second
	restarted map[int]bool // endpoints that have restarted
}

// modelStep is the simulated time of one step.
const modelStep = 50 * ms

func (x *slowStartRun) randomBalancer() int {
	if x.uneven && x.IntN(10) < 7 {
		return x.IntN(max(1, x.config.Balancers/10))
	}
	return x.IntN(x.config.Balancers)
}

func (x *slowStartRun) startBalancer(k int) {
	own := x.config
	own.Index = k
	x.balancers[k] = New(&own, x.Uint64())
	x.clientsOf[k] = map[SessionID]*modelClient{}
	x.startedAt[k] = x.now
	x.informed[k] = false
}

// sendList gives a balancer the endpoint list with times on its own clock. If it is not informed, all endpoints
// appear to be warm.
func (x *slowStartRun) sendList(k int, informed bool) {
	own := slices.Clone(x.list)
	for i := range own {
		if own[i].StartedAt == StartedLongAgo || !informed {
			own[i].StartedAt = StartedLongAgo
		} else {
			own[i].StartedAt -= x.startedAt[k]
		}
	}
	x.informed[k] = informed
	x.balancers[k].UpdateEndpoints(own, true)
}

func newSlowStartRun(w slowStartModel, seed uint64) *slowStartRun {
	x := &slowStartRun{slowStartModel: w, Rand: rand.New(rand.NewPCG(seed, 2)), restarted: map[int]bool{}}
	balancers := w.config.Balancers
	x.balancers = make([]*Balancer, balancers)
	x.startedAt = make([]time.Duration, balancers)
	x.informed = make([]bool, balancers)
	x.clientsOf = make([]map[SessionID]*modelClient, balancers)
	x.list = warmEndpointList(w.endpoints)
	totalCapacity := 0.0
	for i := range x.list {
		if i%3 == 2 {
			x.list[i].MachineType = 1
		}
		totalCapacity += w.warmCapacity(i)
	}
	x.load, x.attempts = make([]float64, w.endpoints), make([][]modelAttempt, w.endpoints)
	x.meanLoad = modelCoreCapacity * w.cores / (w.capacity * w.smallerRatio)
	x.now = -time.Minute
	for k := range x.balancers {
		x.startBalancer(k)
		x.sendList(k, true)
	}
	x.addClients(totalCapacity)
	return x
}

// addClients adds the clients. They are in groups of 25 on average, and groups with a low number are larger.
func (x *slowStartRun) addClients(totalCapacity float64) {
	w := x.slowStartModel
	groups := 1 + int(w.usedFraction*totalCapacity/25)
	mean := 0.9 + 0.1*w.heavyRatio
	for range int(w.usedFraction * totalCapacity) {
		c := &modelClient{key: x.Uint64(), group: 1 + uint64(float64(groups)*math.Pow(x.Float64(), 1.5)), balancer: -1, load: 1 / mean}
		if x.IntN(10) == 0 {
			c.class, c.load = 1, w.heavyRatio/mean
		}
		c.recordedLoad = c.load * math.Exp(w.sigma*x.NormFloat64()-w.sigma*w.sigma/2)
		x.clients = append(x.clients, c)
	}
}

// placeAll connects all clients to the endpoints from index firstWarm on.
func (x *slowStartRun) placeAll(firstWarm int) {
	for n, c := range x.clients {
		k, i := x.randomBalancer(), firstWarm+n%(x.endpoints-firstWarm)
		x.lastID++
		x.balancers[k].AdoptSession(SessionRequest{ID: x.lastID, Key: c.key, Group: c.group, Class: c.class}, x.list[i].ID)
		x.balancers[k].RecordLoad(x.lastID, 0, c.recordedLoad*x.meanLoad)
		x.established(c, k, i, x.lastID)
	}
	for _, b := range x.balancers { // run rounds, in which the balancers learn about their sessions
		for at := 40 * time.Second; at < time.Minute; at += 250 * ms {
			b.AdvanceClock(at)
			allDecisions(b)
		}
	}
}

// established records that a client has a session at endpoint i by balancer k.
func (x *slowStartRun) established(c *modelClient, k, i int, id SessionID) {
	c.balancer = k
	c.endpoint = i
	c.session = id
	x.clientsOf[k][id] = c
	x.load[i] += c.load
}

// disconnect records the end of a client's session. The client reconnects after the given time.
func (x *slowStartRun) disconnect(c *modelClient, after time.Duration) {
	delete(x.clientsOf[c.balancer], c.session)
	x.load[c.endpoint] -= c.load
	c.balancer, c.returnsAt = -1, x.now+after
}

func (x *slowStartRun) randomWithin(within time.Duration) time.Duration {
	return time.Duration(x.Float64() * float64(within))
}

// endSession ends a client's session at the balancer, too.
func (x *slowStartRun) endSession(c *modelClient, outcome Outcome, after time.Duration) {
	x.balancers[c.balancer].AttemptEnded(c.session, 0, true, outcome)
	x.disconnect(c, after)
}

// restartEndpoint restarts an endpoint so that it has the given age now.
func (x *slowStartRun) restartEndpoint(i int, age time.Duration) {
	x.list[i].StartedAt, x.restarted[i] = x.now-age, true
}

// sendLists gives all balancers the endpoint list.
func (x *slowStartRun) sendLists() {
	for k := range x.balancers {
		x.sendList(k, x.fault != faultLateLists || k%10 >= 3 || x.now > 2*time.Second)
	}
}

// run simulates the model. It returns a description of the first overload, "" if there was none, and the used
// fraction of the capacity of warming endpoints.
func (w slowStartModel) run(seed uint64) (overload string, used float64) {
	x := newSlowStartRun(w, seed)
	warming := max(1, x.endpoints/3)
	if w.fault == faultEndpointsReplaced {
		warming = 0
	}
	x.placeAll(warming)
	x.now = 0
	for i := range warming {
		x.restartEndpoint(i, x.randomWithin(x.config.SlowStartWindow*3/4))
	}
	x.sendLists()
	end := max(4*time.Second, 2*x.config.OverloadWindow)
	if w.fault == faultEndpointsReplaced {
		end = 12 * time.Second
	}
	replaced := 0
	for ; x.now < end; x.now += modelStep {
		switch {
		case w.fault == faultEndpointsReplaced:
			due := min(x.endpoints*6/10, int(float64(x.endpoints*6/10)*x.now.Seconds()/7))
			if due > replaced && x.now%(500*ms) == 0 {
				x.replaceEndpoints(replaced, due)
				replaced = due
			}
		case x.now == 500*ms:
			x.injectFault()
		}
		if w.fault == faultLateLists && x.now == 2100*ms {
			x.sendLists()
		}
		x.step()
	}
	return x.evaluate(end)
}

// evaluate returns a description of the first overload, "" if there was none, and the used fraction of the
// capacity of warming endpoints.
func (x *slowStartRun) evaluate(ends time.Duration) (overload string, used float64) {
	got, totalCapacity := 0.0, 0.0
	for i, all := range x.attempts {
		if !x.restarted[i] {
			continue
		}
		if overload == "" {
			overload = x.checkWindows(i, all)
		}
		for _, s := range all {
			if x.isWarming(i, s.at) {
				got += s.load
			}
		}
		for at := max(0, x.list[i].StartedAt); at < ends && x.isWarming(i, at); at += modelStep {
			totalCapacity += x.windowCapacity(i, at-x.list[i].StartedAt) * modelStep.Seconds() / x.config.OverloadWindow.Seconds()
		}
	}
	return overload, got / max(totalCapacity, 1e-9)
}

// replaceEndpoints restarts the endpoints with the given indices and disconnects their clients.
func (x *slowStartRun) replaceEndpoints(from, to int) {
	for i := from; i < to; i++ {
		for _, c := range x.clients {
			if c.balancer >= 0 && c.endpoint == i {
				x.endSession(c, Cancelled, x.randomWithin(2*time.Second))
			}
		}
		x.restartEndpoint(i, 0)
	}
	x.sendLists()
}

// injectFault applies the fault of the model, unless it is one that lasts for some time.
func (x *slowStartRun) injectFault() {
	if x.fault == faultBalancersKilled {
		for k := range x.balancers {
			if x.IntN(10) < 7 {
				for _, c := range x.clients { // the order is fixed, because a random delay is drawn for each client
					if c.balancer != k {
						continue
					}
					if c.endpoint >= 0 {
						x.load[c.endpoint] -= c.load
					}
					c.balancer, c.returnsAt = -1, x.now+x.randomWithin(2*time.Second)
				}
				x.startBalancer(k)
				x.sendList(k, true)
			}
		}
		return
	}
	hit := map[uint64]bool{}
	for range 3 {
		hit[x.clients[x.IntN(len(x.clients))].group] = true
	}
	for n, c := range x.clients {
		if c.balancer >= 0 && c.endpoint >= 0 && (x.fault == faultReconnectWave && n%3 == 0 || x.fault != faultReconnectWave && hit[c.group]) {
			x.endSession(c, Cancelled, x.randomWithin(time.Second))
		}
	}
}

// step lets clients reconnect and carries out the decisions of the balancers.
func (x *slowStartRun) step() {
	for _, c := range x.clients {
		if c.balancer < 0 && c.returnsAt <= x.now {
			k := x.randomBalancer()
			x.lastID++
			c.balancer = k
			c.session = x.lastID
			c.endpoint = -1
			x.clientsOf[k][x.lastID] = c
			x.balancers[k].AdvanceClock(x.now - x.startedAt[k])
			x.balancers[k].AddSession(SessionRequest{ID: x.lastID, Key: c.key, Group: c.group, Class: c.class, Timeout: 1800 * ms})
		}
	}
	for k, b := range x.balancers {
		b.AdvanceClock(x.now - x.startedAt[k])
		if x.now%time.Second == 0 {
			x.recordLatencies(k)
		}
		for _, d := range allDecisions(b) {
			x.carryOut(k, d)
		}
	}
}

// recordLatencies reports a high latency to a balancer for each of its endpoints that is almost full.
func (x *slowStartRun) recordLatencies(k int) {
	seen := map[int]bool{}
	for _, c := range x.clientsOf[k] {
		if c.endpoint >= 0 && !seen[c.endpoint] && x.load[c.endpoint] > 0.9*x.warmCapacity(c.endpoint) {
			seen[c.endpoint] = true
		}
	}
	for _, i := range slices.Sorted(maps.Keys(seen)) {
		x.balancers[k].RecordLatency(x.list[i].ID, 60*ms)
	}
}

func (x *slowStartRun) carryOut(k int, d Decision) {
	c := x.clientsOf[k][d.Session]
	switch d.Action {
	case StartAttempt:
		i := int(d.Endpoint - 100)
		x.attempts[i] = append(x.attempts[i], modelAttempt{x.now, x.informed[k], c.load})
		x.balancers[k].AttemptEstablished(d.Session, 0, ms)
		x.balancers[k].RecordLoad(d.Session, 0, c.recordedLoad*x.meanLoad)
		x.established(c, k, i, d.Session)
	case Migrate:
		x.endSession(c, Cancelled, x.randomWithin(time.Second))
	case Reject, Fail:
		delete(x.clientsOf[k], d.Session)
		c.balancer, c.returnsAt = -1, x.now+500*ms
	}
}

// isWarming reports whether the newest process of an endpoint is running and has not finished its slow start.
func (x *slowStartRun) isWarming(i int, at time.Duration) bool {
	return at >= x.list[i].StartedAt && at < x.list[i].StartedAt+x.config.SlowStartWindow
}

// checkWindows checks the load in each window that ends with an attempt, and describes the first overload. That
// counts only if more than two thirds of the load came from balancers that knew of the restart.
func (x *slowStartRun) checkWindows(i int, all []modelAttempt) string {
	slices.SortStableFunc(all, func(a, b modelAttempt) int { return cmp.Compare(a.at, b.at) })
	all = slices.DeleteFunc(slices.Clone(all), func(s modelAttempt) bool { return !x.isWarming(i, s.at) })
	from, got, gotInformed := 0, 0.0, 0.0
	for n, s := range all {
		got += s.load
		if s.informed {
			gotInformed += s.load
		}
		for ; s.at >= all[from].at+x.config.OverloadWindow; from++ {
			got -= all[from].load
			if all[from].informed {
				gotInformed -= all[from].load
			}
		}
		windowCapacity := x.windowCapacity(i, s.at-x.list[i].StartedAt)
		if got > windowCapacity+2*math.Sqrt(windowCapacity)+2 {
			if 3*gotInformed > 2*got {
				return fmt.Sprintf("endpoint %d got %.1f times the mean load in %d sessions within %v, its N is %.1f", i, got, n+1-from, x.config.OverloadWindow, windowCapacity)
			}
			return ""
		}
	}
	return ""
}
