package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/discovery"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
)

const ms = time.Millisecond

var smallMachine = model.MachineType{Name: "std", Cores: 2, Speed: 1, SessionsPerCore: 30, MaxSessions: 3, Setup: ms, Message: ms}

// startServer starts server 4, whose process counts as started at a time of the run.
func startServer(t *testing.T, machineType model.MachineType, started time.Duration) (*Server, *history.Log) {
	t.Helper()
	log, clock := history.New(1000), &Clock{}
	clock.Begin()
	s := NewServer(4, "s-4", machineType, model.Warmup{Floor: 0.1, Window: 20 * time.Second, OverloadMultiple: 1, OverloadWindow: time.Second}, 0, 0, started,
		NewStore(model.Store{}), clock, log, 1)
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, log
}

// client is a connection with a deadline that only a failing test reaches.
type client struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

// dial connects to an address and sends a text.
func dial(t *testing.T, addr, text string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, text)
	return &client{c, bufio.NewReader(c), t}
}

// readLine reads a line and fails the test unless it starts with a prefix.
func (c *client) readLine(prefix string) string {
	c.t.Helper()
	got, err := c.r.ReadString('\n')
	if !strings.HasPrefix(got, prefix) {
		c.t.Fatalf("read %q, error %v, want a line that starts with %q", got, err, prefix)
	}
	return got
}

// expectEnd fails the test unless the connection ends, with or without a reset.
func (c *client) expectEnd(reset bool) {
	c.t.Helper()
	b, err := c.r.ReadByte()
	if err == nil || errors.Is(err, syscall.ECONNRESET) != reset {
		c.t.Fatalf("read %q, error %v, want the end of the connection", b, err)
	}
}

// waitForEvent waits until the log has an event of a kind and a text, as other goroutines record events.
func waitForEvent(t *testing.T, log *history.Log, kind history.Kind, text string) history.Event {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(ms) {
		for _, e := range log.Events() {
			if e.Kind == kind && e.Text == text {
				return e
			}
		}
	}
	t.Fatalf("no event of kind %v with text %q was recorded", kind, text)
	return history.Event{}
}

// TestAServerSpeaksTheProtocolAndRecordsIt follows a server through health checks, sessions, rejections, a failure and a restart. The
// checker decides from the recorded events alone, so that a missing or wrong event would hide a fault of a balancer.
func TestAServerSpeaksTheProtocolAndRecordsIt(t *testing.T) {
	s, log := startServer(t, smallMachine, -time.Hour)
	p := dial(t, s.Addr(), "PING\r\nSTATS\r\n")
	p.readLine("PONG\r\n")
	p.readLine("PONG x0=0.0000,x1=")
	c := dial(t, s.Addr(), "OPEN 2a 2 c=feed,d=900,g=5,h=1.5\r\n")
	c.readLine("UP 2a\r\n")
	c.readLine("LOAD ")
	_, _ = io.WriteString(c, "M 77\r\n")
	if due, sent := parseEcho([]byte(c.readLine("M 77 t="))); due != 77 || sent == 0 {
		t.Fatal(due, sent)
	}
	dial(t, s.Addr(), "OPEN 2b 2 c=feed,d=900\r\n").readLine("UP 2b")
	dial(t, s.Addr(), "OPEN 2c 2 c=feed,d=900\r\n").readLine("UP 2c")
	dial(t, s.Addr(), "OPEN 2d 2 c=feed,d=900\r\n").readLine("BUSY\r\n") // the server accepts three sessions
	if e := waitForEvent(t, log, history.AttemptEnded, "refused"); e.Session != 0x2d || e.Server != 4 {
		t.Fatal(e)
	}
	_ = c.Close()
	if e := waitForEvent(t, log, history.AttemptEnded, "peer"); e.Session != 0x2a {
		t.Fatal(e)
	}
	if n := s.OpenSessions(); n != 2 {
		t.Fatalf("%d sessions are open, want 2", n)
	}
	bad := dial(t, s.Addr(), "HELLO\r\n")
	bad.readLine("SYNTAX\r\n")
	bad.expectEnd(false)
	s.Set(func(m *model.Server) { m.ErrorRate = 1; m.Type.MaxSessions = 10 })
	dial(t, s.Addr(), "OPEN 2e 2 c=feed,d=900\r\n").readLine("ERR\r\n")
	s.Fail("crash")
	if _, err := net.Dial("tcp", s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatal(err)
	}
	if err := s.Revive(); err != nil {
		t.Fatal(err)
	}
	waitForEvent(t, log, history.ServerStarted, "cold")
	dial(t, s.Addr(), "OPEN 2f 2 c=feed,d=900\r\n").readLine("UP 2f")
}

// TestAServerMisbehaves checks that each wire fault of a server shows on the wire and ends with the fault; otherwise runs with such
// faults would pass without testing a balancer.
func TestAServerMisbehaves(t *testing.T) {
	s, log := startServer(t, smallMachine, -time.Hour)
	open := func(id string) *client {
		c := dial(t, s.Addr(), "OPEN "+id+" 2 c=feed,d=900\r\n")
		c.readLine("UP " + id + "\r\n")
		c.readLine("LOAD ")
		return c
	}
	c := open("1")
	s.Misbehave(func(w *WireFaults) { w.Torn = true })
	_, _ = io.WriteString(c, "M 1\r\n")
	if text, err := c.r.ReadString('\n'); err == nil || !strings.HasPrefix("M 1 t=", text) && text != "" && !strings.HasPrefix(text, "M 1") {
		t.Fatalf("read %q, error %v, want a part of the answer and a reset", text, err)
	}
	waitForEvent(t, log, history.AttemptEnded, "server")
	s.Misbehave(func(w *WireFaults) { *w = WireFaults{Drip: true} })
	c = dial(t, s.Addr(), "PING\r\n")
	began := time.Now()
	if c.readLine("PONG\r\n"); time.Since(began) < 5*dripInterval {
		t.Fatal("a dripping server answered without delays between bytes")
	}
	s.Misbehave(func(w *WireFaults) { *w = WireFaults{} })
	c = open("2")
	s.Misbehave(func(w *WireFaults) { w.Silent = true })
	_, _ = io.WriteString(c, "M 1\r\n")
	_ = c.SetReadDeadline(time.Now().Add(100 * ms))
	if b, err := c.r.ReadByte(); err == nil {
		t.Fatalf("a silent server sent %q", b)
	}
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	s.Misbehave(func(w *WireFaults) { w.Silent = false })
	c.expectEnd(true)
	s.Misbehave(func(w *WireFaults) { w.HalfOpen = true })
	c = dial(t, s.Addr(), "PING\r\n")
	for end := time.Now().Add(20 * time.Second); len(s.openSessions()) == 0 && time.Now().Before(end); {
		time.Sleep(ms) // the server has not accepted the connection yet
	}
	s.Misbehave(func(w *WireFaults) { w.HalfOpen = false })
	c.expectEnd(true)
}

// TestAColdServerFallsOver opens sessions at a cold server until it fails. Runs that test slow start need a server that fails if it gets
// too many sessions during warm-up.
func TestAColdServerFallsOver(t *testing.T) {
	s, log := startServer(t, model.MachineType{Cores: 1, Speed: 1, SessionsPerCore: 2, MaxSessions: 100, Message: ms}, 0)
	for id := 1; ; id++ {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "OPEN %x 2 c=feed,d=900\r\n", id)
		if got, err := bufio.NewReader(c).ReadString('\n'); err != nil || got == "" {
			break
		}
		if id > 50 {
			t.Fatal("a cold server accepted 50 sessions without an overload")
		}
	}
	waitForEvent(t, log, history.ServerOverloaded, "")
}

// TestADrainingServerSendsItsClientsAway checks that a draining server migrates its clients in time and rejects new sessions.
func TestADrainingServerSendsItsClientsAway(t *testing.T) {
	s, log := startServer(t, smallMachine, -time.Hour)
	c := dial(t, s.Addr(), "OPEN 1 2 c=feed,d=900\r\n")
	c.readLine("UP 1")
	c.readLine("LOAD")
	s.Drain(context.Background(), true, s.clock.Now()+300*ms)
	c.readLine("MOVE\r\n")
	c.expectEnd(false)
	waitForEvent(t, log, history.AttemptEnded, "server")
	dial(t, s.Addr(), "OPEN 2 2 c=feed,d=900\r\n").readLine("BUSY\r\n")
}

// TestTheAgentTellsAndNotes watches an agent with the balancer's own discovery client. The agent has to deliver each change, record when
// the balancer was notified of it, and misbehave only while told to.
func TestTheAgentTellsAndNotes(t *testing.T) {
	log, clock := history.New(1000), &Clock{}
	a, err := NewAgent(2, clock, log, func(string) int { return 9 })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	list := NewEndpointList(clock, [2]time.Duration{}, [2]time.Duration{}, 1)
	list.AddAgent(a)
	list.SetInitial(Endpoint{UID: "s-9", Address: "127.0.0.1:1", State: InService, Weight: 2})
	lists, errs := make(chan discovery.List, 100), make(chan error, 100)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go discovery.New(a.Addr(), 1, false, func(l discovery.List) { lists <- l }, func(err error) { errs <- err }).Run(ctx)
	if l := <-lists; !l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0].Weight != 2 {
		t.Fatal(l)
	}
	waitForEvent(t, log, history.BalancerNotified, "ready")
	list.SetState(ctx, "s-9", Terminating, 0, false)
	if l := <-lists; l.Complete || len(l.Endpoints) != 1 {
		t.Fatal(l)
	}
	if e := waitForEvent(t, log, history.BalancerNotified, "draining"); e.Balancer != 2 || e.Server != 9 {
		t.Fatal(e)
	}
	a.Misbehave(Malformed)
	for range 3 {
		<-errs
	}
	a.Misbehave(Healthy)
	if l := <-lists; !l.Complete {
		t.Fatal(l)
	}
	a.UseHub(NewWatchHub(time.Hour, time.Millisecond))
	if res, err := http.Get("http://" + a.Addr() + "/v1/endpoints"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(res, err)
	}
	a.UseHub(nil)
	list.Hide(ctx, "s-9", true)
	waitForEvent(t, log, history.BalancerNotified, "gone")
	old := a.Addr()
	if err := a.Replace(); err != nil || a.Addr() == old {
		t.Fatal(err, old)
	}
	if _, err := net.Dial("tcp", old); err == nil {
		t.Fatal("the old address of a replaced agent still accepts connections")
	}
}

// TestALink checks each condition of a link: delays keep the order of data, a cut in one direction lets the other one pass and loses
// nothing, and a close or a reset is passed on. A link that loses data would be reported as a fault of a balancer.
func TestALink(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	l, err := NewLink(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near := dial(t, l.Addr(), "hello\n")
	far := &client{<-accepted, nil, t}
	_ = far.SetDeadline(time.Now().Add(20 * time.Second))
	far.r = bufio.NewReader(far)
	far.readLine("hello\n")
	l.Set(func(c *Condition) { c.Delay, c.Jitter = 100*ms, 50*ms })
	began := time.Now()
	for i := range 20 { // the order must not depend on the jitter
		_, _ = fmt.Fprintf(near, "%d\n", i)
	}
	for i := range 20 {
		far.readLine(fmt.Sprintf("%d\n", i))
	}
	if took := time.Since(began); took < 100*ms {
		t.Fatalf("20 lines over a link with a delay of 100 ms took %v", took)
	}
	l.Set(func(c *Condition) { *c = Condition{CutOut: true} }) // data from the far side is held back, data to it passes
	_, _ = io.WriteString(far, "lost\n")
	_, _ = io.WriteString(near, "found\n")
	far.readLine("found\n")
	_ = near.SetReadDeadline(time.Now().Add(100 * ms))
	if b, err := near.r.ReadByte(); err == nil {
		t.Fatalf("read %q over a cut link", b)
	}
	_ = near.SetReadDeadline(time.Now().Add(20 * time.Second))
	l.Set(func(c *Condition) { *c = Condition{Rate: 10000} })
	near.readLine("lost\n")
	began = time.Now()
	_, _ = io.WriteString(far, strings.Repeat("x", 2999)+"\n")
	near.readLine("x")
	if took := time.Since(began); took < 200*ms {
		t.Fatalf("3,000 bytes at 10,000 a second took %v", took)
	}
	l.Set(func(c *Condition) { *c = Condition{} })
	_ = far.Close() // a close is passed on as a close
	near.expectEnd(false)
	near = dial(t, l.Addr(), "again\n")
	other := <-accepted
	l.Reset()
	near.expectEnd(true)
	_ = other.Close()
}
