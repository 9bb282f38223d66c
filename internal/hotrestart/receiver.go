package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errClosedByPeer = errors.New("closed by the other process")
	errTruncated    = errors.New("the message is longer than the limit")
)

// receiver reads the messages of one link.
type receiver struct {
	link        *Link
	readBuffer  []byte
	controlData []byte
	// peerConfirms is set once the other process has said that it confirms messages.
	peerConfirms bool
}

// packet is one message as it was read, with its descriptors.
type packet struct {
	payload     []byte
	descriptors []int
	flags       int
}

// readLoop receives messages until the link ends, and then says what becomes of those that the other process has not confirmed.
func (l *Link) readLoop() {
	r := &receiver{
		link:        l,
		readBuffer:  make([]byte, maxMessageSize+1),
		controlData: make([]byte, unix.CmsgSpace(maxDescriptors*4)),
	}
	outcome, err := r.run()
	l.closeWithReason(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDone = true
	l.finalOutcome = outcome
	l.stateChanged.Broadcast()
}

// run delivers messages until one fails. It returns the outcome of what is unconfirmed by then.
func (r *receiver) run() (Outcome, error) {
	for {
		p, err := r.read()
		if errors.Is(err, io.EOF) {
			closeDescriptors(p.descriptors)
			outcome := Unconfirmed
			if r.peerConfirms && r.link.isPeerClosed() {
				outcome = Returned
			}
			return outcome, errClosedByPeer
		}
		var m Message
		if err == nil {
			m, err = p.decode()
		}
		if err == nil && len(p.descriptors) > 0 {
			err = r.link.sendConfirmation()
		}
		if err != nil {
			closeDescriptors(p.descriptors)
			return Unconfirmed, err
		}
		r.deliver(m, p.descriptors)
	}
}

// read reads one packet; io.EOF at the end of the connection.
func (r *receiver) read() (packet, error) {
	n, rightsLen, flags, _, err := r.link.conn.ReadMsgUnix(r.readBuffer, r.controlData)
	if errors.Is(err, unix.ECONNRESET) {
		// The other process ended before it had read everything. That is reported once; what it sent can still be read.
		n, rightsLen, flags, _, err = r.link.conn.ReadMsgUnix(r.readBuffer, r.controlData)
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return packet{payload: r.readBuffer[:max(n, 0)], descriptors: parseDescriptors(r.controlData[:rightsLen]), flags: flags}, err
}

// decode checks the packet's form and reads its message.
func (p packet) decode() (Message, error) {
	var m Message
	if err := json.Unmarshal(p.payload, &m); err != nil {
		return m, err
	}
	if m.Version != protocolVersion {
		return m, fmt.Errorf("version %d is not %d", m.Version, protocolVersion)
	}
	if p.flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		return m, errTruncated
	}
	if want := descriptorsPerKind[m.Kind]; want != len(p.descriptors) {
		return m, fmt.Errorf("%d descriptors with a message of kind %d, not %d", len(p.descriptors), m.Kind, want)
	}
	return m, nil
}

func (r *receiver) deliver(m Message, descriptors []int) {
	if m.Kind == confirmation {
		r.link.handleConfirmation()
		return
	}
	if m.Kind == Ready {
		r.peerConfirms = m.Confirms
	}
	r.link.handler.Received(r.link, m, descriptors)
}

// sendConfirmation confirms a message before it is delivered. On an error the other process may take the descriptors back, so the
// message must not be delivered. A process that has closed its end can't do that any more.
func (l *Link) sendConfirmation() error {
	payload, err := json.Marshal(Message{Version: protocolVersion, Kind: confirmation})
	if err != nil {
		return err
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(confirmTimeout)) // the write reports a closed connection
	if _, _, err := l.conn.WriteMsgUnix(payload, nil, nil); err != nil && !isClosedByPeer(err) {
		return fmt.Errorf("confirming: %w", err)
	}
	return nil
}

// isPeerClosed reports whether the other process has closed its end or died, so that nobody will read what it has not read yet. A
// process that has only closed its sending side may still read.
func (l *Link) isPeerClosed() bool {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) { // fails only on a link that was closed here
		poll := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(poll, 0)
		closed = err == nil && poll[0].Revents&unix.POLLHUP != 0
	})
	return closed
}

// parseDescriptors returns the descriptors in a packet's control data.
func parseDescriptors(controlData []byte) []int {
	messages, err := unix.ParseSocketControlMessage(controlData)
	if err != nil {
		return nil
	}
	var all []int
	for i := range messages {
		if descriptors, err := unix.ParseUnixRights(&messages[i]); err == nil {
			all = append(all, descriptors...)
		}
	}
	return all
}
