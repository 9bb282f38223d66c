// Package protocol reads and writes the users' protocol: lines of text, each ended by CRLF and at most 4 KiB long.
// It owns the words of the protocol and maps them to the terms of the code: OPEN is a session request, UP a success,
// BUSY a rejection, ERR a failure, MOVE a migration. It must never touch a socket, a clock or a decision.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// MaxLineBytes is the length of the longest line, its ending included.
const MaxLineBytes = 4096

// The errors of a stream of lines.
var (
	ErrTooLong        = errors.New("line over 4 KiB")
	ErrBareLF         = errors.New("line not ended by CRLF")
	ErrUnexpectedData = errors.New("more before the answer has come")

	errInvalidCharacter = errors.New("OPEN: signs that no line holds")
)

// Kind is the kind of a line, by its first word.
type Kind uint8

// The kinds of line.
const (
	KindOther       Kind = iota
	KindOpen             // a session request
	KindPing             // a probe of readiness
	KindPong             // the answer to it, or a load report
	KindEstablished      // the session is set up
	KindRejected         // the session never ran
	KindFailed           // the session may have run
	KindEnded            // the session is complete
	KindMigrate          // the client is to come again elsewhere
	KindLoad             // the load of a session
	KindNotReady         // the answer to a probe while not ready
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
	Raw     []byte             // the line as it came, its ending included
	Value   float64            // of a load or a rejection
	Fields  map[string]float64 // of a load report
	Request *SessionRequest    // of a session request
	Err     error              // why the line is malformed, nil if it is not
}

// Decode decodes one complete line. A malformed one has Err set.
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

// parseValue reads a finite number that is not negative.
func parseValue(name string, text []byte) (float64, error) {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f >= 0 && f < math.Inf(1)) {
		return 0, fmt.Errorf("%s: %.40q is no figure", name, text)
	}
	return f, nil
}

// parseLoadReport reads the names and values of a load report and skips what is no value.
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

// LoadReport reads the names and values of a line that has no first word.
func (l Line) LoadReport() map[string]float64 { return parseLoadReport(bytes.TrimRight(l.Raw, "\r\n")) }
