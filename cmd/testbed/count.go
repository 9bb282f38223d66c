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

const rowsByServer = "servers" // value of --by that prints a table of connections by server

// countCmd prints statistics of the debug logs of many balancers: counts of events, or connections by server, over time.
type countCmd struct {
	Logs []string      `arg:"" help:"Files or folders of debug logs, one file for each balancer." type:"existingfile|existingdir"`
	Step time.Duration `help:"Length of a row." default:"1s"`
	By   string        `help:"Content of a row: counts of events, or connections by server." enum:"time,servers" default:"time"`
	JSON bool          `help:"Print all statistics as JSON." name:"json"`
}

func (c *countCmd) Run() error {
	var reader logstats.Reader
	for _, path := range c.Logs {
		files, err := logFiles(path)
		if err != nil {
			return err
		}
		for _, name := range files {
			if err := readLog(&reader, name); err != nil {
				return err
			}
		}
	}
	stats, err := reader.Sum(c.Step)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(stats)
	}
	if len(stats.Rows) == 0 {
		return errors.New("the logs have no line of a balancer; were the balancers started with SABLETALLY_LOG=debug?")
	}
	if c.By == rowsByServer {
		return printServers(os.Stdout, stats)
	}
	return printEvents(os.Stdout, stats)
}

// logFiles returns the path itself or, for a directory, its files named *.log.
func logFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("directory %s has no *.log files", path)
	}
	return files, nil
}

func readLog(reader *logstats.Reader, name string) error {
	log, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // closing a file that was only read does not fail
	return reader.Read(name, log)
}

// logTable prints a table of log statistics. Its methods ignore write errors, which close returns.
type logTable struct{ *tabwriter.Writer }

func newLogTable(out io.Writer, columns ...string) logTable {
	t := logTable{tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)}
	t.addCell("at")
	for _, name := range columns {
		t.addCell(name)
	}
	t.endRow()
	return t
}

func (t logTable) addCell(value any) { _, _ = fmt.Fprint(t, value, "\t") }

func (t logTable) endRow() { _, _ = fmt.Fprintln(t) }

func (t logTable) close(stats *logstats.Statistics) error {
	_, _ = fmt.Fprintf(t, "%d logs, %d lines unread\n", stats.Logs, stats.Unread)
	return t.Flush()
}

// printServers prints the connections of each server over time.
func printServers(out io.Writer, stats *logstats.Statistics) error {
	table := newLogTable(out, stats.Names...)
	for _, row := range stats.Rows {
		table.addCell(row.At)
		for _, name := range stats.Names {
			table.addCell(row.Servers[name])
		}
		table.endRow()
	}
	return table.close(stats)
}

// printEvents prints the counts of events over time.
func printEvents(out io.Writer, stats *logstats.Statistics) error {
	table := newLogTable(out, append(logstats.ColumnNames[:], "held", "places", "half-within", "nine-in-ten")...)
	for _, row := range stats.Rows {
		table.addCell(row.At)
		for _, count := range row.Columns {
			table.addCell(count)
		}
		table.addCell(row.Sessions)
		table.addCell(fmt.Sprintf("%.2f", row.ServersPerGroup))
		table.addCell(row.SetupP50.Round(time.Millisecond))
		table.addCell(row.SetupP90.Round(time.Millisecond))
		table.endRow()
	}
	return table.close(stats)
}
