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

const bound = 20 * time.Second

// side is one end of a link, with what it was told.
type side struct {
	link chan *Link
	said chan Message
	fds  chan int
	gone chan error
}

func newSide() *side {
	return &side{make(chan *Link, 4), make(chan Message, 100), make(chan int, 100), make(chan error, 4)}
}

func (s *side) heed(_ *Link, m Message, fds []int) {
	for _, fd := range fds {
		s.fds <- fd
	}
	s.said <- m
}

func (s *side) ended(_ *Link, why error) { s.gone <- why }

func get[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(bound):
		t.Fatal("nothing has come")
		panic(0)
	}
}

func linked(t *testing.T) (path string, old, young *side, from, to *Link) {
	path, err := SocketPath(t.TempDir(), "n0")
	if err != nil {
		t.Fatal(err)
	}
	old, young = newSide(), newSide()
	if err := Listen(path, func(l *Link) { old.link <- l }, old.heed, old.ended); err != nil {
		t.Fatal(err)
	}
	if to, err = Dial(path, young.heed, young.ended); err != nil || to == nil {
		t.Fatal(err)
	}
	t.Cleanup(to.Close)
	return path, old, young, get(t, old.link), to
}

// pipe is a descriptor to send and the end that proves it is the same.
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

// TestDescriptorsGoAlong sends more messages with descriptors than may be on their way at once, in order.
func TestDescriptorsGoAlong(t *testing.T) {
	_, _, young, from, _ := linked(t)
	var ends []*os.File
	outcomes := make(chan Outcome, 3*maxUnconfirmed)
	for n := range 3 * maxUnconfirmed {
		fd, r := pipe(t)
		ends = append(ends, r)
		from.Send(Message{Kind: Client, Input: []byte{byte(n)}}, func(o Outcome) { outcomes <- o }, fd)
	}
	for n, r := range ends {
		m, fd := get(t, young.said), get(t, young.fds)
		if m.Kind != Client || len(m.Input) != 1 || m.Input[0] != byte(n) {
			t.Fatalf("%d: %+v", n, m)
		}
		_, _ = unix.Write(fd, []byte("x"))
		_ = unix.Close(fd)
		if text, err := io.ReadAll(r); string(text) != "x" || err != nil { // nobody else holds it any more
			t.Fatalf("%q, %v", text, err)
		}
		if o := get(t, outcomes); o != Confirmed {
			t.Fatalf("%d: outcome %d", n, o)
		}
	}
	pair := &relay.PairState{Client: relay.ConnState{Partial: []byte("half")}, RequestAge: time.Second}
	a, _ := pipe(t)
	b, _ := pipe(t)
	from.Send(Message{Kind: Session, ServerUID: "s-1", Load: 7, Pair: pair}, nil, a, b)
	if m := get(t, young.said); m.ServerUID != "s-1" || m.Load != 7 || string(m.Pair.Client.Partial) != "half" || m.Pair.RequestAge != time.Second {
		t.Fatalf("%+v", m)
	}
}

// TestWhatIsNotSentIsTheCallersAgain ends a link under its messages. Guards against clients that neither process holds.
func TestWhatIsNotSentIsTheCallersAgain(t *testing.T) {
	_, old, _, from, to := linked(t)
	to.Close()
	_ = get(t, old.gone)
	lost := make(chan Outcome, 1)
	fd, r := pipe(t)
	from.Send(Message{Kind: Client}, func(o Outcome) { lost <- o }, fd)
	if o := get(t, lost); o != Returned {
		t.Fatalf("outcome %d", o)
	}
	_, _ = unix.Write(fd, []byte("mine"))
	_ = unix.Close(fd)
	if text, err := io.ReadAll(r); string(text) != "mine" || err != nil {
		t.Fatalf("%q, %v", text, err)
	}
}

// deaf is another process that has said it is ready and reads nothing. It is sent twice as much as may be on the way.
func deaf(t *testing.T) (from *Link, gone chan error, c *net.UnixConn, outcomes []chan Outcome, fds []int, ends []*os.File) {
	path, old, _, _, _ := linked(t)
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	from = get(t, old.link)
	if _, err := c.Write([]byte(`{"V":1,"Kind":2,"Confirms":true}`)); err != nil {
		t.Fatal(err)
	}
	if m := get(t, old.said); m.Kind != Ready {
		t.Fatalf("%+v", m)
	}
	for range 2 * maxUnconfirmed {
		fd, r := pipe(t)
		outcome := make(chan Outcome, 2)
		outcomes, fds, ends = append(outcomes, outcome), append(fds, fd), append(ends, r)
		from.Send(Message{Kind: Client}, func(o Outcome) { outcome <- o }, fd)
	}
	return from, old.gone, c, outcomes, fds, ends
}

// TestAProcessThatHangsEndsTheLink has one that takes nothing. Guards against clients that wait for it for ever, and against such
// as two processes hold: what it was sent stays its own.
func TestAProcessThatHangsEndsTheLink(t *testing.T) {
	_, gone, c, outcomes, fds, ends := deaf(t)
	for n := maxUnconfirmed; n < 2*maxUnconfirmed; n++ {
		if o := get(t, outcomes[n]); o != Returned {
			t.Fatalf("%d, never sent: outcome %d", n, o)
		}
		_ = unix.Close(fds[n])
	}
	_ = get(t, gone)
	text, rights := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for n := range maxUnconfirmed {
		if o := get(t, outcomes[n]); o != Unconfirmed {
			t.Fatalf("%d, unread: outcome %d", n, o)
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

// TestWhatIsUnreadAtADeathComesBack ends the other process after it was sent all that may be on the way, at once and once it was
// taken for one that hangs; it has confirmed two. Guards against clients that end without a word.
func TestWhatIsUnreadAtADeathComesBack(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		_, gone, c, outcomes, fds, ends := deaf(t)
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
				t.Fatalf("%d: outcome %d", n, o)
			}
		}
		if hangs {
			if o := get(t, outcomes[2*maxUnconfirmed-1]); o != Returned {
				t.Fatalf("outcome %d", o)
			}
			outcomes[2*maxUnconfirmed-1] <- Returned
		}
		_ = c.Close()
		for n := 2; n < 2*maxUnconfirmed; n++ {
			if o := get(t, outcomes[n]); o != Returned {
				t.Fatalf("hangs %v, %d: outcome %d", hangs, n, o)
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

// TestAHalfCloseIsNoDeath has another process end only what it sends: it may read on, so nothing of what it was sent comes back, and all
// else does. How much was sent by then is the link's matter: what the other one finds is what was left with it.
func TestAHalfCloseIsNoDeath(t *testing.T) {
	_, gone, c, outcomes, fds, _ := deaf(t)
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(bound))
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
			t.Fatalf("%d: outcome %d, %d were left before", n, o, left)
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

// TestOddWordsEndTheLink has another version, no message, and one whose descriptors are missing.
func TestOddWordsEndTheLink(t *testing.T) {
	for _, text := range []string{`{"V":2,"Kind":2}`, "hello", `{"V":1,"Kind":4}`, `{"V":1,"Kind":2` + strings.Repeat(" ", maxMessageSize) + "}"} {
		path, old, _, _, _ := linked(t)
		c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		get(t, old.link)
		_ = c.SetWriteBuffer(sendBufferSize)
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = get(t, old.gone)
		_ = c.Close()
		select {
		case m := <-old.said:
			t.Errorf("%.20s: %+v", text, m)
		default:
		}
	}
}

func TestNobodyAndLeftovers(t *testing.T) {
	s := newSide()
	path, _ := SocketPath(t.TempDir(), "n0")
	if l, err := Dial(path, s.heed, s.ended); l != nil || err != nil {
		t.Fatal(l, err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	_ = ln.Close() // as a process that was killed leaves it
	if l, err := Dial(path, s.heed, s.ended); l != nil || err != nil {
		t.Fatal(l, err)
	}
	if err := Listen(path, func(l *Link) { s.link <- l }, s.heed, s.ended); err != nil {
		t.Fatal(err)
	}
	_ = os.Remove(path)
	_ = os.WriteFile(path, nil, 0o600) // no socket
	if l, err := Dial(path, s.heed, s.ended); l != nil || err != nil {
		t.Fatal(l, err)
	}
	for _, bad := range [][2]string{{"", "n0"}, {"/tmp", "../n0"}, {"/tmp", "a/b"}, {filepath.Join("/tmp", strings.Repeat("x", 100)), "n0"}} {
		if path, err := SocketPath(bad[0], bad[1]); err == nil {
			t.Error(path)
		}
	}
}

// TestALinkComesUpOnceADescriptorIsFree has a next process come while this one has no descriptor left.
func TestALinkComesUpOnceADescriptorIsFree(t *testing.T) {
	path, err := SocketPath(t.TempDir(), "n0")
	if err != nil {
		t.Fatal(err)
	}
	old := newSide()
	if err := Listen(path, func(l *Link) { old.link <- l }, old.heed, old.ended); err != nil {
		t.Fatal(err)
	}
	next, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(next)
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
	case <-old.link:
		t.Fatal("taken without a descriptor")
	case <-time.After(3 * acceptRetryDelay): // tried, and tried again
	}
	free()
	get(t, old.link).Close()
}
