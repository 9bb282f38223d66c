package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/loadgossip"
)

// newPeer stands in for another balancer: it returns a socket that receives gossip.
func newPeer(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// reloadAndWait replaces the configuration file, sends SIGHUP and waits for a text in the log; reloadWith doesn't wait.
func (s *site) reloadAndWait(text, want string) {
	s.t.Helper()
	s.reloadWith(text)
	s.waitLog(want)
}

func (s *site) reloadWith(text string) {
	s.t.Helper()
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	s.log.Reset()
	s.mu.Unlock()
	_ = s.child.Signal(syscall.SIGHUP)
}

// TestMovingToOtherSettingsAndBack reloads settings with other classes and zones, no tenants, and gossip, and then the earlier ones, during an
// established session and an active attempt. It guards against a session that a reload loses, a request that reaches a server twice, and an
// invalid file that is applied.
func TestMovingToOtherSettingsAndBack(t *testing.T) {
	s := startSite(t, nil, "s-1")
	before, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	peer := newPeer(t)
	moved := strings.NewReplacer(
		`"Name":"feed"`, `"Name":"viewer","Effect":"read_like","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":1200000,"Utility":1},{"Name":"feed"`,
		`"PeersTotal":1`, `"PeersTotal":2`, `"Areas":["a","b"]`, `"Areas":["b","a"]`, `"Weights":"rough"`, `"Weights":"nominal"`,
		`[{"Name":"acme"}]`, `[]`, `"Peers":false`, `"Peers":true`, `[250000]`, `[150000,60000]`,
		`"name":"n0"`, fmt.Sprintf(`"name":"n0","peers":{"listen":%q,"others":[%q]}`, s.child.Addr, peer.LocalAddr()),
	).Replace(string(before))
	back := string(before)
	for round := range 2 {
		established, e := s.establish()
		waiting := s.client(strings.Replace(openLine, "d=1500", "d=15000", 1)) // 15 s, as the session waits during all reloads
		out := s.session()
		for n, bad := range []string{
			strings.Replace(moved, `"peers"`, `"pears"`, 1), strings.Replace(moved, `"PeersTotal":2`, `"PeersTotal":3`, 1),
			strings.Replace(moved, `"Utility"`, `"Use"`, 1), strings.Replace(moved, `["b","a"]`, `["b","c"]`, 1),
			strings.Replace(moved, `"nominal"`, `"heavy"`, 1), strings.Replace(moved, s.child.Addr+`","others"`, `x","others"`, 1),
		} {
			s.reloadAndWait(bad, []string{"peers is missing", "peers.others: 1 addresses", "settings.ServiceGrades[0].Utility is missing", `\"a\" is removed`, `Weights \"heavy\"`, "peers.listen"}[n])
		}
		s.reloadAndWait(moved, `"settings applied"`)
		_, _ = io.WriteString(out, "UP 5\r\n")
		waiting.expectLine("UP 5\r\n")
		_ = peer.SetReadDeadline(time.Now().Add(testTimeout))
		text, totalLoad := make([]byte, loadgossip.MaxDatagramSize), 0.0
		for totalLoad == 0 { // until a datagram reports the established session's load
			n, _, err := peer.ReadFromUDPAddrPort(text)
			if err != nil {
				t.Fatal(err)
			}
			message, err := loadgossip.Decode(text[:n])
			if err != nil {
				t.Fatal(err)
			}
			for _, load := range message.Loads {
				totalLoad += load
			}
		}
		for n, c := range []*testClient{established, waiting} {
			end := []io.Writer{e, out}[n]
			if _, err := io.WriteString(end, "M 1\r\n"); err != nil {
				t.Fatal(err)
			}
			c.expectLine("M 1\r\n")
		}
		viewer := s.client(strings.NewReplacer("c=feed,t=acme", "c=viewer", "d=1500", "d=15000").Replace(openLine))
		at := s.session()
		s.reloadAndWait(back, `"settings applied"`) // the class is removed while its session is still open
		_, _ = io.WriteString(at, "BYE\r\n")
		viewer.expectLine("BYE\r\n")
		ended := s.client(strings.Replace(openLine, "c=feed", "c=desk", 1))
		ended.expectLine("ERR SYNTAX\r\n") // a class of neither settings
		if c, _ := s.establish(); c == nil {
			t.Fatal(round)
		}
		_, _ = io.WriteString(e, "BYE\r\n")
		established.expectLine("BYE\r\n")
		select {
		case again := <-s.Sessions:
			t.Fatalf("the request %q reached a server again", again.First)
		default:
		}
	}
	if taken, served, tries := s.counter("taken"), s.counter("served"), s.counter("tries"); taken != 10 || served != 8 || tries != 8 {
		t.Fatalf("%d admitted, %d served, %d attempts, want 10, 8 and 8", taken, served, tries)
	}
	if good, bad := s.counter("reloads"), s.counter("reload-errors"); good != 4 || bad != 12 {
		t.Fatalf("%d reloads, %d failed ones, want 4 and 12", good, bad)
	}
}
