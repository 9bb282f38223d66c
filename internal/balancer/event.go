package balancer

import (
	"errors"
	"fmt"

	"sabletally/internal/protocol"
)

// event is something that happened beside the loop: to a connection, or run.
type event struct {
	conn       *conn
	lines      []protocol.Line
	size       int              // bytes of the lines
	disconnect *DisconnectError // the connection has ended
	run        func()           // anything else; run by the loop
	session    *session         // whose connection a panic in run costs; nil for none
}

// client returns the connection that a panic costs; nil for none.
func (e event) client() *conn {
	if e.session != nil {
		return e.session.client
	}
	return e.conn
}

// sink takes what happens to connections; it is the loop, but for tests.
type sink interface {
	post(event)
	reportPanic(at string, what any)
}

// Stage is how far a connection had come when it ended. What ended before StageWritten had no effect on the other side.
type Stage int32

// The stages, in order.
const (
	StageDialing   Stage = iota // not connected
	StageConnected              // nothing is written
	StageWritten                // a line's last byte may be written
)

func (s Stage) String() string {
	switch s {
	case StageDialing:
		return "dialing"
	case StageConnected:
		return "connected"
	}
	return "written"
}

// DisconnectError reports a connection that was ended by the other side or by a failure.
type DisconnectError struct {
	Stage  Stage
	Abrupt bool // by a reset
	Cause  error
}

func (e *DisconnectError) Error() string {
	return fmt.Sprintf("disconnected at stage %q, abrupt %t: %v", e.Stage, e.Abrupt, e.Cause)
}

// Unwrap returns the cause.
func (e *DisconnectError) Unwrap() error { return e.Cause }

var (
	errPeerClosed = errors.New("ended by the other side")
	errFlooding   = errors.New("more lines than are taken")
	errPanic      = errors.New("a fault of the program")
)
