package changefeed

import "slices"

// acknowledge records what a subscriber has, and continues with what it lacks.
func (p *Publisher) acknowledge(s *session, version, digest uint64) {
	if version < s.ackedVersion {
		return // out of date
	}
	s.ackedVersion = version
	s.ackedDigest = digest
	acked := 0
	for acked < len(s.inFlight) && s.inFlight[acked].version <= version {
		p.release(s, s.inFlight[acked])
		acked++
	}
	s.inFlight = slices.Delete(s.inFlight, 0, acked)
	if acked > 0 || len(s.inFlight) == 0 {
		s.lastProgress = p.now
	}
	if version > s.sentVersion { // received from another publisher
		s.sentVersion = version
		s.sentDigest = digest
	}
	p.resume(s)
}

// release returns the window and the reference to a snapshot that an in-flight message holds.
func (p *Publisher) release(s *session, message inFlightMessage) {
	s.inFlightBytes -= message.size
	if !message.isSnapshot || p.snapshotsInFlight[message.version] == 0 {
		return
	}
	p.snapshotsInFlight[message.version]--
	if p.snapshotsInFlight[message.version] == 0 {
		delete(p.snapshotsInFlight, message.version)
	}
}

func (p *Publisher) releaseAll(s *session) {
	for _, message := range s.inFlight {
		p.release(s, message)
	}
	s.inFlight = s.inFlight[:0]
	s.lastProgress = p.now
}

// resume continues with a subscriber that has just reported its version. Where the log does not reach back to it, it is queued for a
// snapshot, once it has acknowledged what is in flight.
func (p *Publisher) resume(s *session) {
	if !s.awaitingResume {
		p.sendChanges(s)
		return
	}
	if len(s.inFlight) > 0 {
		return
	}
	s.awaitingResume = false
	if s.standby {
		return
	}
	if s.forceSnapshot || !p.log.canReplayFrom(s.sentVersion, s.sentDigest) {
		if !s.awaitingSnapshot {
			s.awaitingSnapshot = true
			p.snapshotQueue = append(p.snapshotQueue, s)
		}
		return
	}
	p.sendChanges(s)
}

// sendChanges sends the changes that a subscriber lacks, as far as its window allows.
func (p *Publisher) sendChanges(s *session) {
	if s.standby || s.awaitingSnapshot || s.awaitingResume {
		return
	}
	for s.sentVersion < p.log.Version() {
		if !p.log.canReplayFrom(s.sentVersion, s.sentDigest) {
			s.awaitingResume = true
			return
		}
		next := p.log.entryAfter(s.sentVersion)
		if !p.hasWindow(s, next.size) {
			return
		}
		p.deliver(s, next.message, next.change.DigestAfter, inFlightMessage{version: next.change.Version, size: next.size})
		p.Stats.Changes++
	}
}

// hasWindow reports whether a message of a size may be sent now. A message that exceeds the window is sent alone.
func (p *Publisher) hasWindow(s *session, size int) bool {
	if len(s.inFlight) == 0 {
		return true
	}
	return s.inFlightBytes+size <= p.config.WindowBytes && len(s.inFlight) < maxUnackedMessages
}

// deliver sends a change or snapshot, after which the subscriber's state has the digest.
func (p *Publisher) deliver(s *session, message *SharedMessage, digest uint64, sent inFlightMessage) {
	if len(s.inFlight) == 0 {
		s.lastProgress = p.now
	}
	s.inFlight = append(s.inFlight, sent)
	s.inFlightBytes += sent.size
	s.sentVersion = sent.version
	s.sentDigest = digest
	p.Stats.Bytes += uint64(sent.size)
	p.ready.Sends = append(p.ready.Sends, PublisherSend{Conn: s.connID, Message: message})
}

// sendSnapshots sends snapshots to queued subscribers, first come, first served, within the budget.
func (p *Publisher) sendSnapshots() {
	served := 0
	for ; served < len(p.snapshotQueue) && p.snapshotBudget > 0; served++ {
		s := p.snapshotQueue[served]
		s.awaitingSnapshot = false
		if !s.forceSnapshot && p.log.canReplayFrom(s.sentVersion, s.sentDigest) { // brought up to date by another publisher
			p.sendChanges(s)
			continue
		}
		if s.sentVersion >= p.log.Version() { // nothing newer; the subscriber finds a conflict at the same version by its next renewal
			s.forceSnapshot = false
			continue
		}
		if sent := p.sendSnapshot(s); !sent {
			s.awaitingSnapshot = true
			break
		}
	}
	p.snapshotQueue = slices.Delete(p.snapshotQueue, 0, served)
}

// sendSnapshot sends a snapshot and the changes after it. It returns false where too many different snapshots are in flight.
func (p *Publisher) sendSnapshot(s *session) bool {
	message := p.log.snapshotNewerThan(s.sentVersion)
	snapshot := message.Content.Snapshot
	if p.snapshotsInFlight[snapshot.Version] == 0 && len(p.snapshotsInFlight) >= maxDistinctSnapshots {
		return false
	}
	p.snapshotsInFlight[snapshot.Version]++
	size := snapshot.Size()
	p.snapshotBudget -= float64(size)
	s.forceSnapshot = false
	p.releaseAll(s)
	p.deliver(s, message, snapshot.Digest, inFlightMessage{version: snapshot.Version, size: size, isSnapshot: true})
	p.Stats.Snapshots++
	p.sendChanges(s)
	return true
}
