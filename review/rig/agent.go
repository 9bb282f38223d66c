package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// agent is the stand-in for the discovery agent on a balancer's machine. It answers at once, and a watch once there is news.
type agent struct {
	mu      sync.Mutex
	changed *sync.Cond
	rev     uint64
	changes []change
	address string
	silent  bool // discovery is down: the agent takes connections and answers nothing
}

type change struct {
	rev   uint64
	entry map[string]any
}

func (r *rig) startAgent() *agent {
	a := &agent{rev: 40}
	a.changed = sync.NewCond(&a.mu)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	a.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", a.serve)
	go func() { _ = http.Serve(ln, mux) }()
	go func() { // wakes the watches whose wait is over
		for range time.Tick(10 * time.Millisecond) {
			a.changed.Broadcast()
		}
	}()
	r.agent = a
	return a
}

// list puts a server's state on the list.
func (a *agent) list(s *server, state string, boot int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s.state = state
	a.rev++
	a.changes = append(a.changes, change{a.rev, map[string]any{
		"uid": s.uid, "endpoint": s.listener.Addr().String(), "az": "a", "model": "m1", "pod_group": 1, "state": state, "capacity_hint": 1.0, "boot_ms": boot,
	}})
	a.changed.Broadcast()
}

// since returns the newest entries after a version, or all of them for 0.
func (a *agent) since(from uint64) []map[string]any {
	entries := []map[string]any{}
	newest := map[any]int{}
	for i, c := range a.changes {
		newest[c.entry["uid"]] = i
	}
	for i, c := range a.changes {
		isGone := c.entry["state"] == "terminated"
		if newest[c.entry["uid"]] == i && c.rev > from && (from > 0 || !isGone) {
			entries = append(entries, c.entry)
		}
	}
	return entries
}

func (a *agent) document(from uint64) string {
	text, _ := json.Marshal(map[string]any{"rev": a.rev, "all": from == 0, "targets": a.since(from)})
	return string(text)
}

func (a *agent) known() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.document(0)
}

func (a *agent) serve(w http.ResponseWriter, request *http.Request) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	end := time.Now().Add(time.Duration(hold) * time.Millisecond)
	a.mu.Lock()
	wasSilent := a.silent
	for (a.silent || from > 0 && a.rev <= from && time.Now().Before(end)) && request.Context().Err() == nil {
		a.changed.Wait()
		wasSilent = wasSilent || a.silent
	}
	if wasSilent { // what was asked while discovery was down is never answered
		a.mu.Unlock()
		<-request.Context().Done()
		return
	}
	text := a.document(from)
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprint(w, text)
}

// setSilent has the agent fall silent, or answer again.
func (a *agent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.changed.Broadcast()
}
