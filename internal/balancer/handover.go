package balancer

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"sabletally/internal/hotrestart"
)

const (
	descriptorCountInterval = 200 * time.Millisecond
	handoverTimeout         = 500 * time.Millisecond // what is not handed over by then is migrated
	memoryLimitQuarters     = 3                      // quarters of the memory limit that Go's own limit is
)

// handover is this process's place in the chain of processes of one balancer. The loop owns it.
type handover struct {
	socketPath      string
	memoryLimit     int64 // bytes, of both processes together
	baseDescriptors int64 // held by this process beside connections

	predecessor *hotrestart.Link // nil where there is none
	successor   *hotrestart.Link // nil where there is none
	// successorReady says that the successor takes over sessions and clients.
	successorReady bool

	// unsettled counts sessions and clients that were sent to the successor and whose outcome is unknown yet.
	unsettled int
	// unconfirmed counts those that the successor was sent and never confirmed.
	unconfirmed int
}

// StartHandover connects to the old process of this balancer, which may hand over its sessions, and then waits for the next one.
// The processes meet at a socket in dir under the balancer's name. memory is the limit of both processes in bytes, base the number
// of descriptors that this process holds beside connections. After the call Shutdown stops the listener, even before
// Serve. After an error there is no handover, neither from the old process nor to a new one. It has to be called before Reconfigure.
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

// setMemoryShare sets Go's memory limit: half of it while another process of this balancer runs.
func (l *Loop) setMemoryShare(shared bool) {
	limit := l.handover.memoryLimit * memoryLimitQuarters / 4
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
}

// sendDescriptorCount sends the other processes the number of descriptors that are held here, and schedules itself again.
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
		}, nil)
	}
}

// HasSuccessor reports whether a new process of this balancer is connected to this one.
func (l *Loop) HasSuccessor() bool { return l.successorLinked.Load() }

// availableDescriptors returns how many descriptors connections may hold here, beside what the other process holds.
func (l *Loop) availableDescriptors() int64 { return l.descriptorLimit - l.peerDescriptors.Load() }

// bootMillis returns when a server's process started, in milliseconds since 1970; 0 where that is unknown.
func bootMillis(server *upstream) int64 {
	if server.listed.StartedAt.IsZero() {
		return 0
	}
	return server.listed.StartedAt.UnixMilli()
}

func closeDescriptors(descriptors []int) {
	for _, fd := range descriptors {
		_ = unix.Close(fd) // the descriptor is gone whatever close returns
	}
}

// logRelayError counts and logs that two connections could not be relayed.
func (l *Loop) logRelayError(err error) {
	l.Errors.Add(1)
	l.log.Info("no relay", zap.Error(err))
}
