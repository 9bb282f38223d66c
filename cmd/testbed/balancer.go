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

// drainDuration is how long the balancer keeps running after a termination signal, so that its sessions can migrate.
const drainDuration = 5 * time.Second

// balancerCmd runs the reference balancer: with a baseline policy, or with a deliberate fault that the checker must find.
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
	// A termination signal cancels commandEnv.ctx at once. This command drains first, so it has a context of its own.
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
