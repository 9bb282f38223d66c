// This file owns the list of servers and the agents that tell it: one agent for each balancer.

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
	replacedLifetime = 1500 * time.Millisecond // of the connections to a discovery that was replaced
	notifiedAfter    = 6 * time.Second         // what an agent has counts as known to its balancer by then
	maxHold          = time.Minute
)

// Endpoint is one line of the list, in the wire's form.
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

// States on the wire.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

var stateTexts = map[string]string{InService: "ready", Terminating: "draining", Terminated: "gone"}

// Fault is the way in which an agent misbehaves.
type Fault uint8

const (
	// Healthy is an agent that answers as it should.
	Healthy Fault = iota
	// Unresponsive is an agent out of reach: it accepts connections and writes nothing.
	Unresponsive
	// Malformed is an agent that writes incomplete and malformed answers by turns.
	Malformed
)

// Agent is the discovery agent of one balancer.
type Agent struct {
	balancer int32
	clock    *Clock
	log      *history.Log
	number   func(uid string) int

	mu      sync.Mutex
	entries []Endpoint // in the order they came
	revs    []int      // the revision at which each changed
	rev     int
	said    map[string]int // revision of a server's state that was written
	changed chan struct{}
	fault   Fault
	turns   int
	text    string    // answered in place of all else, if it is not empty
	desk    *WatchHub // where calls wait for their turn, nil where they need not
	ln      net.Listener
	srv     *http.Server
}

// NewAgent makes an agent that listens; number tells a server's number by its name.
func NewAgent(balancer int, clock *Clock, log *history.Log, number func(string) int) (*Agent, error) {
	a := &Agent{balancer: int32(balancer), clock: clock, log: log, number: number, said: map[string]int{}, changed: make(chan struct{})}
	return a, a.listen()
}

func (a *Agent) listen() error {
	ln, err := net.Listen("tcp", Loopback())
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(a.serve), ErrorLog: nil}
	a.mu.Lock()
	a.ln, a.srv = ln, srv
	a.mu.Unlock()
	go func() { _ = srv.Serve(ln) }() // until the agent is closed
	return nil
}

// Addr is where it listens now.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ln.Addr().String()
}

// Replace has the agent listen at another address; the old one takes nothing new and ends a little later.
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

// Close ends it.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.srv.Close()
}

// Set takes a line of the list; what it replaces is told no more.
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
		a.entries, a.revs = append(a.entries, e), append(a.revs, a.rev)
	} else {
		a.entries[at], a.revs[at] = e, a.rev
	}
	close(a.changed)
	a.changed = make(chan struct{})
	rev := a.rev
	time.AfterFunc(notifiedAfter, func() { a.recordNotified(e, rev) })
}

// recordNotified notes what the balancer should have fetched by now.
func (a *Agent) recordNotified(e Endpoint, rev int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fault == Healthy && a.said[e.UID] < rev {
		a.recordState(e, rev)
	}
}

// recordState notes that the balancer has been told; mu is held.
func (a *Agent) recordState(e Endpoint, rev int) {
	a.said[e.UID] = rev
	a.log.Add(history.Event{At: a.clock.Now(), Kind: history.Notified, Balancer: a.balancer, Server: int32(a.number(e.UID)), Text: stateTexts[e.State]})
}

// Misbehave changes how it answers.
func (a *Agent) Misbehave(f Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = f
	close(a.changed)
	a.changed = make(chan struct{})
}

// ServeText has it answer with a text, whatever is asked, until the text is empty again.
func (a *Agent) ServeText(text string) {
	a.mu.Lock()
	a.text = text
	a.mu.Unlock()
	a.Misbehave(Healthy) // wakes who waits
}

// UseHub has calls wait at a desk that agents share; one that it turns away is answered 503.
func (a *Agent) UseHub(d *WatchHub) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.desk = d
}

// InitialList is the list in the form that a balancer is told at its start, and counts as told.
func (a *Agent) InitialList() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.encodeList(true, 0)
}

// encodeList writes the whole list or what changed since a revision, and notes it as told; mu is held.
func (a *Agent) encodeList(whole bool, from int) []byte {
	out := struct {
		Rev     int        `json:"rev"`
		All     bool       `json:"all"`
		Targets []Endpoint `json:"targets"`
	}{a.rev, whole, []Endpoint{}}
	for i, e := range a.entries {
		if !whole && a.revs[i] <= from || whole && e.State == Terminated {
			continue
		}
		out.Targets = append(out.Targets, e)
	}
	for i, e := range a.entries {
		if (whole || a.revs[i] > from) && a.said[e.UID] < a.revs[i] {
			a.recordState(e, a.revs[i])
		}
	}
	text, _ := json.Marshal(out) // of plain fields
	return text
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	watch := q.Has("from")
	if r.URL.Path != "/v1/endpoints" || watch && err != nil {
		http.Error(w, "no such thing", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	desk := a.desk
	a.mu.Unlock()
	if desk != nil && !desk.WaitForWatch(r.Context()) {
		http.Error(w, "no time", http.StatusServiceUnavailable)
		return
	}
	ms, _ := strconv.Atoi(q.Get("hold_ms"))
	until := time.After(min(time.Duration(ms)*time.Millisecond, maxHold))
	for {
		a.mu.Lock()
		fault, changed := a.fault, a.changed
		if a.text != "" {
			text := a.text
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
			a.turns++
			turn := a.turns
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

// serveMalformed answers with a fault, one kind after the other.
func (a *Agent) serveMalformed(w http.ResponseWriter, turn int) {
	switch turn % 4 {
	case 0: // half a list
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

// EndpointList tells all agents of the servers, each in its time.
type EndpointList struct {
	clock  *Clock
	notice [2]time.Duration
	silent [2]time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	agents  []*Agent
	entries map[string]Endpoint
	hidden  map[string]bool
	late    time.Duration
}

// NewEndpointList makes a list; its words take as long as the ranges say, where a process dies unannounced the second.
func NewEndpointList(clock *Clock, notice, silent [2]time.Duration, seed uint64) *EndpointList {
	return &EndpointList{clock: clock, notice: notice, silent: silent, rng: rand.New(rand.NewPCG(seed, 0x1157)),
		entries: map[string]Endpoint{}, hidden: map[string]bool{}}
}

// AddAgent adds an agent.
func (l *EndpointList) AddAgent(a *Agent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.agents = append(l.agents, a)
}

// SetInitial tells a server at once, before the run.
func (l *EndpointList) SetInitial(e Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[e.UID] = e
	for _, a := range l.agents {
		a.Set(e)
	}
}

// Set changes a server's line; unannounced: the list finds out by itself.
func (l *EndpointList) Set(ctx context.Context, e Endpoint, unannounced bool) {
	l.mu.Lock()
	l.entries[e.UID] = e
	l.mu.Unlock()
	l.deliver(ctx, e, unannounced)
}

// SetState changes only the state, and the boot time where it is not 0.
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

func (l *EndpointList) deliver(ctx context.Context, e Endpoint, unannounced bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hidden[e.UID] {
		e.State = Terminated
	}
	span := l.notice
	if unannounced {
		span = l.silent
	}
	for _, a := range l.agents {
		wait := span[0] + time.Duration(l.rng.Float64()*float64(span[1]-span[0])) + l.late
		time.AfterFunc(wait, func() {
			if ctx.Err() != nil {
				return
			}
			// What the list says by now: an older word that is late must not undo a newer one.
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

// Hide has the list lack a server; Hide(false) shows it again.
func (l *EndpointList) Hide(ctx context.Context, uid string, hide bool) {
	l.mu.Lock()
	l.hidden[uid] = hide
	e := l.entries[uid]
	l.mu.Unlock()
	l.deliver(ctx, e, false)
}

// SetDelay has all words come later.
func (l *EndpointList) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = d
}

// Misbehave changes how all agents answer.
func (l *EndpointList) Misbehave(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.agents {
		a.Misbehave(f)
	}
}
