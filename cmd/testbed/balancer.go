// This file owns the lab's own balancer as a process: a baseline, or one broken on purpose.

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

type balancerCmd struct {
	Policy string `default:"random" help:"Policy behind it."`
	Broken string `help:"How it is broken."`
}

func (c *balancerCmd) Run(*lab) error {
	s, err := deployment.ReadNodeConfig(os.Getenv, nil)
	if err != nil {
		return err
	}
	if c.Broken != "" {
		c.Policy = baseline.Random
	}
	h, err := reference.New(s, c.Policy, c.Broken)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	// The signal ends this process only once its clients are moved, not at once as it ends the other commands.
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGHUP)
	go func() {
		<-leave
		h.StartDraining()
		time.Sleep(5 * time.Second)
		stop()
	}()
	return h.Run(ctx, ln, s.Discovery)
}
