package policy

import "time"

// Idempotency says what repeating a session's request may do.
type Idempotency uint8

// The values are also written as numbers by hosts: their order is fixed.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // a repeat within KeyTTL is dropped by the endpoints of its KeyScope
	NonIdempotent                        // must never run twice
)

var idempotencyNames = [...]string{
	Idempotent:        "idempotent",
	IdempotentWithKey: "idempotent with key",
	NonIdempotent:     "non-idempotent",
}

func (i Idempotency) String() string { return idempotencyNames[i] }

// KeyScope is the set of endpoints that share their record of idempotency keys.
type KeyScope uint8

// The scopes, seen from the endpoint that a first attempt went to.
const (
	KeyScopeAll           KeyScope = iota // all endpoints
	KeyScopeZone                          // endpoints of the same zone
	KeyScopeFailureDomain                 // endpoints of the same zone and failure domain
)

var keyScopeNames = [...]string{
	KeyScopeAll:           "all",
	KeyScopeZone:          "zone",
	KeyScopeFailureDomain: "failure domain",
}

func (s KeyScope) String() string { return keyScopeNames[s] }

// Class is one service class.
type Class struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyTTL           time.Duration // how long idempotency keys are remembered, from the attempt on
	SetupObjective   time.Duration // latency objective of establishing a session
	MessageObjective time.Duration // latency objective of a message, 0 if there is none
	PriorityWeight   float64       // value of serving one session
}

// Tenant is one customer.
type Tenant struct {
	ConnectionQuota float64 // connections over all balancers, 0 if there is no quota
}

// Config is the configuration of a Balancer. It must not change while a Balancer uses it.
type Config struct {
	Balancers          int // of the deployment, this one included
	Index              int // of this balancer among them, the same after a restart
	Zone               int // of this balancer
	Classes            []Class
	Tenants            []Tenant
	OverQuotaFactor    float64 // multiplies the priority weight of sessions beyond their tenant's quota
	CanHealthCheck     bool
	CanGossip          bool // balancers exchange short messages, which may come late or never
	HasExactWeights    bool // weights are the registered capacities, not estimates
	CanSendRetryAfter  bool
	MaxRetryAfter      time.Duration
	MaxAttempts        int
	OverloadMultiple   float64       // a warming endpoint is overloaded by more than this multiple of the load that fills it evenly
	OverloadWindow     time.Duration // the window in which OverloadMultiple is measured
	SlowStartFloor     float64       // capacity of an endpoint at its start, as a fraction of its full one
	SlowStartWindow    time.Duration // from the start of an endpoint to its full capacity
	CrossZoneCost      float64       // of a connection to another zone, relative to its value
	NinesWeight        float64       // of availability in the objective; no decision uses it
	TargetNines        float64       // of availability; no decision uses it
	HasLoadReports     bool          // health checks return load reports
	HasEndpointReports bool          // these are the endpoints' own statements, not measurements of the host
}

// RemapIndex returns the new index of an old one, or last if remap has none for it.
func RemapIndex(remap []int, index, last int) int {
	if index < len(remap) && remap[index] >= 0 {
		return remap[index]
	}
	return last
}
