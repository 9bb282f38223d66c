package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["old-list"] = oldList }

// oldList: three balancers are a fleet. In a release, discovery goes down right after a server has begun to drain, and one balancer is
// killed. It starts again with the list that it last had, in which that server drains. Without the trouble discovery stays up and no
// balancer is killed.
func oldList(r *rig) string {
	a := r.startAgent()
	var mu sync.Mutex
	got := map[string][]time.Time{}
	for n := range 5 {
		s := r.serve(fmt.Sprintf("s%d", n))
		s.onOpen = func(s *server, c net.Conn, _ string) {
			mu.Lock()
			got[s.uid] = append(got[s.uid], time.Now())
			mu.Unlock()
			_, _ = fmt.Fprintf(c, "UP %s\r\n", s.uid)
		}
		if n < 4 {
			a.list(s, "in_service", 0)
		}
	}
	all, procs := r.startFleet(defaultSettings, "")
	b := all[1]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		r.load(b, 100*time.Millisecond, stop, &clients)
	}()
	time.Sleep(3 * time.Second)
	a.list(r.servers[4], "in_service", 0) // the release: a new server, and a second later an old one begins to drain
	r.note("discovery: %s is listed as in service", r.servers[4].uid)
	time.Sleep(time.Second)
	draining := r.servers[1]
	a.list(draining, "terminating", 0)
	told := time.Now()
	r.note("discovery: %s is listed as terminating", draining.uid)
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		b.known = a.known() // the list that it last had
		a.setSilent(true)
		r.note("discovery: down")
		time.Sleep(500 * time.Millisecond)
		procs[1].signal(syscall.SIGKILL)
		<-procs[1].exited
		time.Sleep(time.Second)
		procs = append(procs, b.start())
		procs[3].waitReady(50*time.Millisecond, 20*time.Second)
	}
	time.Sleep(14 * time.Second)
	a.setSilent(false)
	r.note("discovery: up")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	late := 0
	mu.Lock()
	for _, at := range got[draining.uid] {
		if at.After(told.Add(drainGrace + slack)) {
			late++
		}
	}
	for _, s := range r.servers {
		r.note("server %s got %d requests in all", s.uid, len(got[s.uid]))
	}
	mu.Unlock()
	r.note("%s got %d requests later than %v after it was told", draining.uid, late, drainGrace+slack)
	for _, p := range procs {
		p.keepLog()
	}
	if len(got) < 4 {
		r.fail("only %d servers got requests", len(got))
	}
	if late > 0 {
		return fmt.Sprintf("the draining server %s was sent %d new requests after the grace of %v, the last of them %v after the balancer was told",
			draining.uid, late, drainGrace, got[draining.uid][len(got[draining.uid])-1].Sub(told).Round(time.Millisecond))
	}
	return ""
}

// load has clients set up connections that live for a second, until stop is closed.
func (r *rig) load(b *balancer, interval time.Duration, stop chan struct{}, clients *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			c, err := r.connect(fmt.Sprintf("c%d", n), b.address)
			if err != nil {
				r.note("client c%d: %v", n, err)
				return
			}
			defer func() { _ = c.conn.Close() }()
			answer, _ := c.request(fmt.Sprintf(openFormat, 0x2000+n, 0x9e3779b97f4a7c15*uint64(n+1), n+1), deadlineMs*time.Millisecond)
			if strings.HasPrefix(answer, "UP ") {
				time.Sleep(time.Second)
			}
		}()
	}
}
