package policy

import "time"

const (
	// requestIDRetention is how long a request ID is remembered after its session has ended.
	requestIDRetention = 10 * time.Minute
	// maxRequestIDs bounds the remembered request IDs. When they are full, the oldest is forgotten.
	maxRequestIDs = 1 << 15
)

// requestIDs remembers the IDs of requests that may have run and must not run again. Clients use a new ID for each
// connection, so an ID that comes again belongs to a repeated request, whose client may have left before its answer.
type requestIDs struct {
	records   map[uint64]idRecord // by ID
	order     []idRecord          // all records in the order in which they were made, with some that are not in records any more
	sequence  uint64              // number of the newest record
	forgotten int64               // number of IDs that were forgotten before requestIDRetention had passed
}

// idRecord records when an ID was used.
type idRecord struct {
	id       uint64
	sequence uint64 // distinguishes the records of an ID
	at       time.Duration
}

func newRequestIDs() requestIDs { return requestIDs{records: map[uint64]idRecord{}} }

// add records an ID. An ID that is recorded already is remembered for longer.
func (r *requestIDs) add(id uint64, now time.Duration) {
	r.expire(now)
	delete(r.records, id)
	if len(r.records) >= maxRequestIDs {
		r.forgetOldest()
	}
	r.sequence++
	record := idRecord{id: id, sequence: r.sequence, at: now}
	r.records[id] = record
	r.order = append(r.order, record)
	if len(r.order) >= 2*maxRequestIDs { // half of the elements or more are stale
		r.compact()
	}
}

// contains reports whether an ID is remembered.
func (r *requestIDs) contains(id uint64, now time.Duration) bool {
	record, known := r.records[id]
	return known && now < record.at+requestIDRetention
}

// remove forgets an ID whose request cannot have run.
func (r *requestIDs) remove(id uint64) { delete(r.records, id) }

// expire forgets the IDs that were remembered for long enough.
func (r *requestIDs) expire(now time.Duration) {
	for len(r.order) > 0 && (r.isStale(r.order[0]) || now >= r.order[0].at+requestIDRetention) {
		r.removeFront()
	}
}

// forgetOldest forgets the ID that was recorded first.
func (r *requestIDs) forgetOldest() {
	for len(r.order) > 0 && r.isStale(r.order[0]) {
		r.removeFront()
	}
	if len(r.order) > 0 {
		r.removeFront()
		r.forgotten++
	}
}

// isStale reports whether an element of order was removed, or recorded again later.
func (r *requestIDs) isStale(element idRecord) bool {
	record, known := r.records[element.id]
	return !known || record.sequence != element.sequence
}

func (r *requestIDs) removeFront() {
	if front := r.order[0]; !r.isStale(front) {
		delete(r.records, front.id)
	}
	r.order = r.order[1:]
}

// compact removes the stale elements of order.
func (r *requestIDs) compact() {
	kept := make([]idRecord, 0, len(r.records))
	for _, element := range r.order {
		if !r.isStale(element) {
			kept = append(kept, element)
		}
	}
	r.order = kept
}

// all returns the remembered IDs, the oldest first.
func (r *requestIDs) all(now time.Duration) []uint64 {
	r.expire(now)
	var all []uint64
	for _, element := range r.order {
		if !r.isStale(element) {
			all = append(all, element.id)
		}
	}
	return all
}

// IsRepeat reports whether a request repeats one that may have run, and that must not run twice. Such a request
// must not be added; its client gets the answer of a failed session.
func (b *Balancer) IsRepeat(request SessionRequest) bool {
	return b.MustRunOnce(request) && b.usedIDs.contains(request.RequestID, b.now)
}

// MustRunOnce reports whether a later request with the same ID will be a repeat once this one may have run.
func (b *Balancer) MustRunOnce(request SessionRequest) bool {
	class := &b.config.Classes[min(request.Class, len(b.config.Classes)-1)]
	return request.HasID && class.Idempotency != Idempotent
}

// IsUsedRequestID reports whether requests with an ID are refused as repeats.
func (b *Balancer) IsUsedRequestID(id uint64) bool { return b.usedIDs.contains(id, b.now) }

// UsedRequestIDs returns the IDs with which requests are refused as repeats, the oldest first.
func (b *Balancer) UsedRequestIDs() []uint64 { return b.usedIDs.all(b.now) }

// ForgottenRequestIDs returns how many IDs were forgotten early because the memory for them was full.
func (b *Balancer) ForgottenRequestIDs() int64 { return b.usedIDs.forgotten }

// UseRequestID records the ID of a request that another process of this balancer serves.
func (b *Balancer) UseRequestID(id uint64) { b.usedIDs.add(id, b.now) }

// ReleaseRequestID forgets the ID of a request that another process of this balancer did not run.
func (b *Balancer) ReleaseRequestID(id uint64) { b.usedIDs.remove(id) }

// recordRequestID remembers the ID of a session that has ended, if its request may have run and must not run again.
func (b *Balancer) recordRequestID(s *session) {
	if s.runsOnce && s.mayHaveRunOn != nil {
		b.usedIDs.add(s.requestID, b.now)
	}
}
