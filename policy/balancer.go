// Package policy implements the load-balancing decisions of one balancer: which endpoint serves a session, when
// an attempt is retried, which sessions are rejected, and which established sessions migrate. It holds all the
// state that these decisions depend on. The package must not do input or output, read a clock, start a goroutine
// or depend on a wire format, so that the same inputs in the same order always give the same decisions.
//
// The host calls AdvanceClock with the time since the start, then one method for each event that has occurred
// (UpdateEndpoints, AttemptEstablished and so on). These methods only update the state. The host then calls Next
// until it reports false, carries out each Decision, and calls Next again no later than NextWakeup says. A
// Balancer is not safe for concurrent use.
package policy

import "time"

const (
	roundInterval = 250 * time.Millisecond // time between two rounds, which plan migrations and health checks
	never         = time.Duration(1 << 62) // a time that is never reached
)

// Balancer holds the state of one balancer. Next and NextWakeup return its decisions; the other methods are its
// inputs.
type Balancer struct {
	config   *Config
	now      time.Duration // time since the start, set by AdvanceClock
	hashSeed uint64        // makes the random choices of assumesOverload differ between balancers
	random   randomSource

	endpoints     []*endpoint // all endpoints ever listed, in the order of their first appearance
	endpointByID  map[EndpointID]*endpoint
	listUpdates   int     // number of calls of UpdateEndpoints
	pools         []*pool // pools in use, oldest first; new sessions are placed by the last one
	maxPoolWeight float64 // largest total weight of any pool so far

	sessions           map[SessionID]*session
	usedIDs            requestIDs
	queue              []*session       // sessions that need a decision
	waitingSessions    []*session       // sessions that wait for a load report
	activeSessions     int              // number of pending attempts and established sessions
	meanActiveSessions float64          // activeSessions averaged over recentWindow
	activeByGroup      map[uint64]int   // activeSessions by affinity key
	activeByTenant     []int            // activeSessions by tenant index; the last element counts those of unknown tenants
	sessionLoad        average          // load of one session, in microseconds of work per second
	loadByClass        []average        // sessionLoad by class index; the last element is for classes that no longer exist
	tenantQuota        float64          // sum of the connection quotas of all tenants, for all balancers together
	rankBuffer         []rankedEndpoint // buffer that rankEndpoints reuses
	plannedDecisions   []Decision       // migrations and health checks planned by the newest round
	nextRoundAt        time.Duration

	remoteZoneFactor float64       // factor on the weight of an endpoint in another zone
	messageObjective time.Duration // shortest message objective of all classes, never if there is none

	recentCounts     recentCounts
	pendingAttempts  int           // number of attempts that have neither established a session nor ended
	lastAttemptAt    time.Duration // start of the newest attempt
	rejectsInARow    int           // number of final answers since the newest attempt
	pause            attemptPause
	overloadFraction float64 // overloaded part of the endpoints that have sessions of this balancer

	warmEndpoints          int                         // number of ready endpoints that are not warming up
	warmupWeight           float64                     // total weight of warming endpoints, reduced by zone and slow-start factors
	slowStartPausedUntil   time.Duration               // time before which warming endpoints get no sessions
	observedByMachineType  map[uint64]observedCapacity // capacity of warm endpoints by machine type
	reportsDistrustedUntil map[location]time.Duration  // absent for failure domains that were never distrusted
	gossip                 gossip
	drainWindow            drainWindow
}

// New returns a Balancer that knows no endpoints yet. The seed determines all of its random choices.
func New(config *Config, seed uint64) *Balancer {
	b := &Balancer{
		hashSeed:               seed,
		random:                 newRandomSource(seed),
		endpointByID:           map[EndpointID]*endpoint{},
		pools:                  []*pool{{}},
		sessions:               map[SessionID]*session{},
		usedIDs:                newRequestIDs(),
		activeByGroup:          map[uint64]int{},
		observedByMachineType:  map[uint64]observedCapacity{},
		reportsDistrustedUntil: map[location]time.Duration{},
		drainWindow:            drainWindow{until: never},
	}
	b.Reconfigure(config, nil, nil)
	b.nextRoundAt = time.Duration(b.random.float64() * float64(roundInterval))
	b.PauseSlowStart()
	return b
}

// Reconfigure replaces the configuration. The class at index i of the previous configuration is now at index
// classes[i], or is gone if that is -1; tenants maps the tenants in the same way. Sessions keep the class and
// the maximum number of attempts that they had on arrival.
func (b *Balancer) Reconfigure(config *Config, classes, tenants []int) {
	loadByClass := make([]average, len(config.Classes)+1)
	for oldIndex, newIndex := range classes {
		if newIndex >= 0 {
			loadByClass[newIndex] = b.loadByClass[oldIndex]
		}
	}
	b.config = config
	b.loadByClass = loadByClass
	b.activeByTenant = make([]int, len(config.Tenants)+1)
	for _, s := range b.sessions {
		s.classIndex = RemapIndex(classes, s.classIndex, len(config.Classes))
		s.tenantIndex = RemapIndex(tenants, s.tenantIndex, len(config.Tenants))
		if s.isActive() {
			b.activeByTenant[s.tenantIndex]++
		}
	}
	b.remoteZoneFactor = max(minRemoteZoneFactor, 1-crossZoneCostFactor*config.CrossZoneCost)
	b.messageObjective = never
	for _, class := range config.Classes {
		if class.MessageObjective > 0 {
			b.messageObjective = min(b.messageObjective, class.MessageObjective)
		}
	}
	b.pause.minLength = minPauseLength(config)
	b.tenantQuota = 0
	for _, tenant := range config.Tenants {
		b.tenantQuota += tenant.ConnectionQuota
	}
	b.resetGossip()
}

// AdvanceClock sets the time since the start. Time never goes back: an earlier time is ignored.
func (b *Balancer) AdvanceClock(now time.Duration) { b.now = max(b.now, now) }

// Next returns the next decision, or false if there is none at the current time.
func (b *Balancer) Next() (Decision, bool) {
	if message, isDue := b.dueGossip(); isDue {
		return Decision{Action: SendGossip, Gossip: message}, true
	}
	b.resumeWaiting(nil)
	for len(b.queue) > 0 {
		s := b.queue[0]
		b.queue = b.queue[1:]
		if decision, ok := b.decideSession(s); ok {
			return decision, true
		}
	}
	b.queue = nil
	if b.nextRoundAt <= b.now {
		b.nextRoundAt = b.now + roundInterval
		b.runRound()
	}
	if len(b.plannedDecisions) == 0 {
		return Decision{}, false
	}
	decision := b.plannedDecisions[0]
	b.plannedDecisions = b.plannedDecisions[1:]
	return decision, true
}

// NextWakeup returns the time by which Next must be called again. It always reports true.
func (b *Balancer) NextWakeup() (at time.Duration, ok bool) {
	at = min(b.nextRoundAt, b.gossip.nextAt)
	for _, s := range b.waitingSessions {
		at = min(at, s.reportDeadline)
	}
	return at, true
}

// runRound updates the averages and estimates that change over time, then plans migrations and health checks. It
// runs every roundInterval.
func (b *Balancer) runRound() {
	b.plannedDecisions = b.plannedDecisions[:0]
	b.sumGossip()
	window := max(roundInterval, min(recentWindow, b.now))
	b.meanActiveSessions += (float64(b.activeSessions) - b.meanActiveSessions) * float64(roundInterval) / float64(window)
	b.warmupWeight = 0
	if b.isDraining() {
		b.migrateForDraining()
		return
	}
	b.observeCapacity()
	b.observeOverload()
	b.recentCounts.decay(b.now)
	b.refillWarmingEndpoints()
	for _, e := range b.endpoints {
		if e.State == Removed {
			continue
		}
		b.growCapacity(e)
		b.planMigrations(e)
		b.planHealthCheck(e)
	}
}

// meanLoad returns the mean load of a session, at least 1 so that it can be used as a divisor.
func (b *Balancer) meanLoad() float64 { return max(b.sessionLoad.mean, 1) }
