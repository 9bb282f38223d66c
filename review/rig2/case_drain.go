package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

func mkdir(path string) error { return os.Mkdir(path, 0o700) }

// drainLimit is how long after the call a drained balancer may hold a client's connection that was not moved, with the 50 ms by which each
// limit is longer on sockets.
const drainLimit = 4050 * time.Millisecond

// playDrain takes a balancer out of service while one of fifteen servers takes circuits and answers none. After 4 s the balancer may hold no
// client's connection.
func playDrain(r *run) error {
	const limit = 4800 * time.Millisecond
	w := newWorld(r.rec)
	servers, err := w.startServers(5)
	if err != nil {
		return err
	}
	w.behave = func(c *serverConn) action {
		if r.trouble && c.server == servers[0] {
			return actHang
		}
		return actServe
	}
	d, err := startDiscovery(servers)
	if err != nil {
		return err
	}
	conf := settings(0, []object{class("desk-push", "non_idempotent", "all", 800, int(limit.Milliseconds()), 5000)})
	b, err := startBalancer(r.rec, options{name: "n1", dir: r.tmp, tmp: r.tmp, listen: freeAddress(), admin: freeAddress(), discovery: d.addr,
		known: d.whole(), settings: conf})
	if err != nil {
		return err
	}
	if err := b.awaitPong(10 * time.Second); err != nil {
		return err
	}
	var mu sync.Mutex
	held := map[string]bool{}
	var ends sync.WaitGroup
	for n := range 45 {
		name := fmt.Sprint(n)
		c, err := dialClient(r.rec, name, b.listen)
		if err != nil {
			return err
		}
		if err := c.open(hex(0xabc00+n), hex(0x5eed00+n), "desk-push", limit, ""); err != nil {
			return err
		}
		held[name] = true
		ends.Add(1)
		go func() { // reads until the balancer ends the connection
			defer ends.Done()
			for {
				if _, err := c.answer(20 * time.Second); err != nil {
					break
				}
			}
			mu.Lock()
			delete(held, name)
			mu.Unlock()
			c.close()
		}()
	}
	time.Sleep(150 * time.Millisecond)
	code, text, err := b.call("PUT", "/control/out-of-service")
	if err != nil || code != 200 {
		return fmt.Errorf("out-of-service: %d %s %v", code, text, err)
	}
	called := time.Now()
	r.rec.add("PUT /control/out-of-service: %d %s", code, text)
	time.Sleep(time.Until(called.Add(drainLimit + 150*time.Millisecond)))
	mu.Lock()
	var late []string
	for name := range held {
		late = append(late, name)
	}
	mu.Unlock()
	r.rec.add("%v after the call the balancer holds the connections of %d clients: %v", time.Since(called).Round(time.Millisecond), len(late), late)
	_, ready, _ := b.call("GET", "/control/ready")
	r.rec.add("GET /control/ready: %s", ready)
	ends.Wait()
	if len(late) > 0 {
		return broken("4.2 s after the call the balancer still held the connections of %d clients that it had not moved: %s", len(late), strings.Join(late, " "))
	}
	return nil
}
