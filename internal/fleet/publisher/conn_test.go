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

// TestConnectionDuringCloseEnds guards against a Close that never returns: a stream that sends its Hello just after the server was closed must
// end, because Close waits for its goroutine.
func TestConnectionDuringCloseEnds(t *testing.T) {
	server := New(Options{ID: "c0", Fleet: "lab", MaxSubscribers: 1, Now: boottime.Now, Log: zap.NewNop()})
	close(server.done)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }() // closing a pipe never fails
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
			t.Errorf("the connection ended with error %v, want net.ErrClosed", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the connection did not end within 10 s")
	}
}
