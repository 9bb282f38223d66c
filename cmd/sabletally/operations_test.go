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

func (s *site) yes(method, path string) {
	s.t.Helper()
	if code, says := s.call(method, path); code != 200 {
		s.t.Fatalf("%s %s: %d, %q", method, path, code, says)
	}
}

// TestADrainAndItsWayBack empties a balancer twice, once to the end and once given up half way. Guards against a balancer
// that says yes while it is emptied, that holds a client at 4 s, or that has no way back.
func TestADrainAndItsWayBack(t *testing.T) {
	s := begin(t, []string{"MGMT"}, "s-1")
	s.client("PING\r\n").want("PONG\r\n")
	s.yes("GET", "/control/ready")
	var clients []*ask
	for range 8 {
		a, _ := s.up()
		clients = append(clients, a)
	}
	late := s.client(open) // its setup try is out at the call
	e := s.session()
	began := time.Now()
	s.yes("PUT", "/control/out-of-service")
	s.yes("PUT", "/control/out-of-service")
	s.client("PING\r\n").want("NO\r\n")
	_ = s.child.Signal(syscall.SIGHUP) // which ends no drain
	s.waitLog(`"reloaded"`)
	s.client("PING\r\n").want("NO\r\n")
	if code, says := s.call("GET", "/control/ready"); code != 503 || !strings.Contains(says, "out of service") {
		t.Fatalf("%d, %q", code, says)
	}
	_, _ = io.WriteString(e, "UP 9\r\n")
	late.want("UP 9\r\n")
	for _, a := range append(clients, late) {
		a.want("MOVE\r\n")
		ends(t, a.r, false)
	}
	if took := time.Since(began); took < 300*time.Millisecond || took > 5*time.Second {
		t.Fatalf("emptied within %v", took)
	}
	if got := s.client(open).line(); !strings.HasPrefix(got, "BUSY ") {
		t.Fatalf("a newcomer got %q", got)
	}
	s.yes("PUT", "/control/in-service")
	s.client("PING\r\n").want("PONG\r\n")
	s.yes("GET", "/control/ready")
	a, _ := s.up()
	s.yes("PUT", "/control/out-of-service")
	s.yes("PUT", "/control/in-service") // before the first move
	s.up()
	if n := s.counted("drains"); n != 2 {
		t.Fatal(n)
	}
	_ = s.child.Signal(syscall.SIGTERM)
	s.waitLog("leaving")
	for call, want := range map[string]int{"GET /control/ready": 503, "PUT /control/out-of-service": 200, "PUT /control/in-service": 409} {
		var method, path string
		_, _ = fmt.Sscan(call, &method, &path)
		if code, says := s.call(method, path); code != want {
			t.Errorf("%s while it leaves: %d, %q", call, code, says)
		}
	}
	a.want("MOVE\r\n")
}

// TestARetuneUnderCircuits drops a grade under a circuit that stands and one whose try is out, and brings it back with
// another effect and fewer tries. Guards against a circuit that is judged by rules that it was not taken under: an
// unrepeatable one that runs twice, one that may no longer be tried.
func TestARetuneUnderCircuits(t *testing.T) {
	s := begin(t, nil, "s-1", "s-2", "s-3", "s-4")
	text, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	grade := `"Name":"order","Effect":"non_idempotent","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":9000000,"Utility":1`
	first := strings.Replace(string(text), `[{"Name":"feed"`, `[{`+grade+`},{"Name":"feed"`, 1)
	s.load(first, `"reloaded"`)
	order := func() (*ask, *emulator.Session) {
		a := s.client(strings.NewReplacer("c=feed", "c=order", "d=1500", "d=8000").Replace(open))
		return a, s.session()
	}
	stands, at := order()
	_, _ = io.WriteString(at, "UP 1\r\n")
	stands.want("UP 1\r\n")
	waits, out := order()
	late, never := order()
	s.load(string(text), `"reloaded"`)
	unknown := s.client(strings.Replace(open, "c=feed", "c=order", 1))
	unknown.want("ERR SYNTAX\r\n")
	s.load(strings.NewReplacer("non_idempotent", "read_like", `"MostSetupTries":6`, `"MostSetupTries":2`).Replace(first), `"reloaded"`)
	_, _ = io.WriteString(out, "ERR\r\n") // it may have run: never again
	waits.want("ERR\r\n")
	for range 2 { // never ran: it goes on, as often as it was promised
		_, _ = io.WriteString(never, "BUSY\r\n")
		never = s.session()
	}
	_, _ = io.WriteString(never, "UP 3\r\n")
	late.want("UP 3\r\n")
	// A first line that waits in the socket's buffer at a switch is answered by the old rules or the new ones.
	suspend(t, s.child)
	s.hand(strings.Replace(first, `"order"`, `"other"`, 1))
	buffered := s.client(strings.NewReplacer("c=feed", "c=order", "d=1500", "d=8000").Replace(open))
	_ = s.child.Signal(syscall.SIGCONT)
	answered := make(chan bool)
	go func() {
		for {
			select {
			case e := <-s.Sessions:
				_, _ = io.WriteString(e, "UP 4\r\n") // a failure more, and the brake could nack what comes below
			case <-answered:
				return
			}
		}
	}()
	if got := buffered.line(); got != "ERR SYNTAX\r\n" && got != "UP 4\r\n" {
		t.Fatalf("%q", got)
	}
	answered <- true        // once it is taken no session goes there any more
	s.waitLog(`"reloaded"`) // else the next load could take this one's word for its own
	s.load(strings.NewReplacer("non_idempotent", "read_like", `"MostSetupTries":6`, `"MostSetupTries":2`).Replace(first), `"reloaded"`)
	again, try := order() // by the new rules
	_, _ = io.WriteString(try, "ERR\r\n")
	_, _ = io.WriteString(s.session(), "ERR\r\n")
	if got := again.line(); !strings.HasPrefix(got, "BUSY ") {
		t.Fatalf("%q after two tries of two", got)
	}
	stands.write("M 1\r\n")
	if l, _ := at.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("%q", l)
	}
}

// TestABrokenFileIsTakenNothingOf has files that a program that fails half way may leave. Each names other servers too.
func TestABrokenFileIsTakenNothingOf(t *testing.T) {
	s := begin(t, []string{"MGMT", "SABLETALLY_LOG=debug"}, "s-1") // else ten lines a second are logged
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
		s.load(bad, "can't reload")
		n++
		s.mu.Lock()
		said := s.log.String()
		s.mu.Unlock()
		if !strings.Contains(said, x[2]) || strings.Contains(said, "reloaded") {
			t.Errorf("%v: %s", x, said)
		}
	}
	s.list("s-2", "127.0.0.1:1", emulator.InService) // still the old discovery's word
	s.waitLog(`"server":"s-2"`)
	if good, bad := s.counted("reloads"), s.counted("reload-errors"); good != 0 || bad != n {
		t.Fatalf("%d reloads, %d refused", good, bad)
	}
}

// next starts another process beside the site's and waits for its yes; beside does not wait.
func (s *site) next() *cluster.Process {
	s.t.Helper()
	old := s.beside()
	if err := s.child.WaitReady(); err != nil {
		s.t.Fatal(err)
	}
	return old
}

func (s *site) beside() *cluster.Process {
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

func gone(t *testing.T, p *cluster.Process) {
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

// TestUpgradesPassOnWhatIsHeld runs two upgrades in a row under circuits that stand, with half a line on its way either
// side, a client that has sent half its first line, one that has sent nothing and one whose try is out. Guards against
// lines that are lost or doubled at the passing, and against clients that nobody reads.
func TestUpgradesPassOnWhatIsHeld(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1")
	var clients []*ask
	var ends []*emulator.Session
	for range 20 {
		a, e := s.up()
		a.write("M 1 x\r\nM 2 ")
		if l, _ := e.R.ReadString('\n'); l != "M 1 x\r\n" {
			t.Fatalf("%q", l)
		}
		_, _ = io.WriteString(e, "M 1 x\r\nM 0 hal") // answered, or it would count as a server that says nothing
		a.want("M 1 x\r\n")
		clients, ends = append(clients, a), append(ends, e)
	}
	for round := range 2 {
		half, silent := s.client("OPEN 77"), s.client("")
		out := s.client(strings.Replace(open, "d=1500", "d=8000", 1))
		at := s.session()
		old := s.next()
		_ = old.Signal(syscall.SIGTERM)
		s.waitLog("leaving")
		_, _ = io.WriteString(at, "UP 3\r\n")
		out.want("UP 3\r\n")
		half.write(fmt.Sprint(round) + " 2 c=feed,d=5000\r\n")
		_, _ = io.WriteString(s.session(), "UP 4\r\n")
		half.want("UP 4\r\n")
		silent.write(fmt.Sprintf("OPEN 99%d 2 c=feed,d=5000\r\n", round))
		_, _ = io.WriteString(s.session(), "UP 5\r\n")
		silent.want("UP 5\r\n")
		gone(t, old)
		out.write("M 9\r\n")
		if l, _ := at.R.ReadString('\n'); l != "M 9\r\n" {
			t.Fatalf("%q", l)
		}
		_, _ = io.WriteString(at, "M 9\r\n")
		for n, a := range clients {
			_, _ = io.WriteString(ends[n], "f\r\n")
			a.want("M 0 half\r\n")
			a.write("y\r\nM 2 ")
			if l, _ := ends[n].R.ReadString('\n'); l != "M 2 y\r\n" {
				t.Fatalf("%q", l)
			}
			_, _ = io.WriteString(ends[n], "M 2 y\r\nM 0 hal")
			a.want("M 2 y\r\n")
		}
		if n, m := s.counted("inherited"), s.counted("open"); n != 23+3*round || m != 23+3*round {
			t.Fatalf("%d inherited, %d open", n, m)
		}
	}
	if n := s.counted("moves"); n != 0 {
		t.Fatalf("%d moves", n)
	}
	s.up()
}

// TestASignalThatOvertakesTheYes ends the old process while the new one is not ready. Guards against clients that are moved
// though the new process takes them a moment later: seen once in a world under load, as the yes and the old process's word
// of it go different ways.
func TestASignalThatOvertakesTheYes(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1")
	a, e := s.up()
	old := s.beside()
	s.waitLog("a new process is beside this one")
	_ = old.Signal(syscall.SIGTERM)
	gone(t, old)
	a.write("M 1\r\n")
	if l, _ := e.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("%q", l)
	}
	if n := s.counted("inherited"); n != 1 {
		t.Fatal(n)
	}
}

// TestAnUpgradeThatHangs stops the new process before it takes anything. What it was sent goes on once it runs again, the
// others are moved by the old one, and nobody is left waiting.
func TestAnUpgradeThatHangs(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1")
	clients, ends := map[*ask]*emulator.Session{}, 24
	for range ends {
		a, e := s.up()
		clients[a] = e
	}
	old := s.next()
	s.waitLog("the new process is ready to take over") // which may come after the new one has told clients that it is ready
	suspend(t, s.child)
	_ = old.Signal(syscall.SIGTERM)
	gone(t, old)
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
	if n := s.counted("inherited"); n+moved != ends || moved == 0 || n == 0 {
		t.Fatalf("%d of %d go on, %d were moved", n, ends, moved)
	}
}

// TestAnUpgradeThatHangsAndIsKilled stops the new process before it takes anything and kills it once what it was not sent is moved.
// Guards against clients that end without a word: what it had not confirmed is the old one's again, which moves all.
func TestAnUpgradeThatHangsAndIsKilled(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1")
	var clients []*ask
	for range 24 {
		a, _ := s.up()
		clients = append(clients, a)
	}
	old := s.next()
	s.waitLog("the new process is ready to take over") // which may come after the new one has told clients that it is ready
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
	gone(t, old)
}

// TestAnOldProcessThatIsKilled is taken over from by what there is: its clients come anew, and the next upgrade finds the new one.
func TestAnOldProcessThatIsKilled(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1")
	a, _ := s.up()
	old := s.next()
	old.Kill()
	if _, err := a.r.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	s.waitLog("the old process has ended")
	s.up()
	old = s.next()
	_ = old.Signal(syscall.SIGTERM)
	gone(t, old)
	// The new process confirms before it takes, so the end of the old one does not tell that it has counted yet.
	for end := time.Now().Add(bound); ; {
		n := s.counted("inherited")
		if n == 1 {
			break
		}
		if n > 1 || time.Now().After(end) {
			t.Fatalf("%d inherited; the old process: %s; the new one: %s", n, old.LogTail(), s.child.LogTail())
		}
	}
}

// TestAnUpgradeThatFails has a new process that dies before its time is up, and one whose directory is not the old one's: the
// old process goes on, and then moves its clients.
func TestAnUpgradeThatFails(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1")
	a, e := s.up()
	first := s.child
	s.next()
	s.child.Kill()
	s.waitLog("the new process has gone")
	s.child = first
	a.write("M 1\r\n")
	if l, _ := e.R.ReadString('\n'); l != "M 1\r\n" {
		t.Fatalf("%q", l)
	}
	s.up() // the old one accepts
	old := s.next()
	s.child.Kill()
	s.waitLog("the new process has gone")
	_ = old.Signal(syscall.SIGTERM)
	a.want("MOVE\r\n")
	ends(t, a.r, false)
	gone(t, old)
}

// TestADrainOutlivesAnUpgrade guards against a balancer that an operator has emptied and that an upgrade fills again.
func TestADrainOutlivesAnUpgrade(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1")
	s.yes("PUT", "/control/out-of-service")
	old := s.next() // it says yes: it may take over
	_ = old.Signal(syscall.SIGTERM)
	gone(t, old)
	s.client("PING\r\n").want("NO\r\n")
	s.yes("PUT", "/control/in-service")
	s.client("PING\r\n").want("PONG\r\n")
	s.up()
}

// TestTheOperatorsAddressBesideACrowd has more clients at the door than there are descriptors, half with half a line, and silent
// callers past the address's bound. Guards against operators who are not answered when they most need to be.
func TestTheOperatorsAddressBesideACrowd(t *testing.T) {
	s := begin(t, []string{"MGMT", "SHARED"}, "s-1") // 512 descriptors
	s.allUp()
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
			s.yes("GET", "/control/ready")
			if took := time.Since(began); took > time.Second {
				t.Fatalf("answered after %v", took)
			}
			if got := s.client(open).line(); got != "UP 1\r\n" {
				t.Fatalf("%q for a true client", got)
			}
		}
	}
	if n := s.counted("shed"); n < 500 {
		t.Fatalf("%d shed", n)
	}
	if kb := s.child.RSS(); kb > 64<<10 {
		t.Fatalf("%d KiB", kb)
	}
}

// TestABadAcceptDescriptorNamesTheVariable guards against a new process that starts beside the old one and accepts nothing.
func TestABadAcceptDescriptorNamesTheVariable(t *testing.T) {
	s := begin(t, nil)
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
