package balancer

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/boottime"
	"sabletally/policy"
)

// repeatedAttempt is a stepped loop whose session's first attempt has run its request and was reset. The second attempt is connected, and
// the loop has not handled that yet.
func repeatedAttempt(t *testing.T) *steppedLoop {
	t.Helper()
	sl := newSteppedLoop(t, policy.IdempotentWithKey)
	sl.l.deployment.ConnectTimeout = testTimeout
	sl.wantServerConn <- true
	sl.handleConnected()
	first := <-sl.firstLines
	if !strings.HasPrefix(first, "OPEN 1 2 ") {
		t.Fatalf("the server received %q", first)
	}
	server := <-sl.serverConns
	_ = server.(*net.TCPConn).SetLinger(0)
	_ = server.Close()
	generation := sl.session.generation
	sl.runUntil("the second attempt has started", func() bool { return sl.session.generation > generation && sl.session.attemptActive })
	sl.waitUntil("the second attempt is connected", func() bool {
		return sl.session.dial != nil && sl.takeEvent(func(ev event) bool { return ev.session == sl.session })
	})
	return sl
}

// TestARepeatIsNotSentAfterTheKeysTTL guards against a request that takes effect twice: its second attempt is decided while servers still
// drop repeats, and its connection comes up when they no longer do. The client must get ERR.
func TestARepeatIsNotSentAfterTheKeysTTL(t *testing.T) {
	sl := repeatedAttempt(t)
	time.Sleep(testKeyTTL) // the first attempt was sent before
	sl.handleConnected()
	if got := sl.serverInput(); got != "" {
		t.Errorf("a server received %q, which it does not drop as a repeat any more", got)
	}
	sl.expectAnswer("ERR")
}

// TestARepeatWaitsForItsConnectionUntilTheKeysTTL guards against a client that is held until the connect timeout, although its request may
// not be sent any more.
func TestARepeatWaitsForItsConnectionUntilTheKeysTTL(t *testing.T) {
	sl := repeatedAttempt(t)
	sl.expectAnswer("ERR")
	if waited := sl.l.now - sl.session.attemptStart; waited > testKeyTTL+time.Second {
		t.Errorf("the second attempt ended after %v", waited)
	}
}

// TestARepeatIsSentWithinTheKeysTTL guards against a repeat that is not sent although servers still drop it if it has run.
func TestARepeatIsSentWithinTheKeysTTL(t *testing.T) {
	sl := repeatedAttempt(t)
	sl.handleConnected()
	if got := <-sl.firstLines; !strings.HasPrefix(got, "OPEN 1 2 ") {
		t.Errorf("a server received %q", got)
	}
}

// TestAStallBeforeARepeatIsWritten guards against a repeat that is written after the key's TTL by a goroutine whose check was made before.
func TestAStallBeforeARepeatIsWritten(t *testing.T) {
	sl := repeatedAttempt(t)
	c := sl.session.client
	sl.session.sendDeadline = time.Since(sl.l.startTime) + maxCheckAge/4
	c.mu.Lock() // blocks the check of the client, the last one before the write
	sl.handleConnected()
	time.Sleep(maxCheckAge / 2)
	c.mu.Unlock()
	if got := sl.serverInput(); got != "" {
		t.Errorf("a server received %q", got)
	}
}

// TestAStallBeforeARecordedRequestIsWritten guards against a replicated request that is written after the fleet's permission has ended, by a
// goroutine that was held since the loop's check. Another owner may have failed the session by then.
func TestAStallBeforeARecordedRequestIsWritten(t *testing.T) {
	sl := newSteppedLoop(t, policy.NonIdempotent)
	c := sl.session.client
	sl.session.record = &idempotencyRecord{writeAllowed: true, writeDeadline: boottime.Now() + maxCheckAge/4, requestInFlight: true}
	c.mu.Lock() // blocks the check of the client, the last one before the write
	sl.handleConnected()
	time.Sleep(maxCheckAge / 2)
	c.mu.Unlock()
	sl.runUntil("the fleet is asked again", func() bool { return len(sl.session.record.onIdle) > 0 || len(sl.firstLines) > 0 })
	if len(sl.firstLines) > 0 {
		t.Errorf("a server received %q", <-sl.firstLines)
	}
}

// expectAnswer steps the loop until the session has ended, and checks the beginning of the client's final answer.
func (sl *steppedLoop) expectAnswer(want string) {
	sl.t.Helper()
	sl.runUntil("the session has ended", func() bool { return len(sl.l.sessions) == 0 })
	_ = sl.client.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := bufio.NewReader(sl.client).ReadString('\n'); err != nil || !strings.HasPrefix(got, want) {
		sl.t.Errorf("the client received %q, %v; want %s", got, err, want)
	}
}
