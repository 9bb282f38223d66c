// This file carries out the steps of the fault schedule on the servers, the links, discovery, the clients and the balancers.

package cluster

import (
	"context"
	"sync"
	"time"

	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
)

// applyStep carries out one step of the fault schedule. Actions that take longer go on in goroutines, which running counts.
func (c *Cluster) applyStep(ctx context.Context, step faults.Step, clients *emulator.Clients, running *sync.WaitGroup) {
	switch {
	case step.Action == faults.StartServer:
		c.mu.Lock()
		err := c.addServer(c.World.Machines[step.Machine], c.Clock.Now(), false)
		c.mu.Unlock()
		c.recordError(err)
	case step.OnServer():
		if step.Target < len(c.Servers) { // otherwise the server has not started yet
			c.applyServerStep(ctx, step, running)
			c.applyListStep(ctx, step)
		}
	default:
		c.applyDiscoveryStep(step)
		c.applyClientStep(ctx, step, clients, running)
		c.applyBalancerStep(ctx, step, running)
	}
}

// applyServerStep carries out a step on a server itself or on the link to it.
func (c *Cluster) applyServerStep(ctx context.Context, step faults.Step, running *sync.WaitGroup) {
	server := c.Servers[step.Target]
	on := step.Value > 0
	switch step.Action {
	case faults.DrainServer:
		c.endpoints.SetState(ctx, serverName(step.Target), emulator.Terminating, 0, false)
		by := c.Clock.Now() + step.For
		running.Go(func() { server.Drain(ctx, c.World.MovesClients, by) })
	case faults.StopServer:
		server.Fail("stop")
		c.endpoints.SetState(ctx, serverName(step.Target), emulator.Terminated, 0, false)
	case faults.CrashServer:
		server.Fail("crash")
		c.endpoints.SetState(ctx, serverName(step.Target), emulator.Terminated, 0, true)
	case faults.RestartServer:
		c.recordError(server.Revive())
		c.endpoints.SetState(ctx, serverName(step.Target), emulator.InService, time.Now().UnixMilli(), false)
	case faults.SilenceServer:
		server.Misbehave(func(w *emulator.WireFaults) { w.Silent = true })
	case faults.UnsilenceServer:
		server.Misbehave(func(w *emulator.WireFaults) { w.Silent = false })
	case faults.SetSlow:
		server.Set(func(m *model.Server) { m.SlowFactor = step.Value })
	case faults.SetErrors:
		server.Set(func(m *model.Server) { m.ErrorRate = step.Value })
	case faults.SetFull:
		server.Set(func(m *model.Server) { m.Full = on })
	case faults.SetDrip:
		server.Misbehave(func(w *emulator.WireFaults) { w.Drip = on })
	case faults.SetTornLines:
		server.Misbehave(func(w *emulator.WireFaults) { w.Torn = on })
	case faults.SetHalfOpen:
		server.Misbehave(func(w *emulator.WireFaults) { w.HalfOpen = on })
	case faults.SetLinkDelay:
		c.links[step.Target].Set(func(l *emulator.Condition) { l.Delay = step.For })
	case faults.SetLinkCut:
		c.cutLink(step.Target, on)
	}
}

// applyListStep carries out a step on a server's entry in the endpoint list.
func (c *Cluster) applyListStep(ctx context.Context, step faults.Step) {
	switch step.Action {
	case faults.HideServer:
		c.endpoints.Hide(ctx, serverName(step.Target), true)
	case faults.ShowServer:
		c.endpoints.Hide(ctx, serverName(step.Target), false)
	}
}

// cutLink cuts the direction from a server to the balancers, or restores it. All connections over a restored link are reset, as those
// that waited are stale.
func (c *Cluster) cutLink(server int, cut bool) {
	if cut {
		c.Log.Add(history.Event{At: c.Clock.Now(), Kind: history.ServerStopped, Server: int32(server), Balancer: -1, Text: "link"})
	}
	c.links[server].Set(func(l *emulator.Condition) { l.CutOut = cut })
	if !cut {
		c.links[server].Reset()
		c.Log.Add(history.Event{At: c.Clock.Now(), Kind: history.ServerStarted, Server: int32(server), Balancer: -1, Text: "warm"})
	}
}

// applyDiscoveryStep carries out a step on the discovery service or on the servers' shared store.
func (c *Cluster) applyDiscoveryStep(step faults.Step) {
	on := step.Value > 0
	switch step.Action {
	case faults.SetStoreSlow:
		c.store.Slow(step.Value)
	case faults.SetDiscoveryReachable:
		fault := emulator.Unresponsive
		if on {
			fault = emulator.Healthy
		}
		c.endpoints.Misbehave(fault)
	case faults.SetDiscoveryFaulty:
		fault := emulator.Healthy
		if on {
			fault = emulator.Malformed
		}
		c.endpoints.Misbehave(fault)
	case faults.SetListDelay:
		c.endpoints.SetDelay(step.For)
	}
}

// applyClientStep carries out a step on the clients, or starts and stops misbehaving ones.
func (c *Cluster) applyClientStep(ctx context.Context, step faults.Step, clients *emulator.Clients, running *sync.WaitGroup) {
	on := step.Value > 0
	switch step.Action {
	case faults.DropClients:
		clients.Drop(step.Value, step.For, c.rng)
	case faults.SetSilentClients:
		running.Go(func() { emulator.RunSilentClients(ctx, step.Value, step.For, c.PickBalancer, c.seed) })
	case faults.SetFragmentedLines:
		clients.FragmentLines.Store(on)
	case faults.SetMisbehavingClients:
		if c.stopMisbehaving != nil {
			c.stopMisbehaving()
		}
		var misbehaving context.Context
		misbehaving, c.stopMisbehaving = context.WithCancel(ctx)
		if on {
			running.Go(func() {
				emulator.RunMisbehavingClients(misbehaving, step.Value, c.PickBalancer, c.Meter, c.seed)
			})
		}
	}
}

// applyBalancerStep carries out a step on a balancer, or on the links between the members of its fleet.
func (c *Cluster) applyBalancerStep(ctx context.Context, step faults.Step, running *sync.WaitGroup) {
	b := step.Target
	switch step.Action {
	case faults.KillBalancer:
		c.recordKill(b)
		c.process(b).Kill()
		running.Go(func() { c.noticeDeath(ctx, b) })
	case faults.StartBalancer:
		running.Go(func() { c.recordError(c.startBalancer(b)) })
	case faults.RestartBalancer:
		running.Go(func() { c.restartAsPlanned(ctx, b) })
	case faults.ReloadAll:
		for _, agent := range c.agents {
			c.recordError(agent.Replace())
		}
		c.reload(&c.World)
	case faults.SetMoreClasses:
		w := c.World
		if step.Value > 0 {
			w = withMoreClasses(w)
		}
		c.reload(&w)
	case faults.UpgradeBalancer:
		running.Go(func() { c.recordError(c.upgradeBalancer(ctx, b)) })
	case faults.DrainBalancer:
		running.Go(func() { c.recordError(c.drainBalancer(ctx, b, step.For)) })
	case faults.SetMemberLinks:
		c.members.setLinks(step.Members, step.Link)
	case faults.StallBalancer:
		running.Go(func() { c.stallBalancer(ctx, b, step.For) })
	case faults.LoseBalancer:
		c.recordKill(b)
		c.recordError(c.members.LoseMachine(b))
		c.stopReceiving(b)
	}
}

// recordKill adds an event to the log: a balancer is killed without warning.
func (c *Cluster) recordKill(balancer int) {
	c.Log.Add(history.Event{At: c.Clock.Now(), Kind: history.BalancerKilled, Balancer: int32(balancer), Server: -1, Text: "outright"})
}

// noticeDeath stops sending clients to a killed balancer after deathNoticeDelay, unless it has been started again by then.
func (c *Cluster) noticeDeath(ctx context.Context, balancer int) {
	waitFor(ctx, deathNoticeDelay)
	select {
	case <-c.process(balancer).Exited():
		c.stopReceiving(balancer)
	default:
	}
}
