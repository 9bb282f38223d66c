// This file sets up and tears down a cluster: the emulated servers, the discovery agents and the balancers of one world.

package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/report"
	"sabletally/internal/lab/topology"
)

const (
	checkSlack     = 50 * time.Millisecond  // time that the checker's rules allow for delays on sockets
	figureInterval = 250 * time.Millisecond // time between two samples of the servers' load
	maxEvents      = 8 << 20                // capacity of the event log
	warmSince      = -time.Hour             // start time of the servers that exist before the run, so that they are warm
)

// Arm is the program under test: a command with its environment, and the place of its balancers' logs.
type Arm struct {
	Name    string
	Command []string
	Env     []string
	Logs    string // directory for the balancers' logs; if empty, they are discarded
}

// Cluster is a running world whose servers, clients and balancers communicate over sockets.
type Cluster struct {
	World     topology.World
	Servers   []*emulator.Server
	Processes []*Process
	Meter     *report.Meter
	Clock     *emulator.Clock
	Log       *history.Log
	agents    []*emulator.Agent
	endpoints *emulator.EndpointList
	links     []*emulator.Link
	store     *emulator.Store
	rng       *rand.Rand
	seed      uint64
	dir       string
	hasLinks  bool            // whether each server is reached through an emulated link that can fail
	members   *MemberGroup    // fleet of the balancers, nil if they do not form one
	places    []checker.Place // zone and failure domain of each server
	closers   []io.Closer     // log files of the balancers

	mu              sync.Mutex
	receiving       []bool             // whether new clients are sent to a balancer, by its index
	incarnations    []int              // number of starts of a balancer, by its index
	stopMisbehaving context.CancelFunc // ends the misbehaving clients
	replaced        []*Process         // predecessors that were replaced by an upgrade
	errs            []error            // errors of the testbed, and operations on balancers that failed
}

// Start sets up a world and starts its balancers. Close ends all of them.
func Start(w topology.World, arm Arm, seed uint64) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		World:        w,
		Clock:        &emulator.Clock{},
		Log:          history.New(maxEvents),
		Meter:        report.NewMeter(w.Load.WarmupTime, w.Load.Length),
		store:        emulator.NewStore(w.Store),
		rng:          rand.New(rand.NewPCG(seed, 0xf1e1d)),
		seed:         seed,
		dir:          dir,
		receiving:    make([]bool, w.Balancers),
		incarnations: make([]int, w.Balancers),
		hasLinks:     hasFault(w, faults.LinkSlow, faults.LinkCut),
	}
	c.endpoints = emulator.NewEndpointList(c.Clock, w.ListDelay, w.DetectionDelay, seed)
	if err := c.startAll(arm); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// hasFault reports whether a world has a fault of one of the kinds.
func hasFault(w topology.World, kinds ...faults.Kind) bool {
	return slices.ContainsFunc(w.Faults, func(f faults.Fault) bool { return slices.Contains(kinds, f.Kind) })
}

// startAll starts the discovery agents, the servers and the balancers.
func (c *Cluster) startAll(arm Arm) error {
	w := &c.World
	for b := range w.Balancers {
		agent, err := emulator.NewAgent(b, c.Clock, c.Log, serverIndex)
		if err != nil {
			return err
		}
		c.agents = append(c.agents, agent)
		c.endpoints.AddAgent(agent)
	}
	for _, machine := range w.Machines {
		if err := c.addServer(machine, warmSince, true); err != nil {
			return err
		}
	}
	if w.ReplicationFactor > 0 {
		members, err := NewMemberGroup(w.Balancers, c.dir, c.seed)
		if err != nil {
			return err
		}
		c.members = members
	}
	isOperated := hasFault(*w, faults.Upgrade, faults.BalancerDrain)
	for b := range w.Balancers {
		if err := c.addBalancer(b, arm, isOperated); err != nil {
			return err
		}
	}
	return nil
}

// addBalancer creates a balancer's process and starts it. An operated one has an admin address and a shared listener.
func (c *Cluster) addBalancer(b int, arm Arm, isOperated bool) error {
	var out io.Writer
	if arm.Logs != "" {
		path := filepath.Join(arm.Logs, fmt.Sprintf("%s-%d-n%d.log", arm.Name, c.seed, b))
		file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		c.closers = append(c.closers, file)
		out = file
	}
	p, err := NewProcess(fmt.Sprintf("n%d", b), arm.Command, arm.Env, c.dir, out)
	if err != nil {
		return err
	}
	c.Processes = append(c.Processes, p)
	if isOperated {
		if err := p.EnableAdmin(); err != nil {
			return err
		}
		if err := p.ShareListener(); err != nil {
			return err
		}
	}
	if c.members != nil {
		if err := c.members.Add(b, c.World.ReplicationFactor, c.World.Zones, p); err != nil {
			return err
		}
	}
	return c.startBalancer(b)
}

// serverName returns the name of a server, which is also its UID in the endpoint list.
func serverName(num int) string { return fmt.Sprintf("s-%d", num) }

// serverIndex returns the index of the server with a name, or -1 if it is not the name of a server.
func serverIndex(uid string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(uid, "s-"))
	if err != nil {
		return -1
	}
	return n
}

// addServer starts a server and adds it to the endpoint list. isInitial says that it exists before the run: it then belongs to the
// list that balancers start with, instead of being announced.
func (c *Cluster) addServer(m topology.Machine, started time.Duration, isInitial bool) error {
	num := len(c.Servers)
	s := emulator.NewServer(num, serverName(num), m.Type, c.World.Warmup, c.World.GroupCost, c.World.ShedBacklog, started, c.store, c.Clock, c.Log, c.seed)
	if err := s.Listen(); err != nil {
		return err
	}
	c.Servers = append(c.Servers, s)
	c.places = append(c.places, checker.Place{Zone: m.Zone, FailureDomain: m.FailureDomain})
	address := s.Addr()
	if c.hasLinks {
		link, err := emulator.NewLink(address)
		if err != nil {
			return err
		}
		c.links = append(c.links, link)
		address = link.Addr()
	}
	e := emulator.Endpoint{UID: serverName(num), Address: address, Zone: ZoneName(m.Zone), MachineType: m.Type.Name, FailureDomain: m.FailureDomain, State: emulator.InService,
		Weight: float64(m.Type.Cores)}
	if isInitial {
		c.endpoints.SetInitial(e)
	} else {
		e.BootMs = time.Now().UnixMilli()
		c.endpoints.Set(context.Background(), e, false)
	}
	return nil
}

// startBalancer starts the next process of a balancer and waits until it is ready.
func (c *Cluster) startBalancer(b int) error {
	c.mu.Lock()
	c.incarnations[b]++
	seed := c.seed<<16 | uint64(b)<<8 | uint64(c.incarnations[b])
	c.mu.Unlock()
	c.Log.Add(history.Event{At: c.Clock.Now(), Kind: history.BalancerStarted, Balancer: int32(b), Server: -1})
	p := c.process(b)
	if err := p.WriteConfig(BalancerConfig(&c.World, b, p.Addr, c.agents[b].Addr(), seed*0x9e3779b97f4a7c15, c.agents[b].InitialList())); err != nil {
		return err
	}
	p.env = append(p.env[:len(p.env):len(p.env)], "EDGE_DISCOVERY="+c.agents[b].Addr())
	if err := p.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.receiving[b] = true
	c.mu.Unlock()
	return nil
}

// PickBalancer returns a random balancer of those that receive clients, as a load balancer in front of them would. ok is false if
// there is none.
func (c *Cluster) PickBalancer(rng *rand.Rand) (balancer int, address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := rng.IntN(len(c.receiving))
	for i := range c.receiving {
		if b := (from + i) % len(c.receiving); c.receiving[b] {
			return b, c.Processes[b].Addr, true
		}
	}
	return 0, "", false
}

// process returns the newest process of a balancer.
func (c *Cluster) process(b int) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Processes[b]
}

// stopReceiving stops sending new clients to a balancer.
func (c *Cluster) stopReceiving(b int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving[b] = false
}

// recordError stores an error of the testbed, or of an operation on a balancer, unless it is nil. Run returns the first one.
func (c *Cluster) recordError(err error) {
	if err != nil {
		c.mu.Lock()
		c.errs = append(c.errs, err)
		c.mu.Unlock()
	}
}

// DiscoveryAddr returns the address of a balancer's discovery agent.
func (c *Cluster) DiscoveryAddr(b int) string { return c.agents[b].Addr() }

// KnownEndpoints returns the endpoint list that a balancer is configured with at its start, as JSON.
func (c *Cluster) KnownEndpoints(b int) json.RawMessage { return c.agents[b].InitialList() }

// Close kills all processes, ends all emulators and removes their files.
func (c *Cluster) Close() {
	for _, p := range append(c.replaced, c.Processes...) {
		p.Kill()
		p.UnshareListener()
	}
	for _, s := range c.Servers {
		s.Close()
	}
	for _, l := range c.links {
		l.Close()
	}
	if c.members != nil {
		c.members.Close()
	}
	for _, a := range c.agents {
		a.Close()
	}
	for _, c := range c.closers {
		_ = c.Close()
	}
	_ = os.RemoveAll(c.dir)
}
