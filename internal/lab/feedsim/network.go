package feedsim

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// delay draws the delay of a message between two processes.
func (w *World) delay(a, b *process) time.Duration {
	d := regionalDelay
	if a.region != b.region {
		d = interRegionDelay
	}
	return d + w.randomDuration(delayJitter)
}

// dial opens a connection to a publisher. The kernel of a stalled process still accepts it.
func (w *World) dial(sub *subscriber, addr string) {
	var pub *publisher
	for _, candidate := range w.publishers {
		if candidate.addr == addr {
			pub = candidate
		}
	}
	w.lastConnNumber++
	c := &conn{number: w.lastConnNumber, subscriber: sub, publisher: pub, subscriberIncarnation: sub.incarnation, subscriberOpen: true}
	sub.conns[addr] = c
	w.after(w.delay(&sub.process, &pub.process), func() {
		if w.isCut(&sub.process, &pub.process) || pub.machineOff {
			return
		}
		accepted := pub.up
		if accepted {
			c.publisherIncarnation, c.publisherOpen = pub.incarnation, true
			pub.conns[c.number] = c
		}
		c.lastArrival[toSubscriber] = w.now + w.delay(&pub.process, &sub.process)
		w.after(c.lastArrival[toSubscriber]-w.now, func() {
			if w.isCut(&pub.process, &sub.process) || !sub.up || sub.incarnation != c.subscriberIncarnation {
				return
			}
			w.runOrDefer(&sub.process, func() {
				if sub.conns[addr] != c {
					return
				}
				if accepted {
					sub.core.Connected(addr)
				} else {
					delete(sub.conns, addr)
					sub.core.DialFailed(addr)
				}
				w.handleSubscriberOutput(sub)
			})
		})
	})
}

// send sends a message on a connection. While loss is above 0, the message may be lost or duplicated. A nil message is the end of the
// connection, which is never lost.
func (w *World) send(c *conn, direction int, m *changefeed.Message) {
	copies := 1
	if m != nil && w.loss > 0 {
		switch roll := w.rng.Float64(); {
		case roll < w.loss:
			return
		case roll < 2*w.loss:
			copies = 2
		}
	}
	for range copies {
		c.lastArrival[direction] = max(c.lastArrival[direction], w.now+w.delay(&c.subscriber.process, &c.publisher.process))
		w.after(c.lastArrival[direction]-w.now, func() { w.arrive(c, direction, m) })
	}
}

// arrive delivers a message at the end of its delay, or holds it back during a cut. A connection with too many held messages is reset.
func (w *World) arrive(c *conn, direction int, m *changefeed.Message) {
	from, to := &c.subscriber.process, &c.publisher.process
	if direction == toSubscriber {
		from, to = to, from
	}
	if w.isCut(from, to) || len(c.held[direction]) > 0 {
		if c.held[direction] = append(c.held[direction], m); len(c.held[direction]) > maxHeldMessages {
			w.reset(c)
			return
		}
		if !c.isHeld {
			c.isHeld = true
			w.heldConns = append(w.heldConns, c)
		}
		return
	}
	w.deliver(c, direction, m)
}

// releaseHeld sends the messages that a cut has held back.
func (w *World) releaseHeld() {
	held := w.heldConns
	w.heldConns = nil
	for _, c := range held {
		c.isHeld = false
		for direction := range c.held {
			messages := c.held[direction]
			c.held[direction] = nil
			for _, m := range messages {
				c.lastArrival[direction] = max(c.lastArrival[direction], w.now+w.delay(&c.subscriber.process, &c.publisher.process))
				w.after(c.lastArrival[direction]-w.now, func() { w.arrive(c, direction, m) })
			}
		}
	}
}

// deliver hands a message to the core of its receiver.
func (w *World) deliver(c *conn, direction int, m *changefeed.Message) {
	w.addToDigest(c, direction, m)
	w.Messages++
	if direction == toPublisher {
		pub := c.publisher
		if !pub.up || pub.incarnation != c.publisherIncarnation || !c.publisherOpen {
			if m != nil && !pub.machineOff && c.subscriberOpen {
				w.send(c, toSubscriber, nil) // the kernel of the machine responds with a reset
			}
			return
		}
		w.runOrDefer(&pub.process, func() {
			if !c.publisherOpen || pub.incarnation != c.publisherIncarnation {
				return
			}
			switch {
			case m == nil:
				c.publisherOpen = false
				delete(pub.conns, c.number)
				pub.core.ConnectionClosed(c.number)
			case m.Hello != nil:
				_ = pub.core.Connected(w.clock(&pub.process), c.number, *m.Hello)
			default:
				_ = pub.core.Step(w.clock(&pub.process), c.number, *m)
			}
			w.handlePublisherOutput(pub)
		})
		return
	}
	sub := c.subscriber
	addr := c.publisher.addr
	if !sub.up || sub.incarnation != c.subscriberIncarnation || !c.subscriberOpen {
		if m != nil && !sub.machineOff && c.publisherOpen {
			w.send(c, toPublisher, nil)
		}
		return
	}
	w.runOrDefer(&sub.process, func() {
		if !c.subscriberOpen || sub.incarnation != c.subscriberIncarnation || sub.conns[addr] != c {
			return
		}
		if m == nil {
			c.subscriberOpen = false
			delete(sub.conns, addr)
			sub.core.ConnectionClosed(addr)
		} else {
			message := *m
			if w.replaceMessage != nil {
				message = w.replaceMessage(sub, addr, message)
			}
			if err := sub.core.Step(addr, message); err != nil {
				w.RejectedMessages++
			}
		}
		w.handleSubscriberOutput(sub)
		w.checkCurrent(sub)
	})
}

// reset ends a connection at both ends and drops what is in flight on it.
func (w *World) reset(c *conn) {
	w.Resets++
	c.held = [2][]*changefeed.Message{}
	sub, pub := c.subscriber, c.publisher
	if pub.up && pub.incarnation == c.publisherIncarnation && c.publisherOpen {
		w.runOrDefer(&pub.process, func() {
			if c.publisherOpen && pub.incarnation == c.publisherIncarnation {
				c.publisherOpen = false
				delete(pub.conns, c.number)
				pub.core.ConnectionClosed(c.number)
				w.handlePublisherOutput(pub)
			}
		})
	}
	if sub.up && sub.incarnation == c.subscriberIncarnation && c.subscriberOpen {
		w.runOrDefer(&sub.process, func() {
			if c.subscriberOpen && sub.incarnation == c.subscriberIncarnation && sub.conns[pub.addr] == c {
				c.subscriberOpen = false
				delete(sub.conns, pub.addr)
				sub.core.ConnectionClosed(pub.addr)
				w.handleSubscriberOutput(sub)
			}
		})
	}
}

// addToDigest adds a delivery to the digest of the history: its time, connection, direction, and the kind of the message.
func (w *World) addToDigest(c *conn, direction int, m *changefeed.Message) {
	h := fnv.New64a()
	var b [8]byte
	for _, v := range []uint64{w.digest, uint64(w.now), c.number, uint64(direction), messageKind(m)} {
		binary.LittleEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
	w.digest = h.Sum64()
}

// messageKind returns a number for the kind of a message and its version.
func messageKind(m *changefeed.Message) uint64 {
	switch {
	case m == nil:
		return 0
	case m.Change != nil:
		return 1 + m.Change.Version<<4
	case m.Snapshot != nil:
		return 2 + m.Snapshot.Version<<4
	case m.RenewRequest != nil:
		return 3 + m.RenewRequest.Version<<4
	case m.RenewResponse != nil:
		return 4 + m.RenewResponse.Version<<4 + uint64(m.RenewResponse.Age)<<32
	case m.SyncRequest != nil:
		return 5 + m.SyncRequest.Version<<4
	}
	return 6
}

// Digest identifies a history: the same seed gives the same digest.
func (w *World) Digest() uint64 { return w.digest }
