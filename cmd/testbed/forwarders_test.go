package main

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
)

// TestForwarderProcess guards against forwarders that do not cut or restore a link on request, or that outlive their process. It starts a
// forwarder process as a scale test does, and sends over a connection through one of its forwarders.
func TestForwarderProcess(t *testing.T) {
	t.Setenv("SABLELAB_CHILD", "1")
	var members []netip.AddrPort
	for range 2 {
		ln, err := net.Listen("tcp", emulator.Loopback())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		members = append(members, ln.Addr().(*net.TCPAddr).AddrPort())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					_, _ = io.Copy(c, c)
				}()
			}
		}()
	}
	p, advertised, err := startForwarders(os.Args[0], members, []int{0})
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	// A forwarder recognizes a member by its address, so the connection is made from the other member's address.
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: members[1].Addr().AsSlice()}}).Dial("tcp", advertised[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	echo := func(text string, within time.Duration) error {
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(within))
		_, err := io.ReadFull(c, make([]byte, len(text)))
		return err
	}
	if err := echo("one", 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := p.call(forwarderRequest{CutOff: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := echo("two", 100*time.Millisecond); err == nil {
		t.Error("a line passed over a link that was cut")
	}
	if _, err := p.call(forwarderRequest{}); err != nil {
		t.Fatal(err)
	}
	if err := echo("three", 10*time.Second); err != nil { // reads "two" and the start of "three", as the bytes that were held back arrive first
		t.Errorf("no lines over a link that was restored: %v", err)
	}
	p.close()
	if c, err := net.Dial("tcp", advertised[0].String()); err == nil {
		_ = c.Close()
		t.Error("a forwarder still listens after its process was closed")
	}
}
