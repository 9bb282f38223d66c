package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	migrationInterval         = time.Second     // time between two migrations away from an overloaded endpoint
	overloadMigrationFraction = 0.12            // fraction of the load that migrates away from an overloaded endpoint at a time
	excessMigrationFraction   = 0.8             // fraction of the load beyond targetDemand, by a load report, that migrates at a time if this is more
	drainMigrationDivisor     = 8               // divides the load of a draining endpoint into the part that migrates in a round
	refillInterval            = 4 * time.Second // mean time between two checks of one session for a move to a warming endpoint
	maxRefillsPerRound        = 16              // maximum number of sessions that are checked in a round for a move to a warming endpoint
	capacityGrowth            = 0.015           // relative growth of an assumed capacity in a round without overload
	capacityStep              = 0.3             // further growth in a round without overload, as a fraction of the mean session load, so that a capacity near 0 grows too
)

// growCapacity raises the assumed capacity of an endpoint that is not overloaded.
func (b *Balancer) growCapacity(e *endpoint) {
	if b.exceeds(e, skipThreshold) {
		return
	}
	if factor := b.slowStartFactor(e); factor < 1 {
		growth := (1 - b.config.SlowStartFloor) * float64(roundInterval) / float64(b.config.SlowStartWindow)
		e.capacity *= 1 + growth/factor
	}
	independentBalancers := b.config.Balancers // balancers that grow their capacities without knowing each other's sessions
	if b.gossip.isCurrent {
		independentBalancers = 1
	}
	e.capacity += capacityGrowth*e.capacity + capacityStep*cmp.Or(b.sessionLoad.mean, 1)/float64(independentBalancers)
}

// planMigrations plans to migrate sessions away from an endpoint that is draining or overloaded.
func (b *Balancer) planMigrations(e *endpoint) {
	if b.areRetriesFutile() {
		return // a session that migrates now might not be established again
	}
	load := max(e.load, float64(len(e.sessions)))
	if e.State == Draining {
		b.migrateLoad(e, load/drainMigrationDivisor+b.meanLoad()/float64(b.config.Balancers), false)
		return
	}
	if !b.exceeds(e, migrateThreshold) || e.migratedAt+migrationInterval > b.now {
		return
	}
	fraction := overloadMigrationFraction
	if b.exceeds(e, fastMigrateThreshold) {
		fraction *= 2
	}
	// Each load report is used once. In a large deployment it is not used, because all balancers together would
	// migrate too much.
	if b.attemptPauseDisabled() && e.reportedAt > e.migratedAt {
		fraction = max(fraction, excessMigrationFraction*(1-targetDemand/e.demand))
	}
	e.migratedAt = b.now
	b.migrateLoad(e, fraction*load, b.exceeds(e, terminateThreshold))
}

// migrateLoad plans to migrate the given load away from an endpoint, choosing only sessions that would now be
// placed at another endpoint: members of the groups with the fewest sessions at the endpoint first, and among
// these the sessions with the highest load. If that is not enough and terminate is set, it also ends sessions
// that find no other endpoint, starting with the least valuable.
func (b *Balancer) migrateLoad(e *endpoint, load float64, terminate bool) {
	members := map[uint64]int{}
	for _, s := range e.sessions {
		members[s.affinityKey]++
	}
	byGroupAndLoad := func(x, y *session) int {
		return cmp.Or(members[x.affinityKey]-members[y.affinityKey], cmp.Compare(y.load, x.load), x.position-y.position)
	}
	for _, s := range migratableSessions(e, byGroupAndLoad) {
		target := b.replacementEndpoint(s)
		if target == nil || target == e {
			continue
		}
		if !b.migrateWithinLoad(s, &load) {
			return
		}
	}
	if !terminate {
		return
	}
	byValue := func(x, y *session) int { return cmp.Compare(b.sessionValue(x), b.sessionValue(y)) }
	for _, s := range migratableSessions(e, byValue) {
		if !b.migrateWithinLoad(s, &load) {
			return
		}
	}
}

// migratableSessions returns the established sessions of an endpoint for which no migration is planned, sorted
// by the given comparison.
func migratableSessions(e *endpoint, compare func(x, y *session) int) []*session {
	sessions := slices.DeleteFunc(slices.Clone(e.sessions), func(s *session) bool {
		return s.state != stateEstablished || s.migrationPlanned
	})
	slices.SortStableFunc(sessions, compare)
	return sessions
}

// migrateWithinLoad plans to migrate a session if its load fits into the remaining load, and at random with a
// probability in proportion if it does not. It subtracts the load and reports whether any remains.
func (b *Balancer) migrateWithinLoad(s *session, remaining *float64) bool {
	load := max(s.load, 1) // if no loads are known, each session counts the same
	left := *remaining - load
	if left >= 0 || b.random.float64()*load < *remaining {
		b.migrate(s)
	}
	*remaining = left
	return left > 0
}

// migrate plans to migrate a session.
func (b *Balancer) migrate(s *session) {
	s.migrationPlanned = true
	b.plannedDecisions = append(b.plannedDecisions, Decision{Action: Migrate, Session: s.id})
}

// sessionValue returns the priority weight of a session relative to its load. It is reduced if the tenant
// exceeds its quota, as estimated from the sessions of this balancer.
func (b *Balancer) sessionValue(s *session) float64 {
	value := s.class.PriorityWeight / max(s.load, 1)
	if s.tenantIndex >= len(b.config.Tenants) {
		return value
	}
	quota := b.config.Tenants[s.tenantIndex].ConnectionQuota
	active := float64(b.activeByTenant[s.tenantIndex] * b.config.Balancers)
	if quota > 0 && active > quota {
		value *= b.config.OverQuotaFactor
	}
	return value
}

// replacementEndpoint returns the endpoint at which an established session would be placed if it arrived now, or
// nil if there is none.
func (b *Balancer) replacementEndpoint(s *session) *endpoint {
	candidate := *s
	candidate.state = stateIdle
	candidate.attempts = 0
	candidate.attemptedEndpoints = nil
	candidate.mayHaveRunOn = nil
	candidate.countedInWarmupDemand = false
	candidate.polls = maxPolls // a migration does not wait for a load report
	return b.selectEndpoint(&candidate, relaxNone)
}

// refillWarmingEndpoints plans to migrate sessions to warming endpoints at which they would be placed now.
// Without it, sessions that left an endpoint before its restart would not return.
func (b *Balancer) refillWarmingEndpoints() {
	expected := min(float64(b.activeSessions)*float64(roundInterval)/float64(refillInterval), maxRefillsPerRound)
	for n := int(expected + b.random.float64()); n > 0 && b.canRefill(); n-- {
		s := b.randomSession()
		from := s.endpoint
		if s.state != stateEstablished || s.migrationPlanned || from.State != Ready || b.isWarmingUp(from) {
			continue
		}
		if target := b.replacementEndpoint(s); target != nil && b.isWarmingUp(target) {
			b.migrate(s)
		}
	}
}

// canRefill reports whether endpoints are warming up, hardly any recent attempt was late or failed, and attempts
// are not paused.
func (b *Balancer) canRefill() bool {
	return b.warmupWeight > 0 && b.recentCounts.late+b.recentCounts.failed < 1 && b.now >= b.pause.until
}

// randomSession returns a random active session. It panics if there is none.
func (b *Balancer) randomSession() *session {
	position := int(b.random.float64() * float64(b.activeSessions))
	for _, e := range b.endpoints {
		if position < len(e.sessions) {
			return e.sessions[position]
		}
		position -= len(e.sessions)
	}
	panic("policy: fewer sessions at the endpoints than are active")
}
