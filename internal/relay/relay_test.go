package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// told is an owner that passes on what it is told.
type told struct {
	connected chan error
	said      chan string
	gone      chan error
	ended     chan end
	loads     chan LoadLine
	panics    chan any
}

type end struct {
	p      *Pair
	by     Side
	abrupt bool
	why    error
}

func (o *told) Connected(_ *Conn, err error)               { o.connected <- err }
func (o *told) LineReceived(_ *Conn, raw []byte)           { o.said <- string(raw) }
func (o *told) Disconnected(_ *Conn, _ bool, why error)    { o.gone <- why }
func (o *told) PairEnded(p *Pair, b Side, a bool, w error) { o.ended <- end{p, b, a, w} }
func (o *told) Panicked(_ string, what any, _ []byte)      { o.panics <- what }
func (o *told) LoadsReported(all []LoadLine) {
	for _, l := range all {
		o.loads <- l
	}
}

// bench is shards with a listener whose connections the test takes.
type bench struct {
	*Relay
	*told
	t     testing.TB
	ln    net.Listener
	fds   atomic.Int64
	taken chan net.Conn
}

const bound = 20 * time.Second

func begin(t testing.TB, many int) *bench {
	b := &bench{t: t, taken: make(chan net.Conn, 100), told: &told{make(chan error, 100), make(chan string, 100), make(chan error, 100),
		make(chan end, 1000), make(chan LoadLine, 1000), make(chan any, 100)}}
	var err error
	if b.Relay, err = New(many, b.told, &b.fds); err != nil {
		t.Fatal(err)
	}
	if b.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := b.ln.Accept()
			if err != nil {
				return
			}
			b.taken <- c
		}
	}()
	t.Cleanup(func() { _ = b.ln.Close(); b.Relay.Close() })
	return b
}

func get[T any](t testing.TB, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(bound):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// side is one outer end of a pair.
type side struct {
	net.Conn
	r *bufio.Reader
	t testing.TB
}

func (s *side) want(text string) {
	s.t.Helper()
	if got, err := s.r.ReadString('\n'); got != text {
		s.t.Fatalf("%q, %v in place of %q", got, err, text)
	}
}

func (s *side) ends(abrupt bool) {
	s.t.Helper()
	if c, err := s.r.ReadByte(); err == nil || errors.Is(err, syscall.ECONNRESET) != abrupt || !abrupt && err != io.EOF {
		s.t.Fatalf("%q, %v", c, err)
	}
}

func (b *bench) outer(c net.Conn) *side {
	_ = c.SetDeadline(time.Now().Add(bound))
	b.t.Cleanup(func() { _ = c.Close() })
	return &side{c, bufio.NewReaderSize(c, 1<<16), b.t}
}

// dial makes a connection without a pair.
func (b *bench) dial() (*Conn, *side) {
	b.t.Helper()
	c, err := b.Dial(b.ln.Addr().String(), 1<<20, func() bool { return true }, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := get(b.t, b.connected); err != nil {
		b.t.Fatal(err)
	}
	return c, b.outer(get(b.t, b.taken))
}

// pair makes one, and answers its outer ends; UP has come to the client.
func (b *bench) pair() (p *Pair, client, server *side) {
	b.t.Helper()
	c, server := b.dial()
	_, _ = io.WriteString(server, "UP 1\r\n")
	c.AwaitLine()
	if raw := get(b.t, b.said); raw != "UP 1\r\n" {
		b.t.Fatal(raw)
	}
	near, err := net.Dial("tcp", b.ln.Addr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	if p, err = b.Join(b.take(), c, []byte("UP 1\r\n"), 7, nil); err != nil {
		b.t.Fatal(err)
	}
	client = b.outer(near)
	client.want("UP 1\r\n")
	return p, client, server
}

// take takes the descriptor of the next connection that was accepted.
func (b *bench) take() int {
	b.t.Helper()
	far := get(b.t, b.taken)
	file, err := far.(*net.TCPConn).File()
	if err != nil {
		b.t.Fatal(err)
	}
	fd, err := unix.Dup(int(file.Fd()))
	if err != nil {
		b.t.Fatal(err)
	}
	_ = file.Close()
	_ = far.Close()
	return fd
}

func TestAConnectionWithoutAPair(t *testing.T) {
	b := begin(t, 1)
	c, far := b.dial()
	if err := c.CheckOpen(); err != nil {
		t.Fatal(err)
	}
	if err := c.WriteFirst([]byte("OPEN\r\n")); err != nil {
		t.Fatal(err)
	}
	far.want("OPEN\r\n")
	_, _ = io.WriteString(far, "LOAD 1\r\nUP 1\r\nhal") // one line at a time, however many have come
	c.AwaitLine()
	if got := get(t, b.said); got != "LOAD 1\r\n" {
		t.Fatal(got)
	}
	select {
	case got := <-b.said:
		t.Fatalf("%q unasked", got)
	case <-time.After(20 * time.Millisecond):
	}
	c.AwaitLine()
	if got := get(t, b.said); got != "UP 1\r\n" {
		t.Fatal(got)
	}
	c.AwaitLine()
	_ = far.Close()
	if err := get(t, b.gone); err != nil {
		t.Fatal(err)
	}
	c.Close()
	c.Close()
	if n := b.fds.Load(); n != 0 {
		t.Fatalf("%d descriptors", n)
	}
	c, far = b.dial()
	_, _ = io.WriteString(far, strings.Repeat("x", 5000))
	c.AwaitLine()
	if err := get(t, b.gone); !errors.Is(err, ErrLineTooLong) {
		t.Fatal(err)
	}
	c.Close()
	c, far = b.dial()
	_ = far.Conn.(*net.TCPConn).SetLinger(0)
	_ = far.Close()
	for c.CheckOpen() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := c.WriteFirst([]byte("OPEN\r\n")); err == nil {
		t.Fatal("a line was written to a connection that was reset")
	}
	c.Close()
	_ = b.ln.Close()
	if _, err := b.Dial(b.ln.Addr().String(), 1<<20, func() bool { return true }, nil); err == nil {
		if err := get(t, b.connected); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatal(err)
		}
	}
}

// TestALineIsToldOnceForEachListen has a server's first line lie here before it is listened for, and a second one come right behind:
// that is nobody's before the pair stands, and the client's then.
func TestALineIsToldOnceForEachListen(t *testing.T) {
	b := begin(t, 1)
	for range 50 {
		c, far := b.dial()
		waits := func(most int) bool { // so many bytes that nobody has read
			n, err := unix.IoctlGetInt(c.fd, unix.TIOCINQ)
			return err == nil && n >= most
		}
		until := func(is func() bool) {
			t.Helper()
			for end := time.Now().Add(bound); !is(); time.Sleep(100 * time.Microsecond) {
				if len(b.said) > 0 {
					t.Fatalf("%q unasked", <-b.said)
				}
				if time.Now().After(end) {
					t.Fatal("what was written does not lie here")
				}
			}
		}
		_, _ = io.WriteString(far, "UP 1\r\n")
		until(func() bool { return waits(6) })
		c.AwaitLine()
		if got := get(t, b.said); got != "UP 1\r\n" {
			t.Fatal(got)
		}
		_, _ = io.WriteString(far, "UP 2\r\n")
		until(func() bool { return waits(6) })
		near, err := net.Dial("tcp", b.ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Join(b.take(), c, []byte("UP 1\r\n"), 7, nil); err != nil {
			t.Fatal(err)
		}
		client := b.outer(near)
		client.want("UP 1\r\n")
		client.want("UP 2\r\n")
		_ = client.Close()
		far.ends(false)
		get(t, b.ended)
	}
}

// TestAClientIsToldWhereThereIsNoPair has a server's connection closed before its pair is made. Guards against a bare end.
func TestAClientIsToldWhereThereIsNoPair(t *testing.T) {
	b := begin(t, 1)
	c, _ := b.dial()
	c.Close()
	near, err := net.Dial("tcp", b.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.Join(b.take(), c, []byte("UP 1\r\n"), 7, nil); err == nil {
		t.Fatal("a pair without a server")
	}
	client := b.outer(near)
	client.want("ERR\r\n")
	client.ends(false)
	if n := b.fds.Load(); n != 0 {
		t.Fatalf("%d descriptors", n)
	}
}

func TestLinesPassWholeAndEndsAsTheyCome(t *testing.T) {
	b := begin(t, 2)
	_, client, server := b.pair()
	_, _ = io.WriteString(client, "M 1 a\r\nM 2")
	server.want("M 1 a\r\n")
	_, _ = io.WriteString(client, " b\r\n")
	server.want("M 2 b\r\n")
	_, _ = io.WriteString(server, "LOAD 5\r\nM 1 a\r\nhalf")
	client.want("LOAD 5\r\n")
	client.want("M 1 a\r\n")
	if l := get(t, b.loads); string(l.Raw) != "LOAD 5\r\n" {
		t.Fatalf("%q", l.Raw)
	}
	_, _ = io.WriteString(server, "\r\nBYE\r\n")
	client.want("half\r\n")
	_ = server.Close()
	client.want("BYE\r\n")
	client.ends(false)
	if e := get(t, b.ended); e.by != Server || e.abrupt || e.why != nil || !e.p.Completed() || e.p.MoveRequested() {
		t.Fatal(e)
	}
	_ = client.Close()

	_, client, server = b.pair()
	_ = client.Close()
	server.ends(false)
	if e := get(t, b.ended); e.by != Client || e.abrupt {
		t.Fatal(e)
	}
	_, client, server = b.pair()
	_ = client.Conn.(*net.TCPConn).SetLinger(0)
	_ = client.Close()
	server.ends(true)
	if e := get(t, b.ended); e.by != Client || !e.abrupt {
		t.Fatal(e)
	}
	_, client, server = b.pair()
	_ = server.Conn.(*net.TCPConn).SetLinger(0)
	_ = server.Close()
	client.ends(true)
	if e := get(t, b.ended); e.by != Server || !e.abrupt {
		t.Fatal(e)
	}
	for _, bad := range []string{"M 1\n", strings.Repeat("x", 5000), strings.Repeat("x", 4095) + "\r\n"} {
		_, client, server = b.pair()
		_, _ = io.WriteString(client, bad)
		server.ends(true)
		if e := get(t, b.ended); e.by != Client || !e.abrupt || e.why == nil {
			t.Fatal(e)
		}
	}
	for end := time.Now().Add(bound); b.fds.Load() > 2; { // the first two clients' sides are finished, not closed
		if time.Now().After(end) {
			t.Fatalf("%d descriptors", b.fds.Load())
		}
		time.Sleep(time.Millisecond)
	}
}

// TestAMoveStandsBetweenTwoLines moves pairs while both sides send at full speed.
func TestAMoveStandsBetweenTwoLines(t *testing.T) {
	b := begin(t, 2)
	for range 50 {
		p, client, server := b.pair()
		for _, s := range []*side{client, server} {
			go func() {
				rng := rand.New(rand.NewPCG(1, 2))
				text := []byte(strings.Repeat("M 12345678\r\n", 100))
				for {
					n := 1 + rng.IntN(len(text)-1) // cut anywhere
					if _, err := s.Write(text[:n]); err != nil {
						return
					}
					if _, err := s.Write(text[n:]); err != nil {
						return
					}
				}
			}()
		}
		for range 50 {
			client.want("M 12345678\r\n")
		}
		if !p.CloseWithLine([]byte("MOVE\r\n"), false) || p.CloseWithLine([]byte("MOVE\r\n"), false) {
			t.Fatal("a pair ends once")
		}
		for {
			got, err := client.r.ReadString('\n')
			if got == "MOVE\r\n" {
				break
			}
			if got != "M 12345678\r\n" {
				t.Fatalf("%q, %v", got, err)
			}
		}
		client.ends(false)
		p.Close()
	}
	select {
	case e := <-b.ended:
		t.Fatalf("an end that was asked for was told: %v", e)
	default:
	}
}

// TestBackpressure has a client read nothing while its server sends: what waits is bounded, other pairs go on, and what was
// sent comes whole once the client reads. One that never reads is ended.
func TestBackpressure(t *testing.T) {
	b := begin(t, 1)
	p, client, server := b.pair()
	_, calm, other := b.pair()
	text := []byte(strings.Repeat("x", 1000) + "\r\n")
	sent := make(chan int)
	go func() {
		n := 0
		_ = server.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		for {
			k, err := server.Write(text)
			n += k
			if err != nil {
				break
			}
		}
		sent <- n
	}()
	for i := range 100 {
		_, _ = fmt.Fprintf(calm, "M %d\r\n", i)
		other.want(fmt.Sprintf("M %d\r\n", i))
	}
	n := get(t, sent)
	c := p.conns[Client]
	c.mu.Lock()
	waits := cap(c.writeBuffer)
	c.mu.Unlock()
	if waits > 4*readBufferSize || waits == 0 {
		t.Fatalf("%d bytes wait", waits)
	}
	for whole := n / len(text); whole > 0; whole-- {
		client.want(string(text))
	}
	c.blockedSince.Store(1) // as if it had taken nothing since the start
	b.stallTimeout = 0
	b.CollectResponseTimes(0)
	if e := get(t, b.ended); !errors.Is(e.why, ErrSlowReader) || e.p != p {
		t.Fatal(e)
	}
	_ = server.Close()
	_, _ = io.WriteString(calm, "M 1\r\n")
	other.want("M 1\r\n")
}

// TestAPairGoesOnElsewhere takes a pair out under lines both ways, with some that wait for a slow reader, and has it go on in
// other shards, again and again. Guards against a line that is lost, doubled or cut where a process passes it on.
func TestAPairGoesOnElsewhere(t *testing.T) {
	here, there := begin(t, 1), begin(t, 2)
	p, client, server := here.pair()
	_ = client.Conn.(*net.TCPConn).SetReadBuffer(128 << 10)
	_ = unix.SetsockoptInt(p.conns[Client].fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 128<<10)
	const lines = 4000
	text := strings.Repeat("x", 1000)
	for _, from := range []*side{client, server} {
		go func() {
			for n := range lines {
				_, _ = fmt.Fprintf(from, "%d %s\r\n", n, text)
			}
		}()
	}
	for end := time.Now().Add(bound); !p.conns[Client].writeBlocked.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing waits for the reader")
		}
	}
	waited := 0
	for n := range lines {
		if n%400 == 0 {
			type took struct {
				PairState
				mine bool
			}
			done := make(chan took, 1)
			p.Detach(func(t PairState, mine bool) { done <- took{t, mine} })
			got := get(t, done)
			if !got.mine || p.Abort() || here.fds.Load() != 0 {
				t.Fatalf("%+v, %d descriptors", got.mine, here.fds.Load())
			}
			waited += len(got.Client.Unwritten) + len(got.Server.Unwritten)
			var err error
			if p, err = there.Attach(got.PairState, 1, nil); err != nil {
				t.Fatal(err)
			}
			here, there = there, here
		}
		for _, to := range []*side{client, server} {
			to.want(fmt.Sprintf("%d %s\r\n", n, text))
		}
	}
	if waited == 0 {
		t.Fatal("nothing waited to be written")
	}
	_ = server.Close()
	client.ends(false)
}

func TestGathering(t *testing.T) {
	b := begin(t, 2)
	_, client, server := b.pair()
	silent, quiet, _ := b.pair()
	_, _ = io.WriteString(client, "M 1\r\n")
	server.want("M 1\r\n")
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(server, "LOAD 1\r\nM 1\r\n")
	client.want("LOAD 1\r\n")
	client.want("M 1\r\n")
	_, _ = io.WriteString(quiet, "M 1\r\n")
	for end := time.Now().Add(bound); silent.requestedAt.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(5 * time.Millisecond)
	if all := b.SilentPairs(2 * time.Millisecond); len(all) != 1 || all[0] != silent {
		t.Fatalf("%d silent", len(all))
	}
	if all := b.SilentPairs(time.Hour); len(all) != 0 {
		t.Fatal(all)
	}
	if took := b.CollectResponseTimes(time.Millisecond)[7]; len(took) != 2 || max(took[0], took[1]) < 20*time.Millisecond || min(took[0], took[1]) < 5*time.Millisecond {
		t.Fatalf("%v", took)
	}
	if all := b.CollectResponseTimes(0); len(all) != 0 {
		t.Fatal(all)
	}
}

// TestAPanicCostsOnePair has the shard's table of times gone when a server answers.
func TestAPanicCostsOnePair(t *testing.T) {
	b := begin(t, 1)
	_, client, server := b.pair()
	_, calm, other := b.pair()
	sh := b.workers[0]
	sh.mu.Lock()
	sh.samples = nil
	sh.mu.Unlock()
	_, _ = io.WriteString(client, "M 1\r\n")
	server.want("M 1\r\n")
	_, _ = io.WriteString(server, "M 1\r\n")
	get(t, b.panics)
	if e := get(t, b.ended); !errors.Is(e.why, ErrPanic) {
		t.Fatal(e)
	}
	client.ends(true)
	server.ends(true)
	_, _ = io.WriteString(calm, "M 1\r\n")
	other.want("M 1\r\n")
}

// TestASlotUsedAgainTakesNoOldEvents opens and ends pairs at random, at several shards at once, and holds each to its own bytes.
func TestASlotUsedAgainTakesNoOldEvents(t *testing.T) {
	b := begin(t, 3)
	rng := rand.New(rand.NewPCG(14, 15))
	type one struct {
		p              *Pair
		client, server *side
	}
	var all []one
	for i := range 600 {
		if len(all) < 5 || rng.IntN(2) == 0 {
			p, c, s := b.pair()
			all = append(all, one{p, c, s})
		}
		k := rng.IntN(len(all))
		x := all[k]
		text := fmt.Sprintf("M %d\r\n", i)
		_, _ = io.WriteString(x.client, text)
		x.server.want(text)
		switch rng.IntN(4) {
		case 0:
			_ = x.client.Close()
			x.server.ends(false)
		case 1:
			_ = x.server.Conn.(*net.TCPConn).SetLinger(0)
			_ = x.server.Close()
			x.client.ends(true)
		case 2:
			if x.p.CloseWithLine([]byte("MOVE\r\n"), true) {
				x.client.want("MOVE\r\n")
				x.p.Close()
			}
		default:
			continue
		}
		_ = x.client.Close()
		_ = x.server.Close()
		all = append(all[:k], all[k+1:]...)
	}
}

// BenchmarkLine passes a line there and back; in the steady state it allocates nothing.
func BenchmarkLine(b *testing.B) {
	r := begin(b, 1)
	_, client, server := r.pair()
	_ = client.SetDeadline(time.Time{})
	_ = server.SetDeadline(time.Time{})
	text := []byte("M 123456789 0123456789abcdef\r\n")
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := server.Read(buf)
			if err != nil {
				return
			}
			_, _ = server.Write(buf[:n])
		}
	}()
	buf := make([]byte, len(text))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, _ = client.Write(text)
		if _, err := io.ReadFull(client.r, buf); err != nil || !bytes.Equal(buf, text) {
			b.Fatal(err, string(buf))
		}
	}
}

// No shard's set may stand in another set: where the host plays the kernel, a set within a set tells of nothing, and
// dials never came up. The kernel's own account of each set is what is looked at.
func TestNoSetStandsInAnother(t *testing.T) {
	s, err := New(2, nil, new(atomic.Int64))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	sets := map[string]string{} // what is in each
	all, _ := filepath.Glob("/proc/self/fdinfo/*")
	for _, file := range all {
		if text, _ := os.ReadFile(file); strings.Contains(string(text), "tfd:") {
			sets[filepath.Base(file)] = string(text)
		}
	}
	if len(sets) < 2 {
		t.Fatalf("%d sets, two shards have one each", len(sets))
	}
	for set, text := range sets {
		for other := range sets {
			if regexp.MustCompile(`tfd: +` + other + ` `).MatchString(text) {
				t.Errorf("set %s holds set %s", set, other)
			}
		}
	}
}
