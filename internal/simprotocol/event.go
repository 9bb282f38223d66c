package simprotocol

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"sabletally/policy"
)

// Codes of the events in a frame.
const (
	eventClientDisconnected = 0
	eventCloseInstance      = 1
	eventEndpointList       = 2
	eventMeasurement        = 3
	eventAttemptEnded       = 4
	eventHealthCheckEnded   = 5
	eventGossip             = 6
	eventTimer              = 7
	eventAttemptEstablished = 8
	eventSessionAdopted     = 9
	eventOpenInstance       = 10
	eventSession            = 11
	maxEventCode            = eventSession
)

// Offsets of the fields that event and action records have in common.
const (
	recordCodeAt     = 0
	recordInstanceAt = 1
	recordSessionAt  = 5 // offset of the session's ID, in records about a session only
)

// Kinds of measurement events.
const (
	measurementLoad    = 1
	measurementLatency = 2
)

const (
	maxReportFields = 4 // number of values that a record has room for in a load report
	flagHasLoad     = 1 // bit of a session's flags: the record states the session's load
)

// Modes of an endpoint list.
const (
	listUnavailable = 0 // discovery has no list; the previous one stays in force
	listComplete    = 1 // the list has all endpoints
	listCached      = 3 // the list has all endpoints, and comes from a cache
	listChanges     = 4 // the list has only the endpoints that have changed
)

// Availabilities of an entry of an endpoint list.
const (
	entryReady    = 0
	entryRemoved  = 1
	entryDraining = 2
)

// outcomes maps the protocol's verdicts on attempts and health checks to policy's outcomes.
var outcomes = map[uint16]policy.Outcome{
	200: policy.Succeeded,
	502: policy.Failed,
	429: policy.Rejected,
	408: policy.TimedOut,
	521: policy.ConnectFailed,
	520: policy.Reset,
	444: policy.Cancelled,
	409: policy.NeverSent,
}

// event is one record of a frame. The parameter at of its methods is the offset of a field in the record.
type event struct {
	record []byte
	tail   []byte // tail of the frame
	offset int    // byte offset of the record in the frame
}

func (e event) code() byte                    { return e.record[recordCodeAt] }
func (e event) instance() uint32              { return littleEndian.Uint32(e.record[recordInstanceAt:]) }
func (e event) session() policy.SessionID     { return policy.SessionID(e.uint64(recordSessionAt)) }
func (e event) uint16(at int) uint16          { return littleEndian.Uint16(e.record[at:]) }
func (e event) uint32(at int) uint32          { return littleEndian.Uint32(e.record[at:]) }
func (e event) uint64(at int) uint64          { return littleEndian.Uint64(e.record[at:]) }
func (e event) float(at int) float64          { return decodeFloat(e.record[at:]) }
func (e event) duration(at int) time.Duration { return microseconds(int64(e.uint32(at))) }

func (e event) endpoint(at int) policy.EndpointID { return decodeEndpoint(e.record[at:]) }

func (e event) fieldError(field string, at int, format string, args ...any) error {
	return &FieldError{Field: field, Offset: e.offset + at, Problem: fmt.Sprintf(format, args...)}
}

// tailField returns the bytes of the tail to which a field points by an offset and a number of units of unitSize bytes.
func (e event) tailField(field string, at, unitSize int) ([]byte, error) {
	offset, units := uint64(e.uint32(at)), uint64(e.uint32(at+4))
	end := offset + units*uint64(unitSize)
	if end > uint64(len(e.tail)) {
		return nil, e.fieldError(field, at, "points outside the tail (%d + %d x %d of %d bytes)",
			offset, units, unitSize, len(e.tail))
	}
	return e.tail[offset:end], nil
}

// outcome decodes a verdict.
func (e event) outcome(at int) (policy.Outcome, error) {
	verdict := e.uint16(at)
	outcome, isKnown := outcomes[verdict]
	if !isKnown {
		return 0, e.fieldError("Verdict", at, "%d is not known", verdict)
	}
	return outcome, nil
}

// loadReport decodes a load report, whose values have the given names in order.
func (e event) loadReport(at int, names []string) (policy.LoadReport, error) {
	report := policy.NoLoadReport
	count := int(e.record[at])
	if count > maxReportFields {
		return report, e.fieldError("Usage", at, "%d values, at most %d fit", count, maxReportFields)
	}
	for i := 0; i < count && i < len(names); i++ {
		value := e.float(at + 1 + 4*i)
		switch names[i] {
		case "x0":
			report.Demand = value
		case "x1":
			report.Backlog = value
		case "cpu":
			report.Utilization = value
		}
	}
	return report, nil
}

// sessionLayout holds the offsets of a session's fields in a record.
type sessionLayout struct {
	tenant, key, group, endpoint, class, timeout, load, flags int
}

var (
	newSessionLayout     = sessionLayout{tenant: 13, class: 17, flags: 19, key: 20, load: 28, group: 32, timeout: 40}
	adoptedSessionLayout = sessionLayout{tenant: 13, key: 17, group: 25, endpoint: 33, timeout: 39, class: 43, load: 45, flags: 49}
)

// sessionRequest decodes the fields of a session.
func (e event) sessionRequest(layout sessionLayout) policy.SessionRequest {
	request := policy.SessionRequest{
		ID:      e.session(),
		Key:     e.uint64(layout.key),
		Group:   e.uint64(layout.group),
		Tenant:  int(e.uint32(layout.tenant)),
		Class:   int(e.uint16(layout.class)),
		Timeout: e.duration(layout.timeout),
	}
	if e.record[layout.flags]&flagHasLoad != 0 {
		request.Load = float64(e.uint32(layout.load))
	}
	return request
}

// listEntriesAt is the offset of the field that points to the entries of an endpoint list.
const listEntriesAt = 14

// decodeList decodes the entries of an endpoint list; openedAt is the clock at the instance's start.
func (e event) decodeList(encoded []byte, openedAt uint64) ([]policy.Endpoint, error) {
	entries := make([]policy.Endpoint, 0, len(encoded)/listEntrySize)
	for ; len(encoded) > 0; encoded = encoded[listEntrySize:] {
		entry, isKnown := decodeEntry(encoded[:listEntrySize], openedAt)
		if !isKnown {
			return nil, e.fieldError("Availability of an entry of Items", listEntriesAt, "%d is not known", encoded[entryStateAt])
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Offsets in an entry of an endpoint list, which begins with the endpoint's address.
const (
	entryZoneAt          = 6
	entryMachineTypeAt   = 8
	entryFailureDomainAt = 10
	entryStateAt         = 12
	entryWeightAt        = 13
	entryStartedAt       = 17
)

// decodeEntry decodes one entry of an endpoint list. It returns false if the entry's state is not known.
func decodeEntry(b []byte, openedAt uint64) (entry policy.Endpoint, isKnown bool) {
	entry = policy.Endpoint{
		ID:            decodeEndpoint(b),
		Zone:          int(littleEndian.Uint16(b[entryZoneAt:])),
		FailureDomain: int(littleEndian.Uint16(b[entryFailureDomainAt:])),
		MachineType:   uint64(littleEndian.Uint16(b[entryMachineTypeAt:])),
		Weight:        decodeFloat(b[entryWeightAt:]),
		StartedAt:     policy.StartedLongAgo,
	}
	isWeightValid := entry.Weight > 0 && entry.Weight < math.Inf(1)
	if !isWeightValid {
		entry.Weight = 1
	}
	switch b[entryStateAt] {
	case entryReady:
		entry.State = policy.Ready
	case entryRemoved:
		entry.State = policy.Removed
	case entryDraining:
		entry.State = policy.Draining
	default:
		return entry, false
	}
	if startedAt := littleEndian.Uint64(b[entryStartedAt:]); startedAt != 0 {
		entry.StartedAt = microseconds(int64(startedAt - openedAt))
	}
	return entry, true
}

// decodeEndpoint decodes an IPv4 address (big-endian) and a port (little-endian).
func decodeEndpoint(b []byte) policy.EndpointID {
	address := uint64(binary.BigEndian.Uint32(b))
	port := uint64(littleEndian.Uint16(b[4:]))
	return policy.EndpointID(address<<16 | port)
}

func encodeEndpoint(b []byte, id policy.EndpointID) {
	binary.BigEndian.PutUint32(b, uint32(id>>16))
	littleEndian.PutUint16(b[4:], uint16(id))
}

func decodeFloat(b []byte) float64 { return float64(math.Float32frombits(littleEndian.Uint32(b))) }

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
