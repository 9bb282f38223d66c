package relay

import "time"

// maxSamples is the number of response times of one server that a worker keeps between two collections.
const maxSamples = 256

// CollectResponseTimes returns the response times of servers since the last call, keyed by server ID, with at most maxSamples for each
// worker and server. An unanswered line that is older than minAge counts with its age, unless minAge is 0. CollectResponseTimes also ends
// the connections whose peers have accepted nothing for too long.
func (r *Relay) CollectResponseTimes(minAge time.Duration) map[uint64][]time.Duration {
	times := map[uint64][]time.Duration{}
	for _, w := range r.workers {
		for _, c := range w.collect(minAge, times) {
			if c.isStalled() {
				c.fail(ErrSlowReader)
			}
		}
	}
	return times
}

// collect adds the worker's response times to times and returns its connections that have data waiting to be written.
func (w *worker) collect(minAge time.Duration, times map[uint64][]time.Duration) (blocked []*Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.relay.now()
	for server, samples := range w.samples {
		times[server] = append(times[server], samples...)
	}
	clear(w.samples)
	clear(w.sampleCounts)
	for _, c := range w.conns {
		if c == nil {
			continue
		}
		if c.blockedSince.Load() > 0 {
			blocked = append(blocked, c)
		}
		if p, requestedAt := c.pendingRequest(); p != nil && minAge > 0 && now-requestedAt > minAge {
			times[p.serverID] = append(times[p.serverID], now-requestedAt)
		}
	}
	return blocked
}

// SilentPairs returns the pairs whose server has not answered a line and has sent nothing for the given time.
func (r *Relay) SilentPairs(timeout time.Duration) []*Pair {
	var silent []*Pair
	for _, w := range r.workers {
		silent = append(silent, w.silentPairs(timeout)...)
	}
	return silent
}

func (w *worker) silentPairs(timeout time.Duration) []*Pair {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.relay.now()
	var silent []*Pair
	for _, c := range w.conns {
		if c == nil {
			continue
		}
		p, requestedAt := c.pendingRequest()
		if p != nil && now-max(requestedAt, time.Duration(p.lastLineAt.Load())) >= timeout {
			silent = append(silent, p)
		}
	}
	return silent
}

// pendingRequest returns the pair of a client that has an unanswered line, and the time from which its server's silence counts. While the
// client accepts nothing, the server is not read, so that time does not count. It returns nil for any other connection.
func (c *Conn) pendingRequest() (*Pair, time.Duration) {
	p := c.pair.Load()
	if p == nil || c.side != Client || c.writeBlocked.Load() {
		return nil, 0
	}
	if requestedAt := time.Duration(p.requestedAt.Load()); requestedAt > 0 {
		return p, max(requestedAt, time.Duration(c.flushedAt.Load()))
	}
	return nil, 0
}

// addResponseTime records a response time, unless backpressure from the client delayed reading the answer.
func (p *Pair) addResponseTime(requestedAt, now time.Duration) {
	client := p.conns[Client]
	if !client.writeBlocked.Load() && time.Duration(client.flushedAt.Load()) < requestedAt {
		client.worker.addSample(p.serverID, now-requestedAt)
	}
}

// addSample records a response time of a server. Once maxSamples are kept, only some replace an older one, at intervals that grow with
// the number recorded.
func (w *worker) addSample(server uint64, elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	samples := w.samples[server]
	w.sampleCounts[server]++
	if len(samples) < maxSamples {
		w.samples[server] = append(samples, elapsed)
		return
	}
	if n := w.sampleCounts[server]; n%(n/maxSamples+1) == 0 {
		samples[n%maxSamples] = elapsed
	}
}
