// Package policy decides for one balancer which endpoint serves a session, when an attempt is repeated, which
// sessions are rejected, and which established sessions migrate. It owns everything that these decisions need
// to remember. It must never do input or output, read a clock, start a goroutine or depend on a wire format:
// the same inputs in the same order give the same decisions.
//
// The host calls AdvanceClock with the time since the start, then one method for each event that came in
// (UpdateEndpoints, AttemptEstablished and so on). These only update the state. It then calls Next until that
// reports false, carries out each Decision, and calls again at the time that NextWakeup returns at the latest.
// A Balancer must not be used by several goroutines at once.
package policy

import "time"

const (
	roundInterval = 250 * time.Millisecond // between two considerations of migrations and health checks
	never         = time.Duration(1 << 62)
)

// Balancer is the state of one balancer. Next and NextWakeup are its outputs, all other methods its inputs.
type Balancer struct {
	config   *Config
	now      time.Duration
	hashSeed uint64
	random   randomSource

	endpoints     []*endpoint // in the order in which they became known
	endpointByID  map[EndpointID]*endpoint
	listUpdates   int     // calls of UpdateEndpoints
	pools         []*pool // oldest first; the newest one places new sessions
	maxPoolWeight float64 // largest total weight of any pool so far

	sessions           map[SessionID]*session
	queue              []*session // that need a decision
	waitingSessions    []*session // for a load report
	activeSessions     int        // attempts and established sessions
	meanActiveSessions float64    // activeSessions averaged over recentWindow
	activeByGroup      map[uint64]int
	activeByTenant     []int     // the last one counts sessions of unknown tenants
	sessionLoad        average   // of single sessions, in microseconds of work a second
	loadByClass        []average // the last one is of classes that no longer exist
	tenantQuota        float64   // connections of all tenants' quotas, over all balancers
	rankBuffer         []rankedEndpoint
	plannedDecisions   []Decision // migrations and health checks of the newest round
	nextRoundAt        time.Duration

	remoteZoneFactor float64       // multiplies the weight of an endpoint in another zone
	messageObjective time.Duration // the shortest of all classes, never if there is none

	recentCounts     recentCounts
	pendingAttempts  int
	lastAttemptAt    time.Duration
	rejectsInARow    int // since the newest attempt
	pause            attemptPause
	overloadFraction float64 // of the endpoints with sessions of this balancer

	warmEndpoints          int     // ready endpoints that are not warming up
	warmupWeight           float64 // weight that warming endpoints attract together
	slowStartPausedUntil   time.Duration
	observedByMachineType  map[uint64]observedCapacity // by machine type
	reportsDistrustedUntil map[location]time.Duration  // absent if they were never distrusted
	gossip                 gossip
	draining               drainWindow
}

// New returns a Balancer that knows no endpoints yet. The seed fixes all its random choices.
func New(config *Config, seed uint64) *Balancer {
	b := &Balancer{
		hashSeed:               seed,
		random:                 newRandomSource(seed),
		endpointByID:           map[EndpointID]*endpoint{},
		pools:                  []*pool{{}},
		sessions:               map[SessionID]*session{},
		activeByGroup:          map[uint64]int{},
		observedByMachineType:  map[uint64]observedCapacity{},
		reportsDistrustedUntil: map[location]time.Duration{},
		draining:               drainWindow{until: never},
	}
	b.Reconfigure(config, nil, nil)
	b.nextRoundAt = time.Duration(b.random.float64() * float64(roundInterval))
	b.PauseSlowStart()
	return b
}

// Reconfigure replaces the configuration. The class at index i of the previous configuration is now at
// classes[i], -1 if it is gone; tenants does the same for tenants. Sessions keep the class and the maximum
// number of attempts with which they came.
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

// AdvanceClock sets the time since the start. Time never goes back: an earlier time has no effect.
func (b *Balancer) AdvanceClock(now time.Duration) { b.now = max(b.now, now) }

// Next returns the next decision, or false if there is none at the present time.
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

// NextWakeup returns the time at which Next has to be called again at the latest. It always reports true.
func (b *Balancer) NextWakeup() (at time.Duration, ok bool) {
	at = min(b.nextRoundAt, b.gossip.nextAt)
	for _, s := range b.waitingSessions {
		at = min(at, s.reportDeadline)
	}
	return at, true
}

// runRound plans migrations and health checks.
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

// meanLoad is the mean load of a session, at least 1 so that it can divide.
func (b *Balancer) meanLoad() float64 { return max(b.sessionLoad.mean, 1) }
