package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["foreign-receipt"] = foreignReceipt }

// foreignReceipt: three balancers are a fleet that records the sessions of a class that may run once. A bad client sends the ids of other
// clients' open requests, at another balancer. Without the trouble it sends ids of its own.
func foreignReceipt(r *rig) string {
	a := r.startAgent()
	var count atomic.Int64
	for n := range 4 {
		s := r.serve(fmt.Sprintf("s%d", n))
		s.onOpen = func(s *server, c net.Conn, line string) {
			receipt := fmt.Sprintf("%s-%d", s.uid, count.Add(1)) // a receipt of its own for each connection
			r.note("server %s: receipt %s for %s", s.uid, receipt, strings.Fields(line)[1])
			_, _ = fmt.Fprintf(c, "UP %s\r\n", receipt)
		}
		a.list(s, "in_service", 0)
	}
	settings := strings.Replace(defaultSettings, `"Effect":"read_like"`, `"Effect":"non_idempotent"`, 1)
	all, procs := r.startFleet(settings, "hold \"intents\" { grades = [\"feed\"] }\n")
	time.Sleep(2 * time.Second)
	var clients []*client
	owners := map[string]int{}
	for n := range 12 {
		c, err := r.connect(fmt.Sprintf("c%d", n), all[0].address)
		if err != nil {
			r.fail("%v", err)
		}
		answer, err := c.request(fmt.Sprintf(openFormat, 0x1000+n, 0x9e3779b97f4a7c15*uint64(n+1), n+1), deadlineMs*time.Millisecond+time.Second)
		if !strings.HasPrefix(answer, "UP ") {
			r.fail("client %d: %q, %v", n, answer, err)
		}
		owners[answer] = n
		c.chat()
		clients = append(clients, c)
	}
	time.Sleep(time.Second)
	tried, foreign := 0, 0
	for n, owner := range clients {
		id := 0x1000 + n
		if !r.trouble {
			id = 0x2000 + n
		}
		if !owner.isHeld() {
			continue
		}
		c, err := r.connect(fmt.Sprintf("bad%d", n), all[1].address)
		if err != nil {
			r.fail("%v", err)
		}
		answer, _ := c.request(fmt.Sprintf(openFormat, id, 0xbad0000000000000+uint64(n), 0xbad), deadlineMs*time.Millisecond+time.Second)
		tried++
		if whose, isForeign := owners[answer]; isForeign && clients[whose].isHeld() {
			foreign++
			r.note("client bad%d: is served with the receipt that a server gave for client c%d's connection, which is open", n, whose)
		}
		time.Sleep(50 * time.Millisecond)
		_ = c.conn.Close()
	}
	r.note("%d of %d answers to the bad client are UP with another client's receipt", foreign, tried)
	for _, p := range procs {
		p.keepLog()
	}
	if tried == 0 {
		r.fail("no true client was left")
	}
	if foreign > 0 {
		return fmt.Sprintf("%d of %d bad requests, under the ids of others' open requests, were served, with those others' receipts", foreign, tried)
	}
	return ""
}
