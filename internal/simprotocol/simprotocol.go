// Package simprotocol speaks the simulator's wire: binary frames of records on standard input and output. It
// hosts many balancers, turns what it reads straight into calls on them and writes their decisions straight
// back.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"sabletally/internal/deployment"
	"sabletally/internal/loadgossip"
	"sabletally/policy"
)

const (
	headerSize = 16
	eventSize  = 56
	actionSize = 24
	entrySize  = 25
	replySize  = 8
	everyPeer  = 0xffff
)

// Events, by their code on the wire.
const (
	evTimedOutClient = 0
	evRetire         = 1
	evMembership     = 2
	evUpdateOf       = 3
	evAttemptEnd     = 4
	evHealthResult   = 5
	evInbox          = 6
	evFired          = 7
	evOpened         = 8
	evHandover       = 9
	evOpenInstance   = 10
	evIngress        = 11
)

// Actions, by their code on the wire.
const (
	acTransmit      = 0
	acShed          = 1
	acGiveUp        = 2
	acSchedule      = 4
	acAskLoad       = 5
	acSignal        = 7
	acDie           = 9
	acStreamChanges = 10
	acBounce        = 12
)

var (
	le       = binary.LittleEndian
	outcomes = map[uint16]policy.Outcome{
		200: policy.Succeeded, 502: policy.Failed, 429: policy.Rejected, 408: policy.TimedOut,
		521: policy.ConnectFailed, 520: policy.Reset, 444: policy.Cancelled, 409: policy.NeverSent,
	}
)

// instance is one balancer on the wire.
type instance struct {
	number  uint32
	bal     *policy.Balancer // nil once it has declared its failure
	opened  uint64           // the clock at its start
	fields  []string         // what its load reports hold
	timerAt time.Duration    // the earliest timer that is out
	timerOn bool
	asks    bool // the list comes only when asked for
	unasked bool // and has to be asked for
	touched bool
}

type host struct {
	instances map[uint32]*instance
	touched   []*instance
	clock     uint64
	frame     bytes.Buffer
	records   []byte
	tail      []byte
	answered  uint32
}

// Serve answers frames until the input ends.
func Serve(in *bufio.Reader, out *bufio.Writer) error {
	h := &host{instances: map[uint32]*instance{}}
	for {
		frame, err := h.read(in)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(frame); err != nil {
			return err
		}
		var head [replySize]byte
		le.PutUint32(head[0:], uint32(replySize+len(h.records)+len(h.tail)))
		le.PutUint32(head[4:], h.answered)
		_, _ = out.Write(head[:])
		_, _ = out.Write(h.records)
		_, _ = out.Write(h.tail)
		if err := out.Flush(); err != nil {
			return fmt.Errorf("reply: %v", err)
		}
	}
}

// read takes one frame; io.EOF means that the input ended between frames. The buffer grows with the bytes
// that have really come, never by the length that the frame claims.
func (h *host) read(in *bufio.Reader) ([]byte, error) {
	h.frame.Reset()
	n, err := io.CopyN(&h.frame, in, headerSize)
	if n == 0 && err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("frame header: cut short at byte %d of %d", n, headerSize)
	}
	size := int64(le.Uint32(h.frame.Bytes()[8:]))
	count := int64(le.Uint32(h.frame.Bytes()[12:]))
	if size < headerSize+count*eventSize {
		return nil, fmt.Errorf("frame length (byte 8): %d bytes cannot hold %d records (byte 12)", size, count)
	}
	if n, err = io.CopyN(&h.frame, in, size-headerSize); err != nil {
		return nil, fmt.Errorf("frame: cut short at byte %d of %d", headerSize+n, size)
	}
	return h.frame.Bytes(), nil
}

// handle feeds one frame to the instances and gathers their answers.
func (h *host) handle(frame []byte) error {
	h.records, h.tail, h.answered = h.records[:0], h.tail[:0], 0
	h.touched = h.touched[:0]
	h.clock = le.Uint64(frame)
	count := int(le.Uint32(frame[12:]))
	tail := frame[headerSize+count*eventSize:]
	for i := 0; i < count; i++ {
		at := headerSize + i*eventSize
		if err := h.event(frame[at:at+eventSize], tail, at); err != nil {
			return err
		}
	}
	for _, in := range h.touched {
		in.touched = false
		if h.instances[in.number] == in && in.bal != nil {
			h.answer(in)
		}
	}
	return nil
}

func span(rec, tail []byte, field string, pos, base, unit int) ([]byte, error) {
	off, n := uint64(le.Uint32(rec[pos:])), uint64(le.Uint32(rec[pos+4:]))
	if off+n*uint64(unit) > uint64(len(tail)) {
		return nil, fmt.Errorf("%s at byte %d: points outside the tail (%d + %d x %d of %d bytes)",
			field, base+pos, off, n, unit, len(tail))
	}
	return tail[off : off+n*uint64(unit)], nil
}

func serverAt(b []byte) policy.EndpointID {
	return policy.EndpointID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(le.Uint16(b[4:])))
}

func putServer(b []byte, s policy.EndpointID) {
	binary.BigEndian.PutUint32(b, uint32(s>>16))
	le.PutUint16(b[4:], uint16(s))
}

func us(n int64) time.Duration      { return time.Duration(n) * time.Microsecond }
func micros(b []byte) time.Duration { return us(int64(le.Uint32(b))) }
func float(b []byte) float64        { return float64(math.Float32frombits(le.Uint32(b))) }

// event turns one record into a call; base is where the record stands in its frame.
func (h *host) event(rec, tail []byte, base int) error {
	code, number := rec[0], le.Uint32(rec[1:])
	if code > evIngress {
		return fmt.Errorf("record code at byte %d: %d is not known", base, code)
	}
	if code == evOpenInstance {
		return h.open(rec, tail, base, number)
	}
	in := h.instances[number]
	if in == nil {
		return fmt.Errorf("Balancer at byte %d: event %d for instance %d, which is not open", base+1, code, number)
	}
	if code == evRetire {
		delete(h.instances, number)
		return nil
	}
	if !in.touched {
		in.touched = true
		h.touched = append(h.touched, in)
	}
	if in.bal == nil {
		return nil
	}
	b := in.bal
	b.AdvanceClock(us(int64(h.clock - in.opened)))
	id := policy.SessionID(le.Uint64(rec[5:]))
	switch code {
	case evTimedOutClient:
		b.ClientDisconnected(id)
	case evMembership:
		return h.members(in, rec, tail, base)
	case evUpdateOf:
		switch rec[20] {
		case 1:
			b.RecordLoad(id, int(rec[19]), float(rec[21:]))
		case 2:
			b.RecordLatency(serverAt(rec[13:]), time.Duration(float(rec[21:])*float64(time.Millisecond)))
		}
	case evAttemptEnd:
		outcome, err := verdict(rec, 25, base)
		if err != nil {
			return err
		}
		rep, err := in.report(rec, 27, base)
		if err != nil {
			return err
		}
		b.AttemptEnded(id, int(rec[19]), rec[20] != 0, outcome)
		b.RecordLoadReport(serverAt(rec[13:]), rep)
	case evHealthResult:
		outcome, err := verdict(rec, 11, base)
		if err != nil {
			return err
		}
		rep, err := in.report(rec, 17, base)
		if err != nil {
			return err
		}
		b.HealthCheckEnded(serverAt(rec[5:]), outcome)
		b.RecordLoadReport(serverAt(rec[5:]), rep)
	case evInbox:
		text, err := span(rec, tail, "Octets", 9, base, 1)
		if err != nil {
			return err
		}
		if t, err := loadgossip.Decode(text); err == nil { // another's fault is no reason to end
			b.ReceiveGossip(int(le.Uint32(rec[5:])), t)
		}
	case evFired:
		if due := us(int64(h.clock - in.opened)); in.timerOn && in.timerAt <= due {
			in.timerOn = false
		}
	case evOpened:
		b.AttemptEstablished(id, int(rec[23]), micros(rec[13:]))
	case evHandover:
		b.AdoptSession(arrival(rec, 17, 25, 13, 43, 39, 45, 49), serverAt(rec[33:]))
	case evIngress:
		b.AddSession(arrival(rec, 20, 32, 13, 17, 40, 28, 19))
	}
	return nil
}

// arrival reads a circuit whose fields stand at the given bytes.
func arrival(rec []byte, key, group, tenant, grade, left, hint, marks int) policy.SessionRequest {
	a := policy.SessionRequest{
		ID: policy.SessionID(le.Uint64(rec[5:])), Key: le.Uint64(rec[key:]), Group: le.Uint64(rec[group:]),
		Tenant: int(le.Uint32(rec[tenant:])), Class: int(le.Uint16(rec[grade:])), Timeout: micros(rec[left:]),
	}
	if rec[marks]&1 != 0 {
		a.Load = float64(le.Uint32(rec[hint:]))
	}
	return a
}

func verdict(rec []byte, pos, base int) (policy.Outcome, error) {
	o, ok := outcomes[le.Uint16(rec[pos:])]
	if !ok {
		return 0, fmt.Errorf("Verdict at byte %d: %d is not known", base+pos, le.Uint16(rec[pos:]))
	}
	return o, nil
}

func (in *instance) report(rec []byte, pos, base int) (policy.LoadReport, error) {
	rep := policy.NoLoadReport
	n := int(rec[pos])
	if n > 4 {
		return rep, fmt.Errorf("Usage at byte %d: %d values, at most 4 fit", base+pos, n)
	}
	for i := 0; i < n && i < len(in.fields); i++ {
		v := float(rec[pos+1+4*i:])
		switch in.fields[i] {
		case "x0":
			rep.Demand = v
		case "x1":
			rep.Backlog = v
		case "cpu":
			rep.Utilization = v
		}
	}
	return rep, nil
}

func (h *host) open(rec, tail []byte, base int, number uint32) error {
	text, err := span(rec, tail, "BootInfo", 13, base, 1)
	if err != nil {
		return err
	}
	in := &instance{number: number, opened: h.clock, touched: true}
	h.instances[number] = in
	h.touched = append(h.touched, in)
	d, err := deployment.ParseSettings(text)
	if err != nil {
		h.put(acDie, number, 0)
		h.text("BootInfo: " + err.Error())
		return nil
	}
	in.fields, in.asks, in.unasked = d.ReportFields, d.PollEndpointList, d.PollEndpointList
	in.bal = policy.New(d.Policy, le.Uint64(rec[5:]))
	return nil
}

func (h *host) members(in *instance, rec, tail []byte, base int) error {
	entries, err := span(rec, tail, "Items", 14, base, entrySize)
	if err != nil {
		return err
	}
	mode := rec[5]
	if mode == 0 {
		in.unasked = in.asks // the old list still holds
		return nil
	}
	if mode != 1 && mode != 3 && mode != 4 {
		return fmt.Errorf("Mode at byte %d: %d is not known", base+5, mode)
	}
	lines := make([]policy.Endpoint, 0, len(entries)/entrySize)
	for ; len(entries) > 0; entries = entries[entrySize:] {
		l := policy.Endpoint{
			ID: serverAt(entries), Zone: int(le.Uint16(entries[6:])), FailureDomain: int(le.Uint16(entries[10:])),
			MachineType: uint64(le.Uint16(entries[8:])),
			Weight:      float(entries[13:]), StartedAt: policy.StartedLongAgo,
		}
		if !(l.Weight > 0 && l.Weight < math.Inf(1)) {
			l.Weight = 1
		}
		switch entries[12] {
		case 0:
		case 1:
			l.State = policy.Removed
		case 2:
			l.State = policy.Draining
		default:
			return fmt.Errorf("Availability of an entry of Items at byte %d: %d is not known", base+14, entries[12])
		}
		if since := le.Uint64(entries[17:]); since != 0 {
			l.StartedAt = us(int64(since - in.opened))
		}
		lines = append(lines, l)
	}
	in.bal.UpdateEndpoints(lines, mode != 4)
	return nil
}

// put begins an action record and returns it for its fields.
func (h *host) put(code byte, number uint32, id policy.SessionID) []byte {
	var rec [actionSize]byte
	rec[0] = code
	le.PutUint32(rec[1:], number)
	if id != 0 {
		le.PutUint64(rec[5:], uint64(id))
	}
	h.records = append(h.records, rec[:]...)
	h.answered++
	return h.records[len(h.records)-actionSize:]
}

// text hangs a text on the last record.
func (h *host) text(s string) {
	rec := h.records[len(h.records)-actionSize:]
	le.PutUint32(rec[5:], uint32(len(h.tail)))
	le.PutUint32(rec[9:], uint32(len(s)))
	h.tail = append(h.tail, s...)
}

// answer pulls an instance's decisions and sets its next timer.
func (h *host) answer(in *instance) {
	now := us(int64(h.clock - in.opened))
	in.bal.AdvanceClock(now)
	if in.unasked && !in.timerOn { // at the start, and after a failed call with the module's next round
		in.unasked = false
		h.put(acStreamChanges, in.number, 0)[5] = 1
	}
	for {
		d, ok := in.bal.Next()
		if !ok {
			break
		}
		span := uint32(max(0, min(d.Duration/time.Microsecond, math.MaxUint32)))
		switch d.Action {
		case policy.StartAttempt:
			rec := h.put(acTransmit, in.number, d.Session)
			putServer(rec[13:], d.Endpoint)
			le.PutUint32(rec[19:], span)
		case policy.Reject:
			le.PutUint32(h.put(acShed, in.number, d.Session)[13:], span)
		case policy.Fail:
			h.put(acGiveUp, in.number, d.Session)
		case policy.Migrate:
			h.put(acBounce, in.number, d.Session)
		case policy.HealthCheck:
			putServer(h.put(acAskLoad, in.number, 0)[5:], d.Endpoint)
		case policy.SendGossip:
			for _, text := range loadgossip.Encode(d.Gossip) {
				rec := h.put(acSignal, in.number, 0)
				le.PutUint16(rec[5:], everyPeer)
				le.PutUint32(rec[7:], uint32(len(h.tail)))
				le.PutUint32(rec[11:], uint32(len(text)))
				h.tail = append(h.tail, text...)
			}
		}
	}
	if at, ok := in.bal.NextWakeup(); ok && (!in.timerOn || at < in.timerAt) {
		in.timerAt, in.timerOn = max(at, now+time.Microsecond), true
		le.PutUint32(h.put(acSchedule, in.number, 0)[9:], uint32((in.timerAt-now)/time.Microsecond))
	}
}
