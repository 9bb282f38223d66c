// Package hotrestart owns the link between the two processes of an upgrade: a Unix socket in the directory that both have,
// the messages on it and the descriptors that go with them. It must never decide what is passed on or when, and never
// close a descriptor that the other process has not been sent.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/relay"
)

const (
	protocolVersion   = 1
	maxSocketPath     = 107                    // bytes of a socket's path, by the kernel
	maxMessageSize    = 160 << 10              // bytes of a message: a circuit's waiting lines are most of it
	maxDescriptors    = 2                      // descriptors of a message
	maxUnconfirmed    = 16                     // messages with descriptors that are not taken yet: the kernel counts those too
	confirmTimeout    = 700 * time.Millisecond // nothing more is sent to one that takes nothing for so long: lines may be held for a second
	silentPeerTimeout = 2 * time.Second        // after that: what it was sent is its own then, whether it says so or not
	sendBufferSize    = 512 << 10

	acceptRetryDelay = 50 * time.Millisecond // after a link could not be taken
)

// Kind tells messages apart.
type Kind uint8

const (
	Hello           Kind = 1 + iota // old to new, once: what is slow to learn
	Ready                           // new to old: it may be passed what is held
	DescriptorCount                 // both ways: how many are held
	Session                         // old to new: one that stands, with both its descriptors
	Client                          // old to new: one without a circuit, with its descriptor
	confirmation                    // new to old: one of these two has come
)

// Outcome is what became of a message with descriptors.
type Outcome uint8

const (
	Confirmed   Outcome = iota // the other process has confirmed it: it is its own
	Returned                   // it neither has it nor ever will: the descriptors are the caller's again
	Unconfirmed                // it was sent it, and has neither confirmed nor ended in time: it may take it yet
)

// Message is what one process tells the other.
type Message struct {
	Version         int              `json:"V"`
	Kind            Kind             `json:"Kind"`
	State           *State           `json:"Known,omitempty"`
	DescriptorCount int64            `json:"Descriptors,omitempty"`
	Confirms        bool             `json:"Confirms,omitempty"` // with Ready: this process confirms what comes before it takes it
	Input           []byte           `json:"First,omitempty"`    // a circuit's first line, whole; what a client has sent so far
	ServerUID       string           `json:"At,omitempty"`       // a circuit's server
	Load            float64          `json:"Load,omitempty"`
	Pair            *relay.PairState `json:"Pair,omitempty"`
}

// State is what a new process would learn slowly.
type State struct {
	OutOfService bool         `json:"Out"` // an operator has taken the balancer out of service
	Servers      []ProbeTimes `json:"Servers"`
}

// ProbeTimes is what probes of a server have taken.
type ProbeTimes struct {
	UID        string          `json:"UID"`
	BootMillis int64           `json:"Boot"` // of its process, Unix time in milliseconds; 0 for long ago
	Last       time.Duration   `json:"Last"`
	Previous   time.Duration   `json:"Before"`
	Shortest   []time.Duration `json:"Low"`
	SpeedStep  int             `json:"Pace"`
}

// SocketPath is where the processes of a balancer meet in a directory; an error where there can be no socket.
func SocketPath(dir, name string) (string, error) {
	path := filepath.Join(dir, "sabletally-"+name+".sock")
	switch {
	case dir == "":
		return "", errors.New("TMPDIR is not told")
	case filepath.Base(path) != "sabletally-"+name+".sock":
		return "", fmt.Errorf("%q is no name of a file", name)
	case len(path) > maxSocketPath:
		return "", fmt.Errorf("%s is longer than a socket's path may be", path)
	}
	return path, nil
}

// Link is one connection to the other process. Its methods may be called by anyone; what it says is told by one goroutine.
type Link struct {
	conn *net.UnixConn
	heed func(*Link, Message, []int)
	gone func(*Link, error)

	mu           sync.Mutex
	queue        []outbound
	unconfirmed  []outbound // were sent, oldest first: their descriptors stay open here until the other process has confirmed
	sendClosed   bool       // nothing more is sent
	readDone     bool       // nothing is confirmed any more,
	finalOutcome Outcome    // and this became of what is not
	changed      *sync.Cond
	confirmTimer *time.Timer // runs while something is unconfirmed
	closeOnce    sync.Once
}

// outbound is a message on its way.
type outbound struct {
	text        []byte
	descriptors []int
	done        func(Outcome)
}

// settle tells of an outcome, after the descriptors that are not the caller's again are closed.
func (it outbound) settle(o Outcome) {
	if o != Returned {
		for _, fd := range it.descriptors {
			_ = unix.Close(fd)
		}
	}
	if it.done != nil {
		it.done(o)
	}
}

// Dial looks for the old process: nil and no error where nobody is. heed is told of each message, and its descriptors are
// heed's; gone of the link's end, after which heed is told nothing.
func Dial(path string, heed func(*Link, Message, []int), gone func(*Link, error)) (*Link, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, unix.ECONNREFUSED) { // none, or one that has ended
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return start(c, heed, gone)
}

// Listen opens the socket for the next process, in place of whatever file is there, for as long as this one lives. accepted
// is told of each link.
func Listen(path string, accepted func(*Link), heed func(*Link, Message, []int), gone func(*Link, error)) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false) // by then it may be another's
	go func() {
		for {
			c, err := ln.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // no descriptor is left for now: guards against a balancer that no next process reaches ever after
				time.Sleep(acceptRetryDelay)
				continue
			}
			if l, err := start(c, heed, gone); err == nil {
				accepted(l)
			}
		}
	}()
	return nil
}

func start(c *net.UnixConn, heed func(*Link, Message, []int), gone func(*Link, error)) (*Link, error) {
	if err := checkPeerUser(c); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetWriteBuffer(sendBufferSize)
	l := &Link{conn: c, heed: heed, gone: gone, finalOutcome: Unconfirmed}
	l.changed = sync.NewCond(&l.mu)
	l.confirmTimer = time.AfterFunc(confirmTimeout, l.confirmTimedOut)
	l.confirmTimer.Stop()
	go l.writeLoop()
	go l.readLoop()
	return l, nil
}

// checkPeerUser refuses a process of another user. Guards against one that would be given clients' connections.
func checkPeerUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	if e := raw.Control(func(fd uintptr) { cred, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); e != nil {
		return e
	}
	if err == nil && int(cred.Uid) != os.Geteuid() {
		err = fmt.Errorf("a process of user %d", cred.Uid)
	}
	return err
}

// Send sends a message; it does not wait. Descriptors that go with it are the link's; done is told once what became of them,
// nil where that does not matter. It may be told before Tell returns.
func (l *Link) Send(m Message, done func(Outcome), fds ...int) {
	m.Version = protocolVersion
	text, err := json.Marshal(m)
	it := outbound{text, fds, done}
	l.mu.Lock()
	ended := l.sendClosed || err != nil || len(text) > maxMessageSize
	if !ended {
		l.queue = append(l.queue, it)
		l.changed.Broadcast()
	}
	l.mu.Unlock()
	if ended {
		it.settle(Returned)
	}
}

// writeLoop sends what is told, until nothing more is, and then settles what is left: it alone does, or what was never sent could be
// taken for unconfirmed.
func (l *Link) writeLoop() {
	for {
		l.mu.Lock()
		for !l.sendClosed && (len(l.queue) == 0 || len(l.queue[0].descriptors) > 0 && len(l.unconfirmed) == maxUnconfirmed) {
			l.changed.Wait()
		}
		if l.sendClosed {
			queue := l.queue
			l.queue = nil
			l.mu.Unlock()
			for _, it := range queue {
				it.settle(Returned)
			}
			break
		}
		it := l.queue[0]
		l.queue = l.queue[1:]
		var rights []byte
		if len(it.descriptors) > 0 {
			rights = unix.UnixRights(it.descriptors...)
			if l.unconfirmed = append(l.unconfirmed, it); len(l.unconfirmed) == 1 {
				l.confirmTimer.Reset(confirmTimeout)
			}
		}
		l.mu.Unlock()
		_ = l.conn.SetWriteDeadline(time.Now().Add(confirmTimeout))
		if _, _, err := l.conn.WriteMsgUnix(it.text, rights, nil); err != nil {
			l.mu.Lock()
			if n := len(l.unconfirmed) - 1; len(it.descriptors) > 0 {
				l.unconfirmed = l.unconfirmed[:n] // it was not sent
			}
			l.mu.Unlock()
			l.closeSend()
			it.settle(Returned)
			if !isClosedByPeer(err) { // or else what it has sent before is still read, to its end
				l.giveUpSending(fmt.Errorf("writing: %w", err))
			}
		}
	}
	l.mu.Lock()
	for !l.readDone {
		l.changed.Wait()
	}
	unconfirmed, rest := l.unconfirmed, l.finalOutcome
	l.unconfirmed = nil
	l.mu.Unlock()
	l.confirmTimer.Stop()
	for _, it := range unconfirmed {
		it.settle(rest)
	}
}

// confirmTimedOut guards against a process that hangs: what waits for it would wait for ever.
func (l *Link) confirmTimedOut() {
	l.mu.Lock()
	waits := len(l.unconfirmed) > 0
	l.mu.Unlock()
	if waits {
		l.giveUpSending(errors.New("the other process takes nothing"))
	}
}

// giveUpSending sends nothing more to a process that does not take what it is sent, and waits for its word a while: if it ends, what it
// has not confirmed comes back.
func (l *Link) giveUpSending(why error) {
	l.closeSend()
	l.mu.Lock()
	waits := len(l.unconfirmed) > 0
	l.mu.Unlock()
	if !waits { // no half-close either: who is passed something and can't confirm it must be seen to have ended
		l.closeWith(why)
		return
	}
	_ = l.conn.CloseWrite()
	time.AfterFunc(silentPeerTimeout, func() { l.closeWith(why) })
}

// handleConfirmation takes the other process's word for the oldest message.
func (l *Link) handleConfirmation() {
	l.mu.Lock()
	if len(l.unconfirmed) == 0 { // an odd word
		l.mu.Unlock()
		return
	}
	it := l.unconfirmed[0]
	if l.unconfirmed = l.unconfirmed[1:]; len(l.unconfirmed) > 0 {
		l.confirmTimer.Reset(confirmTimeout)
	} else {
		l.confirmTimer.Stop()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	it.settle(Confirmed)
}

// sendConfirmation tells the other process that a message has come, before it is heeded. An error: that process may have it back,
// and it must not be heeded. One that has ended, or has closed its end, has nothing back any more.
func (l *Link) sendConfirmation() error {
	text, err := json.Marshal(Message{Version: protocolVersion, Kind: confirmation})
	if err != nil {
		return err
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(confirmTimeout))
	if _, _, err := l.conn.WriteMsgUnix(text, nil, nil); err != nil && !isClosedByPeer(err) {
		return fmt.Errorf("confirming: %w", err)
	}
	return nil
}

// isPeerClosed tells whether the other process has closed its end or died, so that what it has not read is nobody's. One that has only
// ended what it sends may read yet.
func (l *Link) isPeerClosed() (is bool) {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		at := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(at, 0)
		is = err == nil && at[0].Revents&unix.POLLHUP != 0
	})
	return is
}

// readLoop takes what the other process says.
func (l *Link) readLoop() {
	text, rights, again, confirms := make([]byte, maxMessageSize+1), make([]byte, unix.CmsgSpace(maxDescriptors*4)), false, false
	rest := Unconfirmed
	defer func() {
		l.mu.Lock()
		l.readDone, l.finalOutcome = true, rest
		l.changed.Broadcast()
		l.mu.Unlock()
	}()
	for {
		n, m, flags, _, err := l.conn.ReadMsgUnix(text, rights)
		if errors.Is(err, unix.ECONNRESET) && !again { // it had not read all of ours; what it sent is still here
			again = true
			continue
		}
		fds := parseDescriptors(rights[:m])
		if n == 0 && (err == nil || errors.Is(err, io.EOF)) {
			if confirms && l.isPeerClosed() {
				rest = Returned
			}
			err = errors.New("ended by the other process")
		}
		var msg Message
		if err == nil {
			if err = json.Unmarshal(text[:n], &msg); err == nil && (msg.Version != protocolVersion || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0) {
				err = fmt.Errorf("version %d, flags %x", msg.Version, flags)
			}
		}
		if want := descriptorsPerKind[msg.Kind]; err == nil && want != len(fds) {
			err = fmt.Errorf("%d descriptors with a message of kind %d", len(fds), msg.Kind)
		}
		if err == nil && len(fds) > 0 {
			err = l.sendConfirmation()
		}
		if err != nil {
			for _, fd := range fds {
				_ = unix.Close(fd)
			}
			l.closeWith(err)
			return
		}
		switch msg.Kind {
		case confirmation:
			l.handleConfirmation()
			continue
		case Ready:
			confirms = msg.Confirms
		}
		l.heed(l, msg, fds)
	}
}

// descriptorsPerKind is how many descriptors go with a message.
var descriptorsPerKind = map[Kind]int{Session: 2, Client: 1}

func parseDescriptors(rights []byte) []int {
	var all []int
	if msgs, err := unix.ParseSocketControlMessage(rights); err == nil {
		for i := range msgs {
			if fds, err := unix.ParseUnixRights(&msgs[i]); err == nil {
				all = append(all, fds...)
			}
		}
	}
	return all
}

// isClosedByPeer tells whether an error says that the other process has closed its end. Guards against clients whose descriptors
// wait here unread while this end is closed for want of somebody to thank.
func isClosedByPeer(err error) bool {
	return errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ECONNRESET)
}

// closeSend has nothing more sent.
func (l *Link) closeSend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendClosed = true
	l.changed.Broadcast()
}

// closeWith ends the link and tells why, once.
func (l *Link) closeWith(why error) {
	l.closeOnce.Do(func() {
		l.closeSend()
		_ = l.conn.Close()
		l.gone(l, why)
	})
}

// Close ends it from here.
func (l *Link) Close() { l.closeWith(errors.New("ended from here")) }
