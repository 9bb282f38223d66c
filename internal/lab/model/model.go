// Package model models the behavior of emulated servers: how load, warm-up, slowness and a shared store delay set-ups and messages, and when
// a server is full or overloaded. The same code runs on sockets and in virtual time. It must never read a clock, draw random numbers or
// open a socket: times and draws are arguments.
package model

import (
	"math"
	"time"
)

// MachineType is the capacity of a type of machine.
type MachineType struct {
	Name            string
	Cores           int
	Speed           float64       // speed of a core, relative to a reference core
	SessionsPerCore int           // connections of load 1 that fill a core of speed 1
	MaxSessions     int           // number of sessions at which further ones are rejected
	Setup           time.Duration // work of one set-up on a core of speed 1
	Message         time.Duration // time of a message on an idle server of speed 1
}

// Warmup configures how servers warm up, and what overloads a cold one: more new sessions within OverloadWindow than OverloadMultiple
// times what it can accept. It can accept the sessions that would fill it in a third of Window, times its warmth.
type Warmup struct {
	Floor            float64       // share of the capacity at the start of the process
	Window           time.Duration // duration of the warm-up
	OverloadMultiple float64       // multiple of the acceptable new sessions above which a cold server is overloaded
	OverloadWindow   time.Duration // time over which new sessions are counted for OverloadMultiple
}

const (
	budgetSlack    = 3    // sessions added to the budget, so that the randomness of arrivals does not overload a server
	fillDivisor    = 3    // divisor of Window: the budget allows a cold server to fill in that time
	maxUtilization = 0.97 // utilization above which the slowdown is constant and only the backlog grows
)

// Budget returns the number of new sessions within OverloadWindow that a cold server of a capacity accepts at a warmth.
func (w Warmup) Budget(capacity, warmth float64) float64 {
	if w.Window <= 0 {
		return math.Inf(1)
	}
	return w.OverloadMultiple*capacity*warmth*float64(w.OverloadWindow)/(float64(w.Window)/fillDivisor) + budgetSlack
}

// Warmth returns the share of its capacity that a process has at an age.
func (w Warmup) Warmth(age time.Duration) float64 {
	if age >= w.Window {
		return 1
	}
	return w.Floor + (1-w.Floor)*max(0, float64(age)/float64(w.Window))
}

// Answer is a server's response to the first line of a session.
type Answer uint8

// The answers to a first line.
const (
	Up Answer = iota
	Busy
	Err
	Overloaded // the server is overloaded, by this session or an earlier one, and stays down
)

// Server is the state of one server. Faults change its exported fields.
type Server struct {
	Type       MachineType
	SlowFactor float64 // factor by which the server is slower than its machine type; 1 without a fault
	ErrorRate  float64 // share of set-ups that fail
	Full       bool    // rejects all new sessions
	Draining   bool    // rejects all new sessions, which do not overload it
	GroupCost  float64 // load of each group, in addition to that of its sessions

	warmup         Warmup
	started        time.Duration   // start of the process
	advancedTo     time.Duration   // time of the last Advance
	load           float64         // load of the sessions and groups
	sessions       int             // established sessions
	groups         map[uint64]int  // established sessions by group
	backlog        time.Duration   // time that the waiting work takes
	recentSessions []time.Duration // times of the new sessions within OverloadWindow
	overloaded     bool
}

// New returns a server whose process started at a time; for a warm server, long before the run.
func New(machineType MachineType, warmup Warmup, started time.Duration) *Server {
	return &Server{Type: machineType, SlowFactor: 1, warmup: warmup, started: started, groups: map[uint64]int{}}
}

// Capacity returns the number of connections of load 1 that fill the server when it is warm and without fault.
func (s *Server) Capacity() float64 {
	return float64(s.Type.Cores*s.Type.SessionsPerCore) * s.Type.Speed
}

// Warmth returns the share of its capacity that the server has at a time.
func (s *Server) Warmth(now time.Duration) float64 { return s.warmup.Warmth(now - s.started) }

// Sessions returns the number of established sessions.
func (s *Server) Sessions() int { return s.sessions }

// Utilization returns the load divided by the capacity at a time.
func (s *Server) Utilization(now time.Duration) float64 {
	return s.load / (s.Capacity() * s.Warmth(now) / s.SlowFactor)
}

// Backlog returns the time that the waiting work took at the last Advance.
func (s *Server) Backlog() time.Duration { return s.backlog }

// Advance advances the server to a time: the backlog grows while the load is above the capacity, and shrinks below it.
func (s *Server) Advance(now time.Duration) {
	if elapsed := now - s.advancedTo; elapsed > 0 {
		s.backlog = max(0, s.backlog+time.Duration((s.Utilization(now)-1)*float64(elapsed)))
		s.advancedTo = now
	}
}

// slowdown returns the factor by which work takes longer than on an idle server of speed 1.
func (s *Server) slowdown(now time.Duration) float64 {
	return s.SlowFactor / s.Type.Speed / (1 - min(s.Utilization(now), maxUtilization))
}

// Admit handles the first line of a session with a load and a group; draw is a random number from [0, 1). It returns the answer and the
// time until it is sent, without the time of the store. Up establishes the session.
func (s *Server) Admit(now time.Duration, load float64, group uint64, draw float64) (Answer, time.Duration) {
	s.Advance(now)
	if s.overloaded {
		return Overloaded, 0
	}
	if now-s.started < s.warmup.Window && !s.Draining {
		s.addRecentSession(now)
		if float64(len(s.recentSessions)) > s.warmup.Budget(s.Capacity(), s.Warmth(now)) {
			s.overloaded = true
			return Overloaded, 0
		}
	}
	switch {
	case s.Draining || s.Full || s.sessions >= s.Type.MaxSessions:
		return Busy, 0
	case draw < s.ErrorRate:
		return Err, 0
	}
	delay := time.Duration(float64(s.Type.Setup)*s.slowdown(now)) + s.backlog
	s.backlog += time.Duration(float64(s.Type.Setup) * s.SlowFactor / s.Type.Speed / float64(s.Type.Cores) / s.Warmth(now))
	s.Join(load, group)
	return Up, delay
}

// addRecentSession adds a new session to those within the overload window.
func (s *Server) addRecentSession(now time.Duration) {
	for len(s.recentSessions) > 0 && s.recentSessions[0] <= now-s.warmup.OverloadWindow {
		s.recentSessions = s.recentSessions[1:]
	}
	s.recentSessions = append(s.recentSessions, now)
}

// Join establishes a session without the work of a set-up, as if it was open before the run.
func (s *Server) Join(load float64, group uint64) {
	s.groups[group]++
	if s.groups[group] == 1 {
		s.load += s.GroupCost
	}
	s.load += load
	s.sessions++
}

// Leave ends a session.
func (s *Server) Leave(now time.Duration, load float64, group uint64) {
	s.Advance(now)
	s.groups[group]--
	if s.groups[group] <= 0 {
		delete(s.groups, group)
		s.load -= s.GroupCost
	}
	s.load = max(0, s.load-load)
	s.sessions--
}

// Message returns the time that a message takes.
func (s *Server) Message(now time.Duration) time.Duration {
	s.Advance(now)
	return time.Duration(float64(s.Type.Message)*s.slowdown(now)) + s.backlog
}

// Served returns the share of messages with a response within an objective.
func (s *Server) Served(now, objective time.Duration) float64 {
	s.Advance(now)
	if s.overloaded || s.backlog >= objective {
		return 0
	}
	return 1 - math.Exp(-float64(objective-s.backlog)/(float64(s.Type.Message)*s.slowdown(now)))
}

// Store is the store that each set-up calls.
type Store struct {
	Rate   float64       // calls per second; 0: there is no store
	Time   time.Duration // duration of one call
	Slow   float64       // factor by which the store is slower; less than 1 counts as 1
	Wait   time.Duration // timeout of a call in the queue; 0: none
	freeAt time.Duration // time at which all calls so far have left the queue
}

// Call returns the time that a call takes, and whether it succeeds.
func (s *Store) Call(now time.Duration) (time.Duration, bool) {
	if s == nil || s.Rate <= 0 {
		return 0, true
	}
	slow := max(s.Slow, 1)
	start := max(now, s.freeAt)
	if s.Wait > 0 && start-now > s.Wait {
		return s.Wait, false
	}
	s.freeAt = start + time.Duration(slow/s.Rate*float64(time.Second))
	return start - now + time.Duration(slow*float64(s.Time)), true
}
