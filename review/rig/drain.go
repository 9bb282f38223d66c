package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["drain-during-upgrade"] = drainDuringUpgrade
	cases["upgrade-during-drain"] = upgradeDuringDrain
}

const (
	drainLimit = 4 * time.Second // a drained balancer says no, and holds no client's connection, after this
	slack      = 50 * time.Millisecond
)

// drainDuringUpgrade: the operators drain a balancer after its upgrade has begun. Without the trouble there is no upgrade.
func drainDuringUpgrade(r *rig) string {
	b, old, clients := r.upgradeSite(24)
	var next *process
	began := time.Now()
	if r.trouble {
		next = b.start()
		next.waitListening(6 * time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	called := r.drain(old)
	if r.trouble {
		time.Sleep(time.Until(began.Add(time.Second))) // the platform asks once a second
		next.waitReady(time.Second, 6*time.Second)
		if time.Since(called) > 3*time.Second {
			r.fail("the new process's yes came too late for the case")
		}
		old.signal(syscall.SIGTERM)
	}
	return r.judgeDrain(b, called, clients)
}

// upgradeDuringDrain: the platform upgrades a balancer that the operators are draining. Without the trouble there is no upgrade.
func upgradeDuringDrain(r *rig) string {
	b, old, clients := r.upgradeSite(48)
	called := r.drain(old)
	if r.trouble {
		time.Sleep(time.Until(called.Add(2 * time.Second)))
		next := b.start()
		next.waitReady(50*time.Millisecond, 6*time.Second)
		if time.Since(called) > 3*time.Second {
			r.fail("the new process's yes came too late for the case")
		}
		old.signal(syscall.SIGTERM)
	}
	return r.judgeDrain(b, called, clients)
}

// upgradeSite starts discovery, four servers and a balancer on the platform's socket, with clients on it.
func (r *rig) upgradeSite(count int) (*balancer, *process, []*client) {
	a := r.startAgent()
	for n := range 4 {
		a.list(r.serve(fmt.Sprintf("s%d", n)), "in_service", 0)
	}
	b := r.newBalancer("n1", defaultSettings, true)
	old := b.start()
	old.waitReady(50*time.Millisecond, 10*time.Second)
	if got := r.ping(b.address); got != "PONG" {
		r.fail("PING is answered %q", got)
	}
	clients := b.establish(count)
	time.Sleep(2 * time.Second)
	return b, old, clients
}

// drain makes the operators' call, and returns when it was answered.
func (r *rig) drain(p *process) time.Time {
	status, body := p.call("PUT", "/control/out-of-service")
	r.note("operators: PUT out-of-service at %s: %d %s", p.name, status, body)
	if status != 200 {
		r.fail("out-of-service is answered %d", status)
	}
	return time.Now()
}

// judgeDrain asks ten times a second, as the front does, until two seconds after the limit.
func (r *rig) judgeDrain(b *balancer, called time.Time, clients []*client) (broken string) {
	said := map[string]int{}
	last := ""
	for time.Since(called) < drainLimit+slack {
		if got := r.ping(b.address); got != last {
			r.note("front: PING is answered %q, %v after the call", got, time.Since(called).Round(time.Millisecond))
			last = got
		}
		time.Sleep(100 * time.Millisecond)
	}
	held := 0
	cutOff := 0
	for _, c := range clients {
		if c.isHeld() {
			held++
		}
		if c.isCutOff() {
			cutOff++
		}
	}
	r.note("%v after the call %d of %d clients are still held, %d were cut off without MOVE", time.Since(called).Round(time.Millisecond), held, len(clients), cutOff)
	for time.Since(called) < drainLimit+2*time.Second {
		said[r.ping(b.address)]++
		time.Sleep(100 * time.Millisecond)
	}
	r.note("front: answers to PING from then on: %v", said)
	lastMove := time.Duration(0)
	for _, c := range clients {
		c.mu.Lock()
		if !c.moved.IsZero() {
			lastMove = max(lastMove, c.moved.Sub(called))
		}
		c.mu.Unlock()
	}
	r.note("last MOVE %v after the call", lastMove.Round(time.Millisecond))
	for _, p := range r.procs {
		p.keepLog()
	}
	if newest := r.procs[len(r.procs)-1]; newest.hasExited() {
		r.fail("%s has ended", newest.name)
	}
	if said["PONG"] > 0 {
		broken = fmt.Sprintf("%d of %d PINGs are answered yes over 4 s after the call. ", said["PONG"], said["PONG"]+said["NO"]+said[""])
	}
	if held > 0 {
		broken += fmt.Sprintf("%d of %d connections are held, and were not moved, over 4 s after the call. ", held, len(clients))
	}
	if cutOff > 0 {
		broken += fmt.Sprintf("%d connections were cut off without MOVE.", cutOff)
	}
	return broken
}
