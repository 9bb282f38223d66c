package publisher

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

// run drives the core: at each tick, when updates arrive, and when pending changes are due. It ends with Close.
func (s *Server) run() {
	defer s.goroutines.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	publishTimer := time.NewTimer(tickInterval)
	defer publishTimer.Stop()
	for {
		wait := time.Duration(0)
		select {
		case <-s.done:
			return
		case <-s.pendingUpdates.wakeup:
			wait = s.publish(false)
		case <-publishTimer.C:
			wait = s.publish(false)
		case <-ticker.C:
			wait = s.publish(true)
		}
		if wait > 0 {
			publishTimer.Reset(wait)
		}
	}
}

// publish applies the updates that are due and performs the resulting actions of the core. It returns the time until further pending
// changes are due, or zero if there are none.
func (s *Server) publish(isTick bool) time.Duration {
	batch, wait := s.pendingUpdates.take(s.options.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now() // read again, because waiting for the lock takes time
	if isTick {
		s.core.Tick(now)
	}
	if batch.hasChanges() {
		s.applyUpdates(batch)
		s.core.LogChanged()
	}
	if batch.confirmation != nil {
		s.core.ConfirmVersion(batch.confirmation.at, batch.confirmation.version)
	}
	s.processReady()
	if s.statusAt == 0 || now-s.statusAt >= statusInterval {
		s.refreshStatus(now)
	}
	return wait
}

// applyUpdates applies updates to the published state. An update that does not apply is logged and leaves the state unchanged.
func (s *Server) applyUpdates(batch updateBatch) {
	const message = "fleet: agreed state not published"
	if batch.snapshot != nil {
		if err := s.state.install(batch.snapshot); err != nil {
			s.options.Log.Error(message, zap.Uint64("version", batch.snapshot.Version), zap.Error(err))
		}
	}
	for _, change := range batch.changes {
		if err := s.state.apply(change); err != nil {
			s.options.Log.Error(message, zap.Uint64("version", change.Version), zap.Error(err))
		}
	}
}

// refreshStatus stores the status that Status returns. mu is held.
func (s *Server) refreshStatus(now time.Duration) {
	s.statusAt = now
	age, ageKnown := s.core.Age(now)
	s.status.Store(&publishedStatus{
		Status: Status{
			Subscribers: s.core.SubscriberCounts(),
			Stats:       s.core.Stats,
			Version:     s.log.Version(),
			Digest:      s.log.Digest(),
			AgeKnown:    ageKnown,
		},
		confirmedAt: now - age,
	})
}

// processReady performs the core's pending actions. mu is held.
func (s *Server) processReady() {
	ready := s.core.Ready()
	s.enqueue(ready.Sends)
	for _, id := range ready.CloseConns {
		if c := s.conns[id]; c != nil {
			c.closeAfterQueue()
		}
	}
	for _, event := range ready.Events {
		logEvent(s.options.Log, event)
	}
}

// enqueue queues messages. Consecutive messages to the same connection are queued together, so that they go out in one write. The header of
// a message that several connections share is built once.
func (s *Server) enqueue(sends []changefeed.PublisherSend) {
	headers := map[*changefeed.SharedMessage][]byte{}
	var parts [][]byte
	for i, send := range sends {
		header, ok := headers[send.Message]
		if !ok {
			header = framing.Header(send.Message.Encoded())
			headers[send.Message] = header
		}
		parts = append(parts, header, send.Message.Encoded())
		if i+1 < len(sends) && sends[i+1].Conn == send.Conn {
			continue
		}
		if c := s.conns[send.Conn]; c != nil {
			c.enqueue(parts...)
		}
		parts = parts[:0]
	}
}

// logEvent logs an event that the core has reported.
func logEvent(log *zap.Logger, event changefeed.Event) {
	fields := []zap.Field{
		zap.String("subscriber", event.PeerID),
		zap.Duration("duration", event.Duration),
		zap.String("detail", event.Detail),
	}
	switch event.Kind {
	case changefeed.EventResumed:
		log.Warn("fleet: process was suspended, subscriber leases extended", fields...)
	case changefeed.EventLeaseExpired:
		log.Warn("fleet: subscriber session closed: lease expired", fields...)
	case changefeed.EventSlowSubscriber:
		log.Warn("fleet: subscriber session closed: no acknowledgement in time", fields...)
	case changefeed.EventForeignFleet:
		log.Warn("fleet: subscriber rejected: belongs to another fleet", fields...)
	case changefeed.EventNewerProtocol:
		log.Warn("fleet: subscriber rejected: newer protocol version", fields...)
	default:
		log.Warn("fleet: malformed message from a subscriber", append(fields, zap.Stringer("event", event))...)
	}
}
