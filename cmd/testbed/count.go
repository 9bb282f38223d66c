// This file owns the count over balancers' logs: which files are read, and the tables as they are printed.

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"sabletally/internal/lab/logstats"
)

type countCmd struct {
	Logs []string      `arg:"" help:"Files or folders of debug logs, a file a balancer." type:"existingfile|existingdir"`
	Step time.Duration `help:"Length of a row." default:"1s"`
	By   string        `help:"What a row tells: what happened, or connections at each server." enum:"time,servers" default:"time"`
	JSON bool          `help:"All that was counted, as JSON." name:"json"`
}

func (c *countCmd) Run() error {
	var r logstats.Reader
	for _, path := range c.Logs {
		files := []string{path}
		if info, err := os.Stat(path); err != nil {
			return err
		} else if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.log")); err != nil {
				return err
			}
			if len(files) == 0 {
				return fmt.Errorf("%s holds no *.log", path)
			}
		}
		for _, name := range files {
			if err := readLog(&r, name); err != nil {
				return err
			}
		}
	}
	f, err := r.Sum(c.Step)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(f)
	}
	if len(f.Rows) == 0 {
		return errors.New("no log line of a balancer; were they started with SABLETALLY_LOG=debug?")
	}
	return printFleet(os.Stdout, f, c.By == "servers")
}

func readLog(r *logstats.Reader, name string) error {
	log, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	return r.Read(name, log)
}

func printFleet(to io.Writer, f *logstats.Fleet, servers bool) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := f.Names
	if !servers {
		head = append(logstats.Names[:], "held", "places", "half-within", "nine-in-ten")
	}
	_, _ = fmt.Fprint(w, "at\t")
	for _, name := range head {
		_, _ = fmt.Fprint(w, name, "\t")
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range f.Rows {
		_, _ = fmt.Fprint(w, row.At, "\t")
		if servers {
			for _, name := range f.Names {
				_, _ = fmt.Fprint(w, row.Servers[name], "\t")
			}
		} else {
			for _, n := range row.Columns {
				_, _ = fmt.Fprint(w, n, "\t")
			}
			_, _ = fmt.Fprintf(w, "%d\t%.2f\t%v\t%v\t", row.Sessions, row.Places, row.Middle.Round(time.Millisecond), row.Late.Round(time.Millisecond))
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintf(w, "%d logs, %d lines unread\n", f.Logs, f.Unread)
	return w.Flush()
}
