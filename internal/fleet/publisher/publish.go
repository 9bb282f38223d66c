package publisher

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

// run drives the core: at each tick, when updates arrive, and when pending changes are due.
func (s *Server) run() {
	defer s.goroutines.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	due := time.NewTimer(tickInterval)
	defer due.Stop()
	for {
		wait := time.Duration(0)
		select {
		case <-s.done:
			return
		case <-s.pending.wake:
			wait = s.publish(false)
		case <-due.C:
			wait = s.publish(false)
		case <-ticker.C:
			wait = s.publish(true)
		}
		if wait > 0 {
			due.Reset(wait)
		}
	}
}

// publish takes over pending updates and carries out what the core decides. It returns how long further changes have to wait, zero where
// there are none.
func (s *Server) publish(isTick bool) time.Duration {
	batch, wait := s.pending.take(s.options.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now() // read after waiting for the lock
	if isTick {
		s.core.Tick(now)
	}
	if batch.hasChanges() {
		s.apply(batch)
		s.core.LogChanged()
	}
	if batch.confirmation != nil {
		s.core.ConfirmVersion(batch.confirmation.at, batch.confirmation.version)
	}
	s.carryOut()
	if s.statusAt == 0 || now-s.statusAt >= statusInterval {
		s.refreshStatus(now)
	}
	return wait
}

// apply applies updates to the published state. One that does not fit is logged and leaves the state as it was.
func (s *Server) apply(batch updateBatch) {
	const message = "fleet: agreed state cannot be published"
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

// refreshStatus is called with mu held.
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

// carryOut performs the core's pending actions. It is called with mu held.
func (s *Server) carryOut() {
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

// enqueue queues messages. Consecutive ones to the same connection go out in one write, and the header of a shared message is built once.
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

func logEvent(log *zap.Logger, event changefeed.Event) {
	fields := []zap.Field{
		zap.String("subscriber", event.PeerID),
		zap.Duration("duration", event.Duration),
		zap.String("detail", event.Detail),
	}
	switch event.Kind {
	case changefeed.EventResumed:
		log.Warn("fleet: process was suspended, subscriber leases are extended", fields...)
	case changefeed.EventLeaseExpired:
		log.Warn("fleet: subscriber lease expired", fields...)
	case changefeed.EventSlowSubscriber:
		log.Warn("fleet: subscriber acknowledges nothing", fields...)
	case changefeed.EventForeignFleet:
		log.Warn("fleet: subscriber of another fleet", fields...)
	case changefeed.EventNewerProtocol:
		log.Warn("fleet: subscriber of a newer protocol version", fields...)
	default:
		log.Warn("fleet: malformed message of a subscriber", append(fields, zap.Stringer("event", event))...)
	}
}
