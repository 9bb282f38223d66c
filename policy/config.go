package policy

import "time"

// Idempotency tells whether the request of a session may be repeated.
type Idempotency uint8

// Hosts write these values as numbers, so their order must not change.
const (
	Idempotent        Idempotency = iota // the request may run any number of times
	IdempotentWithKey                    // repeats within KeyTTL are dropped by the endpoints of the KeyScope
	NonIdempotent                        // the request must not run twice
)

var idempotencyNames = [...]string{
	Idempotent:        "idempotent",
	IdempotentWithKey: "idempotent with key",
	NonIdempotent:     "non-idempotent",
}

func (i Idempotency) String() string { return idempotencyNames[i] }

// KeyScope is the set of endpoints that share a record of idempotency keys.
type KeyScope uint8

// The scopes, relative to the endpoint of the first attempt.
const (
	KeyScopeAll           KeyScope = iota // all endpoints
	KeyScopeZone                          // endpoints in the same zone
	KeyScopeFailureDomain                 // endpoints in the same zone and failure domain
)

var keyScopeNames = [...]string{
	KeyScopeAll:           "all",
	KeyScopeZone:          "zone",
	KeyScopeFailureDomain: "failure domain",
}

func (s KeyScope) String() string { return keyScopeNames[s] }

// Class describes the sessions of one service class.
type Class struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyTTL           time.Duration // how long endpoints remember an idempotency key, counted from the attempt
	SetupObjective   time.Duration // latency objective of establishing a session
	MessageObjective time.Duration // latency objective of one message, 0 if there is none
	PriorityWeight   float64       // relative value of serving one session
}

// Tenant describes one customer.
type Tenant struct {
	ConnectionQuota float64 // maximum number of connections over all balancers, 0 if there is no quota
}

// Config is the configuration of a Balancer. It must not be modified while a Balancer uses it.
type Config struct {
	Balancers          int // number of balancers in the deployment, including this one
	Index              int // index of this balancer among them, unchanged by a restart
	Zone               int // zone of this balancer
	Classes            []Class
	Tenants            []Tenant
	OverQuotaFactor    float64       // factor on the priority weight of sessions that exceed the quota of their tenant
	CanHealthCheck     bool          // the host can carry out health checks
	CanGossip          bool          // balancers exchange short messages, which may be delayed or lost
	HasExactWeights    bool          // endpoint weights are registered capacities rather than estimates
	CanSendRetryAfter  bool          // clients can be told when to retry
	MaxRetryAfter      time.Duration // upper bound of Retry-After
	MaxAttempts        int           // maximum number of attempts for one session
	OverloadMultiple   float64       // a load above this multiple of the one that fills a warming endpoint evenly overloads it
	OverloadWindow     time.Duration // time over which the load of a warming endpoint is measured for OverloadMultiple
	SlowStartFloor     float64       // capacity of an endpoint at its start, as a fraction of its full capacity
	SlowStartWindow    time.Duration // time from the start of an endpoint to its full capacity
	CrossZoneCost      float64       // cost of a connection to another zone, relative to the value of the connection
	NinesWeight        float64       // weight of availability in the objective of the deployment; no decision uses it
	TargetNines        float64       // target availability; no decision uses it
	HasLoadReports     bool          // health checks return load reports
	HasEndpointReports bool          // the endpoints send the load reports themselves; otherwise the host measures their load
}

// RemapIndex returns the new index of an old one, or last if remap has no new index for it.
func RemapIndex(remap []int, index, last int) int {
	if index < len(remap) && remap[index] >= 0 {
		return remap[index]
	}
	return last
}
