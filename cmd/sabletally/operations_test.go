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

func (s *site) call(method, path string) (int, string) {
	s.t.Helper()
	code, says, err := s.child.Call(method, path)
	if err != nil {
		s.t.Fatal(err)
	}
	return code, says
}

func (s *site) expectYes(method, path string) {
	s.t.Helper()
	if code, says := s.call(method, path); code != 200 {
		s.t.Fatalf("%s %s: %d, %q", method, path, code, says)
	}
}

// Guards against counters that an operator asks for and never gets: their lines shared the bound on those that clients cause.
func TestEachRequestForCountersIsAnswered(t *testing.T) {
	s := startSite(t, nil)
	for range 3 * maxLinesPerMessage {
		s.counter("accepted")
	}
}

// TestADrainAndBackIntoService drains a balancer twice, once to the end and once ended half way. It must not say that it is ready while it drains,
// nor keep a client for 4 s, and there must be a way back.
func TestADrainAndBackIntoService(t *testing.T) {
	s := startSite(t, []string{"MGMT"}, "s-1")
	s.client("PING\r\n").expectLine("PONG\r\n")
	s.expectYes("GET", "/control/ready")
	var clients []*testClient
	for range 8 {
		a, _ := s.establish()
		clients = append(clients, a)
	}
	late := s.client(open) // its attempt is active at the call
	e := s.session()
	began := time.Now()
	s.expectYes("PUT", "/control/out-of-service")
	s.expectYes("PUT", "/control/out-of-service")
	s.client("PING\r\n").expectLine("NO\r\n")
	_ = s.child.Signal(syscall.SIGHUP) // which ends no drain
	s.waitLog(`"reloaded"`)
	s.client("PING\r\n").expectLine("NO\r\n")
	if code, says := s.call("GET", "/control/ready"); code != 503 || !strings.Contains(says, "out of service") {
		t.Fatalf("%d, %q", code, says)
	}
	_, _ = io.WriteString(e, "UP 9\r\n")
	late.expectLine("UP 9\r\n")
	for _, a := range append(clients, late) {
		a.expectLine("MOVE\r\n")
		expectEnd(t, a.r, false)
	}
	if took := time.Since(began); took < 300*time.Millisecond || took > 5*time.Second {
		t.Fatalf("emptied within %v", took)
	}
	if got := s.client(open).line(); !strings.HasPrefix(got, "BUSY ") {
		t.Fatalf("a newcomer got %q", got)
	}
	s.expectYes("PUT", "/control/in-service")
	s.client("PING\r\n").expectLine("PONG\r\n")
	s.expectYes("GET", "/control/ready")
	a, _ := s.establish()
	s.expectYes("PUT", "/control/out-of-service")
	s.expectYes("PUT", "/control/in-service") // before the first move
	s.establish()
	if n := s.counter("drains"); n != 2 {
		t.Fatal(n)
	}
	_ = s.child.Signal(syscall.SIGTERM)
	s.waitLog("shutting down")
	for call, want := range map[string]int{"GET /control/ready": 503, "PUT /control/out-of-service": 200, "PUT /control/in-service": 409} {
		var method, path string
		_, _ = fmt.Sscan(call, &method, &path)
		if code, says := s.call(method, path); code != want {
			t.Errorf("%s while it leaves: %d, %q", call, code, says)
		}
	}
	a.expectLine("MOVE\r\n")
}

// TestAReloadDuringSessions drops a class during an established session and one whose attempt is active, and brings it back with another
// idempotency and fewer attempts. A session must be judged by the rules that it was admitted under.
func TestAReloadDuringSessions(t *testing.T) {
	s := startSite(t, nil, "s-1", "s-2", "s-3", "s-4")
	text, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	grade := `"Name":"order","Effect":"non_idempotent","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":9000000,"Utility":1`
	first := strings.Replace(string(text), `[{"Name":"feed"`, `[{`+grade+`},{"Name":"feed"`, 1)
	s.reloadAndWait(first, `"reloaded"`)
	order := func() (*testClient, *emulator.Session) {
		a := s.client(strings.NewReplacer("c=feed", "c=order", "d=1500", "d=8000").Replace(open))
		return a, s.session()
	}
	stands, at := order()
	_, _ = io.WriteString(at, "UP 1\r\n")
	stands.expectLine("UP 1\r\n")
	waits, out := order()
	late, never := order()
	s.reloadAndWait(string(text), `"reloaded"`)
	unknown := s.client(strings.Replace(open, "c=feed", "c=order", 1))
	unknown.expectLine("ERR SYNTAX\r\n")
	s.reloadAndWait(strings.NewReplacer("non_idempotent", "read_like", `"MostSetupTries":6`, `"MostSetupTries":2`).Replace(first), `"reloaded"`)
	_, _ = io.WriteString(out, "ERR\r\n") // it may have run: never again
	waits.expectLine("ERR\r\n")
	for range 2 { // never ran: it goes on, as often as it was promised
		_, _ = io.WriteString(never, "BUSY\r\n")
		never = s.session()
	}
	_, _ = io.WriteString(never, "UP 3\r\n")
	late.expectLine("UP 3\r\n")
	// A first line that waits in the socket's buffer at a switch is answered by the old rules or the new ones.
	suspend(t, s.child)
	s.reloadWith(strings.Replace(first, `"order"`, `"other"`, 1))
	buffered := s.client(strings.NewReplacer("c=feed", "c=order", "d=1500", "d=8000").Replace(open))
	_ = s.child.Signal(syscall.SIGCONT)
	answered := make(chan bool)
	go func() {
		for {
			select {
			case e := <-s.Sessions:
				_, _ = io.WriteString(e, "UP 4\r\n") // one more failure, and the retry budget could reject what follows
			case <-answered:
				return
			}
		}
	}()
	if got := buffered.line(); got != "ERR SYNTAX\r\n" && got != "UP 4\r\n" {
		t.Fatalf("%q", got)
	}
	answered <- true        // once it is taken no session goes there any more
	s.waitLog(`"reloaded"`) // otherwise the next reload could take this line for its own
	s.reloadAndWait(strings.NewReplacer("non_idempotent", "read_like", `"MostSetupTries":6`, `"MostSetupTries":2`).Replace(first), `"reloaded"`)
	again, try := order() // by the new rules
	_, _ = io.WriteString(try, "ERR\r\n")
	_, _ = io.WriteString(s.session(), "ERR\r\n")
	if got := again.line(); !strings.HasPrefix(got, "BUSY ") {
		t.Fatalf("%q after two attempts of two", got)
	}
	stands.write("M 1\r\n")
	if l, _ := at.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("%q", l)
	}
}

// TestAFaultyFileIsNotApplied has files as a program that fails half way may leave them. Each names other servers too.
func TestAFaultyFileIsNotApplied(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SABLETALLY_LOG=debug"}, "s-1") // else ten lines a second are logged
	text, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	other := agent(t)
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
			t.Errorf("%v: %s", x, said)
		}
	}
	s.listServer("s-2", "127.0.0.1:1", emulator.InService) // still from the old discovery
	s.waitLog(`"server":"s-2"`)
	if good, bad := s.counter("reloads"), s.counter("reload-errors"); good != 0 || bad != n {
		t.Fatalf("%d reloads, %d refused", good, bad)
	}
}

// newSuccessor starts another process beside the site's and waits until it is ready; startSuccessor does not wait.
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

func waitForExit(t *testing.T, p *cluster.Process) {
	t.Helper()
	select {
	case <-p.Exited():
		if err := p.Err(); err != nil {
			t.Fatal(err)
		}
	case <-time.After(bound):
		t.Fatal("the old process does not end")
	}
}

// TestHotRestartsHandOverSessions restarts twice in a row during established sessions, with half a line on its way on either side, a client
// that has sent half its first line, one that has sent nothing and one whose attempt is active. No line may be lost or doubled, and every
// client must be read by one process.
func TestHotRestartsHandOverSessions(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	var clients []*testClient
	var ends []*emulator.Session
	for range 20 {
		a, e := s.establish()
		a.write("M 1 x\r\nM 2 ")
		if l, _ := e.R.ReadString('\n'); l != "M 1 x\r\n" {
			t.Fatalf("%q", l)
		}
		_, _ = io.WriteString(e, "M 1 x\r\nM 0 hal") // answered, or it would count as a server that says nothing
		a.expectLine("M 1 x\r\n")
		clients, ends = append(clients, a), append(ends, e)
	}
	for round := range 2 {
		half, silent := s.client("OPEN 77"), s.client("")
		out := s.client(strings.Replace(open, "d=1500", "d=8000", 1))
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
			t.Fatalf("%q", l)
		}
		_, _ = io.WriteString(at, "M 9\r\n")
		for n, a := range clients {
			_, _ = io.WriteString(ends[n], "f\r\n")
			a.expectLine("M 0 half\r\n")
			a.write("y\r\nM 2 ")
			if l, _ := ends[n].R.ReadString('\n'); l != "M 2 y\r\n" {
				t.Fatalf("%q", l)
			}
			_, _ = io.WriteString(ends[n], "M 2 y\r\nM 0 hal")
			a.expectLine("M 2 y\r\n")
		}
		if n, m := s.counter("inherited"), s.counter("open"); n != 23+3*round || m != 23+3*round {
			t.Fatalf("%d inherited, %d open", n, m)
		}
	}
	if n := s.counter("moves"); n != 0 {
		t.Fatalf("%d moves", n)
	}
	s.establish()
}

// TestASignalBeforeTheSuccessorIsReady ends the old process before it knows that the new one is ready, which the platform and the old process
// learn in different ways. Its clients must be handed over all the same.
func TestASignalBeforeTheSuccessorIsReady(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	a, e := s.establish()
	old := s.startSuccessor()
	s.waitLog("successor connected")
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	a.write("M 1\r\n")
	if l, _ := e.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("%q", l)
	}
	if n := s.counter("inherited"); n != 1 {
		t.Fatal(n)
	}
}

// TestASuccessorThatHangs stops the new process before it takes anything over. What it was sent goes on once it runs again, the others are
// migrated by the old one, and no client is left waiting.
func TestASuccessorThatHangs(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	clients, ends := map[*testClient]*emulator.Session{}, 24
	for range ends {
		a, e := s.establish()
		clients[a] = e
	}
	old := s.newSuccessor()
	s.waitLog("successor is ready to take over") // which may come after the new one has told clients that it is ready
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
			t.Fatalf("%q", got)
		}
	}
	if n := s.counter("inherited"); n+moved != ends || moved == 0 || n == 0 {
		t.Fatalf("%d of %d go on, %d were moved", n, ends, moved)
	}
}

// TestASuccessorThatHangsAndIsKilled stops the new process before it takes anything over, and kills it once what it was not sent is migrated.
// What it had not confirmed belongs to the old one again, which migrates all.
func TestASuccessorThatHangsAndIsKilled(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	var clients []*testClient
	for range 24 {
		a, _ := s.establish()
		clients = append(clients, a)
	}
	old := s.newSuccessor()
	s.waitLog("successor is ready to take over") // which may come after the new one has told clients that it is ready
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
			t.Errorf("client %d of %d: %s", n+1, len(clients), text)
		}
		if n == 0 {
			s.child.Kill()
		}
	}
	waitForExit(t, old)
}

// TestAnOldProcessThatIsKilled kills the old process: its clients connect anew, and the next hot restart finds the new process.
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
	// The new process confirms before it takes, so the end of the old one does not tell that it has counted yet.
	for end := time.Now().Add(bound); ; {
		n := s.counter("inherited")
		if n == 1 {
			break
		}
		if n > 1 || time.Now().After(end) {
			t.Fatalf("%d inherited; the old process: %s; the new one: %s", n, old.LogTail(), s.child.LogTail())
		}
	}
}

// TestASuccessorThatFails has a new process that dies early, and one whose directory is not the old one's: the old process goes on, and then
// migrates its clients.
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
		t.Fatalf("%q", l)
	}
	s.establish() // the old one accepts
	old := s.newSuccessor()
	s.child.Kill()
	s.waitLog("successor disconnected")
	_ = old.Signal(syscall.SIGTERM)
	a.expectLine("MOVE\r\n")
	expectEnd(t, a.r, false)
	waitForExit(t, old)
}

// TestADrainOutlivesAHotRestart drains a balancer and restarts it hot: the new process must not take clients.
func TestADrainOutlivesAHotRestart(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1")
	s.expectYes("PUT", "/control/out-of-service")
	old := s.newSuccessor() // it says yes: it may take over
	_ = old.Signal(syscall.SIGTERM)
	waitForExit(t, old)
	s.client("PING\r\n").expectLine("NO\r\n")
	s.expectYes("PUT", "/control/in-service")
	s.client("PING\r\n").expectLine("PONG\r\n")
	s.establish()
}

// TestTheAdminAddressBesideACrowd has more clients connect than there are descriptors, half of them with half a line, and more silent callers of
// the operators' address than it admits. Operators must be answered.
func TestTheAdminAddressBesideACrowd(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1") // 512 descriptors
	s.waitAllListed()
	for n := range 1500 {
		if n%10 == 0 {
			c, err := net.Dial("tcp", s.child.AdminAddr)
			if err != nil {
				t.Fatal(err)
			}
			s.Hold(c)
			_, _ = io.WriteString(c, "PUT /control/out")
		}
		s.client([]string{"", "OPEN 12"}[n%2])
		if n%300 == 299 {
			began := time.Now()
			s.expectYes("GET", "/control/ready")
			if took := time.Since(began); took > time.Second {
				t.Fatalf("answered after %v", took)
			}
			if got := s.client(open).line(); got != "UP 1\r\n" {
				t.Fatalf("%q for a true client", got)
			}
		}
	}
	if n := s.counter("shed"); n < 500 {
		t.Fatalf("%d shed", n)
	}
	if kb := s.child.RSS(); kb > 64<<10 {
		t.Fatalf("%d KiB", kb)
	}
}

// TestABadAcceptDescriptorNamesTheVariable checks that a new process does not start with a descriptor that it can't accept from.
func TestABadAcceptDescriptorNamesTheVariable(t *testing.T) {
	s := startSite(t, nil)
	for _, number := range []string{"x", "2", "77", "0", "4294967299"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "SABLETALLY_CHILD=1", "EDGE_CONFIG="+s.config, "EDGE_ACCEPT_FD="+number)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), "EDGE_ACCEPT_FD") {
			t.Errorf("%s: %v, %s", number, err, out)
		}
	}
}
