package hotrestart

import (
	"encoding/json"
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

// recorder is a Handler that records the events in channels.
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

// receive returns the next value from a channel and fails the test if none arrives in time.
func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(testTimeout):
		t.Fatal("nothing arrived in time")
		panic(0)
	}
}

// openPair opens a link between two recorders, which stand for the old and the new process.
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
	return path, oldSide, newSide, receive(t, oldSide.opened), newLink
}

// pipe returns the write end of a pipe as a descriptor to send, and its read end, which shows what is written to a duplicate of the
// descriptor.
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

// Guards against descriptors that are lost, mixed up or left open: sends more messages with descriptors than may be unconfirmed at once,
// and checks their order.
func TestDescriptorsAccompanyMessages(t *testing.T) {
	_, _, newSide, oldLink, _ := openPair(t)
	var readers []*os.File
	outcomes := make(chan Outcome, 3*maxUnconfirmed)
	for n := range 3 * maxUnconfirmed {
		fd, r := pipe(t)
		readers = append(readers, r)
		oldLink.Send(Message{Kind: Client, Input: []byte{byte(n)}}, func(o Outcome) { outcomes <- o }, fd)
	}
	for n, r := range readers {
		m, fd := receive(t, newSide.messages), receive(t, newSide.descriptors)
		if m.Kind != Client || len(m.Input) != 1 || m.Input[0] != byte(n) {
			t.Fatalf("message %d is %+v", n, m)
		}
		_, _ = unix.Write(fd, []byte("x"))
		_ = unix.Close(fd)
		if text, err := io.ReadAll(r); string(text) != "x" || err != nil { // io.EOF shows that no other duplicate is open
			t.Fatalf("the pipe holds %q (%v)", text, err)
		}
		if o := receive(t, outcomes); o != Confirmed {
			t.Fatalf("message %d has outcome %v, want confirmed", n, o)
		}
	}
	pair := &relay.PairState{Client: relay.ConnState{Partial: []byte("half")}, RequestAge: time.Second}
	a, _ := pipe(t)
	b, _ := pipe(t)
	oldLink.Send(Message{Kind: Session, ServerUID: "s-1", Load: 7, Pair: pair}, nil, a, b)
	if m := receive(t, newSide.messages); m.ServerUID != "s-1" || m.Load != 7 || string(m.Pair.Client.Partial) != "half" || m.Pair.RequestAge != time.Second {
		t.Fatalf("%+v", m)
	}
}

// Guards against descriptors that are closed although they were never sent: the caller still owns those that are sent after the link has
// closed.
func TestUnsentDescriptorsReturnToTheCaller(t *testing.T) {
	_, oldSide, _, oldLink, newLink := openPair(t)
	newLink.Close()
	_ = receive(t, oldSide.closed)
	outcomes := make(chan Outcome, 1)
	fd, r := pipe(t)
	oldLink.Send(Message{Kind: Client}, func(o Outcome) { outcomes <- o }, fd)
	if o := receive(t, outcomes); o != Returned {
		t.Fatalf("outcome is %v, want returned", o)
	}
	_, _ = unix.Write(fd, []byte("mine"))
	_ = unix.Close(fd)
	if text, err := io.ReadAll(r); string(text) != "mine" || err != nil {
		t.Fatalf("the pipe holds %q (%v)", text, err)
	}
}

// hangingPeer opens a link to a peer that has announced that it is ready and then reads nothing. It sends the peer twice as many messages
// as may be unconfirmed.
func hangingPeer(t *testing.T) (link *Link, closed chan error, peer *net.UnixConn, outcomes []chan Outcome, fds []int, readers []*os.File) {
	path, oldSide, _, _, _ := openPair(t)
	peer, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	link = receive(t, oldSide.opened)
	if _, err := peer.Write([]byte(`{"V":1,"Kind":2,"Confirms":true}`)); err != nil {
		t.Fatal(err)
	}
	if m := receive(t, oldSide.messages); m.Kind != Ready {
		t.Fatalf("%+v", m)
	}
	for range 2 * maxUnconfirmed {
		fd, r := pipe(t)
		outcome := make(chan Outcome, 2)
		outcomes, fds, readers = append(outcomes, outcome), append(fds, fd), append(readers, r)
		link.Send(Message{Kind: Client}, func(o Outcome) { outcome <- o }, fd)
	}
	return link, oldSide.closed, peer, outcomes, fds, readers
}

// Guards against a handover that waits forever for a hanging process: messages that were not sent return, and descriptors that were sent
// remain with the other process.
func TestAHangingProcessEndsTheLink(t *testing.T) {
	_, closed, peer, outcomes, fds, readers := hangingPeer(t)
	for n := maxUnconfirmed; n < 2*maxUnconfirmed; n++ {
		if o := receive(t, outcomes[n]); o != Returned {
			t.Fatalf("message %d, which was never sent, has outcome %v, want returned", n, o)
		}
		_ = unix.Close(fds[n])
	}
	_ = receive(t, closed)
	buffer, controlData := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for n := range maxUnconfirmed {
		if o := receive(t, outcomes[n]); o != Unconfirmed {
			t.Fatalf("message %d, which was not read, has outcome %v, want unconfirmed", n, o)
		}
		_, controlLen, _, _, err := peer.ReadMsgUnix(buffer, controlData) // the other process continues after the link has closed
		received := parseDescriptors(controlData[:controlLen])
		if err != nil || len(received) != 1 {
			t.Fatalf("message %d has descriptors %v (%v), want one", n, received, err)
		}
		_, _ = unix.Write(received[0], []byte("its"))
		_ = unix.Close(received[0])
		if got, err := io.ReadAll(readers[n]); string(got) != "its" || err != nil { // io.EOF shows that no other duplicate is open
			t.Fatalf("message %d: the pipe holds %q (%v)", n, got, err)
		}
	}
}

// Guards against descriptors that are lost when the other process ends before it has confirmed them, either immediately or after it was
// found to hang. The process has confirmed two messages; the others return.
func TestUnreadDescriptorsReturnWhenTheProcessDies(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		_, closed, peer, outcomes, fds, readers := hangingPeer(t)
		buffer := make([]byte, maxMessageSize)
		for range 2 {
			if _, _, _, _, err := peer.ReadMsgUnix(buffer, nil); err != nil { // without a buffer for it the kernel closes the descriptor
				t.Fatal(err)
			}
			if _, err := peer.Write([]byte(`{"V":1,"Kind":6}`)); err != nil {
				t.Fatal(err)
			}
		}
		for n := range 2 {
			if o := receive(t, outcomes[n]); o != Confirmed {
				t.Fatalf("message %d has outcome %v, want confirmed", n, o)
			}
		}
		if hangs {
			if o := receive(t, outcomes[2*maxUnconfirmed-1]); o != Returned {
				t.Fatalf("outcome is %v, want returned", o)
			}
			outcomes[2*maxUnconfirmed-1] <- Returned
		}
		_ = peer.Close()
		for n := 2; n < 2*maxUnconfirmed; n++ {
			if o := receive(t, outcomes[n]); o != Returned {
				t.Fatalf("hangs %v: message %d has outcome %v, want returned", hangs, n, o)
			}
			_, _ = unix.Write(fds[n], []byte("mine"))
			_ = unix.Close(fds[n])
			if got, err := io.ReadAll(readers[n]); string(got) != "mine" || err != nil {
				t.Fatalf("message %d: the pipe holds %q (%v)", n, got, err)
			}
		}
		_ = receive(t, closed)
	}
}

// Guards against descriptors that are used by both processes: another process that closes only its sending side may still read, so no
// message that was sent to it returns, and all others do. How many were sent by then depends on timing; the other process must find
// exactly those that were left unconfirmed.
func TestAHalfCloseIsNotAnExit(t *testing.T) {
	_, closed, peer, outcomes, fds, _ := hangingPeer(t)
	raw, err := peer.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.SetReadDeadline(time.Now().Add(testTimeout))
	if err := raw.Read(func(fd uintptr) bool { // the function returns true once the first message has arrived
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	}); err != nil {
		t.Fatal(err)
	}
	_ = peer.CloseWrite()
	unconfirmed := 0
	for n := range 2 * maxUnconfirmed {
		switch o := receive(t, outcomes[n]); {
		case o == Unconfirmed && unconfirmed == n:
			unconfirmed++
		case o == Returned:
			_ = unix.Close(fds[n])
		default:
			t.Fatalf("message %d has outcome %v, %d before it are unconfirmed", n, o, unconfirmed)
		}
	}
	if unconfirmed == 0 || unconfirmed > maxUnconfirmed {
		t.Fatalf("%d messages are unconfirmed", unconfirmed)
	}
	_ = receive(t, closed)
	buffer, controlData := make([]byte, maxMessageSize), make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for n := range unconfirmed {
		_, controlLen, _, _, err := peer.ReadMsgUnix(buffer, controlData)
		received := parseDescriptors(controlData[:controlLen])
		if err != nil || len(received) != 1 {
			t.Fatalf("message %d of %d unconfirmed ones has descriptors %v (%v), want one", n, unconfirmed, received, err)
		}
		_ = unix.Close(received[0])
	}
	if n, _, _, _, err := peer.ReadMsgUnix(buffer, controlData); n != 0 {
		t.Fatalf("received another message than the %d unconfirmed ones: %q (%v)", unconfirmed, buffer[:n], err)
	}
}

// Guards against delivering invalid messages: sends another version, text that is not JSON, a message without its descriptors, and one
// that is too long.
func TestMalformedMessagesEndTheLink(t *testing.T) {
	for _, text := range []string{`{"V":2,"Kind":2}`, "hello", `{"V":1,"Kind":4}`, `{"V":1,"Kind":2` + strings.Repeat(" ", maxMessageSize) + "}"} {
		path, oldSide, _, _, _ := openPair(t)
		conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		receive(t, oldSide.opened)
		_ = conn.SetWriteBuffer(sendBufferSize)
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = receive(t, oldSide.closed)
		_ = conn.Close()
		select {
		case m := <-oldSide.messages:
			t.Errorf("%.20s was delivered as %+v", text, m)
		default:
		}
	}
}

// Guards against a failed start because of a leftover socket file: dials without another process, with the socket of a killed one and
// with a regular file in its place, and checks that invalid names yield no path.
func TestSocketsLeftBehind(t *testing.T) {
	handler := newRecorder()
	path, _ := SocketPath(t.TempDir(), "n0")
	if l, err := Dial(path, handler); l != nil || err != nil {
		t.Fatal(l, err)
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false)
	_ = listener.Close() // the socket file is left behind, as by a process that was killed
	if l, err := Dial(path, handler); l != nil || err != nil {
		t.Fatal(l, err)
	}
	if err := Listen(path, handler); err != nil {
		t.Fatal(err)
	}
	_ = os.Remove(path)
	_ = os.WriteFile(path, nil, 0o600) // the path is a file that is not a socket
	if l, err := Dial(path, handler); l != nil || err != nil {
		t.Fatal(l, err)
	}
	for _, invalid := range [][2]string{{"", "n0"}, {"/tmp", "../n0"}, {"/tmp", "a/b"}, {filepath.Join("/tmp", strings.Repeat("x", 100)), "n0"}} {
		if path, err := SocketPath(invalid[0], invalid[1]); err == nil {
			t.Error(path)
		}
	}
}

// Guards against a listener that stops accepting: the next process connects while this one is out of descriptors, and is accepted later.
func TestALinkOpensOnceADescriptorIsFree(t *testing.T) {
	path, err := SocketPath(t.TempDir(), "n0")
	if err != nil {
		t.Fatal(err)
	}
	oldSide := newRecorder()
	if err := Listen(path, oldSide); err != nil {
		t.Fatal(err)
	}
	peer, err := unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(peer) }()
	var oldLimit unix.Rlimit
	if err := unix.Prlimit(0, unix.RLIMIT_NOFILE, nil, &oldLimit); err != nil {
		t.Fatal(err)
	}
	newLimit := oldLimit
	newLimit.Cur = 3 // only the standard streams fit, so a descriptor that is closed meanwhile can't be reused
	if err := unix.Prlimit(0, unix.RLIMIT_NOFILE, &newLimit, nil); err != nil {
		t.Fatal(err)
	}
	restoreLimit := func() { _ = unix.Prlimit(0, unix.RLIMIT_NOFILE, &oldLimit, nil) }
	defer restoreLimit()
	if fd, err := unix.Dup(peer); err != unix.EMFILE {
		_ = unix.Close(fd)
		t.Fatalf("Dup returned %d (%v), want EMFILE", fd, err)
	}
	if err := unix.Connect(peer, &unix.SockaddrUnix{Name: path}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-oldSide.opened:
		t.Fatal("a link was opened without a free descriptor")
	case <-time.After(3 * acceptRetryDelay): // the delay covers several attempts to accept
	}
	restoreLimit()
	receive(t, oldSide.opened).Close()
}

// slowHandler is a Handler whose Opened takes long, and that records the order of its events.
type slowHandler struct{ events chan string }

func (h slowHandler) Opened(*Link) {
	time.Sleep(100 * time.Millisecond)
	h.events <- "opened"
}

func (h slowHandler) Received(*Link, Message, []int) { h.events <- "received" }

func (h slowHandler) Closed(*Link, error) { h.events <- "closed" }

// Guards against losing the first message of a link: the other process sends it immediately, while Opened is still running. A message
// that was delivered before would belong to a link that the handler does not know, and would be lost.
func TestALinkIsAnnouncedBeforeItsMessages(t *testing.T) {
	path, err := SocketPath(t.TempDir(), "n0")
	if err != nil {
		t.Fatal(err)
	}
	handler := slowHandler{events: make(chan string, 10)}
	if err := Listen(path, handler); err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(`{"V":1,"Kind":2,"Confirms":true}`)); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	for n, want := range []string{"opened", "received", "closed"} {
		if got := receive(t, handler.events); got != want {
			t.Fatalf("event %d is %q, want %q", n, got, want)
		}
	}
}

// Guards against a part of a state that exceeds the message limit, and against servers that are in no part or in two.
func TestPartsOfAStateFitMessages(t *testing.T) {
	for _, count := range []int{0, 1, 300, 5000} {
		state := &State{OutOfService: true, RequestedAt: time.Second, DrainSince: time.Second}
		for n := range count {
			state.Servers = append(state.Servers, ProbeTimes{UID: strings.Repeat("u", n%300), BootMillis: int64(n), ShortestDurations: []time.Duration{1 << 60, 1 << 60, 1 << 60}})
		}
		next := int64(0)
		for _, part := range state.Parts() {
			if size := len(encode(t, Message{Version: protocolVersion, Kind: StateUpdate, State: part})); size > maxMessageSize {
				t.Errorf("%d servers: a part has %d bytes", count, size)
			}
			if !part.OutOfService || part.RequestedAt != time.Second || part.DrainSince != time.Second {
				t.Errorf("%d servers: a part has the service state %+v", count, part)
			}
			for _, times := range part.Servers {
				if times.BootMillis != next {
					t.Fatalf("%d servers: server %d where %d is next", count, times.BootMillis, next)
				}
				next++
			}
		}
		if next != int64(count) {
			t.Errorf("%d of %d servers", next, count)
		}
	}
}

func encode(t *testing.T, m Message) []byte {
	t.Helper()
	encoded, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}
