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
	version    = 1
	pathMost   = 107                    // bytes of a socket's path, by the kernel
	textMost   = 160 << 10              // bytes of a message: a circuit's waiting lines are most of it
	fdsMost    = 2                      // descriptors of a message
	onTheWay   = 16                     // messages with descriptors that are not taken yet: the kernel counts those too
	takeFor    = 700 * time.Millisecond // nothing more is sent to one that takes nothing for so long: lines may be held for a second
	confirmFor = 2 * time.Second        // after that: what it was sent is its own then, whether it says so or not
	sendBuffer = 512 << 10

	acceptPause = 50 * time.Millisecond // after a link could not be taken
)

// Kind tells messages apart.
type Kind uint8

const (
	Hello       Kind = 1 + iota // old to new, once: what is slow to learn
	Ready                       // new to old: it may be passed what is held
	Descriptors                 // both ways: how many are held
	Circuit                     // old to new: one that stands, with both its descriptors
	Client                      // old to new: one without a circuit, with its descriptor
	taken                       // new to old: one of these two has come
)

// Outcome is what became of a message with descriptors.
type Outcome uint8

const (
	Taken Outcome = iota // the other process has confirmed it: it is its own
	Back                 // it neither has it nor ever will: the descriptors are the caller's again
	Left                 // it was sent it, and has neither confirmed nor ended in time: it may take it yet
)

// Message is what one process tells the other.
type Message struct {
	V           int
	Kind        Kind
	Known       *Known        `json:",omitempty"`
	Descriptors int64         `json:",omitempty"`
	Confirms    bool          `json:",omitempty"` // with Ready: this process confirms what comes before it takes it
	First       []byte        `json:",omitempty"` // a circuit's first line, whole; what a client has sent so far
	At          string        `json:",omitempty"` // a circuit's server
	Load        float64       `json:",omitempty"`
	Pair        *relay.Passed `json:",omitempty"`
}

// Known is what a new process would learn slowly.
type Known struct {
	Out     bool // an operator has taken the balancer out of service
	Servers []Probed
}

// Probed is what probes of a server have taken.
type Probed struct {
	UID          string
	Boot         int64 // of its process, Unix time in milliseconds; 0 for long ago
	Last, Before time.Duration
	Low          []time.Duration
	Pace         int
}

// Path is where the processes of a balancer meet in a directory; an error where there can be no socket.
func Path(dir, name string) (string, error) {
	path := filepath.Join(dir, "sabletally-"+name+".sock")
	switch {
	case dir == "":
		return "", errors.New("TMPDIR is not told")
	case filepath.Base(path) != "sabletally-"+name+".sock":
		return "", fmt.Errorf("%q is no name of a file", name)
	case len(path) > pathMost:
		return "", fmt.Errorf("%s is longer than a socket's path may be", path)
	}
	return path, nil
}

// Link is one connection to the other process. Its methods may be called by anyone; what it says is told by one goroutine.
type Link struct {
	conn *net.UnixConn
	heed func(*Link, Message, []int)
	gone func(*Link, error)

	mu          sync.Mutex
	queue       []item
	unconfirmed []item  // were sent, oldest first: their descriptors stay open here until the other process has confirmed
	ended       bool    // nothing more is sent
	readAll     bool    // nothing is confirmed any more,
	rest        Outcome // and this became of what is not
	wake        *sync.Cond
	late        *time.Timer // runs while something is unconfirmed
	once        sync.Once
}

// item is a message on its way.
type item struct {
	text []byte
	fds  []int
	done func(Outcome)
}

// settle tells of an outcome, after the descriptors that are not the caller's again are closed.
func (it item) settle(o Outcome) {
	if o != Back {
		for _, fd := range it.fds {
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
				time.Sleep(acceptPause)
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
	if err := own(c); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetWriteBuffer(sendBuffer)
	l := &Link{conn: c, heed: heed, gone: gone, rest: Left}
	l.wake = sync.NewCond(&l.mu)
	l.late = time.AfterFunc(takeFor, l.tooLate)
	l.late.Stop()
	go l.write()
	go l.read()
	return l, nil
}

// own refuses a process of another user. Guards against one that would be given clients' connections.
func own(c *net.UnixConn) error {
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

// Tell sends a message; it does not wait. Descriptors that go with it are the link's; done is told once what became of them,
// nil where that does not matter. It may be told before Tell returns.
func (l *Link) Tell(m Message, done func(Outcome), fds ...int) {
	m.V = version
	text, err := json.Marshal(m)
	it := item{text, fds, done}
	l.mu.Lock()
	ended := l.ended || err != nil || len(text) > textMost
	if !ended {
		l.queue = append(l.queue, it)
		l.wake.Broadcast()
	}
	l.mu.Unlock()
	if ended {
		it.settle(Back)
	}
}

// write sends what is told, until nothing more is, and then settles what is left: it alone does, or what was never sent could be
// taken for unconfirmed.
func (l *Link) write() {
	for {
		l.mu.Lock()
		for !l.ended && (len(l.queue) == 0 || len(l.queue[0].fds) > 0 && len(l.unconfirmed) == onTheWay) {
			l.wake.Wait()
		}
		if l.ended {
			queue := l.queue
			l.queue = nil
			l.mu.Unlock()
			for _, it := range queue {
				it.settle(Back)
			}
			break
		}
		it := l.queue[0]
		l.queue = l.queue[1:]
		var rights []byte
		if len(it.fds) > 0 {
			rights = unix.UnixRights(it.fds...)
			if l.unconfirmed = append(l.unconfirmed, it); len(l.unconfirmed) == 1 {
				l.late.Reset(takeFor)
			}
		}
		l.mu.Unlock()
		_ = l.conn.SetWriteDeadline(time.Now().Add(takeFor))
		if _, _, err := l.conn.WriteMsgUnix(it.text, rights, nil); err != nil {
			l.mu.Lock()
			if n := len(l.unconfirmed) - 1; len(it.fds) > 0 {
				l.unconfirmed = l.unconfirmed[:n] // it was not sent
			}
			l.mu.Unlock()
			l.mute()
			it.settle(Back)
			if !parted(err) { // or else what it has sent before is still read, to its end
				l.hang(fmt.Errorf("writing: %w", err))
			}
		}
	}
	l.mu.Lock()
	for !l.readAll {
		l.wake.Wait()
	}
	unconfirmed, rest := l.unconfirmed, l.rest
	l.unconfirmed = nil
	l.mu.Unlock()
	l.late.Stop()
	for _, it := range unconfirmed {
		it.settle(rest)
	}
}

// tooLate guards against a process that hangs: what waits for it would wait for ever.
func (l *Link) tooLate() {
	l.mu.Lock()
	waits := len(l.unconfirmed) > 0
	l.mu.Unlock()
	if waits {
		l.hang(errors.New("the other process takes nothing"))
	}
}

// hang sends nothing more to a process that does not take what it is sent, and waits for its word a while: if it ends, what it
// has not confirmed comes back.
func (l *Link) hang(why error) {
	l.mute()
	l.mu.Lock()
	waits := len(l.unconfirmed) > 0
	l.mu.Unlock()
	if !waits { // no half-close either: who is passed something and can't confirm it must be seen to have ended
		l.end(why)
		return
	}
	_ = l.conn.CloseWrite()
	time.AfterFunc(confirmFor, func() { l.end(why) })
}

// confirmed takes the other process's word for the oldest message.
func (l *Link) confirmed() {
	l.mu.Lock()
	if len(l.unconfirmed) == 0 { // an odd word
		l.mu.Unlock()
		return
	}
	it := l.unconfirmed[0]
	if l.unconfirmed = l.unconfirmed[1:]; len(l.unconfirmed) > 0 {
		l.late.Reset(takeFor)
	} else {
		l.late.Stop()
	}
	l.wake.Broadcast()
	l.mu.Unlock()
	it.settle(Taken)
}

// confirm tells the other process that a message has come, before it is heeded. An error: that process may have it back,
// and it must not be heeded. One that has ended, or has closed its end, has nothing back any more.
func (l *Link) confirm() error {
	text, err := json.Marshal(Message{V: version, Kind: taken})
	if err != nil {
		return err
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(takeFor))
	if _, _, err := l.conn.WriteMsgUnix(text, nil, nil); err != nil && !parted(err) {
		return fmt.Errorf("confirming: %w", err)
	}
	return nil
}

// closed tells whether the other process has closed its end or died, so that what it has not read is nobody's. One that has only
// ended what it sends may read yet.
func (l *Link) closed() (is bool) {
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

// read takes what the other process says.
func (l *Link) read() {
	text, rights, again, confirms := make([]byte, textMost+1), make([]byte, unix.CmsgSpace(fdsMost*4)), false, false
	rest := Left
	defer func() {
		l.mu.Lock()
		l.readAll, l.rest = true, rest
		l.wake.Broadcast()
		l.mu.Unlock()
	}()
	for {
		n, m, flags, _, err := l.conn.ReadMsgUnix(text, rights)
		if errors.Is(err, unix.ECONNRESET) && !again { // it had not read all of ours; what it sent is still here
			again = true
			continue
		}
		fds := descriptors(rights[:m])
		if n == 0 && (err == nil || errors.Is(err, io.EOF)) {
			if confirms && l.closed() {
				rest = Back
			}
			err = errors.New("ended by the other process")
		}
		var msg Message
		if err == nil {
			if err = json.Unmarshal(text[:n], &msg); err == nil && (msg.V != version || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0) {
				err = fmt.Errorf("version %d, flags %x", msg.V, flags)
			}
		}
		if want := wants[msg.Kind]; err == nil && want != len(fds) {
			err = fmt.Errorf("%d descriptors with a message of kind %d", len(fds), msg.Kind)
		}
		if err == nil && len(fds) > 0 {
			err = l.confirm()
		}
		if err != nil {
			for _, fd := range fds {
				_ = unix.Close(fd)
			}
			l.end(err)
			return
		}
		switch msg.Kind {
		case taken:
			l.confirmed()
			continue
		case Ready:
			confirms = msg.Confirms
		}
		l.heed(l, msg, fds)
	}
}

// wants is how many descriptors go with a message.
var wants = map[Kind]int{Circuit: 2, Client: 1}

func descriptors(rights []byte) []int {
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

// parted tells whether an error says that the other process has closed its end. Guards against clients whose descriptors
// wait here unread while this end is closed for want of somebody to thank.
func parted(err error) bool { return errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ECONNRESET) }

// mute has nothing more sent.
func (l *Link) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.wake.Broadcast()
}

// end ends the link and tells why, once.
func (l *Link) end(why error) {
	l.once.Do(func() {
		l.mute()
		_ = l.conn.Close()
		l.gone(l, why)
	})
}

// Close ends it from here.
func (l *Link) Close() { l.end(errors.New("ended from here")) }
