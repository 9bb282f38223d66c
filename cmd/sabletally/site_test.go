package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/history"
)

const bound = 20 * time.Second

const settings = `{"PeersTotal":1,"Zone":0,"Areas":["a","b"],"RegistryMode":"pushed","ServiceGrades":[{"Name":"feed",
 "Effect":"read_like","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":1800000,"Utility":1}],"Accounts":[{"Name":"acme"}],
 "Guarantees":{"ColdFrom":0.2,"ColdUs":20000000,"DrainGraceUs":750000,"FallMultiple":3,"FallUs":1500000},
 "Limits":{"ConnectTimeoutUs":200000,"MostSetupTries":6,"MaxRetryAfterUs":1000000,"RetryAfter":true,"Probes":false,"Peers":false},"Weights":"rough",
 "Report":{"How":"none"},"Specifics":{"MessageAimUs":[250000]}}`

// site is one balancer with its emulated discovery and servers.
type site struct {
	*emulator.Script
	t      *testing.T
	agent  *emulator.Agent
	child  *cluster.Process
	config string // the configuration's file
	mu     sync.Mutex
	addrs  map[string]string // of the servers in the list
	asked  uint64            // sessions requested
	log    strings.Builder
	logged chan struct{}
}

// testClient is a client's connection with its first line written.
type testClient struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// closedAddress returns an address that nobody listens at and nobody else is given.
func closedAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
}

// startSite starts discovery, the named servers and the program. Nobody listens for a server whose name begins with "dead".
func startSite(t *testing.T, env []string, servers ...string) *site {
	t.Parallel()
	s := &site{t: t, Script: emulator.NewScript(200, bound), addrs: map[string]string{}, logged: make(chan struct{}, 1)}
	t.Cleanup(s.Close)
	s.agent = agent(t)
	for _, uid := range servers {
		if strings.HasPrefix(uid, "dead") {
			s.listServer(uid, closedAddress(t), emulator.InService)
		} else {
			s.serve(uid)
		}
	}
	dir := t.TempDir()
	child, err := cluster.NewProcess("n0", []string{os.Args[0]}, append([]string{"SABLETALLY_CHILD=1", "EDGE_DISCOVERY=" + s.agent.Addr()}, env...), dir, s)
	if err != nil {
		t.Fatal(err)
	}
	if slices.Contains(env, "SHARED") {
		if err := child.ShareListener(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(child.UnshareListener)
	}
	s.child, s.config = child, filepath.Join(dir, "n0.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":64},"known":%s,"settings":%s}`,
		child.Addr, s.agent.Addr(), s.agent.InitialList(), settings)
	if slices.Contains(env, "PROBES=yes") { // else a probe that is late on a busy machine could steer a test
		text = strings.Replace(text, `"Probes":false`, `"Probes":true`, 1)
	}
	if slices.Contains(env, "SLOW_CONNECT=yes") { // else a connection that a busy machine delays counts as failed and its server is suspended
		text = strings.Replace(text, `"ConnectTimeoutUs":200000`, `"ConnectTimeoutUs":1000000`, 1)
	}
	if slices.Contains(env, "SLOW_MESSAGES=yes") { // else a busy machine's slow answers have the policy move sessions
		text = strings.Replace(text, `"MessageAimUs":[250000]`, `"MessageAimUs":[60000000]`, 1)
	}
	if slices.Contains(env, "LONG") { // outer limits longer than a process that leaves has
		text = strings.Replace(text, `"OuterLimitUs":1800000,"Utility":1}`, `"OuterLimitUs":60000000,"Utility":1},{"Name":"pay",
			"Effect":"non_idempotent","LatencyGoalUs":300000,"OuterLimitUs":60000000,"Utility":1},{"Name":"book","Effect":"idempotency_key",
			"Group":"cell","WindowUs":5000000,"LatencyGoalUs":300000,"OuterLimitUs":60000000,"Utility":1}`, 1)
	}
	if slices.Contains(env, "SABLETALLY_FILES=1024") {
		text = strings.Replace(text, `"sockets":64`, `"sockets":1024`, 1)
	} else if slices.Contains(env, "SHARED") && !slices.Contains(env, "SABLETALLY_FILES=64") { // two processes hold them together
		text = strings.Replace(text, `"sockets":64`, `"sockets":512`, 1)
	}
	if slices.Contains(env, "MGMT") {
		if err := child.EnableAdmin(); err != nil {
			t.Fatal(err)
		}
		text = strings.Replace(text, `"listen"`, fmt.Sprintf(`"mgmt":%q,"listen"`, child.AdminAddr), 1)
	}
	if err := child.WriteConfig([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		child.Kill()
		if t.Failed() {
			t.Log(child.LogTail())
		}
	})
	return s
}

// agent is a discovery whose lists nobody checks here.
func agent(t *testing.T) *emulator.Agent {
	a, err := emulator.NewAgent(0, &emulator.Clock{}, history.New(0), func(string) int { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// Write receives the program's log.
func (s *site) Write(text []byte) (int, error) {
	s.mu.Lock()
	s.log.Write(text)
	s.mu.Unlock()
	select {
	case s.logged <- struct{}{}:
	default:
	}
	return len(text), nil
}

// serve adds a server, which is listed.
func (s *site) serve(uid string) {
	s.t.Helper()
	addr, err := s.Listen(uid)
	if err != nil {
		s.t.Fatal(err)
	}
	s.listServer(uid, addr, emulator.InService)
}

// listServer changes one entry of the endpoint list.
func (s *site) listServer(uid, addr, state string) {
	s.mu.Lock()
	if addr == "" {
		addr = s.addrs[uid]
	}
	s.addrs[uid] = addr
	s.mu.Unlock()
	s.agent.Set(entry(uid, addr, state))
}

func entry(uid, addr, state string) emulator.Endpoint {
	return emulator.Endpoint{UID: uid, Address: addr, Zone: "a", MachineType: "m", FailureDomain: 1, State: state, Weight: 1}
}

func (s *site) session() *emulator.Session {
	select {
	case e := <-s.Sessions:
		return e
	case <-time.After(bound):
		s.t.Helper()
		s.t.Fatal("no server got a line")
		return nil
	}
}

// waitAllListed has the servers accept every session from here on.
func (s *site) waitAllListed() {
	done := make(chan struct{})
	s.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case e := <-s.Sessions:
				_, _ = io.WriteString(e, "UP 1\r\n")
			case <-done:
				return
			}
		}
	}()
}

// waitLog waits for a text in the program's log.
func (s *site) waitLog(word string) string {
	s.t.Helper()
	for end := time.After(bound); ; {
		s.mu.Lock()
		text := s.log.String()
		s.mu.Unlock()
		if at := strings.Index(text, word); at >= 0 {
			return text[at:]
		}
		select {
		case <-s.logged:
		case <-end:
			s.t.Fatalf("nothing of %q in the log", word)
		}
	}
}

func (s *site) client(line string) *testClient {
	s.t.Helper()
	c, err := net.Dial("tcp", s.child.Addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.Hold(c)
	s.mu.Lock()
	line = strings.Replace(line, "9b1f03aa5c7e2d41", fmt.Sprintf("%x", uint64(0x9b1f03aa5c7e2d41)+s.asked), 1)
	s.asked++
	s.mu.Unlock()
	a := &testClient{c, bufio.NewReader(c), s.t}
	a.write(line)
	return a
}

func (a *testClient) write(text string) {
	a.t.Helper()
	if _, err := io.WriteString(a, text); err != nil {
		a.t.Fatal(err)
	}
}

func (a *testClient) line() string {
	a.t.Helper()
	text, err := a.r.ReadString('\n')
	if err != nil {
		a.t.Fatalf("%q, %v", text, err)
	}
	return text
}

func (a *testClient) expectLine(text string) {
	a.t.Helper()
	if got := a.line(); got != text {
		a.t.Fatalf("%q in place of %q", got, text)
	}
}

// expectEnd expects the end of a connection, nothing before it, and by a reset or not.
func expectEnd(t *testing.T, r *bufio.Reader, reset bool) {
	t.Helper()
	b, err := r.ReadByte()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ECONNRESET) != reset {
		t.Fatalf("byte %q, %v", b, err)
	}
}

const open = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=1500,g=5c0f6e1a2b3d4c59,x=y\r\n"

// establish opens a session and returns both its ends.
func (s *site) establish() (*testClient, *emulator.Session) {
	s.t.Helper()
	a := s.client(open)
	e := s.session()
	_, _ = io.WriteString(e, "UP 77 receipt\r\n")
	a.expectLine("UP 77 receipt\r\n")
	return a, e
}

// counter has the program log its counters and returns one of them.
func (s *site) counter(name string) int {
	s.t.Helper()
	s.mu.Lock()
	s.log.Reset()
	s.mu.Unlock()
	_ = s.child.Signal(syscall.SIGUSR1)
	text, _, _ := strings.Cut(s.waitLog(`"why":"asked"`), "\n")
	fields := map[string]any{}
	if err := json.Unmarshal([]byte("{"+text), &fields); err != nil {
		s.t.Fatalf("%q, %v", text, err)
	}
	n, ok := fields[name].(float64)
	if !ok {
		s.t.Fatalf("no counter %s in %v", name, fields)
	}
	return int(n)
}

// hasEnded reports whether the other side of a connection has ended it by now.
func hasEnded(t *testing.T, c net.Conn) bool {
	t.Helper()
	ended, err := isEndedByPeer(c)
	if err != nil {
		t.Fatal(err)
	}
	return ended
}
