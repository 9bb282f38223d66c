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

// nextLineLocked takes the next complete line out of what was read; nil if there is none.
func (c *Conn) nextLineLocked() []byte {
	end := bytes.IndexByte(c.partial, '\n')
	if end < 0 {
		return nil
	}
	raw := bytes.Clone(c.partial[:end+1])
	c.partial = append(c.partial[:0], c.partial[end+1:]...)
	return raw
}

// onReadable reads what has arrived, once, so that a connection that sends at full speed does not keep the others waiting.
func (c *Conn) onReadable() {
	c.mu.Lock()
	switch {
	case c.closed || c.state == stateJoining: // a parked connection's event comes again once it is paired
		c.mu.Unlock()
		return
	case c.state == statePaired && c.interest&unix.EPOLLIN == 0 && !c.peerEnded: // its end; what it has sent waits until the other side takes more
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
		c.nextSmallWriteAt = 0 // a conversation goes on at its own pace
		c.mu.Unlock()
		c.forward(input)
	default:
		c.mu.Unlock()
	}
}

// readLaterLocked reads again a little later, as the kernel has no memory for it now.
func (c *Conn) readLaterLocked() {
	c.worker.relay.ReadRetries.Add(1)
	if !c.oneShot { // otherwise it is not armed until then
		c.setInterestLocked(unix.EPOLLIN, false)
	}
	time.AfterFunc(shortageRetryDelay, c.readAgain)
}

// readAgain waits for input again.
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

// addInputLocked adds input of a connection that is no pair's and returns its next complete line, nil where there is none.
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

// forward forwards complete lines to the other side and keeps what makes none. One goroutine at a time forwards what a connection says:
// its worker's, or the one that makes the pair, before events are waited for.
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

// writeToOther writes lines to the other side and stops reading if it does not take them all.
func (c *Conn) writeToOther(lines []byte) {
	other := c.pair.Load().conns[c.side.other()]
	if !other.write(lines) {
		return
	}
	c.mu.Lock()
	c.setInterestLocked(unix.EPOLLIN, false)
	c.mu.Unlock()
	if !other.writeBlocked.Load() { // it was written meanwhile
		c.resumeReading()
	}
}

// keepPartial keeps the start of a line. rest may be a part of c.partial.
func (c *Conn) keepPartial(rest []byte) {
	w := c.worker
	switch {
	case len(rest) > 0 && len(c.partial) > 0:
		c.partial = append(c.partial[:0], rest...)
	case len(rest) > 0:
		c.partial = append(w.takeBuffer(&w.partialBuffers, protocol.MaxLineBytes/4), rest...)
	case c.partial != nil:
		w.returnBuffer(&w.partialBuffers, c.partial, 2*protocol.MaxLineBytes)
		c.partial = nil
	}
}

// inspect notes what the relay has to know of complete lines. It returns the length of those that are forwarded; an error tells why the
// next one is not, and ends the pair.
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

// checkLine returns an error for a line that may not be forwarded.
func (c *Conn) checkLine(line []byte) error {
	switch {
	case len(line) > protocol.MaxLineBytes:
		return ErrLineTooLong
	case c.side == Client && !bytes.HasSuffix(line, []byte("\r\n")):
		return ErrBareLF
	}
	return nil
}

// inspectServerLine notes what a server's line says of the session.
func (c *Conn) inspectServerLine(p *Pair, line []byte, now time.Duration) {
	switch protocol.KindOf(line) {
	case protocol.KindLoad:
		c.worker.addLoad(LoadLine{Pair: p, Raw: bytes.Clone(line)})
	case protocol.KindEnded:
		p.completed.Store(true)
	case protocol.KindMigrate:
		p.moveRequested.Store(true)
	default: // an answer
		if requestedAt := time.Duration(p.requestedAt.Swap(0)); requestedAt > 0 {
			p.addResponseTime(requestedAt, now)
		}
	}
	p.lastLineAt.Store(int64(now))
}

// resumeReading reads on, as the other side takes more.
func (c *Conn) resumeReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == statePaired {
		c.readAgainLocked()
	}
}
