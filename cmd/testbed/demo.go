package main

import (
	_ "embed"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/experiment"
	"sabletally/internal/lab/topology"
)

//go:embed demo.hcl
var demoFile []byte

// demoCmd runs the experiment of demo.hcl and prints its events as they happen.
type demoCmd struct {
	Keep bool `help:"Keep a world without faults running afterwards, and print how to connect to it."`
}

func (c *demoCmd) Run(env *commandEnv) error {
	x, err := experiment.Parse(demoFile, "demo.hcl")
	if err != nil {
		return err
	}
	binary := env.siblingProgram("sabletally")
	if _, err := os.Stat(binary); err != nil {
		return fmt.Errorf("balancer binary %s not found, build both programs with: go build -o bin/ ./cmd/... (%w)", binary, err)
	}
	world := &x.World
	plan := &world.Load
	clients := float64(plan.InitialClients) + plan.Rate*(plan.Length-plan.WarmupTime).Seconds()
	fmt.Printf("%d emulated servers, %d balancers (%s) and about %.0f clients, for %v.\n",
		len(world.Machines), world.Balancers, filepath.Base(binary), clients, plan.Length)
	demoCluster, err := cluster.Start(x.World, cluster.Arm{Name: "demo", Command: []string{binary}}, x.Seeds[0])
	if err != nil {
		return err
	}
	defer demoCluster.Close()
	if err := writeDemoConfig(world, demoCluster); err != nil {
		return err
	}
	run, _, verdict, err := demoCluster.Run(env.ctx, func(at time.Duration, text string) { fmt.Printf("%6.2fs  %s\n", at.Seconds(), text) })
	if err != nil {
		return err
	}
	fmt.Printf("\n%d sessions were set up (median %.0f ms, p99 %.0f ms), %d rejected, %d migrated; %.1f%% of the requested time was served\n",
		run.Setups, run.SetupP50, run.SetupP99, run.Rejections, run.Migrations, 100*run.Served)
	for _, violation := range run.Broken {
		fmt.Println("  ", violation)
	}
	fmt.Println("verdict:", verdict)
	if !verdict.Passed() {
		return errRuleBroken
	}
	if c.Keep {
		return c.keepRunning(env, x)
	}
	return nil
}

// writeDemoConfig writes the first balancer's configuration to a temporary file and prints its path. The file is kept after the demo, as
// an example for the user.
func writeDemoConfig(world *topology.World, demoCluster *cluster.Cluster) error {
	file, err := os.CreateTemp("", "sabletally-*.json")
	if err != nil {
		return err
	}
	config := cluster.BalancerConfig(world, 0, demoCluster.Processes[0].Addr, demoCluster.DiscoveryAddr(0), 1, demoCluster.KnownEndpoints(0))
	_, err = file.Write(config)
	if err := errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("writing the first balancer's configuration: %w", err)
	}
	fmt.Printf("The first balancer's configuration: %s\n\n", file.Name())
	return nil
}

// keepRunning starts the world of the demo again, without faults or load, and keeps it running until the command is interrupted.
func (c *demoCmd) keepRunning(env *commandEnv, x *experiment.Experiment) error {
	x.World.Faults = nil
	demoCluster, err := cluster.Start(x.World, cluster.Arm{Name: "demo", Command: []string{env.siblingProgram("sabletally")}}, 1)
	if err != nil {
		return err
	}
	defer demoCluster.Close()
	demoCluster.Clock.Begin()
	host, port, _ := net.SplitHostPort(demoCluster.Processes[0].Addr)
	fmt.Printf("\nThe world is running again. Connect to a balancer with a plain TCP client; lines end with CRLF:\n\n"+
		"    printf 'OPEN 1 2 c=feed,d=1500\\r\\n' | nc -q 5 %s %s\n\nInterrupt ends it.\n", host, port)
	if _, err := exec.LookPath("nc"); err != nil {
		fmt.Printf("Without nc, in bash:\n\n    exec 3<>/dev/tcp/%s/%s; printf 'OPEN 1 2 c=feed,d=1500\\r\\n' >&3; head -n 1 <&3\n", host, port)
	}
	<-env.ctx.Done()
	return nil
}
