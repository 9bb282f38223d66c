package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// stall is a period in which a busy machine kept the test or a balancer from running.
type stall struct{ from, to time.Time }

// watchStalls records how late a sleeping goroutine wakes up: events in such a period may be late by as much because of the machine.
func (m *model) watchStalls(done <-chan struct{}) {
	const tick = 5 * time.Millisecond
	for {
		before := time.Now()
		select {
		case <-done:
			return
		case <-time.After(tick):
		}
		if time.Since(before) > 2*tick {
			m.mu.Lock()
			m.stalls = append(m.stalls, stall{before.Add(tick), time.Now()})
			m.mu.Unlock()
		}
	}
}

// longestStall returns the length of the longest stall of the test itself.
func (m *model) longestStall() time.Duration {
	longest := time.Duration(0)
	for _, s := range m.stalls {
		longest = max(longest, s.to.Sub(s.from))
	}
	return longest
}

// isLate reports whether the time between two events is longer than its bound plus soakSlack and an allowance for stalls. The allowance is the
// longest stall of the test that overlaps with that time, plus all such stalls of balancers. It is at most the longest stall of the test in
// the whole run.
func (m *model) isLate(from, to time.Time, bound time.Duration) bool {
	if to.Sub(from) <= bound+soakSlack {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	allowance := time.Duration(0)
	for _, s := range m.stalls {
		if s.overlaps(from, to) {
			allowance = max(allowance, s.to.Sub(s.from))
		}
	}
	for _, s := range m.balancerStalls {
		if s.overlaps(from, to) {
			allowance += s.to.Sub(s.from)
		}
	}
	return to.Sub(from) > bound+soakSlack+min(allowance, m.longestStall())
}

// wasStalledBefore reports whether, in the second before a time, the test and so its servers stalled for longer than the balancer waits for
// lines in flight.
func (m *model) wasStalledBefore(at time.Time) bool {
	const (
		minStall = 300 * time.Millisecond
		before   = time.Second
	)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		if s.to.Sub(s.from) > minStall && s.overlaps(at.Add(-before), at) {
			return true
		}
	}
	return false
}

func (s stall) overlaps(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

// watchProcess records a stall for each interval of 25 ms in which a thread of a balancer waited more than 5 ms for a processor. The stall is
// as long as the longest wait of a thread.
func (m *model) watchProcess(pid func() int, done <-chan struct{}) {
	const (
		tick     = 25 * time.Millisecond
		minStall = 5 * time.Millisecond
	)
	var before map[string]time.Duration
	for {
		after := runDelays(pid())
		waited := time.Duration(0)
		for thread, delay := range after {
			if earlier, found := before[thread]; found {
				waited = max(waited, delay-earlier)
			}
		}
		before = after
		if waited > minStall {
			now := time.Now()
			m.mu.Lock()
			m.balancerStalls = append(m.balancerStalls, stall{now.Add(-waited), now})
			m.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(tick):
		}
	}
}

// runDelays returns the total time that each thread of a process has waited for a processor, by the path of its schedstat file.
func runDelays(pid int) map[string]time.Duration {
	delays := map[string]time.Duration{}
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // fails only on a malformed pattern
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has just ended
		}
		var running, waiting int64
		if _, err := fmt.Sscan(string(text), &running, &waiting); err == nil {
			delays[thread] = time.Duration(waiting)
		}
	}
	return delays
}
