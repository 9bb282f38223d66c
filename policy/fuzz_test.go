package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	fuzzSteps           = 1500
	fuzzDrainAt         = 1300            // step at which a third of the runs start draining the balancer
	fuzzWindow          = 2 * time.Second // overload window, as in testConfig
	sessionsPerFuzzCore = 4               // number of sessions that one core can handle in this test
	watchedSessions     = 40              // number of sessions that get events; they are the newest ones
)

// FuzzRules guards against any breach of the four rules of canAttempt: it sends random events to a balancer and
// checks each decision.
func FuzzRules(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		r := newRuleChecker(t, seed)
		for r.step = range fuzzSteps {
			r.simulateStep()
		}
	})
}

// expectedSession is what the checker knows about a session, derived only from events and decisions.
type expectedSession struct {
	class           Class
	answers         int
	attempts        int
	endpoint        int
	attempting      bool
	established     bool
	deadline        time.Duration
	attemptedAt     time.Duration
	attemptDeadline time.Duration
	mayHaveRunOn    int // index of the first endpoint at which the request may have run, -1 for none
	mayHaveRunAt    time.Duration
}

// ruleChecker sends events to one balancer and checks its decisions.
type ruleChecker struct {
	*testing.T
	*rand.Rand
	seed           uint64
	step           int
	config         *Config
	list           []Endpoint
	startedAt      []time.Duration // start of each endpoint on the test's clock, 0 if it was never restarted
	balancer       *Balancer
	sessions       map[SessionID]*expectedSession
	ids            []SessionID
	warmupAttempts [][]time.Duration // times of the attempts at each endpoint while it is warming up
}

func newRuleChecker(t *testing.T, seed uint64) *ruleChecker {
	r := &ruleChecker{
		T: t, Rand: rand.New(rand.NewPCG(seed, 11)), seed: seed,
		config: testConfig(), sessions: map[SessionID]*expectedSession{},
	}
	r.randomizeConfig()
	r.randomizeEndpoints()
	r.startedAt = make([]time.Duration, len(r.list))
	r.warmupAttempts = make([][]time.Duration, len(r.list))
	r.balancer = New(r.config, seed)
	r.balancer.UpdateEndpoints(r.list, true)
	return r
}

func (r *ruleChecker) randomizeConfig() {
	d := r.config
	d.CanGossip = r.IntN(2) == 0
	d.HasExactWeights = r.IntN(2) == 0
	d.CanHealthCheck = r.IntN(3) > 0
	d.CanSendRetryAfter = r.IntN(3) > 0
	d.Balancers = 1 + r.IntN(4)
	d.MaxAttempts = 1 + r.IntN(5)
	d.CrossZoneCost = 0.1 * r.Float64()
	d.HasLoadReports = r.IntN(2) == 0
	d.Classes = nil
	for range 3 {
		d.Classes = append(d.Classes, Class{
			Idempotency:      Idempotency(r.IntN(3)),
			KeyScope:         KeyScope(r.IntN(3)),
			PriorityWeight:   1,
			KeyTTL:           time.Duration(r.IntN(2000)) * ms,
			SetupObjective:   300 * ms,
			MessageObjective: 100 * ms,
		})
	}
}

func (r *ruleChecker) randomizeEndpoints() {
	r.list = warmEndpointList(1 + r.IntN(8))
	if r.seed%5 == 1 { // a single ready endpoint
		r.list = r.list[:1]
	}
	for i := range r.list {
		r.list[i].Zone = r.IntN(2)
		r.list[i].FailureDomain = r.IntN(3)
		switch r.seed % 5 {
		case 2: // no endpoint in the zone of the balancer
			r.list[i].Zone = 1
		case 3: // all endpoints are warming up
			r.list[i].StartedAt = 0
		}
	}
}

func (r *ruleChecker) simulateStep() {
	b := r.balancer
	b.AdvanceClock(b.now + time.Duration(r.IntN(40))*ms)
	r.simulateEvent(r.IntN(len(r.list)))
	for _, id := range r.ids[max(0, len(r.ids)-watchedSessions):] {
		r.simulateSessionEvent(id, r.sessions[id])
	}
	if r.seed%3 == 0 && r.step == fuzzDrainAt {
		b.StartDraining(b.now+400*ms, b.now+2200*ms)
	}
	for _, decision := range allDecisions(b) {
		r.checkDecision(decision)
	}
	r.checkNoSessionIsForgotten()
}

// simulateEvent simulates one random event. Events of a single endpoint happen at the endpoint with index k.
func (r *ruleChecker) simulateEvent(k int) {
	b := r.balancer
	if r.seed%5 == 4 { // all endpoints are always overloaded
		b.RecordLatency(r.list[r.step%len(r.list)].ID, time.Second)
	}
	switch r.IntN(12) {
	case 0, 1, 2, 3:
		r.simulateArrival()
	case 4:
		r.list[k].State = EndpointState(r.IntN(3))
		if r.IntN(2) == 0 {
			r.list[k].StartedAt = b.now
			r.list[k].State = Ready
			r.startedAt[k] = b.now
			r.warmupAttempts[k] = nil
		}
		b.UpdateEndpoints(r.list[k:k+1], false)
	case 5:
		b.RecordLatency(r.list[k].ID, time.Duration(r.IntN(200))*ms)
		b.RecordLoadReport(r.list[k].ID, LoadReport{Demand: 2 * r.Float64(), Backlog: -1, Utilization: -1})
		b.HealthCheckEnded(r.list[k].ID, Outcome(r.IntN(7)))
	case 6:
		if r.IntN(2) == 0 {
			b.UpdateEndpoints(r.list, true)
			return
		}
		message := b.gossipMessage() // a message from another balancer, valid or not
		message.Offset = r.IntN(3)
		message.VersionHash ^= uint32(r.IntN(2))
		b.ReceiveGossip(r.IntN(6)-1, message)
	}
}

func (r *ruleChecker) simulateArrival() {
	id := SessionID(1 + len(r.ids))
	request := SessionRequest{
		ID:      id,
		Key:     uint64(1 + r.IntN(50)),
		Group:   uint64(r.IntN(6)),
		Class:   r.IntN(3),
		Timeout: time.Duration(r.IntN(2000)) * ms,
	}
	r.ids = append(r.ids, id)
	r.sessions[id] = &expectedSession{
		class:        r.config.Classes[request.Class],
		deadline:     r.balancer.now + request.Timeout,
		mayHaveRunOn: -1,
	}
	r.balancer.AddSession(request)
}

func (r *ruleChecker) simulateSessionEvent(id SessionID, s *expectedSession) {
	b := r.balancer
	switch {
	case s.attempting && (b.now >= s.attemptDeadline || r.IntN(6) == 0):
		r.endAttempt(id, s)
	case s.established && r.IntN(30) == 0:
		s.established = false
		s.answers++
		b.AttemptEnded(id, s.attempts-1, true, Succeeded)
	case s.attempting && r.IntN(60) == 0:
		s.answers++
		b.ClientDisconnected(id)
	}
}

// endAttempt makes an attempt either establish its session or fail.
func (r *ruleChecker) endAttempt(id SessionID, s *expectedSession) {
	b := r.balancer
	outcome := Outcome(1 + r.IntN(7))
	if b.now >= s.attemptDeadline {
		outcome = TimedOut
	} else if r.IntN(2) == 0 {
		s.attempting = false
		s.established = true
		b.AttemptEstablished(id, s.attempts-1, ms)
		b.RecordLoad(id, s.attempts-1, float64(modelCoreCapacity/sessionsPerFuzzCore)*(0.6+0.8*r.Float64()))
		return
	}
	s.attempting = false
	if outcome != Rejected && outcome != ConnectFailed && outcome != NeverSent && s.mayHaveRunOn < 0 {
		s.mayHaveRunOn = s.endpoint
		s.mayHaveRunAt = s.attemptedAt
	}
	b.AttemptEnded(id, s.attempts-1, false, outcome)
}

func (r *ruleChecker) checkDecision(decision Decision) {
	s := r.sessions[decision.Session]
	switch decision.Action {
	case StartAttempt:
		r.checkAttempt(decision, s)
	case Reject, Fail:
		s.answers++
		if s.answers > 1 || s.attempting || s.established {
			r.Fatalf("step %d: final answer to a session that is active or has one already: %+v for %+v", r.step, decision, s)
		}
		if decision.Action == Reject && !r.isRetrySafe(s) {
			r.Fatalf("step %d: a retry of a rejected session could repeat its effect: %+v", r.step, s)
		}
	case Migrate:
		if !s.established {
			r.Fatalf("step %d: migrated a session that is not established: %+v", r.step, s)
		}
	}
}

func (r *ruleChecker) isRetrySafe(s *expectedSession) bool {
	if s.mayHaveRunOn < 0 || s.class.Idempotency == Idempotent {
		return true
	}
	return s.class.Idempotency == IdempotentWithKey && s.class.KeyScope == KeyScopeAll &&
		r.balancer.now < s.mayHaveRunAt+s.class.KeyTTL
}

func (r *ruleChecker) checkAttempt(decision Decision, s *expectedSession) {
	b := r.balancer
	if b.isDraining() {
		r.Fatalf("step %d: attempt while the balancer is draining: %+v", r.step, decision)
	}
	isOwed := s.answers == 0 && !s.attempting && !s.established
	isInTime := b.now < s.deadline && b.now+decision.Duration <= s.deadline
	if !isOwed || !isInTime || s.attempts >= r.config.MaxAttempts {
		r.Fatalf("step %d: attempt that is not allowed any more: %+v for %+v", r.step, decision, s)
	}
	k := int(decision.Endpoint - 100)
	r.checkIdempotency(s, k)
	if r.list[k].State != Ready {
		r.Fatalf("step %d: attempt at an endpoint that is not ready: %+v", r.step, decision)
	}
	if r.isWarming(k) {
		r.checkWarmup(k)
	}
	s.attempting = true
	s.attempts++
	s.endpoint = k
	s.attemptedAt = b.now
	s.attemptDeadline = b.now + decision.Duration
}

func (r *ruleChecker) checkIdempotency(s *expectedSession, k int) {
	if s.mayHaveRunOn < 0 || s.class.Idempotency == Idempotent {
		return
	}
	firstEntry, entry := r.list[s.mayHaveRunOn], r.list[k]
	inScope := s.class.KeyScope == KeyScopeAll ||
		entry.Zone == firstEntry.Zone && (s.class.KeyScope == KeyScopeZone || entry.FailureDomain == firstEntry.FailureDomain)
	if s.class.Idempotency == NonIdempotent || !inScope || r.balancer.now >= s.mayHaveRunAt+s.class.KeyTTL {
		r.Fatalf("step %d: an attempt could repeat an effect: %+v", r.step, s)
	}
}

func (r *ruleChecker) isWarming(k int) bool {
	return r.list[k].StartedAt != StartedLongAgo && r.balancer.now-r.startedAt[k] < r.config.SlowStartWindow
}

// checkWarmup checks that the attempts at a warming endpoint, including the new one, do not overload it in a
// window.
func (r *ruleChecker) checkWarmup(k int) {
	b := r.balancer
	attempts := 1
	for _, at := range r.warmupAttempts[k] {
		if at > b.now-fuzzWindow {
			attempts++
		}
	}
	r.warmupAttempts[k] = append(r.warmupAttempts[k], b.now)
	warmCapacity := float64(sessionsPerFuzzCore) // capacity of a warm endpoint: of one core, or what a warm endpoint is seen to have
	for j, entry := range r.list {
		if !r.isWarming(j) {
			warmCapacity = max(warmCapacity, float64(len(b.endpointByID[entry.ID].sessions)+1))
		}
	}
	share := fuzzWindow.Seconds() / r.config.SlowStartWindow.Seconds()
	windowCapacity := warmCapacity * r.config.OverloadMultiple * share * float64(r.config.Balancers)
	if limit := windowCapacity + 2*math.Sqrt(windowCapacity) + 2; float64(attempts) > limit {
		r.Fatalf("step %d: a warming endpoint is overloaded: %d attempts in a window, want at most %v", r.step, attempts, limit)
	}
}

// checkNoSessionIsForgotten checks that each session without a final answer has an attempt or waits for a load
// report.
func (r *ruleChecker) checkNoSessionIsForgotten() {
	for id, s := range r.sessions {
		if s.answers > 0 || s.attempting || s.established {
			continue
		}
		if held := r.balancer.sessions[id]; held == nil || held.reportDeadline <= r.balancer.now {
			r.Fatalf("step %d: session %d has no answer, no attempt, and no load report to wait for", r.step, id)
		}
	}
}
