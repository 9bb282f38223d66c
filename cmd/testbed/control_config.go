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
	maxSeeds            = 5     // limit of the control processes that each configuration lists as seeds
	maxReplicas         = 3     // limit of the replicas of a shard
	maxFollowers        = 10000 // highest value that the setting "followers" accepts
	maxAddressAttempts  = 20    // limit of the ports that freeAddress tries
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

// freeAddress returns a loopback address whose port is free for both TCP and UDP.
func freeAddress() (netip.AddrPort, error) {
	var lastError error
	for range maxAddressAttempts { // a port that is free for TCP may be taken for UDP
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

// controlTier creates the control processes of a plan and the forwarders in front of them.
type controlTier struct {
	plan          *scale.Plan
	executable    string                      // path of this binary, which runs the forwarders
	controlBinary string                      // path of the balancer binary, which runs the control processes
	dir           string                      // directory of the configuration files and the data
	newLog        func(name string) io.Writer // creates the log of a control process; nil for no log
	listenAddrs   []netip.AddrPort            // listen address of each control process, by its index
	controls      []*controlProcess
	forwarders    []*forwarderProcess
}

// create prepares all control processes without starting them, and starts their forwarders. After an error, t.forwarders has those
// that were started, and the caller must close them.
func (t *controlTier) create() error {
	for _, place := range t.plan.ControlPlaces {
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

// startForwarders starts a forwarder process for each region that has control processes.
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

// configure writes the configuration file of a control process and prepares its command.
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
