package balancer

import (
	"time"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// This file writes the requests of attempts, on goroutines of their own, and makes the last checks before each write.

// maxCheckAge is the maximum age of the loop's last check when a request is written.
const maxCheckAge = 100 * time.Millisecond

// sendCheck is the loop's check that an attempt's request may be written, and how long it is valid.
type sendCheck struct {
	madeAt        time.Time
	validFor      time.Duration
	isReplicated  bool
	writeDeadline time.Duration // end of the fleet's permission to write on the boot-time clock, if isReplicated is set
}

// newSendCheck returns the check of a session's newest attempt, made at the loop time now.
func newSendCheck(session *session, now time.Duration) sendCheck {
	check := sendCheck{madeAt: time.Now(), validFor: min(maxCheckAge, session.sendTimeout(now))}
	if record := session.record; record != nil {
		check.isReplicated = true
		check.writeDeadline = record.writeDeadline
	}
	return check
}

// hasExpired reports whether the check has to be made again before the request is written.
func (c sendCheck) hasExpired() bool {
	if c.isReplicated && boottime.Now() >= c.writeDeadline {
		return true
	}
	return time.Since(c.madeAt) >= c.validFor
}

// sendRequest writes the session's request on a separate goroutine, as the write is the most expensive part of an attempt. Just before
// the write, it checks what the loop may not know yet: that the client has not disconnected, and that the process has not stalled
// since the loop's checks, for longer than they are valid.
func (l *Loop) sendRequest(session *session, generation int, c *relay.Conn) {
	session.requestSent = true
	text := session.request.WithTimeout(session.attemptDeadline - l.now)
	check := newSendCheck(session, l.now)
	go func() {
		err := c.CheckOpen()
		if err == nil {
			if !l.clientWaits(session, generation) {
				return
			}
			if check.hasExpired() {
				l.postIfActive(session, generation, func() {
					session.requestSent = false
					l.upstreamDialed(session, generation, c, nil)
				})
				return
			}
			err = c.WriteFirst(text)
		}
		if err != nil { // the connection has ended, or the request was not written completely
			l.postIfActive(session, generation, func() { l.attemptEnded(session, policy.ConnectFailed, err) })
			return
		}
		c.AwaitLine()
	}()
}

// clientWaits reports whether, by the state of its socket, the session's client still waits for its answer. If not, it has the loop
// end the session, unless the attempt has ended by then. It is called from goroutines other than the loop's.
func (l *Loop) clientWaits(session *session, generation int) bool {
	switch session.client.presence() {
	case clientWaiting:
		return true
	case clientSentMore:
		l.postIfActive(session, generation, func() { l.unexpectedLine(session) })
	default:
		l.postIfActive(session, generation, func() {
			l.clientDisconnected(session.client, &DisconnectError{Stage: StageWritten, Cause: errPeerClosed})
		})
	}
	return false
}
