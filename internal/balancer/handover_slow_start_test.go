package balancer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"sabletally/internal/discovery"
	"sabletally/policy"
)

// firstAnswer returns the answer to a request at a listener.
func firstAnswer(t *testing.T, listener *Listener, id int) string {
	t.Helper()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, fmt.Sprintf("OPEN %d 2 c=feed,d=20000\r\n", id))
	got, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// TestOneProcessOfAHotRestartFillsAWarmingServer runs both processes of a hot restart for longer than an overload window. It guards against a new process
// that sends sessions to a warming server beside the old one, which uses the whole share of the balancer.
func TestOneProcessOfAHotRestartFillsAWarmingServer(t *testing.T) {
	f := newHandoverFixture(t, 0)
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.shared = true
	justStarted := discovery.Endpoint{UID: "s-1", Address: f.servers.Addr().String(), Weight: 1, StartedAt: time.Now()}
	next := newLoopWithEndpoint(t, justStarted, &policy.Config{SlowStartFloor: 0.1, SlowStartWindow: time.Minute}, policy.Idempotent)
	f.runProcess(next, f.dir, listener)
	f.waitUntil("the new process is ready", func() bool { return f.oldLoop.readySuccessor() != nil })
	time.Sleep(2 * testOverloadWindow)
	if got := firstAnswer(t, listener, 1); got == "UP 1\r\n" {
		t.Errorf("beside the old process the new one has sent a session to a warming server")
	}
	f.shutDownOld()
	f.expectOldEnded()
	runIn(f.oldLoop, func() { f.oldLoop.handover.successor.Close() })
	for id, end := 2, time.Now().Add(testTimeout); firstAnswer(t, listener, id) != "UP 1\r\n"; id++ {
		if time.Now().After(end) {
			t.Fatal("after the end of the old process the new one sends no session to a warming server")
		}
		time.Sleep(testOverloadWindow / 4)
	}
}
