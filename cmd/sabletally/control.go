// This file owns the control process: one of the few that balancers follow, without a balancer in it, and what operators ask of it.

package main

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/admin"
	"sabletally/internal/fleet"
	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/shardmap"
)

const (
	handWithin  = 5 * time.Second // a control process that ends has others take over what it holds
	itemWithin  = 4 * time.Second // a change of an item is answered; an operators' call ends after five
	controlMost = 64              // operators' connections
	itemPath    = "/control/" + shardmap.ConfigPrefix
	versionHead = "Sabletally-Version"
)

type controlCmd struct {
	File string `arg:"" help:"The fleet's file, with role = \"control\"."`
	Mgmt string `help:"The operators' address, such as 127.0.0.1:15000; none: there is none." env:"EDGE_MGMT"`
	Name string `help:"Its name in the others' reports; none: its machine's."`
}

// wrongFile is a file of another role.
type wrongFile struct{ error }

// Run is the process.
func (c controlCmd) Run() error {
	file, err := config.Read(c.File)
	if err != nil {
		return err
	}
	if file.Role != config.RoleControl {
		return wrongFile{fmt.Errorf("%s: role %q is no control process's: wants role = %q", c.File, file.Role, config.RoleControl)}
	}
	name := c.Name
	if name == "" {
		name = file.Machine
	}
	ends := on(syscall.SIGTERM, syscall.SIGINT)
	log := logger(os.Getenv("SABLETALLY_LOG")).With(zap.String("name", name))
	defer func() { _ = log.Sync() }()
	var seed [8]byte
	rand.Read(seed[:]) // never fails
	member, err := fleet.Open(file, name, binary.BigEndian.Uint64(seed[:]), false, log)
	if err != nil {
		return err
	}
	defer member.Leave()
	if c.Mgmt != "" {
		m, err := admin.OpenHandler(c.Mgmt, controlMost, controlCalls(member), aside{log, "mgmt"})
		if err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
		defer m.Close()
		go m.Serve()
		log.Info("fleet: control process answers operators", zap.String("mgmt", m.Addr()))
	}
	<-ends
	member.HandOver(handWithin)
	return nil
}

// controlCalls are what operators ask of a control process.
func controlCalls(member *fleet.Fleet) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/fleet", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(member.Report())
	})
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !member.IsCurrent() {
			http.Error(w, "not current: no majority of the voters is heard through", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "yes\n")
	})
	mux.HandleFunc("GET "+itemPath+"{name...}", func(w http.ResponseWriter, r *http.Request) {
		value, version, is := member.Get(shardmap.ConfigPrefix + r.PathValue("name"))
		w.Header().Set(versionHead, strconv.FormatUint(version, 10))
		if !is {
			http.Error(w, "there is no such item", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	})
	change := func(w http.ResponseWriter, r *http.Request) {
		p, err := asked(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		done := make(chan shardmap.PutResult, 1)
		member.Put(p, itemWithin, func(d shardmap.PutResult) { done <- d })
		if d := <-done; d.Rejection != "" {
			http.Error(w, d.Rejection, http.StatusConflict)
		} else {
			_, _ = fmt.Fprintf(w, "%d\n", d.Version)
		}
	}
	mux.HandleFunc("PUT "+itemPath+"{name...}", change)
	mux.HandleFunc("DELETE "+itemPath+"{name...}", change)
	return mux
}

// asked reads a change: the body is the value, ?op= names the operation, ?if= the version of the key that has to be in force.
func asked(w http.ResponseWriter, r *http.Request) (p shardmap.Put, err error) {
	p = shardmap.Put{Key: shardmap.ConfigPrefix + r.PathValue("name"), Delete: r.Method == http.MethodDelete, OperationID: r.URL.Query().Get("op")}
	if p.OperationID == "" {
		p.OperationID = rand.Text()
	}
	if only := r.URL.Query().Get("if"); only != "" {
		p.Conditional = true
		if p.ExpectedVersion, err = strconv.ParseUint(only, 10, 64); err != nil {
			return p, fmt.Errorf("if: %q is no version", only)
		}
	}
	if !p.Delete {
		if p.Value, err = io.ReadAll(http.MaxBytesReader(w, r.Body, shardmap.MaxValueBytes)); err != nil {
			return p, fmt.Errorf("the value: %w", err)
		}
	}
	return p, p.Validate()
}

type putCmd struct {
	Address string  `arg:"" help:"The operators' address of any control process."`
	Key     string  `arg:"" help:"The item, such as config/limits."`
	Value   string  `arg:"" optional:"" help:"Its value; @FILE reads it from a file."`
	Gone    bool    `help:"The item is to go."`
	Op      string  `help:"A name of this change alone: asked for again under it, the same version is answered."`
	If      *uint64 `help:"Only if this is the version that put the item last; 0: only if there is none."`
}

// Run has an item changed.
func (c putCmd) Run() error {
	method, body := http.MethodPut, []byte(c.Value)
	if c.Gone {
		method, body = http.MethodDelete, nil
	} else if path, is := strings.CutPrefix(c.Value, "@"); is {
		var err error
		if body, err = os.ReadFile(path); err != nil {
			return err
		}
	}
	q := url.Values{}
	if c.Op != "" {
		q.Set("op", c.Op)
	}
	if c.If != nil {
		q.Set("if", strconv.FormatUint(*c.If, 10))
	}
	return item(c.Address, method, c.Key, q, body)
}

type getCmd struct {
	Address string `arg:"" help:"The operators' address of any control process."`
	Key     string `arg:"" help:"The item, such as config/limits."`
}

// Run prints an item.
func (c getCmd) Run() error { return item(c.Address, http.MethodGet, c.Key, nil, nil) }

// item makes a call about an item and prints what is answered.
func item(address, method, key string, q url.Values, body []byte) error {
	if !strings.HasPrefix(key, shardmap.ConfigPrefix) {
		return fmt.Errorf("key %q is none of operators': it begins with %q", key, shardmap.ConfigPrefix)
	}
	u := url.URL{Scheme: "http", Host: address, Path: "/control/" + key, RawQuery: q.Encode()}
	req, err := http.NewRequest(method, u.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	r, err := (&http.Client{Timeout: askWithin + time.Second}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", address, r.Status, bytes.TrimSpace(text))
	}
	_, err = os.Stdout.Write(text)
	return err
}
