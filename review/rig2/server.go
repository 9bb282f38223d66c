package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// openLine is a decoded OPEN line.
type openLine struct {
	id, key string
	fields  map[string]string
}

func parseOpen(line string) (openLine, bool) {
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	if len(words) != 4 || words[0] != "OPEN" {
		return openLine{}, false
	}
	o := openLine{id: words[1], key: words[2], fields: map[string]string{}}
	for _, field := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(field, "=")
		o.fields[name] = value
	}
	return o, true
}

// arrival is one OPEN line that a server has received.
type arrival struct {
	at     time.Time
	server string
	zone   string
	id     string
	key    string
	ran    bool // the request took effect; false for a repeat that was dropped
}

// world is what all stand-in servers of a case share: the arrivals, and which requests the servers still remember.
type world struct {
	mu       sync.Mutex
	rec      *recorder
	arrivals []arrival
	window   time.Duration            // how long the servers drop repeats of a request; 0 for classes that have no such memory
	firstRun map[string]time.Time     // time of the first run by key
	behave   func(*serverConn) action // what the server does with a request; nil means serve
	onLine   func(*server, string)    // called with each OPEN line; may be nil
	pushing  atomic.Bool              // servers send their clients lines of their own
	quiet    bool                     // requests are not recorded one by one
}

// action is what a stand-in server does with a request that has arrived and run.
type action int

const (
	actServe action = iota // answer UP and echo all lines
	actHang                // answer nothing
	actReset               // reset the connection after resetDelay
)

const (
	pushedLine = "N new photo\r\n"
	pushEvery  = 60 * time.Millisecond
)

const resetDelay = 500 * time.Millisecond

// server is a stand-in for one server.
type server struct {
	world  *world
	uid    string
	zone   string
	pod    int
	addr   string
	ln     *net.TCPListener
	gate   sync.Mutex // held while the server accepts no connection
	mu     sync.Mutex
	conns  map[net.Conn]bool
	number int
}

// serverConn is one connection with its request.
type serverConn struct {
	server *server
	conn   net.Conn
	open   openLine
}

func newWorld(rec *recorder) *world {
	return &world{rec: rec, firstRun: map[string]time.Time{}}
}

func (w *world) startServer(uid, zone string, pod int) (*server, error) {
	ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s := &server{world: w, uid: uid, zone: zone, pod: pod, ln: ln, addr: ln.Addr().String(), conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// startServers starts a number of servers in each hall.
func (w *world) startServers(perHall int) ([]*server, error) {
	var all []*server
	for pod, hall := range halls {
		for range perHall {
			s, err := w.startServer(fmt.Sprintf("s-%d", len(all)+1), hall, pod+1)
			if err != nil {
				return nil, err
			}
			all = append(all, s)
		}
	}
	return all, nil
}

func (s *server) accept() {
	for {
		s.gate.Lock()
		s.gate.Unlock()
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.gate.Lock() // a connection that is accepted while the gate is closed waits too
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.gate.Unlock()
		go s.serve(c)
	}
}

// closeGate stops the accepting of connections and fills the listening socket's queue, so that the kernel drops what arrives after it:
// a connection that is begun now comes up late. It returns the connections that fill the queue.
func (s *server) closeGate() ([]net.Conn, error) {
	s.gate.Lock()
	raw, err := s.ln.SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return nil, err
	}
	if listenErr != nil {
		return nil, listenErr
	}
	var fillers []net.Conn
	failures := 0 // in a row; after the first, the server may still take a connection out of the queue
	for range 8 {
		c, err := net.DialTimeout("tcp4", s.addr, 60*time.Millisecond)
		if err == nil {
			fillers = append(fillers, c)
			failures = 0
			continue
		}
		if failures++; failures == 2 {
			return fillers, nil
		}
	}
	return fillers, fmt.Errorf("the queue of %s does not fill", s.uid)
}

// openGate accepts connections again.
func (s *server) openGate(fillers []net.Conn) {
	for _, c := range fillers {
		_ = c.Close()
	}
	if raw, err := s.ln.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 128) })
	}
	s.gate.Unlock()
}

// arrive records a request and lets it take effect, unless the servers still remember it.
func (w *world) arrive(s *server, o openLine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	mark := o.key
	first, known := w.firstRun[mark]
	a := arrival{at: now, server: s.uid, zone: s.zone, id: o.id, key: o.key}
	if !known || w.window == 0 || now.Sub(first) > w.window {
		a.ran = true
		w.firstRun[mark] = now
	}
	w.arrivals = append(w.arrivals, a)
	if w.quiet {
		return
	}
	what := "runs it"
	if !a.ran {
		what = "drops it as a repeat"
	}
	w.rec.add("server %s (zone %s) received OPEN id %s key %s d=%s and %s", s.uid, s.zone, o.id, o.key, o.fields["d"], what)
}

// arrivalsOf returns the arrivals with a key.
func (w *world) arrivalsOf(key string) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []arrival
	for _, a := range w.arrivals {
		if a.key == key {
			all = append(all, a)
		}
	}
	return all
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 4096)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if o, ok := parseOpen(line); ok {
			if s.world.onLine != nil {
				s.world.onLine(s, line)
			}
			s.serveOpen(c, r, o)
			return
		}
		if strings.HasPrefix(line, "PING") {
			_, _ = c.Write([]byte("PONG\r\n"))
			continue
		}
		_, _ = c.Write([]byte("SYNTAX\r\n"))
		return
	}
}

// push sends a client lines of the server's own, while servers do that, until its connection has ended.
func (w *world) push(c net.Conn, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(pushEvery):
		}
		if !w.pushing.Load() {
			continue
		}
		if _, err := c.Write([]byte(pushedLine)); err != nil {
			return
		}
	}
}

func (s *server) serveOpen(c net.Conn, r *bufio.Reader, o openLine) {
	w := s.world
	w.arrive(s, o)
	act := actServe
	if w.behave != nil {
		act = w.behave(&serverConn{server: s, conn: c, open: o})
	}
	switch act {
	case actReset:
		time.Sleep(resetDelay)
		w.rec.add("server %s resets the connection of id %s", s.uid, o.id)
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	case actHang:
		w.rec.add("server %s answers nothing to id %s", s.uid, o.id)
		_, _ = r.ReadString(0) // until the peer ends the connection
		return
	}
	s.mu.Lock()
	s.number++
	receipt := fmt.Sprintf("%s.%d", s.uid, s.number)
	s.mu.Unlock()
	if !w.quiet {
		w.rec.add("server %s answers UP %s to id %s", s.uid, receipt, o.id)
	}
	if _, err := fmt.Fprintf(c, "UP %s\r\n", receipt); err != nil {
		return
	}
	ended := make(chan struct{})
	defer close(ended)
	go w.push(c, ended)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := c.Write([]byte(line)); err != nil {
			return
		}
	}
}
