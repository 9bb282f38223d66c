package changefeed

import "slices"

// acknowledge records the version that a subscriber has, and continues to send the changes that it lacks.
func (p *Publisher) acknowledge(s *session, version, digest uint64) {
	if version < s.ackedVersion {
		return // an older acknowledgement, overtaken by a newer one
	}
	s.ackedVersion = version
	s.ackedDigest = digest
	acked := 0
	for acked < len(s.inFlight) && s.inFlight[acked].version <= version {
		p.releaseInFlight(s, s.inFlight[acked])
		acked++
	}
	s.inFlight = slices.Delete(s.inFlight, 0, acked)
	if acked > 0 || len(s.inFlight) == 0 {
		s.lastProgress = p.now
	}
	if version > s.sentVersion { // the subscriber received this version from another publisher
		s.sentVersion = version
		s.sentDigest = digest
	}
	p.resumeSession(s)
}

// releaseInFlight frees the part of the window that a message in flight occupies, and its reference to a snapshot.
func (p *Publisher) releaseInFlight(s *session, message inFlightMessage) {
	s.inFlightBytes -= message.size
	if !message.isSnapshot || p.snapshotsInFlight[message.version] == 0 {
		return
	}
	p.snapshotsInFlight[message.version]--
	if p.snapshotsInFlight[message.version] == 0 {
		delete(p.snapshotsInFlight, message.version)
	}
}

// releaseAllInFlight frees the whole window of a session, because the messages in flight are superseded or the session
// ends.
func (p *Publisher) releaseAllInFlight(s *session) {
	for _, message := range s.inFlight {
		p.releaseInFlight(s, message)
	}
	s.inFlight = s.inFlight[:0]
	s.lastProgress = p.now
}

// resumeSession continues to send to a subscriber that has just reported its version. A subscriber to whose version the log does not reach
// back is queued for a snapshot once it has acknowledged all messages in flight.
func (p *Publisher) resumeSession(s *session) {
	if !s.awaitingResume {
		p.sendChanges(s)
		return
	}
	if len(s.inFlight) > 0 {
		return
	}
	s.awaitingResume = false
	if s.isStandby {
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

// sendChanges sends the changes that a subscriber lacks, as many as its window permits.
func (p *Publisher) sendChanges(s *session) {
	if s.isStandby || s.awaitingSnapshot || s.awaitingResume {
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
		p.deliverStateMessage(s, next.message, next.change.DigestAfter, inFlightMessage{version: next.change.Version, size: next.size})
		p.Stats.Changes++
	}
}

// hasWindow reports whether the window has room for a message of a size. A message larger than the window is sent when nothing else is in
// flight.
func (p *Publisher) hasWindow(s *session, size int) bool {
	if len(s.inFlight) == 0 {
		return true
	}
	return s.inFlightBytes+size <= p.config.WindowBytes && len(s.inFlight) < maxUnackedMessages
}

// deliverStateMessage sends a change or snapshot and records it as in flight. The digest is that of the subscriber's state after it.
func (p *Publisher) deliverStateMessage(s *session, message *SharedMessage, digest uint64, sent inFlightMessage) {
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

// sendSnapshots sends snapshots to queued subscribers in the order of the queue, while the budget lasts.
func (p *Publisher) sendSnapshots() {
	served := 0
	for ; served < len(p.snapshotQueue) && p.snapshotBudget > 0; served++ {
		s := p.snapshotQueue[served]
		s.awaitingSnapshot = false
		if !s.forceSnapshot && p.log.canReplayFrom(s.sentVersion, s.sentDigest) { // another publisher has brought the subscriber up to date
			p.sendChanges(s)
			continue
		}
		if s.sentVersion >= p.log.Version() { // there is no newer snapshot; the subscriber detects a conflict at the same version by its next renewal
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

// sendSnapshot sends a snapshot and the changes after it. It returns false, and sends nothing, while too many different snapshots are in
// flight.
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
	p.releaseAllInFlight(s)
	p.deliverStateMessage(s, message, snapshot.Digest, inFlightMessage{version: snapshot.Version, size: size, isSnapshot: true})
	p.Stats.Snapshots++
	p.sendChanges(s)
	return true
}
