package hotrestart

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/relay"
)

const testTimeout = 20 * time.Second

// recorder is a Handler that keeps what it is notified of.
type recorder struct {
	opened      chan *Link
	messages    chan Message
	descriptors chan int
	closed      chan error
}

func newRecorder() *recorder {
	return &recorder{
		opened:      make(chan *Link, 4),
		messages:    make(chan Message, 100),
		descriptors: make(chan int, 100),
		closed:      make(chan error, 4),
	}
}

func (r *recorder) Opened(l *Link) { r.opened <- l }

func (r *recorder) Received(_ *Link, m Message, descriptors []int) {
	for _, fd := range descriptors {
		r.descriptors <- fd
	}
	r.messages <- m
}

func (r *recorder) Closed(_ *Link, reason error) { r.closed <- reason }

func get[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(testTimeout):
		t.Fatal("nothing arrived in time")
		panic(0)
	}
}

// openPair opens a link between two recorders.
func openPair(t *testing.T) (path string, oldSide, newSide *recorder, oldLink, newLink *Link) {
	path, err := SocketPath(t.TempDir(), "n0")
	if err != nil {
		t.Fatal(err)
	}
	oldSide, newSide = newRecorder(), newRecorder()
	if err := Listen(path, oldSide); err != nil {
		t.Fatal(err)
	}
	if newLink, err = Dial(path, newSide); err != nil || newLink == nil {
		t.Fatal(err)
	}
	t.Cleanup(newLink.Close)
	return path, oldSide, newSide, get(t, oldSide.opened), newLink
}

// pipe returns a descriptor to send, and the file that proves that another one is its duplicate.
func pipe(t *testing.T) (int, *os.File) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	fd, err := unix.Dup(int(w.Fd()))
	_ = w.Close()
	if err != nil {
		t.Fatal(err)
	}
	return fd, r
}

// TestDescriptorsAccompanyMessages sends more messages with descriptors than may be unconfirmed at once, in order.
func TestDescriptorsAccompanyMessages(t *testing.T) {
	_, _, newSide, from, _ := openPair(t)
	var ends []*os.File
	outcomes := make(chan Outcome, 3*maxUnconfirmed)
	for n := range 3 * maxUnconfirmed {
		fd, r := pipe(t)
		ends = append(ends, r)
		from.Send(Message{Kind: Client, Input: []byte{byte(n)}}, func(o Outcome) { outcomes <- o }, fd)
	}
	for n, r := range ends {
		m, fd := get(t, newSide.messages), get(t, newSide.descriptors)
		if m.Kind != Client || len(m.Input) != 1 || m.Input[0] != byte(n) {
			t.Fatalf("%d: %+v", n, m)
		}
		_, _ = unix.Write(fd, []byte("x"))
		_ = unix.Close(fd)
		if text, err := io.ReadAll(r); string(text) != "x" || err != nil { // nobody else holds it any more
			t.Fatalf("%q, %v", text, err)
		}
		if o := get(t, outcomes); o != Confirmed {
			t.Fatalf("%d: outcome %v", n, o)
		}
	}
	pair := &relay.PairState{Client: relay.ConnState{Partial: []byte("half")}, RequestAge: time.Second}
	a, _ := pipe(t)
	b, _ := pipe(t)
	from.Send(Message{Kind: Session, ServerUID: "s-1", Load: 7, Pair: pair}, nil, a, b)
	if m := get(t, newSide.messages); m.ServerUID != "s-1" || m.Load != 7 || string(m.Pair.Client.Partial) != "half" || m.Pair.RequestAge != time.Second {
		t.Fatalf("%+v", m)
	}
}

// TestUnsentDescriptorsReturnToTheCaller closes a link and then sends: the caller keeps the descriptors.
func TestUnsentDescriptorsReturnToTheCaller(t *testing.T) {
	_, oldSide, _, from, to := openPair(t)
	to.Close()
	_ = get(t, oldSide.closed)
	lost := make(chan Outcome, 1)
	fd, r := pipe(t)
	from.Send(Message{Kind: Client}, func(o Outcome) { lost <- o }, fd)
	if o := get(t, lost); o != Returned {
		t.Fatalf("outcome %v", o)
	}
	_, _ = unix.Write(fd, []byte("mine"))
	_ = unix.Close(fd)
	if text, err := io.ReadAll(r); string(text) != "mine" || err != nil {
		t.Fatalf("%q, %v", text, err)
	}
}

// hangingPeer is another process that has said that it is ready and reads nothing. It is sent twice as much as may be unconfirmed.
func hangingPeer(t *testing.T) (from *Link, gone chan error, c *net.UnixConn, outcomes []chan Outcome, fds []int, ends []*os.File) {
	path, oldSide, _, _, _ := openPair(t)
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	from = get(t, oldSide.opened)
	if _, err := c.Write([]byte(`{"V":1,"Kind":2,"Confirms":true}`)); err != nil {
		t.Fatal(err)
	}
	if m := get(t, oldSide.messages); m.Kind != Ready {
		t.Fatalf("%+v", m)
	}
	for range 2 * maxUnconfirmed {
		fd, r := pipe(t)
		outcome := make(chan Outcome, 2)
		outcomes, fds, ends = append(outcomes, outcome), append(fds, fd), append(ends, r)
		from.Send(Message{Kind: Client}, func(o Outcome) { outcome <- o }, fd)
	}
	return from, oldSide.closed, c, outcomes, fds, ends
}

// TestAHangingProcessEndsTheLink has another process that reads nothing: what it was not sent returns, what it was sent stays its own.
func TestAHangingProcessEndsTheLink(t *testing.T) {
	_, gone, c, outcomes, fds, ends := hangingPeer(t)
	for n := maxUnconfirmed; n < 2*maxUnconfirmed; n++ {
		if o := get(t, outcomes[n]); o != Returned {
			t.Fatalf("%d, never sent: outcome %v", n, o)
		}
		_ = unix.Close(fds[n])
	}
	_ = get(t, gone)
	text, rights := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for n := range maxUnconfirmed {
		if o := get(t, outcomes[n]); o != Unconfirmed {
			t.Fatalf("%d, unread: outcome %v", n, o)
		}
		_, m, _, _, err := c.ReadMsgUnix(text, rights) // it runs again
		its := parseDescriptors(rights[:m])
		if err != nil || len(its) != 1 {
			t.Fatalf("%d: %v, %v", n, its, err)
		}
		_, _ = unix.Write(its[0], []byte("its"))
		_ = unix.Close(its[0])
		if got, err := io.ReadAll(ends[n]); string(got) != "its" || err != nil { // nobody else holds it
			t.Fatalf("%d: %q, %v", n, got, err)
		}
	}
}

// TestUnreadDescriptorsReturnWhenTheProcessDies ends the other process after it was sent all that may be unconfirmed, at once and after
// it was found to hang. It has confirmed two messages; the rest returns.
func TestUnreadDescriptorsReturnWhenTheProcessDies(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		_, gone, c, outcomes, fds, ends := hangingPeer(t)
		text := make([]byte, maxMessageSize)
		for range 2 {
			if _, _, _, _, err := c.ReadMsgUnix(text, nil); err != nil { // its descriptor is dropped by the kernel
				t.Fatal(err)
			}
			if _, err := c.Write([]byte(`{"V":1,"Kind":6}`)); err != nil {
				t.Fatal(err)
			}
		}
		for n := range 2 {
			if o := get(t, outcomes[n]); o != Confirmed {
				t.Fatalf("%d: outcome %v", n, o)
			}
		}
		if hangs {
			if o := get(t, outcomes[2*maxUnconfirmed-1]); o != Returned {
				t.Fatalf("outcome %v", o)
			}
			outcomes[2*maxUnconfirmed-1] <- Returned
		}
		_ = c.Close()
		for n := 2; n < 2*maxUnconfirmed; n++ {
			if o := get(t, outcomes[n]); o != Returned {
				t.Fatalf("hangs %v, %d: outcome %v", hangs, n, o)
			}
			_, _ = unix.Write(fds[n], []byte("mine"))
			_ = unix.Close(fds[n])
			if got, err := io.ReadAll(ends[n]); string(got) != "mine" || err != nil {
				t.Fatalf("%d: %q, %v", n, got, err)
			}
		}
		_ = get(t, gone)
	}
}

// TestAHalfCloseIsNotAnExit has another process close only its sending side: it may read on, so nothing of what it was sent returns, and
// all else does. How much was sent by then is up to the link: the other process finds exactly what was left unconfirmed.
func TestAHalfCloseIsNotAnExit(t *testing.T) {
	_, gone, c, outcomes, fds, _ := hangingPeer(t)
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if err := raw.Read(func(fd uintptr) bool { // the first is on the way
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	}); err != nil {
		t.Fatal(err)
	}
	_ = c.CloseWrite()
	left := 0
	for n := range 2 * maxUnconfirmed {
		switch o := get(t, outcomes[n]); {
		case o == Unconfirmed && left == n:
			left++
		case o == Returned:
			_ = unix.Close(fds[n])
		default:
			t.Fatalf("%d: outcome %v, %d were left before", n, o, left)
		}
	}
	if left == 0 || left > maxUnconfirmed {
		t.Fatalf("%d are left", left)
	}
	_ = get(t, gone)
	text, rights := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for n := range left {
		_, m, _, _, err := c.ReadMsgUnix(text, rights)
		its := parseDescriptors(rights[:m])
		if err != nil || len(its) != 1 {
			t.Fatalf("%d of %d that are left: %v, %v", n, left, its, err)
		}
		_ = unix.Close(its[0])
	}
	if n, _, _, _, err := c.ReadMsgUnix(text, rights); n != 0 {
		t.Fatalf("one more than the %d that are left: %q, %v", left, text[:n], err)
	}
}

// TestMalformedMessagesEndTheLink sends another version, text that is no message, one without its descriptors, and one that is too long.
func TestMalformedMessagesEndTheLink(t *testing.T) {
	for _, text := range []string{`{"V":2,"Kind":2}`, "hello", `{"V":1,"Kind":4}`, `{"V":1,"Kind":2` + strings.Repeat(" ", maxMessageSize) + "}"} {
		path, oldSide, _, _, _ := openPair(t)
		c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		get(t, oldSide.opened)
		_ = c.SetWriteBuffer(sendBufferSize)
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = get(t, oldSide.closed)
		_ = c.Close()
		select {
		case m := <-oldSide.messages:
			t.Errorf("%.20s: %+v", text, m)
		default:
		}
	}
}

// TestSocketsLeftBehind dials where there is no process, or only the socket of one that was killed, and names that make no path.
func TestSocketsLeftBehind(t *testing.T) {
	s := newRecorder()
	path, _ := SocketPath(t.TempDir(), "n0")
	if l, err := Dial(path, s); l != nil || err != nil {
		t.Fatal(l, err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	_ = ln.Close() // as a process that was killed leaves it
	if l, err := Dial(path, s); l != nil || err != nil {
		t.Fatal(l, err)
	}
	if err := Listen(path, s); err != nil {
		t.Fatal(err)
	}
	_ = os.Remove(path)
	_ = os.WriteFile(path, nil, 0o600) // no socket
	if l, err := Dial(path, s); l != nil || err != nil {
		t.Fatal(l, err)
	}
	for _, bad := range [][2]string{{"", "n0"}, {"/tmp", "../n0"}, {"/tmp", "a/b"}, {filepath.Join("/tmp", strings.Repeat("x", 100)), "n0"}} {
		if path, err := SocketPath(bad[0], bad[1]); err == nil {
			t.Error(path)
		}
	}
}

// TestALinkOpensOnceADescriptorIsFree has the next process connect while this one is out of descriptors.
func TestALinkOpensOnceADescriptorIsFree(t *testing.T) {
	path, err := SocketPath(t.TempDir(), "n0")
	if err != nil {
		t.Fatal(err)
	}
	oldSide := newRecorder()
	if err := Listen(path, oldSide); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(next) }()
	var was unix.Rlimit
	if err := unix.Prlimit(0, unix.RLIMIT_NOFILE, nil, &was); err != nil {
		t.Fatal(err)
	}
	none := was
	none.Cur = 3 // input, output and errors have these: what others close meanwhile makes no room
	if err := unix.Prlimit(0, unix.RLIMIT_NOFILE, &none, nil); err != nil {
		t.Fatal(err)
	}
	free := func() { _ = unix.Prlimit(0, unix.RLIMIT_NOFILE, &was, nil) }
	defer free()
	if fd, err := unix.Dup(next); err != unix.EMFILE {
		_ = unix.Close(fd)
		t.Fatalf("%d, %v: a descriptor is left", fd, err)
	}
	if err := unix.Connect(next, &unix.SockaddrUnix{Name: path}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-oldSide.opened:
		t.Fatal("taken without a descriptor")
	case <-time.After(3 * acceptRetryDelay): // tried, and tried again
	}
	free()
	get(t, oldSide.opened).Close()
}

// slowHandler is a Handler that takes long to accept a link, and keeps the order of what it is notified of.
type slowHandler struct{ events chan string }

func (h slowHandler) Opened(*Link) {
	time.Sleep(100 * time.Millisecond)
	h.events <- "opened"
}

func (h slowHandler) Received(*Link, Message, []int) { h.events <- "received" }

func (h slowHandler) Closed(*Link, error) { h.events <- "closed" }

// TestALinkIsAnnouncedBeforeItsMessages has the other process send its first message at once, while the handler takes long to accept the
// link: the message must come after it. One that comes before belongs to no link that the handler knows, and is lost.
func TestALinkIsAnnouncedBeforeItsMessages(t *testing.T) {
	path, err := SocketPath(t.TempDir(), "n0")
	if err != nil {
		t.Fatal(err)
	}
	h := slowHandler{events: make(chan string, 10)}
	if err := Listen(path, h); err != nil {
		t.Fatal(err)
	}
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte(`{"V":1,"Kind":2,"Confirms":true}`)); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	for n, want := range []string{"opened", "received", "closed"} {
		if got := get(t, h.events); got != want {
			t.Fatalf("event %d is %q, not %q", n, got, want)
		}
	}
}
