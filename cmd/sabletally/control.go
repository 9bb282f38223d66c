package main

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/admin"
	"sabletally/internal/fleet"
	"sabletally/internal/fleet/config"
)

const (
	handOverTimeout = 5 * time.Second // time for other members to take over the replicas of a control process that ends
	maxAdminConns   = 64              // limit of connections at the operators' address
)

type controlCmd struct {
	File string `arg:"" help:"The fleet's file, with role = \"control\"."`
	Mgmt string `help:"The operators' address, such as 127.0.0.1:15000; none: there is none." env:"EDGE_MGMT"`
	Name string `help:"Its name in the others' reports; none: its machine's."`
}

// Run runs a control process until it is told to end. It is a member of the fleet that has no balancer and publishes the fleet's state
// for balancers to follow.
func (c controlCmd) Run() error {
	file, err := config.Read(c.File)
	if err != nil {
		return err
	}
	if file.Role != config.RoleControl {
		return &roleError{fmt.Sprintf("%s: role %q is not for a control process: requires role = %q", c.File, file.Role, config.RoleControl)}
	}
	name := c.Name
	if name == "" {
		name = file.Machine
	}
	terminate := notifyOn(syscall.SIGTERM, syscall.SIGINT)
	loggers := newLoggers().named(name)
	defer loggers.sync()
	log := loggers.log
	member, err := fleet.Open(file, name, randomSeed(), false, log)
	if err != nil {
		return err
	}
	defer member.Leave()
	if c.Mgmt != "" {
		server, err := admin.OpenHandler(c.Mgmt, maxAdminConns, controlHandler(member), libraryLog{log, "mgmt"})
		if err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
		defer server.Close()
		go server.Serve()
		log.Info("fleet: control process serves operators' requests", zap.String("mgmt", server.Addr()))
	}
	<-terminate
	member.HandOver(handOverTimeout)
	return nil
}

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // rand.Read never fails
	return binary.BigEndian.Uint64(seed[:])
}
