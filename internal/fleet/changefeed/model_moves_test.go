package changefeed

import (
	"fmt"
	"slices"
	"strings"
)

// moves returns the names of all possible next moves.
func (w *modelWorld) moves() (all []string) {
	add := func(is bool, format string, args ...any) {
		if is {
			all = append(all, fmt.Sprintf(format, args...))
		}
	}
	for i, sub := range w.subscribers {
		for _, a := range []string{"r0", "r1"} {
			conn := sub.conns[a]
			if conn == nil {
				continue
			}
			for way := range 2 {
				if len(conn.inTransit[way]) == 0 || way == 0 && w.publishers[conn.publisher].stopped || way == 1 && sub.stopped {
					continue
				}
				m := conn.inTransit[way][0]
				add(true, "deliver %d %s %d", i, a, way)
				add(m != nil && w.remaining.losses > 0, "lose %d %s %d", i, a, way)
				add(m != nil && w.remaining.duplicates > 0, "duplicate %d %s %d", i, a, way)
				add(m != nil && m.Change != nil && w.remaining.corruptions > 0, "corrupt %d %s %d", i, a, way)
			}
		}
		add(sub.stopped || w.remaining.suspensions > 0, "stop subscriber %d", i)
		add(w.remaining.restarts > 0, "restart subscriber %d", i)
	}
	for i, pub := range w.publishers {
		add(!pub.stopped, "replicate %d", i)
		add(pub.stopped || w.remaining.suspensions > 0, "stop publisher %d", i)
		add(w.remaining.restarts > 0, "restart publisher %d", i)
	}
	add(w.remaining.versions > 0, "agree")
	add(w.remaining.ticks > 0, "tick")
	add(w.remaining.sleeps > 0, "sleep")
	return all
}

func (w *modelWorld) move(m string) {
	var verb, what, addr string
	var i, way int
	switch verb, _, _ = strings.Cut(m, " "); verb {
	case "deliver", "lose", "duplicate", "corrupt":
		_, _ = fmt.Sscanf(m, "%s %d %s %d", &verb, &i, &addr, &way)
		sub := w.subscribers[i]
		switch verb {
		case "deliver":
			w.deliverNext(sub, addr, way, false)
		case "lose":
			w.remaining.losses--
			sub.conns[addr].inTransit[way] = sub.conns[addr].inTransit[way][1:]
		case "duplicate":
			w.remaining.duplicates-- // it comes once more, at once or later
			conn := sub.conns[addr]
			conn.inTransit[way] = slices.Insert(conn.inTransit[way], 0, conn.inTransit[way][0])
			w.deliverNext(sub, addr, way, false)
		case "corrupt":
			w.remaining.corruptions--
			w.deliverNext(sub, addr, way, true)
		}
	case "stop":
		_, _ = fmt.Sscanf(m, "%s %s %d", &verb, &what, &i)
		at := &w.publishers[i%2].stopped
		if what == "subscriber" {
			at = &w.subscribers[i].stopped
		}
		if *at = !*at; *at {
			w.remaining.suspensions--
		}
	case "restart":
		_, _ = fmt.Sscanf(m, "%s %s %d", &verb, &what, &i)
		w.remaining.restarts--
		if what == "publisher" {
			w.startPublisher(i)
			for _, sub := range w.subscribers {
				if conn := sub.conns[w.publishers[i].address]; conn != nil {
					conn.open = false
					conn.inTransit = [2][]*Message{nil, {nil}}
				}
			}
			return
		}
		sub := w.subscribers[i]
		for _, a := range []string{"r0", "r1"} {
			if conn := sub.conns[a]; conn != nil {
				w.closeConn(sub, conn)
			}
		}
		w.startSubscriber(i)
	case "replicate":
		_, _ = fmt.Sscanf(m, "%s %d", &verb, &i)
		w.replicateTo(i)
	case "agree":
		w.remaining.versions--
		w.agree(configItem(len(w.agreedAt)))
	case "tick":
		w.remaining.ticks--
		w.tick()
	case "sleep": // more than a lease, in which nothing arrives
		w.remaining.sleeps--
		for range 6 {
			w.tick()
		}
	}
	for _, sub := range w.subscribers {
		w.check(sub)
	}
}
