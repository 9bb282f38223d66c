package changefeed

import (
	"fmt"
	"hash/maphash"
	"time"
)

var fingerprintSeed = maphash.MakeSeed()

// fingerprinter hashes a state of the model world.
type fingerprinter struct {
	hash maphash.Hash
	now  time.Duration
}

// add adds values to the hash by their text.
func (f *fingerprinter) add(values ...any) {
	_, _ = fmt.Fprintln(&f.hash, values...) // a hash never returns an error
}

// ago returns the time since a moment: negative for a moment in the future, and at least minus one minute.
func (f *fingerprinter) ago(at time.Duration) time.Duration {
	return max(f.now-at, -time.Minute)
}

// fingerprint returns a hash of a state of the world, with times relative to now. States with equal fingerprints have the same successors,
// except for random numbers.
func (w *modelWorld) fingerprint() uint64 {
	f := &fingerprinter{now: w.now}
	f.hash.SetSeed(fingerprintSeed)
	f.add(w.remaining, w.source.Version(), w.violation)
	for _, at := range w.agreedAt {
		f.add(min(f.ago(at), time.Minute))
	}
	for _, pub := range w.publishers {
		f.add("publisher", pub.log.Version(), pub.log.Changes(), pub.isSuspended)
		f.addPublisher(pub.core)
	}
	for _, sub := range w.subscribers {
		f.add("subscriber", sub.isSuspended)
		f.addSubscriber(sub.core)
		for _, address := range []string{"r0", "r1"} {
			f.addCandidate(sub.core.candidates[address])
			f.addConn(sub.conns[address])
		}
	}
	return f.hash.Sum64()
}

func (f *fingerprinter) addPublisher(p *Publisher) {
	f.add(p.hasConfirmation, f.ago(p.latestConfirmation.at), f.ago(p.now), len(p.pendingConfirmations), len(p.snapshotQueue))
	for e := p.sessionOrder.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		f.add("session", s.hello.ID, s.hello.Incarnation, f.ago(s.lastReceived))
		f.add(s.ackedVersion, s.sentVersion)
		f.add(s.isStandby, s.awaitingResume, s.forceSnapshot, s.awaitingSnapshot)
		f.add(len(s.inFlight), s.inFlightBytes)
		f.add(s.lastAnswered, s.lastResponse, s.syncPending)
	}
}

func (f *fingerprinter) addSubscriber(s *Subscriber) {
	f.add(s.state.Version(), s.hasConfirmation, f.ago(s.confirmedAt), s.isStale, f.ago(s.now))
	f.add(s.digestMismatch, f.ago(s.replacementDueAt), s.replacementIsUrgent)
}

func (f *fingerprinter) addCandidate(c *candidate) {
	if c == nil {
		return
	}
	f.add("candidate", c.state, f.ago(c.stateSince), f.ago(c.lastReceived), f.ago(c.lastAnswered))
	f.add(c.isHealthy, c.isSynced, c.isStandby)
	f.add(c.lastSequence, c.lastResponse, len(c.pendingRenewals), c.pendingConfirmations, f.ago(c.nextRenewAt))
	f.add(c.syncPending, c.syncSequence, c.syncVersion, c.syncForcesSnapshot, c.unackedBytes)
	f.add(c.consecutiveFailures, c.hasFailed, f.ago(c.avoidUntil), c.hasRejected)
}

func (f *fingerprinter) addConn(conn *modelConn) {
	if conn == nil {
		return
	}
	for _, messages := range conn.inTransit {
		f.add("in transit", conn.isOpen, len(messages))
		for _, message := range messages {
			if message != nil {
				f.addMessage(message)
			}
		}
	}
}

func (f *fingerprinter) addMessage(m *Message) {
	switch {
	case m.RenewRequest != nil:
		f.add(*m.RenewRequest)
	case m.RenewResponse != nil:
		f.add(*m.RenewResponse)
	case m.Change != nil:
		f.add("change", m.Change.Version)
	case m.Snapshot != nil:
		f.add("snapshot", m.Snapshot.Version)
	case m.SyncRequest != nil:
		f.add(*m.SyncRequest)
	case m.Ack != nil:
		f.add(*m.Ack)
	case m.Hello != nil:
		f.add(*m.Hello)
	default:
		f.add("other")
	}
}
