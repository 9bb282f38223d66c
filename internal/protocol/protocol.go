// Package protocol reads and writes the users' protocol: lines of text, each ended by CRLF and at most 4 KiB long.
// It owns the protocol's words. It turns bytes into a small typed value once and back into bytes once, and must
// never touch a socket, a clock or a decision.
package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"time"
)

// MaxLineBytes is the longest line, its ending included.
const MaxLineBytes = 4096

// What is wrong with a line.
var (
	ErrTooLong          = errors.New("line over 4 KiB")
	ErrBareLF           = errors.New("line not ended by CRLF")
	ErrUnexpectedData   = errors.New("more before the answer has come")
	errInvalidCharacter = errors.New("OPEN: signs that no line holds")
)

// Kind tells lines apart by their first word.
type Kind uint8

const (
	KindOther Kind = iota
	KindOpen       // a client wants a circuit
	KindPing       // is it ready?
	KindPong
	KindEstablished // the circuit stands
	KindRejected    // turned away, never ran
	KindFailed
	KindEnded // served to its end
	KindMigrate
	KindLoad     // what a connection asks of its server now
	KindNotReady // probes are not answered here
)

var kindByWord = map[string]Kind{
	"OPEN": KindOpen, "PING": KindPing, "PONG": KindPong, "UP": KindEstablished, "BUSY": KindRejected, "ERR": KindFailed, "BYE": KindEnded, "MOVE": KindMigrate,
	"LOAD": KindLoad, "NO": KindNotReady,
}

// KindOf tells a line by its first word, without reading the rest.
func KindOf(raw []byte) Kind {
	end := 0
	for end < len(raw) && raw[end] > ' ' {
		end++
	}
	return kindByWord[string(raw[:end])]
}

// Line is one line as it came.
type Line struct {
	Kind    Kind
	Raw     []byte // all of it, its ending included
	Value   float64
	Fields  map[string]float64 // of a load report
	Request *SessionRequest    // of an Open line
	Err     error              // what is wrong with it, if anything is
}

// SessionRequest is what a client's first line asks for.
type SessionRequest struct {
	ID, Key        uint64
	Class          string
	Tenant         string
	Group          uint64
	Timeout        time.Duration // how long the client waits from when it sent the line
	HasTimeout     bool          // Left is told
	LoadHint       float64       // a guess at the load; 0 where not told
	StickyEndpoint string        // the server at which the connection was open before
	raw            []byte
	timeoutStart   int // where the figure of d stands in raw
	timeoutEnd     int
}

// Splitter cuts a stream of bytes into lines.
type Splitter struct{ buffered []byte }

// Add takes more bytes of the stream.
func (s *Splitter) Add(b []byte) { s.buffered = append(s.buffered, b...) }

// HasBuffered tells whether bytes are left that make no whole line, or that Next has not answered yet.
func (s *Splitter) HasBuffered() bool { return len(s.buffered) > 0 }

// Buffered answers those bytes.
func (s *Splitter) Buffered() []byte { return s.buffered }

// Next answers the next whole line, false when there is none yet. After an error the stream can't be cut.
func (s *Splitter) Next() (Line, bool, error) {
	end := bytes.IndexByte(s.buffered, '\n')
	if end >= MaxLineBytes || end < 0 && len(s.buffered) >= MaxLineBytes {
		return Line{}, false, ErrTooLong
	}
	if end < 0 {
		return Line{}, false, nil
	}
	raw := bytes.Clone(s.buffered[:end+1])
	s.buffered = append(s.buffered[:0], s.buffered[end+1:]...)
	return Decode(raw), true, nil
}

// Decode turns one whole line into its value.
func Decode(raw []byte) Line {
	l := Line{Raw: raw}
	text, whole := bytes.CutSuffix(raw, []byte("\r\n"))
	if !whole {
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
		l.Fields = parseReport(rest)
	}
	return l
}

func parseValue(name string, text []byte) (float64, error) {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f >= 0 && f < math.Inf(1)) {
		return 0, fmt.Errorf("%s: %.40q is no figure", name, text)
	}
	return f, nil
}

// parseReport reads the names and values of a load report; what is no figure is passed over.
func parseReport(text []byte) map[string]float64 {
	fields := map[string]float64{}
	for _, part := range bytes.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' }) {
		name, value, _ := bytes.Cut(part, []byte("="))
		if f, err := parseValue("", value); err == nil {
			fields[string(name)] = f
		}
	}
	return fields
}

// LoadReport reads a line of a load report that stands on its own.
func (l Line) LoadReport() map[string]float64 { return parseReport(bytes.TrimRight(l.Raw, "\r\n")) }

func decodeRequest(raw, rest []byte, at int) (*SessionRequest, error) {
	words := bytes.Split(rest, []byte(" "))
	if len(words) < 2 || len(words) > 3 || len(words[0]) == 0 || len(words[1]) == 0 {
		return nil, errors.New("OPEN: wants an id, a key and a list of names and values")
	}
	if bytes.ContainsFunc(rest, func(r rune) bool { return r <= ' ' && r != ' ' || r > '~' }) {
		return nil, errInvalidCharacter
	}
	a := &SessionRequest{raw: raw}
	var err error
	if a.ID, err = parseHex("id", words[0]); err != nil {
		return nil, err
	}
	if a.Key, err = parseHex("key", words[1]); err != nil {
		return nil, err
	}
	if len(words) == 2 || len(words[2]) == 0 {
		return a, nil
	}
	at += len(words[0]) + len(words[1]) + 2
	seen := map[string]bool{}
	for _, part := range bytes.Split(words[2], []byte(",")) {
		name, value, told := bytes.Cut(part, []byte("="))
		if !told || len(name) == 0 {
			return nil, fmt.Errorf("OPEN: %.40q is no name with a value", part)
		}
		if seen[string(name)] {
			return nil, fmt.Errorf("OPEN: %.40q stands twice", name)
		}
		seen[string(name)] = true
		switch string(name) {
		case "c":
			if a.Class = string(value); a.Class == "" {
				err = errors.New("OPEN: c is empty")
			}
		case "t":
			a.Tenant = string(value)
		case "g":
			if a.Group, err = parseHex("g", value); err != nil { // a name, not a number, is as good a group
				a.Group, err = Hash(string(value)), nil
			}
		case "at":
			a.StickyEndpoint = string(value)
		case "h":
			a.LoadHint, err = parseValue("OPEN: h", value)
		case "d":
			var ms uint64
			if ms, err = strconv.ParseUint(string(value), 10, 31); err != nil {
				return nil, fmt.Errorf("OPEN: d: %.40q is no number of milliseconds", value)
			}
			a.Timeout, a.HasTimeout = time.Duration(ms)*time.Millisecond, true
			a.timeoutStart, a.timeoutEnd = at+len("d="), at+len(part)
		}
		if err != nil {
			return nil, err
		}
		at += len(part) + 1
	}
	return a, nil
}

// parseHex reads an id or a key, which are hexadecimal. Guards against serving what nobody can have meant.
func parseHex(name string, text []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("OPEN: %s: %.40q is no hexadecimal number", name, text)
	}
	return n, nil
}

// Hash makes a number of a name; it is the same at every balancer.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Raw is the line as it came.
func (a *SessionRequest) Raw() []byte { return a.raw }

// WithTimeout writes the line for a server: unchanged, but for how long the balancer waits.
func (a *SessionRequest) WithTimeout(left time.Duration) []byte {
	if !a.HasTimeout {
		return a.raw
	}
	out := append(make([]byte, 0, len(a.raw)+8), a.raw[:a.timeoutStart]...)
	out = strconv.AppendInt(out, int64(max(0, left)/time.Millisecond), 10)
	return append(out, a.raw[a.timeoutEnd:]...)
}

// Lines of the balancer's own.
var (
	PongLine          = []byte("PONG\r\n")
	NotReadyLine      = []byte("NO\r\n")
	PingLine          = []byte("PING\r\n")
	LoadReportRequest = []byte("STATS\r\n")
	MigrateLine       = []byte("MOVE\r\n")
	FailLine          = []byte("ERR\r\n")
	SyntaxErrorLine   = []byte("ERR SYNTAX\r\n")
)

// RejectLine writes a nack, with advice when to come again if there is any.
func RejectLine(wait time.Duration) []byte {
	if ms := int64(wait / time.Millisecond); ms > 0 {
		return fmt.Appendf(nil, "BUSY %d\r\n", ms)
	}
	return []byte("BUSY\r\n")
}
