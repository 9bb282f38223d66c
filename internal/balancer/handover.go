package balancer

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sabletally/internal/hotrestart"
)

// This file connects the processes of a hot restart and holds what both sides of a handover use.

const (
	descriptorCountInterval = 200 * time.Millisecond
	handoverTimeout         = 500 * time.Millisecond // time after which sessions that were not handed over are migrated
	predecessorStateTimeout = 250 * time.Millisecond // time for which a process waits for its predecessor's state before it is ready
	memoryLimitQuarters     = 3                      // Go's memory limit, in quarters of the memory that the process may use
)

// handover is the state of this process in a hot restart: its links to its predecessor and successor. The loop owns it.
type handover struct {
	socketPath      string
	memoryLimit     int64 // memory limit of both processes together, in bytes
	baseDescriptors int64 // descriptors that this process holds besides those of connections

	predecessor *hotrestart.Link // nil without a predecessor
	successor   *hotrestart.Link // nil without a successor
	// successorReady is set once the successor is ready to take over sessions and clients.
	successorReady bool

	// pending counts sessions and clients that were sent to the successor and whose outcome is unknown yet.
	pending int
	// unconfirmed counts sessions and clients that were sent to the successor and that it never confirmed.
	unconfirmed int
	// stateApplied is set once the predecessor's state has been applied.
	stateApplied  bool
	inheritedList inheritedList
}

// StartHandover connects to the predecessor, the old process of this balancer, which may hand over its sessions. Once the predecessor
// has ended, it listens for a successor. The processes find each other by a socket in dir under the balancer's name. memory is the
// memory limit of both processes together, in bytes; base is the number of descriptors that this process holds besides those of
// connections. After the call, Shutdown stops the listener, even before Serve. After an error there is no handover, neither from a
// predecessor nor to a successor. StartHandover must be called before Reconfigure.
func (l *Loop) StartHandover(listener *Listener, dir, name string, memory int64, base int) error {
	l.sharesListener = true
	l.listener.Store(listener)
	path, err := hotrestart.SocketPath(dir, name)
	if err != nil {
		return err
	}
	h := &handover{socketPath: path, memoryLimit: memory, baseDescriptors: int64(base)}
	link, err := hotrestart.Dial(path, predecessorHandler{loop: l, handover: h})
	if err != nil {
		return err
	}
	if link == nil {
		l.post(event{run: func() {
			l.handover = h
			l.listenForSuccessor()
		}})
	}
	l.post(event{run: l.sendDescriptorCount})
	return nil
}

// setMemoryShare sets Go's memory limit, which is halved while another process of this balancer is running.
func (l *Loop) setMemoryShare(shared bool) {
	limit := l.handover.memoryLimit * memoryLimitQuarters / 4
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

// sendDescriptorCount sends the number of descriptors that this process holds to the other processes, and schedules itself again.
func (l *Loop) sendDescriptorCount() {
	l.after(descriptorCountInterval, l.sendDescriptorCount)
	h := l.handover
	for _, link := range []*hotrestart.Link{h.predecessor, h.successor} {
		if link == nil {
			continue
		}
		link.Send(hotrestart.Message{
			Kind:            hotrestart.DescriptorCount,
			DescriptorCount: l.descriptors.Load() + h.baseDescriptors,
			ShuttingDown:    l.isShuttingDown(),
		}, nil)
	}
}

// otherProcess returns the link to the other process of a hot restart, nil if there is none. A process with a predecessor has no
// successor.
func (l *Loop) otherProcess() *hotrestart.Link {
	switch {
	case l.handover == nil:
		return nil
	case l.handover.predecessor != nil:
		return l.handover.predecessor
	}
	return l.handover.successor
}

// sendState sends state to the other process, and logs what was sent or that the link has refused it. done, if not nil, is called once
// the state was written or refused.
func (l *Loop) sendState(link *hotrestart.Link, state *hotrestart.State, done func()) {
	fields := []zap.Field{zap.Bool("out", state.OutOfService), zap.Int("servers", len(state.Servers))}
	l.log.Info("state sent to the other process", fields...)
	link.Send(hotrestart.Message{Kind: hotrestart.StateUpdate, State: state}, func(outcome hotrestart.Outcome) {
		if outcome != hotrestart.Written {
			l.log.Warn("state not sent to the other process: the message is too large or the link has ended", fields...)
		}
		if done != nil {
			done()
		}
	})
}

// HasSuccessor reports whether a successor is connected to this process.
func (l *Loop) HasSuccessor() bool { return l.successorLinked.Load() }

// availableDescriptors returns the number of descriptors that this process's connections may hold: the limit less those of the other
// process.
func (l *Loop) availableDescriptors() int64 { return l.descriptorLimit - l.peerDescriptors.Load() }

// bootMillis returns the start time of a server's process in milliseconds since 1970, or 0 if it is unknown.
func bootMillis(server *upstream) int64 {
	if server.entry.StartedAt.IsZero() {
		return 0
	}
	return server.entry.StartedAt.UnixMilli()
}

func closeDescriptors(descriptors []int) {
	for _, fd := range descriptors {
		_ = unix.Close(fd) // the descriptor is freed even if close returns an error
	}
}

// logRelayError counts and logs a failure to relay a session's connections.
func (l *Loop) logRelayError(err error) {
	l.Errors.Add(1)
	l.log.Info("cannot relay session", zap.Error(err))
}
