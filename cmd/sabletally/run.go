package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/deployment"
)

const (
	maxShutdownWait    = 3 * time.Second        // upper limit of the wait for the longest deadline of a class
	shutdownMargin     = 400 * time.Millisecond // time for the last sessions to end after the longest deadline
	clientArrivalGrace = 400 * time.Millisecond // a balancer that shuts down still accepts clients for this time
	exitGrace          = 5 * time.Second        // the process exits this long after the shutdown's timeout, whatever is still open
)

// signals holds a channel for each purpose of the signals that the process handles. Signals of one purpose that arrive before the first
// of them is handled count as one.
type signals struct {
	terminate   <-chan os.Signal
	reload      <-chan os.Signal
	logCounters <-chan os.Signal
}

// catchSignals starts to catch signals. Each purpose has a channel of its own, so that no signal is dropped because another fills the
// channel.
func catchSignals() signals {
	return signals{
		terminate:   notifyOn(syscall.SIGTERM, syscall.SIGINT),
		reload:      notifyOn(syscall.SIGHUP),
		logCounters: notifyOn(syscall.SIGUSR1),
	}
}

// notifyOn returns a channel that receives some kinds of signals.
func notifyOn(kinds ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, kinds...)
	return c
}

// run runs the balancer until a signal or a failure ends it and returns the exit code of the process.
func run() int {
	log := newLoggers()
	defer log.sync()
	p, err := start(log, catchSignals())
	if err != nil {
		return exitUsage
	}
	defer p.close()
	return p.serve()
}

// configResult is the outcome of reading the configuration again: the configuration or an error.
type configResult struct {
	config *deployment.NodeConfig
	err    error
}

// serve accepts clients and handles signals until the process has to exit, and returns its exit code.
func (p *process) serve() int {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	listenerFailed := make(chan error, 1)
	go func() {
		if err := p.loop.Serve(p.listener); err != nil {
			listenerFailed <- err
		}
	}()
	reload := p.signals.reload
	configRead := make(chan configResult, 1)
	for {
		select {
		case <-p.signals.logCounters:
			p.loop.LogCounters(p.requestedLog, "asked")
		case <-reload:
			reload = nil // further signals wait in their channel until this reload is done
			go readConfig(p.config, configRead)
		case result := <-configRead:
			p.applyConfig(ctx, result)
			reload = p.signals.reload
		case <-p.signals.terminate:
			p.startShutdown()
		case <-p.drained:
			select {
			case <-p.handedOver:
			case <-p.exit:
			}
			p.loop.LogCounters(p.requestedLog, "exit")
			return exitOK
		case <-p.exit:
			p.loop.LogCounters(p.requestedLog, "exit")
			return exitOK
		case err := <-listenerFailed:
			p.log.Error("the listener failed", zap.Error(err))
			p.loop.LogCounters(p.requestedLog, "exit")
			return exitFailed
		}
	}
}

// readConfig reads the configuration again. It runs in a goroutine of its own: serve must handle signals even while a file system hangs.
func readConfig(previous *deployment.NodeConfig, result chan<- configResult) {
	next, err := deployment.ReadNodeConfig(os.Getenv, previous)
	result <- configResult{config: next, err: err}
}

// applyConfig applies a configuration that was read again: its settings, its gossip addresses and its discovery address. All other values
// take effect at a restart only. If the configuration is invalid, the previous one stays in force as a whole.
func (p *process) applyConfig(ctx context.Context, result configResult) {
	next, err := result.config, result.err
	if err == nil {
		err = p.loop.Reconfigure(next.Settings, next.Gossip)
	}
	if err != nil {
		p.loop.ReloadErrors.Add(1)
		p.log.Error("can't reload the configuration: the previous one stays in force", zap.Error(err))
		return
	}
	p.loop.Reloads.Add(1)
	p.log.Info("reloaded",
		zap.String("discovery", next.Discovery),
		zap.Bool("restart-for-the-rest", next.StartupOnly != p.config.StartupOnly))
	p.loop.FollowDiscovery(ctx, next.Discovery)
	next.StartupOnly = p.config.StartupOnly
	p.config = next
}

// startShutdown starts to shut the balancer down and to hand over what its fleet member holds. Calls after the first have no effect.
func (p *process) startShutdown() {
	if p.exit != nil {
		return
	}
	timeout := p.shutdownTimeout()
	p.loop.Shutdown(clientArrivalGrace, timeout, func() { close(p.drained) })
	p.exit = time.After(timeout + exitGrace)
	go func() {
		defer close(p.handedOver)
		switch {
		case p.member == nil:
		case p.loop.HasSuccessor(): // the successor continues as the same member, so nothing is handed over
			p.member.Close()
		default:
			p.member.HandOver(timeout + exitGrace/2)
		}
	}()
}

// shutdownTimeout returns how long a shutdown waits for sessions: the longest deadline of a class, within a limit, and a margin.
func (p *process) shutdownTimeout() time.Duration {
	longest := time.Duration(0)
	for _, deadline := range p.config.Settings.Deadlines {
		longest = max(longest, deadline)
	}
	return min(longest, maxShutdownWait) + shutdownMargin
}
