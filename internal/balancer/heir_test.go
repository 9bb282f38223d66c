package balancer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/upgrade"
	"sabletally/policy"
)

// TestAnUpgradeThatIsCutAtEachMessage has two processes' loops, with a proxy on their link that ends it for the old one after so
// many messages; that is told to end. Each client goes on at one of them or is sent away, whatever was on the way. (What a new
// process was sent and dies with unread is lost with it; that is not forced here.)
func TestAnUpgradeThatIsCutAtEachMessage(t *testing.T) {
	const clients = 24 // more than may be on their way unthanked
	for _, most := range []int{0, 1, 2, 3, 4, 5, 6, 8, 11, 15, 20, 26, 33, 41, 60} {
		t.Run(fmt.Sprint(most, " messages"), func(t *testing.T) {
			t.Parallel()
			servers, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { servers.Close() })
			go func() {
				for {
					c, err := servers.Accept()
					if err != nil {
						return
					}
					go func() { // UP, then each line back
						r := bufio.NewReader(c)
						r.ReadString('\n')
						io.WriteString(c, "UP 1\r\n")
						io.Copy(c, r)
						c.Close()
					}()
				}
			}()
			door, err := Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			oldDir, newDir := t.TempDir(), t.TempDir()
			process := func(dir string, g *Gate) *Loop {
				l := alone(t, servers.Addr().String(), policy.Idempotent)
				ctx, stop := context.WithCancel(context.Background())
				t.Cleanup(stop)
				go l.Run(ctx.Done())
				if err := l.Succeed(g, dir, "n", 64<<20, 0); err != nil {
					t.Fatal(err)
				}
				go l.Serve(g)
				return l
			}
			in := func(l *Loop, do func()) {
				done := make(chan bool)
				l.post(event{do: func() { defer close(done); do() }})
				<-done
			}
			fd, err := unix.FcntlInt(uintptr(door.fd), unix.F_DUPFD_CLOEXEC, 3)
			if err != nil {
				t.Fatal(err)
			}
			door.shared = true
			old := process(oldDir, door)
			<-old.welcomed
			var all []*bufio.ReadWriter
			for n := range clients {
				c, err := net.Dial("tcp", door.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				c.SetDeadline(time.Now().Add(crossBound))
				rw := bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriterSize(c, 16))
				fmt.Fprintf(rw, "OPEN %d 2 c=feed,d=20000\r\n", n+1)
				rw.Flush()
				if got, err := rw.ReadString('\n'); got != "UP 1\r\n" {
					t.Fatalf("%q, %v", got, err)
				}
				all = append(all, rw)
			}
			cut := make(chan bool)
			between(t, oldDir, newDir, most, cut)
			next := process(newDir, &Gate{fd: fd, addr: door.addr, shared: true})
			for end, ready := time.Now().Add(crossBound), false; !ready && time.Now().Before(end); time.Sleep(time.Millisecond) {
				select {
				case <-cut:
					ready = true
				default:
					in(old, func() { ready = old.takesAll() != nil })
				}
			}
			left := make(chan bool)
			old.Leave(0, time.Second, func() { close(left) })
			for n, rw := range all {
				io.WriteString(rw, "M 1\r\n")
				rw.Flush()
				if got, err := rw.ReadString('\n'); got != "M 1\r\n" && got != "MOVE\r\n" {
					t.Errorf("client %d got %q, %v", n, got, err)
				}
			}
			select {
			case <-left:
			case <-time.After(crossBound):
				t.Error("the old process holds something for ever")
			}
			in(next, func() {
				if n := next.Panics.Load() + old.Panics.Load(); n != 0 {
					t.Errorf("%d panics", n)
				}
			})
		})
	}
}

// between stands between the processes of an upgrade: the new one finds it in its directory. It passes so many messages on, with
// their descriptors; from then on the old process takes the new one's side for ended, and what it had sent by then still comes.
// cut is closed once all has.
func between(t *testing.T, oldDir, newDir string, most int, cut chan bool) {
	t.Helper()
	to, err := upgrade.Path(oldDir, "n")
	if err != nil {
		t.Fatal(err)
	}
	at, err := upgrade.Path(newDir, "n")
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: at, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false) // the new process listens there next
	go func() {
		defer close(cut)
		near, err := ln.AcceptUnix()
		ln.Close()
		if err != nil {
			return
		}
		defer near.Close()
		far, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: to, Net: "unixpacket"})
		if err != nil {
			return
		}
		defer far.Close()
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
					to.WriteMsgUnix(text[:n], rights[:m], nil)
				}
				if passed == most+1 {
					far.CloseWrite()
				}
				mu.Unlock()
				if msgs, err := unix.ParseSocketControlMessage(rights[:m]); err == nil {
					for i := range msgs {
						fds, _ := unix.ParseUnixRights(&msgs[i])
						for _, fd := range fds {
							unix.Close(fd)
						}
					}
				}
			}
		}
		go pass(near, far, false)
		pass(far, near, true)
	}()
}
