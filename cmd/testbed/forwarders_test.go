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

// TestForwarderProcess starts a process of forwarders, as a scale test does, and has it cut a link and restore it.
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
	p, reached, err := startForwarders(os.Args[0], members, []int{0})
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	// From the other member's address, by which a forwarder knows it.
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: members[1].Addr().AsSlice()}}).Dial("tcp", reached[0].String())
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
		t.Error("the link is not cut")
	}
	if _, err := p.call(forwarderRequest{}); err != nil {
		t.Fatal(err)
	}
	if err := echo("three", 10*time.Second); err != nil { // reads "two" and a part of "three": what was held back arrives first
		t.Errorf("the link is not restored: %v", err)
	}
	p.close()
	if c, err := net.Dial("tcp", reached[0].String()); err == nil {
		_ = c.Close()
		t.Error("a forwarder listens after the end of its process")
	}
}
