package publisher

import (
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
)

// TestConnectionDuringCloseEnds says hello to a server that has just been closed: its goroutine ends, so that Close does not wait for
// it forever.
func TestConnectionDuringCloseEnds(t *testing.T) {
	server := New(Options{ID: "c0", Fleet: "lab", MaxSubscribers: 1, Now: boottime.Now, Log: zap.NewNop()})
	close(server.done)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }() // a pipe never fails to close
	ended := make(chan error, 1)
	go func() { ended <- server.serve(near) }()
	hello := changefeed.Encode(&changefeed.Message{Hello: &changefeed.Hello{ProtocolVersion: changefeed.ProtocolVersion, ID: "b0"}})
	frames := []byte{framing.StreamMark}
	for _, body := range [][]byte{framing.Encode(framing.Greeting{Fleet: "lab"}), hello} {
		frames = append(frames, framing.Header(body)...)
		frames = append(frames, body...)
	}
	if _, err := far.Write(frames); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("it ends with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end")
	}
}
