// This file emulates service discovery: the list of servers, and the agents that serve it over HTTP, one for each balancer.

package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sabletally/internal/lab/history"
)

const (
	replacedLifetime = 1500 * time.Millisecond // time until the connections to a replaced address are closed
	notifiedAfter    = 6 * time.Second         // time after which the balancer of a healthy agent counts as notified of a change even if it has not fetched it
	maxHold          = time.Minute             // longest time for which a watch waits for a change
)

// Endpoint is one entry of the list, as it is encoded in a response.
type Endpoint struct {
	UID           string  `json:"uid"`
	Address       string  `json:"endpoint"`
	Zone          string  `json:"az"`
	MachineType   string  `json:"model"`
	FailureDomain int     `json:"pod_group"`
	State         string  `json:"state"`
	Weight        float64 `json:"capacity_hint"`
	BootMs        int64   `json:"boot_ms"`
}

// The values of Endpoint.State.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// stateTexts maps states to the texts of BalancerNotified events.
var stateTexts = map[string]string{InService: "ready", Terminating: "draining", Terminated: "gone"}

// Fault is a way in which an agent misbehaves.
type Fault uint8

const (
	// Healthy is an agent without a fault.
	Healthy Fault = iota
	// Unresponsive is an agent that accepts connections and writes nothing.
	Unresponsive
	// Malformed is an agent that writes truncated and malformed responses in turn.
	Malformed
)

// Agent is the discovery agent of one balancer.
type Agent struct {
	balancer int32
	clock    *Clock
	log      *history.Log
	indexOf  func(uid string) int // index of a server by its UID

	mu             sync.Mutex
	entries        []Endpoint     // entries in the order in which they were added
	entryRevs      []int          // revision of the last change of each entry
	rev            int            // revision of the list
	notifiedRevs   map[string]int // newest revision of each entry, by UID, that counts as known to the balancer
	changed        chan struct{}  // closed and replaced when the list or the behavior changes
	fault          Fault
	malformedCount int       // malformed responses so far
	fixedResponse  string    // response to each request, unless it is empty
	hub            *WatchHub // hub at which requests wait for their turn; nil if they do not wait
	ln             net.Listener
	srv            *http.Server
}

// NewAgent starts an agent; indexOf returns the index of a server by its UID.
func NewAgent(balancer int, clock *Clock, log *history.Log, indexOf func(string) int) (*Agent, error) {
	a := &Agent{balancer: int32(balancer), clock: clock, log: log, indexOf: indexOf, notifiedRevs: map[string]int{}, changed: make(chan struct{})}
	return a, a.listen()
}

// listen starts serving on a new address.
func (a *Agent) listen() error {
	ln, err := net.Listen("tcp", Loopback())
	if err != nil {
		return fmt.Errorf("listen for a discovery agent: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(a.serve), ErrorLog: nil}
	a.mu.Lock()
	a.ln, a.srv = ln, srv
	a.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // Serve returns when the server or its listener is closed
	return nil
}

// Addr returns the address on which the agent listens now.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ln.Addr().String()
}

// Replace moves the agent to a new address. The old address accepts no new connections, and its open ones are closed after
// replacedLifetime.
func (a *Agent) Replace() error {
	a.mu.Lock()
	ln, srv := a.ln, a.srv
	a.mu.Unlock()
	if err := a.listen(); err != nil {
		return err
	}
	_ = ln.Close()
	time.AfterFunc(replacedLifetime, func() { _ = srv.Close() })
	return nil
}

// Close stops the agent and closes its connections.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.srv.Close()
}

// Set adds an entry to the list, or replaces the entry of the same UID.
func (a *Agent) Set(e Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rev++
	at := -1
	for i := range a.entries {
		if a.entries[i].UID == e.UID {
			at = i
		}
	}
	if at < 0 {
		a.entries, a.entryRevs = append(a.entries, e), append(a.entryRevs, a.rev)
	} else {
		a.entries[at], a.entryRevs[at] = e, a.rev
	}
	close(a.changed)
	a.changed = make(chan struct{})
	rev := a.rev
	time.AfterFunc(notifiedAfter, func() { a.recordNotified(e, rev) })
}

// recordNotified records an entry as known to the balancer if the balancer should have fetched it by now.
func (a *Agent) recordNotified(e Endpoint, rev int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fault == Healthy && a.notifiedRevs[e.UID] < rev {
		a.recordState(e, rev)
	}
}

// recordState records that the balancer knows an entry's state; mu is held.
func (a *Agent) recordState(e Endpoint, rev int) {
	a.notifiedRevs[e.UID] = rev
	a.log.Add(history.Event{At: a.clock.Now(), Kind: history.BalancerNotified, Balancer: a.balancer, Server: int32(a.indexOf(e.UID)), Text: stateTexts[e.State]})
}

// Misbehave sets the agent's fault.
func (a *Agent) Misbehave(f Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = f
	close(a.changed)
	a.changed = make(chan struct{})
}

// ServeText makes the agent answer each request with a text; an empty text ends that.
func (a *Agent) ServeText(text string) {
	a.mu.Lock()
	a.fixedResponse = text
	a.mu.Unlock()
	a.Misbehave(Healthy) // wakes the requests that wait
}

// UseHub makes requests wait for their turn at a hub that agents share; a request that the hub rejects is answered with 503. Nil
// ends that.
func (a *Agent) UseHub(hub *WatchHub) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hub = hub
}

// InitialList returns the whole list, encoded, for a balancer's configuration. The balancer counts as notified of it.
func (a *Agent) InitialList() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.encodeList(true, 0)
}

// encodeList encodes the whole list, or the entries that changed since a revision, and records them as known to the balancer; mu is
// held.
func (a *Agent) encodeList(whole bool, from int) []byte {
	out := struct {
		Rev     int        `json:"rev"`
		All     bool       `json:"all"`
		Targets []Endpoint `json:"targets"`
	}{a.rev, whole, []Endpoint{}}
	for i, e := range a.entries {
		if !whole && a.entryRevs[i] <= from || whole && e.State == Terminated {
			continue
		}
		out.Targets = append(out.Targets, e)
	}
	for i, e := range a.entries {
		if (whole || a.entryRevs[i] > from) && a.notifiedRevs[e.UID] < a.entryRevs[i] {
			a.recordState(e, a.entryRevs[i])
		}
	}
	text, _ := json.Marshal(out) // cannot fail: all fields are strings, numbers and booleans
	return text
}

// serve answers a request for the whole list, or a watch, which waits until the list is newer than its revision.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	watch := q.Has("from")
	if r.URL.Path != "/v1/endpoints" || watch && err != nil {
		http.Error(w, "no such thing", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	hub := a.hub
	a.mu.Unlock()
	if hub != nil && !hub.WaitForWatch(r.Context()) {
		http.Error(w, "no time", http.StatusServiceUnavailable)
		return
	}
	ms, _ := strconv.Atoi(q.Get("hold_ms"))
	until := time.After(min(time.Duration(ms)*time.Millisecond, maxHold))
	for {
		a.mu.Lock()
		fault, changed := a.fault, a.changed
		if a.fixedResponse != "" {
			text := a.fixedResponse
			a.mu.Unlock()
			_, _ = io.WriteString(w, text)
			return
		}
		if fault == Healthy && (!watch || a.rev > from) {
			text := a.encodeList(!watch || from == 0, from)
			a.mu.Unlock()
			_, _ = w.Write(text)
			return
		}
		if fault == Malformed {
			a.malformedCount++
			turn := a.malformedCount
			a.mu.Unlock()
			a.serveMalformed(w, turn)
			return
		}
		a.mu.Unlock()
		if fault == Unresponsive {
			until = nil
		}
		select {
		case <-changed:
		case <-until:
			a.mu.Lock()
			text := a.encodeList(false, from)
			a.mu.Unlock()
			_, _ = w.Write(text)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveMalformed writes a malformed response; the kinds of malformation follow each other in turn.
func (a *Agent) serveMalformed(w http.ResponseWriter, turn int) {
	switch turn % 4 {
	case 0: // a truncated list
		w.Header().Set("Content-Length", "400")
		_, _ = io.WriteString(w, `{"rev":9,"all":true,"targets":[{"uid":"s-`)
	case 1:
		_, _ = io.WriteString(w, `{"rev":9}`)
	case 2:
		_, _ = io.WriteString(w, `{"rev":9,"all":true,"targets":[{"uid":"odd","endpoint":"127.0.0.1:1","state":"sleeping"}]}`)
	case 3:
		http.Error(w, "no", http.StatusInternalServerError)
	}
}

// EndpointList is the list of servers. It delivers each change to all agents, to each one with a delay of its own.
type EndpointList struct {
	clock            *Clock
	announcedDelay   [2]time.Duration // shortest and longest delay of an announced change
	unannouncedDelay [2]time.Duration // shortest and longest delay of a change that the list has to detect

	mu         sync.Mutex
	rng        *rand.Rand
	agents     []*Agent
	entries    map[string]Endpoint
	hidden     map[string]bool // UIDs that the agents do not list
	extraDelay time.Duration   // added to the delay of each change
}

// NewEndpointList returns an empty list. A change reaches an agent after a random delay within the range announced, or within the
// range unannounced if a process has stopped without an announcement.
func NewEndpointList(clock *Clock, announced, unannounced [2]time.Duration, seed uint64) *EndpointList {
	return &EndpointList{clock: clock, announcedDelay: announced, unannouncedDelay: unannounced, rng: rand.New(rand.NewPCG(seed, 0x1157)),
		entries: map[string]Endpoint{}, hidden: map[string]bool{}}
}

// AddAgent adds an agent that receives later changes.
func (l *EndpointList) AddAgent(a *Agent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.agents = append(l.agents, a)
}

// SetInitial sets a server's entry without delay, before the run.
func (l *EndpointList) SetInitial(e Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[e.UID] = e
	for _, a := range l.agents {
		a.Set(e)
	}
}

// Set changes a server's entry. An unannounced change is one that the list has to detect.
func (l *EndpointList) Set(ctx context.Context, e Endpoint, unannounced bool) {
	l.mu.Lock()
	l.entries[e.UID] = e
	l.mu.Unlock()
	l.deliver(ctx, e, unannounced)
}

// SetState changes only the state of a server's entry, and its boot time unless that is 0.
func (l *EndpointList) SetState(ctx context.Context, uid, state string, bootMs int64, unannounced bool) {
	l.mu.Lock()
	e := l.entries[uid]
	e.State = state
	if bootMs != 0 {
		e.BootMs = bootMs
	}
	l.mu.Unlock()
	l.Set(ctx, e, unannounced)
}

// deliver sends a server's entry to each agent after a delay.
func (l *EndpointList) deliver(ctx context.Context, e Endpoint, unannounced bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hidden[e.UID] {
		e.State = Terminated
	}
	span := l.announcedDelay
	if unannounced {
		span = l.unannouncedDelay
	}
	for _, a := range l.agents {
		wait := span[0] + time.Duration(l.rng.Float64()*float64(span[1]-span[0])) + l.extraDelay
		time.AfterFunc(wait, func() {
			if ctx.Err() != nil {
				return
			}
			// The entry as it is at this time: a late delivery of an older change must not undo a newer one.
			l.mu.Lock()
			now := l.entries[e.UID]
			if l.hidden[e.UID] {
				now.State = Terminated
			}
			l.mu.Unlock()
			a.Set(now)
		})
	}
}

// Hide removes a server from the list that agents serve, or shows it again.
func (l *EndpointList) Hide(ctx context.Context, uid string, hide bool) {
	l.mu.Lock()
	l.hidden[uid] = hide
	e := l.entries[uid]
	l.mu.Unlock()
	l.deliver(ctx, e, false)
}

// SetDelay sets the additional delay of later changes.
func (l *EndpointList) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extraDelay = d
}

// Misbehave sets the fault of all agents.
func (l *EndpointList) Misbehave(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.agents {
		a.Misbehave(f)
	}
}
