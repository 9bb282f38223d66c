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

// other is a stand-in for another balancer: it hears what is told.
func other(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// load replaces the configuration and waits for a word in the log; hand does not wait.
func (s *site) load(text, word string) {
	s.t.Helper()
	s.hand(text)
	s.waitLog(word)
}

func (s *site) hand(text string) {
	s.t.Helper()
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	s.log.Reset()
	s.mu.Unlock()
	_ = s.child.Signal(syscall.SIGHUP)
}

// TestTheMoveAndTheWayBack switches to settings of another shape and back while one circuit stands and one's try is out:
// other grades, zones, no tenants, messages between balancers. Nothing is lost, nothing reaches a server twice.
func TestTheMoveAndTheWayBack(t *testing.T) {
	s := begin(t, nil, "s-1")
	before, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	peer := other(t)
	moved := strings.NewReplacer(
		`"Name":"feed"`, `"Name":"viewer","Effect":"read_like","Group":"all","LatencyGoalUs":300000,"OuterLimitUs":1200000,"Utility":1},{"Name":"feed"`,
		`"PeersTotal":1`, `"PeersTotal":2`, `"Areas":["a","b"]`, `"Areas":["b","a"]`, `"Weights":"rough"`, `"Weights":"nominal"`,
		`[{"Name":"acme"}]`, `[]`, `"Peers":false`, `"Peers":true`, `[250000]`, `[150000,60000]`,
		`"name":"n0"`, fmt.Sprintf(`"name":"n0","peers":{"listen":%q,"others":[%q]}`, s.child.Addr, peer.LocalAddr()),
	).Replace(string(before))
	back := string(before)
	for round := range 2 {
		stands, e := s.up()
		waits := s.client(strings.Replace(open, "d=1500", "d=15000", 1)) // as long as the reloads may take
		out := s.session()
		for n, bad := range []string{
			strings.Replace(moved, `"peers"`, `"pears"`, 1), strings.Replace(moved, `"PeersTotal":2`, `"PeersTotal":3`, 1),
			strings.Replace(moved, `"Utility"`, `"Use"`, 1), strings.Replace(moved, `["b","a"]`, `["b","c"]`, 1),
			strings.Replace(moved, `"nominal"`, `"heavy"`, 1), strings.Replace(moved, s.child.Addr+`","others"`, `x","others"`, 1),
		} {
			s.load(bad, []string{"peers is missing", "peers.others: 1 addresses", "settings.ServiceGrades[0].Utility is missing", `\"a\" is gone`, `Weights \"heavy\"`, "peers.listen"}[n])
		}
		s.load(moved, `"settings"`)
		_, _ = io.WriteString(out, "UP 5\r\n")
		waits.want("UP 5\r\n")
		_ = peer.SetReadDeadline(time.Now().Add(bound))
		text, held := make([]byte, loadgossip.MaxDatagramSize), 0.0
		for held == 0 { // until what stands is told of
			n, _, err := peer.ReadFromUDPAddrPort(text)
			if err != nil {
				t.Fatal(err)
			}
			told, err := loadgossip.Decode(text[:n])
			if err != nil {
				t.Fatal(err)
			}
			for _, load := range told.Loads {
				held += load
			}
		}
		for n, c := range []*ask{stands, waits} {
			end := []io.Writer{e, out}[n]
			if _, err := io.WriteString(end, "M 1\r\n"); err != nil {
				t.Fatal(err)
			}
			c.want("M 1\r\n")
		}
		viewer := s.client(strings.NewReplacer("c=feed,t=acme", "c=viewer", "d=1500", "d=15000").Replace(open))
		at := s.session()
		s.load(back, `"settings"`) // its circuit is still held
		_, _ = io.WriteString(at, "BYE\r\n")
		viewer.want("BYE\r\n")
		ended := s.client(strings.Replace(open, "c=feed", "c=desk", 1))
		ended.want("ERR SYNTAX\r\n") // a grade that nobody names
		if c, _ := s.up(); c == nil {
			t.Fatal(round)
		}
		_, _ = io.WriteString(e, "BYE\r\n")
		stands.want("BYE\r\n")
		select {
		case again := <-s.Sessions:
			t.Fatalf("%q reached a server again", again.First)
		default:
		}
	}
	if taken, served, tries := s.counted("taken"), s.counted("served"), s.counted("tries"); taken != 10 || served != 8 || tries != 8 {
		t.Fatalf("%d taken, %d served, %d tries", taken, served, tries)
	}
	if good, bad := s.counted("reloads"), s.counted("reload-errors"); good != 4 || bad != 12 {
		t.Fatalf("%d reloads, %d refused", good, bad)
	}
}
