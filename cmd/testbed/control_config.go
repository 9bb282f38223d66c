package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/scale"
)

const (
	scaleFleetName      = "scale"
	maxSeeds            = 5     // control processes that are configured as seeds
	maxReplicas         = 3     // of a shard
	maxFollowers        = 10000 // that a configuration may allow
	maxAddressAttempts  = 20
	controlConfigFormat = `fleet %q {
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
`
)

// freeAddress finds an address that is free for datagrams and connections.
func freeAddress() (netip.AddrPort, error) {
	var lastError error
	for range maxAddressAttempts { // a port that is free for the one may be taken for the other
		listener, err := net.Listen("tcp", emulator.Loopback())
		if err != nil {
			return netip.AddrPort{}, err
		}
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		datagrams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		_ = listener.Close()
		if err == nil {
			_ = datagrams.Close()
			return addr, nil
		}
		lastError = err
	}
	return netip.AddrPort{}, lastError
}

func regionName(p scale.Place) string { return fmt.Sprintf("region-%d", p.Region) }
func zoneName(p scale.Place) string   { return fmt.Sprintf("zone-%d", p.Zone) }

// controlTier creates the control processes of a plan, and the forwarders before them.
type controlTier struct {
	plan          *scale.Plan
	executable    string // this binary
	controlBinary string // of the control processes
	dir           string // of the configurations and the data
	newLog        func(name string) io.Writer
	listenAddrs   []netip.AddrPort // by control process
	controls      []*controlProcess
	forwarders    []*forwarderProcess
}

// create creates all control processes and starts their forwarders; no control process is started. After an error, the forwarders that
// were started are in t.
func (t *controlTier) create() error {
	for _, place := range t.plan.Control {
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		t.controls = append(t.controls, &controlProcess{Addr: addr, place: place})
		t.listenAddrs = append(t.listenAddrs, addr)
	}
	if t.plan.Faults == scale.FaultsRegion {
		if err := t.startForwarders(); err != nil {
			return err
		}
	}
	for i := range t.controls {
		if err := t.configure(i); err != nil {
			return err
		}
	}
	return nil
}

// startForwarders starts a process of forwarders for each region that has control processes.
func (t *controlTier) startForwarders() error {
	for region := range t.plan.Regions {
		var members []int
		for i, c := range t.controls {
			if c.place.Region == region {
				members = append(members, i)
			}
		}
		if len(members) == 0 {
			continue
		}
		process, advertised, err := startForwarders(t.executable, t.listenAddrs, members)
		if err != nil {
			return err
		}
		t.forwarders = append(t.forwarders, process)
		for i, addr := range advertised {
			t.controls[i].Addr = addr
		}
	}
	return nil
}

// configure writes the configuration of a control process and prepares its command.
func (t *controlTier) configure(index int) error {
	name := fmt.Sprintf("c%d", index)
	path := filepath.Join(t.dir, name+".hcl")
	if err := os.WriteFile(path, []byte(t.configText(name, index)), 0o600); err != nil {
		return err
	}
	admin, err := freeAddress()
	if err != nil {
		return err
	}
	command := []string{t.controlBinary, "fleet", "control", path, "--mgmt", admin.String()}
	c := t.controls[index]
	if c.Process, err = cluster.NewProcess(name, command, nil, t.dir, t.newLog(name)); err != nil {
		return err
	}
	c.AdminAddr = admin.String()
	return nil
}

func (t *controlTier) configText(name string, index int) string {
	var seeds []string
	for _, c := range t.controls[:min(len(t.controls), maxSeeds)] {
		seeds = append(seeds, strconv.Quote(c.Addr.String()))
	}
	c := t.controls[index]
	balancers := t.plan.Balancers
	return fmt.Sprintf(controlConfigFormat,
		scaleFleetName,
		t.listenAddrs[index],
		c.Addr,
		strings.Join(seeds, ", "),
		filepath.Join(t.dir, name),
		min(maxReplicas, len(t.controls)),
		t.plan.Voters,
		min(maxFollowers, balancers+balancers/4+16),
		"m-"+name,
		zoneName(c.place),
		regionName(c.place))
}
