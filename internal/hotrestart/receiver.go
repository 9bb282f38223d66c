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
	errTruncated    = errors.New("received message exceeds the size limit")
)

// receiver reads the messages of one link.
type receiver struct {
	link        *Link
	readBuffer  []byte
	controlData []byte
	// peerConfirms is set once the other process has announced that it confirms messages.
	peerConfirms bool
}

// packet is one message as read from the socket, with its descriptors.
type packet struct {
	payload     []byte
	descriptors []int
	flags       int
}

// readLoop receives messages until the link ends, and then sets the outcome of the messages that the other process has not confirmed.
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

// run delivers messages until reading or decoding one fails. It returns the outcome of the messages that are unconfirmed by then.
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

// read reads one packet. It returns io.EOF at the end of the connection.
func (r *receiver) read() (packet, error) {
	n, rightsLen, flags, _, err := r.link.conn.ReadMsgUnix(r.readBuffer, r.controlData)
	if errors.Is(err, unix.ECONNRESET) {
		// The other process ended before it had read everything. The kernel reports that once, and messages that it sent earlier can
		// still be read.
		n, rightsLen, flags, _, err = r.link.conn.ReadMsgUnix(r.readBuffer, r.controlData)
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return packet{payload: r.readBuffer[:max(n, 0)], descriptors: parseDescriptors(r.controlData[:rightsLen]), flags: flags}, err
}

// decode decodes a packet's message and checks its version, its size and the number of descriptors.
func (p packet) decode() (Message, error) {
	var m Message
	if err := json.Unmarshal(p.payload, &m); err != nil {
		return m, err
	}
	if m.Version != protocolVersion {
		return m, fmt.Errorf("message has version %d, expected %d", m.Version, protocolVersion)
	}
	if p.flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		return m, errTruncated
	}
	if want := descriptorsPerKind[m.Kind]; want != len(p.descriptors) {
		return m, fmt.Errorf("%d descriptors accompany a message of kind %d, expected %d", len(p.descriptors), m.Kind, want)
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

// sendConfirmation confirms a message before it is delivered. After an error the other process may take the descriptors back, so the
// message must not be delivered. If the other process has closed its end, it can't take them back, and the message is delivered.
func (l *Link) sendConfirmation() error {
	payload, err := json.Marshal(Message{Version: protocolVersion, Kind: confirmation})
	if err != nil {
		return err
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(confirmTimeout)) // the call fails only on a closed connection, which the write reports
	if _, _, err := l.conn.WriteMsgUnix(payload, nil, nil); err != nil && !isClosedByPeer(err) {
		return fmt.Errorf("write confirmation: %w", err)
	}
	return nil
}

// isPeerClosed reports whether the other process has closed its end of the connection or died, so that it will read nothing more. A
// process that has closed only its sending side may still read.
func (l *Link) isPeerClosed() bool {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) { // the call fails only on a link that this process has closed
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
