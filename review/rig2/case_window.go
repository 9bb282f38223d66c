package main

import (
	"errors"
	"net"
	"sync"
	"time"
)

func init() { cases["window"] = playWindow }

const (
	windowKept  = time.Second            // how long servers drop repeats
	windowSlack = 50 * time.Millisecond  // by which each time limit is longer on sockets
	lateFrom    = 200 * time.Millisecond // after the arrival of the request, when connections begin to come up late
	lateUntil   = 700 * time.Millisecond
)

// playWindow lets a request of a deduplicated class run at a server that then resets its connection, while a connection to another server
// comes up late. No server may receive the request again after the group has forgotten it.
func playWindow(r *run) error {
	w := newWorld(r.rec)
	w.window = windowKept
	servers, err := w.startServers(1)
	if err != nil {
		return err
	}
	const key = "5eed"
	hit := make(chan *server, 1)
	var once sync.Once
	w.behave = func(c *serverConn) action {
		act := actServe
		if c.open.key == key && r.trouble {
			once.Do(func() {
				hit <- c.server
				act = actReset
			})
		}
		return act
	}
	d, err := startDiscovery(servers)
	if err != nil {
		return err
	}
	classes := []object{class("order", "idempotency_key", "all", 300, 3200, int(windowKept.Milliseconds()))}
	conf := settings(0, classes)
	limits := conf["Limits"].(object)
	limits["ConnectTimeoutUs"], limits["Probes"] = 1500000, false
	b, err := startBalancer(r.rec, options{name: "n1", dir: r.tmp, tmp: r.tmp, listen: freeAddress(), discovery: d.addr, known: d.whole(), settings: conf})
	if err != nil {
		return err
	}
	if err := b.awaitPong(10 * time.Second); err != nil {
		return err
	}
	for n := range 12 { // usual clients
		c, err := dialClient(r.rec, "usual", b.listen)
		if err != nil {
			return err
		}
		if err := c.open(hex(100+n), hex(200+n), "order", 3200*time.Millisecond, ""); err != nil {
			return err
		}
		if _, err := c.answer(4 * time.Second); err != nil {
			return err
		}
	}
	c, err := dialClient(r.rec, "tried", b.listen)
	if err != nil {
		return err
	}
	if err := c.open("abc1", key, "order", 3200*time.Millisecond, ""); err != nil {
		return err
	}
	if r.trouble {
		first := <-hit
		time.Sleep(lateFrom)
		var others []*server
		for _, s := range servers {
			if s != first {
				others = append(others, s)
			}
		}
		open, err := closeGates(others)
		if err != nil {
			return err
		}
		r.rec.add("connections to the other servers come up late from now on")
		time.Sleep(lateUntil - lateFrom)
		open()
		r.rec.add("connections to the other servers come up at once again")
	}
	if _, err := c.answer(5 * time.Second); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	arrivals := w.arrivalsOf(key)
	for _, a := range arrivals[1:] {
		if since := a.at.Sub(arrivals[0].at); since > windowKept+windowSlack {
			return broken("server %s was sent the request again %v after server %s had run it; servers drop repeats for %v", a.server, since, arrivals[0].server, windowKept)
		}
	}
	return nil
}

// closeGates lets connections to some servers come up late, until the function that it returns is called.
func closeGates(servers []*server) (open func(), err error) {
	fillers := make([][]net.Conn, len(servers))
	failures := make([]error, len(servers))
	var wait sync.WaitGroup
	for i, s := range servers {
		wait.Go(func() { fillers[i], failures[i] = s.closeGate() })
	}
	wait.Wait()
	return func() {
		for i, s := range servers {
			s.openGate(fillers[i])
		}
	}, errors.Join(failures...)
}
