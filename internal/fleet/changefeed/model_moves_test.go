package changefeed

import (
	"fmt"
	"slices"
	"strings"
)

// possibleMoves returns the names of all moves that the state and the remaining budget permit.
func (w *modelWorld) possibleMoves() (moves []string) {
	add := func(isPossible bool, format string, args ...any) {
		if isPossible {
			moves = append(moves, fmt.Sprintf(format, args...))
		}
	}
	for i, sub := range w.subscribers {
		for _, a := range []string{"r0", "r1"} {
			conn := sub.conns[a]
			if conn == nil {
				continue
			}
			for _, dir := range directions {
				if len(conn.inTransit[dir]) == 0 || dir == toPublisher && w.publishers[conn.publisher].isSuspended || dir == toSubscriber && sub.isSuspended {
					continue
				}
				message := conn.inTransit[dir][0]
				add(true, "deliver %d %s %d", i, a, dir)
				add(message != nil && w.remaining.losses > 0, "lose %d %s %d", i, a, dir)
				add(message != nil && w.remaining.duplicates > 0, "duplicate %d %s %d", i, a, dir)
				add(message != nil && message.Change != nil && w.remaining.corruptions > 0, "corrupt %d %s %d", i, a, dir)
			}
		}
		add(sub.isSuspended || w.remaining.suspensions > 0, "stop subscriber %d", i)
		add(w.remaining.restarts > 0, "restart subscriber %d", i)
	}
	for i, pub := range w.publishers {
		add(!pub.isSuspended, "replicate %d", i)
		add(pub.isSuspended || w.remaining.suspensions > 0, "stop publisher %d", i)
		add(w.remaining.restarts > 0, "restart publisher %d", i)
	}
	add(w.remaining.versions > 0, "agree")
	add(w.remaining.ticks > 0, "tick")
	add(w.remaining.sleeps > 0, "sleep")
	return moves
}

// applyMove makes a move that possibleMoves has returned, and checks all subscribers.
func (w *modelWorld) applyMove(move string) {
	verb, _, _ := strings.Cut(move, " ")
	switch verb {
	case "deliver", "lose", "duplicate", "corrupt":
		w.applyMessageMove(move)
	case "stop":
		w.toggleSuspension(move)
	case "restart":
		w.restart(move)
	case "replicate":
		var publisher int
		_, _ = fmt.Sscanf(move, "replicate %d", &publisher)
		w.replicateTo(publisher)
	case "agree":
		w.remaining.versions--
		w.agreeNextVersion(configItem(len(w.agreedAt)))
	case "tick":
		w.remaining.ticks--
		w.tick()
	case "sleep": // time passes for longer than a lease, and no message is delivered
		w.remaining.sleeps--
		for range 6 {
			w.tick()
		}
	}
	for _, sub := range w.subscribers {
		w.checkSubscriber(sub)
	}
}

// applyMessageMove delivers, loses, duplicates or corrupts the first message in one direction of a connection.
func (w *modelWorld) applyMessageMove(move string) {
	var verb, address string
	var index int
	var dir direction
	_, _ = fmt.Sscanf(move, "%s %d %s %d", &verb, &index, &address, &dir)
	sub := w.subscribers[index]
	conn := sub.conns[address]
	switch verb {
	case "deliver":
		w.deliverNext(sub, address, dir, false)
	case "lose":
		w.remaining.losses--
		conn.inTransit[dir] = conn.inTransit[dir][1:]
	case "duplicate": // the message is delivered now, and its copy stays in transit
		w.remaining.duplicates--
		conn.inTransit[dir] = slices.Insert(conn.inTransit[dir], 0, conn.inTransit[dir][0])
		w.deliverNext(sub, address, dir, false)
	case "corrupt":
		w.remaining.corruptions--
		w.deliverNext(sub, address, dir, true)
	}
}

// toggleSuspension suspends a process, or resumes a suspended one.
func (w *modelWorld) toggleSuspension(move string) {
	var role string
	var index int
	_, _ = fmt.Sscanf(move, "stop %s %d", &role, &index)
	suspended := &w.publishers[index%len(w.publishers)].isSuspended
	if role == "subscriber" {
		suspended = &w.subscribers[index].isSuspended
	}
	*suspended = !*suspended
	if *suspended {
		w.remaining.suspensions--
	}
}

// restart restarts a process, which ends its connections.
func (w *modelWorld) restart(move string) {
	var role string
	var index int
	_, _ = fmt.Sscanf(move, "restart %s %d", &role, &index)
	w.remaining.restarts--
	if role == "publisher" {
		w.startPublisher(index)
		for _, sub := range w.subscribers {
			if conn := sub.conns[w.publishers[index].address]; conn != nil {
				conn.isOpen = false
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
