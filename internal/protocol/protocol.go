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

// Longest is the longest line, its ending included.
const Longest = 4096

// What is wrong with a line.
var (
	ErrTooLong = errors.New("line over 4 KiB")
	ErrBareLF  = errors.New("line not ended by CRLF")
	ErrUnasked = errors.New("more before the answer has come")
	errSigns   = errors.New("OPEN: signs that no line holds")
)

// Kind tells lines apart by their first word.
type Kind uint8

const (
	Other Kind = iota
	Open       // a client wants a circuit
	Ping       // is it ready?
	Pong
	Up   // the circuit stands
	Busy // turned away, never ran
	Err
	Bye // served to its end
	Move
	Load // what a connection asks of its server now
	No   // probes are not answered here
)

var kinds = map[string]Kind{
	"OPEN": Open, "PING": Ping, "PONG": Pong, "UP": Up, "BUSY": Busy, "ERR": Err, "BYE": Bye, "MOVE": Move,
	"LOAD": Load, "NO": No,
}

// KindOf tells a line by its first word, without reading the rest.
func KindOf(raw []byte) Kind {
	end := 0
	for end < len(raw) && raw[end] > ' ' {
		end++
	}
	return kinds[string(raw[:end])]
}

// Line is one line as it came.
type Line struct {
	Kind   Kind
	Raw    []byte // all of it, its ending included
	Figure float64
	Fields map[string]float64 // of a load report
	Ask    *Ask               // of an Open line
	Bad    error              // what is wrong with it, if anything is
}

// Ask is what a client's first line asks for.
type Ask struct {
	ID, Key uint64
	Grade   string
	Tenant  string
	Group   uint64
	Left    time.Duration // how long the client waits from when it sent the line
	Limited bool          // Left is told
	Hint    float64       // a guess at the load; 0 where not told
	At      string        // the server at which the connection was open before
	raw     []byte
	from    int // where the figure of d stands in raw
	to      int
}

// Splitter cuts a stream of bytes into lines.
type Splitter struct{ held []byte }

// Add takes more bytes of the stream.
func (s *Splitter) Add(b []byte) { s.held = append(s.held, b...) }

// Held tells whether bytes are left that make no whole line, or that Next has not answered yet.
func (s *Splitter) Held() bool { return len(s.held) > 0 }

// Rest answers those bytes.
func (s *Splitter) Rest() []byte { return s.held }

// Next answers the next whole line, false when there is none yet. After an error the stream can't be cut.
func (s *Splitter) Next() (Line, bool, error) {
	end := bytes.IndexByte(s.held, '\n')
	if end >= Longest || end < 0 && len(s.held) >= Longest {
		return Line{}, false, ErrTooLong
	}
	if end < 0 {
		return Line{}, false, nil
	}
	raw := bytes.Clone(s.held[:end+1])
	s.held = append(s.held[:0], s.held[end+1:]...)
	return Decode(raw), true, nil
}

// Decode turns one whole line into its value.
func Decode(raw []byte) Line {
	l := Line{Raw: raw}
	text, whole := bytes.CutSuffix(raw, []byte("\r\n"))
	if !whole {
		l.Bad = ErrBareLF
		return l
	}
	word, rest, _ := bytes.Cut(text, []byte(" "))
	l.Kind = kinds[string(word)]
	switch l.Kind {
	case Open:
		l.Ask, l.Bad = decodeAsk(raw, rest, len(word)+1)
	case Load:
		l.Figure, l.Bad = figure("LOAD", rest)
	case Busy:
		if len(rest) > 0 {
			l.Figure, l.Bad = figure("BUSY", rest)
		}
	case Pong:
		l.Fields = report(rest)
	}
	return l
}

func figure(name string, text []byte) (float64, error) {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f >= 0 && f < math.Inf(1)) {
		return 0, fmt.Errorf("%s: %.40q is no figure", name, text)
	}
	return f, nil
}

// report reads the names and values of a load report; what is no figure is passed over.
func report(text []byte) map[string]float64 {
	fields := map[string]float64{}
	for _, part := range bytes.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' }) {
		name, value, _ := bytes.Cut(part, []byte("="))
		if f, err := figure("", value); err == nil {
			fields[string(name)] = f
		}
	}
	return fields
}

// Report reads a line of a load report that stands on its own.
func (l Line) Report() map[string]float64 { return report(bytes.TrimRight(l.Raw, "\r\n")) }

func decodeAsk(raw, rest []byte, at int) (*Ask, error) {
	words := bytes.Split(rest, []byte(" "))
	if len(words) < 2 || len(words) > 3 || len(words[0]) == 0 || len(words[1]) == 0 {
		return nil, errors.New("OPEN: wants an id, a key and a list of names and values")
	}
	if bytes.ContainsFunc(rest, func(r rune) bool { return r <= ' ' && r != ' ' || r > '~' }) {
		return nil, errSigns
	}
	a := &Ask{raw: raw}
	var err error
	if a.ID, err = number("id", words[0]); err != nil {
		return nil, err
	}
	if a.Key, err = number("key", words[1]); err != nil {
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
			if a.Grade = string(value); a.Grade == "" {
				err = errors.New("OPEN: c is empty")
			}
		case "t":
			a.Tenant = string(value)
		case "g":
			if a.Group, err = number("g", value); err != nil { // a name, not a number, is as good a group
				a.Group, err = Hash(string(value)), nil
			}
		case "at":
			a.At = string(value)
		case "h":
			a.Hint, err = figure("OPEN: h", value)
		case "d":
			var ms uint64
			if ms, err = strconv.ParseUint(string(value), 10, 31); err != nil {
				return nil, fmt.Errorf("OPEN: d: %.40q is no number of milliseconds", value)
			}
			a.Left, a.Limited = time.Duration(ms)*time.Millisecond, true
			a.from, a.to = at+len("d="), at+len(part)
		}
		if err != nil {
			return nil, err
		}
		at += len(part) + 1
	}
	return a, nil
}

// number reads an id or a key, which are hexadecimal. Guards against serving what nobody can have meant.
func number(name string, text []byte) (uint64, error) {
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
func (a *Ask) Raw() []byte { return a.raw }

// Onward writes the line for a server: unchanged, but for how long the balancer waits.
func (a *Ask) Onward(left time.Duration) []byte {
	if !a.Limited {
		return a.raw
	}
	out := append(make([]byte, 0, len(a.raw)+8), a.raw[:a.from]...)
	out = strconv.AppendInt(out, int64(max(0, left)/time.Millisecond), 10)
	return append(out, a.raw[a.to:]...)
}

// Lines of the balancer's own.
var (
	PongLine = []byte("PONG\r\n")
	NoLine   = []byte("NO\r\n")
	PingLine = []byte("PING\r\n")
	AskLoad  = []byte("STATS\r\n")
	MoveLine = []byte("MOVE\r\n")
	ErrLine  = []byte("ERR\r\n")
	BadLine  = []byte("ERR SYNTAX\r\n")
)

// Turned writes a nack, with advice when to come again if there is any.
func Turned(wait time.Duration) []byte {
	if ms := int64(wait / time.Millisecond); ms > 0 {
		return fmt.Appendf(nil, "BUSY %d\r\n", ms)
	}
	return []byte("BUSY\r\n")
}
