package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is one entry of the endpoint list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`

	changedAt uint64 // revision of the newest change
}

// list is the form of a response.
type list struct {
	Rev     uint64   `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// discoveryAgent is a stand-in for the agent that tells the endpoint list.
type discoveryAgent struct {
	addr    string
	mu      sync.Mutex
	rev     uint64
	targets []target
	changed chan struct{} // closed at the next change
}

func startDiscovery(servers []*server) (*discoveryAgent, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discoveryAgent{addr: ln.Addr().String(), rev: 41, changed: make(chan struct{})}
	for _, s := range servers {
		d.targets = append(d.targets, target{UID: s.uid, Endpoint: s.addr, Zone: s.zone, Model: "m1", Pod: s.pod, State: "in_service", Hint: 1, changedAt: 41})
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(d.serve)) }()
	return d, nil
}

// set changes the state of a server.
func (d *discoveryAgent) set(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.targets {
		if d.targets[i].UID == uid {
			d.targets[i].State = state
			d.targets[i].changedAt = d.rev
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discoveryAgent) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{Rev: d.rev, All: true, Targets: append([]target{}, d.targets...)}
}

func (d *discoveryAgent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	answer := d.whole()
	if from := r.URL.Query().Get("from"); from != "" {
		rev, _ := strconv.ParseUint(from, 10, 64)
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		answer = d.changes(r, rev, time.Duration(hold)*time.Millisecond)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// changes waits until there is something newer than a revision, and returns the entries that have changed since.
func (d *discoveryAgent) changes(r *http.Request, from uint64, hold time.Duration) list {
	end := time.After(hold)
	for {
		d.mu.Lock()
		answer := list{Rev: d.rev, Targets: []target{}}
		for _, t := range d.targets {
			if t.changedAt > from {
				answer.Targets = append(answer.Targets, t)
			}
		}
		changed := d.changed
		d.mu.Unlock()
		if len(answer.Targets) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-end:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}
