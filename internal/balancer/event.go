package balancer

import (
	"errors"
	"fmt"

	"sabletally/internal/protocol"
)

// event is an input of the loop from another goroutine: lines and the end of a client's connection, or a function to call.
type event struct {
	conn       *conn            // client's connection of lines and disconnect, nil for run
	lines      []protocol.Line  // lines that the client has sent
	lineBytes  int              // total size of lines
	disconnect *DisconnectError // end of the connection, nil if it has not ended
	run        func()           // function that the loop calls, nil for an event of a connection
	session    *session         // session whose client is disconnected if run panics, nil if there is none
}

// panickedClient returns the client's connection to end if handling the event panics, nil if there is none.
func (e event) panickedClient() *conn {
	if e.session != nil {
		return e.session.client
	}
	return e.conn
}

// eventSink receives the events of connections. Loop implements it.
type eventSink interface {
	post(event)
	reportPanic(at string, what any)
}

// Stage is the progress of a connection when it ended. A connection that ended before StageWritten had no effect on the other side.
type Stage int32

// The stages, in order.
const (
	StageDialing   Stage = iota // the connection is not established
	StageConnected              // the connection is established, and no complete line has been written
	StageWritten                // a complete line may have been written
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

// DisconnectError reports that the other side or a failure has ended a connection.
type DisconnectError struct {
	Stage  Stage
	Abrupt bool // whether the connection was reset
	Cause  error
}

func (e *DisconnectError) Error() string {
	return fmt.Sprintf("disconnected at stage %q, abrupt %t: %v", e.Stage, e.Abrupt, e.Cause)
}

// Unwrap returns Cause.
func (e *DisconnectError) Unwrap() error { return e.Cause }

var (
	errPeerClosed = errors.New("connection closed by the peer")
	errFlooding   = errors.New("client sends more input than is accepted")
	errPanic      = errors.New("panic in the balancer")
)
