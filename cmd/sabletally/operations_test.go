package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

// call sends a request to the admin address and returns the status and the body.
func (s *site) call(method, path string) (int, string) {
	s.t.Helper()
	code, body, err := s.child.Call(method, path)
	if err != nil {
		s.t.Fatal(err)
	}
	return code, body
}

// expectOK sends a request to the admin address, which must answer with status 200.
func (s *site) expectOK(method, path string) {
	s.t.Helper()
	if code, body := s.call(method, path); code != 200 {
		s.t.Fatalf("%s %s: %d, %q, want status 200", method, path, code, body)
	}
}

// TestEachRequestForCountersIsAnswered guards against an earlier fault: an operator asked for the counters and never got them, as their log lines
// shared the rate limit of the lines that clients cause.
func TestEachRequestForCountersIsAnswered(t *testing.T) {
	s := startSite(t, nil)
	for range 3 * maxLinesPerMessage {
		s.counter("accepted")
	}
}

// TestADrainAndBackIntoService drains a balancer twice, once to the end and once ended half way. It guards against a balancer that reports ready
// while it drains, keeps a client for 4 s (checked with 1 s of slack), or can't be put back into service.
func TestADrainAndBackIntoService(t *testing.T) {
	s := startSite(t, []string{"MGMT"}, "s-1")
	s.client("PING\r\n").expectLine("PONG\r\n")
	s.expectOK("GET", "/control/ready")
	var clients []*testClient
	for range 8 {
		a, _ := s.establish()
		clients = append(clients, a)
	}
	late := s.client(openLine) // its attempt is active when the drain starts
	e := s.session()
	began := time.Now()
	s.expectOK("PUT", "/control/out-of-service")
	s.expectOK("PUT", "/control/out-of-service")
	s.client("PING\r\n").expectLine("NO\r\n")
	_ = s.child.Signal(syscall.SIGHUP) // a reload must not end the drain
	s.waitLog(`"reloaded"`)
	s.client("PING\r\n").expectLine("NO\r\n")
	if code, body := s.call("GET", "/control/ready"); code != 503 || !strings.Contains(body, "out of service") {
		t.Fatalf("readiness during the drain: %d, %q, want 503 and \"out of service\"", code, body)
	}
	_, _ = io.WriteString(e, "UP 9\r\n")
	late.expectLine("UP 9\r\n")
	for _, a := range append(clients, late) {
		a.expectLine("MOVE\r\n")
		expectEnd(t, a.r, false)
	}
	if took := time.Since(began); took < 300*time.Millisecond || took > 5*time.Second {
		t.Fatalf("drained within %v, want 300ms to 5s", took)
	}
	if got := s.client(openLine).line(); !strings.HasPrefix(got, "BUSY ") {
		t.Fatalf("a new client during the drain got %q, want BUSY", got)
	}
	s.expectOK("PUT", "/control/in-service")
	s.client("PING\r\n").expectLine("PONG\r\n")
	s.expectOK("GET", "/control/ready")
	a, _ := s.establish()
	s.expectOK("PUT", "/control/out-of-service")
	s.expectOK("PUT", "/control/in-service") // before the first session is migrated
	s.establish()
	if n := s.counter("drains"); n != 2 {
		t.Fatal(n)
	}
	_ = s.child.Signal(syscall.SIGTERM)
	s.waitLog("shutting down")
	for call, want := range map[string]int{"GET /control/ready": 503, "PUT /control/out-of-service": 200, "PUT /control/in-service": 409} {
		var method, path string
		_, _ = fmt.Sscan(call, &method, &path)
		if code, body := s.call(method, path); code != want {
			t.Errorf("%s during the shutdown: %d, %q", call, code, body)
		}
	}
	a.expectLine("MOVE\r\n")
}

// TestAReloadDuringSessions removes a class during an established session and during active attempts, and adds it again with another idempotency
// and fewer attempts. It guards against a session that is handled by other rules than those under which it was admitted.
func TestAReloadDuringSessions(t *testing.T) {
	s := startSite(t, nil, "s-1", "s-2", "s-3", "s-4")
	text, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	classSettings := `"Name":"order","Effect":"non_idempotent","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":9000000,"Utility":1`
	first := strings.Replace(string(text), `[{"Name":"feed"`, `[{`+classSettings+`},{"Name":"feed"`, 1)
	s.reloadAndWait(first, `"reloaded"`)
	order := func() (*testClient, *emulator.Session) {
		a := s.client(strings.NewReplacer("c=feed", "c=order", "d=1500", "d=8000").Replace(openLine))
		return a, s.session()
	}
	established, at := order()
	_, _ = io.WriteString(at, "UP 1\r\n")
	established.expectLine("UP 1\r\n")
	waiting, out := order()
	retried, never := order()
	s.reloadAndWait(string(text), `"reloaded"`)
	unknown := s.client(strings.Replace(openLine, "c=feed", "c=order", 1))
	unknown.expectLine("ERR SYNTAX\r\n")
	s.reloadAndWait(strings.NewReplacer("non_idempotent", "read_like", `"MostSetupTries":6`, `"MostSetupTries":2`).Replace(first), `"reloaded"`)
	_, _ = io.WriteString(out, "ERR\r\n") // the request may have run: no further attempt
	waiting.expectLine("ERR\r\n")
	for range 2 { // the request has not run: retried as often as the settings at its admission allow
		_, _ = io.WriteString(never, "BUSY\r\n")
		never = s.session()
	}
	_, _ = io.WriteString(never, "UP 3\r\n")
	retried.expectLine("UP 3\r\n")
	// A first line that is in the socket's buffer at a reload is answered by the old rules or the new ones.
	suspend(t, s.child)
	s.reloadWith(strings.Replace(first, `"order"`, `"other"`, 1))
	buffered := s.client(strings.NewReplacer("c=feed", "c=order", "d=1500", "d=8000").Replace(openLine))
	_ = s.child.Signal(syscall.SIGCONT)
	answered := make(chan bool)
	go func() {
		for {
			select {
			case e := <-s.Sessions:
				_, _ = io.WriteString(e, "UP 4\r\n") // not ERR: one more failure, and the retry budget could reject the next sessions
			case <-answered:
				return
			}
		}
	}()
	if got := buffered.line(); got != "ERR SYNTAX\r\n" && got != "UP 4\r\n" {
		t.Fatalf("the buffered first line got %q, want ERR SYNTAX or UP 4", got)
	}
	answered <- true        // after this the goroutine takes no further session
	s.waitLog(`"reloaded"`) // otherwise the wait for the next reload could match this line
	s.reloadAndWait(strings.NewReplacer("non_idempotent", "read_like", `"MostSetupTries":6`, `"MostSetupTries":2`).Replace(first), `"reloaded"`)
	again, attempt := order() // admitted by the new rules
	_, _ = io.WriteString(attempt, "ERR\r\n")
	_, _ = io.WriteString(s.session(), "ERR\r\n")
	if got := again.line(); !strings.HasPrefix(got, "BUSY ") {
		t.Fatalf("got %q after two attempts of two, want BUSY", got)
	}
	established.write("M 1\r\n")
	if l, _ := at.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("the server read %q", l)
	}
}

// TestAFaultyFileIsNotApplied reloads files that are cut short, lack a key or have an invalid value, as a program that fails half way may leave
// them. Each also names another discovery, so that a file that is applied in part shows.
func TestAFaultyFileIsNotApplied(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SABLETALLY_LOG=debug"}, "s-1") // at other levels ten lines a second at most are logged
	text, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	other := newAgent(t)
	whole := strings.Replace(string(text), s.agent.Addr(), other.Addr(), 1)
	n := 0
	for _, x := range [][3]string{
		{"}", "", "unexpected end"}, {`"OuterLimitUs":1800000`, `"OuterLimitUs":0`, "OuterLimitUs"}, {`"OuterLimitUs":1800000`, `"OuterLimitUs":-5`, "OuterLimitUs"},
		{`"OuterLimitUs":1800000`, `"OuterLimitUs":"soon"`, "OuterLimitUs"}, {`"OuterLimitUs":1800000`, `"OuterLimitUs":null`, "OuterLimitUs"},
		{`"LatencyGoalUs":300000,`, "", "LatencyGoalUs"}, {`"MostSetupTries":6`, `"MostSetupTries":0`, "MostSetupTries"}, {`"MostSetupTries":6,`, "", "MostSetupTries"},
		{`"MostSetupTries":6`, `"MostSetupTries":null`, "MostSetupTries"}, {`"Name":"feed"`, `"Nom":"feed"`, "ServiceGrades[0].Name"},
		{`"Accounts"`, `"Conts"`, "settings.Accounts is missing"}, {`"RetryAfter":true,`, "", "settings.Limits.RetryAfter"}, {`"known"`, `"knew"`, "known"},
		{`"listen"`, `"listens"`, "listen is missing"}, {`"seed"`, `"seeds"`, "seed"}, {`"mgmt"`, `"management"`, "mgmt is missing"}, {`"settings"`, `"set"`, "settings"},
	} {
		bad := strings.Replace(whole, x[0], x[1], 1)
		if x[0] == "}" {
			bad = whole[:len(whole)-1]
		}
		s.reloadAndWait(bad, "can't reload")
		n++
		s.mu.Lock()
		said := s.log.String()
		s.mu.Unlock()
		if !strings.Contains(said, x[2]) || strings.Contains(said, "reloaded") {
			t.Errorf("reload of the file changed by %v logged %s", x, said)
		}
	}
	s.listServer("s-2", "127.0.0.1:1", emulator.InService) // the old discovery is still in use
	s.waitLog(`"server":"s-2"`)
	if good, bad := s.counter("reloads"), s.counter("reload-errors"); good != 0 || bad != n {
		t.Fatalf("%d reloads, %d failed ones", good, bad)
	}
}

// newSuccessor starts a successor of the site's process, waits until it is ready and returns the old process; startSuccessor doesn't wait.
func (s *site) newSuccessor() *cluster.Process {
	s.t.Helper()
	old := s.startSuccessor()
	if err := s.child.WaitReady(); err != nil {
		s.t.Fatal(err)
	}
	return old
}

func (s *site) startSuccessor() *cluster.Process {
	s.t.Helper()
	old := s.child
	child, err := old.Successor()
	if err != nil {
		s.t.Fatal(err)
	}
	s.child = child
	s.t.Cleanup(child.Kill)
	if err := child.Launch(); err != nil {
		s.t.Fatal(err)
	}
	return old
}

// waitForExit waits until a process exits, which it must do with success.
func waitForExit(t *testing.T, p *cluster.Process) {
	t.Helper()
	select {
	case <-p.Exited():
		if err := p.Err(); err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the old process does not exit")
	}
}

// TestHotRestartsHandOverSessions restarts a balancer hot twice in a row during established sessions with half a line under way in each direction,
// with a client that has sent half its first line, one that has sent nothing and one whose attempt is active. It guards against a line that is lost
// or delivered twice, and against a client that no process or both processes read.
func TestHotRestartsHandOverSessions(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	var clients []*testClient
	var ends []*emulator.Session
	for range 20 {
		a, e := s.establish()
		a.write("M 1 x\r\nM 2 ")
		if l, _ := e.R.ReadString('\n'); l != "M 1 x\r\n" {
			t.Fatalf("the server read %q", l)
		}
		_, _ = io.WriteString(e, "M 1 x\r\nM 0 hal") // answers the client's line; otherwise the server would count as silent
		a.expectLine("M 1 x\r\n")
		clients, ends = append(clients, a), append(ends, e)
	}
	for round := range 2 {
		half, silent := s.client("OPEN 77"), s.client("")
		out := s.client(strings.Replace(openLine, "d=1500", "d=8000", 1))
		at := s.session()
		old := s.newSuccessor()
		_ = old.Signal(syscall.SIGTERM)
		s.waitLog("shutting down")
		_, _ = io.WriteString(at, "UP 3\r\n")
		out.expectLine("UP 3\r\n")
		half.write(fmt.Sprint(round) + " 2 c=feed,d=5000\r\n")
		_, _ = io.WriteString(s.session(), "UP 4\r\n")
		half.expectLine("UP 4\r\n")
		silent.write(fmt.Sprintf("OPEN 99%d 2 c=feed,d=5000\r\n", round))
		_, _ = io.WriteString(s.session(), "UP 5\r\n")
		silent.expectLine("UP 5\r\n")
		waitForExit(t, old)
		out.write("M 9\r\n")
		if l, _ := at.R.ReadString('\n'); l != "M 9\r\n" {
			t.Fatalf("the server read %q", l)
		}
		_, _ = io.WriteString(at, "M 9\r\n")
		for n, a := range clients {
			_, _ = io.WriteString(ends[n], "f\r\n")
			a.expectLine("M 0 half\r\n")
			a.write("y\r\nM 2 ")
			if l, _ := ends[n].R.ReadString('\n'); l != "M 2 y\r\n" {
				t.Fatalf("the server read %q", l)
			}
			_, _ = io.WriteString(ends[n], "M 2 y\r\nM 0 hal")
			a.expectLine("M 2 y\r\n")
		}
		if n, m := s.counter("inherited"), s.counter("open"); n != 23+3*round || m != 23+3*round {
			t.Fatalf("%d sessions inherited, %d open", n, m)
		}
	}
	if n := s.counter("moves"); n != 0 {
		t.Fatalf("%d sessions moved, want none", n)
	}
	s.establish()
}

// TestASignalBeforeTheSuccessorIsReady sends SIGTERM to the old process before it knows that its successor is ready: the platform and the old
// process learn that in different ways. It guards against clients that are then migrated in place of being handed over.
func TestASignalBeforeTheSuccessorIsReady(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	a, e := s.establish()
	old := s.startSuccessor()
	s.waitLog("successor connected")
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	a.write("M 1\r\n")
	if l, _ := e.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("the server read %q", l)
	}
	if n := s.counter("inherited"); n != 1 {
		t.Fatal(n)
	}
}

// TestASuccessorThatHangs stops the successor before it takes any session over. Sessions that were sent to it go on once it runs again, the old
// process migrates the others. It guards against clients that are left waiting between the two.
func TestASuccessorThatHangs(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	clients, ends := map[*testClient]*emulator.Session{}, 24
	for range ends {
		a, e := s.establish()
		clients[a] = e
	}
	old := s.newSuccessor()
	s.waitLog("successor is ready to take over") // may be logged after the successor has told clients that it is ready
	suspend(t, s.child)
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	_ = s.child.Signal(syscall.SIGCONT)
	moved := 0
	for a, e := range clients {
		_, _ = io.WriteString(e, "M 1\r\n")
		switch got := a.line(); got {
		case "MOVE\r\n":
			moved++
		case "M 1\r\n":
		default:
			t.Fatalf("a client got %q, want MOVE or its server's line", got)
		}
	}
	if n := s.counter("inherited"); n+moved != ends || moved == 0 || n == 0 {
		t.Fatalf("%d of %d sessions go on, %d were migrated, want some of each", n, ends, moved)
	}
}

// TestASuccessorThatHangsAndIsKilled stops the successor before it takes any session over, and kills it once the first client is migrated. The
// sessions that it had not confirmed belong to the old process again, which must migrate them all.
func TestASuccessorThatHangsAndIsKilled(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	var clients []*testClient
	for range 24 {
		a, _ := s.establish()
		clients = append(clients, a)
	}
	old := s.newSuccessor()
	s.waitLog("successor is ready to take over") // may be logged after the successor has told clients that it is ready
	suspend(t, s.child)
	_ = old.Signal(syscall.SIGTERM)
	got := make(chan string, len(clients))
	for _, a := range clients {
		go func() {
			text, err := a.r.ReadString('\n')
			got <- fmt.Sprintf("%q, %v", text, err)
		}()
	}
	for n := range clients {
		if text := <-got; text != `"MOVE\r\n", <nil>` {
			t.Errorf("client %d of %d got %s, want MOVE", n+1, len(clients), text)
		}
		if n == 0 {
			s.child.Kill()
		}
	}
	waitForExit(t, old)
}

// TestAnOldProcessThatIsKilled kills the old process after its successor is ready. Its clients connect anew, and the next hot restart must find the
// process that is left.
func TestAnOldProcessThatIsKilled(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	a, _ := s.establish()
	old := s.newSuccessor()
	old.Kill()
	if _, err := a.r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	s.waitLog("predecessor disconnected")
	s.establish()
	old = s.newSuccessor()
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	// The successor confirms a session before it takes it over, so it may count the session after the old process has exited.
	for end := time.Now().Add(testTimeout); ; {
		n := s.counter("inherited")
		if n == 1 {
			break
		}
		if n > 1 || time.Now().After(end) {
			t.Fatalf("%d sessions inherited, want 1; the old process: %s; the new one: %s", n, old.LogTail(), s.child.LogTail())
		}
	}
}

// TestASuccessorThatFails kills two successors after they are ready. The old process must go on with its sessions and new ones, and migrate its
// clients when it shuts down.
func TestASuccessorThatFails(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	a, e := s.establish()
	first := s.child
	s.newSuccessor()
	s.child.Kill()
	s.waitLog("successor disconnected")
	s.child = first
	a.write("M 1\r\n")
	if l, _ := e.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("the server read %q", l)
	}
	s.establish() // the old process accepts clients
	old := s.newSuccessor()
	s.child.Kill()
	s.waitLog("successor disconnected")
	_ = old.Signal(syscall.SIGTERM)
	a.expectLine("MOVE\r\n")
	expectEnd(t, a.r, false)
	waitForExit(t, old)
}

// TestADrainOutlivesAHotRestart drains a balancer and restarts it hot. It guards against a successor that takes clients although the balancer is out
// of service.
func TestADrainOutlivesAHotRestart(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	s.expectOK("PUT", "/control/out-of-service")
	old := s.newSuccessor() // it reports ready for the handover while the balancer is out of service
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	s.client("PING\r\n").expectLine("NO\r\n")
	s.expectOK("PUT", "/control/in-service")
	s.client("PING\r\n").expectLine("PONG\r\n")
	s.establish()
}

// TestTheAdminAddressBesideACrowd connects more clients than there are descriptors, half of them with half a line, and more silent callers of the
// admin address than it admits. It guards against operators who get no answer, and against memory that grows with idle connections.
func TestTheAdminAddressBesideACrowd(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1") // SHARED sets the limit to 512 descriptors
	s.acceptAllSessions()
	for n := range 1500 {
		if n%10 == 0 {
			c, err := net.Dial("tcp", s.child.AdminAddr)
			if err != nil {
				t.Fatal(err)
			}
			s.KeepOpen(c)
			_, _ = io.WriteString(c, "PUT /control/out")
		}
		s.client([]string{"", "OPEN 12"}[n%2])
		if n%300 == 299 {
			began := time.Now()
			s.expectOK("GET", "/control/ready")
			if took := time.Since(began); took > time.Second {
				t.Fatalf("the admin address answered after %v, want 1s at most", took)
			}
			if got := s.client(openLine).line(); got != "UP 1\r\n" {
				t.Fatalf("a client that sends a whole line got %q, want UP", got)
			}
		}
	}
	if n := s.counter("shed"); n < 500 {
		t.Fatalf("%d idle clients evicted, want 500 or more", n)
	}
	if kb := s.child.RSS(); kb > 64<<10 {
		t.Fatalf("%d KiB of memory, want 64 MiB at most", kb)
	}
}

// TestABadAcceptDescriptorNamesTheVariable starts the program with descriptors that it can't accept from: it must exit with code 2 and name the
// variable.
func TestABadAcceptDescriptorNamesTheVariable(t *testing.T) {
	s := startSite(t, nil)
	for _, number := range []string{"x", "2", "77", "0", "4294967299"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "SABLETALLY_CHILD=1", "EDGE_CONFIG="+s.config, "EDGE_ACCEPT_FD="+number)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), "EDGE_ACCEPT_FD") {
			t.Errorf("EDGE_ACCEPT_FD=%s: the program ended with %v and printed %s, want code 2", number, err, out)
		}
	}
}
