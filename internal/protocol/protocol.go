// Package protocol reads and writes the text protocol of clients and servers: lines that end with CRLF and are at most 4 KiB long. It
// owns the words of the protocol and maps them to the terms used in the code: OPEN is a session request, UP a success, BUSY a rejection,
// ERR a failure, MOVE a migration. It must never use a socket or a clock, and makes no decisions.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// MaxLineBytes is the maximum length of a line, including its ending.
const MaxLineBytes = 4096

// Errors in a stream of lines.
var (
	ErrTooLong        = errors.New("line over 4 KiB")
	ErrBareLF         = errors.New("line not ended by CRLF")
	ErrUnexpectedData = errors.New("input received before the previous line was answered")

	errInvalidCharacter = errors.New("OPEN: invalid character, only printable ASCII is allowed")
)

// Kind is the kind of a line, determined by its first word.
type Kind uint8

// Kinds of lines.
const (
	KindOther       Kind = iota // any other line, such as application data of a session
	KindOpen                    // OPEN: a session request
	KindPing                    // PING: a readiness probe
	KindPong                    // PONG: the answer to a readiness probe, or a load report
	KindEstablished             // UP: the session is established
	KindRejected                // BUSY: the session was rejected and never ran
	KindFailed                  // ERR: the session failed and may have run
	KindEnded                   // BYE: the session is complete
	KindMigrate                 // MOVE: the client is to reconnect and will be placed elsewhere
	KindLoad                    // LOAD: the load of a session
	KindNotReady                // NO: the answer to a readiness probe while not ready
)

var kindByWord = map[string]Kind{
	"OPEN": KindOpen, "PING": KindPing, "PONG": KindPong, "UP": KindEstablished, "BUSY": KindRejected, "ERR": KindFailed, "BYE": KindEnded, "MOVE": KindMigrate,
	"LOAD": KindLoad, "NO": KindNotReady,
}

// KindOf returns the kind of a line without decoding the rest.
func KindOf(raw []byte) Kind {
	end := 0
	for end < len(raw) && raw[end] > ' ' {
		end++
	}
	return kindByWord[string(raw[:end])]
}

// Line is one decoded line.
type Line struct {
	Kind    Kind
	Raw     []byte             // the line as received, including its ending
	Value   float64            // load of a KindLoad line in microseconds of work per second, or Retry-After of a KindRejected line in milliseconds
	Fields  map[string]float64 // names and values of a load report
	Request *SessionRequest    // decoded session request
	Err     error              // why the line is malformed, nil if it is well-formed
}

// Decode decodes one complete line. If the line is malformed, Err is set in the result.
func Decode(raw []byte) Line {
	l := Line{Raw: raw}
	text, hasEnding := bytes.CutSuffix(raw, []byte("\r\n"))
	if !hasEnding {
		l.Err = ErrBareLF
		return l
	}
	word, rest, _ := bytes.Cut(text, []byte(" "))
	l.Kind = kindByWord[string(word)]
	switch l.Kind {
	case KindOpen:
		l.Request, l.Err = decodeRequest(raw, rest, len(word)+1)
	case KindLoad:
		l.Value, l.Err = parseValue("LOAD", rest)
	case KindRejected:
		if len(rest) > 0 {
			l.Value, l.Err = parseValue("BUSY", rest)
		}
	case KindPong:
		l.Fields = parseLoadReport(rest)
	}
	return l
}

// parseValue parses a finite, non-negative number.
func parseValue(name string, text []byte) (float64, error) {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f >= 0 && f < math.Inf(1)) {
		return 0, fmt.Errorf("%s: %.40q is not a finite, non-negative number", name, text)
	}
	return f, nil
}

// parseLoadReport parses the names and values of a load report and skips fields without a valid number.
func parseLoadReport(text []byte) map[string]float64 {
	fields := map[string]float64{}
	for _, part := range bytes.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' }) {
		name, value, _ := bytes.Cut(part, []byte("="))
		if f, err := parseValue("", value); err == nil {
			fields[string(name)] = f
		}
	}
	return fields
}

// LoadReport parses a line that consists only of the names and values of a load report, without a first word.
func (l Line) LoadReport() map[string]float64 { return parseLoadReport(bytes.TrimRight(l.Raw, "\r\n")) }
