package balancer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

// TestEndedSessionsLeaveNoTimers guards against memory that grows with the sessions of the past: a timer refers to its session, whose deadline
// the client chooses. Clients are served, rejected or leave, long before their deadlines.
func TestEndedSessionsLeaveNoTimers(t *testing.T) {
	for _, reply := range []string{"UP 1\r\n", "BUSY\r\n", "ERR\r\n", ""} {
		t.Run(reply, func(t *testing.T) {
			const clients = 50
			s := newCountingServer(t, reply)
			close(s.mayReply)
			l, address := newServedLoopWithServer(t, s.listener.Addr().String())
			countTimers := func() (n int) {
				runIn(l, func() { n = len(l.timers) })
				return n
			}
			before := countTimers()
			for id := range clients {
				client, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = fmt.Fprintf(client, "OPEN %d 2 c=feed,d=20000\r\n", id+1)
				if reply == "" {
					runUntilIn(t, l, "the request is taken", func() bool { return l.Sessions.Load() > int64(id) })
				} else if _, err := bufio.NewReader(client).ReadString('\n'); err != nil && err != io.EOF {
					t.Fatal(err)
				}
				_ = client.Close()
			}
			runUntilIn(t, l, "all connections have ended", func() bool { return len(l.sessions) == 0 && l.descriptors.Load() == 0 })
			if after := countTimers(); after > before {
				t.Errorf("%d timers, %d before the clients", after, before)
			}
		})
	}
}

// runUntilIn waits until a condition holds, which it checks on a loop's goroutine.
func runUntilIn(t *testing.T, l *Loop, what string, condition func() bool) {
	t.Helper()
	for end, seen := time.Now().Add(testTimeout), false; !seen; time.Sleep(time.Millisecond) {
		if runIn(l, func() { seen = condition() }); time.Now().After(end) {
			t.Fatal("timed out waiting until ", what)
		}
	}
}

// TestStoppedTimersDoNotRun guards against a timer that runs after it was stopped, and against others that are lost with it.
func TestStoppedTimersDoNotRun(t *testing.T) {
	l := &Loop{}
	var ran []int
	var all []*timer
	for n := range 20 {
		all = append(all, l.after(time.Duration(n*7%20), func() { ran = append(ran, n*7%20) }))
	}
	for n := 0; n < 20; n += 3 {
		l.stop(all[n])
		l.stop(all[n])
	}
	l.now = 10
	l.runTimers()
	l.stop(all[1]) // due at 7, has run
	l.now = 20
	l.runTimers()
	l.stop(nil)
	var want []int
	for n := range 20 {
		if n%3 != 0 {
			want = append(want, n*7%20)
		}
	}
	slices.Sort(want)
	if !slices.Equal(ran, want) {
		t.Errorf("timers due at %v have run, want %v", ran, want)
	}
}
