package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"sabletally/internal/fleet"
	"sabletally/internal/lab/emulator"
)

// TestADrainingServerIsKnownAfterHotRestartsWithoutDiscovery restarts a balancer hot twice while discovery is silent, after one server of three has
// begun to drain and another is gone. It guards against a new process that starts from the older list of its configuration file and sends
// new sessions to a server of whose drain the balancer knew.
func TestADrainingServerIsKnownAfterHotRestartsWithoutDiscovery(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED"}, "s-1", "s-2", "s-3")
	s.listServer("s-1", "", emulator.Terminating)
	s.waitLog(`"state":1`)
	s.listServer("s-2", "", emulator.Terminated)
	s.waitLog(`"state":2`)
	s.agent.Misbehave(emulator.Unresponsive)
	for range 2 {
		old := s.newSuccessor()
		_ = old.Signal(syscall.SIGTERM)
		waitForExit(t, old)
		for n := range 20 {
			a := s.client(strings.Replace(openLine, "g=5c0f6e1a2b3d4c59", "g="+strings.Repeat(string(rune('a'+n%6)), 1+n%16), 1))
			e := s.session()
			if e.UID != "s-3" {
				t.Fatalf("session %d came to %s, which drains or is gone", n, e.UID)
			}
			_, _ = io.WriteString(e, "UP 1\r\n")
			a.expectLine("UP 1\r\n")
		}
	}
}

// TestTheFleetsOlderListDoesNotReplaceANewerOne starts a member of a fleet while discovery is silent, with a newer list than the fleet has stored. It
// guards against new sessions at a server that drains by the newer list and is in service by the older one.
func TestTheFleetsOlderListDoesNotReplaceANewerOne(t *testing.T) {
	a := newAgent(t)
	script := emulator.NewScript(50, 4*testTimeout)
	t.Cleanup(script.Close)
	addresses := map[string]string{}
	for _, uid := range []string{"s-1", "s-2"} {
		address, err := script.Listen(uid)
		if err != nil {
			t.Fatal(err)
		}
		addresses[uid] = address
		a.Set(newEndpoint(uid, address, emulator.InService))
	}
	m := newTestFleetWithBlocks(t, 3, false, "", a)
	m.waitFor("the list is stored in the fleet", m.all, func(r fleet.Report) bool { return repaired(r) && r.Store.Records > 0 })
	a.Misbehave(emulator.Unresponsive)
	p := m.procs[2]
	p.Kill()
	newer := fmt.Sprintf(`"known":{"rev":1000000,"all":true,"targets":[{"uid":"s-1","endpoint":%q,"state":"in_service"},{"uid":"s-2","endpoint":%q,"state":"terminating"}]}`,
		addresses["s-1"], addresses["s-2"])
	text := string(nodeConfig(p.Name, p, a, 5))
	from := strings.Index(text, `"known":`)
	to := strings.Index(text, `,"settings"`)
	if err := p.WriteConfig([]byte(text[:from] + newer + text[to:])); err != nil {
		t.Fatal(err)
	}
	if err := p.Launch(); err != nil {
		t.Fatal(err)
	}
	if err := p.WaitReady(); err != nil {
		t.Fatal(err)
	}
	m.waitForLog(p, "fleet: stored endpoint list loaded")
	for n := range 20 {
		conn, err := net.Dial("tcp", p.Addr)
		if err != nil {
			t.Fatal(err)
		}
		script.KeepOpen(conn)
		one := &testClient{conn, bufio.NewReader(conn), t}
		one.write(fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=feed,t=acme,d=1500,g=%x\r\n", 0xa1+n, n+1))
		e := <-script.Sessions
		if e.UID != "s-1" {
			t.Fatalf("session %d came to %s, which drains", n, e.UID)
		}
		_, _ = io.WriteString(e, "UP 1\r\n")
		one.expectLine("UP 1\r\n")
	}
}
