package relay

import (
	"bytes"
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/protocol"
	"sabletally/internal/socket"
)

// nextLineLocked removes the next complete line from the buffered input and returns it, nil if there is none.
func (c *Conn) nextLineLocked() []byte {
	end := bytes.IndexByte(c.partial, '\n')
	if end < 0 {
		return nil
	}
	raw := bytes.Clone(c.partial[:end+1])
	c.partial = append(c.partial[:0], c.partial[end+1:]...)
	return raw
}

// onReadable handles a read event. It reads once, so that a connection that sends at full speed does not starve the others.
func (c *Conn) onReadable() {
	c.mu.Lock()
	switch {
	case c.closed || c.state == stateJoining: // the event of a joining connection is reported again once it is paired
		c.mu.Unlock()
		return
	// A hang-up: the unread input waits until the other side accepts more.
	case c.state == statePaired && c.interest&unix.EPOLLIN == 0 && !c.peerEnded:
		c.setEdgeTriggeredLocked(true)
		c.mu.Unlock()
		return
	case c.state == stateDialing:
		c.mu.Unlock()
		c.onConnected()
		return
	}
	n, err := socket.Read(c.fd, c.worker.readBuffer)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		if c.oneShot {
			c.setInterestLocked(unix.EPOLLIN, true)
		}
		c.mu.Unlock()
		return
	}
	if socket.IsTemporary(err) {
		c.readLaterLocked()
		c.mu.Unlock()
		return
	}
	if n <= 0 || err != nil {
		c.mu.Unlock()
		if err != nil {
			err = os.NewSyscallError("read", err)
		}
		c.onEnded(err)
		return
	}
	input := c.worker.readBuffer[:n]
	switch c.state {
	case stateUnpaired:
		raw, err := c.addInputLocked(input)
		c.mu.Unlock()
		c.reportLine(raw, err)
	case statePaired:
		c.countMigratedLocked(n)
		c.nextSmallWriteAt = 0 // the peer has written, so its next answer is not held back for coalescing
		c.mu.Unlock()
		c.forward(input)
	default:
		c.mu.Unlock()
	}
}

// readLaterLocked schedules another read after a delay, because the kernel is short of memory.
func (c *Conn) readLaterLocked() {
	c.worker.relay.ReadRetries.Add(1)
	if !c.oneShot { // a one-shot connection is disarmed already
		c.setInterestLocked(unix.EPOLLIN, false)
	}
	time.AfterFunc(shortageRetryDelay, c.readAgain)
}

// readAgain starts waiting for input again.
func (c *Conn) readAgain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAgainLocked()
}

func (c *Conn) readAgainLocked() {
	if !c.peerEnded {
		c.edgeTriggered = false
		c.setInterestLocked(unix.EPOLLIN, true)
	}
}

// addInputLocked buffers the input of a connection that is not part of a pair and returns its next complete line, nil if there is none.
func (c *Conn) addInputLocked(input []byte) ([]byte, error) {
	c.partial = append(c.partial, input...)
	c.responseTime = c.worker.relay.now() - c.firstWrittenAt
	raw := c.nextLineLocked()
	if raw != nil {
		return raw, nil
	}
	if len(c.partial) >= protocol.MaxLineBytes {
		return nil, ErrLineTooLong
	}
	c.setInterestLocked(unix.EPOLLIN, true)
	return nil, nil
}

func (c *Conn) reportLine(raw []byte, err error) {
	switch {
	case err != nil:
		c.worker.relay.handler.Disconnected(c, true, err)
	case raw != nil:
		c.worker.relay.handler.LineReceived(c, raw)
	}
}

// forward writes the complete lines of the input to the other side and buffers the remaining partial line. Only one goroutine at a time
// forwards a connection's input: its worker's, or the one that creates the pair, before the connection waits for events.
func (c *Conn) forward(input []byte) {
	pending := input
	if len(c.partial) > 0 {
		c.partial = append(c.partial, input...)
		pending = c.partial
	}
	end := bytes.LastIndexByte(pending, '\n') + 1
	lines, rest := pending[:end], pending[end:]
	good, err := c.inspect(lines)
	if err == nil && len(rest) >= protocol.MaxLineBytes {
		err = ErrLineTooLong
	}
	if good > 0 {
		c.writeToOther(lines[:good])
	}
	if err != nil {
		c.fail(err)
		return
	}
	c.keepPartial(rest)
}

// writeToOther writes lines to the other side and stops reading if that side does not accept them all.
func (c *Conn) writeToOther(lines []byte) {
	other := c.pair.Load().conns[c.side.other()]
	if !other.write(lines) {
		return
	}
	c.mu.Lock()
	c.setInterestLocked(unix.EPOLLIN, false)
	c.mu.Unlock()
	if !other.writeBlocked.Load() { // the lines were flushed in the meantime, so no event will resume the reading
		c.resumeReading()
	}
}

// keepPartial buffers the beginning of an incomplete line. rest may be a part of c.partial.
func (c *Conn) keepPartial(rest []byte) {
	w := c.worker
	switch {
	case len(rest) > 0 && len(c.partial) > 0:
		c.partial = append(c.partial[:0], rest...)
	case len(rest) > 0:
		c.partial = append(w.spareOrNewBuffer(&w.partialBuffers, protocol.MaxLineBytes/4), rest...)
	case c.partial != nil:
		w.returnBuffer(&w.partialBuffers, c.partial, 2*protocol.MaxLineBytes)
		c.partial = nil
	}
}

// inspect records the state that the relay derives from complete lines. It returns the length of the lines that may be forwarded; an
// error is the reason why the line after them may not, and ends the pair.
func (c *Conn) inspect(lines []byte) (good int, err error) {
	if len(lines) == 0 {
		return 0, nil
	}
	p := c.pair.Load()
	now := p.relay.now()
	count := int64(0)
	defer func() { p.relay.ForwardedLines.Add(count) }()
	for good < len(lines) {
		end := bytes.IndexByte(lines[good:], '\n') + 1
		line := lines[good : good+end]
		if err := c.checkLine(line); err != nil {
			return good, err
		}
		if c.side == Client {
			p.requestedAt.CompareAndSwap(0, int64(now))
		} else {
			c.inspectServerLine(p, line, now)
		}
		good += end
		count++
	}
	return good, nil
}

// checkLine returns an error if the line must not be forwarded.
func (c *Conn) checkLine(line []byte) error {
	switch {
	case len(line) > protocol.MaxLineBytes:
		return ErrLineTooLong
	case c.side == Client && !bytes.HasSuffix(line, []byte("\r\n")):
		return ErrBareLF
	}
	return nil
}

// inspectServerLine records what a line from the server means for the session.
func (c *Conn) inspectServerLine(p *Pair, line []byte, now time.Duration) {
	switch protocol.KindOf(line) {
	case protocol.KindLoad:
		c.worker.addLoad(LoadLine{Pair: p, Raw: bytes.Clone(line)})
	case protocol.KindEnded:
		p.completed.Store(true)
	case protocol.KindMigrate:
		p.moveRequested.Store(true)
	default: // an answer to the client
		if requestedAt := time.Duration(p.requestedAt.Swap(0)); requestedAt > 0 {
			p.addResponseTime(requestedAt, now)
		}
	}
	p.lastLineAt.Store(int64(now))
}

// resumeReading resumes reading a paired connection once the other side accepts more.
func (c *Conn) resumeReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == statePaired {
		c.readAgainLocked()
	}
}
