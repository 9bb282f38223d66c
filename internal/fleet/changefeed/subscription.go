package changefeed

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Connected handles a dial that has succeeded: it sends a Hello and the first renewal.
func (s *Subscriber) Connected(address string) {
	c := s.candidates[address]
	if c == nil || c.state != stateDialing {
		s.ready.CloseAddrs = append(s.ready.CloseAddrs, address)
		return
	}
	c.state = stateOpen
	c.stateSince = s.now
	c.connection = connection{lastReceived: s.now, lastAnswered: s.now}
	c.isStandby = s.isSyncing(c)
	s.send(c, Message{Hello: s.hello(c)})
	s.emit(Event{Kind: EventSubscribed, PeerID: c.id, Addr: address})
	s.sendRenewal(c)
}

// isSyncing reports whether a publisher other than c is bringing the subscriber up to date.
func (s *Subscriber) isSyncing(c *candidate) bool {
	return slices.ContainsFunc(s.activeCandidates, func(other *candidate) bool {
		return other != c && other.state == stateOpen && !other.isSynced && !other.isStandby
	})
}

// hello returns the Hello for a new connection.
func (s *Subscriber) hello(c *candidate) *Hello {
	return &Hello{
		Fleet:           cmp.Or(s.state.Fleet(), s.config.Fleet),
		ProtocolVersion: ProtocolVersion,
		ID:              s.config.ID,
		Name:            s.config.Name,
		Incarnation:     s.config.Incarnation,
		Machine:         s.config.Machine,
		Zone:            s.config.Zone,
		Site:            s.config.Site,
		Version:         s.state.Version(),
		Digest:          s.state.Digest(),
		Standby:         c.isStandby,
	}
}

// DialFailed handles a dial that has failed.
func (s *Subscriber) DialFailed(address string) {
	c := s.candidates[address]
	if c == nil || c.state != stateDialing {
		return
	}
	s.Stats.DialFailures++
	s.connectionLost(c)
}

// ConnectionClosed handles the end of a connection that the subscriber did not close itself.
func (s *Subscriber) ConnectionClosed(address string) {
	c := s.candidates[address]
	if c == nil || c.state != stateOpen {
		return
	}
	s.emit(Event{Kind: EventUnsubscribed, Addr: address, Detail: "connection closed by the peer"})
	s.connectionLost(c)
}

// Progress handles the arrival of bytes of an incomplete message, so that a publisher that sends a large message slowly does not count as
// silent.
func (s *Subscriber) Progress(address string) {
	if c := s.candidates[address]; c != nil && c.state == stateOpen {
		c.lastReceived = s.now
		c.isReceiving = true
	}
}

// Disconnect tells all connected publishers that this process ends.
func (s *Subscriber) Disconnect() {
	for _, c := range s.activeCandidates {
		if c.state == stateOpen {
			s.send(c, Message{Disconnect: &Disconnect{}})
		}
	}
}

// Step handles a message from a publisher. An error describes a message that was not applied; the caller needs to do no more than log it.
// Messages on a connection that is not open are ignored.
func (s *Subscriber) Step(address string, message Message) error {
	c := s.candidates[address]
	if c == nil || c.state != stateOpen {
		return nil
	}
	c.lastReceived = s.now
	c.isReceiving = false
	switch {
	case message.Change != nil:
		return s.handleChange(c, message.Change)
	case message.Snapshot != nil:
		return s.handleSnapshot(c, message.Snapshot)
	case message.RenewResponse != nil:
		return s.handleRenewResponse(c, message.RenewResponse)
	case message.Reject != nil:
		s.dropRejecting(c, message.Reject)
	case message.Operation != nil, message.OperationResult != nil, message.PutRequest != nil, message.PutResponse != nil:
	default:
		s.Stats.InvalidMessages++
		err := fmt.Errorf("%w: no known content", ErrMalformedMessage)
		s.dropInvalid(c, EventMessageRejected, err)
		return err
	}
	return nil
}

// handleChange applies a change, and acknowledges it once enough bytes are unacknowledged.
func (s *Subscriber) handleChange(c *candidate, change *Change) error {
	if err := s.state.Apply(*change); err != nil {
		return s.handleApplyError(c, change.Version, err)
	}
	s.Stats.Changes++
	s.digestMismatch = false
	c.unackedBytes += change.Size()
	s.recordUpdate(Update{Version: change.Version, Items: change.Items})
	if c.unackedBytes >= ackThresholdBytes {
		s.acknowledge(c)
	}
	return nil
}

// handleSnapshot installs a snapshot and acknowledges it.
func (s *Subscriber) handleSnapshot(c *candidate, snapshot *Snapshot) error {
	before := s.state.Version()
	if s.config.Fleet != "" && snapshot.Fleet != "" && snapshot.Fleet != s.config.Fleet {
		return s.handleApplyError(c, snapshot.Version, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, snapshot.Fleet, s.config.Fleet))
	}
	if err := s.state.Install(*snapshot); err != nil {
		return s.handleApplyError(c, snapshot.Version, err)
	}
	if s.state.Version() == before {
		s.Stats.Duplicates++
		return nil
	}
	s.Stats.Snapshots++
	s.digestMismatch = false
	s.recordUpdate(Update{Version: snapshot.Version, Items: snapshot.Items, Complete: true})
	s.acknowledge(c)
	return nil
}

// handleApplyError reacts to a change or snapshot that was not applied: it requests what is missing, or drops the publisher. It returns nil
// for a duplicate, which is not newer than the state.
func (s *Subscriber) handleApplyError(c *candidate, version uint64, err error) error {
	switch {
	case errors.Is(err, ErrOutOfOrder) && version <= s.state.Version():
		s.Stats.Duplicates++
		return nil
	case errors.Is(err, ErrOutOfOrder):
		s.Stats.Gaps++
		s.requestSync(c, false)
	case errors.Is(err, ErrDigestMismatch):
		s.Stats.DigestMismatches++
		if !s.digestMismatch {
			s.digestMismatch = true
			s.emit(Event{Kind: EventDigestMismatch, Addr: c.address, Version: s.state.Version(), Detail: err.Error()})
		}
		s.requestSync(c, true)
	case errors.Is(err, ErrConflict):
		s.dropConflicting(c, err)
	case errors.Is(err, ErrForeignFleet):
		s.Stats.InvalidMessages++
		s.dropInvalid(c, EventForeignFleet, err)
	default:
		s.Stats.InvalidMessages++
		s.dropInvalid(c, EventMessageRejected, err)
	}
	return err
}

// recordUpdate adds an applied update to the pending actions, and updates the list of publishers and the age of the state.
func (s *Subscriber) recordUpdate(update Update) {
	s.ready.Updates = append(s.ready.Updates, update)
	s.recentDigests[update.Version%recentDigestCount] = versionDigest{version: update.Version, digest: s.state.Digest()}
	if update.Complete || slices.ContainsFunc(update.Items, isMemberItem) {
		s.updateMembers(update)
	}
	for _, c := range s.activeCandidates {
		s.applyConfirmations(c)
	}
	s.updateStaleness()
}

// isMemberItem reports whether an item names a member, or deletes one.
func isMemberItem(item Item) bool { return strings.HasPrefix(item.Key, MemberPrefix) }

// handleRenewResponse processes a publisher's confirmation: its version was the newest agreed one at the time of the request minus the age
// that it reports. This confirms the subscriber's state, too, once it has that version.
func (s *Subscriber) handleRenewResponse(c *candidate, response *RenewResponse) error {
	index := slices.IndexFunc(c.pendingRenewals, func(r pendingRenewal) bool { return r.sequence == response.Sequence })
	if index < 0 {
		return nil // the renewal was never sent, is already answered, or was dropped
	}
	requestedAt := c.pendingRenewals[index].sentAt
	c.pendingRenewals = slices.Delete(c.pendingRenewals, 0, index+1)
	c.lastAnswered = s.now
	c.lastResponse = max(c.lastResponse, response.Sequence)
	if err := s.checkHistory(response); err != nil {
		s.dropConflicting(c, err)
		return err
	}
	s.recordHealth(c, requestedAt, response)
	s.applyConfirmations(c)
	version := s.state.Version()
	if response.Version <= version {
		s.markSynced(c)
	}
	c.syncPending = c.syncPending && response.Sequence <= c.syncSequence
	if (response.SentVersion > version || response.Standby) && !c.syncPending && !c.isStandby { // the publisher sent something that did not arrive
		s.Stats.Gaps++
		s.requestSync(c, s.digestMismatch)
	}
	s.updateStaleness()
	s.reconcile()
	return nil
}

// checkHistory returns ErrConflict if the subscriber's state had another digest at the publisher's version.
func (s *Subscriber) checkHistory(response *RenewResponse) error {
	recent := s.recentDigests[response.Version%recentDigestCount]
	if recent.version != response.Version || recent.digest == response.Digest {
		return nil
	}
	return fmt.Errorf("%w: publisher at version %d with digest %016x, here %016x", ErrConflict, response.Version, response.Digest, recent.digest)
}

// recordHealth records whether the age that a publisher reports is within the lease. A publisher that exceeds it stays connected until
// another one is healthy.
func (s *Subscriber) recordHealth(c *candidate, requestedAt time.Duration, response *RenewResponse) {
	if !response.AgeKnown || response.Age > s.config.Lease || response.Age < 0 {
		if c.avoidUntil <= s.now {
			s.recordFailure(c)
		}
		return
	}
	c.isHealthy = true
	c.avoidUntil = 0
	if s.now-c.stateSince >= failureResetAfter {
		c.consecutiveFailures = 0
		c.hasFailed = false
	}
	if len(c.pendingConfirmations) < maxConnectionConfirmations {
		c.pendingConfirmations = append(c.pendingConfirmations, confirmation{at: requestedAt - response.Age, version: response.Version, digest: response.Digest})
	}
}

// applyConfirmations applies the pending confirmations of versions that the state has, and drops those that are older than a lease.
func (s *Subscriber) applyConfirmations(c *candidate) {
	c.pendingConfirmations = slices.DeleteFunc(c.pendingConfirmations, func(pending confirmation) bool {
		if pending.version > s.state.Version() {
			return s.now-pending.at > s.config.Lease
		}
		if !s.hasConfirmation || pending.at > s.confirmedAt {
			s.hasConfirmation = true
			s.confirmedAt = pending.at
		}
		return true
	})
}

// markSynced records that a publisher has nothing newer than the state. It ends the standby of the other connections.
func (s *Subscriber) markSynced(c *candidate) {
	if c.isSynced {
		return
	}
	c.isSynced = true
	for _, other := range s.activeCandidates {
		if other.state == stateOpen && other.isStandby {
			s.requestSync(other, false)
		}
	}
}

// requestSync asks a publisher for everything after the state's version, by a snapshot if forceSnapshot is set, unless the same request is
// pending.
func (s *Subscriber) requestSync(c *candidate, forceSnapshot bool) {
	if c.syncPending && c.syncVersion == s.state.Version() && (c.syncForcesSnapshot || !forceSnapshot) {
		return
	}
	s.Stats.SyncRequests++
	c.isStandby = false
	c.syncPending = true
	c.syncSequence = c.lastSequence
	c.syncVersion = s.state.Version()
	c.syncForcesSnapshot = forceSnapshot
	c.unackedBytes = 0
	s.send(c, Message{SyncRequest: &SyncRequest{
		Version:       s.state.Version(),
		Digest:        s.state.Digest(),
		ForceSnapshot: forceSnapshot,
		LastResponse:  c.lastResponse,
	}})
}

// acknowledge sends an Ack of the state's version to a publisher.
func (s *Subscriber) acknowledge(c *candidate) {
	c.unackedBytes = 0
	s.send(c, Message{Ack: &Ack{Version: s.state.Version(), Digest: s.state.Digest()}})
}

// sendRenewal sends a RenewRequest to a publisher and schedules the next one.
func (s *Subscriber) sendRenewal(c *candidate) {
	c.lastSequence++
	c.nextRenewAt = s.now + RenewInterval*3/4 + time.Duration(s.rng.Float64()*float64(RenewInterval)/2)
	if len(c.pendingRenewals) >= maxPendingRenewals {
		c.pendingRenewals = slices.Delete(c.pendingRenewals, 0, 1)
	}
	c.pendingRenewals = append(c.pendingRenewals, pendingRenewal{sequence: c.lastSequence, sentAt: s.now})
	c.unackedBytes = 0
	s.send(c, Message{RenewRequest: &RenewRequest{
		Sequence:     c.lastSequence,
		LastResponse: c.lastResponse,
		Version:      s.state.Version(),
		Digest:       s.state.Digest(),
	}})
}
