package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/admin"
	"sabletally/internal/balancer"
	"sabletally/internal/deployment"
	"sabletally/internal/fleet"
	"sabletally/internal/fleet/config"
)

const (
	fleetFileVariable = "SABLETALLY_FLEET" // environment variable with the path of the fleet file
	listenerVariable  = "EDGE_ACCEPT_FD"   // environment variable with the descriptor of a listening socket that the platform opened
	socketDirVariable = "TMPDIR"           // environment variable with the directory of the sockets for hot restarts

	// serviceStateTimeout bounds the wait for the fleet to report whether operators have taken the balancer out of service.
	serviceStateTimeout = 5 * time.Second
)

// startError is an error that prevents the start, with the log field under which it is logged.
type startError struct {
	key string
	err error
}

func (e *startError) Error() string { return e.key + ": " + e.err.Error() }

func (e *startError) Unwrap() error { return e.err }

// logStartError logs why the process can't start. Each error in an invalid fleet file gets a line of its own.
func logStartError(log *zap.Logger, err error) {
	start, is := errors.AsType[*startError](err)
	if !is {
		log.Error("can't start", zap.Error(err))
		return
	}
	forEachError(start.err, func(err error) { log.Error("can't start", zap.NamedError(start.key, err)) })
}

// process is a running balancer process.
type process struct {
	log *zap.Logger
	// requestedLog writes what operators have asked for; see loggers.
	requestedLog *zap.Logger
	config       *deployment.NodeConfig // the configuration in force, which a reload replaces
	signals      signals
	loop         *balancer.Loop
	listener     *balancer.Listener
	member       *fleet.Fleet // nil where the balancer is in no fleet
	cleanup      []func()     // functions that close runs, the last one first

	drained    chan struct{}    // closed once a shutdown has left no session, connection or pending handover; never if the listener is not shared
	handedOver chan struct{}    // closed once the member's handover has ended, finished or not
	exit       <-chan time.Time // fires when the process exits whatever is still open; nil before a shutdown
}

// start starts a balancer process. Its signals are caught before the call, so that none ends the process meanwhile. start logs the error
// that it returns.
func start(log loggers, caught signals) (*process, error) {
	nodeConfig, err := deployment.ReadNodeConfig(os.Getenv, nil)
	if err != nil {
		logStartError(log.log, err)
		return nil, err
	}
	log = log.named(nodeConfig.Name)
	p := &process{
		log:          log.log,
		requestedLog: log.requested,
		config:       nodeConfig,
		signals:      caught,
		drained:      make(chan struct{}),
		handedOver:   make(chan struct{}),
	}
	if err := p.start(); err != nil {
		logStartError(p.log, err)
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *process) close() {
	for i := len(p.cleanup) - 1; i >= 0; i-- {
		p.cleanup[i]()
	}
}

func (p *process) start() error {
	// Without a fleet file no part of package fleet is opened, allocated or started.
	fleetFile, err := readFleetFile()
	if err != nil {
		return &startError{"fleet", err}
	}
	cores := int(math.Ceil(p.config.Cores))
	p.setRuntimeLimits(cores)
	if p.listener, err = openListener(p.config.Listen); err != nil {
		return err
	}
	adminDescriptors := 0
	if p.config.Admin != "" {
		adminDescriptors = admin.MaxConns(p.config.MaxSockets)
	}
	maxDescriptors := p.config.MaxSockets - adminDescriptors
	p.loop, err = balancer.New(p.log, p.config.Settings, p.config.Seed, p.config.InitialEndpoints, maxDescriptors)
	if err != nil {
		return err
	}
	if fleetFile != nil {
		if err := p.joinFleet(fleetFile); err != nil {
			return &startError{"fleet", err}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	p.cleanup = append(p.cleanup, stop)
	p.loop.FollowDiscovery(ctx, p.config.Discovery)
	go p.loop.Run(ctx.Done())
	if p.listener.Shared() {
		p.enableHotRestart(adminDescriptors + balancer.ReservedDescriptors(cores))
	}
	if err := p.loop.Reconfigure(p.config.Settings, p.config.Gossip); err != nil {
		return err
	}
	if p.config.Admin != "" { // opened last because its requests need a running loop
		if err := p.openAdmin(adminDescriptors); err != nil {
			return &startError{"mgmt", err}
		}
	}
	return nil
}

// readFleetFile reads the fleet file that the environment names. It returns nil if none is named.
func readFleetFile() (*config.File, error) {
	path := os.Getenv(fleetFileVariable)
	if path == "" {
		return nil, nil
	}
	file, err := config.Read(path)
	if err != nil {
		return nil, err
	}
	if file.Role == config.RoleControl {
		return nil, fmt.Errorf("%s: role %q is not for a balancer: start a control process by sabletally fleet control %s", path, file.Role, path)
	}
	return file, nil
}

// setRuntimeLimits configures the Go scheduler and the memory limit.
func (p *process) setRuntimeLimits(cores int) {
	// One processor for each core, one for the poller of clients' connections and one for each relay worker. Pollers and workers sleep in system calls and
	// keep their processor for up to 10 ms meanwhile; without the extra processors the loop would have to wait for it.
	runtime.GOMAXPROCS(2*cores + 1)
	debug.SetMemoryLimit(int64(p.config.MemoryMB) << 20 * 3 / 4)
}

// openListener listens at the clients' address, or uses the listening socket that the platform has passed to the process.
func openListener(address string) (*balancer.Listener, error) {
	if number := os.Getenv(listenerVariable); number != "" {
		listener, err := balancer.InheritListener(number)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", listenerVariable, err)
		}
		return listener, nil
	}
	listener, err := balancer.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// joinFleet makes the balancer a member of its fleet.
func (p *process) joinFleet(file *config.File) error {
	if err := file.CheckClasses(p.config.Settings.Classes); err != nil {
		return err
	}
	member, err := fleet.Open(file, p.config.Name, p.config.Seed, p.listener.Shared(), p.log)
	if err != nil {
		return err
	}
	p.member = member
	p.cleanup = append(p.cleanup, member.Leave)
	p.loop.UseFleet(member)
	if !p.listener.Shared() { // the predecessor of a hot restart passes the state on
		p.loop.AwaitServiceState(serviceStateTimeout)
		member.LoadAdminState(p.config.Name, serviceStateTimeout, p.loop.RestoreServiceState)
	}
	return nil
}

// enableHotRestart connects to the predecessor of a hot restart and waits for a successor. If it fails, the balancer works, but a restart
// migrates its sessions.
func (p *process) enableHotRestart(baseDescriptors int) {
	memory := int64(p.config.MemoryMB) << 20
	err := p.loop.StartHandover(p.listener, os.Getenv(socketDirVariable), p.config.Name, memory, baseDescriptors)
	if err != nil {
		p.log.Warn("hot restart is not available: a restart will migrate the sessions", zap.Error(err))
	}
}

// openAdmin serves the operators' address, with the fleet's report if the balancer is a member.
func (p *process) openAdmin(maxConns int) error {
	pages := admin.Pages{}
	if p.member != nil {
		pages["/control/fleet"] = func() any { return p.member.Report() }
	}
	service := adminService{Loop: p.loop, member: p.member, name: p.config.Name}
	server, err := admin.Open(p.config.Admin, maxConns, service, pages, libraryLog{p.log, "mgmt"})
	if err != nil {
		return err
	}
	p.cleanup = append(p.cleanup, server.Close)
	go server.Serve()
	return nil
}

// adminService carries out operators' requests to the balancer and stores the requested service state in the fleet.
type adminService struct {
	*balancer.Loop
	member *fleet.Fleet // nil where the balancer is in no fleet
	name   string
}

// OutOfService drains the balancer and stores that it is out of service.
func (s adminService) OutOfService() error { return s.saveAdminState(true, s.Loop.OutOfService()) }

// InService has the balancer accept clients again and stores that it is in service.
func (s adminService) InService() error { return s.saveAdminState(false, s.Loop.InService()) }

// saveAdminState stores the service state in the fleet, unless the balancer has rejected it with err.
func (s adminService) saveAdminState(outOfService bool, err error) error {
	if err == nil && s.member != nil {
		s.member.SetAdminState(s.name, outOfService)
	}
	return err
}
