// This file collects the figures of a run while it goes on.

package report

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	worstWindow       = 10 * time.Second                      // length of the window over which Run.Worst is computed
	maxRecordedMicros = int64(time.Minute / time.Microsecond) // longer durations are recorded as this one
	precision         = 3                                     // significant digits of the histograms
)

// Meter collects the figures of a run while it goes on. Its methods may be called concurrently.
type Meter struct {
	mu       sync.Mutex
	from, to time.Duration // figures are collected between these times of the run
	run      Run           // the figures that are counted directly
	current  Point         // figures of the second in progress
	points   []Point       // figures of the seconds that are over
	setups   *hdrhistogram.Histogram
	messages *hdrhistogram.Histogram
	ticks    float64 // number of ticks between from and to
	spread   float64 // sum of the spread of utilization over these ticks
	open     int     // number of established sessions
}

// NewMeter returns a meter that collects figures between two times of the run.
func NewMeter(from, to time.Duration) *Meter {
	return &Meter{
		from:     from,
		to:       to,
		setups:   hdrhistogram.New(1, maxRecordedMicros, precision),
		messages: hdrhistogram.New(1, maxRecordedMicros, precision),
	}
}

// isCollecting reports whether figures are collected at a time.
func (m *Meter) isCollecting(now time.Duration) bool { return now >= m.from && now <= m.to }

// Setup counts a set-up. took is the time for which its client has wanted a connection, including rejections and waits.
func (m *Meter) Setup(now, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isCollecting(now) {
		m.run.Setups++
		m.current.Setups++
		record(m.setups, took)
	}
}

// Message counts a message, which represents an interval of its connection: the interval counts as served if the response was in time.
// took is the time until the response, 0 if there was none.
func (m *Meter) Message(now, took, interval time.Duration, inTime bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isCollecting(now) {
		return
	}
	m.current.Requested += interval.Seconds()
	if inTime {
		m.current.Served += interval.Seconds()
	}
	if took > 0 {
		record(m.messages, took)
	}
}

// Reject counts a rejected session.
func (m *Meter) Reject(now time.Duration) { m.count(now, &m.run.Rejections, &m.current.Rejections) }

// Migrate counts a session that migrated.
func (m *Meter) Migrate(now time.Duration) { m.count(now, &m.run.Migrations, &m.current.Migrations) }

// Attempt counts an attempt to set up a session.
func (m *Meter) Attempt() { m.count(m.from, &m.run.Attempts, nil) }

// HealthCheck counts a health check.
func (m *Meter) HealthCheck() { m.count(m.from, &m.run.HealthChecks, nil) }

// MisbehavingClient counts a misbehaving client, and whether it got neither a response nor a close.
func (m *Meter) MisbehavingClient(unanswered bool) {
	m.count(m.from, &m.run.MisbehavingClients, nil)
	if unanswered {
		m.count(m.from, &m.run.UnansweredClients, nil)
	}
}

// count adds one to a figure of the run and, unless it is nil, to one of the current second.
func (m *Meter) count(now time.Duration, sum *int, second *float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isCollecting(now) {
		return
	}
	*sum++
	if second != nil {
		*second++
	}
}

// AddOpenSessions changes the number of established sessions by count, which may be negative.
func (m *Meter) AddOpenSessions(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open += count
}

// Tick records the state over the last interval: numbers of connections served and requested, and the utilization of the servers as
// LoadSummary returns it. A tick at a full second ends the current Point.
func (m *Meter) Tick(now, interval time.Duration, served, requested, worst, mean, spread float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := interval.Seconds()
	m.current.Served += served * seconds
	m.current.Requested += requested * seconds
	m.current.Worst += worst * seconds
	m.current.Mean += mean * seconds
	if m.isCollecting(now) {
		m.spread += spread
		m.ticks++
	}
	if now%time.Second != 0 {
		return
	}
	m.current.At = now.Seconds()
	m.current.Open = float64(m.open)
	m.points = append(m.points, m.current)
	m.current = Point{}
}

// Run returns the figures collected so far.
func (m *Meter) Run() Run {
	m.mu.Lock()
	defer m.mu.Unlock()
	run := m.run
	run.Series = m.points
	points := m.collectedPoints()
	run.Served = servedShare(points)
	run.Worst = worstShare(points)
	for _, p := range points {
		run.WorstLoad = max(run.WorstLoad, p.Worst)
	}
	if m.ticks > 0 {
		run.Spread = m.spread / m.ticks
	}
	run.SetupP50 = quantile(m.setups, 50)
	run.SetupP90 = quantile(m.setups, 90)
	run.SetupP99 = quantile(m.setups, 99)
	run.SetupMost = float64(m.setups.Max()) / 1000
	run.MessageP50 = quantile(m.messages, 50)
	run.MessageP99 = quantile(m.messages, 99)
	return run
}

// collectedPoints returns the seconds in which figures were collected.
func (m *Meter) collectedPoints() []Point {
	var collected []Point
	for _, p := range m.points {
		if p.At > m.from.Seconds() && p.At <= m.to.Seconds() {
			collected = append(collected, p)
		}
	}
	return collected
}

// servedShare returns the time served as a share of the time requested, 0 if none was requested.
func servedShare(points []Point) float64 {
	requested, served := 0.0, 0.0
	for _, p := range points {
		requested += p.Requested
		served += p.Served
	}
	if requested <= 0 {
		return 0
	}
	return min(1, served/requested)
}

// worstShare returns the smallest servedShare of any worstWindow, 1 if there are no points.
func worstShare(points []Point) float64 {
	worst := 1.0
	size := min(len(points), int(worstWindow/time.Second))
	for i := 0; size > 0 && i+size <= len(points); i++ {
		worst = min(worst, servedShare(points[i:i+size]))
	}
	return worst
}

// quantile returns a quantile, in percent, of a histogram of microseconds, in milliseconds.
func quantile(histogram *hdrhistogram.Histogram, q float64) float64 {
	return float64(histogram.ValueAtQuantile(q)) / 1000
}

// record adds a duration to a histogram of microseconds.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(1, d.Microseconds()), maxRecordedMicros)) // cannot fail: the value is within the histogram's range
}
