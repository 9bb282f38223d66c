package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	migrationInterval         = time.Second     // between two away from an overloaded endpoint
	overloadMigrationFraction = 0.12            // of the load at an overloaded endpoint, migrated at a time
	excessMigrationFraction   = 0.8             // of the excess over targetDemand by a load report, if that is more
	drainMigrationDivisor     = 8               // the part of a draining endpoint's load that migrates in a round
	refillInterval            = 4 * time.Second // between two considerations of a session for a warming endpoint
	maxRefillsPerRound        = 16              // sessions considered
	capacityGrowth            = 0.015           // by which a capacity grows in a round without overload,
	capacityStep              = 0.3             // and this of the mean load, so that it grows from near 0 too
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
	independentBalancers := b.config.Balancers // that know nothing of each other's sessions
	if b.gossip.isCurrent {
		independentBalancers = 1
	}
	e.capacity += capacityGrowth*e.capacity + capacityStep*cmp.Or(b.sessionLoad.mean, 1)/float64(independentBalancers)
}

// planMigrations plans to migrate sessions away from an endpoint that drains or is overloaded.
func (b *Balancer) planMigrations(e *endpoint) {
	if b.areRetriesFutile() {
		return // a session that migrates now may not be established again
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
	// Each report is used once. In a large deployment all balancers would act on it and overshoot.
	if b.isSmallDeployment() && e.reportedAt > e.migratedAt {
		fraction = max(fraction, excessMigrationFraction*(1-targetDemand/e.demand))
	}
	e.migratedAt = b.now
	b.migrateLoad(e, fraction*load, b.exceeds(e, terminateThreshold))
}

// migrateLoad plans to migrate so much load off an endpoint, of sessions that would be placed elsewhere now:
// lone members of a group first, then the heaviest ones. If terminate is set, sessions that find no other
// endpoint end as well, those of the least value first.
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

// migratableSessions returns the established sessions of an endpoint that do not migrate yet, in the given
// order.
func migratableSessions(e *endpoint, compare func(x, y *session) int) []*session {
	sessions := slices.DeleteFunc(slices.Clone(e.sessions), func(s *session) bool {
		return s.state != stateEstablished || s.migrating
	})
	slices.SortStableFunc(sessions, compare)
	return sessions
}

// migrateWithinLoad plans to migrate a session if its load is within the remaining load, else by chance. It
// reports whether load remains.
func (b *Balancer) migrateWithinLoad(s *session, remaining *float64) bool {
	load := max(s.load, 1) // where no loads are known each session counts the same
	left := *remaining - load
	if left >= 0 || b.random.float64()*load < *remaining {
		b.migrate(s)
	}
	*remaining = left
	return left > 0
}

func (b *Balancer) migrate(s *session) {
	s.migrating = true
	b.plannedDecisions = append(b.plannedDecisions, Decision{Action: Migrate, Session: s.id})
}

// sessionValue is a session's priority weight for its load, reduced beyond its tenant's quota as far as this
// balancer can tell.
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

// replacementEndpoint returns the endpoint at which an established session would be placed if it came now, or nil.
func (b *Balancer) replacementEndpoint(s *session) *endpoint {
	again := *s
	again.state = stateIdle
	again.attempts = 0
	again.attempted = nil
	again.mayHaveRunOn = nil
	again.countedInWarmupDemand = false
	again.polls = maxPolls // no migration waits for a report
	return b.selectEndpoint(&again, relaxNone)
}

// refillWarmingEndpoints plans to migrate sessions to warming endpoints that they would be placed at now.
// Without this, what had left an endpoint before it restarted would stay away.
func (b *Balancer) refillWarmingEndpoints() {
	expected := min(float64(b.activeSessions)*float64(roundInterval)/float64(refillInterval), maxRefillsPerRound)
	for n := int(expected + b.random.float64()); n > 0 && b.canRefill(); n-- {
		s := b.randomSession()
		from := s.endpoint
		if s.state != stateEstablished || s.migrating || from.State != Ready || b.isWarmingUp(from) {
			continue
		}
		if target := b.replacementEndpoint(s); target != nil && b.isWarmingUp(target) {
			b.migrate(s)
		}
	}
}

func (b *Balancer) canRefill() bool {
	return b.warmupWeight > 0 && b.recentCounts.late+b.recentCounts.failed < 1 && b.now >= b.pause.until
}

// randomSession returns a random active session; there must be one.
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
