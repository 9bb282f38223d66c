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

// testTimeout is how long a test waits for something that must happen; only a failure reaches it.
const testTimeout = 20 * time.Second

// policySettings is the settings block of a configuration file: one idempotent class, one tenant, neither probes nor gossip.
const policySettings = `{"PeersTotal":1,"Zone":0,"Areas":["a","b"],"RegistryMode":"pushed","ServiceGrades":[{"Name":"feed",
 "Effect":"read_like","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":1800000,"Utility":1}],"Accounts":[{"Name":"acme"}],
 "Guarantees":{"ColdFrom":0.2,"ColdUs":20000000,"DrainGraceUs":750000,"FallMultiple":3,"FallUs":1500000},
 "Limits":{"ConnectTimeoutUs":200000,"MostSetupTries":6,"MaxRetryAfterUs":1000000,"RetryAfter":true,"Probes":false,"Peers":false},"Weights":"rough",
 "Report":{"How":"none"},"Specifics":{"MessageAimUs":[250000]}}`

// site is one balancer process with its emulated discovery and servers. It also receives the process's log.
type site struct {
	*emulator.Script
	t         *testing.T
	agent     *emulator.Agent
	child     *cluster.Process
	config    string // path of the configuration file
	mu        sync.Mutex
	addrs     map[string]string // address of each server in the endpoint list, by UID
	requested uint64            // number of clients that have connected; it makes session IDs unique
	log       strings.Builder
	logged    chan struct{} // signals that the log has grown
}

// testClient is a client's connection, with a buffered reader over it.
type testClient struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

// newListener listens on a free port of the loopback address until the test ends.
func newListener(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// closedAddress returns an address that refuses connections and that the kernel gives to no other socket during the test.
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

// startSite starts discovery, the named servers and the program. A server whose name begins with "dead" is listed with an address that refuses
// connections. env is the program's environment; some of its entries also change the configuration file, as the branches below show.
func startSite(t *testing.T, env []string, servers ...string) *site {
	t.Parallel()
	s := &site{t: t, Script: emulator.NewScript(200, testTimeout), addrs: map[string]string{}, logged: make(chan struct{}, 1)}
	t.Cleanup(s.Close)
	s.agent = newAgent(t)
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
		child.Addr, s.agent.Addr(), s.agent.InitialList(), policySettings)
	// Probes are off by default: one that a busy machine delays would change which server is selected.
	if slices.Contains(env, "PROBES=yes") {
		text = strings.Replace(text, `"Probes":false`, `"Probes":true`, 1)
	}
	// With the default of 200 ms a connection that a busy machine delays counts as failed, which suspends its server.
	if slices.Contains(env, "SLOW_CONNECT=yes") {
		text = strings.Replace(text, `"ConnectTimeoutUs":200000`, `"ConnectTimeoutUs":1000000`, 1)
	}
	// With the default of 250 ms a busy machine's slow answers make the policy migrate sessions.
	if slices.Contains(env, "SLOW_MESSAGES=yes") {
		text = strings.Replace(text, `"MessageAimUs":[250000]`, `"MessageAimUs":[60000000]`, 1)
	}
	// LONG sets outer limits longer than a process that shuts down may live, and adds classes of the other kinds of idempotency.
	if slices.Contains(env, "LONG") {
		text = strings.Replace(text, `"OuterLimitUs":1800000,"Utility":1}`, `"OuterLimitUs":60000000,"Utility":1},{"Name":"pay",
			"Effect":"non_idempotent","LatencyGoalUs":300000,"OuterLimitUs":60000000,"Utility":1},{"Name":"book","Effect":"idempotency_key",
			"Group":"cell","WindowUs":5000000,"LatencyGoalUs":300000,"OuterLimitUs":60000000,"Utility":1}`, 1)
	}
	if slices.Contains(env, "SABLETALLY_FILES=1024") {
		text = strings.Replace(text, `"sockets":64`, `"sockets":1024`, 1)
	} else if slices.Contains(env, "SHARED") && !slices.Contains(env, "SABLETALLY_FILES=64") { // enough for two processes
		text = strings.Replace(text, `"sockets":64`, `"sockets":512`, 1)
	}
	if slices.Contains(env, "MEMORY=96") {
		text = strings.Replace(text, `"memory_mb":192`, `"memory_mb":96`, 1)
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

// newAgent starts an emulated discovery. Its history is discarded: these tests don't check the lists it sent.
func newAgent(t *testing.T) *emulator.Agent {
	a, err := emulator.NewAgent(0, &emulator.Clock{}, history.New(0), func(string) int { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// Write appends to the program's log and wakes up waitLog.
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

// serve starts a server and adds it to the endpoint list, in service.
func (s *site) serve(uid string) {
	s.t.Helper()
	addr, err := s.Listen(uid)
	if err != nil {
		s.t.Fatal(err)
	}
	s.listServer(uid, addr, emulator.InService)
}

// listServer changes or adds one entry of the endpoint list. An empty address stands for the server's present one.
func (s *site) listServer(uid, addr, state string) {
	s.mu.Lock()
	if addr == "" {
		addr = s.addrs[uid]
	}
	s.addrs[uid] = addr
	s.mu.Unlock()
	s.agent.Set(newEndpoint(uid, addr, state))
}

// newEndpoint returns an entry of the endpoint list; all entries share a zone, a machine type and a failure domain.
func newEndpoint(uid, addr, state string) emulator.Endpoint {
	return emulator.Endpoint{UID: uid, Address: addr, Zone: "a", MachineType: "m", FailureDomain: 1, State: state, Weight: 1}
}

// session waits for the next first line that reaches a server.
func (s *site) session() *emulator.Session {
	select {
	case e := <-s.Sessions:
		return e
	case <-time.After(testTimeout):
		s.t.Helper()
		s.t.Fatal("no first line reached a server")
		return nil
	}
}

// acceptAllSessions has the servers accept every session from now until the test ends.
func (s *site) acceptAllSessions() {
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

// waitLog waits until the program's log contains a text, and returns the log from there on.
func (s *site) waitLog(want string) string {
	s.t.Helper()
	for end := time.After(testTimeout); ; {
		s.mu.Lock()
		text := s.log.String()
		s.mu.Unlock()
		if at := strings.Index(text, want); at >= 0 {
			return text[at:]
		}
		select {
		case <-s.logged:
		case <-end:
			s.t.Fatalf("the log does not contain %q", want)
		}
	}
}

// client connects to the balancer and writes text. The session ID of openLine is replaced by one that is unique in this site.
func (s *site) client(line string) *testClient {
	s.t.Helper()
	c, err := net.Dial("tcp", s.child.Addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.KeepOpen(c)
	s.mu.Lock()
	line = strings.Replace(line, "9b1f03aa5c7e2d41", fmt.Sprintf("%x", uint64(0x9b1f03aa5c7e2d41)+s.requested), 1)
	s.requested++
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

// line reads one line, which must arrive.
func (a *testClient) line() string {
	a.t.Helper()
	text, err := a.r.ReadString('\n')
	if err != nil {
		a.t.Fatalf("reading a line: got %q, %v", text, err)
	}
	return text
}

func (a *testClient) expectLine(text string) {
	a.t.Helper()
	if got := a.line(); got != text {
		a.t.Fatalf("client read %q, want %q", got, text)
	}
}

// expectEnd fails the test unless a connection ends before any further byte, by a reset or in order according to reset.
func expectEnd(t *testing.T, r *bufio.Reader, reset bool) {
	t.Helper()
	b, err := r.ReadByte()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ECONNRESET) != reset {
		t.Fatalf("read byte %q and error %v, want the connection to end as expected", b, err)
	}
}

// openLine is the first line of a session of class feed; client replaces its session ID.
const openLine = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=1500,g=5c0f6e1a2b3d4c59,x=y\r\n"

// establish opens a session, has its server accept it and returns both ends.
func (s *site) establish() (*testClient, *emulator.Session) {
	s.t.Helper()
	a := s.client(openLine)
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
		s.t.Fatalf("decoding the counters from the log line %q: %v", text, err)
	}
	n, ok := fields[name].(float64)
	if !ok {
		s.t.Fatalf("no counter %s in %v", name, fields)
	}
	return int(n)
}

// endedByPeer reports whether the other side has ended a connection by now.
func endedByPeer(t *testing.T, c net.Conn) bool {
	t.Helper()
	ended, err := isEndedByPeer(c)
	if err != nil {
		t.Fatal(err)
	}
	return ended
}
