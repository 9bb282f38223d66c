package changefeed

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRejectedHellos guards against an invalid hello that opens a session or is not reported. A hello that is well-formed but not accepted
// has to be answered with a Reject.
func TestRejectedHellos(t *testing.T) {
	for name, tc := range map[string]struct {
		hello      Hello
		err        error
		wantReject bool
	}{
		"another fleet":        {Hello{ProtocolVersion: ProtocolVersion, ID: "x", Fleet: "g"}, ErrForeignFleet, true},
		"a newer protocol":     {Hello{ProtocolVersion: ProtocolVersion + 1, ID: "x"}, ErrMalformedMessage, true},
		"no protocol version":  {Hello{ID: "x"}, ErrMalformedMessage, false},
		"no ID":                {Hello{ProtocolVersion: ProtocolVersion}, ErrMalformedMessage, false},
		"a long name":          {Hello{ProtocolVersion: ProtocolVersion, ID: "x", Name: string(make([]byte, maxNameBytes+1))}, ErrMalformedMessage, false},
		"an older incarnation": {Hello{ProtocolVersion: ProtocolVersion, ID: "b0", Incarnation: 1}, ErrMalformedMessage, false},
	} {
		t.Run(name, func(t *testing.T) {
			log := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
			if _, err := log.Append([]Item{{Key: FleetKey, Value: []byte("f")}}); err != nil {
				t.Fatal(err)
			}
			publisher := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, log, 0)
			if err := publisher.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0", Incarnation: 2}); err != nil {
				t.Fatal(err)
			}
			publisher.Ready()
			err := publisher.Connected(0, 2, tc.hello)
			if !errors.Is(err, tc.err) {
				t.Fatalf("Connected returned %v", err)
			}
			out := publisher.Ready()
			if !slices.Equal(out.CloseConns, []uint64{2}) || len(out.Events) != 1 || len(publisher.sessions) != 1 || publisher.sessions[1] == nil {
				t.Errorf("actions %+v, %d sessions", out, len(publisher.sessions))
			}
			rejected := len(out.Sends) == 1 && out.Sends[0].Message.Content.Reject != nil && out.Sends[0].Message.Content.Reject.RetryAfter > 0
			if rejected != tc.wantReject {
				t.Errorf("wrong answer to the hello: %+v", out.Sends)
			}
			if err := publisher.Step(0, 2, Message{RenewRequest: &RenewRequest{Sequence: 1}}); err != nil || len(publisher.Ready().Sends) != 0 {
				t.Error("a renewal on the closed connection is answered")
			}
		})
	}
}

// TestFullPublisherRejects guards against a publisher that exceeds MaxSubscribers, against rejected subscribers that retry too often, and
// against a full publisher that rejects a subscriber whose older session it could replace.
func TestFullPublisherRejects(t *testing.T) {
	h := newHarness(t, "s", "s", "s")
	h.startPublisher("r0", PublisherConfig{MaxSubscribers: 5})
	for i := range 20 {
		h.newSubscriber(fmt.Sprintf("b%d", i), "s")
	}
	for range 300 {
		h.run(100 * time.Millisecond)
		if n := len(h.publishers["r0"].core.sessions); n > 5 {
			t.Fatalf("%d sessions, at most 5 are allowed", n)
		}
	}
	full := h.publishers["r0"].core.Stats.RejectedFull
	rejections := uint64(0)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
		if len(sub.core.Publishers()) != 2 {
			t.Errorf("%s follows %v", sub.id, sub.core.Publishers())
		}
		rejections += sub.core.Stats.Rejections
	}
	if full == 0 || rejections != full {
		t.Errorf("the publisher rejected %d subscribers as full, the subscribers received %d rejections", full, rejections)
	}
	if full > 20*4 {
		t.Errorf("20 subscribers were rejected %d times in 30 s", full)
	}
	publisher := h.publishers["r0"].core
	first := publisher.sessionOrder.Front().Value.(*session)
	if err := publisher.Connected(h.now, 999, Hello{ProtocolVersion: ProtocolVersion, ID: first.hello.ID, Incarnation: 2, Fleet: "f"}); err != nil || publisher.sessionsByID[first.hello.ID].connID != 999 || len(publisher.sessions) != 5 {
		t.Errorf("a reconnecting subscriber did not replace its session: %v", err)
	}
}
