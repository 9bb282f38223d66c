// Package model owns what emulated servers can do: how load, warm-up, slowness and a shared store make set-ups and
// messages long, when a server is full and when it falls over. The same code answers on sockets and in virtual
// time. It must never read a clock, draw chance by itself or open a socket: times and draws are handed in.
package model

import (
	"math"
	"time"
)

// MachineType is one kind of machine.
type MachineType struct {
	Name            string
	Cores           int
	Speed           float64       // of a core; 1 is the yardstick
	SessionsPerCore int           // usual connections that fill one core of speed 1
	MaxSessions     int           // beyond it new sessions are rejected
	Setup           time.Duration // work of one set-up on a core of speed 1
	Message         time.Duration // a message on an idle server of speed 1
}

// Warmup says how servers start and what pushes a cold one over: more than Multiple of what it can take within
// any time of Within. It can take what fills it over a third of For, cut to its warmth.
type Warmup struct {
	Floor            float64 // share of the capacity at the start
	Window           time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

const (
	pushSlack = 3    // sends more than the budget, for chance
	fillPart  = 3    // so-many-th of the warm-up in which a server may fill
	busiest   = 0.97 // load over capacity beyond which only the pile grows
)

// Budget is how many connections within the window a cold server bears at a warmth.
func (w Warmup) Budget(fills, warmth float64) float64 {
	if w.Window <= 0 {
		return math.Inf(1)
	}
	return w.OverloadMultiple*fills*warmth*float64(w.OverloadWindow)/(float64(w.Window)/fillPart) + pushSlack
}

// Warmth of a process so long after its start.
func (w Warmup) Warmth(age time.Duration) float64 {
	if age >= w.Window {
		return 1
	}
	return w.Floor + (1-w.Floor)*max(0, float64(age)/float64(w.Window))
}

// Answer is what a server says to a first line.
type Answer uint8

// The answers to a first line.
const (
	Up Answer = iota
	Busy
	Err
	Overloaded // it was pushed over by this one, and stays down
)

// Server is one server's state. Its exported fields are set by the fault schedule.
type Server struct {
	Type       MachineType
	SlowFactor float64 // times slower than its machine; 1 is sound
	ErrorRate  float64 // share of set-ups that fail
	Full       bool    // rejects all new sessions
	Draining   bool
	GroupCost  float64 // usual loads that each group costs once

	warm    Warmup
	started time.Duration
	at      time.Duration // up to here all is accounted for
	load    float64       // of the connections held, groups included
	held    int
	groups  map[uint64]int
	piled   time.Duration // work that waits
	joins   []time.Duration
	fallen  bool
}

// New makes a server whose process started at a time; long before the run for one that is warm.
func New(k MachineType, w Warmup, started time.Duration) *Server {
	return &Server{Type: k, SlowFactor: 1, warm: w, started: started, groups: map[uint64]int{}}
}

// Capacity is how many usual connections fill it once it is warm and sound.
func (s *Server) Capacity() float64 {
	return float64(s.Type.Cores*s.Type.SessionsPerCore) * s.Type.Speed
}

// Warmth at a time.
func (s *Server) Warmth(now time.Duration) float64 { return s.warm.Warmth(now - s.started) }

// Sessions is how many connections it holds.
func (s *Server) Sessions() int { return s.held }

// Utilization is the load asked of it over what it can do now.
func (s *Server) Utilization(now time.Duration) float64 {
	return s.load / (s.Capacity() * s.Warmth(now) / s.SlowFactor)
}

// Backlog is how much work waits, in time, as of the newest account.
func (s *Server) Backlog() time.Duration { return s.piled }

// Advance accounts for the time up to now: work piles up over capacity and is worked off under it.
func (s *Server) Advance(now time.Duration) {
	if dt := now - s.at; dt > 0 {
		s.piled = max(0, s.piled+time.Duration((s.Utilization(now)-1)*float64(dt)))
		s.at = now
	}
}

// pace is how much longer work takes now than on an idle server of speed 1.
func (s *Server) pace(now time.Duration) float64 {
	return s.SlowFactor / s.Type.Speed / (1 - min(s.Utilization(now), busiest))
}

// Admit hands it a first line of a connection of a load and group, with a draw from [0, 1). It answers the verdict
// and how long until it says so, the store not counted. An Up counts as held from now on.
func (s *Server) Admit(now time.Duration, load float64, group uint64, draw float64) (Answer, time.Duration) {
	s.Advance(now)
	if s.fallen {
		return Overloaded, 0
	}
	if now-s.started < s.warm.Window && !s.Draining {
		for len(s.joins) > 0 && s.joins[0] <= now-s.warm.OverloadWindow {
			s.joins = s.joins[1:]
		}
		if s.joins = append(s.joins, now); float64(len(s.joins)) > s.warm.Budget(s.Capacity(), s.Warmth(now)) {
			s.fallen = true
			return Overloaded, 0
		}
	}
	switch {
	case s.Draining || s.Full || s.held >= s.Type.MaxSessions:
		return Busy, 0
	case draw < s.ErrorRate:
		return Err, 0
	}
	took := time.Duration(float64(s.Type.Setup)*s.pace(now)) + s.piled
	s.piled += time.Duration(float64(s.Type.Setup) * s.SlowFactor / s.Type.Speed / float64(s.Type.Cores) / s.Warmth(now))
	s.Join(load, group)
	return Up, took
}

// Join holds a connection that was open before the run.
func (s *Server) Join(load float64, group uint64) {
	if s.groups[group]++; s.groups[group] == 1 {
		s.load += s.GroupCost
	}
	s.load += load
	s.held++
}

// Leave ends a connection.
func (s *Server) Leave(now time.Duration, load float64, group uint64) {
	s.Advance(now)
	if s.groups[group]--; s.groups[group] <= 0 {
		delete(s.groups, group)
		s.load -= s.GroupCost
	}
	s.load = max(0, s.load-load)
	s.held--
}

// Message is how long a message takes now.
func (s *Server) Message(now time.Duration) time.Duration {
	s.Advance(now)
	return time.Duration(float64(s.Type.Message)*s.pace(now)) + s.piled
}

// Served is the share of messages answered within a goal now.
func (s *Server) Served(now, goal time.Duration) float64 {
	s.Advance(now)
	if s.fallen || s.piled >= goal {
		return 0
	}
	return 1 - math.Exp(-float64(goal-s.piled)/(float64(s.Type.Message)*s.pace(now)))
}

// Store is the one store that each set-up calls.
type Store struct {
	Rate   float64       // calls a second it can take; 0: there is no store
	Time   time.Duration // of one call
	Slow   float64       // times slower than usual
	Wait   time.Duration // the longest a call waits; then it fails
	freeAt time.Duration
}

// Call answers how long a call made now takes, and false when it fails, which takes as long as it waits.
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
