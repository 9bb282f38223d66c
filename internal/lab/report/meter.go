// Package report owns the figures of runs: what is counted while one goes on, ratios between arms and their spread
// over seeds, and the JSON and the page that show them. It must never run anything, and never check the rules.
package report

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sabletally/internal/lab/checker"
)

const (
	window    = 10 * time.Second // of the worst stretch
	longest   = int64(time.Minute / time.Microsecond)
	precision = 3

	brokenKept = 20
)

// Point is one second of a run.
type Point struct {
	At                   float64 // seconds since the run's start, at its end
	Asked, Served        float64 // seconds of connections wanted, and well served
	Open                 float64
	Worst, Mean          float64 // load over capacity of the ready servers
	Setups, Nacks, Moves float64
}

// Run is the figures of one arm at one seed. Times are milliseconds.
type Run struct {
	Arm                                     string
	Seed                                    uint64
	Served                                  float64 // seconds served over seconds asked for
	Worst                                   float64 // the same in the worst stretch of 10 s
	Setups, Nacks, Moves, Tries, Probes     int
	SetupP50, SetupP90, SetupP99, SetupMost float64 // from when a client first wanted it, waits and rejections included
	WorstLoad                               float64 // of a ready server, highest mean of a second
	Spread                                  float64 // of load over ready servers: deviation over mean, mean of the run
	Groups, GroupServers                    int     // groups, and on how many servers they are, together, at the end
	MessageP50, MessageP99                  float64 `json:",omitempty"` // sockets only
	BalancerCPU                             float64 `json:",omitempty"` // seconds, all balancers together
	BalancerMB                              float64 `json:",omitempty"` // the largest balancer, at its largest
	Balancers                               []Usage `json:",omitempty"`
	BadClients, BadUnanswered               int     `json:",omitempty"`
	Late                                    float64 `json:",omitempty"` // how late the load itself ran at worst
	Kept                                    bool
	Verdict                                 string
	Broken                                  []string `json:",omitempty"`
	Series                                  []Point
}

// Usage is what one balancer used, over all its processes.
type Usage struct {
	Name string
	CPU  float64 // seconds
	MB   float64 // at its largest
}

// SetVerdict enters the checker's verdict; the first few violations are kept.
func (r *Run) SetVerdict(v checker.Verdict) {
	r.Kept, r.Verdict = v.Passed(), v.String()
	for _, b := range v.Violations[:min(len(v.Violations), brokenKept)] {
		r.Broken = append(r.Broken, b.String())
	}
}

// Meter counts while a run goes on; its methods may be called by anyone.
type Meter struct {
	mu       sync.Mutex
	from, to time.Duration // figures are taken between these
	run      Run
	now      Point
	setups   *hdrhistogram.Histogram
	messages *hdrhistogram.Histogram
	ticks    float64
	spread   float64
	open     int
	points   []Point
}

// NewMeter makes one that takes figures between two times of the run.
func NewMeter(from, to time.Duration) *Meter {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, precision) }
	return &Meter{from: from, to: to, setups: h(), messages: h()}
}

func (m *Meter) counts(now time.Duration) bool { return now >= m.from && now <= m.to }

// Setup counts a set-up and how long its client had wanted it by then.
func (m *Meter) Setup(now, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts(now) {
		m.run.Setups++
		m.now.Setups++
		_ = m.setups.RecordValue(min(max(1, took.Microseconds()), longest))
	}
}

// Message counts a message: asked for as long as it stands for, served if it was answered within the goal.
func (m *Meter) Message(now, took, stands time.Duration, good bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.counts(now) {
		return
	}
	m.now.Asked += stands.Seconds()
	if good {
		m.now.Served += stands.Seconds()
	}
	if took > 0 {
		_ = m.messages.RecordValue(min(max(1, took.Microseconds()), longest))
	}
}

// Reject counts a rejected session.
func (m *Meter) Reject(now time.Duration) { m.count(now, &m.run.Nacks, &m.now.Nacks) }

// Move counts a session that was moved.
func (m *Meter) Move(now time.Duration) { m.count(now, &m.run.Moves, &m.now.Moves) }

// Attempt counts an attempt to set up a session.
func (m *Meter) Attempt() { m.count(m.from, &m.run.Tries, nil) }

// Probe counts a health check.
func (m *Meter) Probe() { m.count(m.from, &m.run.Probes, nil) }

// Bad counts a bad client, and whether it was left without answer or close.
func (m *Meter) Bad(unanswered bool) {
	m.count(m.from, &m.run.BadClients, nil)
	if unanswered {
		m.count(m.from, &m.run.BadUnanswered, nil)
	}
}

func (m *Meter) count(now time.Duration, sum *int, second *float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.counts(now) {
		return
	}
	*sum++
	if second != nil {
		*second++
	}
}

// Open changes the number of established sessions.
func (m *Meter) Open(by int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open += by
}

// Tick takes what held in the last stretch: connections served and wanted, and the servers' load.
func (m *Meter) Tick(now, stretch time.Duration, served, wanted, worst, mean, spread float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Served += served * stretch.Seconds()
	m.now.Asked += wanted * stretch.Seconds()
	part := stretch.Seconds()
	m.now.Worst += worst * part
	m.now.Mean += mean * part
	if m.counts(now) {
		m.spread, m.ticks = m.spread+spread, m.ticks+1
	}
	if now%time.Second != 0 {
		return
	}
	m.now.At, m.now.Open = now.Seconds(), float64(m.open)
	m.points = append(m.points, m.now)
	m.now = Point{}
}

// Loads sums up the loads of the ready servers: the worst, the mean, and their deviation over the mean.
func Loads(all []float64) (worst, mean, spread float64) {
	sum, sq := 0.0, 0.0
	for _, a := range all {
		worst, sum, sq = max(worst, a), sum+a, sq+a*a
	}
	if sum <= 0 {
		return worst, 0, 0
	}
	n := float64(len(all))
	mean = sum / n
	return worst, mean, math.Sqrt(max(0, sq/n-mean*mean)) / mean
}

// Run answers the figures.
func (m *Meter) Run() Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.run
	r.Series = m.points
	asked, served := 0.0, 0.0
	var in []Point
	for _, p := range m.points {
		if p.At <= m.from.Seconds() || p.At > m.to.Seconds() {
			continue
		}
		in = append(in, p)
		asked, served = asked+p.Asked, served+p.Served
		r.WorstLoad = max(r.WorstLoad, p.Worst)
	}
	r.Served, r.Worst = part(served, asked), 1
	wide := min(len(in), int(window/time.Second))
	for i := 0; wide > 0 && i+wide <= len(in); i++ {
		a, s := 0.0, 0.0
		for _, p := range in[i : i+wide] {
			a, s = a+p.Asked, s+p.Served
		}
		r.Worst = min(r.Worst, part(s, a))
	}
	if m.ticks > 0 {
		r.Spread = m.spread / m.ticks
	}
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	r.SetupP50, r.SetupP90, r.SetupP99, r.SetupMost = at(m.setups, 50), at(m.setups, 90), at(m.setups, 99), float64(m.setups.Max())/1000
	r.MessageP50, r.MessageP99 = at(m.messages, 50), at(m.messages, 99)
	return r
}

func part(of, all float64) float64 {
	if all <= 0 {
		return 0
	}
	return min(1, of/all)
}
