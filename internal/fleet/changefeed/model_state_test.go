package changefeed

import (
	"container/list"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

var fingerprintSeed = maphash.MakeSeed()

// fingerprint identifies a state, with times relative to now: states of equal fingerprints continue alike, except for random draws.
func (w *modelWorld) fingerprint() uint64 {
	var h maphash.Hash
	h.SetSeed(fingerprintSeed)
	ago := func(d time.Duration) time.Duration { return max(w.now-d, -time.Minute) }
	_, _ = fmt.Fprint(&h, w.remaining, w.source.Version(), w.violation)
	for _, t := range w.agreedAt {
		_, _ = fmt.Fprint(&h, " ", min(ago(t), time.Minute))
	}
	for _, pub := range w.publishers {
		_, _ = fmt.Fprint(&h, "|", pub.log.Version(), pub.log.Changes(), pub.stopped, pub.core.confirmed, ago(pub.core.latest.at), ago(pub.core.now), len(pub.core.pendingConfirmations), len(pub.core.snapshotQueue))
		for e := pub.core.order.Front(); e != nil; e = e.Next() {
			p := e.Value.(*session)
			_, _ = fmt.Fprint(&h, ";", p.hello.ID, p.hello.Incarnation, ago(p.lastReceived), p.ackedVersion, p.sentVersion, p.standby, p.awaitingResume, p.forceSnapshot, p.awaitingSnapshot, len(p.inFlight), p.inFlightBytes, p.lastAnswered, p.lastResponse, p.syncPending)
		}
	}
	for _, sub := range w.subscribers {
		conn := sub.core
		_, _ = fmt.Fprint(&h, "|", conn.state.Version(), conn.confirmed, ago(conn.confirmedAt), conn.stale, sub.stopped, ago(conn.now), conn.digestMismatch, ago(conn.replaceAt), conn.replaceSoon)
		for _, a := range []string{"r0", "r1"} {
			if y := conn.candidates[a]; y != nil {
				_, _ = fmt.Fprint(&h, ";", y.state, ago(y.stateSince), ago(y.lastReceived), ago(y.lastAnswered), y.healthy, y.synced, y.standby, y.lastSequence, y.lastResponse, len(y.pendingRenewals), y.pendingConfirmations, ago(y.nextRenewAt), y.syncPending, y.syncSequence,
					y.syncVersion, y.syncSnapshot, y.unackedBytes, y.failures, y.hasFailed, ago(y.avoidUntil), y.rejected)
			}
			if s := sub.conns[a]; s != nil {
				for dir := range s.inTransit {
					_, _ = fmt.Fprint(&h, "/", s.open, len(s.inTransit[dir]))
					for _, m := range s.inTransit[dir] {
						if m != nil {
							switch {
							case m.RenewRequest != nil:
								_, _ = fmt.Fprint(&h, *m.RenewRequest)
							case m.RenewResponse != nil:
								_, _ = fmt.Fprint(&h, *m.RenewResponse)
							case m.Change != nil:
								_, _ = fmt.Fprint(&h, "c", m.Change.Version)
							case m.Snapshot != nil:
								_, _ = fmt.Fprint(&h, "s", m.Snapshot.Version)
							case m.SyncRequest != nil:
								_, _ = fmt.Fprint(&h, *m.SyncRequest)
							case m.Ack != nil:
								_, _ = fmt.Fprint(&h, *m.Ack)
							case m.Hello != nil:
								_, _ = fmt.Fprint(&h, *m.Hello)
							default:
								_, _ = fmt.Fprint(&h, "?")
							}
						}
					}
				}
			}
		}
	}
	return h.Sum64()
}

// clone returns a deep copy. Its random numbers start anew, so that what follows from a state does not depend on the moves that led to it.
func (w *modelWorld) clone() *modelWorld {
	n := *w
	n.source, n.agreedAt, n.digests = w.source.clone(), slices.Clone(w.agreedAt), slices.Clone(w.digests)
	for i, pub := range w.publishers {
		conn := *pub
		conn.log = pub.log.clone()
		conn.core = pub.core.clone(conn.log)
		n.publishers[i] = &conn
	}
	n.subscribers = nil
	for _, sub := range w.subscribers {
		conn := *sub
		conn.core = sub.core.clone()
		conn.conns = map[string]*modelConn{}
		for a, one := range sub.conns {
			o := *one
			o.inTransit = [2][]*Message{slices.Clone(one.inTransit[0]), slices.Clone(one.inTransit[1])}
			conn.conns[a] = &o
		}
		n.subscribers = append(n.subscribers, &conn)
	}
	return &n
}

func (s *State) clone() *State {
	n := *s
	n.items = maps.Clone(s.items)
	return &n
}

func (l *Log) clone() *Log {
	n := *l
	n.state, n.entries = l.state.clone(), slices.Clone(l.entries)
	return &n
}

func (r *Publisher) clone(log *Log) *Publisher {
	n := *r
	n.log, n.rng = log, rand.New(rand.NewPCG(1, 1))
	n.pendingConfirmations = slices.Clone(r.pendingConfirmations)
	n.sessions, n.sessionsByID, n.order, n.expiries, n.snapshotQueue, n.snapshotsInFlight = map[uint64]*session{}, map[string]*session{}, list.New(), make(expiryQueue, len(r.expiries)), nil, maps.Clone(r.snapshotsInFlight)
	of := map[*session]*session{}
	for e := r.order.Front(); e != nil; e = e.Next() {
		p := *e.Value.(*session)
		p.inFlight = slices.Clone(p.inFlight)
		p.position = n.order.PushBack(&p)
		n.sessions[p.connID], n.sessionsByID[p.hello.ID] = &p, &p
		of[e.Value.(*session)] = &p
	}
	for i, p := range r.expiries {
		n.expiries[i] = of[p]
	}
	for _, p := range r.snapshotQueue {
		n.snapshotQueue = append(n.snapshotQueue, of[p])
	}
	return &n
}

func (f *Subscriber) clone() *Subscriber {
	n := *f
	n.state, n.rng, n.candidates, n.members, n.active, n.ranked = f.state.clone(), rand.New(rand.NewPCG(1, 1)), map[string]*candidate{}, maps.Clone(f.members), nil, nil
	for a, w := range f.candidates {
		c := *w
		c.pendingRenewals, c.pendingConfirmations = slices.Clone(w.pendingRenewals), slices.Clone(w.pendingConfirmations)
		n.candidates[a] = &c
	}
	for _, w := range f.active {
		n.active = append(n.active, n.candidates[w.address])
	}
	for _, w := range f.ranked {
		n.ranked = append(n.ranked, n.candidates[w.address])
	}
	return &n
}
