package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/scale"
)

// controlProcess is one control process.
type controlProcess struct {
	*cluster.Process
	Addr  netip.AddrPort // where it is reached
	place scale.Place

	mu            sync.Mutex
	finishedBytes int64 // bytes of lives that are over
	streamBytes   int64 // and of the running one, when it was looked at last: read and written,
	datagramBytes int64 // and sent and heard beside that
}

// freeAddress takes an address that is free for datagrams and connections.
func freeAddress() (netip.AddrPort, error) {
	var last error
	for range 20 { // a port that is free for the one may be taken for the other
		ln, err := net.Listen("tcp", emulator.Loopback())
		if err != nil {
			return netip.AddrPort{}, err
		}
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			return addr, nil
		}
		last = err
	}
	return netip.AddrPort{}, last
}

// regionName and zoneName are what a place is called.
func regionName(p scale.Place) string { return fmt.Sprintf("region-%d", p.Region) }
func zoneName(p scale.Place) string   { return fmt.Sprintf("zone-%d", p.Zone) }

// newControls makes the control processes of a plan and writes their files; none is started. Where regions are to be cut off, fronts
// stand before them.
func newControls(p *scale.Plan, self, binary, dir string, log func(name string) io.Writer) (all []*controlProcess, fronts []*forwarderProcess, err error) {
	var listen []netip.AddrPort
	for _, place := range p.Control {
		addr, err := freeAddress()
		if err != nil {
			return nil, nil, err
		}
		all, listen = append(all, &controlProcess{Addr: addr, place: place}), append(listen, addr)
	}
	for region := range p.Regions {
		var here []int
		for i, c := range all {
			if c.place.Region == region {
				here = append(here, i)
			}
		}
		if p.Faults != scale.FaultsRegion || len(here) == 0 {
			continue
		}
		f, reached, err := startForwarders(self, listen, here)
		if err != nil {
			return nil, fronts, err
		}
		fronts = append(fronts, f)
		for i, addr := range reached {
			all[i].Addr = addr
		}
	}
	var seeds []string
	for _, c := range all[:min(len(all), maxSeeds)] {
		seeds = append(seeds, strconv.Quote(c.Addr.String()))
	}
	for i, c := range all {
		name := fmt.Sprintf("c%d", i)
		file := filepath.Join(dir, name+".hcl")
		text := fmt.Sprintf(`fleet %q {
  role      = "control"
  listen    = %q
  advertise = %q
  seeds     = [%s]
  data      = %q
  copies    = %d
  voters    = %d
  followers = %d
  machine   = %q
  zone      = %q
  site      = %q
}
`, scaleFleet, listen[i], c.Addr, strings.Join(seeds, ", "), filepath.Join(dir, name), min(3, len(all)), p.Voters, min(maxFollowers, p.Balancers+p.Balancers/4+16),
			"m-"+name, zoneName(c.place), regionName(c.place))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return all, fronts, err
		}
		mgmt, err := freeAddress()
		if err != nil {
			return all, fronts, err
		}
		if c.Process, err = cluster.NewProcess(name, []string{binary, "fleet", "control", file, "--mgmt", mgmt.String()}, nil, dir, log(name)); err != nil {
			return all, fronts, err
		}
		c.AdminAddr = mgmt.String()
	}
	return all, fronts, nil
}

// isRunning tells whether its newest life goes on.
func (c *controlProcess) isRunning() bool {
	done := c.Exited()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// cpuTime is the processor time of all lives.
func (c *controlProcess) cpuTime() time.Duration {
	before, _ := c.TotalUsage()
	if c.isRunning() {
		before += c.CPU()
	}
	return before
}

// measureTraffic reads how many bytes its running life has read and written so far, over connections and files alike, and with its own count of
// datagrams, which the former leave out.
func (c *controlProcess) measureTraffic() {
	if !c.isRunning() {
		return
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", c.Pid()))
	if err != nil {
		return
	}
	var n int64
	for line := range strings.Lines(string(text)) {
		for _, of := range []string{"rchar:", "wchar:"} {
			if rest, is := strings.CutPrefix(line, of); is {
				v, _ := strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
				n += v
			}
		}
	}
	var datagrams int64
	if r, err := c.Fleet(); err == nil {
		datagrams = r.Sent + r.Received
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streamBytes, c.datagramBytes = n, max(c.datagramBytes, datagrams)
}

// addFinished keeps what the life that ended has read and written.
func (c *controlProcess) addFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishedBytes, c.streamBytes, c.datagramBytes = c.finishedBytes+c.streamBytes+c.datagramBytes, 0, 0
}

func (c *controlProcess) traffic() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finishedBytes + c.streamBytes + c.datagramBytes
}

// kill ends it outright.
func (c *controlProcess) kill() {
	c.measureTraffic()
	c.Kill()
	c.addFinished()
}

// shutDown ends it as planned.
func (c *controlProcess) shutDown() {
	c.measureTraffic()
	_ = c.Signal(syscall.SIGTERM)
	select {
	case <-c.Exited():
	case <-time.After(shutdownTimeout):
		c.Kill()
	}
	c.addFinished()
}

// restart starts the process again once its last run has ended.
func (c *controlProcess) restart() error {
	select {
	case <-c.Exited():
	case <-time.After(shutdownTimeout + time.Second):
		return fmt.Errorf("control process %s does not end", c.Name)
	}
	return c.Launch()
}

// waitForBootstrap waits until all control processes see each other and have agreed on that.
func waitForBootstrap(ctx context.Context, all []*controlProcess) error {
	for end := time.Now().Add(bootstrapTimeout); ; {
		var last error
		for _, c := range all {
			if !c.isRunning() {
				return fmt.Errorf("control process %s ended at its start: %s", c.Name, c.LogTail())
			}
			switch r, err := c.Fleet(); {
			case err != nil:
				last = err
			case r.Alive != len(all) || r.Store == nil || r.Store.ID == "" || r.Store.Members != len(all):
				last = fmt.Errorf("control process %s: %s, %d of %d here, %+v", c.Name, r.Standing, r.Alive, len(all), r.Store)
			}
			if last != nil {
				break
			}
		}
		if last == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no fleet of control processes within %v: %w", bootstrapTimeout, last)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}
