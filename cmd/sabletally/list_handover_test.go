package main

import (
	"io"
	"strings"
	"syscall"
	"testing"

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
