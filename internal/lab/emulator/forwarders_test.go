package emulator

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// startEchoMember starts a member that echoes what its connections receive.
func startEchoMember(t *testing.T) (*socketPair, netip.AddrPort) {
	t.Helper()
	s, err := listenTCPAndUDP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	go func() {
		for {
			c, err := s.tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return s, s.addr
}

// dialFrom opens a connection from a member's address, or from an address outside the fleet if from is invalid.
func dialFrom(t *testing.T, from netip.Addr, to netip.AddrPort) net.Conn {
	t.Helper()
	d := net.Dialer{Timeout: 5 * time.Second}
	if from.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: from.AsSlice()}
	}
	c, err := d.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readLine reads a line within a time.
func readLine(c net.Conn, within time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	return bufio.NewReader(c).ReadString('\n')
}

// TestFrontsCutGroupsFromEachOther cuts members 0 and 1 off from member 2. The forwarders have to hold back connections and drop
// datagrams between the groups, but not those within a group or from outside the fleet, and restore the links without loss of stream data.
func TestFrontsCutGroupsFromEachOther(t *testing.T) {
	var members []netip.AddrPort
	var sockets []*socketPair
	for range 3 {
		s, addr := startEchoMember(t)
		sockets, members = append(sockets, s), append(members, addr)
	}
	f, err := NewForwarders(members, []int{0, 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	external := dialFrom(t, netip.Addr{}, f.Advertised(0))
	sameGroup := dialFrom(t, members[1].Addr(), f.Advertised(0))
	otherGroup := dialFrom(t, members[2].Addr(), f.Advertised(0))
	for name, c := range map[string]net.Conn{"external": external, "same group": sameGroup, "other group": otherGroup} {
		_, _ = io.WriteString(c, "one\n")
		if text, err := readLine(c, 5*time.Second); err != nil || text != "one\n" {
			t.Fatalf("%s before the cut: read %q, error %v, want the echo", name, text, err)
		}
	}
	f.CutLinks([]int{2})
	for name, c := range map[string]net.Conn{"external": external, "same group": sameGroup, "other group": otherGroup} {
		_, _ = io.WriteString(c, "two\n")
		within := 5 * time.Second
		if name == "other group" {
			within = 200 * time.Millisecond // the echo must not arrive at all; the restored link below shows that the data was held back
		}
		if text, err := readLine(c, within); (text == "two\n" && err == nil) == (name == "other group") {
			t.Errorf("%s during the cut: read %q, error %v", name, text, err)
		}
	}
	// Of the datagrams to member 0, the one from the other group is lost and the one from the same group arrives.
	_ = sockets[0].udp.SetReadDeadline(time.Now().Add(5 * time.Second))
	sendDatagram := func(from *net.UDPConn, text string) { _, _ = from.WriteToUDPAddrPort([]byte(text), f.Advertised(0)) }
	sendDatagram(sockets[2].udp, "other")
	sendDatagram(sockets[1].udp, "friend")
	buffer := make([]byte, 100)
	if n, _, err := sockets[0].udp.ReadFromUDPAddrPort(buffer); err != nil || string(buffer[:n]) != "friend" {
		t.Errorf("datagram during the cut: read %q, error %v, want the one from the same group", buffer[:n], err)
	}
	late := dialFrom(t, members[2].Addr(), f.Advertised(1)) // accepted by the forwarder, but not forwarded
	_, _ = io.WriteString(late, "late\n")
	if text, err := readLine(late, 200*time.Millisecond); err == nil {
		t.Errorf("read %q over a cut link", text)
	}
	f.CutLinks(nil)
	if text, err := readLine(otherGroup, 5*time.Second); err != nil || text != "two\n" {
		t.Errorf("data that was held back: read %q, error %v, want the echo", text, err)
	}
	if text, err := readLine(late, 5*time.Second); err != nil || text != "late\n" {
		t.Errorf("connection opened during the cut: read %q, error %v, want the echo", text, err)
	}
	_ = sockets[0].udp.SetReadDeadline(time.Now().Add(5 * time.Second))
	sendDatagram(sockets[2].udp, "again")
	if n, _, err := sockets[0].udp.ReadFromUDPAddrPort(buffer); err != nil || string(buffer[:n]) != "again" {
		t.Errorf("datagram over the restored link: read %q, error %v", buffer[:n], err)
	}
	sockets[0].close()
	gone, err := net.Dial("tcp", f.Advertised(0).String())
	if err == nil {
		_, err = readLine(gone, 5*time.Second)
		_ = gone.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection to a member that has stopped: %v, want a reset", err)
	}
}
