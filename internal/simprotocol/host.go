package simprotocol

import (
	"time"

	"sabletally/internal/deployment"
	"sabletally/internal/loadgossip"
	"sabletally/policy"
)

// instance is one balancer of the simulation.
type instance struct {
	number       uint32
	balancer     *policy.Balancer // nil if the settings could not be read
	openedAt     uint64           // simulator's clock at the instance's start, in microseconds
	reportFields []string         // names of a load report's values, in order
	timerAt      time.Duration    // time of the earliest timer that has been set, since the instance's start
	isTimerSet   bool             // whether the timer at timerAt has yet to fire
	pollsList    bool             // whether the endpoint list has to be polled, because it is not pushed
	needsPoll    bool             // whether the next poll is due
	isTouched    bool             // whether the instance is in host.touched
}

// host holds the instances and the reply to the current frame.
type host struct {
	instances map[uint32]*instance
	touched   []*instance // instances with an event in the current frame, in the order of their first event
	clock     uint64      // time of the current frame on the simulator's clock, in microseconds
	reply     reply
}

func newHost() *host { return &host{instances: map[uint32]*instance{}} }

// handle applies the events of a frame and collects the decisions of their instances in the reply.
func (h *host) handle(frame []byte) error {
	h.reply.reset()
	h.touched = h.touched[:0]
	h.clock = littleEndian.Uint64(frame)
	count := int(littleEndian.Uint32(frame[recordCountAt:]))
	tail := frame[headerSize+count*eventSize:]
	for i := range count {
		offset := headerSize + i*eventSize
		if err := h.apply(event{frame[offset : offset+eventSize], tail, offset}); err != nil {
			return err
		}
	}
	for _, in := range h.touched {
		in.isTouched = false
		if h.instances[in.number] == in && in.balancer != nil {
			h.answer(in)
		}
	}
	return nil
}

// apply applies an event to its instance.
func (h *host) apply(e event) error {
	if e.code() > maxEventCode {
		return e.fieldError("record code", recordCodeAt, "%d is not known", e.code())
	}
	if e.code() == eventOpenInstance {
		return h.open(e)
	}
	in := h.instances[e.instance()]
	if in == nil {
		return e.fieldError("Balancer", recordInstanceAt, "event %d for instance %d, which is not open", e.code(), e.instance())
	}
	if e.code() == eventCloseInstance {
		delete(h.instances, in.number)
		return nil
	}
	h.markTouched(in)
	if in.balancer == nil {
		return nil
	}
	in.balancer.AdvanceClock(in.now(h.clock))
	return in.apply(e, in.now(h.clock))
}

// markTouched records that an instance has an event in the current frame.
func (h *host) markTouched(in *instance) {
	if in.isTouched {
		return
	}
	in.isTouched = true
	h.touched = append(h.touched, in)
}

// open starts an instance. If its settings cannot be read, only this instance fails, with a message to the simulator.
func (h *host) open(e event) error {
	text, err := e.tailField("BootInfo", 13, 1)
	if err != nil {
		return err
	}
	in := &instance{number: e.instance(), openedAt: h.clock}
	h.instances[in.number] = in
	h.markTouched(in)
	settings, err := deployment.ParseSettings(text)
	if err != nil {
		h.reply.addFailure(in.number, "BootInfo: "+err.Error())
		return nil
	}
	in.reportFields = settings.ReportFields
	in.pollsList = settings.PollEndpointList
	in.needsPoll = settings.PollEndpointList
	in.balancer = policy.New(settings.Policy, e.uint64(5))
	return nil
}

// answer adds an instance's decisions to the reply and sets its next timer.
func (h *host) answer(in *instance) {
	now := in.now(h.clock)
	in.balancer.AdvanceClock(now)
	if in.needsPoll && !in.isTimerSet { // a failed poll is not repeated before the timer fires
		in.needsPoll = false
		h.reply.addPollEndpointList(in.number)
	}
	for decision, ok := in.balancer.Next(); ok; decision, ok = in.balancer.Next() {
		h.reply.addDecision(in.number, decision)
	}
	at, ok := in.balancer.NextWakeup()
	if ok && (!in.isTimerSet || at < in.timerAt) {
		in.timerAt = max(at, now+time.Microsecond)
		in.isTimerSet = true
		h.reply.addTimer(in.number, in.timerAt-now)
	}
}

// now returns the time from the instance's start to a time on the simulator's clock.
func (in *instance) now(clock uint64) time.Duration { return microseconds(int64(clock - in.openedAt)) }

// apply calls the balancer's method for an event; now is the time since the instance's start.
func (in *instance) apply(e event, now time.Duration) error {
	b := in.balancer
	switch e.code() {
	case eventClientDisconnected:
		b.ClientDisconnected(e.session())
	case eventEndpointList:
		return in.applyEndpointList(e)
	case eventMeasurement:
		in.applyMeasurement(e)
	case eventAttemptEnded:
		return in.applyAttemptEnded(e)
	case eventHealthCheckEnded:
		return in.applyHealthCheckEnded(e)
	case eventGossip:
		return in.applyGossip(e)
	case eventTimer:
		if in.isTimerSet && in.timerAt <= now {
			in.isTimerSet = false
		}
	case eventAttemptEstablished:
		b.AttemptEstablished(e.session(), int(e.record[23]), e.duration(13))
	case eventSessionAdopted:
		b.AdoptSession(e.sessionRequest(adoptedSessionLayout), e.endpoint(adoptedSessionLayout.endpoint))
	case eventSession:
		b.AddSession(e.sessionRequest(newSessionLayout))
	}
	return nil
}

// applyEndpointList updates the balancer's endpoints, or has an unavailable list polled again.
func (in *instance) applyEndpointList(e event) error {
	const modeAt = 5
	encoded, err := e.tailField("Items", listEntriesAt, listEntrySize)
	if err != nil {
		return err
	}
	mode := e.record[modeAt]
	if mode == listUnavailable {
		in.needsPoll = in.pollsList
		return nil
	}
	if mode != listComplete && mode != listCached && mode != listChanges {
		return e.fieldError("Mode", modeAt, "%d is not known", mode)
	}
	entries, err := e.decodeList(encoded, in.openedAt)
	if err != nil {
		return err
	}
	in.balancer.UpdateEndpoints(entries, mode != listChanges)
	return nil
}

// applyMeasurement records the load of a session or the latency of an endpoint.
func (in *instance) applyMeasurement(e event) {
	switch e.record[20] {
	case measurementLoad:
		in.balancer.RecordLoad(e.session(), int(e.record[19]), e.float(21))
	case measurementLatency:
		latency := time.Duration(e.float(21) * float64(time.Millisecond))
		in.balancer.RecordLatency(e.endpoint(13), latency)
	}
}

func (in *instance) applyAttemptEnded(e event) error {
	outcome, err := e.outcome(25)
	if err != nil {
		return err
	}
	report, err := e.loadReport(27, in.reportFields)
	if err != nil {
		return err
	}
	isFinal := e.record[20] != 0
	in.balancer.AttemptEnded(e.session(), int(e.record[19]), isFinal, outcome)
	in.balancer.RecordLoadReport(e.endpoint(13), report)
	return nil
}

func (in *instance) applyHealthCheckEnded(e event) error {
	outcome, err := e.outcome(11)
	if err != nil {
		return err
	}
	report, err := e.loadReport(17, in.reportFields)
	if err != nil {
		return err
	}
	in.balancer.HealthCheckEnded(e.endpoint(5), outcome)
	in.balancer.RecordLoadReport(e.endpoint(5), report)
	return nil
}

func (in *instance) applyGossip(e event) error {
	datagram, err := e.tailField("Octets", 9, 1)
	if err != nil {
		return err
	}
	message, err := loadgossip.Decode(datagram)
	if err != nil {
		return nil // an invalid message of another balancer is ignored
	}
	in.balancer.ReceiveGossip(int(e.uint32(5)), message)
	return nil
}
