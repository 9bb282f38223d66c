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
			for _, dir := range directions {
				if len(conn.inTransit[dir]) == 0 || dir == toPublisher && w.publishers[conn.publisher].stopped || dir == toSubscriber && sub.stopped {
					continue
				}
				m := conn.inTransit[dir][0]
				add(true, "deliver %d %s %d", i, a, dir)
				add(m != nil && w.remaining.losses > 0, "lose %d %s %d", i, a, dir)
				add(m != nil && w.remaining.duplicates > 0, "duplicate %d %s %d", i, a, dir)
				add(m != nil && m.Change != nil && w.remaining.corruptions > 0, "corrupt %d %s %d", i, a, dir)
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

// move makes a move that moves has returned.
func (w *modelWorld) move(m string) {
	verb, _, _ := strings.Cut(m, " ")
	switch verb {
	case "deliver", "lose", "duplicate", "corrupt":
		w.moveMessage(m)
	case "stop":
		w.toggleSuspension(m)
	case "restart":
		w.restart(m)
	case "replicate":
		var publisher int
		_, _ = fmt.Sscanf(m, "replicate %d", &publisher)
		w.replicateTo(publisher)
	case "agree":
		w.remaining.versions--
		w.agree(configItem(len(w.agreedAt)))
	case "tick":
		w.remaining.ticks--
		w.tick()
	case "sleep": // longer than a lease, in which nothing arrives
		w.remaining.sleeps--
		for range 6 {
			w.tick()
		}
	}
	for _, sub := range w.subscribers {
		w.check(sub)
	}
}

// moveMessage makes a move of the first message in one direction of a connection.
func (w *modelWorld) moveMessage(m string) {
	var verb, address string
	var index int
	var dir direction
	_, _ = fmt.Sscanf(m, "%s %d %s %d", &verb, &index, &address, &dir)
	sub := w.subscribers[index]
	conn := sub.conns[address]
	switch verb {
	case "deliver":
		w.deliverNext(sub, address, dir, false)
	case "lose":
		w.remaining.losses--
		conn.inTransit[dir] = conn.inTransit[dir][1:]
	case "duplicate": // it is delivered again, at once or later
		w.remaining.duplicates--
		conn.inTransit[dir] = slices.Insert(conn.inTransit[dir], 0, conn.inTransit[dir][0])
		w.deliverNext(sub, address, dir, false)
	case "corrupt":
		w.remaining.corruptions--
		w.deliverNext(sub, address, dir, true)
	}
}

func (w *modelWorld) toggleSuspension(m string) {
	var role string
	var index int
	_, _ = fmt.Sscanf(m, "stop %s %d", &role, &index)
	stopped := &w.publishers[index%len(w.publishers)].stopped
	if role == "subscriber" {
		stopped = &w.subscribers[index].stopped
	}
	*stopped = !*stopped
	if *stopped {
		w.remaining.suspensions--
	}
}

func (w *modelWorld) restart(m string) {
	var role string
	var index int
	_, _ = fmt.Sscanf(m, "restart %s %d", &role, &index)
	w.remaining.restarts--
	if role == "publisher" {
		w.startPublisher(index)
		for _, sub := range w.subscribers {
			if conn := sub.conns[w.publishers[index].address]; conn != nil {
				conn.open = false
				conn.inTransit = [2][]*Message{toSubscriber: {nil}}
			}
		}
		return
	}
	sub := w.subscribers[index]
	for _, address := range []string{"r0", "r1"} {
		if conn := sub.conns[address]; conn != nil {
			w.closeConn(sub, conn)
		}
	}
	w.startSubscriber(index)
}
