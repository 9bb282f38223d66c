package simprotocol

import (
	"bufio"
	"math"
	"time"

	"sabletally/internal/loadgossip"
	"sabletally/policy"
)

// Codes of the actions in a reply.
const (
	actionStartAttempt     = 0
	actionReject           = 1
	actionFail             = 2
	actionSetTimer         = 4
	actionHealthCheck      = 5
	actionGossip           = 7
	actionFailInstance     = 9
	actionPollEndpointList = 10
	actionMigrate          = 12
)

// toAllPeers addresses a gossip message to all other balancers.
const toAllPeers = 0xffff

// reply collects the records and the tail of one reply.
type reply struct {
	records []byte
	tail    []byte
	count   uint32 // number of records
}

func (r *reply) reset() {
	r.records = r.records[:0]
	r.tail = r.tail[:0]
	r.count = 0
}

func (r *reply) writeTo(out *bufio.Writer) error {
	var header [replyHeaderSize]byte
	littleEndian.PutUint32(header[0:], uint32(replyHeaderSize+len(r.records)+len(r.tail)))
	littleEndian.PutUint32(header[replyCountAt:], r.count)
	for _, part := range [][]byte{header[:], r.records, r.tail} {
		if _, err := out.Write(part); err != nil {
			return err
		}
	}
	return out.Flush()
}

// add appends a record and returns it for the caller to fill in. The slice is valid until the next record is added.
func (r *reply) add(code byte, instance uint32) []byte {
	var record [actionSize]byte
	record[recordCodeAt] = code
	littleEndian.PutUint32(record[recordInstanceAt:], instance)
	r.records = append(r.records, record[:]...)
	r.count++
	return r.records[len(r.records)-actionSize:]
}

// addForSession appends a record about a session.
func (r *reply) addForSession(code byte, instance uint32, session policy.SessionID) []byte {
	record := r.add(code, instance)
	littleEndian.PutUint64(record[recordSessionAt:], uint64(session))
	return record
}

// appendTail appends bytes to the tail and sets a field of a record to point to them.
func (r *reply) appendTail(field []byte, bytes []byte) {
	littleEndian.PutUint32(field, uint32(len(r.tail)))
	littleEndian.PutUint32(field[4:], uint32(len(bytes)))
	r.tail = append(r.tail, bytes...)
}

// addFailure adds an action that ends an instance in the simulator with an error message.
func (r *reply) addFailure(instance uint32, message string) {
	r.appendTail(r.add(actionFailInstance, instance)[5:], []byte(message))
}

// addPollEndpointList adds an action that asks the simulator for the endpoint list.
func (r *reply) addPollEndpointList(instance uint32) {
	r.add(actionPollEndpointList, instance)[5] = 1
}

// addTimer adds an action that sets a timer.
func (r *reply) addTimer(instance uint32, delay time.Duration) {
	littleEndian.PutUint32(r.add(actionSetTimer, instance)[9:], uint32(delay/time.Microsecond))
}

// addDecision adds the action for a decision. Gossip takes an action for each of its datagrams.
func (r *reply) addDecision(instance uint32, decision policy.Decision) {
	duration := uint32(max(0, min(decision.Duration/time.Microsecond, math.MaxUint32)))
	switch decision.Action {
	case policy.StartAttempt:
		record := r.addForSession(actionStartAttempt, instance, decision.Session)
		encodeEndpoint(record[13:], decision.Endpoint)
		littleEndian.PutUint32(record[19:], duration)
	case policy.Reject:
		record := r.addForSession(actionReject, instance, decision.Session)
		littleEndian.PutUint32(record[13:], duration)
	case policy.Fail:
		r.addForSession(actionFail, instance, decision.Session)
	case policy.Migrate:
		r.addForSession(actionMigrate, instance, decision.Session)
	case policy.HealthCheck:
		encodeEndpoint(r.add(actionHealthCheck, instance)[5:], decision.Endpoint)
	case policy.SendGossip:
		for _, datagram := range loadgossip.Encode(decision.Gossip) {
			record := r.add(actionGossip, instance)
			littleEndian.PutUint16(record[5:], toAllPeers)
			r.appendTail(record[7:], datagram)
		}
	}
}
