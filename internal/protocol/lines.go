package protocol

import (
	"fmt"
	"time"
)

// Lines that a balancer writes itself.
var (
	PongLine          = []byte("PONG\r\n")
	NotReadyLine      = []byte("NO\r\n")
	PingLine          = []byte("PING\r\n")
	LoadReportRequest = []byte("STATS\r\n")
	MigrateLine       = []byte("MOVE\r\n")
	FailLine          = []byte("ERR\r\n")
	SyntaxErrorLine   = []byte("ERR SYNTAX\r\n")
)

// RejectLine returns a rejection, with a Retry-After value in milliseconds if that is at least 1.
func RejectLine(retryAfter time.Duration) []byte {
	if ms := int64(retryAfter / time.Millisecond); ms > 0 {
		return fmt.Appendf(nil, "BUSY %d\r\n", ms)
	}
	return []byte("BUSY\r\n")
}
