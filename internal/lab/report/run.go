package report

import (
	"math"

	"sabletally/internal/lab/checker"
)

const maxViolationsKept = 20

// Point is one second of a run.
type Point struct {
	At         float64 // seconds since the start of the run, at the end of this one
	Requested  float64 `json:"Asked"` // seconds of connections requested
	Served     float64 // and of those that were well served
	Open       float64 // established sessions
	Worst      float64 // utilization of the ready server that has most
	Mean       float64 // utilization of the ready servers
	Setups     float64
	Rejections float64 `json:"Nacks"` // rejections
	Migrations float64 `json:"Moves"` // sessions that migrated
}

// Run is the figures of one arm at one seed. Times are milliseconds unless it is said otherwise.
type Run struct {
	Arm                string
	Seed               uint64
	Served             float64 // seconds of connections served over seconds requested
	Worst              float64 // the same in the worst 10 seconds
	Setups             int
	Rejections         int     `json:"Nacks"`  // rejections
	Migrations         int     `json:"Moves"`  // sessions that migrated
	Attempts           int     `json:"Tries"`  // attempts
	HealthChecks       int     `json:"Probes"` // health checks
	SetupP50           float64 // of set-up times, from a client's first request, with rejections and waits in between
	SetupP90           float64
	SetupP99           float64
	SetupMost          float64
	WorstLoad          float64 // utilization of a ready server, highest mean of a second
	Spread             float64 // of the utilization of ready servers: standard deviation over mean, mean of the run
	Groups             int     // at the end
	GroupServers       int     // servers of each group, summed up over the groups
	MessageP50         float64 `json:",omitempty"` // sockets only
	MessageP99         float64 `json:",omitempty"` // sockets only
	BalancerCPU        float64 `json:",omitempty"` // seconds, of all balancers
	BalancerMB         float64 `json:",omitempty"` // maximum of the largest balancer
	Balancers          []Usage `json:",omitempty"`
	MisbehavingClients int     `json:"BadClients,omitempty"`    // misbehaving clients
	UnansweredClients  int     `json:"BadUnanswered,omitempty"` // and those that got neither a response nor a close
	Late               float64 `json:",omitempty"`              // maximum delay of the load itself
	Kept               bool    // all rules
	Verdict            string
	Broken             []string `json:",omitempty"` // the first violations
	Series             []Point
}

// Usage is what one balancer used, in all of its processes.
type Usage struct {
	Name string
	CPU  float64 // seconds
	MB   float64 // maximum
}

// SetVerdict sets the checker's verdict and the first violations.
func (r *Run) SetVerdict(verdict checker.Verdict) {
	r.Kept = verdict.Passed()
	r.Verdict = verdict.String()
	for _, violation := range verdict.Violations[:min(len(verdict.Violations), maxViolationsKept)] {
		r.Broken = append(r.Broken, violation.String())
	}
}

// LoadSummary sums up the utilization of the ready servers: the maximum, the mean, and the standard deviation over the mean.
func LoadSummary(utilizations []float64) (worst, mean, spread float64) {
	sum, squares := 0.0, 0.0
	for _, u := range utilizations {
		worst = max(worst, u)
		sum += u
		squares += u * u
	}
	if sum <= 0 {
		return worst, 0, 0
	}
	count := float64(len(utilizations))
	mean = sum / count
	return worst, mean, math.Sqrt(max(0, squares/count-mean*mean)) / mean
}
