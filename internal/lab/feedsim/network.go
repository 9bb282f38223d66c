package feedsim

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"sabletally/internal/fleet/changefeed"
)

func (w *World) delay(a, b *process) time.Duration {
	d := regionalDelay
	if a.region != b.region {
		d = interRegionDelay
	}
	return d + w.chance(delayJitter)
}

// dial opens a connection; that of a stalled process is accepted by its kernel.
func (w *World) dial(sub *subscriber, addr string) {
	var pub *publisher
	for _, one := range w.publishers {
		if one.addr == addr {
			pub = one
		}
	}
	w.lastConn++
	c := &conn{number: w.lastConn, subscriber: sub, publisher: pub, subscriberIncarnation: sub.incarnation, subscriberOpen: true}
	sub.conns[addr] = c
	w.after(w.delay(&sub.process, &pub.process), func() {
		if w.isCut(&sub.process, &pub.process) || pub.machineOff {
			return
		}
		took := pub.up
		if took {
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
				if took {
					sub.core.Connected(addr)
				} else {
					delete(sub.conns, addr)
					sub.core.DialFailed(addr)
				}
				w.drainSubscriber(sub)
			})
		})
	})
}

// send sends a message on a connection; nil is the connection's end, which is never lost.
func (w *World) send(c *conn, way int, m *changefeed.Message) {
	times := 1
	if m != nil && w.loss > 0 {
		switch roll := w.rng.Float64(); {
		case roll < w.loss:
			return
		case roll < 2*w.loss:
			times = 2
		}
	}
	for range times {
		c.lastArrival[way] = max(c.lastArrival[way], w.now+w.delay(&c.subscriber.process, &c.publisher.process))
		w.after(c.lastArrival[way]-w.now, func() { w.arrive(c, way, m) })
	}
}

func (w *World) arrive(c *conn, way int, m *changefeed.Message) {
	from, to := &c.subscriber.process, &c.publisher.process
	if way == toSubscriber {
		from, to = to, from
	}
	if w.isCut(from, to) || len(c.held[way]) > 0 {
		if c.held[way] = append(c.held[way], m); len(c.held[way]) > maxHeldMessages {
			w.reset(c)
			return
		}
		if !c.isHeld {
			c.isHeld = true
			w.held = append(w.held, c)
		}
		return
	}
	w.deliver(c, way, m)
}

// releaseHeld delivers what a cut has held back.
func (w *World) releaseHeld() {
	held := w.held
	w.held = nil
	for _, c := range held {
		c.isHeld = false
		for way := range c.held {
			all := c.held[way]
			c.held[way] = nil
			for _, m := range all {
				c.lastArrival[way] = max(c.lastArrival[way], w.now+w.delay(&c.subscriber.process, &c.publisher.process))
				w.after(c.lastArrival[way]-w.now, func() { w.arrive(c, way, m) })
			}
		}
	}
}

func (w *World) deliver(c *conn, way int, m *changefeed.Message) {
	w.addToDigest(c, way, m)
	w.Messages++
	if way == toPublisher {
		pub := c.publisher
		if !pub.up || pub.incarnation != c.publisherIncarnation || !c.publisherOpen {
			if m != nil && !pub.machineOff && c.subscriberOpen {
				w.send(c, toSubscriber, nil) // its kernel answers with a reset
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
			w.drainPublisher(pub)
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
			one := *m
			if w.replaceMessage != nil {
				one = w.replaceMessage(sub, addr, one)
			}
			if err := sub.core.Step(addr, one); err != nil {
				w.Refused++
			}
		}
		w.drainSubscriber(sub)
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
				w.drainPublisher(pub)
			}
		})
	}
	if sub.up && sub.incarnation == c.subscriberIncarnation && c.subscriberOpen {
		w.runOrDefer(&sub.process, func() {
			if c.subscriberOpen && sub.incarnation == c.subscriberIncarnation && sub.conns[pub.addr] == c {
				c.subscriberOpen = false
				delete(sub.conns, pub.addr)
				sub.core.ConnectionClosed(pub.addr)
				w.drainSubscriber(sub)
			}
		})
	}
}

// addToDigest adds a delivery to the digest of the history.
func (w *World) addToDigest(c *conn, way int, m *changefeed.Message) {
	h := fnv.New64a()
	var b [8]byte
	for _, v := range []uint64{w.digest, uint64(w.now), c.number, uint64(way), messageKind(m)} {
		binary.LittleEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
	w.digest = h.Sum64()
}

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
