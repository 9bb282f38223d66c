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

// handoverFixture is the loop of an old process with established clients, whose servers echo each line.
type handoverFixture struct {
	t        *testing.T
	servers  net.Listener
	listener *Listener
	dir      string // directory of the old process's socket
	oldLoop  *Loop
	clients  []*bufio.ReadWriter
	oldEnded chan bool // closed once the old process has shut down
}

func newHandoverFixture(t *testing.T, clients int) *handoverFixture {
	t.Helper()
	f := &handoverFixture{t: t, dir: t.TempDir(), oldEnded: make(chan bool)}
	var err error
	if f.servers, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.servers.Close() })
	go func() {
		for {
			c, err := f.servers.Accept()
			if err != nil {
				return
			}
			go func() { // accepts the session, then echoes each line
				r := bufio.NewReader(c)
				_, _ = r.ReadString('\n')
				_, _ = io.WriteString(c, "UP 1\r\n")
				_, _ = io.Copy(c, r)
				_ = c.Close()
			}()
		}
	}()
	if f.listener, err = Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	f.listener.shared = true
	f.oldLoop = f.startProcess(f.dir, f.listener)
	<-f.oldLoop.becameReady
	for n := range clients {
		rw := f.client()
		_, _ = fmt.Fprintf(rw, "OPEN %d 2 c=feed,d=20000\r\n", n+1)
		_ = rw.Flush()
		if got, err := rw.ReadString('\n'); got != "UP 1\r\n" {
			t.Fatalf("a client received %q, %v; want UP", got, err)
		}
		f.clients = append(f.clients, rw)
	}
	return f
}

// client connects a client that has not sent anything.
func (f *handoverFixture) client() *bufio.ReadWriter {
	f.t.Helper()
	c, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriterSize(c, 16))
}

// startProcess runs another loop with a listener and the handover socket in dir.
func (f *handoverFixture) startProcess(dir string, g *Listener) *Loop {
	f.t.Helper()
	l := newLoopWithServer(f.t, f.servers.Addr().String(), policy.Idempotent)
	f.runProcess(l, dir, g)
	return l
}

// runProcess runs a loop with a listener and the handover socket in dir.
func (f *handoverFixture) runProcess(l *Loop, dir string, g *Listener) {
	f.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	f.t.Cleanup(stop)
	go l.Run(ctx.Done())
	if err := l.StartHandover(g, dir, "n", 64<<20, 0); err != nil {
		f.t.Fatal(err)
	}
	serve(l, g)
}

// runIn calls a function on a loop's goroutine and waits for it.
func runIn(l *Loop, do func()) {
	done := make(chan bool)
	l.post(event{run: func() { defer close(done); do() }})
	<-done
}

// waitUntil waits until a condition holds, which it checks on the goroutine of the old process's loop.
func (f *handoverFixture) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for end, seen := time.Now().Add(testTimeout), false; !seen; time.Sleep(time.Millisecond) {
		if runIn(f.oldLoop, func() { seen = condition() }); time.Now().After(end) {
			f.t.Fatal("timed out waiting until ", what)
		}
	}
}

func (f *handoverFixture) shutDownOld() {
	f.oldLoop.Shutdown(0, time.Second, func() { close(f.oldEnded) })
}

func (f *handoverFixture) expectOldEnded() {
	f.t.Helper()
	select {
	case <-f.oldEnded:
	case <-time.After(testTimeout):
		f.t.Error("the old process did not shut down")
	}
}

// dialHangingSuccessor connects as a new process that reports that it is ready, and then hangs: only confirm reads from the connection.
func (f *handoverFixture) dialHangingSuccessor() *net.UnixConn {
	f.t.Helper()
	path, err := hotrestart.SocketPath(f.dir, "n")
	if err != nil {
		f.t.Fatal(err)
	}
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	if _, err := c.Write([]byte(`{"V":1,"Kind":2,"Confirms":true}`)); err != nil {
		f.t.Fatal(err)
	}
	f.waitUntil("the new process is ready", func() bool { return f.oldLoop.readySuccessor() != nil })
	return c
}

// confirm reads and confirms the given number of sessions and clients as the new process, and closes their descriptors.
func (f *handoverFixture) confirm(c *net.UnixConn, count int) {
	f.t.Helper()
	text, rights := make([]byte, 256<<10), make([]byte, 256)
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	for taken := 0; taken < count; {
		_, m, _, _, err := c.ReadMsgUnix(text, rights)
		if err != nil {
			f.t.Fatal(err)
		}
		msgs, _ := unix.ParseSocketControlMessage(rights[:m])
		for i := range msgs {
			fds, _ := unix.ParseUnixRights(&msgs[i])
			closeDescriptors(fds)
			if _, err := c.Write([]byte(`{"V":1,"Kind":6}`)); err != nil {
				f.t.Fatal(err)
			}
			taken++
		}
	}
}

// countAnswers counts the clients that were sent MOVE, and those whose connection was closed without a line.
func (f *handoverFixture) countAnswers() (migrated, closed int) {
	f.t.Helper()
	for n, rw := range f.clients {
		switch got, err := rw.ReadString('\n'); {
		case got == "MOVE\r\n":
			migrated++
		case got == "" && errors.Is(err, io.EOF):
			closed++
		default:
			f.t.Errorf("client %d received %q, %v", n, got, err)
		}
	}
	return migrated, closed
}

// proxyLink starts a proxy between the two processes of a handover: the new process connects to it in newDir. It forwards limit messages
// with their descriptors. At the next one it shuts down its sending side towards the old process, so that the old process sees the link
// end, but still forwards the messages of the old process to the new one. It closes cut once these are delivered.
func proxyLink(t *testing.T, oldDir, newDir string, limit int, cut chan bool) {
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
	listener.SetUnlinkOnClose(false) // the new process listens on the same path later
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
		forwarded := 0
		forward := func(from, to *net.UnixConn, on bool) {
			text, rights := make([]byte, 256<<10), make([]byte, 256)
			for {
				n, m, _, _, err := from.ReadMsgUnix(text, rights)
				if err != nil || n == 0 {
					return
				}
				mu.Lock()
				if forwarded++; forwarded <= limit || on {
					_, _, _ = to.WriteMsgUnix(text[:n], rights[:m], nil)
				}
				if forwarded == limit+1 {
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
		go forward(near, far, false)
		forward(far, near, true)
	}()
}
