package balancer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/hotrestart"
	"sabletally/policy"
)

// handoverRig is an old process's loop with established clients, at servers that send each line back.
type handoverRig struct {
	t        *testing.T
	servers  net.Listener
	listener *Listener
	dir      string // of the old process's socket
	oldLoop  *Loop
	clients  []*bufio.ReadWriter
	oldDone  chan bool // closed once it has shut down
}

func newHandoverRig(t *testing.T, clients int) *handoverRig {
	t.Helper()
	u := &handoverRig{t: t, dir: t.TempDir(), oldDone: make(chan bool)}
	var err error
	if u.servers, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.servers.Close() })
	go func() {
		for {
			c, err := u.servers.Accept()
			if err != nil {
				return
			}
			go func() { // UP, then each line back
				r := bufio.NewReader(c)
				_, _ = r.ReadString('\n')
				_, _ = io.WriteString(c, "UP 1\r\n")
				_, _ = io.Copy(c, r)
				_ = c.Close()
			}()
		}
	}()
	if u.listener, err = Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	u.listener.shared = true
	u.oldLoop = u.startProcess(u.dir, u.listener)
	<-u.oldLoop.becameReady
	for n := range clients {
		rw := u.client()
		_, _ = fmt.Fprintf(rw, "OPEN %d 2 c=feed,d=20000\r\n", n+1)
		_ = rw.Flush()
		if got, err := rw.ReadString('\n'); got != "UP 1\r\n" {
			t.Fatalf("%q, %v", got, err)
		}
		u.clients = append(u.clients, rw)
	}
	return u
}

func (u *handoverRig) client() *bufio.ReadWriter {
	u.t.Helper()
	c, err := net.Dial("tcp", u.listener.Addr().String())
	if err != nil {
		u.t.Fatal(err)
	}
	u.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriterSize(c, 16))
}

func (u *handoverRig) startProcess(dir string, g *Listener) *Loop {
	u.t.Helper()
	l := newLoopWithServer(u.t, u.servers.Addr().String(), policy.Idempotent)
	ctx, stop := context.WithCancel(context.Background())
	u.t.Cleanup(stop)
	go l.Run(ctx.Done())
	if err := l.StartHandover(g, dir, "n", 64<<20, 0); err != nil {
		u.t.Fatal(err)
	}
	serve(l, g)
	return l
}

// runIn runs a function in a loop and waits for it.
func runIn(l *Loop, do func()) {
	done := make(chan bool)
	l.post(event{run: func() { defer close(done); do() }})
	<-done
}

// waitUntil waits until the old process's loop sees that a condition holds.
func (u *handoverRig) waitUntil(what string, is func() bool) {
	u.t.Helper()
	for end, seen := time.Now().Add(testTimeout), false; !seen; time.Sleep(time.Millisecond) {
		if runIn(u.oldLoop, func() { seen = is() }); time.Now().After(end) {
			u.t.Fatal("not seen: ", what)
		}
	}
}

func (u *handoverRig) shutDownOld() { u.oldLoop.Shutdown(0, time.Second, func() { close(u.oldDone) }) }

func (u *handoverRig) expectOldDone() {
	u.t.Helper()
	select {
	case <-u.oldDone:
	case <-time.After(testTimeout):
		u.t.Error("the old process does not end")
	}
}

// dialHangingSuccessor connects as a new process that says it is ready and reads only what confirm reads.
func (u *handoverRig) dialHangingSuccessor() *net.UnixConn {
	u.t.Helper()
	path, err := hotrestart.SocketPath(u.dir, "n")
	if err != nil {
		u.t.Fatal(err)
	}
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		u.t.Fatal(err)
	}
	u.t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte(`{"V":1,"Kind":2,"Confirms":true}`)); err != nil {
		u.t.Fatal(err)
	}
	u.waitUntil("the new process is ready", func() bool { return u.oldLoop.readySuccessor() != nil })
	return c
}

// confirm reads and confirms so many sessions and clients as the new process, and closes them unused.
func (u *handoverRig) confirm(c *net.UnixConn, many int) {
	u.t.Helper()
	text, rights := make([]byte, 256<<10), make([]byte, 256)
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	for taken := 0; taken < many; {
		_, m, _, _, err := c.ReadMsgUnix(text, rights)
		if err != nil {
			u.t.Fatal(err)
		}
		msgs, _ := unix.ParseSocketControlMessage(rights[:m])
		for i := range msgs {
			fds, _ := unix.ParseUnixRights(&msgs[i])
			closeDescriptors(fds)
			if _, err := c.Write([]byte(`{"V":1,"Kind":6}`)); err != nil {
				u.t.Fatal(err)
			}
			taken++
		}
	}
}

// countAnswers counts the clients that got MOVE, and those that got the end of the connection alone.
func (u *handoverRig) countAnswers() (moved, bare int) {
	u.t.Helper()
	for n, rw := range u.clients {
		switch got, err := rw.ReadString('\n'); {
		case got == "MOVE\r\n":
			moved++
		case got == "" && errors.Is(err, io.EOF):
			bare++
		default:
			u.t.Errorf("client %d got %q, %v", n, got, err)
		}
	}
	return moved, bare
}

// proxyLink stands between the two processes of a handover: the new one finds it in its directory. It forwards so many messages, with their
// descriptors. From then on the new process's side looks ended to the old one, and what that has sent by then is still delivered. cut is closed
// once all of it is.
func proxyLink(t *testing.T, oldDir, newDir string, most int, cut chan bool) {
	t.Helper()
	to, err := hotrestart.SocketPath(oldDir, "n")
	if err != nil {
		t.Fatal(err)
	}
	at, err := hotrestart.SocketPath(newDir, "n")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: at, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false) // the new process listens there next
	go func() {
		defer close(cut)
		near, err := listener.AcceptUnix()
		_ = listener.Close()
		if err != nil {
			return
		}
		defer func() { _ = near.Close() }()
		far, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: to, Net: "unixpacket"})
		if err != nil {
			return
		}
		defer func() { _ = far.Close() }()
		var mu sync.Mutex
		passed := 0
		pass := func(from, to *net.UnixConn, on bool) {
			text, rights := make([]byte, 256<<10), make([]byte, 256)
			for {
				n, m, _, _, err := from.ReadMsgUnix(text, rights)
				if err != nil || n == 0 {
					return
				}
				mu.Lock()
				if passed++; passed <= most || on {
					_, _, _ = to.WriteMsgUnix(text[:n], rights[:m], nil)
				}
				if passed == most+1 {
					_ = far.CloseWrite()
				}
				mu.Unlock()
				if msgs, err := unix.ParseSocketControlMessage(rights[:m]); err == nil {
					for i := range msgs {
						fds, _ := unix.ParseUnixRights(&msgs[i])
						for _, fd := range fds {
							_ = unix.Close(fd)
						}
					}
				}
			}
		}
		go pass(near, far, false)
		pass(far, near, true)
	}()
}
