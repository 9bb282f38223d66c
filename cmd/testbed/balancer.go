package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sabletally/internal/deployment"
	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/reference"
)

// drainTime is the time between the signal to end and the end of the balancer, in which its sessions migrate.
const drainDuration = 5 * time.Second

// balancerCmd runs the reference balancer: with a baseline policy, or with a fault that the checker must find.
type balancerCmd struct {
	Policy string `default:"random" help:"Policy of the balancer."`
	Broken string `help:"Fault of the balancer."`
}

func (c *balancerCmd) Run(*commandEnv) error {
	config, err := deployment.ReadNodeConfig(os.Getenv, nil)
	if err != nil {
		return err
	}
	if c.Broken != "" {
		c.Policy = baseline.Random
	}
	balancer, err := reference.New(config, c.Policy, c.Broken)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	// A signal ends this command only after its sessions have migrated; it ends the other commands at once.
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGHUP)
	go func() {
		<-terminate
		balancer.StartDraining()
		time.Sleep(drainDuration)
		stop()
	}()
	return balancer.Run(ctx, listener, config.Discovery)
}
