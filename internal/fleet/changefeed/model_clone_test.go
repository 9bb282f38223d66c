package changefeed

import (
	"container/list"
	"maps"
	"math/rand/v2"
	"slices"
)

// clone returns a deep copy for the exploration. The random number generators start anew, so that the successors of a state do not depend on
// the moves that led to it.
func (w *modelWorld) clone() *modelWorld {
	copied := *w
	copied.source = w.source.clone()
	copied.agreedAt = slices.Clone(w.agreedAt)
	copied.digests = slices.Clone(w.digests)
	for i, pub := range w.publishers {
		copied.publishers[i] = pub.clone()
	}
	copied.subscribers = nil
	for _, sub := range w.subscribers {
		copied.subscribers = append(copied.subscribers, sub.clone())
	}
	return &copied
}

func (p *modelPublisher) clone() *modelPublisher {
	copied := *p
	copied.log = p.log.clone()
	copied.core = p.core.clone(copied.log)
	return &copied
}

func (s *modelSubscriber) clone() *modelSubscriber {
	copied := *s
	copied.core = s.core.clone()
	copied.conns = map[string]*modelConn{}
	for address, conn := range s.conns {
		copiedConn := *conn
		for dir, messages := range conn.inTransit {
			copiedConn.inTransit[dir] = slices.Clone(messages)
		}
		copied.conns[address] = &copiedConn
	}
	return &copied
}

func (s *State) clone() *State {
	copied := *s
	copied.items = maps.Clone(s.items)
	return &copied
}

func (l *Log) clone() *Log {
	copied := *l
	copied.state = l.state.clone()
	copied.entries = slices.Clone(l.entries)
	return &copied
}

func (p *Publisher) clone(log *Log) *Publisher {
	copied := *p
	copied.log = log
	copied.rng = rand.New(rand.NewPCG(1, 1))
	copied.pendingConfirmations = slices.Clone(p.pendingConfirmations)
	copied.sessions = map[uint64]*session{}
	copied.sessionsByID = map[string]*session{}
	copied.sessionOrder = list.New()
	copied.snapshotsInFlight = maps.Clone(p.snapshotsInFlight)
	copies := map[*session]*session{}
	for e := p.sessionOrder.Front(); e != nil; e = e.Next() {
		original := e.Value.(*session)
		s := *original
		s.inFlight = slices.Clone(original.inFlight)
		s.orderElement = copied.sessionOrder.PushBack(&s)
		copied.sessions[s.connID] = &s
		copied.sessionsByID[s.hello.ID] = &s
		copies[original] = &s
	}
	copied.expiries = make(expiryQueue, len(p.expiries))
	for i, s := range p.expiries {
		copied.expiries[i] = copies[s]
	}
	copied.snapshotQueue = nil
	for _, s := range p.snapshotQueue {
		copied.snapshotQueue = append(copied.snapshotQueue, copies[s])
	}
	return &copied
}

func (s *Subscriber) clone() *Subscriber {
	copied := *s
	copied.state = s.state.clone()
	copied.rng = rand.New(rand.NewPCG(1, 1))
	copied.members = maps.Clone(s.members)
	copied.candidates = map[string]*candidate{}
	for address, c := range s.candidates {
		copiedCandidate := *c
		copiedCandidate.pendingRenewals = slices.Clone(c.pendingRenewals)
		copiedCandidate.pendingConfirmations = slices.Clone(c.pendingConfirmations)
		copied.candidates[address] = &copiedCandidate
	}
	copied.activeCandidates = nil
	for _, c := range s.activeCandidates {
		copied.activeCandidates = append(copied.activeCandidates, copied.candidates[c.address])
	}
	copied.rankedCandidates = nil
	for _, c := range s.rankedCandidates {
		copied.rankedCandidates = append(copied.rankedCandidates, copied.candidates[c.address])
	}
	return &copied
}
