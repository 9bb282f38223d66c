package hotrestart

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

var errNoConfirmation = errors.New("the other process does not confirm messages in time")

// writeLoop sends the queued messages until sending is closed. Only this goroutine settles the remaining messages then: any other could
// mistake a message that was never sent for an unconfirmed one.
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

// nextOutbound waits for a message that may be sent. It returns false once sending is closed.
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

// write sends one message. If that fails, the message returns to its caller and nothing more is sent.
func (l *Link) write(out outbound) {
	var controlData []byte
	if len(out.descriptors) > 0 {
		controlData = unix.UnixRights(out.descriptors...)
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(confirmTimeout)) // the call fails only on a closed connection, which the write reports
	_, _, err := l.conn.WriteMsgUnix(out.payload, controlData, nil)
	if err == nil {
		if len(out.descriptors) == 0 {
			out.settle(Written)
		}
		return
	}
	if len(out.descriptors) > 0 {
		l.mu.Lock()
		l.unconfirmed = l.unconfirmed[:len(l.unconfirmed)-1] // the message was not sent
		l.mu.Unlock()
	}
	l.closeSend()
	out.settle(Returned)
	if !isClosedByPeer(err) { // after a close by the peer, the receiver still reads the messages that the peer sent before
		l.closeAfterConfirmations(fmt.Errorf("write message: %w", err))
	}
}

// settleQueue settles the messages that were never sent as Returned.
func (l *Link) settleQueue() {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, out := range queue {
		out.settle(Returned)
	}
}

// settleUnconfirmed waits until no further confirmation can arrive and settles the unconfirmed messages.
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

// onConfirmTimeout runs when the oldest unconfirmed message was not confirmed in time, because the other process hangs.
func (l *Link) onConfirmTimeout() {
	if l.hasUnconfirmed() {
		l.closeAfterConfirmations(errNoConfirmation)
	}
}

func (l *Link) hasUnconfirmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unconfirmed) > 0
}

// closeAfterConfirmations stops sending and gives the other process some time to confirm the messages that it was sent. If it ends in
// the meantime, the messages that it has not confirmed return to the caller.
func (l *Link) closeAfterConfirmations(reason error) {
	l.closeSend()
	if !l.hasUnconfirmed() {
		// There is no half-close here: if the other process then sends descriptors that this one can't confirm, it must see that this
		// process has closed the connection.
		l.closeWithReason(reason)
		return
	}
	_ = l.conn.CloseWrite() // the call fails only on a connection that has ended, which the receiver reports
	time.AfterFunc(silentPeerTimeout, func() { l.closeWithReason(reason) })
}

// handleConfirmation settles the oldest unconfirmed message.
func (l *Link) handleConfirmation() {
	l.mu.Lock()
	if len(l.unconfirmed) == 0 { // a confirmation that no message awaits is ignored
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
