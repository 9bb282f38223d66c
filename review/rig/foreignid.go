package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["foreign-id-during-upgrade"] = foreignID }

// foreignID: a bad client sends the ids of other clients' open requests, and the same again as soon as it is turned away, while the
// balancer is upgraded. Without the trouble there is no upgrade.
func foreignID(r *rig) string {
	b, old, clients := r.upgradeSite(12)
	served := 0
	turnedAway := 0
	try := func(n int) {
		c, err := r.connect(fmt.Sprintf("bad%d", n), b.address)
		if err != nil {
			return
		}
		defer func() { _ = c.conn.Close() }()
		id := n % len(clients)
		if !clients[id].isHeld() {
			return // the request whose id this is has ended
		}
		answer, _ := c.request(fmt.Sprintf(openFormat, 0x1000+id, 0xbad0000000000000+uint64(n), 0xbad), time.Second)
		if strings.HasPrefix(answer, "UP ") && clients[id].isHeld() {
			served++
			r.note("client bad%d: served under the id of client c%d, whose connection is open", n, id)
		} else {
			turnedAway++
		}
	}
	n := 0
	tryFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			try(n)
			n++
		}
	}
	began := time.Now()
	var next *process
	if r.trouble {
		next = b.start()
	}
	tryFor(time.Until(began.Add(time.Second))) // the platform asks once a second
	if r.trouble {
		next.waitReady(time.Second, 6*time.Second)
		old.signal(syscall.SIGTERM)
	}
	tryFor(2 * time.Second)
	disturbed := 0
	for _, c := range clients {
		if !c.isHeld() {
			disturbed++
		}
	}
	r.note("the bad client was turned away %d times and served %d times; %d of %d true clients lost their connection or were moved", turnedAway, served, disturbed, len(clients))
	for _, p := range r.procs {
		p.keepLog()
	}
	if turnedAway+served == 0 {
		r.fail("the bad client got no answer")
	}
	if served > 0 {
		return fmt.Sprintf("a bad client with the id of another client's open request was served %d times", served)
	}
	return ""
}
