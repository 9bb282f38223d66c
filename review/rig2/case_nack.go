package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["nack"] = playNack }

const recordedLimit = 1800 * time.Millisecond // outer limit of the recorded class

// awaitRecording waits until each balancer serves a session of the recorded class.
func awaitRecording(r *run, all []*balancer, recorded string) error {
	end := time.Now().Add(40 * time.Second)
	for i, b := range all {
		if err := b.awaitPong(time.Until(end)); err != nil {
			return err
		}
		for n := 0; ; n++ {
			c, err := dialClient(r.rec, "usual at "+b.name, b.listen)
			if err != nil {
				return err
			}
			id := hex(0x1000*(i+1) + n)
			if err := c.open(id, id, recorded, recordedLimit, ""); err != nil {
				return err
			}
			text, err := c.answer(recordedLimit + time.Second)
			c.close()
			if err == nil && strings.HasPrefix(text, "UP") {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("the fleet records nothing at %s", b.name)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	return nil
}

// playNack lets a recorded request of a class whose repeats are dropped in one zone run at a server that then resets its connection, while
// one of three balancers is killed. The client must not be told that trying again is harmless.
func playNack(r *run) error {
	w := newWorld(r.rec)
	w.window = 5 * time.Second
	w.groupOf = func(s *server) string { return s.zone }
	servers, err := w.startServers(4)
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
	conf := func(index int) object {
		classes := []object{class("album-feed", "idempotency_key", "zone", 300, int(recordedLimit.Milliseconds()), int(w.window.Milliseconds()))}
		return settings(index, classes)
	}
	all, err := startFleet(r, d, conf, "album-feed")
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // the fleet is at rest
	c, err := dialClient(r.rec, "tried", all[0].listen)
	if err != nil {
		return err
	}
	if err := c.open("abc1", key, "album-feed", recordedLimit, ""); err != nil {
		return err
	}
	if r.trouble {
		select {
		case <-hit:
		case <-time.After(recordedLimit):
			return errors.New("the request has not come to a server")
		}
		time.Sleep(100 * time.Millisecond)
		all[2].signal(syscall.SIGKILL)
	}
	text, err := c.answer(recordedLimit + time.Second)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(text, "BUSY") {
		return nil
	}
	arrivals := w.arrivalsOf(key)
	if len(arrivals) == 0 {
		return nil // it never ran, so trying again is harmless
	}
	how := fmt.Sprintf("the client was answered %q although server %s had run its request, and only the servers of %s drop repeats", text, arrivals[0].server, arrivals[0].zone)
	if again := retryElsewhere(r, all[1], key); again != nil {
		how += fmt.Sprintf("; %v", again)
	}
	runs := 0
	for _, a := range w.arrivalsOf(key) {
		if a.ran {
			runs++
		}
	}
	return broken("%s; it has run %d times", how, runs)
}

// retryElsewhere sends a request again at another balancer, as a client does that was told that this is harmless.
func retryElsewhere(r *run, b *balancer, key string) error {
	for n := range 8 {
		time.Sleep(time.Second)
		c, err := dialClient(r.rec, "tried", b.listen)
		if err != nil {
			return err
		}
		if err := c.open(hex(0xabc2+n), key, "album-feed", recordedLimit, ",r=1"); err != nil {
			return err
		}
		text, err := c.answer(recordedLimit + time.Second)
		if err != nil {
			return err
		}
		if !strings.HasPrefix(text, "BUSY") {
			return nil
		}
	}
	return errors.New("no retry was served")
}
