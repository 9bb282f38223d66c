package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// route maps the HTTP methods of a path to the functions that carry them out. Paths of pages have a nil function.
type route map[string]func() error

// newHandler returns a handler for the paths of a balancer and of pages. No request needs a body, and none is read.
func newHandler(b Balancer, pages Pages) http.Handler {
	routes := map[string]route{
		"/control/ready":          {http.MethodGet: b.Ready, http.MethodHead: b.Ready},
		"/control/out-of-service": {http.MethodPut: b.OutOfService},
		"/control/in-service":     {http.MethodPut: b.InService},
	}
	for path := range pages {
		routes[path] = route{http.MethodGet: nil}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if page := pages[r.URL.Path]; page != nil && r.Method == http.MethodGet {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(page())
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		e := routes[r.URL.Path]
		run := e[r.Method]
		switch {
		case e == nil:
			w.WriteHeader(http.StatusNotFound)
			_, _ = fmt.Fprintf(w, "there is no call %q here\n", r.URL.Path)
		case run == nil:
			methods := slices.Sorted(maps.Keys(e))
			w.Header().Set("Allow", strings.Join(methods, ", "))
			w.WriteHeader(http.StatusMethodNotAllowed)
			_, _ = fmt.Fprintf(w, "%s is called with %s\n", r.URL.Path, strings.Join(methods, " or "))
		default:
			respond(w, r, run())
		}
	})
}

// respond writes the response to a request that was carried out, or rejected with err.
func respond(w http.ResponseWriter, r *http.Request, err error) {
	if err == nil {
		_, _ = io.WriteString(w, "yes\n")
		return
	}
	status := http.StatusServiceUnavailable
	if r.Method == http.MethodPut {
		status = http.StatusConflict
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, err)
}
