// Command sabletally is one balancer on sockets. This file owns the process: what it is told at its start, its
// log, its limits, its signals and its exit code. It must never take part in a circuit.
package main

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sabletally/internal/admin"
	"sabletally/internal/balancer"
	"sabletally/internal/deployment"
	"sabletally/internal/fleet"
	"sabletally/internal/fleet/config"
)

const (
	leaveMost  = 3 * time.Second        // a planned restart waits no longer than this for the longest outer limit
	leaveExtra = 400 * time.Millisecond // and so much more until nothing is held
	comeOn     = 400 * time.Millisecond // so long clients still come to a balancer that leaves
	logMost    = 10                     // lines a second of one kind in the log
	stayOn     = 5 * time.Second        // after that the program exits by itself
	wordWithin = 5 * time.Second        // the fleet tells what operators said last of a balancer that starts
	fleetFile  = "SABLETALLY_FLEET"     // names the fleet's file
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:]))
	}
	os.Exit(run())
}

func run() int {
	log := logger(os.Getenv("SABLETALLY_LOG"))
	defer log.Sync()
	ends, reloads, asks := on(syscall.SIGTERM, syscall.SIGINT), on(syscall.SIGHUP), on(syscall.SIGUSR1)
	s, err := deployment.ReadNodeConfig(os.Getenv, nil)
	if err != nil {
		log.Error("can't start", zap.Error(err))
		return 2
	}
	log = log.With(zap.String("name", s.Name))
	var file *config.File // of the fleet; where none is named nothing of it is read, opened, allocated or started
	if path := os.Getenv(fleetFile); path != "" {
		if file, err = config.Read(path); err != nil {
			eachFault(err, func(err error) { log.Error("can't start", zap.NamedError("fleet", err)) })
			return 2
		}
		if file.Role == config.RoleControl {
			log.Error("can't start", zap.NamedError("fleet", fmt.Errorf("%s: role %q is no balancer's: start it by sabletally fleet control %s", path, file.Role, path)))
			return 2
		}
	}
	cores := int(math.Ceil(s.Cores))
	// Beside the cores one for netpoll's poller and one for each relay: they sleep in the kernel with a processor in hand,
	// which the runtime takes away only after up to ten milliseconds. Guards against a loop that waits for it on one core.
	runtime.GOMAXPROCS(2*cores + 1)
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 3 / 4)
	_ = netpoll.Configure(netpoll.Config{PollerNum: balancer.PollerCount(cores), BufferSize: 4096, LoggerOutput: aside{log, "netpoll"},
		// Guards against senders at full speed: what the poller has read is taken in before it reads on.
		Runner: func(_ context.Context, f func()) { go f(); runtime.Gosched() }})

	gate, err := clients(s.Listen)
	if err != nil {
		log.Error("can't start", zap.Error(err))
		return 2
	}
	sockets := s.MaxSockets
	if s.Admin != "" {
		sockets -= admin.MaxConns(s.MaxSockets)
	}
	l, err := balancer.New(log, s.Settings, s.Seed, s.InitialEndpoints, sockets)
	if err != nil {
		log.Error("can't start", zap.Error(err))
		return 2
	}
	pages := admin.Pages{}
	var member *fleet.Fleet
	if file != nil {
		err := file.CheckClasses(s.Settings.Classes)
		if err == nil {
			member, err = fleet.Open(file, s.Name, s.Seed, gate.Shared(), log)
		}
		if err != nil {
			eachFault(err, func(err error) { log.Error("can't start", zap.NamedError("fleet", err)) })
			return 2
		}
		defer member.Leave()
		l.UseFleet(member)
		if !gate.Shared() { // else the old process of an upgrade tells the new one
			l.AwaitServiceState(wordWithin)
			member.LoadAdminState(s.Name, wordWithin, l.RestoreServiceState)
		}
		pages["/control/fleet"] = func() any { return member.Report() }
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l.FollowDiscovery(ctx, s.Discovery)
	go l.Run(ctx.Done())
	if gate.Shared() {
		if err := l.StartHandover(gate, os.Getenv("TMPDIR"), s.Name, int64(s.MemoryMB)<<20, s.MaxSockets-sockets+balancer.ReservedDescriptors(cores)); err != nil {
			log.Warn("alone: an upgrade will have clients moved", zap.Error(err))
		}
	}
	if err := l.Reconfigure(s.Settings, s.Gossip); err != nil {
		log.Error("can't start", zap.Error(err))
		return 2
	}
	if s.Admin != "" { // last: who is answered there finds a loop that runs
		m, err := admin.Open(s.Admin, admin.MaxConns(s.MaxSockets), operated{l, member, s.Name}, pages, aside{log, "mgmt"})
		if err != nil {
			log.Error("can't start", zap.NamedError("mgmt", err))
			return 2
		}
		defer m.Close()
		go m.Serve()
	}
	failed, emptied := make(chan error, 1), make(chan struct{})
	go func() {
		if err := l.Serve(gate); err != nil {
			failed <- err
		}
	}()

	var exit <-chan time.Time
	handed := make(chan struct{}) // what is held for others is, by others
	reading, read := reloads, make(chan reread, 1)
	for {
		select {
		case <-asks:
			l.LogCounters("asked")
		case <-reading:
			// Read beside this loop: guards against a file that hangs while the end is asked for.
			reading = nil
			go func(was *deployment.NodeConfig) {
				now, err := deployment.ReadNodeConfig(os.Getenv, was)
				read <- reread{now, err}
			}(s)
		case r := <-read:
			s = reload(ctx, log, l, s, r)
			reading = reloads
		case <-ends:
			if exit != nil {
				continue
			}
			longest := time.Duration(0)
			for _, limit := range s.Settings.Deadlines {
				longest = max(longest, limit)
			}
			within := min(longest, leaveMost) + leaveExtra
			l.Shutdown(comeOn, within, func() { close(emptied) })
			exit = time.After(within + stayOn)
			go func() {
				defer close(handed)
				switch {
				case member == nil:
				case l.HasSuccessor(): // which goes on as this member
					member.Close()
				default:
					member.HandOver(within + stayOn/2)
				}
			}()
		case <-emptied:
			select {
			case <-handed:
			case <-exit:
			}
			l.LogCounters("exit")
			return 0
		case <-exit:
			l.LogCounters("exit")
			return 0
		case err := <-failed:
			log.Error("the listener failed", zap.Error(err))
			l.LogCounters("exit")
			return 1
		}
	}
}

// on takes signals of one meaning: those that come before the first is seen are as good as it. Guards against one that is lost
// behind others while a reload is under way.
func on(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// operated passes on what operators tell a balancer, and has the fleet hold it.
type operated struct {
	*balancer.Loop
	member *fleet.Fleet // nil where it is in none
	name   string
}

func (o operated) OutOfService() error { return o.say(true, o.Loop.OutOfService()) }
func (o operated) InService() error    { return o.say(false, o.Loop.InService()) }

func (o operated) say(out bool, err error) error {
	if err == nil && o.member != nil {
		o.member.SetAdminState(o.name, out)
	}
	return err
}

// clients opens their address, or takes the socket that the platform holds for it.
func clients(address string) (*balancer.Listener, error) {
	const name = "EDGE_ACCEPT_FD"
	if inherited := os.Getenv(name); inherited != "" {
		g, err := balancer.InheritListener(inherited)
		if err != nil {
			err = fmt.Errorf("%s: %w", name, err)
		}
		return g, err
	}
	g, err := balancer.Listen(address)
	if err != nil {
		err = fmt.Errorf("listen: %w", err)
	}
	return g, err
}

// reread is the configuration read again, or why it can't be.
type reread struct {
	station *deployment.NodeConfig
	err     error
}

// reload takes the configuration that was read again: has its settings and peers hold and follows the discovery that it names;
// the rest takes a restart. It answers what holds now. Guards against a file that is bad or half written: what was told
// before then holds whole.
func reload(ctx context.Context, log *zap.Logger, l *balancer.Loop, was *deployment.NodeConfig, r reread) *deployment.NodeConfig {
	s, err := r.station, r.err
	if err == nil {
		err = l.Reconfigure(s.Settings, s.Gossip)
	}
	if err != nil {
		l.ReloadErrors.Add(1)
		log.Error("can't reload: the old configuration holds", zap.Error(err))
		return was
	}
	l.Reloads.Add(1)
	log.Info("reloaded", zap.String("discovery", s.Discovery), zap.Bool("restart-for-the-rest", s.StartupOnly != was.StartupOnly))
	l.FollowDiscovery(ctx, s.Discovery)
	s.StartupOnly = was.StartupOnly
	return s
}

// aside takes a library's own log, under one name, so that it is held to so many lines as any other.
type aside struct {
	log  *zap.Logger
	name string
}

func (a aside) Write(text []byte) (int, error) {
	a.log.Warn(a.name, zap.ByteString("said", bytes.TrimSpace(text)))
	return len(text), nil
}

// logger writes to standard error: in full, or only what matters.
func logger(level string) *zap.Logger {
	at, err := zapcore.ParseLevel(level) // none told: info
	if err != nil {
		at = zapcore.InfoLevel
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(os.Stderr), at)
	if at > zapcore.DebugLevel { // guards against clients that fill the log: the counters tell how many there were
		core = zapcore.NewSamplerWithOptions(core, time.Second, logMost, 0)
	}
	return zap.New(core)
}
