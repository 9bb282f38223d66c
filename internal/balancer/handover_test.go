package balancer

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// TestShutdownWaitsForUnsettledHandovers has the end of a link handled before what could not be sent. The old process must not end while
// sessions and clients have neither been taken over nor returned: those would get no answer.
func TestShutdownWaitsForUnsettledHandovers(t *testing.T) {
	const clients, sent = 24, 16
	u := newHandoverRig(t, clients)
	silent := u.client()
	u.waitUntil("the silent client is here", func() bool {
		u.oldLoop.idle.mu.Lock()
		defer u.oldLoop.idle.mu.Unlock()
		return u.oldLoop.idle.silent.Len() == 1
	})
	successor := u.dialHangingSuccessor()
	u.shutDownOld()
	u.waitUntil("all are handed over", func() bool { return len(u.oldLoop.sessions) == 0 && u.oldLoop.descriptors.Load() == 0 })
	runIn(u.oldLoop, func() { u.oldLoop.successorLost(u.oldLoop.handover.successor, errors.New("as the test wants")) })
	u.expectOldDone()
	moves, passed := int(u.oldLoop.Migrations.Load()), int(u.oldLoop.HandedOver.Load())
	_ = successor.Close() // what it has not read is returned
	moved, bare := u.countAnswers()
	rejected := 0
	switch got, err := silent.ReadString('\n'); { // it may be among those that were sent
	case got == "BUSY\r\n": // without Retry-After
		rejected++
	case got == "" && errors.Is(err, io.EOF):
		bare++
	default:
		t.Errorf("the silent client got %q, %v", got, err)
	}
	if passed != sent || bare != sent || moves != moved || moved+rejected != clients+1-sent {
		t.Errorf("it ended with %d migrated and %d handed over; %d were sent MOVE, %d were rejected, %d ended", moves, passed, moved, rejected, bare)
	}
}

// TestUnreadSessionsAreMigratedWhenTheSuccessorDies has a new process confirm so many sessions and die, at once or after it was found to hang.
// What it has confirmed is lost with it; all others are migrated.
func TestUnreadSessionsAreMigratedWhenTheSuccessorDies(t *testing.T) {
	const clients = 24
	for _, confirmed := range []int{0, 1, 7, 16, 20} {
		for _, hangs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d confirmed, hangs %v", confirmed, hangs), func(t *testing.T) {
				t.Parallel()
				u := newHandoverRig(t, clients)
				successor := u.dialHangingSuccessor()
				u.shutDownOld()
				u.waitUntil("all are handed over", func() bool { return len(u.oldLoop.sessions) == 0 })
				u.confirm(successor, confirmed)
				u.waitUntil("the confirmations are handled", func() bool { return int(u.oldLoop.HandedOver.Load()) >= confirmed })
				if never := clients - confirmed - 16; hangs && never > 0 {
					u.waitUntil("those that were not sent are migrated", func() bool { return int(u.oldLoop.Migrations.Load()) == never })
				}
				_ = successor.Close()
				if moved, bare := u.countAnswers(); moved != clients-confirmed || bare != confirmed {
					t.Errorf("%d migrated, %d ended", moved, bare)
				}
				u.expectOldDone()
			})
		}
	}
}

// TestHandoverCutAtEachMessage has two processes' loops, with a proxy that ends their link for the old one after so many messages, and shuts
// the old one down. Each client goes on at one of them or is migrated.
func TestHandoverCutAtEachMessage(t *testing.T) {
	const clients = 24 // more than may be unconfirmed
	for _, most := range []int{0, 1, 2, 3, 4, 5, 6, 8, 11, 15, 20, 26, 33, 41, 60} {
		t.Run(fmt.Sprint(most, " messages"), func(t *testing.T) {
			t.Parallel()
			u, newDir := newHandoverRig(t, clients), t.TempDir()
			fd, err := unix.FcntlInt(uintptr(u.listener.fd), unix.F_DUPFD_CLOEXEC, 3)
			if err != nil {
				t.Fatal(err)
			}
			cut := make(chan bool)
			proxyLink(t, u.dir, newDir, most, cut)
			next := u.startProcess(newDir, &Listener{fd: fd, addr: u.listener.addr, shared: true})
			u.waitUntil("the new process is ready, or cut off", func() bool {
				select {
				case <-cut:
					return true
				default:
					return u.oldLoop.readySuccessor() != nil
				}
			})
			u.shutDownOld()
			for n, rw := range u.clients {
				_, _ = io.WriteString(rw, "M 1\r\n")
				_ = rw.Flush()
				if got, err := rw.ReadString('\n'); got != "M 1\r\n" && got != "MOVE\r\n" {
					t.Errorf("client %d got %q, %v", n, got, err)
				}
			}
			u.expectOldDone()
			runIn(next, func() {
				if n := next.Panics.Load() + u.oldLoop.Panics.Load(); n != 0 {
					t.Errorf("%d panics", n)
				}
			})
		})
	}
}
