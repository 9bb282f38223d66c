package hotrestart

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

var errNoConfirmation = errors.New("the other process confirms nothing")

// writeLoop sends what is queued until the sending is closed. It alone settles what is left then: anyone else could take a message
// that was never sent for an unconfirmed one.
func (l *Link) writeLoop() {
	for {
		out, ok := l.nextOutbound()
		if !ok {
			break
		}
		l.write(out)
	}
	l.settleQueue()
	l.settleUnconfirmed()
}

// nextOutbound waits for a message that may be sent; false once the sending is closed.
func (l *Link) nextOutbound() (outbound, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.sendClosed && !l.canSendLocked() {
		l.stateChanged.Wait()
	}
	if l.sendClosed {
		return outbound{}, false
	}
	out := l.queue[0]
	l.queue = l.queue[1:]
	if len(out.descriptors) > 0 {
		l.unconfirmed = append(l.unconfirmed, out)
		if len(l.unconfirmed) == 1 {
			l.confirmTimer.Reset(confirmTimeout)
		}
	}
	return out, true
}

func (l *Link) canSendLocked() bool {
	if len(l.queue) == 0 {
		return false
	}
	return len(l.queue[0].descriptors) == 0 || len(l.unconfirmed) < maxUnconfirmed
}

// write sends one message. If that fails the message returns to its caller, and nothing more is sent.
func (l *Link) write(out outbound) {
	var rights []byte
	if len(out.descriptors) > 0 {
		rights = unix.UnixRights(out.descriptors...)
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(confirmTimeout)) // the write reports a closed connection
	_, _, err := l.conn.WriteMsgUnix(out.payload, rights, nil)
	if err == nil {
		return
	}
	if len(out.descriptors) > 0 {
		l.mu.Lock()
		l.unconfirmed = l.unconfirmed[:len(l.unconfirmed)-1] // it was not sent
		l.mu.Unlock()
	}
	l.closeSend()
	out.settle(Returned)
	if !isClosedByPeer(err) { // otherwise what the other process sent before is still read, to its end
		l.giveUpSending(fmt.Errorf("writing: %w", err))
	}
}

// settleQueue returns what was never sent.
func (l *Link) settleQueue() {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, out := range queue {
		out.settle(Returned)
	}
}

// settleUnconfirmed waits until no confirmation can arrive any more and settles what is unconfirmed.
func (l *Link) settleUnconfirmed() {
	l.mu.Lock()
	for !l.readDone {
		l.stateChanged.Wait()
	}
	unconfirmed, outcome := l.unconfirmed, l.finalOutcome
	l.unconfirmed = nil
	l.mu.Unlock()
	l.confirmTimer.Stop()
	for _, out := range unconfirmed {
		out.settle(outcome)
	}
}

// onConfirmTimeout runs when the oldest unconfirmed message was not confirmed in time: the other process hangs.
func (l *Link) onConfirmTimeout() {
	if l.hasUnconfirmed() {
		l.giveUpSending(errNoConfirmation)
	}
}

func (l *Link) hasUnconfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unconfirmed) > 0
}

// giveUpSending sends nothing more, and gives the other process some time to confirm what it was sent: if it ends meanwhile, what
// it has not confirmed is returned.
func (l *Link) giveUpSending(why error) {
	l.closeSend()
	if !l.hasUnconfirmed() {
		// No half-close here: a process that is sent something and can't confirm it must be seen to have ended.
		l.closeWithReason(why)
		return
	}
	_ = l.conn.CloseWrite() // fails only on a connection that has ended, which the reader sees
	time.AfterFunc(silentPeerTimeout, func() { l.closeWithReason(why) })
}

// handleConfirmation settles the oldest unconfirmed message.
func (l *Link) handleConfirmation() {
	l.mu.Lock()
	if len(l.unconfirmed) == 0 { // nothing was sent: ignored
		l.mu.Unlock()
		return
	}
	out := l.unconfirmed[0]
	l.unconfirmed = l.unconfirmed[1:]
	if len(l.unconfirmed) > 0 {
		l.confirmTimer.Reset(confirmTimeout)
	} else {
		l.confirmTimer.Stop()
	}
	l.stateChanged.Broadcast()
	l.mu.Unlock()
	out.settle(Confirmed)
}
