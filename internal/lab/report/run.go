// This file defines the figures of a single run.

package report

import (
	"math"

	"sabletally/internal/lab/checker"
)

// maxViolationsKept is the number of violations of a run that a report lists.
const maxViolationsKept = 20

// Point holds the figures of one second of a run.
type Point struct {
	At         float64 // end of this second, in seconds since the start of the run
	Requested  float64 `json:"Asked"` // connection time that clients requested, in seconds
	Served     float64 // part of the requested connection time that was served in time, in seconds
	Open       float64 // number of established sessions
	Worst      float64 // highest utilization of a ready server
	Mean       float64 // mean utilization of the ready servers
	Setups     float64 // number of sessions that were set up
	Rejections float64 `json:"Nacks"` // number of rejections
	Migrations float64 `json:"Moves"` // number of sessions that migrated
}

// Run holds the figures of one arm at one seed. Times are in milliseconds unless stated otherwise.
type Run struct {
	Arm                string
	Seed               uint64
	Served             float64 // connection time served, as a share of the time requested
	Worst              float64 // smallest share of the requested connection time that was served in any 10 seconds
	Setups             int     // number of sessions that were set up
	Rejections         int     `json:"Nacks"`  // number of rejections
	Migrations         int     `json:"Moves"`  // number of sessions that migrated
	Attempts           int     `json:"Tries"`  // number of attempts
	HealthChecks       int     `json:"Probes"` // number of health checks
	SetupP50           float64 // median set-up time, from when a client wants a connection, including rejections and waits
	SetupP90           float64 // 90th percentile of the set-up times
	SetupP99           float64 // 99th percentile of the set-up times
	SetupMost          float64 // longest set-up time
	WorstLoad          float64 // highest utilization of a ready server, as the mean over one second
	Spread             float64 // standard deviation over mean of the ready servers' utilization, as the mean over the run
	Groups             int     // number of groups of clients with sessions at the end of the run
	GroupServers       int     // number of servers with sessions of a group at the end of the run, summed over the groups
	MessageP50         float64 `json:",omitempty"` // median of the response times of messages, sockets only
	MessageP99         float64 `json:",omitempty"` // 99th percentile of the response times of messages, sockets only
	BalancerCPU        float64 `json:",omitempty"` // CPU time of all balancers together, in seconds
	BalancerMB         float64 `json:",omitempty"` // maximum memory of the largest balancer, in MiB
	Balancers          []Usage `json:",omitempty"`
	MisbehavingClients int     `json:"BadClients,omitempty"`    // number of misbehaving clients
	UnansweredClients  int     `json:"BadUnanswered,omitempty"` // number of misbehaving clients that got neither a response nor a close
	Late               float64 `json:",omitempty"`              // maximum delay by which the load generator itself was late
	Kept               bool    // whether the run broke no rule
	Verdict            string
	Broken             []string `json:",omitempty"` // descriptions of the first violations
	Series             []Point
}

// Usage is the resource usage of one balancer, over all of its processes.
type Usage struct {
	Name string
	CPU  float64 // CPU time in seconds
	MB   float64 // maximum resident memory of one process, in MiB
}

// SetVerdict sets the checker's verdict and the first maxViolationsKept violations.
func (r *Run) SetVerdict(verdict checker.Verdict) {
	r.Kept = verdict.Passed()
	r.Verdict = verdict.String()
	for _, violation := range verdict.Violations[:min(len(verdict.Violations), maxViolationsKept)] {
		r.Broken = append(r.Broken, violation.String())
	}
}

// LoadSummary returns the maximum and the mean of the ready servers' utilization, and its standard deviation divided by the mean.
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
