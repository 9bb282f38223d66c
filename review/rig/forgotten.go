package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["forgotten-drain"] = forgottenDrain }

const (
	drainGrace   = 750 * time.Millisecond // the settings' Guarantees.DrainGraceUs
	toldAfterYes = 2 * time.Second        // discovery's news counts as told so long after a new process's yes
)

// forgottenDrain: a server drains, and the balancer is told and keeps to it. Then discovery is down for 10 s, and the balancer is
// upgraded meanwhile. Without the trouble there is neither an outage nor an upgrade.
func forgottenDrain(r *rig) string {
	a := r.startAgent()
	var mu sync.Mutex
	got := map[string][]time.Time{}
	for n := range 4 {
		s := r.serve(fmt.Sprintf("s%d", n))
		s.onOpen = func(s *server, c net.Conn, _ string) {
			mu.Lock()
			got[s.uid] = append(got[s.uid], time.Now())
			mu.Unlock()
			_, _ = fmt.Fprintf(c, "UP %s\r\n", s.uid)
		}
		a.list(s, "in_service", 0)
	}
	b := r.newBalancer("n1", defaultSettings, true)
	b.known = a.known() // the file is not written again: its list is as old as the first process
	old := b.start()
	old.waitReady(50*time.Millisecond, 10*time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() { // ten new connections a second, which live for a second
		defer clients.Done()
		r.load(b, 100*time.Millisecond, stop, &clients)
	}()
	time.Sleep(2 * time.Second)
	draining := r.servers[1]
	a.list(draining, "terminating", 0)
	told := time.Now()
	r.note("discovery: %s is listed as terminating", draining.uid)
	time.Sleep(3 * time.Second)
	bound := told // new work to the draining server counts from this time on
	if r.trouble {
		a.setSilent(true)
		r.note("discovery: down")
		time.Sleep(time.Second)
		next := b.start()
		next.waitReady(50*time.Millisecond, 6*time.Second)
		bound = time.Now().Add(toldAfterYes)
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(9 * time.Second)
	a.setSilent(false)
	r.note("discovery: back")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	late, before := 0, 0
	mu.Lock()
	for _, at := range got[draining.uid] {
		switch {
		case at.After(bound.Add(drainGrace + slack)):
			late++
		case at.After(told.Add(drainGrace + slack)):
			before++
		}
	}
	for _, s := range r.servers {
		r.note("server %s got %d requests in all", s.uid, len(got[s.uid]))
	}
	mu.Unlock()
	r.note("%s got %d requests later than %v after it was told, and %d more in the time that the new process is allowed", draining.uid, late, drainGrace+slack, before)
	for _, p := range r.procs {
		p.keepLog()
	}
	if len(got) < 3 {
		r.fail("only %d servers got requests", len(got))
	}
	if late > 0 {
		return fmt.Sprintf("the draining server %s was sent %d new requests after the grace of %v, the last of them %v after the balancer was told",
			draining.uid, late, drainGrace, got[draining.uid][len(got[draining.uid])-1].Sub(told).Round(time.Millisecond))
	}
	return ""
}
