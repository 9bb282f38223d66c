// This file owns the door: the listener, and the connections that hold a descriptor without a circuit, silent
// ones and ended ones. It sheds them, the oldest first, before they take the room of servers, probes and
// discovery. It must never read a line; it hands each connection over before its first byte.

package balancer

import (
	"container/list"
	"context"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"

	"sabletally/internal/line"
)

const (
	firstWithin = 2500 * time.Millisecond // a client that sends no first line by then, from its accept on, is ended
	sweepEach   = 100 * time.Millisecond
	roomFds     = 4 // so-many-th of the descriptors from which on the door sheds
)

// door keeps the clients' connections that have no circuit. Its methods may be called by anyone.
type door struct {
	mu     sync.Mutex
	silent *list.List // of *guest: no whole first line yet, the longest silent first
	ended  *list.List // of *guest: answered and ended from here, the first ended first
	of     map[*conn]*list.Element
}

// guest is one of them.
type guest struct {
	conn  *conn
	in    *list.List
	since time.Time
}

func newDoor() *door {
	return &door{silent: list.New(), ended: list.New(), of: map[*conn]*list.Element{}}
}

// put has a connection stand last in a list.
func (d *door) put(c *conn, in *list.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(c)
	d.of[c] = in.PushBack(&guest{c, in, time.Now()})
}

// take removes a connection from its list; mu is held.
func (d *door) take(c *conn) {
	if e := d.of[c]; e != nil {
		e.Value.(*guest).in.Remove(e)
		delete(d.of, c)
	}
}

// left forgets a connection.
func (d *door) left(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take(c)
}

// spoke notes a first line; after a question for readiness the wait for one begins anew.
func (d *door) spoke(c *conn, again bool) {
	if again {
		d.put(c, d.silent)
	} else {
		d.left(c)
	}
}

// shed takes out the connection to close next: ended with its last line written, or else silent with nothing of it
// still unread, as a usual client's line is here as soon as the client.
func (d *door) shed() (c *conn, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range []*list.List{d.ended, d.silent} {
		for e := in.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*guest).conn; c.written() && (in == d.ended || !c.unread()) {
				d.take(c)
				return c, in == d.silent
			}
		}
	}
	return nil, false
}

// late takes out the connections that have been silent for too long.
func (d *door) late(now time.Time) []*conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*conn
	for e := d.silent.Front(); e != nil && now.Sub(e.Value.(*guest).since) >= firstWithin; e = d.silent.Front() {
		all = append(all, e.Value.(*guest).conn)
		d.take(e.Value.(*guest).conn)
	}
	return all
}

// Serve accepts clients until the listener fails.
func (l *Loop) Serve(ln net.Listener) error {
	type key struct{}
	events, err := netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error {
			return ctx.Value(key{}).(*conn).onRequest(ctx, nc)
		},
		netpoll.WithOnPrepare(func(nc netpoll.Connection) context.Context {
			l.Accepted.Add(1)
			l.fds.Add(1)
			c := adopt(nc, l, &l.fds)
			c.door = l.door
			l.door.put(c, l.door.silent)
			l.makeRoom(c)
			return context.WithValue(context.Background(), key{}, c)
		}))
	if err != nil {
		return err
	}
	return events.Serve(ln)
}

// makeRoom keeps the descriptors of connections without a circuit within what the others leave. Guards against
// clients that connect by hundreds and say nothing: nothing could be accepted or dialed any more.
func (l *Loop) makeRoom(c *conn) {
	for l.fds.Load() > l.most-l.most/roomFds {
		old, silent := l.door.shed()
		if old == nil {
			break
		}
		l.Shed.Add(1)
		if silent {
			old.word(line.Turned(l.comeAgain()))
		}
		old.shut()
		runtime.Gosched() // the poller, which runs this, would go on accepting first
	}
	if l.fds.Load() > l.most { // nothing to shed: all are circuits
		l.NoRoom.Add(1)
		c.word(line.Turned(l.comeAgain()))
		c.close()
	}
}

// sweep ends silent clients whose time is up.
func (l *Loop) sweep() {
	l.after(sweepEach, l.sweep)
	for _, c := range l.door.late(time.Now()) {
		switch {
		case c.circuit != nil || c.over:
		case c.pings > 0: // it waits for us
			l.door.put(c, l.door.silent)
		default:
			l.Late.Add(1)
			l.end(c, line.ErrLine)
		}
	}
}

// comeAgain is the advice of a nack for want of room.
func (l *Loop) comeAgain() time.Duration {
	if !l.dep.Policy.MayAdvise {
		return 0
	}
	return l.dep.Policy.LongestAdvice / 2
}
