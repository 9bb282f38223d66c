// This file emulates a server's side of one connection: it reads the protocol's lines and answers them after the model's delays.

package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
	"sabletally/internal/protocol"
)

// serverSession is a server's side of one connection.
type serverSession struct {
	server  *Server
	conn    net.Conn
	reader  *bufio.Reader
	writeMu sync.Mutex

	// Guarded by server.mu once the session runs.
	id          uint64 // session ID of the first line
	load        float64
	group       uint64
	requested   bool // whether an OPEN was received and has not been rejected
	admitted    bool // whether the model counts the session
	established bool
	ended       bool
	endedBy     string // who ended the connection, as the text of an AttemptEnded event
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// record adds an event of the session to the history.
func (s *serverSession) record(kind history.Kind, event history.Event) {
	event.At, event.Kind, event.Session, event.Server, event.Balancer = s.server.clock.Now(), kind, s.id, int32(s.server.Index), -1
	s.server.log.Add(event)
}

// silent reports whether the server currently writes nothing.
func (s *serverSession) silent() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.server.wireFaults.Silent
}

// run answers the lines of a connection until its end.
func (s *serverSession) run() {
	endedBy := "peer"
	defer func() { s.end(endedBy, false) }()
	for {
		if _, err := s.reader.Peek(1); err != nil {
			return
		}
		firstByteAt := s.server.clock.Now()
		raw, err := s.reader.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				endedBy = "server"
			}
			return
		}
		if s.silent() { // reading goes on only to detect the end of the connection
			continue
		}
		if s.established {
			s.answerMessage(raw)
			continue
		}
		switch line := protocol.Decode(append([]byte(nil), raw...)); {
		case line.Err != nil:
			s.write([]byte("SYNTAX\r\n"))
			endedBy = "server"
			return
		case line.Kind == protocol.KindPing:
			s.write(protocol.PongLine)
		case string(raw) == string(protocol.LoadReportRequest):
			s.server.mu.Lock()
			s.server.model.Advance(s.server.clock.Now())
			utilization, backlog := s.server.model.Utilization(s.server.clock.Now()), s.server.model.Backlog().Seconds()
			s.server.mu.Unlock()
			s.write(fmt.Appendf(nil, "PONG x0=%.4f,x1=%.4f\r\n", utilization, backlog))
		case line.Kind == protocol.KindOpen && !s.requested:
			s.answerOpen(line.Request, firstByteAt)
		default:
			s.write([]byte("SYNTAX\r\n"))
			endedBy = "server"
			return
		}
	}
}

// answerOpen admits or rejects a session, and answers after the delay of the model and the store.
func (s *serverSession) answerOpen(request *protocol.SessionRequest, firstByteAt time.Duration) {
	server := s.server
	now := server.clock.Now()
	s.requested = true
	s.id, s.load, s.group = request.ID, request.LoadHint, request.Group
	if s.load == 0 {
		s.load = 1
	}
	s.record(history.AttemptReceived, history.Event{Duration: now - firstByteAt, Text: strconv.FormatUint(request.Key, 16)})
	server.mu.Lock()
	answer, delay := server.model.Admit(now, s.load, s.group, server.rng.Float64())
	s.admitted = answer == model.Up
	server.mu.Unlock()
	switch answer {
	case model.Overloaded:
		server.overload(s.id)
		return
	case model.Busy:
		s.reject("refused", "BUSY\r\n")
		return
	case model.Err:
		s.reject("failed", "ERR\r\n")
		return
	}
	storeDelay, stored := server.store.Call(now)
	delay += storeDelay
	if delay < minDelay {
		s.establish(stored)
		return
	}
	time.AfterFunc(delay, func() { s.establish(stored) })
}

// reject ends an attempt with a negative answer; the connection stays open.
func (s *serverSession) reject(reason, answer string) {
	s.record(history.AttemptEnded, history.Event{Text: reason})
	s.leaveModel()
	s.write([]byte(answer))
}

// establish answers an admitted session; it is established if the call to the store succeeded.
func (s *serverSession) establish(stored bool) {
	if s.silent() {
		return
	}
	server := s.server
	server.mu.Lock()
	if s.ended {
		server.mu.Unlock()
		return
	}
	s.established = stored
	server.mu.Unlock()
	if !stored {
		s.reject("failed", "ERR\r\n")
		return
	}
	s.record(history.EffectApplied, history.Event{Number: float64(s.id)})
	s.write(fmt.Appendf(nil, "UP %x\r\nLOAD %.3f\r\n", s.id, s.load*1e6/float64(server.model.Type.SessionsPerCore)))
}

// leaveModel removes the session from the model; the connection may stay open.
func (s *serverSession) leaveModel() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.requested = false
	if s.admitted {
		s.admitted = false
		s.server.model.Leave(s.server.clock.Now(), s.load, s.group)
	}
}

// answerMessage answers a line of an established session with the same line and the time of sending.
func (s *serverSession) answerMessage(line []byte) {
	server := s.server
	now := server.clock.Now()
	server.mu.Lock()
	delay := server.model.Message(now)
	server.mu.Unlock()
	text := append(make([]byte, 0, len(line)+16), line[:len(line)-2]...)
	if delay < minDelay {
		s.write(appendSendTime(text, server.clock.Now()))
		return
	}
	time.AfterFunc(delay, func() {
		if !s.silent() {
			s.write(appendSendTime(text, server.clock.Now()))
		}
	})
}

// appendSendTime appends the time of sending and the end of the line, so that the client can measure how long the line was in transit.
func appendSendTime(text []byte, now time.Duration) []byte {
	text = append(text, " t="...)
	return append(strconv.AppendInt(text, int64(now), 10), '\r', '\n')
}

// write sends text, subject to the server's wire faults.
func (s *serverSession) write(text []byte) {
	s.server.mu.Lock()
	faults := s.server.wireFaults
	s.server.mu.Unlock()
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	switch {
	case faults.Silent:
	case faults.Torn && len(text) > 8:
		_, _ = s.conn.Write(text[:len(text)/2])
		go s.end("server", true)
	case faults.Drip:
		for i := range text {
			if _, err := s.conn.Write(text[i : i+1]); err != nil {
				return
			}
			time.Sleep(dripInterval)
		}
	default:
		_, _ = s.conn.Write(text)
	}
}

// end closes the connection, with a reset if abrupt. Only the first call has an effect; by is recorded as the one who ended it.
func (s *serverSession) end(by string, abrupt bool) {
	server := s.server
	server.mu.Lock()
	if s.ended {
		server.mu.Unlock()
		return
	}
	s.ended, s.endedBy = true, by
	delete(server.sessions, s)
	requested := s.requested
	if s.admitted {
		s.admitted = false
		server.model.Leave(server.clock.Now(), s.load, s.group)
	}
	server.mu.Unlock()
	if requested {
		s.record(history.AttemptEnded, history.Event{Text: by})
	}
	if abrupt {
		reset(s.conn)
	} else {
		_ = s.conn.Close()
	}
}
