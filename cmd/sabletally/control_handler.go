package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/shardmap"
)

const (
	changeTimeout = 4 * time.Second                     // time for the fleet to make a change; below callTimeout, so that a command gets the response
	itemPath      = "/control/" + shardmap.ConfigPrefix // path of all items, before an item's name
	versionHeader = "Sabletally-Version"                // HTTP header with the version of the published state
)

// controlHandler serves the operators' requests to a control process: its report, its readiness, and the items of configuration.
func controlHandler(member *fleet.Fleet) http.Handler {
	h := controlAPI{member}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/fleet", h.report)
	mux.HandleFunc("GET /control/ready", h.ready)
	mux.HandleFunc("GET "+itemPath+"{name...}", h.getItem)
	mux.HandleFunc("PUT "+itemPath+"{name...}", h.changeItem)
	mux.HandleFunc("DELETE "+itemPath+"{name...}", h.changeItem)
	return mux
}

// controlAPI has the HTTP handlers. They ignore errors in writing a response: its client has gone.
type controlAPI struct{ member *fleet.Fleet }

func (a controlAPI) report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.member.Report())
}

func (a controlAPI) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.member.IsCurrent() {
		http.Error(w, "not current: no majority of the voters is heard through", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "yes\n")
}

func (a controlAPI) getItem(w http.ResponseWriter, r *http.Request) {
	value, version, found := a.member.Get(shardmap.ConfigPrefix + r.PathValue("name"))
	w.Header().Set(versionHeader, strconv.FormatUint(version, 10))
	if !found {
		http.Error(w, "there is no such item", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value)
}

func (a controlAPI) changeItem(w http.ResponseWriter, r *http.Request) {
	put, err := parseChange(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done := make(chan shardmap.PutResult, 1)
	a.member.Put(put, changeTimeout, func(result shardmap.PutResult) { done <- result })
	result := <-done
	if result.Rejection != "" {
		http.Error(w, result.Rejection, http.StatusConflict)
		return
	}
	_, _ = fmt.Fprintf(w, "%d\n", result.Version)
}

// parseChange reads a change of an item from a request. The body is the item's value, ?op= the operation's ID (a random one if absent),
// and ?if= the version that the item must have for the change to take effect.
func parseChange(w http.ResponseWriter, r *http.Request) (shardmap.Put, error) {
	query := r.URL.Query()
	put := shardmap.Put{
		Key:         shardmap.ConfigPrefix + r.PathValue("name"),
		Delete:      r.Method == http.MethodDelete,
		OperationID: query.Get("op"),
	}
	if put.OperationID == "" {
		put.OperationID = rand.Text()
	}
	var err error
	if expected := query.Get("if"); expected != "" {
		put.Conditional = true
		if put.ExpectedVersion, err = strconv.ParseUint(expected, 10, 64); err != nil {
			return put, fmt.Errorf("if: %q is no version", expected)
		}
	}
	if !put.Delete {
		if put.Value, err = io.ReadAll(http.MaxBytesReader(w, r.Body, shardmap.MaxValueBytes)); err != nil {
			return put, fmt.Errorf("the value: %w", err)
		}
	}
	return put, put.Validate()
}
