// Package simulation owns worlds in virtual time: hundreds to thousands of balancers of one policy, the model servers,
// clients and the list, in one goroutine, by a seed. The same seed gives the same events, byte for byte. It must
// never use the wall clock, a goroutine or the order of a map.
package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/eventqueue"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/model"
	"sabletally/internal/lab/report"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

const (
	tick      = 250 * time.Millisecond // how often figures are taken and models are looked at
	noteEach  = time.Second            // how often slow messages are noted
	notedOver = 3                      // where they take over so-many-th of the goal
	silentFor = 5 * time.Second        // a silent server's connections are moved after it, as the balancer on sockets does
	shedPart  = 20                     // so-many-th of its connections a server drops each tick while too much is piled up
	leaveFrom = 400 * time.Millisecond // as on sockets: from then on
	leaveBy   = 2200 * time.Millisecond
	slack     = 5 * time.Millisecond // an end and the next try may overtake each other on their ways by so much
	evMost    = 40 << 20             // events of a run
)

// machine is a server in the run.
type machine struct {
	*model.Server
	num     int
	id      policy.EndpointID
	zone    int
	cell    int
	listed  bool
	state   policy.EndpointState
	started time.Duration
	down    bool // refuses
	silent  bool
	conns   []*session    // that it holds or is setting up
	open    int           // of these, served
	heldBy  map[int32]int // by balancer
	noted   map[int32]bool
}

// node is one balancer's life, from its start to its end.
type node struct {
	num    int32
	zone   int
	d      baseline.Decider
	start  time.Duration
	alive  bool
	leaves bool
	wakeAt time.Duration
	conns  map[policy.SessionID]*conn
	last   policy.SessionID
	list   []policy.Endpoint // as it was told, by server
	known  []bool
}

type stage uint8

const (
	asking stage = iota // no answer yet, no try out
	out                 // a try is out
	open
	over
)

// conn is one connection of a client, and one circuit.
type conn struct {
	wire  uint64
	id    policy.SessionID
	p     *person
	n     *node
	m     *machine // of the newest try
	held  *session // there, from its line on
	stage stage
	try   int
	turn  int
	calls time.Duration // when the newest try was decided
}

// session is a server's side of a try, from the line on until the server sees its end.
type session struct {
	c      *conn
	m      *machine
	slot   int // in m.conns, -1 once it is over there
	served bool
}

// person is one client.
type person struct {
	load.Client
	conn     *conn
	failures int
	since    time.Duration
}

type world struct {
	topology.World
	policy    string
	now       time.Duration
	queue     eventqueue.Queue
	rng       *rand.Rand
	nodes     []*node
	machines  []*machine
	byID      map[policy.EndpointID]int
	people    []*person
	log       *history.Log
	ids       uint64
	reach     bool          // of the list
	late      time.Duration // by which it comes later
	waits     []func()      // what the list could not say
	meter     *report.Meter
	wanting   int
	loads     []float64              // scratch of tick
	groupAt   map[uint64]map[int]int // by group and server
	nodeSeeds *rand.Rand
}

// Run runs a world to its end.
func Run(w topology.World, name string, seed uint64) (report.Run, []history.Event, checker.Verdict, error) {
	s := &world{World: w, policy: name, rng: rand.New(rand.NewPCG(seed, 0x3071d)), nodeSeeds: rand.New(rand.NewPCG(seed, 0x5eed)),
		byID: map[policy.EndpointID]int{}, log: history.New(evMost), reach: true, groupAt: map[uint64]map[int]int{}}
	s.Deployment.Balancers = w.Balancers
	steps, _, err := faults.Expand(w.Faults, len(w.Machines), w.Balancers, seed)
	if err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	if _, err := baseline.New(name, &s.Deployment, 1); err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	end := w.Load.Length
	s.meter = report.NewMeter(w.Load.Fill, end)
	for i, m := range w.Machines {
		s.machine(m, i, -time.Hour)
	}
	for n := range w.Balancers {
		s.nodes = append(s.nodes, nil)
		s.begin(n)
	}
	for _, p := range load.Generate(w.Load, seed) {
		p := &person{Client: p, since: p.At}
		s.people = append(s.people, p)
		s.at(p.At, func() {
			s.wanting++
			s.come(p)
		})
		s.at(p.Until, func() { s.done(p) })
	}
	for _, st := range steps {
		s.at(st.At, func() { s.step(st) })
	}
	for at := tick; at <= end; at += tick {
		s.at(at, s.tick)
	}
	for at := noteEach; at <= end; at += noteEach {
		s.at(at, s.notes)
	}
	for at, ok := s.queue.NextAt(); ok && at <= end; at, ok = s.queue.NextAt() {
		var action func()
		s.now, action = s.queue.Next()
		action()
	}
	s.now = end
	run := s.meter.Run()
	run.Arm, run.Seed = name, seed
	for _, at := range s.groupAt {
		run.Groups++
		run.GroupServers += len(at)
	}
	events := s.log.Events()
	places := make([]checker.Place, len(s.machines))
	for i, m := range s.machines {
		places[i] = checker.Place{Zone: m.zone, Cell: m.cell}
	}
	v := checker.Check(w.Rules(slack, places), events, s.log.Lost(), end)
	run.SetVerdict(v)
	return run, events, v, nil
}

func (s *world) at(at time.Duration, do func()) {
	s.queue.Schedule(max(at, s.now), do)
}

func (s *world) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *world) note(e history.Event) {
	e.At = s.now
	s.log.Add(e)
}

func (s *world) between(r [2]time.Duration) time.Duration {
	return r[0] + time.Duration(s.rng.Float64()*float64(r[1]-r[0]))
}

// ---- Servers and the list.

// machine adds a server whose process started at a time.
func (s *world) machine(m topology.Machine, num int, started time.Duration) *machine {
	id := policy.EndpointID(uint64(num+1) * 0x9e3779b97f4a7c15)
	sv := &machine{Server: model.New(m.Type, s.Warmup, started), num: num, id: id, zone: m.Zone, cell: m.FailureDomain,
		started: started, listed: true, heldBy: map[int32]int{}, noted: map[int32]bool{}}
	sv.GroupCost = s.GroupCost
	s.byID[id] = num
	s.machines = append(s.machines, sv)
	s.startedNote(sv)
	return sv
}

func (s *world) startedNote(m *machine) {
	how := "warm"
	if s.now-m.started < s.Warmup.For {
		how = "cold"
	}
	s.note(history.Event{Kind: history.Started, Server: int32(m.num), Balancer: -1, N: m.Capacity(), Text: how})
}

// line is what the list says of a server, to a balancer.
func (s *world) line(m *machine, n *node) policy.Endpoint {
	l := policy.Endpoint{ID: m.id, Zone: m.zone, FailureDomain: m.cell, State: m.state, Weight: float64(m.Type.Cores) * m.Type.Speed,
		StartedAt: m.started - n.start}
	if m.started < 0 {
		l.StartedAt = policy.StartedLongAgo
	}
	if !m.listed {
		l.State = policy.Removed
	}
	return l
}

var stateNames = map[policy.EndpointState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// tell has a balancer take lines of the list.
func (s *world) tell(n *node, lines []policy.Endpoint, whole bool) {
	for _, l := range lines {
		i := s.byID[l.ID]
		for len(n.list) <= i {
			n.list, n.known = append(n.list, policy.Endpoint{}), append(n.known, false)
		}
		n.list[i], n.known[i] = l, true
		s.note(history.Event{Kind: history.Notified, Balancer: n.num, Server: int32(i), Text: stateNames[l.State]})
	}
	n.d.AdvanceClock(s.now - n.start)
	n.d.UpdateEndpoints(lines, whole)
	s.pump(n)
}

// changed has the list tell all balancers of a server, each in its time.
func (s *world) changed(m *machine, wait [2]time.Duration) {
	if !s.reach {
		s.waits = append(s.waits, func() { s.changed(m, wait) })
		return
	}
	for _, n := range s.nodes {
		s.after(s.between(wait)+s.late, func() {
			if n := s.nodes[n.num]; n.alive {
				s.tell(n, []policy.Endpoint{s.line(m, n)}, false)
			}
		})
	}
}

// end cuts what a server holds.
func (s *world) end(m *machine) {
	for len(m.conns) > 0 {
		s.cut(m.conns[len(m.conns)-1], policy.Reset)
	}
}

// cut ends a session from its server's side.
func (s *world) cut(h *session, how policy.Outcome) {
	c, m := h.c, h.m
	s.drop(h)
	s.note(history.Event{Kind: history.AttemptEnded, Session: c.wire, Server: int32(m.num), Text: "server"})
	s.after(s.way(c.n, m), func() { // behind an UP that is on its way
		if c.held == h && c.n.alive && (c.stage == out || c.stage == open) {
			s.tryEnded(c, how)
		}
	})
}

// drop takes a session off its server's table.
func (s *world) drop(h *session) {
	if h.slot < 0 {
		return
	}
	c, m := h.c, h.m
	last := m.conns[len(m.conns)-1]
	m.conns[h.slot], last.slot = last, h.slot
	m.conns = m.conns[:len(m.conns)-1]
	h.slot = -1
	m.Leave(s.now, c.p.Load, c.p.Group)
	if m.heldBy[c.n.num]--; m.heldBy[c.n.num] == 0 {
		delete(m.heldBy, c.n.num)
	}
	if at := s.groupAt[c.p.Group]; at != nil {
		if at[m.num]--; at[m.num] <= 0 {
			delete(at, m.num)
		}
	}
	s.unserved(h)
}

// unserved takes a session out of those whose clients are served.
func (s *world) unserved(h *session) {
	if h.served {
		h.served = false
		h.m.open--
		s.meter.Open(-1)
	}
}

func (s *world) way(n *node, m *machine) time.Duration {
	d := s.Near
	if n.zone != m.zone {
		d = s.Cross
	}
	return d
}

// step carries out one step of the timetable.
func (s *world) step(st faults.Step) {
	var m *machine
	if st.Target < len(s.machines) {
		m = s.machines[st.Target]
	} else if st.OnServer() && st.Action != faults.Start {
		return // it has not started yet
	}
	switch st.Action {
	case faults.Start:
		old := s.machines[st.Of]
		s.changed(s.machine(topology.Machine{Type: old.Type, Zone: old.zone, FailureDomain: old.cell}, len(s.machines), s.now), s.Notice)
	case faults.BeginDrain:
		m.state, m.Draining = policy.Draining, true
		s.changed(m, s.Notice)
		if s.SendsAway {
			s.sendAway(m, s.now+st.For)
		}
	case faults.Stop:
		m.state, m.down = policy.Removed, true
		s.note(history.Event{Kind: history.Stopped, Server: int32(m.num), Balancer: -1, Text: "stop"})
		s.end(m)
		s.changed(m, s.Notice)
	case faults.Die:
		m.down = true
		s.note(history.Event{Kind: history.Stopped, Server: int32(m.num), Balancer: -1, Text: "crash"})
		s.end(m)
		m.state = policy.Removed
		s.changed(m, s.Silent)
	case faults.Revive:
		s.revive(m)
	case faults.Silence:
		m.silent = true
		s.note(history.Event{Kind: history.Stopped, Server: int32(m.num), Balancer: -1, Text: "vanish"})
		for _, h := range m.conns {
			c := h.c
			turn := c.turn
			if c.held == h && c.stage == open {
				s.after(silentFor+time.Duration(s.rng.Float64()*2)*time.Second, func() {
					if c.turn == turn && c.stage == open && m.silent {
						s.move(c, policy.Reset)
					}
				})
			}
		}
	case faults.Speak:
		m.silent = false
		s.note(history.Event{Kind: history.Started, Server: int32(m.num), Balancer: -1, N: m.Capacity(), Text: "warm"})
	case faults.SetSlow:
		m.Advance(s.now)
		m.Slow = st.Figure
	case faults.SetErrors:
		m.ErrorRate = st.Figure
	case faults.SetFull:
		m.Full = st.Figure > 0
	case faults.SetStore:
		s.Store.Slow = st.Figure
	case faults.SetDiscovery:
		if s.reach = st.Figure > 0; s.reach {
			waits := s.waits
			s.waits = nil
			for _, do := range waits {
				do()
			}
		}
	case faults.SetLate:
		s.late = st.For
	case faults.Hide:
		m.listed = false
		s.changed(m, s.Notice)
	case faults.Show:
		m.listed = true
		s.changed(m, s.Notice)
	case faults.DropClients:
		for _, p := range s.people {
			if p.conn != nil && p.conn.stage == open && s.rng.Float64() < st.Figure {
				c := p.conn
				s.after(time.Duration(s.rng.Float64()*float64(st.For)), func() {
					if p.conn == c && c.stage == open {
						s.leave(p)
						s.again(p, load.Dropped, 0)
					}
				})
			}
		}
	case faults.KillBalancer:
		s.kill(s.nodes[st.Target], "outright")
	case faults.StartBalancer:
		s.begin(st.Target)
	case faults.LeaveBalancer:
		n := s.nodes[st.Target]
		if !n.alive {
			return
		}
		n.leaves = true
		n.d.AdvanceClock(s.now - n.start)
		n.d.StartDraining(s.now-n.start+leaveFrom, s.now-n.start+leaveBy)
		s.pump(n)
		s.after(leaveBy+700*time.Millisecond, func() {
			if s.nodes[st.Target] == n {
				s.kill(n, "planned")
				s.begin(st.Target)
			}
		})
	}
}

// revive starts a server's process anew.
func (s *world) revive(m *machine) {
	old := m.Server
	m.Server = model.New(old.Type, s.Warmup, s.now)
	m.GroupCost, m.started, m.down, m.state = s.GroupCost, s.now, false, policy.Ready
	s.startedNote(m)
	s.changed(m, s.Notice)
}

// sendAway has a draining server send an even part of its clients away each tick.
func (s *world) sendAway(m *machine, by time.Duration) {
	if m.down || m.silent {
		return
	}
	rounds := max(1, int((by-s.now)/tick))
	for range (len(m.conns) + rounds - 1) / rounds {
		for _, h := range m.conns {
			if h.served {
				s.cut(h, policy.Cancelled)
				break
			}
		}
	}
	if s.now+tick < by {
		s.after(tick, func() { s.sendAway(m, by) })
	}
}

// ---- Balancers.

func (s *world) begin(num int) {
	old := s.nodes[num]
	n := &node{num: int32(num), zone: num % max(s.Zones, 1), start: s.now, alive: true, wakeAt: -1, conns: map[policy.SessionID]*conn{}}
	dep := s.Deployment
	dep.Zone = n.zone
	n.d, _ = baseline.New(s.policy, &dep, s.nodeSeeds.Uint64()) // its name was looked at before the run
	s.nodes[num] = n
	s.note(history.Event{Kind: history.BalancerStarted, Balancer: n.num, Server: -1})
	var lines []policy.Endpoint
	for i, m := range s.machines {
		l := s.line(m, n)
		if old != nil && i < len(old.known) && old.known[i] { // with what it knew last
			l = old.list[i]
			if l.StartedAt != policy.StartedLongAgo {
				l.StartedAt += old.start - n.start
			}
		} else if old != nil {
			continue
		}
		lines = append(lines, l)
	}
	s.tell(n, lines, true)
	if old != nil { // the list's word comes to a new start as to any other
		s.whole(n)
	}
}

// whole tells a balancer the whole list as it stands, once it is in reach.
func (s *world) whole(n *node) {
	if !s.reach {
		s.waits = append(s.waits, func() { s.whole(n) })
		return
	}
	s.after(s.late, func() {
		if !n.alive {
			return
		}
		var lines []policy.Endpoint
		for _, m := range s.machines {
			lines = append(lines, s.line(m, n))
		}
		s.tell(n, lines, true)
	})
}

// kill ends a balancer, and with it all that it holds.
func (s *world) kill(n *node, how string) {
	if !n.alive {
		return
	}
	n.alive = false
	s.note(history.Event{Kind: history.BalancerKilled, Balancer: n.num, Server: -1, Text: how})
	ids := make([]policy.SessionID, 0, len(n.conns))
	for id := range n.conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := n.conns[id]
		s.free(c)
		s.gone(c, load.Broken)
	}
	clear(n.conns)
}

// pump carries out what a balancer decides.
func (s *world) pump(n *node) {
	n.d.AdvanceClock(s.now - n.start)
	for {
		d, ok := n.d.Next()
		if !ok {
			break
		}
		s.carryOut(n, d)
	}
	at, ok := n.d.NextWakeup()
	if at += n.start; !ok || at > s.Load.Length || n.wakeAt > s.now && n.wakeAt <= at {
		return
	}
	at = max(at, s.now+time.Microsecond)
	n.wakeAt = at
	s.at(at, func() {
		if n.alive && n.wakeAt == at {
			s.pump(n)
		}
	})
}

func (s *world) carryOut(n *node, d policy.Decision) {
	if d.Action == policy.HealthCheck {
		s.probe(n, s.machines[s.byID[d.Endpoint]])
		return
	}
	c := n.conns[d.Session]
	if c == nil || c.stage == over {
		return
	}
	switch d.Action {
	case policy.StartAttempt:
		s.try(c, s.machines[s.byID[d.Endpoint]], d.Duration)
	case policy.Reject:
		s.meter.Reject(s.now)
		s.refuse(c, "busy", load.Rejected, d.Duration)
	case policy.Fail:
		s.refuse(c, "err", load.Failed, 0)
	case policy.Migrate:
		if c.stage == open {
			s.move(c, policy.Cancelled)
		}
	}
}

// refuse gives a circuit a final answer that is no UP.
func (s *world) refuse(c *conn, text string, how load.Ending, advice time.Duration) {
	s.forget(c)
	s.after(s.Client, func() {
		if c.p.conn != c {
			return
		}
		s.note(history.Event{Kind: history.Answered, Session: c.wire, Balancer: c.n.num, Text: text})
		s.again(c.p, how, advice)
	})
}

func (s *world) forget(c *conn) {
	c.stage = over
	c.turn++
	delete(c.n.conns, c.id)
}

// free has a circuit's server see its end, if one holds it.
func (s *world) free(c *conn) {
	h := c.held
	if c.held = nil; h == nil || h.slot < 0 {
		return
	}
	s.unserved(h)
	s.after(s.way(c.n, h.m), func() {
		if h.slot >= 0 {
			s.drop(h)
			s.note(history.Event{Kind: history.AttemptEnded, Session: c.wire, Server: int32(h.m.num), Text: "peer"})
		}
	})
}

// move sends a client away.
func (s *world) move(c *conn, how policy.Outcome) {
	s.meter.Move(s.now)
	id, try, n := c.id, c.try-1, c.n
	s.forget(c)
	s.free(c)
	s.after(s.Client, func() {
		if c.p.conn == c {
			s.note(history.Event{Kind: history.Moved, Session: c.wire})
			s.note(history.Event{Kind: history.Ended, Session: c.wire})
			s.again(c.p, load.Moved, 0)
		}
	})
	n.d.AdvanceClock(s.now - n.start)
	n.d.AttemptEnded(id, try, true, how)
	s.pump(n)
}

// try starts a setup try; on its way it is nowhere until its line is at the server.
func (s *world) try(c *conn, m *machine, within time.Duration) {
	s.meter.Attempt()
	c.try++
	c.turn++
	c.stage, c.calls, c.m, c.held = out, s.now, m, nil
	turn, n := c.turn, c.n
	live := func() bool { return c.turn == turn && n.alive && c.stage == out }
	s.after(within, func() {
		if live() {
			s.tryEnded(c, policy.TimedOut)
		}
	})
	way := s.way(n, m)
	switch {
	case m.silent:
		s.after(s.ConnectWithin, func() {
			if live() {
				s.tryEnded(c, policy.ConnectFailed)
			}
		})
		return
	case m.down:
		s.after(2*way, func() {
			if live() {
				s.tryEnded(c, policy.ConnectFailed)
			}
		})
		return
	}
	s.after(2*way, func() { // connected
		if !live() {
			return
		}
		if n.list[m.num].State != policy.Ready { // the list has changed while the dial was out
			s.tryEnded(c, policy.NeverSent)
			return
		}
		s.after(way, func() {
			if live() {
				s.arrived(c, m)
			}
		})
	})
}

// arrived has a server read a first line.
func (s *world) arrived(c *conn, m *machine) {
	turn, way := c.turn, s.way(c.n, m)
	back := func(d time.Duration, how policy.Outcome) {
		s.after(d+way, func() {
			if c.turn == turn && c.n.alive && c.stage == out {
				s.tryEnded(c, how)
			}
		})
	}
	if m.down {
		back(0, policy.Reset)
		return
	}
	if m.silent { // it reads nothing
		return
	}
	s.note(history.Event{Kind: history.AttemptReceived, Session: c.wire, Server: int32(m.num), Balancer: c.n.num, Grade: int16(c.p.Grade)})
	verdict, took := m.Ask(s.now, c.p.Load, c.p.Group, s.rng.Float64())
	finish := func(text string, how policy.Outcome, d time.Duration) {
		s.note(history.Event{Kind: history.AttemptEnded, Session: c.wire, Server: int32(m.num), Text: text})
		back(d, how)
	}
	switch verdict {
	case model.Overloaded:
		if !m.down {
			m.down = true
			s.note(history.Event{Kind: history.Overloaded, Session: c.wire, Server: int32(m.num)})
			s.end(m)
		}
		finish("server", policy.Reset, 0)
		return
	case model.Busy:
		finish("refused", policy.Rejected, 0)
		return
	case model.Err:
		finish("failed", policy.Failed, m.Type.Setup)
		return
	}
	// It is held from here on, until somebody ends it.
	h := &session{c: c, m: m, slot: len(m.conns)}
	c.held = h
	m.conns = append(m.conns, h)
	m.heldBy[c.n.num]++
	if c.p.Group > 0 {
		if s.groupAt[c.p.Group] == nil {
			s.groupAt[c.p.Group] = map[int]int{}
		}
		s.groupAt[c.p.Group][m.num]++
	}
	wait, sound := s.Store.Call(s.now)
	receipt := float64(c.wire)
	s.after(took+wait, func() {
		if h.slot < 0 || m.silent {
			return
		}
		if !sound {
			s.drop(h)
			finish("failed", policy.Failed, 0)
			return
		}
		s.note(history.Event{Kind: history.Ran, Session: c.wire, Server: int32(m.num), N: receipt})
		s.after(way, func() {
			if c.turn == turn && c.n.alive && c.stage == out {
				s.stands(c, receipt)
			}
		})
	})
}

// stands tells that a circuit stands.
func (s *world) stands(c *conn, receipt float64) {
	n := c.n
	c.turn++
	c.stage = open
	turn := c.turn
	n.d.AdvanceClock(s.now - n.start)
	n.d.AttemptEstablished(c.id, c.try-1, s.now-c.calls)
	n.d.RecordLoad(c.id, c.try-1, s.usual(c))
	s.after(s.Client, func() {
		if c.p.conn != c {
			return
		}
		s.note(history.Event{Kind: history.Answered, Session: c.wire, Balancer: n.num, Text: "up", N: receipt})
		s.meter.Setup(s.now, s.now-c.p.since)
		c.p.failures = 0
		if h := c.held; c.turn == turn && h != nil && h.slot >= 0 {
			h.served = true
			h.m.open++
			s.meter.Open(1)
		}
	})
	s.pump(n)
}

// usual is a connection's load as servers tell it: microseconds of work a second.
func (s *world) usual(c *conn) float64 { return c.p.Load * 1e6 / float64(c.m.Type.Fills) }

// tryEnded ends a setup try, or the circuit that it set up.
func (s *world) tryEnded(c *conn, how policy.Outcome) {
	n, id, try, stood := c.n, c.id, c.try-1, c.stage == open
	s.free(c)
	n.d.AdvanceClock(s.now - n.start)
	if stood {
		s.forget(c)
		sent := how == policy.Cancelled // by its server
		s.after(s.Client, func() {
			if c.p.conn != c {
				return
			}
			if sent {
				s.note(history.Event{Kind: history.Moved, Session: c.wire})
			}
			s.note(history.Event{Kind: history.Ended, Session: c.wire})
			if sent {
				s.again(c.p, load.Moved, 0)
			} else {
				s.again(c.p, load.Broken, 0)
			}
		})
	} else {
		c.turn++
		c.stage = asking
	}
	n.d.AttemptEnded(id, try, stood, how)
	s.pump(n)
}

// probe asks a server whether it answers, and for its load.
func (s *world) probe(n *node, m *machine) {
	s.meter.Probe()
	way := s.way(n, m)
	tell := func(how policy.Outcome, r policy.LoadReport) {
		if n.alive {
			n.d.AdvanceClock(s.now - n.start)
			n.d.HealthCheckEnded(m.id, how)
			n.d.RecordLoadReport(m.id, r)
			s.pump(n)
		}
	}
	switch {
	case m.silent:
		s.after(s.ConnectWithin, func() { tell(policy.ConnectFailed, policy.NoLoadReport) })
	case m.down:
		s.after(2*way, func() { tell(policy.ConnectFailed, policy.NoLoadReport) })
	default:
		s.after(3*way, func() {
			m.Advance(s.now)
			r := policy.NoLoadReport
			if s.Deployment.HasLoadReports {
				r.Demand, r.Backlog = m.Utilization(s.now)*(0.95+0.1*s.rng.Float64()), m.Backlog().Seconds()
			}
			s.after(way, func() { tell(policy.Succeeded, r) })
		})
	}
}

// ---- Clients.

// come has a client ask a balancer of its choice.
func (s *world) come(p *person) {
	if s.now >= p.Until {
		return
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	for range 5 {
		if n.alive && !n.leaves {
			break
		}
		n = s.nodes[s.rng.IntN(len(s.nodes))]
	}
	if !n.alive {
		s.again(p, load.Failed, 0)
		return
	}
	s.ids++
	c := &conn{wire: s.ids, p: p, n: n}
	p.conn = c
	limit := s.OuterLimits[p.Grade]
	s.note(history.Event{Kind: history.Taken, Session: c.wire, Balancer: n.num, Grade: int16(p.Grade), Len: limit})
	s.after(limit, func() { // the client gives up by itself
		if p.conn == c && c.stage < open {
			s.leave(p)
			s.again(p, load.Failed, 0)
		}
	})
	s.after(s.Client, func() {
		if p.conn != c || !n.alive {
			return
		}
		n.last++
		c.id = n.last
		n.conns[c.id] = c
		n.d.AdvanceClock(s.now - n.start)
		n.d.AddSession(policy.SessionRequest{ID: c.id, Key: p.Key, Group: p.Group, Tenant: p.Tenant, Class: p.Grade,
			Timeout: limit - 2*s.Client - time.Millisecond})
		s.pump(n)
	})
}

// leave ends a client's connection from its side.
func (s *world) leave(p *person) {
	c := p.conn
	if p.conn = nil; c == nil {
		return
	}
	s.note(history.Event{Kind: history.Left, Session: c.wire})
	s.after(s.Client, func() {
		n := c.n
		if !n.alive || n.conns[c.id] != c {
			return
		}
		id, try, stage := c.id, c.try-1, c.stage
		s.forget(c)
		s.free(c)
		n.d.AdvanceClock(s.now - n.start)
		if stage != open {
			n.d.ClientDisconnected(id)
		}
		if stage == open || stage == out {
			n.d.AttemptEnded(id, try, true, policy.Cancelled)
		}
		s.pump(n)
	})
}

// gone tells a client that its balancer is.
func (s *world) gone(c *conn, how load.Ending) {
	c.stage = over
	c.turn++
	s.after(s.Client, func() {
		if c.p.conn == c {
			s.note(history.Event{Kind: history.Ended, Session: c.wire})
			s.again(c.p, how, 0)
		}
	})
}

// again has a client come once more, after its wait.
func (s *world) again(p *person, how load.Ending, advice time.Duration) {
	if p.conn != nil {
		p.since = s.now
	}
	p.conn = nil
	if how == load.Rejected || how == load.Failed {
		p.failures++
	}
	s.after(s.Retry.Delay(how, p.failures, advice, s.rng.Float64()), func() {
		if p.conn == nil {
			s.come(p)
		}
	})
}

// done has a client leave for good: it has had what it wanted, or has not.
func (s *world) done(p *person) {
	s.wanting--
	s.leave(p)
}

// ---- Figures.

// tick takes the figures of a quarter second.
func (s *world) tick() {
	served := 0.0
	s.loads = s.loads[:0]
	for _, m := range s.machines {
		if m.down {
			continue
		}
		m.Advance(s.now)
		if !m.silent {
			served += float64(m.open) * m.Served(s.now, s.MessageGoal)
		}
		if m.state == policy.Ready {
			s.loads = append(s.loads, m.Utilization(s.now))
		}
		if s.Sheds > 0 && m.Backlog() > s.Sheds {
			for range max(1, len(m.conns)/shedPart) {
				if len(m.conns) > 0 && m.conns[len(m.conns)-1].served {
					s.cut(m.conns[len(m.conns)-1], policy.Reset)
				}
			}
		}
	}
	worst, mean, spread := report.Loads(s.loads)
	s.meter.Tick(s.now, tick, served, float64(s.wanting), worst, mean, spread)
}

// notes tells the holders of slow servers what messages take.
func (s *world) notes() {
	for _, m := range s.machines {
		if m.down || m.silent || len(m.heldBy) == 0 {
			continue
		}
		took := m.Message(s.now)
		slow := took > s.MessageGoal/notedOver
		holders := make([]int32, 0, len(m.heldBy))
		for b := range m.heldBy {
			if slow || m.noted[b] {
				holders = append(holders, b)
			}
		}
		slices.Sort(holders)
		for _, b := range holders {
			if m.noted[b] = slow; !slow {
				delete(m.noted, b)
			}
			if n := s.nodes[b]; n.alive {
				n.d.AdvanceClock(s.now - n.start)
				n.d.RecordLatency(m.id, took)
				s.pump(n)
			}
		}
	}
}
