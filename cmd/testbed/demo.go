// This file owns the demonstration: one command from a fresh checkout.

package main

import (
	_ "embed"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/experiment"
)

//go:embed demo.hcl
var demoFile []byte

type demoCmd struct {
	Keep bool `help:"Leave the world up afterwards, and say how to speak to it."`
}

func (c *demoCmd) Run(l *lab) error {
	x, err := experiment.Parse(demoFile, "demo.hcl")
	if err != nil {
		return err
	}
	binary := l.beside("sabletally")
	if _, err := os.Stat(binary); err != nil {
		return fmt.Errorf("%s is missing, both programs are built by: go build -o bin/ ./cmd/... (%w)", binary, err)
	}
	fmt.Printf("A world of %d stand-in servers, %d balancers (%s) and about %.0f clients, for %v.\n",
		len(x.World.Machines), x.World.Balancers, filepath.Base(binary), float64(x.World.Load.Standing)+x.World.Load.Rate*(x.World.Load.Length-x.World.Load.WarmupTime).Seconds(), x.World.Load.Length)
	f, err := cluster.Start(x.World, cluster.Arm{Name: "demo", Command: []string{binary}}, x.Seeds[0])
	if err != nil {
		return err
	}
	defer f.Close()
	config, err := os.CreateTemp("", "sabletally-*.json")
	if err != nil {
		return err
	}
	w := &x.World
	_, _ = config.Write(cluster.BalancerConfig(w, 0, f.Processes[0].Addr, f.DiscoveryAddr(0), 1, f.KnownEndpoints(0)))
	_ = config.Close()
	fmt.Printf("The first balancer's configuration, written out: %s\n\n", config.Name())
	run, _, v, err := f.Run(l.ctx, func(at time.Duration, text string) { fmt.Printf("%6.2fs  %s\n", at.Seconds(), text) })
	if err != nil {
		return err
	}
	fmt.Printf("\nset up %d circuits (median %.0f ms, p99 %.0f ms), %d nacks, %d moves; %.1f%% of the time asked for was served\n",
		run.Setups, run.SetupP50, run.SetupP99, run.Nacks, run.Moves, 100*run.Served)
	for _, b := range run.Broken {
		fmt.Println("  ", b)
	}
	fmt.Println("verdict:", v)
	if !v.Passed() {
		return errBroken
	}
	if c.Keep {
		return c.keep(l, x)
	}
	return nil
}

// keep starts the world again, without faults or load, and leaves it up until it is interrupted.
func (c *demoCmd) keep(l *lab, x *experiment.Experiment) error {
	x.World.Faults = nil
	f, err := cluster.Start(x.World, cluster.Arm{Name: "demo", Command: []string{l.beside("sabletally")}}, 1)
	if err != nil {
		return err
	}
	defer f.Close()
	f.Clock.Begin()
	host, port, _ := net.SplitHostPort(f.Processes[0].Addr)
	fmt.Printf("\nThe world is up again. Speak to a balancer with a plain TCP client, lines ended by CRLF:\n\n"+
		"    printf 'OPEN 1 2 c=feed,d=1500\\r\\n' | nc -q 5 %s %s\n\nInterrupt ends it.\n", host, port)
	if _, err := exec.LookPath("nc"); err != nil {
		fmt.Printf("Without nc, in bash:\n\n    exec 3<>/dev/tcp/%s/%s; printf 'OPEN 1 2 c=feed,d=1500\\r\\n' >&3; head -n 1 <&3\n", host, port)
	}
	<-l.ctx.Done()
	return nil
}
