package balancer

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"golang.org/x/sys/unix"
)

// TestShutdownWaitsForUnsettledHandovers guards against an old process that ends while handovers are pending, whose clients would get no
// answer. The loop handles the end of the link before the sessions and clients that could not be sent are returned to it.
func TestShutdownWaitsForUnsettledHandovers(t *testing.T) {
	const clients, sent = 24, 16
	f := newHandoverFixture(t, clients)
	silent := f.client()
	f.waitUntil("the silent client is accepted", func() bool {
		f.oldLoop.idleConns.mu.Lock()
		defer f.oldLoop.idleConns.mu.Unlock()
		return f.oldLoop.idleConns.silent.Len() == 1
	})
	successor := f.dialHangingSuccessor()
	f.shutDownOld()
	f.waitUntil("all are handed over", func() bool { return len(f.oldLoop.sessions) == 0 && f.oldLoop.descriptors.Load() == 0 })
	runIn(f.oldLoop, func() { f.oldLoop.successorLost(f.oldLoop.handover.successor, errors.New("ended by the test")) })
	f.expectOldEnded()
	migrations, handedOver := int(f.oldLoop.Migrations.Load()), int(f.oldLoop.HandedOver.Load())
	_ = successor.Close() // sessions that the successor has not read are returned
	migrated, closed := f.countAnswers()
	rejected := 0
	switch got, err := silent.ReadString('\n'); { // the silent client may have been sent to the successor
	case got == "BUSY\r\n": // a rejection without Retry-After
		rejected++
	case got == "" && errors.Is(err, io.EOF):
		closed++
	default:
		t.Errorf("the silent client received %q, %v", got, err)
	}
	if handedOver != sent || closed != sent || migrations != migrated || migrated+rejected != clients+1-sent {
		t.Errorf("the old process counted %d migrations and %d handovers; %d clients were sent MOVE, %d were rejected, %d were closed",
			migrations, handedOver, migrated, rejected, closed)
	}
}

// TestUnreadSessionsAreMigratedWhenTheSuccessorDies guards against sessions that are lost with a new process which had not confirmed them.
// The new process confirms some sessions and dies, at once or after the old process has found it to hang: all others must be migrated.
func TestUnreadSessionsAreMigratedWhenTheSuccessorDies(t *testing.T) {
	const clients = 24
	for _, confirmed := range []int{0, 1, 7, 16, 20} {
		for _, hangs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d confirmed, hangs %v", confirmed, hangs), func(t *testing.T) {
				t.Parallel()
				f := newHandoverFixture(t, clients)
				successor := f.dialHangingSuccessor()
				f.shutDownOld()
				f.waitUntil("all are handed over", func() bool { return len(f.oldLoop.sessions) == 0 })
				f.confirm(successor, confirmed)
				f.waitUntil("the confirmations are handled", func() bool { return int(f.oldLoop.HandedOver.Load()) >= confirmed })
				if never := clients - confirmed - 16; hangs && never > 0 {
					f.waitUntil("those that were not sent are migrated", func() bool { return int(f.oldLoop.Migrations.Load()) == never })
				}
				_ = successor.Close()
				if migrated, closed := f.countAnswers(); migrated != clients-confirmed || closed != confirmed {
					t.Errorf("%d clients were migrated, %d were closed", migrated, closed)
				}
				f.expectOldEnded()
			})
		}
	}
}

// TestHandoverCutAtEachMessage guards against sessions that are lost, or continued twice, when the link between the processes breaks
// during a handover. A proxy ends the link for the old process after a number of messages. Each client must continue at one of the two
// processes or be migrated.
func TestHandoverCutAtEachMessage(t *testing.T) {
	const clients = 24 // more than the number of handovers that may be unconfirmed at a time
	for _, limit := range []int{0, 1, 2, 3, 4, 5, 6, 8, 11, 15, 20, 26, 33, 41, 60} {
		t.Run(fmt.Sprint(limit, " messages"), func(t *testing.T) {
			t.Parallel()
			f, newDir := newHandoverFixture(t, clients), t.TempDir()
			fd, err := unix.FcntlInt(uintptr(f.listener.fd), unix.F_DUPFD_CLOEXEC, 3)
			if err != nil {
				t.Fatal(err)
			}
			cut := make(chan bool)
			proxyLink(t, f.dir, newDir, limit, cut)
			next := f.startProcess(newDir, &Listener{fd: fd, addr: f.listener.addr, shared: true})
			f.waitUntil("the new process is ready or the link is cut", func() bool {
				select {
				case <-cut:
					return true
				default:
					return f.oldLoop.readySuccessor() != nil
				}
			})
			f.shutDownOld()
			for n, rw := range f.clients {
				_, _ = io.WriteString(rw, "M 1\r\n")
				_ = rw.Flush()
				if got, err := rw.ReadString('\n'); got != "M 1\r\n" && got != "MOVE\r\n" {
					t.Errorf("client %d received %q, %v", n, got, err)
				}
			}
			f.expectOldEnded()
			runIn(next, func() {
				if n := next.Panics.Load() + f.oldLoop.Panics.Load(); n != 0 {
					t.Errorf("%d panics", n)
				}
			})
		})
	}
}
