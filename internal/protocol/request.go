package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

// SessionRequest is the first line of a client, which requests a session.
type SessionRequest struct {
	ID             uint64
	Key            uint64 // hash key of the client
	Class          string
	Tenant         string
	Group          uint64        // group whose sessions share servers, 0 if there is none
	Timeout        time.Duration // how long the client waits for an answer, counted from when it sent the line
	HasTimeout     bool
	LoadHint       float64 // the client's estimate of the session's load in microseconds of work per second, 0 if there is none
	StickyEndpoint string  // server of the client's previous session, "" if there is none

	raw          []byte
	timeoutStart int // offset in raw of the timeout's first digit
	timeoutEnd   int // offset in raw behind the timeout's last digit
}

// maxRequestWords is the number of words that follow the first one in a session request with names and values.
const maxRequestWords = 3

// decodeRequest decodes rest, which follows the first word of a session request and starts at the given offset of the line.
func decodeRequest(raw, rest []byte, offset int) (*SessionRequest, error) {
	words := bytes.SplitN(rest, []byte(" "), maxRequestWords+1)
	if len(words) < 2 || len(words) > maxRequestWords || len(words[0]) == 0 || len(words[1]) == 0 {
		return nil, errors.New("OPEN: expected an ID, a key and an optional list of names and values")
	}
	if bytes.ContainsFunc(rest, isInvalidCharacter) {
		return nil, errInvalidCharacter
	}
	r := &SessionRequest{raw: raw}
	var err error
	if r.ID, err = parseHex("id", words[0]); err != nil {
		return nil, err
	}
	if r.Key, err = parseHex("key", words[1]); err != nil {
		return nil, err
	}
	if len(words) == 2 || len(words[2]) == 0 {
		return r, nil
	}
	offset += len(words[0]) + len(words[1]) + 2
	if err := r.decodeFields(words[2], offset); err != nil {
		return nil, err
	}
	return r, nil
}

func isInvalidCharacter(r rune) bool { return r <= ' ' && r != ' ' || r > '~' }

// decodeFields decodes the list of names and values, which starts at the given offset of the line.
func (r *SessionRequest) decodeFields(list []byte, offset int) error {
	var names nameSet
	start := 0
	for field := range bytes.SplitSeq(list, []byte(",")) {
		name, value, hasValue := bytes.Cut(field, []byte("="))
		if !hasValue || len(name) == 0 {
			return fmt.Errorf("OPEN: field %.40q is not of the form name=value", field)
		}
		if !names.add(list, start, name) {
			return fmt.Errorf("OPEN: duplicate field %.40q", name)
		}
		if err := r.decodeField(name, value, offset+start); err != nil {
			return err
		}
		start += len(field) + 1
	}
	return nil
}

// decodeField decodes one field, which starts at the given offset of the line. Fields with unknown names are ignored.
func (r *SessionRequest) decodeField(name, value []byte, offset int) error {
	var err error
	switch string(name) {
	case "c":
		r.Class = string(value)
		if r.Class == "" {
			return errors.New("OPEN: c: the class is empty")
		}
	case "t":
		r.Tenant = string(value)
	case "g":
		if r.Group, err = parseHex("g", value); err != nil {
			r.Group = Hash(string(value)) // a group may have a name instead of a number
		}
	case "at":
		r.StickyEndpoint = string(value)
	case "h":
		r.LoadHint, err = parseValue("OPEN: h", value)
		return err
	case "d":
		ms, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil {
			return fmt.Errorf("OPEN: d: %.40q is not a valid number of milliseconds", value)
		}
		r.Timeout = time.Duration(ms) * time.Millisecond
		r.HasTimeout = true
		r.timeoutStart = offset + len("d=")
		r.timeoutEnd = r.timeoutStart + len(value)
	}
	return nil
}

// parseHex parses a hexadecimal ID or key.
func parseHex(name string, text []byte) (uint64, error) {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("OPEN: %s: %.40q is not a 64-bit hexadecimal number", name, text)
	}
	return n, nil
}

// Hash returns a number for a name. It is the same at every balancer.
func Hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Raw returns the line as received.
func (r *SessionRequest) Raw() []byte { return r.raw }

// WithTimeout returns the line to send to a server: the line as received, with the value of its timeout, if it has one, replaced.
func (r *SessionRequest) WithTimeout(timeout time.Duration) []byte {
	if !r.HasTimeout {
		return r.raw
	}
	line := append(make([]byte, 0, len(r.raw)+8), r.raw[:r.timeoutStart]...)
	line = strconv.AppendInt(line, int64(max(0, timeout)/time.Millisecond), 10)
	return append(line, r.raw[r.timeoutEnd:]...)
}
