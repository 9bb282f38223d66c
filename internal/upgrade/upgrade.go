// Package upgrade owns the link between the two processes of an upgrade: a Unix socket in the directory that both have,
// the messages on it and the descriptors that go with them. It must never decide what is passed on or when, and never
// close a descriptor that the other process has not been sent.
package upgrade

import (
	"encoding/json"
	"errors"
	"fmt"
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
	takeFor    = 700 * time.Millisecond // a message that is not taken by then ends the link: lines may be held for a second
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

// Message is what one process tells the other.
type Message struct {
	V           int
	Kind        Kind
	Known       *Known        `json:",omitempty"`
	Descriptors int64         `json:",omitempty"`
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

	mu    sync.Mutex
	queue []item
	ended bool
	wake  *sync.Cond
	room  int // for messages with descriptors
	once  sync.Once
}

// item is a message on its way; lost is told if it was not sent.
type item struct {
	text []byte
	fds  []int
	lost func()
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
		c.Close()
		return nil, err
	}
	c.SetWriteBuffer(sendBuffer)
	l := &Link{conn: c, heed: heed, gone: gone, room: onTheWay}
	l.wake = sync.NewCond(&l.mu)
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

// Tell sends a message; it does not wait. Descriptors that go with it are the link's and closed once they are sent. lost
// is called if they were not, and then they are the caller's again; nil where that does not matter.
func (l *Link) Tell(m Message, lost func(), fds ...int) {
	m.V = version
	text, err := json.Marshal(m)
	l.mu.Lock()
	ended := l.ended || err != nil || len(text) > textMost
	if !ended {
		l.queue = append(l.queue, item{text, fds, lost})
		l.wake.Broadcast()
	}
	l.mu.Unlock()
	if ended && lost != nil {
		lost()
	}
}

// write sends what is told, until the link ends.
func (l *Link) write() {
	for {
		l.mu.Lock()
		var late *time.Timer // guards against a process that hangs: what waits for it would wait for ever
		for !l.ended && (len(l.queue) == 0 || len(l.queue[0].fds) > 0 && l.room == 0) {
			if len(l.queue) > 0 && late == nil {
				late = time.AfterFunc(takeFor, func() { l.end(errors.New("the other process takes nothing")) })
			}
			l.wake.Wait()
		}
		if late != nil {
			late.Stop()
		}
		if l.ended {
			queue := l.queue
			l.queue = nil
			l.mu.Unlock()
			for _, it := range queue {
				if it.lost != nil {
					it.lost()
				}
			}
			return
		}
		it := l.queue[0]
		l.queue = l.queue[1:]
		var rights []byte
		if len(it.fds) > 0 {
			l.room--
			rights = unix.UnixRights(it.fds...)
		}
		l.mu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(takeFor))
		if _, _, err := l.conn.WriteMsgUnix(it.text, rights, nil); err != nil {
			if it.lost != nil {
				it.lost()
			}
			l.mute()
			if !parted(err) { // or else what it has sent before is still read, to its end
				l.end(fmt.Errorf("writing: %w", err))
			}
			continue
		}
		for _, fd := range it.fds {
			unix.Close(fd)
		}
	}
}

// read takes what the other process says.
func (l *Link) read() {
	text, rights, again := make([]byte, textMost+1), make([]byte, unix.CmsgSpace(fdsMost*4)), false
	for {
		n, m, flags, _, err := l.conn.ReadMsgUnix(text, rights)
		if errors.Is(err, unix.ECONNRESET) && !again { // it had not read all of ours; what it sent is still here
			again = true
			continue
		}
		fds := descriptors(rights[:m])
		if err == nil && n == 0 {
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
		if err != nil {
			for _, fd := range fds {
				unix.Close(fd)
			}
			l.end(err)
			return
		}
		switch {
		case msg.Kind == taken:
			l.mu.Lock()
			l.room++
			l.wake.Broadcast()
			l.mu.Unlock()
			continue
		case len(fds) > 0:
			l.Tell(Message{Kind: taken}, nil)
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
		l.conn.Close()
		l.gone(l, why)
	})
}

// Close ends it from here.
func (l *Link) Close() { l.end(errors.New("ended from here")) }

// Flushed tells whether all that was told is on its way.
func (l *Link) Flushed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended || len(l.queue) == 0 && l.room == onTheWay
}
